//! Virtual time: reducers receive the current time with each event and never read a clock.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

/// A point in time, in microseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

/// A duration, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns the seconds since the Unix epoch, rounded down.
    pub const fn secs(self) -> u64 {
        self.0 / 1_000_000
    }
}

impl Span {
    /// The empty duration.
    pub const ZERO: Span = Span(0);

    /// Returns a span of `n` seconds.
    pub const fn secs(n: u64) -> Span {
        Span(n * 1_000_000)
    }

    /// Returns a span of `n` milliseconds.
    pub const fn millis(n: u64) -> Span {
        Span(n * 1_000)
    }

    /// Returns the span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1_000, self.0 % 1_000)
    }
}
