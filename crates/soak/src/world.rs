//! State that the tasks of a run share: the actual state of the system, not the view of any
//! balancer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::address;
use crate::address::Addresses;
use crate::address::BALANCERS;
use crate::address::DOMAINS;
use crate::checker::Breach;
use crate::server::Server;

/// Datagrams lost at all times, in 10,000: the loss rate of users' links.
const BASE_LOSS_PER_10_000: u32 = 15;

/// State of a balancer's link to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformLink {
    /// The link works.
    #[default]
    Healthy,
    /// Each chunk is delayed by this much, in either direction.
    Slow(Duration),
    /// No data passes, and connections stay open.
    Stalled,
    /// Connections are reset.
    Reset,
}

/// Bytes per second of a host's full link in each direction, 1 Mbit/s. The smallest of the users'
/// hosts have 10 Mbit/s, and several hundred callers each.
const LINK_BYTES_PER_S: u64 = 125_000;
/// Longest time that a datagram waits at a host's link; those that would wait longer are lost.
const LINK_QUEUE: Span = Span::millis(50);

/// Direction of a datagram on a host's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To the host.
    In,
    /// From the host.
    Out,
}

/// The limited link of a host: when it has carried what it was given so far, by direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLink {
    free_at: [Time; 2],
}

impl HostLink {
    /// Returns how long a datagram takes that is sent at `now`, or `None` if it is lost.
    pub fn delay(&mut self, now: Time, direction: Direction, bytes: usize) -> Option<Span> {
        let free_at = &mut self.free_at[direction as usize];
        let start = now.max(*free_at);
        if start.since(now) > LINK_QUEUE {
            return None;
        }
        *free_at = start + Span(bytes as u64 * Span::secs(1).0 / LINK_BYTES_PER_S);
        Some(free_at.since(now))
    }
}

/// State of the network links of a run.
#[derive(Clone, Debug)]
pub struct Links {
    /// Link of each balancer to the platform.
    pub platform: [PlatformLink; BALANCERS],
    /// Connections to the platform that were opened before this time stay stalled.
    pub stalled_before: Time,
    /// Link of each balancer's host, if it is limited.
    pub hosts: [Option<HostLink>; BALANCERS],
    /// Ordered pairs (from, to) of failure domains between which no datagrams pass.
    pub partitioned: BTreeSet<(usize, usize)>,
    /// Datagrams lost, in 10,000.
    pub loss: u32,
    /// Upper bound of the random delay of datagrams between balancers.
    pub delay_max: Duration,
}

impl Links {
    /// Makes links without faults, which lose `loss` datagrams in 10,000.
    pub fn new(loss: u32) -> Links {
        Links {
            platform: [PlatformLink::Healthy; BALANCERS],
            stalled_before: Time::default(),
            hosts: [None; BALANCERS],
            partitioned: BTreeSet::new(),
            loss,
            delay_max: Duration::ZERO,
        }
    }

    /// Returns whether datagrams pass from one failure domain to another.
    pub fn is_reachable(&self, from: usize, to: usize) -> bool {
        !self.partitioned.contains(&(from, to))
    }
}

/// State of a balancer for the fabric and the checker.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// Whether the fabric sends it packets.
    pub in_rotation: bool,
    /// Number of consecutive probes that failed.
    pub failed_probes: u32,
    /// When a fault other than a planned stop or start last affected it.
    pub last_fault: Time,
    /// When the link of its host was last full. Open flows are not excused by that.
    pub last_full_link: Time,
    /// When it was last stopped or started as planned.
    pub last_maintenance: Time,
    /// Whether its process was told to stop, or was killed by a fault.
    pub is_down: bool,
    /// Number of starts of its process.
    pub incarnation: u32,
}

/// A route and the times of its changes.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The pool that it leads to, by index.
    pub pool: usize,
    /// When its addition was acknowledged.
    pub added: Time,
    /// When its removal was acknowledged, or the latest possible time while the removal is being
    /// written.
    pub removed: Option<Time>,
}

