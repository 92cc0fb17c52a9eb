//! Outcomes and latencies of requests and flows.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of broken flows that the report describes individually.
const SAMPLES_MAX: usize = 20;

/// Result codes of refusals because of overload. A caller is expected to retry, so the flow goes
/// on.
const OVERLOAD_CODES: [&str; 3] = ["E101", "E102", "E103"];

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete, correct answer arrived.
    Served,
    /// The request did not run; with the result code.
    Refused(String),
    /// The request may have run; with the result code.
    Unknown(String),
    /// No answer arrived in time.
    Timeout,
    /// The answer is not the expected one.
    Wrong,
    /// Another error; with its CoAP code and result code.
    Failed(String),
}

impl Outcome {
    /// Returns the reason why this outcome breaks an established flow, if it does.
    pub fn break_reason(&self) -> Option<String> {
        match self {
            Outcome::Served => None,
            Outcome::Refused(code) if OVERLOAD_CODES.contains(&code.as_str()) => None,
            Outcome::Refused(code) => Some(format!("refused {code}")),
            Outcome::Unknown(code) => Some(format!("unknown {code}")),
            Outcome::Timeout => Some("timeout".to_owned()),
            Outcome::Wrong => Some("wrong answer".to_owned()),
            Outcome::Failed(code) => Some(format!("failed {code}")),
        }
    }
}

/// Requests that ended within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that ended in any other way.
    pub other: u64,
}

/// Latency percentiles of served requests, retries included, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

/// Report of the callers of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the load, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Flows opened.
    pub flows: u64,
    /// Flows not opened because `open_max` flows were open or no socket could be opened.
    pub skipped: u64,
    /// Flows with at least one served request.
    pub established: u64,
    /// Established flows that broke.
    pub broken: u64,
    /// Broken flows by reason.
    pub broken_by: BTreeMap<String, u64>,
    /// Requests made.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests that ended refused.
    pub refused: u64,
    /// Requests that were not served, by reason.
    pub ended_by: BTreeMap<String, u64>,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests without an answer.
    pub timeout: u64,
    /// Requests with a wrong answer.
    pub wrong: u64,
    /// Requests that ended with another error.
    pub failed: u64,
    /// Refused attempts that were retried, by result code.
    pub retried_by: BTreeMap<String, u64>,
    /// Attempts restarted without a pause, with a new route token or from the first block.
    pub renewed: u64,
    /// Datagrams retransmitted.
    pub retransmitted: u64,
    /// Received datagrams that match no pending request.
    pub stray: u64,
    /// Answers fetched again from the first block, because a block was of another answer or
    /// missing.
    pub refetched: u64,
    /// Latency of served requests.
    pub latency: Latency,
    /// Requests that ended, by second since the start.
    pub seconds: Vec<Second>,
    /// Descriptions of the first broken flows.
    pub samples: Vec<String>,
}

/// A report that is being collected.
#[derive(Debug)]
pub struct Tally {
    /// The report so far, without latencies.
    pub report: Report,
    latency: Histogram<u64>,
}

impl Tally {
    /// Makes an empty report.
    pub fn new() -> eyre::Result<Tally> {
        let latency = Histogram::new(3)?;
        Ok(Tally {
            report: Report::default(),
            latency,
        })
    }

    /// Counts a request that ended, `at` after the start.
    pub fn count(&mut self, outcome: &Outcome, took: Duration, at: Duration) {
        let report = &mut self.report;
        report.requests += 1;
        let second = at.as_secs() as usize;
        if report.seconds.len() <= second {
            report.seconds.resize(second + 1, Second::default());
        }
        let second = &mut report.seconds[second];
        match outcome {
            Outcome::Served => second.served += 1,
            Outcome::Refused(_) => second.refused += 1,
            _ => second.other += 1,
        }
        let counter = match outcome {
            Outcome::Served => &mut report.served,
            Outcome::Refused(_) => &mut report.refused,
            Outcome::Unknown(_) => &mut report.unknown,
            Outcome::Timeout => &mut report.timeout,
            Outcome::Wrong => &mut report.wrong,
            Outcome::Failed(_) => &mut report.failed,
        };
        *counter += 1;
        let reason = match outcome {
            Outcome::Served => {
                // The histogram resizes itself; that fails only for values beyond 64 bits.
                let _ = self.latency.record(took.as_micros() as u64);
                return;
            }
            Outcome::Refused(code) => format!("refused {code}"),
            other => other.break_reason().unwrap_or_default(),
        };
        *report.ended_by.entry(reason).or_default() += 1;
    }

    /// Counts an established flow that broke, `at` after the start.
    pub fn count_broken(&mut self, reason: String, about: &str, at: Duration) {
        let report = &mut self.report;
        report.broken += 1;
        if report.samples.len() < SAMPLES_MAX {
            let sample = format!("{:.3} s: {about}: {reason}", at.as_secs_f64());
            report.samples.push(sample);
        }
        *report.broken_by.entry(reason).or_default() += 1;
    }

    /// Returns the report with its latencies.
    pub fn finish(mut self) -> Report {
        let at = |q| self.latency.value_at_quantile(q);
        self.report.latency = Latency {
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: self.latency.max(),
        };
        self.report
    }
}
