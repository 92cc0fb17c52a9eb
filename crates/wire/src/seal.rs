//! Authentication and encryption of peer datagrams, and the encoding of frames.
//!
//! A sealed datagram consists of the key identity (1 byte), the nonce (24 bytes), and the frame
//! encrypted by XChaCha20-Poly1305, whose tag also covers the identity. Two keys are valid at a
//! time, so that the fleet's key can be rotated one balancer after another: each balancer opens
//! datagrams under both keys, and seals under its current one.

use std::fmt;
use std::str::FromStr;

use base::prelude::*;
use chacha20poly1305::aead::Aead;
use chacha20poly1305::aead::AeadInPlace;
use chacha20poly1305::aead::Payload;
use chacha20poly1305::KeyInit;
use chacha20poly1305::XChaCha20Poly1305;
use chacha20poly1305::XNonce;
use hkdf::Hkdf;
use sha2::Sha256;

use crate::frame::Frame;

/// Length of a key in bytes.
pub const KEY_BYTES: usize = 32;

/// Length of a nonce in bytes. Random nonces of this length do not repeat in practice.
pub const NONCE_BYTES: usize = 24;

/// Bytes that sealing adds: key identity, nonce and authentication tag.
pub const OVERHEAD_BYTES: usize = 1 + NONCE_BYTES + 16;

/// Length in bytes of the longest frame that is decoded. The longest frames are hand-overs, which
/// carry every answer that is still stored for a backend server.
pub const MAX_FRAME_BYTES: usize = 32 << 20;

/// Key-derivation context of the sealing key.
const SEAL_CONTEXT: &[u8] = b"wasabiarch peer frame v1";

/// Key-derivation context of the key identity, which is public.
const ID_CONTEXT: &[u8] = b"wasabiarch key identity v1";

/// The secret that the fleet shares, from settings. Other keys are derived from it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

impl Key {
    /// Derives a key for the purpose that `context` names.
    pub fn derive(&self, context: &[u8]) -> [u8; KEY_BYTES] {
        let mut derived = [0; KEY_BYTES];
        Hkdf::<Sha256>::new(None, &self.0)
            .expand(context, &mut derived)
            .expect("the output limit of HKDF-SHA256 is 8160 bytes");
        derived
    }

    /// Returns the public identity. Different keys may have the same one.
    pub fn id(&self) -> u8 {
        self.derive(ID_CONTEXT)[0]
    }
}

impl FromStr for Key {
    type Err = Code;

    fn from_str(text: &str) -> Result<Key, Code> {
        let text = text.as_bytes();
        if text.len() != 2 * KEY_BYTES {
            return Err(Code::BadKey);
        }
        let mut key = [0; KEY_BYTES];
        for (byte, pair) in key.iter_mut().zip(text.chunks_exact(2)) {
            *byte = parse_hex_digit(pair[0])? << 4 | parse_hex_digit(pair[1])?;
        }
        Ok(Key(key))
    }
}

/// Parses a hexadecimal digit.
fn parse_hex_digit(byte: u8) -> Result<u8, Code> {
    let value = char::from(byte).to_digit(16).ok_or(Code::BadKey)?;
    u8::try_from(value).map_err(|_| Code::BadKey)
}

impl TryFrom<&str> for Key {
    type Error = Code;

    fn try_from(text: &str) -> Result<Key, Code> {
        text.parse()
    }
}

impl From<[u8; KEY_BYTES]> for Key {
    fn from(bytes: [u8; KEY_BYTES]) -> Key {
        Key(bytes)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key{:02x}", self.id())
    }
}

/// A derived sealing key and the identity of its secret.
#[derive(Clone)]
struct Sealer {
    id: u8,
    aead: XChaCha20Poly1305,
}

impl From<Key> for Sealer {
    fn from(key: Key) -> Sealer {
        Sealer {
            id: key.id(),
            aead: XChaCha20Poly1305::new(&key.derive(SEAL_CONTEXT).into()),
        }
    }
}

/// Seals and opens peer datagrams.
#[derive(Clone)]
pub struct Cipher {
    current: Sealer,
    previous: Option<Sealer>,
}

impl Cipher {
    /// Makes a cipher that seals under `current` and opens under both.
    pub fn new(current: Key, previous: Option<Key>) -> Cipher {
        Cipher {
            current: current.into(),
            previous: previous.map(Sealer::from),
        }
    }

    /// Seals a datagram. The nonce must be random, and must never have been used under this key.
    pub fn seal(&self, nonce: [u8; NONCE_BYTES], data: &[u8]) -> Vec<u8> {
        let id = self.current.id;
        let mut out = Vec::with_capacity(OVERHEAD_BYTES + data.len());
        out.push(id);
        out.extend_from_slice(&nonce);
        out.extend_from_slice(data);
        let tag = self
            .current
            .aead
            .encrypt_in_place_detached(&XNonce::from(nonce), &[id], &mut out[1 + NONCE_BYTES..])
            .expect("a frame is shorter than the cipher's limit of 256 GiB");
        out.extend_from_slice(&tag);
        out
    }

    /// Authenticates and decrypts a datagram.
    ///
    /// # Errors
    ///
    /// `PeerForged` if it was sealed under neither key.
    pub fn open(&self, data: &[u8]) -> Result<Vec<u8>, Code> {
        let (id, rest) = data.split_first().ok_or(Code::PeerForged)?;
        let (nonce, sealed) = rest
            .split_first_chunk::<NONCE_BYTES>()
            .ok_or(Code::PeerForged)?;
        [Some(&self.current), self.previous.as_ref()]
            .into_iter()
            .flatten()
            .filter(|key| key.id == *id)
            .find_map(|key| {
                let payload = Payload {
                    msg: sealed,
                    aad: &[*id],
                };
                key.aead.decrypt(&XNonce::from(*nonce), payload).ok()
            })
            .ok_or(Code::PeerForged)
    }
}

impl fmt::Debug for Cipher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cipher key{:02x}", self.current.id)?;
        if let Some(previous) = &self.previous {
            write!(f, " key{:02x}", previous.id)?;
        }
        Ok(())
    }
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Vec<u8> {
    postcard::to_stdvec(frame).expect("postcard can encode all types of a frame")
}

/// Decodes a frame.
///
/// Memory use is bounded by the length of `data`: postcard ignores a length prefix that exceeds the
/// rest of its input.
///
/// # Errors
///
/// `Malformed` if `data` is no frame, has bytes after the frame, or is longer than
/// `MAX_FRAME_BYTES`.
pub fn decode(data: &[u8]) -> Result<Frame, Code> {
    if data.len() > MAX_FRAME_BYTES {
        return Err(Code::Malformed);
    }
    let (frame, rest) = postcard::take_from_bytes(data).map_err(|_| Code::Malformed)?;
    if rest.is_empty() {
        Ok(frame)
    } else {
        Err(Code::Malformed)
    }
}
