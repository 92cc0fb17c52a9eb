//! Service times of backend servers, estimated from the answers that callers acknowledge.
//!
//! The time of an answer is divided by the number of requests that were ahead of it, which gives
//! the service time. The latency of the links is subtracted before. A server's estimate is the mean of the logarithms of its answers relative to
//! the pool, together with the estimates that peers report and with `PRIOR` answers at the pool's
//! time. Single long requests therefore make no server slow. Without answers the estimate returns
//! to the pool's, so that a server that recovers is tried.
//!
//! A balancer sees few answers of each server in a large deployment. It reports the servers that
//! are slow by its own answers, and its own estimate of those that a peer reports as slow, so that
//! the sum is not biased towards long requests.
//!
//! A full server rejects requests at once. The balancer sees neither side of it, but a rejection is much
//! shorter than an answer. It is no sample of the service time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::hash;
use base::prelude::*;
use conf::key;
use cranelift_entity::SecondaryMap;
use wire::frame::Speed;

use crate::answer;
use crate::flow;
use crate::load;
use crate::table::Table;
use crate::token::Mark;

mod mean;

use mean::exp;
use mean::log;
use mean::Mean;
use mean::ANSWER;
use mean::DOUBLE;

/// The shortest period between two reports of one balancer. A few reports arrive within the time in
/// which an estimate fades.
pub const REPORT_PERIOD: Span = Span::millis(200);
/// How long a peer's report counts, as a load report. Peers are served in turn (`recipients`), so that
/// it outlasts several periods.
pub const REPORT_LIFETIME: Span = Span::millis(1_500);
/// Bounds the number of servers in a report.
pub const REPORT_SERVERS_MAX: usize = 60;
/// Bounds the size of the reports of one period in bytes: 3 KB/s, a quarter of the control budget of
/// 12 KB/s.
const REPORT_BYTES_PER_PERIOD: usize = 600;
/// The size of a report without servers, with the headers of UDP and IP, in bytes.
const REPORT_BYTES: usize = 40;
/// The size of a server in a report, in bytes.
const REPORT_SERVER_BYTES: usize = 9;
/// The shortest time without answers over which a server's estimate returns to the pool's.
pub const FADE_TIME_MIN: Span = Span::secs(2);
/// Bounds the part of that time which differs by balancer and server, so that not all balancers try
/// a slow server at once. The report of the first one keeps the others from it.
pub const FADE_TIME_SPREAD: Span = Span::secs(2);
/// The shortest time for which a request counts while its answer is due.
pub const ANSWER_TIMEOUT_MIN: Span = Span::millis(250);
/// The longest time for which a server counts as full after a rejection. A caller that waits for
/// its answer still meets a target of 300 ms if the server has become free by then.
pub const FULL_TIME_MAX: Span = Span::millis(250);
/// The service time that is assumed before any answer. Its multiple for a full queue is
/// `ANSWER_TIMEOUT_MIN`.
pub const SERVICE_TIME_DEFAULT: Span = Span::millis(50);
/// The shortest service time that is distinguished from others. What is left of an answer's time without
/// the latency of links varies by a few milliseconds, and callers do not notice less.
pub const SERVICE_TIME_MIN: Span = Span::millis(5);
/// The factor of an unchanged speed (`Speeds::slowdown`), in thousandths.
pub const UNIT_SLOWDOWN: u64 = 1_000;

/// The deviation below which a slow server no longer is, a factor of 1.25. Its flows return
/// gradually while its estimate fades, instead of all at once.
const RECOVERED: i64 = DOUBLE / 4;
/// Bounds the deviation of one answer from the pool's time, a factor of 7, so that a lost packet
/// counts no more than a long request.
const DEVIATION_MAX: i64 = DOUBLE * 11 / 4;
/// The number of answers at the pool's time that each estimate includes. One answer of the largest
/// deviation gives a factor of 1.9; two that take 5 times as long make a server slow.
const PRIOR: i64 = 2;
/// Bounds the weight of the pool's answers: it follows its servers slowly, so that a change of some
/// shows as their deviation.
const POOL_ANSWERS_MAX: i64 = 64;
/// The part of an answer's weight in the pool's time if its server is slow. It keeps the pool's time
/// near that of the others when half of the servers are slow, and lets it follow when all are.
const SLOW_WEIGHT_DIVISOR: i64 = 4;
/// The part of its deviation by which an answer above the pool's time moves it.
const ABOVE_DIVISOR: i64 = 2;
/// The least weight of a server's own answers that is reported.
const REPORT_WEIGHT_MIN: i64 = ANSWER / 2;
/// The sizes of rejections. The first acknowledgement covers two packets, which bounds the size.
const REJECTION: answer::Bounds = answer::Bounds {
    divisor: 2,
    smoothing: 16,
    size_max: 4_096,
};

