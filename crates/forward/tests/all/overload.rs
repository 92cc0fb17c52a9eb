//! Tests of the health of servers under overload, and of what the store and checks say of servers
//! that are alive.

use base::prelude::*;
use forward::health::Outcome as CheckOutcome;
use forward::reach::Reach;

use crate::sim;
use crate::sim::Outcome;
use crate::sim::Simulation;
use crate::sim::Status;

/// Pattern: a server loses its path to the store, which removes its entry, and shortly later the
/// other server of its pool stops answering. No balancer is disturbed.
#[test]
fn a_removed_server_gets_no_new_flows() {
    for seed in 40..44 {
        let mut sim = Simulation::new(seed, 3, 9, 2).with_rate(20.0);
        sim.run_for(Span::secs(6));
        sim.remove_entry(0);
        sim.run_for(Span::millis(2_300));
        sim.servers[1].status = Status::Unresponsive;
        sim.run_for(Span::secs(6));
        sim.assert_no_violations();
        // It serves again once its entry is back.
        sim.write_server(0);
        sim.run_for(Span::secs(1));
        let from = sim.now;
        sim.run_for(Span::secs(3));
        let served = sim.count_requests(from, |request| {
            matches!(request.outcome, Outcome::Served(_))
        });
        assert!(served > 50, "{served} served after the entry is back");
    }
}

/// Pattern: the servers of a domain end together and start again under their names, cold, while the
/// store does not answer, so that only their silence indicates the restart.
#[test]
fn a_domain_that_restarts_together_is_cold() {
    for seed in 50..54 {
        let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(120.0);
        sim.run_for(Span::secs(6));
        sim.store.down_until = sim.now + Span::secs(8);
        sim.run_for(Span::millis(200));
        for server in (0..18).step_by(3) {
            sim.crash_server(server);
        }
        sim.run_for(Span::secs(6));
        sim.assert_no_violations();
    }
}

/// Pattern: a domain is cut off for 4 s, so that all of its servers fall silent for the others, and
/// theirs for it. None has restarted, and their capacity is needed as soon as the cut ends.
#[test]
fn a_domain_that_was_cut_off_is_not_cold() {
    for seed in 54..58 {
        let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(120.0);
        sim.run_for(Span::secs(6));
        sim.partitioned.insert(0);
        sim.run_for(Span::secs(4));
        sim.partitioned.clear();
        for _ in 0..30 {
            sim.run_for(Span::millis(100));
            for balancer in 0..9 {
                let table = sim.reducer(balancer).table();
                let mut rows = table.servers();
                let cold = rows.find(|&(key, _)| table.is_cold(key, sim.now));
                assert!(cold.is_none(), "b{balancer} takes {cold:?} for restarted");
            }
        }
    }
}

/// Runs a deployment in which six servers are at their limit for 6 s. Their checks fail and they leave
/// many opening packets unanswered, but they answer the callers that they serve. Callers keep ending
/// some of their flows, so that they open others.
fn run_full_servers(seed: u64, outcome: CheckOutcome) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(300.0);
    sim.flows_per_domain = 90;
    sim.run_for(Span::secs(6));
    for server in 0..6 {
        sim.servers[server].full = Some(outcome);
    }
    sim.is_logging = true;
    for _ in 0..30 {
        sim.run_for(Span::millis(200));
        for flows in sim.idle_flows.values_mut() {
            flows.truncate(80);
        }
    }
    assert!(
        sim.checks.len() > 24,
        "the test must make servers unresponsive"
    );
    sim
}

/// Pattern: servers are full and their checks take too long, while they answer other callers.
#[test]
fn a_full_server_keeps_its_flows() {
    for seed in 70..74 {
        let sim = run_full_servers(seed, CheckOutcome::Accepted);
        let resets = sim.log.iter().filter(|line| line.contains(": reset"));
        assert_eq!(resets.count(), 0, "the servers are alive");
        sim.assert_no_violations();
    }
}

