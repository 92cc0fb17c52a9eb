//! The event loop: one task owns the reducer, passes events to it and performs its effects.
//!
//! Each turn of the loop waits for one input, reads the clock once and handles the input. A gap
//! between two turns means that the process was paused; datagrams and frames queued meanwhile are
//! dropped.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::prelude::*;
use node::effect::Effect;
use node::event::Event;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use wire::frame::Frame;
use wire::seal;

use crate::admin::Query;
use crate::log;
use crate::metric::Count;
use crate::metric::Transport;
use crate::peer::Encoded;
use crate::run::Outcome;
use crate::run::Reducer;
use crate::run::Shell;
use crate::socket::Datagram;
use crate::stream::Received;
use crate::watch;

/// Interval between ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_micros(node::TICK_INTERVAL.0);
/// Ticks between scans for expired idle connections.
const IDLE_CHECK_TICKS: u32 = 250;
/// Most events handled in one turn.
const EVENT_BATCH_MAX: usize = 64;
/// Time limit at a stop for frames that are being sent.
const STREAM_CLOSE_GRACE: Duration = Duration::from_secs(1);

/// The input that woke the loop.
enum Wake {
    Entry,
    Peer,
    Events,
    StreamFrame(Received),
    Query(Query),
    Tick,
}

/// State of the event loop.
pub(crate) struct Loop<R> {
    shell: Shell,
    reducer: R,
    platform_tasks: watch::Handle,
    ticks: Interval,
    tick: u32,
    datagrams: VecDeque<Datagram>,
    events: Vec<Event>,
    effects: Vec<Effect>,
    log_limit: log::RateLimit,
    is_done: bool,
}

impl<R: Reducer> Loop<R> {
    /// Makes a loop that has not started.
    pub(crate) fn new(shell: Shell, reducer: R, platform_tasks: watch::Handle) -> Loop<R> {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        Loop {
            shell,
            reducer,
            platform_tasks,
            ticks,
            tick: 0,
            datagrams: VecDeque::new(),
            events: Vec::new(),
            effects: Vec::new(),
            log_limit: log::RateLimit::default(),
            is_done: false,
        }
    }

    /// Runs until the reducer returns `Effect::Exit`.
    pub(crate) async fn run(mut self) -> Outcome {
        self.shell.clock.begin_turn(self.shell.clock.now());
        while !self.is_done {
            let wake = self.next_wake().await;
            // The clock is read after the sockets: either the input is no older than this turn, or
            // the pause is detected.
            let now = self.shell.clock.now();
            if let Some(gap) = self.shell.clock.begin_turn(now) {
                self.resume(now, gap);
            }
            self.handle_wake(now, wake);
        }
        self.shell.streams.close(STREAM_CLOSE_GRACE).await;
        self.shell.admin.stop();
        Outcome::Stopped
    }

    /// Waits for the next input.
    async fn next_wake(&mut self) -> Wake {
        let shell = &mut self.shell;
        tokio::select! {
            result = shell.entry.recv(&mut self.datagrams) => {
                delay_after_error(result).await;
                Wake::Entry
            }
            result = shell.peers.recv() => {
                delay_after_error(result).await;
                Wake::Peer
            }
            _ = shell.events.recv_many(&mut self.events, EVENT_BATCH_MAX) => Wake::Events,
            Some(received) = shell.frames.recv() => Wake::StreamFrame(received),
            Some(query) = shell.queries.recv() => Wake::Query(query),
            _ = self.ticks.tick() => Wake::Tick,
        }
    }

    fn handle_wake(&mut self, now: Time, wake: Wake) {
        match wake {
            Wake::Entry => self.handle_datagrams(now),
            Wake::Peer => self.handle_peer_datagrams(now),
            Wake::Events => self.handle_events(now),
            Wake::StreamFrame(received) => self.handle_stream_frame(now, received),
            Wake::Query(query) => self.answer_query(query),
            Wake::Tick => self.handle_tick(now),
        }
    }

    /// Drops all datagrams and frames that were queued during a pause, since they are as old as the
    /// pause.
    fn resume(&mut self, now: Time, gap: Span) {
        let shell = &mut self.shell;
        let mut dropped = self.datagrams.len();
        self.datagrams.clear();
        dropped += shell.entry.drain();
        dropped += shell.peers.drain();
        shell.streams.reset();
        while shell.frames.try_recv().is_ok() {
            dropped += 1;
        }
        shell.metric.count_drops(Code::Stale, dropped as u64);
        shell.metric.count_pause();
        tracing::warn!(gap_ms = gap.as_millis(), dropped, "resumed after a pause");
        self.step(now, Event::Resume(gap));
    }

    fn handle_datagrams(&mut self, now: Time) {
        let rejected = self.shell.entry.take_rejected();
        self.shell.metric.count_drops(Code::Malformed, rejected);
        self.shell
            .metric
            .count_datagrams(self.datagrams.len() as u64);
        while let Some(datagram) = self.datagrams.pop_front() {
            let event = Event::Datagram {
                service: datagram.to,
                caller: datagram.from,
                data: datagram.data,
            };
            self.step(now, event);
        }
    }

