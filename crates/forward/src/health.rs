//! Failure detection of backend servers from unanswered packets and health checks.
//!
//! A caller that retransmits an opening packet has received no answer. One such packet, without any
//! answer from the server since it was sent, is enough to suspect the server and to open flows
//! elsewhere: packet loss is far rarer than failures of servers and links. A health check tells the
//! two apart at once.
//!
//! The degrees of a failure, each of which includes those before it:
//!
//! - suspected: an opening packet was left unanswered, or a peer reported a suspicion. New flows go
//!   elsewhere if any other server can take them.
//! - unresponsive: a failed check, here or at a peer, has confirmed the suspicion. The server
//!   receives no new flows.
//! - unreachable: `UNREACHABLE_CHECKS` checks in a row were silent, no balancer of the domain has
//!   seen an answer since the first of them began, and callers have retransmitted data of open flows
//!   (`retransmission`). Packets of its open flows are answered with a reset.
//!
//! A server that is full accepts the connection of a check, or does not even do that at its limit of
//! connections, and goes on answering its open flows. It is unresponsive, but not unreachable, also
//! if no balancer of the domain sees an answer for a while.
//!
//! An answer or a successful check clears the suspicion, and is reported to the peers that have it
//! too. A peer's report does so once this balancer has seen no failure for `EVIDENCE_AGE_MAX`.
//!
//! One balancer of each failure domain checks a server, the first by rendezvous hash, so that the
//! number of checks does not grow with the number of balancers. The others take the check over one
//! after the other while no results arrive.

use std::fmt;

use base::prelude::*;

use crate::retransmission;

mod schedule;

pub use schedule::backoff;
pub use schedule::result_lifetime;
pub use schedule::CHECK_BACKOFF_MAX;
pub use schedule::CHECK_BACKOFF_MIN;
pub use schedule::CHECK_RETRY_DELAY;
pub use schedule::CHECK_TIMEOUT;
pub use schedule::RESULT_LIFETIME_MIN;

/// The number of silent checks from which a server may be unreachable. A single one may be due to
/// packet loss.
const UNREACHABLE_CHECKS: u32 = 2;
/// Bounds the age of evidence in a peer's report, apart from repetitions: reports of new evidence
/// are not delayed until the next regular one.
pub const EVIDENCE_AGE_MAX: Span = Span::millis(400);
/// The least number of reports that include the same evidence, so that it survives the loss of one.
/// They include it for `EVIDENCE_AGE_MAX` at least, since a peer may have received an answer after
/// the failure was caused and before it was noticed.
const REPORTS_PER_EVIDENCE: u8 = 2;
/// The number of failed checks without any answer meanwhile from which a server that accepts
/// connections may have restarted. The checks of a full server fail too, but some balancer sees an
/// answer in that time.
const MUTE_CHECKS: u32 = 2;
/// The rank from which the delay of a takeover no longer grows.
const TAKEOVER_RANK_MAX: u64 = 8;

/// The outcome of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered under its name.
    Answered,
    /// It accepted the connection, but did not answer in time.
    Accepted,
    /// It did not accept the connection.
    Silent,
}

/// The results of failed checks that a peer reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    /// The number of failed checks.
    pub failed: u32,
    /// The number of the latest of them, in a row, that were silent.
    pub silent: u32,
    /// When the first of the silent ones began.
    pub silent_since: Time,
}

/// The health of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// When it last answered.
    last_answer: Time,
    /// When the current suspicion began.
    suspected_since: Option<Time>,
    /// When the latest suspicion began, whether or not it has ended.
    last_suspected_at: Time,
    /// When this balancer last saw a sign of failure itself.
    last_failure: Time,
    /// The number of checks that failed since the suspicion began.
    failed_checks: u32,
    /// The number of the latest of these, in a row, that were silent without an answer seen by a
    /// balancer of the domain since the first began.
    silent_checks: u32,
    /// When the first of the silent checks began.
    silent_since: Time,
    /// The number of the latest failed checks during which no balancer saw an answer.
    mute_checks: u32,
    /// Whether the server was silent in the latest suspicion, so that it may have restarted.
    was_silent: bool,
    /// The retransmissions of data on open flows since the last answer.
    resent: retransmission::Tally,
    /// When the latest check began.
    check_started_at: Time,
    /// Whether the latest result is this balancer's own first silent check, which a second one has to
    /// confirm.
    awaits_second_check: bool,
    /// When the next check may start.
    next_check_at: Time,
    /// When a check last failed, here or according to a peer's report.
    result_at: Time,
    /// When a peer last reported a successful check.
    peer_cleared_at: Time,
    /// When this balancer last had evidence to report; `None` if there is none or it is outdated.
    evidence_at: Option<Time>,
    /// The number of further reports that include the evidence whatever its age.
    reports_left: u8,
    /// Whether that evidence is a change that peers should learn before the next regular report.
    is_urgent: bool,
    /// Whether that evidence is an answer that refutes a suspicion of peers. It is reported once: a
    /// repetition would vouch for the server at a time at which it may have failed.
    is_refutation: bool,
    /// Whether a report to peers has included a failure in the current suspicion.
    has_reported_failure: bool,
    /// Whether a peer has reported a suspicion that no balancer is known to have refuted.
    is_doubted: bool,
}

