//! Exchange of demand and occupancy between balancers.
//!
//! Each balancer sends its demand to the peers of its failure domain, and the domain's reporter sends
//! the sums and the occupancy of its servers to the reporters of the other domains. They pass them on
//! along a tree of their domain's balancers, in a different order each round, so that a lost frame or
//! a dead balancer hides a round from some of them only. Frames name only pools that are pressed
//! somewhere; nothing is sent while none is.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use base::hash;
use base::prelude::*;
use conf::key;
use member::Group;
use member::Member;
use member::State;
use wire::demand::DomainDemand;
use wire::demand::PoolDemand;
use wire::demand::PoolSum;
use wire::frame::Body;

use crate::demand::Demands;
use crate::demand::Offer;
use crate::demand::Rate;
use crate::demand::Room;
use crate::demand::Summary;
use crate::demand::ENTRY_MAX_AGE;
use crate::demand::PRIORITIES;
use crate::load::Loads;
use crate::pressure::Pressure;
use crate::pressure::PERIOD;
use crate::pressure::SERVICE_TIME_MAX;
use crate::recipient;
use crate::table::Table;

/// Bounds the number of pools in a frame, so that it fits a datagram.
pub const POOLS_MAX: usize = 32;
/// The bytes of these frames that one balancer sends per second: a quarter of its control budget of
/// 12 KB per second. Load reports take half.
pub const BYTES_PER_S: u64 = 2_700;
/// The part of these bytes that the rounds of summaries may take at a reporter.
const SUMMARY_BYTES_PER_S: u64 = 2_000;
/// Bounds the bytes that are saved up for a burst: half a second's.
const BURST_BYTES: i64 = BYTES_PER_S as i64 / 2;
/// Bounds the period of summaries. A receiver misses one and still has an entry that counts.
const SUMMARY_PERIOD_MAX: Span = Span::millis(700);
/// The sender's incarnation and the frame's tag, in bytes.
const HEAD_BYTES: usize = 8;
/// The unit of round numbers.
const ROUND_UNIT: Span = Span::millis(100);
/// Bounds a rate in a frame: 100,000 requests per second, more than all customers have together.
const RATE_MAX: u32 = 1_000_000;
/// Bounds the slots of a domain in a frame: `SERVERS_MAX` servers with 50 slots each.
const SLOTS_MAX: u32 = 1_000_000;

/// A frame with its recipient.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The recipient.
    pub to: SocketAddr,
    /// The message.
    pub body: Body,
}

/// The state that the exchange reads.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The current time.
    pub now: Time,
    /// The routes, pools and servers in force.
    pub table: &'a Table,
    /// The requests under way at peers.
    pub loads: &'a Loads,
    /// The members.
    pub group: &'a Group,
    /// The own failure domain.
    pub domain: &'a str,
}

/// The state of the exchange at one balancer.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// The pools by the hash of their name; `None` for a hash that two pools have in common.
    hashes: BTreeMap<u32, Option<key::Pool>>,
    /// The number of pools in `hashes`.
    known_pools: usize,
    pressure: Pressure,
    /// The last round of each other domain, and when it was received.
    rounds: BTreeMap<key::Domain, (Time, u32)>,
    /// The peers that are still to be sent the demand in this round.
    pending: VecDeque<SocketAddr>,
    observe_at: Time,
    demand_at: Time,
    summary_at: Time,
    /// The bytes that may be sent now; negative after frames that had to be passed on at once.
    available: i64,
    refilled_at: Time,
}

impl View<'_> {
    fn peers(&self) -> impl Iterator<Item = &Member> {
        let me = self.group.local().incarnation;
        let members = self.group.alive_in(self.domain);
        members.filter(move |member| member.incarnation != me)
    }

    /// Returns the live member with an incarnation, unless it is this balancer.
    fn sender(&self, from: Incarnation) -> Option<&Member> {
        let member = self.group.get(from)?;
        let is_peer = from != self.group.local().incarnation;
        (is_peer && member.state.is_live()).then_some(member)
    }

    /// Returns whether a failure domain takes part: it is in and not partitioned from here.
    pub fn is_reached(&self, domain: &str) -> bool {
        !self.table.is_domain_out(domain) && !self.group.is_partitioned(domain)
    }
}

