//! `wasabictl`, the operators' command-line client of the platform and the balancers.
//!
//! - `args`: parsing of the command line, and help texts.
//! - `command`: the commands, one module each.
//! - `snapshot`: all objects at one revision, and validation of changes against them.
//! - `view`: the state of each object (in, drain, out or kept-out), and the reason for it.
//! - `input`: parsing and validation of objects from files.
//! - `output`: results of commands, printed as tables or JSON.
//! - `exit`: exit codes.
//! - `failure`: errors that carry a result code.

pub mod args;
mod command;
pub mod exit;
pub mod failure;
mod input;
pub mod output;
mod snapshot;
mod view;

use crate::args::Args;
use crate::exit::Exit;
use crate::output::Outcome;

/// Runs one command and returns what to print and the exit code.
pub async fn run(args: Args) -> Outcome {
    let format = args.format();
    match command::run(&args).await {
        Ok(output) => Outcome {
            stdout: output.render(format),
            stderr: String::new(),
            exit: output.exit,
        },
        Err(report) => Outcome {
            stdout: String::new(),
            stderr: failure::format_report(&report),
            exit: Exit::from_report(&report),
        },
    }
}
