//! Configuration: the objects that operators write, and the table that balancers work from.
//!
//! - `object`: typed objects, checked when made from a `raw::Object`.
//! - `routing`: the object of packet flows.
//! - `raw`: objects as the platform and peers carry them.
//! - `label`: labels and selectors.
//! - `error`: why an object, label or selector is refused.
//! - `fault`: objects that are kept out.
//! - `key`: dense references to services, backend servers and failure domains.
//! - `store`: versioned objects; the higher version wins, deletions included.
//! - `table`: what is in force, indexed for the balancer.

pub mod error;
pub mod fault;
pub mod key;
pub mod label;
pub mod object;
pub mod raw;
pub mod routing;
mod spec;
pub mod store;
pub mod table;