/// What a balancer reports of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It left a packet or a check unanswered.
    Failure,
    /// It passed a check after a suspicion.
    Recovery,
}

impl Health {
    /// Records an answer of the server, which clears a suspicion. If peers have the suspicion too,
    /// the answer is reported to them.
    ///
    /// Returns whether the server was suspected.
    pub fn record_answer(&mut self, now: Time) -> bool {
        self.last_answer = now;
        self.resent = retransmission::Tally::default();
        self.clear_checks();
        let was_suspected = self.suspected_since.take().is_some();
        if was_suspected {
            self.evidence_at = None;
        }
        if std::mem::take(&mut self.has_reported_failure) || self.is_doubted {
            self.refute(now);
        }
        was_suspected
    }

    fn clear_checks(&mut self) {
        self.failed_checks = 0;
        self.silent_checks = 0;
        self.mute_checks = 0;
        self.awaits_second_check = false;
    }

    /// Requests a report of an answer that peers with a suspicion have not seen.
    fn refute(&mut self, now: Time) {
        self.is_doubted = false;
        self.request_reports(now, true);
        self.reports_left = 1;
        self.is_refutation = true;
    }

    /// Returns when this balancer or a peer last saw an answer.
    fn last_sign(&self) -> Time {
        self.last_answer.max(self.peer_cleared_at)
    }

    /// Records that a packet sent at `sent` has had no answer.
    ///
    /// Returns whether this starts a suspicion.
    pub fn record_unanswered(&mut self, now: Time, sent: Time) -> bool {
        if self.last_answer > sent {
            return false;
        }
        self.last_failure = now;
        if self.suspected_since.is_some() {
            return false;
        }
        self.start_suspicion(now);
        self.request_reports(now, true);
        true
    }

    /// Records that data of an open flow was sent at `sent` and arrived again without an answer.
    ///
    /// Returns whether this starts a suspicion.
    pub fn record_resent(&mut self, now: Time, sent: Time) -> bool {
        let is_new = self.record_unanswered(now, sent);
        if self.last_sign() <= sent && self.resent.record(now) {
            self.request_reports(now, true);
        }
        is_new
    }

    /// Applies the retransmissions that a peer reports, unless the server has answered since.
    pub fn apply_peer_resent(&mut self, from: Incarnation, report: retransmission::Report) {
        if self.last_sign() < report.since {
            self.resent.apply_report(from, report);
        }
    }

    /// Returns the retransmissions to report to peers.
    pub fn resent(&self) -> retransmission::Report {
        self.resent.report()
    }

    /// Starts a suspicion without evidence of this server: others in its failure domain have failed
    /// since `since`. An answer after that refutes it.
    ///
    /// Returns whether this starts a suspicion.
    pub fn suspect_with_domain(&mut self, now: Time, since: Time) -> bool {
        let is_new = self.suspected_since.is_none() && self.last_answer <= since;
        if is_new {
            self.start_suspicion(now);
            self.evidence_at = None;
        }
        is_new
    }

    fn start_suspicion(&mut self, now: Time) {
        self.suspected_since = Some(now);
        self.last_suspected_at = now;
        self.clear_checks();
        self.was_silent = false;
        self.has_reported_failure = false;
        self.next_check_at = now;
    }

    /// Returns when the latest suspicion began, whether or not it has ended.
    pub fn last_suspected_at(&self) -> Time {
        self.last_suspected_at
    }

    /// Returns since when a check has confirmed a suspicion, as the start of the suspicion.
    pub fn confirmed_since(&self) -> Option<Time> {
        self.suspected_since.filter(|_| self.is_confirmed())
    }

