//! UDP sockets that are read in batches and report the destination address of each datagram.
//!
//! The entry socket may be bound to the wildcard address. The destination address is then the
//! service address, from which the answer has to be sent.

use std::collections::VecDeque;
use std::io;
use std::io::IoSliceMut;
use std::net::IpAddr;
use std::net::SocketAddr;

use bytes::Bytes;
use quinn_udp::RecvMeta;
use quinn_udp::Transmit;
use quinn_udp::UdpSockRef;
use quinn_udp::UdpSocketState;
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Buffers filled by one system call.
const BATCH_DATAGRAMS: usize = 8;
/// Size of a receive buffer: the kernel may coalesce datagrams of one sender (GRO) up to this size.
const BUFFER_BYTES: usize = 65_536;
/// Longest accepted datagram, in bytes.
pub const DATAGRAM_BYTES: usize = 1_400;
/// Most system calls that drain a socket after a pause.
const DRAIN_READS_MAX: usize = 100_000;

/// A datagram and its addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Sender.
    pub from: SocketAddr,
    /// Destination address.
    pub to: IpAddr,
    /// Payload.
    pub data: Bytes,
}

/// A UDP socket that reports the destination address of each received datagram and can set the
/// source address of each sent one.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
    state: UdpSocketState,
    local: SocketAddr,
    buffer: Vec<u8>,
    rejected: u64,
}

impl Socket {
    /// Binds a non-blocking socket.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Socket> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        let local = socket.local_addr()?;
        Ok(Socket {
            socket,
            state,
            local,
            buffer: vec![0; BATCH_DATAGRAMS * BUFFER_BYTES],
            rejected: 0,
        })
    }

    /// Returns the bound address.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Returns the number of datagrams that were dropped because they were empty or too long, and
    /// resets it to 0.
    pub fn take_rejected(&mut self) -> u64 {
        std::mem::take(&mut self.rejected)
    }

    /// Waits for datagrams and appends a batch of them to `into`. Cancel safe.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub async fn recv(&mut self, into: &mut VecDeque<Datagram>) -> io::Result<()> {
        let mut metas = [RecvMeta::default(); BATCH_DATAGRAMS];
        let Socket {
            socket,
            state,
            buffer,
            ..
        } = self;
        let count = socket
            .async_io(Interest::READABLE, || {
                recv_batch(socket, state, buffer, &mut metas)
            })
            .await?;
        self.split_datagrams(&metas[..count], into);
        Ok(())
    }

    /// Drops all datagrams in the socket's receive buffer and returns their number.
    pub fn drain(&mut self) -> usize {
        let mut metas = [RecvMeta::default(); BATCH_DATAGRAMS];
        let mut dropped = 0;
        for _ in 0..DRAIN_READS_MAX {
            let Socket {
                socket,
                state,
                buffer,
                ..
            } = self;
            let result = recv_batch(socket, state, buffer, &mut metas);
            match result {
                Ok(count) => dropped += metas[..count].iter().map(datagram_count).sum::<usize>(),
                Err(_) => break,
            }
        }
        dropped
    }

    /// Sends a datagram, from the address `source` if given, or drops it when that would block.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub fn send(&self, source: Option<IpAddr>, to: SocketAddr, data: &[u8]) -> io::Result<()> {
        let transmit = Transmit {
            destination: to,
            ecn: None,
            contents: data,
            segment_size: None,
            src_ip: source,
        };
        // Not through `try_io`, which fails until the runtime has observed that a new socket is
        // writable.
        self.state
            .try_send(UdpSockRef::from(&self.socket), &transmit)
    }

    fn split_datagrams(&mut self, metas: &[RecvMeta], into: &mut VecDeque<Datagram>) {
        for (meta, buffer) in metas.iter().zip(self.buffer.chunks(BUFFER_BYTES)) {
            let to = meta.dst_ip.unwrap_or(self.local.ip()).to_canonical();
            let from = SocketAddr::new(meta.addr.ip().to_canonical(), meta.addr.port());
            self.rejected += u64::from(meta.len == 0);
            for datagram in buffer[..meta.len].chunks(meta.stride.max(1)) {
                if datagram.len() > DATAGRAM_BYTES {
                    self.rejected += 1;
                    continue;
                }
                let data = Bytes::copy_from_slice(datagram);
                into.push_back(Datagram { from, to, data });
            }
        }
    }
}

fn datagram_count(meta: &RecvMeta) -> usize {
    meta.len.div_ceil(meta.stride.max(1)).max(1)
}

fn recv_batch(
    socket: &UdpSocket,
    state: &UdpSocketState,
    buffer: &mut [u8],
    metas: &mut [RecvMeta; BATCH_DATAGRAMS],
) -> io::Result<usize> {
    let mut chunks = buffer.chunks_mut(BUFFER_BYTES);
    let mut slices: [IoSliceMut<'_>; BATCH_DATAGRAMS] =
        std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
    state.recv(UdpSockRef::from(socket), &mut slices, metas)
}
