//! Test doubles of the systems around the balancers, for tests, the demo and the experiment.
//! Nothing in this crate is shipped.
//!
//! - `platform`: an in-memory implementation of the platform's object API, with fault injection.
//! - `backend`: an HTTP/1.1 backend server with limited concurrency, cold starts and fault
//!   injection.
//! - `fabric`: a packet-spraying network that sends each datagram to a random balancer.
//! - `caller`: a load generator that opens flows and makes CoAP requests on them.
//! - `packet`: encodes and decodes the packets of flows, as callers and backend servers do.
//! - `fleet`: starts and controls a deployment as separate processes on loopback.
//! - `body`: deterministic request and answer bodies, which both ends can compute.
//! - `process`: waits for the signal to terminate.
//! - `http`: the HTTP server and client code that the other modules share.
//!
//! Each test double also runs as a process of its own: see the examples of this crate.

pub mod backend;
pub mod body;
pub mod caller;
pub mod fabric;
pub mod fleet;
pub mod http;
pub mod packet;
pub mod platform;
pub mod process;
