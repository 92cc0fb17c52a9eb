//! The state of a node, and its step function.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;

use base::hash;
use base::prelude::*;
use conf::key;
use conf::store::Store;
use conf::table::Table;
use cranelift_entity::SecondaryMap;
use limit::budget::Budgets;
use member::Group;

use crate::body;
use crate::count::Counts;
use crate::dispatch;
use crate::effect::Effect;
use crate::event::Event;
use crate::gossip;
use crate::handover;
use crate::ingress;
use crate::ingress::MOVED_BIT;
use crate::job;
use crate::owned::Outgoing;
use crate::owned::Owned;
use crate::ownership;
use crate::reconcile;
use crate::replication;
use crate::setting::Setting;
use crate::setting::TICK_INTERVAL;

/// Interval of the periodic work that is not needed on each tick.
const ROUND_INTERVAL: Span = Span::millis(100);

/// A balancer.
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) setting: Setting,
    pub(crate) now: Time,
    pub(crate) group: Group,
    pub(crate) store: Store,
    pub(crate) table: Table,
    /// Newest load report on each backend server.
    pub(crate) owners: ownership::Table,
    /// The balancer that should own each backend server, by this node's view of the membership.
    pub(crate) targets: SecondaryMap<key::Server, Option<Incarnation>>,
    /// Time since which a backend server should be owned here while no live balancer owns it.
    pub(crate) unowned_since: SecondaryMap<key::Server, Option<Time>>,
    /// Backend servers that this node owns.
    pub(crate) owned: BTreeMap<key::Server, Owned>,
    /// Hand-overs by this node that are not complete yet.
    pub(crate) outgoing: BTreeMap<key::Server, Outgoing>,
    pub(crate) jobs: job::Arena,
    pub(crate) bodies: body::Assembly,
    /// Retry budgets of the services, over all servers owned here.
    pub(crate) budget: Budgets,
    /// Hosts that the platform is about to remove.
    pub(crate) leaving_hosts: BTreeSet<IpAddr>,
    /// Sequence number of the last hand-over accepted, by sender and server.
    pub(crate) last_handovers: BTreeMap<(Incarnation, key::Server), u32>,
    pub(crate) is_stopping: bool,
    pub(crate) has_exited: bool,
    /// The target owners are computed again at the end of the current or next step.
    pub(crate) is_reconcile_due: bool,
    pub(crate) next_tick: Time,
    pub(crate) next_round: Time,
    pub(crate) replication: replication::State,
    pub(crate) next_load_report: Time,
    /// Sequence number of the last hand-over sent.
    pub(crate) handover_seq: u32,
    pub(crate) counts: Counts,
    nonce_count: u64,
}

impl Node {
    /// Creates a node without configuration or peers.
    pub fn new(setting: Setting) -> Node {
        let now = setting.start;
        let group = gossip::new_group(&setting, now);
        Node {
            now,
            group,
            store: Store::new(),
            table: Table::new(),
            owners: ownership::Table::default(),
            targets: SecondaryMap::new(),
            unowned_since: SecondaryMap::new(),
            owned: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            jobs: job::Arena::default(),
            bodies: body::Assembly::default(),
            budget: Budgets::new(),
            leaving_hosts: BTreeSet::new(),
            last_handovers: BTreeMap::new(),
            is_stopping: false,
            has_exited: false,
            is_reconcile_due: true,
            next_tick: now,
            next_round: now,
            replication: replication::State::default(),
            next_load_report: now,
            handover_seq: 0,
            counts: Counts::default(),
            nonce_count: 0,
            setting,
        }
    }

