//! Parsing of the command line. The doc comments of arguments and commands are the help texts.

use std::ffi::OsString;

use base::prelude::*;
use bpaf::Bpaf;
use bpaf::ParseFailure;
use conf::label::Selector;
use conf::object::Kind;
use strum::IntoEnumIterator;

use crate::exit::Exit;
use crate::failure::Failure;
use crate::output::Format;
use crate::output::Outcome;

/// Maximum width of lines in help texts, in columns.
const HELP_WIDTH_COLUMNS: usize = 100;

/// Maximum of `wait --timeout-s`, in seconds.
const TIMEOUT_MAX_S: u64 = 86_400;

/// Manages services, backend servers and failure domains, and changes their state by labels.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// URL of the platform, such as http://127.0.0.1:7000
    #[bpaf(long, env("WASABI_PLATFORM"), argument("URL"))]
    platform: Option<String>,
    /// Output format: table or json [default: table]
    #[bpaf(short, long, argument("FORMAT"))]
    output: Option<Format>,
    #[bpaf(external)]
    command: Command,
}

// The options of `Args`, accepted also after the name of a command, where they take precedence.
// Only `Args` reads the environment, which must not override `--platform` before the command.
/// Global options:
#[derive(Clone, Debug, Default, Bpaf)]
pub(crate) struct GlobalOptions {
    /// URL of the platform, such as http://127.0.0.1:7000
    #[bpaf(long, argument("URL"))]
    platform: Option<String>,
    /// Output format: table or json [default: table]
    #[bpaf(short, long, argument("FORMAT"))]
    output: Option<Format>,
}

/// A kind as written on the command line, in any case, singular or plural.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KindName(pub(crate) Kind);

/// Commands:
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Shows whether objects are in service, draining or out of service, and why
    #[bpaf(command)]
    Get {
        /// Show only objects whose labels match the selector, such as app=rounds,!canary
        #[bpaf(short('l'), long("selector"), argument("SELECTOR"))]
        selector: Option<Selector>,
        #[bpaf(external)]
        global_options: GlobalOptions,
        /// service, server, domain, report or routing [default: the first three]
        #[bpaf(positional("KIND"))]
        kind: Option<KindName>,
        /// Name of the object
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
    /// Sets labels with KEY=VALUE and removes them with KEY-
    #[bpaf(command)]
    Label {
        /// Change all objects whose labels match the selector; NAME is then left out
        #[bpaf(short('l'), long("selector"), argument("SELECTOR"))]
        selector: Option<Selector>,
        #[bpaf(external)]
        global_options: GlobalOptions,
        /// service, server or domain
        #[bpaf(positional("KIND"))]
        kind: KindName,
        /// Name of the object, followed by the label changes
        #[bpaf(
            positional("NAME KEY=VALUE KEY-"),
            some("NAME and label changes are required")
        )]
        arguments: Vec<String>,
    },
    /// Creates and updates objects from a JSON file; labels that the file does not name are kept
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        global_options: GlobalOptions,
        /// JSON file with an object or a list of objects; - for standard input
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Deletes an object
    #[bpaf(command)]
    Delete {
        #[bpaf(external)]
        global_options: GlobalOptions,
        /// service, server, domain, report or routing
        #[bpaf(positional("KIND"))]
        kind: KindName,
        /// Name of the object
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Shows the revision in force on each balancer, and the faults that it reports
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        global_options: GlobalOptions,
    },
    /// Waits until a revision is in force on all balancers
    #[bpaf(command)]
    Wait {
        /// Revision to wait for [default: that of the newest configuration object]
        #[bpaf(long, argument("REVISION"))]
        revision: Option<u64>,
        /// Time-out in seconds, after which the exit code is 3
        #[bpaf(
            long,
            argument("SECONDS"),
            guard(is_valid_timeout, "must be at most 86400"),
            fallback(30),
            display_fallback
        )]
        timeout_s: u64,
        #[bpaf(external)]
        global_options: GlobalOptions,
    },
    /// Shows the internal state of a balancer, read from its admin address
    #[bpaf(command)]
    Dump {
        #[bpaf(external)]
        global_options: GlobalOptions,
        /// Name of the balancer, as status shows it
        #[bpaf(positional("BALANCER"))]
        balancer: String,
    },
    /// Shows which services are short of capacity, and which priorities pay for it
    #[bpaf(command)]
    Load {
        /// Admin address of any balancer, such as 127.0.0.1:9100; no platform is needed then
        #[bpaf(
            long,
            argument("HOST:PORT"),
            guard(|text| is_host_port(text), "must be HOST:PORT"),
            optional
        )]
        admin: Option<String>,
        #[bpaf(external)]
        global_options: GlobalOptions,
        /// Names of the balancers to ask [default: all live ones]
        #[bpaf(positional("BALANCER"))]
        balancers: Vec<String>,
    },
    /// Validates a file like apply, without writing; with a platform URL, also against its objects
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        global_options: GlobalOptions,
        /// JSON file with an object or a list of objects; - for standard input
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Explains a result code, or lists all of them
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        global_options: GlobalOptions,
        /// Number, such as 405 or E405, or name, such as server-shared
        #[bpaf(positional("CODE"))]
        code: Option<String>,
    },
}

