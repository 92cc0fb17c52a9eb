//! Route tokens: 32 bits that name the backend server of a flow, and that both ends return.
//!
//! The token of a flow is the mark of its backend server, a hash of the server's identity, XORed
//! with a hash of the service address. Every balancer that knows the server computes the same
//! token, without a key and without shared state. A token that is sent to another service address
//! resolves to a mark that no server has, except by chance.

use std::fmt;
use std::net::SocketAddrV4;

use base::hash;

/// Separates marks from other hashes of an identity.
const MARK_SALT: u64 = 0x6d61_726b;
/// Separates the service hash of a token from other hashes of an address.
const SERVICE_SALT: u64 = 0x7376_6361;

/// The route token in a flow's packets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u32);

/// The hash that names a backend server in route tokens, and as `server_hash` in load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Mark(pub u32);

impl Mark {
    /// Returns the mark of the backend server with an identity.
    pub fn new(identity: u64) -> Mark {
        Mark(hash::pair(identity, MARK_SALT) as u32)
    }
}

impl Token {
    /// Returns the token of flows to `service` at the backend server with `mark`.
    pub fn new(mark: Mark, service: SocketAddrV4) -> Token {
        Token(mark.0 ^ service_hash(service))
    }

    /// Returns the mark of the backend server that the token names on flows to `service`.
    pub fn mark(self, service: SocketAddrV4) -> Mark {
        Mark(self.0 ^ service_hash(service))
    }
}

fn service_hash(service: SocketAddrV4) -> u32 {
    let address = u64::from(service.ip().to_bits()) << 16 | u64::from(service.port());
    hash::pair(address, SERVICE_SALT) as u32
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "token{:08x}", self.0)
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "mark{:08x}", self.0)
    }
}
