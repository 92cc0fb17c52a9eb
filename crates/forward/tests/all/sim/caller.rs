//! Simulated callers: each attempt of a request uses a new flow, or, where callers keep their
//! flows, one that is idle. Unanswered packets are retransmitted, and failed attempts retried where
//! that is allowed.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use base::prelude::*;
use forward::prelude::*;
use rand::Rng;

use super::Simulation;
use super::Task;
use super::Violation;
use super::CALLER_LATENCY;
use super::SERVICE;

/// The delays after which an unanswered opening packet is retransmitted.
const OPENING_RETRANSMISSIONS: [Span; 2] = [Span::millis(200), Span::millis(600)];
/// The time after which an attempt ends whose opening packet was not answered.
const ATTEMPT_TIMEOUT: Span = Span::millis(1_400);
/// The delay before data is retransmitted the first time. It doubles each time.
const RETRANSMISSION_TIMEOUT_MIN: Span = Span::millis(200);
/// Bounds the delay between retransmissions of data.
const RETRANSMISSION_TIMEOUT_MAX: Span = Span::millis(1_600);
/// Bounds the attempts of a request.
const ATTEMPTS_MAX: u32 = 3;
/// The time after which a request without a response fails.
const REQUEST_DEADLINE: Span = Span::secs(2);
/// The size of a request.
const REQUEST_BYTES: u16 = 300;
/// The size of a response.
const RESPONSE_BYTES: u32 = 1_000;
/// The size of an answer that refuses a request.
const SHED_BYTES: u32 = 120;
/// The time after which a caller acknowledges an answer of a single packet.
const ACKNOWLEDGEMENT_DELAY: Span = Span::millis(80);

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It has not ended.
    Pending,
    /// The response arrived at this time.
    Served(Time),
    /// It was refused, or all attempts failed.
    Refused,
    /// It had no response by its deadline.
    TimedOut,
}

/// A request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) started_at: Time,
    pub(crate) domain: usize,
    pub(crate) is_idempotent: bool,
    pub(crate) service: SocketAddrV4,
    pub(crate) outcome: Outcome,
    /// How often servers have started to run it.
    pub(crate) runs: u32,
    attempts: u32,
    /// The caller address of the current attempt.
    address: SocketAddrV4,
    phase: Phase,
    retransmissions: u32,
    /// The position of its data in the caller's stream.
    seq: u32,
    /// The position up to which the caller has received the server's stream.
    ack: u32,
    /// Whether the server has acknowledged the data.
    is_received: bool,
}

/// A flow that its caller keeps open between requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleFlow {
    address: SocketAddrV4,
    pub(crate) server: usize,
    incarnation: u32,
    token: Token,
    seq: u32,
    ack: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Opening,
    Open {
        server: usize,
        incarnation: u32,
        token: Token,
    },
    Over,
}

/// The timers of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    RetransmitOpening(SocketAddrV4),
    RetransmitData(SocketAddrV4, Span),
    AttemptTimeout(SocketAddrV4),
    Retry,
    Deadline,
}

/// A packet to a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Packet {
    pub(crate) to: SocketAddrV4,
    /// The server that sent it; `None` for a balancer.
    pub(crate) from: Option<usize>,
    pub(crate) message: Message,
}

/// The contents of a packet to a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Message {
    /// The sender has opened the flow, in this incarnation.
    Opened(Token, u32),
    /// The data has arrived.
    Received,
    /// The complete response.
    Response,
    /// The request was refused without being run.
    Shed,
    /// The flow does not exist at the sender.
    Reset,
}

impl Simulation {
    pub(super) fn schedule_request(&mut self) {
        if self.rate <= 0.0 {
            return;
        }
        let factors = (0..self.domains).map(|domain| self.surge(domain));
        let all = self.rate * factors.sum::<f64>();
        // Exponentially distributed intervals: requests arrive as a Poisson process.
        let wait = -self.random.random_range(f64::EPSILON..1.0_f64).ln() / all;
        self.schedule(Span((wait * 1e6) as u64), Task::NewRequest);
    }

