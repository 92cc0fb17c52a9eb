//! The host of this balancer: how much of its link and its processor is used.

use std::num::NonZeroU64;

use base::prelude::*;

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
}