    /// Returns when the server last answered this balancer.
    pub fn last_answer(&self) -> Time {
        self.last_answer
    }

    /// Applies a suspicion from a peer's report, with the checks that failed there. The evidence may
    /// be as old as `EVIDENCE_AGE_MAX`, so that an answer since then refutes it; so does one since
    /// the first silent check began.
    ///
    /// Returns whether this starts a suspicion.
    pub fn apply_peer_suspicion(&mut self, now: Time, peer: Failures) -> bool {
        self.is_doubted = true;
        if peer.silent > 0 && self.last_answer >= peer.silent_since {
            self.refute(now);
            if self.suspected_since.is_none() {
                return false;
            }
        }
        let failed_checks = peer.failed;
        let (failure, evidence_at) = (self.last_failure, now - EVIDENCE_AGE_MAX);
        let is_new = self.suspected_since.is_none() && self.record_unanswered(now, evidence_at);
        if is_new {
            // A peer's suspicion is not evidence of this balancer's own, and must not be reported
            // again.
            self.last_failure = failure;
            self.evidence_at = None;
        }
        if self.suspected_since.is_some() {
            // A report repeats earlier results; only a further one shows that the server is still
            // being checked. The count in a report is bounded, and does not show that at its bound.
            if failed_checks > self.failed_checks || failed_checks >= u8::MAX.into() {
                self.result_at = now;
            }
            if failed_checks >= self.failed_checks {
                let is_silent = peer.silent > 0 && self.last_sign() < peer.silent_since;
                self.silent_checks = if is_silent { peer.silent } else { 0 };
                self.silent_since = peer.silent_since;
                self.mute_checks += failed_checks - self.failed_checks;
                self.failed_checks = failed_checks;
            }
            self.observe_silence();
        }
        is_new
    }

    /// Applies a successful check from a peer's report. If this balancer has seen a failure within
    /// `EVIDENCE_AGE_MAX`, which may be newer than the check, the suspicion ends after that time
    /// (`settle`).
    ///
    /// Returns whether the server was suspected.
    pub fn apply_peer_clearance(&mut self, now: Time) -> bool {
        self.peer_cleared_at = now;
        self.resent = retransmission::Tally::default();
        self.silent_checks = 0;
        self.mute_checks = 0;
        self.is_doubted = false;
        if self.is_refutation && self.suspected_since.is_none() {
            // One report of an answer is enough for all peers.
            self.reports_left = 0;
        }
        self.apply_pending_clearance(now)
    }

    fn apply_pending_clearance(&mut self, now: Time) -> bool {
        let Some(since) = self.suspected_since else {
            return false;
        };
        let is_cleared = self.peer_cleared_at > self.last_failure && self.peer_cleared_at >= since;
        if !is_cleared || now.since(self.last_failure) <= EVIDENCE_AGE_MAX {
            return false;
        }
        // The peer has reported it.
        self.has_reported_failure = false;
        self.is_doubted = false;
        self.record_answer(now)
    }

    /// Ends what is no longer valid: a suspicion that a peer has cleared without a failure here
    /// since then, and the results of checks that are older than `lifetime`.
    ///
    /// Returns whether this clears a suspicion.
    pub fn settle(&mut self, now: Time, lifetime: Span) -> bool {
        if now.since(self.result_at) >= lifetime {
            self.clear_checks();
        }
        self.apply_pending_clearance(now)
    }

    /// Records the result of a check.
    ///
    /// Returns whether this clears a suspicion.
    pub fn record_check(&mut self, now: Time, outcome: Outcome) -> bool {
        if outcome == Outcome::Answered {
            let was_suspected = self.record_answer(now);
            self.is_doubted = false;
            self.request_reports(now, was_suspected);
            return was_suspected;
        }
        self.last_failure = now;
        self.result_at = now;
        self.next_check_at = now + backoff(self.failed_checks);
        self.failed_checks += 1;
        self.count_silence(now, outcome);
        self.awaits_second_check = self.silent_checks == 1;
        let is_change =
            self.failed_checks <= UNREACHABLE_CHECKS || self.silent_checks == UNREACHABLE_CHECKS;
        self.request_reports(now, is_change);
        false
    }