impl Exchange {
    /// Returns whether the occupancy is due to be computed.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.observe_at
    }

    /// Returns the pools that are pressed here or that a frame has named as pressed.
    pub fn active(&self) -> Vec<key::Pool> {
        self.pressure.active()
    }

    /// Computes the occupancy of the own failure domain.
    pub fn observe(&mut self, view: &View<'_>, demands: &mut Demands) {
        let now = view.now;
        self.observe_at = now + PERIOD;
        self.update_hashes(view.table);
        // The callers of a suspected balancer are with the other ones already.
        let live = view.peers().filter(|member| member.state == State::Alive);
        demands.set_live_peers(u32::try_from(live.count()).unwrap_or(u32::MAX));
        if let Some(local) = view.table.domain_key(view.domain) {
            let counts = (view.table, view.loads);
            let rooms = self.pressure.update(now, counts, local, demands);
            demands.set_local(now, local, rooms);
        }
    }

    fn update_hashes(&mut self, table: &Table) {
        if self.known_pools == table.pools().count() {
            return;
        }
        self.hashes.clear();
        self.known_pools = 0;
        for (pool, row) in table.pool_entries() {
            self.known_pools += 1;
            let entry = self.hashes.entry(pool_hash(&row.object.name));
            entry.and_modify(|pool| *pool = None).or_insert(Some(pool));
        }
    }

    fn pool(&self, hash: u32) -> Option<key::Pool> {
        self.hashes.get(&hash).copied().flatten()
    }

    /// Returns the active pools, the fullest in any domain first, as many as fit a frame.
    fn pools_to_send(&self, view: &View<'_>, demands: &Demands) -> Vec<(u32, key::Pool)> {
        let now = view.now;
        let local = view.table.domain_key(view.domain);
        let fill = |room: Room| u64::from(room.running) * 1_000 / u64::from(room.slots.max(1));
        let mut pools: Vec<(u64, u32, key::Pool)> = Vec::new();
        for pool in self.active() {
            let hash = pool_hash(&view.table.pool(pool).object.name);
            let own = local.and_then(|local| demands.domain(now, pool, local));
            let others = demands
                .summaries(now, pool)
                .map(|(_, summary)| summary.room);
            let fullest = others.chain(own).map(fill).max().unwrap_or_default();
            if self.pool(hash) == Some(pool) {
                pools.push((u64::MAX - fullest, hash, pool));
            }
        }
        pools.sort_unstable();
        pools.truncate(POOLS_MAX);
        let pools = pools.into_iter();
        pools.map(|(_, hash, pool)| (hash, pool)).collect()
    }

    /// Returns the frames that are due: this balancer's demand to the peers of its failure domain,
    /// one round in each `report_period`, and the domain's summary if this balancer is its reporter.
    pub fn frames(
        &mut self,
        view: &View<'_>,
        demands: &Demands,
        report_period: Span,
    ) -> Vec<Outgoing> {
        let now = view.now;
        self.refill(now);
        if !self.pressure.is_active() {
            self.pending.clear();
            return Vec::new();
        }
        let is_demand_due = !self.pending.is_empty() || now >= self.demand_at;
        let is_summary_due = now >= self.summary_at && recipient::is_reporter(view.group);
        if !(is_summary_due || is_demand_due && self.available > 0) {
            return Vec::new();
        }
        let pools = self.pools_to_send(view, demands);
        let mut frames = match is_summary_due {
            true => self.summary_frames(view, demands, &pools),
            false => Vec::new(),
        };
        if self.pending.is_empty() && now >= self.demand_at {
            self.demand_at = now + report_period.max(PERIOD);
            self.pending
                .extend(view.peers().map(|member| member.peer.datagram));
        }
        if self.available <= 0 || self.pending.is_empty() || pools.is_empty() {
            return frames;
        }
        let demand = pools.iter().map(|&(pool_hash, pool)| {
            let offer = demands.own_offer(now, pool);
            let short = |rate: Rate| u16::try_from(rate.0).unwrap_or(u16::MAX);
            PoolDemand {
                pool_hash,
                offered: nonzero(offer)
                    .map(|(priority, rate)| (priority, short(rate)))
                    .collect(),
                committed: short(offer.committed),
                is_pressed: self.pressure.is_pressed(pool),
            }
        });
        let body = Body::Demand(demand.collect());
        let length = frame_length(&body);
        while self.available > 0 {
            let Some(to) = self.pending.pop_front() else {
                break;
            };
            self.available -= length;
            let body = body.clone();
            frames.push(Outgoing { to, body });
        }
        frames
    }

    fn summary_frames(
        &mut self,
        view: &View<'_>,
        demands: &Demands,
        pools: &[(u32, key::Pool)],
    ) -> Vec<Outgoing> {
        let now = view.now;
        let Some(local) = view.table.domain_key(view.domain) else {
            return Vec::new();
        };
        let to = recipient::other_reporters(view.group);
        let mut summary = DomainDemand {
            domain: view.domain.to_owned(),
            round: (now.0 / ROUND_UNIT.0) as u32,
            pools: pools
                .iter()
                .map(|&(pool_hash, pool)| {
                    // Without servers, the domain still has demand.
                    let room = demands.domain(now, pool, local).unwrap_or_default();
                    sum_pool(now, demands, pool_hash, pool, room)
                })
                .collect(),
        };
        if summary.pools.is_empty() || to.is_empty() {
            return Vec::new();
        }
        // A reporter sends its own summary to each other domain, and passes on one of each.
        let copies = (to.len() * (1 + recipient::FANOUT)) as u64;
        let round_max = SUMMARY_BYTES_PER_S * SUMMARY_PERIOD_MAX.0 / 1_000_000;
        let mut body = Body::DomainDemand(summary.clone());
        while frame_length(&body) as u64 * copies > round_max && summary.pools.len() > 1 {
            summary.pools.pop();
            body = Body::DomainDemand(summary.clone());
        }
        let length = frame_length(&body);
        let period = Span(length as u64 * copies * 1_000_000 / SUMMARY_BYTES_PER_S);
        self.summary_at = now + period.max(PERIOD);
        self.available -= length * to.len() as i64;
        let frame = |to| Outgoing {
            to,
            body: body.clone(),
        };
        to.into_iter().map(frame).collect()
    }

    /// Applies the demand of a peer. Returns whether the sender is a balancer of the own domain.
    pub fn apply_demand(
        &mut self,
        view: &View<'_>,
        demands: &mut Demands,
        from: Incarnation,
        pools: &[PoolDemand],
    ) -> bool {
        let sender = view.sender(from);
        if sender.is_none_or(|member| member.domain != view.domain) {
            return false;
        }
        let mut known = Vec::new();
        for demand in pools.iter().take(POOLS_MAX) {
            let Some(pool) = self.pool(demand.pool_hash) else {
                continue;
            };
            if demand.is_pressed {
                self.pressure.record_named(view.now, pool);
            }
            let offered = demand.offered.iter();
            let offered = offered.map(|&(priority, rate)| (priority, rate.into()));
            known.push((pool, offer(offered, demand.committed.into())));
        }
        demands.apply_peer(view.now, from, known);
        true
    }

    /// Applies the summary of another domain. Returns the frames that pass it on, or `None` if the
    /// sender may not send it.
    pub fn apply_summary(
        &mut self,
        view: &View<'_>,
        demands: &mut Demands,
        from: Incarnation,
        summary: DomainDemand,
    ) -> Option<Vec<Outgoing>> {
        let now = view.now;
        let sender = view.sender(from)?;
        let is_origin = sender.domain == summary.domain;
        if !is_origin && sender.domain != view.domain || summary.domain == view.domain {
            return None;
        }
        let domain = view.table.domain_key(&summary.domain)?;
        if !view.is_reached(&summary.domain) || !self.advance_round(now, domain, summary.round) {
            return Some(Vec::new());
        }
        let balancers_max = view.group.alive_in(&summary.domain).count() as u32;
        let mut known = Vec::new();
        for sum in summary.pools.iter().take(POOLS_MAX) {
            let Some(pool) = self.pool(sum.pool_hash) else {
                continue;
            };
            if u64::from(sum.running) * 2 >= u64::from(sum.slots) && sum.slots > 0 {
                self.pressure.record_named(now, pool);
            }
            known.push((pool, parse_sum(sum, balancers_max)));
        }
        demands.apply_domain(now, domain, known);
        let to = recipient::next_hops(view.group, summary.round, is_origin);
        let mut summary = summary;
        summary.pools.truncate(POOLS_MAX);
        let body = Body::DomainDemand(summary);
        self.available -= frame_length(&body) * to.len() as i64;
        let frame = |to| Outgoing {
            to,
            body: body.clone(),
        };
        Some(to.into_iter().map(frame).collect())
    }

    /// Records a round of a domain. Returns whether it is later than the last one. After
    /// `ENTRY_MAX_AGE` without one any round is, since the clock of a new reporter may be behind.
    fn advance_round(&mut self, now: Time, domain: key::Domain, round: u32) -> bool {
        let last = self.rounds.get(&domain);
        let is_later = last.is_none_or(|&(at, last)| {
            now.since(at) > ENTRY_MAX_AGE || (round.wrapping_sub(last) as i32) > 0
        });
        if is_later {
            self.rounds.insert(domain, (now, round));
        }
        is_later
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).0.min(1_000_000);
        let bytes = elapsed * BYTES_PER_S / 1_000_000;
        if bytes > 0 {
            self.refilled_at = now;
            self.available = (self.available + bytes as i64).min(BURST_BYTES);
        }
    }
}

