//! Tests of the health of servers under overload, and of what the store and checks say of servers
//! that are alive.

use base::prelude::*;

use crate::sim::Outcome;
use crate::sim::Simulation;
use crate::sim::Status;

/// Pattern: a server loses its path to the store, which removes its entry, and shortly later the
/// other server of its pool stops answering. No balancer is disturbed.
#[test]
fn a_removed_server_gets_no_new_flows() {
    for seed in 40..44 {
        let mut sim = Simulation::new(seed, 3, 9, 2).with_rate(20.0);
        sim.run_for(Span::secs(6));
        sim.remove_entry(0);
        sim.run_for(Span::millis(2_300));
        sim.servers[1].status = Status::Unresponsive;
        sim.run_for(Span::secs(6));
        sim.assert_no_violations();
        // It serves again once its entry is back.
        sim.write_server(0);
        sim.run_for(Span::secs(1));
        let from = sim.now;
        sim.run_for(Span::secs(3));
        let served = sim.count_requests(from, |request| {
            matches!(request.outcome, Outcome::Served(_))
        });
        assert!(served > 50, "{served} served after the entry is back");
    }
}
