//! Tests of hosts that stay full in spite of refusals, and of refusals in a deployment. Each names
//! the load or failure that it covers.

use std::net::SocketAddr;

use base::prelude::*;
use forward::count::Kind;
use forward::prelude::*;
use wire::frame::Body;
use wire::frame::Frame;
use wire::frame::HostUse;

use crate::sim::Host;
use crate::sim::Outcome;
use crate::sim::Simulation;

const BALANCERS: usize = 6;
const SERVERS: usize = 4;
const LINK_MBPS: f64 = 10.0;
/// The time until a host is not ready from when its link is full: 3 s, two windows and a tick.
const FULL: Span = Span::millis(3_300);

/// Returns a deployment of one domain whose hosts have links of known capacity.
fn deployment(seed: u64, balancers: usize) -> Simulation {
    let mut sim = Simulation::new(seed, 1, balancers, SERVERS).with_rate(50.0);
    for balancer in 0..balancers {
        sim.hosts.insert(balancer, Host::new(LINK_MBPS));
    }
    sim.run_for(Span::secs(3));
    sim
}

fn set_background(sim: &mut Simulation, balancer: usize, percent: u64) {
    let host = sim.hosts.get_mut(&balancer).expect("a host");
    host.background_percent = percent;
}

fn withdrawn(sim: &Simulation) -> Vec<usize> {
    let balancers = 0..sim.balancers.len();
    balancers
        .filter(|&balancer| sim.reducer(balancer).host().readiness().is_withdrawn())
        .collect()
}

/// Runs for a span. Returns the greatest number of hosts that were not ready at the same time, and
/// those that were not ready at some time.
fn watch(sim: &mut Simulation, span: Span) -> (usize, Vec<usize>) {
    let (mut most, mut seen) = (0, Vec::new());
    for _ in 0..span.as_millis() / 25 {
        sim.run_for(Span::millis(25));
        let now = withdrawn(sim);
        most = most.max(now.len());
        seen.extend(now);
    }
    seen.sort_unstable();
    seen.dedup();
    (most, seen)
}

/// Guards against callers that stay with a host whose link is full of packets that it cannot refuse.
#[test]
fn one_full_host_leaves_its_callers_to_others() {
    let mut sim = deployment(1, BALANCERS);
    set_background(&mut sim, 2, 120);
    sim.run_for(FULL);
    assert_eq!(withdrawn(&sim), [2]);
    assert!(!sim.reducer(2).is_ready());
    sim.run_for(Span::secs(2));
    assert!(!sim.balancers[2].is_in_rotation);
    // It stays away for 10 s at most, and then takes flows for as long as it takes to be full again.
    sim.run_for(Span::millis(8_100));
    assert!(sim.reducer(2).is_ready());
    sim.run_for(Span::millis(2_500));
    assert!(sim.balancers[2].is_in_rotation);
    assert_eq!(sim.reducer(2).counts().get(Kind::HostWithdrawn), 1);
    sim.assert_no_violations();
    let served = sim.share_within(crate::sim::START + Span::secs(4), sim.now, Span::secs(1));
    assert!(served > 0.99, "{served} of the requests were served");
}

/// Guards against a domain that loses all its hosts because all are full.
#[test]
fn full_hosts_stay_ready_if_all_are() {
    let mut sim = deployment(2, BALANCERS);
    for balancer in 0..BALANCERS {
        set_background(&mut sim, balancer, 150);
    }
    assert_eq!(watch(&mut sim, Span::secs(20)), (0, vec![]));
}

/// Guards against a single host of a domain whose callers have no other.
#[test]
fn a_full_host_that_is_alone_stays_ready() {
    let mut sim = deployment(3, 1);
    set_background(&mut sim, 0, 150);
    assert_eq!(watch(&mut sim, Span::secs(10)), (0, vec![]));
}

/// Guards against a host that stays away after its load has gone.
#[test]
fn a_host_that_recovers_is_ready_again() {
    let mut sim = deployment(4, BALANCERS);
    set_background(&mut sim, 1, 100);
    sim.run_for(FULL);
    assert_eq!(withdrawn(&sim), [1]);
    set_background(&mut sim, 1, 40);
    sim.run_for(Span::millis(1_900));
    assert_eq!(withdrawn(&sim), [1], "use may fall for a moment");
    sim.run_for(Span::millis(500));
    assert!(sim.reducer(1).is_ready());
}

