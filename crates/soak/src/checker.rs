//! Checks what callers and servers observe against the promises that balancers make.
//!
//! Time bounds apply only to settled balancers: the balancer runs, and for [`SETTLE_TIME`] no fault
//! has affected it or the platform and it has not been stopped or started.

use std::fmt;
use std::net::SocketAddrV4;

use base::prelude::*;
use serde::Serialize;
use strum::Display;

use crate::operator::PRIORITY_POOL;
use crate::server::Status;
use crate::world::State;

/// Time without a fault after which a balancer, a server or a link counts as settled.
pub const SETTLE_TIME: Span = Span::secs(4);
/// Time within which balancers apply an acknowledged change of the routing.
pub const ROUTING_APPLY_TIME: Span = Span::secs(3);
/// Time after which a draining server gets no new flows.
pub const DRAIN_APPLY_TIME: Span = Span::secs(3);
/// Time after which a failure domain that was taken out gets no new flows.
pub const OUT_APPLY_TIME: Span = Span::secs(5);
/// Most new flows per second on a cold server: the pool allows 2 per second, the settings add an
/// overage of half of that and a slack of 5.
pub const COLD_FLOWS_MAX: usize = 8;
/// Time added to each bound for scheduling delays of the machine.
pub const SLACK: Span = Span::millis(300);
/// Longest time from an opening packet to its refusal, as its caller sees it: 50 ms at the balancer,
/// the rest for scheduling delays of the machine.
pub const REFUSAL_TIME: Span = Span::millis(250);
/// Time after a crowd within which service is back to its previous level.
pub const CROWD_RECOVERY_TIME: Span = Span::secs(2);
/// Consecutive packets of one flow that reach servers other than its own before the flow counts as
/// misrouted.
const MISROUTED_MAX: u32 = 3;
/// Longest time from the first of these packets to the last. After it, counting starts again.
const MISROUTED_WINDOW: Span = Span::secs(2);

/// A promise of the balancers. Each variant is reported under its own name when it is broken.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Promise {
    /// An open flow to a live server was reset or misrouted.
    Flow,
    /// A server got a flow of another pool's route.
    Route,
    /// A packet arrived corrupted.
    Packet,
    /// A caller got an answer that does not belong to its request.
    Answer,
    /// A request that is not idempotent ran more than once.
    Twice,
    /// A draining server got a new flow.
    Drain,
    /// A failure domain that is out got a new flow.
    Out,
    /// A cold server got new flows above its limit.
    Cold,
    /// An opening packet was refused late.
    Refusal,
    /// Less urgent requests were served before urgent ones.
    Priority,
    /// A change of the routing was not applied in time, or was reverted.
    Config,
    /// A planned stop exceeded the grace period or failed.
    Stop,
    /// A process exited on its own, or could not be started.
    End,
    /// Too few requests were served after all faults or a crowd had ended, or by balancers other
    /// than the one with a full link.
    Service,
    /// A log line is not valid JSON.
    Log,
    /// A process exceeded the memory limit.
    Memory,
}

/// A broken promise, as reported.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The promise that was broken.
    pub promise: Promise,
    /// Milliseconds since the start of the run.
    pub at_ms: u64,
    /// What was observed.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {} ms: {}", self.promise, self.at_ms, self.what)
    }
}

impl State {
    /// Adds a breach to the report.
    pub fn record_breach(&mut self, now: Time, promise: Promise, what: impl Into<String>) {
        // Subtracts the offset that `World::now` adds.
        let at_ms = now.since(Time::default() + Span::secs(1_000)).as_millis();
        let what = what.into();
        self.breaches.push(Breach {
            promise,
            at_ms,
            what,
        });
    }

    /// Returns whether a balancer runs, and within [`SETTLE_TIME`] no fault affected it or the
    /// platform, it was not stopped or started and the link of its host was not full.
    pub fn is_settled(&self, balancer: usize, now: Time) -> bool {
        let balancer_state = &self.balancers[balancer];
        let last = balancer_state
            .last_fault
            .max(balancer_state.last_maintenance)
            .max(balancer_state.last_full_link)
            .max(self.platform_last_fault);
        !balancer_state.is_down && now.since(last) >= SETTLE_TIME
    }

    /// Checks a new flow that reached a server.
    pub fn check_new_flow(&mut self, now: Time, server: usize, route: u8, via: Option<usize>) {
        let server_state = &self.servers[server];
        let (name, pool, domain, status) = (
            server_state.name.clone(),
            server_state.pool,
            server_state.domain,
            server_state.status,
        );
        if self.pool_of(route).is_some_and(|wanted| wanted != pool) {
            self.record_breach(now, Promise::Route, format!("{name} of pool {pool}"));
        }
        if now < self.servers[server].cold_until {
            let new_flows = &mut self.servers[server].new_flows;
            new_flows.push_back(now);
            while new_flows
                .front()
                .is_some_and(|&at| now.since(at) >= Span::secs(1))
            {
                new_flows.pop_front();
            }
            let count = new_flows.len();
            if count > COLD_FLOWS_MAX {
                let what = format!("{name}: {count} new flows in a second");
                self.record_breach(now, Promise::Cold, what);
            }
        }
        let Some(via) = via.filter(|&via| self.is_settled(via, now)) else {
            return;
        };
        if let Status::Draining(Some(since)) = status {
            if now > since + DRAIN_APPLY_TIME + SLACK {
                let what = format!("{name} by balancer {via}, draining since {since}");
                self.record_breach(now, Promise::Drain, what);
            }
        }
        if let Some(&since) = self.out_domains.get(&domain) {
            if now > since + OUT_APPLY_TIME + SLACK {
                let what = format!("{name} by balancer {via}, out since {since}");
                self.record_breach(now, Promise::Out, what);
            }
        }
        if let Some(removed) = self.routes.get(&route).and_then(|route| route.removed) {
            if now > removed + ROUTING_APPLY_TIME + SLACK {
                let what = format!("route {route} by balancer {via}, removed at {removed}");
                self.record_breach(now, Promise::Config, what);
            }
        }
    }

