//! The processor time of the process, as far as its clock can be trusted.
//!
//! Some environments count elapsed time instead, or do not enforce the quota. Then the process seems
//! to use more than its quota permits, and nothing may be concluded from the clock.

use base::prelude::*;

/// The time over which the clock is compared with the quota. Quotas are enforced in periods of 100 ms,
/// of which a process may use two in a row.
const PERIOD: Span = Span::secs(1);
/// The use from which the clock is not believed, in percent of the quota.
const PLAUSIBLE_PERCENT: u64 = 150;

/// A clock of processor time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// When the period began, and the processor time then.
    start: Option<(Time, Span)>,
    /// Whether the use in the last period was plausible. Unknown before its end.
    is_plausible: bool,
}

impl Clock {
    /// Returns the processor time that was read, or `None` while it is not plausible for a quota in
    /// microseconds per second.
    pub fn check(&mut self, now: Time, read: Option<Span>, quota: u64) -> Option<Span> {
        let Some(used) = read else {
            *self = Clock::default();
            return None;
        };
        let (since, start) = *self.start.get_or_insert((now, used));
        let elapsed = now.since(since);
        if elapsed >= PERIOD {
            let taken = u128::from(used.0.saturating_sub(start.0)) * 1_000_000;
            let permitted = u128::from(quota) * u128::from(elapsed.0);
            self.is_plausible = taken * 100 <= permitted * u128::from(PLAUSIBLE_PERCENT);
            self.start = Some((now, used));
        }
        Some(used).filter(|_| self.is_plausible)
    }
}
