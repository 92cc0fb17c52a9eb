//! Tests of the health of servers under overload, and of what the store and checks say of servers
//! that are alive.

use base::prelude::*;
use conf::key;
use forward::backlog::Lost;
use forward::health::Outcome as CheckOutcome;
use forward::health::RESULT_LIFETIME_MIN;
use forward::reach::Reach;

use crate::admission;
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
///
/// Returns the deployment, and how often a balancer took a server for silent.
fn run_full_servers(seed: u64, outcome: CheckOutcome) -> (Simulation, usize) {
    let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(300.0);
    sim.flows_per_domain = 90;
    sim.run_for(Span::secs(6));
    for server in 0..6 {
        sim.servers[server].full = Some(outcome);
    }
    sim.is_logging = true;
    let mut silent = 0;
    for _ in 0..30 {
        sim.run_for(Span::millis(200));
        for balancer in 0..9 {
            let rows = sim.reducer(balancer).table().servers();
            silent += rows.filter(|(_, row)| row.health.is_silent()).count();
        }
        for flows in sim.idle_flows.values_mut() {
            flows.truncate(80);
        }
    }
    assert!(
        sim.checks.len() > 24,
        "the test must make servers unresponsive"
    );
    (sim, silent)
}

/// Pattern: servers are full and their checks take too long, while they answer other callers.
#[test]
fn a_full_server_keeps_its_flows() {
    for seed in 70..74 {
        let (sim, _) = run_full_servers(seed, CheckOutcome::Accepted);
        let resets = sim.log.iter().filter(|line| line.contains(": reset"));
        assert_eq!(resets.count(), 0, "the servers are alive");
        sim.assert_no_violations();
    }
}

