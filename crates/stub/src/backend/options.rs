//! Settings of a backend server, and the faults to inject.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

/// Distribution of the service time of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceTime {
    /// Always this many microseconds.
    Fixed(u64),
    /// Exponentially distributed with this mean, in microseconds.
    Exponential(u64),
}

impl ServiceTime {
    /// Draws the service time of one request.
    pub fn draw(self, rng: &mut ChaCha8Rng) -> Duration {
        match self {
            ServiceTime::Fixed(us) => Duration::from_micros(us),
            ServiceTime::Exponential(us) => {
                let uniform: f64 = rng.random();
                Duration::from_micros((-(1.0 - uniform).ln() * us as f64) as u64)
            }
        }
    }
}

/// Settings of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The service it serves.
    pub service: String,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; more are shed.
    pub backlog: u32,
    /// Maximum number of open connections; more are refused.
    pub connections: u32,
    /// Service time of requests.
    pub service_time: ServiceTime,
    /// Number of served requests that end a cold start before `cold_ms` is over.
    pub cold_requests: u32,
    /// Maximum duration of a cold start, in milliseconds.
    pub cold_ms: u64,
    /// Whether the server starts cold.
    pub starts_cold: bool,
    /// Factor by which the service time is longer while cold.
    pub cold_factor: u32,
    /// Number of requests, running or waiting, above which a cold server crashes.
    pub cold_slots: u32,
    /// Grace period after `/control/cold` in which more than `cold_slots` requests cause no crash,
    /// in milliseconds.
    pub cold_grace_ms: u64,
    /// How long the server refuses connections after a crash, in milliseconds.
    pub restart_ms: u64,
    /// Seed of the service times.
    pub seed: u64,
}

impl Options {
    /// Makes default settings, of a server that starts warm.
    pub fn new(service: impl Into<String>) -> Options {
        Options {
            service: service.into(),
            slots: 2,
            backlog: 2,
            connections: 2000,
            service_time: ServiceTime::Exponential(10_000),
            cold_requests: 50,
            cold_ms: 10_000,
            starts_cold: false,
            cold_factor: 4,
            cold_slots: 1,
            cold_grace_ms: 0,
            restart_ms: 3_000,
            seed: 0,
        }
    }

    /// Sets the service time of requests.
    pub fn with_service_time(mut self, service_time: ServiceTime) -> Options {
        self.service_time = service_time;
        self
    }

    /// Makes the server start cold, for at most `cold_ms` and at most `cold_requests`.
    pub fn with_cold(mut self, cold_ms: u64, cold_requests: u32) -> Options {
        self.cold_ms = cold_ms;
        self.cold_requests = cold_requests;
        self.starts_cold = true;
        self
    }

    /// Sets the seed of the service times.
    pub fn with_seed(mut self, seed: u64) -> Options {
        self.seed = seed;
        self
    }
}

/// Injected faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Requests are accepted and not answered until this is unset.
    pub freeze: bool,
    /// Age of the state that `/health` reports, in milliseconds.
    pub health_lag_ms: u64,
    /// Report that `/health` gives in place of the true state.
    pub health_lie: Option<super::Health>,
    /// Number of coming answers that are truncated.
    pub cut_answers: u32,
}
