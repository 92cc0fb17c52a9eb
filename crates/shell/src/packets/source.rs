//! Background tasks that call the platform and check backend servers, and send the results to the
//! event loop.
//!
//! At most one read of each kind of object runs at a time: a new read aborts the previous one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use conf::key;
use conf::object::Kind;
use conf::place::Place;
use forward::check::Outcome;
use forward::event::Event;
use plat::response::Unreadable;
use plat::source::Announcement;
use plat::source::Checked;
use plat::source::Source;
use plat::Error;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::metric::Metric;

/// Attempts to announce this balancer on the platform.
const ANNOUNCE_ATTEMPTS: u32 = 20;
/// Delay between attempts to announce this balancer.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Bounds the number of entries whose faults are remembered as logged.
const LOGGED_FAULTS_MAX: usize = 1_000;

/// The entries that could not be decoded and have been logged, with their versions. A listing
/// repeats an unchanged entry, whose fault is logged only once. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct LoggedFaults {
    versions: Arc<Mutex<BTreeMap<(Kind, String), u64>>>,
}

impl LoggedFaults {
    /// Records an entry, and returns whether this version of it has not been recorded before.
    pub fn insert(&self, entry: &Unreadable) -> bool {
        let versions = self.versions.lock();
        let mut versions = versions.unwrap_or_else(PoisonError::into_inner);
        let key = (entry.kind, entry.name.clone());
        if versions.len() >= LOGGED_FAULTS_MAX && !versions.contains_key(&key) {
            versions.clear();
        }
        versions.insert(key, entry.version) != Some(entry.version)
    }
}

/// Starts the tasks and keeps track of running reads.
pub struct Tasks<S> {
    source: S,
    events: mpsc::Sender<Event>,
    metric: Arc<Metric>,
    reads: BTreeMap<Kind, JoinHandle<()>>,
    faults: LoggedFaults,
}

impl<S: Source> Tasks<S> {
    /// Makes a set without running tasks. Results are sent to `events`.
    pub fn new(source: S, events: mpsc::Sender<Event>, metric: Arc<Metric>) -> Tasks<S> {
        Tasks {
            source,
            events,
            metric,
            reads: BTreeMap::new(),
            faults: LoggedFaults::default(),
        }
    }

    /// Starts a read of the objects of `kind`, and aborts a running read of the same kind. Lists
    /// all objects if `since` is 0, otherwise watches for changes after that revision for up to
    /// `wait`.
    pub fn start_read(&mut self, kind: Kind, since: u64, wait: Span) {
        let (source, events) = (self.source.clone(), self.events.clone());
        let (metric, faults) = (self.metric.clone(), self.faults.clone());
        let task = tokio::spawn(async move {
            let event = read(&source, &metric, &faults, kind, since, wait).await;
            // The send fails only after the loop has ended.
            let _ = events.send(event).await;
        });
        if let Some(old) = self.reads.insert(kind, task) {
            old.abort();
        }
    }

    /// Announces this balancer to its peers through the platform, with retries.
    pub fn announce(&self, name: &str, peer: SocketAddr) {
        let source = self.source.clone();
        let name = name.to_owned();
        tokio::spawn(async move {
            let own = Announcement {
                name,
                peer_address: peer,
            };
            for attempt in 1..=ANNOUNCE_ATTEMPTS {
                match source.announce(&own).await {
                    Ok(()) => return,
                    Err(error) => {
                        tracing::warn!(event = "announce-failed", attempt, %error);
                        tokio::time::sleep(ANNOUNCE_RETRY_DELAY).await;
                    }
                }
            }
        });
    }

    /// Runs a health check of a backend server. Ends with `Event::Checked`.
    pub fn check_server(
        &self,
        server: key::Server,
        name: String,
        address: SocketAddr,
        path: String,
        timeout: Span,
    ) {
        let (source, events) = (self.source.clone(), self.events.clone());
        tokio::spawn(async move {
            let timeout = Duration::from_micros(timeout.0);
            let outcome = match source.check_server(address, &path, &name, timeout).await {
                Checked::Answered => Outcome::Answered,
                Checked::Accepted => Outcome::Accepted,
                Checked::Silent => Outcome::Silent,
            };
            let event = Event::Checked {
                server,
                name,
                outcome,
            };
            // The send fails only after the loop has ended.
            let _ = events.send(event).await;
        });
    }

    /// Reads the announced balancers from the platform. Ends with `Event::Candidates`.
    pub fn discover(&self) {
        let (source, events) = (self.source.clone(), self.events.clone());
        tokio::spawn(async move { discover(&source, &events).await });
    }

    /// Withdraws the announcement of this balancer. Tried only once, since nothing depends on it.
    pub fn withdraw(&self, name: &str) {
        let (source, name) = (self.source.clone(), name.to_owned());
        tokio::spawn(async move {
            if let Err(error) = source.withdraw(&name).await {
                tracing::warn!(event = "withdraw-failed", %error);
            }
        });
    }
}

async fn read(
    source: &impl Source,
    metric: &Metric,
    faults: &LoggedFaults,
    kind: Kind,
    since: u64,
    wait: Span,
) -> Event {
    let result = match since {
        0 => source.list(kind).await,
        _ => {
            let wait = Duration::from_micros(wait.0);
            source.watch(kind, since, wait).await
        }
    };
    metric.count_platform_call(if since == 0 { "list" } else { "watch" }, result.is_ok());
    tracing::debug!(
        event = "platform-read",
        kind = kind.name(),
        since = %Place::from(since),
        wait_ms = wait.as_millis(),
        upto = %Place::from(result.as_ref().map_or(0, |list| list.revision)),
        is_ok = result.is_ok(),
    );
    match result {
        Ok(list) => {
            for unread in list.unreadable.iter().filter(|entry| faults.insert(entry)) {
                tracing::warn!(
                    event = "entry-unread",
                    code = %Code::Unreadable,
                    kind = kind.name(),
                    name = unread.name,
                    version = Place::from(unread.version).revision(),
                    why = unread.reason,
                );
            }
            Event::Objects {
                kind,
                since,
                upto: list.revision,
                objects: list.objects,
            }
        }
        Err(error) => Event::ReadFailed {
            kind,
            is_history_gone: error == Error::Gone,
            why: error.to_string(),
        },
    }
}

async fn discover(source: &impl Source, events: &mpsc::Sender<Event>) {
    match source.balancers().await {
        Ok(balancers) => {
            let addresses = balancers
                .into_iter()
                .map(|balancer| balancer.peer_address)
                .collect();
            // The send fails only after the loop has ended.
            let _ = events.send(Event::Candidates(addresses)).await;
        }
        Err(error) => tracing::warn!(event = "discover-failed", %error),
    }
}
