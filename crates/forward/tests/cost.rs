//! Tests that packets of open flows allocate no memory, whatever the size of the deployment, with
//! the capacity of the host known and its link not short.

mod common;

use std::alloc::System;

use base::prelude::*;
use common::Size;
use common::NOW;
use forward::host::Capacity;
use forward::pace::Pacer;
use forward::prelude::*;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;
use stats_alloc::INSTRUMENTED_SYSTEM;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Sizes of deployments: balancers, servers, services, flows.
const SIZES: [(usize, usize, usize, u32); 3] = [
    (9, 18, 2, 0),
    (82, 150, 2, 10_000),
    (450, 2_800, 680, 60_000),
];

/// Covers all sizes in one test, because the allocations of concurrent tests would be counted.
#[test]
fn packets_of_open_flows_allocate_nothing() {
    for (balancers, servers, services, flows) in SIZES {
        packets_allocate_nothing(Size {
            balancers,
            servers,
            services,
            flows,
        });
    }
}

fn packets_allocate_nothing(size: Size) {
    let mut balancer = common::balancer(size);
    // The use of the host is recorded with each packet.
    let capacity = Capacity::default().with_link_mbps(200.0).with_cores(0.5);
    let peer = Peer {
        datagram: ([10, 0, 0, 1], 7).into(),
        stream: ([10, 0, 0, 1], 7).into(),
    };
    let setting = Setting::new("b0", "d0", peer, peer.datagram).with_capacity(capacity);
    balancer.step(NOW, Event::Setting(Box::new(setting)), &mut Vec::new());
    let mut pacer: Pacer<()> = Pacer::new(capacity.link, NOW);
    let mut out = Vec::with_capacity(64);
    let opening = common::head(u32::MAX, size.services, common::OPENING, Token(0));
    let Verdict::Forward {
        token: Some(token), ..
    } = balancer.handle_packet(NOW, &opening, &mut out)
    else {
        panic!("an opening packet must be forwarded");
    };
    let packet = common::head(u32::MAX, size.services, common::OPEN, token);
    // The first packet of the open flow reports the opening and the request as effects.
    balancer.handle_packet(NOW, &packet, &mut out);
    out.clear();
    let region = Region::new(ALLOCATOR);
    for number in 0..1_000u64 {
        let verdict = balancer.handle_packet(NOW + Span(number), &packet, &mut out);
        assert!(matches!(verdict, Verdict::Forward { token: None, .. }));
        assert!(pacer.admit(NOW + Span(number), 400));
    }
    let change = region.change();
    assert_eq!((change.allocations, change.reallocations), (0, 0));
    assert!(out.is_empty());
}
