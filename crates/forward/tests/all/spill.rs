//! Tests of the exchange of demand and of spill. Each names the load or the failure that it covers.

use base::prelude::*;
use conf::key;
use cranelift_entity::EntityRef;
use forward::count::Kind;
use forward::demand::Demands;
use forward::demand::Rate;
use forward::demand::Room;
use forward::demand::Summary;
use forward::prelude::*;
use forward::spill;
use forward::spill::Occupancy;
use forward::spill::Shares;
use wire::demand::DomainDemand;
use wire::demand::PoolSum;
use wire::frame::Body;
use wire::frame::Frame;

use crate::sim::domain_name;
use crate::sim::Outcome;
use crate::sim::Simulation;
use crate::sim::POOL;

/// The rate of each domain's callers at which a third of the slots is taken.
const CALM_RATE: f64 = 110.0;

/// Returns a domain of 100 slots of which its callers take `running` and need `needed`.
fn occupancy(domain: usize, running: u32, needed: u64) -> Occupancy {
    let room = Room {
        slots: 100,
        running,
        service_time: Span::millis(needed),
        age: Span::ZERO,
    };
    Occupancy {
        domain: key::Domain::new(domain),
        room,
        // At 1,000 requests per second, each millisecond of service time needs a slot.
        offered: Rate(10_000),
        is_open: true,
    }
}

/// Returns the shares after ten updates with the same data.
fn settled(own: &Occupancy, others: &[Occupancy]) -> Shares {
    (0..10).fold(Shares::default(), |previous, _| {
        spill::shares(own, others, &previous)
    })
}

/// Load: one domain needs 120% of its slots, and two others have 60 and 20 slots under 70%.
#[test]
fn free_domains_take_the_excess_in_proportion_to_their_free_slots() {
    let shares = settled(
        &occupancy(0, 100, 120),
        &[occupancy(1, 10, 10), occupancy(2, 50, 50)],
    );
    let parts: Vec<u64> = shares.parts.iter().map(|&(_, share)| share).collect();
    // 50 of 120 slots are over 70, of which three quarters go to domain 1.
    assert!(
        parts[0].abs_diff(312) <= 2 && parts[1].abs_diff(104) <= 2,
        "{parts:?}"
    );
    let taken = (0..10_000).filter(|&flow| {
        let flow = base::hash::pair(flow, 5);
        shares.domain_for(flow) == Some(key::Domain::new(1))
    });
    assert!(
        taken.count().abs_diff(3_120) < 150,
        "flows must follow the shares"
    );
}

/// Load: several domains are hot at once, and the one free domain must not be filled beyond 70% by
/// all of them together.
#[test]
fn domains_that_spill_at_once_divide_the_free_slots() {
    let hot = [occupancy(0, 100, 150), occupancy(1, 100, 110)];
    let free = occupancy(2, 40, 40);
    let spilled = |own: &Occupancy, other: &Occupancy| {
        settled(own, &[*other, free]).sum() * own.room.service_time.as_millis()
    };
    let (first, second) = (spilled(&hot[0], &hot[1]), spilled(&hot[1], &hot[0]));
    // 30 slots are free; 80 and 40 are in excess.
    assert!(first.abs_diff(20_000) < 300, "{first} of 20 slots");
    assert!(second.abs_diff(10_000) < 300, "{second} of 10 slots");
}

/// Load: occupancy crosses one threshold only, so that spill must neither start nor end.
#[test]
fn spill_has_hysteresis() {
    let others = [occupancy(1, 10, 10)];
    let update = |running: u32, previous: &Shares| {
        let own = occupancy(0, running, running.into());
        spill::shares(&own, &others, previous)
    };
    let none = Shares::default();
    assert_eq!(update(84, &none), none, "84% must not start it");
    let hot = update(85, &none);
    assert!(hot.is_spilling);
    assert!(update(71, &hot).is_spilling, "71% must not end it");
    assert_eq!(update(69, &hot), none, "69% must end it");
}

/// Failure: a target is cut off, out or suspected, has sent nothing for 1.5 s, or is itself at 70%.
#[test]
fn domains_that_cannot_serve_take_nothing() {
    let own = occupancy(0, 100, 120);
    let closed = Occupancy {
        is_open: false,
        ..occupancy(1, 10, 10)
    };
    assert_eq!(settled(&own, &[closed]), Shares::default());
    assert_eq!(settled(&own, &[occupancy(1, 70, 70)]), Shares::default());

    let (pool, domain, now) = (key::Pool::new(0), key::Domain::new(1), Time(1_000_000));
    let mut demands = Demands::default();
    demands.apply_domain(now, domain, [(pool, Summary::default())]);
    let at = |millis| now + Span::millis(millis);
    assert!(demands.domain(at(1_500), pool, domain).is_some());
    assert!(demands.domain(at(1_501), pool, domain).is_none());
    assert_eq!(demands.summaries(at(1_501), pool).count(), 0);
}

