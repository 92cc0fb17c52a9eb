//! Command-line flags and the environment variables that may replace them.

use std::path::PathBuf;

use bpaf::construct;
use bpaf::long;
use bpaf::OptionParser;
use bpaf::Parser;
use shell::packets::setting as packets;
use shell::setting::Raw;
use strum::EnumString;

/// Makes a flag with a text value, which may also be given by an environment variable.
fn text_flag(
    name: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(name)
        .env(env)
        .help(help)
        .argument::<String>(meta)
        .optional()
}

/// Makes a flag for a key. Its variable is read here and not by the library, whose help text would
/// show the value.
fn key_flag(
    name: &'static str,
    env: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(name)
        .help(help)
        .argument::<String>("HEX")
        .optional()
        .map(move |given| given.or_else(|| std::env::var(env).ok()))
}

/// Makes the flag of the balancer's name. Like the three flags below, it is common to both commands.
fn name_flag() -> impl Parser<Option<String>> {
    text_flag(
        "name",
        "WASABI_NAME",
        "NAME",
        "name of this balancer, [a-z0-9.-]; required",
    )
}

fn domain_flag() -> impl Parser<Option<String>> {
    text_flag(
        "domain",
        "WASABI_DOMAIN",
        "NAME",
        "failure domain that this balancer is in; required",
    )
}

fn admin_flag() -> impl Parser<Option<String>> {
    text_flag(
        "admin",
        "WASABI_ADMIN",
        "IP:PORT",
        "TCP address of the pages /dump /health /ready /metrics [default: 127.0.0.1:0]",
    )
}

fn platform_flag() -> impl Parser<Option<String>> {
    text_flag(
        "platform",
        "WASABI_PLATFORM",
        "URL",
        "base URL of the platform; required",
    )
}

/// The command given on the command line.
pub(crate) enum Command {
    /// Forwards packets, with settings from flags and an optional file.
    Forward(Dialect, Option<PathBuf>, Box<packets::Raw>),
    /// Relays requests.
    Relay(Box<Raw>),
}

/// The API of the platform's store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Dialect {
    /// The project's own object API.
    Objects,
    /// The API of the users' platform.
    #[default]
    Platform,
}

/// Returns the parser of the command line.
pub(crate) fn parser() -> OptionParser<Command> {
    let forward = forward_options()
        .command("forward")
        .help("forward packets of flows to backend servers, which answer callers directly");
    let relay = relay_options().map(|raw| Command::Relay(Box::new(raw)));
    construct!([forward, relay])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("The balancer of wasabiarch. Every flag may be given in the environment instead.")
        .footer("Exit codes: 0 after a graceful stop (SIGTERM), 1 on failure or a second SIGTERM, 2 on bad settings.")
}

/// Returns the parser of the flags of packet forwarding. `shell::packets::setting::Setting`
/// validates the values.
fn forward_options() -> OptionParser<Command> {
    let dialect = long("dialect")
        .env("WASABI_DIALECT")
        .help("API of the platform's store: objects or platform [default: platform]")
        .argument::<Dialect>("NAME")
        .fallback(Dialect::default());
    let settings = long("settings")
        .env("WASABI_SETTINGS")
        .help("file with a line NAME=value for each setting, read again on SIGHUP and when it changes")
        .argument::<PathBuf>("FILE")
        .optional();
    let name = name_flag();
    let domain = domain_flag();
    let entry = text_flag(
        "entry",
        "WASABI_ENTRY",
        "IP:PORT",
        "UDP address for packets from callers, which receive resets at the same port; required",
    );
    let peer = text_flag(
        "peer",
        "WASABI_PEER",
        "IP:PORT",
        "UDP address for peers, as peers reach it, the same port on all; required",
    );
    let peer_bind = text_flag(
        "peer-bind",
        "WASABI_PEER_BIND",
        "IP:PORT",
        "UDP address to bind for peers, where address translation makes it differ from --peer [default: that of --peer]",
    );
    let admin = admin_flag();
    let platform = platform_flag();
    let seeds = text_flag(
        "seeds",
        "WASABI_SEEDS",
        "IP,..",
        "hosts of balancers to contact first; ports are ignored [default: none]",
    );
    let log = text_flag(
        "log",
        "WASABI_LOG",
        "FILTER",
        "log level or filter, such as `debug` or `info,shell=warn` [default: info]",
    );
    let cold_overage = text_flag(
        "cold-overage",
        "WASABI_COLD_OVERAGE",
        "FACTOR",
        "factor on the rate that a pool sets for its cold servers [default: 1]",
    );
    let cold_slack = text_flag(
        "cold-slack",
        "WASABI_COLD_SLACK",
        "COUNT",
        "flows per second to a cold server beyond that rate [default: 0]",
    );
    let out_after_ms = text_flag(
        "out-after-ms",
        "WASABI_OUT_AFTER_MS",
        "MS",
        "time after which open flows into a failure domain that is out are cut; overrides --out-within-ms [default: 3000]",
    );
    let out_within_ms = text_flag(
        "out-within-ms",
        "WASABI_OUT_WITHIN_MS",
        "MS",
        "bound on the time until no packet goes into a failure domain that is out: open flows are cut 2000 ms before it [default: 5000]",
    );
    let grace_s = text_flag(
        "grace-s",
        "WASABI_GRACE_S",
        "S",
        "longest duration of a planned stop, in seconds, such as `6` or `6.5` [default: 5]",
    );
    let grace_ms = text_flag(
        "grace-ms",
        "WASABI_GRACE_MS",
        "MS",
        "longest duration of a planned stop, in milliseconds; overrides --grace-s",
    );
    let link_mbps = text_flag(
        "link-mbps",
        "WASABI_LINK_MBPS",
        "MBPS",
        "rate of the host's link in Mbit/s, such as `10` or `2.5`; 0 or empty is not known [default: 0]",
    );
    let cpu_quota = text_flag(
        "cpu-quota",
        "WASABI_CPU_QUOTA",
        "CORES",
        "processor time that the process may use, in cores, such as `0.25`; 0 or empty is not known [default: 0]",
    );
    let start_from = text_flag(
        "start-from",
        "WASABI_START_FROM",
        "SOURCE",
        "where a start takes the platform's objects from: `platform`, or `peers` to spare a large fleet most calls [default: platform]",
    );
    let raw = construct!(packets::Raw {
        name,
        domain,
        entry,
        peer,
        peer_bind,
        admin,
        platform,
        seeds,
        log,
        cold_overage,
        cold_slack,
        out_after_ms,
        out_within_ms,
        grace_s,
        grace_ms,
        link_mbps,
        cpu_quota,
        start_from,
    });
    construct!(dialect, settings, raw)
        .map(|(dialect, settings, raw)| Command::Forward(dialect, settings, Box::new(raw)))
        .to_options()
        .descr("Forwards packets of flows to backend servers, which answer callers directly.")
}

