//! The packet-forwarding process: one event loop owns the reducer, passes packets and events to it
//! and performs its effects.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use base::prelude::*;
use eyre::eyre;
use eyre::WrapErr;
use forward::effect::Effect;
use forward::event::Event;
use forward::packet::Verdict;
use forward::Forwarder;
use plat::source::Source;
use tokio::sync::mpsc;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;

use crate::admin::Admin;
use crate::admin::Query;
use crate::clock::Clock;
use crate::log::Sink;
use crate::metric::Count;
use crate::metric::Metric;
use crate::metric::Transport;
use crate::packets::batch::Socket;
use crate::packets::fragment::Reassembler;
use crate::packets::queue::Queue;
use crate::packets::setting::Setting;
use crate::packets::signal::Signals;
use crate::packets::source::Tasks;
use crate::packets::trace;
use crate::run::Outcome;

mod pace;
mod reload;
mod send;

/// Interval between ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_micros(forward::tick::PERIOD.0);
/// Ticks between checks of the settings file's modification time.
const FILE_CHECK_TICKS: u32 = 40;
/// Ticks between flushes of the log buffer.
const LOG_FLUSH_TICKS: u32 = 8;
/// Gap between two iterations of the loop above which queued datagrams are dropped as stale:
/// callers abandon an opening packet after 1.4 s.
const PAUSE_THRESHOLD: Span = Span::millis(1_200);
/// Capacity of the queue of events for the loop.
const EVENT_QUEUE_LENGTH: usize = 256;
/// Capacity of the queue of admin queries for the loop.
const QUERY_QUEUE_LENGTH: usize = 16;

/// Receive buffer for frames of peers. It holds what two peers send of their snapshots while the
/// host does not run for 100 ms because of its processor quota; the system allows no more by default.
const PEER_BUFFER_BYTES: usize = 212_992;

/// Reads and validates the settings again. The error text lists the faults.
pub type Reload = Box<dyn Fn() -> Result<Setting, String>>;

/// A process whose sockets are bound.
pub struct Shell<C, S> {
    setting: Setting,
    codec: C,
    source: S,
    sink: Sink,
    clock: Clock,
    metric: Arc<Metric>,
    entry: Socket,
    peers: Socket,
    admin: Admin,
    queries: mpsc::Receiver<Query>,
    /// The settings file, whose modification time triggers a reload.
    file: Option<PathBuf>,
    reload: Reload,
    /// Whether the settings file, as last read, has a fault.
    has_invalid_settings: bool,
}

impl<C: forward::codec::Codec, S: Source> Shell<C, S> {
    /// Binds all sockets.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound, naming it, or when the metrics cannot be set up.
    pub async fn bind(
        setting: Setting,
        codec: C,
        source: S,
        sink: Sink,
    ) -> eyre::Result<Shell<C, S>> {
        let metric = Arc::new(Metric::new(&setting.forward.name)?);
        let (query_sender, queries) = mpsc::channel(QUERY_QUEUE_LENGTH);
        let entry = Socket::bind(setting.entry).map_err(bind_error("entry", setting.entry))?;
        let peer = setting.peer_bind;
        let peers = Socket::bind(peer).map_err(bind_error("peer-bind", peer))?;
        let peers = peers.with_receive_buffer(PEER_BUFFER_BYTES);
        let admin = Admin::bind(setting.forward.admin, query_sender, metric.clone()).await?;
        Ok(Shell {
            setting,
            codec,
            source,
            sink,
            clock: Clock::new(),
            metric,
            entry,
            peers,
            admin,
            queries,
            file: None,
            reload: Box::new(|| Err("no settings file is configured".into())),
            has_invalid_settings: false,
        })
    }

    /// Sets whether lines of the settings file were left out at the start.
    pub fn with_invalid_settings(mut self, has_invalid_settings: bool) -> Shell<C, S> {
        self.has_invalid_settings = has_invalid_settings;
        self
    }

    /// Sets the settings file to watch and the function that reads it again.
    pub fn with_reload(mut self, file: Option<PathBuf>, reload: Reload) -> Shell<C, S> {
        self.file = file;
        self.reload = reload;
        self
    }