/// Failure: counts are 0.3 s old, so that each update sees the effect of the one before the last.
#[test]
fn the_share_settles_with_reports_that_are_300_ms_old() {
    let others = [occupancy(1, 10, 10)];
    for demand in [95u64, 120, 150, 250] {
        let mut shares = Shares::default();
        // The share that was in force in each past step of 100 ms.
        let mut history = vec![0u64; 4];
        for update in 0..25 {
            let old = history[history.len() - 3];
            let local = demand * (1_000 - old) / 1_000;
            let running = local.min(100);
            // What the domain's callers take in both, with local queues of twice the slots.
            let needed = local.min(200) + demand * old / 1_000;
            let own = occupancy(0, running as u32, needed);
            shares = spill::shares(&own, &others, &shares);
            history.extend([shares.sum(), shares.sum()]);
            let before = history[history.len() - 3];
            let change = shares.sum().abs_diff(before);
            assert!(
                update < 8 || change <= 20,
                "{change} at {update} of {demand}"
            );
        }
        let goal = 600.min((demand - 70) * 1_000 / demand);
        let goal = goal.min(60_000 / demand);
        assert!(shares.sum().abs_diff(goal) <= 30, "{shares:?}, goal {goal}");
    }
}

fn pool(sim: &Simulation) -> key::Pool {
    let balancer = sim
        .balancers
        .iter()
        .position(|state| state.reducer.is_some());
    let mut rows = sim
        .reducer(balancer.expect("one is running"))
        .table()
        .servers();
    let found = rows.find_map(|(_, row)| row.pool.filter(|_| row.name.starts_with("i-")));
    found.expect("there is a pool")
}

fn domain_key(sim: &Simulation, balancer: usize, domain: usize) -> key::Domain {
    let table = sim.reducer(balancer).table();
    table
        .domain_key(&domain_name(domain))
        .expect("the domain has servers")
}

/// Returns the share of new flows that a balancer spills, in permille.
fn share(sim: &Simulation, balancer: usize) -> u64 {
    let spills = sim.reducer(balancer).spills();
    spills.get(pool(sim)).map_or(0, Shares::sum)
}

/// Returns the share of new flows that a balancer spills to a domain, in permille.
fn share_to(sim: &Simulation, balancer: usize, domain: usize) -> u64 {
    let key = domain_key(sim, balancer, domain);
    let spills = sim.reducer(balancer).spills();
    spills.get(pool(sim)).map_or(0, |shares| shares.share(key))
}

/// Returns the 99th percentile of the latency of a domain's requests in a span.
fn p99(sim: &Simulation, domain: usize, from: Time, to: Time) -> Span {
    let requests = sim.requests.iter();
    let started = requests
        .filter(|request| request.domain == domain && (from..to).contains(&request.started_at));
    let mut latencies: Vec<Span> = started
        .map(|request| match request.outcome {
            Outcome::Served(at) => at.since(request.started_at),
            _ => Span::secs(2),
        })
        .collect();
    latencies.sort_unstable();
    latencies[latencies.len() * 99 / 100]
}

/// Returns a deployment of nine balancers after 4 s of calm.
fn calm(seed: u64, domains: usize) -> Simulation {
    let mut sim = Simulation::new(seed, domains, 3 * domains, 6 * domains).with_rate(CALM_RATE);
    sim.run_for(Span::secs(4));
    sim
}

/// Load: the callers of one domain ask for 1.6 times what its servers run, the others for a third.
#[test]
fn a_surge_in_one_domain_is_served_by_all() {
    for seed in 50..53 {
        let mut sim = calm(seed, 3);
        sim.is_logging = true;
        sim.surges.insert(0, 6.0);
        sim.run_for(Span::secs(1));
        let from = sim.now;
        sim.run_for(Span::secs(4));
        let to = sim.now;
        assert!(share(&sim, 0) > 0, "the domain must spill");
        let count = |kind| {
            [0, 3, 6]
                .map(|b| sim.reducer(b).counts().get(kind))
                .iter()
                .sum::<u64>()
        };
        let (spilled, opening) = (count(Kind::Spilled), count(Kind::Opening));
        assert!(
            spilled * 20 > opening,
            "{spilled} of {opening} flows spilled"
        );
        sim.surges.clear();
        sim.run_for(Span::secs(2));
        let worst = p99(&sim, 0, from, to);
        let best = p99(&sim, 1, from, to).min(p99(&sim, 2, from, to));
        assert!(worst.0 * 2 <= best.0 * 3, "p99 is {worst} and {best}");
        let shed: usize = sim.servers.iter().map(|server| server.shed).sum();
        assert_eq!(shed, 0, "no request may be shed while others have slots");
        assert_eq!(share(&sim, 0), 0, "2 s after the surge it must have ended");
        let notes = |text: &str| sim.log.iter().filter(|line| line.contains(text)).count();
        let (starts, ends) = (notes("rounds spills"), notes("rounds stays"));
        assert!(
            (3..=9).contains(&starts),
            "{starts} lines for three balancers"
        );
        assert_eq!(starts, ends);
        sim.assert_no_violations();
    }
}

