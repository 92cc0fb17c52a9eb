//! Requests to backend servers over a connection pool, and health probes.
//!
//! Nothing is retried here. Every request ends with exactly one `Event::Reply`, whose failure
//! states whether any of the request may have reached the server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base::prelude::*;
use bytes::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use node::effect::Request;
use node::effect::Run;
use node::event::Condition;
use node::event::Event;
use node::event::Failure;
use node::event::Health;
use node::event::Reply;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock;
use crate::clock::Clock;
use crate::connection::Body;
use crate::connection::Connection;
use crate::connection::FullResponse;
use crate::connection::Meter;
use crate::format;

/// Time limit for a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of checks of a connection's byte count within the silence time-out.
const SILENCE_CHECKS: u32 = 4;
/// Header that carries the time until the request's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that identifies a request. A backend server returns it, so that a late second copy of an
/// earlier answer on the same connection is not taken for the answer to a later request.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header in which a backend server names its service.
const SERVICE_HEADER: &str = "x-service";

/// Limits of the pool.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time without a received byte after which a request times out.
    pub silence_timeout: Duration,
    /// Most connections to one backend server.
    pub server_connections_max: usize,
}

/// A pool of connections to backend servers. Clones share it.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    limits: Limits,
    events: mpsc::Sender<Event>,
    /// Number of requests so far, from which their identifiers are made.
    requests: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    idle: BTreeMap<SocketAddr, Vec<Idle>>,
    open_counts: BTreeMap<SocketAddr, usize>,
    cancels: BTreeMap<Run, oneshot::Sender<()>>,
}

struct Idle {
    connection: PooledConnection,
    since: Instant,
}

/// A connection that counts against the limit of its server until it is dropped.
struct PooledConnection {
    connection: Connection,
    _permit: Permit,
}

