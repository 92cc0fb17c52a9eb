//! Tests of the start of many balancers: calls to the store, and the time until all can serve.

use std::collections::BTreeMap;

use base::prelude::*;
use forward::prelude::*;
use forward::setting::StartFrom;

use crate::sim::Links;
use crate::sim::Simulation;

/// What a start took.
#[derive(Debug)]
struct Cost {
    /// When all balancers could serve, after the first one started.
    served_after: Option<Span>,
    /// The calls to the store by kind of object and call.
    calls: BTreeMap<(&'static str, &'static str), usize>,
    /// The bytes that the busiest balancer sent to peers.
    bytes_max: usize,
    /// The number of snapshots that were sent.
    snapshots: usize,
    /// The bytes of the last snapshot.
    snapshot_bytes: usize,
}

fn count_calls(sim: &Simulation) -> BTreeMap<(&'static str, &'static str), usize> {
    let mut calls = BTreeMap::new();
    for read in &sim.store.reads {
        *calls.entry((read.kind.name(), read.call())).or_default() += 1;
    }
    calls
}

/// Runs a deployment whose balancers start within 0.3 s of each other.
fn start_all(sim: &mut Simulation, span: Span) -> Cost {
    sim.links.get_or_insert_default().sent.clear();
    sim.store.reads.clear();
    let from = sim.now;
    let mut served_after = None;
    let mut done = BTreeMap::new();
    while sim.now.since(from) < span {
        sim.run_for(Span::millis(25));
        let at = sim.now.since(from).as_millis();
        for (index, state) in sim.balancers.iter().enumerate() {
            if state.reducer.as_ref().is_some_and(Forwarder::can_serve) {
                done.entry(index).or_insert(at);
            }
        }
        let mut reducers = sim.balancers.iter().map(|state| state.reducer.as_ref());
        let can_all_serve = reducers.all(|reducer| reducer.is_some_and(Forwarder::can_serve));
        if can_all_serve && served_after.is_none() {
            served_after = Some(sim.now.since(from));
        }
    }
    let mut times: Vec<u64> = done.into_values().collect();
    times.sort_unstable();
    let part = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!("can serve: {:?} ms", [1, 50, 99].map(part));
    let links = sim.links.as_ref().expect("the links are simulated");
    Cost {
        served_after,
        calls: count_calls(sim),
        bytes_max: links.sent.values().copied().max().unwrap_or_default(),
        snapshots: links.snapshots,
        snapshot_bytes: links.snapshot_bytes,
    }
}

/// Failure: all balancers lose power and start together, and each reads the platform.
macro_rules! check_joint_start {
    ($($name:ident: $balancers:expr, $domains:expr, $seed:expr, $calls:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut sim = Simulation::new($seed, $domains, $balancers, 3_000);
            sim.start_from = StartFrom::Peers;
            let cost = start_all(&mut sim, Span::secs(4));
            println!("{cost:?}");
            let served_after = cost.served_after.expect("all balancers can serve");
            assert!(served_after <= Span::secs(3), "after {served_after}");
            let calls: usize = cost.calls.values().sum();
            assert!(calls <= $calls, "{calls} calls");
            assert!(cost.snapshots < 2 * $balancers, "{} snapshots", cost.snapshots);
            // What one balancer sends in a second at 10 Mbit/s.
            assert!(cost.bytes_max < 1_250_000, "{} bytes sent by one", cost.bytes_max);
            assert!(cost.snapshot_bytes < 512 * 1_150, "{} bytes", cost.snapshot_bytes);
        }
    )*};
}

check_joint_start! {
    a_joint_start_of_195_makes_100_calls_at_most: 195, 5, 1, 100;
    all_302_can_serve_within_3_s: 302, 8, 2, 150;
}

/// Failure: hosts have links of 10 to 200 Mbit/s, and a listing of 3,000 servers takes 0.8 s on the
/// slowest one.
#[test]
fn a_joint_start_on_slow_links() {
    let mut sim = Simulation::new(3, 5, 100, 3_000);
    sim.start_from = StartFrom::Peers;
    let links = sim.links.get_or_insert_default();
    let mbps = [10, 50, 10, 100, 200];
    links.rates = (0..100)
        .map(|host| (host, mbps[host / 5 % 5] * 125_000))
        .collect();
    let cost = start_all(&mut sim, Span::secs(5));
    println!("{cost:?}");
    let served_after = cost.served_after.expect("all balancers can serve");
    assert!(served_after <= Span::secs(3), "after {served_after}");
}

fn can_serve(sim: &Simulation, balancer: usize) -> bool {
    let reducer = sim.balancers[balancer].reducer.as_ref();
    reducer.is_some_and(Forwarder::can_serve)
}

/// Runs until a balancer can serve, and returns the time that it took.
fn time_to_serve(sim: &mut Simulation, balancer: usize, limit: Span) -> Span {
    let from = sim.now;
    while !can_serve(sim, balancer) {
        assert!(sim.now.since(from) < limit, "b{balancer} after {limit}");
        sim.run_for(Span::millis(25));
    }
    sim.now.since(from)
}

/// Returns a quiet deployment with simulated links.
fn quiet_deployment(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 27, 60);
    sim.start_from = StartFrom::Peers;
    sim.links = Some(Links::default());
    sim.run_for(Span::secs(8));
    sim
}

/// Restarts a balancer, and returns the time until it can serve.
fn restart(sim: &mut Simulation, balancer: usize) -> Span {
    sim.store.reads.clear();
    sim.kill_balancer(balancer, Span::millis(100));
    time_to_serve(sim, balancer, Span::secs(5))
}

