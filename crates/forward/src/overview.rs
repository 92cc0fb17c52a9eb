//! The admin page `/load`: the pools that were short of capacity in the last minute, the flows of each
//! priority that were admitted and refused meanwhile, and the platform's objects in force.
//!
//! Rates are in tenths per second and those of this balancer only, so that a reader can add up the
//! pages of several balancers. Times are in milliseconds. Unknown fields are ignored, and fields that
//! an earlier release does not send have defaults, so that balancers of several releases can be read.

use std::net::SocketAddr;

use base::prelude::*;
use conf::key;
use conf::place::Place;
use member::Group;
use serde::Deserialize;
use serde::Serialize;

use crate::admission;
use crate::demand::Demands;
use crate::feed::Feeds;
use crate::host::Usage;
use crate::load::Loads;
use crate::running;
use crate::shortage::Shortages;
use crate::shortage::Totals;
use crate::speed::Speeds;
use crate::speed::UNIT_SLOWDOWN;
use crate::spill::Spills;
use crate::table::Table;

/// Bounds the slow servers of a pool on the page.
pub const SLOW_SERVERS_MAX: usize = 5;

/// The page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Page {
    /// Name of the balancer.
    pub balancer: String,
    /// Its failure domain.
    pub domain: String,
    /// The utilization of its host; absent if the host's limits are not known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<Host>,
    /// The platform's objects that it has in force, by kind.
    pub objects: Vec<Objects>,
    /// The pools that were short of capacity or refused flows in the last 60 s.
    pub pools: Vec<Pool>,
    /// The live balancers of all failure domains, this one included.
    pub balancers: Vec<Balancer>,
}

/// The utilization of a host, in percent of its limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Host {
    /// Bytes sent against the link.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub link_percent: Option<u32>,
    /// Processor time against the quota.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub processor_percent: Option<u32>,
}

impl From<Usage> for Host {
    fn from(usage: Usage) -> Host {
        Host {
            link_percent: usage.link,
            processor_percent: usage.processor,
        }
    }
}

/// The objects of one kind that a balancer has in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Objects {
    /// Name of the kind.
    pub kind: String,
    /// The era of the platform's store, which rises when it is restored from an older copy.
    pub era: u16,
    /// The revision in that era up to which they are complete.
    pub revision: u64,
    /// Time since the platform confirmed that; absent before the first time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// A balancer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Balancer {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The address of its admin pages.
    pub admin: SocketAddr,
}

/// A pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Time since it was last short.
    pub age_ms: u64,
    /// The time that the rates of flows cover.
    pub covered_ms: u64,
    /// The number of slots of the own failure domain's usable servers.
    pub slots: u32,
    /// The number of requests under way at these servers, as far as this balancer knows.
    pub running: u32,
    /// The time that a request occupies a slot; absent before the first answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service_ms: Option<u64>,
    /// The shortage at the latest decision by priority; absent if none was made.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shortage: Option<Shortage>,
    /// The flows of each priority that had some.
    pub priorities: Vec<Priority>,
    /// The failure domains of which the occupancy is known, or that take flows of this one.
    pub spill: Vec<Spill>,
    /// The servers that count as slow, the slowest first.
    pub slow_servers: Vec<Server>,
}

/// Demand and capacity at the latest decision by priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Shortage {
    /// Whether both numbers are those of the whole failure domain. Otherwise the demand at other
    /// balancers was not known, and they are this balancer's.
    pub is_domain: bool,
    /// New flows and requests on open flows.
    pub demand_per_10s: u32,
    /// Requests on open flows, which are not refused.
    pub committed_per_10s: u32,
    /// The capacity.
    pub capacity_per_10s: u32,
    /// The age of the decision.
    pub age_ms: u64,
    /// The age of the oldest demand of other balancers behind it.
    pub demand_age_ms: u64,
    /// The age of the oldest load report behind it.
    pub loads_age_ms: u64,
}

/// Flows of one priority at this balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Priority {
    /// The priority; 3 for all greater ones too.
    pub priority: u8,
    /// New flows.
    pub offered_per_10s: u32,
    /// New flows that were not refused.
    pub admitted_per_10s: u32,
    /// New flows that were refused.
    pub refused_per_10s: u32,
}

/// The servers of a pool in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Spill {
    /// The failure domain.
    pub domain: String,
    /// The share of the own domain's new flows that it takes, in permille.
    pub share_permille: u64,
    /// The number of slots of its usable servers.
    pub slots: u32,
    /// The number of these that its callers take.
    pub running: u32,
    /// The age of these numbers; absent if they are not known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// A slow server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its service time.
    pub service_ms: u64,
    /// Its service time over the pool's, in thousandths.
    pub slowdown_permille: u64,
}

impl Page {
    /// Returns the page as JSON.
    ///
    /// # Errors
    ///
    /// Fails as the encoder does.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string(self)
    }
}

/// The state that the page shows.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The current time.
    pub now: Time,
    /// The own failure domain.
    pub domain: &'a str,
    /// The routes, pools and servers in force.
    pub table: &'a Table,
    /// The members.
    pub group: &'a Group,
    /// The platform's objects.
    pub feeds: &'a Feeds,
    /// The requests under way at peers.
    pub loads: &'a Loads,
    /// Service times.
    pub speeds: &'a Speeds,
    /// Admission control.
    pub admission: &'a admission::Gate,
    /// Demand and occupancy of failure domains.
    pub demands: &'a Demands,
    /// The shares that spill.
    pub spills: &'a Spills,
    /// The recent shortages.
    pub shortages: &'a Shortages,
    /// The utilization of the host; `None` if its limits are not known.
    pub host: Option<Host>,
}

