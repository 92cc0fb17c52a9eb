//! Spill: the share of a failure domain's new flows that other domains take while its own servers
//! are short.
//!
//! The share follows from the slots that the requests of the domain's callers take in all domains.
//! They do not change when flows spill, unlike the taken slots of the own domain, so a share is not
//! withdrawn because it works. Likewise the taken slots of another domain are those that its own
//! callers take, so a target does not count as full because of the flows that it was given.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::hash;
use conf::key;

use crate::demand::Demands;
use crate::demand::Rate;
use crate::demand::Room;
use crate::exchange::View;
use crate::table::Table;

/// The taken part of the own slots at which a domain starts to spill, in permille. With two slots a
/// server, requests wait in most servers' queues from here on.
pub const START_PERMILLE: u64 = 850;
/// The needed part of the own slots under which a domain no longer spills, in permille. Also the
/// part that stays in use while it spills, and up to which other domains fill a target: with counts
/// that are 0.2 to 0.4 s old, requests wait in queues from about here on.
pub const END_PERMILLE: u64 = 700;
/// The part of the way to a new share that one update goes, as a divisor. Counts are 0.3 s old at an
/// update period of 0.2 s, and the queues of a domain that starts to spill still empty meanwhile.
const STEP_DIVISOR: u64 = 2;
/// Distinguishes the hash that selects the domain of a flow from the one that selects its pool.
const FLOW_SALT: u64 = 0x7370_696c_6c00_0001;
/// Slots are computed in thousandths.
const MILLI: u64 = 1_000;

/// The servers and the demand of a pool in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// The failure domain.
    pub domain: key::Domain,
    /// Its servers.
    pub room: Room,
    /// The rate of requests of its callers.
    pub offered: Rate,
    /// Whether the domain is in, and neither partitioned from here nor suspected.
    pub is_open: bool,
}

/// The shares of new flows that other failure domains take.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    /// Whether the domain spills. The shares may be zero meanwhile.
    pub is_spilling: bool,
    /// The share of each domain, in permille, in an order that all balancers have in common.
    pub parts: Vec<(key::Domain, u64)>,
}

/// The shares of each pool that spills.
#[derive(Clone, Debug, Default)]
pub struct Spills(BTreeMap<key::Pool, Shares>);

impl Occupancy {
    /// Returns whether all slots are taken.
    pub fn is_full(&self) -> bool {
        self.room.running >= self.room.slots
    }

    /// Returns the slots that the demand of the domain's callers needs, in thousandths.
    fn needed(&self) -> u64 {
        // Tenths of a request per second times microseconds are 1e-7 slots.
        let by_rate = u64::from(self.offered.0).saturating_mul(self.room.service_time.0) / 10_000;
        by_rate.max(u64::from(self.room.running) * MILLI)
    }

    /// Returns a part of the slots, in thousandths of a slot.
    fn slots(&self, permille: u64) -> u64 {
        u64::from(self.room.slots) * permille
    }

    /// Returns the slots that are free for other domains, in thousandths.
    fn free(&self) -> u64 {
        let running = u64::from(self.room.running) * MILLI;
        self.slots(END_PERMILLE).saturating_sub(running)
    }

    /// Returns the needed slots beyond those that stay in use while the domain spills.
    fn excess(&self) -> u64 {
        self.needed().saturating_sub(self.slots(END_PERMILLE))
    }
}

impl Shares {
    /// Returns the sum of the shares, in permille.
    pub fn sum(&self) -> u64 {
        self.parts.iter().map(|&(_, share)| share).sum()
    }

    /// Returns the share of a domain, in permille.
    pub fn share(&self, domain: key::Domain) -> u64 {
        let mut parts = self.parts.iter();
        parts
            .find(|&&(other, _)| other == domain)
            .map_or(0, |&(_, share)| share)
    }

    /// Returns the domain that takes a flow, if it spills.
    pub fn domain_for(&self, flow: u64) -> Option<key::Domain> {
        let mut offset = hash::pair(flow, FLOW_SALT) % 1_000;
        for &(domain, share) in &self.parts {
            if offset < share {
                return Some(domain);
            }
            offset -= share;
        }
        None
    }
}

