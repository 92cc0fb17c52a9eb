//! The distribution tree of platform objects.
//!
//! One balancer of the deployment, the reader, keeps the watches. It publishes updates to its own
//! failure domain and to one balancer of each other domain, the relay, which forwards them to its
//! domain. A balancer that receives no updates in time reads the platform itself and publishes the
//! result to its domain. The time-outs of a domain's balancers are staggered by rank, so that a
//! domain which is partitioned, or whose relay the platform refuses, costs the platform one reader.

use std::collections::BTreeMap;

use base::prelude::*;
use member::Group;
use strum::Display;

/// The shortest period of watermarks, which state up to which revision a balancer is complete.
pub const WATERMARK_PERIOD_MIN: Span = Span::millis(150);
/// The time that each balancer of the largest domain adds to the watermark period, so that
/// watermarks take at most half of the control bandwidth.
pub const WATERMARK_PERIOD_PER_PEER: Span = Span::millis(5);
/// The number of missed watermarks after which the first balancer of a domain reads the platform
/// itself.
const MISSED_WATERMARKS: u64 = 3;
/// The number of further missed watermarks for each balancer of lower rank in the domain.
const WATERMARKS_PER_RANK: u64 = 2;
/// The rank from which the time-out no longer grows, since changes have to be in force within
/// seconds.
const RANK_MAX: u64 = 4;

/// A balancer's place in the distribution tree.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum Tier {
    /// It reads the platform for the deployment.
    Reader,
    /// It forwards the reader's updates to its failure domain.
    Relay,
    /// It receives updates.
    #[strum(serialize = "listener")]
    Follower,
}

/// A balancer's place in the distribution tree, and its periods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Role {
    /// The place in the tree.
    pub tier: Tier,
    /// The period of watermarks.
    pub watermark_period: Span,
    /// The number of live balancers of the domain with a lower incarnation.
    pub rank: u64,
}

impl Role {
    /// Returns the role of the local balancer of a group.
    pub fn new(group: &Group) -> Role {
        let me = group.local();
        let mut sizes: BTreeMap<&str, u64> = BTreeMap::new();
        for member in group.members().filter(|member| member.state.is_live()) {
            *sizes.entry(member.domain.as_str()).or_default() += 1;
        }
        let largest = sizes.values().copied().max().unwrap_or_default();
        // The reporter is the balancer of a domain with the lowest incarnation, preferably one that
        // may own backend servers. It is the domain's relay; the reader is the lowest of all
        // reporters whose domains are not partitioned from here.
        let reporter = group.reporter(&me.domain);
        let reachable = sizes.keys().filter(|domain| !group.is_partitioned(domain));
        let reader = reachable.filter_map(|domain| group.reporter(domain)).min();
        let tier = match reporter == Some(me.incarnation) {
            true if reader == reporter => Tier::Reader,
            true => Tier::Relay,
            false => Tier::Follower,
        };
        Role {
            tier,
            watermark_period: Span(WATERMARK_PERIOD_MIN.0 + WATERMARK_PERIOD_PER_PEER.0 * largest),
            rank: rank(group),
        }
    }

    /// Returns the time without updates after which a balancer reads the platform itself.
    pub fn update_timeout(self) -> Span {
        let watermarks = MISSED_WATERMARKS + WATERMARKS_PER_RANK * self.rank.min(RANK_MAX);
        Span(self.watermark_period.0 * watermarks + WATERMARK_PERIOD_MIN.0)
    }
}

/// Returns the number of live balancers of the local one's failure domain with a lower incarnation.
pub fn rank(group: &Group) -> u64 {
    let me = group.local();
    // Members are ordered by incarnation.
    let local = group.alive_in(&me.domain);
    let lower = local.take_while(|member| member.incarnation < me.incarnation);
    lower.count() as u64
}

impl Default for Role {
    /// Returns the role of a balancer without peers.
    fn default() -> Role {
        Role {
            tier: Tier::Reader,
            watermark_period: WATERMARK_PERIOD_MIN,
            rank: 0,
        }
    }
}
