//! What a balancer reads and decides of a packet.

use std::fmt;
use std::net::SocketAddrV4;

use base::prelude::*;

use crate::token::Token;

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Flags {
    /// Opens the flow.
    pub syn: bool,
    /// Acknowledges what the server sent.
    pub ack: bool,
    /// The caller sends no more.
    pub fin: bool,
    /// The caller has given the flow up.
    pub rst: bool,
}

/// The head of a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Head {
    /// Flags.
    pub flags: Flags,
    /// Bytes of data behind the head.
    pub length: u16,
    /// Position of the data in what the caller sends.
    pub seq: u32,
    /// Position up to which the caller has what the server sent. In an opening packet, the number of
    /// copies sent before.
    pub ack: u32,
    /// The route token that the caller heard last on the flow; 0 in an opening packet.
    pub token: Token,
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The service address.
    pub service: SocketAddrV4,
}

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// What the backend server knows itself by: another user of its address ignores the packet.
    pub identity: u64,
    /// Where the backend server takes packets.
    pub address: SocketAddrV4,
}

/// What is to be done with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it on; an opening packet carries the route token from now on.
    Forward {
        /// Where to.
        target: Target,
        /// The token to write into the packet.
        token: Option<Token>,
    },
    /// Tell the caller that the flow cannot be.
    Reset(Code),
    /// Nothing.
    Drop(Code),
}

impl fmt::Display for Flags {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = [
            (self.syn, "syn"),
            (self.ack, "ack"),
            (self.fin, "fin"),
            (self.rst, "rst"),
        ];
        let mut set = names.iter().filter(|(is_set, _)| *is_set);
        let Some((_, first)) = set.next() else {
            return f.write_str("data");
        };
        f.write_str(first)?;
        set.try_for_each(|(_, name)| write!(f, "+{name}"))
    }
}

impl fmt::Display for Head {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Head {
            flags,
            length,
            seq,
            ack,
            token,
            caller,
            service,
        } = self;
        write!(
            f,
            "{caller} > {service} {flags} seq {seq} ack {ack} len {length} {token}"
        )
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Forward { target, token } => {
                write!(
                    f,
                    "forward to {:016x} at {}",
                    target.identity, target.address
                )?;
                token.map_or(Ok(()), |token| write!(f, " under {token}"))
            }
            Verdict::Reset(code) => write!(f, "reset: {code}"),
            Verdict::Drop(code) => write!(f, "drop: {code}"),
        }
    }
}
