//! The links of the balancers' hosts: frames that do not fit a datagram are sent in fragments, some
//! at each tick, and listings take the time that the link needs.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;
use forward::prelude::*;
use forward::startup::serve;
use forward::tick;
use wire::frame::Frame;

use super::Simulation;
use super::Task;

/// The payload of a fragment, in bytes.
const FRAGMENT_BYTES: u64 = 1_150;
/// The bytes of a server in a listing of the store.
const LISTED_BYTES: u64 = 330;
/// The most fragments that one peer is sent in a tick.
const PEER_FRAGMENTS: usize = 13;

/// The links of all hosts, and what they sent.
#[derive(Debug, Default)]
pub(crate) struct Links {
    /// The rate of each host's link, in bytes per second. Others are not known to their balancer,
    /// and not limited.
    pub(crate) rates: BTreeMap<usize, u64>,
    /// The bytes that each balancer sent to peers.
    pub(crate) sent: BTreeMap<usize, usize>,
    /// The frames that are being sent in fragments, by balancer.
    queues: BTreeMap<usize, VecDeque<Transfer>>,
    /// The number of snapshots that were sent.
    pub(crate) snapshots: usize,
    /// The bytes of the last snapshot.
    pub(crate) snapshot_bytes: usize,
}

/// The host of a balancer with a link of known capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Host {
    /// The rate of the link, in Mbit/s.
    pub(crate) mbps: f64,
    /// The part of the link that other packets take, in percent.
    pub(crate) background_percent: u64,
    /// The bytes that were sent on the link.
    pub(crate) bytes: u64,
}

impl Host {
    pub(crate) fn new(mbps: f64) -> Host {
        Host {
            mbps,
            ..Host::default()
        }
    }

    pub(super) fn capacity(&self) -> forward::host::Capacity {
        forward::host::Capacity::default().with_link_mbps(self.mbps)
    }
}

#[derive(Debug)]
struct Transfer {
    to: usize,
    frame: Box<Frame>,
    fragments_left: u64,
}

impl Links {
    /// Returns the balancer that is sending another one a frame in fragments.
    pub(crate) fn sender_to(&self, to: usize) -> Option<usize> {
        let mut queues = self.queues.iter();
        let found = queues.find(|(_, queue)| queue.iter().any(|transfer| transfer.to == to));
        found.map(|(sender, _)| *sender)
    }
}

impl Simulation {
    /// Counts a frame, and queues it if it does not fit a datagram. Returns whether it was queued.
    pub(super) fn queue_frame(&mut self, balancer: usize, to: usize, frame: &Frame) -> bool {
        let Some(links) = &mut self.links else {
            return false;
        };
        let bytes = postcard::to_allocvec(frame).expect("frames can be encoded");
        let mut length = bytes.len() as u64;
        if let wire::frame::Body::Snapshot(snapshot) = &frame.body {
            links.snapshots += 1;
            links.snapshot_bytes = snapshot.objects.len();
        } else if length > FRAGMENT_BYTES {
            // What compression leaves of objects, about.
            length = length.div_ceil(3);
        }
        *links.sent.entry(balancer).or_default() += length as usize;
        if length <= FRAGMENT_BYTES {
            return false;
        }
        let queue = links.queues.entry(balancer).or_default();
        queue.push_back(Transfer {
            to,
            frame: Box::new(frame.clone()),
            fragments_left: length.div_ceil(FRAGMENT_BYTES),
        });
        if queue.len() == 1 {
            let incarnation = self.balancers[balancer].incarnation;
            self.schedule(tick::PERIOD, Task::SendFragments(balancer, incarnation));
        }
        true
    }

    pub(super) fn send_fragments(&mut self, balancer: usize, incarnation: u32) {
        let Some(links) = &mut self.links else {
            return;
        };
        let queue = links.queues.entry(balancer).or_default();
        if self.balancers[balancer].incarnation != incarnation {
            return queue.clear();
        }
        let rate = serve::rate(links.rates.get(&balancer).copied());
        let mut budget = rate * tick::PERIOD.0 / 1_000_000 / FRAGMENT_BYTES;
        let mut sent: BTreeMap<usize, usize> = BTreeMap::new();
        let (mut done, mut skipped) = (Vec::new(), 0);
        while budget > 0 && skipped < queue.len() {
            let Some(mut transfer) = queue.pop_front() else {
                break;
            };
            let count = sent.entry(transfer.to).or_default();
            if *count >= PEER_FRAGMENTS {
                skipped += 1;
                queue.push_back(transfer);
                continue;
            }
            (skipped, budget, *count) = (0, budget - 1, *count + 1);
            transfer.fragments_left -= 1;
            match transfer.fragments_left {
                0 => done.push((transfer.to, transfer.frame)),
                _ => queue.push_back(transfer),
            }
        }
        let is_empty = queue.is_empty();
        let from = balancer;
        let here = self.balancers[balancer].domain;
        for to in sent.into_keys() {
            if !self.is_frame_blocked(from, to) {
                let wait = self.link_latency(here, self.balancers[to].domain);
                self.schedule(wait, Task::Fragment { to, from });
            }
        }
        for (to, frame) in done {
            if !self.is_frame_blocked(from, to) {
                let wait = self.link_latency(here, self.balancers[to].domain);
                self.schedule(wait, Task::Frame { to, from, frame });
            }
        }
        if !is_empty {
            self.schedule(tick::PERIOD, Task::SendFragments(balancer, incarnation));
        }
    }

    fn is_frame_blocked(&self, from: usize, to: usize) -> bool {
        let (here, there) = (self.balancers[from].domain, self.balancers[to].domain);
        let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        is_isolated || self.is_link_blocked(here, there)
    }

    pub(super) fn receive_fragment(&mut self, to: usize, from: usize) {
        let peer = super::peer_address(from);
        self.step_balancer(to, Event::Fragment(peer));
    }

    /// Returns the time that a listing takes on the host's link.
    pub(super) fn listing_time(&self, balancer: usize, objects: usize) -> Span {
        let rate = self
            .links
            .as_ref()
            .and_then(|links| links.rates.get(&balancer));
        let bytes = objects as u64 * LISTED_BYTES;
        rate.map_or(Span::ZERO, |rate| Span(bytes * 1_000_000 / rate))
    }
}
