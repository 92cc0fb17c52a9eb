//! Opening packets whose callers may have given up.
//!
//! Packets queue at a balancer that starts, is paused or stalls. Callers give up after 1.4 s, and
//! nobody acknowledges the answer to the opening packet of such a caller. That its flow does not
//! open says nothing about the server. A caller that still waits sends a copy.

use std::collections::VecDeque;

use base::prelude::*;
use conf::key;

/// The time between two events from which the event loop has stalled. Ticks come every 25 ms.
pub const STALL_MIN: Span = Span::millis(100);
/// How long after a start, pause or stall packets may have queued. A caller that still waits sends
/// its first copy within this time.
pub const PERIOD: Span = Span::millis(200);
/// The time within which lost openings have a common cause: requests of opening flows end after it.
const COMMON_WINDOW: Span = Span::millis(100);
/// The number of servers of a failure domain that lose openings from which the domain counts. One may
/// have failed by itself.
const COMMON_SERVERS_MIN: usize = 2;
/// Bounds the lost openings that are kept.
const LOST_MAX: usize = 256;

/// Whether packets may have queued before they were read.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    last_event_at: Time,
    until: Time,
}

impl Backlog {
    /// Returns the backlog of a process that starts.
    pub fn new(now: Time) -> Backlog {
        Backlog {
            last_event_at: now,
            until: now + PERIOD,
        }
    }

    /// Records an event of any kind. A gap since the last one means that packets have queued.
    pub fn record_event(&mut self, now: Time) {
        if now.since(self.last_event_at) > STALL_MIN {
            self.begin(now);
        }
        self.last_event_at = now;
    }

    /// Records that reading begins, or begins again.
    pub fn begin(&mut self, now: Time) {
        self.until = now + PERIOD;
    }

    /// Returns whether a packet that is read now may have queued.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.until
    }
}

/// The recent openings that were lost without a copy.
#[derive(Clone, Debug, Default)]
pub struct Lost {
    recent: VecDeque<(Time, key::Domain, key::Server)>,
}

impl Lost {
    /// Records an opening that a server left without an answer and that its caller did not repeat.
    pub fn record(&mut self, now: Time, domain: key::Domain, server: key::Server) {
        let is_old = |&(at, ..): &(Time, key::Domain, key::Server)| now.since(at) > COMMON_WINDOW;
        while self.recent.front().is_some_and(is_old) || self.recent.len() >= LOST_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back((now, domain, server));
    }

    /// Returns whether servers of several failure domains have lost openings at the same moment, so
    /// that the cause is the callers' or this balancer's.
    pub fn is_common(&self, now: Time) -> bool {
        let recent = self.recent.iter();
        let recent = recent.filter(|(at, ..)| now.since(*at) <= COMMON_WINDOW);
        let mut servers: Vec<(key::Domain, key::Server)> = recent
            .map(|&(_, domain, server)| (domain, server))
            .collect();
        servers.sort_unstable();
        servers.dedup();
        let chunks = servers.chunk_by(|one, other| one.0 == other.0);
        chunks
            .filter(|chunk| chunk.len() >= COMMON_SERVERS_MIN)
            .count()
            > 1
    }
}
