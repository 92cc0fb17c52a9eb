//! The membership reducer: its state, its public interface, and the handling of messages.
//!
//! Other modules implement the rest of `Group`: the membership table (`table`), the failure
//! detector (`detector`), suspicions and partitions (`suspicion`), and the choice of piggybacked
//! updates (`piggyback`).

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;

use crate::candidate::Candidates;
use crate::domain::Domains;
use crate::entry::Eligibility;
use crate::entry::Entry;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Message;
use crate::probe::Order;
use crate::probe::Probe;
use crate::probe::Relays;
use crate::queue::Queue;
use crate::record::Member;
use crate::record::State;
use crate::setting::Setting;

/// Pings by which a new revision is sent to the reporter of the failure domain.
const REVISION_PINGS: u32 = 2;

/// One balancer's view of all balancers.
///
/// Records are keyed by incarnation in a sorted map, not in an arena: they come and go, and the
/// order of iteration must not depend on the order in which they were added.
#[derive(Clone, Debug)]
pub struct Group {
    pub(crate) setting: Setting,
    pub(crate) local: Member,
    pub(crate) entries: BTreeMap<Incarnation, Entry>,
    /// Number of records that are not in a final state, this balancer's own included.
    pub(crate) live_count: usize,
    pub(crate) update_queue: Queue,
    pub(crate) probe_order: Order,
    pub(crate) relays: Relays,
    pub(crate) candidates: Candidates,
    pub(crate) domains: Domains,
    /// Pings with a new revision that are still to be sent to the reporter.
    pub(crate) revision_pings_left: u32,
    pub(crate) probe: Option<Probe>,
    /// Number of probes so far.
    pub(crate) probe_count: u64,
    pub(crate) next_probe: Time,
    pub(crate) next_candidate_ping: Time,
    pub(crate) seq: u32,
    /// The latest incarnation at each datagram address.
    pub(crate) addresses: BTreeMap<SocketAddr, Incarnation>,
    /// Until when this balancer sends additional pings, because its view may be incomplete. Extended
    /// while further balancers become known.
    pub(crate) sync_until: Time,
    /// Times of the first and the last step.
    pub(crate) step_times: Option<(Time, Time)>,
    /// When any balancer was last seen.
    pub(crate) last_seen: Option<Time>,
    pub(crate) is_settled: bool,
    pub(crate) is_superseded: bool,
}

impl Group {
    /// Makes a view that contains only the balancer itself.
    pub fn new(local: Member, setting: Setting) -> Group {
        let entry = Entry::new(local.clone(), Time::default(), Span::ZERO);
        Group {
            setting,
            entries: BTreeMap::from([(local.incarnation, entry)]),
            addresses: BTreeMap::from([(local.peer.datagram, local.incarnation)]),
            sync_until: Time::default(),
            local,
            live_count: 1,
            update_queue: Queue::default(),
            probe_order: Order::default(),
            relays: Relays::default(),
            candidates: Candidates::default(),
            domains: Domains::default(),
            revision_pings_left: 0,
            probe: None,
            probe_count: 0,
            next_probe: Time::default(),
            next_candidate_ping: Time::default(),
            seq: 0,
            step_times: None,
            last_seen: None,
            is_settled: true,
            is_superseded: false,
        }
    }

    /// Adds balancers as long-standing members, eligible for ownership at once. Skips this balancer
    /// and records in a final state.
    pub fn with_members(mut self, members: impl IntoIterator<Item = Member>) -> Group {
        for member in members {
            let incarnation = member.incarnation;
            if incarnation == self.local.incarnation || member.state.is_final() {
                continue;
            }
            let mut entry = Entry::new(member, Time::default(), Span::ZERO);
            entry.eligibility = Eligibility::Eligible;
            self.addresses
                .insert(entry.member.peer.datagram, incarnation);
            self.entries.insert(incarnation, entry);
        }
        self.live_count = self.entries.len();
        self
    }

