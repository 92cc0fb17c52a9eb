//! The simulated store: objects of each kind with one revision, watches and injected faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;
use conf::object;
use conf::object::Body;
use conf::object::Kind;
use conf::object::Meta;
use conf::object::Object;
use conf::object::State;
use conf::place::Place;
use conf::raw;
use forward::prelude::*;

use super::domain_name;
use super::restore;
use super::Simulation;
use super::Status;
use super::Task;
use super::POOL;
use super::SERVICE;

/// The latency of a read.
const READ_LATENCY: Span = Span::millis(4);
/// The time, beyond the wait of a watch, after which a balancer gives up a read.
const READ_TIMEOUT: Span = Span::millis(600);

/// The state of the store.
///
/// Objects have bare revisions; balancers receive the places in the current era.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    /// Rises with each restore from an older copy.
    pub(crate) era: u64,
    pub(crate) revision: u64,
    pub(super) objects: BTreeMap<(Kind, String), raw::Object>,
    /// The changes that reads can deliver, including tombstones.
    pub(super) history: Vec<raw::Object>,
    /// The revision up to which the history of changes is lost.
    pub(crate) history_floor: u64,
    pub(super) watches: Vec<Watch>,
    /// Until when all reads and discoveries fail.
    pub(crate) down_until: Time,
    /// Until when watches deliver no changes.
    pub(crate) watches_stalled_until: Time,
    /// The balancers whose reads are rejected.
    pub(crate) rejected_balancers: BTreeSet<usize>,
    /// The balancers whose reads get no answer.
    pub(crate) unanswered_balancers: BTreeSet<usize>,
    /// The number of reads that balancers started.
    pub(crate) calls: u64,
    /// These reads.
    pub(crate) reads: Vec<Read>,
}

/// A read that a balancer started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read {
    pub(crate) balancer: usize,
    pub(crate) kind: Kind,
    pub(crate) since: u64,
    pub(crate) wait: Span,
}

impl Read {
    /// Returns the kind of the call: a listing, a watch, or a read of the changes that is answered
    /// at once.
    pub(crate) fn call(&self) -> &'static str {
        match (self.since, self.wait) {
            (0, _) => "listing",
            (_, Span::ZERO) => "changes",
            _ => "watch",
        }
    }
}

/// A read that is held until there is a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Watch {
    balancer: usize,
    incarnation: u32,
    read: u32,
    kind: Kind,
    since: u64,
}

/// A scheduled change.
#[derive(Clone, Debug)]
pub(crate) enum Write {
    /// Writes the entry of a server as it is at that time.
    UpdateEntry(usize),
    /// Removes the entry of a server if it is still unresponsive.
    ExpireEntry(usize),
    /// Restarts a crashed server, which writes its entry.
    RestartServer(usize),
    /// Repeats a change that a restore has undone.
    Repeat(restore::Lost),
}

impl Store {
    /// Returns the place of a revision in the current era.
    pub(crate) fn place(&self, revision: u64) -> u64 {
        let place = Place::new(self.era, revision);
        place.expect("the revision is in range").into()
    }

    /// Returns objects with their places as versions.
    fn with_places(&self, objects: impl Iterator<Item = raw::Object>) -> Vec<raw::Object> {
        let with_place = |object: raw::Object| raw::Object {
            version: self.place(object.version),
            ..object
        };
        objects.map(with_place).collect()
    }
}

impl Simulation {
    /// Writes the routes and pools.
    pub(crate) fn write_routing(&mut self) {
        self.write_routing_with(|_| ());
    }

    /// Writes the routes and pools after `change` is applied to them.
    pub(crate) fn write_routing_with(&mut self, change: impl Fn(&mut object::Routing)) {
        let share = object::Share {
            pool: POOL.into(),
            weight: 1,
        };
        let route = object::Route::new(SERVICE, vec![share]);
        let pool = object::Pool {
            name: POOL.into(),
            cold_per_minute: self.cold_per_minute,
            cold: Span::secs(2),
            check_path: object::DEFAULT_CHECK_PATH.into(),
        };
        let mut routing = object::Routing {
            routes: vec![route],
            pools: vec![pool],
            idle: Span::secs(15),
        };
        change(&mut routing);
        self.put_object("main".into(), BTreeMap::new(), Body::Routing(routing));
    }

    /// Writes the current entry of a server.
    pub(crate) fn write_server(&mut self, server: usize) {
        self.servers[server].removed_at = None;
        let current = &self.servers[server];
        let state = match current.status {
            Status::Draining(_) => State::Drain,
            _ => State::In,
        };
        let labels = [
            (object::DOMAIN_LABEL, domain_name(current.domain)),
            (object::POOL_LABEL, current.pool.clone()),
            (object::STATE_LABEL, state.name().to_owned()),
        ];
        let body = Body::Server(object::Server {
            address: current.address.into(),
            slots: 2,
            connections: 2000,
            domain: domain_name(current.domain),
            state,
            pool: Some(current.pool.clone()),
            identity: Some(current.identity),
            cold: current.cold_until.since(self.now),
        });
        let labels = labels.map(|(name, value)| (name.to_owned(), value));
        self.put_object(current.name.clone(), labels.into(), body);
    }

