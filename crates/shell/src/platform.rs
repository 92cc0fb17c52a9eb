//! Implements the `Platform` trait of `watch` for `plat::Client`.

use std::time::Duration;

use conf::object::Kind;
use conf::raw;
use node::event::Host;
use plat::Client;
use plat::Error;

use base::prelude::*;

use crate::watch::CallError;
use crate::watch::Listing;
use crate::watch::Platform;

/// Kinds of objects that a balancer watches. Reports are excluded, so that writing a report does
/// not wake the watches of all balancers.
const WATCHED_KINDS: [Kind; 3] = [Kind::Service, Kind::Server, Kind::Domain];

impl Platform for Client {
    async fn list(&self) -> Result<Listing, CallError> {
        let list = Client::list(self, None).await.map_err(convert_error)?;
        Ok(convert_list(list))
    }

    async fn watch(&self, since: u64, wait: Duration) -> Result<Listing, CallError> {
        let list = Client::watch(self, since, wait, &WATCHED_KINDS)
            .await
            .map_err(convert_error)?;
        Ok(convert_list(list))
    }

    async fn hosts(&self) -> Result<Vec<Host>, CallError> {
        let hosts = Client::hosts(self).await.map_err(convert_error)?;
        Ok(hosts.into_iter().map(convert_host).collect())
    }

    async fn get(&self, kind: &str, name: &str) -> Result<raw::Object, CallError> {
        let kind =
            conf::object::parse_kind(kind).map_err(|error| CallError::Failed(error.to_string()))?;
        Client::get(self, kind, name).await.map_err(convert_error)
    }

    async fn put(&self, object: &raw::Object, version: u64) -> Result<(), CallError> {
        let stored = Client::put(self, object, version)
            .await
            .map_err(convert_error)?;
        debug_assert_eq!(
            stored.name, object.name,
            "the platform stores an object under the name that was sent"
        );
        Ok(())
    }
}

fn convert_list(list: plat::response::List) -> Listing {
    Listing {
        revision: list.revision,
        objects: list.objects,
    }
}

fn convert_host(host: plat::response::Host) -> Host {
    let peer = host.datagram.zip(host.stream);
    Host {
        peer: peer.map(|(datagram, stream)| Peer { datagram, stream }),
        ip: host.ip,
        leaving: host.leaving,
    }
}

fn convert_error(error: Error) -> CallError {
    match error {
        Error::Gone => CallError::Gone,
        Error::NotFound => CallError::NotFound,
        Error::Conflict(_) => CallError::Conflict,
        Error::OutcomeUnknown(_) | Error::Unavailable(_) | Error::Refused(_) => {
            CallError::Failed(error.to_string())
        }
    }
}
