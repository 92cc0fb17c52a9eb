//! Fuzz tests: arbitrary packets, frames and objects must not make the reducer panic, and a forged
//! token must reach no server.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use base::prelude::*;
use bytes::Bytes;
use forward::packet::Verdict;
use forward::prelude::*;
use proptest::prelude::*;
use wire::demand::DomainDemand;
use wire::demand::PoolDemand;
use wire::demand::PoolSum;
use wire::frame::Body;
use wire::frame::Frame;
use wire::frame::LoadReport;
use wire::frame::Objects;
use wire::frame::ObjectsRequest;
use wire::frame::OpenFlows;
use wire::frame::Patch;
use wire::frame::Speed;
use wire::frame::Unresponsive;

use crate::sim::Simulation;

fn head() -> impl Strategy<Value = Head> {
    let flags = any::<[bool; 4]>();
    // About a third of the packets go to arbitrary addresses, the others to the service.
    let ends = (any::<u32>(), any::<u16>(), 0..3u8);
    let numbers = (any::<u16>(), any::<u32>(), any::<u32>(), any::<u32>());
    (flags, ends, numbers).prop_map(|([syn, ack, fin, rst], (ip, port, which), numbers)| {
        let (length, seq, ack_number, token) = numbers;
        let service = match which {
            0 => SocketAddrV4::new(Ipv4Addr::from(ip), port),
            _ => crate::sim::SERVICE,
        };
        Head {
            flags: Flags { syn, ack, fin, rst },
            length,
            seq,
            ack: ack_number,
            token: Token(token),
            caller: SocketAddrV4::new(Ipv4Addr::from(ip ^ 1), port),
            service,
        }
    })
}

/// Returns the hash of the simulated pool or of no pool.
fn hash() -> impl Strategy<Value = u32> {
    let known = forward::exchange::pool_hash(crate::sim::POOL);
    prop_oneof![Just(known), any::<u32>()]
}

