//! Tests of the order and delay of packets on a short link. Each names the load that it covers.
//!
//! The link has 10 Mbit/s: 1,250 bytes in 1 ms, 62,500 bytes in the 50 ms that a packet waits.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::num::NonZeroU64;

use base::prelude::*;
use conf::routing::Traffic;
use forward::flow::Id;
use forward::host::Class;
use forward::pace::Pacer;
use forward::pace::Packet;
use forward::pace::Rank;
use forward::pace::WAIT_MAX;
use forward::prelude::*;
use proptest::prelude::*;

const START: Time = Time(1_900_000_000_000_000);
const BYTES_PER_S: u64 = 1_250_000;
const PACKET_BYTES: usize = 1_250;
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// More than may be sent without pacing: 85 ms of the link, and 10 ms of a burst.
const FILLING_PACKETS: usize = 96;

fn flow(port: u16) -> Id {
    Id {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        service: SERVICE,
    }
}

fn rank(kind: Traffic, priority: u8, length: u16) -> Rank {
    let head = Head {
        flags: Flags::default(),
        length,
        seq: 1,
        ack: 1,
        token: Token(1),
        caller: flow(1).caller,
        service: SERVICE,
    };
    Rank::new(&head, Class::new(kind, priority))
}

fn upload() -> Rank {
    rank(Traffic::Upload, 0, 1_000)
}

fn rate() -> Option<NonZeroU64> {
    NonZeroU64::new(BYTES_PER_S)
}

/// Returns a pacer whose link has just been filled.
fn full_pacer() -> Pacer<u32> {
    let mut pacer = Pacer::new(rate(), START);
    while pacer.admit(START, PACKET_BYTES) {}
    pacer
}

fn push(pacer: &mut Pacer<u32>, now: Time, port: u16, rank: Rank, payload: u32) {
    pacer.push(
        now,
        Packet {
            flow: flow(port),
            rank,
            bytes: PACKET_BYTES,
            payload,
        },
    );
}

/// Returns what is sent within a span, at steps of 1 ms.
fn send_for(pacer: &mut Pacer<u32>, from: Time, span: Span) -> Vec<u32> {
    let mut sent = Vec::new();
    for step in 0..=span.as_millis() {
        while let Some(payload) = pacer.pop(from + Span::millis(step)) {
            sent.push(payload);
        }
    }
    sent
}

/// Guards against copies and delays on a link that has room: 84% in bursts of 40 ms.
#[test]
fn nothing_waits_below_the_limit() {
    let mut pacer: Pacer<u32> = Pacer::new(rate(), START);
    for burst in 0..100 {
        let now = START + Span::millis(40 * burst);
        let packets = 40 * 84 / 100;
        assert!((0..packets).all(|_| pacer.admit(now, PACKET_BYTES)));
    }
    assert_eq!((pacer.delayed(), pacer.dropped()), (0, 0));
}

/// Guards against a link that is set without its rate being known.
#[test]
fn nothing_waits_without_a_rate() {
    let mut pacer: Pacer<u32> = Pacer::new(None, START);
    assert!((0..100_000).all(|_| pacer.admit(START, PACKET_BYTES)));
}

/// Guards against more than the link carries, which the network would drop in any order.
#[test]
fn a_full_link_sends_at_its_rate() {
    let mut pacer = full_pacer();
    let mut sent = 0;
    for step in 1..=1_000 {
        let now = START + Span::millis(step);
        for _ in 0..2 {
            match pacer.admit(now, PACKET_BYTES) {
                true => sent += 1,
                false => push(&mut pacer, now, 1, upload(), 0),
            }
        }
        while pacer.pop(now).is_some() {
            sent += 1;
        }
    }
    assert!((990..=1_010).contains(&sent), "{sent} packets in 1 s");
}

/// Guards against reordering within a flow: its acknowledgement follows its data, and servers take
/// data out of order for a loss.
#[test]
fn packets_of_a_flow_keep_their_order() {
    let mut pacer = full_pacer();
    let ranks = [upload(), Rank::FIRST, upload(), Rank::FIRST];
    for (number, rank) in ranks.into_iter().enumerate() {
        push(&mut pacer, START, 1, rank, number as u32);
    }
    let sent = send_for(&mut pacer, START, Span::millis(40));
    assert_eq!(sent, [0, 1, 2, 3]);
}

/// Guards against requests and acknowledgements that wait behind uploads.
#[test]
fn urgent_packets_go_first_and_uploads_last() {
    let mut pacer = full_pacer();
    push(&mut pacer, START, 1, upload(), 4);
    push(&mut pacer, START, 2, rank(Traffic::Idempotent, 5, 300), 3);
    push(&mut pacer, START, 3, rank(Traffic::Download, 1, 300), 2);
    push(
        &mut pacer,
        START,
        4,
        rank(Traffic::NonIdempotent, 0, 300),
        1,
    );
    push(&mut pacer, START, 5, rank(Traffic::Upload, 0, 0), 0);
    let sent = send_for(&mut pacer, START, Span::millis(40));
    assert_eq!(sent, [0, 1, 2, 3, 4]);
}

