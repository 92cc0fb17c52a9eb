//! The admin pages over HTTP: state dump, health, readiness, metrics and shortages.
//!
//! The pages send queries to the event loop, which owns the state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base::prelude::*;
use eyre::eyre;
use rocket::catch;
use rocket::catchers;
use rocket::fairing::AdHoc;
use rocket::get;
use rocket::http::Status;
use rocket::response::content::RawJson;
use rocket::routes;
use rocket::Request;
use rocket::Shutdown;
use rocket::State;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::metric::Count;
use crate::metric::Metric;

/// Time within which the event loop must answer a query, or the page fails with 503.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A query to the event loop, with the channel for its answer.
#[derive(Debug)]
pub enum Query {
    /// The state dump.
    Dump(oneshot::Sender<String>),
    /// Whether configuration is in force and the process is not stopping.
    Ready(oneshot::Sender<bool>),
    /// Counters and gauges.
    Counts(oneshot::Sender<Vec<Count>>),
    /// The page about shortages as JSON; `None` if the balancer has none.
    Load(oneshot::Sender<Option<String>>),
}

/// The HTTP server of the admin pages.
pub struct Admin {
    /// Bound address.
    pub local: SocketAddr,
    shutdown: Shutdown,
}

/// What the pages need to answer: the queue of queries and the metrics.
struct LoopHandle {
    queries: mpsc::Sender<Query>,
    metric: Arc<Metric>,
}

impl LoopHandle {
    async fn query<T>(&self, query: impl FnOnce(oneshot::Sender<T>) -> Query) -> Result<T, Status> {
        let (answer, answered) = oneshot::channel();
        let exchange = async {
            self.queries.send(query(answer)).await.ok()?;
            answered.await.ok()
        };
        let result = tokio::time::timeout(QUERY_TIMEOUT, exchange).await;
        result.ok().flatten().ok_or(Status::ServiceUnavailable)
    }
}

#[get("/dump")]
async fn dump(event_loop: &State<LoopHandle>) -> Result<String, Status> {
    event_loop.query(Query::Dump).await
}

/// Succeeds whenever the event loop answers, ready or not.
#[get("/health")]
async fn health(event_loop: &State<LoopHandle>) -> Result<&'static str, Status> {
    event_loop.query(Query::Ready).await.map(|_| "ok\n")
}

#[get("/ready")]
async fn ready(event_loop: &State<LoopHandle>) -> Result<&'static str, Status> {
    match event_loop.query(Query::Ready).await? {
        true => Ok("ready\n"),
        false => Err(Status::ServiceUnavailable),
    }
}

#[get("/metrics")]
async fn metrics(event_loop: &State<LoopHandle>) -> Result<String, Status> {
    let counts = event_loop.query(Query::Counts).await?;
    let text = event_loop.metric.render(&counts);
    text.map_err(|_| Status::InternalServerError)
}

/// Shows the pools that were short of capacity in the last minute.
#[get("/load")]
async fn load(event_loop: &State<LoopHandle>) -> Result<RawJson<String>, Status> {
    let page = event_loop.query(Query::Load).await?;
    page.map(RawJson).ok_or(Status::NotFound)
}

#[catch(default)]
fn error_page(status: Status, _request: &Request<'_>) -> String {
    format!("{status}\n")
}

impl Admin {
    /// Binds the address and serves the pages in the background.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        queries: mpsc::Sender<Query>,
        metric: Arc<Metric>,
    ) -> eyre::Result<Admin> {
        let (bound, binding) = oneshot::channel();
        let bound = Mutex::new(Some(bound));
        let liftoff = AdHoc::on_liftoff("bound", move |rocket| {
            let local = SocketAddr::new(rocket.config().address, rocket.config().port);
            let bound = bound.lock().ok().and_then(|mut bound| bound.take());
            let shutdown = rocket.shutdown();
            Box::pin(async move {
                if let Some(bound) = bound {
                    let _ = bound.send(Admin { local, shutdown });
                }
            })
        });
        let rocket = rocket::custom(config(address))
            .manage(LoopHandle { queries, metric })
            .mount("/", routes![dump, health, ready, metrics, load])
            .register("/", catchers![error_page])
            .attach(liftoff)
            .ignite()
            .await
            .map_err(|e| eyre!("{}: admin {address}: {e}", Code::BindFailed))?;
        let task = tokio::spawn(rocket.launch());
        if let Ok(admin) = binding.await {
            return Ok(admin);
        }
        match task.await {
            Ok(Err(e)) => Err(eyre!("{}: admin {address}: {e}", Code::BindFailed)),
            _ => Err(eyre!("{}: admin {address}", Code::BindFailed)),
        }
    }

    /// Stops serving.
    pub fn stop(self) {
        self.shutdown.notify();
    }
}

fn config(address: SocketAddr) -> rocket::Config {
    rocket::Config {
        address: address.ip(),
        port: address.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        keep_alive: 1,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: 1,
            mercy: 1,
            ..Default::default()
        },
        ..rocket::Config::release_default()
    }
}
