//! A run: sets up all parts, injects the faults of the seed, lets the system recover, and reports.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use eyre::eyre;
use eyre::Result;
use serde::Serialize;
use stub::platform::Platform;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::address;
use crate::address::Addresses;
use crate::address::BALANCERS;
use crate::address::DOMAINS;
use crate::caller::request;
use crate::caller::request::Pattern;
use crate::caller::Endpoint;
use crate::checker::Breach;
use crate::checker::Promise;
use crate::fabric;
use crate::fault::Injector;
use crate::operator::Operator;
use crate::plan;
use crate::process::Processes;
use crate::relay;
use crate::server;
use crate::world::Outcome;
use crate::world::World;

/// Number of callers in each failure domain.
const CALLERS_PER_DOMAIN: u64 = 12;
/// Number of callers in each failure domain that a crowd adds, for 3.5 times as many in all.
const CROWD_PER_DOMAIN: u64 = CALLERS_PER_DOMAIN * 5 / 2;
/// One of this many callers uses long flows, which stay open for many requests.
const LONG_FLOW_EVERY: u64 = 3;
/// Least share of requests that is served after the recovery time, in percent.
pub const SERVED_MIN_PERCENT: usize = 95;
/// Time after the last fault before requests count for that share.
const RECOVERY_TIME: Span = Span::secs(6);
/// Longest time until all balancers are in rotation at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Seed of the fault plan and of all random choices.
    pub seed: u64,
    /// Time within which faults start.
    pub span: Span,
    /// Whether the loads of the seed are added to its faults.
    pub has_loads: bool,
    /// Whether the restores of the seed are added to its faults.
    pub has_restores: bool,
    /// The addresses to use; concurrent runs need different ones.
    pub addresses: Addresses,
    /// Path of the balancer's executable.
    pub program: PathBuf,
    /// Folder for logs and settings files.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: Vec<String>,
    /// Requests that ended, in any way.
    pub requests: usize,
    /// Requests that were answered.
    pub served: usize,
    /// Requests whose attempts were all refused, or that could not be retried.
    pub refused: usize,
    /// Requests that missed their deadline.
    pub late: usize,
    /// Requests sent after the recovery time, and how many of them were answered.
    pub calm: (usize, usize),
    /// Largest peak memory of the balancer processes that ran at the end, in KiB.
    pub memory: u64,
    /// Number of lines that the balancers logged.
    pub lines: u64,
    /// Longest time from an opening packet to its refusal by a settled balancer, in milliseconds.
    pub refusal_ms: Option<u64>,
    /// What callers met during loads.
    pub loads: Vec<String>,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
}

/// Runs a seed.
///
/// # Errors
///
/// Fails if the run cannot be set up, a fault cannot be injected, or a log cannot be read.
pub async fn execute(config: Config) -> Result<Report> {
    let world = World::new(config.addresses, config.seed);
    world.with(|state, _| state.has_loads = config.has_loads);
    let injector = set_up(&world, &config).await?;
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    let mut faults = plan::draw(config.seed, config.span);
    if config.has_loads {
        faults.extend(plan::draw_loads(config.seed, config.span));
    }
    if config.has_restores {
        faults.extend(plan::draw_restores(config.seed, config.span));
    }
    for (number, &fault) in (0..).zip(&faults) {
        let injector = injector.clone();
        let at = start + Duration::from_micros(fault.at.0);
        tasks.spawn(async move {
            tokio::time::sleep_until(at).await;
            injector.inject(number, fault).await;
        });
    }
    while !tasks.is_empty() {
        tokio::select! {
            ended = tasks.join_next() => if let Some(Err(error)) = ended {
                return Err(eyre!("fault injection panicked or was cancelled: {error}"));
            },
            () = tokio::time::sleep(Duration::from_millis(200)) => injector.processes.check_exits().await,
        }
    }
    let faults_end = world.now();
    tokio::time::sleep(Duration::from_micros(plan::COOL_DOWN.0)).await;
    injector.processes.check_exits().await;
    let calm = check_recovery(&world, faults_end + RECOVERY_TIME);
    let memory = injector.processes.peak_memory().await;
    let mut stops = JoinSet::new();
    for balancer in 0..BALANCERS {
        let injector = injector.clone();
        stops.spawn(async move { injector.processes.stop(balancer, || false).await });
    }
    stops.join_all().await;
    let lines = injector.processes.check_logs()?;
    let faults = faults.iter().map(plan::Fault::to_string).collect();
    Ok(world.with(|state, _| {
        let count = |wanted| {
            state
                .completed
                .iter()
                .filter(|request| request.outcome == wanted)
                .count()
        };
        Report {
            seed: config.seed,
            faults,
            requests: state.completed.len(),
            served: count(Outcome::Served),
            refused: count(Outcome::Refused),
            late: count(Outcome::TimedOut),
            calm,
            memory,
            lines,
            refusal_ms: state.slowest_refusal.map(Span::as_millis),
            loads: state.load_results.clone(),
            breaches: state.breaches.clone(),
        }
    }))
}

async fn set_up(world: &World, config: &Config) -> Result<Arc<Injector>> {
    let api = std::net::SocketAddr::V4(config.addresses.platform());
    let control = std::net::SocketAddr::new(api.ip(), 0);
    let platform = Platform::start(api, control).await?;
    relay::spawn_frames(world.clone()).await?;
    for balancer in 0..BALANCERS {
        relay::spawn_calls(world.clone(), balancer).await?;
    }
    for address in 0..address::SERVERS {
        server::serve(world.clone(), address).await?;
    }
    let processes = Processes::new(world.clone(), config.program.clone(), config.folder.clone())?;
    let injector = Arc::new(Injector {
        world: world.clone(),
        processes,
        operator: Operator::new(world.clone())?,
        platform,
        restores: Mutex::new(()),
    });
    injector.create_objects().await;
    for balancer in 0..BALANCERS {
        injector.processes.start(balancer).await?;
        tokio::spawn(fabric::probe_balancer(world.clone(), balancer));
    }
    let deadline = Instant::now() + START_TIMEOUT;
    while !world.with(|state, _| state.balancers.iter().all(|balancer| balancer.in_rotation)) {
        if Instant::now() > deadline {
            return Err(eyre!(
                "not all balancers were in rotation within {START_TIMEOUT:?}"
            ));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for domain in 0..DOMAINS {
        let endpoint = Endpoint::bind(world.clone(), domain).await?;
        let callers = CALLERS_PER_DOMAIN + CROWD_PER_DOMAIN;
        for number in 0..callers {
            let id = domain as u64 * callers + number;
            let pattern = match number {
                CALLERS_PER_DOMAIN.. => Pattern::Crowd,
                _ if number % LONG_FLOW_EVERY == 0 => Pattern::Long,
                _ => Pattern::Short,
            };
            tokio::spawn(request::run(endpoint.clone(), id, pattern));
        }
        tokio::spawn(request::probe_routes(endpoint));
    }
    Ok(injector)
}

/// Checks the share of requests served after the recovery time. Returns how many requests were sent
/// since then and how many of them were served.
fn check_recovery(world: &World, since: Time) -> (usize, usize) {
    world.with(|state, now| {
        let sent: Vec<_> = state
            .completed
            .iter()
            .filter(|request| request.sent >= since)
            .collect();
        let served = sent
            .iter()
            .filter(|request| request.outcome == Outcome::Served)
            .count();
        let sent = sent.len();
        if sent == 0 || served * 100 < sent * SERVED_MIN_PERCENT {
            let what = format!("{served} of {sent} requests served after recovery");
            state.record_breach(now, Promise::Service, what);
        }
        (sent, served)
    })
}
