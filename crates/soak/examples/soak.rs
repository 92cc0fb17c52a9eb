//! Runs seeds of the soak test, several at a time, and prints a JSON line for each.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use base::prelude::*;
use bpaf::Bpaf;
use eyre::Result;
use soak::address::Addresses;
use soak::address::SLOTS_MAX;
use soak::process;
use soak::run;
use soak::run::Config;
use soak::run::Report;
use tokio::task::JoinSet;

/// Time that the tasks of a run get to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs seeds of the soak test: balancer processes on loopback, with faults injected from outside.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// First seed [default: 1]
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of seeds [default: 1]
    #[bpaf(argument("COUNT"), fallback(1))]
    seeds: u64,
    /// Most concurrent runs, of 9 processes each [default: 1]
    #[bpaf(argument("COUNT"), guard(|&jobs| (1..=SLOTS_MAX).contains(&jobs), "from 1 to 64"), fallback(1))]
    jobs: u8,
    /// First slot of addresses; runs started apart from each other need different ones [default: 0]
    #[bpaf(argument("SLOT"), guard(|&slot| slot < SLOTS_MAX, "from 0 to 63"), fallback(0))]
    slot: u8,
    /// Time within which faults start, in seconds [default: 15]
    #[bpaf(argument("S"), fallback(15))]
    seconds: u64,
    /// Leave out loads: crowds, slow and full servers, full links
    faults_only: bool,
    /// Add restores of the platform from an older copy
    restores: bool,
    /// Keep the logs of seeds without breaches
    keep_logs: bool,
    /// Path of the balancer's executable [default: wasabid of the same build]
    #[bpaf(argument("FILE"))]
    program: Option<PathBuf>,
    /// Folder for logs; those of seeds without breaches are removed [default: soak among temporary files]
    #[bpaf(argument("DIR"), fallback(std::env::temp_dir().join("soak")))]
    folder: PathBuf,
}

async fn run_seed(options: &Options, seed: u64, slot: u8) -> Result<(Report, u8)> {
    let folder = options.folder.join(seed.to_string());
    let config = Config {
        seed,
        span: Span::secs(options.seconds),
        has_loads: !options.faults_only,
        has_restores: options.restores,
        addresses: Addresses::new(slot),
        program: options
            .program
            .clone()
            .map_or_else(process::default_program, Ok)?,
        folder: folder.clone(),
    };
    let report = run::execute(config).await?;
    if report.breaches.is_empty() && !options.keep_logs {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok((report, slot))
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options = options().run();
    let mut next_seed = options.seed;
    let mut free_slots: Vec<u8> = (options.slot..SLOTS_MAX)
        .take(usize::from(options.jobs))
        .collect();
    let mut runs = JoinSet::new();
    let mut has_breaches = false;
    loop {
        while let (true, Some(slot)) = (next_seed < options.seed + options.seeds, free_slots.pop())
        {
            let (options, seed) = (options.clone(), next_seed);
            // Each run has its own runtime. Shutting it down ends the run's tasks and closes its
            // sockets before the slot is reused.
            runs.spawn_blocking(move || {
                let runtime = tokio::runtime::Runtime::new()?;
                let result = runtime.block_on(run_seed(&options, seed, slot));
                runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
                result
            });
            next_seed += 1;
        }
        let Some(ended) = runs.join_next().await else {
            return Ok(ExitCode::from(u8::from(has_breaches)));
        };
        let (report, slot) = ended??;
        has_breaches |= !report.breaches.is_empty();
        println!("{}", serde_json::to_string(&report)?);
        free_slots.push(slot);
    }
}
