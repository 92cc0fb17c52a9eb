//! What the event loop sends besides forwarded packets: resets, and frames to peers.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use base::prelude::*;
use wire::frame::Frame;

use super::Loop;
use super::Shell;
use crate::metric::Transport;
use crate::packets::batch::DATAGRAM_BYTES;
use crate::packets::fragment;

impl<C: forward::codec::Codec, S> Loop<C, S> {
    /// Sends a caller a reset that answers no packet just received.
    pub(super) fn send_reset(&mut self, head: &forward::packet::Head) {
        let Shell {
            entry,
            codec,
            metric,
            ..
        } = &self.shell;
        let mut buffer = [0; DATAGRAM_BYTES];
        let length = codec.write_reset(head, &mut buffer);
        metric.count_drops(Code::ServerGone, 1);
        self.outlet.record(length);
        self.outlet.remove_flow(head);
        let to = SocketAddrV4::new(*head.caller.ip(), entry.local().port());
        if let Err(error) = entry.send(to.into(), &buffer[..length]) {
            // The caller's next packet is answered with a reset too.
            tracing::debug!(event = "send-failed", %to, %error);
        }
    }
}

impl<C, S> Loop<C, S> {
    /// Sends a frame. A frame that does not fit a datagram is queued as fragments.
    pub(super) fn send_frame(&mut self, to: SocketAddr, frame: &Frame) {
        self.frame_id = self.frame_id.wrapping_add(1);
        let mut datagrams = fragment::split_frame(frame, self.frame_id);
        match datagrams.len() {
            0 => tracing::warn!(event = "frame-too-long", %to),
            1 => self.send_datagram(to, &datagrams.remove(0)),
            _ if self.send_queue.push(to, datagrams) => (),
            _ => tracing::warn!(event = "frame-left-out", %to),
        }
    }

    /// Sends queued fragments, up to the limit for one tick.
    pub(super) fn send_queued_fragments(&mut self) {
        let limit = fragment::tick_fragments(self.reducer.snapshot_rate());
        for (to, bytes) in self.send_queue.take(limit) {
            self.send_datagram(to, &bytes);
        }
    }

    fn send_datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.shell
            .metric
            .count_sent_frame(Transport::Datagram, bytes.len());
        self.outlet.record(bytes.len());
        if let Err(error) = self.shell.peers.send(to, bytes) {
            // No retry here: state that a lost frame carried is sent again by the reducer.
            tracing::debug!(event = "send-failed", %to, %error);
        }
    }
}
