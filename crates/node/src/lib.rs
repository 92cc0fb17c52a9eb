//! The balancer as one reducer: `Node::step(now, event)` returns effects.
//!
//! The crate uses no I/O, clock, random source or unordered iteration, so that a session can be
//! replayed and compared with a golden file. `state` holds the state; each other module is a set of
//! plain functions over it.
//!
//! Inputs and outputs:
//!
//! - `event`: inputs of the reducer.
//! - `effect`: outputs of the reducer.
//! - `setting`: settings that a node is created with.
//!
//! State:
//!
//! - `state`: the node and its step.
//! - `ownership`: replicated table of the owner and load of each backend server.
//! - `owned`: backend servers that this node owns, and those it is handing over.
//! - `record`: records of accepted requests, for the detection of duplicates.
//! - `job`: requests queued or running.
//! - `body`: request bodies that arrive in blocks.
//! - `count`: counters.
//!
//! Processing:
//!
//! - `ingress`: from a caller's datagram to the owner of its backend server.
//! - `admission`: admission of a request at its owner, up to the queue.
//! - `divert`: requests that go to a backend server other than their flow's.
//! - `dispatch`: calls of queued requests to backend servers, and the results.
//! - `answer`: answers and route tokens to callers.
//! - `reconcile`: assignment of backend servers to owners after membership or configuration
//!   changes, and takeover.
//! - `handover`: transfer of ownership to another balancer.
//! - `gossip`: membership messages and the load reports piggybacked on them.
//! - `replication`: replication of the configuration between balancers, and reports to the
//!   platform.
//! - `dump`: the state as text, and log lines.
//! - `text`: effects as text.

pub mod count;
pub mod effect;
pub mod event;
pub mod prelude;
pub mod setting;

mod admission;
mod answer;
mod body;
mod dispatch;
mod divert;
mod dump;
mod gossip;
mod handover;
mod ingress;
mod job;
mod owned;
mod ownership;
mod reconcile;
mod record;
mod replication;
mod state;
mod text;

pub use crate::setting::TICK_INTERVAL;
pub use crate::state::Node;
