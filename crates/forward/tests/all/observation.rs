//! Tests of what metrics record of flows.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use base::prelude::*;
use conf::object;
use conf::object::Traffic;
use forward::observation::Class;
use forward::observation::Observation;
use forward::packet::Verdict;
use forward::prelude::*;
use forward::table::route::Route;

use crate::admission::deployment;
use crate::admission::rate;
use crate::admission::tick_until;
use crate::sim::SERVICE;
use crate::sim::URGENT_SERVICE;

const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(100, 127, 0, 1), 1_024);

fn head(service: SocketAddrV4, token: Token) -> Head {
    Head {
        flags: Flags::default(),
        length: 0,
        seq: 1,
        ack: 0,
        token,
        caller: CALLER,
        service,
    }
}

fn opening(service: SocketAddrV4) -> Head {
    let mut head = head(service, Token(0));
    head.flags.syn = true;
    head
}

fn observed(out: &mut Vec<Effect>) -> Vec<(Class, Observation)> {
    let observed = out.drain(..).filter_map(|effect| match effect {
        Effect::Observed { class, observation } => Some((class, observation)),
        _ => None,
    });
    observed.collect()
}

/// Guards against times that begin with the wrong packet: the handshake is no answer, an answer ends
/// with its last part, and the pause before the next request is part of none.
#[test]
fn each_request_of_a_flow_is_timed() {
    let sim = deployment(74, 30);
    let mut balancer = sim.reducer(0).clone();
    let mut out = Vec::new();
    let verdict = balancer.handle_packet(sim.now, &opening(URGENT_SERVICE), &mut out);
    let Verdict::Forward {
        token: Some(token), ..
    } = verdict
    else {
        panic!("the opening packet is not forwarded: {verdict:?}");
    };
    let packets = [
        (10, 0, 1, 1, false),
        (11, 300, 1, 1, false),
        (50, 0, 301, 501, false),
        (60, 0, 301, 901, false),
        (1_000, 300, 301, 901, false),
        (1_040, 0, 601, 1_200, false),
        (1_050, 0, 601, 1_200, true),
    ];
    for (after, length, seq, ack, fin) in packets {
        let mut head = head(URGENT_SERVICE, token);
        head.flags.fin = fin;
        (head.length, head.seq, head.ack) = (length, seq, ack);
        balancer.handle_packet(sim.now + Span::millis(after), &head, &mut out);
    }
    let class = Class {
        priority: 0,
        kind: Traffic::NonIdempotent,
    };
    let expected = [
        Observation::Offered,
        Observation::Answered(Span::millis(50)),
        Observation::Ended(Span::millis(60)),
        Observation::Answered(Span::millis(40)),
        Observation::Ended(Span::millis(40)),
    ];
    assert_eq!(observed(&mut out), expected.map(|event| (class, event)));
}

/// Guards against refused flows that are not counted, or whose copies count again.
#[test]
fn a_refused_flow_is_observed_once() {
    let mut sim = deployment(75, 20);
    sim.rate = rate(4.0);
    sim.run_for(Span::secs(1));
    let mut balancer = sim.reducer(0).clone();
    let mut out = Vec::new();
    let mut head = opening(SERVICE);
    let refused = Verdict::Reset(Code::Overloaded);
    while balancer.handle_packet(sim.now, &head, &mut out) != refused {
        assert!(head.caller.port() < 2_024, "no flow is refused");
        head.caller.set_port(head.caller.port() + 1);
        out.clear();
    }
    head.ack = 1;
    let at = sim.now + Span::millis(200);
    tick_until(&mut balancer, sim.now, at);
    assert_eq!(balancer.handle_packet(at, &head, &mut out), refused);
    let class = Class {
        priority: 2,
        kind: Traffic::NonIdempotent,
    };
    let expected = [Observation::Offered, Observation::Refused];
    assert_eq!(observed(&mut out), expected.map(|event| (class, event)));
}

/// Guards against labels that grow with the priorities in use.
#[test]
fn great_priorities_have_the_last_label() {
    for (priority, label) in [(0, 0), (2, 2), (3, 3), (4, 3), (255, 3)] {
        let object = object::Route::new(SERVICE, Vec::new()).with_priority(priority);
        let class = Class::from(&Route::new(Vec::new(), &object));
        assert_eq!(class.priority, label, "priority {priority}");
    }
}
