//! Simulated backend servers: concurrency, queueing, slow start, drains and failures.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use base::prelude::*;
use forward::health::Outcome as CheckOutcome;
use forward::prelude::*;
use rand::Rng;

use super::caller;
use super::caller::Message;
use super::store::Write;
use super::Simulation;
use super::Task;
use super::Violation;
use super::CALLER_LATENCY;
use super::POOL;

/// The number of requests that a server runs concurrently.
const SLOTS: usize = 2;
/// Bounds the number of queued requests.
const QUEUE_MAX: usize = 8;
/// The mean time to run a request.
const RUN_TIME_MEAN: Span = Span::millis(30);
/// The interval at which a server renews its entry.
const ENTRY_PERIOD: Span = Span::millis(1_000);
/// The time after the start of a drain from which a server must not receive opening packets.
pub(crate) const DRAIN_TIMEOUT: Span = Span::secs(3);
/// The time after a domain was taken out from which its servers must not receive opening packets.
const DOMAIN_OUT_TIMEOUT: Span = Span::secs(5);
/// The number of flows per second that a cold server may receive beyond 1.5 times the pool's rate.
const COLD_SLACK: usize = 5;

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// It serves requests.
    Serving,
    /// It is draining, and announced that at this time.
    Draining(Time),
    /// It answers no packets.
    Unresponsive,
    /// Its process has ended, and its address may be reused.
    Stopped,
}

/// A simulated backend server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) identity: u64,
    pub(crate) address: SocketAddrV4,
    pub(crate) domain: usize,
    pub(crate) pool: String,
    pub(crate) status: Status,
    pub(crate) cold_until: Time,
    /// The factor on the time that its requests take.
    pub(crate) slowdown: u64,
    /// The share of its requests that take 7 times as long, in percent.
    pub(crate) long_percent: u32,
    /// Whether it resets the flow of each request, although its health checks succeed.
    pub(crate) resets_requests: bool,
    /// Counts its restarts.
    pub(crate) incarnation: u32,
    /// The flows by caller address.
    flows: BTreeMap<SocketAddrV4, Phase>,
    /// The position of the latest data on each flow.
    data_seqs: BTreeMap<SocketAddrV4, u32>,
    running: usize,
    waiting: VecDeque<SocketAddrV4>,
    /// When flows were opened within the last second while it was cold.
    cold_flow_times: VecDeque<Time>,
    /// The number of requests that it has started to run.
    pub(crate) runs: usize,
    /// The number of requests that it has refused because its queue was full.
    pub(crate) shed: usize,
    /// The outcome of checks while it is full: it answers the requests that it has and leaves half of
    /// the opening packets unanswered.
    pub(crate) full: Option<CheckOutcome>,
    /// When the store removed its entry.
    pub(crate) removed_at: Option<Time>,
}

/// The phase of a flow at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The opening packet has arrived, with this token.
    HalfOpen(Token),
    /// The request has arrived.
    Open(Token),
    /// The response has been sent.
    Answered(Token),
    /// The caller has ended the flow.
    Closed,
}

impl Server {
    /// Returns whether the server still has its address, so that packets reach it.
    pub(crate) fn is_running(&self) -> bool {
        !matches!(self.status, Status::Stopped)
    }

