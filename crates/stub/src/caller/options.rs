//! Settings of the load and of the callers.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the callers of one service address.
#[derive(Clone, Debug)]
pub struct Options {
    /// The service address that the fabric listens on.
    pub service: SocketAddr,
    /// Mean number of flows opened a second; they arrive as a Poisson process.
    pub flows_per_s: f64,
    /// Number of requests of each flow.
    pub requests: u32,
    /// Mean pause between the requests of a flow, exponentially distributed.
    pub think_time: Duration,
    /// How long new flows are opened.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Share of requests that are POST.
    pub post_share: f64,
    /// Share of requests with a body or an answer of several blocks.
    pub large_share: f64,
    /// Whether POST requests may have large bodies.
    pub large_posts: bool,
    /// Size of a large body, in bytes.
    pub large_bytes: usize,
    /// Initial retransmission time-out, before the random factor of 1 to 1.5.
    pub ack_timeout: Duration,
    /// Maximum number of retransmissions of a message.
    pub retransmissions: u32,
    /// Deadline of a request; each attempt carries the time left to the balancer.
    pub deadline: Duration,
    /// Maximum pause after a refusal, if its Max-Age is longer.
    pub pause_max: Duration,
    /// Number of refused attempts after which a request ends as refused.
    pub refusals: u32,
    /// Maximum number of open flows; more are counted as skipped and not opened.
    pub open_max: u32,
}

impl Options {
    /// Makes default settings, with the timers of RFC 7252.
    pub fn new(service: SocketAddr) -> Options {
        Options {
            service,
            flows_per_s: 10.0,
            requests: 5,
            think_time: Duration::from_millis(500),
            duration: Duration::from_secs(10),
            seed: 1,
            post_share: 0.3,
            large_share: 0.05,
            large_posts: true,
            large_bytes: 5_000,
            ack_timeout: Duration::from_secs(2),
            retransmissions: 4,
            deadline: Duration::from_secs(10),
            pause_max: Duration::from_secs(1),
            refusals: 4,
            open_max: 4_000,
        }
    }

    /// Sets the number of flows opened a second, and for how long.
    pub fn with_load(mut self, flows_per_s: f64, duration: Duration) -> Options {
        self.flows_per_s = flows_per_s;
        self.duration = duration;
        self
    }

    /// Sets the number of requests of each flow and the mean pause between them.
    pub fn with_flow(mut self, requests: u32, think_time: Duration) -> Options {
        self.requests = requests;
        self.think_time = think_time;
        self
    }

    /// Sets the initial retransmission time-out.
    pub fn with_ack_timeout(mut self, ack_timeout: Duration) -> Options {
        self.ack_timeout = ack_timeout;
        self
    }

    /// Sets the seed.
    pub fn with_seed(mut self, seed: u64) -> Options {
        self.seed = seed;
        self
    }
}
