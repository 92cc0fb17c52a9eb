//! Distribution of a service's service times at a warm backend server.
//!
//! A baseline is a sliding window of service times, and a new one is ranked among them. No
//! distribution is assumed: a service with a few long answers has a wide baseline, one with uniform
//! answers a narrow one.

use std::collections::VecDeque;
use std::fmt;

use base::prelude::*;

/// Number of answers from which a baseline is used.
const MIN_ANSWERS: usize = 8;

/// Number of answers in the sliding window.
const MAX_ANSWERS: usize = 256;

/// Answers that take at most this many times the median count as typical.
const TYPICAL_FACTOR: u64 = 2;

/// Answers that take more than this many times the longest one in the window count as slow.
const SLOW_FACTOR: u64 = 3;

/// Rank of an answer that took longer than all others in the window.
pub const MAX_RANK: u32 = 1_000;

/// Rank of the median.
pub const MEDIAN_RANK: u32 = MAX_RANK / 2;

/// The service times of a warm server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Baseline {
    /// The window, in order of arrival.
    window: VecDeque<Span>,
    /// The window, in order of length.
    sorted: Vec<Span>,
}

impl Baseline {
    /// Creates a baseline from the typical service time at other servers of the service. It is
    /// known at once.
    pub fn new(typical: Span) -> Baseline {
        std::iter::repeat_n(typical, MIN_ANSWERS).collect()
    }

    /// Adds the service time of an answer; the oldest one leaves a full window.
    pub fn record(&mut self, took: Span) {
        if self.window.len() == MAX_ANSWERS {
            if let Some(Ok(index)) = self
                .window
                .pop_front()
                .map(|oldest| self.sorted.binary_search(&oldest))
            {
                self.sorted.remove(index);
            }
        }
        self.window.push_back(took);
        let index = self.sorted.partition_point(|other| *other < took);
        self.sorted.insert(index, took);
    }

    /// Returns whether the window holds enough answers for the baseline to be used.
    pub fn is_known(&self) -> bool {
        self.sorted.len() >= MIN_ANSWERS
    }

    /// Returns the median, or zero if the window is empty.
    pub fn median(&self) -> Span {
        let middle = self.sorted.get(self.sorted.len() / 2);
        middle.copied().unwrap_or(Span::ZERO)
    }

    /// Returns the service time above which a single answer is evidence of a cold start.
    pub fn slow_threshold(&self, jitter: Span) -> Span {
        let longest = self.sorted.last().map_or(0, |longest| longest.0);
        Span(longest.saturating_mul(SLOW_FACTOR).saturating_add(jitter.0))
    }

    /// Returns the share of answers in the window that were shorter, in thousandths. Answers of
    /// equal length count half.
    ///
    /// An answer that takes at most `TYPICAL_FACTOR` times the median, plus `jitter`, ranks no
    /// higher than the median.
    pub fn rank(&self, took: Span, jitter: Span) -> u32 {
        let shorter = self.sorted.partition_point(|other| *other < took);
        let not_longer = self.sorted.partition_point(|other| *other <= took);
        let count = self.sorted.len().max(1);
        let rank = (shorter + not_longer) * MAX_RANK as usize / (2 * count);
        let rank = u32::try_from(rank).unwrap_or(MAX_RANK);
        let typical = self
            .median()
            .0
            .saturating_mul(TYPICAL_FACTOR)
            .saturating_add(jitter.0);
        if took.0 <= typical {
            rank.min(MEDIAN_RANK)
        } else {
            rank
        }
    }
}

impl FromIterator<Span> for Baseline {
    fn from_iter<I: IntoIterator<Item = Span>>(answers: I) -> Baseline {
        let mut baseline = Baseline::default();
        answers.into_iter().for_each(|took| baseline.record(took));
        baseline
    }
}

impl fmt::Display for Baseline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.median(), self.sorted.len())
    }
}
