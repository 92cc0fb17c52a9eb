//! The interface to a platform that objects are read from, one kind at a time.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use conf::object::Kind;
use conf::place::Place;

use crate::client::Client;
use crate::error::Error;
use crate::http::NoResponse;
use crate::response::List;

/// Address at which a balancer receives datagrams from its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the balancer.
    pub name: String,
    /// Its datagram address for peers.
    pub peer_address: SocketAddr,
}

/// The result of a health check of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checked {
    /// It responded under its name.
    Answered,
    /// It accepted the connection and did not respond in time.
    Accepted,
    /// It did not accept the connection, or another server responded at its address.
    Silent,
}

impl From<NoResponse> for Checked {
    fn from(why: NoResponse) -> Checked {
        match why {
            NoResponse::NotAccepted => Checked::Silent,
            NoResponse::Late => Checked::Accepted,
        }
    }
}

/// The requests to a platform that a packet-forwarding balancer makes. Revisions and versions are the
/// numbers of places (`conf::place::Place`).
pub trait Source: Clone + Send + Sync + 'static {
    /// Lists the objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<List, Error>> + Send;

    /// Long-polls for changes of a kind after `since`. Returns as soon as there are any, at the
    /// latest after `wait`.
    fn watch(
        &self,
        kind: Kind,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<List, Error>> + Send;

    /// Announces a balancer to the others.
    fn announce(&self, own: &Announcement) -> impl Future<Output = Result<(), Error>> + Send;

    /// Withdraws the announcement of a balancer.
    fn withdraw(&self, name: &str) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists the announced balancers.
    fn balancers(&self) -> impl Future<Output = Result<Vec<Announcement>, Error>> + Send;

    /// Checks whether a backend server responds to a health check in time and under its name. The
    /// health that the response states is ignored, since it may be wrong.
    fn check_server(
        &self,
        address: SocketAddr,
        path: &str,
        name: &str,
        timeout: Duration,
    ) -> impl Future<Output = Checked> + Send;
}

impl Source for Client {
    async fn list(&self, kind: Kind) -> Result<List, Error> {
        self.read_objects(Some(kind)).await?.with_places()
    }

    async fn watch(&self, kind: Kind, since: u64, wait: Duration) -> Result<List, Error> {
        let revision = Place::from(since).revision();
        let objects = self.watch_objects(revision, wait, &[kind]).await?;
        objects.with_places()
    }

    /// Does nothing: the list of hosts of the platform already contains the addresses.
    async fn announce(&self, _own: &Announcement) -> Result<(), Error> {
        Ok(())
    }

    async fn withdraw(&self, _name: &str) -> Result<(), Error> {
        Ok(())
    }

    async fn balancers(&self) -> Result<Vec<Announcement>, Error> {
        let hosts = self.hosts().await?.into_iter();
        let announcement = |host: crate::response::Host| {
            Some(Announcement {
                name: host.ip.to_string(),
                peer_address: host.datagram?,
            })
        };
        Ok(hosts.filter_map(announcement).collect())
    }

    async fn check_server(
        &self,
        address: SocketAddr,
        path: &str,
        _name: &str,
        timeout: Duration,
    ) -> Checked {
        // The name is not checked: any response in time counts.
        let response = self.http().fetch_headers(address, path, timeout).await;
        response.map_or_else(Checked::from, |_| Checked::Answered)
    }
}
