//! Reachability of failure domains.

use std::collections::BTreeMap;

use base::prelude::*;

/// Reachability of one failure domain from this balancer.
#[derive(Clone, Copy, Debug, Default)]
struct Domain {
    /// When any balancer of the domain was last seen.
    last_seen: Option<Time>,
    /// The domain counts as partitioned from this balancer.
    is_partitioned: bool,
}

/// The time in which no balancer of a failure domain was seen, up to the contact that ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Outage {
    /// The domain counted as partitioned.
    pub(crate) was_partitioned: bool,
    /// Time since the contact before.
    pub(crate) length: Span,
}

/// The failure domains of all known balancers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domains(BTreeMap<String, Domain>);

impl Domains {
    /// Records contact with a balancer of the domain, and returns the outage that this ends.
    pub(crate) fn record_seen(&mut self, name: &str, now: Time) -> Outage {
        if !self.0.contains_key(name) {
            self.0.insert(name.to_owned(), Domain::default());
        }
        let Some(domain) = self.0.get_mut(name) else {
            return Outage {
                was_partitioned: false,
                length: Span::ZERO,
            };
        };
        let was_partitioned = std::mem::take(&mut domain.is_partitioned);
        let before = domain.last_seen.replace(now);
        let length = before.map_or(Span::ZERO, |before| now.since(before));
        Outage {
            was_partitioned,
            length,
        }
    }

    /// Marks the domain as partitioned. Returns whether it was not marked before.
    pub(crate) fn mark_partitioned(&mut self, name: &str) -> bool {
        let domain = self.0.entry(name.to_owned()).or_default();
        !std::mem::replace(&mut domain.is_partitioned, true)
    }

    /// Returns whether the domain counts as partitioned.
    pub(crate) fn is_partitioned(&self, name: &str) -> bool {
        self.0.get(name).is_some_and(|domain| domain.is_partitioned)
    }

    /// Returns the names of the partitioned domains.
    pub(crate) fn partitioned(&self) -> impl Iterator<Item = &str> {
        let partitioned = self.0.iter().filter(|(_, domain)| domain.is_partitioned);
        partitioned.map(|(name, _)| name.as_str())
    }

    /// Removes a domain that has no balancers left.
    pub(crate) fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }
}
