//! Identities and addresses that processes exchange.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::time::Time;

/// Identity of one run of a balancer process: a restarted balancer is another incarnation.
///
/// It has 48 bits: the start time in seconds in the upper 30, and a hash in the lower 18 that
/// distinguishes processes started in the same second. Of two incarnations at one address the
/// greater one started later, unless both started in the same second. The start time wraps around
/// in 2054.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Start of the time scale of incarnations, 2020-01-01, in seconds since the Unix epoch.
const EPOCH_SECS: u64 = 1_577_836_800;

impl Incarnation {
    /// Returns the identity of the balancer `name` that starts at `now`.
    pub fn new(now: Time, name: &str) -> Incarnation {
        let secs = now.secs().saturating_sub(EPOCH_SECS) & 0x3fff_ffff;
        let salt = hash::pair(hash::bytes(name.as_bytes()), now.0) & 0x3_ffff;
        Incarnation(secs << 18 | salt)
    }

    /// Returns when the process started, by the clock of its host, rounded down to a second.
    pub const fn start_time(self) -> Time {
        Time((EPOCH_SECS + (self.0 >> 18)) * 1_000_000)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bal{:012x}", self.0)
    }
}

/// Addresses at which a balancer receives messages from its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// UDP address, for encrypted and authenticated datagrams.
    pub datagram: SocketAddr,
    /// QUIC address, for messages that do not fit a datagram.
    pub stream: SocketAddr,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.datagram)
    }
}
