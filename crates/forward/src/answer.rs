//! Recognition of rejected requests by the size of their answers.
//!
//! A balancer sees neither the answer nor its status. A full server rejects a request with an answer
//! that is much shorter than a usual one. Whether the server may have been full is known to the
//! users of this module.

use crate::mean::Mean;

/// The bounds of a user.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An answer is short if it has less than the usual size divided by this number.
    pub divisor: u64,
    /// The weight of a new answer in the usual size: one part in this number.
    pub smoothing: u64,
    /// Bounds the size that is counted of one answer, in bytes.
    pub size_max: u32,
}

/// The usual size of an answer; unknown before the first one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size(Mean);

impl Size {
    /// Returns whether an answer of `bytes` is too short for a usual one. False before the first
    /// answer.
    pub fn is_short(self, bytes: u32, bounds: &Bounds) -> bool {
        let size = u64::from(bytes.min(bounds.size_max));
        let usual = self.0.get();
        usual.is_some_and(|usual| size * bounds.divisor < usual)
    }

    /// Records an answer of `bytes` that is not a rejection.
    pub fn record(&mut self, bytes: u32, bounds: &Bounds) {
        let size = bytes.min(bounds.size_max);
        self.0.record(size.into(), bounds.smoothing);
    }
}
