//! Injects the loads of a plan. Unlike a fault, a load excuses no breach of a promise about flows.

use std::time::Duration;

use base::prelude::*;

use crate::address;
use crate::address::DOMAINS;
use crate::checker::Promise;
use crate::checker::CROWD_RECOVERY_TIME;
use crate::fault::Injector;
use crate::operator;
use crate::operator::POOLS;
use crate::operator::PRIORITY_POOL;
use crate::operator::PRIORITY_TARGET;
use crate::run::SERVED_MIN_PERCENT;
use crate::server::Server;
use crate::world::CompletedRequest;
use crate::world::HostLink;
use crate::world::Outcome;
use crate::world::State;

/// Duration of a crowd: that of the users' crowds.
const CROWD_TIME: Span = Span::secs(8);
/// Time from the start of a crowd until balancers know of it and its effects are judged.
const CROWD_START_TIME: Span = Span::secs(1);
/// Time before and after a crowd in which the level of service is measured.
const LEVEL_TIME: Span = Span::secs(2);
/// Difference of two shares of requests, in percent, that is due to chance.
const MARGIN_PERCENT: usize = 5;
/// Least time for which the link of a host is full: longer than it takes balancers to miss a peer.
const LINK_MIN: Span = Span::secs(2);
/// Time between two checks for faults during a load.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the last requests of a load have ended: their deadline.
const END_TIME: Duration = Duration::from_secs(3);

/// Share of requests that were answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Level {
    sent: usize,
    on_target: usize,
}

impl Level {
    /// Returns the level of the requests that `is_counted` selects, with the time in which they must
    /// have been answered.
    fn new(state: &State, target: Span, is_counted: impl Fn(&CompletedRequest) -> bool) -> Level {
        let counted = state.completed.iter().filter(|request| is_counted(request));
        let is_on_target = |request: &&CompletedRequest| {
            request.outcome == Outcome::Served && request.took <= target
        };
        Level {
            sent: counted.clone().count(),
            on_target: counted.filter(is_on_target).count(),
        }
    }

    fn percent(self) -> usize {
        self.on_target * 100 / self.sent.max(1)
    }
}

impl std::fmt::Display for Level {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}% of {}", self.percent(), self.sent)
    }
}

/// Returns whether a load on half of the servers of a failure domain affects an address. Each pool
/// has half of its servers of the domain among them.
fn is_affected(address: usize, domain: usize) -> bool {
    address::domain_of(address) == domain && address / (DOMAINS * POOLS) % 2 == 0
}

impl Injector {
    /// Applies a load to half of the servers of a failure domain, and returns when it is over.
    /// `set_end` sets when the load of a server ends.
    pub(crate) async fn load_servers(
        &self,
        domain: usize,
        duration: Duration,
        set_end: impl Fn(&mut Server, Time),
    ) {
        self.world.with(|state, now| {
            let end = now + Span(duration.as_micros() as u64);
            let addresses = (0..address::SERVERS).filter(|&at| is_affected(at, domain));
            for server in addresses.filter_map(|at| state.server_at[at]) {
                set_end(&mut state.servers[server], end);
            }
        });
        tokio::time::sleep(duration).await;
    }

    /// Limits the link of a balancer's host, unless it is limited, and checks what callers met.
    pub(crate) async fn fill_link(&self, balancer: usize, duration: Duration) {
        let has_started = self.world.with(|state, _| {
            let link = &mut state.links.hosts[balancer];
            link.is_none().then(|| *link = Some(HostLink::default()))
        });
        if has_started.is_none() {
            return;
        }
        let from = self.world.now();
        let to = from + Span(duration.as_micros() as u64) + LINK_MIN;
        let is_calm = self.watch(to, Some(balancer)).await;
        self.world
            .with(|state, _| state.links.hosts[balancer] = None);
        tokio::time::sleep(END_TIME).await;
        self.world
            .with(|state, now| state.check_full_link(now, from, to, balancer, is_calm));
    }