/// What is known of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Server {
    pool: Option<key::Pool>,
    own: Mean,
    /// The sum of the deviations that peers report.
    reported: i64,
    /// The number of these reports.
    reports: i64,
    /// The number of these that call the server slow.
    slow_reports: u32,
    /// When it last rejected a request.
    rejected_at: Time,
    full_until: Time,
    /// Whether it was slow at the last review.
    was_slow: bool,
}

/// What is known of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct Pool {
    /// The logarithm of its service time, in 1/`ANSWER`.
    log: i64,
    /// The weight of its answers; 0 before the first one.
    weight: i64,
    /// The usual size of an answer.
    usual: answer::Size,
}

#[derive(Clone, Debug)]
struct Report {
    received_at: Time,
    deviations: BTreeMap<key::Server, i64>,
}

/// A change of a server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The server.
    pub server: key::Server,
    /// Whether it is slow now.
    pub is_slow: bool,
    /// Its service time.
    pub service: Span,
    /// The pool's service time.
    pub pool: Span,
}

/// The result of a review.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Review {
    /// The report to peers.
    pub report: Vec<Speed>,
    /// The servers whose state has changed.
    pub changes: Vec<Change>,
}

/// The service times of servers and pools.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    servers: SecondaryMap<key::Server, Server>,
    pools: SecondaryMap<key::Pool, Pool>,
    /// The servers with answers, reports or a state that may change.
    active: BTreeSet<key::Server>,
    reports: BTreeMap<Incarnation, Report>,
    /// The incarnation of this balancer.
    balancer: u64,
    reviewed_at: Time,
    /// The number of reports that were sent in the own domain and in others, which selects the next
    /// recipients.
    sent: [usize; 2],
    /// The number of periods with a report.
    turn: usize,
}

impl Pool {
    fn log(&self) -> Option<i64> {
        (self.weight > 0).then_some(self.log / ANSWER)
    }

    fn add(&mut self, sample: i64, is_slow: bool) {
        let weight = match is_slow {
            true => ANSWER / SLOW_WEIGHT_DIVISOR,
            false => ANSWER,
        };
        if self.weight == 0 {
            self.log = sample * ANSWER;
        }
        self.weight = (self.weight + weight).min(POOL_ANSWERS_MAX * ANSWER);
        // Bounded, so that single long requests hardly move it. Answers above the pool's time move
        // it less, so that it stays near that of the faster servers when half of them are slow.
        let deviation = match (sample - self.log / ANSWER).clamp(-DOUBLE, DOUBLE) {
            above if above > 0 => above / ABOVE_DIVISOR,
            below => below,
        };
        self.log += deviation * ANSWER * weight / self.weight;
    }
}

impl Server {
    /// Returns the deviation from the pool's time by its own answers and those of peers.
    fn deviation(&self, now: Time) -> i64 {
        let own = self.own.faded(now);
        let weight = own.weight + (self.reports + PRIOR) * ANSWER;
        (own.sum + self.reported * ANSWER) / weight
    }

    /// Returns the deviation of a server that counts as slow.
    fn slow_deviation(&self, now: Time) -> Option<i64> {
        let least = if self.was_slow { RECOVERED } else { DOUBLE };
        Some(self.deviation(now)).filter(|&deviation| deviation >= least)
    }
}

impl Speeds {
    /// Sets the balancer that estimates.
    pub fn with_balancer(mut self, balancer: Incarnation) -> Speeds {
        self.balancer = balancer.0;
        self
    }

    /// Records an answer that took `took` from the request's last data, with `ahead` requests before
    /// it at a server of `slots` slots.
    pub fn record(
        &mut self,
        now: Time,
        server: key::Server,
        pool: key::Pool,
        took: Span,
        ahead: u32,
        slots: u32,
    ) {
        let slots = u64::from(slots.max(1));
        let turns = slots.max(u64::from(ahead) + 1);
        let service = Span(took.0.saturating_mul(slots) / turns);
        let sample = log(service.max(SERVICE_TIME_MIN));
        let is_slow = self.is_slow(now, server);
        let totals = &mut self.pools[pool];
        let base = totals.log().unwrap_or(sample);
        totals.add(sample, is_slow);
        let entry = &mut self.servers[server];
        if entry.pool != Some(pool) {
            entry.own = Mean::default();
        }
        entry.pool = Some(pool);
        let deviation = (sample - base).clamp(-DEVIATION_MAX, DEVIATION_MAX);
        let spread = hash::pair(self.balancer, server.as_u32().into()) % FADE_TIME_SPREAD.0;
        entry.own.fade_time = Span(FADE_TIME_MIN.0 + spread);
        entry.own.add(now, deviation);
        self.active.insert(server);
    }

