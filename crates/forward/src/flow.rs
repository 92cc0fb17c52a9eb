//! The bounded table of flows that this balancer opened, with the server and the state of each.
//!
//! Only the handling of opening packets, the load count and failure detection need an entry;
//! packets of an open flow find their server by token. An entry lives until the caller ends the
//! flow or the flow is idle for `IDLE_TIMEOUT`; the next data of its caller adds it again. When the
//! table is full, further flows are forwarded without an entry.
//!
//! A request is under way from the opening packet or the caller's data until the caller
//! acknowledges the first part of the response. Requests under way are the load of a server: flows
//! may stay open for long between two requests. A balancer does not see that a server rejects a
//! flow, so a request counts only for as long as its server may take to answer.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::hash::BuildHasherDefault;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use base::hash;
use base::prelude::*;
use conf::key;

/// Bounds the number of flows in the table. At the target deployment size a balancer opens 91 flows
/// per second and holds 11,600.
pub const FLOWS_MAX: usize = 65_536;
/// How long a flow without an answer is kept after its last opening packet. A caller gives up after
/// 1.4 s, and its retransmissions follow the first packet within 600 ms.
pub const OPENING_TIMEOUT: Span = Span::millis(1_500);
/// The time after an opening packet for which its request counts as under way. The caller's data
/// follows the handshake within some 10 ms, unless the server has rejected the flow.
pub const OPENING_REQUEST_TIMEOUT: Span = Span::millis(100);
/// The longest time without a packet after which a request no longer counts as under way. A caller
/// that waits for its answer sends nothing, for about a second even if the server is slow and has a
/// queue.
pub const REQUEST_TIMEOUT: Span = Span::secs(2);
/// The time without a packet after which a flow without a request under way is removed. Callers
/// pause for some seconds between two requests.
pub const IDLE_TIMEOUT: Span = Span::secs(15);

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    /// The caller's address.
    pub caller: SocketAddrV4,
    /// The service address.
    pub service: SocketAddrV4,
}

/// The phase of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No packet has shown yet that the server answered.
    Opening,
    /// The server has answered.
    Open,
}

/// The data behind the selection of a server, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// The number of backend servers that could be selected.
    pub candidates: u16,
    /// The number of requests under way at the selected one, as known here.
    pub open: u16,
    /// The age of the oldest load report that was counted.
    pub age: Span,
}

/// A flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Its backend server.
    pub server: key::Server,
    /// Its phase.
    pub phase: Phase,
    /// When its first opening packet arrived.
    pub opened_at: Time,
    /// When its opening packet was last forwarded, apart from duplicates that the network made.
    pub opening_sent_at: Time,
    /// When its last packet arrived.
    pub last_seen: Time,
    /// Whether a request is under way.
    pub is_busy: bool,
    /// The time without a packet after which its request no longer counts as under way.
    pub request_timeout: Span,
    /// Whether an answer to the caller's latest data is due, whether or not it still counts as under
    /// way.
    pub awaits_answer: bool,
    /// Whether that data was forwarded more than once, so that its answer is no sample of the
    /// service time.
    pub is_resent: bool,
    /// The number of other requests at the server when that data was forwarded.
    pub ahead: u32,
    /// Whether `Flows::request_queue` has an entry for it.
    is_queued: bool,
    /// The position of the caller's latest data in its stream.
    pub data_seq: u32,
    /// When that data was last forwarded.
    pub data_sent_at: Time,
    /// The position up to which the caller has received the server's stream.
    pub ack: u32,
    /// The number of servers that it was assigned to before without an answer.
    pub moves: u8,
    /// Whether its first data has been logged as a request.
    pub has_logged_request: bool,
    /// Whether its opening packet may have queued for so long that its caller has given up.
    pub is_backlog: bool,
    /// The data behind the selection of its server.
    pub basis: Basis,
    /// When its latest request started: with its opening packet, or with data after an answer.
    pub request_at: Time,
    /// When the caller last acknowledged a part of the answer to that request.
    pub answered_at: Option<Time>,
}

