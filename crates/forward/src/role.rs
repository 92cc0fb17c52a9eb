//! Who reads the platform for whom.
//!
//! One balancer of the whole deployment, the reader, keeps the watches. It tells its own failure
//! domain and one balancer of each other domain, the relay, which tells its domain in turn. Whoever
//! misses the word of the one above it reads for itself, and a relay then tells its domain what it
//! read, so that a domain which is cut off costs the store one reader and knows what it can.

use std::collections::BTreeMap;

use base::prelude::*;
use member::Group;
use strum::Display;

/// Shortest time between two words on how far the knowledge goes.
pub const MARK_PERIOD_MIN: Span = Span::millis(150);
/// Time added for each balancer of the largest domain, so that the words take half of the control
/// bytes at most.
pub const MARK_PERIOD_PER_PEER: Span = Span::millis(5);
/// Words that are missing when a balancer reads for itself.
const MISSING_MARKS: u64 = 3;

/// What a balancer does for others.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum Part {
    /// It reads the platform for all.
    Reader,
    /// It tells its failure domain what the reader tells.
    Relay,
    /// It is told.
    Listener,
}

/// A balancer's part, and how often words come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Role {
    /// The part.
    pub part: Part,
    /// Time between two words on how far the knowledge goes.
    pub mark_period: Span,
}

impl Role {
    /// Returns the role of the balancer that a view is of.
    pub fn new(group: &Group) -> Role {
        let me = group.me();
        let mut sizes: BTreeMap<&str, u64> = BTreeMap::new();
        for member in group.members().filter(|one| one.state.is_live()) {
            *sizes.entry(member.domain.as_str()).or_default() += 1;
        }
        let largest = sizes.values().copied().max().unwrap_or_default();
        let own = group.reporter(&me.domain);
        let reachable = sizes.keys().filter(|domain| !group.is_cut(domain));
        let reader = reachable.filter_map(|domain| group.reporter(domain)).min();
        let part = match own == Some(me.incarnation) {
            true if reader == own => Part::Reader,
            true => Part::Relay,
            false => Part::Listener,
        };
        Role {
            part,
            mark_period: Span(MARK_PERIOD_MIN.0 + MARK_PERIOD_PER_PEER.0 * largest),
        }
    }

    /// Returns the time without a word after which a balancer reads for itself.
    pub fn silence(self) -> Span {
        Span(self.mark_period.0 * MISSING_MARKS + MARK_PERIOD_MIN.0)
    }
}

impl Default for Role {
    /// Returns the role of a balancer that knows no other.
    fn default() -> Role {
        Role {
            part: Part::Reader,
            mark_period: MARK_PERIOD_MIN,
        }
    }
}
