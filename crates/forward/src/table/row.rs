//! Backend servers in force.

use std::fmt;
use std::net::SocketAddrV4;

use base::prelude::*;
use conf::key;
use conf::object;
use conf::place::Place;

use crate::cold::Tenure;
use crate::flow::Flow;
use crate::health::Health;
use crate::loss::Losses;
use crate::packet::Target;
use crate::table::MISSING_ENTRY_GRACE;
use crate::token::Mark;

/// The state of a backend server on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes new flows.
    Ready,
    /// It is draining: it keeps its flows and takes no new ones.
    Draining,
    /// Its entry disappeared at this time without a drain.
    Missing(Time),
    /// Its entry stayed missing, and it stopped taking flows at this time.
    Lapsed(Time),
    /// It drained, and its entry was removed at this time.
    Gone(Time),
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// The identity in the header of forwarded packets.
    pub identity: u64,
    /// The mark in route tokens.
    pub mark: Mark,
    /// The address that takes its packets.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: key::Domain,
    /// Its pool; `None` if its entry names none.
    pub pool: Option<key::Pool>,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Its state on the platform.
    pub status: Status,
    /// Place of the last change of its entry.
    pub version: u64,
    /// Uid of its entry: lower for one that was created earlier.
    pub uid: u32,
    /// When its slow start ends.
    pub cold_until: Time,
    /// When a cold server may receive its next flow.
    pub next_cold_flow_at: Time,
    /// This balancer's ownership of it while it is cold.
    pub tenure: Tenure,
    /// Whether another server has the same mark and owns it, so that no flow is opened here.
    pub is_shadowed: bool,
    /// Sequence number of the last listing that contained it.
    pub listing_seq: u64,
    /// The number of flows that this balancer has open there.
    pub open_flows: u32,
    /// The number of these that have a request under way.
    pub requests: u32,
    /// Its lost and answered requests at this balancer.
    pub losses: Losses,
    /// Its health as seen from unanswered packets and checks.
    pub health: Health,
}

impl Row {
    /// Returns the target of its packets.
    pub fn target(&self) -> Target {
        Target {
            identity: self.identity,
            address: self.address,
        }
    }

    /// Returns the properties that indexes depend on: its pool, and whether it is present.
    pub(crate) fn index_key(&self) -> (Option<key::Pool>, bool) {
        (self.pool, self.is_present())
    }

    /// Records the version of its entry, and the remaining time of slow start that a new one states.
    pub(crate) fn set_version(&mut self, now: Time, meta: &object::Meta, cold: Span) {
        if self.version == meta.version {
            return;
        }
        let is_same_era = Place::from(self.version).era() == Place::from(meta.version).era();
        // The copy from which a store was restored may have an entry of before a cold restart.
        let earliest = if is_same_era { now } else { self.cold_until };
        self.cold_until = earliest.max(now + cold);
        self.version = meta.version;
        self.uid = meta.uid;
    }

    /// Counts a flow of this balancer.
    pub(crate) fn add_flow(&mut self, flow: &Flow) {
        self.open_flows += 1;
        self.requests += u32::from(flow.is_busy);
    }

    /// Stops counting a flow of this balancer.
    pub(crate) fn remove_flow(&mut self, flow: &Flow) {
        self.open_flows -= 1;
        self.requests -= u32::from(flow.is_busy);
    }

    /// Returns whether it may still be running.
    pub fn is_present(&self) -> bool {
        !matches!(self.status, Status::Gone(_))
    }

    /// Returns whether it takes new flows according to the platform.
    pub fn is_accepting(&self, now: Time) -> bool {
        match self.status {
            Status::Ready => !self.is_shadowed,
            Status::Missing(since) => !self.is_shadowed && now.since(since) < MISSING_ENTRY_GRACE,
            Status::Draining | Status::Lapsed(_) | Status::Gone(_) => false,
        }
    }

    /// Returns whether its entry has lapsed and it is not suspected, so that it may still serve.
    pub fn is_lapsed_but_responsive(&self) -> bool {
        matches!(self.status, Status::Lapsed(_)) && !self.is_shadowed && !self.health.is_suspected()
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} at {} in {}",
            self.name, self.mark, self.address, self.domain
        )?;
        match self.pool {
            Some(pool) => write!(f, " {pool}")?,
            None => f.write_str(" no pool")?,
        }
        write!(
            f,
            " v{} open {} busy {} {}: ",
            Place::from(self.version).revision(),
            self.open_flows,
            self.requests,
            self.health
        )?;
        match self.status {
            Status::Ready => f.write_str("ready"),
            Status::Draining => f.write_str("draining"),
            Status::Missing(since) => write!(f, "missing since {since}"),
            Status::Lapsed(since) => write!(f, "lapsed since {since}"),
            Status::Gone(since) => write!(f, "gone since {since}"),
        }
    }
}
