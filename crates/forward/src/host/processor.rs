//! The use of the host's processor.

use std::num::NonZeroU64;

use base::prelude::*;

use super::window::Windows;

/// The length of a window. An update of many objects takes tens of milliseconds of a core at once, on
/// all hosts at the same time. It is within one window, and must not make all of them refuse flows.
pub const WINDOW: Span = Span::millis(250);
/// The number of windows that utilization is the mean of: 500 ms.
pub(super) const WINDOWS: usize = 2;

/// The delay of ticks from which the processor may count as short. A process within its quota is
/// scheduled in time, whatever its clock of processor time says; callers notice a delay that is a
/// fair part of their targets, 200 ms and more.
pub const TICK_DELAY_MIN: Span = Span::millis(50);

/// The processor time of the process, against its quota.
#[derive(Clone, Debug)]
pub struct Processor {
    windows: Windows<WINDOWS>,
    /// The longest delay of a tick in the current window and in each of the last ones.
    delays: [Span; 1 + WINDOWS],
}

impl Default for Processor {
    fn default() -> Processor {
        Processor {
            windows: Windows::new(WINDOW),
            delays: [Span::ZERO; 1 + WINDOWS],
        }
    }
}

impl Processor {
    /// Records the processor time that the process has used since its start, and by how much the
    /// latest tick was late. Returns whether a window has ended.
    ///
    /// A time that could not be read makes the use unknown until a whole window has been seen again.
    pub fn record(
        &mut self,
        now: Time,
        used: Option<Span>,
        tick_delay: Span,
        quota: NonZeroU64,
    ) -> bool {
        self.delays[0] = self.delays[0].max(tick_delay);
        let Some(used) = used else {
            self.windows.clear();
            return false;
        };
        let has_ended = self.windows.record(now, used.0, quota.get());
        if has_ended {
            self.delays.rotate_right(1);
            self.delays[0] = Span::ZERO;
        }
        has_ended
    }

    /// Returns the use of the last 500 ms in percent; `None` if it is not known.
    pub fn utilization(&self) -> Option<u32> {
        self.windows.mean()
    }

    /// Returns whether the use exceeds a bound in both of the last windows, and ticks were late.
    pub fn is_above(&self, percent: u32) -> bool {
        self.windows.is_above(percent) && self.tick_delay() >= TICK_DELAY_MIN
    }

    /// Returns the longest delay of a tick in the last windows. A process that exceeds its quota is
    /// not scheduled for a while, which delays its ticks.
    pub fn tick_delay(&self) -> Span {
        self.delays.iter().copied().max().unwrap_or_default()
    }
}
