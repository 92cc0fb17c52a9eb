//! Whether this balancer reaches the store, as far as its own reads show.
//!
//! Peers read for a balancer, so that it mostly does not know. It finds out by reads of its own when
//! a pool depends on servers whose entries are gone (`Table::depends_on_lapsed`): if it reaches the
//! store, they are gone too; if not, their failure domain may be cut off.

use base::prelude::*;

/// The time between two failed reads without an answer meanwhile from which the store is not
/// reached. Reads of several kinds may fail by the same short disturbance.
pub const LOST_MIN: Span = Span::millis(300);
/// How long a failed read shows that the store is not reached: the period of the reads that ask for
/// it, the time-out of one and the longest backoff.
pub const LOST_AGE_MAX: Span = Span::millis(2_500);
/// The period of the reads. Two fit the time for which a server without an entry keeps taking flows.
pub const READ_PERIOD: Span = Span::millis(900);

/// The results of this balancer's own reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// When the first read failed since the store last answered one.
    first_lost_at: Option<Time>,
    /// When the last read failed.
    last_lost_at: Time,
    /// When the next read may be requested.
    next_read_at: Time,
}

impl Reach {
    /// Records an answer of the store.
    pub fn record_answer(&mut self) {
        self.first_lost_at = None;
    }

    /// Records a read without an answer.
    pub fn record_loss(&mut self, now: Time) {
        if !self.is_recent(now) {
            self.first_lost_at = None;
        }
        self.first_lost_at.get_or_insert(now);
        self.last_lost_at = now;
    }

    /// Returns whether the store is reached. Without recent reads it counts as reached.
    pub fn is_reached(&self, now: Time) -> bool {
        let is_lost = |first| self.last_lost_at.since(first) >= LOST_MIN;
        !self.first_lost_at.is_some_and(is_lost) || !self.is_recent(now)
    }

    /// Returns whether a read that finds it out is due, and marks it as started.
    pub fn start_due_read(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_read_at;
        if is_due {
            self.next_read_at = now + READ_PERIOD;
        }
        is_due
    }

    fn is_recent(&self, now: Time) -> bool {
        now.since(self.last_lost_at) <= LOST_AGE_MAX
    }
}
