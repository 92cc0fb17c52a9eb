//! Selection of the backend server of a new flow.
//!
//! The server with the fewest requests under way per slot is selected, including those that peers
//! report. A server of another failure domain counts as if it had one more request per slot. Ties
//! are broken by the number of flows that this balancer has open there, since open flows bring
//! further requests, then by the flow's hash, so that balancers with the same data spread their
//! flows.
//!
//! The caller of a retransmitted opening packet has waited for 200 ms or more, which most callers
//! aim for as their latency. While all servers are saturated, as when balancers return and all
//! callers of the outage retry, new callers come first: the retransmission is dropped, and a later
//! one finds a free slot.

use base::prelude::*;
use conf::key;

use crate::flow::Basis;
use crate::load::Loads;
use crate::table::Table;

/// The cost of one request under way, or of one open flow, per slot.
const UNIT_COST: u64 = 1_000;
/// The extra cost of a server in another failure domain. Its packets take slower and more expensive
/// links.
const REMOTE_DOMAIN_COST: u64 = UNIT_COST;

/// The inputs of a selection.
pub struct Selector<'a> {
    /// The routes, pools and servers in force.
    pub table: &'a Table,
    /// The flows that peers have open.
    pub loads: &'a Loads,
    /// The balancer's own failure domain.
    pub local_domain: &'a str,
    /// The failure domain that takes the flow, if it spills (`spill`): its servers count as local,
    /// and those of the own domain do not.
    pub preferred_domain: Option<key::Domain>,
    /// The current time.
    pub now: Time,
    /// Hash of the flow.
    pub flow: u64,
    /// A server to skip, because the flow was assigned to it and got no answer.
    pub except: Option<key::Server>,
    /// Whether the opening packet is a retransmission of one that this balancer has not seen, so
    /// that its caller has waited for 200 ms or more.
    pub is_retransmitted: bool,
}

/// The result of a selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The selected server.
    Server(key::Server, Basis),
    /// No server now: a cold server has reached its rate limit, or another balancer owns it.
    ColdLimited,
    /// No server now: all slots are taken.
    Saturated,
    /// No server, and a short wait is not expected to help: each one takes no new flows, has failed
    /// a health check, or is the excepted one.
    Unavailable,
}

/// The sort key, least first: suspected servers last, then by cost, by open flows and by hash.
type Rank = (bool, u64, u64, u64, key::Server);

impl Selector<'_> {
    /// Selects a server of the pool. `owns_cold` returns whether this balancer opens flows at a
    /// cold server.
    pub fn select(&self, pool: key::Pool, owns_cold: impl Fn(key::Server) -> bool) -> Selection {
        let mut best: Option<Rank> = None;
        let mut candidates = 0u16;
        let (mut is_cold_limited, mut has_unresponsive, mut has_saturated) = (false, false, false);
        for &server in &self.table.pool(pool).servers {
            let row = self.table.server(server);
            if !self.is_eligible(server) {
                continue;
            }
            if row.health.is_confirmed() {
                has_unresponsive = true;
                continue;
            }
            if !self.is_admitted(server, &owns_cold) {
                is_cold_limited = true;
                continue;
            }
            if self.is_retransmitted && self.requests(server) >= row.slots {
                has_saturated = true;
                continue;
            }
            candidates = candidates.saturating_add(1);
            let tie = route::rendezvous::score(self.flow, u64::from(row.mark.0));
            let flows = per_slot(row.open_flows, row.slots);
            let rank = (
                row.health.is_suspected(),
                self.cost(server),
                flows,
                tie,
                server,
            );
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        match best {
            Some((.., server)) => Selection::Server(server, self.basis(server, candidates)),
            None if has_saturated => Selection::Saturated,
            None if is_cold_limited => Selection::ColdLimited,
            None if has_unresponsive => self.select_lapsed(pool),
            None => Selection::Unavailable,
        }
    }

    /// Selects a server of the local domain whose entry has lapsed. Every eligible server has
    /// failed a check, which suggests that the local domain is partitioned from the platform and
    /// its servers cannot renew their entries.
    fn select_lapsed(&self, pool: key::Pool) -> Selection {
        let servers = self.table.pool(pool).servers.iter().copied();
        let lapsed: Vec<key::Server> = servers.filter(|&server| self.is_lapsed(server)).collect();
        let cost = |server: &key::Server| {
            let mark = self.table.server(*server).mark;
            (
                self.cost(*server),
                route::rendezvous::score(self.flow, u64::from(mark.0)),
            )
        };
        let candidates = u16::try_from(lapsed.len()).unwrap_or(u16::MAX);
        match lapsed.into_iter().min_by_key(cost) {
            Some(server) => Selection::Server(server, self.basis(server, candidates)),
            None => Selection::Unavailable,
        }
    }

    fn is_lapsed(&self, server: key::Server) -> bool {
        let row = self.table.server(server);
        let domain = self.table.domain(row.domain);
        let is_local = domain.name == self.local_domain && domain.out_since.is_none();
        row.is_lapsed_but_responsive() && is_local && self.except != Some(server)
    }

    fn is_eligible(&self, server: key::Server) -> bool {
        let row = self.table.server(server);
        let is_out = self.table.domain(row.domain).out_since.is_some();
        row.is_accepting(self.now) && !is_out && self.except != Some(server)
    }

    fn is_admitted(&self, server: key::Server, owns_cold: impl Fn(key::Server) -> bool) -> bool {
        if !self.table.is_cold(server, self.now) {
            return true;
        }
        self.now >= self.table.server(server).next_cold_flow_at && owns_cold(server)
    }

    /// Returns the number of requests under way at a server: this balancer's own and those in peers'
    /// reports.
    fn requests(&self, server: key::Server) -> u32 {
        self.table.server(server).requests + self.loads.requests(server)
    }

    fn cost(&self, server: key::Server) -> u64 {
        let row = self.table.server(server);
        let is_remote = match self.preferred_domain {
            Some(domain) => row.domain != domain,
            None => self.table.domain(row.domain).name != self.local_domain,
        };
        per_slot(self.requests(server), row.slots) + u64::from(is_remote) * REMOTE_DOMAIN_COST
    }

    fn basis(&self, server: key::Server, candidates: u16) -> Basis {
        Basis {
            candidates,
            open: u16::try_from(self.requests(server)).unwrap_or(u16::MAX),
            age: self.loads.oldest_report_age(self.now),
        }
    }
}

fn per_slot(count: u32, slots: u32) -> u64 {
    u64::from(count) * UNIT_COST / u64::from(slots.max(1))
}
