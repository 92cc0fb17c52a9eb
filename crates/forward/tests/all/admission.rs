//! Tests of admission control. Each names the load that it covers.
//!
//! The deployment has 18 servers with 2 slots and requests of 30 ms, so that it serves 1,200
//! requests per second.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use base::prelude::*;
use conf::object;
use forward::admission::Answer;
use forward::admission::Decision;
use forward::admission::Gate;
use forward::admission::Supply;
use forward::admission::Total;
use forward::count::Kind;
use forward::load::Loads;
use forward::packet::Verdict;
use forward::prelude::*;
use wire::frame::OpenFlows;

use crate::sim::Outcome;
use crate::sim::Simulation;
use crate::sim::POOL;
use crate::sim::SERVICE;
use crate::sim::URGENT_SERVICE;

const DOMAINS: usize = 3;
const BALANCERS: usize = 9;
const SERVERS: usize = 18;
/// The number of requests per second that all servers can run.
const CAPACITY: f64 = 1_200.0;
/// The latency within which both kinds of requests must be served.
const TARGET: Span = Span::millis(200);
/// The time until servers, balancers and their estimates are in a steady state.
const WARMUP: Span = Span::secs(4);
/// The time after a change of the load that is left out of a measurement.
const SETTLING: Span = Span::secs(1);
const LONG: Span = Span::secs(5);

/// What callers and servers saw of the requests started in a span.
#[derive(Clone, Copy, Debug)]
struct Measure {
    /// The fraction of the urgent requests that was served within the target.
    urgent: f64,
    /// The same for the others.
    other: f64,
    /// The fraction of the capacity that was used for requests served within the target.
    used: f64,
    /// The number of rejections by servers for each request.
    rejected: f64,
    /// The number of opening packets that were refused.
    refused: u64,
}

/// Returns a deployment with an urgent route and one of priority 2, at 60% of the capacity.
pub(crate) fn deployment(seed: u64, urgent_percent: u32) -> Simulation {
    let mut sim = Simulation::new(seed, DOMAINS, BALANCERS, SERVERS);
    sim.write_routing_with(|routing| {
        let share = object::Share {
            pool: POOL.into(),
            weight: 1,
        };
        let route = |service| object::Route::new(service, vec![share.clone()]).with_target(TARGET);
        routing.routes = vec![
            route(SERVICE).with_priority(2),
            route(URGENT_SERVICE).with_priority(0),
        ];
    });
    sim.urgent_percent = urgent_percent;
    sim.retry_delay = Span::ZERO;
    sim = sim.with_rate(rate(0.6));
    sim.run_for(WARMUP);
    sim
}

/// Ticks a balancer outside of the simulation in the last 300 ms before `to`, so that its next packet
/// does not count as one of a backlog.
pub(crate) fn tick_until(balancer: &mut Forwarder, from: Time, to: Time) {
    let mut now = from.max(to - Span::millis(300));
    while now < to {
        balancer.step(now, Event::Tick, &mut Vec::new());
        now += forward::tick::PERIOD;
    }
}

/// Returns the rate per domain of a demand relative to the capacity.
pub(crate) fn rate(demand: f64) -> f64 {
    demand * CAPACITY / DOMAINS as f64
}

fn refused(sim: &Simulation) -> u64 {
    let running = sim
        .balancers
        .iter()
        .filter_map(|state| state.reducer.as_ref());
    let counts = running.flat_map(|reducer| reducer.counts().iter());
    let refused = counts.filter(|(name, _)| name.starts_with("refused_priority"));
    refused.map(|(_, count)| count).sum()
}

