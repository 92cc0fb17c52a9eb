//! Admission control: while a pool is short of capacity, new flows are admitted by urgency.
//!
//! A new flow is refused only if no server of its pool is estimated to have a free slot, and the
//! flows of its priority exceed their share of the pool's capacity (`limit::share`). Requests on
//! open flows cannot be refused, and reduce what new flows share. A balancer that knows the demand
//! at others applies the share of the total to its own flows. One that does not divides the
//! capacity of its failure domain by the number of live balancers there.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;

use base::prelude::*;
use conf::key;
use cranelift_entity::SecondaryMap;
use limit::share;
use limit::share::Demand;
use limit::share::Rate;
use limit::share::PRIORITIES;

use crate::answer;
use crate::load::Loads;
use crate::rate::Meter;
use crate::rate::Window;
use crate::refusal::Refusals;
use crate::running;
use crate::table::row::Row;
use crate::table::Table;

mod capacity;

pub use capacity::Answer;
use capacity::Estimate;
use capacity::Path;

/// The age from which the demand of other balancers no longer counts.
pub const TOTAL_MAX_AGE: Span = Span::millis(1_500);
/// The depth of a token bucket: the rate of its priority over this time. A longer burst would fill
/// the queues of the servers.
const BUCKET_DEPTH: Span = Span::millis(100);
/// The least depth of a bucket, in flows, so that a priority with a low rate is not refused
/// because two of its flows come together.
const BUCKET_MIN: u64 = 2;
/// The tokens of one flow: a rate of 10 tenths per second over one second.
const TOKENS_PER_FLOW: u64 = 10 * Span::secs(1).0;
/// Length of one step of the window of demand, in microseconds. The whole window of 200 ms holds
/// several requests of a kind at most balancers, and is as short as the first retransmission time
/// of callers.
const DEMAND_STEP: u64 = 25_000;
/// The period in which the load of a pool is assessed.
const LOAD_PERIOD: Span = Span::millis(25);
/// The part of the slots, in percent, of which more are taken in a loaded pool. Below it few
/// requests wait for a slot, so that answers show the service time.
const LOADED_PERCENT: u64 = 70;
/// How long a free slot is kept for more urgent flows after one was refused. Its caller makes a
/// further attempt at once, which arrives after a round trip.
const CLAIM_PERIOD: Span = Span::millis(50);
/// How long a balancer that has lost all others of its failure domain shares the capacity with as
/// many as before. Operators replace a lost host within this time.
const ISOLATION_PERIOD: Span = Span::secs(60);
/// Bounds the number of routes whose usual answers are remembered.
const ROUTES_MAX: usize = 4_096;

/// The demand at all balancers of the failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// The rate of new flows, by priority.
    pub offered: [Rate; PRIORITIES],
    /// The rate of requests on open flows.
    pub committed: Rate,
    /// The age of the oldest part.
    pub age: Span,
}

impl Total {
    /// Returns the demand with the requests on open flows divided by priority, as this balancer's
    /// `own` are. Without any of its own, they count as the least urgent, so that they do not keep
    /// out new flows.
    fn demand(&self, own: &Demand) -> Demand {
        let own_sum: u64 = own.committed.iter().map(|&rate| u64::from(rate)).sum();
        let mut committed = [0; PRIORITIES];
        match own_sum {
            0 => committed[PRIORITIES - 1] = self.committed,
            _ => {
                for (part, &rate) in committed.iter_mut().zip(&own.committed) {
                    let scaled = u64::from(self.committed) * u64::from(rate) / own_sum;
                    *part = Rate::try_from(scaled).unwrap_or(Rate::MAX);
                }
            }
        }
        Demand {
            offered: self.offered,
            committed,
        }
    }
}

/// The data behind a decision, for the log and the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// The priority of the flow.
    pub priority: u8,
    /// The rate of new flows of this priority, in tenths per second.
    pub offered: Rate,
    /// The rate of these that is admitted.
    pub admitted: Rate,
    /// The rate of requests on open flows.
    pub committed: Rate,
    /// The rate of new flows of all priorities and of requests on open flows.
    pub demand: Rate,
    /// The capacity that was divided, in tenths of a request per second.
    pub capacity: Rate,
    /// The age of the demand at others; `None` if only this balancer's is known.
    pub age: Option<Span>,
    /// The age of the oldest load report.
    pub loads_age: Span,
}

