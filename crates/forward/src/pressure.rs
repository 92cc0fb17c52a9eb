//! The taken slots of the own failure domain, and the pools that are pressed.
//!
//! The counts contain the requests of this domain's callers only, since load reports do not leave the
//! domain. What other domains spill here is bounded by their shares of the free slots (`spill`).

use std::collections::BTreeMap;

use base::prelude::*;
use conf::key;

use crate::demand::Demands;
use crate::demand::Rate;
use crate::demand::Room;
use crate::load::Loads;
use crate::running;
use crate::table::Table;

/// The period in which occupancy is computed. Callers retransmit after 200 ms, so that one with a
/// refused first attempt finds the new state.
pub const PERIOD: Span = Span::millis(200);
/// How long a pool is reported after a frame has named it as pressed. Exceeds the age at which
/// entries expire, so that one lost frame does not end the exchange.
pub const NAMED_PERIOD: Span = Span::secs(2);
/// Bounds the service time: the longest deadline of callers.
pub const SERVICE_TIME_MAX: Span = Span::secs(10);
/// The requests per slot that count as needed slots, queued ones included. A full queue after a short
/// peak must not look like several times the demand.
const NEEDED_PER_SLOT_MAX: u32 = 2;
/// Slots are smoothed in thousandths.
const MILLI: u64 = 1_000;

/// The pressure on the pools.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    pools: BTreeMap<key::Pool, Count>,
    /// When a frame last named a pool as pressed.
    named: BTreeMap<key::Pool, Time>,
}

/// The servers of one pool in the own failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    /// The number of slots.
    slots: u32,
    /// The smoothed number of these that are taken, in thousandths.
    running: u64,
    /// The smoothed number of slots that the domain's callers need in all domains, in thousandths.
    needed: u64,
}

/// Slots of a pool, not smoothed.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    slots: u32,
    running: u32,
    needed: u32,
}

impl Pressure {
    /// Returns whether half or more of a pool's slots in the own domain are taken.
    pub fn is_pressed(&self, pool: key::Pool) -> bool {
        self.pools.get(&pool).is_some_and(Count::is_pressed)
    }

    /// Records that a frame has named a pool as pressed.
    pub fn record_named(&mut self, now: Time, pool: key::Pool) {
        self.named.insert(pool, now);
    }

    /// Returns whether any pool is pressed here or named as pressed.
    pub fn is_active(&self) -> bool {
        !self.named.is_empty() || self.pools.values().any(Count::is_pressed)
    }

    /// Returns the pools that are pressed here or that a frame has named as pressed.
    pub fn active(&self) -> Vec<key::Pool> {
        let pressed = self.pools.iter().filter(|(_, count)| count.is_pressed());
        let mut pools: Vec<key::Pool> = pressed.map(|(&pool, _)| pool).collect();
        pools.extend(self.named.keys());
        pools.sort_unstable();
        pools.dedup();
        pools
    }

    /// Counts the slots of the own failure domain. Returns the occupancy of the active pools. The
    /// service time follows from the needed slots and the rate, so that it holds for the mean of all
    /// kinds of requests.
    pub fn update(
        &mut self,
        now: Time,
        (table, loads): (&Table, &Loads),
        local: key::Domain,
        demands: &Demands,
    ) -> Vec<(key::Pool, Room)> {
        self.named.retain(|_, at| now.since(*at) <= NAMED_PERIOD);
        let samples = take_samples(now, table, loads, local);
        self.pools.retain(|pool, _| samples.contains_key(pool));
        for (&pool, sample) in &samples {
            self.pools.entry(pool).or_default().add(sample);
        }
        let active = self.active().into_iter();
        let rooms = active.filter_map(|pool| {
            let count = self.pools.get(&pool)?;
            let rate = demands.local(now, pool).0.sum();
            let room = Room {
                slots: count.slots,
                running: u32::try_from(count.running.div_ceil(MILLI)).unwrap_or(u32::MAX),
                service_time: estimate_service_time(count.needed, rate).min(SERVICE_TIME_MAX),
                age: Span::ZERO,
            };
            Some((pool, room))
        });
        rooms.collect()
    }
}

impl Count {
    fn is_pressed(&self) -> bool {
        self.running * 2 >= u64::from(self.slots) * MILLI
    }

    /// Takes over half of a sample: a few requests are a large part of the slots of a small domain.
    fn add(&mut self, sample: &Sample) {
        self.slots = sample.slots;
        self.running = (self.running + u64::from(sample.running) * MILLI) / 2;
        self.needed = (self.needed + u64::from(sample.needed) * MILLI) / 2;
    }
}

/// Counts the slots of each pool. Only servers that take flows at full rate have slots.
fn take_samples(
    now: Time,
    table: &Table,
    loads: &Loads,
    local: key::Domain,
) -> BTreeMap<key::Pool, Sample> {
    let mut samples: BTreeMap<key::Pool, Sample> = BTreeMap::new();
    let is_in = table.domain(local).out_since.is_none();
    for (key, row) in table.servers() {
        let Some(pool) = row.pool else {
            continue;
        };
        let requests = running::requests(row, loads, key, row.slots * NEEDED_PER_SLOT_MAX);
        let sample = samples.entry(pool).or_default();
        sample.needed += requests;
        let is_usable = row.is_accepting(now) && !row.health.is_confirmed();
        if is_in && row.domain == local && is_usable && !table.is_cold(key, now) {
            sample.slots += row.slots;
            sample.running += requests.min(row.slots);
        }
    }
    samples.retain(|_, sample| sample.slots > 0);
    samples
}

/// Returns the mean time that a request takes a slot: the needed slots over the rate.
fn estimate_service_time(needed_milli: u64, rate: Rate) -> Span {
    // Thousandths of a slot over tenths of a request per second are 1e-2 s.
    let micros = (needed_milli * 10_000).checked_div(rate.0.into());
    Span(micros.unwrap_or_default())
}
