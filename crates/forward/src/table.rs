//! Routes, pools and backend servers in force, indexed by dense keys.
//!
//! A backend server keeps its key from its first listing until `GONE_RETENTION` after it has gone,
//! so that its open flows still resolve to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use base::hash;
use base::prelude::*;
use conf::key;
use conf::object;
use conf::object::Body;
use conf::object::Object;
use conf::object::State;
use cranelift_entity::PrimaryMap;

use crate::cold::Tenure;
use crate::health::Health;
use crate::loss::Losses;
use crate::table::row::Row;
use crate::table::row::Status;
use crate::token::Mark;

mod mark;
pub mod route;
pub mod row;

pub use route::Route;

/// Bounds how long a server whose entry disappeared without a drain keeps taking new flows. Entries
/// that lapse during a platform outage are renewed within 2 s of its end.
pub const MISSING_ENTRY_GRACE: Span = Span::secs(2);
/// How long a server that has gone or lapsed is kept. Exceeds the longest lifetime of a flow.
pub const GONE_RETENTION: Span = Span::secs(90);
/// How long the servers of a failure domain count as cold after it is back in, unless their entries
/// say longer: one report period and its propagation through the platform. It also holds for a
/// server that recovers from unresponsiveness.
pub const RECOVERY_COLD_PERIOD: Span = Span::millis(2_500);
/// Bounds the number of backend servers, including those that have gone.
pub const SERVERS_MAX: usize = 20_000;

/// A pool.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its specification: name, check path and limits of cold servers.
    pub object: object::Pool,
    /// Its servers, without those that have gone.
    pub servers: Vec<key::Server>,
    /// Whether some route to it has a priority, so that admission control applies to its flows.
    pub has_priorities: bool,
}

/// A failure domain.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Its name.
    pub name: String,
    /// When it was taken out; `None` while it is in.
    pub out_since: Option<Time>,
    /// When its servers stop counting as cold after it was out.
    pub cold_until: Time,
}

/// The state in force.
#[derive(Clone, Debug, Default)]
pub struct Table {
    routes: HashMap<SocketAddrV4, Route>,
    pools: PrimaryMap<key::Pool, Pool>,
    pool_names: BTreeMap<String, key::Pool>,
    servers: PrimaryMap<key::Server, Row>,
    server_names: BTreeMap<String, key::Server>,
    /// The servers by mark, without those that share the mark of another one.
    marks: HashMap<Mark, key::Server>,
    /// The keys of evicted servers, which are reused.
    free_keys: Vec<key::Server>,
    domains: PrimaryMap<key::Domain, Domain>,
    domain_names: BTreeMap<String, key::Domain>,
    /// Whether a routing has been applied.
    has_routing: bool,
    /// Revision of the routing in force.
    routing_version: u64,
    /// Sequence number of the last listing of servers that was applied.
    listing_seq: u64,
    /// Whether servers whose entries have lapsed take new flows.
    uses_lapsed: bool,
}

impl Table {
    /// Returns whether a routing is in force.
    pub fn has_routing(&self) -> bool {
        self.has_routing
    }

    /// Returns the revision of the routing in force, 0 if there is none.
    pub fn routing_version(&self) -> u64 {
        self.routing_version
    }

    /// Returns the route of a service address.
    pub fn route(&self, service: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&service)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns a pool.
    pub fn pool(&self, pool: key::Pool) -> &Pool {
        &self.pools[pool]
    }

    /// Returns all pools that any applied object has named.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Returns all pools that any applied object has named, with their keys.
    pub fn pool_entries(&self) -> impl Iterator<Item = (key::Pool, &Pool)> {
        self.pools.iter()
    }

    /// Returns the backend server with a mark.
    pub fn server_by_mark(&self, mark: Mark) -> Option<key::Server> {
        self.marks.get(&mark).copied()
    }

    /// Returns a backend server.
    pub fn server(&self, server: key::Server) -> &Row {
        &self.servers[server]
    }

