//! Tests of the soak test's own parts: the packet format, fault plans, and the checker, which must
//! report each kind of breach and accept what a fault or a grace period excuses.

use base::prelude::*;
use forward::codec::Codec;
use platform::head::PacketCodec;
use proptest::prelude::*;
use soak::address::Addresses;
use soak::checker::Promise;
use soak::operator::PRIORITY_POOL;
use soak::operator::PRIORITY_ROUTES;
use soak::plan;
use soak::server::Server;
use soak::server::Status;
use soak::world::CompletedRequest;
use soak::world::Direction;
use soak::world::HostLink;
use soak::world::OpenFlow;
use soak::world::Outcome;
use soak::world::Route;
use soak::world::State;
use soak::world::World;
use stub::packet::Packet;
use stub::packet::ACK;
use stub::packet::SYN;

const ROUTE: u8 = 1;

fn packet(flags: u8, numbers: (u32, u32, u32), data: Vec<u8>) -> Packet {
    let (from, to) = (
        Addresses::new(0).caller(0),
        Addresses::new(0).service(ROUTE),
    );
    let packet = Packet::new(flags, from, to);
    packet
        .with_seq_ack_token(numbers.0, numbers.1, numbers.2)
        .with_data(data)
        .with_checksum()
}

proptest! {
    #[test]
    fn packet_round_trip(
        seq in any::<u32>(), ack in any::<u32>(), token in any::<u32>(),
        data in prop::collection::vec(any::<u8>(), 0..1_200),
    ) {
        let packet = packet(ACK, (seq, ack, token), data);
        let read = Packet::decode(&packet.encode());
        prop_assert_eq!(read.as_ref(), Some(&packet));
        let head = PacketCodec.decode(&packet.encode()).expect("the codec decodes the packet");
        prop_assert_eq!((head.seq, head.ack, head.token.0), (seq, ack, token));
        prop_assert_eq!((head.caller, head.service), (packet.from, packet.to));
    }

    #[test]
    fn checksum_covers_all_but_the_token(at in 0..31usize, bit in 0..8u32) {
        let whole = packet(SYN, (7, 0, 0), Vec::new());
        let mut bytes = whole.encode();
        bytes[at] ^= 1 << bit;
        let is_token = (11..15).contains(&at);
        let read = Packet::decode(&bytes);
        prop_assert_eq!(read.is_some_and(|read| read.has_valid_checksum()), is_token);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        let _ = Packet::decode(&bytes);
    }
}

#[test]
fn plan_is_deterministic_and_covers_all_kinds() {
    let span = Span::secs(15);
    assert_eq!(plan::draw(7, span), plan::draw(7, span));
    assert_ne!(plan::draw(7, span), plan::draw(8, span));
    assert_eq!(plan::draw_loads(7, span), plan::draw_loads(7, span));
    let mut all: Vec<_> = (0..200).flat_map(|seed| plan::draw(seed, span)).collect();
    let within =
        |fault: &plan::Fault| fault.at >= plan::WARM_UP && fault.at.0 < plan::WARM_UP.0 + span.0;
    assert!(all.iter().all(within));
    all.extend((0..200).flat_map(|seed| plan::draw_loads(seed, span)));
    let restores: Vec<_> = (0..200)
        .flat_map(|seed| plan::draw_restores(seed, span))
        .collect();
    assert!(restores.iter().all(within));
    all.extend(restores);
    let kinds: std::collections::BTreeSet<String> =
        all.iter().map(|fault| fault.kind.to_string()).collect();
    assert_eq!(
        kinds.len(),
        <plan::Kind as strum::EnumCount>::COUNT,
        "the plans of 200 seeds contain every kind of fault"
    );
}

/// Guards against draws that change the faults of seeds that failed once and run in CI.
#[test]
fn faults_of_a_seed_are_those_before_there_were_loads() {
    let faults: Vec<String> = plan::draw(3, Span::secs(8))
        .iter()
        .map(plan::Fault::to_string)
        .collect();
    assert_eq!(faults[0], "5062 ms silent 14 for 2704 ms");
    assert_eq!(faults[7], "10625 ms pause 4 for 3358 ms");
}

