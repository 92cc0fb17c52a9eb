//! Rates of events: two estimators, and rates by priority.
//!
//! Both estimators cover about the time that their argument gives. `Window` counts the events of that
//! time, and forgets them then. `Smoothed` weights them exponentially by age, so that a rate that
//! peers receive some time later does not jump. Decisions depend on the difference.

use base::prelude::*;
use limit::share;
use limit::share::Rate;
use limit::share::PRIORITIES;

/// Number of steps in a window.
const STEPS: usize = 8;
/// The shortest time that events are divided by after a pause, in steps. A single event says little
/// about the rate.
const STEPS_MIN: u64 = 2;

/// An estimate of the rate of events.
pub trait Estimator: Copy + Default {
    /// Counts an event.
    fn record(&mut self, now: Time);
    /// Returns the rate, in tenths per second.
    fn rate(&self, now: Time) -> Rate;
}

/// Counts events in a sliding window of `STEPS` steps, whose length is in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window<const STEP: u64> {
    counts: [u32; STEPS],
    /// The step of the latest event.
    step: u64,
    /// When the events began after a pause of a whole window.
    since: Time,
}

/// An exponentially smoothed rate, with a time constant in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Smoothed<const CONSTANT: u64> {
    per_second: f64,
    updated_at: Time,
}

/// The rates of events of each priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter<E>([E; PRIORITIES]);

impl<const STEP: u64> Estimator for Window<STEP> {
    fn record(&mut self, now: Time) {
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

    fn rate(&self, now: Time) -> Rate {
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

impl<const CONSTANT: u64> Smoothed<CONSTANT> {
    fn value(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).0 as f64 / CONSTANT as f64;
        self.per_second * (-elapsed).exp()
    }
}

impl<const CONSTANT: u64> Estimator for Smoothed<CONSTANT> {
    fn record(&mut self, now: Time) {
        self.per_second = self.value(now) + 1e6 / CONSTANT as f64;
        self.updated_at = now;
    }

    fn rate(&self, now: Time) -> Rate {
        // The conversion saturates.
        (self.value(now) * 10.0).round() as Rate
    }
}

impl<E: Estimator> Meter<E> {
    /// Counts an event of a priority.
    pub fn record(&mut self, now: Time, priority: u8) {
        self.0[share::index(priority)].record(now);
    }

    /// Returns the rate of a priority, in tenths per second.
    pub fn rate(&self, now: Time, priority: u8) -> Rate {
        self.0[share::index(priority)].rate(now)
    }

    /// Returns the rate of each priority, in tenths per second.
    pub fn rates(&self, now: Time) -> [Rate; PRIORITIES] {
        self.0.map(|estimator| estimator.rate(now))
    }
}
