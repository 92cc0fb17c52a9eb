//! Exponential backoff after shed requests: each one doubles the pause, and each half-life since
//! the end of the latest pause halves it.

use base::prelude::*;

use crate::setting::Setting;

/// Pauses the start of requests at a server that sheds load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    /// Length of the latest pause.
    pause: Span,
    /// End of the latest pause.
    until: Time,
}

impl Backoff {
    /// Records a shed request and starts a pause.
    pub fn record_shed(&mut self, now: Time, setting: &Setting) {
        let halvings = now.since(self.until).0 / setting.backoff_half_life.0.max(1);
        let decayed = self
            .pause
            .0
            .checked_shr(halvings.min(63) as u32)
            .unwrap_or(0);
        let pause = (decayed * 2).clamp(setting.backoff.0, setting.max_backoff.0);
        self.pause = Span(pause);
        self.until = now + self.pause;
    }

    /// Returns the end of the current pause, or `now` if there is none.
    pub fn ends_at(&self, now: Time) -> Time {
        self.until.max(now)
    }

    /// Returns whether a pause is in effect.
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.until
    }
}
