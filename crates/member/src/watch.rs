//! Probes: whom to ask, whom to ask for help, and which addresses to try.

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

/// Periods after which an unanswered probe says nothing: this process was late itself.
const LATE_PERIODS: u64 = 3;

impl Group {
    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.me.state == State::Left {
            return;
        }
        self.ask_others(now, out);
        if now >= self.next_probe {
            self.next_probe = now + self.setting.period;
            self.end_probe(now, out);
            self.start_probe(now, out);
            self.try_fresh(now, out);
            self.ask_more(now, out);
            self.announce(now, out);
        }
        self.retry(now, out);
        self.sweep(now, out);
    }

    /// Asks others to probe the target when it has not answered.
    fn ask_others(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.indirect || now < probe.sent + self.setting.timeout {
            return;
        }
        probe.indirect = true;
        let Probe { target, seq, .. } = *probe;
        let Some(peer) = self.get(target).map(|member| member.peer) else {
            return;
        };
        let count = self.setting.indirect;
        for helper in self.helpers(u64::from(seq), target, count) {
            self.send(now, helper, seq, out, |updates| Message::PingReq {
                seq,
                target: peer,
                updates,
            });
        }
    }

    fn end_probe(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let late = Span(self.setting.period.0 * LATE_PERIODS);
        if now.since(probe.sent) >= late {
            return;
        }
        let Some(entry) = self.entries.get_mut(&probe.target) else {
            return;
        };
        if entry.confirmed().is_none() {
            entry.unanswered = Some((probe.sent, now));
        }
        if matches!(entry.member.state, State::Alive | State::Leaving) {
            self.judge(now, probe.target, State::Suspect, out);
        }
    }

    fn start_probe(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.turn += 1;
        let urgent = match self.turn % 2 {
            0 => self.doubted(now).or_else(|| self.unconfirmed()),
            _ => None,
        };
        let Some(target) = urgent.or_else(|| self.next_target()) else {
            return;
        };
        let seq = self.ping(now, target, out);
        self.probe = Some(Probe {
            target,
            seq,
            sent: now,
            indirect: false,
        });
    }

    fn next_target(&mut self) -> Option<Incarnation> {
        let me = self.me.incarnation;
        for _ in 0..2 {
            while let Some(target) = self.order.pop() {
                if self.entries.get(&target).is_some_and(Entry::is_live) {
                    return Some(target);
                }
            }
            let live = self.entries.values().filter(|entry| entry.is_live());
            let others = live.map(|entry| entry.member.incarnation);
            self.order.refill(me.0, others.filter(|&other| other != me));
        }
        None
    }

    /// Returns up to `count` balancers other than `target`: one of each failure domain first, so that
    /// a path round a network partition is found when there is one.
    pub(crate) fn helpers(&self, seed: u64, target: Incarnation, count: usize) -> Vec<Incarnation> {
        let me = self.me.incarnation;
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

    /// Pings a known balancer, and returns the number of the ping.
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

    /// Tells the balancer that reports for this failure domain of a new revision.
    fn announce(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.announcements == 0 {
            return;
        }
        self.announcements -= 1;
        let reporter = self.reporter(&self.me.domain);
        if let Some(reporter) = reporter.filter(|&reporter| reporter != self.me.incarnation) {
            self.ping(now, reporter, out);
        }
    }

    /// Pings a few more balancers while this one may know few: each answer carries a part of the table.
    fn ask_more(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now >= self.sync_until {
            return;
        }
        let count = self.setting.fanout;
        for target in self.helpers(self.turn, self.me.incarnation, count) {
            self.ping(now, target, out);
        }
    }

    /// Tries a few addresses that were never tried.
    fn try_fresh(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut tried = 0;
        while tried < self.setting.fanout {
            let Some(address) = self.candidates.pop_fresh() else {
                return;
            };
            if !self.is_known(address) {
                self.try_address(now, address, out);
                tried += 1;
            }
        }
    }

    /// Returns the pause between two attempts at candidates. A balancer that joined just now, maybe
    /// together with all others, makes the next one soon.
    fn retry_pause(&self, now: Time) -> Span {
        match now < self.sync_until {
            true => self.setting.join,
            false => self.setting.retry,
        }
    }

    /// Tries one address where no balancer is known.
    fn retry(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now < self.next_retry {
            return;
        }
        self.next_retry = now + self.retry_pause(now);
        for _ in 0..self.candidates.len() {
            let Some(address) = self.candidates.next() else {
                return;
            };
            if !self.is_known(address) {
                return self.try_address(now, address, out);
            }
        }
    }

    fn is_known(&self, address: SocketAddr) -> bool {
        let here = self.addresses.get(&address);
        let here = here.and_then(|incarnation| self.entries.get(incarnation));
        here.is_some_and(Entry::is_live)
    }

    fn try_address(&mut self, now: Time, address: SocketAddr, out: &mut Vec<Effect>) {
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
