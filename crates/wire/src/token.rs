//! The route token, which names the service, the backend server and the owner of a flow.

use base::prelude::*;
use bytes::Buf;
use bytes::BufMut;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// Length of a sealed token in bytes: the longest value of the Echo option.
pub const LEN: usize = 40;

/// Length of the authenticated part in bytes. The rest is the authentication tag.
const CLEAR_LEN: usize = 29;

/// Domain separation between this use of a key and others.
const CONTEXT: &[u8] = b"wasabiarch route token 1";

/// A sealed token, as callers store it.
pub type Sealed = [u8; LEN];

/// The content of a route token. It is authenticated but not encrypted: only holders of a key can
/// make one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// Uid of the service.
    pub service: u32,
    /// Uid of the backend server.
    pub server: u32,
    /// Generation of the backend server's object.
    pub generation: u16,
    /// The owner: only this balancer may run non-idempotent requests of the flow.
    pub owner: Incarnation,
    /// Term of the ownership, modulo 256.
    pub term: u8,
    /// Nonce of 56 bits that distinguishes the flows of one owner.
    pub nonce: u64,
    /// Time of issue, in seconds since the Unix epoch.
    pub issued: u32,
}

/// The keys for route tokens: the current one seals and opens, the previous one only opens.
#[derive(Clone)]
pub struct KeyRing {
    current: [u8; 32],
    previous: Option<[u8; 32]>,
}

impl KeyRing {
    /// Makes a key ring with the current key only.
    pub fn new(current: [u8; 32]) -> KeyRing {
        KeyRing {
            current,
            previous: None,
        }
    }

    /// Sets the previous key, for the time of a key rotation.
    pub fn with_previous(mut self, previous: Option<[u8; 32]>) -> KeyRing {
        self.previous = previous;
        self
    }

    /// Seals a token under the current key.
    pub fn seal(&self, token: &Token) -> Sealed {
        let mut sealed = [0; LEN];
        encode(token, key_id(&self.current), &mut sealed[..CLEAR_LEN]);
        let tag = mac(&self.current, &sealed[..CLEAR_LEN])
            .finalize()
            .into_bytes();
        sealed[CLEAR_LEN..].copy_from_slice(&tag[..LEN - CLEAR_LEN]);
        sealed
    }

    /// Verifies and decodes a sealed token. The caller has to check its age.
    ///
    /// # Errors
    ///
    /// `TokenForged` if it was sealed under neither key.
    pub fn open(&self, sealed: &[u8]) -> Result<Token, Code> {
        if sealed.len() != LEN {
            return Err(Code::TokenForged);
        }
        let (clear, tag) = sealed.split_at(CLEAR_LEN);
        let keys = [Some(&self.current), self.previous.as_ref()];
        keys.into_iter()
            .flatten()
            .filter(|key| key_id(key) == clear[0])
            .find(|key| mac(key, clear).verify_truncated_left(tag).is_ok())
            .map(|_| decode(clear))
            .ok_or(Code::TokenForged)
    }
}

impl std::fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Ring")
    }
}

fn mac(key: &[u8; 32], clear: &[u8]) -> Hmac<Sha256> {
    // `new_from_slice` accepts keys of any length.
    let mut mac =
        <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC accepts keys of any size");
    mac.update(CONTEXT);
    mac.update(clear);
    mac
}

/// Returns the number by which a sealed token names its key. Different keys may have the same one.
fn key_id(key: &[u8; 32]) -> u8 {
    base::hash::bytes(key) as u8
}

/// Encodes the authenticated part in big-endian order. An incarnation has 48 bits, a nonce 56.
fn encode(token: &Token, key_id: u8, mut out: &mut [u8]) {
    out.put_u8(key_id);
    out.put_u32(token.service);
    out.put_u32(token.server);
    out.put_u16(token.generation);
    out.put_uint(token.owner.0, 6);
    out.put_uint(token.nonce & 0xff_ffff_ffff_ffff, 7);
    out.put_u32(token.issued);
    out.put_u8(token.term);
}

fn decode(mut clear: &[u8]) -> Token {
    clear.advance(1);
    Token {
        service: clear.get_u32(),
        server: clear.get_u32(),
        generation: clear.get_u16(),
        owner: Incarnation(clear.get_uint(6)),
        nonce: clear.get_uint(7),
        issued: clear.get_u32(),
        term: clear.get_u8(),
    }
}
