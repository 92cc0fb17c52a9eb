//! An in-memory implementation of the platform's object API, with fault injection.
//!
//! The API and the control endpoints have an address each, so that the control endpoints stay
//! reachable while the API is down. Control endpoints: `GET /control/stats`, `PUT /control/faults`,
//! `PUT /control/hosts`, and `POST` to `/control/snapshot`, `/control/restore` and
//! `/control/compact`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use conf::raw::Object;
use eyre::Result;
use hyper::body::Incoming;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Lost;
use crate::http::Payload;
use crate::http::Signal;

pub mod store;

use store::Hosts;
use store::Store;
use store::WriteError;

/// Maximum time that a watch waits for a change.
const WATCH_MAX_MS: u64 = 60_000;

/// Kind of outage of the API. Open connections are closed whenever it changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// New connections are closed immediately.
    Refuse,
    /// Every call is answered with 503.
    Unavailable,
    /// Calls are accepted and never answered.
    Hang,
}

/// Injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The current outage.
    pub outage: Outage,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that are applied but whose answer is lost.
    pub lose_writes: u32,
}

/// Number of calls since the start, by kind. A long poll counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Single objects read.
    pub get: u64,
    /// Lists read.
    pub list: u64,
    /// Objects written, refused writes included.
    pub put: u64,
    /// Objects deleted, refused deletions included.
    pub delete: u64,
    /// Watches.
    pub watch: u64,
    /// Lists of hosts read.
    pub hosts: u64,
    /// Connections and calls that an outage refused or left unanswered; not in the counts above.
    pub refused: u64,
    /// Writes that were applied but whose answer was lost.
    pub lost: u64,
    /// The store's revision.
    pub revision: u64,
}

/// Addresses that a platform listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// The object API.
    pub api: SocketAddr,
    /// The control endpoints.
    pub control: SocketAddr,
}

/// A running platform; it stops when dropped.
#[derive(Debug)]
pub struct Platform {
    address: Address,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    signal: watch::Sender<Signal>,
    control_signal: watch::Sender<Signal>,
    /// The store's revision; a change wakes the long polls.
    revision: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    /// Copy made by `/control/snapshot`, for `/control/restore`.
    snapshot: Store,
    hosts: Hosts,
    faults: Faults,
    stats: Stats,
}

impl Platform {
    /// Starts a platform; port 0 picks a free one.
    pub async fn start(api: SocketAddr, control: SocketAddr) -> Result<Platform> {
        let api = TcpListener::bind(api).await?;
        let control = TcpListener::bind(control).await?;
        let address = Address {
            api: api.local_addr()?,
            control: control.local_addr()?,
        };
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            signal: watch::Sender::default(),
            control_signal: watch::Sender::default(),
            revision: watch::Sender::default(),
        });
        let signal = shared.signal.subscribe();
        tokio::spawn(http::serve(
            api,
            Arc::new(ApiHandler(shared.clone())),
            signal,
        ));
        let signal = shared.control_signal.subscribe();
        tokio::spawn(http::serve(
            control,
            Arc::new(ControlHandler(shared.clone())),
            signal,
        ));
        Ok(Platform { address, shared })
    }

    /// Returns the addresses that it listens on.
    pub fn address(&self) -> Address {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.shared.stats()
    }

    /// Returns a copy of the store, for a later restore.
    pub fn copy(&self) -> Store {
        self.shared.state().store.clone()
    }

    /// Restores the store from a copy, in a new era. Open connections are closed.
    pub fn restore(&self, copy: Store) {
        self.shared.restore(copy);
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for signal in [&self.shared.signal, &self.shared.control_signal] {
            signal.send_modify(|s| {
                s.stopping = true;
                s.aborts += 1;
            });
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        // Each change is complete before the lock is released, so a panic elsewhere leaves the
        // state consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: Faults) {
        let before = std::mem::replace(&mut self.state().faults, faults);
        if before.outage != faults.outage {
            self.signal.send_modify(|s| s.aborts += 1);
        }
    }

    fn stats(&self) -> Stats {
        let state = self.state();
        Stats {
            revision: state.store.revision(),
            ..state.stats
        }
    }

    fn restore(&self, copy: Store) {
        self.state().store.restore(copy);
        self.signal.send_modify(|s| s.aborts += 1);
        self.publish_revision();
    }

    fn publish_revision(&self) {
        let revision = self.state().store.revision();
        self.revision.send_replace(revision);
    }

    /// Answers a write, unless a fault drops the answer.
    fn write_response(&self, result: Result<Object, WriteError>) -> Answer {
        self.publish_revision();
        let mut state = self.state();
        if result.is_ok() && state.faults.lose_writes > 0 {
            state.faults.lose_writes -= 1;
            state.stats.lost += 1;
            return Err(Lost);
        }
        drop(state);
        match result {
            Ok(object) => http::json(StatusCode::OK, &object),
            Err(WriteError::Conflict(stored)) => http::json(StatusCode::CONFLICT, &stored),
            Err(WriteError::NotFound) => http::respond(StatusCode::NOT_FOUND, Payload::default()),
        }
    }

    async fn long_poll(&self, since: u64, wait: Duration, kinds: Option<&str>) -> Answer {
        let mut revision = self.revision.subscribe();
        let until = Instant::now() + wait;
        loop {
            let changes = self.state().store.changes_since(since);
            let Ok(mut list) = changes else {
                return http::respond(StatusCode::GONE, Payload::default());
            };
            if let Some(kinds) = kinds {
                let is_wanted = |kind: &str| kinds.split(',').any(|wanted| wanted == kind);
                list.objects.retain(|object| is_wanted(&object.kind));
            }
            if !list.objects.is_empty() || Instant::now() >= until {
                return http::json(StatusCode::OK, &list);
            }
            let _ = tokio::time::timeout_at(until, revision.changed()).await;
        }
    }
}