/// The decision on a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is admitted: capacity is not short, or not known.
    Free,
    /// It is admitted within the share of its priority.
    Admitted(Basis),
    /// It is refused.
    Refused(Basis),
}

/// The state of the servers of a pool.
#[derive(Clone, Copy)]
pub struct Supply<'a> {
    /// The routes, pools and servers in force.
    pub table: &'a Table,
    /// The requests under way at other balancers.
    pub loads: &'a Loads,
    /// The balancer's own failure domain.
    pub local_domain: &'a str,
    /// The number of live balancers of that domain.
    pub balancers: u32,
    /// The current time.
    pub now: Time,
    /// The pool.
    pub pool: key::Pool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tokens: u64,
    filled_at: Time,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    /// The rates of new flows here.
    offered: Meter<Window<DEMAND_STEP>>,
    /// The rates of requests on open flows here.
    committed: Meter<Window<DEMAND_STEP>>,
    estimate: Estimate,
    /// When the load was last assessed.
    assessed_at: Time,
    paths: SecondaryMap<key::Domain, Path>,
    buckets: [Bucket; PRIORITIES],
    /// When a flow of each priority was last refused.
    refused_at: [Option<Time>; PRIORITIES],
    /// The latest decision under shortage of each priority.
    latest: [Option<(Time, Basis)>; PRIORITIES],
}

/// The state of admission control.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// The greatest number of live balancers of the own failure domain in `ISOLATION_PERIOD`, and
    /// when it was seen.
    balancers: (Time, u32),
    pools: SecondaryMap<key::Pool, Pool>,
    /// The smoothed size of an answer on each route.
    usual_answers: BTreeMap<SocketAddrV4, answer::Size>,
    /// The flows that were refused a short while ago.
    refused: Refusals,
}

impl Bucket {
    fn fill(&mut self, now: Time, rate: Rate) {
        let rate = u64::from(rate);
        let depth = (rate * BUCKET_DEPTH.0).max(BUCKET_MIN * TOKENS_PER_FLOW);
        let added = now.since(self.filled_at).min(Span::secs(1)).0 * rate;
        self.tokens = self.tokens.saturating_add(added).min(depth);
        self.filled_at = now;
    }

    fn take(&mut self) -> bool {
        let rest = self.tokens.checked_sub(TOKENS_PER_FLOW);
        self.tokens = rest.unwrap_or(self.tokens);
        rest.is_some()
    }
}

impl Supply<'_> {
    /// Returns the servers that new flows are assigned to. Suspected ones are not among them, since
    /// they are selected only if there is no other.
    fn usable(&self) -> impl Iterator<Item = (key::Server, &Row)> {
        let servers = self.table.pool(self.pool).servers.iter();
        let rows = servers.map(|&server| (server, self.table.server(server)));
        rows.filter(|(server, row)| {
            self.table.takes_flows(*server, self.now)
                && !row.health.is_suspected()
                && !self.table.is_cold(*server, self.now)
        })
    }

    fn is_local(&self, row: &Row) -> bool {
        self.table.domain(row.domain).name == self.local_domain
    }

    fn running(&self, server: key::Server, row: &Row) -> u32 {
        running::requests(row, self.loads, server, u32::MAX)
    }

    /// Returns the number of slots of the own failure domain; if it has none, of all domains.
    fn slots(&self) -> u32 {
        let sum = |is_counted: &dyn Fn(&Row) -> bool| -> u32 {
            let rows = self.usable().filter(|(_, row)| is_counted(row));
            rows.map(|(_, row)| row.slots).sum()
        };
        match sum(&|row| self.is_local(row)) {
            0 => sum(&|_| true),
            local => local,
        }
    }
}

