//! The pools that were short of capacity in the last minute, and the flows that were refused.
//!
//! A pool is tracked from its first flow that was refused or decided on under shortage, or from the
//! time at which all of its slots in all failure domains were taken, until `RETENTION` after the last
//! one. A full domain whose flows spill is not short. Nothing is counted while no pool is short.

use std::collections::BTreeMap;

use base::prelude::*;
use conf::key;

use crate::admission::Basis;

/// How long a shortage is remembered. Operators look at the page within a minute of an alarm.
pub const RETENTION: Span = Span::secs(60);
/// The number of priorities that are counted separately. A greater one counts as the last.
pub const PRIORITIES: usize = 4;
/// Bounds the number of tracked pools. Each takes 2 KB.
pub const POOLS_MAX: usize = 256;
/// The number of seconds that are counted, the current one included.
const SECONDS: usize = (RETENTION.0 / Span::secs(1).0) as usize;

/// Flows of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flows {
    /// Opening packets without their copies.
    pub offered: u32,
    /// The flows that were refused.
    pub refused: u32,
}

/// The flows of a pool in the time in which it was short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// The flows by priority.
    pub flows: [Flows; PRIORITIES],
    /// The time that they cover: from the first second of shortage to the last one.
    pub covered: Span,
    /// Time since the pool was last short.
    pub age: Span,
}

#[derive(Clone, Debug)]
struct Pool {
    /// The flows of the second that is its number modulo `SECONDS`.
    seconds: [[Flows; PRIORITIES]; SECONDS],
    /// The latest second that has been counted.
    latest: u64,
    short_since: Time,
    short_at: Time,
    basis: Option<(Time, Basis)>,
}

/// The shortages of all pools.
#[derive(Clone, Debug, Default)]
pub struct Shortages(BTreeMap<key::Pool, Pool>);

/// Returns the index of a priority.
pub fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

impl Pool {
    fn new(now: Time) -> Pool {
        Pool {
            seconds: [[Flows::default(); PRIORITIES]; SECONDS],
            latest: now.secs(),
            short_since: now,
            short_at: now,
            basis: None,
        }
    }

    /// Returns the counts of the current second.
    fn current(&mut self, now: Time) -> &mut [Flows; PRIORITIES] {
        let second = now.secs().max(self.latest);
        let passed = (second - self.latest).min(SECONDS as u64);
        for offset in 0..passed {
            self.seconds[(second - offset) as usize % SECONDS] = Default::default();
        }
        self.latest = second;
        &mut self.seconds[second as usize % SECONDS]
    }

    fn totals(&self, now: Time) -> Totals {
        let last = self.short_at.secs().min(self.latest);
        let first = self.short_since.secs();
        // Earlier seconds have been replaced by later ones, or are no longer of interest.
        let first = first.max((now.secs().max(self.latest) + 1).saturating_sub(SECONDS as u64));
        let mut flows = [Flows::default(); PRIORITIES];
        for second in first..=last {
            let counted = self.seconds[second as usize % SECONDS];
            for (sum, part) in flows.iter_mut().zip(counted) {
                sum.offered += part.offered;
                sum.refused += part.refused;
            }
        }
        let end = Time(Span::secs(last + 1).0).min(now);
        let covered = end.since(Time(Span::secs(first).0));
        Totals {
            flows,
            covered: covered.max(Span::secs(1)),
            age: now.since(self.short_at),
        }
    }
}

impl Shortages {
    /// Counts the first opening packet of a flow, if its pool is tracked.
    pub fn record_opening(&mut self, now: Time, pool: key::Pool, priority: u8) {
        if let Some(pool) = self.0.get_mut(&pool) {
            pool.current(now)[index(priority)].offered += 1;
        }
    }

    /// Counts a refused flow. The opening packet has been counted if the pool was tracked before.
    pub fn record_refusal(&mut self, now: Time, pool: key::Pool, priority: u8) {
        let is_tracked = self.0.contains_key(&pool);
        if let Some(pool) = self.track(now, pool) {
            let flows = &mut pool.current(now)[index(priority)];
            flows.refused += 1;
            flows.offered += u32::from(!is_tracked);
        }
    }

    /// Records the data behind a decision under shortage.
    pub fn record_decision(&mut self, now: Time, pool: key::Pool, basis: Basis) {
        if let Some(pool) = self.track(now, pool) {
            pool.basis = Some((now, basis));
        }
    }

    /// Records that all slots of a pool are taken, in each failure domain that is known.
    pub fn record_full(&mut self, now: Time, pool: key::Pool) {
        self.track(now, pool);
    }

    /// Removes the pools that have not been short for `RETENTION`.
    pub fn expire(&mut self, now: Time) {
        self.0
            .retain(|_, pool| now.since(pool.short_at) < RETENTION);
    }

    /// Returns the pools that were short in the last `RETENTION`.
    pub fn pools(&self) -> impl Iterator<Item = key::Pool> + '_ {
        self.0.keys().copied()
    }

    /// Returns the flows of a pool in the time of its shortage; `None` if it was not short.
    pub fn totals(&self, now: Time, pool: key::Pool) -> Option<Totals> {
        self.0.get(&pool).map(|pool| pool.totals(now))
    }

    /// Returns the data behind the latest decision under shortage, with its age.
    pub fn basis(&self, now: Time, pool: key::Pool) -> Option<(Basis, Span)> {
        let (at, basis) = self.0.get(&pool)?.basis?;
        Some((basis, now.since(at)))
    }

    /// Marks a pool as short. Returns `None` if too many pools are tracked.
    fn track(&mut self, now: Time, pool: key::Pool) -> Option<&mut Pool> {
        if self.0.len() >= POOLS_MAX && !self.0.contains_key(&pool) {
            return None;
        }
        let pool = self.0.entry(pool).or_insert_with(|| Pool::new(now));
        pool.short_at = now;
        Some(pool)
    }
}
