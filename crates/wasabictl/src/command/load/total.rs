//! Sums of the pages of several balancers, by service.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use forward::overview::Balancer;
use forward::overview::Page;
use forward::overview::Pool;
use forward::overview::Priority;
use forward::overview::Server;
use serde::Serialize;

/// Bounds the slow servers that are shown of a service.
const SLOW_SERVERS_MAX: usize = 5;

/// What the balancers answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Report {
    /// The number of balancers that answered.
    pub(super) answered: usize,
    /// The others.
    pub(super) silent: Vec<Silent>,
    /// The services that were short of capacity or refused flows.
    pub(super) services: Vec<Service>,
    /// The platform's objects in force. Balancers of earlier releases do not send them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) in_force: Vec<InForce>,
}

/// A balancer that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Silent {
    /// The balancer.
    #[serde(flatten)]
    pub(super) balancer: Balancer,
    /// The reason.
    pub(super) why: &'static str,
}

/// Objects of one kind that some balancers have in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct InForce {
    /// Name of the kind.
    pub(super) kind: String,
    /// The era of the platform's store.
    pub(super) era: u16,
    /// The revision in that era.
    pub(super) revision: u64,
    /// Names of the balancers.
    pub(super) balancers: Vec<String>,
}

/// A service that was short of capacity or refused flows. Rates are in tenths per second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct Service {
    /// The name of its pool.
    pub(super) name: String,
    /// Demand beyond the capacity, summed over the failure domains that are short.
    pub(super) short_by_per_10s: u32,
    /// Refused flows at all balancers.
    pub(super) refused_per_10s: u32,
    /// Flows of each priority at all balancers.
    pub(super) priorities: Vec<Priority>,
    /// Each failure domain.
    pub(super) domains: Vec<Domain>,
    /// The servers that count as slow at some balancer, the slowest first.
    pub(super) slow_servers: Vec<Server>,
}

/// A service in one failure domain, as the balancer there sees it that was short most recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct Domain {
    /// The failure domain.
    pub(super) name: String,
    /// Time since the service was last short there.
    pub(super) age_ms: u64,
    /// The slots of the usable servers.
    pub(super) slots: u32,
    /// The requests under way there.
    pub(super) running: u32,
    /// The time that a request occupies a slot.
    pub(super) service_ms: Option<u64>,
    /// New flows and requests on open flows. Only known if flows were decided on by priority.
    pub(super) demand_per_10s: Option<u32>,
    /// The capacity.
    pub(super) capacity_per_10s: Option<u32>,
    /// The shares of new flows that other domains take, in permille.
    pub(super) spill_permille: BTreeMap<String, u64>,
}

/// Sums up the pages by service, the shortest of capacity first.
pub(super) fn services(pages: &[Page]) -> Vec<Service> {
    let mut names: Vec<&str> = pages
        .iter()
        .flat_map(|page| page.pools.iter().map(|pool| pool.name.as_str()))
        .collect();
    names.sort_unstable();
    names.dedup();
    let mut services: Vec<Service> = names.into_iter().map(|name| service(pages, name)).collect();
    // Stable, so that equal ones stay ordered by name.
    services.sort_by_key(|service| {
        std::cmp::Reverse((service.short_by_per_10s, service.refused_per_10s))
    });
    services
}

fn service(pages: &[Page], name: &str) -> Service {
    let mut domains: BTreeMap<&str, Vec<&Pool>> = BTreeMap::new();
    for page in pages {
        let pools = page.pools.iter().filter(|pool| pool.name == name);
        domains.entry(&page.domain).or_default().extend(pools);
    }
    let pools = || domains.values().flatten().copied();
    let priorities = priorities(pools());
    let refused = priorities.iter().map(|priority| priority.refused_per_10s);
    let refused_per_10s = sum(refused);
    let slow_servers = slow_servers(pools());
    let domains: Vec<Domain> = domains
        .iter()
        .filter_map(|(name, pools)| domain(name, pools))
        .collect();
    let short = domains.iter().map(|domain| {
        let demand = domain.demand_per_10s.unwrap_or_default();
        demand.saturating_sub(domain.capacity_per_10s.unwrap_or_default())
    });
    Service {
        name: name.to_owned(),
        short_by_per_10s: sum(short),
        refused_per_10s,
        priorities,
        domains,
        slow_servers,
    }
}

