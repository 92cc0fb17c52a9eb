//! Admission control of one backend server, at the balancer that owns it: queue, concurrency limit,
//! circuit breaker and backoff.

use std::fmt;

use base::prelude::*;

use crate::backoff::Backoff;
use crate::breaker::Breaker;
pub use crate::item::Item;
pub use crate::item::Outcome;
pub use crate::item::Probe;
use crate::queue::Queue;
use crate::ramp::Ramp;
use crate::rate::Rate;
use crate::setting::Setting;

/// A started request, which occupies a slot.
#[derive(Clone, Copy, Debug)]
struct Run {
    key: u32,
    service: u32,
    since: Time,
    /// Epoch of the ramp when the request started.
    epoch: u32,
    /// Whether the request was recorded as overdue.
    is_overdue: bool,
}

/// Admission control of one backend server.
#[derive(Clone, Debug)]
pub struct Gate {
    setting: Setting,
    /// Latest time passed in.
    now: Time,
    queue: Queue,
    running: Vec<Run>,
    /// Slots occupied by requests that still run at the former owner.
    former_running: u8,
    ramp: Ramp,
    breaker: Breaker,
    backoff: Backoff,
    rate: Rate,
    is_draining: bool,
}

impl Gate {
    /// Creates the gate of a server that counts as cold.
    pub fn new(setting: Setting) -> Gate {
        Gate {
            setting,
            now: Time::default(),
            queue: Queue::new(setting.queue_capacity),
            running: Vec::with_capacity(usize::from(setting.slots)),
            former_running: 0,
            ramp: Ramp::new(setting),
            breaker: Breaker::default(),
            backoff: Backoff::default(),
            rate: Rate::default(),
            is_draining: false,
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// - `Unreachable`: the circuit breaker is open.
    /// - `NoServer`: the server is draining.
    /// - `DeadlineUnmet`: the deadline has passed, is not after the end of the backoff, or is
    ///   before the estimated time of the answer.
    /// - `QueueFull`: the queue has no room for the service.
    ///
    /// # Panics
    ///
    /// If a request with the same key is queued.
    pub fn offer(&mut self, now: Time, item: Item) -> Result<(), Code> {
        self.advance(now);
        if !self.breaker.is_closed() {
            return Err(Code::Unreachable);
        }
        if self.is_draining {
            return Err(Code::NoServer);
        }
        if item.deadline <= self.backoff.ends_at(self.now) || item.deadline < self.estimate(item) {
            return Err(Code::DeadlineUnmet);
        }
        if self.queue.is_full(item.service) {
            return Err(Code::QueueFull);
        }
        self.queue.push(item);
        self.rate.record(self.now);
        Ok(())
    }

    /// Starts the next queued request whose deadline has not passed, if a slot is free.
    pub fn start(&mut self, now: Time) -> Option<Item> {
        self.advance(now);
        if self.occupied_slots() >= self.concurrency_limit() || self.backoff.is_paused(self.now) {
            return None;
        }
        let item = self.queue.pop(self.now)?;
        self.running.push(Run {
            key: item.key,
            service: item.service,
            since: self.now,
            epoch: self.ramp.epoch(),
            is_overdue: false,
        });
        Some(item)
    }

    /// Removes the queued requests that can no longer be answered in time.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        self.advance(now);
        let idle = self.occupied_slots() == 0;
        let (ramp, unexpired) = (&self.ramp, Time(self.now.0.saturating_add(1)));
        // An idle server starts every request whose deadline has not passed, so that its answers
        // can correct the estimate.
        self.queue.expire(|service| match idle {
            true => unexpired,
            false => unexpired.max(now + ramp.recent_service_time(service)),
        })
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, key: u32) -> Option<Item> {
        self.queue.remove(key)
    }

    /// Removes all requests from the queue, oldest first.
    pub fn drain_queue(&mut self) -> Vec<Item> {
        self.queue.drain()
    }

    /// Records the end of a started request and frees its slot. An unknown key is ignored.
    pub fn finish(&mut self, now: Time, key: u32, outcome: Outcome) {
        self.advance(now);
        let Some(index) = self.running.iter().position(|run| run.key == key) else {
            return;
        };
        let run = self.running.remove(index);
        match outcome {
            Outcome::Done { took } => {
                // An overdue request does not count as fast, however short its reported service
                // time.
                let took = if run.is_overdue {
                    took.max(self.now.since(run.since))
                } else {
                    took
                };
                self.breaker.record_answer();
                self.ramp
                    .record_answer(self.now, run.service, run.since, run.epoch, took);
            }
            Outcome::Shed => {
                // The server is reachable, so the breaker closes.
                self.breaker.record_answer();
                self.backoff.record_shed(self.now, &self.setting);
                self.ramp.record_evidence();
            }
            Outcome::Failed
            | Outcome::TimedOut {
                new_connection_works: false,
            } => {
                self.breaker.record_failure(self.now, &self.setting);
                self.ramp.record_evidence();
            }
            Outcome::TimedOut {
                new_connection_works: true,
            }
            | Outcome::Cancelled => {}
        }
    }

    /// Records a probe; `None` if it was not answered.
    pub fn record_probe(&mut self, now: Time, probe: Option<Probe>) {
        self.advance(now);
        let Some(probe) = probe else {
            self.breaker.record_probe_failure(self.now, &self.setting);
            return;
        };
        if self.breaker.record_probe_answer(&self.setting) {
            self.ramp.record_evidence();
        }
        self.ramp.record_health(self.now, probe.is_cold);
        self.is_draining = probe.is_draining;
    }

    /// Advances the time, which detects overdue requests and the end of the circuit breaker's open
    /// time.
    pub fn tick(&mut self, now: Time) {
        self.advance(now);
    }

    /// Returns the concurrency limit; 0 while the server is down or draining.
    ///
    /// The backoff after a shed request does not lower it: the pause is short compared to the time
    /// for which load reports publish the limit to other balancers, and requests can stay queued
    /// meanwhile.
    pub fn concurrency_limit(&self) -> u8 {
        if self.is_draining || !self.breaker.is_closed() {
            0
        } else {
            self.ramp.level()
        }
    }

    /// Returns the level of the ramp, which a hand-over passes to the next owner. Unlike the
    /// concurrency limit it does not drop to 0 while the server is down or draining.
    pub const fn level(&self) -> u8 {
        self.ramp.level()
    }

    /// Returns the number of running requests, without those at the former owner.
    pub fn running(&self) -> u8 {
        u8::try_from(self.running.len()).unwrap_or(u8::MAX)
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running and queued requests, with those that still run at the former
    /// owner.
    ///
    /// The load of a server is this count divided by `concurrency_limit`, so a cold server is full
    /// sooner.
    pub fn open_requests(&self) -> u16 {
        let queued = u16::try_from(self.queued()).unwrap_or(u16::MAX);
        queued.saturating_add(u16::from(self.occupied_slots()))
    }

    /// Returns the smoothed rate of accepted requests, in tenths of a request per second.
    pub fn rate(&self, now: Time) -> u16 {
        self.rate.tenths_per_second(now)
    }

    /// Occupies `n` slots for requests that still run at the former owner.
    pub fn occupy_slots(&mut self, n: u8) {
        self.former_running = self.former_running.saturating_add(n);
    }

    /// Frees one slot that a request at the former owner occupied.
    pub fn release_slot(&mut self) {
        self.former_running = self.former_running.saturating_sub(1);
    }

    /// Continues the ramp from the level that the former owner had reached, unless the health
    /// endpoint reports a cold start.
    pub fn adopt_level(&mut self, level: u8) {
        self.ramp.adopt_level(level);
    }

    /// Sets the baseline of a service to its typical service time at other servers, unless it is
    /// known.
    pub fn seed_baseline(&mut self, service: u32, typical: Span) {
        self.ramp.seed_baseline(service, typical);
    }

    /// Returns the median service time of a service at the warm server, if its baseline is known.
    pub fn baseline(&self, service: u32) -> Option<Span> {
        self.ramp.baseline(service)
    }

    /// Returns whether the last answered probe reported that the server is draining.
    pub const fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns whether the server counts as reachable: the circuit breaker allows requests.
    pub const fn is_up(&self) -> bool {
        self.breaker.is_closed()
    }

    /// Returns whether the server counts as cold.
    pub const fn is_cold(&self) -> bool {
        self.ramp.is_cold()
    }

    fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        if self.breaker.tick(self.now, &self.setting) {
            self.ramp.record_evidence();
        }
        for run in &mut self.running {
            let age = self.now.since(run.since);
            if !run.is_overdue && self.ramp.is_overdue(run.service, age) {
                run.is_overdue = true;
                self.ramp.record_overdue();
            }
        }
    }

    /// Returns the number of occupied slots.
    fn occupied_slots(&self) -> u8 {
        self.running().saturating_add(self.former_running)
    }

    /// Estimates when a request would be answered: it waits for a slot behind the requests ahead of
    /// it, and as many slots as the level become free, evenly spaced, in each service time.
    fn estimate(&self, item: Item) -> Time {
        let level = u64::from(self.ramp.level());
        let ahead = self.queue.count_ahead(item.service, item.deadline) as u64
            + u64::from(self.occupied_slots());
        if ahead == 0 {
            // An idle server accepts every request, so that its answers can correct the estimate.
            return self.now;
        }
        let service_time = self.ramp.recent_service_time(item.service).0;
        let slots_to_free = (ahead + 1).saturating_sub(level);
        let wait = service_time.saturating_mul(slots_to_free) / level;
        self.now + Span(wait) + Span(service_time)
    }
}

impl fmt::Display for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.ramp)?;
        if !self.breaker.is_closed() {
            write!(f, " {}", self.breaker)?;
        }
        if self.is_draining {
            write!(f, " draining")?;
        }
        if self.backoff.is_paused(self.now) {
            write!(f, " paused")?;
        }
        write!(f, " running {}", self.running())?;
        if self.former_running > 0 {
            write!(f, "+{}", self.former_running)?;
        }
        write!(f, " queued {}", self.queued())
    }
}
