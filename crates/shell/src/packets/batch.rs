//! A UDP socket that receives and sends many datagrams in one system call.
//!
//! Each received datagram stays in its buffer until the next read. It can be forwarded or answered
//! from that buffer without a copy.

use std::io;
use std::io::IoSlice;
use std::io::IoSliceMut;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::os::fd::AsRawFd;

use forward::codec::SERVER_HEADER_BYTES;
use nix::errno::Errno;
use nix::sys::socket::recvmmsg;
use nix::sys::socket::sendmmsg;
use nix::sys::socket::sendto;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt;
use nix::sys::socket::ControlMessage;
use nix::sys::socket::MsgFlags;
use nix::sys::socket::MultiHeaders;
use nix::sys::socket::SockaddrIn;
use nix::sys::socket::SockaddrStorage;
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Most datagrams in one system call.
pub const BATCH_DATAGRAMS: usize = 32;
/// Most bytes that are received of a datagram: the kernel truncates longer datagrams.
pub const DATAGRAM_BYTES: usize = 1_500;
/// Bytes of a buffer: a datagram, preceded by room for the header for a backend server.
const BUFFER_BYTES: usize = SERVER_HEADER_BYTES + DATAGRAM_BYTES;
/// Most system calls that drain the socket after a pause.
const DRAIN_READS_MAX: usize = 10_000;

/// A UDP socket with the datagrams of its last read and those queued for sending.
pub struct Socket {
    socket: UdpSocket,
    local: SocketAddr,
    recv_headers: MultiHeaders<SockaddrIn>,
    /// Separate from `recv_headers`, in which the library leaves the addresses of the last call.
    send_headers: MultiHeaders<SockaddrIn>,
    buffers: Vec<u8>,
    /// Length and sender of each datagram of the last read.
    received: Vec<(usize, SocketAddr)>,
    /// Datagrams queued for sending, as ranges of `buffers`.
    queued: Vec<Outgoing>,
}

#[derive(Clone, Copy, Debug)]
struct Outgoing {
    start: usize,
    end: usize,
    to: SocketAddrV4,
}