/// Runs the deployment for a span, and measures it relative to a capacity.
fn measure(sim: &mut Simulation, span: Span, capacity: f64) -> Measure {
    let from = sim.now;
    let shed = |sim: &Simulation| sim.servers.iter().map(|server| server.shed).sum::<usize>();
    let (shed_before, refused_before) = (shed(sim), refused(sim));
    sim.run_for(span);
    let to = sim.now;
    let (shed_after, refused_after) = (shed(sim), refused(sim));
    // Requests at the end of the span are pending.
    sim.run_for(Span::millis(250));
    let within = |is_counted: &dyn Fn(&crate::sim::Request) -> bool| {
        let started = sim.requests.iter().filter(|request| {
            request.started_at >= from && request.started_at < to && is_counted(request)
        });
        let (mut all, mut served) = (0usize, 0usize);
        for request in started {
            all += 1;
            served += usize::from(matches!(
                request.outcome,
                Outcome::Served(at) if at.since(request.started_at) <= TARGET
            ));
        }
        (all, served)
    };
    let (urgent, urgent_served) = within(&|request| request.service == URGENT_SERVICE);
    let (other, other_served) = within(&|request| request.service == SERVICE);
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let seconds = to.since(from).0 as f64 / 1e6;
    Measure {
        urgent: share(urgent_served, urgent),
        other: share(other_served, other),
        used: (urgent_served + other_served) as f64 / (capacity * seconds),
        rejected: share(shed_after - shed_before, urgent + other),
        refused: refused_after - refused_before,
    }
}

/// Asserts the acceptance criteria of a demand above the capacity.
fn assert_overload_is_served(measure: Measure) {
    assert!(measure.urgent >= 0.97, "urgent kind: {measure:?}");
    assert!(measure.used >= 0.92, "capacity: {measure:?}");
    assert!(measure.rejected <= 0.05, "rejections: {measure:?}");
}

/// Asserts that the deployment serves all requests as without a shortage.
fn assert_is_as_before(sim: &mut Simulation) {
    sim.rate = rate(0.6);
    sim.run_for(Span::secs(2));
    let after = measure(sim, Span::secs(4), CAPACITY);
    assert_eq!(after.refused, 0, "{after:?}");
    assert!(after.urgent >= 0.97 && after.other >= 0.97, "{after:?}");
    sim.assert_no_violations();
}

/// Makes a test of a demand relative to the capacity, of which a percentage is urgent.
macro_rules! overload {
    ($($(#[$doc:meta])* $name:ident: $seed:expr, $demand:expr, $urgent:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut sim = deployment($seed, $urgent);
                sim.rate = rate($demand);
                sim.run_for(SETTLING);
                let short = measure(&mut sim, LONG, CAPACITY);
                assert_overload_is_served(short);
                assert!(short.other > 0.0, "the least urgent kind must not starve: {short:?}");
                assert_is_as_before(&mut sim);
            }
        )*
    };
}

overload! {
    /// Load: 1.3 times the capacity, of which 40% are urgent.
    demand_of_1_3_times_the_capacity: 1, 1.3, 40;
    /// Load: twice the capacity, of which 30% are urgent.
    demand_of_2_times_the_capacity: 2, 2.0, 30;
    /// Load: 4 times the capacity, of which 20% are urgent.
    demand_of_4_times_the_capacity: 3, 4.0, 20;
}

/// Load: 1.3 times the capacity, of which 21% are urgent requests on flows of their own, and the
/// rest less urgent requests on long flows, which cannot be refused.
#[test]
fn demand_of_1_3_times_the_capacity_on_long_flows() {
    let mut sim = with_long_flows(7);
    sim.rate = rate(1.3);
    sim.run_for(SETTLING);
    assert_overload_is_served(measure(&mut sim, LONG, CAPACITY));
    assert_is_as_before(&mut sim);
}

/// Load: the same at twice the capacity.
#[test]
fn demand_of_2_times_the_capacity_on_long_flows() {
    let mut sim = with_long_flows(8);
    sim.rate = rate(2.0);
    sim.run_for(SETTLING);
    assert_overload_is_served(measure(&mut sim, LONG, CAPACITY));
    assert_is_as_before(&mut sim);
}

/// Returns a deployment whose less urgent callers keep 300 flows in each domain.
fn with_long_flows(seed: u64) -> Simulation {
    let mut sim = deployment(seed, 21);
    sim.flows_per_domain = 300;
    sim.run_for(Span::secs(3));
    sim
}

/// Load: 60% of the capacity, all from callers of one domain. Guards against refusals in a domain
/// that is short while servers of others are free.
#[test]
fn a_crowd_in_one_domain_is_served_by_all() {
    let mut sim = deployment(9, 30);
    sim.quiet_domains = [1, 2].into();
    sim.rate = rate(1.8);
    sim.run_for(SETTLING);
    let uneven = measure(&mut sim, LONG, CAPACITY);
    assert_eq!(uneven.refused, 0, "{uneven:?}");
    assert!(uneven.urgent >= 0.97 && uneven.other >= 0.97, "{uneven:?}");
    sim.assert_no_violations();
}