    /// Returns at `end` whether nothing disturbed the run. `host` is the balancer whose link is full;
    /// it is not taken into account.
    async fn watch(&self, end: Time, host: Option<usize>) -> bool {
        let mut is_calm = true;
        while self.world.now() < end {
            self.world.with(|state, now| {
                is_calm &= state.is_calm(now, host);
                if let Some(host) = host {
                    // A crowd's refusals are not due to the link.
                    is_calm &= !state.had_crowd(now, CROWD_RECOVERY_TIME);
                    state.balancers[host].last_full_link = now;
                }
            });
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
        is_calm
    }

    /// Runs a crowd, unless there is one already, and checks what callers met.
    pub(crate) async fn run_crowd(&self) {
        let crowd = self.world.with(|state, now| {
            let is_over = !state.had_crowd(now, Span(CROWD_RECOVERY_TIME.0 + LEVEL_TIME.0));
            is_over.then(|| *state.crowd.insert((now, now + CROWD_TIME)))
        });
        let Some((from, to)) = crowd else { return };
        let is_calm = self
            .watch(to + CROWD_RECOVERY_TIME + LEVEL_TIME, None)
            .await;
        tokio::time::sleep(END_TIME).await;
        self.world
            .with(|state, now| state.check_crowd(now, from, to, is_calm));
    }
}

impl State {
    /// Checks that requests of other hosts were served while the link of one was full, if nothing
    /// else disturbed the run.
    pub fn check_full_link(&mut self, now: Time, from: Time, to: Time, host: usize, is_calm: bool) {
        let served = |is_own: bool| {
            Level::new(self, Span(u64::MAX), |request| {
                (from..to).contains(&request.sent) && (request.via == Some(host)) == is_own
            })
        };
        let (own, others) = (served(true), served(false));
        let what = format!(
            "full link of balancer {host}: served {own}, of others {others}, calm: {is_calm}"
        );
        if is_calm && others.percent() < SERVED_MIN_PERCENT {
            self.record_breach(now, Promise::Service, what.clone());
        }
        self.load_results.push(what);
    }

    /// Checks that urgent requests were served before less urgent ones during a crowd, and, if
    /// nothing else disturbed the run, that service was back to its previous level in time.
    pub fn check_crowd(&mut self, now: Time, from: Time, to: Time, is_calm: bool) {
        let level = |from: Time, to: Time, priority: Option<u8>| {
            Level::new(self, PRIORITY_TARGET, |request| {
                let own = operator::priority(request.route);
                self.pool_of(request.route) == Some(PRIORITY_POOL)
                    && (from..to).contains(&request.sent)
                    && priority.is_none_or(|priority| priority == own)
            })
        };
        let start = from + CROWD_START_TIME;
        let (urgent, other) = (
            level(start, to, Some(0)),
            level(start, to, Some(operator::LESS_URGENT)),
        );
        let back = to + CROWD_RECOVERY_TIME;
        let (before, after) = (
            level(from - LEVEL_TIME, from, None),
            level(back, back + LEVEL_TIME, None),
        );
        let what = format!(
            "crowd: urgent {urgent}, less urgent {other}, before {before}, after {after}, calm: {is_calm}"
        );
        let (late, other_late) = (100 - urgent.percent(), 100 - other.percent());
        let is_reversed = late > other_late + MARGIN_PERCENT;
        // The servers can serve all urgent requests. Faults affect both kinds alike.
        let is_equal = is_calm && late * 2 > other_late + MARGIN_PERCENT;
        if is_reversed || is_equal {
            self.record_breach(now, Promise::Priority, what.clone());
        }
        if is_calm && after.percent() + MARGIN_PERCENT < before.percent() {
            self.record_breach(now, Promise::Service, what.clone());
        }
        self.load_results.push(what);
    }
}
