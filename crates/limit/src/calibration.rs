//! Calibration: deriving the baseline of a service from the answers of a cold server, where none is
//! known or the known one no longer fits.
//!
//! A single answer cannot distinguish a cold server from one that is always that slow. The server
//! counts as warm once its service times have stabilised: the last `STEADY_ANSWERS` of them differ
//! by a factor of two at most, or there are `MAX_ANSWERS` whatever their times, and the calibration
//! has lasted for the required time.

use std::collections::VecDeque;

use base::prelude::*;

use crate::baseline::Baseline;

/// Number of consecutive answers that must be similar.
const STEADY_ANSWERS: usize = 16;

/// Number of answers that complete the calibration of a service whose answers are never similar.
const MAX_ANSWERS: usize = 64;

/// Answers are similar if the longest took at most this many times the shortest.
const SIMILAR_FACTOR: u64 = 2;

/// The calibration of one service at one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Calibration {
    /// Start of the first request that was answered.
    since: Option<Time>,
    /// Service times of the latest answers, oldest first.
    window: VecDeque<Span>,
}

impl Calibration {
    /// Records an answer to a request that was started at `start`.
    pub fn record(&mut self, start: Time, took: Span) {
        self.since.get_or_insert(start);
        if self.window.len() == MAX_ANSWERS {
            self.window.pop_front();
        }
        self.window.push_back(took);
    }

    /// Returns the baseline once the calibration has lasted for `min_time` and the service times
    /// have stabilised.
    pub fn baseline(&self, now: Time, min_time: Span, jitter: Span) -> Option<Baseline> {
        let since = self.since?;
        if now.since(since) < min_time {
            return None;
        }
        let steady = self.window.iter().rev().take(STEADY_ANSWERS);
        let limit = steady.clone().min()?.0.saturating_mul(SIMILAR_FACTOR);
        let longest = steady.clone().max()?.0;
        if steady.len() == STEADY_ANSWERS && longest <= limit.saturating_add(jitter.0) {
            return Some(steady.copied().collect());
        }
        (self.window.len() == MAX_ANSWERS).then(|| self.window.iter().copied().collect())
    }
}
