//! Demand and occupancy of pools, which balancers exchange while servers are short.
//!
//! Rates are in tenths of a request per second. Pools are named by a 32-bit hash of their names.

use serde::Deserialize;
use serde::Serialize;

/// The demand for one pool at the sender. Replaces the sender's earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Hash of the pool's name.
    pub pool_hash: u32,
    /// Rates of first opening packets, by priority. Priorities without any are left out.
    pub offered: Vec<(u8, u16)>,
    /// Rate of requests on flows that are open already.
    pub committed: u16,
    /// Whether the sender estimates that half or more of the slots in its failure domain are taken.
    /// Without it, the sender only answers a frame that named the pool.
    pub is_pressed: bool,
}

/// The demand and the occupancy of one failure domain, from its reporter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainDemand {
    /// Name of the failure domain.
    pub domain: String,
    /// Number of the report, from the reporter's clock, so that it increases when the reporter
    /// changes.
    pub round: u32,
    /// The pools.
    pub pools: Vec<PoolSum>,
}

/// The demand for one pool in a failure domain, and the occupancy of its servers there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSum {
    /// Hash of the pool's name.
    pub pool_hash: u32,
    /// Rates of first opening packets, by priority. Priorities without any are left out.
    pub offered: Vec<(u8, u32)>,
    /// Rate of requests on flows that are open already.
    pub committed: u32,
    /// Number of balancers in the sums.
    pub balancers: u16,
    /// Number of slots of the domain's usable servers.
    pub slots: u32,
    /// Number of these slots that are taken.
    pub running: u32,
    /// Service time, in microseconds.
    pub service_us: u32,
}
