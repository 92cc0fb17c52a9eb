//! Serving of snapshots: whom to send one, and what to answer the others.
//!
//! Two balancers are sent a snapshot at a time. The answer to others says when to ask again, and whom:
//! this balancer or one of those that are being sent one. So snapshots spread like a tree, and each
//! of its balancers serves a few others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use super::BUSY_WAIT_MAX;

/// The number of balancers that are sent a snapshot at a time.
pub const TRANSFERS_MAX: usize = 2;
/// The most that a host sends of snapshots if its link is not known: half of a tenth of the common
/// link, and all of the slowest one.
pub const DEFAULT_BYTES_PER_S: u64 = 10_000_000 / 8;
/// The part of a known link that snapshots may take, as a divisor. The rest is for callers.
const LINK_PART: u64 = 4;
/// The additional time of a transfer: the round trip and the period in which fragments are sent.
const TRANSFER_MARGIN: Span = Span::millis(50);
/// How long a balancer that asked before there was a snapshot is remembered. It asks several others
/// in the meantime.
const WAITING_LIFETIME: Span = Span::millis(700);
/// How long the choice of a reader lasts: a listing on the slowest link, and the two ticks around it.
const READER_LIFETIME: Span = Span::millis(1_000);
/// Bounds the number of these balancers: those of the largest domain.
const WAITING_MAX: usize = 64;

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send a snapshot.
    Snapshot,
    /// Ask again after this time: the named peer, or this balancer.
    Busy(Span, Option<SocketAddr>),
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    to: SocketAddr,
    until: Time,
}

/// The state of serving.
#[derive(Clone, Debug, Default)]
pub struct Server {
    transfers: Vec<Transfer>,
    /// The balancers that asked while there was no snapshot, and when.
    waiting: Vec<(SocketAddr, Time)>,
    /// The balancer of each failure domain that reads the platform for those that start with it, and
    /// when it was chosen.
    readers: BTreeMap<String, (SocketAddr, Time)>,
    /// The number of `busy` answers, which selects the peer that the next one names.
    referrals: usize,
}

/// Returns the rate at which a host may send snapshots, in bytes per second. `link` is the rate of
/// its link in bytes per second, if known.
pub fn rate(link: Option<u64>) -> u64 {
    link.map_or(DEFAULT_BYTES_PER_S, |link| (link / LINK_PART).max(1))
}

impl Server {
    /// Decides on a request for a snapshot of `bytes`, which is sent at `rate` bytes per second.
    pub fn answer(&mut self, now: Time, to: SocketAddr, bytes: usize, rate: u64) -> Answer {
        self.transfers.retain(|transfer| transfer.until > now);
        // Whoever asks again has not received the snapshot.
        self.transfers.retain(|transfer| transfer.to != to);
        if self.transfers.len() < TRANSFERS_MAX {
            let sent = bytes as u64 * TRANSFERS_MAX as u64 * 1_000_000 / rate.max(1);
            let until = now + Span(sent) + TRANSFER_MARGIN;
            self.transfers.push(Transfer { to, until });
            return Answer::Snapshot;
        }
        let places = self.transfers.len() + 1;
        let named = self.transfers.get(self.referrals % places);
        self.referrals += 1;
        let ends = self.transfers.iter().map(|transfer| transfer.until);
        let end = named.map(|transfer| transfer.until).or(ends.min());
        let wait = end.map_or(Span::ZERO, |end| end.since(now));
        Answer::Busy(wait.min(BUSY_WAIT_MAX), named.map(|transfer| transfer.to))
    }

    /// Returns which balancer of a failure domain reads the platform while there is no snapshot: the
    /// first one that asked. Called at seeds only, where all ask first.
    pub fn choose_reader(&mut self, now: Time, domain: &str, from: SocketAddr) -> SocketAddr {
        if let Some(&(reader, at)) = self.readers.get(domain) {
            if now.since(at) < READER_LIFETIME {
                return reader;
            }
        }
        self.readers.insert(domain.to_owned(), (from, now));
        from
    }

    /// Remembers a balancer that asks while there is no snapshot.
    pub fn record_waiting(&mut self, now: Time, from: SocketAddr) {
        self.waiting
            .retain(|&(other, at)| other != from && now.since(at) < WAITING_LIFETIME);
        if self.waiting.len() < WAITING_MAX {
            self.waiting.push((from, now));
        }
    }

    /// Returns the balancers that asked a short time ago, while there was no snapshot.
    pub fn take_waiting(&mut self, now: Time) -> Vec<SocketAddr> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let recent = waiting.filter(|&(_, at)| now.since(at) < WAITING_LIFETIME);
        recent.map(|(from, _)| from).collect()
    }
}
