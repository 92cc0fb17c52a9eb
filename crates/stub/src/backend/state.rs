//! The state of a backend server: admitted requests, cold start and counters.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::options::Faults;
use super::Options;

/// Maximum number of health reports that are kept for the `health_lag_ms` fault.
const HISTORY_MAX: usize = 4096;

/// Health report, the answer to `/health`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The service it serves.
    pub service: String,
    /// Phase of the server.
    pub state: Phase,
    /// Number of running requests.
    pub busy: u32,
    /// Number of open connections.
    pub connections: u32,
}

/// Whether a server is ready for its full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// In a cold start.
    Cold,
    /// Ready for its full load.
    Warm,
    /// Draining: about to stop.
    Draining,
}

/// Counters of a server since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// The service it serves.
    pub service: String,
    /// Requests that ran to completion.
    pub served: u64,
    /// Request IDs that started to run more than once.
    pub run_twice: u64,
    /// Requests for another service, by their `Host` header.
    pub wrong_service: u64,
    /// Requests shed because slots and backlog were full.
    pub shed: u64,
    /// Requests not started because their deadline had passed.
    pub expired: u64,
    /// Requests cancelled while they ran.
    pub cancelled: u64,
    /// Crashes because of overload while cold.
    pub fell_over: u64,
    /// Connections refused.
    pub refused: u64,
    /// Health checks answered.
    pub probes: u64,
    /// Maximum number of requests that ran at once.
    pub max_busy: u32,
    /// Maximum number of requests that ran or waited at once while cold, not counting the grace
    /// period.
    pub max_cold: u32,
    /// Requests beyond `cold_slots` that arrived in the grace period.
    pub cold_excess: u64,
    /// Number of running requests.
    pub busy: u32,
    /// Number of open connections.
    pub connections: u32,
    /// Arrival time of the last request other than a health check, in milliseconds since the Unix
    /// epoch.
    pub last_request_ms: u64,
    /// Arrival time of the last connection or request of any kind, in milliseconds since the Unix
    /// epoch.
    pub last_contact_ms: u64,
    /// Total time that slots were in use, summed over slots, in microseconds.
    pub busy_us: u64,
    /// Current phase.
    pub state: Option<Phase>,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Slots and backlog are full.
    Shed,
    /// A cold server has more than `cold_slots` requests, and crashes.
    Crash,
}

#[derive(Debug)]
pub(super) struct State {
    options: Options,
    pub(super) faults: Faults,
    pub(super) rng: ChaCha8Rng,
    pub(super) stats: Stats,
    pub(super) is_draining: bool,
    /// Generation of new connections. Connections of earlier generations are unresponsive.
    pub(super) connection_generation: u64,
    /// Admitted requests, running or waiting for a slot.
    admitted: u32,
    cold_until: Option<Instant>,
    /// End of the grace period after a cold start under load.
    grace_until: Option<Instant>,
    cold_requests_left: u32,
    /// Until when connections are refused after a crash.
    down_until: Option<Instant>,
    /// Number of times that each request ID started to run.
    runs_by_id: BTreeMap<String, u32>,
    health_history: VecDeque<(Instant, Health)>,
}

/// Returns the current time in milliseconds since the Unix epoch.
pub(super) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

impl State {
    pub(super) fn new(options: Options) -> State {
        let stats = Stats {
            service: options.service.clone(),
            ..Stats::default()
        };
        let mut state = State {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            faults: Faults::default(),
            stats,
            is_draining: false,
            connection_generation: 0,
            admitted: 0,
            cold_until: None,
            grace_until: None,
            cold_requests_left: 0,
            down_until: None,
            runs_by_id: BTreeMap::new(),
            health_history: VecDeque::new(),
            options,
        };
        if state.options.starts_cold {
            state.start_cold();
        }
        state
    }

    /// Begins a cold start.
    pub(super) fn start_cold(&mut self) {
        self.cold_until = Some(Instant::now() + Duration::from_millis(self.options.cold_ms));
        self.cold_requests_left = self.options.cold_requests;
    }

    /// Begins a cold start under load; `ms` sets the maximum duration of this and later cold
    /// starts.
    pub(super) fn start_cold_under_load(&mut self, ms: Option<u64>) {
        self.options.cold_ms = ms.unwrap_or(self.options.cold_ms);
        let grace = Duration::from_millis(self.options.cold_grace_ms);
        self.grace_until = Some(Instant::now() + grace);
        self.start_cold();
        self.record_health();
    }

