//! The requests under way at a backend server: this balancer's own and those that its peers report.

use conf::key;

use crate::load::Loads;
use crate::table::row::Row;

/// Returns the number of requests under way at a server, as far as this balancer knows, but no more
/// than `max`.
pub fn requests(row: &Row, loads: &Loads, server: key::Server, max: u32) -> u32 {
    let known = row.requests.saturating_add(loads.requests(server));
    known.min(max)
}