    fn handle_peer_datagrams(&mut self, now: Time) {
        let rejected = self.shell.peers.take_rejected();
        self.shell.metric.count_drops(Code::PeerForged, rejected);
        while let Some(received) = self.shell.peers.next_frame() {
            let metric = &self.shell.metric;
            match received.frame {
                Ok(frame) => {
                    metric.count_received_frame(Transport::Datagram, received.length);
                    let from = received.from;
                    self.step(now, Event::Frame { from, frame });
                }
                Err(code) => metric.count_drops(code, 1),
            }
        }
    }

    fn handle_events(&mut self, now: Time) {
        let mut events = std::mem::take(&mut self.events);
        for event in events.drain(..) {
            if let Event::Reply { result, .. } = &event {
                let result = result.as_ref().map(|reply| reply.took);
                self.shell
                    .metric
                    .record_reply(result.map_err(|failure| *failure));
            }
            self.step(now, event);
        }
        self.events = events;
    }

    fn handle_stream_frame(&mut self, now: Time, received: Received) {
        if received.epoch < self.shell.streams.epoch() {
            self.shell.metric.count_drops(Code::Stale, 1);
            return;
        }
        match seal::decode(&received.data) {
            Ok(frame) => {
                self.shell
                    .metric
                    .count_received_frame(Transport::Stream, received.data.len());
                let from = received.from;
                self.step(now, Event::Frame { from, frame });
            }
            Err(code) => self.shell.metric.count_drops(code, 1),
        }
    }

    fn handle_tick(&mut self, now: Time) {
        self.tick = self.tick.wrapping_add(1);
        if self.tick % IDLE_CHECK_TICKS == 0 {
            self.shell.pool.expire_idle();
        }
        self.step(now, Event::Tick);
    }

    fn answer_query(&self, query: Query) {
        // The HTTP request may have timed out, so a closed channel is not an error.
        match query {
            Query::Dump(to) => drop(to.send(self.reducer.dump())),
            Query::Ready(to) => drop(to.send(self.reducer.is_ready())),
            Query::Counts(to) => drop(to.send(self.counts())),
            Query::Load(to) => drop(to.send(None)),
        }
    }

    fn counts(&self) -> Vec<Count> {
        let mut counts = self.reducer.counts();
        let shell = &self.shell;
        let mut add = |name, count: usize| counts.push(Count::new(name, count as u64));
        add("backend_connections", shell.pool.open_connections());
        add("stream_connections", shell.streams.connections());
        counts
    }

    fn step(&mut self, now: Time, event: Event) {
        let start = Instant::now();
        let mut effects = std::mem::take(&mut self.effects);
        self.reducer.step(now, event, &mut effects);
        self.shell.metric.record_step(start.elapsed());
        self.platform_tasks.set_revision(self.reducer.revision());
        for effect in effects.drain(..) {
            self.run_effect(now, effect);
        }
        self.effects = effects;
    }

    fn run_effect(&mut self, now: Time, effect: Effect) {
        let pool = &self.shell.pool;
        match effect {
            Effect::Answer {
                service,
                caller,
                data,
            } => self.send_answer(service, caller, &data),
            Effect::Send { to, frame } => self.send_frame(to, &frame),
            Effect::Call { run, request } => pool.call(run, request),
            Effect::Cancel(run) => pool.cancel(run),
            Effect::Probe { server, address } => pool.probe(server, address),
            Effect::Disconnect { address } => pool.disconnect(address),
            Effect::Report { name, spec } => self.platform_tasks.set_report(name, spec),
            Effect::Refetch { since } => self.platform_tasks.refetch(since),
            Effect::Log(note) => {
                if let Some(suppressed) = self.log_limit.admit(now, note.code) {
                    let code = note.code.to_string();
                    let flow = note.flow.map(|flow| format!("flow{flow:014x}"));
                    tracing::info!(
                        code,
                        suppressed,
                        flow,
                        request = note.request,
                        "{}",
                        note.text
                    );
                }
            }
            Effect::Exit => self.is_done = true,
        }
    }

    fn send_answer(&self, service: IpAddr, caller: SocketAddr, data: &[u8]) {
        self.shell.metric.count_answer(data);
        if let Err(error) = self.shell.entry.send(Some(service), caller, data) {
            tracing::debug!(%caller, %error, "cannot send the answer to the caller");
        }
    }

    fn send_frame(&self, to: Peer, frame: &Frame) {
        let metric = &self.shell.metric;
        match self.shell.peers.encode(frame) {
            Encoded::Datagram(sealed) => {
                metric.count_sent_frame(Transport::Datagram, sealed.len());
                if let Err(error) = self.shell.peers.send(to.datagram, &sealed) {
                    tracing::debug!(peer = %to, %error, "cannot send the frame as a datagram");
                }
            }
            Encoded::Stream(data) => {
                metric.count_sent_frame(Transport::Stream, data.len());
                if !self.shell.streams.send(to.stream, data) {
                    tracing::debug!(peer = %to, "frame dropped: too many frames are being sent");
                }
            }
        }
    }
}

/// Waits for one tick after a socket error, so that a persistent error does not spin the loop.
async fn delay_after_error(result: std::io::Result<()>) {
    if let Err(error) = result {
        tracing::debug!(%error, "cannot read the socket");
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
