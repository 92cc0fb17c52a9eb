//! The reducer: its state, readiness, and the ownership of cold servers and checks.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::num::NonZeroU64;

use base::prelude::*;
use conf::key;
use member::Group;
use wire::frame::Speed;

use crate::admission;
use crate::backlog;
use crate::backlog::Backlog;
use crate::check;
use crate::cold;
use crate::contact::Contacts;
use crate::count::Counts;
use crate::demand::Demands;
use crate::effect::Effect;
use crate::established;
use crate::event::Event;
use crate::exchange::Exchange;
use crate::exchange::View;
use crate::feed::Feeds;
use crate::flow::Flow;
use crate::flow::Flows;
use crate::flow::Id;
use crate::host;
use crate::host::Host;
use crate::load;
use crate::load::Loads;
use crate::note::Note;
use crate::observation::Observation;
use crate::opening;
use crate::overview;
use crate::pace::Rank;
use crate::packet::Head;
use crate::packet::Verdict;
use crate::peer;
use crate::reach::Reach;
use crate::read;
use crate::report;
use crate::role::Role;
use crate::setting::Setting;
use crate::shortage::Shortages;
use crate::snapshot;
use crate::speed::Speeds;
use crate::spill::Spills;
use crate::startup::serve;
use crate::startup::Startup;
use crate::table;
use crate::table::Table;
use crate::tick;

/// A balancer that forwards packets.
#[derive(Clone, Debug)]
pub struct Forwarder {
    pub(crate) setting: Setting,
    pub(crate) now: Time,
    pub(crate) table: Table,
    pub(crate) flows: Flows,
    pub(crate) loads: Loads,
    pub(crate) speeds: Speeds,
    pub(crate) admission: admission::Gate,
    pub(crate) demands: Demands,
    pub(crate) exchange: Exchange,
    pub(crate) spills: Spills,
    pub(crate) feeds: Feeds,
    pub(crate) group: Group,
    pub(crate) counts: Counts,
    /// When frames of the balancers of each failure domain arrived.
    pub(crate) contacts: Contacts,
    /// Whether this balancer reaches the store.
    pub(crate) reach: Reach,
    /// Whether packets may have queued before they were read.
    pub(crate) backlog: Backlog,
    /// The recent openings that were lost without a copy.
    pub(crate) lost_openings: backlog::Lost,
    /// The balancers that may own cold servers.
    pub(crate) owners: cold::Owners,
    /// The restart hints that have not been sent.
    pub(crate) hints: Vec<report::Hint>,
    /// Whether the balancer was ready at the last tick.
    pub(crate) was_ready: bool,
    /// When the planned stop began.
    pub(crate) stopping_since: Option<Time>,
    /// Which part this balancer has in the distribution of platform objects.
    pub(crate) role: Role,
    /// Number of resync requests sent to peers, which selects the next peer to ask.
    pub(crate) resync_attempts: usize,
    /// Whether some server's health has changed in a way that peers should learn soon.
    pub(crate) has_urgent_evidence: bool,
    /// Until when load reports repeat the suspicions of this balancer, for a peer that has joined.
    pub(crate) repeat_until: Time,
    /// When the last packet of a caller arrived.
    pub(crate) last_packet_at: Time,
    pub(crate) timers: tick::Timers,
    /// The pools that were short of capacity in the last minute.
    pub(crate) shortages: Shortages,
    /// The use of the host's link and processor.
    pub(crate) host: Host,
    /// The start: requests for a snapshot, and reads of the platform.
    pub(crate) startup: Startup,
    /// The balancers that are sent a snapshot.
    pub(crate) server: serve::Server,
    /// The encoded objects of the last snapshot.
    pub(crate) snapshot: Option<snapshot::Cache>,
}

impl Forwarder {
    /// Returns a balancer without any replicated state.
    pub fn new(setting: Setting, now: Time) -> Forwarder {
        let group = peer::new_group(&setting, now);
        let host = Host::new(setting.capacity);
        let speeds = Speeds::default().with_balancer(group.local().incarnation);
        Forwarder {
            group,
            setting,
            now,
            table: Table::default(),
            flows: Flows::default(),
            loads: Loads::default(),
            speeds,
            admission: admission::Gate::default(),
            demands: Demands::default(),
            exchange: Exchange::default(),
            spills: Spills::default(),
            feeds: Feeds::default(),
            counts: Counts::default(),
            contacts: Contacts::default(),
            reach: Reach::default(),
            backlog: Backlog::new(now),
            lost_openings: backlog::Lost::default(),
            owners: cold::Owners::default(),
            hints: Vec::new(),
            was_ready: false,
            stopping_since: None,
            role: Role::default(),
            resync_attempts: 0,
            has_urgent_evidence: false,
            repeat_until: Time::default(),
            last_packet_at: now,
            timers: tick::Timers::new(now),
            shortages: Shortages::default(),
            host,
            startup: Startup::new(now),
            server: serve::Server::default(),
            snapshot: None,
        }
    }

