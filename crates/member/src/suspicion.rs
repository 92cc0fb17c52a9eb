//! Outcome of suspicions: death of one balancer, or a partition of its whole failure domain.
//!
//! A suspect whose suspicion has expired is declared dead only if both conditions hold:
//!
//! - The suspicion is confirmed: a probe by this balancer, sent after it began, has failed. A
//!   refutation may take longer to arrive than the suspicion lasts.
//! - There is a witness: another balancer of the same failure domain was seen in the second half of
//!   the suspicion and after that probe was given up. For this balancer's own failure domain, which
//!   is one network, any balancer is a witness.
//!
//! When a balancer of a domain is seen after an outage, the suspicions of that domain start over,
//! so that a partition shorter than the suspicion time-out causes no deaths either. Without a
//! witness and with a second suspect, the domain counts as partitioned. Its balancers stay
//! suspects, and owners, until one of them is seen.
//!
//! A failure domain with a single balancer has no witness. That balancer is declared dead once any
//! other balancer is seen: host failures are far more frequent than partitions, and no other
//! balancer would ever serve its backend servers.

use base::hash;
use base::prelude::*;

use crate::domain::Outage;
use crate::entry::Eligibility;
use crate::entry::Entry;
use crate::event::Effect;
use crate::group::Group;
use crate::record::State;

/// Allowance for clock skew between hosts and for the resolution of start times, in the age of a
/// balancer.
const CLOCK_SKEW: Span = Span::secs(3);

/// Outcome of an expired suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The suspect is dead.
    Dead,
    /// The suspect's failure domain is partitioned.
    Partitioned,
    /// Not enough is known yet. The suspicion is resolved again at the next tick.
    Undecided,
}

impl Group {
    /// Resolves expired suspicions, updates eligibility, and removes expired tombstones.
    pub(crate) fn expire(&mut self, now: Time, out: &mut Vec<Effect>) {
        for suspect in self.expired_suspects(now) {
            self.resolve_suspect(now, suspect, out);
        }
        self.update_eligibility(now, out);
        let retention = self.setting.tombstone_retention;
        let old = |entry: &&Entry| !entry.is_live() && now >= entry.state_since + retention;
        let old: Vec<_> = self.entries.values().filter(old).collect();
        let old: Vec<_> = old.iter().map(|entry| entry.member.incarnation).collect();
        for member in old {
            self.remove_tombstone(member);
        }
    }

    /// Returns the suspects whose suspicion has expired, without those of partitioned domains.
    fn expired_suspects(&self, now: Time) -> Vec<Incarnation> {
        let limit = self.setting.suspicion_timeout(self.live_count);
        let due = |entry: &&Entry| {
            entry.member.state == State::Suspect
                && now >= entry.state_since + limit
                && !self.domains.is_partitioned(&entry.member.domain)
        };
        let due = self.entries.values().filter(due);
        due.map(|entry| entry.member.incarnation).collect()
    }

    fn resolve_suspect(&mut self, now: Time, suspect: Incarnation, out: &mut Vec<Effect>) {
        match self.suspicion_outcome(suspect) {
            Outcome::Dead => self.set_state(now, suspect, State::Dead, out),
            Outcome::Partitioned => self.mark_partitioned(suspect, out),
            Outcome::Undecided => {}
        }
    }

    fn suspicion_outcome(&self, suspect: Incarnation) -> Outcome {
        let Some(entry) = self.entries.get(&suspect) else {
            return Outcome::Undecided;
        };
        let domain = &entry.member.domain;
        let from = self.witness_since(entry);
        let own = *domain == self.local.domain;
        let domain_peers = self.domain_peers(suspect).count();
        let any_domain = own || domain_peers == 0;
        let witness = |entry: &Entry| {
            entry.is_live()
                && entry.member.incarnation != suspect
                && (any_domain || entry.member.domain == *domain)
                && entry.seen_since(from)
        };
        if self.entries.values().any(witness) {
            return match entry.confirmed_at() {
                Some(_) => Outcome::Dead,
                None => Outcome::Undecided,
            };
        }
        let is_suspect = |entry: &&Entry| entry.member.state == State::Suspect;
        let suspects = self.domain_peers(suspect).filter(is_suspect).count();
        if !own && domain_peers > 0 && suspects > 0 {
            return Outcome::Partitioned;
        }
        Outcome::Undecided
    }

    /// Returns the time since when a witness against a suspect must have been seen. It is not
    /// before the end of the probe that confirms the suspicion: otherwise a partition that begins
    /// between the two would be taken for a death.
    fn witness_since(&self, suspect: &Entry) -> Time {
        let half = Span(self.setting.suspicion_timeout(self.live_count).0 / 2);
        let from = suspect.state_since + half;
        suspect.confirmed_at().map_or(from, |ended| ended.max(from))
    }

    /// Returns the other live balancers of a suspect's failure domain, without this balancer.
    fn domain_peers(&self, suspect: Incarnation) -> impl Iterator<Item = &Entry> {
        let domain = self.get(suspect).map(|member| member.domain.as_str());
        let me = self.local.incarnation;
        self.entries.values().filter(move |entry| {
            let member = &entry.member;
            entry.is_live()
                && member.incarnation != suspect
                && member.incarnation != me
                && Some(member.domain.as_str()) == domain
        })
    }