    fn surge(&self, domain: usize) -> f64 {
        self.surges.get(&domain).copied().unwrap_or(1.0)
    }

    /// Returns the domain of the next caller, at random by their rates.
    fn random_domain(&mut self) -> usize {
        if self.surges.is_empty() {
            return self.random.random_range(0..self.domains);
        }
        let sum: f64 = (0..self.domains).map(|domain| self.surge(domain)).sum();
        let mut offset = self.random.random_range(0.0..sum);
        for domain in 0..self.domains {
            offset -= self.surge(domain);
            if offset < 0.0 {
                return domain;
            }
        }
        self.domains - 1
    }

    pub(super) fn start_random_request(&mut self) {
        let domain = self.random_domain();
        let is_idempotent = self.random.random_range(0..9) < 7;
        if !self.quiet_domains.contains(&domain) {
            let is_urgent =
                self.urgent_percent > 0 && self.random.random_range(0..100) < self.urgent_percent;
            let service = if is_urgent {
                super::URGENT_SERVICE
            } else {
                SERVICE
            };
            self.start_request_to(domain, is_idempotent, service);
        }
        self.schedule_request();
    }

    /// Starts a request of a caller in a domain.
    pub(crate) fn start_request(&mut self, domain: usize, is_idempotent: bool) -> u32 {
        self.start_request_to(domain, is_idempotent, SERVICE)
    }

    fn start_request_to(
        &mut self,
        domain: usize,
        is_idempotent: bool,
        service: SocketAddrV4,
    ) -> u32 {
        let index = self.requests.len() as u32;
        self.requests.push(Request {
            started_at: self.now,
            domain,
            is_idempotent,
            service,
            outcome: Outcome::Pending,
            runs: 0,
            attempts: 0,
            address: SERVICE,
            phase: Phase::Over,
            retransmissions: 0,
            seq: 1,
            ack: 1,
            is_received: false,
        });
        self.schedule(REQUEST_DEADLINE, Task::CallerTimer(index, Timer::Deadline));
        // Only callers of `SERVICE` keep their flows.
        let idle = match service == SERVICE {
            true => self.take_idle_flow(domain),
            false => None,
        };
        match idle {
            Some(flow) => self.start_on_flow(index, flow),
            None => self.start_attempt(index),
        }
        index
    }

    /// Takes an idle flow of a domain's callers at random, once there are `flows_per_domain`.
    fn take_idle_flow(&mut self, domain: usize) -> Option<IdleFlow> {
        let idle = self.idle_flows.entry(domain).or_default();
        if idle.len() < self.flows_per_domain.max(1) {
            return None;
        }
        Some(idle.swap_remove(self.random.random_range(0..idle.len())))
    }

    fn start_on_flow(&mut self, index: u32, flow: IdleFlow) {
        self.requests_by_caller.insert(flow.address, index);
        let request = &mut self.requests[index as usize];
        request.attempts += 1;
        request.address = flow.address;
        request.seq = flow.seq;
        request.ack = flow.ack;
        request.phase = Phase::Open {
            server: flow.server,
            incarnation: flow.incarnation,
            token: flow.token,
        };
        self.send_request(index, flow.token);
    }

    fn send_request(&mut self, index: u32, token: Token) {
        self.requests[index as usize].is_received = false;
        self.send_data(index, token);
        let wait = RETRANSMISSION_TIMEOUT_MIN;
        let timer = Timer::RetransmitData(self.requests[index as usize].address, wait);
        self.schedule(wait, Task::CallerTimer(index, timer));
    }

