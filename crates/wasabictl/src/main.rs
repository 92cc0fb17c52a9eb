//! Runs one command of `wasabictl` and exits with its exit code.

use std::io::Write;
use std::process::ExitCode;

use wasabictl::args;
use wasabictl::exit::Exit;
use wasabictl::output::Outcome;

fn main() -> ExitCode {
    let args = match args::parse(std::env::args_os().skip(1)) {
        Ok(args) => args,
        Err(outcome) => return print_outcome(&outcome),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => print_outcome(&runtime.block_on(wasabictl::run(args))),
        Err(error) => print_outcome(&Outcome {
            stdout: String::new(),
            stderr: format!("cannot start the asynchronous runtime: {error}\n"),
            exit: Exit::Failed,
        }),
    }
}

/// Prints the outcome and returns its exit code. Write errors are ignored, since the reader of a
/// pipe may close it early.
fn print_outcome(outcome: &Outcome) -> ExitCode {
    let _ = std::io::stdout().write_all(outcome.stdout.as_bytes());
    let _ = std::io::stderr().write_all(outcome.stderr.as_bytes());
    ExitCode::from(outcome.exit.number())
}
