//! A discrete-event simulation of a deployment: balancers, a store, backend servers, callers and
//! the network between them.
//!
//! Every action is a task in one queue ordered by time, and random choices come from one seeded
//! generator, so a run is reproducible.

mod caller;
mod driver;
mod link;
mod restore;
mod server;
mod store;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use base::prelude::*;
use conf::object::Kind;
use forward::cold::RateLimit;
use forward::prelude::*;
use forward::setting::StartFrom;
use forward::tick;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::frame::Frame;

pub(crate) use caller::Outcome;
pub(crate) use caller::Request;
pub(crate) use link::Host;
pub(crate) use link::Links;
pub(crate) use server::Server;
pub(crate) use server::Status;
pub(crate) use store::Store;

/// The time at which every simulation starts.
pub(crate) const START: Time = Time(1_900_000_000_000_000);
/// The one-way latency between a caller and a balancer or server.
pub(crate) const CALLER_LATENCY: Span = Span::millis(3);
/// The one-way latency within a failure domain.
pub(crate) const INTRA_DOMAIN_LATENCY: Span = Span(200);
/// The one-way latency between failure domains.
pub(crate) const INTER_DOMAIN_LATENCY: Span = Span(5_000);
/// The number of balancers whose addresses are the seeds of all others.
const SEED_BALANCERS: usize = 3;
/// The interval at which the fabric probes each balancer.
const PROBE_INTERVAL: Span = Span::millis(500);
/// The number of failed probes in a row after which the fabric takes a balancer out of rotation.
const FAILED_PROBES_THRESHOLD: u32 = 2;

/// A violation of a requirement, with the request or server concerned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Violation {
    /// A balancer reset a flow although its server was responsive.
    UnexpectedReset(u32),
    /// An opening packet reached a server of another pool.
    WrongPool(usize),
    /// A cold server received more flows in a second than its limit.
    ColdLimitExceeded(usize),
    /// An opening packet reached a server of a failure domain that had been out for longer than
    /// allowed.
    DomainOut(usize),
    /// An opening packet reached a server that had been draining for longer than allowed.
    DrainExpired(usize),
    /// A request that is not idempotent ran twice.
    RepeatedRun(u32),
    /// A balancer forwarded an opening packet to a pool to which no route in force there leads.
    OffRoute(usize),
}

/// A simulated balancer.
pub(crate) struct Balancer {
    pub(crate) name: String,
    pub(crate) domain: usize,
    pub(crate) reducer: Option<Forwarder>,
    /// Changes when the process is killed or started, so that results for an earlier one are
    /// dropped.
    pub(crate) incarnation: u32,
    /// Counts its reads of each kind, so that results of replaced reads are dropped.
    reads: BTreeMap<Kind, u32>,
    pub(crate) is_in_rotation: bool,
    failed_probes: u32,
    /// Until when the process is paused.
    paused_until: Time,
    /// The packets that queue meanwhile; `None` if they are lost.
    pub(crate) queue: Option<Vec<Head>>,
    pub(crate) is_stopping: bool,
}

/// The frames about demand that balancers sent, and what the network does to them.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandLink {
    /// The bytes that each balancer sent.
    pub(crate) bytes: BTreeMap<usize, usize>,
    /// The number of these frames lost out of 10,000.
    pub(crate) loss: u32,
    /// Bounds the additional delay of each frame, which is random.
    pub(crate) delay_max: Span,
    /// The number of times that each frame arrives in addition.
    pub(crate) duplicates: usize,
}

/// An action that is due at some time.
///
/// Balancers, servers and requests are given by index. A task for another incarnation than the
/// current one has no effect.
#[derive(Clone, Debug)]
enum Task {
    Tick(usize, u32),
    Resume(usize, u32, Span),
    Probe,
    BalancerPacket {
        balancer: usize,
        head: Head,
    },
    ServerPacket {
        server: usize,
        identity: u64,
        head: Head,
        via: usize,
    },
    CallerPacket(caller::Packet),
    SendFragments(usize, u32),
    Fragment {
        to: usize,
        from: usize,
    },
    Frame {
        to: usize,
        from: usize,
        frame: Box<Frame>,
    },
    ReadResult {
        balancer: usize,
        incarnation: u32,
        read: u32,
        kind: Kind,
        event: Box<Event>,
    },
    CheckResult {
        balancer: usize,
        incarnation: u32,
        event: Box<Event>,
    },
    Discover(usize, u32),
    WatchExpiry(store::Watch),
    RunDone {
        server: usize,
        incarnation: u32,
        flow: SocketAddrV4,
    },
    CallerTimer(u32, caller::Timer),
    NewRequest,
    StartBalancer(usize),
    StoreWrite(store::Write),
}

