//! Requests of the object API.

use std::time::Duration;

use conf::object::Kind;
use conf::raw;
use reqwest::Method;
use reqwest::RequestBuilder;

use crate::error::Error;
use crate::http::refused;
use crate::http::Http;
use crate::http::Written;
use crate::response::Host;
use crate::response::Hosts;
use crate::response::List;
use crate::response::Objects;

/// A client of one platform. Clones share a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http,
}

impl Client {
    /// Makes a client. `base` is the URL that the paths of the API are appended to.
    ///
    /// # Errors
    ///
    /// `Refused` when `base` is not an HTTP URL.
    pub fn new(base: impl Into<String>) -> Result<Client, Error> {
        let http = Http::new(base)?;
        Ok(Client { http })
    }

    pub(crate) fn http(&self) -> &Http {
        &self.http
    }

    /// Sets the time-out of each request. For a watch it is added to the wait.
    pub fn with_timeout(mut self, timeout: Duration) -> Client {
        self.http = self.http.with_timeout(timeout);
        self
    }

    /// Lists the objects of one kind, or of all kinds.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Refused`.
    pub async fn list(&self, kind: Option<Kind>) -> Result<List, Error> {
        Ok(self.read_objects(kind).await?.into())
    }

    pub(crate) async fn read_objects(&self, kind: Option<Kind>) -> Result<Objects, Error> {
        let path = match kind {
            None => "objects".to_string(),
            Some(kind) => format!("objects/{kind}"),
        };
        self.http.send_read(self.request(Method::GET, &path)).await
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// `NotFound`, `Unavailable` or `Refused`.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<raw::Object, Error> {
        let path = object_path(kind, name)?;
        self.http.send_read(self.request(Method::GET, &path)).await
    }

    /// Writes an object if the stored one has this version, and returns it as stored. Version 0
    /// requires that there is none.
    ///
    /// # Errors
    ///
    /// Any but `Gone`.
    pub async fn put(&self, object: &raw::Object, version: u64) -> Result<raw::Object, Error> {
        let kind = conf::object::parse_kind(&object.kind).map_err(|error| refused(&error))?;
        let path = object_path(kind, &object.name)?;
        let request = self.request(Method::PUT, &path);
        self.send_write(request.query(&[("version", version)]).json(object))
            .await
    }

    /// Deletes an object if it has this version, and returns the tombstone.
    ///
    /// # Errors
    ///
    /// Any but `Gone`.
    pub async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<raw::Object, Error> {
        let path = object_path(kind, name)?;
        let request = self.request(Method::DELETE, &path);
        self.send_write(request.query(&[("version", version)]))
            .await
    }

    /// Long-polls for changes after `since` of the given kinds, or of all kinds if none is given.
    /// Returns as soon as there are any, at the latest after `wait`.
    ///
    /// # Errors
    ///
    /// `Gone`, `Unavailable` or `Refused`.
    pub async fn watch(&self, since: u64, wait: Duration, kinds: &[Kind]) -> Result<List, Error> {
        Ok(self.watch_objects(since, wait, kinds).await?.into())
    }

    pub(crate) async fn watch_objects(
        &self,
        since: u64,
        wait: Duration,
        kinds: &[Kind],
    ) -> Result<Objects, Error> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let names: Vec<&str> = kinds.iter().map(|kind| kind.name()).collect();
        let mut path = format!("watch?since={since}&wait_ms={wait_ms}");
        if !names.is_empty() {
            path = format!("{path}&kinds={}", names.join(","));
        }
        let request = self
            .http
            .long_poll_request(Method::GET, &format!("v1/{path}"), wait);
        self.http.send_read(request).await
    }

    /// Lists the hosts.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Refused`.
    pub async fn hosts(&self) -> Result<Vec<Host>, Error> {
        let response: Hosts = self
            .http
            .send_read(self.request(Method::GET, "hosts"))
            .await?;
        Ok(response.hosts)
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, &format!("v1/{path}"))
    }

    async fn send_write(&self, request: RequestBuilder) -> Result<raw::Object, Error> {
        match self.http.send_write(request).await? {
            Written::Done(stored) => Ok(stored),
            Written::Conflict(stored) => Err(Error::Conflict(Box::new(stored))),
        }
    }
}

fn object_path(kind: Kind, name: &str) -> Result<String, Error> {
    conf::object::check_name(name).map_err(|error| refused(&error))?;
    Ok(format!("objects/{kind}/{name}"))
}