/// Guards against two hosts that leave their callers at the same moment, also when every second of
/// their frames is lost.
#[test]
fn of_two_full_hosts_one_leaves_at_a_time() {
    for seed in 0..6 {
        let mut sim = deployment(seed, 12);
        sim.host_frame_loss = 2 * usize::from(seed % 2 == 1);
        set_background(&mut sim, 3, 120);
        set_background(&mut sim, 7, 120);
        let (most, seen) = watch(&mut sim, Span::secs(25));
        assert_eq!(most, 1, "seed {seed}");
        assert!(!seen.is_empty(), "seed {seed}");
    }
}

/// Guards against a second host that leaves its callers while the first is away, whichever of them
/// comes first by hash.
#[test]
fn a_host_that_becomes_full_later_stays_ready() {
    for (first, second) in [(3, 7), (7, 3)] {
        let mut sim = deployment(8, 12);
        set_background(&mut sim, first, 120);
        sim.run_for(FULL);
        assert_eq!(withdrawn(&sim), [first]);
        set_background(&mut sim, second, 120);
        assert_eq!(watch(&mut sim, Span::secs(8)), (1, vec![first]));
    }
}

/// Guards against frames that keep a full host from being replaced although no host sent them.
#[test]
fn frames_of_forged_senders_and_other_domains_do_not_count() {
    let mut sim = Simulation::new(5, 2, BALANCERS, SERVERS);
    sim.hosts.insert(0, Host::new(LINK_MBPS));
    sim.run_for(Span::secs(3));
    set_background(&mut sim, 0, 120);
    let foreign = sim.reducer(1).incarnation();
    let own = sim.reducer(0).incarnation();
    let forged = [foreign, own, Incarnation(1), Incarnation(2)];
    for _ in 0..FULL.as_millis() / 100 {
        for from in forged {
            let body = Body::HostUse(HostUse {
                percent: 255,
                is_withdrawn: true,
            });
            let frame = Frame { from, body };
            let peer = SocketAddr::from(([10, 9, 9, 9], 7));
            sim.step_balancer(0, Event::Frame { peer, frame });
        }
        sim.run_for(Span::millis(100));
    }
    assert_eq!(withdrawn(&sim), [0]);
    let rejected = sim.reducer(0).counts().get(Kind::HostUseRejected);
    assert_eq!(rejected, 4 * (FULL.as_millis() / 100));
}

/// Guards against a small host that gets as many flows as a large one: its link carries half of what
/// its callers send.
#[test]
fn flows_that_a_small_host_refuses_are_served_by_others() {
    let mut sim = Simulation::new(6, 1, 3, SERVERS).with_rate(90.0);
    sim.hosts.insert(0, Host::new(0.08));
    sim.run_for(Span::secs(3));
    let (from, bytes) = (sim.now, sim.hosts[&0].bytes);
    sim.run_for(Span::secs(10));
    let refused = sim.reducer(0).counts().get(Kind::RefusedHost);
    assert!(refused > 50, "{refused} flows were refused");
    // 10,000 bytes per second for 10 s.
    let used = (sim.hosts[&0].bytes - bytes) / 1_000;
    assert!((70..=95).contains(&used), "the link is used to {used}%");
    let all = sim.count_requests(from, |_| true);
    let served = sim.count_requests(from, |request| {
        matches!(request.outcome, Outcome::Served(_))
    });
    assert!(served * 100 >= all * 95, "{served} of {all} were served");
    sim.assert_no_violations();
}

/// Guards against a change of behaviour of hosts whose capacity nobody has set.
#[test]
fn hosts_of_unknown_capacity_announce_and_refuse_nothing() {
    let mut sim = Simulation::new(7, 1, 3, SERVERS).with_rate(200.0);
    sim.run_for(Span::secs(8));
    assert!(sim.host_frames.is_empty());
    let refused = (0..3).map(|balancer| sim.reducer(balancer).counts().get(Kind::RefusedHost));
    assert_eq!(refused.sum::<u64>(), 0);
}

/// Guards against operators who cannot see why flows are refused.
#[test]
fn the_dump_shows_the_use_of_the_host() {
    let mut sim = deployment(9, BALANCERS);
    set_background(&mut sim, 0, 120);
    sim.run_for(FULL);
    let dump = sim.reducer(0).to_string();
    assert!(dump.contains("host link 120%, processor not known, ticks late by 0.000ms"));
    assert!(dump.contains("  host not ready"));
    assert!(
        dump.contains("  host refuses 900 permille of requests of priority 0"),
        "{dump}"
    );
}