/// Load: two domains are hot at once, and two are free.
#[test]
fn two_hot_domains_do_not_overload_the_free_ones() {
    let mut sim = calm(54, 4);
    sim.surges.extend([(0, 4.5), (1, 4.5)]);
    sim.run_for(Span::secs(1));
    let runs = |sim: &Simulation| {
        let free = sim.servers.iter().filter(|server| server.domain >= 2);
        free.map(|server| server.runs).sum::<usize>()
    };
    let (from, before) = (sim.now, runs(&sim));
    sim.run_for(Span::secs(5));
    let to = sim.now;
    // 24 slots with a mean run time of 30 ms.
    let occupancy = (runs(&sim) - before) as f64 * 0.030 / (24.0 * 5.0);
    sim.run_for(Span::secs(2));
    assert!(
        occupancy < 0.75,
        "{occupancy} of the free domains' slots were taken"
    );
    for domain in 0..4 {
        let p99 = p99(&sim, domain, from, to);
        assert!(p99 < Span::millis(200), "p99 of d{domain} is {p99}");
    }
    sim.assert_no_violations();
}

/// Load: a domain is hot, then loses half of its servers, and cools down again.
#[test]
fn a_hot_domain_that_loses_half_of_its_servers_spills_more_until_it_is_cold() {
    let mut sim = Simulation::new(55, 3, 9, 18).with_rate(60.0);
    sim.run_for(Span::secs(4));
    sim.surges.insert(0, 5.5);
    sim.run_for(Span::secs(3));
    let mean = |sim: &mut Simulation| {
        let mut sum = 0;
        for _ in 0..10 {
            sim.run_for(Span::millis(200));
            sum += share(sim, 0);
        }
        sum / 10
    };
    let hot = mean(&mut sim);
    (0..9)
        .step_by(3)
        .for_each(|server| sim.drain_server(server));
    sim.run_for(Span::secs(1));
    let half = mean(&mut sim);
    assert!(hot > 50 && half > hot + 100, "{hot}, then {half} permille");
    sim.surges.clear();
    sim.surges.insert(0, 0.3);
    sim.run_for(Span::secs(2));
    assert_eq!(share(&sim, 0), 0);
    sim.assert_no_violations();
}

/// Failure: a domain that takes spilled flows is cut off, another time taken out.
#[test]
fn a_domain_that_is_cut_off_or_out_takes_nothing() {
    for is_cut in [true, false] {
        let mut sim = calm(56, 3);
        sim.surges.insert(0, 4.5);
        sim.run_for(Span::secs(2));
        assert!(
            share_to(&sim, 0, 2) > 0,
            "the domain must take flows before"
        );
        match is_cut {
            true => {
                sim.partitioned.insert(2);
            }
            false => sim.set_out(2, true),
        }
        sim.run_for(Span::millis(1_800));
        for balancer in [0, 3, 6] {
            assert_eq!(share_to(&sim, balancer, 2), 0, "cut off: {is_cut}");
        }
        let total = sim.reducer(0).demands().total(sim.now, pool(&sim));
        assert_eq!(total.balancers, 6, "its demand must not count");
        // It serves its own callers alone, and spills nowhere.
        let others = [0, 1].map(|domain| share_to(&sim, 2, domain));
        assert!(!is_cut || others == [0, 0]);
        sim.assert_no_violations();
    }
}

/// Failure: the balancers that send the summaries of the hot domain and of a free one are killed.
#[test]
fn the_next_balancer_reports_when_a_reporter_is_killed() {
    let mut sim = calm(57, 3);
    sim.surges.insert(0, 4.5);
    sim.run_for(Span::secs(2));
    let reporter = |sim: &Simulation, domain: usize| {
        let all = 0..sim.balancers.len();
        let own = all.filter(|&index| sim.balancers[index].domain == domain);
        own.min_by_key(|&index| sim.reducer(index).incarnation())
            .expect("the domain has balancers")
    };
    let killed = [reporter(&sim, 0), reporter(&sim, 2)];
    for balancer in killed {
        sim.kill_balancer(balancer, Span::secs(20));
    }
    let watcher = [0, 3, 6].into_iter().find(|index| !killed.contains(index));
    let watcher = watcher.expect("one is left");
    for _ in 0..40 {
        sim.run_for(Span::millis(100));
        let age = sim
            .reducer(watcher)
            .demands()
            .total(sim.now, pool(&sim))
            .age;
        assert!(age <= Span::millis(1_500), "nothing older may count: {age}");
    }
    let total = sim.reducer(watcher).demands().total(sim.now, pool(&sim));
    assert_eq!(total.balancers, 7, "all that are left must count");
    assert!(
        share_to(&sim, watcher, 2) > 0,
        "the domain must take flows again"
    );
    sim.assert_no_violations();
}

