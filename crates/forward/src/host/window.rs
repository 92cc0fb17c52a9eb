//! The use of a resource in windows of time.

use base::prelude::*;

/// The use in the last `N` windows.
#[derive(Clone, Debug)]
pub(super) struct Windows<const N: usize> {
    length: Span,
    /// When the current window started, and the total at that time.
    start: Option<(Time, u64)>,
    /// The use in the last windows in percent, the latest first.
    percents: [Option<u32>; N],
}

impl<const N: usize> Windows<N> {
    /// Returns windows of a length without any use.
    pub(super) fn new(length: Span) -> Windows<N> {
        Windows {
            length,
            start: None,
            percents: [None; N],
        }
    }

    /// Records the total that has been used so far of a resource that offers `capacity` per second.
    /// Returns whether a window has ended.
    ///
    /// A window may be longer than its length, since totals are recorded at ticks.
    pub(super) fn record(&mut self, now: Time, total: u64, capacity: u64) -> bool {
        let Some((since, start)) = self.start else {
            self.start = Some((now, total));
            return false;
        };
        let elapsed = now.since(since);
        if elapsed < self.length {
            return false;
        }
        let used = u128::from(total.saturating_sub(start)) * 100 * u128::from(Span::secs(1).0);
        let offered = u128::from(capacity) * u128::from(elapsed.0);
        let percent = u32::try_from(used / offered.max(1)).unwrap_or(u32::MAX);
        self.percents.rotate_right(1);
        self.percents[0] = Some(percent);
        self.start = Some((now, total));
        true
    }

    /// Returns the mean use in percent; `None` until there are `N` windows.
    pub(super) fn mean(&self) -> Option<u32> {
        let sum = self.percents.iter().try_fold(0u64, |sum, percent| {
            percent.map(|percent| sum + u64::from(percent))
        });
        sum.map(|sum| (sum / N as u64) as u32)
    }

    /// Returns whether the use exceeds a bound in each of the windows, so that a burst within one
    /// window does not count.
    pub(super) fn is_above(&self, bound: u32) -> bool {
        let mut percents = self.percents.iter();
        percents.all(|percent| percent.is_some_and(|percent| percent > bound))
    }

    /// Forgets all windows.
    pub(super) fn clear(&mut self) {
        *self = Windows::new(self.length);
    }
}
