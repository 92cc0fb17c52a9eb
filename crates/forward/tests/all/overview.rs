//! Tests of the page about shortages, and of the counts behind it.

use base::prelude::*;
use conf::key;
use cranelift_entity::EntityRef;
use forward::overview;
use forward::overview::Page;
use forward::shortage;
use forward::shortage::Shortages;

use crate::admission::deployment;
use crate::admission::rate;
use crate::sim::Simulation;
use crate::sim::POOL;

const START: Time = Time(1_700_000_000_500_000);

fn pages(sim: &Simulation) -> Vec<Page> {
    (0..9).map(|index| sim.reducer(index).overview()).collect()
}

/// Guards against a page that shows a shortage where there is none.
#[test]
fn a_quiet_deployment_has_no_shortage() {
    let sim = deployment(71, 30);
    for page in pages(&sim) {
        assert_eq!(page.pools, [], "{} shows a shortage", page.balancer);
        assert_eq!(
            page.balancers.len(),
            9,
            "{} misses balancers",
            page.balancer
        );
    }
}

/// Guards against a page that names the wrong priority or loses flows: at twice the capacity, the
/// refused flows of all pages are those that the balancers counted, and the less urgent ones pay.
#[test]
fn the_least_urgent_priority_pays_under_overload() {
    let mut sim = deployment(72, 30);
    sim.rate = rate(2.0);
    sim.run_for(Span::secs(6));
    let (mut refused, mut short_by) = ([0; 4], 0);
    for page in pages(&sim) {
        let [pool] = page.pools.as_slice() else {
            panic!("{} shows {:?}", page.balancer, page.pools);
        };
        assert_eq!(pool.name, POOL);
        assert_eq!(pool.slots, 12, "{}: {pool:?}", page.balancer);
        assert!(pool.running > 6 && pool.service_ms.is_some(), "{pool:?}");
        let shortage = pool.shortage.expect("flows were decided on by priority");
        short_by += u32::from(shortage.demand_per_10s > shortage.capacity_per_10s);
        let seconds = pool.covered_ms as f64 / 1e3;
        for part in &pool.priorities {
            let sum = part.admitted_per_10s + part.refused_per_10s;
            assert!(part.offered_per_10s.abs_diff(sum) <= 1, "{part:?}");
            let flows = f64::from(part.refused_per_10s) / 10.0 * seconds;
            refused[usize::from(part.priority)] += flows.round() as u64;
        }
    }
    assert!(short_by >= 7, "{short_by} of 9 balancers show a shortage");
    assert_eq!(
        (refused[1], refused[3]),
        (0, 0),
        "no route has this priority"
    );
    assert!(
        refused[0] * 10 < refused[2],
        "urgent flows paid: {refused:?}"
    );
    let counted = (0..9).map(|index| {
        let counts = sim.reducer(index).counts();
        counts.get(forward::count::Kind::RefusedPriority2)
    });
    let counted: u64 = counted.sum();
    assert!(
        refused[2].abs_diff(counted) * 50 < counted,
        "{refused:?} on the pages, {counted} counted"
    );
}

/// Guards against a page that changes its fields, which scripts and other releases read.
#[test]
fn the_fields_of_the_page_are_stable() {
    let page = Page {
        balancer: "b4".into(),
        domain: "d1".into(),
        host: Some(overview::Host {
            link_percent: Some(91),
            processor_percent: None,
        }),
        objects: vec![overview::Objects {
            kind: "Routing".into(),
            era: 1,
            revision: 413,
            age_ms: Some(350),
        }],
        pools: vec![overview::Pool {
            name: "rounds".into(),
            service_ms: Some(33),
            shortage: Some(overview::Shortage::default()),
            priorities: vec![overview::Priority::default()],
            spill: vec![overview::Spill {
                age_ms: Some(188),
                ..Default::default()
            }],
            slow_servers: vec![overview::Server::default()],
            ..Default::default()
        }],
        balancers: vec![overview::Balancer {
            name: "b0".into(),
            domain: "d0".into(),
            admin: "10.0.0.0:7000".parse().expect("an address"),
        }],
    };
    let text = page.to_json().expect("the page can be encoded");
    assert_eq!(serde_json::from_str(&text).ok(), Some(page));
    insta::assert_snapshot!(text.replace(",\"", ",\n\""));
    assert_eq!(
        serde_json::from_str::<Page>("{}").ok(),
        Some(Page::default())
    );
}

/// Guards against counts of an earlier minute in a ring that was not cleared.
#[test]
fn flows_are_forgotten_after_a_minute() {
    let pool = key::Pool::new(3);
    let mut shortages = Shortages::default();
    shortages.record_opening(START, pool, 2);
    assert_eq!(
        shortages.totals(START, pool),
        None,
        "tracked without shortage"
    );
    for second in 0..90 {
        let now = START + Span::secs(second);
        shortages.record_opening(now, pool, 7);
        shortages.record_refusal(now, pool, 7);
        shortages.record_opening(now, pool, 0);
    }
    let end = START + Span::secs(89);
    let totals = shortages.totals(end, pool).expect("it was short");
    // 59 whole seconds and the half of the current one.
    assert_eq!(totals.covered, Span::millis(59_500));
    assert_eq!((totals.flows[3].offered, totals.flows[3].refused), (60, 60));
    assert_eq!((totals.flows[0].offered, totals.flows[0].refused), (60, 0));
    let later = shortages.totals(end + Span::secs(40), pool);
    assert_eq!(later.map(|totals| totals.flows[3].refused), Some(20));
    shortages.expire(end + Span::secs(59));
    assert_eq!(shortages.pools().count(), 1);
    shortages.expire(end + shortage::RETENTION);
    assert_eq!(shortages.pools().count(), 0);
}

/// Guards against memory that grows with the number of pools.
#[test]
fn the_number_of_tracked_pools_is_bounded() {
    let mut shortages = Shortages::default();
    for index in 0..shortage::POOLS_MAX + 100 {
        shortages.record_refusal(START, key::Pool::new(index), 0);
    }
    assert_eq!(shortages.pools().count(), shortage::POOLS_MAX);
}

/// Guards against a page that readers reject as too long: they accept 1 MB.
#[test]
fn a_full_page_is_bounded() {
    let name = || "zawadzki-rounds-large".to_owned();
    let pool = overview::Pool {
        name: name(),
        service_ms: Some(10_000),
        shortage: Some(overview::Shortage::default()),
        priorities: vec![overview::Priority::default(); shortage::PRIORITIES],
        spill: vec![
            overview::Spill {
                domain: name(),
                age_ms: Some(1_500),
                ..Default::default()
            };
            8
        ],
        slow_servers: vec![
            overview::Server {
                name: name(),
                domain: name(),
                ..Default::default()
            };
            overview::SLOW_SERVERS_MAX
        ],
        ..Default::default()
    };
    let balancer = overview::Balancer {
        name: name(),
        domain: name(),
        admin: "100.100.100.100:65535".parse().expect("an address"),
    };
    let page = Page {
        pools: vec![pool; shortage::POOLS_MAX],
        balancers: vec![balancer; 450],
        ..Page::default()
    };
    let length = page.to_json().expect("the page can be encoded").len();
    assert!(length < 600_000, "{length} bytes");
}