    fn start_attempt(&mut self, index: u32) {
        self.next_port += 1;
        let [high, low] = ((self.next_port >> 14) as u16).to_be_bytes();
        let port = 1024 + (self.next_port & 0x3fff) as u16;
        let address = SocketAddrV4::new(Ipv4Addr::new(100, 64, high, low), port);
        self.requests_by_caller.insert(address, index);
        let request = &mut self.requests[index as usize];
        request.attempts += 1;
        request.address = address;
        request.phase = Phase::Opening;
        request.retransmissions = 0;
        request.seq = 1;
        request.ack = 1;
        self.send_opening(index);
        for wait in OPENING_RETRANSMISSIONS {
            self.schedule(
                wait,
                Task::CallerTimer(index, Timer::RetransmitOpening(address)),
            );
        }
        self.schedule(
            ATTEMPT_TIMEOUT,
            Task::CallerTimer(index, Timer::AttemptTimeout(address)),
        );
    }

    fn packet_head(&self, index: u32) -> Head {
        let request = &self.requests[index as usize];
        Head {
            flags: Flags::default(),
            length: 0,
            seq: request.seq,
            ack: request.ack,
            token: Token(0),
            caller: request.address,
            service: request.service,
        }
    }

    fn send_opening(&mut self, index: u32) {
        let mut head = self.packet_head(index);
        head.flags.syn = true;
        // In an opening packet, `ack` is the number of the retransmission.
        head.ack = self.requests[index as usize].retransmissions;
        let domain = self.requests[index as usize].domain;
        self.send_to_balancer(domain, head);
    }

    fn send_data(&mut self, index: u32, token: Token) {
        self.send_packet(index, token, REQUEST_BYTES, false);
    }

    /// Acknowledges the response, and ends the flow if `is_last` is set.
    fn send_end(&mut self, index: u32, token: Token, is_last: bool) {
        self.send_packet(index, token, 0, is_last);
    }

    /// Acknowledges a short response after a delay, and ends the flow.
    fn schedule_end(&mut self, index: u32, token: Token) {
        let mut head = self.packet_head(index);
        (head.flags.ack, head.flags.fin, head.token) = (true, true, token);
        let domain = self.requests[index as usize].domain;
        if let Some(balancer) = self.balancer_for(domain, head.caller) {
            let task = Task::BalancerPacket { balancer, head };
            let wait = Span(ACKNOWLEDGEMENT_DELAY.0 + CALLER_LATENCY.0);
            self.schedule(wait, task);
        }
    }

    fn send_packet(&mut self, index: u32, token: Token, length: u16, is_last: bool) {
        let mut head = self.packet_head(index);
        head.flags.ack = true;
        head.flags.fin = is_last;
        head.length = length;
        head.token = token;
        let domain = self.requests[index as usize].domain;
        self.send_to_balancer(domain, head);
    }

    pub(super) fn handle_timer(&mut self, index: u32, timer: Timer) {
        let request = &self.requests[index as usize];
        if request.outcome != Outcome::Pending {
            return;
        }
        match (timer, request.phase) {
            (Timer::RetransmitOpening(address), Phase::Opening) if address == request.address => {
                self.requests[index as usize].retransmissions += 1;
                self.send_opening(index);
            }
            (Timer::AttemptTimeout(address), Phase::Opening) if address == request.address => {
                self.retry_request(index)
            }
            (Timer::RetransmitData(address, wait), Phase::Open { token, .. })
                if address == request.address =>
            {
                match self.requests[index as usize].is_received {
                    // The server retransmits its response instead.
                    true => self.resend_response(address),
                    false => self.send_data(index, token),
                }
                let wait = Span(wait.0 * 2).min(RETRANSMISSION_TIMEOUT_MAX);
                self.schedule(
                    wait,
                    Task::CallerTimer(index, Timer::RetransmitData(address, wait)),
                );
            }
            (Timer::Retry, _) => self.start_attempt(index),
            (Timer::Deadline, _) => self.finish_request(index, Outcome::TimedOut),
            _ => (),
        }
    }

