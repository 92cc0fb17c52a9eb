//! Runs both deployments at their current sizes through planned and unplanned changes, under
//! open-loop load, and reports the results of callers and backend servers.
//!
//! Every run starts separate processes on loopback and stops them. Datagrams of callers are delayed
//! and lost as the options specify. Datagrams between balancers are not: on loopback, no other
//! process can delay what a balancer sends to its peers.
//!
//! - `scenario`: the actions of each run.
//! - `outcome`: the measurements of one run.
//! - `goodput`: goodput relative to a steady run.
//! - `figure`: the result table.

mod figure;
mod goodput;
mod outcome;
mod scenario;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::eyre;
use eyre::Result;
use stub::fabric::Link;
use stub::fleet::plan::Balancer;
use stub::fleet::Plan;

use outcome::Outcome;
use scenario::Load;
use scenario::Scenario;

/// Runs both deployments through changes and failures, as separate processes on loopback.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Scenario: steady, rolling, killed, domain, cold, outage or pause; may be given several
    /// times [default: all]
    #[bpaf(argument("NAME"))]
    scenario: Vec<Scenario>,
    /// Deployment, zawadzki or lakeshore [default: both]
    #[bpaf(argument("NAME"))]
    deployment: Option<String>,
    /// Seeds of each scenario, counted from 1
    #[bpaf(argument("N"), fallback(3))]
    seeds: u64,
    /// Load as a share of all slots
    #[bpaf(argument("SHARE"), fallback(0.5))]
    load: f64,
    /// Mean service time of a request on a backend server, in milliseconds
    #[bpaf(argument("MS"), fallback(50))]
    time_ms: u64,
    /// Pause between two replacements of balancers, in milliseconds
    #[bpaf(argument("MS"), fallback(2_000))]
    between_ms: u64,
    /// Grace period in which a backend server that turns cold under load does not crash, in
    /// milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    cold_grace_ms: u64,
    /// One-way delay of a caller's datagram, in microseconds
    #[bpaf(argument("US"), fallback(3_000))]
    delay_us: u64,
    /// Maximum jitter of a caller's datagram, in microseconds
    #[bpaf(argument("US"), fallback(1_000))]
    jitter_us: u64,
    /// Probability that a caller's datagram is lost, each way
    #[bpaf(argument("P"), fallback(0.001))]
    drop: f64,
    /// Use the plain balancer, as a baseline for comparison
    plain: bool,
    /// Bodies of POST are never large, because the plain balancer does not support them
    small_posts: bool,
    /// Folder for the standard error of every process
    #[bpaf(argument("DIR"))]
    logs: Option<PathBuf>,
    /// Additional flag of every balancer; may be given several times
    #[bpaf(argument("FLAG"))]
    flag: Vec<String>,
}

impl Options {
    fn plan(&self, plan: Plan, seed: u64) -> Plan {
        let link = Link {
            drop: self.drop,
            delay_us: self.delay_us,
            jitter_us: self.jitter_us,
            ..Link::default()
        };
        Plan {
            flags: self.flag.clone(),
            cold_grace_ms: self.cold_grace_ms,
            balancer: match self.plain {
                true => Balancer::Plain,
                false => Balancer::Wasabid,
            },
            ..plan
                .with_seed(seed)
                .with_link(link)
                .with_service_time_us(self.time_ms * 1_000)
        }
    }

    fn scenarios(&self) -> Vec<Scenario> {
        match self.scenario.is_empty() {
            true => Scenario::all(),
            false => self.scenario.clone(),
        }
    }

    fn plans(&self) -> Result<Vec<Plan>> {
        let plans = [Plan::zawadzki(), Plan::lakeshore()];
        let wanted = |plan: &Plan| self.deployment.as_ref().is_none_or(|d| *d == plan.name);
        let plans: Vec<Plan> = plans.into_iter().filter(wanted).collect();
        match plans.is_empty() {
            true => Err(eyre!("no such deployment")),
            false => Ok(plans),
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let done = tokio::select! {
        done = run(&options) => done,
        signal = stub::process::wait_for_termination() => signal.and(Err(eyre!("stopped"))),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs every scenario for every deployment and seed, one after another, so that runs do not
/// compete for processors.
async fn run(options: &Options) -> Result<()> {
    let mut outcomes: Vec<Outcome> = Vec::new();
    let mut failed = 0;
    let load = Load {
        share: options.load,
        large_posts: !options.small_posts,
        between: Duration::from_millis(options.between_ms),
    };
    for scenario in options.scenarios() {
        for plan in options.plans()? {
            for seed in 1..=options.seeds {
                let plan = options.plan(plan.clone(), seed);
                match scenario.run(plan, &load, options.logs.clone()).await {
                    Ok(outcome) => {
                        println!("{}", serde_json::to_string(&outcome)?);
                        outcomes.push(outcome);
                    }
                    Err(report) => {
                        eprintln!("{scenario} seed {seed}: not measured: {report:#}");
                        failed += 1;
                    }
                }
            }
        }
    }
    goodput::compare(&mut outcomes);
    println!("\n{}", figure::table(&outcomes));
    match failed {
        0 => Ok(()),
        n => Err(eyre!("{n} runs gave no figures")),
    }
}
