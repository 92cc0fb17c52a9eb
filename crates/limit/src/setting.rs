//! The parameters of a gate, with their units.

use base::prelude::*;

/// The parameters of the gate of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Concurrency limit of the warm server.
    pub slots: u8,
    /// Maximum number of queued requests.
    pub queue_capacity: usize,
    /// Number of fast answers that raise the concurrency limit by one.
    pub warm_threshold: u32,
    /// Allowance in every limit on a service time, for delays that the server does not cause.
    pub jitter: Span,
    /// Minimum time for which a server without a baseline counts as cold.
    pub min_calibration: Span,
    /// Minimum time after which a cold server that does not return to its baseline gets a new one
    /// and counts as warm.
    pub min_recalibration: Span,
    /// Time for which a health endpoint that reports a cold start overrides fast answers.
    pub cold_report_timeout: Span,
    /// Number of consecutive failures, of requests or of probes, that open the circuit breaker.
    pub failure_threshold: u32,
    /// First open time of the circuit breaker; it doubles each time the breaker opens again before
    /// a request is answered.
    pub open_time: Span,
    /// Maximum open time of the circuit breaker.
    pub max_open_time: Span,
    /// First pause after a shed request; it doubles with each further one.
    pub backoff: Span,
    /// Maximum pause after a shed request.
    pub max_backoff: Span,
    /// Time since the end of the latest pause that halves the next one.
    pub backoff_half_life: Span,
}

impl Setting {
    /// Returns the default setting.
    pub const fn new() -> Setting {
        Setting {
            slots: 2,
            queue_capacity: 64,
            warm_threshold: 8,
            jitter: Span::millis(10),
            min_calibration: Span::secs(3),
            min_recalibration: Span::secs(30),
            cold_report_timeout: Span::secs(30),
            failure_threshold: 3,
            open_time: Span::secs(1),
            max_open_time: Span::secs(8),
            backoff: Span::millis(50),
            max_backoff: Span::secs(2),
            backoff_half_life: Span::secs(1),
        }
    }

    /// Sets the concurrency limit of the warm server.
    ///
    /// # Panics
    ///
    /// If `slots` is 0.
    pub const fn with_slots(mut self, slots: u8) -> Setting {
        assert!(slots > 0, "a server has at least one slot");
        self.slots = slots;
        self
    }

    /// Sets the maximum number of queued requests.
    pub const fn with_queue_capacity(mut self, capacity: usize) -> Setting {
        self.queue_capacity = capacity;
        self
    }

    /// Sets the number of fast answers that raise the concurrency limit by one.
    pub const fn with_warm_threshold(mut self, answers: u32) -> Setting {
        self.warm_threshold = answers;
        self
    }

    /// Sets the allowance in every limit on a service time.
    pub const fn with_jitter(mut self, jitter: Span) -> Setting {
        self.jitter = jitter;
        self
    }

    /// Sets the minimum time for which a server without a baseline counts as cold.
    pub const fn with_min_calibration(mut self, time: Span) -> Setting {
        self.min_calibration = time;
        self
    }

    /// Sets the time for which a health endpoint that reports a cold start overrides fast answers.
    pub const fn with_cold_report_timeout(mut self, timeout: Span) -> Setting {
        self.cold_report_timeout = timeout;
        self
    }
}

impl Default for Setting {
    fn default() -> Setting {
        Setting::new()
    }
}
