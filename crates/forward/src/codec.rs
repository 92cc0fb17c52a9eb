//! The byte form of packets, implemented by the platform.

use base::prelude::*;

use crate::packet::Head;
use crate::token::Token;

/// The size of the header that names the backend server in front of a forwarded packet.
pub const SERVER_HEADER_BYTES: usize = 8;

/// Reads and writes packets.
pub trait Codec: Send + Sync + 'static {
    /// Decodes the head of a packet.
    ///
    /// # Errors
    ///
    /// `Malformed` if the bytes are not a caller's packet.
    fn decode(&self, packet: &[u8]) -> Result<Head, Code>;

    /// Writes a route token into a packet that `decode` has accepted.
    fn write_token(&self, packet: &mut [u8], token: Token);

    /// Returns the header in front of a packet that is forwarded to the backend server with an
    /// identity.
    fn server_header(&self, identity: u64) -> [u8; SERVER_HEADER_BYTES];

    /// Writes the reset that answers a packet into `buffer`, which has room for any packet, and
    /// returns its length.
    fn write_reset(&self, head: &Head, buffer: &mut [u8]) -> usize;
}