    /// Runs until a planned stop is complete or a second termination signal arrives.
    ///
    /// # Errors
    ///
    /// Fails when signals cannot be handled or a socket fails.
    pub async fn run(self) -> eyre::Result<Outcome> {
        tracing::info!(
            event = "start",
            entry = %self.entry.local(),
            peer = %self.peers.local(),
            admin = %self.admin.local,
            platform = self.setting.platform,
            version = env!("CARGO_PKG_VERSION"),
        );
        let sink = self.sink.clone();
        let result = Loop::new(self)?.run().await;
        match &result {
            Ok(outcome) => tracing::info!(event = "stop", outcome = ?outcome),
            Err(error) => tracing::error!(event = "stop", error = %error),
        }
        if let Err(error) = sink.flush_ready() {
            eprintln!("cannot write the log: {error}");
        }
        result
    }
}

fn bind_error(flag: &'static str, address: SocketAddr) -> impl FnOnce(io::Error) -> eyre::Report {
    move |error| eyre!("{}: --{flag} {address}: {error}", Code::BindFailed)
}

/// The input that woke the loop.
enum Wake {
    Entry(io::Result<usize>),
    Peers(io::Result<usize>),
    Event(Event),
    Query(Query),
    Tick,
    /// The link has room for packets that wait.
    Room,
    Terminate,
    Reload,
}

struct Loop<C, S> {
    shell: Shell<C, S>,
    reducer: Forwarder,
    tasks: Tasks<S>,
    events: mpsc::Receiver<Event>,
    signals: Signals,
    ticks: Interval,
    tick: u32,
    log_limit: trace::RateLimit,
    effects: Vec<Effect>,
    reassembler: Reassembler,
    /// Identifier of the last frame sent, which its fragments carry.
    frame_id: u32,
    outlet: pace::Outlet,
    /// Fragments of long frames that wait to be sent.
    send_queue: Queue,
    file_modified: Option<SystemTime>,
    /// Whether packets are received. Until the reducer can route them, they stay in the socket's
    /// buffer.
    is_serving: bool,
    start: Time,
    outcome: Option<Outcome>,
}

