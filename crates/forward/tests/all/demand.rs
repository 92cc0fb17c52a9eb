//! Tests of the rates and sums of demand.

use base::prelude::*;
use conf::key;
use cranelift_entity::EntityRef;
use forward::demand::Demands;
use forward::demand::Offer;
use forward::demand::Rate;
use forward::demand::Summary;
use forward::demand::PRIORITIES;

const START: Time = Time(1_900_000_000_000_000);

fn pool() -> key::Pool {
    key::Pool::new(3)
}

/// Returns demand at the most urgent priority.
fn offer(rate: u32) -> Offer {
    let mut offer = Offer::default();
    offer.offered[0] = Rate(rate);
    offer
}

/// Failure: a rate in other units than tenths per second, or one that lags by more than its smoothing.
#[test]
fn a_rate_follows_steady_openings_and_their_end() {
    let mut demands = Demands::default();
    let at = |millis| START + Span::millis(millis);
    for millis in (0..2_000).step_by(10) {
        demands.record_opening(at(millis), pool(), 1);
        demands.record_request(at(millis), pool());
    }
    let rate = demands.own(at(1_995), pool(), 1);
    assert!(rate.0.abs_diff(1_000) <= 30, "{rate} of 100/s");
    assert!(
        demands
            .own_offer(at(1_995), pool())
            .committed
            .0
            .abs_diff(1_000)
            <= 30
    );
    assert_eq!(demands.own(at(1_995), pool(), 0), Rate(0));
    let later = demands.own(at(2_790), pool(), 1);
    assert!(
        later < Rate(25),
        "{later} four time constants after the end"
    );
}

/// Failure: a priority beyond the last one from a route's configuration or a frame.
#[test]
fn a_greater_priority_counts_as_the_last() {
    let mut demands = Demands::default();
    demands.record_opening(START, pool(), 200);
    let last = demands.own(START, pool(), PRIORITIES as u8 - 1);
    assert!(last > Rate(0));
    assert_eq!(demands.own(START, pool(), 255), last);
}

/// Failure: a balancer or a domain stops sending, leaves, or is partitioned.
#[test]
fn entries_count_until_they_are_old_or_their_sender_has_left() {
    let mut demands = Demands::default();
    let (near, far) = (Incarnation(1), key::Domain::new(1));
    let summary = Summary {
        offer: offer(300),
        balancers: 3,
        ..Summary::default()
    };
    let fill = |demands: &mut Demands| {
        demands.apply_peer(START, near, [(pool(), offer(200))]);
        demands.apply_domain(START + Span::millis(500), far, [(pool(), summary)]);
    };
    let total = |demands: &Demands, millis| {
        let total = demands.total(START + Span::millis(millis), pool());
        (total.offered[0].0, total.balancers, total.age.as_millis())
    };
    fill(&mut demands);
    assert_eq!(total(&demands, 600), (500, 5, 600));
    assert_eq!(total(&demands, 1_501), (300, 4, 1_001));
    assert_eq!(total(&demands, 2_001), (0, 1, 0));
    demands.expire(START, |_| false, |_| true);
    assert_eq!(total(&demands, 600), (300, 4, 100));
    fill(&mut demands);
    demands.expire(START, |_| true, |_| false);
    assert_eq!(total(&demands, 600), (200, 2, 600));
}

/// Load: a domain so large that a balancer hears two of its eight peers within the age that counts.
#[test]
fn the_sum_of_a_domain_is_extrapolated_from_the_peers_that_were_heard() {
    let mut demands = Demands::default();
    demands.set_live_peers(8);
    demands.apply_peer(START, Incarnation(1), [(pool(), offer(100))]);
    demands.apply_peer(START, Incarnation(2), [(pool(), offer(140))]);
    let total = demands.total(START, pool());
    assert_eq!((total.offered[0], total.balancers), (Rate(960), 3));
    // Entries that replace earlier ones are not added to them.
    demands.apply_peer(START, Incarnation(2), [(pool(), offer(100))]);
    assert_eq!(demands.total(START, pool()).offered[0], Rate(800));
}
