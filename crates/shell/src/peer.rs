//! Encrypted and authenticated datagrams between balancers.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use wire::frame::Frame;
use wire::seal;

use crate::setting::Keys;
use crate::socket::Datagram;
use crate::socket::Socket;

/// Longest sealed datagram, in bytes. Longer frames are sent on a stream.
pub const DATAGRAM_BYTES: usize = 1_200;

/// A frame, encoded and ready to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Encoded {
    /// Sealed datagram.
    Datagram(Vec<u8>),
    /// Plain frame for a stream, whose connection is encrypted.
    Stream(Bytes),
}

/// A datagram received on the peers' socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Sender.
    pub from: SocketAddr,
    /// Sealed length in bytes.
    pub length: usize,
    /// The frame, or the reason why the datagram was rejected.
    pub frame: Result<Frame, Code>,
}

/// The UDP socket for peers, with the cipher that seals its datagrams.
pub struct Endpoint {
    socket: Socket,
    cipher: seal::Cipher,
    batch: VecDeque<Datagram>,
}

impl Endpoint {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr, keys: &Keys) -> io::Result<Endpoint> {
        Ok(Endpoint {
            socket: Socket::bind(address)?,
            cipher: seal::Cipher::new(keys.current, keys.previous),
            batch: VecDeque::new(),
        })
    }

    /// Returns the bound address.
    pub fn local(&self) -> SocketAddr {
        self.socket.local()
    }

    /// Encodes a frame, as a datagram if it fits one, else for a stream.
    pub fn encode(&self, frame: &Frame) -> Encoded {
        let plain = seal::encode(frame);
        if plain.len() + seal::OVERHEAD_BYTES > DATAGRAM_BYTES {
            return Encoded::Stream(plain.into());
        }
        Encoded::Datagram(self.cipher.seal(rand::random(), &plain))
    }

    /// Sends a sealed datagram, or drops it when that would block.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub fn send(&self, to: SocketAddr, sealed: &[u8]) -> io::Result<()> {
        self.socket.send(None, to, sealed)
    }

    /// Waits for datagrams and queues them for `next_frame`. Cancel safe.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub async fn recv(&mut self) -> io::Result<()> {
        self.socket.recv(&mut self.batch).await
    }

    /// Decrypts and decodes the next queued datagram.
    pub fn next_frame(&mut self) -> Option<Received> {
        let datagram = self.batch.pop_front()?;
        let frame = self
            .cipher
            .open(&datagram.data)
            .and_then(|plain| seal::decode(&plain));
        Some(Received {
            from: datagram.from,
            length: datagram.data.len(),
            frame,
        })
    }

    /// Drops all queued datagrams and returns their number.
    pub fn drain(&mut self) -> usize {
        let queued = self.batch.len();
        self.batch.clear();
        queued + self.socket.drain()
    }

    /// Returns the number of datagrams that were dropped because they were empty or too long, and
    /// resets it to 0.
    pub fn take_rejected(&mut self) -> u64 {
        self.socket.take_rejected()
    }
}
