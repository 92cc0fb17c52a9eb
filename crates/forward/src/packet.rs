//! Packet heads, and the verdicts on packets.

use std::fmt;
use std::net::SocketAddrV4;

use base::prelude::*;

use crate::token::Token;

/// Bounds the age at which a repeated packet counts as duplicated by the network. A caller waits for
/// 200 ms before it retransmits.
pub const NETWORK_DUPLICATE_WINDOW: Span = Span::millis(100);

/// The flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Flags {
    /// Opens the flow.
    pub syn: bool,
    /// Acknowledges data of the server.
    pub ack: bool,
    /// The caller sends no more data.
    pub fin: bool,
    /// The caller has aborted the flow.
    pub rst: bool,
}

/// The head of a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Head {
    /// The flags.
    pub flags: Flags,
    /// The size of the data after the head, in bytes.
    pub length: u16,
    /// The position of the data in the caller's stream.
    pub seq: u32,
    /// The position up to which the caller has received the server's stream. In an opening packet,
    /// the number of this retransmission; 0 for the first one.
    pub ack: u32,
    /// The route token that the caller last received on the flow; 0 in an opening packet.
    pub token: Token,
    /// The caller's address.
    pub caller: SocketAddrV4,
    /// The service address.
    pub service: SocketAddrV4,
}

/// The destination of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// The backend server's identity. Another process that has taken over its address ignores the
    /// packet.
    pub identity: u64,
    /// The address that takes the backend server's packets.
    pub address: SocketAddrV4,
}

/// The decision on a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it. An opening packet is given the route token.
    Forward {
        /// The destination.
        target: Target,
        /// The token to write into the packet.
        token: Option<Token>,
    },
    /// Answer the caller with a reset.
    Reset(Code),
    /// Drop it.
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
