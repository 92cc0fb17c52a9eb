//! Tests of the owners of cold servers while balancers end, pause and start.

use base::prelude::*;
use forward::cold::Owners;
use forward::cold::Tenure;
use forward::cold::TAKEOVER_WAIT;

use crate::sim;
use crate::sim::Simulation;

/// The window of the cold limit.
const WINDOW_MS: f64 = 1_000.0;

/// Returns a deployment of one domain whose 30 servers have restarted together and are cold for 5 s,
/// with more callers than they may take. Decisions are logged.
fn all_cold(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 1, 12, 30).with_rate(600.0);
    sim.cold_per_minute = 600;
    sim.cold_period = Span::secs(5);
    sim.write_routing();
    sim.run_for(Span::secs(6));
    for server in 0..30 {
        sim.crash_server(server);
    }
    sim.run_for(Span::millis(1_300));
    sim.is_logging = true;
    sim
}

/// Returns the greatest number of balancers that opened flows to one server within a second while it
/// was cold.
fn concurrent_owners(sim: &Simulation) -> usize {
    let mut most = 0;
    for server in &sim.servers {
        let address = format!("at {} under", server.address);
        let opened = sim.log.iter().filter(|line| line.contains(&address));
        let opened = opened.map(|line| {
            let mut words = line.split(' ');
            let at = words.next().expect("a line starts with a time");
            let at: f64 = at.trim_end_matches("ms").parse().expect("it is a number");
            (at, words.next().expect("the balancer follows"))
        });
        let end = server.cold_until.since(sim::START).0 as f64 / 1e3;
        let opened: Vec<(f64, &str)> = opened.filter(|&(at, _)| at < end).collect();
        for (index, &(from, _)) in opened.iter().enumerate() {
            let window = opened[index..]
                .iter()
                .take_while(|&&(at, _)| at < from + WINDOW_MS);
            let mut owners: Vec<&str> = window.map(|&(_, balancer)| balancer).collect();
            owners.sort_unstable();
            owners.dedup();
            most = most.max(owners.len());
        }
    }
    most
}

/// Failure: balancers die in the same second and start again. Each owner uses half of the limit, so
/// that a third one within a second may exceed it.
#[test]
fn balancers_that_die_together_are_followed_by_few_owners() {
    for seed in 1..=8 {
        let mut sim = all_cold(seed);
        for balancer in 3..6 {
            sim.kill_balancer(balancer, Span::secs(1));
            sim.run_for(Span::millis(200));
        }
        sim.run_for(Span::secs(4));
        let owners = concurrent_owners(&sim);
        assert!(owners <= 2, "seed {seed}: {owners} owners within a second");
        sim.assert_no_violations();
    }
}

/// Failure: two balancers are paused for the same two seconds, so that others take over, and resume
/// with their old views.
#[test]
fn balancers_that_pause_together_open_no_flows_in_their_old_views() {
    for seed in 1..=8 {
        let mut sim = all_cold(seed);
        for balancer in 0..2 {
            sim.pause_balancer(balancer, Span::secs(2));
        }
        sim.run_for(Span::secs(4));
        let owners = concurrent_owners(&sim);
        assert_eq!(owners, 1, "seed {seed}");
        sim.assert_no_violations();
    }
}

/// Failure: all balancers and servers lose power at once. Nobody was the owner of a cold server
/// before, so that nobody waits.
#[test]
fn balancers_that_start_together_do_not_wait() {
    for seed in 1..=4 {
        let mut sim = all_cold(seed);
        for server in 0..30 {
            sim.crash_server(server);
        }
        for balancer in 0..12 {
            sim.kill_balancer(balancer, Span::secs(1));
        }
        sim.run_for(Span::millis(1_000));
        let runs =
            |sim: &Simulation| -> usize { sim.servers.iter().map(|server| server.runs).sum() };
        let before = runs(&sim);
        sim.run_for(Span::millis(500));
        let first = runs(&sim) - before;
        sim.run_for(Span::millis(1_500));
        let all = runs(&sim) - before;
        // The figures before the rule were 210 and 679 at least.
        assert!(first >= 210 && all >= 679, "seed {seed}: {first}, {all}");
    }
}

fn after(millis: u64) -> Time {
    sim::START + Span::millis(millis)
}

/// Returns the owners of a domain with these members at a time, the oldest of which started at
/// `oldest`.
fn observe(owners: &mut Owners, millis: u64, members: &[u64], oldest: Time) {
    let now = after(millis);
    let incarnations = members.iter().map(|&member| Incarnation(member));
    owners.start_observation(now);
    owners.observe(now, "d0", incarnations, oldest, members.len() == 1);
}

/// Failure: an owner dies. The next one waits until the flows of the earlier one no longer count.
#[test]
fn a_new_owner_waits_for_the_window_of_the_limit() {
    let (mut owners, old) = (Owners::default(), Time(0));
    observe(&mut owners, 0, &[1, 2, 3], old);
    let other = Tenure::Unknown.observed(after(0), owners.view("d0"), || false);
    assert!(!owners.may_open(after(0), "d0", other));
    observe(&mut owners, 100, &[2, 3], old);
    let own = other.observed(after(100), owners.view("d0"), || true);
    assert!(!owners.may_open(after(1_099), "d0", own));
    observe(&mut owners, 400, &[2, 3, 4], old);
    let own = own.observed(after(400), owners.view("d0"), || true);
    assert!(
        owners.may_open(after(100) + TAKEOVER_WAIT, "d0", own),
        "it stays the owner"
    );
}

/// Failure: a server restarts just after an owner has died, so that nobody has observed its owner.
#[test]
fn an_owner_of_a_server_that_turns_cold_waits_only_after_a_change() {
    let (mut owners, old) = (Owners::default(), Time(0));
    observe(&mut owners, 0, &[1, 2, 3], old);
    assert!(owners.may_open(after(1_000), "d0", Tenure::Unknown));
    observe(&mut owners, 400, &[2, 3], old);
    assert!(!owners.may_open(after(1_000), "d0", Tenure::Unknown));
    assert!(owners.may_open(after(1_400), "d0", Tenure::Unknown));
}

/// Failure: a process is paused, and the shell does not notice.
#[test]
fn an_owner_waits_after_a_pause() {
    let (mut owners, old) = (Owners::default(), Time(0));
    observe(&mut owners, 0, &[1, 2, 3], old);
    let own = Tenure::Unknown.observed(after(0), owners.view("d0"), || true);
    for millis in [400, 800, 1_200] {
        observe(&mut owners, millis, &[1, 2, 3], old);
    }
    assert!(owners.may_open(after(1_200), "d0", own));
    observe(&mut owners, 1_900, &[1, 2, 3], old);
    assert!(!owners.may_open(after(2_800), "d0", own));
    assert!(owners.may_open(after(2_900), "d0", own));
}

/// Load: all balancers start together with cold servers, and find each other one by one.
#[test]
fn nobody_waits_in_a_joint_start() {
    let mut owners = Owners::default();
    observe(&mut owners, 0, &[1], after(0));
    let own = Tenure::Unknown.observed(after(0), owners.view("d0"), || true);
    assert!(
        !owners.may_open(after(0), "d0", own),
        "it may have joined others"
    );
    observe(&mut owners, 100, &[1, 2], after(0));
    let own = own.observed(after(100), owners.view("d0"), || true);
    assert!(owners.may_open(after(100), "d0", own));
}