/// The simulated deployment.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    /// The due time, the sequence number and the key in `tasks` of each task. The sequence number
    /// orders tasks that are due at the same time.
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    tasks: BTreeMap<usize, Task>,
    sequence: u64,
    pub(crate) random: ChaCha8Rng,
    pub(crate) balancers: Vec<Balancer>,
    pub(crate) servers: Vec<Server>,
    pub(crate) store: Store,
    pub(crate) requests: Vec<Request>,
    /// The index of the request of each caller address, which is used for one attempt only.
    requests_by_caller: BTreeMap<SocketAddrV4, u32>,
    /// Failure domains that are partitioned from all others and from the store.
    pub(crate) partitioned: BTreeSet<usize>,
    /// Failure domains whose outgoing packets are lost.
    pub(crate) egress_blocked: BTreeSet<usize>,
    /// Failure domains that are out, with the time at which they were taken out.
    pub(crate) out_since: BTreeMap<usize, Time>,
    pub(crate) violations: BTreeSet<Violation>,
    /// The number of requests per second from callers of each domain.
    pub(crate) rate: f64,
    pub(crate) domains: usize,
    /// The factor on the rate of requests from a domain's callers.
    pub(crate) surges: BTreeMap<usize, f64>,
    /// The frames about demand.
    pub(crate) demand_link: DemandLink,
    /// The balancers whose release does not know frames about snapshots.
    pub(crate) old_releases: BTreeSet<usize>,
    /// Where starting balancers take the platform's objects from.
    pub(crate) start_from: StartFrom,
    /// The links of the balancers' hosts; `None` if frames take no time to send.
    pub(crate) links: Option<link::Links>,
    /// The domains whose callers start no requests.
    pub(crate) quiet_domains: BTreeSet<usize>,
    /// The health checks that balancers started: the time, the balancer and the server's name.
    pub(crate) checks: Vec<(Time, usize, String)>,
    /// The number of idle flows that the callers of a domain keep open for further requests; 0 if
    /// they end each flow after its request.
    pub(crate) flows_per_domain: usize,
    /// The percentage of the requests that go to `URGENT_SERVICE`.
    pub(crate) urgent_percent: u32,
    /// The delay before a failed attempt is retried.
    pub(crate) retry_delay: Span,
    /// The balancers whose frames to and from others are lost.
    pub(crate) isolated: BTreeSet<usize>,
    /// The flows that callers of each domain keep open without a request under way.
    pub(crate) idle_flows: BTreeMap<usize, Vec<caller::IdleFlow>>,
    /// The number of attempts, from which each caller address is made.
    next_port: u32,
    /// The number of packets and frames lost out of 10,000.
    pub(crate) loss: u32,
    /// How long servers are cold after a restart.
    pub(crate) cold_period: Span,
    /// The rate of the pool's cold servers, in flows per minute.
    pub(crate) cold_per_minute: u32,
    /// The number of load reports lost out of 10,000, in addition.
    pub(crate) report_loss: u32,
    /// The number of objects that balancers sent each other.
    pub(crate) published_objects: usize,
    pub(crate) log: Vec<String>,
    /// The hosts with a link of known capacity, by balancer. They are set before the balancers start.
    pub(crate) hosts: BTreeMap<usize, Host>,
    /// The number of frames about the use of hosts from one balancer to another.
    pub(crate) host_frames: BTreeMap<(usize, usize), usize>,
    /// Of this many of these frames one is lost, of each pair; 0 if none is.
    pub(crate) host_frame_loss: usize,
    /// Whether decisions are logged, for golden files.
    pub(crate) is_logging: bool,
    /// Whether the fabric selects balancers by hash modulo their number, so that nearly all flows
    /// move when a balancer joins or leaves the rotation.
    pub(crate) has_modulo_hashing: bool,
    /// Whether the fabric falls back to balancers of other domains when a domain has none in
    /// rotation.
    pub(crate) has_remote_fallback: bool,
}