/// Returns the page.
pub fn page(view: &View<'_>) -> Page {
    let shortages = view.shortages;
    let pools = shortages.pools().filter_map(|pool| {
        let totals = shortages.totals(view.now, pool)?;
        Some(pool_entry(view, pool, &totals))
    });
    let members = view.group.members();
    let live = members.filter(|member| member.state.is_live());
    let mut balancers: Vec<Balancer> = live
        .map(|member| Balancer {
            name: member.name.clone(),
            domain: member.domain.clone(),
            admin: member.admin,
        })
        .collect();
    balancers.sort();
    let objects = view.feeds.iter().map(|feed| {
        let place = Place::from(feed.store().revision());
        Objects {
            kind: feed.kind().name().to_owned(),
            era: place.era(),
            revision: place.revision(),
            age_ms: feed.age(view.now).map(Span::as_millis),
        }
    });
    Page {
        balancer: view.group.local().name.clone(),
        domain: view.domain.to_owned(),
        host: view.host,
        objects: objects.collect(),
        pools: pools.collect(),
        balancers,
    }
}

fn pool_entry(view: &View<'_>, pool: key::Pool, totals: &Totals) -> Pool {
    let now = view.now;
    let (slots, running) = local_slots(view, pool);
    let service = view.admission.service_time(pool);
    let service = service.or_else(|| view.speeds.pool_service_time(now, pool));
    let shortage = view
        .shortages
        .basis(now, pool)
        .map(|(basis, age)| Shortage {
            is_domain: basis.age.is_some(),
            demand_per_10s: basis.demand,
            committed_per_10s: basis.committed,
            capacity_per_10s: basis.capacity,
            age_ms: age.as_millis(),
            demand_age_ms: basis.age.unwrap_or_default().as_millis(),
            loads_age_ms: basis.loads_age.as_millis(),
        });
    Pool {
        name: view.table.pool(pool).object.name.clone(),
        age_ms: totals.age.as_millis(),
        covered_ms: totals.covered.as_millis(),
        slots,
        running,
        service_ms: service.map(Span::as_millis),
        shortage,
        priorities: priorities(totals),
        spill: spill(view, pool),
        slow_servers: slow_servers(view, pool),
    }
}

/// Returns the slots of the own failure domain's servers that take flows, and the requests there.
fn local_slots(view: &View<'_>, pool: key::Pool) -> (u32, u32) {
    let (mut slots, mut running) = (0, 0);
    for &server in &view.table.pool(pool).servers {
        let row = view.table.server(server);
        let domain = view.table.domain(row.domain);
        let is_usable = row.is_accepting(view.now) && !row.health.is_suspected();
        if domain.name == view.domain && domain.out_since.is_none() && is_usable {
            slots += row.slots;
            running += running::requests(row, view.loads, server, u32::MAX);
        }
    }
    (slots, running)
}

fn priorities(totals: &Totals) -> Vec<Priority> {
    let per_10s = |flows: u32| {
        let rate = u64::from(flows) * Span::secs(10).0 / totals.covered.0.max(1);
        u32::try_from(rate).unwrap_or(u32::MAX)
    };
    let flows = totals.flows.iter().zip(0..);
    let present = flows.filter(|(flows, _)| flows.offered + flows.refused > 0);
    let rates = present.map(|(flows, priority)| Priority {
        priority,
        offered_per_10s: per_10s(flows.offered),
        admitted_per_10s: per_10s(flows.offered.saturating_sub(flows.refused)),
        refused_per_10s: per_10s(flows.refused),
    });
    rates.collect()
}

fn spill(view: &View<'_>, pool: key::Pool) -> Vec<Spill> {
    let shares = view.spills.get(pool);
    let domains = view.table.domains().filter_map(|domain| {
        let key = view.table.domain_key(&domain.name)?;
        let share_permille = shares.map_or(0, |shares| shares.share(key));
        let room = view.demands.domain(view.now, pool, key);
        if room.is_none() && share_permille == 0 {
            return None;
        }
        let age_ms = room.map(|room| room.age.as_millis());
        let room = room.unwrap_or_default();
        Some(Spill {
            domain: domain.name.clone(),
            share_permille,
            slots: room.slots,
            running: room.running,
            age_ms,
        })
    });
    domains.collect()
}

fn slow_servers(view: &View<'_>, pool: key::Pool) -> Vec<Server> {
    let servers = view.table.pool(pool).servers.iter();
    let mut slow: Vec<Server> = servers
        .map(|&server| (server, view.speeds.slowdown(view.now, server)))
        .filter(|&(_, slowdown)| slowdown > UNIT_SLOWDOWN)
        .map(|(server, slowdown_permille)| {
            let row = view.table.server(server);
            let service = view.speeds.service_time_in(view.now, server, pool);
            Server {
                name: row.name.clone(),
                domain: view.table.domain(row.domain).name.clone(),
                service_ms: service.as_millis(),
                slowdown_permille,
            }
        })
        .collect();
    // Stable, so that equal servers stay in the order of the table.
    slow.sort_by_key(|server| std::cmp::Reverse(server.service_ms));
    slow.truncate(SLOW_SERVERS_MAX);
    slow
}