/// Returns the name of a pool in frames.
pub fn pool_hash(name: &str) -> u32 {
    hash::bytes(name.as_bytes()) as u32
}

fn sum_pool(now: Time, demands: &Demands, pool_hash: u32, pool: key::Pool, room: Room) -> PoolSum {
    let (offer, balancers, _) = demands.local(now, pool);
    PoolSum {
        pool_hash,
        offered: nonzero(offer)
            .map(|(priority, rate)| (priority, rate.0))
            .collect(),
        committed: offer.committed.0,
        balancers: u16::try_from(balancers).unwrap_or(u16::MAX),
        slots: room.slots,
        running: room.running,
        service_us: u32::try_from(room.service_time.0).unwrap_or(u32::MAX),
    }
}

fn parse_sum(sum: &PoolSum, balancers_max: u32) -> Summary {
    let slots = sum.slots.min(SLOTS_MAX);
    Summary {
        offer: offer(sum.offered.iter().copied(), sum.committed),
        balancers: u32::from(sum.balancers).min(balancers_max),
        room: Room {
            slots,
            running: sum.running.min(slots),
            service_time: Span(sum.service_us.into()).min(SERVICE_TIME_MAX),
            age: Span::ZERO,
        },
    }
}

/// Returns the demand in a frame, with bounded rates. Of a priority that is named twice the last
/// rate counts.
fn offer(offered: impl Iterator<Item = (u8, u32)>, committed: u32) -> Offer {
    let mut offer = Offer {
        committed: Rate(committed.min(RATE_MAX)),
        ..Offer::default()
    };
    for (priority, rate) in offered.take(PRIORITIES) {
        let index = usize::from(priority).min(PRIORITIES - 1);
        offer.offered[index] = Rate(rate.min(RATE_MAX));
    }
    offer
}

fn nonzero(offer: Offer) -> impl Iterator<Item = (u8, Rate)> {
    let rates = (0u8..).zip(offer.offered);
    rates.filter(|&(_, rate)| rate > Rate::default())
}

/// Returns the bytes that a frame takes.
fn frame_length(body: &Body) -> i64 {
    let body =
        postcard::to_allocvec(body).expect("frames have only types that postcard can encode");
    (HEAD_BYTES + body.len()) as i64
}
