//! Candidate addresses: where balancers may be, according to settings and the platform.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Bound;

/// A bounded set of candidate addresses. Addresses that were never tried come first, all of them
/// are then retried round-robin.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    all: BTreeSet<SocketAddr>,
    untried: Vec<SocketAddr>,
    last_returned: Option<SocketAddr>,
}

impl Candidates {
    /// Adds addresses until `limit` addresses are known. The rest is ignored.
    pub(crate) fn extend(&mut self, addresses: Vec<SocketAddr>, limit: usize) {
        for address in addresses {
            if self.all.len() < limit && self.all.insert(address) {
                self.untried.push(address);
            }
        }
    }

    /// Removes and returns an address that was never tried.
    pub(crate) fn pop_untried(&mut self) -> Option<SocketAddr> {
        self.untried.pop()
    }

    /// Returns the next address in round-robin order.
    pub(crate) fn next(&mut self) -> Option<SocketAddr> {
        let after = self.last_returned.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.all.range((after, Bound::Unbounded)).next();
        self.last_returned = next.or_else(|| self.all.first()).copied();
        self.last_returned
    }

    /// Returns the number of known addresses.
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }
}