/// Returns the parser of the flags of the relay. `shell::setting::Setting` validates the values.
fn relay_options() -> impl Parser<Raw> {
    let name = name_flag();
    let domain = domain_flag();
    let entry = text_flag(
        "entry",
        "WASABI_ENTRY",
        "IP:PORT",
        "UDP address for callers, 0.0.0.0 for all service addresses; required",
    );
    let peer = text_flag(
        "peer",
        "WASABI_PEER",
        "IP:PORT",
        "UDP address for sealed datagrams of peers, as peers reach it; required",
    );
    let stream = text_flag(
        "stream",
        "WASABI_STREAM",
        "IP:PORT",
        "UDP address for QUIC connections of peers, as peers reach it; required",
    );
    let admin = admin_flag();
    let platform = platform_flag();
    let seeds = text_flag(
        "seeds",
        "WASABI_SEEDS",
        "IP:PORT,..",
        "peer addresses of balancers to contact first [default: none]",
    );
    let fleet_key = key_flag(
"fleet-key",
"WASABI_FLEET_KEY",
"key between balancers, 64 hexadecimal digits; required, preferably from the environment [env:WASABI_FLEET_KEY]",
    );
    let fleet_key_previous = key_flag(
"fleet-key-previous",
"WASABI_FLEET_KEY_PREVIOUS",
"additional key between balancers that is accepted [default: none] [env:WASABI_FLEET_KEY_PREVIOUS]",
    );
    let token_key = key_flag(
"token-key",
"WASABI_TOKEN_KEY",
"key of route tokens, 64 hexadecimal digits; required, preferably from the environment [env:WASABI_TOKEN_KEY]",
    );
    let token_key_previous = key_flag(
"token-key-previous",
"WASABI_TOKEN_KEY_PREVIOUS",
"additional key of route tokens that is accepted [default: none] [env:WASABI_TOKEN_KEY_PREVIOUS]",
    );
    let log = text_flag(
        "log",
        "WASABI_LOG",
        "FILTER",
        "log level or filter, such as `debug` or `info,quinn=warn` [default: info]",
    );
    let threads = text_flag(
        "threads",
        "WASABI_THREADS",
        "COUNT",
        "worker threads, 1 to 64 [default: 2]",
    );
    let silence_ms = text_flag(
        "silence-ms",
        "WASABI_SILENCE_MS",
        "MS",
        "milliseconds without a received byte after which a backend connection counts as silent [default: 4000]",
    );
    let connections = text_flag(
        "connections",
        "WASABI_CONNECTIONS",
        "COUNT",
        "most connections to one backend server, 1 to 2000 [default: 64]",
    );
    construct!(Raw {
        name,
        domain,
        entry,
        peer,
        stream,
        admin,
        platform,
        seeds,
        fleet_key,
        fleet_key_previous,
        token_key,
        token_key_previous,
        log,
        threads,
        silence_ms,
        connections,
    })
}