    /// Returns the number of requests that it runs or queues.
    pub(crate) fn held(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Returns whether the server answers packets.
    pub(crate) fn is_responsive(&self) -> bool {
        matches!(self.status, Status::Serving | Status::Draining(_))
    }
}

impl Simulation {
    /// Adds a server.
    pub(crate) fn add_server(&mut self, domain: usize, pool: &str) -> usize {
        let index = self.servers.len();
        let [high, low] = (index as u16).to_be_bytes();
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 128, high, low), 8080);
        self.add_server_at(domain, pool, address)
    }

    /// Adds a server at an address.
    pub(crate) fn add_server_at(
        &mut self,
        domain: usize,
        pool: &str,
        address: SocketAddrV4,
    ) -> usize {
        let index = self.servers.len();
        // The name holds the identity in 14 hexadecimal digits, so 56 bits are kept.
        let identity = base::hash::pair(index as u64, 77) >> 8;
        self.servers.push(Server {
            name: format!("i-{identity:014x}"),
            identity,
            address,
            domain,
            pool: pool.into(),
            status: Status::Serving,
            cold_until: super::START,
            slowdown: 1,
            long_percent: 0,
            resets_requests: false,
            incarnation: 0,
            flows: BTreeMap::new(),
            data_seqs: BTreeMap::new(),
            running: 0,
            waiting: VecDeque::new(),
            cold_flow_times: VecDeque::new(),
            runs: 0,
            shed: 0,
            full: None,
            removed_at: None,
        });
        self.write_server(index);
        index
    }

    /// Starts the drain of a server, which announces it and keeps serving.
    pub(crate) fn drain_server(&mut self, server: usize) {
        self.servers[server].status = Status::Draining(self.now);
        self.write_server(server);
    }

    /// Removes the entry of a server that keeps serving, as the store does when the server cannot
    /// renew it.
    pub(crate) fn remove_entry(&mut self, server: usize) {
        self.servers[server].removed_at = Some(self.now);
        let name = self.servers[server].name.clone();
        self.remove_object(conf::object::Kind::Server, &name);
    }

    /// Terminates a drained server and removes its entry.
    pub(crate) fn terminate_server(&mut self, server: usize) {
        self.servers[server].status = Status::Stopped;
        let name = self.servers[server].name.clone();
        self.remove_object(conf::object::Kind::Server, &name);
    }

    /// Makes a server unresponsive. Its entry expires after three entry periods.
    pub(crate) fn make_unresponsive(&mut self, server: usize) {
        self.servers[server].status = Status::Unresponsive;
        self.schedule(
            Span(3 * ENTRY_PERIOD.0),
            Task::StoreWrite(Write::ExpireEntry(server)),
        );
    }

    /// Restarts a server under its name, cold and without its flows.
    pub(crate) fn restart_cold(&mut self, server: usize) {
        let until = self.now + self.cold_period;
        let state = &mut self.servers[server];
        state.status = Status::Serving;
        state.incarnation += 1;
        state.flows.clear();
        state.data_seqs.clear();
        state.waiting.clear();
        state.running = 0;
        state.cold_flow_times.clear();
        state.cold_until = until;
        self.write_server(server);
        // From then on, the entry does not say that the server is cold.
        let wait = self.cold_period;
        self.schedule(wait, Task::StoreWrite(Write::UpdateEntry(server)));
    }

    /// Crashes a server, which restarts cold after one second.
    pub(crate) fn crash_server(&mut self, server: usize) {
        self.servers[server].status = Status::Unresponsive;
        self.schedule(
            Span::secs(1),
            Task::StoreWrite(Write::RestartServer(server)),
        );
    }

    /// Makes the servers of a domain cold, as after a long time out.
    pub(crate) fn make_domain_cold(&mut self, domain: usize) {
        let until = self.now + Span::secs(2);
        for index in 0..self.servers.len() {
            let state = &mut self.servers[index];
            if state.domain == domain && state.is_responsive() {
                state.cold_until = until;
                state.cold_flow_times.clear();
                let wait = Span(self.random.random_range(0..ENTRY_PERIOD.0));
                self.schedule(wait, Task::StoreWrite(Write::UpdateEntry(index)));
                self.schedule(
                    Span(Span::secs(2).0 + wait.0),
                    Task::StoreWrite(Write::UpdateEntry(index)),
                );
            }
        }
    }

    pub(super) fn handle_server_packet(
        &mut self,
        server: usize,
        identity: u64,
        head: &Head,
        via: usize,
    ) {
        let state = &self.servers[server];
        if !state.is_responsive() || state.identity != identity {
            return;
        }
        if head.flags.syn {
            let is_new = !state.flows.contains_key(&head.caller);
            if state.full.is_some() && is_new && self.random.random_range(0..2) == 0 {
                return;
            }
            self.check_opening(server, head, via);
            let flows = &mut self.servers[server].flows;
            flows
                .entry(head.caller)
                .or_insert(Phase::HalfOpen(head.token));
            let incarnation = self.servers[server].incarnation;
            return self.send_to_caller(
                server,
                head.caller,
                Message::Opened(head.token, incarnation),
            );
        }
        let is_new_data = state.data_seqs.get(&head.caller) != Some(&head.seq);
        let phase = state.flows.get(&head.caller).copied();
        if phase.is_some() && head.length > 0 {
            self.send_to_caller(server, head.caller, Message::Received);
        }
        match phase {
            None => self.send_to_caller(server, head.caller, Message::Reset),
            Some(Phase::HalfOpen(token) | Phase::Answered(token))
                if head.length > 0 && is_new_data =>
            {
                let state = &mut self.servers[server];
                state.flows.insert(head.caller, Phase::Open(token));
                state.data_seqs.insert(head.caller, head.seq);
                if state.resets_requests {
                    state.flows.remove(&head.caller);
                    return self.send_to_caller(server, head.caller, Message::Reset);
                }
                self.accept_request(server, head.caller);
            }
            Some(_) if head.flags.fin => {
                self.servers[server]
                    .flows
                    .insert(head.caller, Phase::Closed);
            }
            Some(_) => (),
        }
    }

    /// Sends the response on a flow again, as a server does until its caller acknowledges it.
    pub(super) fn resend_response(&mut self, caller: SocketAddrV4) {
        let has_answered = |server: &Server| {
            server.is_responsive() && matches!(server.flows.get(&caller), Some(Phase::Answered(_)))
        };
        if let Some(server) = self.servers.iter().position(has_answered) {
            self.send_to_caller(server, caller, Message::Response);
        }
    }

    fn check_opening(&mut self, server: usize, head: &Head, via: usize) {
        let state = &self.servers[server];
        let is_new = !state.flows.contains_key(&head.caller);
        if state.pool != POOL && head.service == super::SERVICE {
            self.violations.insert(Violation::WrongPool(server));
        }
        if let Status::Draining(since) = state.status {
            if self.now.since(since) > DRAIN_TIMEOUT {
                self.violations.insert(Violation::DrainExpired(server));
            }
        }
        if state
            .removed_at
            .is_some_and(|at| self.now.since(at) > DRAIN_TIMEOUT && self.reaches_store(via))
        {
            self.violations.insert(Violation::DrainExpired(server));
        }
        let out = self.out_since.get(&state.domain);
        if out.is_some_and(|&since| self.now.since(since) > DOMAIN_OUT_TIMEOUT) {
            self.violations.insert(Violation::DomainOut(server));
        }
        if self.now < state.cold_until && is_new {
            let now = self.now;
            let opens = &mut self.servers[server].cold_flow_times;
            opens.push_back(now);
            while opens
                .front()
                .is_some_and(|&at| now.since(at) >= Span::secs(1))
            {
                opens.pop_front();
            }
            // Divides by 60 for the rate per minute and by 2 for 1.5 times the rate.
            let limit = self.cold_per_minute as usize * 3 / 120 + COLD_SLACK;
            if opens.len() > limit {
                self.violations.insert(Violation::ColdLimitExceeded(server));
            }
        }
    }

    fn accept_request(&mut self, server: usize, flow: SocketAddrV4) {
        let state = &mut self.servers[server];
        if state.running < SLOTS {
            return self.start_run(server, flow);
        }
        if state.waiting.len() < QUEUE_MAX {
            return state.waiting.push_back(flow);
        }
        state.shed += 1;
        let packet = caller::Packet {
            to: flow,
            from: Some(server),
            message: Message::Shed,
        };
        self.schedule(CALLER_LATENCY, Task::CallerPacket(packet));
    }

    fn start_run(&mut self, server: usize, flow: SocketAddrV4) {
        let percent = self.random.random_range(50..150);
        let long_percent = self.servers[server].long_percent;
        let is_long = long_percent > 0 && self.random.random_range(0..100) < long_percent;
        let length = if is_long { 7 } else { 1 };
        let state = &mut self.servers[server];
        state.running += 1;
        state.runs += 1;
        let is_cold = self.now < state.cold_until;
        // A cold server takes 1.6 times as long.
        let cold = if is_cold { 16 } else { 10 };
        let work = Span(RUN_TIME_MEAN.0 * state.slowdown * length * percent / 100 * cold / 10);
        let incarnation = state.incarnation;
        self.record_run(flow);
        let task = Task::RunDone {
            server,
            incarnation,
            flow,
        };
        self.schedule(work, task);
    }

    pub(super) fn finish_run(&mut self, server: usize, incarnation: u32, flow: SocketAddrV4) {
        let state = &mut self.servers[server];
        if state.incarnation != incarnation || !state.is_responsive() {
            return;
        }
        state.running -= 1;
        if let Some(Phase::Open(token)) = state.flows.get(&flow).copied() {
            state.flows.insert(flow, Phase::Answered(token));
        }
        self.send_to_caller(server, flow, Message::Response);
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.start_run(server, next);
        }
    }

    fn send_to_caller(&mut self, server: usize, to: SocketAddrV4, message: Message) {
        if self.is_packet_lost() {
            return;
        }
        let packet = caller::Packet {
            to,
            from: Some(server),
            message,
        };
        self.schedule(CALLER_LATENCY, Task::CallerPacket(packet));
    }
}