    /// Checks a reset that a balancer sent for a flow that was not open yet. It is a breach only if
    /// the route's addition was acknowledged longer ago than [`ROUTING_APPLY_TIME`] plus [`SLACK`],
    /// the route was not removed, the balancer and all links are settled, and more than two servers
    /// of the route's pool are settled and not full.
    pub fn check_refusal(&mut self, now: Time, route: u8, via: Option<usize>) {
        let Some(via) = via.filter(|&via| self.is_settled(via, now)) else {
            return;
        };
        let Some(route_now) = self
            .routes
            .get(&route)
            .filter(|route| route.removed.is_none())
        else {
            return;
        };
        let is_due = now > route_now.added + ROUTING_APPLY_TIME + SLACK;
        let pool = route_now.pool;
        // A pool that is short of capacity may refuse flows.
        let is_short = pool == PRIORITY_POOL && self.had_crowd(now, CROWD_RECOVERY_TIME);
        let settled = |server: &&crate::server::Server| {
            server.pool == pool && server.is_settled(now) && !server.is_full(now)
        };
        let has_servers = self.servers.iter().filter(settled).count() > 2;
        if is_due && !is_short && self.are_links_settled(now) && has_servers {
            let what = format!("route {route} refused by balancer {via}");
            self.record_breach(now, Promise::Config, what);
        }
    }

    fn are_links_settled(&self, now: Time) -> bool {
        let last_fault = self.link_last_fault.iter().flatten().max();
        last_fault.is_none_or(|&at| now.since(at) >= SETTLE_TIME)
    }

    /// Returns whether everything except the balancer `except` is settled, and no other load is on a
    /// server.
    pub fn is_calm(&self, now: Time, except: Option<usize>) -> bool {
        let is_server_calm = |&server: &usize| {
            let server = &self.servers[server];
            let load_end = server.slow_until.max(server.full_until);
            server.is_settled(now) && server.status == Status::Healthy && now >= load_end
        };
        self.out_domains.is_empty()
            && self.are_links_settled(now)
            && (0..self.balancers.len()).all(|id| Some(id) == except || self.is_settled(id, now))
            && self.server_at.iter().flatten().all(is_server_calm)
    }

    /// Checks how long a balancer took to refuse an opening packet that it received at `since`. A
    /// flow of which a copy reached a server was not refused at first.
    pub fn check_refusal_time(&mut self, now: Time, caller: SocketAddrV4, since: Time, via: usize) {
        if !self.is_settled(via, now) || self.forwarded.contains(&caller) {
            return;
        }
        let waited = now.since(since);
        self.slowest_refusal = self.slowest_refusal.max(Some(waited));
        if waited > REFUSAL_TIME {
            let waited = waited.as_millis();
            let what = format!("{caller} refused by balancer {via} after {waited} ms");
            self.record_breach(now, Promise::Refusal, what);
        }
    }

    /// Checks a reset of an open flow that was not sent by the flow's server.
    pub fn check_reset(&mut self, now: Time, caller: SocketAddrV4, route: u8) {
        let Some(flow) = self.open_flows.get(&caller).copied() else {
            return;
        };
        if self.may_be_reset(now, flow.server, flow.incarnation, flow.via, route) {
            return;
        }
        let name = &self.servers[flow.server].name;
        let what = format!(
            "{caller} at {name} reset, last packet by balancer {:?}",
            flow.via
        );
        self.record_breach(now, Promise::Flow, what);
    }

    /// Returns whether a recent fault or a change of the configuration excuses the loss of a flow.
    fn may_be_reset(
        &self,
        now: Time,
        server: usize,
        incarnation: u32,
        via: Option<usize>,
        route: u8,
    ) -> bool {
        let server_state = &self.servers[server];
        let is_server_settled = server_state.is_responsive()
            && server_state.incarnation == incarnation
            && server_state.is_settled(now);
        let is_out = self.out_domains.contains_key(&server_state.domain);
        let is_routed = self
            .routes
            .get(&route)
            .is_some_and(|route| route.removed.is_none());
        let last_fault = via.map(|via| self.balancers[via].last_fault);
        let had_balancer_fault = last_fault.is_some_and(|at| now.since(at) < SETTLE_TIME);
        let links = (0..crate::address::DOMAINS)
            .map(|from| self.link_last_fault[from][server_state.domain]);
        let had_link_fault = links.max().is_some_and(|at| now.since(at) < SETTLE_TIME);
        !is_server_settled || is_out || !is_routed || had_balancer_fault || had_link_fault
    }

    /// Counts packets of an open flow that reach a server other than its own, and checks the count.
    pub fn check_misrouted(&mut self, now: Time, caller: SocketAddrV4, server: usize, route: u8) {
        let Some(flow) = self.open_flows.get_mut(&caller) else {
            return;
        };
        if flow.server == server {
            flow.misrouted = 0;
            return;
        }
        if flow.misrouted == 0 || now.since(flow.misrouted_since) > MISROUTED_WINDOW {
            flow.misrouted = 0;
            flow.misrouted_since = now;
        }
        flow.misrouted += 1;
        let flow = *flow;
        if flow.misrouted == MISROUTED_MAX
            && !self.may_be_reset(now, flow.server, flow.incarnation, flow.via, route)
        {
            let (own, other) = (&self.servers[flow.server].name, &self.servers[server].name);
            let what = format!("{caller} of {own} misrouted to {other}");
            self.record_breach(now, Promise::Flow, what);
        }
    }
}