/// Guards against a full link that carries more than its rate, or delays packets for longer than
/// callers wait before they retransmit.
#[test]
fn full_link_loses_what_exceeds_its_queue() {
    let mut link = HostLink::default();
    let now = Time::default() + Span::secs(1);
    let delays: Vec<Option<Span>> = (0..20)
        .map(|_| link.delay(now, Direction::In, 1_250))
        .collect();
    assert_eq!(delays[0], Some(Span::millis(10)));
    assert_eq!(delays[5], Some(Span::millis(60)));
    assert!(delays[6..].iter().all(Option::is_none));
    assert_eq!(
        link.delay(now, Direction::Out, 1_250),
        Some(Span::millis(10))
    );
    let later = now + Span::millis(60);
    assert_eq!(
        link.delay(later, Direction::In, 1_250),
        Some(Span::millis(10))
    );
}

/// Returns the breaches that `act` causes in a state with three servers, one route that was added
/// long ago, and the changes of `prepare`.
fn breaches_of(
    prepare: impl FnOnce(&mut State, Time),
    act: impl FnOnce(&mut State, Time),
) -> Vec<Promise> {
    let world = World::new(Addresses::new(0), 1);
    world.with(|state, now| {
        let pool = 0;
        for address in 0..3 {
            let name = format!("i-{address}");
            state.servers.push(Server::new(name, 1, address, pool));
        }
        state
            .routes
            .insert(ROUTE, Route::new(pool, now - Span::secs(60)));
        prepare(state, now);
        act(state, now);
        state.breaches.iter().map(|breach| breach.promise).collect()
    })
}

fn ago(now: Time, secs: u64) -> Time {
    now - Span::secs(secs)
}

fn open_flow(state: &mut State, now: Time) {
    let caller = Addresses::new(0).caller(0);
    let flow = OpenFlow {
        server: 0,
        incarnation: 0,
        misrouted: 0,
        misrouted_since: now,
        via: Some(0),
    };
    state.open_flows.insert(caller, flow);
}

/// Defines a test for each case: the initial state, the event, and the promises reported as broken.
macro_rules! cases {
    ($($name:ident: $prepare:expr, $act:expr => $want:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let want: &[Promise] = &$want;
                assert_eq!(breaches_of($prepare, $act), want);
            }
        )*
    };
}

fn new_flow(state: &mut State, now: Time) {
    state.check_new_flow(now, 0, ROUTE, Some(0));
}

fn refuse(state: &mut State, now: Time) {
    state.check_refusal(now, ROUTE, Some(0));
}

fn reset(state: &mut State, now: Time) {
    open_flow(state, now);
    state.check_reset(now, Addresses::new(0).caller(0), ROUTE);
}

fn misroute(state: &mut State, now: Time) {
    open_flow(state, now);
    for _ in 0..3 {
        state.check_misrouted(now, Addresses::new(0).caller(0), 1, ROUTE);
    }
}

fn refuse_after(millis: u64) -> impl FnOnce(&mut State, Time) {
    move |state, now| {
        let caller = Addresses::new(0).caller(0);
        state.check_refusal_time(now + Span::millis(millis), caller, now, 0);
    }
}

/// Records requests of a crowd: 100 urgent and 100 less urgent ones during it, of which this many are
/// served, and 100 before and after it.
fn end_crowd(urgent: usize, less_urgent: usize, after: usize) -> impl FnOnce(&mut State, Time) {
    move |state, now| {
        let (from, to) = (ago(now, 20), ago(now, 12));
        let (first, second) = PRIORITY_ROUTES;
        for route in [first, second] {
            state
                .routes
                .insert(route, Route::new(PRIORITY_POOL, ago(now, 60)));
        }
        let phases = [
            (from - Span::secs(1), first, 100),
            (from + Span::secs(2), first, urgent),
            (from + Span::secs(2), second, less_urgent),
            (to + Span::secs(3), first, after),
        ];
        for (sent, route, served) in phases {
            state
                .completed
                .extend((0..100).map(|number| CompletedRequest {
                    sent,
                    outcome: if number < served {
                        Outcome::Served
                    } else {
                        Outcome::Refused
                    },
                    took: Span::millis(20),
                    route,
                    via: Some(0),
                }));
        }
        state.check_crowd(now, from, to, true);
    }
}

/// Records 100 requests each by a host with a full link and by another one, of which this many are
/// served.
fn end_full_link(own: usize, others: usize) -> impl FnOnce(&mut State, Time) {
    move |state, now| {
        for (via, served) in [(0, own), (1, others)] {
            state
                .completed
                .extend((0..100).map(|number| CompletedRequest {
                    sent: ago(now, 5),
                    outcome: if number < served {
                        Outcome::Served
                    } else {
                        Outcome::TimedOut
                    },
                    took: Span::millis(20),
                    route: ROUTE,
                    via: Some(via),
                }));
        }
        state.check_full_link(now, ago(now, 6), ago(now, 4), 0, true);
    }
}