    fn mark_partitioned(&mut self, suspect: Incarnation, out: &mut Vec<Effect>) {
        let Some(domain) = self.get(suspect).map(|member| member.domain.clone()) else {
            return;
        };
        if self.domains.mark_partitioned(&domain) {
            out.push(Effect::Partitioned(domain));
        }
    }

    /// Restarts suspicions after an outage longer than half of the suspicion time-out: those of a
    /// failure domain of which a balancer is seen again, or those of all domains if no balancer at
    /// all was seen for `alone`.
    pub(crate) fn end_outage(
        &mut self,
        now: Time,
        domain: String,
        outage: Outage,
        alone: Span,
        out: &mut Vec<Effect>,
    ) {
        let limit = Span(self.setting.suspicion_timeout(self.live_count).0 / 2);
        if !outage.was_partitioned && outage.length <= limit && alone <= limit {
            return;
        }
        let until = now + self.setting.sync_window;
        for entry in self.entries.values_mut().filter(|entry| entry.is_live()) {
            let is_same_domain = entry.member.domain == domain;
            let suspect = entry.member.state == State::Suspect;
            if suspect && (is_same_domain || alone > limit) {
                // The partitioned domain knows who left or died meanwhile. Its updates have to
                // arrive before these suspicions expire.
                entry.state_since = if is_same_domain && outage.was_partitioned {
                    until
                } else {
                    now
                };
            }
            if is_same_domain && outage.was_partitioned {
                entry.sync_until = until;
            }
        }
        if outage.was_partitioned {
            out.push(Effect::Healed(domain));
        }
    }

    /// Returns a balancer to probe out of order as a possible witness: no other balancer of its
    /// failure domain was seen recently enough to be a witness against a suspect of that domain.
    pub(crate) fn witness_candidate(&self, now: Time) -> Option<Incarnation> {
        let suspects = self.entries.values().filter(|entry| {
            entry.member.state == State::Suspect
                && !self.domains.is_partitioned(&entry.member.domain)
        });
        suspects
            .filter_map(|entry| self.unseen_peer(now, entry))
            .min_by_key(|member| hash::pair(member.0, now.0))
    }

    /// Returns the suspect whose suspicion expires first among those that are not confirmed.
    pub(crate) fn unconfirmed_suspect(&self) -> Option<Incarnation> {
        let suspects = self.entries.values().filter(|entry| {
            entry.member.state == State::Suspect
                && entry.confirmed_at().is_none()
                && !self.domains.is_partitioned(&entry.member.domain)
        });
        let first = suspects.min_by_key(|entry| entry.state_since)?;
        Some(first.member.incarnation)
    }

    /// Returns a balancer of the suspect's failure domain that is not suspect, or `None` if a witness
    /// of that domain was seen.
    fn unseen_peer(&self, now: Time, suspect: &Entry) -> Option<Incarnation> {
        let from = self.witness_since(suspect);
        let domain_peers = || self.domain_peers(suspect.member.incarnation);
        if domain_peers().any(|peer| peer.seen_since(from)) {
            return None;
        }
        let targets = domain_peers().filter(|peer| peer.member.state != State::Suspect);
        let targets = targets.map(|peer| peer.member.incarnation);
        targets.min_by_key(|member| hash::pair(member.0, now.0))
    }

    /// Raises the eligibility of balancers whose hold time is over.
    fn update_eligibility(&mut self, now: Time, out: &mut Vec<Effect>) {
        let held = |entry: &&Entry| entry.eligibility < Eligibility::Eligible && entry.is_live();
        let held: Vec<_> = self.entries.values().filter(held).collect();
        let mut changes = Vec::new();
        for entry in held {
            let eligibility = self.eligibility(now, entry);
            if eligibility > entry.eligibility {
                changes.push((entry.member.incarnation, eligibility));
            }
        }
        for (member, eligibility) in changes {
            if let Some(entry) = self.entries.get_mut(&member) {
                entry.eligibility = eligibility;
                out.push(Effect::Changed(member));
            }
        }
    }

    /// Returns the eligibility of a balancer for ownership. Once its process is older than the hold
    /// time and the clock skew, its age is that of the process. All views agree on that, also those
    /// of balancers that started later.
    pub(crate) fn eligibility(&self, now: Time, entry: &Entry) -> Eligibility {
        let hold = self.setting.hold_time;
        let process_age = now.since(entry.member.incarnation.start_time());
        let known_for = now.since(entry.joined_at);
        let age = if process_age > Span(hold.0 + CLOCK_SKEW.0) {
            process_age
        } else {
            known_for
        };
        if entry.member.state != State::Alive || age < hold {
            return Eligibility::Held;
        }
        let flap_count = self.flap_count(&entry.member.name);
        let doublings = flap_count.min(self.setting.max_hold_doublings);
        if age < Span(hold.0 << doublings) {
            return Eligibility::Fallback;
        }
        Eligibility::Eligible
    }
}
