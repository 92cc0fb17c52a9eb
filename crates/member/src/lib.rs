//! Who is alive: SWIM-style membership as a reducer.
//!
//! Each period a balancer probes one other, asks a few more to probe it when it does not answer, and
//! suspects it when none gets an answer. A suspicion that is not refuted in time becomes a death, but
//! only when another balancer of the same failure domain was heard meanwhile: a whole domain that is
//! silent is cut off, not dead. News ride on the probes, a bounded number on each.
//!
//! - `record`: what is known of one balancer, and which of two records is newer.
//! - `event`: events, messages and effects.
//! - `setting`: periods, limits and sizes.
//! - `group`: the reducer.
//! - `codec`: messages as peers' frames carry them.
//! - `prelude`: the types above.

pub mod codec;
pub mod event;
pub mod group;
pub mod prelude;
pub mod record;
pub mod setting;

mod candidate;
mod domain;
mod entry;
mod gossip;
mod news;
mod probe;
mod table;
mod verdict;
mod watch;

pub use event::Effect;
pub use event::Event;
pub use event::Message;
pub use group::Group;
pub use record::Member;
pub use record::State;
pub use setting::Setting;
