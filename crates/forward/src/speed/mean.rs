//! The logarithmic scale of service times, and a mean on it that fades.

use base::prelude::*;

/// The unit of logarithms: a factor of 2. A server is slow from this factor on, since service times
/// of equal servers vary by less.
pub(super) const DOUBLE: i64 = 256;
/// The unit of weights: one answer.
pub(super) const ANSWER: i64 = 256;
/// Bounds the weight of a server's own answers, so that a change shows after as many.
const SERVER_ANSWERS_MAX: i64 = 8;

/// A mean of deviations that fades without answers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    pub(super) sum: i64,
    pub(super) weight: i64,
    updated_at: Time,
    pub(super) fade_time: Span,
}

impl Mean {
    pub(super) fn faded(self, now: Time) -> Mean {
        let fade_time = self.fade_time.0.max(1);
        let left = fade_time.saturating_sub(now.since(self.updated_at).0) as i64;
        let fade = |value: i64| value * left / fade_time as i64;
        Mean {
            sum: fade(self.sum),
            weight: fade(self.weight),
            updated_at: now,
            fade_time: self.fade_time,
        }
    }

    pub(super) fn add(&mut self, now: Time, deviation: i64) {
        *self = self.faded(now);
        self.sum += deviation * ANSWER;
        self.weight += ANSWER;
        let weight_max = SERVER_ANSWERS_MAX * ANSWER;
        if self.weight > weight_max {
            self.sum = self.sum * weight_max / self.weight;
            self.weight = weight_max;
        }
    }
}

/// Returns the binary logarithm in 1/`DOUBLE`, linear between powers of two. A doubled value gives
/// exactly `DOUBLE` more, and `exp` is the inverse.
pub(super) fn log(span: Span) -> i64 {
    // An hour bounds the products below.
    let us = span.0.clamp(1, Span::secs(3_600).0);
    let bits = us.ilog2();
    let rest = us - (1 << bits);
    i64::from(bits) * DOUBLE + ((rest * DOUBLE as u64) >> bits) as i64
}

pub(super) fn exp(log: i64) -> Span {
    let (bits, rest) = (log.div_euclid(DOUBLE), log.rem_euclid(DOUBLE) as u64);
    let whole = 1u64 << bits.clamp(0, 40);
    Span(whole + whole * rest / DOUBLE as u64)
}
