//! Backend servers in force.

use std::fmt;
use std::net::SocketAddrV4;

use base::prelude::*;
use conf::key;

use crate::health::Health;
use crate::packet::Target;
use crate::table::MISSING;
use crate::token::Mark;

/// What the platform says of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes new flows.
    Ready,
    /// It leaves: it keeps its flows.
    Draining,
    /// Its entry went missing at this time, without leave.
    Missing(Time),
    /// Its entry stayed away, and it was given up at this time.
    Lapsed(Time),
    /// It has left at this time.
    Gone(Time),
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// What forwarded packets name it by.
    pub identity: u64,
    /// What route tokens name it by.
    pub mark: Mark,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: key::Domain,
    /// Its pool.
    pub pool: Option<key::Pool>,
    /// Requests it runs at a time.
    pub slots: u32,
    /// What the platform says of it.
    pub standing: Standing,
    /// Revision of its entry.
    pub version: u64,
    /// Until when it is cold.
    pub cold_until: Time,
    /// When it may be given the next flow while it is cold.
    pub cold_next: Time,
    /// Another server has its mark, and comes first: no flow is opened here.
    pub is_shadowed: bool,
    /// The last time that it was listed, by number.
    pub listing: u64,
    /// Flows that this balancer holds open there.
    pub open: u32,
    /// What unanswered packets say of it.
    pub health: Health,
}

impl Row {
    /// Returns where its packets go.
    pub fn target(&self) -> Target {
        Target {
            identity: self.identity,
            address: self.address,
        }
    }

    /// Returns where indexes have it: its pool, and whether it is kept there.
    pub(crate) fn place(&self) -> (Option<key::Pool>, bool) {
        (self.pool, self.is_known())
    }

    /// Returns whether it may still be there.
    pub fn is_known(&self) -> bool {
        !matches!(self.standing, Standing::Gone(_))
    }

    /// Returns whether it takes new flows, as far as the platform says.
    pub fn is_listed(&self, now: Time) -> bool {
        match self.standing {
            Standing::Ready => !self.is_shadowed,
            Standing::Missing(since) => !self.is_shadowed && now.since(since) < MISSING,
            Standing::Draining | Standing::Lapsed(_) | Standing::Gone(_) => false,
        }
    }

    /// Returns whether it was given up for its entry alone, and answers as far as is known.
    pub fn is_lapsed_and_well(&self) -> bool {
        matches!(self.standing, Standing::Lapsed(_))
            && !self.is_shadowed
            && !self.health.is_suspect()
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
        write!(f, " v{} open {} {}: ", self.version, self.open, self.health)?;
        match self.standing {
            Standing::Ready => f.write_str("ready"),
            Standing::Draining => f.write_str("draining"),
            Standing::Missing(since) => write!(f, "missing since {since}"),
            Standing::Lapsed(since) => write!(f, "lapsed since {since}"),
            Standing::Gone(since) => write!(f, "gone since {since}"),
        }
    }
}