    /// Decides on a packet of a caller, and appends further work for the driver to `out`.
    pub fn handle_packet(&mut self, now: Time, head: &Head, out: &mut Vec<Effect>) -> Verdict {
        self.now = now;
        self.last_packet_at = now;
        self.backlog.record_event(now);
        match head.flags.syn {
            true => opening::handle_packet(self, head, out),
            false => established::handle_packet(self, head, out),
        }
    }

    /// Applies an event, and appends the work for the driver to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        self.now = now;
        self.backlog.record_event(now);
        match event {
            Event::Tick => tick::tick(self, out),
            Event::Objects {
                kind,
                since,
                upto,
                objects,
            } => read::handle_answer(self, kind, since, upto, &objects, out),
            Event::ReadFailed {
                kind,
                is_history_gone,
                why,
            } => read::handle_failure(self, kind, is_history_gone, why, out),
            Event::Candidates(addresses) => peer::add_candidates(self, addresses, out),
            Event::Frame { peer, frame } => peer::handle_frame(self, peer, frame, out),
            Event::Fragment(peer) => self.startup.record_fragment(now, peer),
            Event::Checked {
                server,
                name,
                outcome,
            } => check::handle_result(self, server, &name, outcome, out),
            Event::Resumed(pause) => self.resume(pause, out),
            Event::Setting(setting) => self.reload(*setting, out),
            Event::Stop => self.stop(out),
            Event::HostUse(sample) => report::observe_host(self, sample, out),
        }
    }

    /// Returns whether all replicated state that forwarding needs has been received.
    pub fn can_serve(&self) -> bool {
        self.table.has_routing() && self.feeds.are_synced()
    }

    /// Returns whether the balancer can serve packets, is not stopping, is not isolated from the
    /// backend servers and has not withdrawn because its host is full.
    pub fn is_ready(&self) -> bool {
        self.can_serve()
            && self.stopping_since.is_none()
            && !self.is_isolated()
            && !self.host.readiness().is_withdrawn()
    }

    /// Returns whether callers should use other balancers: operators have taken this failure domain
    /// out, no backend server is reachable from here, or the only accepting servers of some pool are
    /// in other failure domains and unresponsive.
    fn is_isolated(&self) -> bool {
        if self.is_replaced() {
            return true;
        }
        let mut present = self.table.servers().filter(|(_, row)| row.is_present());
        let silent = |(_, row): (key::Server, &table::row::Row)| row.health.is_silent();
        let is_silent = self.table.servers().next().is_some() && present.all(silent);
        is_silent
            || self
                .table
                .pools()
                .any(|pool| self.is_pool_unresponsive(pool))
    }

    /// Returns whether this failure domain is out and balancers of another one that is in may serve
    /// its callers. All servers that remain are in other domains, so that a partition of this one
    /// would leave its callers without any until the fabric notices.
    ///
    /// Balancers that are partitioned from here count as long as the servers of their domain are
    /// suspected too: if those answer, the balancers have probably ended.
    fn is_replaced(&self) -> bool {
        if !self.table.is_domain_out(&self.setting.domain) {
            return false;
        }
        let others = self
            .group
            .members()
            .filter(|member| member.state.is_live() && !self.table.is_domain_out(&member.domain));
        let domains: BTreeSet<&str> = others.map(|member| member.domain.as_str()).collect();
        domains.into_iter().any(|domain| {
            !self.group.is_partitioned(domain) || self.table.is_whole_domain_suspected(domain)
        })
    }

    /// Returns whether all accepting servers of a pool are in other failure domains and have failed
    /// a check. False for a pool without accepting servers.
    fn is_pool_unresponsive(&self, pool: &table::Pool) -> bool {
        let mut has_remote = false;
        for &server in &pool.servers {
            let row = self.table.server(server);
            let domain = self.table.domain(row.domain);
            if !self.table.takes_flows(server, self.now) {
                continue;
            }
            if domain.name == self.setting.domain || !row.health.is_confirmed() {
                return false;
            }
            has_remote = true;
        }
        has_remote
    }

    /// Returns the rate at which this host may send snapshots, in bytes per second.
    pub fn snapshot_rate(&self) -> u64 {
        serve::rate(self.setting.capacity.link.map(NonZeroU64::get))
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// Returns the counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the routes, pools and backend servers in force.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the service times of backend servers.
    pub fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    /// Returns the demand that this balancer knows.
    pub fn demands(&self) -> &Demands {
        &self.demands
    }

    /// Returns the shares of the pools that spill to other failure domains.
    pub fn spills(&self) -> &Spills {
        &self.spills
    }

    /// Returns the admin page about shortages.
    pub fn overview(&self) -> overview::Page {
        overview::page(&overview::View {
            now: self.now,
            domain: &self.setting.domain,
            table: &self.table,
            group: &self.group,
            feeds: &self.feeds,
            loads: &self.loads,
            speeds: &self.speeds,
            admission: &self.admission,
            demands: &self.demands,
            spills: &self.spills,
            shortages: &self.shortages,
            host: self.host.is_known().then(|| self.host.usage().into()),
        })
    }

    /// Returns the exchange of demand, with the state that it reads and the demand that it changes.
    pub(crate) fn exchange_parts(&mut self) -> (&mut Exchange, &mut Demands, View<'_>) {
        let view = View {
            now: self.now,
            table: &self.table,
            loads: &self.loads,
            group: &self.group,
            domain: &self.setting.domain,
        };
        (&mut self.exchange, &mut self.demands, view)
    }

    /// Returns the use of the host's link and processor.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Returns the class by which the host refuses the flows of a service address; `None` if no route
    /// has the address.
    pub(crate) fn host_class(&self, service: SocketAddrV4) -> Option<host::Class> {
        let route = self.table.route(service)?;
        Some(host::Class::new(route.kind, route.priority))
    }

    /// Returns the rank of a packet that waits for the host's link. Packets without a route go first:
    /// they are few, since their flows have lost it.
    pub fn rank(&self, head: &Head) -> Rank {
        let class = self.host_class(head.service);
        class.map_or(Rank::FIRST, |class| Rank::new(head, class))
    }

    /// Records a forwarded packet, with the length of its data in bytes, as use of the host.
    pub(crate) fn record_host_packet(&mut self, class: host::Class, length: u16) {
        if self.host.is_known() {
            self.host.gate_mut().record_packet(class, length);
        }
    }

    /// Returns the number of flows in the flow table.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.group.local().incarnation
    }

    /// Returns the period of load reports. It grows with the number of peers in the failure domain,
    /// so that the bandwidth of reports does not.
    pub(crate) fn report_period(&self) -> Span {
        load::report_period(peer::domain_peers(self).count() as u64)
    }

    /// Applies the service times that a member reports. A forged sender adds no state.
    pub(crate) fn apply_speeds(&mut self, from: Incarnation, speeds: &[Speed]) {
        if self.group.get(from).is_some() {
            self.speeds
                .apply_report(self.now, from, speeds, &self.table);
        }
    }

    /// Reports an observation of a flow, unless its route is gone.
    pub(crate) fn observe(&self, id: Id, observation: Observation, out: &mut Vec<Effect>) {
        if let Some(route) = self.table.route(id.service) {
            let class = route.into();
            out.push(Effect::Observed { class, observation });
        }
    }

    /// Adds a flow. Returns whether there was room.
    pub(crate) fn insert_flow(&mut self, id: Id, flow: Flow) -> bool {
        let is_inserted = self.flows.insert(id, flow);
        if is_inserted {
            self.table.server_mut(flow.server).add_flow(&flow);
        }
        is_inserted
    }

    /// Removes a flow.
    pub(crate) fn remove_flow(&mut self, id: Id) -> Option<Flow> {
        let flow = self.flows.remove(id)?;
        self.table.server_mut(flow.server).remove_flow(&flow);
        Some(flow)
    }

    fn resume(&mut self, pause: Span, out: &mut Vec<Effect>) {
        out.push(Effect::Note(Note::Resumed { pause }));
        self.owners.record_pause(self.now);
        self.backlog.begin(self.now);
        // Flows that went unanswered during the pause say nothing about their servers' health.
        for flow in self.flows.remove_all() {
            self.table.server_mut(flow.server).remove_flow(&flow);
        }
        self.feeds.request_reads(self.now);
        peer::step_group(self, member::Event::Resume, out);
    }

    fn reload(&mut self, setting: Setting, out: &mut Vec<Effect>) {
        let seeds = setting.seeds.clone();
        self.host.set_capacity(setting.capacity);
        self.setting = setting;
        out.push(Effect::Note(Note::Reloaded));
        peer::add_candidates(self, seeds, out);
    }

    fn stop(&mut self, out: &mut Vec<Effect>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(self.now);
        let flows = self.flows.len();
        out.push(Effect::Note(Note::Stopping { flows }));
        if self.timers.is_announced {
            out.push(Effect::Withdraw);
        }
        peer::step_group(self, member::Event::Leave, out);
    }
}
