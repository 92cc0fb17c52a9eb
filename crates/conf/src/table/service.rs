//! Table rows of services.

use std::fmt;
use std::net::IpAddr;

use base::prelude::*;

use crate::key;
use crate::label::Selector;

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Uid assigned by the platform.
    pub uid: u32,
    /// Name of the service.
    pub name: String,
    /// Number of changes of its spec.
    pub generation: u16,
    /// The service address; `None` when it belongs to another service, or this one is not present.
    pub address: Option<IpAddr>,
    /// Deadline of requests whose caller sets none.
    pub deadline: Span,
    /// Selector of its backend servers.
    pub selector: Selector,
    /// Its present backend servers, in key order.
    pub servers: Vec<key::Server>,
    /// Whether the object exists.
    pub is_present: bool,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} uid {} g{} ", self.name, self.uid, self.generation)?;
        match (self.is_present, self.address) {
            (false, _) => f.write_str("gone")?,
            (true, None) => f.write_str("without address")?,
            (true, Some(address)) => write!(f, "at {address}")?,
        }
        write!(f, " deadline {}", self.deadline)?;
        write!(f, " selects \"{}\"", self.selector)
    }
}