/// Returns the flows of each priority at all balancers. Each counts only its own.
fn priorities<'a>(pools: impl Iterator<Item = &'a Pool>) -> Vec<Priority> {
    let mut sums: BTreeMap<u8, Priority> = BTreeMap::new();
    for part in pools.flat_map(|pool| &pool.priorities) {
        let sum = sums.entry(part.priority).or_default();
        sum.priority = part.priority;
        let rates = [
            (&mut sum.offered_per_10s, part.offered_per_10s),
            (&mut sum.admitted_per_10s, part.admitted_per_10s),
            (&mut sum.refused_per_10s, part.refused_per_10s),
        ];
        for (sum, part) in rates {
            *sum = sum.saturating_add(part);
        }
    }
    sums.into_values().collect()
}

/// Returns the state of a failure domain, from the balancer that was short most recently.
fn domain(name: &str, pools: &[&Pool]) -> Option<Domain> {
    let latest = pools.iter().min_by_key(|pool| pool.age_ms)?;
    let known = pools.iter().filter_map(|pool| pool.shortage);
    let whole = known.clone().filter(|shortage| shortage.is_domain);
    let (demand, capacity) = match whole.min_by_key(|shortage| shortage.age_ms) {
        Some(whole) => (Some(whole.demand_per_10s), Some(whole.capacity_per_10s)),
        // Each balancer knows its own part only.
        None if known.clone().next().is_some() => (
            Some(sum(known.clone().map(|part| part.demand_per_10s))),
            Some(sum(known.map(|part| part.capacity_per_10s))),
        ),
        None => (None, None),
    };
    let shares = latest.spill.iter().filter(|part| part.share_permille > 0);
    Some(Domain {
        name: name.to_owned(),
        age_ms: latest.age_ms,
        slots: latest.slots,
        running: latest.running,
        service_ms: latest.service_ms,
        demand_per_10s: demand,
        capacity_per_10s: capacity,
        spill_permille: shares
            .map(|part| (part.domain.clone(), part.share_permille))
            .collect(),
    })
}

/// Returns the slowest servers. Each is listed once, with the longest time that a balancer gives.
fn slow_servers<'a>(pools: impl Iterator<Item = &'a Pool>) -> Vec<Server> {
    let mut slowest: BTreeMap<&str, &Server> = BTreeMap::new();
    for server in pools.flat_map(|pool| &pool.slow_servers) {
        let known = slowest.entry(&server.name).or_insert(server);
        if server.service_ms > known.service_ms {
            *known = server;
        }
    }
    let mut servers: Vec<Server> = slowest.into_values().cloned().collect();
    servers.sort_by_key(|server| std::cmp::Reverse(server.service_ms));
    servers.truncate(SLOW_SERVERS_MAX);
    servers
}

fn sum(rates: impl Iterator<Item = u32>) -> u32 {
    rates.fold(0, u32::saturating_add)
}

/// Returns which balancers have what in force: each kind, the latest place first.
pub(super) fn in_force(pages: &[Page]) -> Vec<InForce> {
    let mut found: Vec<InForce> = Vec::new();
    for page in pages {
        for objects in &page.objects {
            let place = (objects.era, objects.revision);
            let is_same =
                |other: &&mut InForce| other.kind == objects.kind && other.place() == place;
            match found.iter_mut().find(is_same) {
                Some(other) => other.balancers.push(page.balancer.clone()),
                None => found.push(InForce {
                    kind: objects.kind.clone(),
                    era: objects.era,
                    revision: objects.revision,
                    balancers: vec![page.balancer.clone()],
                }),
            }
        }
    }
    found.sort_by_key(|objects| (objects.kind.clone(), Reverse(objects.place())));
    found
}

impl InForce {
    fn place(&self) -> (u16, u64) {
        (self.era, self.revision)
    }
}