/// What has expired of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expired {
    /// The flow, which is no longer in the table.
    Flow(Flow),
    /// Its request. The flow remains.
    Request(Flow),
}

/// The flow table.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    map: HashMap<Id, Flow, BuildHasherDefault<IdHasher>>,
    /// Each flow once, with the time of its next expiry test, in the order of insertion.
    expiry_queue: VecDeque<(Time, Id)>,
    /// The flows with a request under way, by the time of the request's next expiry test.
    request_queue: BinaryHeap<Reverse<(Time, Id)>>,
}

impl Id {
    /// Returns a hash of both ends, which is the same on every balancer.
    pub fn hash(self) -> u64 {
        let end = |end: SocketAddrV4| u64::from(end.ip().to_bits()) << 16 | u64::from(end.port());
        hash::pair(end(self.caller), end(self.service))
    }
}

impl Hash for Id {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(Id::hash(*self));
    }
}

/// A hasher that returns the hash of an `Id` unchanged.
#[derive(Clone, Copy, Debug, Default)]
struct IdHasher(u64);

impl Hasher for IdHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = hash::pair(self.0, hash::bytes(bytes));
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

impl Flow {
    /// Returns a flow that is assigned to a server at `now`.
    pub fn new(server: key::Server, phase: Phase, now: Time) -> Flow {
        Flow {
            server,
            phase,
            opened_at: now,
            opening_sent_at: now,
            last_seen: now,
            is_busy: false,
            request_timeout: match phase {
                Phase::Opening => OPENING_REQUEST_TIMEOUT,
                Phase::Open => REQUEST_TIMEOUT,
            },
            awaits_answer: false,
            is_resent: false,
            ahead: 0,
            is_queued: false,
            data_seq: 0,
            data_sent_at: now,
            ack: 0,
            moves: 0,
            has_logged_request: false,
            is_backlog: false,
            basis: Basis::default(),
            request_at: now,
            answered_at: None,
        }
    }

    /// Sets the data behind the selection of its server.
    pub fn with_basis(mut self, basis: Basis) -> Flow {
        self.basis = basis;
        self
    }

    /// Returns whether data at a position has been forwarded before. Positions wrap around.
    pub fn is_repeated(&self, seq: u32) -> bool {
        self.data_seq.wrapping_sub(seq) < u32::MAX / 2
    }

    /// Records that the caller has received a part of the answer. Returns the time since the start
    /// of the request if it is the first part.
    pub fn record_answer(&mut self, now: Time) -> Option<Span> {
        let is_first = self.answered_at.replace(now).is_none();
        is_first.then(|| now.since(self.request_at))
    }

    /// Starts the next request. Returns how long the previous one took, if it was answered.
    pub fn start_request(&mut self, now: Time) -> Option<Span> {
        let took = self.request_time();
        self.request_at = now;
        self.answered_at = None;
        took
    }

    /// Returns the time from the start of the request to the end of its answer, as far as it has
    /// arrived.
    pub fn request_time(&self) -> Option<Span> {
        self.answered_at.map(|at| at.since(self.request_at))
    }

    fn expires_at(&self) -> Time {
        match (self.phase, self.is_busy) {
            (Phase::Opening, _) => self.opening_sent_at + OPENING_TIMEOUT,
            (Phase::Open, true) => self.request_expires_at(),
            (Phase::Open, false) => self.last_seen + IDLE_TIMEOUT,
        }
    }

    fn request_expires_at(&self) -> Time {
        match self.phase {
            Phase::Opening => self.opening_sent_at + OPENING_REQUEST_TIMEOUT,
            Phase::Open => self.last_seen + self.request_timeout,
        }
    }
}

impl Flows {
    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Returns a flow.
    pub fn get(&self, id: Id) -> Option<&Flow> {
        self.map.get(&id)
    }