/// Parses the arguments of a command line, without the name of the program.
///
/// # Errors
///
/// Returns what to print and the exit code, for an invalid command line and for `--help` and
/// `--version`.
pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Args, Outcome> {
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    let options = args()
        .footer(&*exit_codes_footer())
        .max_width(HELP_WIDTH_COLUMNS);
    let raw_args = bpaf::Args::from(arguments.as_slice()).set_name("wasabictl");
    options.run_inner(raw_args).map_err(parse_outcome)
}

impl Args {
    pub(crate) fn command(&self) -> &Command {
        &self.command
    }

    /// Returns the output format.
    pub fn format(&self) -> Format {
        let global_options = self.command.global_options();
        global_options.output.or(self.output).unwrap_or_default()
    }

    pub(crate) fn platform_url(&self) -> Option<&str> {
        let global_options = self.command.global_options();
        let platform = global_options.platform.as_ref().or(self.platform.as_ref());
        platform.map(String::as_str)
    }
}

impl Command {
    fn global_options(&self) -> &GlobalOptions {
        match self {
            Command::Get { global_options, .. }
            | Command::Label { global_options, .. }
            | Command::Apply { global_options, .. }
            | Command::Delete { global_options, .. }
            | Command::Status { global_options }
            | Command::Wait { global_options, .. }
            | Command::Dump { global_options, .. }
            | Command::Load { global_options, .. }
            | Command::Check { global_options, .. }
            | Command::Explain { global_options, .. } => global_options,
        }
    }
}

impl std::str::FromStr for KindName {
    type Err = Failure;

    fn from_str(text: &str) -> Result<KindName, Failure> {
        let lower = text.to_ascii_lowercase();
        let singular = lower.strip_suffix('s').unwrap_or(&lower);
        Kind::iter()
            .find(|kind| kind.name().to_ascii_lowercase() == singular)
            .map(KindName)
            .ok_or_else(|| {
                let text = format!(
                    "unknown kind {text}: expected service, server, domain, report or routing"
                );
                Failure::new(Code::UnknownKind, text)
            })
    }
}

fn is_valid_timeout(timeout_s: &u64) -> bool {
    *timeout_s <= TIMEOUT_MAX_S
}

fn is_host_port(text: &str) -> bool {
    let is_host = |host: &str| !host.is_empty() && !host.contains(['/', '@', '?', '#']);
    let parts = text.rsplit_once(':');
    parts.is_some_and(|(host, port)| is_host(host) && port.parse::<u16>().is_ok())
}

fn exit_codes_footer() -> String {
    let mut text = String::from("Exit codes:");
    for exit in Exit::iter() {
        text.push_str(&format!("\n  {} {}", exit.number(), exit.meaning()));
    }
    text
}

fn parse_outcome(failure: ParseFailure) -> Outcome {
    match failure {
        ParseFailure::Stdout(doc, full) => Outcome {
            stdout: format!("{}\n", doc.monochrome(full)),
            stderr: String::new(),
            exit: Exit::Success,
        },
        ParseFailure::Completion(text) => Outcome {
            stdout: text,
            stderr: String::new(),
            exit: Exit::Success,
        },
        ParseFailure::Stderr(doc) => Outcome {
            stdout: String::new(),
            stderr: format!("{}: {}\n", Code::Usage, doc.monochrome(true)),
            exit: Exit::Usage,
        },
    }
}
