//! Measures the resource usage of an idle balancer by the number of balancers.
//!
//! For each number of balancers, starts a deployment, waits until all balancers have the
//! configuration, and prints traffic, processor time and memory for each balancer, platform calls
//! of all of them, and the time until a change is active on all.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::Result;
use stub::fleet::Fleet;
use stub::fleet::Plan;
use stub::fleet::Usage;

/// Time-out until the configuration is active on all balancers.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before the measurement, so that the traffic of joining is not measured.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Duration of the measurement.
const WINDOW: Duration = Duration::from_secs(20);
/// Time-out until a change is active on all balancers.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of changes that are measured.
const CHANGES: u32 = 3;

/// Measures the resource usage of an idle balancer by the number of balancers.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Number of balancers; may be given several times [default: 9, 27 and 60]
    #[bpaf(argument("N"))]
    balancers: Vec<u32>,
    /// Number of backend servers of the main service
    #[bpaf(argument("N"), fallback(14))]
    servers: u32,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    match run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options) -> Result<()> {
    let sizes = match options.balancers.as_slice() {
        [] => vec![9, 27, 60],
        sizes => sizes.to_vec(),
    };
    println!("balancers servers bytes/s cores MiB platform-calls/s change-ms");
    for balancers in sizes {
        measure(balancers, options.servers).await?;
    }
    Ok(())
}

async fn measure(balancers: u32, servers: u32) -> Result<()> {
    let mut plan = Plan::zawadzki();
    plan.balancers = balancers;
    if let Some(service) = plan.services.first_mut() {
        service.servers = servers;
    }
    let total: u32 = plan.services.iter().map(|service| service.servers).sum();
    let fleet = Fleet::start(plan, None).await?;
    fleet.create_objects().await?;
    fleet.wait_until_ready(READY_TIMEOUT).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = fleet.usage().await?;
    tokio::time::sleep(WINDOW).await;
    let after = fleet.usage().await?;
    let mut slowest = Duration::ZERO;
    for n in 0..CHANGES {
        let object = fleet
            .set_label("Server", "rounds-01", "round", &n.to_string())
            .await?;
        slowest = slowest.max(
            fleet
                .wait_for_revision(object.version, CHANGE_TIMEOUT)
                .await?,
        );
    }
    let count = after.len() as f64;
    let secs = WINDOW.as_secs_f64();
    let rate = |field: fn(&Usage) -> u64| {
        let sum = |usages: &[Usage]| usages.iter().map(field).sum::<u64>() as f64;
        (sum(&after) - sum(&before)) / secs
    };
    let memory: u64 = after.iter().map(|usage| usage.memory_kib).sum();
    println!(
        "{balancers:9} {total:7} {:7.0} {:5.4} {:3.1} {:16.2} {:9.0}",
        rate(|usage| usage.sent) / count,
        rate(|usage| usage.processor_ms) / count / 1_000.0,
        memory as f64 / count / 1_024.0,
        rate(|usage| usage.platform_calls),
        slowest.as_secs_f64() * 1_000.0,
    );
    fleet.stop().await?;
    Ok(())
}
