//! The I/O around the reducers: converts input from sockets, timers and the platform into events
//! and performs the effects that the reducer returns.
//!
//! The reducers do no I/O and read no clock. This crate has two event loops: one for balancers that
//! relay requests (`run` and `turn`), and one for balancers that forward packets (`packets`).
//!
//! - `setting`: validates the settings and reports all faults at once.
//! - `run`: binds all sockets and runs the process until it stops.
//! - `turn`: the event loop, which owns the reducer.
//! - `reducer`: implements the loop's `Reducer` trait for `node::Node`.
//! - `clock`: a monotonic clock that detects pauses of the process.
//! - `socket`: batched UDP sockets that preserve the service address of each datagram.
//! - `peer`: encrypted datagrams between balancers.
//! - `stream`: QUIC streams between balancers, for frames that do not fit a datagram.
//! - `identity`: TLS certificates of the QUIC streams, derived from the fleet key.
//! - `http`: the connection pool, requests and health probes to backend servers.
//! - `connection`: one HTTP/1.1 connection to a backend server.
//! - `format`: maps CoAP content formats to media types.
//! - `watch`: watches objects and hosts on the platform and writes the report.
//! - `platform`: implements the `Platform` trait of `watch` for `plat::Client`.
//! - `packets`: the event loop of balancers that forward packets.
//! - `admin`: HTTP pages for operators.
//! - `metric`: counters and histograms in Prometheus's format.
//! - `log`: JSON log lines, buffering and rate limits.

pub mod admin;
pub mod clock;
pub mod connection;
pub mod format;
pub mod http;
pub mod identity;
pub mod log;
pub mod metric;
pub mod packets;
pub mod peer;
pub mod platform;
pub mod reducer;
pub mod run;
pub mod setting;
pub mod socket;
pub mod stream;
pub mod watch;

mod turn;
