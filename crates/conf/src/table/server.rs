//! Table rows of backend servers.

use std::fmt;
use std::net::SocketAddr;

use crate::key;
use crate::object::State;

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Uid assigned by the platform.
    pub uid: u32,
    /// Name of the backend server.
    pub name: String,
    /// Number of changes of its spec.
    pub generation: u16,
    /// Address that it accepts requests at.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: key::Domain,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that it accepts.
    pub connections: u16,
    /// Its own state, without that of its failure domain.
    pub own_state: State,
    /// The state in effect: the greater of its own and that of its failure domain.
    pub state: State,
    /// The service that it belongs to.
    pub service: Option<key::Service>,
    /// All services whose selectors match it, by uid. More than one is a fault, and it belongs to
    /// the first.
    pub services: Vec<key::Service>,
    /// Whether the object exists and is applied.
    pub is_present: bool,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} uid {} g{}", self.name, self.uid, self.generation)?;
        write!(f, " at {} in {}", self.address, self.domain)?;
        write!(f, " slots {}", self.slots)?;
        write!(f, " connections {}: ", self.connections)?;
        match (self.is_present, self.own_state == self.state) {
            (false, _) => f.write_str("gone"),
            (true, true) => write!(f, "{}", self.state),
            (true, false) => write!(f, "{} by {}", self.state, self.domain),
        }
    }
}