/// Pattern: servers are at their limit of connections, so that checks cannot tell them from dead ones.
/// The answers that balancers of a domain see do, unless the last of them is too recent to be known
/// to the others.
#[test]
fn an_answer_keeps_a_server_reachable() {
    /// The period of urgent reports, and a tick.
    const REPORT_MS: f64 = 130.0;
    /// Two checks and the delay between them.
    const CHECKS_MS: f64 = 545.0;
    let millis = |line: &str| -> f64 {
        let text = line.split("ms").next().expect("a line starts with a time");
        text.parse().expect("the time is a number")
    };
    let domain = |line: &str| -> usize {
        let text = line.split(' ').nth(1).expect("a balancer follows");
        text[1..].parse::<usize>().expect("it has a number") % 3
    };
    let mut decisions = 0;
    for seed in 70..74 {
        let sim = run_full_servers(seed, CheckOutcome::Silent);
        let is_decision =
            |line: &str| line.contains(" is unreachable") && !line.contains("reset, ");
        for (index, line) in sim.log.iter().enumerate() {
            if !is_decision(line) {
                continue;
            }
            decisions += 1;
            let is_named = |server: &&sim::Server| line.contains(&server.name);
            let server = sim.servers.iter().find(is_named).expect("it is known");
            let address = format!("at {}", server.address);
            let age = |other: &str| millis(line) - millis(other);
            let answer = sim.log[..index].iter().find(|other| {
                other.contains(&address)
                    && other.contains(" len 0 ")
                    && !other.contains(" syn ")
                    && domain(other) == domain(line)
                    && (REPORT_MS..CHECKS_MS).contains(&age(other))
            });
            assert_eq!(answer, None, "{line}");
        }
    }
    assert!(decisions > 10, "{decisions} servers were unreachable");
}

/// Returns when the first open flow of a server was reset after it stopped answering, for servers
/// that stop one after the other.
fn reset_delays(seed: u64) -> Vec<Span> {
    let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(120.0);
    sim.flows_per_domain = 120;
    sim.run_for(Span::secs(8));
    let mut delays = Vec::new();
    for server in 0..6 {
        sim.is_logging = true;
        sim.log.clear();
        let died_at = sim.now;
        sim.make_unresponsive(server);
        let wanted = format!("reset, {} is unreachable", sim.servers[server].name);
        while !sim.log.iter().any(|line| line.contains(&wanted)) {
            sim.run_for(Span::millis(5));
        }
        delays.push(sim.now.since(died_at));
        sim.is_logging = false;
        sim.run_for(Span::millis(500));
    }
    delays
}

/// Pattern: servers die with open flows. Their callers wait, so that the flows are reset as soon as
/// two checks have shown it: after a packet that is left unanswered for 200 ms, two checks of 250 ms
/// and the delay of 50 ms between them, each started by the next tick.
#[test]
fn flows_of_a_dead_server_are_reset_at_once() {
    let mut delays: Vec<Span> = (60..64).flat_map(reset_delays).collect();
    delays.sort_unstable();
    let (median, last) = (delays[delays.len() / 2], delays[delays.len() - 1]);
    assert!(median <= Span::millis(820), "median {median}, {delays:?}");
    assert!(last <= Span::millis(1_000), "last {last}, {delays:?}");
}

/// A short disturbance fails reads of several kinds at once. It must not put lapsed servers to use.
#[test]
fn the_store_is_lost_only_after_reads_failed_for_a_while() {
    let mut reach = Reach::default();
    let at = |millis| sim::START + Span::millis(millis);
    assert!(reach.is_reached(at(0)));
    reach.record_loss(at(0));
    reach.record_loss(at(20));
    assert!(reach.is_reached(at(20)));
    reach.record_loss(at(900));
    assert!(!reach.is_reached(at(1_000)));
    assert!(reach.is_reached(at(4_000)), "the results are too old");
    reach.record_loss(at(4_000));
    assert!(reach.is_reached(at(4_000)), "the first loss in a long time");
    reach.record_loss(at(4_900));
    assert!(!reach.is_reached(at(4_900)));
    reach.record_answer();
    assert!(reach.is_reached(at(4_900)));
}
