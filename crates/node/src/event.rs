//! Inputs of the reducer.

use std::net::IpAddr;
use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use conf::raw;
use wire::frame::Frame;

use crate::effect::Run;

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic tick, due at least every `node::TICK_INTERVAL`.
    Tick,
    /// A datagram from a caller was received.
    Datagram {
        /// The service address it was sent to.
        service: IpAddr,
        /// Its sender.
        caller: SocketAddr,
        /// Its contents.
        data: Bytes,
    },
    /// An authenticated frame from a peer was received.
    Frame {
        /// Source address.
        from: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// The platform sent objects.
    Objects {
        /// Objects changed after `since`, deleted ones marked.
        objects: Vec<raw::Object>,
        /// The revision after which the changes start; 0 for a full listing.
        since: u64,
        /// The revision that is in force once they are applied.
        upto: u64,
    },
    /// The platform sent its list of hosts.
    Hosts(Vec<Host>),
    /// A call to a backend server ended.
    Reply {
        /// The call.
        run: Run,
        /// The response, or why there is none.
        result: Result<Reply, Failure>,
    },
    /// A probe of a backend server ended.
    Probed {
        /// Uid of the backend server.
        server: u32,
        /// The reported health; `None` if there was no answer.
        health: Option<Health>,
    },
    /// The process was paused for this long, and waiting datagrams were dropped.
    Resume(Span),
    /// The operator requests a graceful stop.
    Stop,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Peer addresses of the host's balancer; `None` for hosts of backend servers.
    pub peer: Option<Peer>,
    /// Address of the host.
    pub ip: IpAddr,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// A complete response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The `content-type` header, as a CoAP content format.
    pub format: Option<u16>,
    /// The service that the server reports to serve, in the `x-service` header.
    pub service: Option<String>,
    /// Complete body.
    pub body: Bytes,
    /// Time from the first byte written to the last byte read.
    pub took: Span,
    /// Whether the connection cannot be reused, because it was closed or the server asked to close
    /// it.
    pub closed: bool,
}

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened; nothing was written.
    Unreachable,
    /// A pooled connection failed before anything was written.
    Unsent,
    /// The server at the address serves another service; nothing was written.
    WrongService,
    /// The connection ended after something was written.
    ConnectionLost,
    /// No response by the deadline, or nothing read for the silence limit of the connection pool;
    /// the connection was closed.
    TimedOut {
        /// Whether a new connection to the same server answered a probe meanwhile.
        new_connection_works: bool,
    },
    /// Cancelled by `Effect::Cancel` after something was written.
    Cancelled,
}

/// Health that a backend server reports. It may lag or be wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// Name of the service it serves.
    pub service: String,
    /// Its state.
    pub state: Condition,
    /// Number of running requests, as reported.
    pub busy: u32,
    /// Number of open connections, as reported.
    pub connections: u32,
}

/// State that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum Condition {
    /// Started not long ago.
    Cold,
    /// Warmed up, at full capacity.
    Warm,
    /// Draining: accepts no new work.
    Draining,
}
