//! Tests of the restore of the store in large deployments: all balancers learn of it within a moment.

use base::prelude::*;
use conf::object::Kind;

use crate::sim::Outcome;
use crate::sim::Simulation;

/// What a restore cost a deployment.
#[derive(Debug, Default)]
struct Cost {
    /// From the store's return until all balancers have its state in force.
    in_force_after: Option<Span>,
    /// The calls in that time, and the most within one second.
    calls: usize,
    calls_per_second: usize,
}

fn restore(domains: usize, balancers: usize, servers: usize) -> Cost {
    let mut sim = Simulation::new(7, domains, balancers, servers);
    sim.store.era = 1;
    sim.run_for(Span::secs(20));
    let copy = sim.copy_store();
    sim.write_routing();
    for server in 0..5 {
        sim.drain_server(server);
    }
    sim.run_for(Span::secs(4));
    let away = Span::secs(1);
    sim.restore_store(&copy, away, Span::millis(1_500));
    sim.run_for(away);
    let (returned, first) = (sim.now, sim.store.reads.len());
    let mut cost = Cost::default();
    let mut second = Vec::new();
    for step in 0..160 {
        let before = sim.store.reads.len();
        sim.run_for(Span::millis(50));
        second.push(sim.store.reads.len() - before);
        let recent = second.iter().rev().take(20);
        cost.calls_per_second = cost.calls_per_second.max(recent.sum());
        let routing = sim.written_at(Kind::Routing, "main");
        let has_all = |balancer: usize| {
            let table = sim.reducer(balancer).table();
            let mut rows = table.servers();
            Some(table.routing_version()) == routing
                && rows.all(|(_, row)| sim.written_at(Kind::Server, &row.name) == Some(row.version))
        };
        if step >= 30 && (0..balancers).all(has_all) {
            cost.in_force_after = Some(sim.now.since(returned));
            break;
        }
    }
    cost.calls = sim.store.reads.len() - first;
    cost
}

/// The reads that the smallest users' platform handles in a second.
const READS_PER_SECOND: usize = 2_000;

/// Makes a test that restores the store of a deployment, given its domains, balancers and servers, and
/// the time until its state has to be in force everywhere.
macro_rules! check_restore {
    ($($name:ident: $domains:expr, $balancers:expr, $servers:expr, $within:expr;)*) => {$(
        #[test]
        fn $name() {
            let cost = restore($domains, $balancers, $servers);
            println!("{cost:?}");
            let after = cost.in_force_after.expect("the state is in force everywhere");
            assert!(after <= $within, "after {after}");
            assert!(cost.calls_per_second <= READS_PER_SECOND, "{cost:?}");
        }
    )*};
}

check_restore! {
    a_restore_at_9_balancers_is_in_force_within_3_s: 3, 9, 18, Span::secs(3);
    a_restore_at_60_balancers_is_in_force_within_6_s: 4, 60, 150, Span::secs(6);
}

/// Failure: callers are refused or time out because of a restore, although a mere outage of the store
/// does not fail any.
#[test]
fn a_restore_fails_no_request_that_an_outage_does_not_fail() {
    let failed = |is_restored: bool| {
        let mut sim = Simulation::new(11, 3, 9, 18).with_rate(80.0);
        sim.store.era = 1;
        sim.run_for(Span::secs(5));
        let copy = sim.copy_store();
        for server in 0..2 {
            sim.drain_server(server);
            sim.restart_cold(4 + server);
        }
        sim.write_routing();
        sim.run_for(Span::secs(3));
        let from = sim.now;
        match is_restored {
            true => sim.restore_store(&copy, Span::secs(1), Span::millis(1_500)),
            false => sim.store.down_until = sim.now + Span::secs(1),
        }
        sim.run_for(Span::secs(10));
        sim.assert_no_violations();
        sim.count_requests(from, |request| {
            matches!(request.outcome, Outcome::Refused | Outcome::TimedOut)
        })
    };
    assert!(failed(true) <= failed(false), "{} requests", failed(true));
}