    /// Returns a mutable backend server.
    pub fn server_mut(&mut self, server: key::Server) -> &mut Row {
        &mut self.servers[server]
    }

    /// Returns all backend servers, including those that have gone, by name.
    pub fn servers(&self) -> impl Iterator<Item = (key::Server, &Row)> {
        self.server_names
            .values()
            .map(|&key| (key, &self.servers[key]))
    }

    /// Returns a failure domain.
    pub fn domain(&self, domain: key::Domain) -> &Domain {
        &self.domains[domain]
    }

    /// Returns the failure domain with a name.
    pub fn domain_key(&self, name: &str) -> Option<key::Domain> {
        self.domain_names.get(name).copied()
    }

    /// Returns whether the failure domain with a name is out.
    pub fn is_domain_out(&self, name: &str) -> bool {
        let domain = self.domain_names.get(name);
        domain.is_some_and(|&domain| self.domains[domain].out_since.is_some())
    }

    /// Returns whether all servers of the failure domain with a name are suspected.
    pub fn is_whole_domain_suspected(&self, name: &str) -> bool {
        let domain = self.domain_names.get(name);
        let rows = self.servers().map(|(_, row)| row);
        let mut rows = rows.filter(|row| Some(&row.domain) == domain && row.is_present());
        rows.all(|row| row.health.is_suspected())
    }

    /// Returns whether servers whose entries have lapsed take new flows when no other one of their
    /// pool can.
    pub fn uses_lapsed(&self) -> bool {
        self.uses_lapsed
    }

    /// Sets whether the balancer reaches the store. If it does, a server that has no entry is gone;
    /// if not, its domain may be cut off, and the servers there cannot renew their entries.
    pub fn set_store_reached(&mut self, is_reached: bool) {
        self.uses_lapsed = !is_reached;
    }

    /// Returns whether some pool depends on servers of a failure domain that have no entry: none of
    /// its servers with an entry has passed its last check.
    pub fn depends_on_lapsed(&self, domain: &str) -> bool {
        let Some(&domain) = self.domain_names.get(domain) else {
            return false;
        };
        let lacks_entry = |row: &Row| {
            let is_missing = matches!(row.status, Status::Missing(_) | Status::Lapsed(_));
            is_missing && row.domain == domain && !row.health.is_suspected()
        };
        // Mostly there is none, and this runs several times per second.
        let mut pools: Vec<key::Pool> = self
            .servers()
            .filter(|(_, row)| lacks_entry(row))
            .filter_map(|(_, row)| row.pool)
            .collect();
        pools.sort_unstable();
        pools.dedup();
        pools.into_iter().any(|pool| {
            let servers = self.pools[pool].servers.iter();
            let mut rows = servers.map(|&key| &self.servers[key]);
            !rows.any(|row| {
                let is_in = self.domains[row.domain].out_since.is_none();
                row.status == Status::Ready && is_in && !row.health.is_confirmed()
            })
        })
    }