fn calls_of(sim: &Simulation, balancer: usize) -> usize {
    let reads = sim.store.reads.iter();
    reads.filter(|read| read.balancer == balancer).count()
}

/// Returns a balancer that does not read the platform for the others, by a number.
fn follower(sim: &Simulation, number: usize) -> usize {
    let reader = (0..sim.balancers.len()).min_by_key(|&b| sim.reducer(b).incarnation());
    let reader = reader.expect("there are balancers");
    (reader + 1 + number % 26) % 27
}

#[test]
fn a_restart_makes_no_call_while_peers_answer() {
    for seed in 0..6 {
        let mut sim = quiet_deployment(seed);
        let balancer = follower(&sim, seed as usize * 5);
        let took = restart(&mut sim, balancer);
        assert!(took <= Span::millis(700), "{took}, seed {seed}");
        sim.run_for(Span::secs(4));
        assert_eq!(calls_of(&sim, balancer), 0, "seed {seed}");
    }
}

/// Failure: every balancer is restarted, the reader included, and the new ones read listings.
#[test]
fn a_rolling_restart_makes_no_listing() {
    let mut sim = quiet_deployment(7).with_rate(60.0);
    sim.store.reads.clear();
    for balancer in 0..27 {
        sim.stop_balancer(balancer);
        sim.run_for(Span::millis(1_700));
    }
    sim.run_for(Span::secs(8));
    let listings = sim.store.reads.iter().filter(|read| read.since == 0);
    assert_eq!(listings.count(), 0, "{:?}", count_calls(&sim));
    println!("{:?}", count_calls(&sim));
    sim.assert_no_violations();
}

/// Failure: balancers start all the time while servers drain. A snapshot must not bring back a
/// server that has drained.
#[test]
fn a_starting_balancer_sends_no_flow_to_a_drained_server() {
    for seed in 10..13 {
        let mut sim = quiet_deployment(seed).with_rate(150.0);
        for round in 0..20 {
            sim.kill_balancer(round * 4 % 27, Span::millis(100));
            sim.drain_server(round);
            sim.run_for(Span::millis(400));
        }
        sim.run_for(Span::secs(4));
        sim.assert_no_violations();
    }
}

/// Failure: the peer that sends the snapshot dies.
#[test]
fn a_peer_that_dies_while_it_sends_is_replaced() {
    let mut sim = quiet_deployment(14);
    // One fragment in each tick.
    let links = sim.links.get_or_insert_default();
    links.rates = (0..27).map(|host| (host, 200_000)).collect();
    let balancer = follower(&sim, 0);
    sim.store.reads.clear();
    sim.kill_balancer(balancer, Span::millis(100));
    let mut killed = None;
    for _ in 0..200 {
        sim.run_for(Span::millis(5));
        let sender = sim
            .links
            .as_ref()
            .and_then(|links| links.sender_to(balancer));
        if let Some(peer) = sender.filter(|_| !can_serve(&sim, balancer)) {
            sim.kill_balancer(peer, Span::secs(60));
            killed = Some(peer);
            break;
        }
    }
    assert!(killed.is_some(), "a peer was sending");
    let took = time_to_serve(&mut sim, balancer, Span::secs(3));
    assert!(took < Span::millis(1_500), "{took}");
    assert_eq!(calls_of(&sim, balancer), 0, "{:?}", sim.store.reads);
}

/// Failure: the store is away while a balancer restarts; its peers' confirmations are old.
#[test]
fn a_restart_without_the_store_takes_the_peers_state() {
    let mut sim = quiet_deployment(15);
    sim.store.down_until = sim.now + Span::secs(30);
    sim.run_for(Span::secs(6));
    let balancer = follower(&sim, 2);
    let took = restart(&mut sim, balancer);
    assert!(took <= Span::secs(2), "{took}");
}

/// Failure: a domain that is cut off starts. It has nothing to serve with until the cut ends.
#[test]
fn a_cut_domain_starts_when_the_cut_ends() {
    let mut sim = quiet_deployment(16);
    sim.partitioned.insert(0);
    let domain: Vec<usize> = (0..27).filter(|&b| sim.balancers[b].domain == 0).collect();
    for &balancer in &domain {
        sim.kill_balancer(balancer, Span::millis(100));
    }
    sim.run_for(Span::secs(4));
    for &balancer in &domain {
        assert!(!can_serve(&sim, balancer), "b{balancer}");
    }
    sim.partitioned.clear();
    for &balancer in &domain {
        time_to_serve(&mut sim, balancer, Span::secs(3));
    }
}

/// Failure: the store rejects some balancers, the first of a domain among them.
#[test]
fn others_read_when_the_first_cannot() {
    for seed in 17..22 {
        let mut sim = Simulation::new(seed, 3, 27, 60);
        sim.start_from = StartFrom::Peers;
        sim.store.rejected_balancers.extend(0..18);
        let cost = start_all(&mut sim, Span::secs(5));
        let served_after = cost.served_after.expect("all balancers can serve");
        assert!(served_after <= Span::secs(3), "after {served_after}");
    }
}

/// Failure: an older release does not know the frames, and answers nothing.
#[test]
fn balancers_start_beside_an_older_release() {
    let mut sim = quiet_deployment(18);
    let balancer = follower(&sim, 3);
    sim.old_releases = (0..27).filter(|&other| other != balancer).collect();
    let took = restart(&mut sim, balancer);
    assert!(took <= Span::millis(3_200), "{took}");
}