/// Pattern: servers are at their limit of connections, so that they answer neither checks nor all
/// opening packets, while they serve their open flows. Without evidence of the callers of these flows,
/// a gap of half a second between two answers was enough to reset them all.
#[test]
fn a_server_at_its_connection_limit_keeps_its_flows() {
    for seed in 70..80 {
        let (sim, silent) = run_full_servers(seed, CheckOutcome::Silent);
        assert!(
            silent > 0,
            "the test must make checks silent while no answer is seen"
        );
        let resets = sim.log.iter().filter(|line| line.contains(": reset"));
        let resets: Vec<&String> = resets
            .filter(|line| line.contains(" is unreachable"))
            .collect();
        assert_eq!(
            resets,
            Vec::<&String>::new(),
            "seed {seed}: the servers are alive"
        );
        sim.assert_no_violations();
    }
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
/// two checks have shown it: after a packet that is left unanswered for 200 ms, two checks of 200 ms
/// and the delay of 50 ms between them, each started by the next tick.
#[test]
fn flows_of_a_dead_server_are_reset_at_once() {
    let mut delays: Vec<Span> = (60..64).flat_map(reset_delays).collect();
    delays.sort_unstable();
    let (median, last) = (delays[delays.len() / 2], delays[delays.len() - 1]);
    assert!(median <= Span::millis(740), "median {median}, {delays:?}");
    assert!(last <= Span::millis(880), "last {last}, {delays:?}");
}

/// Returns whether a balancer takes a server for unreachable.
fn is_unreachable(sim: &Simulation, balancer: usize, server: usize) -> bool {
    let Some(reducer) = &sim.balancers[balancer].reducer else {
        return false;
    };
    let mut rows = reducer.table().servers();
    let name = &sim.servers[server].name;
    rows.any(|(_, row)| row.name == *name && row.health.is_unreachable())
}

/// Ends a server that has requests under way. Returns how long after the first packet that it left
/// unanswered the balancers of its domain take it for unreachable: the first one, and all. The
/// `disturbance` gets the time since the server's end.
fn detection_delays(
    seed: u64,
    report_loss: u32,
    disturbance: impl Fn(&mut Simulation, Span),
) -> (Span, Span) {
    let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(300.0);
    sim.flows_per_domain = 120;
    sim.run_for(Span::secs(6));
    sim.report_loss = report_loss;
    while sim.servers[0].held() < 2 {
        sim.run_for(Span::millis(1));
    }
    sim.checks.clear();
    sim.is_logging = true;
    sim.servers[0].status = Status::Unresponsive;
    let died_at = sim.now;
    let address = format!("at {}", sim.servers[0].address);
    let mut first = None;
    let last = loop {
        sim.run_for(Span::millis(5));
        let after = sim.now.since(died_at);
        disturbance(&mut sim, after);
        let running = |&balancer: &usize| sim.balancers[balancer].reducer.is_some();
        let mut local = (0..9).step_by(3).filter(running);
        if local
            .clone()
            .any(|balancer| is_unreachable(&sim, balancer, 0))
        {
            first.get_or_insert(sim.now);
        }
        if local.all(|balancer| is_unreachable(&sim, balancer, 0)) {
            break sim.now;
        }
        assert!(after < Span::secs(20), "seed {seed}: not detected");
    };
    let is_unanswered = |line: &&String| {
        line.contains(&address) && (line.contains(" syn ") || !line.contains(" len 0 "))
    };
    let line = sim.log.iter().find(is_unanswered).expect("it has callers");
    let millis = line
        .split("ms")
        .next()
        .and_then(|text| text.parse::<f64>().ok());
    let sent_at = sim::START + Span((millis.expect("a line starts with a time") * 1e3) as u64);
    let first = first.expect("all have detected it");
    (first.since(sent_at), last.since(sent_at))
}

/// The time until all balancers of a domain know that a server has ended: a retransmission after
/// 200 ms, two checks of 200 ms with 50 ms between them, the ticks at which these start (30 ms), and
/// the urgent report with a tick (130 ms).
const DETECTION_MAX: Span = Span::millis(810);

/// Asserts that ended servers are detected in time while `report_loss` of 10,000 reports are lost.
fn assert_detected_in_time(report_loss: u32) {
    let (mut delays, mut last) = (Vec::new(), Span::ZERO);
    for seed in 60..70 {
        let (first, all) = detection_delays(seed, report_loss, |_, _| ());
        delays.push(first);
        last = last.max(all);
    }
    delays.sort_unstable();
    assert!(delays[5] <= Span::millis(700), "{delays:?}");
    assert!(last <= DETECTION_MAX, "last {last}, {delays:?}");
}

/// Pattern: a server ends with requests under way. Its callers retransmit, which must not delay the
/// resets that two silent checks caused before the rule on retransmissions.
#[test]
fn a_server_that_ended_is_detected_by_its_callers() {
    assert_detected_in_time(0);
}

/// Failure: load reports with the retransmissions and the results of checks are lost.
#[test]
fn a_server_that_ended_is_detected_when_reports_are_lost() {
    assert_detected_in_time(3_000);
}

/// Failure: the balancer that checks the server is killed before the second check has ended. The next
/// one takes over after the lifetime of results. It made only one check in that time before, so that
/// the flows were reset after up to 11.4 s.
#[test]
fn a_server_that_ended_is_detected_when_its_checker_dies() {
    let limit = Span(RESULT_LIFETIME_MIN.0 + Span::millis(800).0);
    for seed in 60..70 {
        let (first, all) = detection_delays(seed, 0, |sim, after| {
            let local = |&&(_, balancer, _): &&(Time, usize, String)| balancer % 3 == 0;
            let checker = sim
                .checks
                .iter()
                .find(local)
                .map(|&(_, balancer, _)| balancer);
            if let Some(balancer) = checker.filter(|_| after < Span::millis(600)) {
                if sim.balancers[balancer].reducer.is_some() {
                    sim.kill_balancer(balancer, Span::secs(30));
                }
            }
        });
        assert!(all <= limit, "seed {seed}: {first}, {all}");
    }
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

/// Pattern: all balancers are paused for 2 s and the packets of their callers queue (inc-96b3). The
/// callers of most opening packets have given up when these are forwarded, which is no failure of
/// their servers.
#[test]
fn a_backlog_raises_no_suspicion() {
    for seed in 90..98 {
        let mut sim = Simulation::new(seed, 3, 30, 18).with_rate(60.0);
        sim.run_for(Span::secs(6));
        for balancer in 0..30 {
            sim.balancers[balancer].queue = Some(Vec::new());
            sim.pause_balancer(balancer, Span::secs(2));
        }
        sim.is_logging = true;
        sim.run_for(Span::secs(5));
        let suspicions = sim.log.iter().filter(|line| line.contains(" is suspected"));
        let suspicions: Vec<&String> = suspicions.collect();
        assert_eq!(
            suspicions,
            Vec::<&String>::new(),
            "seed {seed}: no server has failed"
        );
        sim.assert_no_violations();
    }
}

/// Failure: a balancer is paused for a second during a crowd, and other balancers open the flows of the
/// callers whose packets queue there. It must not refuse them with resets when it resumes.
#[test]
fn a_resumed_balancer_resets_no_flow_that_others_opened() {
    for seed in 400..406 {
        let mut sim = admission::deployment(seed, 20).with_rate(admission::rate(2.0));
        sim.run_for(Span::secs(1));
        for balancer in [0, 1, 2] {
            sim.balancers[balancer].queue = Some(Vec::new());
            sim.pause_balancer(balancer, Span::millis(1_190));
        }
        sim.run_for(Span::secs(3));
        sim.assert_no_violations();
    }
}

/// Failure: a server ends while the balancers are paused. The callers that still wait send copies.
#[test]
fn a_server_that_ends_in_a_pause_is_suspected_after_a_copy() {
    for seed in 90..94 {
        let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(120.0);
        sim.run_for(Span::secs(6));
        for balancer in 0..9 {
            sim.balancers[balancer].queue = Some(Vec::new());
            sim.pause_balancer(balancer, Span::secs(2));
        }
        sim.run_for(Span::secs(1));
        sim.servers[0].status = Status::Unresponsive;
        sim.is_logging = true;
        sim.run_for(Span::millis(1_600));
        let name = &sim.servers[0].name;
        let is_suspected = |line: &String| line.contains(name) && line.contains(" is suspected");
        assert!(
            sim.log.iter().any(is_suspected),
            "seed {seed}: not within 600 ms"
        );
    }
}

/// Load: copies of opening packets move to other servers, which would look idle until the data of
/// their callers arrives.
#[test]
fn a_copy_that_moves_counts_as_a_request_under_way() {
    let mut sim = Simulation::new(11, 1, 1, 3);
    sim.run_for(Span::secs(3));
    for server in 0..3 {
        sim.servers[server].status = Status::Unresponsive;
    }
    let requests = |sim: &Simulation| -> u32 {
        let rows = sim.reducer(0).table().servers();
        rows.map(|(_, row)| row.requests).sum()
    };
    sim.start_request(0, true);
    sim.run_for(Span::millis(190));
    assert_eq!(requests(&sim), 0, "the first opening counts for 100 ms");
    sim.run_for(Span::millis(20));
    assert_eq!(requests(&sim), 1, "the copy has moved");
    sim.run_for(Span::millis(130));
    assert_eq!(requests(&sim), 0, "it counts for 100 ms as well");
}

/// Pattern: the answers of all servers are lost on their way to callers, so that flows do not open.
/// Where a single domain loses openings, its servers may have failed.
#[test]
fn openings_lost_in_several_domains_have_a_common_cause() {
    let (at, key) = (
        |millis| sim::START + Span::millis(millis),
        |number| {
            (
                key::Domain::from_u32(number / 10),
                key::Server::from_u32(number),
            )
        },
    );
    let record = |lost: &mut Lost, millis, number| {
        let (domain, server) = key(number);
        lost.record(at(millis), domain, server);
    };
    let mut lost = Lost::default();
    for number in [0, 1, 2, 10] {
        record(&mut lost, 0, number);
    }
    assert!(
        !lost.is_common(at(0)),
        "one server of the other domain may have failed too"
    );
    record(&mut lost, 25, 10);
    assert!(!lost.is_common(at(25)), "it is the same one");
    record(&mut lost, 25, 11);
    assert!(lost.is_common(at(25)));
    assert!(!lost.is_common(at(110)), "the others lost theirs earlier");
}
