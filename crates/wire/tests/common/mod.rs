//! Generators of valid frames and datagrams, and of damage to them.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use wire::coap::Answer;
use wire::demand::DomainDemand;
use wire::demand::PoolDemand;
use wire::demand::PoolSum;
use wire::frame::Body;
use wire::frame::Frame;
use wire::frame::Gossip;
use wire::frame::Handover;
use wire::frame::HostUse;
use wire::frame::Ownership;
use wire::frame::Record;
use wire::frame::RecordKey;
use wire::frame::Relay;
use wire::frame::Snapshot;
use wire::frame::Speed;
use wire::frame::Update;

/// Returns a configuration with a fixed seed, so that all runs have the same cases.
pub(crate) fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Damage to a message.
#[derive(Clone, Debug)]
pub(crate) enum Damage {
    /// Flips one bit.
    Flip(Index, u8),
    /// Truncates the message.
    Truncate(Index),
    /// Appends bytes.
    Append(Vec<u8>),
    /// Replaces one byte, such as a length.
    Set(Index, u8),
    /// Removes a range of bytes.
    Remove(Index, Index),
}

impl Damage {
    /// Applies the damage to a message.
    pub(crate) fn apply(&self, data: &mut Vec<u8>) {
        if data.is_empty() {
            return;
        }
        match self {
            Damage::Flip(at, bit) => *at.get_mut(data) ^= 1 << (bit % 8),
            Damage::Truncate(at) => data.truncate(at.index(data.len())),
            Damage::Append(more) => data.extend(more),
            Damage::Set(at, byte) => *at.get_mut(data) = *byte,
            Damage::Remove(from, to) => {
                let (from, to) = (from.index(data.len()), to.index(data.len()));
                data.drain(from.min(to)..from.max(to));
            }
        }
    }
}

/// Generates damage.
pub(crate) fn damage() -> impl Strategy<Value = Damage> {
    prop_oneof![
        (any::<Index>(), any::<u8>()).prop_map(|(at, bit)| Damage::Flip(at, bit)),
        any::<Index>().prop_map(Damage::Truncate),
        prop::collection::vec(any::<u8>(), 1..50).prop_map(Damage::Append),
        (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Damage::Set(at, byte)),
        (any::<Index>(), any::<Index>()).prop_map(|(from, to)| Damage::Remove(from, to)),
    ]
}

fn data(most: usize) -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..most).prop_map(Bytes::from)
}

fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<u32>(), any::<u16>())
        .prop_map(|(ip, port)| SocketAddr::new(IpAddr::V4(Ipv4Addr::from(ip)), port))
}

fn relay() -> impl Strategy<Value = Relay> {
    (address(), any::<u32>(), 0..4u8, data(300)).prop_map(|(caller, server, hops, data)| Relay {
        service: caller.ip(),
        caller,
        server,
        hops,
        may_have_run: hops % 2 == 1,
        data,
    })
}

fn record() -> impl Strategy<Value = Record> {
    (any::<(u64, u16, u64)>(), prop::option::of(data(200))).prop_map(
        |((nonce, message, digest), body)| Record {
            key: RecordKey {
                nonce,
                message_id: message,
                token_hash: digest,
            },
            accepted_by: Incarnation(nonce & 0xffff_ffff),
            digest,
            accepted_at: Time(nonce),
            is_idempotent: digest % 2 == 0,
            operation: nonce,
            answer: body.map(|body| Answer::new(0x45, body)),
        },
    )
}

fn update() -> impl Strategy<Value = Update> {
    (any::<u64>(), "[a-z0-9-]{0,20}", address()).prop_map(|(member, name, address)| Update {
        incarnation: Incarnation(member),
        domain: name.clone(),
        name,
        peer: Peer {
            datagram: address,
            stream: address,
        },
        admin: address,
        epoch: 1,
        state: 2,
        revision: member,
    })
}

fn speed() -> impl Strategy<Value = Speed> {
    any::<(u32, u32)>().prop_map(|(server_hash, service_us)| Speed {
        server_hash,
        service_us,
    })
}

fn handover() -> impl Strategy<Value = Handover> {
    let ownership = (any::<u64>(), any::<u32>()).prop_map(|(owner, term)| Ownership {
        owner: Incarnation(owner),
        term,
    });
    (
        prop::collection::vec(ownership, 0..4),
        prop::collection::vec(record(), 0..10),
        prop::collection::vec(relay(), 0..5),
    )
        .prop_map(|(owners, records, queued)| Handover {
            server: 7,
            seq: 1,
            term: 3,
            former_owners: owners,
            slots: 2,
            records,
            queued,
        })
}

