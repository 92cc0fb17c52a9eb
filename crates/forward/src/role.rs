//! The distribution tree of platform objects.
//!
//! One balancer of the deployment, the reader, keeps the watches. It publishes updates to its own
//! failure domain and to one balancer of each other domain, the relay, which forwards them to its
//! domain. A balancer whose peers publish no recent state reads the platform itself and publishes the
//! result to its domain. What counts is when the platform confirmed that state, however many
//! balancers have passed it on and however often. The age at which a domain's balancers read is
//! staggered by rank, so that a domain which is partitioned, or whose relay the platform refuses,
//! costs the platform one reader.

use std::collections::BTreeMap;

use base::prelude::*;
use member::Group;
use strum::Display;

/// The shortest period of watermarks, which state up to which revision a balancer is complete.
pub const WATERMARK_PERIOD_MIN: Span = Span::millis(150);
/// The time that each balancer of the largest domain adds to the watermark period, so that
/// watermarks take at most half of the control bandwidth.
pub const WATERMARK_PERIOD_PER_PEER: Span = Span::millis(5);
/// Bounds the age of the heartbeat feed's confirmation of which watermarks are published: the
/// heartbeat watch, the time-out of a lost answer and the read that follows it.
pub const WATERMARK_AGE_MAX: Span = Span::millis(1_500);
/// The rank from which the age at which a balancer reads no longer grows. With the time-out of one
/// lost answer, a change is in force within 3 s on the last balancer of a domain of five, also if the
/// platform refuses all others.
const RANK_MAX: u64 = 3;

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

    /// Returns the age of the state that peers publish from which a balancer reads the platform
    /// itself: that up to which the reader publishes it, one watermark period until it arrives, and
    /// one for each balancer of the domain that reads before this one.
    pub fn peer_state_age_max(self) -> Span {
        let periods = 1 + self.rank.min(RANK_MAX);
        Span(WATERMARK_AGE_MAX.0 + self.watermark_period.0 * periods)
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
