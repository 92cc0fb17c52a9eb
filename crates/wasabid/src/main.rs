//! The balancer process.
//!
//! - `flag`: command-line flags and environment variables.
//! - `forward`: the balancer that forwards packets. The one that relays requests is started here.

mod flag;
mod forward;

use std::fmt;
use std::process::ExitCode;

use base::prelude::*;
use eyre::WrapErr;
use node::Node;
use shell::run::Outcome;
use shell::run::Shell;
use shell::setting::Fault;
use shell::setting::Setting;

use crate::flag::Command;

/// Exit code after a failure or a stop that was not graceful.
const FAILURE: u8 = 1;
/// Exit code for invalid settings.
const BAD_SETTING: u8 = 2;
/// Width of the help text in columns.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match flag::parser().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report_parse_failure(failure),
    };
    let outcome = match command {
        Command::Forward(dialect, file, raw) => forward::start(dialect, file, *raw),
        Command::Relay(raw) => run_relay(*raw),
    };
    match outcome {
        Ok(Outcome::Stopped) => ExitCode::SUCCESS,
        Ok(Outcome::Quit) => ExitCode::from(FAILURE),
        Err(report) => match report.downcast::<Faults>() {
            Ok(Faults(faults)) => {
                for fault in faults {
                    eprintln!("{fault}");
                }
                ExitCode::from(BAD_SETTING)
            }
            Err(report) => {
                eprintln!("{report:#}");
                ExitCode::from(FAILURE)
            }
        },
    }
}

/// All faults in the settings, as an error.
#[derive(Debug)]
struct Faults(Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let texts: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&texts.join("; "))
    }
}

impl std::error::Error for Faults {}

fn run_relay(raw: shell::setting::Raw) -> eyre::Result<Outcome> {
    let setting = Setting::new(raw).map_err(Faults)?;
    start_runtime(&setting)
}

fn report_parse_failure(failure: bpaf::ParseFailure) -> ExitCode {
    match failure {
        bpaf::ParseFailure::Stderr(_) => {
            eprintln!("{}: {}", Code::BadSetting, failure.unwrap_stderr());
            ExitCode::from(BAD_SETTING)
        }
        other => {
            other.print_message(HELP_WIDTH);
            ExitCode::SUCCESS
        }
    }
}

fn start_runtime(setting: &Setting) -> eyre::Result<Outcome> {
    shell::log::init(&setting.name, &setting.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(setting.threads)
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    let outcome = runtime.block_on(serve_relay(setting));
    runtime.shutdown_background();
    outcome
}

async fn serve_relay(setting: &Setting) -> eyre::Result<Outcome> {
    let shell = Shell::bind(setting).await?;
    println!("{}", serde_json::to_string(shell.bound())?);
    let client = plat::Client::new(&setting.platform)?;
    let node = Node::new(node_setting(setting, &shell));
    shell.run(node, client).await
}

fn node_setting(setting: &Setting, shell: &Shell) -> node::setting::Setting {
    let bound = shell.bound();
    let (name, domain) = (setting.name.clone(), setting.domain.clone());
    let now = shell.clock().now();
    let (current, previous) = setting.token_keys.token_secrets();
    node::setting::Setting::new(name, domain, bound.peer(), bound.admin, now)
        .with_seeds(setting.seeds.clone())
        .with_token_keys(current, previous)
}