impl<C: forward::codec::Codec, S: Source> Loop<C, S> {
    fn new(shell: Shell<C, S>) -> eyre::Result<Loop<C, S>> {
        let now = shell.clock.now();
        let (sender, events) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Loop {
            reducer: Forwarder::new(shell.setting.forward.clone(), now),
            tasks: Tasks::new(shell.source.clone(), sender, shell.metric.clone()),
            events,
            signals: Signals::new()?,
            ticks,
            tick: 0,
            log_limit: trace::RateLimit::new(now),
            effects: Vec::new(),
            reassembler: Reassembler::default(),
            frame_id: 0,
            outlet: pace::Outlet::new(shell.setting.forward.capacity.link, now),
            send_queue: Queue::default(),
            file_modified: reload::modified_time(&shell),
            is_serving: false,
            start: now,
            outcome: None,
            shell,
        })
    }

    async fn run(mut self) -> eyre::Result<Outcome> {
        let mut last = self.shell.clock.now();
        loop {
            let mut wake = self.next_wake().await;
            let now = self.shell.clock.now();
            let gap = now.since(last);
            last = now;
            if gap > PAUSE_THRESHOLD {
                self.resume(now, gap)?;
                // The datagrams just received are as old as the pause, and draining the socket has
                // overwritten their buffers.
                if matches!(wake, Wake::Entry(_)) {
                    wake = Wake::Tick;
                }
            }
            self.handle_wake(now, wake)?;
            self.run_effects(now, &[]);
            if !self.is_serving && self.reducer.can_serve() {
                self.start_serving(now)?;
            }
            if let Some(outcome) = self.outcome {
                self.shell.admin.stop();
                return Ok(outcome);
            }
        }
    }

    /// Starts to receive packets. Packets that have been queued for longer than callers wait are
    /// dropped.
    fn start_serving(&mut self, now: Time) -> eyre::Result<()> {
        self.is_serving = true;
        if now.since(self.start) > PAUSE_THRESHOLD {
            self.drop_queued_packets()?;
        }
        Ok(())
    }

    /// Waits for the next input.
    async fn next_wake(&mut self) -> Wake {
        tokio::select! {
            result = self.shell.entry.recv(), if self.is_serving => Wake::Entry(result),
            result = self.shell.peers.recv() => Wake::Peers(result),
            Some(event) = self.events.recv() => Wake::Event(event),
            Some(query) = self.shell.queries.recv() => Wake::Query(query),
            _ = self.ticks.tick() => Wake::Tick,
            () = self.outlet.wait(&self.shell.clock), if self.outlet.holds() => Wake::Room,
            _ = self.signals.terminate.recv() => Wake::Terminate,
            _ = self.signals.interrupt.recv() => Wake::Terminate,
            _ = self.signals.reload.recv() => Wake::Reload,
        }
    }

    fn handle_wake(&mut self, now: Time, wake: Wake) -> eyre::Result<()> {
        match wake {
            Wake::Entry(result) => {
                let count = result.wrap_err("cannot receive packets from callers")?;
                self.handle_packets(now, count);
            }
            Wake::Peers(result) => {
                let count = result.wrap_err("cannot receive frames from peers")?;
                self.handle_frames(now, count);
            }
            Wake::Event(event) => self.reducer.step(now, event, &mut self.effects),
            Wake::Query(query) => self.answer_query(query),
            Wake::Tick => self.handle_tick(now),
            Wake::Room => self.release_held(now),
            Wake::Terminate => self.handle_terminate(now),
            Wake::Reload => self.reload(now),
        }
        Ok(())
    }

    fn handle_packets(&mut self, now: Time, count: usize) {
        self.shell.metric.count_datagrams(count as u64);
        for index in 0..count {
            let data = self.shell.entry.datagram(index).data;
            match self.shell.codec.decode(data) {
                Ok(head) => self.handle_packet(now, index, &head),
                Err(code) => self.shell.metric.count_drops(code, 1),
            }
        }
        let unsent = self.shell.entry.flush();
        if unsent > 0 {
            self.shell
                .metric
                .count_drops(Code::Unreachable, unsent as u64);
        }
        self.release_held(now);
    }

    fn handle_packet(&mut self, now: Time, index: usize, head: &forward::packet::Head) {
        let verdict = self.reducer.handle_packet(now, head, &mut self.effects);
        if !self.effects.is_empty() {
            let data = self.shell.entry.datagram(index).data;
            let start = data.len() - usize::from(head.length);
            let data = data[start..].to_vec();
            self.run_effects(now, &data);
        }
        let Shell {
            entry,
            codec,
            metric,
            ..
        } = &mut self.shell;
        match verdict {
            Verdict::Forward { target, token } => {
                if let Some(token) = token {
                    codec.write_token(entry.datagram(index).data, token);
                }
                let header = codec.server_header(target.identity);
                self.send_forward(now, index, head, header, target.address);
            }
            Verdict::Reset(code) => {
                metric.count_drops(code, 1);
                let length = codec.write_reset(head, entry.buffer_mut(index));
                // Callers receive resets at the port of the entry address.
                let port = entry.local().port();
                entry.queue_answer(index, length, SocketAddrV4::new(*head.caller.ip(), port));
                self.outlet.record(length);
                self.outlet.remove_flow(head);
            }
            Verdict::Drop(code) => metric.count_drops(code, 1),
        }
    }

    fn handle_frames(&mut self, now: Time, count: usize) {
        for index in 0..count {
            let datagram = self.shell.peers.datagram(index);
            let peer = datagram.from;
            let length = datagram.data.len();
            self.shell
                .metric
                .count_received_frame(Transport::Datagram, length);
            match self.reassembler.insert_datagram(peer, datagram.data) {
                Ok(Some(frame)) => {
                    let event = Event::Frame { peer, frame };
                    self.reducer.step(now, event, &mut self.effects);
                }
                // Fragments matter only to a balancer that waits for a snapshot.
                Ok(None) if self.reducer.can_serve() => (),
                Ok(None) => {
                    let event = Event::Fragment(peer);
                    self.reducer.step(now, event, &mut self.effects);
                }
                Err(code) => self.shell.metric.count_drops(code, 1),
            }
        }
    }

    fn handle_tick(&mut self, now: Time) {
        self.tick = self.tick.wrapping_add(1);
        self.observe_host(now);
        self.reducer.step(now, Event::Tick, &mut self.effects);
        self.send_queued_fragments();
        if self.tick % LOG_FLUSH_TICKS == 0 {
            self.flush_log();
        }
        if self.tick % FILE_CHECK_TICKS == 0 {
            let modified = reload::modified_time(&self.shell);
            if modified != self.file_modified {
                self.file_modified = modified;
                self.reload(now);
            }
        }
    }

    fn flush_log(&mut self) {
        let left_out = self.shell.sink.take_dropped_lines();
        if left_out > 0 {
            tracing::warn!(event = "lines-left-out", left_out);
        }
        if let Err(error) = self.shell.sink.flush_ready() {
            // Logged to the same buffer, since there is no other output.
            tracing::debug!(event = "log-failed", %error);
        }
    }

    fn drop_queued_packets(&mut self) -> eyre::Result<()> {
        let dropped = self.shell.entry.drain()?;
        self.shell.metric.count_drops(Code::Stale, dropped as u64);
        tracing::warn!(event = "drained", dropped, code = %Code::Stale);
        Ok(())
    }

    fn resume(&mut self, now: Time, pause: Span) -> eyre::Result<()> {
        self.shell.metric.count_pause();
        self.drop_queued_packets()?;
        let event = Event::Resumed(pause);
        self.reducer.step(now, event, &mut self.effects);
        self.run_effects(now, &[]);
        Ok(())
    }

    fn handle_terminate(&mut self, now: Time) {
        if !self.reducer.is_stopping() {
            return self.reducer.step(now, Event::Stop, &mut self.effects);
        }
        self.outcome = Some(Outcome::Quit);
    }

    fn answer_query(&mut self, query: Query) {
        // The HTTP request may have timed out, so a closed channel is not an error.
        match query {
            Query::Dump(to) => drop(to.send(self.reducer.to_string())),
            Query::Ready(to) => drop(to.send(self.reducer.is_ready())),
            Query::Counts(to) => drop(to.send(self.counts())),
            Query::Load(to) => drop(to.send(self.reducer.overview().to_json().ok())),
        }
    }

    fn counts(&self) -> Vec<Count> {
        let reducer = &self.reducer;
        let own = [
            ("flows", reducer.flows() as u64),
            ("settings_invalid", self.shell.has_invalid_settings.into()),
        ];
        let counts = reducer.counts().iter().chain(own);
        counts
            .chain(pace::host_values(reducer))
            .map(|(name, value)| Count::new(name, value))
            .collect()
    }

    /// Performs the pending effects. `data` is the payload of the packet that caused them, empty if
    /// no packet did.
    fn run_effects(&mut self, now: Time, data: &[u8]) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            self.run_effect(now, effect, data);
        }
        self.effects = effects;
    }

    fn run_effect(&mut self, now: Time, effect: Effect, data: &[u8]) {
        match effect {
            Effect::Read { kind, since, wait } => self.tasks.start_read(kind, since, wait),
            Effect::Send { to, frame } => self.send_frame(to, &frame),
            Effect::Announce => {
                let forward = &self.shell.setting.forward;
                self.tasks.announce(&forward.name, forward.peer.datagram);
            }
            Effect::Withdraw => self.tasks.withdraw(&self.shell.setting.forward.name),
            Effect::Check {
                server,
                name,
                address,
                path,
                timeout,
            } => self
                .tasks
                .check_server(server, name, address.into(), path, timeout),
            Effect::Discover => self.tasks.discover(),
            Effect::Reset(head) => self.send_reset(&head),
            Effect::Opened { took } => self.shell.metric.record_opened_flow(took),
            Effect::Observed { class, observation } => {
                self.shell.metric.record_observation(class, observation);
            }
            Effect::Closed { lasted } => self.shell.metric.record_closed_flow(lasted),
            Effect::Note(note) => trace::log_note(now, &note, data, &mut self.log_limit),
            Effect::Exit => self.outcome = Some(Outcome::Stopped),
        }
    }
}
