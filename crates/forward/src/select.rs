//! Selection of the backend server of a new flow.
//!
//! The server with the shortest expected time to an answer is selected: the requests under way per
//! slot, including those that peers report, times the service time. A server of another failure
//! domain counts as if it had one more request per slot. While no server is slow (`speed`), the one
//! with the fewest requests per slot is selected. Ties are broken by the number of flows that this
//! balancer has open there, since open flows bring further requests, then by the flow's hash, so
//! that balancers with the same data spread their flows.
//!
//! Reports that are older than a service time say little about a free slot, and all balancers of a
//! large domain would select the server that had the fewest requests then. The mean of the reports
//! over a failure domain still holds, and is counted for each of its servers. The requests of this
//! balancer are added, which it knows exactly, and ties are broken by the hash of the flow and the
//! balancer.
//!
//! The caller of a retransmitted opening packet has waited for 200 ms or more, which most callers
//! aim for as their latency. While all servers are saturated, as when balancers return and all
//! callers of the outage retry, new callers come first: the retransmission is dropped, and a later
//! one finds a free slot.

use base::hash;
use base::prelude::*;
use conf::key;
use cranelift_entity::SecondaryMap;

use crate::flow::Basis;
use crate::load;
use crate::load::Loads;
use crate::running;
use crate::speed;
use crate::speed::Speeds;
use crate::table::Table;

/// The cost of one request under way, or of one open flow, per slot.
const UNIT_COST: u64 = 1_000;
/// The extra cost of a server in another failure domain. Its packets take slower and more expensive
/// links.
const REMOTE_DOMAIN_COST: u64 = UNIT_COST;
/// The age from which reports may count as old, whatever the service time. The reports of up to 8
/// balancers in a domain are newer, and so few do not select the same server at once.
const OLD_REPORT_AGE_MIN: Span = Span::millis(50);

/// The deviation of a server's reported requests per slot that counts while reports are old. Less
/// changes several times before the next report.
const OLD_REPORT_STEP: u64 = 2 * UNIT_COST;

/// The mean of the reported requests per slot in each failure domain.
type Means = SecondaryMap<key::Domain, u64>;

/// The inputs of a selection.
pub struct Selector<'a> {
    /// The routes, pools and servers in force.
    pub table: &'a Table,
    /// The flows that peers have open.
    pub loads: &'a Loads,
    /// The service times of servers.
    pub speeds: &'a Speeds,
    /// The incarnation of this balancer.
    pub balancer: Incarnation,
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

/// The sort key, least first: suspected servers last, then by cost, by open flows unless reports are
/// old, and by hash.
type Rank = (bool, u64, u64, u64, key::Server);

