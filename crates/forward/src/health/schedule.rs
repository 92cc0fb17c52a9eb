//! The times of health checks, and how long their results hold.

use base::prelude::*;

use super::REPORTS_PER_EVIDENCE;

/// The delay between a first failed check and the second, which decides on the resets of open flows
/// while their callers wait.
pub const CHECK_RETRY_DELAY: Span = Span::millis(50);
/// The backoff after the second failed check. It doubles with each further one.
pub const CHECK_BACKOFF_MIN: Span = Span::millis(300);
/// Bounds the backoff between two checks.
pub const CHECK_BACKOFF_MAX: Span = Span::millis(2_400);
/// The number of doublings from the shortest to the longest backoff.
const BACKOFF_DOUBLINGS_MAX: u32 = 3;
/// Bounds the duration of a check: many times the round trip to any server.
pub const CHECK_TIMEOUT: Span = Span::millis(250);
/// How long the result of a check is valid at peers at least.
pub const RESULT_LIFETIME_MIN: Span = Span::secs(4);

/// Returns the delay of the next check after one more failure than `failed_checks`.
pub fn backoff(failed_checks: u32) -> Span {
    match failed_checks.checked_sub(1) {
        None => CHECK_RETRY_DELAY,
        Some(doublings) => {
            let doublings = doublings.min(BACKOFF_DOUBLINGS_MAX);
            Span(CHECK_BACKOFF_MIN.0 << doublings).min(CHECK_BACKOFF_MAX)
        }
    }
}

/// Returns how long the result of a check is valid at peers, and how long a suspected server goes
/// without a result before the next balancer by rendezvous hash checks it too: the longest backoff,
/// the check that follows and the reports that include its result.
pub fn result_lifetime(report_period: Span) -> Span {
    let reports = u64::from(REPORTS_PER_EVIDENCE) + 1;
    let next = CHECK_BACKOFF_MAX.0 + CHECK_TIMEOUT.0 + reports * report_period.0;
    RESULT_LIFETIME_MIN.max(Span(next))
}
