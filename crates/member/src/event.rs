//! Inputs and outputs of the reducer, and the messages that balancers exchange.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;

use crate::record::Member;

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Due several times in each probe period.
    Tick,
    /// An authenticated message of a peer was received.
    Message {
        /// The sender.
        from: Incarnation,
        /// The source address.
        peer: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Datagram addresses at which balancers may be, from settings and the platform. They are added
    /// to the known ones. A missing address removes no balancer.
    Candidates(Vec<SocketAddr>),
    /// The process is stopping. The first event changes the own state to `Leaving`, the second one
    /// to `Left`.
    Leave,
    /// The process was paused, so that its view may be stale.
    Resume,
}

/// A message between balancers. Its first update is the sender's own record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks whether the receiver is alive.
    Ping {
        /// Sequence number that the ack repeats.
        seq: u32,
        /// Piggybacked updates.
        updates: Vec<Member>,
    },
    /// Acknowledges a ping, or relays the ack of the target of a ping-req.
    Ack {
        /// Sequence number of the ping or ping-req.
        seq: u32,
        /// Piggybacked updates.
        updates: Vec<Member>,
    },
    /// Asks the receiver to ping a third balancer and to relay its ack.
    PingReq {
        /// Sequence number that the ack repeats.
        seq: u32,
        /// The balancer to ping.
        target: Peer,
        /// Piggybacked updates.
        updates: Vec<Member>,
    },
}

impl Message {
    /// Returns the piggybacked updates.
    pub fn updates(&self) -> &[Member] {
        match self {
            Message::Ping { updates, .. }
            | Message::Ack { updates, .. }
            | Message::PingReq { updates, .. } => updates,
        }
    }
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Message::Ping { seq, .. } => write!(f, "ping {seq}")?,
            Message::Ack { seq, .. } => write!(f, "ack {seq}")?,
            Message::PingReq { seq, target, .. } => write!(f, "ping-req {seq} for {target}")?,
        }
        for update in self.updates() {
            let Member {
                name, epoch, state, ..
            } = update;
            write!(f, ", {name} {state} e{epoch}")?;
        }
        Ok(())
    }
}

/// An output of the reducer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Destination. Until the record of the balancer is known, its stream address is a copy of
        /// the datagram address.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// A balancer became known.
    Joined(Incarnation),
    /// The state or revision of a balancer changed, or it became eligible for ownership. It may be
    /// this balancer itself.
    Changed(Incarnation),
    /// A balancer is dead.
    Dead(Incarnation),
    /// A balancer has stopped gracefully.
    Left(Incarnation),
    /// A failure domain is partitioned: none of its balancers is seen.
    Partitioned(String),
    /// A balancer of a partitioned failure domain was seen again.
    Healed(String),
    /// This incarnation must not go on: peers have declared it dead, or may have done so, or a later
    /// process has its address. The process has to rejoin as a new incarnation.
    Superseded,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Effect::Send { to, message } => write!(f, "send {to}: {message}"),
            Effect::Joined(member) => write!(f, "joined {member}"),
            Effect::Changed(member) => write!(f, "changed {member}"),
            Effect::Dead(member) => write!(f, "dead {member}"),
            Effect::Left(member) => write!(f, "left {member}"),
            Effect::Partitioned(domain) => write!(f, "cut {domain}"),
            Effect::Healed(domain) => write!(f, "healed {domain}"),
            Effect::Superseded => write!(f, "superseded"),
        }
    }
}
