//! Slow start: the rate at which a cold backend server receives flows.
//!
//! The limit of a cold server holds for all balancers together. Only its owner opens flows there:
//! the first of the balancers of its failure domain by rendezvous hash. Membership views may differ
//! for a while, so that a server has two owners; each therefore uses only its share of the limit.
//!
//! More than two would exceed it. When several balancers end or start together, a balancer may own a
//! server for some 700 ms in its own view while others still take an earlier one for the owner. A new
//! owner therefore waits for `TAKEOVER_WAIT`. When all balancers of a failure domain start together,
//! none was the owner before, and nobody waits.

use std::collections::BTreeMap;

use base::prelude::*;
use conf::object;

/// The number of concurrent owners that one cold server may have while membership views differ.
const CONCURRENT_OWNERS_MAX: u32 = 2;

/// How long a new owner waits before it opens flows: the window of the limit. The flows that earlier
/// owners opened no longer count then, and they have learned of the new owner.
pub const TAKEOVER_WAIT: Span = Span::secs(1);
/// The age of the oldest process of a failure domain up to which its balancers have started together.
/// They are eligible for ownership after 1 s, and know that of each other within another second.
pub const JOINT_START: Span = Span::secs(3);
/// The time between two observations of the owners from which the process was paused. It is several
/// times the period of membership steps, and shorter than the time in which others find a pause.
const PAUSE_MIN: Span = Span::millis(500);

/// The balancers that may own the cold servers of one failure domain, as known here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// A hash of the balancers.
    set: u64,
    /// Counts the changes of the set.
    epoch: u32,
    /// When the set last changed; zero while the balancers start together.
    changed_at: Time,
    /// Whether the balancers are starting together.
    is_joint_start: bool,
}

/// The balancers that may own cold servers, by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    views: BTreeMap<String, View>,
    observed_at: Option<Time>,
    /// When the last pause ended.
    resumed_at: Option<Time>,
}

impl Owners {
    /// Records that the owners are observed now. A pause since the last time makes them doubtful.
    pub fn start_observation(&mut self, now: Time) {
        let last = self.observed_at.replace(now);
        if last.is_some_and(|last| now.since(last) >= PAUSE_MIN) {
            self.record_pause(now);
        }
    }

    /// Records that the process was paused. Others may own its servers since then.
    pub fn record_pause(&mut self, now: Time) {
        self.resumed_at = Some(now);
    }

    /// Records the balancers that may own the servers of a failure domain, and when the oldest
    /// process of them started. `is_alone` says whether this balancer knows no other one: until it
    /// does, it cannot recognize a joint start.
    pub fn observe(
        &mut self,
        now: Time,
        domain: &str,
        members: impl Iterator<Item = Incarnation>,
        oldest: Time,
        is_alone: bool,
    ) {
        let set = members.fold(0, |set, member| base::hash::pair(set, member.0));
        let is_joint_start = !is_alone && now.since(oldest) <= JOINT_START;
        let view = self.views.entry(domain.to_owned()).or_default();
        if view.set == set && view.is_joint_start == is_joint_start {
            return;
        }
        if view.set != set || is_joint_start {
            view.changed_at = match is_joint_start {
                true => Time::default(),
                false => now,
            };
        }
        view.set = set;
        view.is_joint_start = is_joint_start;
        view.epoch += 1;
    }

    /// Returns the view of a failure domain.
    pub fn view(&self, domain: &str) -> View {
        self.views.get(domain).copied().unwrap_or_default()
    }

    /// Returns whether an owner with this tenure may open flows to a server of a failure domain.
    pub fn may_open(&self, now: Time, domain: &str, tenure: Tenure) -> bool {
        let since = match tenure {
            Tenure::Unknown => Some(self.view(domain).changed_at),
            Tenure::Known { since, .. } => since,
        };
        let is_over = |from: Time| from == Time::default() || now.since(from) >= TAKEOVER_WAIT;
        since.is_some_and(is_over) && self.resumed_at.is_none_or(is_over)
    }
}

/// This balancer's ownership of one server while that is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tenure {
    /// The server was not cold when the owners were last observed.
    #[default]
    Unknown,
    /// The owner is known.
    Known {
        /// The epoch of the view in which it was found.
        epoch: u32,
        /// Since when it is this balancer; zero if no other one was the owner before.
        since: Option<Time>,
    },
}

impl Tenure {
    /// Returns the tenure in a view. `owns` returns whether this balancer is the owner, and is called
    /// only if that may have changed.
    pub fn observed(self, now: Time, view: View, owns: impl FnOnce() -> bool) -> Tenure {
        let since = match self {
            Tenure::Known { epoch, .. } if epoch == view.epoch => return self,
            _ if view.is_joint_start => Time::default(),
            Tenure::Known { since, .. } => since.unwrap_or(now),
            Tenure::Unknown => view.changed_at,
        };
        Tenure::Known {
            epoch: view.epoch,
            since: owns().then_some(since),
        }
    }
}

/// The rate limit of a cold server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Factor on the pool's rate, in percent.
    pub overage_percent: u32,
    /// Flows per second beyond that.
    pub slack: u32,
}

impl RateLimit {
    /// Returns the interval between two flows to a cold server of the pool.
    ///
    /// A window of one second holds at most one flow more than it holds intervals, so one is
    /// subtracted from the owner's share.
    pub fn interval(&self, pool: &object::Pool) -> Span {
        // Divides by 100 for the percentage and by 60 for the rate per minute.
        let rate = u64::from(pool.cold_per_minute) * u64::from(self.overage_percent) / 6_000;
        let limit = rate + u64::from(self.slack);
        let own = (limit / u64::from(CONCURRENT_OWNERS_MAX))
            .saturating_sub(1)
            .max(1);
        Span(Span::secs(1).0 / own)
    }
}
