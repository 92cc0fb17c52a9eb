//! Prints the sizes of sealed frames in bytes.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use wire::coap::Answer;
use wire::frame::Body;
use wire::frame::Frame;
use wire::frame::Gossip;
use wire::frame::Handover;
use wire::frame::Load;
use wire::frame::Ownership;
use wire::frame::Record;
use wire::frame::RecordKey;
use wire::frame::Relay;
use wire::frame::Update;
use wire::seal;

/// Bytes that sealing adds: key identity, nonce and authentication tag.
const SEAL_BYTES: usize = 1 + 24 + 16;
const OWNER: Incarnation = Incarnation(0x34f7_c403_aa2c);
const OWNERSHIP: Ownership = Ownership {
    owner: OWNER,
    term: 300,
};

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], 4_000))
}

fn size(body: Body) -> usize {
    let frame = Frame { from: OWNER, body };
    SEAL_BYTES + seal::encode(&frame).len()
}

fn ping(updates: usize, loads: usize) -> usize {
    let update = Update {
        incarnation: OWNER,
        name: "region-1-bal-0123".to_owned(),
        domain: "region-1-c".to_owned(),
        peer: Peer {
            datagram: address(),
            stream: address(),
        },
        admin: address(),
        epoch: 1,
        state: 0,
        revision: 100_000,
    };
    let load = Load {
        server: 2_800,
        ownership: OWNERSHIP,
        seq: 10_000,
        open: 2,
        rate: 300,
        slots: 2,
    };
    let gossip = Gossip {
        revision: 100_000,
        updates: vec![update; updates],
        loads: vec![load; loads],
    };
    size(Body::Ping {
        seq: 10_000,
        gossip,
    })
}

fn handover(records: usize, former_owners: usize) -> usize {
    let record = Record {
        key: RecordKey {
            nonce: u64::MAX >> 8,
            message_id: 60_000,
            token_hash: u64::MAX,
        },
        accepted_by: OWNER,
        digest: u64::MAX,
        accepted_at: Time(1_800_000_000_000_000),
        is_idempotent: false,
        operation: u64::MAX,
        answer: Some(Answer::new(0x44, Bytes::from(vec![0; 64]))),
    };
    size(Body::Handover(Handover {
        server: 2_800,
        seq: 10,
        term: 300,
        former_owners: vec![OWNERSHIP; former_owners],
        slots: 2,
        records: vec![record; records],
        queued: Vec::new(),
    }))
}

fn main() {
    println!("ping with one update             {}", ping(1, 0));
    println!(
        "  each further update            {}",
        ping(2, 0) - ping(1, 0)
    );
    println!(
        "  each load                      {}",
        ping(1, 1) - ping(1, 0)
    );
    println!("hand-over with one former owner  {}", handover(0, 1));
    println!(
        "  each further former owner      {}",
        handover(0, 2) - handover(0, 1)
    );
    println!(
        "  each record, answer of 64      {}",
        handover(1, 1) - handover(0, 1)
    );
    let relay = Relay {
        service: address().ip(),
        caller: address(),
        server: 2_800,
        hops: 3,
        may_have_run: false,
        data: Bytes::new(),
    };
    println!(
        "relay, besides the datagram      {}",
        size(Body::Relay(relay))
    );
}