/// Load: twice the capacity while a balancer joins, which knows no demand and no service time.
#[test]
fn a_balancer_joins_under_overload() {
    let mut sim = deployment(10, 30);
    sim.rate = rate(2.0);
    sim.run_for(SETTLING);
    sim.add_balancer(0);
    assert_overload_is_served(measure(&mut sim, LONG, CAPACITY));
    assert_is_as_before(&mut sim);
}

/// Load: twice the capacity while a balancer is killed, whose callers come to the others of its
/// domain. It restarts after 2 s.
#[test]
fn a_balancer_restarts_under_overload() {
    let mut sim = deployment(14, 30);
    sim.rate = rate(2.0);
    sim.run_for(SETTLING);
    sim.kill_balancer(0, Span::secs(2));
    // The fabric takes it out of rotation in this time.
    sim.run_for(Span::millis(1_100));
    assert_overload_is_served(measure(&mut sim, LONG, CAPACITY));
    assert_is_as_before(&mut sim);
}

/// Load: twice the capacity. A balancer hears nothing of others, and must not take the capacity of
/// its domain alone.
#[test]
fn a_balancer_that_hears_nothing_takes_its_share() {
    let mut sim = deployment(11, 30);
    sim.isolated.insert(0);
    sim.rate = rate(2.0);
    sim.run_for(SETTLING);
    assert_overload_is_served(measure(&mut sim, LONG, CAPACITY));
    assert_is_as_before(&mut sim);
}

/// Load: 4 times the capacity. Guards against a refused flow that is admitted by a copy of its
/// opening packet, against a later flow that is taken for such a copy, and against refusals without
/// a counter or a line in the dump.
#[test]
fn a_copy_of_a_refused_opening_packet_is_refused() {
    let mut sim = deployment(12, 20);
    sim.rate = rate(4.0);
    sim.run_for(SETTLING);
    let mut balancer = sim.reducer(0).clone();
    let mut out = Vec::new();
    let mut head = Head {
        flags: Flags {
            syn: true,
            ..Flags::default()
        },
        length: 0,
        seq: 0,
        ack: 0,
        token: Token(0),
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 127, 0, 1), 1_024),
        service: SERVICE,
    };
    let before = balancer.counts().get(Kind::RefusedPriority2);
    let refused = Verdict::Reset(Code::Overloaded);
    while balancer.handle_packet(sim.now, &head, &mut out) != refused {
        assert!(head.caller.port() < 2_024, "no flow is refused");
        head.caller.set_port(head.caller.port() + 1);
    }
    assert_eq!(balancer.counts().get(Kind::RefusedPriority2), before + 1);
    for (copy, wait) in [(1, 200), (2, 600)] {
        head.ack = copy;
        let at = sim.now + Span::millis(wait);
        tick_until(&mut balancer, sim.now, at);
        assert_eq!(balancer.handle_packet(at, &head, &mut out), refused);
    }
    assert_eq!(balancer.counts().get(Kind::RefusedPriority2), before + 1);
    let dump = balancer.to_string();
    let lines = ["priority 2: ", "per request, capacity corrected to"];
    for line in lines {
        assert!(dump.contains(line), "{line} is not in the dump");
    }
    // A new flow from the same port a minute later is no copy, although nothing was refused since.
    head.ack = 0;
    let at = sim.now + Span::secs(60);
    tick_until(&mut balancer, sim.now, at);
    let verdict = balancer.handle_packet(at, &head, &mut out);
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict}");
}

/// Load: 95% of the capacity. Guards against refusals while capacity is not short.
#[test]
fn demand_below_the_capacity_is_not_refused() {
    let mut sim = deployment(4, 30);
    sim.rate = rate(0.95);
    sim.run_for(SETTLING);
    let full = measure(&mut sim, LONG, CAPACITY);
    assert_eq!(full.refused, 0, "{full:?}");
    sim.assert_no_violations();
}

/// Load: a steady 80% of the capacity, half of which disappears.
#[test]
fn half_of_the_capacity_disappears() {
    let mut sim = deployment(5, 40);
    sim.rate = rate(0.8);
    (0..SERVERS / 2).for_each(|server| sim.make_unresponsive(server));
    // The servers are found unreachable in this time.
    sim.run_for(Span::secs(2));
    let short = measure(&mut sim, LONG, CAPACITY / 2.0);
    assert_overload_is_served(short);
    sim.assert_no_violations();
}

