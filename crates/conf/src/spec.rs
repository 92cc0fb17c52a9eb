//! The JSON fields of each kind. The validated types are in `object`.

use std::net::IpAddr;
use std::net::SocketAddr;

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Fields of a `Service`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Service {
    pub(crate) address: IpAddr,
    pub(crate) selector: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) deadline_ms: Option<u32>,
}

/// Fields of a `Server`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) slots: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) connections: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) identity: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) cold_ms: Option<u32>,
}

/// Fields of a `Domain`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Domain {}

/// Fields of a `Report`. Unknown fields are ignored, since balancers of different releases write
/// reports.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Report {
    #[serde(default)]
    pub(crate) balancers: Vec<Balancer>,
}

/// One balancer in a `Report`.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Balancer {
    pub(crate) name: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) admin: SocketAddr,
    pub(crate) revision: u64,
    #[serde(default)]
    pub(crate) faults: Vec<Fault>,
}

/// One fault in a `Report`; `code` is the number of a result code.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Fault {
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) code: u16,
}

/// Fields of a `Routing`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Routing {
    pub(crate) routes: Vec<Route>,
    pub(crate) pools: Vec<Pool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) idle_ms: Option<u32>,
}

/// One route in a `Routing`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Route {
    pub(crate) address: SocketAddr,
    pub(crate) shares: Vec<Share>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) priority: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) timeout_ms: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) target_ms: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) kind: Option<String>,
}

/// The weight of one pool in a `Route`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Share {
    pub(crate) pool: String,
    pub(crate) weight: u32,
}

/// One pool in a `Routing`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Pool {
    pub(crate) name: String,
    pub(crate) cold_per_minute: u32,
    pub(crate) cold_ms: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) check_path: Option<String>,
}
