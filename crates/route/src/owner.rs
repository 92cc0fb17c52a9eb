//! Assignment of the backend servers of one failure domain to their owners, by bounded-load
//! rendezvous hashing.
//!
//! Each pair of a backend server and a balancer has a rendezvous score, and the number of servers
//! that a balancer owns is capped. Pairs are matched from the highest score down, which gives
//! exactly one result for each set of servers and balancers. Deferred acceptance (Gale-Shapley)
//! finds that result without sorting all pairs: servers propose to balancers in the order of their
//! scores, and a full balancer keeps the servers with the highest scores.

use crate::rendezvous;

/// Maximum number of backend servers that one balancer owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cap {
    /// No limit.
    Unbounded,
    /// A share of the mean, in percent, rounded up to a whole server. Shares below 100 count as
    /// 100.
    Percent(usize),
}

impl Cap {
    fn limit(self, servers: usize, balancers: usize) -> usize {
        match self {
            Cap::Unbounded => servers,
            Cap::Percent(share) => (servers * share.max(100)).div_ceil(balancers * 100),
        }
    }
}

/// The cap that `assign` applies: no balancer owns more than the mean, rounded up.
pub const CAP: Cap = Cap::Percent(100);

/// Returns the index in `balancers` of the owner of each server; `None` if there are no balancers.
///
/// `servers` holds uids and `balancers` incarnations, without duplicates. The owner of a server
/// does not depend on their order.
pub fn assign(servers: &[u64], balancers: &[u64]) -> Vec<Option<usize>> {
    assign_with_cap(servers, balancers, CAP)
}

/// Like `assign`, with the given cap.
pub fn assign_with_cap(servers: &[u64], balancers: &[u64], cap: Cap) -> Vec<Option<usize>> {
    if balancers.is_empty() {
        return vec![None; servers.len()];
    }
    let mut matching = Matching::new(servers, balancers, cap);
    for server in 0..servers.len() {
        matching.assign_server(server);
    }
    matching.owners
}

/// Score of a pair, followed by the identities, which break ties.
type Rank = (u64, u64, u64);

/// State of deferred acceptance.
struct Matching<'a> {
    servers: &'a [u64],
    balancers: &'a [u64],
    limit: usize,
    owners: Vec<Option<usize>>,
    /// Servers of each balancer, with the rank of the pair.
    owned: Vec<Vec<(Rank, usize)>>,
    /// Rank of the last pair that each server proposed.
    proposed: Vec<Option<Rank>>,
}

impl<'a> Matching<'a> {
    fn new(servers: &'a [u64], balancers: &'a [u64], cap: Cap) -> Matching<'a> {
        Matching {
            servers,
            balancers,
            limit: cap.limit(servers.len(), balancers.len()),
            owners: vec![None; servers.len()],
            owned: vec![Vec::new(); balancers.len()],
            proposed: vec![None; servers.len()],
        }
    }

    fn rank(&self, server: usize, balancer: usize) -> Rank {
        let (uid, incarnation) = (self.servers[server], self.balancers[balancer]);
        (rendezvous::score(uid, incarnation), incarnation, uid)
    }

    /// Returns the highest ranked balancer that the server has not proposed to.
    fn next_balancer(&self, server: usize) -> Option<(Rank, usize)> {
        let proposed = self.proposed[server];
        (0..self.balancers.len())
            .map(|balancer| (self.rank(server, balancer), balancer))
            .filter(|&(rank, _)| proposed.is_none_or(|proposed| rank < proposed))
            .max()
    }

    /// Finds an owner for the server and for each server that is evicted in turn.
    fn assign_server(&mut self, server: usize) {
        let mut unassigned = Some(server);
        while let Some(server) = unassigned {
            let Some((rank, balancer)) = self.next_balancer(server) else {
                return;
            };
            self.proposed[server] = Some(rank);
            self.owners[server] = Some(balancer);
            self.owned[balancer].push((rank, server));
            unassigned = self.evict(balancer);
            if let Some(evicted) = unassigned {
                self.owners[evicted] = None;
            }
        }
    }

    /// Removes the lowest ranked server from a balancer above the cap.
    fn evict(&mut self, balancer: usize) -> Option<usize> {
        let owned = &mut self.owned[balancer];
        if owned.len() <= self.limit {
            return None;
        }
        let lowest = (0..owned.len()).min_by_key(|&at| owned[at].0)?;
        Some(owned.swap_remove(lowest).1)
    }
}