    /// Counts a failed check as silent, unless an answer was seen since it began.
    fn count_silence(&mut self, now: Time, outcome: Outcome) {
        let earliest = now - Span(2 * CHECK_TIMEOUT.0);
        let began_at = match self.check_started_at >= earliest {
            true => self.check_started_at,
            false => now - CHECK_TIMEOUT,
        };
        let sign = self.last_sign();
        if sign >= began_at {
            self.silent_checks = 0;
            self.mute_checks = 0;
            return;
        }
        if self.silent_checks == 0 || sign >= self.silent_since {
            self.silent_checks = 0;
            self.silent_since = began_at;
        }
        self.silent_checks = match outcome {
            Outcome::Silent => self.silent_checks + 1,
            Outcome::Answered | Outcome::Accepted => 0,
        };
        self.mute_checks += 1;
        self.observe_silence();
    }

    fn observe_silence(&mut self) {
        self.was_silent |= self.silent_checks > 0 || self.mute_checks >= MUTE_CHECKS;
    }

    /// Returns whether the server was silent in the current or latest suspicion, so that it may have
    /// restarted. A full server is not silent.
    pub fn was_silent(&self) -> bool {
        self.was_silent
    }

    fn request_reports(&mut self, now: Time, is_urgent: bool) {
        self.evidence_at = Some(now);
        self.reports_left = REPORTS_PER_EVIDENCE;
        self.is_urgent = is_urgent;
        self.is_refutation = false;
    }

    /// Returns whether a check is due. `rank` returns the place of this balancer among those of its
    /// failure domain that may check the server; 0 is the checker. A balancer that has taken a check
    /// over also makes the second one, which the first is of no use without.
    pub fn is_check_due(&self, now: Time, lifetime: Span, rank: impl FnOnce() -> u64) -> bool {
        let Some(since) = self.suspected_since.filter(|_| now >= self.next_check_at) else {
            return false;
        };
        if self.awaits_second_check {
            return true;
        }
        let waited = now.since(since.max(self.result_at));
        let rank = rank().min(TAKEOVER_RANK_MAX);
        waited.0 >= lifetime.0 * rank
    }

    /// Records the start of a check. No other one starts while it may run; if its result is lost,
    /// the next one starts as after a first check that timed out. A failure sets the time anew.
    pub fn start_check(&mut self, now: Time) {
        self.check_started_at = now;
        self.awaits_second_check = false;
        self.next_check_at = now + CHECK_TIMEOUT + CHECK_BACKOFF_MIN;
    }

    /// Returns the checks that failed since the suspicion began.
    pub fn failures(&self) -> Failures {
        Failures {
            failed: self.failed_checks,
            silent: self.silent_checks,
            silent_since: self.silent_since,
        }
    }

    /// Returns whether the server is suspected.
    pub fn is_suspected(&self) -> bool {
        self.suspected_since.is_some()
    }

    /// Returns whether a check has confirmed the suspicion, so that the server is unresponsive.
    pub fn is_confirmed(&self) -> bool {
        self.failed_checks > 0
    }

    /// Returns whether the latest checks were silent and no answer was seen meanwhile. The server has
    /// ended, cannot be reached from here, or is at its limit of connections.
    pub fn is_silent(&self) -> bool {
        self.silent_checks >= UNREACHABLE_CHECKS
    }

    /// Returns whether the server is unreachable, so that packets to it will not be answered: it is
    /// silent, and leaves its open flows unanswered.
    pub fn is_unreachable(&self) -> bool {
        self.is_silent() && self.resent.is_complete()
    }

    /// Returns the evidence of this balancer to include in the next report to peers. If
    /// `repeats_failures` is set, it includes failures that it has reported before.
    pub fn evidence(&self, now: Time, repeats_failures: bool) -> Option<Evidence> {
        let is_recent = now.since(self.evidence_at?) < EVIDENCE_AGE_MAX && !self.is_refutation;
        let is_new = is_recent || self.reports_left > 0;
        match self.suspected_since {
            Some(_) => (is_new || repeats_failures).then_some(Evidence::Failure),
            None => is_new.then_some(Evidence::Recovery),
        }
    }

    /// Returns whether the evidence is a change that peers should learn before the next regular
    /// report.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent && self.reports_left > 0 && self.evidence_at.is_some()
    }

    /// Records that a report includes the evidence.
    pub fn record_report(&mut self) {
        self.has_reported_failure |= self.suspected_since.is_some();
        self.reports_left = self.reports_left.saturating_sub(1);
    }
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.suspected_since {
            None => f.write_str("well"),
            Some(since) if self.is_unreachable() => write!(f, "lost since {since}"),
            Some(since) => write!(f, "suspected since {since}"),
        }
    }
}