    /// Applies one event and appends the resulting effects to `out`.
    ///
    /// A `now` earlier than that of the last step is replaced by the latter.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Datagram {
                service,
                caller,
                data,
            } => ingress::handle_datagram(self, service, caller, data, out),
            Event::Frame { from, frame } => gossip::handle_frame(self, from, frame, out),
            Event::Objects {
                objects,
                since,
                upto,
            } => replication::apply_objects(self, objects, since, upto, out),
            Event::Hosts(hosts) => gossip::handle_hosts(self, hosts, out),
            Event::Reply { run, result } => dispatch::handle_reply(self, run, result, out),
            Event::Probed { server, health } => dispatch::handle_probed(self, server, health),
            Event::Resume(gap) => self.resume(gap, out),
            Event::Stop => self.stop(out),
        }
        self.run_due_work(out);
    }

    /// Returns the incarnation under which peers know this process.
    pub fn incarnation(&self) -> Incarnation {
        self.group.local().incarnation
    }

    /// Returns the configuration revision that is in force.
    pub fn revision(&self) -> u64 {
        self.store.revision()
    }

    /// Returns the configuration objects that are in force, one a line.
    pub fn objects_text(&self) -> String {
        let line = |object: &conf::object::Object| {
            let raw = conf::raw::Object::from(object);
            let labels: Vec<String> = raw.labels.iter().map(|(k, v)| format!("{k}={v}")).collect();
            let labels = labels.join(",");
            format!(
                "{} {} v{} [{labels}] {}\n",
                raw.kind, raw.name, raw.version, raw.spec.0
            )
        };
        self.store.objects().map(line).collect()
    }

    /// Returns whether the node is ready to receive callers' datagrams.
    pub fn is_ready(&self) -> bool {
        self.store.revision() > 0 && !self.is_stopping && self.group.is_settled()
    }

    /// Returns whether a graceful stop is complete.
    pub fn has_exited(&self) -> bool {
        self.has_exited
    }

    /// Returns the counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns whether this node owns the backend server with this uid.
    pub fn owns(&self, uid: u32) -> bool {
        let server = self.table.server_by_uid(uid);
        server.is_some_and(|server| self.owned.contains_key(&server))
    }

    /// Creates the identity of a new flow: 56 bits, the size of a token's nonce, without the bit
    /// that marks moved flows.
    pub(crate) fn new_nonce(&mut self, salt: u64) -> u64 {
        self.nonce_count += 1;
        let own = hash::pair(self.incarnation().0, self.nonce_count);
        hash::pair(own, salt) & 0xff_ffff_ffff_ffff & !MOVED_BIT
    }

    fn stop(&mut self, out: &mut Vec<Effect>) {
        if !self.is_stopping {
            self.is_stopping = true;
            self.is_reconcile_due = true;
            gossip::leave_group(self, out);
        }
    }

    /// Handles a pause of the process: the view of the other balancers may be stale now, and the
    /// pause does not count towards the age of records.
    fn resume(&mut self, gap: Span, out: &mut Vec<Effect>) {
        for owned in self.owned.values_mut() {
            owned.records.shift_ages(gap);
        }
        gossip::resume_group(self, out);
    }

    fn run_due_work(&mut self, out: &mut Vec<Effect>) {
        // A membership tick visits every member; steps that only relay a packet must not pay for
        // that.
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK_INTERVAL;
            gossip::tick(self, out);
        }
        if self.is_reconcile_due {
            self.is_reconcile_due = false;
            reconcile::ownership(self, out);
        }
        if self.now >= self.next_round {
            self.next_round = self.now + ROUND_INTERVAL;
            self.run_round(out);
        }
        dispatch::start_queued(self, out);
        if self.is_stopping && !self.has_exited && handover::may_exit(self) {
            self.has_exited = true;
            gossip::leave_group(self, out);
            out.push(Effect::Exit);
        }
    }

    fn run_round(&mut self, out: &mut Vec<Effect>) {
        reconcile::hand_over_due(self, out);
        reconcile::take_over_unowned(self, out);
        reconcile::withdraw_work(self, out);
        dispatch::probe_and_expire(self, out);
        handover::retransmit_due(self, out);
        replication::report_if_due(self, out);
        self.bodies.expire(self.now);
    }
}