/// Load: the least urgent kind alone rises to 3 times the capacity, then falls.
#[test]
fn a_crowd_of_the_least_urgent_kind() {
    let mut sim = deployment(6, 30);
    let urgent = 0.6 * 0.3;
    sim.urgent_percent = 6;
    sim.rate = rate(urgent / 0.06);
    sim.run_for(SETTLING);
    let crowd = measure(&mut sim, LONG, CAPACITY);
    assert_overload_is_served(crowd);
    sim.urgent_percent = 30;
    assert_is_as_before(&mut sim);
}

/// The rates of one balancer in the tests below, per second.
const OWN_URGENT: u64 = 50;
const OWN_OTHER: u64 = 250;

/// Returns how many urgent and other flows a balancer admits per second. All servers are full, and
/// the 12 slots of its domain serve 400 requests per second. `total` is the demand that it knows.
fn admitted_per_second(total: Option<&Total>) -> (u64, u64) {
    let sim = deployment(13, 30);
    let table = sim.reducer(0).table();
    let full: Vec<OpenFlows> = table
        .servers()
        .map(|(_, row)| OpenFlows {
            server_hash: row.mark.0,
            count: 10,
        })
        .collect();
    let mut loads = Loads::default();
    let route = table.route(SERVICE).expect("the route is configured");
    let pool = route.pool_for(0).expect("the route has a pool");
    let mut gate = Gate::default();
    let answer = Answer {
        took: Span::millis(30),
        counted: Span::millis(30),
        bytes: 1_000,
        running: 1,
        slots: 2,
        target: TARGET,
    };
    let (_, row) = table.servers().next().expect("there are servers");
    (0..200).for_each(|_| gate.record_answer(sim.now, SERVICE, pool, row.domain, &answer));
    let seconds = 5;
    let kinds = [(OWN_URGENT, 0u8), (OWN_OTHER, 2)];
    let mut flows: Vec<(u64, u8, usize)> = Vec::new();
    for (kind, (rate, priority)) in kinds.into_iter().enumerate() {
        let period = Span::secs(1).0 / rate;
        flows.extend(
            (0..rate * seconds).map(|flow| (flow * period + u64::from(priority), priority, kind)),
        );
    }
    flows.sort_unstable();
    let mut counts = [0; 2];
    for (flow, &(at, priority, kind)) in flows.iter().enumerate() {
        let now = sim.now + Span::secs(1) + Span(at);
        loads.apply_report(now, Incarnation(1), &full, table);
        let supply = Supply {
            table,
            loads: &loads,
            local_domain: "d0",
            balancers: 3,
            now,
            pool,
        };
        let decision = gate.decide(&supply, priority, flow as u64, total);
        counts[kind] += u64::from(!matches!(decision, Decision::Refused(_)));
    }
    (counts[0] / seconds, counts[1] / seconds)
}

fn total(age: Span) -> Total {
    let mut total = Total {
        age,
        ..Total::default()
    };
    total.offered[0] = 3_000;
    total.offered[2] = 15_000;
    total
}

/// Load: 4.5 times the capacity of a domain, known from all its balancers. Guards against a share
/// that differs between balancers which know the same demand.
#[test]
fn a_known_total_is_divided_by_what_each_balancer_offers() {
    let (urgent, other) = admitted_per_second(Some(&total(Span::millis(300))));
    assert_eq!(urgent, OWN_URGENT, "the urgent demand fits the capacity");
    // 100 of the 1,500 others, so one in 15.
    assert!((15..=19).contains(&other), "{other} others per second");
}

/// Load: the same, without news of others for longer than 1.5 s. Guards against a total that is
/// used after the balancers behind it are gone.
#[test]
fn an_old_total_is_replaced_by_the_safe_share() {
    for total in [None, Some(&total(Span::millis(1_600)))] {
        let (urgent, other) = admitted_per_second(total);
        assert_eq!(urgent, OWN_URGENT);
        // A third of the capacity, less the urgent demand.
        assert!((78..=88).contains(&other), "{other} others per second");
    }
}