/// The service address of all flows.
pub(crate) const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// The service address of a second route to the same pool.
pub(crate) const URGENT_SERVICE: SocketAddrV4 =
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);
/// The pool that `SERVICE` is routed to.
pub(crate) const POOL: &str = "rounds";

pub(crate) fn domain_name(domain: usize) -> String {
    format!("d{domain}")
}

fn peer_address(balancer: usize) -> SocketAddr {
    let [high, low] = (balancer as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn balancer_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [.., high, low] = address.ip().octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        SocketAddr::V6(address) => panic!("{address} is not the address of a balancer"),
    }
}

impl Simulation {
    /// Returns a deployment with balancers and servers spread evenly over the domains.
    pub(crate) fn new(seed: u64, domains: usize, balancers: usize, servers: usize) -> Simulation {
        let mut sim = Simulation {
            now: START,
            queue: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            balancers: Vec::new(),
            servers: Vec::new(),
            store: Store::default(),
            requests: Vec::new(),
            requests_by_caller: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            egress_blocked: BTreeSet::new(),
            out_since: BTreeMap::new(),
            violations: BTreeSet::new(),
            rate: 0.0,
            domains,
            surges: BTreeMap::new(),
            demand_link: DemandLink::default(),
            old_releases: BTreeSet::new(),
            start_from: StartFrom::default(),
            links: None,
            quiet_domains: BTreeSet::new(),
            checks: Vec::new(),
            flows_per_domain: 0,
            urgent_percent: 0,
            retry_delay: Span::millis(20),
            isolated: BTreeSet::new(),
            idle_flows: BTreeMap::new(),
            next_port: 0,
            loss: 0,
            cold_period: Span::secs(2),
            cold_per_minute: 0,
            report_loss: 0,
            published_objects: 0,
            log: Vec::new(),
            hosts: BTreeMap::new(),
            host_frames: BTreeMap::new(),
            host_frame_loss: 0,
            is_logging: false,
            has_modulo_hashing: false,
            has_remote_fallback: true,
        };
        for index in 0..servers {
            sim.add_server(index % domains, POOL);
        }
        sim.write_routing();
        for index in 0..balancers {
            sim.add_balancer(index % domains);
        }
        sim.schedule(PROBE_INTERVAL, Task::Probe);
        sim
    }

    /// Sets the number of requests per second from callers of each domain.
    pub(crate) fn with_rate(mut self, rate: f64) -> Simulation {
        self.rate = rate;
        self.schedule_request();
        self
    }

    fn schedule(&mut self, wait: Span, task: Task) {
        self.sequence += 1;
        let key = self.sequence as usize;
        self.tasks.insert(key, task);
        self.queue
            .push(Reverse((self.now + wait, self.sequence, key)));
    }

