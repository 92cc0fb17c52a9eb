//! Plays seeds of the soak, a few at a time, and prints a JSON line for each.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use base::prelude::*;
use bpaf::construct;
use bpaf::long;
use bpaf::Parser;
use eyre::Result;
use soak::place::Place;
use soak::place::SLOTS;
use soak::process;
use soak::run;
use soak::run::Report;
use soak::run::Setting;
use tokio::task::JoinSet;

/// Time in which the tasks of a run end.
const SHUTDOWN: Duration = Duration::from_secs(5);

/// What is played.
#[derive(Clone, Debug)]
struct Args {
    seed: u64,
    seeds: u64,
    jobs: u8,
    seconds: u64,
    program: Option<PathBuf>,
    folder: PathBuf,
}

fn args() -> Args {
    let seed = long("seed")
        .help("first seed [default: 1]")
        .argument("N")
        .fallback(1);
    let seeds = long("seeds")
        .help("number of seeds [default: 1]")
        .argument("COUNT")
        .fallback(1);
    let jobs = long("jobs")
        .help("runs at a time, 9 processes each [default: 1]")
        .argument::<u8>("COUNT")
        .guard(|&jobs| jobs > 0 && jobs <= SLOTS, "from 1 to 64")
        .fallback(1);
    let seconds = long("seconds")
        .help("time in which faults begin [default: 15]")
        .argument("S")
        .fallback(15);
    let program = long("program")
        .help("the balancer's program [default: wasabid beside this one]")
        .argument("FILE")
        .optional();
    let folder = long("folder")
        .help("where logs go; those of seeds that break nothing are removed [default: soak in the folder for temporary files]")
        .argument("DIR")
        .fallback(std::env::temp_dir().join("soak"));
    construct!(Args {
        seed,
        seeds,
        jobs,
        seconds,
        program,
        folder
    })
    .to_options()
    .descr("Plays seeds of the soak: balancer processes on loopback, with faults from outside.")
    .run()
}

async fn play(args: &Args, seed: u64, slot: u8) -> Result<(Report, u8)> {
    let folder = args.folder.join(seed.to_string());
    let setting = Setting {
        seed,
        span: Span::secs(args.seconds),
        place: Place::new(slot),
        program: args.program.clone().map_or_else(process::program, Ok)?,
        folder: folder.clone(),
    };
    let report = run::play(setting).await?;
    if report.breaches.is_empty() {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok((report, slot))
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let args = args();
    let mut next = args.seed;
    let mut free: Vec<u8> = (0..args.jobs).collect();
    let mut runs = JoinSet::new();
    let mut broken = 0;
    loop {
        while let (true, Some(slot)) = (next < args.seed + args.seeds, free.pop()) {
            let (args, seed) = (args.clone(), next);
            // Tasks of a run end with its own runtime.
            runs.spawn_blocking(move || {
                let runtime = tokio::runtime::Builder::new_multi_thread()
                    .worker_threads(2)
                    .enable_all()
                    .build()?;
                let result = runtime.block_on(play(&args, seed, slot));
                // Its sockets are closed before the slot is used again.
                runtime.shutdown_timeout(SHUTDOWN);
                result
            });
            next += 1;
        }
        let Some(ended) = runs.join_next().await else {
            break;
        };
        let (report, slot) = ended??;
        broken += usize::from(!report.breaches.is_empty());
        println!("{}", serde_json::to_string(&report)?);
        free.push(slot);
    }
    Ok(match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}
