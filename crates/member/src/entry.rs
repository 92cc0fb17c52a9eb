//! An entry of the membership table: a record and the state that is local to this view.

use base::prelude::*;

use crate::record::Member;
use crate::record::State;

/// Whether a balancer may own backend servers. One that joined is held back for the hold time,
/// longer if it flaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Eligibility {
    /// It joined less than one hold time ago: it owns nothing. Leaves this state only while alive.
    Held,
    /// It is held back for flapping. It owns backend servers only if no balancer of its failure
    /// domain is `Eligible`.
    Fallback,
    /// It may own backend servers.
    Eligible,
}

/// A record and its local state. Only the record is sent to peers.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The record.
    pub(crate) member: Member,
    /// When the record became known.
    pub(crate) joined_at: Time,
    /// When the state last changed. A suspicion also starts over when the balancer is seen.
    pub(crate) state_since: Time,
    /// When the balancer was last seen, directly or by an ack that a helper relayed.
    pub(crate) last_seen: Option<Time>,
    /// When the last probe that the balancer failed to acknowledge was sent, and when it was given
    /// up. It is not replaced while it confirms the current suspicion.
    pub(crate) failed_probe: Option<(Time, Time)>,
    /// Whether the balancer may own backend servers.
    pub(crate) eligibility: Eligibility,
    /// Until when messages to the balancer carry parts of the whole table.
    pub(crate) sync_until: Time,
    /// The balancer was known to be leaving, although it may be suspect now.
    pub(crate) was_leaving: bool,
    /// The record was in a final state when it became known. Such a record is not disseminated, or
    /// tombstones would circulate for ever.
    pub(crate) was_added_final: bool,
}

impl Entry {
    /// Makes the entry of a record that became known at `now` and is synchronized for `sync`.
    pub(crate) fn new(member: Member, now: Time, sync: Span) -> Entry {
        Entry {
            was_leaving: member.state == State::Leaving,
            was_added_final: member.state.is_final(),
            member,
            joined_at: now,
            state_since: now,
            last_seen: None,
            failed_probe: None,
            eligibility: Eligibility::Held,
            sync_until: now + sync,
        }
    }

    /// Returns whether the incarnation may still be alive.
    pub(crate) fn is_live(&self) -> bool {
        !self.member.state.is_final()
    }

    /// Returns whether the state allows ownership: not final, and never known to be leaving.
    pub(crate) fn can_own(&self) -> bool {
        self.is_live() && !self.was_leaving
    }

    /// Returns whether the balancer was seen at `from` or later.
    pub(crate) fn seen_since(&self, from: Time) -> bool {
        self.last_seen.is_some_and(|seen| seen >= from)
    }

    /// Returns when the suspicion was confirmed: when a local probe was given up that was sent after
    /// the suspicion began.
    pub(crate) fn confirmed_at(&self) -> Option<Time> {
        let (sent, ended) = self.failed_probe?;
        (sent >= self.state_since).then_some(ended)
    }
}
