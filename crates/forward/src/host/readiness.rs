//! Whether a host whose link or processor stays full leaves its callers to other hosts.
//!
//! Hosts of a failure domain announce to each other that they are above `TARGET_PERCENT`. At most one of
//! them reports not ready at a time, and none does while several are short, since the others would
//! have to take its flows.

use std::collections::BTreeMap;

use base::prelude::*;
use wire::frame::HostUse;

use super::shedding::TARGET_PERCENT;

/// How long the use exceeds `TARGET_PERCENT` before it is announced. Refusals take effect in 300 ms.
const OVER_PERIOD: Span = Span::secs(1);
/// The period of announcements.
pub const ANNOUNCEMENT_PERIOD: Span = Span::secs(1);
/// The age from which an announcement does not count: two periods, and the time until the second one
/// arrives, which is a tick on each host and the way.
pub const ANNOUNCEMENT_MAX_AGE: Span = Span::millis(2_100);
/// The same for the announcement that a host is not ready: two that are lost in a row must not make
/// a second host not ready.
const WITHDRAWAL_MAX_AGE: Span = Span::millis(3_100);
/// The use at which refusals do not suffice, in percent.
const FULL_PERCENT: u32 = 95;
/// How long the use is at `FULL_PERCENT` or more before the host reports not ready. Requests that
/// were open when refusals started have ended by then.
const FULL_PERIOD: Span = Span::secs(3);
/// The use under which a host that reported not ready is ready again, in percent.
const CALM_PERCENT: u32 = 60;
/// How long the use is under `CALM_PERCENT` before that.
const CALM_PERIOD: Span = Span::secs(2);
/// Bounds the time for which a host is not ready. The fabric takes 1 s to act on it, and callers
/// return after that time at the latest, in case the load has moved.
const WITHDRAWAL_MAX: Span = Span::secs(10);
/// One in this many other hosts that announce use above `TARGET_PERCENT` keeps a host ready.
const CROWDED_PART: usize = 4;

/// What another host has announced.
#[derive(Clone, Copy, Debug)]
struct Announced {
    at: Time,
    percent: u32,
    is_withdrawn: bool,
}

/// The balancers of the own failure domain.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The current time.
    pub now: Time,
    /// The failure domain, as a hash.
    pub domain: u64,
    /// This balancer.
    pub me: Incarnation,
    /// The other live balancers.
    pub peers: &'a [Incarnation],
}

/// What follows from an update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The announcement to send to the peers.
    pub announcement: Option<HostUse>,
    /// Whether this host is ready now, if that has changed.
    pub change: Option<bool>,
}

/// The readiness of the host.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    over_since: Option<Time>,
    full_since: Option<Time>,
    calm_since: Option<Time>,
    withdrawn_since: Option<Time>,
    announced_at: Option<Time>,
    peers: BTreeMap<Incarnation, Announced>,
}

impl Readiness {
    /// Returns whether the host reports not ready.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_since.is_some()
    }

    /// Applies the announcement of a live balancer of the own failure domain.
    pub fn apply(&mut self, now: Time, from: Incarnation, announced: HostUse) {
        let announced = Announced {
            at: now,
            percent: announced.percent.into(),
            is_withdrawn: announced.is_withdrawn,
        };
        self.peers.insert(from, announced);
    }

    /// Returns the number of peers that announced a short while ago that they are above
    /// `TARGET_PERCENT`.
    pub fn peers_above(&self, now: Time) -> usize {
        let peers = self.peers.values();
        peers
            .filter(|peer| peer.counts(now) && peer.percent > TARGET_PERCENT)
            .count()
    }

    /// Returns whether an update would change and announce nothing: neither this host nor, as far as is
    /// known, another one is short. `percent` is as for `update`.
    pub fn is_idle(&self, percent: Option<u32>) -> bool {
        let is_over = percent.is_some_and(|percent| percent > TARGET_PERCENT);
        let has_state = self.over_since.is_some() || self.is_withdrawn();
        !is_over && !has_state && self.peers.is_empty()
    }

    /// Updates the readiness. `percent` is the greater use of link and processor; `None` if neither
    /// is known.
    pub fn update(&mut self, view: &View<'_>, percent: Option<u32>) -> Outcome {
        let now = view.now;
        let percent = percent.unwrap_or(0);
        self.peers.retain(|peer, announced| {
            now.since(announced.at) <= WITHDRAWAL_MAX_AGE && view.peers.contains(peer)
        });
        let since = |since: Option<Time>, holds: bool| holds.then(|| since.unwrap_or(now));
        self.over_since = since(self.over_since, percent > TARGET_PERCENT);
        self.full_since = since(self.full_since, percent >= FULL_PERCENT);
        self.calm_since = since(self.calm_since, percent < CALM_PERCENT);
        let was_withdrawn = self.is_withdrawn();
        match self.withdrawn_since {
            Some(at) if self.may_return(view, at) => {
                self.withdrawn_since = None;
                // Withdrawing again takes the whole period, so that the host takes flows meanwhile.
                self.full_since = None;
            }
            None if self.may_withdraw(view) => self.withdrawn_since = Some(now),
            _ => (),
        }
        let is_withdrawn = self.is_withdrawn();
        let change = (is_withdrawn != was_withdrawn).then_some(!is_withdrawn);
        Outcome {
            announcement: self.announce(now, percent),
            change,
        }
    }

    fn announce(&mut self, now: Time, percent: u32) -> Option<HostUse> {
        let is_over = lasted(self.over_since, now, OVER_PERIOD);
        let is_due = self
            .announced_at
            .is_none_or(|at| now.since(at) >= ANNOUNCEMENT_PERIOD);
        let is_wanted = is_over || self.is_withdrawn();
        (is_wanted && is_due).then(|| {
            self.announced_at = Some(now);
            HostUse {
                percent: u8::try_from(percent).unwrap_or(u8::MAX),
                is_withdrawn: self.is_withdrawn(),
            }
        })
    }

    fn may_return(&self, view: &View<'_>, withdrawn_since: Time) -> bool {
        let now = view.now;
        lasted(self.calm_since, now, CALM_PERIOD)
            || now.since(withdrawn_since) >= WITHDRAWAL_MAX
            || self.is_crowded(view)
    }

    fn may_withdraw(&self, view: &View<'_>) -> bool {
        let now = view.now;
        let is_other_withdrawn = self.peers.values().any(|peer| peer.is_withdrawn);
        lasted(self.full_since, now, FULL_PERIOD)
            && !self.is_crowded(view)
            && !is_other_withdrawn
            && self.is_first(view)
    }

    /// Returns whether too few other hosts can take further flows.
    fn is_crowded(&self, view: &View<'_>) -> bool {
        let balancers = view.peers.len() + 1;
        view.peers.is_empty() || self.peers_above(view.now) * CROWDED_PART >= balancers
    }

    /// Returns whether this host is the first by rendezvous hash of those that are full.
    fn is_first(&self, view: &View<'_>) -> bool {
        let full = self.peers.iter().filter(|(_, announced)| {
            announced.counts(view.now) && announced.percent >= FULL_PERCENT
        });
        let own = route::rendezvous::score(view.domain, view.me.0);
        let mut scores = full.map(|(peer, _)| route::rendezvous::score(view.domain, peer.0));
        scores.all(|score| score < own)
    }
}

impl Announced {
    fn counts(&self, now: Time) -> bool {
        now.since(self.at) <= ANNOUNCEMENT_MAX_AGE
    }
}

fn lasted(since: Option<Time>, now: Time, period: Span) -> bool {
    since.is_some_and(|since| now.since(since) >= period)
}
