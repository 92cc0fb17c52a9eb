//! Packet forwarding with direct server return, as a reducer.
//!
//! Callers' packets of a flow reach any balancer of their failure domain. The balancer sends each on
//! to a backend server, which answers the caller itself, so a balancer sees one direction only. The
//! opening packet of a flow is given to a backend server (`pick`) under a route token (`token`) that
//! both ends return in each later packet: every balancer turns it into the same server, without
//! state that is shared.
//!
//! No I/O, clock, random source or unordered iteration: a program of any kind can drive
//! `Forwarder`. `Forwarder::packet` decides on one packet, `Forwarder::step` takes everything else
//! in, and what has to be done comes back as data.
//!
//! - `codec`: how packets are read and written, as a platform has it.
//! - `packet`: what a balancer reads and decides of a packet.
//! - `token`: route tokens.
//! - `flow`: flows that this balancer opened, bounded.
//! - `table`: routes, pools and backend servers in force, indexed by dense keys.
//! - `pick`: the backend server of a new flow.
//! - `health`: what unanswered packets say of a backend server.
//! - `cold`: how often a backend server that started just now is given a flow.
//! - `load`: open flows at other balancers, as they tell them.
//! - `feed`: what is read from the platform and from peers, and how old it is.
//! - `patch`: new versions of large objects, by what differs.
//! - `role`: who reads the platform for whom.
//! - `peer`: membership and frames.
//! - `state`: the reducer that joins them; `open`, `pass`, `check` and `tick` are its parts, `dump` its
//!   text.
//! - `event`, `effect`, `note`: its inputs, outputs and log lines.
//! - `count`: counters.
//! - `setting`: settings and constants.
//! - `prelude`: the types that a driver imports.

pub mod codec;
pub mod cold;
pub mod count;
pub mod effect;
pub mod event;
pub mod feed;
pub mod flow;
pub mod health;
pub mod load;
pub mod note;
pub mod packet;
pub mod patch;
pub mod pick;
pub mod prelude;
pub mod role;
pub mod setting;
pub mod state;
pub mod table;
pub mod tick;
pub mod token;

mod check;
mod dump;
mod open;
mod pass;
mod peer;

pub use state::Forwarder;
