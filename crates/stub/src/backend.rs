//! An HTTP/1.1 backend server with limited concurrency, cold starts, drain and fault injection.
//!
//! `GET PATH?size=N` answers `body::generate`; any other method answers `body::receipt` of the `id`
//! in the query. The control endpoints have an address of their own: `GET /control/stats`, `PUT
//! /control/faults`, and `POST` to `/control/cold` (`?ms=N`), `/control/drain`, `/control/undrain`,
//! `/control/stop` and `/control/silence`, which makes all open connections unresponsive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::body;
use crate::http;
use crate::http::Answer;
use crate::http::Lost;
use crate::http::Payload;
use crate::http::Signal;

mod options;
mod state;

pub use options::Faults;
pub use options::Options;
pub use options::ServiceTime;
pub use state::Health;
pub use state::Phase;
pub use state::Stats;

use state::Refusal;
use state::State;

/// Maximum length of an answer; a larger `size` is clamped.
const BODY_MAX: usize = 4 << 20;
/// Header that identifies a request, which its answer returns.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Addresses that a backend server listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// The service it serves.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// The control endpoints.
    pub control: SocketAddr,
}

/// A running backend server; it stops at once when dropped.
#[derive(Debug)]
pub struct Server {
    address: Address,
    shared: Arc<Shared>,
    served: tokio::task::JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    service: HeaderValue,
    state: Mutex<State>,
    slots: Semaphore,
    connections: u32,
    signal: watch::Sender<Signal>,
    control_signal: watch::Sender<Signal>,
    faults: watch::Sender<Faults>,
}

impl Server {
    /// Starts a backend server; port 0 picks a free one.
    pub async fn start(
        options: Options,
        listen: SocketAddr,
        control: SocketAddr,
    ) -> Result<Server> {
        let listener = TcpListener::bind(listen).await?;
        let control = TcpListener::bind(control).await?;
        let address = Address {
            service: options.service.clone(),
            address: listener.local_addr()?,
            control: control.local_addr()?,
        };
        let shared = Arc::new(Shared {
            service: HeaderValue::from_str(&options.service)?,
            slots: Semaphore::new(options.slots as usize),
            connections: options.connections,
            state: Mutex::new(State::new(options)),
            signal: watch::Sender::default(),
            control_signal: watch::Sender::default(),
            faults: watch::Sender::default(),
        });
        let signal = shared.signal.subscribe();
        let served = tokio::spawn(http::serve(
            listener,
            Arc::new(RequestHandler(shared.clone())),
            signal,
        ));
        let signal = shared.control_signal.subscribe();
        tokio::spawn(http::serve(
            control,
            Arc::new(ControlHandler(shared.clone())),
            signal,
        ));
        Ok(Server {
            address,
            shared,
            served,
        })
    }

    /// Returns the addresses that it listens on.
    pub fn address(&self) -> &Address {
        &self.address
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.shared.state().snapshot()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Shuts down gracefully: accepts no more connections and returns when running requests have
    /// ended.
    pub async fn stop(mut self) {
        self.shared.stop();
        let _ = (&mut self.served).await;
    }
}

impl Drop for Server {
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
        self.state().faults = faults.clone();
        self.faults.send_replace(faults);
    }

    fn stop(&self) {
        self.signal.send_modify(|s| s.stopping = true);
    }

    fn abort_connections(&self) {
        self.signal.send_modify(|s| s.aborts += 1);
    }

    /// Waits while the server is frozen, and for ever if the connection was made unresponsive.
    async fn wait_while_unresponsive(&self, conn: &Conn) {
        let mut faults = self.faults.subscribe();
        // `self` owns the sender, so waiting cannot fail.
        let _ = faults.wait_for(|f| !f.freeze).await;
        if conn.generation < self.state().connection_generation {
            std::future::pending::<()>().await;
        }
    }
}

/// An open connection.
struct Conn {
    shared: Arc<Shared>,
    generation: u64,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.shared.state().stats.connections -= 1;
    }
}

struct RequestHandler(Arc<Shared>);

impl http::Handler for RequestHandler {
    type Conn = Conn;

    fn open(self: &Arc<Self>) -> Option<Conn> {
        let mut state = self.0.state();
        state.record_contact();
        if state.is_down() || state.stats.connections >= self.0.connections {
            state.stats.refused += 1;
            return None;
        }
        state.stats.connections += 1;
        Some(Conn {
            shared: self.0.clone(),
            generation: state.connection_generation,
        })
    }

