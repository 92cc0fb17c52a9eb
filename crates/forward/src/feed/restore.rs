//! The time between the first sign that the store was restored and the use of its objects.

use base::prelude::*;

/// How long the objects of a restored store are not put in force after the first sign of the restore.
/// Operators and backend servers repeat within about 2 s what the store has lost, and a change that
/// is made meanwhile still is in force within 3 s.
pub const REPEAT_PERIOD: Span = Span::secs(2);

/// The first sign of the latest known era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Restore {
    era: u16,
    seen_at: Time,
}

impl Restore {
    /// Makes the first sign of an era.
    pub(super) fn new(now: Time, era: u16) -> Restore {
        Restore { era, seen_at: now }
    }

    /// Returns this sign, or one of a later era, whose copy may lack other changes.
    pub(super) fn with_sign(self, now: Time, era: u16) -> Restore {
        match era > self.era {
            true => Restore::new(now, era),
            false => self,
        }
    }

    /// Returns the era.
    pub(super) fn era(self) -> u16 {
        self.era
    }

    /// Returns when the objects of the era may be put in force.
    pub(super) fn due(self) -> Time {
        self.seen_at + REPEAT_PERIOD
    }
}