    pub(super) fn write_domain(&mut self, domain: usize, is_out: bool) {
        let name = domain_name(domain);
        if !is_out {
            return self.remove_object(Kind::Domain, &name);
        }
        let label = (object::STATE_LABEL.to_owned(), State::Out.name().to_owned());
        let body = Body::Domain(object::Domain { state: State::Out });
        self.put_object(name, [label].into(), body);
    }

    pub(super) fn apply_write(&mut self, write: Write) {
        match write {
            Write::UpdateEntry(server) if self.servers[server].is_running() => {
                self.write_server(server)
            }
            Write::UpdateEntry(_) => (),
            Write::ExpireEntry(server) if !self.servers[server].is_responsive() => {
                let name = self.servers[server].name.clone();
                self.remove_object(Kind::Server, &name);
            }
            Write::ExpireEntry(_) => (),
            Write::RestartServer(server) => self.restart_cold(server),
            Write::Repeat(lost) => self.repeat_change(lost),
        }
    }

    fn put_object(&mut self, name: String, labels: BTreeMap<String, String>, body: Body) {
        let meta = Meta {
            name: name.clone(),
            uid: 1,
            version: 0,
            generation: 0,
            labels,
        };
        let object = Object { meta, body };
        self.put_raw((object.kind(), name), raw::Object::from(&object));
    }

    /// Writes an object at the next revision.
    pub(super) fn put_raw(&mut self, key: (Kind, String), mut raw: raw::Object) {
        self.store.revision += 1;
        raw.version = self.store.revision;
        self.store.objects.insert(key, raw.clone());
        self.record_change(raw);
    }

    /// Removes an object.
    pub(crate) fn remove_object(&mut self, kind: Kind, name: &str) {
        let Some(mut raw) = self.store.objects.remove(&(kind, name.to_owned())) else {
            return;
        };
        self.store.revision += 1;
        raw.version = self.store.revision;
        raw.deleted = true;
        raw.spec = raw::Spec::default();
        raw.labels.clear();
        self.record_change(raw);
    }

    fn record_change(&mut self, raw: raw::Object) {
        self.store.history.push(raw);
        if self.now < self.store.watches_stalled_until || self.now < self.store.down_until {
            return;
        }
        self.notify_watches();
    }

    fn notify_watches(&mut self) {
        for watch in std::mem::take(&mut self.store.watches) {
            let is_silent = self.store.unanswered_balancers.contains(&watch.balancer);
            match is_silent || self.changes_for(&watch).is_empty() {
                true => self.store.watches.push(watch),
                false => self.answer_watch(&watch),
            }
        }
    }

    fn changes_for(&self, watch: &Watch) -> Vec<raw::Object> {
        let since = Place::from(watch.since).revision();
        let history = self.store.history.iter();
        let changes = history.filter(|raw| raw.version > since && raw.kind == watch.kind.name());
        self.store.with_places(changes.cloned())
    }

    /// Returns whether a watch starts before the known history, or after the last revision.
    fn is_history_gone(&self, watch: &Watch) -> bool {
        let since = Place::from(watch.since).revision();
        since < self.store.history_floor || since > self.store.revision
    }

    fn answer_watch(&mut self, watch: &Watch) {
        let event = match self.is_history_gone(watch) {
            true => Event::ReadFailed {
                kind: watch.kind,
                is_history_gone: true,
                why: "history gone".into(),
            },
            false => Event::Objects {
                kind: watch.kind,
                since: watch.since,
                upto: self.store.place(self.store.revision),
                objects: self.changes_for(watch),
            },
        };
        self.schedule_result(watch, event, READ_LATENCY);
    }

    fn schedule_result(&mut self, watch: &Watch, event: Event, wait: Span) {
        let task = Task::ReadResult {
            balancer: watch.balancer,
            incarnation: watch.incarnation,
            read: watch.read,
            kind: watch.kind,
            event: Box::new(event),
        };
        self.schedule(wait, task);
    }

    /// Returns whether a balancer's reads of the store are answered.
    pub(super) fn reaches_store(&self, balancer: usize) -> bool {
        let domain = self.balancers[balancer].domain;
        let is_cut = self.partitioned.contains(&domain) || self.egress_blocked.contains(&domain);
        !is_cut
            && self.now >= self.store.down_until
            && !self.store.rejected_balancers.contains(&balancer)
            && !self.store.unanswered_balancers.contains(&balancer)
    }

