//! SWIM-style group membership and failure detection, as a reducer without I/O.
//!
//! In each probe period a balancer pings one other. If no ack arrives in time, it sends ping-reqs
//! to a few helpers, and suspects the target if none of them relays an ack. A suspicion that is not
//! refuted before its time-out becomes a death, but only if another balancer of the same failure
//! domain was seen meanwhile. A failure domain of which no balancer is seen counts as partitioned,
//! not as dead. Membership updates are piggybacked on these messages, a bounded number on each.
//!
//! Public modules:
//!
//! - `record`: the record of one balancer, its states, and which of two records supersedes the
//!   other.
//! - `event`: events, messages and effects of the reducer.
//! - `setting`: time-outs, limits and multipliers.
//! - `group`: the reducer, and the handling of messages.
//! - `codec`: conversion between messages and peer frames.
//! - `prelude`: re-exports of the types above.
//!
//! Private modules:
//!
//! - `detector`: the failure detector: probes, ping-reqs, and pings to candidate addresses.
//! - `probe`: the probe under way, the probe order, and pings sent on behalf of others.
//! - `suspicion`: suspicion time-outs, partitions, and eligibility for ownership.
//! - `table`: the membership table, and how updates change it.
//! - `entry`: one record with its local state.
//! - `domain`: reachability of failure domains.
//! - `piggyback`: selection of the updates that a message carries.
//! - `queue`: the queue of updates that are still to be disseminated.
//! - `candidate`: addresses at which balancers may be.

pub mod codec;
pub mod event;
pub mod group;
pub mod prelude;
pub mod record;
pub mod setting;

mod candidate;
mod detector;
mod domain;
mod entry;
mod piggyback;
mod probe;
mod queue;
mod suspicion;
mod table;

pub use event::Effect;
pub use event::Event;
pub use event::Message;
pub use group::Group;
pub use record::Member;
pub use record::State;
pub use setting::Setting;
