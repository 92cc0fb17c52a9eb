//! Outputs of the reducer.

use std::net::IpAddr;
use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use cranelift_entity::entity_impl;
use wire::frame::Frame;

/// Identifier of a call to a backend server.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run(u32);
entity_impl!(Run, "run");

/// An action that the driver of the reducer must carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a datagram to a caller, from the service address.
    Answer {
        /// Source address to use.
        service: IpAddr,
        /// Destination.
        caller: SocketAddr,
        /// Contents.
        data: Bytes,
    },
    /// Send a frame to a peer: as a sealed datagram if it fits, else over a QUIC stream.
    Send {
        /// Destination.
        to: Peer,
        /// The frame.
        frame: Frame,
    },
    /// Send a request to a backend server; ends with `Event::Reply`.
    Call {
        /// Identifies the call in later events.
        run: Run,
        /// The request.
        request: Request,
    },
    /// Cancel a running call by closing its connection.
    Cancel(Run),
    /// Probe the health of a backend server; ends with `Event::Probed`.
    Probe {
        /// Uid of the backend server.
        server: u32,
        /// Its address.
        address: SocketAddr,
    },
    /// Close the pooled connections of a backend server.
    Disconnect {
        /// Its address.
        address: SocketAddr,
    },
    /// Write the domain's report object to the platform.
    Report {
        /// Name of the object.
        name: String,
        /// Its spec, as JSON.
        spec: String,
    },
    /// Read the objects after this revision from the platform again.
    Refetch {
        /// 0 for a full listing.
        since: u64,
    },
    /// Write a log line.
    Log(Note),
    /// The graceful stop is complete.
    Exit,
}

/// A request for a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Name of the service, sent as the `host` header.
    pub service: String,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Content type of the body.
    pub format: Option<u16>,
    /// Body.
    pub body: Bytes,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// The request must use a connection that was not used before.
    pub needs_new_connection: bool,
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Result code that the line is about.
    pub code: Code,
    /// What happened.
    pub text: String,
    /// The flow, if the line is about one.
    pub flow: Option<u64>,
    /// CoAP message ID of the request, if the line is about one.
    pub request: Option<u16>,
}
