//! What unanswered packets say of a backend server.
//!
//! A caller that repeats an opening packet has had no answer to it. One such packet, with no sign of
//! life since it was sent, is enough to open flows elsewhere: a packet is lost far less often than
//! servers and links fail, and any answer clears the suspicion.

use std::fmt;

use base::prelude::*;

/// Wait before a suspected server is tried with one flow; doubles with each failure.
pub const RETRY_MIN: Span = Span::millis(400);
/// Longest wait between two tries of a suspected server.
pub const RETRY_MAX: Span = Span::secs(3);
/// Doublings from the shortest to the longest wait.
const DOUBLINGS: u32 = 3;

/// The belief in one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// When it was last known to answer.
    answered: Time,
    /// Opening packets without an answer since.
    failures: u32,
    /// When it may be tried next.
    retry: Time,
}

impl Health {
    /// Notes that the server answered.
    ///
    /// Returns whether it was suspected.
    pub fn answer(&mut self, now: Time) -> bool {
        self.answered = now;
        std::mem::take(&mut self.failures) > 0
    }

    /// Notes that an opening packet sent at `sent` has had no answer.
    ///
    /// Returns whether the server is suspected from now on and was not before.
    pub fn fail(&mut self, now: Time, sent: Time) -> bool {
        if self.answered > sent {
            return false;
        }
        self.failures += 1;
        let doublings = (self.failures - 1).min(DOUBLINGS);
        self.retry = now + Span(RETRY_MIN.0 << doublings).min(RETRY_MAX);
        self.failures == 1
    }

    /// Notes that a peer suspects the server.
    ///
    /// Returns whether it is suspected from now on and was not before.
    pub fn doubt(&mut self, now: Time, since: Time) -> bool {
        if self.failures > 0 || self.answered > since {
            return false;
        }
        self.fail(now, since)
    }

    /// Returns whether the server is suspected.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether a flow may be opened there, for a suspected server as a try.
    pub fn is_due(&self, now: Time) -> bool {
        self.failures == 0 || now >= self.retry
    }

    /// Notes that a suspected server is tried: the next try has to wait for the outcome.
    pub fn try_out(&mut self, now: Time) {
        if self.failures > 0 {
            self.retry = now + RETRY_MIN;
        }
    }
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.failures {
            0 => f.write_str("well"),
            n => write!(f, "silent {n}"),
        }
    }
}
