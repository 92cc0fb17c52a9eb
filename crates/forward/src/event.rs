//! The inputs of the reducer beside callers' packets.

use std::net::SocketAddr;

use base::prelude::*;
use conf::key;
use conf::object::Kind;
use conf::raw;
use wire::frame::Frame;

use crate::health::Outcome;
use crate::host::Sample;
use crate::setting::Setting;

/// An input of the reducer beside callers' packets.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Due every `tick::PERIOD`.
    Tick,
    /// The platform answered a read.
    Objects {
        /// The kind that was read.
        kind: Kind,
        /// The revision that the read started from; 0 for a listing.
        since: u64,
        /// The platform's revision at the answer.
        upto: u64,
        /// The objects, including tombstones if `since` is not 0.
        objects: Vec<raw::Object>,
    },
    /// A read failed.
    ReadFailed {
        /// The kind of the read.
        kind: Kind,
        /// Whether the platform no longer has the history after the revision, so that a listing is
        /// needed.
        is_history_gone: bool,
        /// The cause.
        why: String,
    },
    /// Datagram addresses at which balancers may be.
    Candidates(Vec<SocketAddr>),
    /// A frame from a peer arrived.
    Frame {
        /// The address of its sender.
        peer: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A fragment of a longer frame from a peer arrived.
    Fragment(SocketAddr),
    /// A health check ended.
    Checked {
        /// The backend server's key at the start of the check.
        server: key::Server,
        /// The backend server's name.
        name: String,
        /// What it did in the time of the check.
        outcome: Outcome,
    },
    /// The process was paused or its host suspended for this long.
    Resumed(Span),
    /// The settings changed.
    Setting(Box<Setting>),
    /// Start a planned stop, which ends without loss of flows.
    Stop,
    /// What the process has used of its host. Due with each tick if the host's capacity is known.
    HostUse(Sample),
}
