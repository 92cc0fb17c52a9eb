//! Client of the object API of the platform, the external control-plane store.
//!
//! - `client`: one request each for list, get, put, delete, watch and hosts.
//! - `http`: HTTP transport: time-outs, retries, status codes; independent of paths and bodies.
//! - `source`: the interface that a packet-forwarding balancer reads from, for any platform.
//! - `response`: types that requests return.
//! - `error`: errors of requests, and whether a write may have taken effect.
//! - `edit`: conditional updates that are retried after conflicts and lost responses.

pub mod client;
pub mod edit;
pub mod error;
pub mod http;
pub mod response;
pub mod source;

pub use client::Client;
pub use error::Error;
