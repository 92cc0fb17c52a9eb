//! Admission control for backend servers: concurrency limits, queues, slow start, circuit breaking
//! and retry budgets.
//!
//! Each backend server is owned by one balancer, and only its owner applies these limits. The crate
//! has no I/O, clock or random source: callers pass in each event with its time.
//!
//! - `setting`: the parameters of a gate, with their units.
//! - `item`: a queued request, how a request ended, the result of a health probe.
//! - `queue`: bounded queue of requests, earliest deadline first, fair between services.
//! - `baseline`: distribution of a service's service times at a warm server.
//! - `calibration`: deriving a baseline where none is known, or the known one no longer fits.
//! - `ramp`: slow start, which raises the concurrency limit as answers show that a server is warm.
//! - `backoff`: exponential backoff after shed requests.
//! - `breaker`: circuit breaker, whether requests may be sent to the server.
//! - `rate`: smoothed request rate.
//! - `gate`: all of these combined for one backend server.
//! - `budget`: retry budgets.
//! - `share`: division of a capacity between kinds of requests by urgency.
//! - `timeout`: attribution of response time-outs to a connection or to its server.
//! - `prelude`: the types that users of this crate import.

pub mod backoff;
pub mod baseline;
pub mod breaker;
pub mod budget;
pub mod calibration;
pub mod gate;
pub mod item;
pub mod prelude;
pub mod queue;
pub mod ramp;
pub mod rate;
pub mod setting;
pub mod share;
pub mod timeout;
