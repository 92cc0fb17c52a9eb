//! Execution of due tasks and of the effects that balancers return, and the fabric.

use std::net::SocketAddrV4;

use base::prelude::*;
use forward::health::Outcome as CheckOutcome;
use forward::packet::Verdict;
use forward::prelude::*;
use rand::Rng;

use super::balancer_at;
use super::caller;
use super::Simulation;
use super::Task;
use super::Violation;
use super::CALLER_LATENCY;
use super::FAILED_PROBES_THRESHOLD;
use super::PROBE_INTERVAL;

/// The time after which a check without a connection ends, as in crate `plat`.
const CONNECT_TIMEOUT: Span = Span::millis(200);

impl Simulation {
    pub(super) fn run_task(&mut self, task: Task) {
        match task {
            Task::Tick(balancer, incarnation) => self.tick_balancer(balancer, incarnation),
            Task::Resume(balancer, incarnation, span) => {
                if self.balancers[balancer].incarnation == incarnation {
                    self.step_balancer(balancer, Event::Resumed(span));
                }
                let queue = self.balancers[balancer].queue.take();
                for head in queue.into_iter().flatten() {
                    self.handle_balancer_packet(balancer, &head);
                }
                self.tick_balancer(balancer, incarnation);
            }
            Task::Probe => self.probe_balancers(),
            Task::BalancerPacket { balancer, head } => self.handle_balancer_packet(balancer, &head),
            Task::ServerPacket {
                server,
                identity,
                head,
                via,
            } => self.handle_server_packet(server, identity, &head, via),
            Task::CallerPacket(packet) => self.handle_caller_packet(packet),
            Task::SendFragments(balancer, incarnation) => {
                self.send_fragments(balancer, incarnation)
            }
            Task::Fragment { to, from } => self.receive_fragment(to, from),
            Task::Frame { to, from, frame } => {
                let peer = super::peer_address(from);
                let frame = *frame;
                self.step_balancer(to, Event::Frame { peer, frame });
            }
            Task::ReadResult {
                balancer,
                incarnation,
                read,
                kind,
                event,
            } => {
                let state = &self.balancers[balancer];
                if state.incarnation == incarnation && state.reads.get(&kind) == Some(&read) {
                    self.step_balancer(balancer, *event);
                }
            }
            Task::CheckResult {
                balancer,
                incarnation,
                event,
            } => {
                if self.balancers[balancer].incarnation == incarnation {
                    self.step_balancer(balancer, *event);
                }
            }
            Task::Discover(balancer, incarnation) => self.handle_discovery(balancer, incarnation),
            Task::WatchExpiry(watch) => self.expire_watch(&watch),
            Task::RunDone {
                server,
                incarnation,
                flow,
            } => self.finish_run(server, incarnation, flow),
            Task::CallerTimer(request, timer) => self.handle_timer(request, timer),
            Task::NewRequest => self.start_random_request(),
            Task::StartBalancer(balancer) => self.start_balancer(balancer),
            Task::StoreWrite(write) => self.apply_write(write),
        }
    }

    fn tick_balancer(&mut self, balancer: usize, incarnation: u32) {
        let state = &self.balancers[balancer];
        if state.incarnation != incarnation || state.reducer.is_none() {
            return;
        }
        // `Task::Resume` starts the ticks again.
        if self.now < state.paused_until {
            return;
        }
        self.observe_host(balancer);
        self.step_balancer(balancer, Event::Tick);
        if self.balancers[balancer].incarnation == incarnation {
            self.schedule(Simulation::tick_period(), Task::Tick(balancer, incarnation));
        }
    }

    /// Tells a balancer what it has used of its host.
    fn observe_host(&mut self, balancer: usize) {
        let Some(host) = self.hosts.get_mut(&balancer) else {
            return;
        };
        let period = Simulation::tick_period();
        let link = host.capacity().link.map_or(0, u64::from);
        host.bytes += link * period.0 / 1_000_000 * host.background_percent / 100;
        let sample = forward::host::Sample {
            bytes: host.bytes,
            ..forward::host::Sample::default()
        };
        self.step_balancer(balancer, Event::HostUse(sample));
    }

    fn probe_balancers(&mut self) {
        for balancer in 0..self.balancers.len() {
            let is_paused = self.now < self.balancers[balancer].paused_until;
            let state = &mut self.balancers[balancer];
            let is_ready = state.reducer.as_ref().is_some_and(Forwarder::is_ready) && !is_paused;
            state.failed_probes = if is_ready { 0 } else { state.failed_probes + 1 };
            if state.failed_probes == 0 {
                state.is_in_rotation = true;
            } else if state.failed_probes >= FAILED_PROBES_THRESHOLD {
                state.is_in_rotation = false;
            }
        }
        self.schedule(PROBE_INTERVAL, Task::Probe);
    }

