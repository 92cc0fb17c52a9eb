//! Fragmentation of frames that do not fit a datagram.
//!
//! Such frames are compressed first, since server objects are similar to each other and small hosts
//! have little bandwidth. A frame of which a fragment is missing is lost, like any datagram; the
//! receiver requests the state again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use wire::compress;
use wire::frame::Body;
use wire::frame::Fragment;
use wire::frame::Frame;
use wire::seal;

/// Longest datagram to a peer, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;
/// Longest payload of a fragment, in bytes: with its header it fits a datagram.
const FRAGMENT_BYTES_MAX: usize = 1_150;
/// Most fragments of a frame. Enough for a routing of more than 3,000 routes.
pub const FRAGMENTS_MAX: usize = 512;
/// Longest frame before compression, in bytes.
const FRAME_BYTES_MAX: usize = FRAGMENTS_MAX * FRAGMENT_BYTES_MAX * 4;
/// Most fragments that are queued for sending.
pub const QUEUE_FRAGMENTS_MAX: usize = 2_048;
/// Most senders for which an incomplete frame is kept.
pub const SENDERS_MAX: usize = 16;

/// Returns the number of fragments to send in one tick at a rate in bytes per second.
pub fn tick_fragments(rate: u64) -> usize {
    let bytes = rate * forward::tick::PERIOD.0 / 1_000_000;
    (bytes as usize / FRAGMENT_BYTES_MAX).max(1)
}

/// Returns the datagrams that carry a frame, or none when the frame exceeds what a peer accepts.
pub fn split_frame(frame: &Frame, id: u32) -> Vec<Vec<u8>> {
    let encoded = seal::encode(frame);
    if encoded.len() <= DATAGRAM_BYTES_MAX {
        return vec![encoded];
    }
    if encoded.len() > FRAME_BYTES_MAX {
        return Vec::new();
    }
    let compressed = compress::compress(&encoded);
    let count = compressed.len().div_ceil(FRAGMENT_BYTES_MAX);
    if count > FRAGMENTS_MAX {
        return Vec::new();
    }
    let fragment = |(index, bytes): (usize, &[u8])| {
        seal::encode(&Frame {
            from: frame.from,
            body: Body::Fragment(Fragment {
                frame_id: id,
                index: index as u16,
                count: count as u16,
                bytes: Bytes::copy_from_slice(bytes),
            }),
        })
    };
    compressed
        .chunks(FRAGMENT_BYTES_MAX)
        .enumerate()
        .map(fragment)
        .collect()
}

/// Reassembles frames from their fragments. Keeps only the newest incomplete frame of each sender.
#[derive(Clone, Debug, Default)]
pub struct Reassembler {
    incomplete: BTreeMap<SocketAddr, Incomplete>,
}

#[derive(Clone, Debug)]
struct Incomplete {
    frame_id: u32,
    fragments: Vec<Option<Bytes>>,
    missing: usize,
}

impl Reassembler {
    /// Decodes a datagram from a peer and returns the frame that it completes, if any.
    ///
    /// # Errors
    ///
    /// `Malformed` when the bytes do not decode to a frame, or when a fragment is inconsistent or
    /// does not match the other fragments of its frame.
    pub fn insert_datagram(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
    ) -> Result<Option<Frame>, Code> {
        let frame = seal::decode(datagram)?;
        match frame.body {
            Body::Fragment(fragment) => self.insert_fragment(from, fragment),
            _ => Ok(Some(frame)),
        }
    }

    fn insert_fragment(
        &mut self,
        from: SocketAddr,
        fragment: Fragment,
    ) -> Result<Option<Frame>, Code> {
        let (index, count) = (usize::from(fragment.index), usize::from(fragment.count));
        if index >= count || count > FRAGMENTS_MAX || fragment.bytes.len() > FRAGMENT_BYTES_MAX {
            return Err(Code::Malformed);
        }
        self.start_frame(from, fragment.frame_id, count);
        let Some(incomplete) = self.incomplete.get_mut(&from) else {
            return Ok(None);
        };
        if incomplete.fragments.len() != count {
            return Err(Code::Malformed);
        }
        if incomplete.fragments[index]
            .replace(fragment.bytes)
            .is_none()
        {
            incomplete.missing -= 1;
        }
        if incomplete.missing > 0 {
            return Ok(None);
        }
        let complete = self.incomplete.remove(&from);
        let fragments = complete.into_iter().flat_map(|complete| complete.fragments);
        let bytes: Vec<u8> = fragments.flatten().flatten().collect();
        seal::decode(&compress::decompress(&bytes, FRAME_BYTES_MAX)?).map(Some)
    }

    /// Starts the reassembly of a frame unless it has started. Replaces an earlier frame of the
    /// sender. When there are too many senders, the one with the lowest address is evicted.
    fn start_frame(&mut self, from: SocketAddr, frame_id: u32, count: usize) {
        if self
            .incomplete
            .get(&from)
            .is_some_and(|old| old.frame_id == frame_id)
        {
            return;
        }
        if self.incomplete.len() >= SENDERS_MAX && !self.incomplete.contains_key(&from) {
            self.incomplete.pop_first();
        }
        let incomplete = Incomplete {
            frame_id,
            fragments: vec![None; count],
            missing: count,
        };
        self.incomplete.insert(from, incomplete);
    }
}
