//! Tests of the service times of servers without callers.

use base::prelude::*;
use forward::speed::Speeds;
use forward::speed::SERVICE_TIME_MIN;

use crate::sim::Simulation;

/// Load: requests that take some microseconds without the latency of links, by which their times differ
/// many times over. No server may count as slow by that.
#[test]
fn times_below_the_latency_of_links_make_no_server_slow() {
    let mut sim = Simulation::new(5, 1, 1, 24);
    sim.run_for(Span::secs(2));
    let table = sim.reducer(0).table();
    let pool = table.servers().find_map(|(_, row)| row.pool);
    let pool = pool.expect("the servers have a pool");
    let mut speeds = Speeds::default();
    let mut now = sim.now;
    for round in 0..50u64 {
        for (index, (server, _)) in table.servers().enumerate() {
            let took = Span(1 + (round + index as u64) % 12 * 300);
            speeds.record(now, server, pool, took, 0, 2);
        }
        now += Span::millis(250);
        let review = speeds.review(now, table).expect("due");
        assert!(review.changes.is_empty() && review.report.is_empty());
    }
    let time = speeds.pool_service_time(now, pool).expect("known");
    // The logarithms have steps of 0.4%.
    assert!(
        time.0.abs_diff(SERVICE_TIME_MIN.0) < SERVICE_TIME_MIN.0 / 100,
        "{time}"
    );
}
