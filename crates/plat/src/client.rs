//! The calls.

use std::time::Duration;

use conf::object::Kind;
use conf::raw;
use reqwest::Method;
use reqwest::RequestBuilder;

use crate::answer::Host;
use crate::answer::Hosts;
use crate::answer::List;
use crate::answer::Objects;
use crate::error::Error;
use crate::http::refused;
use crate::http::Http;
use crate::http::Written;

/// A client of one platform. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http,
}

impl Client {
    /// Makes a client; `base` is the URL that the paths of the API are put after.
    ///
    /// # Errors
    ///
    /// `Refused` when `base` is no HTTP URL.
    pub fn new(base: impl Into<String>) -> Result<Client, Error> {
        let http = Http::new(base)?;
        Ok(Client { http })
    }

    pub(crate) fn http(&self) -> &Http {
        &self.http
    }

    /// Limits the time of each call, beyond what a watch waits.
    pub fn with_timeout(mut self, timeout: Duration) -> Client {
        self.http = self.http.with_timeout(timeout);
        self
    }

    /// Lists the objects, of one kind or all.
    ///
    /// # Errors
    ///
    /// `Down` or `Refused`.
    pub async fn list(&self, kind: Option<Kind>) -> Result<List, Error> {
        let path = match kind {
            None => "objects".to_string(),
            Some(kind) => format!("objects/{kind}"),
        };
        let answer: Objects = self.http.read(self.call(Method::GET, &path)).await?;
        Ok(answer.into())
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// `NotFound`, `Down` or `Refused`.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<raw::Object, Error> {
        let path = path(kind, name)?;
        self.http.read(self.call(Method::GET, &path)).await
    }

    /// Writes an object if the stored one has this version, 0 meaning that there is none, and
    /// returns it as stored.
    ///
    /// # Errors
    ///
    /// Any but `Gone`.
    pub async fn put(&self, object: &raw::Object, version: u64) -> Result<raw::Object, Error> {
        let kind = conf::object::kind(&object.kind).map_err(|error| refused(&error))?;
        let path = path(kind, &object.name)?;
        let call = self.call(Method::PUT, &path);
        self.write(call.query(&[("version", version)]).json(object))
            .await
    }

    /// Deletes an object if it has this version, and returns the deletion mark.
    ///
    /// # Errors
    ///
    /// Any but `Gone`.
    pub async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<raw::Object, Error> {
        let path = path(kind, name)?;
        let call = self.call(Method::DELETE, &path);
        self.write(call.query(&[("version", version)])).await
    }

    /// Waits for changes of some kinds, of all when none is named, after `since`, at most for `wait`;
    /// returns at once when there are any.
    ///
    /// # Errors
    ///
    /// `Gone`, `Down` or `Refused`.
    pub async fn watch(&self, since: u64, wait: Duration, kinds: &[Kind]) -> Result<List, Error> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let names: Vec<&str> = kinds.iter().map(|kind| kind.name()).collect();
        let mut path = format!("watch?since={since}&wait_ms={wait_ms}");
        if !names.is_empty() {
            path = format!("{path}&kinds={}", names.join(","));
        }
        let call = self.http.call_for(Method::GET, &format!("v1/{path}"), wait);
        let answer: Objects = self.http.read(call).await?;
        Ok(answer.into())
    }

    /// Lists the hosts.
    ///
    /// # Errors
    ///
    /// `Down` or `Refused`.
    pub async fn hosts(&self) -> Result<Vec<Host>, Error> {
        let answer: Hosts = self.http.read(self.call(Method::GET, "hosts")).await?;
        Ok(answer.hosts)
    }

    fn call(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.call(method, &format!("v1/{path}"))
    }

    async fn write(&self, call: RequestBuilder) -> Result<raw::Object, Error> {
        match self.http.write(call).await? {
            Written::Done(stored) => Ok(stored),
            Written::Conflict(stored) => Err(Error::Conflict(Box::new(stored))),
        }
    }
}

fn path(kind: Kind, name: &str) -> Result<String, Error> {
    conf::object::check_name(name).map_err(|error| refused(&error))?;
    Ok(format!("objects/{kind}/{name}"))
}
