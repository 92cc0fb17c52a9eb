//! Tests of the start of many balancers: calls to the store, and the time until all can serve.

use std::collections::BTreeMap;

use base::prelude::*;
use forward::prelude::*;

use crate::sim::Simulation;

/// What a start took.
#[derive(Debug)]
struct Cost {
    /// When all balancers could serve, after the first one started.
    served_after: Option<Span>,
    /// The calls to the store by kind of object and call.
    calls: BTreeMap<(&'static str, &'static str), usize>,
    /// The bytes that the busiest balancer sent to peers.
    bytes_max: usize,
    /// The number of snapshots that were sent.
    snapshots: usize,
    /// The bytes of the last snapshot.
    snapshot_bytes: usize,
}

impl Cost {
    fn total_calls(&self) -> usize {
        self.calls.values().sum()
    }
}

fn count_calls(sim: &Simulation) -> BTreeMap<(&'static str, &'static str), usize> {
    let mut calls = BTreeMap::new();
    for read in &sim.store.reads {
        *calls.entry((read.kind.name(), read.call())).or_default() += 1;
    }
    calls
}

/// Runs a deployment whose balancers start within 0.3 s of each other.
fn start_all(sim: &mut Simulation, span: Span) -> Cost {
    sim.links.get_or_insert_default().sent.clear();
    sim.store.reads.clear();
    let from = sim.now;
    let mut served_after = None;
    let mut done = BTreeMap::new();
    while sim.now.since(from) < span {
        sim.run_for(Span::millis(25));
        let at = sim.now.since(from).as_millis();
        for (index, state) in sim.balancers.iter().enumerate() {
            if state.reducer.as_ref().is_some_and(Forwarder::can_serve) {
                done.entry(index).or_insert(at);
            }
        }
        let mut reducers = sim.balancers.iter().map(|state| state.reducer.as_ref());
        let can_all_serve = reducers.all(|reducer| reducer.is_some_and(Forwarder::can_serve));
        if can_all_serve && served_after.is_none() {
            served_after = Some(sim.now.since(from));
        }
    }
    let mut times: Vec<u64> = done.into_values().collect();
    times.sort_unstable();
    let part = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!("can serve: {:?} ms", [1, 10, 50, 90, 95, 99].map(part));
    let rejected = sim
        .balancers
        .iter()
        .filter_map(|state| state.reducer.as_ref());
    let rejected = rejected.map(|reducer| {
        reducer
            .counts()
            .get(forward::count::Kind::SnapshotsRejected)
    });
    println!("rejected: {}", rejected.sum::<u64>());
    let links = sim.links.as_ref().expect("the links are simulated");
    Cost {
        served_after,
        calls: count_calls(sim),
        bytes_max: links.sent.values().copied().max().unwrap_or_default(),
        snapshots: links.snapshots,
        snapshot_bytes: links.snapshot_bytes,
    }
}

/// Trial: prints what the joint start of balancers in front of 3,000 servers costs.
macro_rules! print_start {
    ($($name:ident: $balancers:expr, $domains:expr, $seed:expr;)*) => {$(
        #[test]
        #[ignore = "a trial that prints figures"]
        fn $name() {
            let mut sim = Simulation::new($seed, $domains, $balancers, 3_000);
            let cost = start_all(&mut sim, Span::secs(4));
            println!("{cost:?}, {} calls", cost.total_calls());
        }
    )*};
}

print_start! {
    trial_start_of_195: 195, 5, 1;
    trial_start_of_302: 302, 8, 1;
    trial_start_of_302_again: 302, 8, 2;
}

/// Trial: prints what a quiet minute costs.
#[test]
#[ignore = "a trial that prints figures"]
fn trial_quiet_minute_of_195() {
    let mut sim = Simulation::new(1, 5, 195, 100);
    sim.run_for(Span::secs(8));
    sim.store.reads.clear();
    sim.run_for(Span::secs(60));
    println!("{:?}", count_calls(&sim));
    let mut readers = BTreeMap::new();
    for read in &sim.store.reads {
        *readers.entry(read.balancer).or_insert(0) += 1;
    }
    println!("by balancer: {readers:?}");
}