#[derive(Debug)]
struct ApiHandler(Arc<Shared>);

impl http::Handler for ApiHandler {
    type Conn = ();

    fn open(self: &Arc<Self>) -> Option<()> {
        let mut state = self.0.state();
        if state.faults.outage == Outage::Refuse {
            state.stats.refused += 1;
            return None;
        }
        Some(())
    }

    async fn handle(self: Arc<Self>, _: Arc<()>, request: Request<Incoming>) -> Answer {
        let Faults {
            outage, delay_ms, ..
        } = self.0.state().faults;
        if outage != Outage::None {
            self.0.state().stats.refused += 1;
        }
        match outage {
            Outage::None => {}
            Outage::Refuse => return Err(Lost),
            Outage::Hang => return std::future::pending().await,
            Outage::Unavailable => {
                return http::respond(StatusCode::SERVICE_UNAVAILABLE, Payload::default());
            }
        }
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.0.route(request).await
    }
}

impl Shared {
    async fn route(&self, request: Request<Incoming>) -> Answer {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = http::parse_query(request.uri().query());
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (&method, parts.as_slice()) {
            (&Method::GET, ["v1", "objects"]) => self.list(None),
            (&Method::GET, ["v1", "objects", kind]) => self.list(Some(kind)),
            (&Method::GET, ["v1", "objects", kind, name]) => self.get(kind, name),
            (&Method::PUT, ["v1", "objects", kind, name]) => {
                let body = http::collect_body(request.into_body()).await?;
                self.put(kind, name, number("version"), &body)
            }
            (&Method::DELETE, ["v1", "objects", kind, name]) => {
                self.delete(kind, name, number("version"))
            }
            (&Method::GET, ["v1", "watch"]) => {
                let Some(since) = number("since") else {
                    return bad_request("since is missing");
                };
                self.state().stats.watch += 1;
                let wait = number("wait_ms").unwrap_or(0).min(WATCH_MAX_MS);
                let kinds = query.get("kinds").map(String::as_str);
                self.long_poll(since, Duration::from_millis(wait), kinds)
                    .await
            }
            (&Method::GET, ["v1", "hosts"]) => {
                let mut state = self.state();
                state.stats.hosts += 1;
                http::json(StatusCode::OK, &state.hosts)
            }
            _ => http::respond(StatusCode::NOT_FOUND, Payload::default()),
        }
    }

    fn list(&self, kind: Option<&str>) -> Answer {
        let mut state = self.state();
        state.stats.list += 1;
        http::json(StatusCode::OK, &state.store.list(kind))
    }

    fn get(&self, kind: &str, name: &str) -> Answer {
        let mut state = self.state();
        state.stats.get += 1;
        match state.store.get(kind, name) {
            Some(object) => http::json(StatusCode::OK, object),
            None => http::respond(StatusCode::NOT_FOUND, Payload::default()),
        }
    }

    fn put(&self, kind: &str, name: &str, version: Option<u64>, body: &[u8]) -> Answer {
        self.state().stats.put += 1;
        let Some(version) = version else {
            return bad_request("version is missing");
        };
        let object: Object = match serde_json::from_slice(body) {
            Ok(object) => object,
            Err(error) => return bad_request(&error.to_string()),
        };
        if object.kind != kind || object.name != name {
            return bad_request("kind and name differ from the path");
        }
        let result = self.state().store.put(object, version);
        self.write_response(result)
    }

    fn delete(&self, kind: &str, name: &str, version: Option<u64>) -> Answer {
        self.state().stats.delete += 1;
        let Some(version) = version else {
            return bad_request("version is missing");
        };
        let result = self.state().store.delete(kind, name, version);
        self.write_response(result)
    }
}

fn bad_request(why: &str) -> Answer {
    http::respond(StatusCode::BAD_REQUEST, Payload::new(why.to_owned()))
}

#[derive(Debug)]
struct ControlHandler(Arc<Shared>);

impl http::Handler for ControlHandler {
    type Conn = ();

    fn open(self: &Arc<Self>) -> Option<()> {
        Some(())
    }

    async fn handle(self: Arc<Self>, _: Arc<()>, request: Request<Incoming>) -> Answer {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = http::collect_body(request.into_body()).await?;
        match (&method, path.as_str()) {
            (&Method::GET, "/control/stats") => {
                return http::json(StatusCode::OK, &self.0.stats());
            }
            (&Method::PUT, "/control/faults") => match serde_json::from_slice(&body) {
                Ok(faults) => self.0.set_faults(faults),
                Err(error) => return bad_request(&error.to_string()),
            },
            (&Method::PUT, "/control/hosts") => match serde_json::from_slice(&body) {
                Ok(hosts) => self.0.state().hosts = hosts,
                Err(error) => return bad_request(&error.to_string()),
            },
            (&Method::POST, "/control/snapshot") => {
                let mut state = self.0.state();
                state.snapshot = state.store.clone();
            }
            (&Method::POST, "/control/restore") => {
                let copy = self.0.state().snapshot.clone();
                self.0.restore(copy);
            }
            (&Method::POST, "/control/compact") => self.0.state().store.compact(),
            _ => return http::respond(StatusCode::NOT_FOUND, Payload::default()),
        }
        http::respond(StatusCode::OK, Payload::default())
    }
}
