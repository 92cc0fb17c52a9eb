//! The fabric: probes the balancers and selects one for each packet of a caller, preferably in the
//! caller's failure domain.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use base::hash;
use hyper::Method;
use hyper::StatusCode;
use stub::http;

use crate::address;
use crate::address::BALANCERS;
use crate::address::DOMAINS;
use crate::world::State;
use crate::world::World;

/// Time between two probes of a balancer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of consecutive failed probes after which a balancer is taken out of rotation.
const FAILED_PROBES_MAX: u32 = 2;

/// Probes a balancer until the run ends.
pub async fn probe_balancer(world: World, balancer: usize) {
    let at = SocketAddr::V4(world.addresses.admin(balancer));
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    loop {
        ticks.tick().await;
        let call = http::call(Method::GET, at, "/ready", "");
        let answer = tokio::time::timeout(PROBE_TIMEOUT, call).await;
        let is_ready = matches!(answer, Ok(Ok((StatusCode::OK, _))));
        world.with(|state, _| {
            let balancer_state = &mut state.balancers[balancer];
            balancer_state.failed_probes = if is_ready {
                0
            } else {
                balancer_state.failed_probes + 1
            };
            balancer_state.in_rotation = is_ready
                || balancer_state.in_rotation && balancer_state.failed_probes < FAILED_PROBES_MAX;
        });
    }
}

/// Selects the balancer for a caller's packet, by rendezvous hashing of the caller's address.
///
/// The candidates are the balancers in rotation of the caller's failure domain. If there are none,
/// those of all failure domains are used. If fewer than half of the balancers of the caller's
/// failure domain are in rotation, or none in any failure domain, all balancers of the caller's
/// failure domain are used.
pub fn select_balancer(state: &State, domain: usize, caller: SocketAddrV4) -> usize {
    let in_domain = |domain: usize| {
        (0..BALANCERS).filter(move |&balancer| address::domain_of(balancer) == domain)
    };
    let in_rotation = |domain| -> Vec<usize> {
        let in_rotation =
            in_domain(domain).filter(|&balancer| state.balancers[balancer].in_rotation);
        in_rotation.collect()
    };
    let mut candidates = in_rotation(domain);
    if candidates.is_empty() {
        candidates = (0..DOMAINS).flat_map(in_rotation).collect();
    } else if candidates.len() * 2 < in_domain(domain).count() {
        candidates = in_domain(domain).collect();
    }
    if candidates.is_empty() {
        candidates = in_domain(domain).collect();
    }
    let key = u64::from(caller.ip().to_bits()) << 16 | u64::from(caller.port());
    let best = candidates
        .into_iter()
        .max_by_key(|&balancer| hash::pair(key, balancer as u64));
    best.expect("each failure domain has balancers")
}
