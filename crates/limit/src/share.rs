//! Division of a pool's capacity between kinds of requests, by urgency.
//!
//! Requests on flows that are already open cannot be refused. New flows of a kind are admitted up
//! to the capacity that such requests and new flows, of its own and all more urgent kinds, leave.
//! Requests on open flows of less urgent kinds do not count there, because an urgent request must
//! not wait for work that its balancer would refuse if it could.

/// The number of distinct priorities. A greater priority counts as the last.
pub const PRIORITIES: usize = 8;
/// The part of the capacity that new flows of each kind keep, however much more urgent kinds
/// offer, in percent. It bounds the loss of urgent kinds, and lets every caller through at last.
pub const RESERVE_PERCENT: u32 = 5;

/// A rate, in tenths of a request per second.
pub type Rate = u32;

/// The rates that compete for a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// New flows by priority. Each brings a request.
    pub offered: [Rate; PRIORITIES],
    /// Requests on open flows, by priority.
    pub committed: [Rate; PRIORITIES],
}

impl Demand {
    /// Returns the sum of all rates.
    pub fn sum(&self) -> Rate {
        let all = self.offered.iter().chain(&self.committed);
        all.fold(0, |sum, &rate| sum.saturating_add(rate))
    }
}

/// Returns the index of a priority.
pub fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// Returns the rate of new flows to admit, by priority. It is never more than the offered rate, and
/// equals it if the capacity is sufficient.
pub fn admit(capacity: Rate, demand: &Demand) -> [Rate; PRIORITIES] {
    let percent = u64::from(capacity) * u64::from(RESERVE_PERCENT) / 100;
    let limit = Rate::try_from(percent).unwrap_or(Rate::MAX);
    let reserves = demand.offered.map(|offered| offered.min(limit));
    let mut reserved: Rate = reserves.iter().sum();
    let mut left = capacity;
    let mut admitted = [0; PRIORITIES];
    for priority in 0..PRIORITIES {
        left = left.saturating_sub(demand.committed[priority]);
        reserved -= reserves[priority];
        let room = left.saturating_sub(reserved);
        let rate = demand.offered[priority].min(room.max(reserves[priority]));
        left = left.saturating_sub(rate);
        admitted[priority] = rate;
    }
    admitted
}