    /// Discards the history of changes, so that reads from earlier revisions fail.
    pub(crate) fn truncate_history(&mut self) {
        self.store.history_floor = self.store.revision;
        self.store.history.clear();
    }

    pub(super) fn handle_read(&mut self, balancer: usize, kind: Kind, since: u64, wait: Span) {
        self.store.calls += 1;
        self.store.reads.push(Read {
            balancer,
            kind,
            since,
            wait,
        });
        let state = &mut self.balancers[balancer];
        let read = state.reads.entry(kind).or_default();
        *read += 1;
        let watch = Watch {
            balancer,
            incarnation: state.incarnation,
            read: *read,
            kind,
            since,
        };
        // A read cancels the previous one of its kind.
        let is_replaced = |old: &Watch| old.balancer == balancer && old.kind == kind;
        self.store.watches.retain(|old| !is_replaced(old));
        let domain = self.balancers[balancer].domain;
        let is_partitioned =
            self.partitioned.contains(&domain) || self.egress_blocked.contains(&domain);
        let is_unanswered = self.store.unanswered_balancers.contains(&balancer);
        if self.now < self.store.down_until
            || self.store.rejected_balancers.contains(&balancer)
            || is_partitioned
            || is_unanswered
        {
            let event = Event::ReadFailed {
                kind,
                is_history_gone: false,
                why: "down".into(),
            };
            // A read that gets no answer ends with the balancer's time-out.
            let wait = match (is_unanswered, is_partitioned) {
                (true, _) => Span(wait.0 + READ_TIMEOUT.0),
                (false, true) => Span::millis(800),
                (false, false) => READ_LATENCY,
            };
            return self.schedule_result(&watch, event, wait);
        }
        if since == 0 {
            let event = Event::Objects {
                kind,
                since,
                upto: self.store.place(self.store.revision),
                objects: self.objects_of(kind),
            };
            let listed = match &event {
                Event::Objects { objects, .. } => objects.len(),
                _ => 0,
            };
            let wait = Span(READ_LATENCY.0 + self.listing_time(balancer, listed).0);
            return self.schedule_result(&watch, event, wait);
        }
        let is_answered = self.is_history_gone(&watch) || !self.changes_for(&watch).is_empty();
        // A stalled watch does not deliver earlier changes either.
        let is_stalled = self.now < self.store.watches_stalled_until;
        if wait == Span::ZERO || is_answered && !is_stalled {
            return self.answer_watch(&watch);
        }
        self.schedule(wait, Task::WatchExpiry(watch.clone()));
        self.store.watches.push(watch);
    }

    fn objects_of(&self, kind: Kind) -> Vec<raw::Object> {
        let objects = self.store.objects.iter();
        let objects = objects.filter(|((other, _), _)| *other == kind);
        self.store.with_places(objects.map(|(_, raw)| raw.clone()))
    }

    /// Returns the place of the last change of an object, if it exists.
    pub(crate) fn written_at(&self, kind: Kind, name: &str) -> Option<u64> {
        let object = self.store.objects.get(&(kind, name.to_owned()))?;
        Some(self.store.place(object.version))
    }

    /// Ends all watches without an answer.
    pub(super) fn close_watches(&mut self) {
        for watch in std::mem::take(&mut self.store.watches) {
            let event = Event::ReadFailed {
                kind: watch.kind,
                is_history_gone: false,
                why: "connection closed".into(),
            };
            self.schedule_result(&watch, event, READ_LATENCY);
        }
    }

    pub(super) fn expire_watch(&mut self, watch: &Watch) {
        let before = self.store.watches.len();
        self.store.watches.retain(|other| other != watch);
        if self.store.watches.len() == before {
            return;
        }
        let is_silent = self.store.unanswered_balancers.contains(&watch.balancer);
        if is_silent || self.now < self.store.watches_stalled_until {
            // The watch does not even end; only the balancer's time-out detects the failure.
            let event = Event::ReadFailed {
                kind: watch.kind,
                is_history_gone: false,
                why: "timed out".into(),
            };
            let wait = if is_silent {
                READ_TIMEOUT
            } else {
                Span::millis(800)
            };
            return self.schedule_result(watch, event, wait);
        }
        self.answer_watch(watch);
    }

    pub(super) fn handle_discovery(&mut self, balancer: usize, incarnation: u32) {
        if self.balancers[balancer].incarnation != incarnation || self.now < self.store.down_until {
            return;
        }
        let all = 0..self.balancers.len();
        let running = all.filter(|&index| self.balancers[index].reducer.is_some());
        let addresses = running.map(super::peer_address).collect();
        self.step_balancer(balancer, Event::Candidates(addresses));
    }
}
