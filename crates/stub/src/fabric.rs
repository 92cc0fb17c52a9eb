//! A packet-spraying network: receives datagrams to service addresses and forwards each to a random
//! balancer.
//!
//! Each caller of a service address has one unconnected socket towards the balancers, so that any
//! of them can answer; a datagram to this socket goes to the caller with the service address as
//! source. A datagram to a balancer goes to its entry port on the IP address of the service. A
//! balancer that failed or left stays in the list until the removal delay is over, and
//! datagrams sent to it are lost. Control endpoints: `GET /control/stats`, `PUT
//! /control/balancers`, `PUT /control/link`.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use eyre::Result;
use hyper::body::Incoming;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Payload;
use crate::http::Signal;

/// Maximum length of a datagram that is forwarded, in bytes.
const DATAGRAM_MAX: usize = 2048;

/// Idle time after which a caller's socket is closed.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Conditions of the simulated network, in either direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// Probability that a datagram is lost.
    pub drop: f64,
    /// Probability that a datagram is duplicated.
    pub duplicate: f64,
    /// Probability that a datagram is delayed by an additional `delay_us` plus `jitter_us`, or by
    /// 2 ms if that is more, so that later ones overtake it.
    pub reorder: f64,
    /// One-way delay, in microseconds.
    pub delay_us: u64,
    /// Maximum jitter, uniformly distributed, in microseconds.
    pub jitter_us: u64,
    /// Additional delay from the fabric to a balancer, in microseconds.
    pub inner_us: u64,
}

/// Minimum additional delay of a reordered datagram.
const REORDER_DELAY_MIN_US: u64 = 2_000;

/// Counters of the fabric.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Datagrams from callers.
    pub received: u64,
    /// Datagrams forwarded to balancers, duplicates included.
    pub forwarded: u64,
    /// Datagrams received from balancers, including those that the link then drops.
    pub returned: u64,
    /// Datagrams dropped by the link settings, in either direction.
    pub dropped: u64,
    /// Open sockets, one for each caller of a service address.
    pub callers: u64,
}

/// The balancers that datagrams are forwarded to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balancers {
    /// Their entry ports.
    pub ports: Vec<u16>,
}

/// Addresses that a fabric listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Service addresses, in the order given.
    pub services: Vec<SocketAddr>,
    /// The control endpoints.
    pub control: SocketAddr,
}

/// Settings of a fabric.
#[derive(Clone, Debug)]
pub struct Options {
    /// Service addresses; port 0 picks a free one.
    pub services: Vec<SocketAddr>,
    /// Address of the control endpoints.
    pub control: SocketAddr,
    /// How long datagrams are still forwarded to a balancer after its removal, in milliseconds.
    pub removal_delay_ms: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Conditions of the simulated network.
    pub link: Link,
}

/// A running fabric; it stops when dropped.
#[derive(Debug)]
pub struct Fabric {
    address: Address,
    shared: Arc<Shared>,
    signal: watch::Sender<Signal>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    removal_delay: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: ChaCha8Rng,
    link: Link,
    /// Entry ports; for a removed balancer, also the end of its removal delay.
    balancers: Vec<(u16, Option<Instant>)>,
    /// By the index of the service address and the caller's address.
    callers: HashMap<(usize, SocketAddr), Caller>,
    stats: Stats,
}

#[derive(Debug)]
struct Caller {
    socket: Arc<UdpSocket>,
    last_seen: Instant,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Fabric {
    /// Starts a fabric without balancers.
    pub async fn start(options: Options) -> Result<Fabric> {
        let listener = TcpListener::bind(options.control).await?;
        let shared = Arc::new(Shared {
            removal_delay: Duration::from_millis(options.removal_delay_ms),
            state: Mutex::new(State {
                rng: ChaCha8Rng::seed_from_u64(options.seed),
                link: options.link,
                balancers: Vec::new(),
                callers: HashMap::new(),
                stats: Stats::default(),
            }),
        });
        let mut address = Address {
            services: Vec::new(),
            control: listener.local_addr()?,
        };
        let mut tasks = Vec::new();
        for (n, service) in options.services.iter().enumerate() {
            let socket = Arc::new(UdpSocket::bind(service).await?);
            address.services.push(socket.local_addr()?);
            tasks.push(tokio::spawn(shared.clone().forward_to_balancers(n, socket)));
        }
        tasks.push(tokio::spawn(shared.clone().evict_idle_callers()));
        let signal = watch::Sender::default();
        let handler = Arc::new(ControlHandler(shared.clone()));
        tokio::spawn(http::serve(listener, handler, signal.subscribe()));
        Ok(Fabric {
            address,
            shared,
            signal,
            tasks,
        })
    }

    /// Returns the addresses that it listens on.
    pub fn address(&self) -> &Address {
        &self.address
    }

    /// Sets the balancers; removed ones still receive datagrams until their removal delay is over.
    pub fn set_balancers(&self, balancers: &Balancers) {
        self.shared.set_balancers(balancers);
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.shared.stats()
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.tasks.iter().for_each(|task| task.abort());
        self.shared.state().callers.clear();
        self.signal.send_modify(|s| {
            s.stopping = true;
            s.aborts += 1;
        });
    }
}

impl State {
    fn pick_balancer(&mut self) -> Option<u16> {
        let now = Instant::now();
        self.balancers
            .retain(|(_, until)| until.is_none_or(|until| now < until));
        if self.balancers.is_empty() {
            return None;
        }
        let n = self.rng.random_range(0..self.balancers.len());
        Some(self.balancers[n].0)
    }