impl Gate {
    /// Decides on the first opening packet of a flow. `total` is the demand at all balancers of the
    /// failure domain, if it is known.
    pub fn decide(
        &mut self,
        supply: &Supply<'_>,
        priority: u8,
        flow: u64,
        total: Option<&Total>,
    ) -> Decision {
        let now = supply.now;
        self.assess_load(supply);
        let sharers = self.sharers(supply);
        let has_free_slot =
            !self.is_claimed(now, supply.pool, priority) && self.has_free_slot(supply);
        let pool = &mut self.pools[supply.pool];
        pool.offered.record(now, priority);
        let bucket = &mut pool.buckets[share::index(priority)];
        if has_free_slot {
            bucket.take();
            return Decision::Free;
        }
        let total = total.filter(|total| total.age <= TOTAL_MAX_AGE);
        let slots = supply.slots();
        let own = Demand {
            offered: pool.offered.rates(now),
            committed: pool.committed.rates(now),
        };
        let demand = total.map_or(own, |total| total.demand(&own));
        let least = pool.estimate.least(now);
        let capacity = match pool.estimate.capacity(now, slots) {
            Some(capacity) if slots > 0 && total.is_some() => {
                // Others are answered in time as this balancer's callers are.
                let least = u64::from(least) * u64::from(demand.sum());
                let least = least / u64::from(own.sum().max(1));
                capacity.max(Rate::try_from(least).unwrap_or(Rate::MAX))
            }
            Some(capacity) if slots > 0 => (capacity / sharers.max(1)).max(least),
            _ => return Decision::Free,
        };
        let index = share::index(priority);
        let admitted = share::admit(capacity, &demand)[index];
        let offered = demand.offered[index];
        let basis = Basis {
            priority,
            offered,
            admitted,
            committed: demand.committed.iter().sum(),
            demand: demand.sum(),
            capacity,
            age: total.map(|total| total.age),
            loads_age: supply.loads.oldest_report_age(now),
        };
        pool.latest[index] = Some((now, basis));
        // This balancer's part of the admitted flows is its part of the offered ones.
        let own = u64::from(own.offered[index]) * u64::from(admitted) / u64::from(offered.max(1));
        bucket.fill(now, Rate::try_from(own).unwrap_or(Rate::MAX));
        // A priority that is admitted in full is not held to its smoothed rate, and begins the next
        // shortage with a full bucket.
        if admitted >= offered {
            bucket.tokens = u64::MAX;
            return Decision::Admitted(basis);
        }
        if bucket.take() {
            return Decision::Admitted(basis);
        }
        pool.refused_at[index] = Some(now);
        self.refused.insert(now, flow);
        Decision::Refused(basis)
    }

    /// Returns whether a flow was refused a short while ago, so that this is a copy of its opening
    /// packet.
    pub fn is_refused(&self, now: Time, flow: u64) -> bool {
        self.refused.contains(now, flow)
    }

    /// Returns the number of balancers that share the capacity of the failure domain. A balancer
    /// that has lost all others is more likely to be isolated than to be alone.
    fn sharers(&mut self, supply: &Supply<'_>) -> u32 {
        let (seen_at, most) = self.balancers;
        if supply.balancers >= most || supply.now.since(seen_at) > ISOLATION_PERIOD {
            self.balancers = (supply.now, supply.balancers);
        }
        match supply.balancers {
            0 | 1 => self.balancers.1,
            several => several,
        }
    }

    fn assess_load(&mut self, supply: &Supply<'_>) {
        let pool = &mut self.pools[supply.pool];
        if supply.now.since(pool.assessed_at) < LOAD_PERIOD {
            return;
        }
        pool.assessed_at = supply.now;
        pool.paths.values_mut().for_each(Path::clear_load);
        let mut local = None;
        for (server, row) in supply.usable() {
            let running = supply.running(server, row);
            pool.paths[row.domain].add_load(row.slots, running);
            if supply.is_local(row) {
                local = Some(row.domain);
            }
        }
        pool.estimate.is_loaded =
            local.is_some_and(|domain| !pool.paths[domain].has_room(LOADED_PERCENT));
    }