impl Spills {
    /// Returns the shares of a pool, if it spills.
    pub fn get(&self, pool: key::Pool) -> Option<&Shares> {
        self.0.get(&pool)
    }

    /// Returns the pools that spill.
    pub fn iter(&self) -> impl Iterator<Item = (key::Pool, &Shares)> {
        self.0.iter().map(|(&pool, shares)| (pool, shares))
    }

    /// Returns the domain that takes a flow of a pool, if it spills.
    pub fn domain_for(&self, pool: key::Pool, flow: u64) -> Option<key::Domain> {
        self.0.get(&pool)?.domain_for(flow)
    }

    /// Replaces the shares of a pool. Returns whether the pool has started or stopped to spill.
    pub fn set(&mut self, pool: key::Pool, shares: Shares) -> bool {
        let is_spilling = shares.is_spilling;
        let old = match is_spilling {
            true => self.0.insert(pool, shares),
            false => self.0.remove(&pool),
        };
        old.is_some() != is_spilling
    }
}

/// Returns the failure domains of which some server is not suspected.
pub fn responsive_domains(table: &Table) -> BTreeSet<key::Domain> {
    let rows = table.servers().map(|(_, row)| row);
    let responsive = rows.filter(|row| row.is_present() && !row.health.is_suspected());
    responsive.map(|row| row.domain).collect()
}

/// Returns the occupancy of the own failure domain, if it has servers of the pool, and of the other
/// ones that sent a summary, by name so that all balancers have them in the same order.
pub fn occupancies(
    view: &View<'_>,
    demands: &Demands,
    responsive: &BTreeSet<key::Domain>,
    pool: key::Pool,
) -> (Option<Occupancy>, Vec<Occupancy>) {
    let now = view.now;
    let own = view.table.domain_key(view.domain).and_then(|domain| {
        Some(Occupancy {
            domain,
            room: demands.domain(now, pool, domain)?,
            offered: demands.local(now, pool).0.sum(),
            is_open: true,
        })
    });
    let name = |domain: key::Domain| view.table.domain(domain).name.as_str();
    let summaries = demands.summaries(now, pool);
    let mut others: Vec<Occupancy> = summaries
        .map(|(domain, summary)| Occupancy {
            domain,
            room: summary.room,
            offered: summary.offer.sum(),
            is_open: responsive.contains(&domain) && view.is_reached(name(domain)),
        })
        .collect();
    others.sort_by_key(|other| name(other.domain));
    (own, others)
}

/// Returns the shares of the own domain's new flows that other domains take.
///
/// `others` holds the domains with a recent summary. Domains that spill at the same time divide the
/// free slots of a target in proportion to their excess.
pub fn shares(own: &Occupancy, others: &[Occupancy], previous: &Shares) -> Shares {
    let needed = own.needed();
    let is_starting = u64::from(own.room.running) * MILLI >= own.slots(START_PERMILLE);
    let is_ending = needed < own.slots(END_PERMILLE);
    if own.room.slots == 0 || is_ending || !(previous.is_spilling || is_starting) {
        return Shares::default();
    }
    let excess = own.excess();
    let all_excess = excess + others.iter().map(Occupancy::excess).sum::<u64>();
    let free: Vec<(key::Domain, u64)> = others
        .iter()
        .filter(|other| other.is_open && other.free() > 0)
        .map(|other| (other.domain, other.free() * excess / all_excess.max(1)))
        .collect();
    if free.is_empty() {
        return Shares::default();
    }
    let all_free: u64 = free.iter().map(|&(_, free)| free).sum();
    let spilled = excess.min(all_free);
    let parts = free.into_iter().map(|(domain, free)| {
        let slots = spilled * free / all_free.max(1);
        let goal = slots * MILLI / needed.max(1);
        (domain, step(previous.share(domain), goal))
    });
    Shares {
        is_spilling: true,
        parts: parts.collect(),
    }
}

/// Returns the share after one update, at least one permille closer to the goal.
fn step(previous: u64, goal: u64) -> u64 {
    match goal >= previous {
        true => previous + (goal - previous).div_ceil(STEP_DIVISOR),
        false => previous - (previous - goal).div_ceil(STEP_DIVISOR),
    }
}
