//! Types that every wasabiarch crate uses.
//!
//! - `code`: numbered result codes.
//! - `time`: points in time and durations of the virtual clock that drives reducers.
//! - `id`: identities and addresses that processes exchange.
//! - `hash`: the stable hash behind placement decisions.
//! - `prelude`: the types that most files import.

pub mod code;
pub mod hash;
pub mod id;
pub mod prelude;
pub mod time;
