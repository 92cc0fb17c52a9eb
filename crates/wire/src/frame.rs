//! Frames that balancers exchange.
//!
//! Frames are encoded by position (postcard). The order, number and types of fields and variants
//! are part of the wire format; their names are not.

use std::net::IpAddr;
use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::coap::Answer;
use crate::demand::DomainDemand;
use crate::demand::PoolDemand;

/// A message between balancers, with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: Incarnation,
    /// The message.
    pub body: Body,
}

/// The message that a frame carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver is alive.
    Ping {
        /// Sequence number that the ack repeats.
        seq: u32,
        /// Piggybacked updates.
        gossip: Gossip,
    },
    /// Acknowledges a ping, or relays the ack of the target of a ping-req.
    Ack {
        /// Sequence number of the ping or ping-req.
        seq: u32,
        /// Piggybacked updates.
        gossip: Gossip,
    },
    /// Asks the receiver to ping a third balancer and to relay its ack.
    PingReq {
        /// Sequence number that the ack repeats.
        seq: u32,
        /// The balancer to ping.
        target: Peer,
        /// Piggybacked updates.
        gossip: Gossip,
    },
    /// A caller's datagram that is forwarded to the owner of its backend server.
    Relay(Relay),
    /// Requests the objects that changed after `since`.
    Pull {
        /// Revision of the sender.
        since: u64,
    },
    /// The objects that changed after `since`, up to `upto`.
    Delta {
        /// Revision from which the delta starts.
        since: u64,
        /// Revision in force once the delta is applied.
        upto: u64,
        /// Objects, each a `conf::raw::Object` encoded by postcard.
        objects: Vec<Bytes>,
    },
    /// Moves the ownership of one backend server to the receiver.
    Handover(Handover),
    /// Acknowledges a hand-over: the sender owns the backend server now.
    HandoverAck {
        /// Uid of the backend server.
        server: u32,
        /// Sequence number of the hand-over.
        seq: u32,
    },
    /// Result of a request that still ran at the former owner after a hand-over.
    Finished {
        /// Uid of the backend server.
        server: u32,
        /// The record, with the answer.
        record: Record,
    },
    /// Acknowledges `Finished`: the receiver has recorded the result.
    FinishedAck {
        /// Uid of the backend server.
        server: u32,
        /// Key of the record.
        key: RecordKey,
    },
    /// Load report: open packet flows of the sender, and results of its health checks.
    LoadReport(LoadReport),
    /// Changed objects, one element for each kind. For balancers that forward packets.
    Objects(Vec<Objects>),
    /// Requests the objects of some kinds that are newer at the receiver. For balancers that
    /// forward packets.
    ObjectsRequest(Vec<ObjectsRequest>),
    /// A fragment of a frame that is longer than a datagram.
    Fragment(Fragment),
    /// Service times of slow backend servers, as seen by the sender. It replaces the sender's
    /// earlier frame. For balancers that forward packets.
    Speeds(Vec<Speed>),
    /// Demand for pools at the sender, to the balancers of its failure domain.
    Demand(Vec<PoolDemand>),
    /// Demand and occupancy of a failure domain, to the balancers of the other ones.
    DomainDemand(DomainDemand),
    /// Use of the sender's host, to the balancers of its failure domain. It replaces the sender's
    /// earlier frame.
    HostUse(HostUse),
    /// Requests a snapshot of all objects, for a balancer that has none.
    SnapshotRequest,
    /// Answers a request for a snapshot that is not served now.
    SnapshotBusy {
        /// Time after which to ask again, in milliseconds.
        wait_ms: u16,
        /// The peer to ask then, which is being sent a snapshot now; `None` for the sender.
        peer: Option<SocketAddr>,
    },
    /// All objects of all kinds.
    Snapshot(Snapshot),
}

/// Use of a host whose link or processor is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostUse {
    /// The greater use of link and processor in percent, 255 at most.
    pub percent: u8,
    /// Whether the host reports not ready, so that the fabric gives its flows to others.
    pub is_withdrawn: bool,
}

/// All objects of all kinds, as known to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The kinds, each with its revision.
    pub kinds: Vec<SnapshotKind>,
    /// The objects as texts, encoded by `column`.
    pub objects: Bytes,
}

/// The state of one kind in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotKind {
    /// Name of the kind.
    pub kind: String,
    /// Revision up to which all objects are included.
    pub upto: u64,
    /// Time since the platform confirmed that revision.
    pub age: Span,
}

/// Load report of a balancer that forwards packets. It replaces the sender's earlier report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Open flows of the sender, for each backend server that has any.
    pub servers: Vec<OpenFlows>,
    /// Backend servers that recently left packets or health checks unanswered, including those that
    /// are only suspected.
    pub unresponsive: Vec<Unresponsive>,
    /// Hashes of backend servers whose suspicion was recently cleared by a successful health check.
    pub cleared: Vec<u32>,
}

/// The number of open flows at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenFlows {
    /// Hash of the backend server's identity, by which route tokens name it.
    pub server_hash: u32,
    /// Flows that the sender has opened there and that have not ended.
    pub count: u16,
}

/// A backend server that the sender suspects. It is confirmed as unresponsive only once a health
/// check has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unresponsive {
    /// Hash of the backend server's identity, by which route tokens name it.
    pub server_hash: u32,
    /// Number of failed health checks; 0 if the server is only suspected.
    pub failed_checks: u8,
    /// Number of the latest of these, in a row, that were silent: no connection was accepted.
    pub silent_checks: u8,
    /// Time since the first of the silent checks began, in milliseconds; 0 if there is none.
    pub silent_ms: u16,
    /// Number of retransmissions of data on its open flows since its last answer, at most 2. With 2
    /// of them and two silent checks, its open flows are reset.
    pub resent: u8,
    /// Time since the first of these arrived, in milliseconds; 0 if there is none.
    pub resent_ms: u16,
}