    /// Returns the open flows to a server, in the order of their ids.
    pub fn open_at(&self, server: key::Server) -> Vec<(Id, Flow)> {
        let flows = self.map.iter();
        let mut open: Vec<(Id, Flow)> = flows
            .filter(|(_, flow)| flow.server == server && flow.phase == Phase::Open)
            .map(|(&id, &flow)| (id, flow))
            .collect();
        // The map's iteration order differs between runs.
        open.sort_unstable_by_key(|&(id, _)| id);
        open
    }

    /// Returns a mutable flow.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut Flow> {
        self.map.get_mut(&id)
    }

    /// Adds a flow. Returns whether there was room.
    ///
    /// # Panics
    ///
    /// Panics if the flow is in the table.
    pub fn insert(&mut self, id: Id, flow: Flow) -> bool {
        if self.expiry_queue.len() >= FLOWS_MAX {
            return false;
        }
        let old = self.map.insert(id, flow);
        assert!(old.is_none(), "flow is already in the table");
        let first_test = flow.expires_at().min(flow.last_seen + REQUEST_TIMEOUT);
        self.expiry_queue.push_back((first_test, id));
        self.queue_request(id);
        true
    }

    /// Queues the expiry of a flow's request, if one is under way. If there is no room, the request
    /// expires with the tests of `expiry_queue`.
    pub fn queue_request(&mut self, id: Id) {
        if self.request_queue.len() >= FLOWS_MAX {
            return;
        }
        if let Some(flow) = self.map.get_mut(&id) {
            if flow.is_busy && !flow.is_queued {
                flow.is_queued = true;
                let due = flow.request_expires_at();
                self.request_queue.push(Reverse((due, id)));
            }
        }
    }

    /// Removes a flow.
    pub fn remove(&mut self, id: Id) -> Option<Flow> {
        self.map.remove(&id)
    }

    /// Removes all flows, and returns them in the order of insertion.
    pub fn remove_all(&mut self) -> Vec<Flow> {
        self.request_queue.clear();
        let ids = std::mem::take(&mut self.expiry_queue)
            .into_iter()
            .map(|(_, id)| id);
        // The map's iteration order differs between runs, so the queue gives the order.
        ids.filter_map(|id| self.map.remove(&id)).collect()
    }

    /// Removes the next flow that has expired by `now`, or ends its request if that has expired.
    pub fn expire(&mut self, now: Time) -> Option<(Id, Expired)> {
        if let Some((id, flow)) = self.expire_request(now) {
            return Some((id, Expired::Request(flow)));
        }
        // Each call tests an entry at most once, since an entry that is put back is due after
        // `now`.
        while self
            .expiry_queue
            .front()
            .is_some_and(|(due, _)| *due <= now)
        {
            let (_, id) = self.expiry_queue.pop_front()?;
            let Some(flow) = self.map.get_mut(&id) else {
                continue;
            };
            let due = flow.expires_at();
            // Bounds the time to the next test, since the queue is in the order of insertion and a
            // flow expires sooner when a request begins.
            let next_test = now + REQUEST_TIMEOUT;
            if due > now {
                self.expiry_queue.push_back((due.min(next_test), id));
                continue;
            }
            if flow.phase == Phase::Open && flow.is_busy {
                flow.is_busy = false;
                self.expiry_queue.push_back((next_test, id));
                return Some((id, Expired::Request(*flow)));
            }
            return self.map.remove(&id).map(|flow| (id, Expired::Flow(flow)));
        }
        None
    }

    fn expire_request(&mut self, now: Time) -> Option<(Id, Flow)> {
        while let Some(&Reverse((due, id))) = self.request_queue.peek() {
            if due > now {
                return None;
            }
            self.request_queue.pop();
            // The flow may have ended, and its id may have been used again.
            let Some(flow) = self.map.get_mut(&id) else {
                continue;
            };
            flow.is_queued = false;
            if !flow.is_busy {
                continue;
            }
            let due = flow.request_expires_at();
            if due > now {
                flow.is_queued = true;
                self.request_queue.push(Reverse((due, id)));
                continue;
            }
            flow.is_busy = false;
            return Some((id, *flow));
        }
        None
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} > {}", self.caller, self.service)
    }
}
