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

/// Pattern: the servers of a domain end together and start again under their names, cold, while the
/// store does not answer, so that only their silence indicates the restart.
#[test]
fn a_domain_that_restarts_together_is_cold() {
    for seed in 50..54 {
        let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(120.0);
        sim.run_for(Span::secs(6));
        sim.store.down_until = sim.now + Span::secs(8);
        sim.run_for(Span::millis(200));
        for server in (0..18).step_by(3) {
            sim.crash_server(server);
        }
        sim.run_for(Span::secs(6));
        sim.assert_no_violations();
    }
}

/// Pattern: a domain is cut off for 4 s, so that all of its servers fall silent for the others, and
/// theirs for it. None has restarted, and their capacity is needed as soon as the cut ends.
#[test]
fn a_domain_that_was_cut_off_is_not_cold() {
    for seed in 54..58 {
        let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(120.0);
        sim.run_for(Span::secs(6));
        sim.partitioned.insert(0);
        sim.run_for(Span::secs(4));
        sim.partitioned.clear();
        for _ in 0..30 {
            sim.run_for(Span::millis(100));
            for balancer in 0..9 {
                let table = sim.reducer(balancer).table();
                let mut rows = table.servers();
                let cold = rows.find(|&(key, _)| table.is_cold(key, sim.now));
                assert!(cold.is_none(), "b{balancer} takes {cold:?} for restarted");
            }
        }
    }
}
