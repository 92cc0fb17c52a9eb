//! Dense table keys. Each table assigns its own, so a key is valid only in the table that it is
//! from.
//!
//! In `table::Table` a key refers to the same uid for as long as the process runs. The table of
//! packet flows, in crate `forward`, assigns keys by name and reuses those of evicted servers.

use cranelift_entity::entity_impl;

/// Key of a service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(u32);
entity_impl!(Service, "svc");

/// Key of a backend server.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Server(u32);
entity_impl!(Server, "srv");

/// Key of a failure domain.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Domain(u32);
entity_impl!(Domain, "dom");

/// Key of a pool: backend servers that serve the same packet flows. Used only in the table of
/// packet flows.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool(u32);
entity_impl!(Pool, "pool");