struct Permit {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        let left = match state.open_counts.get_mut(&self.address) {
            Some(count) => {
                *count -= 1;
                *count
            }
            None => return,
        };
        if left == 0 {
            state.open_counts.remove(&self.address);
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    /// Makes an empty pool that sends its events to `events`.
    pub fn new(clock: Clock, limits: Limits, events: mpsc::Sender<Event>) -> Pool {
        let state = Mutex::default();
        let shared = Arc::new(Shared {
            clock,
            limits,
            events,
            requests: AtomicU64::new(0),
            state,
        });
        Pool { shared }
    }

    /// Runs a request in the background. Ends with `Event::Reply`.
    pub fn call(&self, run: Run, request: Request) {
        let (cancel, cancelled) = oneshot::channel();
        self.shared.state().cancels.insert(run, cancel);
        let pool = self.clone();
        tokio::spawn(async move {
            let result = pool.run_request(&request, cancelled).await;
            pool.shared.state().cancels.remove(&run);
            let _ = pool.shared.events.send(Event::Reply { run, result }).await;
        });
    }

    /// Cancels a running request by closing its connection. It still ends with `Event::Reply`.
    pub fn cancel(&self, run: Run) {
        if let Some(cancel) = self.shared.state().cancels.remove(&run) {
            let _ = cancel.send(());
        }
    }

    /// Probes the health of a server in the background. Ends with `Event::Probed`.
    pub fn probe(&self, server: u32, address: SocketAddr) {
        let events = self.shared.events.clone();
        tokio::spawn(async move {
            let health = probe_health(address).await;
            let _ = events.send(Event::Probed { server, health }).await;
        });
    }

    /// Closes the idle connections to a server.
    pub fn disconnect(&self, address: SocketAddr) {
        let removed = self.shared.state().idle.remove(&address);
        // Dropped after the lock is released, since dropping a connection takes the lock.
        drop(removed);
    }

    /// Closes connections that have been idle for `IDLE_TIMEOUT`.
    pub fn expire_idle(&self) {
        let mut expired = Vec::new();
        let mut state = self.shared.state();
        state.idle.retain(|_, connections| {
            // Ordered by idle time, longest first.
            let old = connections.partition_point(|idle| idle.since.elapsed() > IDLE_TIMEOUT);
            expired.extend(connections.drain(..old));
            !connections.is_empty()
        });
        // Dropping a connection takes the lock, so it must be released first.
        drop(state);
        drop(expired);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.state().open_counts.values().sum()
    }

    async fn run_request(
        &self,
        request: &Request,
        cancelled: oneshot::Receiver<()>,
    ) -> Result<Reply, Failure> {
        let deadline = self.shared.clock.to_instant(request.deadline);
        let meter = OnceLock::new();
        let ended = tokio::select! {
            biased;
            result = self.try_request(request, &meter) => return result,
            Ok(()) = cancelled => Failure::Cancelled,
            () = tokio::time::sleep_until(deadline.into()) => Failure::TimedOut { new_connection_works: false },
            () = wait_for_silence(&meter, self.shared.limits.silence_timeout) => Failure::TimedOut { new_connection_works: false },
        };
        // The attempt and its connection have been dropped, so the meter no longer changes.
        let written = meter.get().map(|meter| meter.written());
        // Without a meter, no connection was ready for the request.
        match (ended, written) {
            (Failure::TimedOut { .. }, None) => Err(Failure::Unreachable),
            (_, None | Some(0)) => Err(Failure::Unsent),
            (Failure::TimedOut { .. }, _) => {
                let new_connection_works = probe_health(request.address).await.is_some();
                Err(Failure::TimedOut {
                    new_connection_works,
                })
            }
            (failure, _) => Err(failure),
        }
    }

    async fn try_request(
        &self,
        request: &Request,
        meter: &OnceLock<Arc<Meter>>,
    ) -> Result<Reply, Failure> {
        let (mut pooled, is_reused) = match self.take_idle(request) {
            Some(pooled) => (pooled, true),
            None => (self.open_verified(request).await?, false),
        };
        let now = self.shared.clock.now();
        if self.shared.clock.has_unhandled_pause() || now >= request.deadline {
            return Err(Failure::Unsent);
        }
        let id = self.shared.requests.fetch_add(1, Ordering::Relaxed);
        let left = request.deadline.since(now);
        let http_request = build_request(request, id, left).ok_or(Failure::Unsent)?;
        let meter = meter.get_or_init(|| pooled.connection.begin_request());
        let start = Instant::now();
        let Ok(response) = pooled.connection.exchange(http_request).await else {
            drop(pooled);
            let failure = match (meter.written(), is_reused) {
                (0, true) => Failure::Unsent,
                (0, false) => Failure::Unreachable,
                _ => Failure::ConnectionLost,
            };
            // Whatever closed this connection has probably closed the other idle ones too.
            self.disconnect(request.address);
            return Err(failure);
        };
        if !is_answer_to(&response, id) {
            tracing::warn!(event = "answer-to-another-request", address = %request.address);
            drop(pooled);
            // Whether this request is run is unknown, since its answer may still follow.
            return Err(Failure::ConnectionLost);
        }
        let took = clock::to_span(start.elapsed());
        let closed = !pooled.connection.wait_until_ready().await;
        if !closed {
            self.put_idle(request.address, pooled);
        }
        Ok(build_reply(response, took, closed))
    }

    fn take_idle(&self, request: &Request) -> Option<PooledConnection> {
        if request.needs_new_connection {
            return None;
        }
        let mut state = self.shared.state();
        let connections = state.idle.get_mut(&request.address)?;
        let last = connections.pop();
        if connections.is_empty() {
            state.idle.remove(&request.address);
        }
        last.map(|idle| idle.connection)
    }

    fn put_idle(&self, address: SocketAddr, connection: PooledConnection) {
        let since = Instant::now();
        let idle = Idle { connection, since };
        self.shared
            .state()
            .idle
            .entry(address)
            .or_default()
            .push(idle);
    }

    /// Opens a connection and verifies that the server belongs to the request's service: the
    /// address may have been assigned to another backend server since it was probed.
    async fn open_verified(&self, request: &Request) -> Result<PooledConnection, Failure> {
        let address = request.address;
        let permit = self.acquire_permit(address).ok_or(Failure::Unreachable)?;
        let mut connection = Connection::open(address)
            .await
            .map_err(|_| Failure::Unreachable)?;
        let health =
            tokio::time::timeout(PROBE_TIMEOUT, request_health(&mut connection, address)).await;
        let health = health.ok().flatten().ok_or(Failure::Unreachable)?;
        if health.service != request.service {
            return Err(Failure::WrongService);
        }
        if !connection.wait_until_ready().await {
            return Err(Failure::Unreachable);
        }
        Ok(PooledConnection {
            connection,
            _permit: permit,
        })
    }

    fn acquire_permit(&self, address: SocketAddr) -> Option<Permit> {
        let mut state = self.shared.state();
        let count = state.open_counts.entry(address).or_default();
        if *count >= self.shared.limits.server_connections_max {
            return None;
        }
        *count += 1;
        let shared = self.shared.clone();
        Some(Permit { address, shared })
    }
}

/// Returns once a request has started and nothing has been read for about `limit`.
async fn wait_for_silence(meter: &OnceLock<Arc<Meter>>, limit: Duration) {
    let mut last_read = None;
    let mut unchanged = 0;
    while unchanged < SILENCE_CHECKS {
        tokio::time::sleep(limit / SILENCE_CHECKS).await;
        let read = meter.get().map(|meter| meter.read());
        unchanged = match read.is_some() && read == last_read {
            true => unchanged + 1,
            false => 0,
        };
        last_read = read;
    }
}

/// Returns whether a response answers the request with an identifier. A server that returns no
/// identifier is believed.
fn is_answer_to(response: &FullResponse, id: u64) -> bool {
    let header = response.head.headers.get(REQUEST_ID_HEADER);
    header.is_none_or(|value| value.as_bytes() == id.to_string().as_bytes())
}

fn build_request(request: &Request, id: u64, left: Span) -> Option<hyper::Request<Body>> {
    let mut builder = hyper::Request::builder()
        .method(request.method)
        .uri(&request.target)
        .header(HOST, &request.service)
        .header(DEADLINE_HEADER, left.as_millis())
        .header(REQUEST_ID_HEADER, id);
    if let Some(media_type) = request.format.and_then(format::media_type) {
        builder = builder.header(CONTENT_TYPE, media_type);
    }
    builder.body(Body::new(request.body.clone())).ok()
}

fn build_reply(response: FullResponse, took: Span, closed: bool) -> Reply {
    let header = |name| response.head.headers.get(name)?.to_str().ok();
    Reply {
        status: response.head.status.as_u16(),
        format: header(CONTENT_TYPE.as_str()).and_then(format::content_format),
        service: header(SERVICE_HEADER).map(str::to_owned),
        body: response.body.clone(),
        took,
        closed,
    }
}

/// Response body of `GET /health`.
#[derive(Deserialize)]
struct HealthPage {
    service: String,
    state: String,
    #[serde(default)]
    busy: u32,
    #[serde(default)]
    connections: u32,
}

impl TryFrom<HealthPage> for Health {
    type Error = strum::ParseError;

    fn try_from(page: HealthPage) -> Result<Health, strum::ParseError> {
        Ok(Health {
            state: page.state.parse::<Condition>()?,
            service: page.service,
            busy: page.busy,
            connections: page.connections,
        })
    }
}

/// Probes a server's health on a new connection.
async fn probe_health(address: SocketAddr) -> Option<Health> {
    let probe = async {
        let mut connection = Connection::open(address).await.ok()?;
        request_health(&mut connection, address).await
    };
    tokio::time::timeout(PROBE_TIMEOUT, probe).await.ok()?
}

/// Requests a server's health on an open connection.
async fn request_health(connection: &mut Connection, address: SocketAddr) -> Option<Health> {
    let request = hyper::Request::get("/health")
        .header(HOST, address.to_string())
        .body(Body::new(Bytes::new()))
        .ok()?;
    let response = connection.exchange(request).await.ok()?;
    if !response.head.status.is_success() {
        return None;
    }
    let page: HealthPage = serde_json::from_slice(&response.body).ok()?;
    Health::try_from(page).ok()
}
