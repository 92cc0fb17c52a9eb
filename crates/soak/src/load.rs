//! Injects the loads of a plan. Unlike a fault, a load excuses no breach of a promise about flows.

use std::time::Duration;

use base::prelude::*;

use crate::address;
use crate::address::DOMAINS;
use crate::fault::Injector;
use crate::operator::POOLS;
use crate::server::Server;

/// Returns whether a load on half of the servers of a failure domain affects an address. Each pool
/// has half of its servers of the domain among them.
fn is_affected(address: usize, domain: usize) -> bool {
    address::domain_of(address) == domain && address / (DOMAINS * POOLS) % 2 == 0
}

impl Injector {
    /// Applies a load to half of the servers of a failure domain, and returns when it is over.
    /// `set_end` sets when the load of a server ends.
    pub(crate) async fn load_servers(
        &self,
        domain: usize,
        duration: Duration,
        set_end: impl Fn(&mut Server, Time),
    ) {
        self.world.with(|state, now| {
            let end = now + Span(duration.as_micros() as u64);
            let addresses = (0..address::SERVERS).filter(|&at| is_affected(at, domain));
            for server in addresses.filter_map(|at| state.server_at[at]) {
                set_end(&mut state.servers[server], end);
            }
        });
        tokio::time::sleep(duration).await;
    }
}