    /// Draws the delay of each copy of a datagram; there is no copy if it is lost.
    fn draw_delays(&mut self, extra_us: u64) -> Vec<Duration> {
        let link = self.link;
        if self.rng.random_bool(link.drop) {
            self.stats.dropped += 1;
            return Vec::new();
        }
        let copies = 1 + usize::from(self.rng.random_bool(link.duplicate));
        (0..copies)
            .map(|_| self.draw_delay(link, extra_us))
            .collect()
    }

    fn draw_delay(&mut self, link: Link, extra_us: u64) -> Duration {
        let mut us = link.delay_us + extra_us + self.rng.random_range(0..=link.jitter_us);
        if self.rng.random_bool(link.reorder) {
            us += (link.delay_us + link.jitter_us).max(REORDER_DELAY_MIN_US);
        }
        Duration::from_micros(us)
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        // Each change is complete before the lock is released, so a panic elsewhere leaves the
        // state consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stats(&self) -> Stats {
        let state = self.state();
        Stats {
            callers: state.callers.len() as u64,
            ..state.stats
        }
    }

    fn set_balancers(&self, balancers: &Balancers) {
        let until = Instant::now() + self.removal_delay;
        let mut state = self.state();
        for (port, removed) in &mut state.balancers {
            let is_kept = balancers.ports.contains(port);
            *removed = match removed {
                _ if is_kept => None,
                Some(earlier) => Some(*earlier),
                None => Some(until),
            };
        }
        for &port in &balancers.ports {
            if state.balancers.iter().all(|(known, _)| *known != port) {
                state.balancers.push((port, None));
            }
        }
    }

    /// Receives callers' datagrams to one service address and forwards them to balancers.
    async fn forward_to_balancers(self: Arc<Self>, service: usize, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        let Ok(local) = socket.local_addr() else {
            return;
        };
        loop {
            let Ok((size, caller)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(out) = self.caller_socket(service, caller, &socket).await else {
                continue;
            };
            let data: Arc<[u8]> = buffer[..size].into();
            let (copies, ports) = {
                let mut state = self.state();
                state.stats.received += 1;
                let inner = state.link.inner_us;
                let copies = state.draw_delays(inner);
                let ports: Vec<_> = copies.iter().map(|_| state.pick_balancer()).collect();
                (copies, ports)
            };
            for (delay, port) in copies.into_iter().zip(ports) {
                let Some(port) = port else { continue };
                self.state().stats.forwarded += 1;
                send_delayed(out.clone(), data.clone(), (local.ip(), port).into(), delay).await;
            }
        }
    }

    /// Returns the socket that stands for this caller towards the balancers; opens it if needed.
    async fn caller_socket(
        self: &Arc<Self>,
        service: usize,
        caller: SocketAddr,
        front: &Arc<UdpSocket>,
    ) -> Option<Arc<UdpSocket>> {
        if let Some(known) = self.state().callers.get_mut(&(service, caller)) {
            known.last_seen = Instant::now();
            return Some(known.socket.clone());
        }
        let local: IpAddr = Ipv4Addr::LOCALHOST.into();
        let socket = Arc::new(UdpSocket::bind((local, 0)).await.ok()?);
        let forwarding = self
            .clone()
            .forward_to_caller(socket.clone(), front.clone(), caller);
        let entry = Caller {
            socket: socket.clone(),
            last_seen: Instant::now(),
            task: tokio::spawn(forwarding),
        };
        self.state().callers.insert((service, caller), entry);
        Some(socket)
    }

    /// Forwards datagrams from balancers to a caller.
    async fn forward_to_caller(
        self: Arc<Self>,
        socket: Arc<UdpSocket>,
        front: Arc<UdpSocket>,
        caller: SocketAddr,
    ) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        loop {
            let Ok((size, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let data: Arc<[u8]> = buffer[..size].into();
            let copies = {
                let mut state = self.state();
                state.stats.returned += 1;
                state.draw_delays(0)
            };
            for delay in copies {
                send_delayed(front.clone(), data.clone(), caller, delay).await;
            }
        }
    }

    /// Closes the sockets of idle callers.
    async fn evict_idle_callers(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CALLER_IDLE_TIMEOUT / 4).await;
            let now = Instant::now();
            self.state()
                .callers
                .retain(|_, caller| now - caller.last_seen < CALLER_IDLE_TIMEOUT);
        }
    }
}

/// Sends a datagram after a delay. A send error counts as a loss, as on any network.
async fn send_delayed(socket: Arc<UdpSocket>, data: Arc<[u8]>, to: SocketAddr, delay: Duration) {
    if delay.is_zero() {
        let _ = socket.send_to(&data, to).await;
        return;
    }
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let _ = socket.send_to(&data, to).await;
    });
}

struct ControlHandler(Arc<Shared>);

impl http::Handler for ControlHandler {
    type Conn = ();

    fn open(self: &Arc<Self>) -> Option<()> {
        Some(())
    }

    async fn handle(self: Arc<Self>, _: Arc<()>, request: Request<Incoming>) -> Answer {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = http::collect_body(request.into_body()).await?;
        let done = match (&method, path.as_str()) {
            (&Method::GET, "/control/stats") => {
                return http::json(StatusCode::OK, &self.0.stats());
            }
            (&Method::PUT, "/control/balancers") => {
                serde_json::from_slice(&body).map(|b| self.0.set_balancers(&b))
            }
            (&Method::PUT, "/control/link") => {
                serde_json::from_slice(&body).map(|link| self.0.state().link = link)
            }
            _ => return http::respond(StatusCode::NOT_FOUND, Payload::default()),
        };
        match done {
            Ok(()) => http::respond(StatusCode::OK, Payload::default()),
            Err(error) => http::respond(StatusCode::BAD_REQUEST, Payload::new(error.to_string())),
        }
    }
}
