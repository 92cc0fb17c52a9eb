//! The failure detector: probes, ping-reqs to helpers, and pings to candidate addresses.

use std::net::SocketAddr;

use base::hash;
use base::prelude::*;

use crate::entry::Entry;
use crate::event::Effect;
use crate::event::Message;
use crate::group::Group;
use crate::probe::Probe;
use crate::record::Member;
use crate::record::State;

/// Age of a probe, in probe periods, from which a missing ack is ignored, because this process
/// itself was late.
const LATE_PERIODS: u64 = 3;

impl Group {
    /// Runs all timers that are due.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.local.state == State::Left {
            return;
        }
        self.send_ping_reqs(now, out);
        if now >= self.next_probe {
            self.next_probe = now + self.setting.probe_period;
            self.end_probe(now, out);
            self.start_probe(now, out);
            self.ping_untried(now, out);
            self.ping_for_sync(now, out);
            self.announce_revision(now, out);
        }
        self.ping_candidate(now, out);
        self.expire(now, out);
    }

    /// Sends ping-reqs to helpers if the target of the probe has not acknowledged within the
    /// time-out.
    fn send_ping_reqs(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.is_indirect || now < probe.sent_at + self.setting.probe_timeout {
            return;
        }
        probe.is_indirect = true;
        let Probe { target, seq, .. } = *probe;
        let Some(peer) = self.get(target).map(|member| member.peer) else {
            return;
        };
        let count = self.setting.indirect_probes;
        for helper in self.helpers(u64::from(seq), target, count) {
            self.send(now, helper, seq, out, |updates| Message::PingReq {
                seq,
                target: peer,
                updates,
            });
        }
    }

    /// Ends the probe of the last period. If it is still not acknowledged, records its failure and
    /// suspects the target.
    fn end_probe(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let late = Span(self.setting.probe_period.0 * LATE_PERIODS);
        if now.since(probe.sent_at) >= late {
            return;
        }
        let Some(entry) = self.entries.get_mut(&probe.target) else {
            return;
        };
        if entry.confirmed_at().is_none() {
            entry.failed_probe = Some((probe.sent_at, now));
        }
        if matches!(entry.member.state, State::Alive | State::Leaving) {
            self.set_state(now, probe.target, State::Suspect, out);
        }
    }

    /// Starts the probe of this period. Every second one goes to a balancer on which the outcome of a
    /// suspicion depends, if there is one; the others follow the probe order.
    fn start_probe(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.probe_count += 1;
        let urgent = match self.probe_count % 2 {
            0 => self
                .witness_candidate(now)
                .or_else(|| self.unconfirmed_suspect()),
            _ => None,
        };
        let Some(target) = urgent.or_else(|| self.next_probe_target()) else {
            return;
        };
        let seq = self.ping(now, target, out);
        self.probe = Some(Probe {
            target,
            seq,
            sent_at: now,
            is_indirect: false,
        });
    }

    fn next_probe_target(&mut self) -> Option<Incarnation> {
        let me = self.local.incarnation;
        // First tries the rest of the current round, then a new round.
        for _ in 0..2 {
            while let Some(target) = self.probe_order.pop() {
                if self.entries.get(&target).is_some_and(Entry::is_live) {
                    return Some(target);
                }
            }
            let live = self.entries.values().filter(|entry| entry.is_live());
            let others = live.map(|entry| entry.member.incarnation);
            self.probe_order
                .refill(me.0, others.filter(|&other| other != me));
        }
        None
    }

    /// Returns up to `count` balancers that are alive or leaving, other than this one and `target`, in
    /// an order shuffled by `seed`. One of each failure domain comes first, so that a path around a
    /// network partition is found if there is one.
    pub(crate) fn helpers(&self, seed: u64, target: Incarnation, count: usize) -> Vec<Incarnation> {
        let me = self.local.incarnation;
        let helps = |member: &&Member| {
            matches!(member.state, State::Alive | State::Leaving)
                && member.incarnation != me
                && member.incarnation != target
        };
        let mut ranked: Vec<_> = self.members().filter(helps).collect();
        let key = hash::pair(me.0, seed);
        ranked.sort_unstable_by_key(|member| hash::pair(member.incarnation.0, key));
        let mut domains: Vec<&str> = Vec::new();
        let (mut first, mut rest) = (Vec::new(), Vec::new());
        for member in ranked {
            if domains.contains(&member.domain.as_str()) {
                rest.push(member.incarnation);
            } else {
                domains.push(&member.domain);
                first.push(member.incarnation);
            }
        }
        first.append(&mut rest);
        first.truncate(count);
        first
    }

    /// Pings a known balancer, and returns the sequence number.
    pub(crate) fn ping(&mut self, now: Time, target: Incarnation, out: &mut Vec<Effect>) -> u32 {
        let seq = self.next_seq();
        self.send(now, target, seq, out, |updates| Message::Ping {
            seq,
            updates,
        });
        seq
    }

    fn send(
        &mut self,
        now: Time,
        target: Incarnation,
        seq: u32,
        out: &mut Vec<Effect>,
        message: impl FnOnce(Vec<Member>) -> Message,
    ) {
        let Some(to) = self.get(target).map(|member| member.peer) else {
            return;
        };
        let message = message(self.updates_for(now, Some(target), seq));
        out.push(Effect::Send { to, message });
    }

    /// Pings the reporter of the own failure domain, as long as a new revision is to be sent to it.
    fn announce_revision(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.revision_pings_left == 0 {
            return;
        }
        self.revision_pings_left -= 1;
        let reporter = self.reporter(&self.local.domain);
        if let Some(reporter) = reporter.filter(|&reporter| reporter != self.local.incarnation) {
            self.ping(now, reporter, out);
        }
    }

    /// Pings a few more balancers while the own view may be incomplete: each ack carries a part of
    /// the table.
    fn ping_for_sync(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now >= self.sync_until {
            return;
        }
        let count = self.setting.fanout;
        for target in self.helpers(self.probe_count, self.local.incarnation, count) {
            self.ping(now, target, out);
        }
    }

    /// Pings a few candidate addresses that were never tried.
    fn ping_untried(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut tried = 0;
        while tried < self.setting.fanout {
            let Some(address) = self.candidates.pop_untried() else {
                return;
            };
            if !self.has_live_balancer(address) {
                self.ping_address(now, address, out);
                tried += 1;
            }
        }
    }

    /// Returns the time between two pings to candidate addresses. It is shorter after a start: all
    /// other balancers may be starting too.
    fn candidate_interval(&self, now: Time) -> Span {
        match now < self.sync_until {
            true => self.setting.join_retry,
            false => self.setting.candidate_retry,
        }
    }

    /// Pings the next candidate address at which no live balancer is known.
    fn ping_candidate(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now < self.next_candidate_ping {
            return;
        }
        self.next_candidate_ping = now + self.candidate_interval(now);
        for _ in 0..self.candidates.len() {
            let Some(address) = self.candidates.next() else {
                return;
            };
            if !self.has_live_balancer(address) {
                return self.ping_address(now, address, out);
            }
        }
    }

    /// Returns whether a live balancer is known at the address.
    fn has_live_balancer(&self, address: SocketAddr) -> bool {
        let incarnation = self.addresses.get(&address);
        let entry = incarnation.and_then(|incarnation| self.entries.get(incarnation));
        entry.is_some_and(Entry::is_live)
    }

    fn ping_address(&mut self, now: Time, address: SocketAddr, out: &mut Vec<Effect>) {
        let seq = self.next_seq();
        let updates = self.updates_for(now, None, seq);
        let to = Peer {
            datagram: address,
            stream: address,
        };
        let message = Message::Ping { seq, updates };
        out.push(Effect::Send { to, message });
    }
}
