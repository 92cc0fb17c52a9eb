//! Stand-ins for tests, the demo and the experiment. Nothing here is shipped.
//!
//! - `platform`: the object API, in memory, with faults on request.
//! - `backend`: an HTTP/1.1 backend server with slots, cold start and faults.
//! - `fabric`: sends each datagram to a random balancer.
//! - `caller`: opens flows and makes CoAP requests on them.
//! - `packet`: packets of flows as callers and servers write and read them.
//! - `fleet`: a deployment as separate processes on loopback.
//! - `body`: request and answer bodies that both ends can work out.
//! - `process`: what a stand-in that runs as a process needs.
//! - `http`: the little of HTTP that the others share.
//!
//! Each stand-in also runs as a process of its own: see the examples of this crate.

pub mod backend;
pub mod body;
pub mod caller;
pub mod fabric;
pub mod fleet;
pub mod http;
pub mod packet;
pub mod platform;
pub mod process;
