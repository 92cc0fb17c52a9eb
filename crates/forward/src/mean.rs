//! Exponentially smoothed values.

/// The number of fraction bits. Without them, a mean with a weight of one part in 32,768 would only
/// ever fall, because the division rounds down.
const FRACTION_BITS: u32 = 16;

/// A smoothed value; unknown before the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean(Option<u64>);

impl Mean {
    /// Returns the value.
    pub(crate) fn get(self) -> Option<u64> {
        self.0.map(|scaled| scaled >> FRACTION_BITS)
    }

    /// Adds a sample with a weight of one part in `parts`.
    pub(crate) fn record(&mut self, sample: u64, parts: u64) {
        // Samples are times below some minutes, sizes and shares, so that the product fits.
        let sample = sample.min(u64::from(u32::MAX)) << FRACTION_BITS;
        let sum = |mean: u64| u128::from(mean) * u128::from(parts - 1) + u128::from(sample);
        let mean = self.0.map(|mean| (sum(mean) / u128::from(parts)) as u64);
        self.0 = Some(mean.unwrap_or(sample));
    }
}