    fn finish_request(&mut self, index: u32, outcome: Outcome) {
        let request = &mut self.requests[index as usize];
        request.outcome = outcome;
        request.phase = Phase::Over;
    }

    /// Retries a request if attempts are left and it is idempotent or cannot have run.
    fn retry_request(&mut self, index: u32) {
        let request = &mut self.requests[index as usize];
        let may_retry = request.is_idempotent || !matches!(request.phase, Phase::Open { .. });
        request.phase = Phase::Over;
        if !may_retry || request.attempts >= ATTEMPTS_MAX {
            return self.finish_request(index, Outcome::Refused);
        }
        self.schedule(self.retry_delay, Task::CallerTimer(index, Timer::Retry));
    }

    pub(super) fn handle_caller_packet(&mut self, packet: Packet) {
        let Some(&index) = self.requests_by_caller.get(&packet.to) else {
            return;
        };
        let request = &self.requests[index as usize];
        if request.address != packet.to {
            return;
        }
        if request.outcome != Outcome::Pending {
            if matches!(packet.message, Message::Reset) {
                let idle = self.idle_flows.values_mut();
                idle.for_each(|flows| flows.retain(|flow| flow.address != packet.to));
            }
            return;
        }
        match (packet.message, request.phase) {
            (Message::Opened(token, incarnation), Phase::Opening) => {
                let server = packet.from.expect("only servers open flows");
                let open = Phase::Open {
                    server,
                    incarnation,
                    token,
                };
                self.requests[index as usize].phase = open;
                self.send_request(index, token);
            }
            (Message::Received, Phase::Open { .. }) => {
                self.requests[index as usize].is_received = true;
            }
            (
                Message::Response,
                Phase::Open {
                    server,
                    incarnation,
                    token,
                },
            ) => {
                let request = &mut self.requests[index as usize];
                let keeps_flow = self.flows_per_domain > 0 && request.service == SERVICE;
                request.seq += u32::from(REQUEST_BYTES);
                request.ack += RESPONSE_BYTES;
                let (domain, flow) = (
                    request.domain,
                    IdleFlow {
                        address: request.address,
                        server,
                        incarnation,
                        token,
                        seq: request.seq,
                        ack: request.ack,
                    },
                );
                self.send_end(index, token, !keeps_flow);
                self.finish_request(index, Outcome::Served(self.now));
                if keeps_flow {
                    self.idle_flows.entry(domain).or_default().push(flow);
                }
            }
            (Message::Shed, Phase::Open { token, .. }) => {
                self.requests[index as usize].ack += SHED_BYTES;
                self.schedule_end(index, token);
                // The request was not run, so it may be retried even if it is not idempotent.
                self.requests[index as usize].phase = Phase::Over;
                self.retry_request(index);
            }
            (Message::Reset, phase) => {
                self.check_reset(index, phase, packet.from);
                self.retry_request(index);
            }
            _ => (),
        }
    }

    fn check_reset(&mut self, index: u32, phase: Phase, from: Option<usize>) {
        let Phase::Open {
            server,
            incarnation,
            ..
        } = phase
        else {
            return;
        };
        let state = &self.servers[server];
        // A server that has restarted no longer has the flow.
        if state.incarnation != incarnation {
            return;
        }
        // Balancers may reset flows to a server that their checks cannot reach across a partition.
        let is_excused = !self.partitioned.is_empty() || self.out_since.contains_key(&state.domain);
        if from.is_none() && state.is_responsive() && !is_excused {
            self.violations.insert(Violation::UnexpectedReset(index));
        }
    }

    pub(super) fn record_run(&mut self, flow: SocketAddrV4) {
        let Some(&index) = self.requests_by_caller.get(&flow) else {
            return;
        };
        let request = &mut self.requests[index as usize];
        request.runs += 1;
        if request.runs > 1 && !request.is_idempotent {
            self.violations.insert(Violation::RepeatedRun(index));
        }
    }
}
