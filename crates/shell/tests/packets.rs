//! Packet forwarding: fragmentation of long frames and request ids.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use conf::object::Kind;
use plat::response::Unreadable;
use proptest::prelude::*;
use shell::packets::fragment;
use shell::packets::fragment::Reassembler;
use shell::packets::fragment::DATAGRAM_BYTES_MAX;
use shell::packets::fragment::SENDERS_MAX;
use shell::packets::processor::Clock;
use shell::packets::queue::Queue;
use shell::packets::queue::PEER_TICK_FRAGMENTS_MAX;
use shell::packets::source::LoggedFaults;
use shell::packets::trace::request_id;
use wire::frame::Body;
use wire::frame::Frame;
use wire::frame::Objects;

/// Makes a frame with incompressible content.
fn frame(bytes: usize) -> Frame {
    let object: Vec<u8> = (0..bytes as u64)
        .map(|at| base::hash::pair(at, 7) as u8)
        .collect();
    let objects = Objects {
        kind: "Routing".into(),
        since: 0,
        upto: 7,
        age: Span::ZERO,
        objects: vec![Bytes::from(object)],
        patches: Vec::new(),
    };
    Frame {
        from: Incarnation(3),
        body: Body::Objects(vec![objects]),
    }
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7))
}

proptest! {
    #[test]
    fn a_long_frame_is_reassembled_from_fragments_in_any_order(bytes in 0..40_000usize, rotation in any::<usize>()) {
        let frame = frame(bytes);
        let mut datagrams = fragment::split_frame(&frame, 1);
        prop_assert!(datagrams.iter().all(|datagram| datagram.len() <= DATAGRAM_BYTES_MAX));
        let rotation = rotation % datagrams.len();
        datagrams.rotate_left(rotation);
        let mut reassembler = Reassembler::default();
        let mut reassembled = Vec::new();
        for datagram in &datagrams {
            reassembled.extend(reassembler.insert_datagram(peer(1), datagram).expect("well formed"));
        }
        prop_assert_eq!(reassembled, [frame]);
    }

    #[test]
    fn arbitrary_datagrams_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Reassembler::default().insert_datagram(peer(1), &bytes);
    }
}

#[test]
fn a_newer_frame_replaces_an_incomplete_one() {
    let mut reassembler = Reassembler::default();
    let (old, new) = (
        fragment::split_frame(&frame(5_000), 1),
        fragment::split_frame(&frame(6_000), 2),
    );
    assert_eq!(reassembler.insert_datagram(peer(1), &old[0]), Ok(None));
    let mut reassembled = None;
    for datagram in &new {
        reassembled = reassembler
            .insert_datagram(peer(1), datagram)
            .expect("well formed");
    }
    assert_eq!(reassembled, Some(frame(6_000)));
}

#[test]
fn similar_objects_compress_to_few_datagrams() {
    let entry = |number: usize| {
        let text = format!("Server i-{number:010x} domain gl-a pool fitting 10.2.64.{number}:8009");
        Bytes::from(text.repeat(3))
    };
    let mut frame = frame(0);
    let Body::Objects(objects) = &mut frame.body else {
        panic!("the frame holds objects");
    };
    objects[0].objects = (0..60).map(entry).collect();
    let plain: usize = objects[0].objects.iter().map(Bytes::len).sum();
    let datagrams = fragment::split_frame(&frame, 1);
    assert!(
        datagrams.len() * DATAGRAM_BYTES_MAX * 2 < plain,
        "{} datagrams for {plain} bytes",
        datagrams.len()
    );
}

#[test]
fn an_excessive_decompressed_length_is_malformed() {
    let fragment = Frame {
        from: Incarnation(3),
        body: Body::Fragment(wire::frame::Fragment {
            frame_id: 1,
            index: 0,
            count: 1,
            bytes: Bytes::from_static(&[0xff; 40]),
        }),
    };
    let datagram = wire::seal::encode(&fragment);
    assert_eq!(
        Reassembler::default().insert_datagram(peer(1), &datagram),
        Err(Code::Malformed)
    );
}

