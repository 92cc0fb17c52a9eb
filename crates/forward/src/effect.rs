//! The outputs of the reducer, which the driver carries out.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use base::prelude::*;
use conf::key;
use conf::object::Kind;
use wire::frame::Frame;

use crate::note::Note;
use crate::observation::Class;
use crate::observation::Observation;
use crate::packet::Head;

/// An output of the reducer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read objects of a kind from the platform, and cancel the read of this kind that is in
    /// flight.
    Read {
        /// The kind.
        kind: Kind,
        /// The revision after which changes are wanted; 0 for all objects.
        since: u64,
        /// How long the platform may hold the read until there is a change.
        wait: Span,
    },
    /// Send a frame to a peer.
    Send {
        /// The peer's datagram address.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Write this balancer's address to the platform.
    Announce,
    /// Remove this balancer's address from the platform.
    Withdraw,
    /// Read the addresses of balancers from the platform.
    Discover,
    /// Check whether a backend server answers.
    Check {
        /// The server's key.
        server: key::Server,
        /// The server's name, which a valid answer contains.
        name: String,
        /// The address of the check.
        address: SocketAddrV4,
        /// The path of the check.
        path: String,
        /// The time-out of the check.
        timeout: Span,
    },
    /// Send the caller of a packet a reset, as if in answer to it. Only the ends of the flow and the
    /// positions in its streams are set.
    Reset(Head),
    /// A backend server answered an opening packet.
    Opened {
        /// Time from the last forwarded opening packet to the caller's first packet after the
        /// answer. It includes the way of the answer to the caller and of that packet from there.
        took: Span,
    },
    /// A caller ended a flow.
    Closed {
        /// Time since the first opening packet.
        lasted: Span,
    },
    /// Record what happened to a flow.
    Observed {
        /// The class of the flow.
        class: Class,
        /// What happened.
        observation: Observation,
    },
    /// Write a log record.
    Note(Note),
    /// End the process: the planned stop is complete.
    Exit,
}
