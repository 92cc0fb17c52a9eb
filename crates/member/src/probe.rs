//! The probe under way, the order of probes, and pings sent on behalf of other balancers.

use base::hash;
use base::prelude::*;

/// The probe of this period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    /// The probed balancer.
    pub(crate) target: Incarnation,
    /// Sequence number of the ping.
    pub(crate) seq: u32,
    /// When the ping was sent.
    pub(crate) sent_at: Time,
    /// Ping-reqs were sent to helpers.
    pub(crate) is_indirect: bool,
}

/// The order of probes: in each round every balancer once, shuffled anew.
#[derive(Clone, Debug, Default)]
pub(crate) struct Order {
    round: u64,
    remaining: Vec<Incarnation>,
}

impl Order {
    /// Removes and returns the next balancer of this round.
    pub(crate) fn pop(&mut self) -> Option<Incarnation> {
        self.remaining.pop()
    }

    /// Starts a round. `seed` has to differ between balancers, so that they do not probe the same
    /// target at the same time.
    pub(crate) fn refill(&mut self, seed: u64, members: impl Iterator<Item = Incarnation>) {
        self.round += 1;
        let key = hash::pair(seed, self.round);
        self.remaining = members.collect();
        self.remaining
            .sort_unstable_by_key(|member| hash::pair(member.0, key));
    }
}

/// A ping sent on behalf of another balancer.
#[derive(Clone, Copy, Debug)]
struct Relay {
    seq: u32,
    requester: Incarnation,
    requester_seq: u32,
}

/// Most relayed pings that wait for an ack at a time.
const MAX_RELAYS: usize = 32;

/// Pings sent on behalf of other balancers, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Relays(Vec<Relay>);

impl Relays {
    /// Records that the ping `seq` was sent for `requester`'s ping-req `requester_seq`. Drops the
    /// oldest entry when there are too many.
    pub(crate) fn push(&mut self, seq: u32, requester: Incarnation, requester_seq: u32) {
        if self.0.len() >= MAX_RELAYS {
            self.0.remove(0);
        }
        self.0.push(Relay {
            seq,
            requester,
            requester_seq,
        });
    }

    /// Removes the entry of the ping `seq`, and returns the requester and the number of its
    /// ping-req.
    pub(crate) fn take(&mut self, seq: u32) -> Option<(Incarnation, u32)> {
        let at = self.0.iter().position(|relay| relay.seq == seq)?;
        let relay = self.0.remove(at);
        Some((relay.requester, relay.requester_seq))
    }

    /// Removes all entries.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