impl Route {
    /// Makes a route whose addition was acknowledged at `added`.
    pub fn new(pool: usize, added: Time) -> Route {
        let removed = None;
        Route {
            pool,
            added,
            removed,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Served,
    /// All attempts were refused, or the request could not be retried.
    Refused,
    /// Its deadline passed.
    TimedOut,
}

/// A request that ended.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest {
    /// When it was first sent.
    pub sent: Time,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Span,
    /// Its route.
    pub route: u8,
    /// The balancer that the fabric selected for its first attempt.
    pub via: Option<usize>,
}

/// A flow whose caller completed the handshake with a server.
#[derive(Clone, Copy, Debug)]
pub struct OpenFlow {
    /// The server, by index.
    pub server: usize,
    /// Incarnation of the server that accepted the flow.
    pub incarnation: u32,
    /// Number of consecutive packets that reached other servers.
    pub misrouted: u32,
    /// When the first of those packets arrived.
    pub misrouted_since: Time,
    /// The balancer that forwarded its last packet.
    pub via: Option<usize>,
}

/// The shared state of a run.
pub struct State {
    /// Source of all random choices other than the fault plan.
    pub random: ChaCha8Rng,
    /// The links.
    pub links: Links,
    /// When a fault last affected the link of each pair of failure domains.
    pub link_last_fault: [[Time; DOMAINS]; DOMAINS],
    /// When a fault last affected the platform.
    pub platform_last_fault: Time,
    /// The balancers.
    pub balancers: Vec<Balancer>,
    /// All servers of the run, also those that have stopped.
    pub servers: Vec<Server>,
    /// The server at each address.
    pub server_at: Vec<Option<usize>>,
    /// The routes, by the last octet of their service address.
    pub routes: BTreeMap<u8, Route>,
    /// Failure domains that are out, with the time of the acknowledgement.
    pub out_domains: BTreeMap<usize, Time>,
    /// Open flows by the caller's address.
    pub open_flows: BTreeMap<std::net::SocketAddrV4, OpenFlow>,
    /// Server and incarnation that assigned each flow number.
    pub flow_numbers: BTreeMap<u32, (usize, u32)>,
    /// How often each request that is not idempotent was executed.
    pub executions: BTreeMap<u64, u32>,
    /// Callers' addresses of flows of which an opening packet reached a server.
    pub forwarded: BTreeSet<std::net::SocketAddrV4>,
    /// Whether the run has loads.
    pub has_loads: bool,
    /// Start and end of the latest crowd.
    pub crowd: Option<(Time, Time)>,
    /// Longest time from an opening packet to its refusal by a settled balancer.
    pub slowest_refusal: Option<Span>,
    /// What callers met during loads, for the report.
    pub load_results: Vec<String>,
    /// Requests that ended.
    pub completed: Vec<CompletedRequest>,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
    next_flow_number: u32,
}

/// A run's shared state, its clock and its addresses.
#[derive(Clone)]
pub struct World {
    /// The addresses.
    pub addresses: Addresses,
    start: Instant,
    state: Arc<Mutex<State>>,
}

impl World {
    /// Makes the state of a run that starts now.
    pub fn new(addresses: Addresses, seed: u64) -> World {
        let state = State {
            random: ChaCha8Rng::seed_from_u64(seed),
            links: Links::new(BASE_LOSS_PER_10_000),
            link_last_fault: [[Time::default(); DOMAINS]; DOMAINS],
            platform_last_fault: Time::default(),
            balancers: vec![Balancer::default(); BALANCERS],
            servers: Vec::new(),
            server_at: vec![None; address::SERVERS],
            routes: BTreeMap::new(),
            out_domains: BTreeMap::new(),
            open_flows: BTreeMap::new(),
            flow_numbers: BTreeMap::new(),
            executions: BTreeMap::new(),
            forwarded: BTreeSet::new(),
            has_loads: false,
            crowd: None,
            slowest_refusal: None,
            load_results: Vec::new(),
            completed: Vec::new(),
            breaches: Vec::new(),
            next_flow_number: 0,
        };
        World {
            addresses,
            start: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the time since the start of the run plus 1,000 s. The offset makes the default time,
    /// 0, older than every bound in use.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64) + Span::secs(1_000)
    }

    /// Reads or changes the state.
    pub fn with<T>(&self, f: impl FnOnce(&mut State, Time) -> T) -> T {
        let now = self.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        f(&mut state, now)
    }

    /// Draws the delay of a datagram between two failure domains, or `None` if it is lost.
    pub fn datagram_delay(&self, from: usize, to: usize) -> Option<Duration> {
        self.with(|state, _| {
            if !state.links.is_reachable(from, to) || state.draw_loss() {
                return None;
            }
            let delay_max = state.links.delay_max.as_micros() as u64;
            let delay = match delay_max {
                0 => 0,
                delay_max => state.random.random_range(0..delay_max),
            };
            Some(Duration::from_micros(delay))
        })
    }

    /// Returns how long a datagram takes on the link of a balancer's host, or `None` if it is lost.
    pub fn host_delay(&self, host: usize, way: Direction, bytes: usize) -> Option<Duration> {
        self.with(|state, now| match &mut state.links.hosts[host] {
            Some(link) => Some(Duration::from_micros(link.delay(now, way, bytes)?.0)),
            None => Some(Duration::ZERO),
        })
    }
}

impl State {
    /// Draws whether a datagram is lost.
    pub fn draw_loss(&mut self) -> bool {
        let loss = self.links.loss;
        self.random.random_range(0..10_000) < loss
    }

    /// Assigns the sequence number of the server's side of a flow.
    pub fn assign_flow_number(&mut self, server: usize, incarnation: u32) -> u32 {
        self.next_flow_number += 1;
        self.flow_numbers
            .insert(self.next_flow_number, (server, incarnation));
        self.next_flow_number
    }

    /// Records that a fault affects a balancer.
    pub fn record_fault(&mut self, balancer: usize, now: Time) {
        self.balancers[balancer].last_fault = now;
    }

    /// Records that a fault affects the link between two failure domains, in both directions.
    pub fn record_link_fault(&mut self, from: usize, to: usize, now: Time) {
        self.link_last_fault[from][to] = now;
        self.link_last_fault[to][from] = now;
    }

    /// Returns whether there is a crowd, or there was one less than `span` ago.
    pub fn had_crowd(&self, now: Time, span: Span) -> bool {
        self.crowd
            .is_some_and(|(from, to)| now >= from && now < to + span)
    }

    /// Returns the pool of a route, also of one that was removed.
    pub fn pool_of(&self, route: u8) -> Option<usize> {
        self.routes.get(&route).map(|route| route.pool)
    }
}
