//! Placement: which balancer owns a backend server, and which backend server gets a new flow.
//!
//! All functions are pure and keep no state, so that balancers with the same view make the same
//! decision.
//!
//! - `rendezvous`: rendezvous hashing.
//! - `owner`: assignment of the backend servers of one failure domain to their owners.
//! - `choose`: load-aware choice of the backend server for a new flow.

pub mod choose;
pub mod owner;
pub mod rendezvous;
