//! Tests of the failure detection of backend servers.

use base::prelude::*;
use forward::health::Evidence;
use forward::health::Failures;
use forward::health::Health;
use forward::health::Outcome;
use forward::health::CHECK_BACKOFF_MAX;
use forward::health::EVIDENCE_AGE_MAX;
use forward::health::RESULT_LIFETIME_MIN;
use forward::retransmission;

const WINDOW: Span = EVIDENCE_AGE_MAX;
const LIFETIME: Span = RESULT_LIFETIME_MIN;
const NOW: Time = Time(1_000_000_000);

fn after(millis: u64) -> Time {
    NOW + Span::millis(millis)
}

/// Returns the results of a peer all of whose checks were silent, a while ago.
fn failures(failed: u32) -> Failures {
    Failures {
        failed,
        silent: failed,
        silent_since: Time(1),
    }
}

/// Records that callers have retransmitted data of two open flows, sent at the start.
fn resend(health: &mut Health) {
    health.record_resent(after(200), NOW);
    health.record_resent(after(201), NOW);
}

/// Makes a test for each case from its steps and assertions.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut health = Health::default();
                let body: fn(&mut Health) = $body;
                body(&mut health);
            }
        )*
    };
}

// `record_unanswered` takes the current time, and the time at which the packet was sent.
// `is_check_due` takes this balancer's rank among those that may check the server, 0 for the
// checker, and `apply_peer_suspicion` the number of checks that failed at the peer.
cases! {
    one_unanswered_packet_starts_a_suspicion: |health| {
        assert!(health.record_unanswered(after(200), NOW));
        assert!(health.is_suspected() && !health.is_confirmed());
        assert!(!health.record_unanswered(after(300), NOW), "the server is suspected already");
    };
    a_later_answer_prevents_a_suspicion: |health| {
        health.record_answer(after(100));
        assert!(!health.record_unanswered(after(200), NOW));
        assert!(!health.is_suspected());
    };
    an_answer_clears_the_suspicion: |health| {
        health.record_unanswered(after(200), NOW);
        assert!(health.record_answer(after(300)));
        assert!(!health.is_suspected());
    };
    a_suspected_server_is_checked_at_once: |health| {
        health.record_unanswered(after(200), NOW);
        assert!(health.is_check_due(after(200), LIFETIME, || 0));
        assert!(!health.is_check_due(after(200), LIFETIME, || 1), "another balancer is the checker");
        health.start_check(after(200));
        assert!(!health.is_check_due(after(300), LIFETIME, || 0), "a check is in flight");
    };
    an_overdue_check_is_due_on_one_balancer_after_the_other: |health| {
        health.record_unanswered(NOW, NOW);
        let overdue = NOW + RESULT_LIFETIME_MIN;
        assert!(health.is_check_due(overdue, LIFETIME, || 1));
        assert!(!health.is_check_due(overdue, LIFETIME, || 2), "the first one has had no time to report");
        assert!(health.is_check_due(overdue + RESULT_LIFETIME_MIN, LIFETIME, || 2));
    };
    a_result_of_the_checker_postpones_the_takeover: |health| {
        health.record_unanswered(NOW, NOW);
        let result = after(3_000);
        health.apply_peer_suspicion(result, failures(1));
        health.apply_peer_suspicion(result + WINDOW, failures(1));
        assert!(!health.is_check_due(NOW + RESULT_LIFETIME_MIN, LIFETIME, || 1));
        assert!(
            health.is_check_due(result + RESULT_LIFETIME_MIN, LIFETIME, || 1),
            "a repeated report is no further result"
        );
    };
    a_peers_results_expire: |health| {
        health.apply_peer_suspicion(NOW, failures(2));
        resend(health);
        assert!(health.is_unreachable());
        health.settle(NOW + RESULT_LIFETIME_MIN, LIFETIME);
        assert!(health.is_suspected() && !health.is_confirmed());
    };
    two_failed_checks_make_a_server_unreachable: |health| {
        resend(health);
        health.record_check(after(600), Outcome::Silent);
        assert!(health.is_confirmed() && !health.is_unreachable());
        health.record_check(after(1_500), Outcome::Silent);
        assert!(health.is_unreachable());
        assert!(health.record_check(after(2_500), Outcome::Answered), "a successful check clears the suspicion");
        assert!(!health.is_unreachable() && !health.is_suspected());
    };
    checks_back_off: |health| {
        health.record_unanswered(NOW, NOW);
        let mut now = NOW;
        let mut last = Span::ZERO;
        for _ in 0..8 {
            health.record_check(now, Outcome::Silent);
            let start = now;
            while !health.is_check_due(now, LIFETIME, || 0) {
                now += Span::millis(10);
            }
            let interval = now.since(start);
            assert!(interval >= last && interval <= CHECK_BACKOFF_MAX);
            last = interval;
        }
        assert_eq!(last, CHECK_BACKOFF_MAX);
    };
    a_peers_suspicion_is_not_reported_again: |health| {
        assert!(health.apply_peer_suspicion(NOW, failures(0)));
        assert_eq!(health.evidence(NOW, false), None, "the report would circulate forever");
        health.record_check(after(400), Outcome::Silent);
        assert_eq!(health.evidence(after(400), false), Some(Evidence::Failure));
    };
    evidence_is_reported_twice_and_while_it_is_fresh: |health| {
        health.record_unanswered(after(200), NOW);
        health.record_report();
        let late = after(200) + WINDOW;
        assert_eq!(health.evidence(late, false), Some(Evidence::Failure));
        health.record_report();
        assert_eq!(health.evidence(late, false), None);
        assert_eq!(health.evidence(late - Span(1), false), Some(Evidence::Failure));
        health.record_check(late, Outcome::Answered);
        health.record_report();
        health.record_report();
        assert_eq!(health.evidence(late, false), Some(Evidence::Recovery));
        assert_eq!(health.evidence(late + WINDOW, false), None);
    };
    a_failure_is_repeated_for_peers_that_join: |health| {
        health.record_unanswered(after(200), NOW);
        health.record_report();
        health.record_report();
        assert_eq!(health.evidence(after(5_000), false), None);
        assert_eq!(health.evidence(after(5_000), true), Some(Evidence::Failure));
        health.record_answer(after(5_000));
        assert_eq!(health.evidence(after(5_000), true), Some(Evidence::Recovery));
        health.record_report();
        assert_eq!(health.evidence(after(5_000), true), None, "an answer is reported once");
    };
    an_answer_ends_the_evidence: |health| {
        health.record_unanswered(after(200), NOW);
        health.record_answer(after(300));
        assert_eq!(health.evidence(after(300), false), None);
        assert!(!health.is_urgent());
    };
    changes_are_urgent_and_further_failures_are_not: |health| {
        assert!(!health.is_urgent());
        health.record_unanswered(after(200), NOW);
        assert!(health.is_urgent(), "a suspicion");
        health.record_check(after(600), Outcome::Silent);
        assert!(health.is_urgent(), "it is confirmed");
        health.record_check(after(1_300), Outcome::Silent);
        assert!(health.is_urgent(), "the server is unreachable");
        health.record_check(after(2_300), Outcome::Silent);
        assert!(!health.is_urgent());
        health.record_check(after(3_900), Outcome::Answered);
        assert!(health.is_urgent(), "it has recovered");
    };
    a_recent_answer_refutes_a_peers_suspicion: |health| {
        health.record_answer(after(10));
        assert!(!health.apply_peer_suspicion(after(20), failures(0)));
        assert!(health.apply_peer_suspicion(after(20) + WINDOW, failures(0)));
    };
    a_peers_failed_checks_count: |health| {
        health.record_unanswered(NOW, NOW);
        resend(health);
        health.apply_peer_suspicion(after(250), failures(2));
        assert!(health.is_unreachable(), "the checker's results must apply on the other balancers");
    };
    a_peers_clearance_clears_an_older_suspicion: |health| {
        health.apply_peer_suspicion(NOW, failures(0));
        assert!(health.apply_peer_clearance(after(50)));
    };
    a_peers_clearance_does_not_clear_a_later_suspicion: |health| {
        health.record_unanswered(after(200), NOW);
        assert!(!health.apply_peer_clearance(after(250)));
        assert!(health.apply_peer_clearance(after(250) + WINDOW));
    };
    a_peers_clearance_ends_a_suspicion_without_further_failures: |health| {
        health.record_unanswered(after(200), NOW);
        assert!(!health.apply_peer_clearance(after(250)));
        assert!(!health.settle(after(200) + WINDOW, LIFETIME));
        assert!(health.settle(after(201) + WINDOW, LIFETIME));
        assert!(!health.is_suspected());
    };
    a_failure_after_a_peers_clearance_keeps_the_suspicion: |health| {
        health.record_unanswered(after(200), NOW);
        health.apply_peer_clearance(after(250));
        health.record_unanswered(after(400), after(300));
        assert!(!health.settle(after(5_000), LIFETIME));
        assert!(health.is_suspected());
    };
    a_full_server_is_unresponsive_but_not_unreachable: |health| {
        health.record_unanswered(after(200), NOW);
        for millis in [450, 750, 1_300] {
            health.record_check(after(millis), Outcome::Accepted);
        }
        assert!(health.is_confirmed() && !health.is_unreachable());
    };
    only_silent_checks_in_a_row_make_a_server_unreachable: |health| {
        resend(health);
        health.record_check(after(450), Outcome::Silent);
        health.record_check(after(750), Outcome::Accepted);
        health.record_check(after(1_300), Outcome::Silent);
        assert!(!health.is_unreachable());
        health.record_check(after(2_200), Outcome::Silent);
        assert!(health.is_unreachable());
    };
    a_peers_answer_refutes_silent_checks: |health| {
        health.record_unanswered(after(200), NOW);
        health.start_check(after(200));
        health.record_check(after(450), Outcome::Silent);
        health.apply_peer_clearance(after(500));
        health.start_check(after(510));
        health.record_check(after(760), Outcome::Silent);
        assert!(!health.is_silent(), "an answer was seen since the first check began");
        health.start_check(after(1_100));
        health.record_check(after(1_350), Outcome::Silent);
        assert!(health.is_silent(), "no answer was seen since the second one began");
    };
    an_answer_refutes_a_peers_silent_checks: |health| {
        health.record_answer(after(100));
        let peer = Failures { failed: 2, silent: 2, silent_since: after(50) };
        assert!(!health.apply_peer_suspicion(after(600), peer));
        assert!(!health.is_suspected() && health.is_urgent());
        assert_eq!(health.evidence(after(600), false), Some(Evidence::Recovery));
        let later = Failures { silent_since: after(150), ..peer };
        assert!(health.apply_peer_suspicion(after(700), later));
        assert!(health.is_silent());
    };
    silent_checks_without_retransmissions_reset_no_flows: |health| {
        health.record_unanswered(after(100), NOW);
        health.record_resent(after(200), NOW);
        for millis in [450, 750, 1_300] {
            health.record_check(after(millis), Outcome::Silent);
        }
        assert!(health.is_silent() && !health.is_unreachable(), "one packet may have been lost");
        health.record_resent(after(1_400), after(200));
        assert!(health.is_unreachable(), "evidence after the checks counts as well");
    };
    an_answer_ends_the_evidence_of_retransmissions: |health| {
        health.record_resent(after(200), NOW);
        health.record_answer(after(250));
        health.record_resent(after(400), after(200));
        health.record_resent(after(600), after(400));
        assert_eq!(health.resent().count, 1, "data sent before the answer shows nothing");
        health.apply_peer_clearance(after(700));
        assert_eq!(health.resent().count, 0);
    };
    retransmissions_at_two_peers_are_evidence: |health| {
        let report = |count, millis| retransmission::Report { count, since: after(millis) };
        health.record_answer(after(100));
        let checks = Failures { silent_since: after(150), ..failures(2) };
        health.apply_peer_suspicion(after(600), checks);
        health.apply_peer_resent(Incarnation(1), report(2, 90));
        assert_eq!(health.resent().count, 0, "the server has answered since");
        health.apply_peer_resent(Incarnation(1), report(1, 200));
        health.apply_peer_resent(Incarnation(1), report(1, 200));
        assert!(!health.is_unreachable(), "a report is repeated");
        assert_eq!(health.resent().count, 0, "one of a peer must not be reported again");
        health.apply_peer_resent(Incarnation(2), report(1, 300));
        assert!(health.is_unreachable());
        assert_eq!(health.resent(), report(2, 200));
    };
    an_answer_is_reported_to_peers_that_suspect_the_server: |health| {
        health.record_answer(after(100));
        health.apply_peer_suspicion(after(150), failures(0));
        assert!(!health.is_urgent(), "the answer may be older than the failure");
        health.record_answer(after(160));
        health.record_answer(after(170));
        assert!(health.is_urgent(), "peers learn it within the period of urgent reports");
        assert_eq!(health.evidence(after(170), false), Some(Evidence::Recovery));
        health.record_report();
        assert_eq!(health.evidence(after(180), false), None);
        health.record_answer(after(190));
        assert_eq!(health.evidence(after(190), false), None, "nobody suspects it any more");
    };
    one_peer_reports_an_answer: |health| {
        health.apply_peer_suspicion(after(150), failures(0));
        health.record_answer(after(160));
        health.apply_peer_clearance(after(170));
        assert_eq!(health.evidence(after(170), false), None);
    };
    a_full_server_has_not_restarted: |health| {
        health.record_unanswered(after(200), NOW);
        health.start_check(after(200));
        health.record_check(after(450), Outcome::Accepted);
        health.apply_peer_clearance(after(600));
        health.start_check(after(500));
        health.record_check(after(750), Outcome::Accepted);
        assert!(!health.was_silent());
        health.start_check(after(1_050));
        health.record_check(after(1_300), Outcome::Accepted);
        health.start_check(after(1_900));
        health.record_check(after(2_150), Outcome::Accepted);
        assert!(health.was_silent(), "nobody saw an answer during two checks");
    };
}
