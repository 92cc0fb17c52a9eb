//! Writes the configuration and servers' entries to the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::prelude::*;
use conf::object::Kind;
use conf::raw::Object;
use conf::raw::Spec;
use eyre::Result;
use plat::Client;
use plat::Error;
use rand::Rng;
use serde_json::json;
use tokio::sync::Mutex;

use crate::address;
use crate::server::Server;
use crate::server::Status;
use crate::world::Route;
use crate::world::State;
use crate::world::World;

/// Number of server pools. Routes are assigned to them in turn.
pub const POOLS: usize = 2;
/// Number of routes that exist for the whole run.
pub const PERMANENT_ROUTES: u8 = 4;
/// The pool whose routes differ in priority.
pub const PRIORITY_POOL: usize = 1;
/// Time within which callers of that pool want an answer: five times the default of 300 ms, as the
/// work of its servers takes five times as long as in the other pool.
pub const PRIORITY_TARGET: Span = Span::millis(1_500);
/// The permanent route of that pool with urgent requests, and the one with less urgent ones.
pub const PRIORITY_ROUTES: (u8, u8) = (1, 3);
/// The permanent route with uploads.
pub const UPLOAD_ROUTE: u8 = 4;
/// Priority of the less urgent routes. Urgent ones have 0.
pub const LESS_URGENT: u8 = 2;
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time within which authors repeat the changes that a restore of the platform has undone.
const REPEAT_TIME_MAX: Span = Span::secs(2);
/// Time for which a server that starts during the run is cold.
pub const COLD_TIME: Span = Span::secs(2);

/// Name of the routing object.
const ROUTING: &str = "main";

/// Client that writes to the platform, and records in the shared state what was acknowledged.
pub struct Operator {
    world: World,
    client: Client,
    /// The objects as last written. The lock is held during a write, so that writes are serialized.
    written: Mutex<BTreeMap<(Kind, String), Written>>,
    /// Held during a change of the routes, from reading the current ones to the acknowledgement.
    routing: Mutex<()>,
}

/// An object as last written.
#[derive(Clone, Debug, Default)]
struct Written {
    /// The version to write over; 0 if there is none.
    version: u64,
    /// The object; `None` if it was deleted.
    object: Option<Object>,
}

/// Returns the priority of a route: every second route of the pool with priorities is less urgent.
pub fn priority(route: u8) -> u8 {
    let (_, less_urgent) = PRIORITY_ROUTES;
    match route % 4 == less_urgent {
        true => LESS_URGENT,
        false => 0,
    }
}

/// Returns the version to write over: that of a live object, or 0 over a tombstone.
fn live_version(stored: &Object) -> u64 {
    match stored.deleted {
        true => 0,
        false => stored.version,
    }
}

fn pool_name(pool: usize) -> String {
    format!("p{pool}")
}

impl Operator {
    /// Makes an operator for the platform of a run.
    ///
    /// # Errors
    ///
    /// Fails if the platform's address is not a valid URL.
    pub fn new(world: World) -> Result<Operator> {
        let client = Client::new(format!("http://{}", world.addresses.platform()));
        let client = client.map_err(|error| eyre::eyre!("{error}"))?;
        Ok(Operator {
            world,
            client: client.with_timeout(Duration::from_secs(2)),
            written: Mutex::new(BTreeMap::new()),
            routing: Mutex::new(()),
        })
    }

    /// Writes an object, and retries until the platform acknowledges it.
    async fn put(&self, kind: Kind, name: &str, labels: &[(&str, String)], spec: String) {
        let labels = labels
            .iter()
            .map(|(key, value)| (key.to_string(), value.clone()));
        let object = Object {
            kind: kind.name().into(),
            name: name.into(),
            uid: 0,
            version: 0,
            generation: 0,
            deleted: false,
            labels: labels.collect(),
            spec: Spec(spec),
        };
        let mut written = self.written.lock().await;
        let entry = written.entry((kind, name.to_owned())).or_default();
        entry.object = Some(object);
        self.write(entry).await;
    }

    async fn delete(&self, kind: Kind, name: &str) {
        let mut written = self.written.lock().await;
        let Some(entry) = written.get_mut(&(kind, name.to_owned())) else {
            return;
        };
        if entry.object.take().is_some() {
            self.remove(entry, kind, name).await;
        }
    }

