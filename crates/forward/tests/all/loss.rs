//! Tests of requests that servers leave without an answer. Each names the failure that it guards
//! against.

use base::prelude::*;
use forward::loss::Losses;
use forward::loss::LOSS_PERIOD;

use crate::sim::Outcome;
use crate::sim::Simulation;

/// The time at which the losses start.
const START: Time = Time(1_900_000_000_000_000);

fn after(millis: u64) -> Time {
    START + Span::millis(millis)
}

/// Guards against a server that resets all flows of its requests and looks idle.
#[test]
fn lost_requests_count_as_load() {
    let mut losses = Losses::default();
    (0..3).for_each(|number| losses.record_lost(after(number)));
    assert_eq!(losses.requests(after(3)), 3);
}

/// Guards against a server that is never tried again.
#[test]
fn lost_requests_fade() {
    let mut losses = Losses::default();
    (0..100).for_each(|number| losses.record_lost(after(number)));
    assert!(losses.requests(after(1_000)) > 0);
    assert_eq!(losses.requests(after(100) + LOSS_PERIOD), 0);
}

/// Guards against few lost packets that make a server look busy.
#[test]
fn few_losses_among_answers_count_for_nothing() {
    let mut losses = Losses::default();
    for number in 0..20 {
        losses.record_answer(after(10 * number));
    }
    losses.record_lost(after(200));
    assert_eq!(losses.requests(after(201)), 0);
}

/// Guards against a fifth of the servers failing all requests at high load while their health checks
/// succeed: each looks idle beside servers that work, and attracts new flows.
#[test]
fn servers_that_reset_their_requests_fail_few_callers() {
    let (mut total, mut failed) = (0, 0);
    for seed in 61..64 {
        let mut sim = Simulation::new(seed, 3, 9, 20).with_rate(260.0);
        sim.run_for(Span::secs(4));
        let from = sim.now;
        (0..4).for_each(|server| sim.servers[server].resets_requests = true);
        sim.run_for(Span::secs(6));
        total += sim.count_requests(from, |_| true);
        failed += sim.count_requests(from, |request| {
            matches!(request.outcome, Outcome::Refused | Outcome::TimedOut)
        });
    }
    // A twentieth of the part that these servers have of the pool.
    assert!(failed * 100 < total, "{failed} of {total} requests failed");
}
