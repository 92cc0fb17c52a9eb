//! The `Routing` object: routes of packet flows and the pools that they lead to.

use std::net::SocketAddr;

use base::prelude::*;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::spec;

/// Path of the health check of a pool that sets none.
pub const DEFAULT_CHECK_PATH: &str = "/health";
/// Idle time-out of flows, in milliseconds, of a routing that sets none.
pub const DEFAULT_IDLE_MS: u32 = 15_000;
/// Deadline of requests on a route that sets none, in milliseconds. Most routes of the deployments
/// seen so far have this value.
pub const DEFAULT_TIMEOUT_MS: u32 = 2_000;
/// Target latency of requests on a route that sets none, in milliseconds. Most routes of the
/// deployments seen so far have this value or a shorter one.
pub const DEFAULT_TARGET_MS: u32 = 300;

/// Kind of the requests on a route, which decides when callers may repeat one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Traffic {
    /// A request may run several times.
    Idempotent,
    /// A request must run at most once. The default, since it permits the least.
    #[default]
    NonIdempotent,
    /// Requests with large bodies.
    Upload,
    /// Responses with large bodies.
    Download,
}

/// Routing of packet flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routing {
    /// Every route.
    pub routes: Vec<Route>,
    /// The pools that routes lead to.
    pub pools: Vec<Pool>,
    /// Time after which the state of an idle flow may be evicted.
    pub idle: Span,
}

/// A service address of packet flows, and the pools that its new flows are distributed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Address and port that callers send to.
    pub address: SocketAddr,
    /// Pools and their weights.
    pub shares: Vec<Share>,
    /// Urgency of its requests. 0 is the most urgent.
    pub priority: u8,
    /// Time after which callers no longer wait for a response.
    pub timeout: Span,
    /// Time within which callers want a response.
    pub target: Span,
    /// Kind of its requests.
    pub kind: Traffic,
}

impl Route {
    /// Returns a route with defaults for the rest.
    pub fn new(address: impl Into<SocketAddr>, shares: Vec<Share>) -> Route {
        Route {
            address: address.into(),
            shares,
            priority: 0,
            timeout: Span::millis(DEFAULT_TIMEOUT_MS.into()),
            target: Span::millis(DEFAULT_TARGET_MS.into()),
            kind: Traffic::default(),
        }
    }

    /// Sets the urgency of its requests.
    pub fn with_priority(mut self, priority: u8) -> Route {
        self.priority = priority;
        self
    }

    /// Sets the time within which callers want a response.
    pub fn with_target(mut self, target: Span) -> Route {
        self.target = target;
        self
    }
}

impl Traffic {
    /// Returns the name of the kind.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// The weight of a pool among the new flows of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the pool.
    pub pool: String,
    /// Weight, relative to the other weights of the route.
    pub weight: u32,
}

/// A group of backend servers that serve the same flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Name, which is the value of the label `POOL_LABEL` of its servers.
    pub name: String,
    /// New flows per minute that one server of the pool can take while it is cold.
    pub cold_per_minute: u32,
    /// Time for which a server is cold after its start.
    pub cold: Span,
    /// Path of the health check of its servers.
    pub check_path: String,
}

impl From<spec::Routing> for Routing {
    fn from(spec: spec::Routing) -> Routing {
        let share = |share: spec::Share| Share {
            pool: share.pool,
            weight: share.weight,
        };
        let route = |route: spec::Route| Route {
            address: route.address,
            shares: route.shares.into_iter().map(share).collect(),
            priority: route.priority.unwrap_or_default(),
            timeout: Span::millis(route.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS).into()),
            target: Span::millis(route.target_ms.unwrap_or(DEFAULT_TARGET_MS).into()),
            // A balancer of a later release can send a kind that this one does not have.
            kind: route
                .kind
                .and_then(|name| name.parse().ok())
                .unwrap_or_default(),
        };
        let pool = |pool: spec::Pool| Pool {
            name: pool.name,
            cold_per_minute: pool.cold_per_minute,
            cold: Span::millis(pool.cold_ms.into()),
            check_path: pool.check_path.unwrap_or_else(|| DEFAULT_CHECK_PATH.into()),
        };
        Routing {
            routes: spec.routes.into_iter().map(route).collect(),
            pools: spec.pools.into_iter().map(pool).collect(),
            idle: Span::millis(spec.idle_ms.unwrap_or(DEFAULT_IDLE_MS).into()),
        }
    }
}

impl From<&Routing> for spec::Routing {
    fn from(routing: &Routing) -> spec::Routing {
        let millis = |span: Span| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let share = |share: &Share| spec::Share {
            pool: share.pool.clone(),
            weight: share.weight,
        };
        // Balancers of earlier releases reject routes with these fields, so that defaults are left
        // out.
        let route = |route: &Route| spec::Route {
            address: route.address,
            shares: route.shares.iter().map(share).collect(),
            priority: Some(route.priority).filter(|&priority| priority != 0),
            timeout_ms: Some(millis(route.timeout)).filter(|&ms| ms != DEFAULT_TIMEOUT_MS),
            target_ms: Some(millis(route.target)).filter(|&ms| ms != DEFAULT_TARGET_MS),
            kind: Some(route.kind)
                .filter(|&kind| kind != Traffic::default())
                .map(|kind| kind.name().to_owned()),
        };
        let pool = |pool: &Pool| spec::Pool {
            name: pool.name.clone(),
            cold_per_minute: pool.cold_per_minute,
            cold_ms: millis(pool.cold),
            check_path: Some(pool.check_path.clone()),
        };
        spec::Routing {
            routes: routing.routes.iter().map(route).collect(),
            pools: routing.pools.iter().map(pool).collect(),
            idle_ms: Some(millis(routing.idle)),
        }
    }
}
