//! A load generator: opens flows at a given rate and makes CoAP requests on them.
//!
//! - `options`: settings of the load and of the callers.
//! - `exchange`: one confirmable message, its retransmissions and its answer.
//! - `assembly`: reassembles an answer from its blocks.
//! - `request`: one request: block-wise transfer, renewed route tokens, retries after refusals.
//! - `report`: outcomes and latencies of requests and flows.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use eyre::Result;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub mod assembly;
pub mod exchange;
pub mod options;
pub mod report;
pub mod request;

pub use options::Options;
pub use report::Outcome;
pub use report::Report;

use exchange::Endpoint;
use exchange::Timing;
use report::Tally;
use request::Request;
use request::RetryPolicy;

/// Size of a small body, in bytes.
const SMALL_BODY_BYTES: usize = 200;

/// Opens flows for the duration that the options give, waits until they end, and returns the
/// report.
pub async fn run(options: Options) -> Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut tally = Tally::new()?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    tally.report.started_ms = now.map_or(0, |d| d.as_millis() as u64);
    let callers = Arc::new(Callers {
        start: Instant::now(),
        tally: Arc::new(Mutex::new(tally)),
        options,
    });
    let mut flows = JoinSet::new();
    let mut at = callers.start;
    for n in 0.. {
        at += exponential(&mut rng, 1.0 / callers.options.flows_per_s);
        if at >= callers.start + callers.options.duration {
            break;
        }
        tokio::time::sleep_until(at).await;
        while flows.try_join_next().is_some() {}
        if flows.len() >= callers.options.open_max as usize {
            callers.tally().report.skipped += 1;
            continue;
        }
        flows.spawn(callers.clone().run_flow(n));
    }
    while flows.join_next().await.is_some() {}
    let mut empty = Tally::new()?;
    std::mem::swap(&mut empty, &mut callers.tally());
    Ok(empty.finish())
}

/// Draws an exponentially distributed time; `mean` is in seconds.
fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() * mean)
}

/// All callers of one service address.
struct Callers {
    options: Options,
    start: Instant,
    tally: Arc<Mutex<Tally>>,
}

impl Callers {
    fn tally(&self) -> MutexGuard<'_, Tally> {
        // Each update is complete before the lock is released, so a panic elsewhere leaves it
        // consistent.
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run_flow(self: Arc<Self>, n: u64) {
        let options = &self.options;
        let timing = Timing {
            ack_timeout: options.ack_timeout,
            retransmissions: options.retransmissions,
        };
        let seed = base::hash::pair(options.seed, n);
        let opened = Endpoint::open(options.service, timing, seed, self.tally.clone()).await;
        let Ok(mut flow) = opened else {
            self.tally().report.skipped += 1;
            return;
        };
        self.tally().report.flows += 1;
        let mut established = false;
        for r in 0..options.requests {
            if r > 0 {
                let pause = exponential(&mut flow.rng, options.think_time.as_secs_f64());
                tokio::time::sleep(pause).await;
            }
            let id = format!("s{}f{n}r{r}", options.seed);
            let outcome = self.make_request(&mut flow, &id).await;
            if let Some(reason) = outcome.break_reason() {
                if established {
                    let at = self.start.elapsed();
                    self.tally().count_broken(reason, &id, at);
                }
                // A caller whose request fails abandons its flow and opens another.
                return;
            }
            if outcome == Outcome::Served && !established {
                established = true;
                self.tally().report.established += 1;
            }
        }
    }

    async fn make_request(&self, flow: &mut Endpoint, id: &str) -> Outcome {
        let request = self.draw_request(&mut flow.rng, id);
        let policy = RetryPolicy {
            deadline: self.options.deadline,
            pause_max: self.options.pause_max,
            refusals: self.options.refusals,
        };
        let since = Instant::now();
        let outcome = request::run(flow, &request, policy).await;
        let mut tally = self.tally();
        tally.count(&outcome, since.elapsed(), self.start.elapsed());
        outcome
    }

    fn draw_request(&self, rng: &mut ChaCha8Rng, id: &str) -> Request {
        let post = rng.random_bool(self.options.post_share);
        let large = rng.random_bool(self.options.large_share);
        let large = large && (self.options.large_posts || !post);
        let size = if large {
            self.options.large_bytes
        } else {
            SMALL_BODY_BYTES
        };
        let stop: u16 = rng.random_range(0..1000);
        if post {
            let body = crate::body::generate(id, size);
            return Request::post(format!("/drops/{stop}"), id, body);
        }
        Request::get(format!("/stops/{stop}"), size)
    }
}