/// The service time of one backend server, from the answers that the sender has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Hash of the backend server's identity, by which route tokens name it.
    pub server_hash: u32,
    /// Service time, in microseconds.
    pub service_us: u32,
}

/// Request for the objects of one kind that are newer at the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsRequest {
    /// Name of the kind.
    pub kind: String,
    /// Revision of the kind that the sender has; 0 if it has none.
    pub since: u64,
    /// The sender cannot read the platform. The receiver then sends a full listing if it has no
    /// delta from `since`.
    pub is_platform_unreachable: bool,
}

/// A fragment of an encoded frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Number of the frame, which distinguishes the frames of one sender.
    pub frame_id: u32,
    /// Index of the fragment, from 0.
    pub index: u16,
    /// Number of fragments of the frame.
    pub count: u16,
    /// Bytes of the fragment.
    pub bytes: Bytes,
}

/// Changed objects of one kind. Without objects, announces only the revision that the sender has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objects {
    /// Name of the kind.
    pub kind: String,
    /// Revision from which the changes start.
    pub since: u64,
    /// Revision in force once the changes are applied.
    pub upto: u64,
    /// Staleness of that revision: time since the platform confirmed it to the balancer that read
    /// it.
    pub age: Span,
    /// Objects, each a `conf::raw::Object` encoded by postcard.
    pub objects: Vec<Bytes>,
    /// Patches of objects that differ little from the version that the receiver has.
    pub patches: Vec<Patch>,
}

/// A new version of an object, as the difference from the version before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Name of the object.
    pub name: String,
    /// Version to which the patch applies.
    pub base_version: u64,
    /// Version that results.
    pub version: u64,
    /// Length of the unchanged start of the spec, in bytes.
    pub prefix_len: u32,
    /// Length of the unchanged end of the spec, in bytes.
    pub suffix_len: u32,
    /// New text between the two.
    pub replacement: String,
}

/// Data piggybacked on membership messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// In crate `node`, the configuration revision in force at the sender; in crate `forward`, the
    /// highest version of any object that the sender has.
    pub revision: u64,
    /// Membership updates.
    pub updates: Vec<Update>,
    /// Loads of backend servers. Each is also its owner's claim of ownership.
    pub loads: Vec<Load>,
}

/// A membership update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Incarnation of the balancer.
    pub incarnation: Incarnation,
    /// Name from its settings.
    pub name: String,
    /// Failure domain from its settings.
    pub domain: String,
    /// Addresses for messages of peers.
    pub peer: Peer,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    /// Version of the state that the balancer itself publishes.
    pub epoch: u32,
    /// Number of the `member::State`.
    pub state: u8,
    /// Last known configuration revision in force at the balancer; 0 in crate `forward`.
    pub revision: u64,
}

/// The load of one backend server, as published by its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Uid of the backend server.
    pub server: u32,
    /// The owner and its term. Of two claims on a server, the one with the greater term wins.
    pub ownership: Ownership,
    /// Sequence number, which increases with every load that the owner publishes.
    pub seq: u32,
    /// Number of requests that are running or queued.
    pub open: u16,
    /// Smoothed request rate, in tenths of a request per second.
    pub rate: u16,
    /// Current concurrency limit; 0 if the server accepts no new requests.
    pub slots: u8,
}

/// A caller's datagram that is forwarded between balancers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Service address to which it was sent.
    pub service: IpAddr,
    /// Source address: the caller.
    pub caller: SocketAddr,
    /// Uid of the chosen backend server.
    pub server: u32,
    /// Number of times that it may still be forwarded.
    pub hops: u8,
    /// An earlier attempt may have run the request, so that a refusal must not say that it was not
    /// run.
    pub may_have_run: bool,
    /// The datagram as received.
    pub data: Bytes,
}

/// The ownership of a backend server by one balancer, for one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ownership {
    /// The owner.
    pub owner: Incarnation,
    /// Term of the ownership, which increases with each change of owner.
    pub term: u32,
}

/// The state of a backend server that moves to its next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Uid of the backend server.
    pub server: u32,
    /// Sequence number of the hand-over at its sender. Retransmissions repeat it.
    pub seq: u32,
    /// Term of the receiver's ownership.
    pub term: u32,
    /// Former owners whose route tokens the receiver accepts, the sender last.
    pub former_owners: Vec<Ownership>,
    /// Concurrency limit to which the sender has raised the server. Unlike `Load::slots` it is not 0
    /// while the server accepts no new requests.
    pub slots: u8,
    /// Records for the detection of duplicates, including those of requests that still run.
    pub records: Vec<Record>,
    /// Queued requests that were not run, oldest first.
    pub queued: Vec<Relay>,
}

/// Identity of a request within its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// Nonce of the flow; for a flow without a route token, a hash of the caller's address.
    pub nonce: u64,
    /// CoAP message ID.
    pub message_id: u16,
    /// Hash of the CoAP token.
    pub token_hash: u64,
}

/// An accepted request, and its answer once there is one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the request.
    pub key: RecordKey,
    /// Balancer that accepted the request. The request runs there while it has no answer.
    pub accepted_by: Incarnation,
    /// Hash of the request's code, options and payload.
    pub digest: u64,
    /// When the request was accepted, by the clock of that balancer.
    pub accepted_at: Time,
    /// The method is idempotent.
    pub is_idempotent: bool,
    /// Hash of the parts that all messages of a block-wise exchange have in common.
    pub operation: u64,
    /// The answer; `None` while the request runs.
    pub answer: Option<Answer>,
}
