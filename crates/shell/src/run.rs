//! The relay process: binds all sockets and runs the event loop until it stops or is told to quit.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use eyre::eyre;
use node::effect::Effect;
use node::event::Event;
use serde::Serialize;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::sync::mpsc;

use crate::admin::Admin;
use crate::admin::Query;
use crate::clock::Clock;
use crate::http;
use crate::metric::Count;
use crate::metric::Metric;
use crate::peer::Endpoint;
use crate::setting::Setting;
use crate::socket::Socket;
use crate::stream::Received;
use crate::stream::Streams;
use crate::turn::Loop;
use crate::watch;

/// Capacity of the queue of events for the loop.
const EVENT_QUEUE_LENGTH: usize = 1_024;
/// Capacity of the queue of frames received on streams.
const FRAME_QUEUE_LENGTH: usize = 4;
/// Capacity of the queue of admin queries for the loop.
const QUERY_QUEUE_LENGTH: usize = 16;

/// The state machine that the event loop drives. It does no I/O and reads no clock.
pub trait Reducer: Send + 'static {
    /// Applies an event and appends the resulting effects to `effects`.
    fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>);
    /// Returns the state as text, for `/dump`.
    fn dump(&self) -> String;
    /// Returns whether configuration is in force and the balancer is not stopping.
    fn is_ready(&self) -> bool;
    /// Returns counters and gauges.
    fn counts(&self) -> Vec<Count>;
    /// Returns the configuration revision in force.
    fn revision(&self) -> u64;
}

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The graceful stop is complete.
    Stopped,
    /// A second signal requested an immediate exit.
    Quit,
}

/// Bound addresses, as printed at the start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Bound {
    /// Name of the balancer.
    pub name: String,
    /// UDP address for datagrams from callers.
    pub entry: SocketAddr,
    /// UDP address for datagrams from peers.
    pub peer: SocketAddr,
    /// UDP address for QUIC connections from peers.
    pub stream: SocketAddr,
    /// TCP address of the admin pages.
    pub admin: SocketAddr,
}

impl Bound {
    /// Returns the addresses at which peers reach the balancer.
    pub fn peer(&self) -> Peer {
        Peer {
            datagram: self.peer,
            stream: self.stream,
        }
    }
}

/// A process whose sockets are bound.
pub struct Shell {
    pub(crate) bound: Bound,
    pub(crate) clock: Clock,
    pub(crate) metric: Arc<Metric>,
    pub(crate) entry: Socket,
    pub(crate) peers: Endpoint,
    pub(crate) streams: Streams,
    pub(crate) pool: http::Pool,
    pub(crate) admin: Admin,
    pub(crate) event_sender: mpsc::Sender<Event>,
    pub(crate) events: mpsc::Receiver<Event>,
    pub(crate) frames: mpsc::Receiver<Received>,
    pub(crate) queries: mpsc::Receiver<Query>,
    /// Installed before the addresses are published, since a stop may be requested right after.
    signals: Option<Signals>,
}

impl Shell {
    /// Installs the signal handlers and binds all sockets.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound, naming it, or when the signal handlers, the metrics or
    /// the TLS identity cannot be set up.
    pub async fn bind(setting: &Setting) -> eyre::Result<Shell> {
        let signals = Signals::new()?;
        let clock = Clock::new();
        let metric = Arc::new(Metric::new(&setting.name)?);
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let (frame_sender, frames) = mpsc::channel(FRAME_QUEUE_LENGTH);
        let (query_sender, queries) = mpsc::channel(QUERY_QUEUE_LENGTH);
        let entry = Socket::bind(setting.entry).map_err(bind_error("entry", setting.entry))?;
        let peers = Endpoint::bind(setting.peer, &setting.fleet_keys)
            .map_err(bind_error("peer", setting.peer))?;
        let streams = Streams::bind(setting.stream, &setting.fleet_keys, frame_sender)
            .map_err(bind_error("stream", setting.stream))?;
        let admin = Admin::bind(setting.admin, query_sender, metric.clone()).await?;
        let limits = http::Limits {
            silence_timeout: setting.silence_timeout,
            server_connections_max: setting.server_connections_max,
        };
        let pool = http::Pool::new(clock.clone(), limits, event_sender.clone());
        let bound = Bound {
            name: setting.name.clone(),
            entry: entry.local(),
            peer: peers.local(),
            stream: streams.local()?,
            admin: admin.local,
        };
        Ok(Shell {
            bound,
            clock,
            metric,
            entry,
            peers,
            streams,
            pool,
            admin,
            event_sender,
            events,
            frames,
            queries,
            signals: Some(signals),
        })
    }

    /// Returns the bound addresses.
    pub fn bound(&self) -> &Bound {
        &self.bound
    }

    /// Returns the clock whose time is passed to the reducer.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Returns a sender of events to the reducer.
    pub fn sender(&self) -> mpsc::Sender<Event> {
        self.event_sender.clone()
    }

    /// Runs `reducer` until its graceful stop is complete or a second termination signal arrives.
    ///
    /// # Errors
    ///
    /// Fails when the event loop panics.
    ///
    /// # Panics
    ///
    /// Panics when the signal handlers are missing, which `bind` installs.
    pub async fn run(
        mut self,
        reducer: impl Reducer,
        platform: impl watch::Platform,
    ) -> eyre::Result<Outcome> {
        let stop = self.event_sender.clone();
        let platform_tasks = watch::start(platform, self.event_sender.clone(), self.metric.clone());
        let signals = self.signals.take();
        let mut signals = signals.expect("`bind` installs the signal handlers");
        let task = tokio::spawn(Loop::new(self, reducer, platform_tasks).run());
        tokio::pin!(task);
        tokio::select! {
            ended = &mut task => return ended.map_err(|e| eyre!("the event loop failed: {e}")),
            () = signals.recv() => {}
        }
        tracing::info!("stopping");
        tokio::spawn(async move { stop.send(Event::Stop).await });
        tokio::select! {
            ended = &mut task => ended.map_err(|e| eyre!("the event loop failed: {e}")),
            () = signals.recv() => Ok(Outcome::Quit),
        }
    }
}

fn bind_error<E: std::fmt::Display>(
    flag: &'static str,
    address: SocketAddr,
) -> impl FnOnce(E) -> eyre::Report {
    move |e| eyre!("{}: --{flag} {address}: {e:#}", Code::BindFailed)
}

/// Signals that request a stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> eyre::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
