//! The queue of fragments that wait to be sent.
//!
//! Frames to different peers are sent in turn, so that a long one does not hold up the others, and
//! no peer is sent more at a time than the buffer of its socket and the slowest link take.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use super::fragment::QUEUE_FRAGMENTS_MAX;

/// Most fragments that one peer is sent in a tick. 4.8 Mbit/s is half of the slowest link, and the
/// 52 fragments of 100 ms, for which a host may not run because of its processor quota, take little
/// more than half of the default socket buffer.
pub const PEER_TICK_FRAGMENTS_MAX: usize = 13;

/// The fragments of frames that have not been sent completely.
#[derive(Debug, Default)]
pub struct Queue {
    /// The fragments for each peer, in the order of its frames: a peer drops an incomplete frame when
    /// the next one of its sender arrives.
    peers: VecDeque<(SocketAddr, VecDeque<Vec<u8>>)>,
    fragments: usize,
}

impl Queue {
    /// Adds the fragments of a frame. Returns whether there was room.
    pub fn push(&mut self, to: SocketAddr, fragments: Vec<Vec<u8>>) -> bool {
        if self.fragments + fragments.len() > QUEUE_FRAGMENTS_MAX {
            return false;
        }
        self.fragments += fragments.len();
        match self.peers.iter_mut().find(|(peer, _)| *peer == to) {
            Some((_, queued)) => queued.extend(fragments),
            None => self.peers.push_back((to, fragments.into())),
        }
        true
    }

    /// Removes the fragments to send in a tick, at most `limit`, one for each peer in turn.
    pub fn take(&mut self, limit: usize) -> Vec<(SocketAddr, Vec<u8>)> {
        let mut taken = Vec::new();
        let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        let mut passed_over = 0;
        while taken.len() < limit && passed_over < self.peers.len() {
            let Some((to, mut queued)) = self.peers.pop_front() else {
                break;
            };
            let count = counts.entry(to).or_default();
            if *count >= PEER_TICK_FRAGMENTS_MAX {
                passed_over += 1;
                self.peers.push_back((to, queued));
                continue;
            }
            passed_over = 0;
            *count += 1;
            taken.extend(queued.pop_front().map(|fragment| (to, fragment)));
            if !queued.is_empty() {
                self.peers.push_back((to, queued));
            }
        }
        self.fragments -= taken.len();
        taken
    }
}
