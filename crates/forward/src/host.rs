//! The host of this balancer: how much of its link and its processor is used, and what follows.
//!
//! - `link`, `processor`: the utilization of both.
//! - `gate`: refusal of new flows while one of them is short.
//! - `readiness`: whether the host leaves its callers to other hosts.
//!
//! Nothing here acts on a resource whose capacity is not known.

use std::fmt;
use std::num::NonZeroU64;

use base::prelude::*;

pub mod gate;
pub mod link;
pub mod processor;
pub mod readiness;
mod shedding;
mod window;

pub use gate::Class;
pub use gate::Gate;
pub use link::Link;
pub use processor::Processor;
pub use readiness::Readiness;
pub use shedding::TARGET_PERCENT;

/// Bits of a byte.
const BYTE_BITS: f64 = 8.0;

/// The capacity of a host. Nothing acts that depends on a part that is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes per second that the link carries in each direction; `None` if not known.
    pub link: Option<NonZeroU64>,
    /// Processor time that the process may use per second, in microseconds; `None` if not known.
    pub processor: Option<NonZeroU64>,
}

/// What the process has used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Bytes of packets that were sent, and those of packets that the pacer holds or has dropped.
    pub bytes: u64,
    /// Processor time; `None` if it could not be read.
    pub processor: Option<Span>,
    /// By how much the latest tick was late.
    pub tick_delay: Span,
    /// Packets that the pacer has held for some time.
    pub delayed: u64,
    /// Packets that the pacer has dropped.
    pub dropped: u64,
}

/// The use of the host, for the log and the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Use of the link in percent; `None` if not known.
    pub link: Option<u32>,
    /// Use of the processor in percent; `None` if not known.
    pub processor: Option<u32>,
    /// The longest delay of a tick in the last 500 ms.
    pub tick_delay: Span,
}

/// The host.
#[derive(Clone, Debug, Default)]
pub struct Host {
    capacity: Capacity,
    link: Link,
    processor: Processor,
    gate: Gate,
    readiness: Readiness,
    latest: Sample,
    /// When delayed and dropped packets were last logged, and their numbers then.
    paced: (Time, u64, u64),
}

/// The least time between two log lines about delayed and dropped packets.
const PACED_LOG_PERIOD: Span = Span::secs(1);

impl Capacity {
    /// Sets the rate of the link, in Mbit/s. 0 is not known.
    pub fn with_link_mbps(mut self, mbps: f64) -> Capacity {
        self.link = NonZeroU64::new((mbps * 1e6 / BYTE_BITS) as u64);
        self
    }

    /// Sets the quota of processor time, in cores. 0 is not known.
    pub fn with_cores(mut self, cores: f64) -> Capacity {
        self.processor = NonZeroU64::new((cores * Span::secs(1).0 as f64) as u64);
        self
    }

    /// Returns whether some part is known.
    pub fn is_known(&self) -> bool {
        self.link.is_some() || self.processor.is_some()
    }
}

impl Host {
    /// Returns a host of which nothing has been observed.
    pub fn new(capacity: Capacity) -> Host {
        Host {
            capacity,
            ..Host::default()
        }
    }

    /// Puts a capacity in force. Observations against another one are forgotten.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        if capacity != self.capacity {
            *self = Host {
                latest: self.latest,
                paced: self.paced,
                ..Host::new(capacity)
            };
        }
    }

    /// Returns whether the capacity is known.
    pub fn is_known(&self) -> bool {
        self.capacity.is_known()
    }

    /// Records what the process has used.
    pub fn observe(&mut self, now: Time, sample: Sample) {
        self.latest = sample;
        if let Some(capacity) = self.capacity.link {
            let has_ended = self.link.record(now, sample.bytes, capacity);
            if let (true, Some(percent)) = (has_ended, self.link.utilization()) {
                let is_short = self.link.is_above(TARGET_PERCENT);
                self.gate.close_link_window(percent, is_short);
            }
        }
        if let Some(quota) = self.capacity.processor {
            let (used, delay) = (sample.processor, sample.tick_delay);
            let has_ended = self.processor.record(now, used, delay, quota);
            match self.processor.utilization() {
                Some(percent) if has_ended => {
                    let is_short = self.processor.is_above(TARGET_PERCENT);
                    self.gate.close_processor_window(percent, is_short);
                }
                None => self.gate.clear_processor(),
                Some(_) => (),
            }
        }
    }

    /// Returns the numbers of delayed and dropped packets since they were last logged, if they are to
    /// be logged now.
    pub fn paced_to_log(&mut self, now: Time) -> Option<(u64, u64)> {
        let (logged_at, delayed, dropped) = self.paced;
        let latest = (self.latest.delayed, self.latest.dropped);
        if latest == (delayed, dropped) || now.since(logged_at) < PACED_LOG_PERIOD {
            return None;
        }
        self.paced = (now, latest.0, latest.1);
        Some((
            latest.0.saturating_sub(delayed),
            latest.1.saturating_sub(dropped),
        ))
    }

    /// Returns the latest sample.
    pub fn latest(&self) -> Sample {
        self.latest
    }

    /// Returns the use of the host.
    pub fn usage(&self) -> Usage {
        Usage {
            link: self.link.utilization(),
            processor: self.processor.utilization(),
            tick_delay: self.processor.tick_delay(),
        }
    }

    /// Returns the gate of new flows.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Returns the gate of new flows.
    pub fn gate_mut(&mut self) -> &mut Gate {
        &mut self.gate
    }

    /// Returns the readiness.
    pub fn readiness(&self) -> &Readiness {
        &self.readiness
    }

    /// Returns the readiness.
    pub fn readiness_mut(&mut self) -> &mut Readiness {
        &mut self.readiness
    }
}

impl Usage {
    /// Returns the greater use of link and processor, in percent; `None` if neither is known. The
    /// processor counts only while ticks are late.
    pub fn greatest(&self) -> Option<u32> {
        let is_delayed = self.tick_delay >= processor::TICK_DELAY_MIN;
        self.link.max(self.processor.filter(|_| is_delayed))
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fmt_part = |name, percent: Option<u32>| match percent {
            Some(percent) => write!(f, "{name} {percent}%, "),
            None => write!(f, "{name} not known, "),
        };
        fmt_part("link", self.link)?;
        fmt_part("processor", self.processor)?;
        write!(f, "ticks late by {}", self.tick_delay)
    }
}
