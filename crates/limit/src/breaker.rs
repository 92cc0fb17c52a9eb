//! Circuit breaker of a backend server, driven by requests and health probes.
//!
//! The breaker opens after several consecutive failures, of requests or of probes, and the server
//! then counts as down. When the open time ends, or when a probe is answered, the breaker is
//! half-open: requests are allowed, and a single failure opens it again, for twice as long up to a
//! maximum. An answered request closes it and resets the open time.

use std::fmt;

use base::prelude::*;

use crate::setting::Setting;

/// A circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Breaker {
    /// Failed requests since the last answered one.
    failed_requests: u32,
    /// Unanswered probes since the last answered probe or request.
    failed_probes: u32,
    /// Unanswered probes are ignored until one is answered: requests were answered while probes
    /// were not, so the health endpoint itself is at fault.
    ignores_probe_failures: bool,
    /// Length of the latest open time; zero after an answered request.
    open_time: Span,
    /// End of the open time while the breaker is open.
    open_until: Option<Time>,
}

impl Breaker {
    /// Returns whether requests may be sent to the server, which includes the half-open state.
    pub const fn is_closed(&self) -> bool {
        self.open_until.is_none()
    }

    /// Records an answered request, which closes the breaker.
    pub fn record_answer(&mut self) {
        self.failed_requests = 0;
        self.open_time = Span::ZERO;
        self.ignores_probe_failures |= self.failed_probes > 0;
        self.failed_probes = 0;
        self.open_until = None;
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: Time, setting: &Setting) {
        self.failed_requests = self.failed_requests.saturating_add(1);
        if self.failed_requests >= setting.failure_threshold && self.is_closed() {
            self.open(now, setting);
        }
    }

    /// Records an answered probe. Returns whether it made an open breaker half-open.
    pub fn record_probe_answer(&mut self, setting: &Setting) -> bool {
        self.failed_probes = 0;
        self.ignores_probe_failures = false;
        self.half_open(setting)
    }

    /// Records an unanswered probe.
    pub fn record_probe_failure(&mut self, now: Time, setting: &Setting) {
        if self.ignores_probe_failures {
            return;
        }
        self.failed_probes = self.failed_probes.saturating_add(1);
        if self.failed_probes >= setting.failure_threshold && self.is_closed() {
            self.open(now, setting);
        }
    }

    /// Advances the time. Returns whether the open time ended and the breaker became half-open.
    pub fn tick(&mut self, now: Time, setting: &Setting) -> bool {
        match self.open_until {
            Some(until) if now >= until => self.half_open(setting),
            _ => false,
        }
    }

    fn open(&mut self, now: Time, setting: &Setting) {
        let open_time = (self.open_time.0 * 2).clamp(setting.open_time.0, setting.max_open_time.0);
        self.open_time = Span(open_time);
        self.open_until = Some(now + self.open_time);
    }

    /// Allows requests again, one failure short of the threshold.
    fn half_open(&mut self, setting: &Setting) -> bool {
        if self.is_closed() {
            return false;
        }
        self.open_until = None;
        self.failed_requests = setting.failure_threshold.saturating_sub(1);
        self.failed_probes = self.failed_probes.min(self.failed_requests);
        true
    }
}

impl fmt::Display for Breaker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.open_until {
            Some(until) => write!(f, "down until {until}"),
            None => write!(f, "up"),
        }
    }
}
