//! Requests that a backend server left without an answer.
//!
//! A server that resets the flows of its requests has few of them under way, so that it would attract
//! new flows, although its health checks may succeed. Each lost request therefore counts as load for
//! a while, unless the server answers most of its requests.

use base::prelude::*;

/// How long a lost request counts: as long as its caller waits at least before it gives up.
pub const LOSS_PERIOD: Span = Span::secs(2);
/// Bounds the counts, so that a server that recovers is tried again within `LOSS_PERIOD`.
const COUNT_MAX: u64 = 64;
/// The unit of counts, which fade over time.
const UNIT: u64 = 256;

/// The lost and the answered requests of a server at this balancer, fading over `LOSS_PERIOD`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    lost: u64,
    answered: u64,
    updated_at: Time,
}

impl Losses {
    /// Records a request without an answer.
    pub fn record_lost(&mut self, now: Time) {
        *self = self.faded(now);
        self.lost = (self.lost + UNIT).min(COUNT_MAX * UNIT);
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Time) {
        *self = self.faded(now);
        self.answered = (self.answered + UNIT).min(COUNT_MAX * UNIT);
    }

    /// Returns the number of lost requests that count as load; 0 if more were answered.
    pub fn requests(&self, now: Time) -> u32 {
        let faded = self.faded(now);
        match faded.lost >= faded.answered {
            true => faded.lost.div_ceil(UNIT) as u32,
            false => 0,
        }
    }

    fn faded(&self, now: Time) -> Losses {
        let left = LOSS_PERIOD.0.saturating_sub(now.since(self.updated_at).0);
        let fade = |count: u64| count * left / LOSS_PERIOD.0;
        Losses {
            lost: fade(self.lost),
            answered: fade(self.answered),
            updated_at: now,
        }
    }
}
