//! The place of a change in the history of a platform's store.

use std::fmt;

/// The number of bits of a place that hold the revision.
const REVISION_BITS: u32 = 48;
/// The highest revision that a place can hold.
pub const REVISION_MAX: u64 = (1 << REVISION_BITS) - 1;

/// The place of a change: its revision, and the era of the store in which that revision was given.
///
/// A store that is restored from an older copy starts a new era, in which it assigns revisions again
/// that stood for other changes before. Places are ordered by era first, so that each change of a
/// later era follows all changes of the earlier ones.
///
/// Objects, deltas and frames carry a place as one number of the same order. In era 0, the era of a
/// store that names none, that number is the revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    era: u16,
    revision: u64,
}

impl Place {
    /// Returns the place of a revision in an era; `None` if the revision exceeds `REVISION_MAX`.
    ///
    /// Only the low 16 bits of the era count: a store is not restored 65,536 times.
    pub fn new(era: u64, revision: u64) -> Option<Place> {
        (revision <= REVISION_MAX).then_some(Place {
            era: era as u16,
            revision,
        })
    }

    /// Returns the era.
    pub fn era(self) -> u16 {
        self.era
    }

    /// Returns the first place of the era.
    pub fn era_start(self) -> Place {
        Place {
            revision: 1,
            ..self
        }
    }

    /// Returns the revision within the era.
    pub fn revision(self) -> u64 {
        self.revision
    }
}

impl From<u64> for Place {
    fn from(number: u64) -> Place {
        Place {
            era: (number >> REVISION_BITS) as u16,
            revision: number & REVISION_MAX,
        }
    }
}

impl From<Place> for u64 {
    fn from(place: Place) -> u64 {
        u64::from(place.era) << REVISION_BITS | place.revision
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "r{}", self.revision),
            era => write!(f, "e{era} r{}", self.revision),
        }
    }
}