    /// Returns whether a server of the pool is estimated to have a free slot: by the requests that
    /// are known to be under way at each, or, where these are not known well enough, by their sum in
    /// a failure domain.
    ///
    /// Only the balancers of the own failure domain report their requests. Servers also have requests
    /// from balancers of other domains, so that a slot only counts as free if the latest answers
    /// from its domain show no wait.
    fn has_free_slot(&mut self, supply: &Supply<'_>) -> bool {
        let now = supply.now;
        let pool = &mut self.pools[supply.pool];
        let service = pool.estimate.service_time();
        // Reports older than a service time say little about a single server, but their sum still
        // says how many requests there are.
        let is_fresh = service.is_none_or(|time| supply.loads.oldest_report_age(now) <= time);
        let (mut local, mut unknown) = (None, None);
        for (server, row) in supply.usable() {
            let path = &pool.paths[row.domain];
            let is_local = supply.is_local(row);
            if is_local {
                local = Some(row.domain);
            }
            if supply.running(server, row) >= row.slots {
                continue;
            }
            match path.is_waiting(now) {
                // The reports of the own domain suffice if they are recent.
                Some(false) if is_fresh || !is_local => return true,
                None if is_fresh && is_local => return true,
                None if !is_local => unknown = Some(row.domain),
                Some(_) | None => (),
            }
        }
        let has_room = pool.paths.iter().any(|(domain, path)| {
            let is_idle = match Some(domain) == local && !is_fresh {
                true => path.is_waiting(now) != Some(true),
                false => path.is_unloaded(now),
            };
            is_idle && path.has_room(100)
        });
        has_room || unknown.is_some_and(|domain| pool.paths[domain].start_probe(now))
    }

    /// Returns whether a more urgent flow was just refused, so that its caller's next attempt is
    /// about to take a slot that becomes free.
    fn is_claimed(&self, now: Time, pool: key::Pool, priority: u8) -> bool {
        let urgent = &self.pools[pool].refused_at[..share::index(priority)];
        let mut refused = urgent.iter().flatten();
        refused.any(|&at| now.since(at) < CLAIM_PERIOD)
    }

    /// Records a request on an open flow.
    pub fn record_request(&mut self, now: Time, pool: key::Pool, priority: u8) {
        self.pools[pool].committed.record(now, priority);
    }

    /// Records the time from an opening packet to the caller's next packet.
    pub fn record_handshake(&mut self, pool: key::Pool, domain: key::Domain, took: Span) {
        self.pools[pool].paths[domain].record_handshake(took);
    }

    /// Returns the smoothed time of a handshake with a server of a failure domain, zero before the
    /// first one.
    pub fn handshake(&self, pool: key::Pool, domain: key::Domain) -> Span {
        self.pools[pool].paths[domain].handshake()
    }

    /// Records an answer on a route.
    pub fn record_answer(
        &mut self,
        now: Time,
        service: SocketAddrV4,
        pool: key::Pool,
        domain: key::Domain,
        answer: &Answer,
    ) {
        if self.usual_answers.len() >= ROUTES_MAX && !self.usual_answers.contains_key(&service) {
            self.usual_answers.clear();
        }
        let usual = self.usual_answers.entry(service).or_default();
        let pool = &mut self.pools[pool];
        let path = &mut pool.paths[domain];
        pool.estimate.record(now, path, usual, answer);
    }

    /// Returns the smoothed time that a request occupies a slot; `None` before the first answer.
    pub fn service_time(&self, pool: key::Pool) -> Option<Span> {
        self.pools[pool].estimate.service_time()
    }

    /// Returns the lines of the dump: for each pool the estimate, and the latest decision of each
    /// priority.
    pub(crate) fn lines<'a>(
        &'a self,
        table: &'a Table,
        now: Time,
    ) -> impl Iterator<Item = String> + 'a {
        self.pools.iter().flat_map(move |(key, pool)| {
            let name = &table.pool(key).object.name;
            let service = pool.estimate.service_time();
            let estimate = service.map(|service| {
                let factor = pool.estimate.factor();
                format!(
                    "pool {name} takes {service} per request, capacity corrected to {factor}/1000"
                )
            });
            let latest = pool.latest.iter().flatten();
            let decisions = latest
                .map(move |(at, basis)| format!("pool {name} {} ago: {basis}", now.since(*at)));
            estimate.into_iter().chain(decisions)
        })
    }
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let per_second = |rate: Rate| format!("{}.{}", rate / 10, rate % 10);
        write!(
            f,
            "priority {}: {} of {} flows/s admitted, {} requests/s on open flows, capacity {}/s",
            self.priority,
            per_second(self.admitted),
            per_second(self.offered),
            per_second(self.committed),
            per_second(self.capacity),
        )
    }
}