    /// Returns the service time of a server. It is the pool's unless the server is slow.
    pub fn service_time(&self, now: Time, server: key::Server) -> Span {
        let entry = &self.servers[server];
        let time = |pool| self.service_time_in(now, server, pool);
        entry.pool.map_or(SERVICE_TIME_DEFAULT, time)
    }

    /// Returns the service time of a server of a pool, also if neither this balancer nor a peer has
    /// seen an answer of that server.
    pub fn service_time_in(&self, now: Time, server: key::Server, pool: key::Pool) -> Span {
        let pool_time = self.pool_service_time(now, pool);
        let pool_time = pool_time.unwrap_or(SERVICE_TIME_DEFAULT);
        Span(pool_time.0 * self.slowdown(now, server) / UNIT_SLOWDOWN)
    }

    /// Returns the service time of a pool; `None` before its first answer.
    pub fn pool_service_time(&self, _now: Time, pool: key::Pool) -> Option<Span> {
        self.pools[pool].log().map(exp)
    }

    /// Returns whether a server takes at least twice as long as its pool, or did at the last review
    /// and has not recovered.
    pub fn is_slow(&self, now: Time, server: key::Server) -> bool {
        self.servers[server].slow_deviation(now).is_some()
    }

    /// Returns the service time of a server over the pool's, in thousandths. It is `UNIT_SLOWDOWN`
    /// unless the server is slow, so that noise does not affect selection.
    pub fn slowdown(&self, now: Time, server: key::Server) -> u64 {
        match self.servers[server].slow_deviation(now) {
            Some(deviation) => {
                let whole = UNIT_SLOWDOWN << (deviation / DOUBLE);
                whole + whole * (deviation % DOUBLE) as u64 / DOUBLE as u64
            }
            None => UNIT_SLOWDOWN,
        }
    }

    /// Returns the time in which a server answers even from the end of its queue, so that a request
    /// without an answer by then was lost or rejected.
    pub fn answer_timeout(&self, now: Time, server: key::Server, pool: key::Pool) -> Span {
        if self.pool_service_time(now, pool).is_none() {
            return flow::REQUEST_TIMEOUT;
        }
        let service = self.service_time_in(now, server, pool);
        let longest = Span(service.0 * u64::from(1 + load::QUEUE_PER_SLOT));
        longest.clamp(ANSWER_TIMEOUT_MIN, flow::REQUEST_TIMEOUT)
    }

    /// Returns whether an answer of a size is a rejection: the server was estimated to have no free
    /// slot, and the answer is shorter than half of the usual one.
    pub fn is_rejection(&self, pool: key::Pool, size: u32, had_free_slot: bool) -> bool {
        !had_free_slot && self.pools[pool].usual.is_short(size, &REJECTION)
    }

    /// Records the size of an answer that is not a rejection.
    pub fn record_size(&mut self, pool: key::Pool, size: u32) {
        self.pools[pool].usual.record(size, &REJECTION);
    }

    /// Records a rejection: the server's queue is full, and counts as full for the time of the work
    /// in it.
    pub fn record_rejection(&mut self, now: Time, server: key::Server, pool: key::Pool) {
        let service = self.service_time_in(now, server, pool);
        let work = Span(service.0 * u64::from(load::QUEUE_PER_SLOT));
        let entry = &mut self.servers[server];
        entry.rejected_at = now;
        entry.full_until = now + work.min(FULL_TIME_MAX);
    }

    /// Returns until when a server counts as full.
    pub fn full_until(&self, server: key::Server) -> Time {
        self.servers[server].full_until
    }

    /// Returns the least number of requests at a server that a rejection implies. Its queue was full
    /// then, and drains until `full_until`, when the requests that were in it run.
    pub fn implied_requests(&self, now: Time, server: key::Server, slots: u32) -> u32 {
        let entry = &self.servers[server];
        let left = entry.full_until.since(now).0;
        let total = entry.full_until.since(entry.rejected_at).0;
        if left == 0 || total == 0 {
            return 0;
        }
        let queue = load::capacity(slots).saturating_sub(slots);
        slots + (u64::from(queue) * left / total) as u32
    }

    /// Returns whether a server counts as full because it rejected a request.
    pub fn is_full(&self, now: Time, server: key::Server) -> bool {
        now < self.servers[server].full_until
    }

