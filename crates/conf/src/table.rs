//! The configuration in force, indexed for the balancer.
//!
//! Validation rules across objects. They depend on uids only, so every balancer decides alike:
//!
//! - An address belongs to one service: the one with the lower uid. The other has no address, but
//!   its backend servers are assigned to it all the same.
//! - A backend server belongs to one service: of those whose selectors match it, the one with the
//!   lowest uid. It is not a server of the others and receives none of their packets.
//! - A backend server's address belongs to one `Server` object: the one with the lower uid. The
//!   other is not applied.
//! - A backend server in an unknown failure domain is not applied.
//!
//! The object with the greater uid was created later. Rejecting the later one leaves established
//! flows unaffected by a configuration error.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::ops::Index;

use cranelift_entity::EntityRef;
use cranelift_entity::PrimaryMap;

use crate::fault::Fault;
use crate::key;
use crate::store::Store;

mod build;
pub mod domain;
pub mod server;
pub mod service;
mod text;

/// The configuration in force. Keys stay valid, and rows readable, after their objects are deleted.
#[derive(Clone, Debug, Default)]
pub struct Table {
    revision: u64,
    services: PrimaryMap<key::Service, service::Row>,
    servers: PrimaryMap<key::Server, server::Row>,
    domains: PrimaryMap<key::Domain, domain::Row>,
    service_uids: BTreeMap<u32, key::Service>,
    server_uids: BTreeMap<u32, key::Server>,
    domain_uids: BTreeMap<u32, key::Domain>,
    addresses: BTreeMap<IpAddr, key::Service>,
    faults: Vec<Fault>,
}

impl Table {
    /// Makes an empty table.
    pub fn new() -> Table {
        Table::default()
    }

    /// Rebuilds the table from the objects in force in `store`. Existing keys keep their uids.
    pub fn rebuild(&mut self, store: &Store) {
        build::rebuild(self, store);
    }

    /// Returns the revision of the store that the table was built from.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the service that has this address.
    pub fn service_at(&self, address: IpAddr) -> Option<key::Service> {
        self.addresses.get(&address.to_canonical()).copied()
    }

    /// Returns the service with this uid, present or not.
    pub fn service_by_uid(&self, uid: u32) -> Option<key::Service> {
        self.service_uids.get(&uid).copied()
    }

    /// Returns the backend server with this uid, present or not.
    pub fn server_by_uid(&self, uid: u32) -> Option<key::Server> {
        self.server_uids.get(&uid).copied()
    }

    /// Returns the failure domain with this uid, present or not.
    pub fn domain_by_uid(&self, uid: u32) -> Option<key::Domain> {
        self.domain_uids.get(&uid).copied()
    }

    /// Returns the present failure domain with this name.
    pub fn domain_by_name(&self, name: &str) -> Option<key::Domain> {
        let mut rows = self.domains.iter();
        rows.find(|(_, row)| row.is_present && row.name == name)
            .map(|(domain, _)| domain)
    }

    /// Returns the present backend servers of a service in key order, regardless of their state.
    /// Empty when the service is not present.
    pub fn servers_of(&self, service: key::Service) -> &[key::Server] {
        &self.services[service].servers
    }

    /// Returns whether the backend server exists and is applied.
    pub fn is_present(&self, server: key::Server) -> bool {
        self.servers[server].is_present
    }

    /// Returns all services seen so far, present or not.
    pub fn services(&self) -> &PrimaryMap<key::Service, service::Row> {
        &self.services
    }

    /// Returns all backend servers seen so far, present or not.
    pub fn servers(&self) -> &PrimaryMap<key::Server, server::Row> {
        &self.servers
    }

    /// Returns all failure domains seen so far, present or not.
    pub fn domains(&self) -> &PrimaryMap<key::Domain, domain::Row> {
        &self.domains
    }

    /// Returns the faults of single objects and those across objects, sorted.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl Index<key::Service> for Table {
    type Output = service::Row;

    fn index(&self, service: key::Service) -> &service::Row {
        &self.services[service]
    }
}

impl Index<key::Server> for Table {
    type Output = server::Row;

    fn index(&self, server: key::Server) -> &server::Row {
        &self.servers[server]
    }
}

impl Index<key::Domain> for Table {
    type Output = domain::Row;

    fn index(&self, domain: key::Domain) -> &domain::Row {
        &self.domains[domain]
    }
}

/// Returns the key of `uid`; assigns the next one if it has none.
fn intern<K: EntityRef, R>(
    rows: &mut PrimaryMap<K, R>,
    uids: &mut BTreeMap<u32, K>,
    uid: u32,
    row: impl FnOnce() -> R,
) -> K {
    *uids.entry(uid).or_insert_with(|| rows.push(row()))
}