fn body() -> impl Strategy<Value = Body> {
    let open_flows = (any::<u32>(), any::<u16>()).prop_map(|(mark, count)| OpenFlows {
        server_hash: mark,
        count,
    });
    let cleared = prop::collection::vec(any::<u32>(), 0..50);
    let checks = (any::<u8>(), any::<u8>(), any::<u16>());
    let resent = (any::<u8>(), any::<u16>());
    let suspicion =
        (any::<u32>(), checks, resent).prop_map(|(mark, checks, resent)| Unresponsive {
            server_hash: mark,
            failed_checks: checks.0,
            silent_checks: checks.1,
            silent_ms: checks.2,
            resent: resent.0,
            resent_ms: resent.1,
        });
    let unresponsive = prop::collection::vec(suspicion, 0..50);
    let flows = (
        prop::collection::vec(open_flows, 0..300),
        unresponsive,
        cleared,
    )
        .prop_map(|(servers, unresponsive, cleared)| {
            Body::LoadReport(LoadReport {
                servers,
                unresponsive,
                cleared,
            })
        });
    let kind = prop::sample::select(vec!["Server", "Routing", "Domain", "Report", "x", ""]);
    let bytes = prop::collection::vec(any::<u8>(), 0..60).prop_map(Bytes::from);
    let revisions = (any::<u64>(), any::<u64>(), any::<u64>());
    let objects = (kind.clone(), revisions, prop::collection::vec(bytes, 0..4)).prop_map(
        |(kind, (since, upto, age), objects)| {
            Body::Objects(vec![Objects {
                kind: kind.into(),
                since,
                upto,
                age: Span(age),
                objects,
                patches: vec![Patch {
                    name: "main".into(),
                    base_version: since,
                    version: upto,
                    prefix_len: since as u32,
                    suffix_len: upto as u32,
                    replacement: String::new(),
                }],
            }])
        },
    );
    let request = (kind, any::<u64>(), any::<bool>()).prop_map(|(kind, since, is_unreachable)| {
        Body::ObjectsRequest(vec![ObjectsRequest {
            kind: kind.into(),
            since,
            is_platform_unreachable: is_unreachable,
        }])
    });
    let speed = (any::<u32>(), any::<u32>()).prop_map(|(mark, service_us)| Speed {
        server_hash: mark,
        service_us,
    });
    let speeds = prop::collection::vec(speed, 0..200).prop_map(Body::Speeds);
    let offered = prop::collection::vec(any::<(u8, u16)>(), 0..12);
    let demand = (hash(), any::<(u16, bool)>(), offered).prop_map(
        |(pool_hash, (committed, is_pressed), offered)| PoolDemand {
            pool_hash,
            offered,
            committed,
            is_pressed,
        },
    );
    let demands = prop::collection::vec(demand, 0..50).prop_map(Body::Demand);
    let offered = prop::collection::vec(any::<(u8, u32)>(), 0..12);
    let sum = (hash(), any::<(u32, u16, u32, u32, u32)>(), offered).prop_map(
        |(pool_hash, (committed, balancers, slots, running, service_us), offered)| PoolSum {
            pool_hash,
            offered,
            committed,
            balancers,
            slots,
            running,
            service_us,
        },
    );
    let domain = prop::sample::select(vec!["d0", "d1", "d2", ""]);
    let sums = prop::collection::vec(sum, 0..50);
    let summaries = (domain, any::<u32>(), sums).prop_map(|(domain, round, pools)| {
        Body::DomainDemand(DomainDemand {
            domain: domain.into(),
            round,
            pools,
        })
    });
    prop_oneof![flows, objects, request, speeds, demands, summaries]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn arbitrary_packets_are_handled(heads in prop::collection::vec(head(), 1..200)) {
        let mut sim = Simulation::new(1, 1, 1, 3);
        sim.run_for(Span::secs(2));
        let mut reducer = sim.reducer(0).clone();
        let mut out = Vec::new();
        for (index, head) in heads.iter().enumerate() {
            let now = sim.now + Span(index as u64 * 50_000);
            let verdict = reducer.handle_packet(now, head, &mut out);
            if head.service != crate::sim::SERVICE && head.flags.syn {
                let is_refused = matches!(verdict, Verdict::Reset(Code::NoService));
                prop_assert!(is_refused, "{} is not a service address", head.service);
            }
        }
        reducer.step(sim.now + Span::secs(60), Event::Tick, &mut out);
        prop_assert_eq!(reducer.flows(), 0, "every flow must expire");
    }

    /// Frames of members of three domains, so that they are applied and occupancy and shares computed
    /// from them.
    #[test]
    fn arbitrary_demand_of_members_is_handled(bodies in prop::collection::vec(body(), 1..60)) {
        let mut sim = Simulation::new(4, 3, 6, 6).with_rate(100.0);
        sim.run_for(Span::secs(2));
        let members: Vec<Incarnation> = (1..6).map(|b| sim.reducer(b).incarnation()).collect();
        let mut reducer = sim.reducer(0).clone();
        let mut out = Vec::new();
        for (index, body) in bodies.into_iter().enumerate() {
            let now = sim.now + Span::millis(40 * index as u64);
            let frame = Frame { from: members[index % members.len()], body };
            let peer = SocketAddr::from(([10, 0, 0, 1], 7000));
            reducer.step(now, Event::Frame { peer, frame }, &mut out);
            reducer.step(now, Event::Tick, &mut out);
        }
        prop_assert!(reducer.to_string().contains("routing"));
    }

    #[test]
    fn arbitrary_frames_are_handled(bodies in prop::collection::vec(body(), 1..60)) {
        let mut sim = Simulation::new(2, 1, 2, 3);
        sim.run_for(Span::secs(2));
        let mut reducer = sim.reducer(0).clone();
        let mut out = Vec::new();
        for (index, body) in bodies.into_iter().enumerate() {
            let frame = Frame { from: Incarnation(index as u64 % 5), body };
            let peer = SocketAddr::from(([10, 0, 0, 1], 7000));
            reducer.step(sim.now, Event::Frame { peer, frame }, &mut out);
        }
        reducer.step(sim.now + Span::secs(10), Event::Tick, &mut out);
        prop_assert!(reducer.to_string().contains("routing"));
    }
}

