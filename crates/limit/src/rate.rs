//! Event rate, smoothed by exponential decay.

use base::prelude::*;

/// Length of one decay step.
const STEP: Span = Span::millis(50);

/// Time constant of the decay, in steps: each step reduces the sum by one part in this number, so
/// that the sum covers about two seconds.
const WINDOW_STEPS: u64 = 40;

/// Weight of one event in the sum. It is larger than one to limit the rounding loss of integer
/// division.
const EVENT_WEIGHT: u64 = 1 << 16;

/// Number of steps after which the sum counts as zero, whatever it was. It bounds the work of
/// `decayed`.
const FORGET_STEPS: u64 = 800;

/// A smoothed rate of events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rate {
    /// Decayed sum of the events, as of `step`.
    sum: u64,
    /// Step of the latest event, counted from the Unix epoch.
    step: u64,
}

impl Rate {
    /// Records an event.
    pub fn record(&mut self, now: Time) {
        self.sum = self.decayed(now) + EVENT_WEIGHT;
        self.step = self.step.max(now.0 / STEP.0);
    }

    /// Returns the rate, in tenths of an event per second.
    pub fn tenths_per_second(&self, now: Time) -> u16 {
        let per_window = self.decayed(now) * 10 / EVENT_WEIGHT;
        let window = Span(STEP.0 * WINDOW_STEPS);
        u16::try_from(per_window * Span::secs(1).0 / window.0).unwrap_or(u16::MAX)
    }

    fn decayed(&self, now: Time) -> u64 {
        let steps = (now.0 / STEP.0).saturating_sub(self.step);
        if steps >= FORGET_STEPS {
            return 0;
        }
        (0..steps).fold(self.sum, |sum, _| sum - sum / WINDOW_STEPS)
    }
}