/// A received datagram.
pub struct Datagram<'a> {
    /// Sender.
    pub from: SocketAddr,
    /// Payload, in its buffer.
    pub data: &'a mut [u8],
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
        let local = socket.local_addr()?;
        Ok(Socket {
            socket: UdpSocket::from_std(socket)?,
            local,
            recv_headers: MultiHeaders::preallocate(BATCH_DATAGRAMS, None),
            send_headers: MultiHeaders::preallocate(BATCH_DATAGRAMS, None),
            buffers: vec![0; BATCH_DATAGRAMS * BUFFER_BYTES],
            received: Vec::with_capacity(BATCH_DATAGRAMS),
            queued: Vec::with_capacity(BATCH_DATAGRAMS),
        })
    }

    /// Enlarges the receive buffer, as far as the system permits.
    pub fn with_receive_buffer(self, bytes: usize) -> Socket {
        // A smaller buffer loses more of a burst; the sender is asked again.
        if let Err(error) = setsockopt(&self.socket, sockopt::RcvBuf, &bytes) {
            tracing::debug!(event = "receive-buffer", %error);
        }
        self
    }

    /// Returns the bound address.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Waits for datagrams, reads a batch of them and returns their number. Cancel safe.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub async fn recv(&mut self) -> io::Result<usize> {
        loop {
            self.socket.readable().await?;
            let fd = self.socket.as_raw_fd();
            let count = recv_batch(
                fd,
                &mut self.recv_headers,
                &mut self.buffers,
                &mut self.received,
            )?;
            // A partial batch means that the socket is empty. Its readiness is cleared, so that the
            // next datagram wakes the task.
            if count < BATCH_DATAGRAMS {
                self.clear_ready();
            }
            if count > 0 {
                return Ok(count);
            }
        }
    }

    /// Clears the runtime's readiness of the socket, which saves a read that would find it empty.
    fn clear_ready(&self) {
        let empty = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        let cleared = self.socket.try_io(Interest::READABLE, empty);
        debug_assert!(
            cleared.is_err(),
            "the closure reports that the socket is not ready"
        );
    }

    /// Returns a datagram of the last read.
    pub fn datagram(&mut self, index: usize) -> Datagram<'_> {
        let (length, from) = self.received[index];
        let start = index * BUFFER_BYTES + SERVER_HEADER_BYTES;
        Datagram {
            from,
            data: &mut self.buffers[start..start + length],
        }
    }

    /// Queues a datagram of the last read for `to`, prefixed with `header`.
    pub fn queue_forward(
        &mut self,
        index: usize,
        header: [u8; SERVER_HEADER_BYTES],
        to: SocketAddrV4,
    ) {
        let start = index * BUFFER_BYTES;
        self.buffers[start..start + SERVER_HEADER_BYTES].copy_from_slice(&header);
        let end = start + SERVER_HEADER_BYTES + self.received[index].0;
        self.queued.push(Outgoing { start, end, to });
    }

    /// Queues the first `length` bytes of the buffer of a datagram of the last read for `to`.
    pub fn queue_answer(&mut self, index: usize, length: usize, to: SocketAddrV4) {
        let start = index * BUFFER_BYTES + SERVER_HEADER_BYTES;
        let end = start + length;
        self.queued.push(Outgoing { start, end, to });
    }

    /// Returns the whole buffer of a datagram of the last read, to write an answer to.
    pub fn buffer_mut(&mut self, index: usize) -> &mut [u8] {
        let start = index * BUFFER_BYTES + SERVER_HEADER_BYTES;
        &mut self.buffers[start..start + DATAGRAM_BYTES]
    }

    /// Sends the queued datagrams. Datagrams that cannot be sent without blocking are dropped.
    ///
    /// Returns the number of dropped datagrams.
    pub fn flush(&mut self) -> usize {
        let fd = self.socket.as_raw_fd();
        let mut handled = 0;
        let mut lost = 0;
        while handled < self.queued.len() {
            let queued = &self.queued[handled..];
            let slices: Vec<[IoSlice<'_>; 1]> = queued
                .iter()
                .map(|send| [IoSlice::new(&self.buffers[send.start..send.end])])
                .collect();
            let to: Vec<Option<SockaddrIn>> = queued
                .iter()
                .map(|send| Some(SockaddrIn::from(send.to)))
                .collect();
            let none: [ControlMessage<'_>; 0] = [];
            let flags = MsgFlags::MSG_DONTWAIT;
            let sent = sendmmsg(fd, &mut self.send_headers, &slices, &to, none, flags);
            match sent.map(Iterator::count) {
                Ok(0) => break,
                Ok(count) => handled += count,
                Err(Errno::EINTR) => (),
                Err(_) => {
                    // The error applies to the first datagram only; the rest are tried again.
                    lost += 1;
                    handled += 1;
                }
            }
        }
        lost += self.queued.len() - handled;
        self.queued.clear();
        lost
    }

    /// Sends one datagram, or drops it when that would block.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub fn send(&self, to: SocketAddr, data: &[u8]) -> io::Result<()> {
        let to = SockaddrStorage::from(to);
        let sent = sendto(self.socket.as_raw_fd(), data, &to, MsgFlags::MSG_DONTWAIT);
        sent.map(drop).map_err(io::Error::from)
    }

    /// Drops all datagrams in the socket's receive buffer and returns their number.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub fn drain(&mut self) -> io::Result<usize> {
        let fd = self.socket.as_raw_fd();
        let mut dropped = 0;
        for _ in 0..DRAIN_READS_MAX {
            match recv_batch(
                fd,
                &mut self.recv_headers,
                &mut self.buffers,
                &mut self.received,
            )? {
                0 => break,
                count => dropped += count,
            }
        }
        Ok(dropped)
    }
}

/// Receives a batch without blocking and returns its size, 0 when the socket is empty or the call
/// failed for a reason that may pass.
fn recv_batch(
    fd: i32,
    headers: &mut MultiHeaders<SockaddrIn>,
    buffers: &mut [u8],
    received: &mut Vec<(usize, SocketAddr)>,
) -> io::Result<usize> {
    received.clear();
    let mut slices: Vec<[IoSliceMut<'_>; 1]> = buffers
        .chunks_mut(BUFFER_BYTES)
        .map(|buffer| [IoSliceMut::new(&mut buffer[SERVER_HEADER_BYTES..])])
        .collect();
    let flags = MsgFlags::MSG_DONTWAIT;
    let messages = match recvmmsg(fd, headers, slices.iter_mut(), flags, None) {
        Ok(messages) => messages,
        Err(Errno::EAGAIN | Errno::EINTR) => return Ok(0),
        // These say that the call itself is wrong, and would only be repeated.
        Err(error @ (Errno::EBADF | Errno::EFAULT | Errno::EINVAL | Errno::ENOTSOCK)) => {
            return Err(error.into());
        }
        // Such as ICMP "port unreachable" for a datagram sent earlier, or a lack of memory. Received
        // datagrams are not affected.
        Err(error) => {
            tracing::debug!(event = "receive-failed", %error);
            return Ok(0);
        }
    };
    for message in messages {
        let from = message.address.map(SocketAddrV4::from);
        let from = from.unwrap_or(SocketAddrV4::new([0, 0, 0, 0].into(), 0));
        received.push((message.bytes, SocketAddr::V4(from)));
    }
    Ok(received.len())
}
