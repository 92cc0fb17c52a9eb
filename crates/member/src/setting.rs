//! Time-outs, limits and multipliers of the membership protocol.

use base::prelude::*;

/// Settings of the membership protocol. They have to be the same on all balancers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Time from one probe to the next.
    pub probe_period: Span,
    /// Time without an ack after which ping-reqs are sent.
    pub probe_timeout: Span,
    /// Part of the suspicion time-out for each doubling of the group size.
    pub suspicion_per_doubling: Span,
    /// Helpers that get a ping-req when a probe is not acknowledged.
    pub indirect_probes: usize,
    /// Most updates on a message, the sender's own included.
    pub max_updates: usize,
    /// Most updates on a message to a balancer that joined or came back within `sync_window`, and
    /// on any message while the update queue is long. As many as fit a datagram.
    pub max_sync_updates: usize,
    /// How long messages to a balancer that joined or came back carry parts of the whole table. A
    /// balancer comes back when it refutes a suspicion, or when the partition of its failure domain
    /// ends.
    pub sync_window: Span,
    /// Transmissions of an update for each doubling of the group size.
    pub transmit_multiplier: u32,
    /// Time from joining until a balancer is eligible for ownership. Doubles with each recent flap.
    pub hold_time: Span,
    /// Most doublings of `hold_time`.
    pub max_hold_doublings: u32,
    /// Time between two pings to candidate addresses at which no balancer is known.
    pub candidate_retry: Span,
    /// The same within `sync_window` of this balancer's start, or of the end of a pause.
    pub join_retry: Span,
    /// New candidate addresses that are pinged in one period. Also the balancers that are pinged in
    /// a period besides the probe, within `sync_window` of the start or of the end of a pause.
    pub fanout: usize,
    /// How long a record in a final state is kept as a tombstone.
    pub tombstone_retention: Span,
    /// Most records kept, tombstones included.
    pub max_members: usize,
    /// Most candidate addresses kept.
    pub max_candidates: usize,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            probe_period: Span::millis(200),
            probe_timeout: Span::millis(100),
            suspicion_per_doubling: Span::millis(250),
            indirect_probes: 3,
            max_updates: 6,
            max_sync_updates: 14,
            sync_window: Span::secs(5),
            transmit_multiplier: 2,
            hold_time: Span::secs(1),
            max_hold_doublings: 6,
            candidate_retry: Span::secs(1),
            join_retry: Span::secs(1),
            fanout: 3,
            tombstone_retention: Span::secs(600),
            max_members: 4096,
            max_candidates: 4096,
        }
    }
}

impl Setting {
    /// Sets the probe period and the probe time-out.
    pub fn with_probe_period(mut self, period: Span, timeout: Span) -> Setting {
        self.probe_period = period;
        self.probe_timeout = timeout;
        self
    }

    /// Sets the time between two pings to candidate addresses after a start.
    pub fn with_join_retry(mut self, join: Span) -> Setting {
        self.join_retry = join;
        self
    }

    /// Returns the suspicion time-out in a group of `size` balancers.
    pub fn suspicion_timeout(&self, size: usize) -> Span {
        Span(self.suspicion_per_doubling.0 * u64::from(doublings(size)))
    }

    /// Returns how often an update is transmitted in a group of `size` balancers.
    pub(crate) fn transmit_limit(&self, size: usize) -> u32 {
        self.transmit_multiplier * doublings(size)
    }
}

/// Returns the binary logarithm of `size + 1`, rounded up, and at least 1.
pub(crate) fn doublings(size: usize) -> u32 {
    (size + 1).next_power_of_two().ilog2().max(1)
}
