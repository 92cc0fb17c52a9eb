//! The queue of updates to disseminate. Each update is piggybacked a limited number of times.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use base::prelude::*;

/// Priority of an update in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// Only the configuration revision is new.
    Revision,
    /// The balancer or its state is new.
    State,
}

/// A queued update. The greatest one is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Pending {
    priority: Priority,
    /// Transmissions that are left.
    sends_left: u32,
    /// Serial number of the update. Of updates with equally many transmissions left, the newest is
    /// sent first.
    serial: u64,
}

/// Balancers whose records are to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    serial: u64,
    pending: BTreeMap<Incarnation, Pending>,
}

impl Queue {
    /// Queues the record of a balancer for `times` transmissions. A queued update is replaced only
    /// by a greater one.
    pub(crate) fn push(&mut self, member: Incarnation, priority: Priority, times: u32) {
        self.serial += 1;
        let new = Pending {
            priority,
            sends_left: times,
            serial: self.serial,
        };
        let pending = self.pending.entry(member).or_insert(new);
        *pending = new.max(*pending);
    }

    /// Returns the number of queued records.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Removes a balancer.
    pub(crate) fn remove(&mut self, member: Incarnation) {
        self.pending.remove(&member);
    }

    /// Returns up to `count` records that are at least as urgent as `least`, and counts a transmission
    /// of each. The most urgent ones come first, then those with the most transmissions left.
    pub(crate) fn take_most_urgent(&mut self, count: usize, least: Priority) -> Vec<Incarnation> {
        let pending = self.pending.iter();
        let urgent = pending.filter(|(_, pending)| pending.priority >= least);
        let mut order: Vec<_> = urgent
            .map(|(&member, &pending)| (Reverse(pending), member))
            .collect();
        order.sort_unstable();
        order.truncate(count);
        let taken: Vec<_> = order.into_iter().map(|(_, member)| member).collect();
        for &member in &taken {
            self.record_send(member);
        }
        taken
    }

    fn record_send(&mut self, member: Incarnation) {
        let Some(pending) = self.pending.get_mut(&member) else {
            return;
        };
        pending.sends_left = pending.sends_left.saturating_sub(1);
        if pending.sends_left == 0 {
            self.pending.remove(&member);
        }
    }
}