fn demand() -> impl Strategy<Value = Body> {
    let offered = prop::collection::vec(any::<(u8, u16)>(), 0..9);
    let pool = (any::<(u32, u16, bool)>(), offered);
    let pool = pool.prop_map(|((pool_hash, committed, is_pressed), offered)| PoolDemand {
        pool_hash,
        offered,
        committed,
        is_pressed,
    });
    prop::collection::vec(pool, 0..33).prop_map(Body::Demand)
}

fn summary() -> impl Strategy<Value = Body> {
    let offered = prop::collection::vec(any::<(u8, u32)>(), 0..9);
    let pool = (any::<(u32, u32, u16, u32, u32, u32)>(), offered);
    let pool = pool.prop_map(|(numbers, offered)| {
        let (pool_hash, committed, balancers, slots, running, service_us) = numbers;
        PoolSum {
            pool_hash,
            offered,
            committed,
            balancers,
            slots,
            running,
            service_us,
        }
    });
    let pools = prop::collection::vec(pool, 0..33);
    ("[a-z0-9-]{0,20}", any::<u32>(), pools).prop_map(|(domain, round, pools)| {
        Body::DomainDemand(DomainDemand {
            domain,
            round,
            pools,
        })
    })
}

fn host_use() -> impl Strategy<Value = Body> {
    (any::<u8>(), any::<bool>()).prop_map(|(percent, is_withdrawn)| {
        Body::HostUse(HostUse {
            percent,
            is_withdrawn,
        })
    })
}

/// Generates frames of the kinds that carry data of callers or peers.
pub(crate) fn frame() -> impl Strategy<Value = Frame> {
    let gossip =
        (any::<u64>(), prop::collection::vec(update(), 0..6)).prop_map(|(revision, updates)| {
            Gossip {
                revision,
                updates,
                ..Gossip::default()
            }
        });
    let body = prop_oneof![
        relay().prop_map(Body::Relay),
        prop::collection::vec(speed(), 0..80).prop_map(Body::Speeds),
        prop::collection::vec(any::<u8>(), 0..80).prop_map(|objects| {
            Body::Snapshot(Snapshot {
                kinds: Vec::new(),
                objects: objects.into(),
            })
        }),
        handover().prop_map(Body::Handover),
        gossip.prop_map(|gossip| Body::Ping { seq: 1, gossip }),
        demand(),
        summary(),
        host_use(),
        prop::collection::vec(data(100), 0..8).prop_map(|objects| Body::Delta {
            since: 1,
            upto: 2,
            objects
        }),
    ];
    (any::<u64>(), body).prop_map(|(from, body)| Frame {
        from: Incarnation(from),
        body,
    })
}

/// Generates datagrams with a valid CoAP header and options of any number and length.
pub(crate) fn datagram() -> impl Strategy<Value = Vec<u8>> {
    let value = |most| prop::collection::vec(any::<u8>(), 0..most);
    let text = prop::sample::select(vec![3u16, 7, 11, 15, 252, 292]);
    let number = prop::sample::select(vec![12u16, 17, 23, 27, 60, 65_002]);
    let hostile = [
        "",
        ".",
        "..",
        "%2e",
        "/",
        "?",
        "#",
        "&",
        "\r\n",
        "http://other",
    ];
    let hostile = prop::sample::select(hostile.map(|text| text.as_bytes().to_vec()).to_vec());
    let option = prop_oneof![
        10 => (text.clone(), value(60)),
        10 => (text, hostile),
        10 => (number, value(4)),
        1 => (0..300u16, value(300)),
    ];
    (
        any::<(u8, u8, u16)>(),
        prop::collection::vec(any::<u8>(), 0..10),
        prop::collection::vec(option, 0..12),
        prop::option::of(prop::collection::vec(any::<u8>(), 0..1_200)),
    )
        .prop_map(|((kind, code, message), token, mut options, payload)| {
            let mut data = vec![0x40 | kind & 0x10 | token.len() as u8, code % 8];
            data.extend(message.to_be_bytes());
            data.extend(&token);
            options.sort();
            let mut last = 0;
            for (number, value) in &options {
                write_option(&mut data, number - last, value);
                last = *number;
            }
            if let Some(payload) = payload {
                data.push(0xff);
                data.extend(payload);
            }
            data
        })
}

/// Writes an option (RFC 7252 section 3.1).
fn write_option(data: &mut Vec<u8>, delta: u16, value: &[u8]) {
    let (delta, more_delta) = extend(delta);
    let (length, more_length) = extend(value.len() as u16);
    data.push(delta << 4 | length);
    data.extend(more_delta);
    data.extend(more_length);
    data.extend(value);
}

/// Splits a number into a nibble and the bytes that extend it.
fn extend(n: u16) -> (u8, Vec<u8>) {
    match n {
        0..=12 => (n as u8, vec![]),
        13..=268 => (13, vec![(n - 13) as u8]),
        _ => (14, (n - 269).to_be_bytes().to_vec()),
    }
}