    async fn handle(self: Arc<Self>, conn: Arc<Conn>, request: Request<Incoming>) -> Answer {
        self.0.wait_while_unresponsive(&conn).await;
        self.0.state().record_contact();
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let mut answer = match request.uri().path() {
            "/health" => {
                let health = self.0.state().health_report();
                http::json(StatusCode::OK, &health)?
            }
            _ => self.0.serve_request(request).await?,
        };
        self.0.wait_while_unresponsive(&conn).await;
        let service = self.0.service.clone();
        answer.headers_mut().insert("x-service", service);
        if let Some(id) = id {
            answer.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        Ok(answer)
    }
}

impl Shared {
    async fn serve_request(self: &Arc<Self>, request: Request<Incoming>) -> Answer {
        let arrived = Instant::now();
        self.state().stats.last_request_ms = state::unix_ms();
        if !self.is_for_service(&request) {
            self.state().stats.wrong_service += 1;
            return http::respond(StatusCode::MISDIRECTED_REQUEST, Payload::default());
        }
        let deadline = remaining_time(&request).map(|left| arrived + left);
        let (parts, incoming) = request.into_parts();
        let sent = http::collect_body(incoming).await?;
        let query = http::parse_query(parts.uri.query());
        let admitted = self.state().admit_request();
        match admitted {
            Ok(()) => {}
            Err(Refusal::Shed) => return overload_response(),
            Err(Refusal::Crash) => {
                self.abort_connections();
                return Err(Lost);
            }
        }
        let run = AdmittedRequest::new(self.clone());
        // The semaphore is never closed.
        let _slot = self.slots.acquire().await.map_err(|_| Lost)?;
        if deadline.is_some_and(|at| Instant::now() >= at) {
            self.state().stats.expired += 1;
            return overload_response();
        }
        run.execute(query.get("id").map(String::as_str)).await;
        let size = query.get("size").and_then(|s| s.parse().ok());
        let data = match parts.method {
            Method::GET => body::generate(parts.uri.path(), size.unwrap_or(0).min(BODY_MAX)),
            _ => body::receipt(query.get("id").map_or("", |id| id), &sent).into_bytes(),
        };
        self.success_response(data.into())
    }

    fn is_for_service(&self, request: &Request<Incoming>) -> bool {
        let host = request.headers().get("host").map(HeaderValue::as_bytes);
        let name = host.and_then(|h| h.split(|&b| b == b':').next());
        name == Some(self.service.as_bytes())
    }

    fn success_response(&self, data: Bytes) -> Answer {
        let mut state = self.state();
        let body = Payload::new(data);
        if state.faults.cut_answers > 0 {
            state.faults.cut_answers -= 1;
            return http::respond(StatusCode::OK, body.with_truncation());
        }
        http::respond(StatusCode::OK, body)
    }
}

fn overload_response() -> Answer {
    http::respond(StatusCode::SERVICE_UNAVAILABLE, Payload::default())
}

/// Returns the time left for a request, from its `x-deadline-ms` header.
fn remaining_time(request: &Request<Incoming>) -> Option<Duration> {
    let header = request.headers().get("x-deadline-ms")?;
    let ms = header.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// An admitted request; dropped early if its connection closes.
struct AdmittedRequest {
    shared: Arc<Shared>,
}

impl AdmittedRequest {
    fn new(shared: Arc<Shared>) -> AdmittedRequest {
        AdmittedRequest { shared }
    }

    async fn execute(&self, id: Option<&str>) {
        let time = self.shared.state().start_request(id);
        let mut execution = Execution {
            shared: &self.shared,
            since: Instant::now(),
            is_complete: false,
        };
        tokio::time::sleep(time).await;
        execution.is_complete = true;
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.shared.state().release_request();
    }
}

/// The execution of a request; counted as cancelled if dropped before it is complete.
struct Execution<'a> {
    shared: &'a Shared,
    since: Instant,
    is_complete: bool,
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        let ran = self.since.elapsed();
        self.shared.state().finish_request(ran, self.is_complete);
    }
}

struct ControlHandler(Arc<Shared>);

impl http::Handler for ControlHandler {
    type Conn = ();

    fn open(self: &Arc<Self>) -> Option<()> {
        Some(())
    }

    async fn handle(self: Arc<Self>, _: Arc<()>, request: Request<Incoming>) -> Answer {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = http::parse_query(request.uri().query());
        let body = http::collect_body(request.into_body()).await?;
        match (&method, path.as_str()) {
            (&Method::GET, "/control/stats") => {
                let stats = self.0.state().snapshot();
                return http::json(StatusCode::OK, &stats);
            }
            (&Method::PUT, "/control/faults") => match serde_json::from_slice(&body) {
                Ok(faults) => self.0.set_faults(faults),
                Err(error) => {
                    let why = error.to_string();
                    return http::respond(StatusCode::BAD_REQUEST, Payload::new(why));
                }
            },
            (&Method::POST, "/control/cold") => {
                let ms = query.get("ms").and_then(|ms| ms.parse().ok());
                self.0.state().start_cold_under_load(ms);
            }
            (&Method::POST, "/control/drain") => self.0.set_draining(true),
            (&Method::POST, "/control/undrain") => self.0.set_draining(false),
            (&Method::POST, "/control/stop") => self.0.stop(),
            (&Method::POST, "/control/silence") => self.0.state().connection_generation += 1,
            _ => return http::respond(StatusCode::NOT_FOUND, Payload::default()),
        }
        http::respond(StatusCode::OK, Payload::default())
    }
}

impl Shared {
    fn set_draining(&self, on: bool) {
        let mut state = self.state();
        state.is_draining = on;
        state.record_health();
    }
}
