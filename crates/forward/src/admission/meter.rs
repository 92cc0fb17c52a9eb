//! Rates of new flows and of requests on open flows at this balancer, by priority.

use base::prelude::*;
use limit::share;
use limit::share::Demand;
use limit::share::Rate;
use limit::share::PRIORITIES;

/// Length of one step of the window of demand, in microseconds. The whole window of 200 ms holds
/// several requests of a kind at most balancers, and is as short as the first retransmission time
/// of callers.
const DEMAND_STEP: u64 = 25_000;
/// Number of steps in a window.
const STEPS: usize = 8;
/// The shortest time that events are divided by after a pause, in steps. A single event says little
/// about the rate.
const STEPS_MIN: u64 = 2;

/// Counts events in a sliding window of `STEPS` steps, whose length is in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Window<const STEP: u64> {
    counts: [u32; STEPS],
    /// The step of the latest event.
    step: u64,
    /// When the events began after a pause of a whole window.
    since: Time,
}

/// The rates at this balancer.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter {
    offered: [Window<DEMAND_STEP>; PRIORITIES],
    committed: [Window<DEMAND_STEP>; PRIORITIES],
}

impl<const STEP: u64> Window<STEP> {
    pub(super) fn record(&mut self, now: Time) {
        let step = now.0 / STEP;
        let passed = step.saturating_sub(self.step);
        if passed >= STEPS as u64 {
            self.counts = [0; STEPS];
            self.since = now;
        }
        for offset in 1..=passed.min(STEPS as u64) {
            self.counts[(self.step + offset) as usize % STEPS] = 0;
        }
        self.step = self.step.max(step);
        self.counts[self.step as usize % STEPS] += 1;
    }

    pub(super) fn rate(&self, now: Time) -> Rate {
        let step = now.0 / STEP;
        let passed = step.saturating_sub(self.step);
        if passed >= STEPS as u64 {
            return 0;
        }
        // The steps that have passed without an event still hold the counts of an earlier window.
        let expired = 1..=passed;
        let expired = expired.map(|offset| self.counts[(self.step + offset) as usize % STEPS]);
        let count = self.counts.iter().sum::<u32>() - expired.sum::<u32>();
        let covered = Span((STEPS as u64 - 1) * STEP + now.0 % STEP);
        let covered = covered
            .min(now.since(self.since))
            .max(Span(STEPS_MIN * STEP));
        let rate = u64::from(count) * 10 * Span::secs(1).0 / covered.0;
        Rate::try_from(rate).unwrap_or(Rate::MAX)
    }
}

impl Meter {
    pub(super) fn record_opening(&mut self, now: Time, priority: u8) {
        self.offered[share::index(priority)].record(now);
    }

    pub(super) fn record_request(&mut self, now: Time, priority: u8) {
        self.committed[share::index(priority)].record(now);
    }

    pub(super) fn demand(&self, now: Time) -> Demand {
        Demand {
            offered: self.offered.map(|window| window.rate(now)),
            committed: self.committed.map(|window| window.rate(now)),
        }
    }
}