#[test]
fn a_forged_token_reaches_no_server() {
    let mut sim = Simulation::new(3, 1, 1, 3);
    sim.run_for(Span::secs(2));
    let mut reducer = sim.reducer(0).clone();
    let head = Head {
        flags: Flags {
            ack: true,
            ..Flags::default()
        },
        length: 10,
        seq: 1,
        ack: 1,
        token: Token(0xdead_beef),
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 9),
        service: crate::sim::SERVICE,
    };
    let verdict = reducer.handle_packet(sim.now, &head, &mut Vec::new());
    assert_eq!(verdict, Verdict::Drop(Code::TokenUnknown));
}

/// Failure: frames of strangers, of the wrong domain, with absurd values and unknown pools.
#[test]
fn forged_frames_are_dropped_or_bounded() {
    let mut sim = Simulation::new(64, 3, 9, 18).with_rate(30.0);
    sim.run_for(Span::secs(4));
    let mut rows = sim.reducer(0).table().servers();
    let pool = rows.find_map(|(_, row)| row.pool).expect("there is a pool");
    let from = sim.reducer(3).incarnation();
    let foreign = sim.reducer(1).incarnation();
    let hash = forward::exchange::pool_hash(crate::sim::POOL);
    let mut reducer = sim.reducer(0).clone();
    let before = reducer.demands().total(sim.now, pool);
    let send = |reducer: &mut Forwarder, from, body| {
        let peer = SocketAddr::from(([10, 0, 0, 1], 7000));
        let (frame, out) = (Frame { from, body }, &mut Vec::new());
        reducer.step(sim.now, Event::Frame { peer, frame }, out);
        out.len()
    };
    let demand = |pool_hash| PoolDemand {
        pool_hash,
        offered: (0..=255).map(|priority| (priority, u16::MAX)).collect(),
        committed: u16::MAX,
        is_pressed: true,
    };
    let summary = |domain: &str| DomainDemand {
        domain: domain.into(),
        round: u32::MAX / 3,
        pools: vec![PoolSum {
            pool_hash: hash,
            offered: vec![(0, u32::MAX); 100],
            committed: u32::MAX,
            balancers: u16::MAX,
            slots: u32::MAX,
            running: u32::MAX,
            service_us: u32::MAX,
        }],
    };
    let stranger = Incarnation(7);
    for (from, body) in [
        (stranger, Body::Demand(vec![demand(hash)])),
        (foreign, Body::Demand(vec![demand(hash)])),
        (stranger, Body::DomainDemand(summary("d1"))),
        (foreign, Body::DomainDemand(summary("d2"))),
        (foreign, Body::DomainDemand(summary("d0"))),
    ] {
        let sent = send(&mut reducer, from, body);
        assert_eq!(sent, 0, "a forged frame must not be passed on");
        assert_eq!(reducer.demands().total(sim.now, pool), before);
    }
    let rejected = reducer.counts().get(forward::count::Kind::DemandRejected);
    assert_eq!(rejected, 5);
    let pools = (0..1_000).map(demand).collect();
    send(&mut reducer, from, Body::Demand(pools));
    assert!(
        !reducer.to_string().contains("pool rounds demand"),
        "unknown pools are left out"
    );
    send(&mut reducer, from, Body::Demand(vec![demand(hash)]));
    send(&mut reducer, foreign, Body::DomainDemand(summary("d1")));
    let total = reducer.demands().total(sim.now, pool);
    assert!(
        total.committed <= forward::demand::Rate(1_200_000) && total.balancers <= 9,
        "{total:?}"
    );
    reducer.step(sim.now + Span::secs(1), Event::Tick, &mut Vec::new());
}
