//! Dense references. A key stays with its uid as long as the process runs.

use cranelift_entity::entity_impl;

/// A service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(u32);
entity_impl!(Service, "svc");

/// A backend server.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Server(u32);
entity_impl!(Server, "srv");

/// A failure domain.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Domain(u32);
entity_impl!(Domain, "dom");

/// Backend servers that serve the same packet flows.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool(u32);
entity_impl!(Pool, "pool");