cases! {
    new_flow_at_server_of_its_pool: |_, _| (), new_flow => [];
    new_flow_at_server_of_another_pool: |state, _| state.servers[0].pool = 1, new_flow => [Promise::Route];
    new_flow_at_draining_server_after_the_bound: |state, now| state.servers[0].status = Status::Draining(Some(ago(now, 4))),
        new_flow => [Promise::Drain];
    new_flow_at_draining_server_within_the_bound: |state, now| state.servers[0].status = Status::Draining(Some(ago(now, 2))),
        new_flow => [];
    new_flow_in_domain_that_is_out: |state, now| state.out_domains.extend([(0, ago(now, 6))]),
        new_flow => [Promise::Out];
    new_flow_by_unsettled_balancer: |state, now| {
        state.out_domains.insert(0, ago(now, 6));
        state.record_fault(0, now);
    }, new_flow => [];
    new_flow_on_removed_route: |state, now| {
        state.routes.get_mut(&ROUTE).expect("the route exists").removed = Some(ago(now, 4));
    }, new_flow => [Promise::Config];
    new_flows_above_cold_limit: |state, now| state.servers[0].cold_until = now + Span::secs(1),
        |state, now| (0..9).for_each(|_| new_flow(state, now)) => [Promise::Cold];
    new_flows_at_cold_limit: |state, now| state.servers[0].cold_until = now + Span::secs(1),
        |state, now| (0..8).for_each(|_| new_flow(state, now)) => [];
    refusal_on_established_route: |_, _| (), refuse => [Promise::Config];
    refusal_on_new_route: |state, now| {
        state.routes.get_mut(&ROUTE).expect("the route exists").added = ago(now, 2);
    }, refuse => [];
    refusal_during_a_crowd_on_its_pool: |state, now| {
        state.crowd = Some((now, now));
        state.routes.insert(ROUTE, Route::new(PRIORITY_POOL, ago(now, 60)));
        state.servers.iter_mut().for_each(|server| server.pool = PRIORITY_POOL);
    }, refuse => [];
    refusal_during_a_crowd_on_another_pool: |state, now| state.crowd = Some((now, now)), refuse => [Promise::Config];
    refusal_in_time: |_, _| (), refuse_after(250) => [];
    late_refusal: |_, _| (), refuse_after(251) => [Promise::Refusal];
    late_refusal_of_a_forwarded_flow: |state, _| {
        state.forwarded.insert(Addresses::new(0).caller(0));
    }, refuse_after(251) => [];
    crowd_with_urgent_requests_first: |_, _| (), end_crowd(98, 40, 100) => [];
    crowd_with_less_urgent_requests_first: |_, _| (), end_crowd(40, 98, 100) => [Promise::Priority];
    crowd_without_an_order: |_, _| (), end_crowd(60, 60, 100) => [Promise::Priority];
    crowd_without_recovery: |_, _| (), end_crowd(98, 40, 50) => [Promise::Service];
    full_link_that_stops_only_its_host: |_, _| (), end_full_link(10, 95) => [];
    full_link_that_stops_other_hosts: |_, _| (), end_full_link(10, 94) => [Promise::Service];
    reset_of_open_flow_with_a_full_link: |state, now| state.balancers[0].last_full_link = now, reset => [Promise::Flow];
    reset_of_open_flow: |_, _| (), reset => [Promise::Flow];
    reset_after_server_restart: |state, _| state.servers[0].incarnation = 1, reset => [];
    reset_after_server_fault: |state, now| state.servers[0].last_fault = now, reset => [];
    reset_of_open_flow_at_slow_server: |state, now| state.servers[0].slow_until = now + Span::secs(1), reset => [Promise::Flow];
    reset_of_open_flow_at_full_server: |state, now| state.servers[0].full_until = now + Span::secs(1), reset => [Promise::Flow];
    refusal_while_a_server_is_full: |state, now| state.servers[0].full_until = now + Span::secs(1), refuse => [];
    reset_while_domain_is_out: |state, now| state.out_domains.extend([(0, now)]), reset => [];
    misrouted_flow: |_, _| (), misroute => [Promise::Flow];
    misrouted_flow_after_partition: |state, now| state.record_link_fault(0, 1, now), misroute => [];
}