    /// Returns the balancer that the fabric selects for a caller's packets, by hash among those of
    /// the domain that are in rotation. If fewer than half of them are, it uses all of the domain.
    /// If none is and `has_remote_fallback` is set, it first tries other domains.
    pub(super) fn balancer_for(&self, domain: usize, caller: SocketAddrV4) -> Option<usize> {
        let all: Vec<usize> = (0..self.balancers.len())
            .filter(|&index| self.balancers[index].domain == domain)
            .collect();
        let local: Vec<usize> = all
            .iter()
            .copied()
            .filter(|&index| self.balancers[index].is_in_rotation)
            .collect();
        let remote: Vec<usize> = (0..self.balancers.len())
            .filter(|&index| self.balancers[index].is_in_rotation)
            .collect();
        let candidates = match local.is_empty() {
            true if self.has_remote_fallback && !remote.is_empty() => remote,
            _ if local.len() * 2 < all.len() => all,
            _ => local,
        };
        let flow = u64::from(caller.ip().to_bits()) << 16 | u64::from(caller.port());
        if self.has_modulo_hashing && !candidates.is_empty() {
            let index = base::hash::pair(flow, 0) % candidates.len() as u64;
            return Some(candidates[index as usize]);
        }
        candidates
            .into_iter()
            .max_by_key(|&index| base::hash::pair(flow, index as u64))
    }

    /// Sends a caller's packet to the balancer that the fabric selects now.
    pub(super) fn send_to_balancer(&mut self, domain: usize, head: Head) {
        if self.is_packet_lost() {
            return;
        }
        if let Some(balancer) = self.balancer_for(domain, head.caller) {
            self.schedule(CALLER_LATENCY, Task::BalancerPacket { balancer, head });
        }
    }

    fn handle_balancer_packet(&mut self, balancer: usize, head: &Head) {
        if self.now < self.balancers[balancer].paused_until {
            if let Some(queue) = &mut self.balancers[balancer].queue {
                queue.push(*head);
            }
            return;
        }
        let now = self.now;
        let mut out = Vec::new();
        let Some(reducer) = &mut self.balancers[balancer].reducer else {
            return;
        };
        let verdict = reducer.handle_packet(now, head, &mut out);
        if self.is_logging {
            let name = &self.balancers[balancer].name;
            let at = now.since(super::START);
            self.log.push(format!("{at} {name} {head}: {verdict}"));
        }
        self.apply_effects(balancer, out);
        match verdict {
            Verdict::Forward { target, token } => {
                if let Some(host) = self.hosts.get_mut(&balancer) {
                    host.bytes += u64::from(head.length) + forward::host::gate::OVERHEAD_BYTES;
                }
                let mut head = *head;
                if let Some(token) = token {
                    self.check_route(balancer, &head, token);
                    head.token = token;
                }
                self.forward_packet(balancer, target, head);
            }
            Verdict::Reset(_) => self.send_reset(head),
            Verdict::Drop(_) => (),
        }
    }

    /// Checks that the routing in force at a balancer leads to the server of an opening packet.
    fn check_route(&mut self, balancer: usize, head: &Head, token: Token) {
        let table = self.reducer(balancer).table();
        let server = table.server_by_mark(token.mark(head.service));
        let pool = server.and_then(|server| table.server(server).pool);
        let route = table.route(head.service);
        if !route
            .zip(pool)
            .is_some_and(|(route, pool)| route.leads_to(pool))
        {
            self.violations.insert(Violation::OffRoute(balancer));
        }
    }

    fn send_reset(&mut self, head: &Head) {
        let packet = caller::Packet {
            to: head.caller,
            from: None,
            message: caller::Message::Reset,
        };
        self.schedule(CALLER_LATENCY, Task::CallerPacket(packet));
    }

    fn forward_packet(&mut self, balancer: usize, target: Target, head: Head) {
        let here = self.balancers[balancer].domain;
        let has_target =
            |server: &super::Server| server.address == target.address && server.is_running();
        let Some(server) = self.servers.iter().position(has_target) else {
            return;
        };
        let there = self.servers[server].domain;
        if self.is_link_blocked(here, there) || self.is_packet_lost() {
            return;
        }
        let task = Task::ServerPacket {
            server,
            identity: target.identity,
            head,
            via: balancer,
        };
        self.schedule(self.link_latency(here, there), task);
    }

    /// Applies an event to a balancer, unless it is down or paused.
    pub(crate) fn step_balancer(&mut self, balancer: usize, event: Event) {
        let now = self.now;
        let state = &mut self.balancers[balancer];
        if now < state.paused_until {
            return;
        }
        let Some(reducer) = &mut state.reducer else {
            return;
        };
        let mut out = Vec::new();
        reducer.step(now, event, &mut out);
        self.apply_effects(balancer, out);
    }

    fn apply_effects(&mut self, balancer: usize, out: Vec<Effect>) {
        for effect in out {
            self.apply_effect(balancer, effect);
        }
    }