    /// Applies a peer's report in place of its previous one. Servers that are unknown, or whose pool
    /// has not answered here, are left out.
    pub fn apply_report(&mut self, now: Time, from: Incarnation, speeds: &[Speed], table: &Table) {
        self.remove_report(from);
        let mut deviations = BTreeMap::new();
        for speed in speeds.iter().take(REPORT_SERVERS_MAX) {
            let Some(server) = table.server_by_mark(Mark(speed.server_hash)) else {
                continue;
            };
            let pool = table.server(server).pool;
            let Some((pool, base)) = pool.and_then(|pool| Some((pool, self.pools[pool].log()?)))
            else {
                continue;
            };
            let deviation = log(Span(speed.service_us.into())) - base;
            let deviation = deviation.clamp(-DEVIATION_MAX, DEVIATION_MAX);
            // A map, so that a forged report counts once for each server.
            deviations.insert(server, deviation);
            self.servers[server].pool.get_or_insert(pool);
        }
        for (&server, &deviation) in &deviations {
            let entry = &mut self.servers[server];
            entry.reported += deviation;
            entry.reports += 1;
            entry.slow_reports += u32::from(deviation >= DOUBLE);
            self.active.insert(server);
        }
        let report = Report {
            received_at: now,
            deviations,
        };
        self.reports.insert(from, report);
    }

    fn remove_report(&mut self, from: Incarnation) {
        let Some(report) = self.reports.remove(&from) else {
            return;
        };
        for (server, deviation) in report.deviations {
            let entry = &mut self.servers[server];
            entry.reported -= deviation;
            entry.reports -= 1;
            entry.slow_reports -= u32::from(deviation >= DOUBLE);
        }
    }

    /// Reviews all servers once in `REPORT_PERIOD`: expires reports, and returns the report to peers
    /// and the changes since the last review. Returns `None` before the next review is due.
    pub fn review(&mut self, now: Time, table: &Table) -> Option<Review> {
        if now.since(self.reviewed_at) < REPORT_PERIOD {
            return None;
        }
        self.reviewed_at = now;
        self.expire_reports(now);
        let mut review = Review::default();
        let mut reported: Vec<(i64, Speed)> = Vec::new();
        let mut idle = Vec::new();
        for &server in &self.active {
            let is_slow = self.is_slow(now, server);
            let service = self.service_time(now, server);
            let entry = &mut self.servers[server];
            let own = entry.own.faded(now);
            let log = entry.pool.and_then(|pool| self.pools[pool].log());
            if std::mem::replace(&mut entry.was_slow, is_slow) != is_slow {
                review.changes.push(Change {
                    server,
                    is_slow,
                    service,
                    pool: log.map_or(SERVICE_TIME_DEFAULT, exp),
                });
            }
            if own.weight == 0 && entry.reports == 0 {
                idle.push(server);
            }
            let Some(log) = log.filter(|_| own.weight >= REPORT_WEIGHT_MIN) else {
                continue;
            };
            let deviation = own.sum / own.weight;
            if deviation >= DOUBLE || entry.slow_reports > 0 {
                let speed = Speed {
                    server_hash: table.server(server).mark.0,
                    service_us: u32::try_from(exp(log + deviation).0).unwrap_or(u32::MAX),
                };
                reported.push((deviation, speed));
            }
        }
        for server in idle {
            self.active.remove(&server);
        }
        // The slowest ones first. The sort is stable, so that the order is the same in every run.
        reported.sort_by_key(|&(deviation, _)| std::cmp::Reverse(deviation));
        reported.truncate(REPORT_SERVERS_MAX);
        review.report = reported.into_iter().map(|(_, speed)| speed).collect();
        Some(review)
    }

    fn expire_reports(&mut self, now: Time) {
        let expired: Vec<Incarnation> = self
            .reports
            .iter()
            .filter(|(_, report)| now.since(report.received_at) > REPORT_LIFETIME)
            .map(|(&from, _)| from)
            .collect();
        for from in expired {
            self.remove_report(from);
        }
    }

    /// Selects the recipients of a report in turn, as many as fit `REPORT_BYTES_PER_PERIOD`, so that
    /// the bandwidth does not grow with the deployment. Half of them are in other failure domains,
    /// whose balancers see few answers of these servers and would try slow ones over and over.
    pub fn recipients<T: Copy>(&mut self, local: &[T], remote: &[T], servers: usize) -> Vec<T> {
        let size = REPORT_BYTES + servers * REPORT_SERVER_BYTES;
        let frames = (REPORT_BYTES_PER_PERIOD / size).max(1);
        // With an odd number of frames, the two take turns with one more.
        self.turn = self.turn.wrapping_add(1);
        let local_frames = match remote.is_empty() {
            true => frames,
            false => (frames + self.turn % 2) / 2,
        };
        let mut recipients = Vec::new();
        let parts = [(local, local_frames), (remote, frames - local_frames)];
        for ((peers, count), sent) in parts.into_iter().zip(&mut self.sent) {
            let skipped = sent.checked_rem(peers.len()).unwrap_or_default();
            *sent = sent.wrapping_add(count);
            let turn = peers.iter().copied().cycle().skip(skipped);
            recipients.extend(turn.take(count.min(peers.len())));
        }
        recipients
    }
}