impl Selector<'_> {
    /// Selects a server of the pool. `owns_cold` returns whether this balancer opens flows at a
    /// cold server.
    pub fn select(&self, pool: key::Pool, owns_cold: impl Fn(key::Server) -> bool) -> Selection {
        let means = self.reported_means(pool);
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
            let rank = self.rank(server, means.as_ref());
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

    fn rank(&self, server: key::Server, means: Option<&Means>) -> Rank {
        let row = self.table.server(server);
        let (flow, cost) = match means {
            // Flows that arrive at several balancers at the same time spread as well.
            Some(means) => (
                hash::pair(self.flow, self.balancer.0),
                self.cost_by_old_reports(server, means),
            ),
            None => (self.flow, self.cost(server)),
        };
        let tie = route::rendezvous::score(flow, u64::from(row.mark.0));
        let flows = match means {
            // A slow server that is tried again has fewer flows of each balancer than others.
            Some(_) => 0,
            None => per_slot(row.open_flows, row.slots),
        };
        (row.health.is_suspected(), cost, flows, tie, server)
    }

    /// Returns the mean of the reported requests per slot at the servers of each failure domain, if
    /// reports are old.
    fn reported_means(&self, pool: key::Pool) -> Option<Means> {
        if !self.has_old_reports(pool) {
            return None;
        }
        let mut sums: SecondaryMap<key::Domain, (u32, u32)> = SecondaryMap::new();
        for &server in &self.table.pool(pool).servers {
            if self.is_eligible(server) {
                let row = self.table.server(server);
                let (requests, slots) = &mut sums[row.domain];
                *requests = requests.saturating_add(self.loads.requests(server));
                *slots = slots.saturating_add(row.slots);
            }
        }
        let mut means = Means::new();
        for (domain, &(requests, slots)) in sums.iter() {
            means[domain] = per_slot(requests, slots);
        }
        Some(means)
    }

    /// Returns the cost of a server while reports are old. Their mean over the failure domain still
    /// holds. Of the server's own deviation from it, only what exceeds `OLD_REPORT_STEP` counts.
    fn cost_by_old_reports(&self, server: key::Server, means: &Means) -> u64 {
        let row = self.table.server(server);
        let mean = means[row.domain];
        let reported = per_slot(self.loads.requests(server), row.slots);
        let excess = reported.saturating_sub(mean) / OLD_REPORT_STEP * OLD_REPORT_STEP;
        let deficit = mean.saturating_sub(reported) / OLD_REPORT_STEP * OLD_REPORT_STEP;
        let waiting = per_slot(row.requests, row.slots) + mean + excess - deficit;
        let full = per_slot(load::capacity(row.slots), row.slots);
        let implied = self.speeds.implied_requests(self.now, server, row.slots);
        let waiting = waiting.min(full).max(per_slot(implied, row.slots));
        self.delay(server, waiting) + self.domain_cost(server)
    }

    /// Returns whether most reports are older than a request takes.
    fn has_old_reports(&self, pool: key::Pool) -> bool {
        let service = self.speeds.pool_service_time(self.now, pool);
        service.is_some_and(|service| {
            let limit = service.max(OLD_REPORT_AGE_MIN);
            self.loads.are_older_than(self.now, limit)
        })
    }

    /// Selects a server of the local domain whose entry has lapsed. Every eligible server has
    /// failed a check, which suggests that the local domain is partitioned from the platform and
    /// its servers cannot renew their entries. None is selected while this balancer reaches the
    /// store: then the server is gone.
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
        let is_usable = self.table.uses_lapsed() && row.is_lapsed_but_responsive();
        is_usable && is_local && self.except != Some(server)
    }

    fn is_eligible(&self, server: key::Server) -> bool {
        self.table.takes_flows(server, self.now) && self.except != Some(server)
    }

    fn is_admitted(&self, server: key::Server, owns_cold: impl Fn(key::Server) -> bool) -> bool {
        if !self.table.is_cold(server, self.now) {
            return true;
        }
        self.now >= self.table.server(server).next_cold_flow_at && owns_cold(server)
    }

    /// Returns the estimated number of requests under way at a server. It is greater than the counted
    /// one if the server has just rejected a request.
    fn requests(&self, server: key::Server) -> u32 {
        let row = self.table.server(server);
        let implied = self.speeds.implied_requests(self.now, server, row.slots);
        let known = running::requests(row, self.loads, server, load::capacity(row.slots));
        known.max(implied)
    }

    fn cost(&self, server: key::Server) -> u64 {
        let slots = self.table.server(server).slots;
        self.delay(server, per_slot(self.requests(server), slots)) + self.domain_cost(server)
    }

    /// Returns the expected time to an answer of a server with this many requests per slot, in
    /// requests per slot at a server of usual speed. Lost requests count as well.
    fn delay(&self, server: key::Server, waiting: u64) -> u64 {
        let slowdown = self.speeds.slowdown(self.now, server);
        // The request itself takes longer as well, also at a server without others.
        let excess = slowdown - speed::UNIT_SLOWDOWN;
        let row = self.table.server(server);
        let lost = per_slot(row.losses.requests(self.now), row.slots);
        lost + waiting * slowdown / speed::UNIT_SLOWDOWN + excess * UNIT_COST / speed::UNIT_SLOWDOWN
    }

    fn domain_cost(&self, server: key::Server) -> u64 {
        let domain = self.table.server(server).domain;
        let is_remote = match self.preferred_domain {
            Some(preferred) => domain != preferred,
            None => self.table.domain(domain).name != self.local_domain,
        };
        u64::from(is_remote) * REMOTE_DOMAIN_COST
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
