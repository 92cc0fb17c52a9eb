//! Background tasks that call the platform: a long poll for objects, periodic reads of the
//! hosts, and writes of the report.

use std::future::Future;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use conf::raw;
use node::event::Event;
use node::event::Host;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::metric::Metric;

/// Longest time for which the platform may hold a watch without changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Mean interval between reads of the hosts; jitter varies it by half.
const HOSTS_INTERVAL: Duration = Duration::from_secs(10);
/// Longest delay before the first read. Spreads the load when all balancers start together.
const START_JITTER_MAX: Duration = Duration::from_millis(500);
/// Backoff after the first failure. Doubles with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Upper bound of the backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Shortest interval between writes of the report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Attempts to write one version of the report.
const REPORT_ATTEMPTS: u32 = 3;

/// Objects and the store's revision at which they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store.
    pub revision: u64,
    /// Objects, including those marked as deleted.
    pub objects: Vec<raw::Object>,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The revision is older than the store's history, or newer than the store.
    Gone,
    /// The object does not exist.
    NotFound,
    /// The object's version has changed since it was read.
    Conflict,
    /// The platform is unreachable or refused the call.
    Failed(String),
}

/// The calls that a balancer makes to the platform's object API.
pub trait Platform: Send + Sync + 'static {
    /// Lists all objects.
    fn list(&self) -> impl Future<Output = Result<Listing, CallError>> + Send;
    /// Returns the objects that changed after revision `since`. Waits up to `wait` for a change if
    /// there is none yet.
    fn watch(
        &self,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, CallError>> + Send;
    /// Lists the hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<Host>, CallError>> + Send;
    /// Reads an object.
    fn get(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<raw::Object, CallError>> + Send;
    /// Writes an object if its stored version is `version`. 0 means that it must not exist.
    fn put(
        &self,
        object: &raw::Object,
        version: u64,
    ) -> impl Future<Output = Result<(), CallError>> + Send;
}

/// The name and spec of a report.
type Report = Option<(String, String)>;

/// Passes requests to the background tasks.
#[derive(Clone, Debug)]
pub struct Handle {
    refetch: mpsc::Sender<u64>,
    report: watch::Sender<Report>,
    revision: Arc<AtomicU64>,
}

impl Handle {
    /// Requests another read of the objects after `since`. Ignored while a request is pending.
    pub fn refetch(&self, since: u64) {
        let _ = self.refetch.try_send(since);
    }

    /// Requests a write of the report. Replaces a report that has not been written yet.
    pub fn set_report(&self, name: String, spec: String) {
        self.report.send_replace(Some((name, spec)));
    }

    /// Sets the revision in force, so that the watch does not start from an older one.
    pub fn set_revision(&self, revision: u64) {
        self.revision.store(revision, Ordering::Relaxed);
    }
}

/// Starts the background tasks. Events go to `events`.
pub fn start(platform: impl Platform, events: mpsc::Sender<Event>, metric: Arc<Metric>) -> Handle {
    let (refetch, refetches) = mpsc::channel(1);
    let (report, reports) = watch::channel(None);
    let revision = Arc::new(AtomicU64::new(0));
    let context = Arc::new(Context {
        platform,
        events,
        metric,
    });
    tokio::spawn(watch_objects(context.clone(), refetches, revision.clone()));
    tokio::spawn(poll_hosts(context.clone()));
    tokio::spawn(write_reports(context, reports));
    Handle {
        refetch,
        report,
        revision,
    }
}

struct Context<P> {
    platform: P,
    events: mpsc::Sender<Event>,
    metric: Arc<Metric>,
}

impl<P: Platform> Context<P> {
    /// Lists all objects if `since` is 0, otherwise reads those that changed after `since`. Returns
    /// the revision reached.
    async fn read(&self, since: u64, wait: Duration) -> Result<u64, CallError> {
        let result = match since {
            0 => self.platform.list().await,
            _ => self.platform.watch(since, wait).await,
        };
        self.metric
            .count_platform_call(if since == 0 { "list" } else { "watch" }, result.is_ok());
        let listing = result?;
        let upto = listing.revision;
        let objects = listing.objects;
        // An answer without objects is passed on too, since later deltas start from its revision.
        if since == 0 || upto > since {
            let event = Event::Objects {
                objects,
                since,
                upto,
            };
            let _ = self.events.send(event).await;
        }
        Ok(upto)
    }
}

/// Keeps one watch open, and lists the objects when there is no revision to watch from.
async fn watch_objects<P: Platform>(
    context: Arc<Context<P>>,
    mut refetches: mpsc::Receiver<u64>,
    revision: Arc<AtomicU64>,
) {
    tokio::time::sleep(jitter(START_JITTER_MAX)).await;
    let mut since = 0;
    // Set while a store that was reset is behind the revision in force: the watch then follows the
    // store's revision, since the store does not know the one in force.
    let mut is_store_behind = false;
    let mut backoff = Backoff::default();
    loop {
        let in_force = revision.load(Ordering::Relaxed);
        is_store_behind &= since < in_force;
        if !is_store_behind {
            since = since.max(in_force);
        }
        let result = tokio::select! {
            result = context.read(since, WATCH_TIMEOUT) => result,
            Some(from) = refetches.recv() => context.read(from, Duration::ZERO).await,
        };
        match result {
            Ok(upto) => {
                since = upto;
                backoff = Backoff::default();
            }
            Err(CallError::Gone) => {
                since = 0;
                is_store_behind = true;
                tokio::time::sleep(backoff.next_delay()).await;
            }
            Err(error) => {
                tracing::debug!(fault = ?error, "platform read failed");
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Reads the hosts periodically.
async fn poll_hosts<P: Platform>(context: Arc<Context<P>>) {
    tokio::time::sleep(jitter(START_JITTER_MAX)).await;
    loop {
        let result = context.platform.hosts().await;
        context.metric.count_platform_call("hosts", result.is_ok());
        if let Ok(hosts) = result {
            let _ = context.events.send(Event::Hosts(hosts)).await;
        }
        tokio::time::sleep(HOSTS_INTERVAL / 2 + jitter(HOSTS_INTERVAL)).await;
    }
}

/// Writes the newest report, at most once in `REPORT_INTERVAL`.
async fn write_reports<P: Platform>(
    context: Arc<Context<P>>,
    mut reports: watch::Receiver<Report>,
) {
    while reports.changed().await.is_ok() {
        let report = reports.borrow_and_update().clone();
        if let Some((name, spec)) = report {
            let is_written = write_report(&context, &name, &spec).await;
            if !is_written {
                tracing::debug!(name, "cannot write the report");
            }
        }
        tokio::time::sleep(REPORT_INTERVAL + jitter(REPORT_INTERVAL)).await;
    }
}

/// Reads the stored report and writes the new one if it differs. Returns whether the new report is
/// stored. If the answer to a write is lost, the next read shows whether it took effect.
async fn write_report<P: Platform>(context: &Context<P>, name: &str, spec: &str) -> bool {
    let mut backoff = Backoff::default();
    for _ in 0..REPORT_ATTEMPTS {
        let current = context.platform.get("Report", name).await;
        context.metric.count_platform_call("get", current.is_ok());
        let mut object = match current {
            Ok(object) => object,
            Err(CallError::NotFound) => raw::Object {
                kind: "Report".to_owned(),
                name: name.to_owned(),
                uid: 0,
                version: 0,
                generation: 0,
                deleted: false,
                labels: Default::default(),
                spec: raw::Spec::default(),
            },
            Err(_) => {
                tokio::time::sleep(backoff.next_delay()).await;
                continue;
            }
        };
        if object.spec.0 == spec {
            return true;
        }
        object.spec = raw::Spec(spec.to_owned());
        let version = if object.deleted { 0 } else { object.version };
        object.deleted = false;
        let result = context.platform.put(&object, version).await;
        context.metric.count_platform_call("put", result.is_ok());
        if result.is_ok() {
            return true;
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
    false
}

/// Exponential backoff with jitter.
struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff(BACKOFF_MIN)
    }
}

impl Backoff {
    fn next_delay(&mut self) -> Duration {
        let wait = self.0 / 2 + jitter(self.0);
        self.0 = (self.0 * 2).min(BACKOFF_MAX);
        wait
    }
}

/// Returns a random duration from 0 to `most`.
fn jitter(most: Duration) -> Duration {
    most.mul_f64(rand::random::<f64>())
}

/// Returns the result code of an error.
pub fn result_code(error: &CallError) -> Code {
    match error {
        CallError::NotFound => Code::NotFound,
        CallError::Conflict => Code::Conflict,
        CallError::Gone => Code::PlatformRefused,
        CallError::Failed(_) => Code::PlatformDown,
    }
}
