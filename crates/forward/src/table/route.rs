//! Routes in force.

use base::prelude::*;
use conf::key;
use conf::object;

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Pools with their weights.
    shares: Vec<(key::Pool, u32)>,
    /// The sum of the weights.
    total: u64,
    /// Urgency of its requests. 0 is the most urgent.
    pub priority: u8,
    /// Time after which callers no longer wait for a response.
    pub timeout: Span,
    /// Time within which callers want a response.
    pub target: Span,
    /// Kind of its requests.
    pub kind: object::Traffic,
}

impl Route {
    /// Returns the route of an object to pools with their weights.
    pub fn new(shares: Vec<(key::Pool, u32)>, object: &object::Route) -> Route {
        Route {
            total: shares.iter().map(|&(_, weight)| u64::from(weight)).sum(),
            shares,
            priority: object.priority,
            timeout: object.timeout,
            target: object.target,
            kind: object.kind,
        }
    }

    /// Returns the pool of a new flow by the flow's hash, so that every balancer selects the same
    /// pool.
    pub fn pool_for(&self, flow: u64) -> Option<key::Pool> {
        let mut offset = flow.checked_rem(self.total)?;
        for &(pool, weight) in &self.shares {
            if offset < u64::from(weight) {
                return Some(pool);
            }
            offset -= u64::from(weight);
        }
        unreachable!("the weights of a route add up to its total")
    }

    /// Returns whether some new flows go to a pool.
    pub fn leads_to(&self, pool: key::Pool) -> bool {
        let mut shares = self.shares.iter();
        shares.any(|&(share, weight)| share == pool && weight > 0)
    }
}
