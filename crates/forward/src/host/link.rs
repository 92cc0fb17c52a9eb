//! The use of the host's link.

use std::num::NonZeroU64;

use base::prelude::*;

use super::window::Windows;

/// The length of a window. A caller's packets in flight, 16 of 1,200 bytes, take 15 ms of a link of
/// 10 Mbit/s, so that a window holds the bursts of several flows.
pub const WINDOW: Span = Span::millis(100);
/// The number of windows that utilization is the mean of: 200 ms, after which callers retransmit.
pub(super) const WINDOWS: usize = 2;

/// The bytes that the host sends, against the capacity of its link.
#[derive(Clone, Debug)]
pub struct Link {
    windows: Windows<WINDOWS>,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            windows: Windows::new(WINDOW),
        }
    }
}

impl Link {
    /// Records the number of bytes that were sent since the start of the process, and those that
    /// should have been but exceeded the link. Returns whether a window has ended.
    pub fn record(&mut self, now: Time, bytes: u64, capacity: NonZeroU64) -> bool {
        self.windows.record(now, bytes, capacity.get())
    }

    /// Returns the use of the last 200 ms in percent, which exceeds 100 if more should be sent than
    /// the link carries. `None` before the first 200 ms.
    pub fn utilization(&self) -> Option<u32> {
        self.windows.mean()
    }

    /// Returns whether the use exceeds a bound in both of the last windows.
    pub fn is_above(&self, percent: u32) -> bool {
        self.windows.is_above(percent)
    }
}