    /// Returns all failure domains that any applied object has named.
    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        self.domains.values()
    }

    /// Returns whether a backend server takes new flows: it is accepting, and its failure domain is in.
    pub fn takes_flows(&self, server: key::Server, now: Time) -> bool {
        let row = &self.servers[server];
        row.is_accepting(now) && self.domains[row.domain].out_since.is_none()
    }

    /// Returns whether a backend server is in slow start.
    pub fn is_cold(&self, server: key::Server, now: Time) -> bool {
        let row = &self.servers[server];
        now < row.cold_until.max(self.domains[row.domain].cold_until)
    }

    /// Puts a routing in force.
    pub fn apply_routing(&mut self, routing: &object::Routing, version: u64) {
        self.has_routing = true;
        self.routing_version = version;
        for pool in &routing.pools {
            let key = self.intern_pool(&pool.name);
            self.pools[key].object = pool.clone();
        }
        self.routes.clear();
        let pools = self.pools.values_mut();
        pools.for_each(|pool| pool.has_priorities = false);
        for route in &routing.routes {
            let SocketAddr::V4(address) = route.address else {
                continue;
            };
            let shares: Vec<(key::Pool, u32)> = route
                .shares
                .iter()
                .map(|share| (self.intern_pool(&share.pool), share.weight))
                .collect();
            for &(pool, _) in &shares {
                self.pools[pool].has_priorities |= route.priority != 0;
            }
            self.routes.insert(address, Route::new(shares, route));
        }
    }

    /// Puts a full set of backend servers in force. A server that the set lacks becomes missing, or
    /// gone if it was draining.
    ///
    /// Returns the number of servers that changed.
    pub fn apply_servers<'a>(
        &mut self,
        now: Time,
        objects: impl Iterator<Item = &'a Object>,
    ) -> usize {
        self.listing_seq += 1;
        let (mut changes, mut needs_reindex) = (0, false);
        for object in objects {
            let Body::Server(server) = &object.body else {
                continue;
            };
            let Some((key, is_new)) = self.intern_server(object, server) else {
                continue;
            };
            let before = self.servers[key].index_key();
            self.servers[key].listing_seq = self.listing_seq;
            changes += usize::from(self.apply_server(now, key, object, server));
            needs_reindex |= is_new || self.servers[key].index_key() != before;
        }
        for &key in self.server_names.values() {
            let row = &mut self.servers[key];
            if row.listing_seq == self.listing_seq {
                continue;
            }
            let before = row.index_key();
            match row.status {
                Status::Ready => row.status = Status::Missing(now),
                Status::Draining => row.status = Status::Gone(now),
                Status::Missing(_) | Status::Lapsed(_) | Status::Gone(_) => continue,
            }
            needs_reindex |= row.index_key() != before;
            changes += 1;
        }
        // Most changes affect a server's state only, which no index depends on.
        if needs_reindex {
            self.rebuild_indexes();
        }
        changes
    }

    /// Puts the states of failure domains in force. Domains that the objects do not name are in.
    pub fn apply_domains<'a>(&mut self, now: Time, objects: impl Iterator<Item = &'a Object>) {
        let mut out = BTreeSet::new();
        for object in objects {
            if let Body::Domain(domain) = &object.body {
                let key = self.intern_domain(&object.meta.name);
                if domain.state == State::Out {
                    out.insert(key);
                }
            }
        }
        for (key, domain) in self.domains.iter_mut() {
            match (out.contains(&key), domain.out_since) {
                (true, None) => domain.out_since = Some(now),
                (false, Some(_)) => {
                    domain.out_since = None;
                    domain.cold_until = now + RECOVERY_COLD_PERIOD;
                }
                (true, Some(_)) | (false, None) => (),
            }
        }
    }

    /// Treats a server as cold that may have restarted before its entry shows that.
    pub fn assume_cold(&mut self, server: key::Server, now: Time) {
        let row = &mut self.servers[server];
        row.cold_until = row.cold_until.max(now + RECOVERY_COLD_PERIOD);
    }

    /// Lets servers lapse whose entries have been missing for `MISSING_ENTRY_GRACE`, and evicts
    /// those that lapsed or went `GONE_RETENTION` ago and have no open flow.
    ///
    /// Returns the servers that lapsed.
    pub fn expire_servers(&mut self, now: Time) -> Vec<key::Server> {
        let mut lapsed = Vec::new();
        let mut evicted = Vec::new();
        for (name, &key) in &self.server_names {
            let row = &mut self.servers[key];
            match row.status {
                Status::Missing(since) if now.since(since) >= MISSING_ENTRY_GRACE => {
                    row.status = Status::Lapsed(now);
                    lapsed.push(key);
                }
                Status::Lapsed(since) | Status::Gone(since)
                    if now.since(since) >= GONE_RETENTION && row.open_flows == 0 =>
                {
                    evicted.push((name.clone(), key));
                }
                _ => (),
            }
        }
        for (name, key) in &evicted {
            self.server_names.remove(name);
            self.free_keys.push(*key);
        }
        if !lapsed.is_empty() || !evicted.is_empty() {
            self.rebuild_indexes();
        }
        lapsed
    }

    fn apply_server(
        &mut self,
        now: Time,
        key: key::Server,
        object: &Object,
        server: &object::Server,
    ) -> bool {
        let status = match server.state {
            State::In => Status::Ready,
            State::Drain | State::Out => Status::Draining,
        };
        let row = &self.servers[key];
        if row.version == object.meta.version && row.status == status {
            return false;
        }
        let pool = server.pool.as_deref().map(|name| self.intern_pool(name));
        let domain = self.intern_domain(&server.domain);
        let row = &mut self.servers[key];
        let is_returning = !matches!(row.status, Status::Ready | Status::Draining);
        if let SocketAddr::V4(address) = server.address {
            if is_returning || row.address != address {
                row.health = Health::default();
            }
            row.address = address;
        }
        row.domain = domain;
        row.pool = pool;
        row.slots = u32::from(server.slots);
        row.set_version(now, &object.meta, server.cold);
        row.status = status;
        true
    }

    /// Returns the key of a listed server and whether it is new. Returns `None` for an address that
    /// is not IPv4, and for a new server when the table is full.
    fn intern_server(
        &mut self,
        object: &Object,
        server: &object::Server,
    ) -> Option<(key::Server, bool)> {
        let name = &object.meta.name;
        let SocketAddr::V4(address) = server.address else {
            return None;
        };
        if let Some(&key) = self.server_names.get(name) {
            return Some((key, false));
        }
        if self.server_names.len() >= SERVERS_MAX {
            return None;
        }
        let identity = server
            .identity
            .unwrap_or_else(|| hash::bytes(name.as_bytes()));
        let row = Row {
            name: name.clone(),
            identity,
            mark: Mark::new(identity),
            address,
            domain: self.intern_domain(&server.domain),
            pool: None,
            slots: 1,
            status: Status::Draining,
            version: 0,
            uid: object.meta.uid,
            cold_until: Time::default(),
            next_cold_flow_at: Time::default(),
            tenure: Tenure::Unknown,
            is_shadowed: false,
            listing_seq: 0,
            open_flows: 0,
            requests: 0,
            losses: Losses::default(),
            health: Health::default(),
        };
        let key = match self.free_keys.pop() {
            Some(key) => {
                self.servers[key] = row;
                key
            }
            None => self.servers.push(row),
        };
        self.server_names.insert(name.clone(), key);
        Some((key, true))
    }

    /// Rebuilds the indexes from the servers.
    fn rebuild_indexes(&mut self) {
        for pool in self.pools.values_mut() {
            pool.servers.clear();
        }
        self.marks = mark::assign(&mut self.servers, self.server_names.values().copied());
        for &key in self.server_names.values() {
            let row = &self.servers[key];
            if let (Some(pool), true) = (row.pool, row.is_present()) {
                self.pools[pool].servers.push(key);
            }
        }
    }

    fn intern_pool(&mut self, name: &str) -> key::Pool {
        if let Some(&key) = self.pool_names.get(name) {
            return key;
        }
        let object = object::Pool {
            name: name.to_owned(),
            cold_per_minute: 0,
            cold: Span::ZERO,
            check_path: object::DEFAULT_CHECK_PATH.into(),
        };
        let servers = Vec::new();
        let key = self.pools.push(Pool {
            object,
            servers,
            has_priorities: false,
        });
        self.pool_names.insert(name.to_owned(), key);
        key
    }

    fn intern_domain(&mut self, name: &str) -> key::Domain {
        if let Some(&key) = self.domain_names.get(name) {
            return key;
        }
        let key = self.domains.push(Domain {
            name: name.to_owned(),
            out_since: None,
            cold_until: Time::default(),
        });
        self.domain_names.insert(name.to_owned(), key);
        key
    }
}
