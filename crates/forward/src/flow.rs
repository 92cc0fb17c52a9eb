//! Flows that this balancer opened: where their copies go, and how many are open at each server.
//!
//! Only what an opening packet needs is kept; packets of an open flow find their server by token. An
//! entry lives until the caller ends the flow or the flow has been idle for a while. When the table
//! is full, further flows are forwarded without an entry.

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

/// Most flows that are kept. At the size that is built towards a balancer opens 91 flows a second
/// and holds 11,600.
pub const FLOWS_MAX: usize = 65_536;
/// Time after its last opening packet in which a caller may still open a flow: it gives up after
/// 1.4 s, and its copies come 600 ms after the first at the latest.
pub const OPENING: Span = Span::millis(1_500);
/// Time without a packet after which a flow no longer counts as load. A caller that waits for its
/// answer sends nothing, for a second or so even at a server that is slow and has a queue.
pub const IDLE: Span = Span::secs(2);

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The service address.
    pub service: SocketAddrV4,
}

/// What happened to a flow so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No packet has shown that the server answered.
    Opening,
    /// The server has answered.
    Open,
}

/// What the choice of a server was made from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Backend servers that could be chosen.
    pub candidates: u16,
    /// Flows open at the chosen one, as this balancer knew.
    pub open: u16,
    /// Age of the oldest report of a peer that was counted in.
    pub age: Span,
}

/// One flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Its backend server.
    pub server: key::Server,
    /// How far it is.
    pub phase: Phase,
    /// When its first opening packet came.
    pub since: Time,
    /// When it was last given to a server.
    pub sent: Time,
    /// When its last packet came.
    pub seen: Time,
    /// Servers that it was given to before, without an answer.
    pub moves: u8,
    /// Whether its first data was seen.
    pub is_told: bool,
    /// What the choice was made from.
    pub basis: Basis,
}

/// The flows.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    map: HashMap<Id, Flow, BuildHasherDefault<Mix>>,
    /// Each flow once, with when to look at it next, in the order in which they were added.
    due: VecDeque<(Time, Id)>,
}

impl Id {
    /// Returns a hash of both ends, the same on every balancer.
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

/// Takes the hash of an `Id` as it is.
#[derive(Clone, Copy, Debug, Default)]
struct Mix(u64);

impl Hasher for Mix {
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
    fn due(&self) -> Time {
        match self.phase {
            Phase::Opening => self.sent + OPENING,
            Phase::Open => self.seen + IDLE,
        }
    }
}

impl Flows {
    /// Returns how many flows are kept.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns whether no flow is kept.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Returns a flow.
    pub fn get(&self, id: Id) -> Option<&Flow> {
        self.map.get(&id)
    }

    /// Returns a flow for a change.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut Flow> {
        self.map.get_mut(&id)
    }

    /// Adds a flow that is not kept yet. Returns whether there was room.
    pub fn insert(&mut self, id: Id, flow: Flow) -> bool {
        if self.due.len() >= FLOWS_MAX {
            return false;
        }
        let old = self.map.insert(id, flow);
        assert!(old.is_none(), "a flow is added once");
        self.due.push_back((flow.due(), id));
        true
    }

    /// Removes a flow.
    pub fn remove(&mut self, id: Id) -> Option<Flow> {
        self.map.remove(&id)
    }

    /// Removes all flows.
    pub fn clear(&mut self) -> Vec<Flow> {
        let ids = std::mem::take(&mut self.due).into_iter().map(|(_, id)| id);
        // In the order in which they were added: that of the map is not the same in every run.
        ids.filter_map(|id| self.map.remove(&id)).collect()
    }

    /// Removes the next flow that is over by `now`.
    pub fn expire(&mut self, now: Time) -> Option<(Id, Flow)> {
        // Each entry is looked at once a call: one that is put back is due later than `now`.
        while self.due.front().is_some_and(|(due, _)| *due <= now) {
            let (_, id) = self.due.pop_front()?;
            let Some(flow) = self.map.get(&id) else {
                continue;
            };
            let due = flow.due();
            if due > now {
                self.due.push_back((due, id));
                continue;
            }
            return self.map.remove(&id).map(|flow| (id, flow));
        }
        None
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} > {}", self.caller, self.service)
    }
}