/// Guards against one flow with a full window that holds up the others.
#[test]
fn flows_are_served_in_turn() {
    let mut pacer = full_pacer();
    for number in 0..8 {
        push(&mut pacer, START, 1, upload(), 10 + number);
    }
    push(&mut pacer, START, 2, upload(), 20);
    push(&mut pacer, START, 2, upload(), 21);
    push(&mut pacer, START, 3, upload(), 30);
    let sent = send_for(&mut pacer, START, Span::millis(40));
    assert_eq!(sent[..6], [10, 20, 30, 11, 21, 12]);
}

/// Guards against packets that arrive after their caller has sent them again.
#[test]
fn a_packet_waits_at_most_50_ms() {
    let mut pacer = full_pacer();
    // Urgent packets take the whole link.
    push(&mut pacer, START, 1, upload(), 1);
    for step in 0..100 {
        let now = START + Span::millis(step);
        push(&mut pacer, now, 2, Rank::FIRST, 0);
        push(&mut pacer, now, 2, Rank::FIRST, 0);
        while let Some(payload) = pacer.pop(now) {
            assert_eq!(payload, 0, "the upload has expired");
        }
    }
    assert!(pacer.dropped() > 0);
}

/// Guards against memory that grows with the excess of the load, and against urgent packets that
/// find the queue full of uploads.
#[test]
fn the_queue_holds_50_ms_of_the_link() {
    let mut pacer = full_pacer();
    for number in 0..200 {
        push(&mut pacer, START, number % 7, upload(), u32::from(number));
    }
    let most = (BYTES_PER_S * WAIT_MAX.0 / 1_000_000) as usize;
    assert_eq!(pacer.queued_bytes(), most / PACKET_BYTES * PACKET_BYTES);
    assert_eq!(pacer.dropped(), 150);
    push(&mut pacer, START, 99, Rank::FIRST, 1_000);
    assert_eq!(pacer.dropped(), 151, "an upload makes room");
    let now = START + Span::millis(2);
    assert_eq!(pacer.pop(now), Some(1_000));
}

/// Guards against packets to a server that no longer has the flow, and against a queue that serves a
/// flow without packets.
#[test]
fn packets_of_a_flow_that_has_ended_are_dropped() {
    let mut pacer = full_pacer();
    for number in 0..6 {
        push(
            &mut pacer,
            START,
            1 + number % 2,
            upload(),
            u32::from(number),
        );
    }
    pacer.remove_flow(flow(1));
    pacer.remove_flow(flow(9));
    let sent = send_for(&mut pacer, START, Span::millis(40));
    assert_eq!(sent, [1, 3, 5]);
    assert_eq!((pacer.dropped(), pacer.queued_bytes()), (3, 0));
}

/// Guards against packets that stay in the queue when the setting is removed.
#[test]
fn packets_are_sent_at_once_when_the_rate_is_no_longer_known() {
    let mut pacer = full_pacer();
    for number in 0..20 {
        push(&mut pacer, START, 1, upload(), number);
    }
    pacer.set_rate(None, START);
    assert_eq!(pacer.wait(START), Some(Span::ZERO));
    let sent = send_for(&mut pacer, START, Span::ZERO);
    assert_eq!(sent.len(), 20);
    assert!(pacer.admit(START, PACKET_BYTES));
}

/// Guards against a driver that wakes for nothing, or too late.
#[test]
fn a_packet_is_due_after_the_wait() {
    let mut pacer = full_pacer();
    assert_eq!(pacer.wait(START), None);
    push(&mut pacer, START, 1, upload(), 7);
    let wait = pacer.wait(START).expect("a packet waits");
    assert!(wait <= Span::millis(10), "{wait}");
    assert_eq!(pacer.pop(START + wait), Some(7));
}

proptest! {
    /// Guards against packets that are lost without being counted, sent twice or out of order.
    #[test]
    fn packets_are_sent_in_order_or_counted(
        steps in prop::collection::vec((0..3_000u64, 0..6u16, 0..4u8, 60..1_250usize), 0..400),
    ) {
        let mut pacer = Pacer::new(rate(), START);
        for _ in 0..FILLING_PACKETS {
            pacer.admit(START, PACKET_BYTES);
        }
        let (mut now, mut pushed) = (START, 0);
        let mut last = [None; 6];
        let mut sent = 0;
        let mut record = |(port, number, since): (u16, usize, Time), now: Time| {
            assert!(now.since(since) < WAIT_MAX, "a packet waited for too long");
            let last = &mut last[usize::from(port)];
            assert!(last.is_none_or(|last| last < number), "a flow is reordered");
            *last = Some(number);
        };
        for (number, &(gap, port, urgency, bytes)) in steps.iter().enumerate() {
            now += Span(gap);
            if pacer.admit(now, bytes) {
                record((port, number, now), now);
                continue;
            }
            let rank = match urgency {
                0 => Rank::FIRST,
                3 => upload(),
                other => rank(Traffic::Idempotent, other, 300),
            };
            let (flow, payload) = (flow(port), (port, number, now));
            pacer.push(now, Packet { flow, rank, bytes, payload });
            pushed += 1;
            while let Some(payload) = pacer.pop(now) {
                record(payload, now);
                sent += 1;
            }
        }
        now += Span::secs(1);
        prop_assert!(pacer.pop(now).is_none(), "all that waited has expired");
        prop_assert_eq!(sent + pacer.dropped(), pushed);
        prop_assert_eq!(pacer.queued_bytes(), 0);
    }
}
