//! Encodes and decodes the packets of flows, as callers and backend servers do.
//!
//! The header has 31 bytes, big-endian: flags (1), length (2), sequence (4), acknowledgement (4),
//! route token (4), source port (2), destination (4), source (4), destination port (2), keyed
//! checksum (4). The checksum covers everything but the token.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use base::hash;

/// Length of a packet's header.
pub const HEADER_BYTES: usize = 31;
/// Length of the identity of the backend server in front of a packet to it.
pub const IDENTITY_BYTES: usize = 8;

/// Opens a flow.
pub const SYN: u8 = 64;
/// Acknowledges data or a flow's opening.
pub const ACK: u8 = 16;
/// Closes a flow.
pub const FIN: u8 = 8;
/// Resets a flow.
pub const RST: u8 = 1;

/// Key of the checksum. Balancers do not have this key.
const CHECKSUM_KEY: u64 = 0x736f_616b;

/// One packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Flags: a combination of [`SYN`], [`ACK`], [`FIN`] and [`RST`].
    pub flags: u8,
    /// Position of the data, or a number that the sender chose.
    pub seq: u32,
    /// Acknowledged position or number; in an opening packet, the number of earlier copies of it.
    pub ack: u32,
    /// The route token.
    pub token: u32,
    /// The sender's address.
    pub from: SocketAddrV4,
    /// The receiver's address.
    pub to: SocketAddrV4,
    /// The keyed checksum; 0 in a reset that a balancer made, which does not have the key.
    pub checksum: u32,
    /// The data.
    pub data: Vec<u8>,
}

impl Packet {
    /// Makes a packet without data, sequence numbers, token and checksum.
    pub fn new(flags: u8, from: SocketAddrV4, to: SocketAddrV4) -> Packet {
        Packet {
            flags,
            seq: 0,
            ack: 0,
            token: 0,
            from,
            to,
            checksum: 0,
            data: Vec::new(),
        }
    }

    /// Sets the sequence number, the acknowledgement and the route token.
    pub fn with_seq_ack_token(self, seq: u32, ack: u32, token: u32) -> Packet {
        Packet {
            seq,
            ack,
            token,
            ..self
        }
    }

    /// Sets the data.
    pub fn with_data(self, data: Vec<u8>) -> Packet {
        Packet { data, ..self }
    }

    /// Sets the checksum of the packet as it is now.
    pub fn with_checksum(self) -> Packet {
        let checksum = self.expected_checksum();
        Packet { checksum, ..self }
    }

    /// Returns whether the checksum is valid, that is, whether the packet is as its sender wrote
    /// it.
    pub fn has_valid_checksum(&self) -> bool {
        self.checksum == self.expected_checksum()
    }

    fn expected_checksum(&self) -> u32 {
        let plain = Packet {
            token: 0,
            checksum: 0,
            ..self.clone()
        };
        // 0 is reserved for resets that a balancer made.
        (hash::pair(hash::bytes(&plain.encode()), CHECKSUM_KEY) as u32).max(1)
    }

    /// Encodes the packet.
    ///
    /// # Panics
    ///
    /// Panics if the data is longer than 65,535 bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![self.flags];
        let length = u16::try_from(self.data.len()).expect("the data is at most 65,535 bytes long");
        bytes.extend(length.to_be_bytes());
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend(self.token.to_be_bytes());
        bytes.extend(self.from.port().to_be_bytes());
        bytes.extend(self.to.ip().octets());
        bytes.extend(self.from.ip().octets());
        bytes.extend(self.to.port().to_be_bytes());
        bytes.extend(self.checksum.to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    /// Decodes a packet; `None` if the bytes are too short or the length field does not match.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let number = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let short = |at: usize| Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let packet = Packet {
            flags: *bytes.first()?,
            seq: number(3)?,
            ack: number(7)?,
            token: number(11)?,
            from: SocketAddrV4::new(Ipv4Addr::from_bits(number(21)?), short(15)?),
            to: SocketAddrV4::new(Ipv4Addr::from_bits(number(17)?), short(25)?),
            checksum: number(27)?,
            data: bytes.get(HEADER_BYTES..)?.to_vec(),
        };
        (usize::from(short(1)?) == packet.data.len()).then_some(packet)
    }
}
