//! Configuration: the objects that operators write, their validation and replication, and the table
//! that balancers look them up in.
//!
//! - `object`: typed objects, validated on conversion from a `raw::Object`.
//! - `routing`: the `Routing` object, which maps service addresses of packet flows to pools.
//! - `raw`: objects as encoded by the platform and between balancers, not validated.
//! - `label`: labels, selectors and their syntax.
//! - `error`: validation errors.
//! - `fault`: faults of objects that are not applied, or only in part.
//! - `key`: dense table keys of services, backend servers, failure domains and pools.
//! - `place`: the order of changes in a store that may be restored from an older copy.
//! - `store`: replicated state of versioned objects; the higher version wins, deletions included.
//! - `spec`: JSON fields of each kind.
//! - `table`: the configuration in force, validated across objects and indexed for the balancer.

pub mod error;
pub mod fault;
pub mod key;
pub mod label;
pub mod object;
pub mod place;
pub mod raw;
pub mod routing;
mod spec;
pub mod store;
pub mod table;