/// Returns the mean error of the known total against the requests that were started, over 3 s.
fn total_error(sim: &mut Simulation) -> f64 {
    let (from, pool) = (sim.now, pool(sim));
    let mut sum = 0.0;
    for _ in 0..60 {
        sim.run_for(Span::millis(50));
        let total = sim.reducer(0).demands().total(sim.now, pool);
        sum += f64::from(total.offered[0].0) / 10.0;
    }
    let started = sim.count_requests(from, |_| true) as f64 / 3.0;
    (sum / 60.0 / started - 1.0).abs()
}

/// Load: three domains that take two thirds of their slots from one moment on.
#[test]
fn totals_of_three_domains_match_the_offered_demand_after_a_second() {
    for seed in 60..63 {
        let mut sim = calm(seed, 3);
        sim.surges.extend([(0, 2.0), (1, 2.0), (2, 2.0)]);
        sim.run_for(Span::secs(1));
        let error = total_error(&mut sim);
        assert!(error < 0.05, "totals are off by {error}");
    }
}

/// Failure: of the frames about demand 30% are lost, all arrive twice, and each up to 300 ms late.
#[test]
fn lost_late_and_duplicated_frames_change_little() {
    let mut sim = calm(63, 3);
    sim.demand_link.loss = 3_000;
    sim.demand_link.delay_max = Span::millis(300);
    sim.demand_link.duplicates = 1;
    sim.surges.insert(0, 5.0);
    sim.run_for(Span::secs(1));
    let error = total_error(&mut sim);
    assert!(error < 0.1, "totals are off by {error}");
    assert!(share(&sim, 0) > 0);
    sim.surges.clear();
    sim.run_for(Span::millis(2_500));
    assert_eq!(share(&sim, 0), 0);
}

/// Failure: a summary arrives twice, or after a later one.
#[test]
fn an_old_summary_is_neither_applied_nor_passed_on() {
    let mut sim = Simulation::new(68, 3, 9, 18).with_rate(30.0);
    sim.run_for(Span::secs(4));
    let (pool, from) = (pool(&sim), sim.reducer(1).incarnation());
    let mut reducer = sim.reducer(0).clone();
    let mut apply = |round, committed| {
        let sum = PoolSum {
            pool_hash: forward::exchange::pool_hash(POOL),
            committed,
            ..PoolSum::default()
        };
        let body = Body::DomainDemand(DomainDemand {
            domain: domain_name(1),
            round,
            pools: vec![sum],
        });
        let (peer, mut out) = (([10, 0, 0, 1], 7000).into(), Vec::new());
        let frame = Frame { from, body };
        reducer.step(sim.now, Event::Frame { peer, frame }, &mut out);
        let total = reducer.demands().total(sim.now, pool);
        (total.committed.0, out.len())
    };
    assert_eq!(
        apply(7, 500),
        (500, 2),
        "it must be passed on to both peers"
    );
    assert_eq!(apply(7, 400), (500, 0));
    assert_eq!(apply(6, 400), (500, 0));
    assert_eq!(apply(8, 400), (400, 2));
}

/// Load: callers take a tenth of the slots.
#[test]
fn nothing_is_sent_in_calm() {
    let mut sim = Simulation::new(65, 3, 9, 18).with_rate(30.0);
    sim.run_for(Span::secs(20));
    assert!(
        sim.demand_link.bytes.is_empty(),
        "{:?}",
        sim.demand_link.bytes
    );
}

/// Load: a surge ends, after which balancers must not keep each other sending.
#[test]
fn sending_ends_after_a_surge() {
    let mut sim = Simulation::new(66, 3, 9, 18).with_rate(30.0);
    sim.run_for(Span::secs(4));
    sim.surges.insert(0, 16.0);
    sim.run_for(Span::secs(3));
    assert_eq!(
        sim.demand_link.bytes.len(),
        9,
        "all balancers must take part"
    );
    sim.surges.clear();
    sim.run_for(Span::secs(4));
    sim.demand_link.bytes.clear();
    sim.run_for(Span::secs(4));
    assert!(
        sim.demand_link.bytes.is_empty(),
        "{:?}",
        sim.demand_link.bytes
    );
}