    fn apply_effect(&mut self, balancer: usize, effect: Effect) {
        let incarnation = self.balancers[balancer].incarnation;
        let here = self.balancers[balancer].domain;
        match effect {
            Effect::Read { kind, since, wait } => self.handle_read(balancer, kind, since, wait),
            Effect::Send { to, frame } => {
                let to = balancer_at(to);
                if let wire::frame::Body::Objects(deltas) = &frame.body {
                    let objects = deltas.iter().map(|delta| delta.objects.len());
                    self.published_objects += objects.sum::<usize>();
                }
                let Some(there) = self.balancers.get(to).map(|state| state.domain) else {
                    return;
                };
                if let wire::frame::Body::HostUse(_) = &frame.body {
                    let sent = self.host_frames.entry((balancer, to)).or_default();
                    *sent += 1;
                    if self.host_frame_loss > 0 && *sent % self.host_frame_loss == 0 {
                        return;
                    }
                }
                let is_isolated = self.isolated.contains(&balancer) || self.isolated.contains(&to);
                if is_isolated || self.is_link_blocked(here, there) || self.is_packet_lost() {
                    return;
                }
                let is_report = matches!(frame.body, wire::frame::Body::LoadReport(_));
                if is_report
                    && self.report_loss > 0
                    && self.random.random_range(0..10_000) < self.report_loss
                {
                    return;
                }
                let is_unknown = matches!(
                    frame.body,
                    wire::frame::Body::SnapshotRequest
                        | wire::frame::Body::SnapshotBusy { .. }
                        | wire::frame::Body::Snapshot(_)
                );
                let mut ends = [balancer, to].into_iter();
                if is_unknown && ends.any(|end| self.old_releases.contains(&end)) {
                    return;
                }
                if self.queue_frame(balancer, to, &frame) {
                    return;
                }
                let from = balancer;
                let latency = self.link_latency(here, there);
                for delay in self.demand_delays(balancer, &frame) {
                    let frame = Box::new(frame.clone());
                    let wait = Span(latency.0 + delay.0);
                    self.schedule(wait, Task::Frame { to, from, frame });
                }
            }
            Effect::Announce | Effect::Discover => {
                self.schedule(Span::millis(10), Task::Discover(balancer, incarnation));
            }
            Effect::Check { server, name, .. } => {
                self.checks.push((self.now, balancer, name.clone()));
                let outcome = self.check_outcome(here, &name);
                let event = Box::new(Event::Checked {
                    server,
                    name,
                    outcome,
                });
                let wait = match outcome {
                    CheckOutcome::Answered => Span::millis(4),
                    CheckOutcome::Accepted => forward::health::CHECK_TIMEOUT,
                    CheckOutcome::Silent => CONNECT_TIMEOUT,
                };
                let task = Task::CheckResult {
                    balancer,
                    incarnation,
                    event,
                };
                self.schedule(wait, task);
            }
            Effect::Note(note) => {
                if self.is_logging {
                    let name = &self.balancers[balancer].name;
                    let at = self.now.since(super::START);
                    self.log.push(format!("{at} {name} {note}"));
                }
            }
            Effect::Reset(head) => self.send_reset(&head),
            Effect::Exit => self.kill_balancer(balancer, Span::secs(1)),
            Effect::Withdraw
            | Effect::Opened { .. }
            | Effect::Closed { .. }
            | Effect::Observed { .. } => (),
        }
    }

    fn check_outcome(&self, from: usize, name: &str) -> CheckOutcome {
        let server = self.servers.iter().find(|server| server.name == name);
        let full = server.and_then(|server| server.full);
        match self.is_reachable(from, name) {
            true => full.unwrap_or(CheckOutcome::Answered),
            false => CheckOutcome::Silent,
        }
    }

    /// Counts a frame about demand. Returns the additional delay of each of its arrivals; one of
    /// zero for any other frame.
    fn demand_delays(&mut self, balancer: usize, frame: &wire::frame::Frame) -> Vec<Span> {
        let is_demand = matches!(
            frame.body,
            wire::frame::Body::Demand(_) | wire::frame::Body::DomainDemand(_)
        );
        if !is_demand {
            return vec![Span::ZERO];
        }
        let bytes = postcard::to_allocvec(frame).expect("frames can be encoded");
        *self.demand_link.bytes.entry(balancer).or_default() += bytes.len();
        let link = &self.demand_link;
        let (loss, delay_max, arrivals) = (link.loss, link.delay_max.0, 1 + link.duplicates);
        let arrivals = (0..arrivals).map(|_| {
            let is_lost = loss > 0 && self.random.random_range(0..10_000) < loss;
            let delay = match delay_max {
                0 => 0,
                most => self.random.random_range(0..most),
            };
            (!is_lost).then_some(Span(delay))
        });
        arrivals.flatten().collect()
    }

    fn is_reachable(&self, from: usize, name: &str) -> bool {
        let server = self.servers.iter().find(|server| server.name == name);
        server.is_some_and(|server| {
            let there = server.domain;
            server.is_responsive()
                && !self.is_link_blocked(from, there)
                && !self.is_link_blocked(there, from)
        })
    }
}
