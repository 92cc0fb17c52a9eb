//! The shell around the reducer: turns sockets, timers and libraries into events, and runs effects.
//!
//! - `setting`: settings, checked as a whole.
//! - `run`: the process, from bound sockets to its end.
//! - `turn`: the loop that owns the `reducer`.
//! - `clock`: the process's clock, and how a pause is noticed.
//! - `socket`: UDP sockets that keep service addresses.
//! - `peer`: sealed datagrams between balancers.
//! - `stream`: QUIC streams between balancers, authenticated by `identity`.
//! - `http`: requests to backend servers, each over a `connection`, with `format` for content types.
//! - `watch`: the platform's objects, hosts and reports, read through `platform`.
//! - `packets`: the same for balancers that forward packets.
//! - `admin`: pages for operators.
//! - `metric`: counters and histograms.
//! - `log`: JSON lines.

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