    /// Runs all tasks that are due within the span.
    pub(crate) fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(&Reverse((time, _, key))) = self.queue.peek() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            if let Some(task) = self.tasks.remove(&key) {
                self.run_task(task);
            }
        }
        self.now = end;
    }

    /// Adds a balancer to a domain. It starts within 300 ms.
    pub(crate) fn add_balancer(&mut self, domain: usize) -> usize {
        let index = self.balancers.len();
        self.balancers.push(Balancer {
            name: format!("b{index}"),
            domain,
            reducer: None,
            incarnation: 0,
            reads: BTreeMap::new(),
            is_in_rotation: false,
            failed_probes: 0,
            paused_until: START,
            queue: None,
            is_stopping: false,
        });
        let wait = Span(self.random.random_range(0..300_000));
        self.schedule(wait, Task::StartBalancer(index));
        index
    }

    /// Kills a balancer's process, which restarts after `wait`.
    pub(crate) fn kill_balancer(&mut self, balancer: usize, wait: Span) {
        let state = &mut self.balancers[balancer];
        state.reducer = None;
        state.incarnation += 1;
        self.schedule(wait, Task::StartBalancer(balancer));
    }

    /// Starts a planned stop of a balancer, which restarts one second after its exit.
    pub(crate) fn stop_balancer(&mut self, balancer: usize) {
        self.balancers[balancer].is_stopping = true;
        self.step_balancer(balancer, Event::Stop);
    }

    /// Pauses a balancer's process.
    pub(crate) fn pause_balancer(&mut self, balancer: usize, span: Span) {
        self.balancers[balancer].paused_until = self.now + span;
        let incarnation = self.balancers[balancer].incarnation;
        self.schedule(span, Task::Resume(balancer, incarnation, span));
    }

    fn start_balancer(&mut self, balancer: usize) {
        let state = &mut self.balancers[balancer];
        let address = peer_address(balancer);
        let peer = Peer {
            datagram: address,
            stream: address,
        };
        let cold = RateLimit {
            overage_percent: 150,
            slack: 5,
        };
        let seeds = (0..SEED_BALANCERS).map(peer_address).collect();
        let capacity = self.hosts.get(&balancer).map(Host::capacity);
        let setting = Setting::new(state.name.clone(), domain_name(state.domain), peer, address)
            .with_seeds(seeds)
            .with_cold(cold)
            .with_grace(Span::secs(6))
            .with_capacity(capacity.unwrap_or_default())
            .with_start_from(self.start_from);
        state.reducer = Some(Forwarder::new(setting, self.now));
        state.incarnation += 1;
        state.is_stopping = false;
        let incarnation = state.incarnation;
        self.schedule(Span::ZERO, Task::Tick(balancer, incarnation));
    }

    /// Takes a domain out, or back in.
    pub(crate) fn set_out(&mut self, domain: usize, is_out: bool) {
        match is_out {
            true => self.out_since.insert(domain, self.now),
            false => self.out_since.remove(&domain),
        };
        self.write_domain(domain, is_out);
    }

    /// Returns whether packets from one domain to another are lost.
    fn is_link_blocked(&self, from: usize, to: usize) -> bool {
        let is_partitioned = self.partitioned.contains(&from) || self.partitioned.contains(&to);
        from != to && (is_partitioned || self.egress_blocked.contains(&from))
    }

    fn link_latency(&self, from: usize, to: usize) -> Span {
        match from == to {
            true => INTRA_DOMAIN_LATENCY,
            false => INTER_DOMAIN_LATENCY,
        }
    }

    fn is_packet_lost(&mut self) -> bool {
        self.loss > 0 && self.random.random_range(0..10_000) < self.loss
    }

    /// Returns the number of requests started since `from` that match.
    pub(crate) fn count_requests(&self, from: Time, is_match: impl Fn(&Request) -> bool) -> usize {
        let started = self
            .requests
            .iter()
            .filter(|request| request.started_at >= from);
        started.filter(|request| is_match(request)).count()
    }

    /// Returns the fraction of the requests started in a span that were served within `limit`.
    pub(crate) fn share_within(&self, from: Time, to: Time, limit: Span) -> f64 {
        let mut total = 0.0;
        let mut served = 0.0;
        for request in &self.requests {
            if request.started_at < from || request.started_at >= to {
                continue;
            }
            total += 1.0;
            if let Outcome::Served(at) = request.outcome {
                served += f64::from(u8::from(at.since(request.started_at) <= limit));
            }
        }
        served / f64::max(total, 1.0)
    }

    /// Asserts that no requirement was violated.
    pub(crate) fn assert_no_violations(&self) {
        let none = BTreeSet::new();
        assert_eq!(self.violations, none, "requirements must not be violated");
    }

    /// Returns a balancer's reducer.
    pub(crate) fn reducer(&self, balancer: usize) -> &Forwarder {
        let reducer = self.balancers[balancer].reducer.as_ref();
        reducer.expect("the balancer is running")
    }

    /// Returns the period of the reducer's ticks.
    fn tick_period() -> Span {
        tick::PERIOD
    }
}