    /// Processes an event, and appends the effects to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        if self.is_superseded {
            return;
        }
        let now = self.advance_clock(now);
        match event {
            Event::Tick => self.tick(now, out),
            Event::Message {
                from,
                peer,
                message,
            } => self.handle_message(now, from, peer, message, out),
            Event::Candidates(addresses) => {
                let limit = self.setting.max_candidates;
                self.candidates.extend(addresses, limit);
            }
            Event::Leave => self.leave(now, out),
            Event::Resume => self.resume(now),
        }
    }

    /// Returns this balancer's own record.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Returns all records, this balancer's own and tombstones included, sorted by incarnation.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns the record of one incarnation, which may be a tombstone.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        Some(&self.entries.get(&incarnation)?.member)
    }

    /// Returns the balancers of a failure domain that are alive or suspect and were never known to
    /// be leaving, whether or not they are eligible for ownership yet.
    pub fn alive_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a Member> {
        self.entries_in(domain).map(|entry| &entry.member)
    }

    /// Returns the balancers of a failure domain that are eligible for ownership of backend
    /// servers: those of `alive_in` whose hold time is over. If there are none, because all are
    /// flapping, returns those that have been there for a single hold time.
    pub fn owners_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a Member> {
        let best = self.entries_in(domain).map(|entry| entry.eligibility).max();
        let best = best.unwrap_or(Eligibility::Held);
        self.entries_in(domain)
            .filter(move |entry| best > Eligibility::Held && entry.eligibility == best)
            .map(|entry| &entry.member)
    }

    fn entries_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .values()
            .filter(move |entry| entry.can_own() && entry.member.domain == domain)
    }

    /// Returns whether a failure domain counts as partitioned: none of its balancers is seen.
    pub fn is_partitioned(&self, domain: &str) -> bool {
        self.domains.is_partitioned(domain)
    }

    /// Returns whether the view is up to date: a peer was seen since the last `Event::Resume` or
    /// late step, or there is no peer.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns whether this incarnation must not go on. `Effect::Superseded` has the reasons.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Returns the reporter of a failure domain: the balancer to which the others send new
    /// revisions first.
    pub fn reporter(&self, domain: &str) -> Option<Incarnation> {
        let first = self.owners_in(domain).next();
        let first = first.or_else(|| self.alive_in(domain).next());
        first.map(|member| member.incarnation)
    }

    /// Sets the configuration revision in force at this balancer.
    pub fn set_revision(&mut self, revision: u64) {
        if self.local.revision != revision {
            self.revision_pings_left = REVISION_PINGS;
        }
        self.local.revision = revision;
        self.store_local();
    }

    /// Copies this balancer's own record to the table.
    pub(crate) fn store_local(&mut self) {
        if let Some(entry) = self.entries.get_mut(&self.local.incarnation) {
            entry.member = self.local.clone();
            entry.was_leaving = self.local.state == State::Leaving;
        }
    }

    /// Advances the time, which never goes back. A gap longer than the suspicion time-out is
    /// handled like a pause of the process.
    fn advance_clock(&mut self, now: Time) -> Time {
        let Some((first, last)) = self.step_times else {
            self.start(now);
            return now;
        };
        let now = now.max(last);
        self.step_times = Some((first, now));
        if now.since(last) > self.setting.suspicion_timeout(self.live_count) {
            self.resume(now);
        }
        now
    }

    fn start(&mut self, now: Time) {
        self.step_times = Some((now, now));
        self.sync_until = now + self.setting.sync_window;
        if let Some(entry) = self.entries.get_mut(&self.local.incarnation) {
            entry.joined_at = now;
            entry.state_since = now;
        }
    }

    /// Handles the end of a pause: the view is not settled until a peer is seen, the probe under way
    /// is dropped, and all suspicions start over.
    fn resume(&mut self, now: Time) {
        self.is_settled = self.live_count <= 1;
        self.probe = None;
        self.next_probe = now;
        self.sync_until = now + self.setting.sync_window;
        self.relays.clear();
        for entry in self.entries.values_mut().filter(|entry| entry.is_live()) {
            entry.state_since = now;
        }
    }

    /// Advances the own state towards `Left`, and pings as many balancers as an update is transmitted
    /// to.
    fn leave(&mut self, now: Time, out: &mut Vec<Effect>) {
        let state = match self.local.state {
            State::Alive | State::Suspect => State::Leaving,
            State::Leaving => State::Left,
            State::Dead | State::Left => return,
        };
        self.local.state = state;
        self.local.epoch += 1;
        self.store_local();
        let times = self.setting.transmit_limit(self.live_count) as usize;
        let seed = u64::from(self.seq);
        for target in self.helpers(seed, self.local.incarnation, times) {
            self.ping(now, target, out);
        }
        out.push(Effect::Changed(self.local.incarnation));
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: Incarnation,
        address: SocketAddr,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        let (message, updates) = split_updates(message);
        // Updates from an incarnation in a final state may be as old as its pause. They are
        // ignored, but its pings are acknowledged, so that it learns its state.
        if self.entries.get(&from).is_none_or(Entry::is_live) {
            for update in updates {
                self.apply_update(now, update, out);
            }
        }
        if self.is_superseded {
            return;
        }
        let live = self.entries.get(&from).is_some_and(Entry::is_live);
        if live {
            self.record_contact(now, from, out);
        }
        match message {
            Message::Ping { seq, .. } => self.send_ack(now, from, address, seq, out),
            Message::Ack { seq, .. } if live => self.handle_ack(now, seq, out),
            Message::PingReq { seq, target, .. } if live => {
                self.send_relayed_ping(now, from, seq, target, out);
            }
            Message::Ack { .. } | Message::PingReq { .. } => {}
        }
    }

    fn send_ack(
        &mut self,
        now: Time,
        from: Incarnation,
        address: SocketAddr,
        seq: u32,
        out: &mut Vec<Effect>,
    ) {
        let known = self.entries.get(&from).map(|entry| entry.member.peer);
        let to = known.unwrap_or(Peer {
            datagram: address,
            stream: address,
        });
        let updates = self.updates_for(now, Some(from), seq);
        let message = Message::Ack { seq, updates };
        out.push(Effect::Send { to, message });
    }

    fn send_relayed_ping(
        &mut self,
        now: Time,
        requester: Incarnation,
        requester_seq: u32,
        target: Peer,
        out: &mut Vec<Effect>,
    ) {
        let known = self.addresses.get(&target.datagram).copied();
        let seq = self.next_seq();
        self.relays.push(seq, requester, requester_seq);
        let updates = self.updates_for(now, known, seq);
        let message = Message::Ping { seq, updates };
        out.push(Effect::Send {
            to: target,
            message,
        });
    }

    fn handle_ack(&mut self, now: Time, seq: u32, out: &mut Vec<Effect>) {
        // The ack may be relayed by a helper, so that the contact is with the target of the probe.
        if let Some(probe) = self.probe.filter(|probe| probe.seq == seq) {
            self.probe = None;
            self.record_contact(now, probe.target, out);
            return;
        }
        let Some((requester, seq)) = self.relays.take(seq) else {
            return;
        };
        let Some(to) = self.entries.get(&requester).map(|entry| entry.member.peer) else {
            return;
        };
        let updates = self.updates_for(now, Some(requester), seq);
        let message = Message::Ack { seq, updates };
        out.push(Effect::Send { to, message });
    }

    /// Records contact with a balancer, and restarts the suspicions that this affects.
    fn record_contact(&mut self, now: Time, from: Incarnation, out: &mut Vec<Effect>) {
        if self.may_be_forgotten(now) {
            return self.supersede(out);
        }
        let before = self.last_seen.replace(now);
        self.is_settled = true;
        let Some(entry) = self.entries.get_mut(&from) else {
            return;
        };
        entry.last_seen = Some(now);
        if entry.member.state == State::Suspect {
            entry.state_since = now;
        }
        let outage = self.domains.record_seen(&entry.member.domain, now);
        let domain = entry.member.domain.clone();
        let alone = before.map_or(Span::ZERO, |before| now.since(before));
        self.end_outage(now, domain, outage, alone, out);
    }

    /// Returns whether peers may have declared this incarnation dead and dropped the tombstone
    /// since: no peer was seen for half of the tombstone retention.
    fn may_be_forgotten(&self, now: Time) -> bool {
        let limit = Span(self.setting.tombstone_retention.0 / 2);
        let silent = |last| now.since(last) > limit;
        self.live_count > 1 && self.last_seen.is_some_and(silent)
    }

    /// Ends this incarnation: later events have no effect.
    pub(crate) fn supersede(&mut self, out: &mut Vec<Effect>) {
        if !self.is_superseded {
            self.is_superseded = true;
            out.push(Effect::Superseded);
        }
    }

    pub(crate) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}

/// Moves the updates out of a message.
fn split_updates(mut message: Message) -> (Message, Vec<Member>) {
    let updates = match &mut message {
        Message::Ping { updates, .. }
        | Message::Ack { updates, .. }
        | Message::PingReq { updates, .. } => std::mem::take(updates),
    };
    (message, updates)
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let settled = if self.is_settled {
            "settled"
        } else {
            "unsettled"
        };
        writeln!(f, "group of {} {settled}", self.local.name)?;
        for domain in self.domains.partitioned() {
            writeln!(f, "  cut {domain}")?;
        }
        for entry in self.entries.values() {
            let hold = match entry.eligibility {
                Eligibility::Held => " held",
                Eligibility::Fallback => " spare",
                Eligibility::Eligible => "",
            };
            writeln!(f, "  {}{hold}", entry.member)?;
        }
        write!(f, "  {} candidates", self.candidates.len())
    }
}
