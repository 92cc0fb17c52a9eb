//! The measurements of one run.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use stub::backend::Stats;
use stub::caller::report::Second;
use stub::caller::Report;
use stub::fleet::Server;
use stub::fleet::Usage;

/// How evenly something is spread over the backend servers of a service.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Spread {
    /// Maximum, relative to the mean.
    pub(crate) max_to_mean: f64,
    /// Standard deviation, relative to the mean.
    pub(crate) variation: f64,
}

impl Spread {
    fn new(values: &[f64]) -> Spread {
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let square = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>();
        let max = values.iter().copied().fold(0.0, f64::max);
        Spread {
            max_to_mean: max / mean,
            variation: (square / values.len() as f64).sqrt() / mean,
        }
    }
}

/// Additional figures of a scenario, by name.
pub(crate) type Extra = BTreeMap<String, f64>;

/// The measurements of one run. The main service is the first one of the deployment's plan.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Outcome {
    pub(crate) deployment: String,
    pub(crate) scenario: String,
    pub(crate) seed: u64,
    pub(crate) flows: u64,
    /// Established flows that broke, other than those in `given_up`.
    pub(crate) broken: u64,
    pub(crate) broken_by: BTreeMap<String, u64>,
    /// Established flows that ended because their failure domain was taken out.
    pub(crate) given_up: u64,
    pub(crate) served: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    /// Requests without an answer, or with a wrong one.
    pub(crate) lost: u64,
    /// Requests that were not served, by reason.
    pub(crate) ended_by: BTreeMap<String, u64>,
    pub(crate) run_twice: u64,
    pub(crate) wrong_service: u64,
    /// Crashes of cold servers because of overload.
    pub(crate) fell_over: u64,
    pub(crate) shed: u64,
    pub(crate) max_cold: u32,
    /// Requests beyond the bound of a cold server, within the grace period after it turned cold.
    pub(crate) cold_excess: u64,
    /// Distribution of requests over the servers of the main service.
    pub(crate) requests: Spread,
    /// Distribution of slot time over the servers of the main service.
    pub(crate) busy: Spread,
    /// Latency at the main service, in milliseconds.
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// Bytes a second that a balancer sends to its peers without callers.
    pub(crate) idle_bytes_per_s: f64,
    /// Bytes a second that a balancer sends to its peers under load, relayed datagrams included.
    pub(crate) load_bytes_per_s: f64,
    /// Calls to the platform a second, of all balancers together, under load.
    pub(crate) platform_per_s: f64,
    /// Processor time of a balancer under load, as a share of a core.
    pub(crate) processor: f64,
    pub(crate) memory_mib: f64,
    pub(crate) extra: Extra,
    /// The second in which the action of the scenario begins.
    pub(crate) acted: usize,
    /// The second from which callers open no new flows.
    pub(crate) ended: usize,
    /// Requests that ended at the main service, by second.
    pub(crate) seconds: Vec<Second>,
    pub(crate) samples: Vec<String>,
}

/// Result codes of flows that end because their failure domain was taken out.
const GIVEN_UP_CODES: [&str; 2] = ["E105", "E203"];

impl Outcome {
    /// Adds the report of the callers of a service. The main service must come first.
    pub(crate) fn add_report(&mut self, report: Report) {
        if self.flows == 0 {
            self.p50_ms = report.latency.p50 as f64 / 1e3;
            self.p99_ms = report.latency.p99 as f64 / 1e3;
            self.p999_ms = report.latency.p999 as f64 / 1e3;
            self.seconds = report.seconds;
        }
        self.flows += report.flows;
        self.served += report.served;
        self.refused += report.refused;
        self.unknown += report.unknown;
        self.lost += report.timeout + report.wrong + report.failed;
        for (reason, n) in report.broken_by {
            match GIVEN_UP_CODES.iter().any(|code| reason.contains(code)) {
                true => self.given_up += n,
                false => self.broken += n,
            }
            *self.broken_by.entry(reason).or_default() += n;
        }
        for (reason, n) in report.ended_by {
            *self.ended_by.entry(reason).or_default() += n;
        }
        self.samples.extend(report.samples);
    }

    /// Adds the counters of the backend servers.
    pub(crate) fn add_servers(&mut self, main: &str, all: &[(Server, Stats)]) {
        for (_, stats) in all {
            self.run_twice += stats.run_twice;
            self.wrong_service += stats.wrong_service;
            self.fell_over += stats.fell_over;
            self.shed += stats.shed;
            self.cold_excess += stats.cold_excess;
            self.max_cold = self.max_cold.max(stats.max_cold);
        }
        let of_main = || all.iter().filter(|(s, _)| s.at.service == main);
        let served: Vec<f64> = of_main().map(|(_, s)| s.served as f64).collect();
        let busy: Vec<f64> = of_main().map(|(_, s)| s.busy_us as f64).collect();
        self.requests = Spread::new(&served);
        self.busy = Spread::new(&busy);
    }

    /// Adds the resource usage of balancers between two readings under load.
    pub(crate) fn add_traffic(&mut self, before: &[Usage], after: &[Usage], seconds: f64) {
        let count = after.len() as f64;
        let grown = |field: fn(&Usage) -> u64| {
            let sum = |all: &[Usage]| all.iter().map(field).sum::<u64>() as f64;
            (sum(after) - sum(before)) / seconds
        };
        self.load_bytes_per_s = grown(|u| u.sent) / count;
        self.platform_per_s = grown(|u| u.platform_calls);
        self.processor = grown(|u| u.processor_ms) / 1e3 / count;
    }

    /// Adds the resident memory of balancers.
    pub(crate) fn add_memory(&mut self, after: &[Usage]) {
        let count = after.len() as f64;
        let memory: u64 = after.iter().map(|u| u.memory_kib).sum();
        self.memory_mib = memory as f64 / 1024.0 / count;
    }
}