#[test]
fn incomplete_frames_are_kept_for_a_bounded_number_of_senders() {
    let mut reassembler = Reassembler::default();
    let first = &fragment::split_frame(&frame(5_000), 1)[0];
    for number in 0..=255 {
        assert_eq!(reassembler.insert_datagram(peer(number), first), Ok(None));
    }
    let incomplete = format!("{reassembler:?}").matches("Incomplete {").count();
    assert!(
        incomplete <= SENDERS_MAX,
        "{incomplete} incomplete frames are kept"
    );
}

/// Defines a test for each payload, with the request id that is found in it.
macro_rules! request_ids {
    ($($name:ident: $data:literal => $want:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(request_id($data), $want);
            }
        )*
    };
}

request_ids! {
    an_id_is_found: b"GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: a32d01\r\n\r\n" => Some("a32d01");
    the_header_name_ignores_case: b"GET / HTTP/1.1\r\nx-REQUEST-id:7\r\n\r\n" => Some("7");
    no_id: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" => None;
    an_id_in_the_body_is_ignored: b"POST / HTTP/1.1\r\n\r\nx-request-id: 7\r\n" => None;
    data_that_is_not_utf8: b"\xff\xfe\r\nx-request-id: \xff\r\n" => None;
    empty_data: b"" => None;
}

#[test]
fn the_fault_of_an_entry_is_logged_once_per_version() {
    let faults = LoggedFaults::default();
    let entry = |name: &str, version| Unreadable {
        kind: Kind::Server,
        name: name.into(),
        version,
        reason: "number out of range".into(),
    };
    assert!(faults.insert(&entry("i-1", 5)));
    assert!(!faults.insert(&entry("i-1", 5)), "a listing repeats it");
    assert!(faults.clone().insert(&entry("i-2", 5)));
    assert!(!faults.insert(&entry("i-2", 5)), "clones share the state");
    assert!(faults.insert(&entry("i-1", 6)), "its writer changed it");
    for number in 0..10_000 {
        assert!(faults.insert(&entry(&format!("j-{number}"), 7)));
    }
}

/// Guards against a snapshot that holds up the next one, so that its receiver asks others, and
/// against bursts that overflow the socket buffer of a starting peer.
#[test]
fn frames_to_two_peers_are_sent_in_turn() {
    let [one, two] = [1, 2].map(|port| std::net::SocketAddr::from(([127, 0, 0, 1], port)));
    let fragments = |first: u8| (first..first + 20).map(|byte| vec![byte]).collect();
    let mut queue = Queue::default();
    assert!(queue.push(one, fragments(0)) && queue.push(two, fragments(100)));
    assert!(queue.push(one, fragments(20)));
    let sent = queue.take(6);
    assert_eq!(sent.iter().filter(|(to, _)| *to == two).count(), 3);
    let mut to_one: Vec<u8> = Vec::new();
    let mut all = sent;
    while let Some(more) = Some(queue.take(100)).filter(|more| !more.is_empty()) {
        for to in [one, two] {
            let count = more.iter().filter(|(other, _)| *other == to).count();
            assert!(count <= PEER_TICK_FRAGMENTS_MAX, "{count} in a tick");
        }
        all.extend(more);
    }
    to_one.extend(
        all.iter()
            .filter(|(to, _)| *to == one)
            .map(|(_, bytes)| bytes[0]),
    );
    assert_eq!(
        to_one,
        (0..40).collect::<Vec<u8>>(),
        "a peer's frames keep their order"
    );
}

/// Guards against hosts that refuse flows because the clock of processor time counts elapsed time.
#[test]
fn an_implausible_processor_clock_is_not_believed() {
    let quota = 250_000;
    let at = |millis: u64| Time::default() + Span::millis(millis);
    let mut clock = Clock::default();
    for millis in (0..5_000).step_by(25) {
        let elapsed = Some(Span::millis(millis));
        assert_eq!(clock.check(at(millis), elapsed, quota), None);
    }
    let used = |millis: u64| Some(Span::millis(1_250 + millis / 4));
    for millis in (5_000..10_000).step_by(25) {
        clock.check(at(millis), used(millis), quota);
    }
    assert_eq!(clock.check(at(10_000), used(10_000), quota), used(10_000));
}
