//! Demand for each pool: the rates at this balancer, at its peers and in other failure domains.
//!
//! Rates at this balancer are smoothed over `SMOOTHING`. Of each peer and of each other failure
//! domain the latest entry counts, until it is `ENTRY_MAX_AGE` old. A large domain sends demand to
//! some of its balancers at a time (`exchange`), so the sum over the domain is extrapolated from the
//! peers that sent some to all live ones.

use std::collections::BTreeMap;
use std::fmt;
use std::iter;
use std::ops::Add;

use base::prelude::*;
use conf::key;
use cranelift_entity::SecondaryMap;
use limit::share;

use crate::rate::Estimator;
use crate::rate::Meter;
use crate::rate::Smoothed;

/// The number of priorities. A greater one counts as the last.
pub const PRIORITIES: usize = share::PRIORITIES;
/// The time constant of the rates at this balancer: shorter than the shortest target of callers
/// (250 ms), and long enough for the 20 requests per second that one balancer sees of a service.
pub const SMOOTHING: Span = Span::millis(200);
/// The age from which an entry of a peer or a failure domain does not count. Several frames are sent
/// in this time, and membership detects a killed balancer in about as long.
pub const ENTRY_MAX_AGE: Span = Span::millis(1_500);

/// A rate, in tenths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

/// The demand for a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offer {
    /// The rates of first opening packets, by priority.
    pub offered: [Rate; PRIORITIES],
    /// The rate of requests on flows that are open already.
    pub committed: Rate,
}

/// The demand for a pool in all failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Total {
    /// The rates of first opening packets, by priority.
    pub offered: [Rate; PRIORITIES],
    /// The rate of requests on flows that are open already.
    pub committed: Rate,
    /// The number of balancers whose demand is known, this one included.
    pub balancers: u32,
    /// The age of the oldest entry that counts; zero if only this balancer's demand is known.
    pub age: Span,
}

/// The servers of a pool in one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// The number of slots of the usable servers.
    pub slots: u32,
    /// The number of these slots that are taken.
    pub running: u32,
    /// The service time.
    pub service_time: Span,
    /// The age of this data.
    pub age: Span,
}

/// The demand and the servers of a pool in one failure domain, as its reporter sums them up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The demand.
    pub offer: Offer,
    /// The number of balancers in it.
    pub balancers: u32,
    /// The servers. The age is that of the data when it was received.
    pub room: Room,
}

/// The demand that this balancer knows.
#[derive(Clone, Debug, Default)]
pub struct Demands {
    own: SecondaryMap<key::Pool, Meters>,
    peers: BTreeMap<Incarnation, Entry<Offer>>,
    /// The number of live peers in the own failure domain.
    live_peers: u32,
    domains: BTreeMap<key::Domain, Entry<Summary>>,
    /// The own failure domain, with the servers of each pool there.
    local: Option<(key::Domain, Entry<Room>)>,
}

/// What a balancer or a failure domain reported last, by pool.
#[derive(Clone, Debug)]
struct Entry<T> {
    received_at: Time,
    pools: BTreeMap<key::Pool, T>,
}

/// The rates of one pool at this balancer.
#[derive(Clone, Copy, Debug, Default)]
struct Meters {
    offered: Meter<Smoothed<{ SMOOTHING.0 }>>,
    committed: Smoothed<{ SMOOTHING.0 }>,
}

impl Demands {
    /// Counts a first opening packet.
    pub fn record_opening(&mut self, now: Time, pool: key::Pool, priority: u8) {
        self.own[pool].offered.record(now, priority);
    }

    /// Counts a request on a flow that is open already.
    pub fn record_request(&mut self, now: Time, pool: key::Pool) {
        self.own[pool].committed.record(now);
    }

    /// Returns the rate of first opening packets of a priority at this balancer.
    pub fn own(&self, now: Time, pool: key::Pool, priority: u8) -> Rate {
        Rate(self.own[pool].offered.rate(now, priority))
    }

    /// Returns the demand at this balancer.
    pub fn own_offer(&self, now: Time, pool: key::Pool) -> Offer {
        let meters = &self.own[pool];
        Offer {
            offered: meters.offered.rates(now).map(Rate),
            committed: Rate(meters.committed.rate(now)),
        }
    }

    /// Returns the demand in the own failure domain, the number of balancers whose demand is known,
    /// and the age of the oldest entry.
    pub fn local(&self, now: Time, pool: key::Pool) -> (Offer, u32, Span) {
        let (mut sum, mut known, mut age) = (Offer::default(), 0, Span::ZERO);
        for entry in self.peers.values().filter(|entry| entry.is_fresh(now)) {
            if let Some(&offer) = entry.pools.get(&pool) {
                sum = sum + offer;
                known += 1;
                age = age.max(now.since(entry.received_at));
            }
        }
        if known > 0 && known < self.live_peers {
            sum = sum.scaled(self.live_peers, known);
        }
        (sum + self.own_offer(now, pool), known + 1, age)
    }