    /// Writes an object as recorded, and retries until the platform acknowledges it.
    async fn write(&self, entry: &mut Written) {
        let Written { version, object } = entry;
        let Some(object) = object else {
            return;
        };
        loop {
            match self.client.put(object, *version).await {
                Ok(stored) => break *version = stored.version,
                Err(Error::Conflict(stored)) => *version = live_version(&stored),
                // The platform was restored from a copy without the object.
                Err(Error::NotFound) => *version = 0,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Deletes an object, and retries until the platform acknowledges it.
    async fn remove(&self, entry: &mut Written, kind: Kind, name: &str) {
        loop {
            match self.client.delete(kind, name, entry.version).await {
                Ok(_) | Err(Error::NotFound) => break entry.version = 0,
                Err(Error::Conflict(stored)) => entry.version = stored.version,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Repeats the changes that the platform has lost by a restore, each at a random time within
    /// `REPEAT_TIME_MAX`. Returns once all are acknowledged.
    pub async fn repeat_lost_changes(&self) {
        let keys: Vec<(Kind, String)> = self.written.lock().await.keys().cloned().collect();
        let mut due: Vec<(u64, (Kind, String))> = self.world.with(|state, _| {
            let wait = |state: &mut State| state.random.random_range(0..REPEAT_TIME_MAX.0);
            keys.into_iter().map(|key| (wait(state), key)).collect()
        });
        due.sort();
        let start = tokio::time::Instant::now();
        for (wait, (kind, name)) in due {
            tokio::time::sleep_until(start + Duration::from_micros(wait)).await;
            self.repeat_change(kind, &name).await;
        }
    }

    /// Repeats the last change of an object unless the platform has it.
    async fn repeat_change(&self, kind: Kind, name: &str) {
        let mut written = self.written.lock().await;
        let Some(entry) = written.get_mut(&(kind, name.to_owned())) else {
            return;
        };
        let stored = loop {
            match self.client.get(kind, name).await {
                Ok(stored) => break Some(stored),
                Err(Error::NotFound) => break None,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        };
        let is_same = match (&stored, &entry.object) {
            (Some(stored), Some(object)) => {
                stored.labels == object.labels && stored.spec.is_equivalent(&object.spec)
            }
            (stored, object) => stored.is_none() && object.is_none(),
        };
        entry.version = stored.map_or(0, |stored| stored.version);
        match (is_same, entry.object.is_some()) {
            (true, _) => (),
            (false, true) => self.write(entry).await,
            (false, false) => self.remove(entry, kind, name).await,
        }
    }

    /// Adds a route and returns once the platform has acknowledged it.
    pub async fn add_route(&self, route: u8) {
        let _guard = self.routing.lock().await;
        let pool = usize::from(route) % POOLS;
        self.write_routing(|routes| {
            routes.insert(route, pool);
        })
        .await;
        self.world.with(|state, now| {
            let added = Route::new(pool, now);
            state.routes.insert(route, added);
        });
    }

    /// Removes a route and returns once the platform has acknowledged it.
    pub async fn remove_route(&self, route: u8) {
        let _guard = self.routing.lock().await;
        // Balancers may apply the removal before it is acknowledged here. The latest possible time
        // marks the route as removed without starting the bound for new flows.
        let unacknowledged = Time(u64::MAX);
        self.world.with(|state, _| {
            if let Some(route) = state.routes.get_mut(&route) {
                route.removed = Some(unacknowledged);
            }
        });
        self.write_routing(|routes| {
            routes.remove(&route);
        })
        .await;
        self.world.with(|state, now| {
            if let Some(route) = state.routes.get_mut(&route) {
                route.removed = Some(now);
            }
        });
    }

    async fn write_routing(&self, change: impl FnOnce(&mut BTreeMap<u8, usize>)) {
        let mut routes: BTreeMap<u8, usize> = self.world.with(|state, _| {
            let live = state
                .routes
                .iter()
                .filter(|(_, route)| route.removed.is_none());
            live.map(|(&number, route)| (number, route.pool)).collect()
        });
        change(&mut routes);
        let route = |(&number, &pool): (&u8, &usize)| {
            let address = self.world.addresses.service(number);
            let shares = json!([{"pool": pool_name(pool), "weight": 1}]);
            let mut route =
                json!({"address": address, "shares": shares, "priority": priority(number)});
            if number == UPLOAD_ROUTE {
                route["kind"] = "upload".into();
            }
            if pool == PRIORITY_POOL {
                route["target_ms"] = PRIORITY_TARGET.as_millis().into();
            }
            route
        };
        let pool = |pool: usize| json!({"name": pool_name(pool), "cold_per_minute": 120, "cold_ms": COLD_TIME.as_millis()});
        let spec = json!({
            "routes": routes.iter().map(route).collect::<Vec<_>>(),
            "pools": (0..POOLS).map(pool).collect::<Vec<_>>(),
        });
        self.put(Kind::Routing, ROUTING, &[], spec.to_string())
            .await;
    }

    /// Takes a failure domain out or puts it back, and returns once the platform has acknowledged
    /// the change.
    pub async fn set_out(&self, domain: usize, is_out: bool) {
        let name = address::domain_name(domain);
        // Balancers may apply the change before it is acknowledged here. So a domain that is put
        // back is unmarked before the write, and one that is taken out is marked after it.
        if !is_out {
            self.world
                .with(|state, _| state.out_domains.remove(&domain));
        }
        let label = if is_out { "out" } else { "in" };
        self.put(Kind::Domain, &name, &[("state", label.into())], "{}".into())
            .await;
        if is_out {
            self.world
                .with(|state, now| state.out_domains.insert(domain, now));
        }
    }

    /// Starts a server at an address and writes its entry. Only servers that exist at the start of
    /// the run are warm. Returns the index of the server.
    pub async fn add_server(&self, address: usize, pool: usize, is_cold: bool) -> usize {
        let server = self.world.with(|state, now| {
            let server = state.servers.len();
            // 56 bits: the 14 hexadecimal digits of the name.
            let identity = hash::pair(address as u64, server as u64) >> 8;
            let name = format!("i-{identity:014x}");
            let mut server_state = Server::new(name, identity, address, pool);
            if is_cold {
                server_state.cold_until = now + COLD_TIME;
                server_state.last_fault = now;
            }
            state.servers.push(server_state);
            state.server_at[address] = Some(server);
            server
        });
        self.write_server(server).await;
        server
    }

    /// Writes a server's entry, and retries until the platform acknowledges it.
    pub async fn write_server(&self, server: usize) {
        let (server_state, now) = self
            .world
            .with(|state, now| (state.servers[server].clone(), now));
        let state = match server_state.status {
            Status::Draining(_) => "drain",
            Status::Healthy | Status::Unresponsive | Status::Stopped => "in",
        };
        let cold = server_state.cold_until.since(now).as_millis();
        let labels = [
            ("domain", address::domain_name(server_state.domain)),
            ("pool", pool_name(server_state.pool)),
            ("state", state.to_owned()),
        ];
        let spec = json!({
            "address": self.world.addresses.server(server_state.address),
            "identity": server_state.identity,
            "cold_ms": cold,
        });
        self.put(Kind::Server, &server_state.name, &labels, spec.to_string())
            .await;
    }

    /// Starts to drain a server. The checker's bound starts at the acknowledgement.
    pub async fn drain_server(&self, server: usize) {
        self.world
            .with(|state, _| state.servers[server].status = Status::Draining(None));
        self.write_server(server).await;
        self.world.with(|state, now| {
            if state.servers[server].status == Status::Draining(None) {
                state.servers[server].status = Status::Draining(Some(now));
            }
        });
    }

    /// Stops a server, frees its address and deletes its entry.
    pub async fn remove_server(&self, server: usize) {
        let name = self.world.with(|state, now| {
            let server_state = &mut state.servers[server];
            server_state.status = Status::Stopped;
            server_state.last_fault = now;
            let (address, name) = (server_state.address, server_state.name.clone());
            if state.server_at[address] == Some(server) {
                state.server_at[address] = None;
            }
            name
        });
        self.delete(Kind::Server, &name).await;
    }
}
