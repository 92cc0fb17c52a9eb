//! What the reducer wants done.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use base::prelude::*;
use conf::key;
use conf::object::Kind;
use wire::frame::Frame;

use crate::note::Note;

/// An output of the reducer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read objects of a kind from the platform, in place of the read of this kind that is under way.
    Read {
        /// The kind.
        kind: Kind,
        /// The revision after which changes are wanted; 0 for all objects.
        since: u64,
        /// How long the platform may wait for a change.
        wait: Span,
    },
    /// Send a frame to a peer.
    Send {
        /// Its datagram address.
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
        /// Its key.
        server: key::Server,
        /// Its name, which it answers with.
        name: String,
        /// Where it takes checks.
        address: SocketAddrV4,
        /// What is asked for.
        path: String,
        /// How long it may take.
        timeout: Span,
    },
    /// A backend server answered an opening packet.
    Opened {
        /// Time from the last opening packet.
        took: Span,
    },
    /// A caller ended a flow.
    Closed {
        /// Time since the first opening packet.
        lasted: Span,
    },
    /// Log a decision.
    Note(Note),
    /// The planned stop is complete.
    Exit,
}
