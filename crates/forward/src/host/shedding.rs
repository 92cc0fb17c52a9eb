//! The share of new flows to refuse, so that a resource of the host is used to its target.

use limit::share::PRIORITIES;

use super::gate::Class;

/// The number of classes: the priorities of uploads and those of other requests.
pub(super) const CLASSES: usize = 2 * PRIORITIES;
/// The use of a resource up to which new flows are admitted, in percent. The rest takes the
/// variation of the load within a window.
pub const TARGET_PERCENT: u32 = 85;
/// The use, including that of refused flows, below which refusing ends, in percent. It differs from
/// the target, so that a load at the target does not start and stop refusing all the time.
const END_PERCENT: u64 = 70;
/// Most of the opening packets that are refused, in percent. The rest shows whether the load has
/// fallen, and lets some callers through if the capacity is set too low.
const REFUSED_MAX_PERCENT: u64 = 90;
/// A share of 1.
pub(super) const WHOLE: u64 = 1_000;
/// The precision of the number of admitted flows in the cost of a flow.
const MILLI: u64 = 1_000;

/// Shares of the flows of each class, in thousandths.
pub(super) type Shares = [u32; CLASSES];

/// The load of one class in a window.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    /// Opening packets.
    offered: u64,
    /// Opening packets that were refused.
    refused: u64,
    /// What all its flows used, in units of the resource.
    units: u64,
}

/// The use of a class against its admitted flows, as sums in which each window counts three quarters
/// of the one after it. The bytes of an upload take more than one window.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    units: u64,
    flows_milli: u64,
}

/// The shares for one resource, whose use is known as the mean of `N` windows.
#[derive(Clone, Debug)]
pub(super) struct Shedding<const N: usize> {
    /// The classes in the order in which they are refused.
    order: [usize; CLASSES],
    current: [Tally; CLASSES],
    /// The last windows, the latest first.
    closed: [[Tally; CLASSES]; N],
    costs: [Cost; CLASSES],
    is_active: bool,
    shares: Shares,
}

impl Cost {
    fn add(&mut self, tally: &Tally) {
        let admitted = tally.offered - tally.refused;
        // A class of which nothing was admitted keeps its cost.
        if tally.units == 0 && admitted == 0 {
            return;
        }
        self.units = self.units * 3 / 4 + tally.units;
        self.flows_milli = self.flows_milli * 3 / 4 + admitted * MILLI;
    }

    /// Returns the units that one flow uses.
    fn per_flow(&self) -> u64 {
        self.units * MILLI / self.flows_milli.max(MILLI)
    }
}

impl<const N: usize> Shedding<N> {
    /// Returns shares of zero.
    pub(super) fn new(order: [usize; CLASSES]) -> Shedding<N> {
        Shedding {
            order,
            current: Default::default(),
            closed: [Default::default(); N],
            costs: Default::default(),
            is_active: false,
            shares: Shares::default(),
        }
    }

    /// Records an opening packet.
    pub(super) fn record_opening(&mut self, class: Class, is_refused: bool) {
        let tally = &mut self.current[class.index()];
        tally.offered += 1;
        tally.refused += u64::from(is_refused);
    }

    /// Records a packet that is forwarded, by what it uses of the resource.
    pub(super) fn record_packet(&mut self, class: Class, units: u64) {
        self.current[class.index()].units += units;
    }

    /// Returns the shares.
    pub(super) fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Returns the number of opening packets of each class in the last windows.
    pub(super) fn offered(&self) -> [u64; CLASSES] {
        self.sums().map(|tally| tally.offered)
    }

    /// Ends a window and computes the shares. `percent` is the use of the resource in the last `N`
    /// windows. Refusing starts only if `is_short` is set.
    pub(super) fn close_window(&mut self, percent: u32, is_short: bool) {
        let tallies = std::mem::take(&mut self.current);
        for (cost, tally) in self.costs.iter_mut().zip(&tallies) {
            cost.add(tally);
        }
        self.closed.rotate_right(1);
        self.closed[0] = tallies;
        self.shares = Shares::default();
        let sums = self.sums();
        let used: u64 = sums.iter().map(|tally| tally.units).sum();
        self.is_active |= is_short;
        if !self.is_active {
            return;
        }
        // The units that the resource offers in these windows, from the use that they make.
        let capacity = used * 100 / u64::from(percent.max(1));
        let classes = || self.costs.iter().zip(&sums);
        let saved: u64 = classes()
            .map(|(cost, tally)| cost.per_flow() * tally.refused)
            .sum();
        let demand = used + saved;
        self.is_active = demand * 100 > capacity * END_PERCENT;
        let target = capacity * u64::from(TARGET_PERCENT) / 100;
        let mut excess = demand.saturating_sub(target);
        let costs = self.costs;
        for &index in &self.order {
            let offered = costs[index].per_flow() * sums[index].offered;
            let cut = excess.min(offered);
            excess -= cut;
            let share = (cut * WHOLE).checked_div(offered).unwrap_or_default();
            self.shares[index] = share as u32;
        }
        let offered = self.offered();
        limit_refusals(&mut self.shares, &offered, &self.order);
    }

    fn sums(&self) -> [Tally; CLASSES] {
        let mut sums = [Tally::default(); CLASSES];
        for tallies in &self.closed {
            for (sum, tally) in sums.iter_mut().zip(tallies) {
                sum.offered += tally.offered;
                sum.refused += tally.refused;
                sum.units += tally.units;
            }
        }
        sums
    }
}

/// Lowers the shares, those of the last classes of the order first, so that not more than
/// `REFUSED_MAX_PERCENT` of all opening packets are refused.
pub(super) fn limit_refusals(
    shares: &mut Shares,
    offered: &[u64; CLASSES],
    order: &[usize; CLASSES],
) {
    let all: u64 = offered.iter().sum();
    let mut rest = all * WHOLE * REFUSED_MAX_PERCENT / 100;
    for &index in order {
        let share = u64::from(shares[index]);
        let refused = (share * offered[index]).min(rest);
        rest -= refused;
        // A class without a flow in these windows may have one now.
        let bounded = share.min(WHOLE * REFUSED_MAX_PERCENT / 100);
        let share = refused.checked_div(offered[index]).unwrap_or(bounded);
        shares[index] = share as u32;
    }
}