    pub(super) fn is_cold(&mut self) -> bool {
        let over = self.cold_until.is_some_and(|until| Instant::now() >= until);
        if over || self.cold_requests_left == 0 {
            self.cold_until = None;
        }
        self.cold_until.is_some()
    }

    /// Returns whether the server refuses connections after a crash.
    pub(super) fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Admits a request, which then waits for a slot.
    pub(super) fn admit_request(&mut self) -> Result<(), Refusal> {
        if self.is_cold() {
            self.admit_while_cold()?;
        }
        if self.admitted >= self.options.slots + self.options.backlog {
            self.stats.shed += 1;
            return Err(Refusal::Shed);
        }
        self.admitted += 1;
        Ok(())
    }

    /// Applies the bound on requests while cold.
    fn admit_while_cold(&mut self) -> Result<(), Refusal> {
        let is_excess = self.admitted >= self.options.cold_slots;
        if self.grace_until.is_some_and(|until| Instant::now() < until) {
            self.stats.cold_excess += u64::from(is_excess);
            return Ok(());
        }
        self.stats.max_cold = self.stats.max_cold.max(self.admitted + 1);
        if is_excess {
            self.crash();
            return Err(Refusal::Crash);
        }
        Ok(())
    }

    fn crash(&mut self) {
        self.stats.fell_over += 1;
        self.down_until = Some(Instant::now() + Duration::from_millis(self.options.restart_ms));
        self.start_cold();
        // The cold start begins when the server accepts connections again.
        if let Some(until) = &mut self.cold_until {
            *until += Duration::from_millis(self.options.restart_ms);
        }
    }

    /// Starts to run a request and returns its service time.
    pub(super) fn start_request(&mut self, id: Option<&str>) -> Duration {
        if let Some(id) = id {
            let runs = self.runs_by_id.entry(id.to_owned()).or_default();
            *runs += 1;
            self.stats.run_twice += u64::from(*runs == 2);
        }
        self.stats.busy += 1;
        self.stats.max_busy = self.stats.max_busy.max(self.stats.busy);
        self.record_health();
        let time = self.options.service_time.draw(&mut self.rng);
        if self.is_cold() {
            return time * self.options.cold_factor;
        }
        time
    }

    /// Ends the run of a request.
    pub(super) fn finish_request(&mut self, ran: Duration, is_complete: bool) {
        self.stats.busy -= 1;
        self.stats.busy_us += ran.as_micros() as u64;
        if is_complete {
            self.stats.served += 1;
            self.cold_requests_left = self.cold_requests_left.saturating_sub(1);
        } else {
            self.stats.cancelled += 1;
        }
        self.record_health();
    }

    /// Releases the place of an admitted request.
    pub(super) fn release_request(&mut self) {
        self.admitted -= 1;
    }

    pub(super) fn record_contact(&mut self) {
        self.stats.last_contact_ms = unix_ms();
    }

    /// Records the current health, for the `health_lag_ms` fault.
    pub(super) fn record_health(&mut self) {
        let health = self.health();
        if self.health_history.len() == HISTORY_MAX {
            self.health_history.pop_front();
        }
        self.health_history.push_back((Instant::now(), health));
    }

    fn health(&mut self) -> Health {
        Health {
            service: self.options.service.clone(),
            state: self.phase(),
            busy: self.stats.busy,
            connections: self.stats.connections,
        }
    }

    fn phase(&mut self) -> Phase {
        if self.is_draining {
            return Phase::Draining;
        }
        match self.is_cold() {
            true => Phase::Cold,
            false => Phase::Warm,
        }
    }

    /// Returns the answer to `/health`, injected faults included.
    pub(super) fn health_report(&mut self) -> Health {
        self.stats.probes += 1;
        if let Some(lie) = &self.faults.health_lie {
            return lie.clone();
        }
        self.record_health();
        let lag = Duration::from_millis(self.faults.health_lag_ms);
        let reported_at = Instant::now() - lag;
        let mut past = self.health_history.iter().rev();
        match past.find(|(at, _)| *at <= reported_at) {
            Some((_, health)) => health.clone(),
            None => self.health_history[0].1.clone(),
        }
    }

    pub(super) fn snapshot(&mut self) -> Stats {
        Stats {
            state: Some(self.phase()),
            ..self.stats.clone()
        }
    }
}