    /// Returns the demand in all failure domains.
    pub fn total(&self, now: Time, pool: key::Pool) -> Total {
        let (mut sum, mut balancers, mut age) = self.local(now, pool);
        for entry in self.domains.values().filter(|entry| entry.is_fresh(now)) {
            if let Some(summary) = entry.pools.get(&pool) {
                sum = sum + summary.offer;
                balancers = balancers.saturating_add(summary.balancers);
                age = age.max(now.since(entry.received_at));
            }
        }
        Total {
            offered: sum.offered,
            committed: sum.committed,
            balancers,
            age,
        }
    }

    /// Returns the servers of a pool in a failure domain; `None` without data from the last
    /// `ENTRY_MAX_AGE`.
    pub fn domain(&self, now: Time, pool: key::Pool, domain: key::Domain) -> Option<Room> {
        if let Some((_, entry)) = self.local.as_ref().filter(|(local, _)| *local == domain) {
            return entry.get(now, pool).map(|(room, age)| room.aged(age));
        }
        let (summary, age) = self.domains.get(&domain)?.get(now, pool)?;
        Some(summary.room.aged(age))
    }

    /// Returns the summaries of the other failure domains for a pool.
    pub fn summaries(
        &self,
        now: Time,
        pool: key::Pool,
    ) -> impl Iterator<Item = (key::Domain, Summary)> + '_ {
        self.domains.iter().filter_map(move |(&domain, entry)| {
            let (mut summary, age) = entry.get(now, pool)?;
            summary.room = summary.room.aged(age);
            Some((domain, summary))
        })
    }

    /// Replaces the entry of a peer.
    pub fn apply_peer(
        &mut self,
        now: Time,
        from: Incarnation,
        pools: impl IntoIterator<Item = (key::Pool, Offer)>,
    ) {
        let pools = pools.into_iter().collect();
        let received_at = now;
        self.peers.insert(from, Entry { received_at, pools });
    }

    /// Replaces the summary of another failure domain.
    pub fn apply_domain(
        &mut self,
        now: Time,
        domain: key::Domain,
        pools: impl IntoIterator<Item = (key::Pool, Summary)>,
    ) {
        let pools = pools.into_iter().collect();
        let received_at = now;
        self.domains.insert(domain, Entry { received_at, pools });
    }

    /// Replaces the occupancy of the own failure domain.
    pub fn set_local(
        &mut self,
        now: Time,
        domain: key::Domain,
        pools: impl IntoIterator<Item = (key::Pool, Room)>,
    ) {
        let pools = pools.into_iter().collect();
        let received_at = now;
        self.local = Some((domain, Entry { received_at, pools }));
    }

    /// Sets the number of live peers in the own failure domain.
    pub fn set_live_peers(&mut self, live_peers: u32) {
        self.live_peers = live_peers;
    }

    /// Removes entries that are too old, and those of peers and failure domains that do not count
    /// any more.
    pub fn expire(
        &mut self,
        now: Time,
        is_peer: impl Fn(Incarnation) -> bool,
        is_reached: impl Fn(key::Domain) -> bool,
    ) {
        self.peers
            .retain(|&from, entry| entry.is_fresh(now) && is_peer(from));
        self.domains
            .retain(|&domain, entry| entry.is_fresh(now) && is_reached(domain));
    }
}

impl<T: Copy> Entry<T> {
    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.received_at) <= ENTRY_MAX_AGE
    }

    /// Returns the data of a pool with its age since it was received, unless it is too old.
    fn get(&self, now: Time, pool: key::Pool) -> Option<(T, Span)> {
        let data = self.pools.get(&pool).filter(|_| self.is_fresh(now))?;
        Some((*data, now.since(self.received_at)))
    }
}

impl Offer {
    /// Returns the sum of all rates.
    pub fn sum(&self) -> Rate {
        let all = self.offered.iter().chain(iter::once(&self.committed));
        all.fold(Rate::default(), |sum, &rate| sum + rate)
    }

    /// Returns the demand times a fraction.
    fn scaled(self, numerator: u32, denominator: u32) -> Offer {
        let scale = |rate: Rate| {
            let scaled = u64::from(rate.0) * u64::from(numerator) / u64::from(denominator);
            Rate(u32::try_from(scaled).unwrap_or(u32::MAX))
        };
        Offer {
            offered: self.offered.map(scale),
            committed: scale(self.committed),
        }
    }
}

impl Add for Offer {
    type Output = Offer;

    fn add(self, other: Offer) -> Offer {
        let mut offered = self.offered;
        for (rate, more) in offered.iter_mut().zip(other.offered) {
            *rate = *rate + more;
        }
        Offer {
            offered,
            committed: self.committed + other.committed,
        }
    }
}

impl Room {
    fn aged(self, age: Span) -> Room {
        let age = Span(self.age.0.saturating_add(age.0));
        Room { age, ..self }
    }
}

impl Add for Rate {
    type Output = Rate;

    fn add(self, other: Rate) -> Rate {
        Rate(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}/s", self.0 / 10, self.0 % 10)
    }
}

impl fmt::Display for Room {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} slots, service time {}, {} old",
            self.running, self.slots, self.service_time, self.age
        )
    }
}
