//! Settings of packet forwarding, from flags, the environment and a file. All faults are reported
//! at once.
//!
//! The file has a line `NAME=value` for each setting, with the names of the environment variables.
//! Flags take precedence over variables, and variables over the file.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use base::prelude::*;
use forward::cold::RateLimit;
use forward::host::Capacity;
use forward::setting::StartFrom;
use forward::setting::CHANGE_DELAY_MAX;

use crate::setting::Checker;
use crate::setting::Fault;

/// The unit of settings in milliseconds.
const MS: Span = Span::millis(1);
/// The unit of settings in seconds.
const SECOND: Span = Span::secs(1);
/// Largest accepted factor on the rate of cold servers.
const COLD_OVERAGE_MAX: f64 = 100.0;
/// Largest accepted number of flows per second to a cold server beyond its rate.
const COLD_SLACK_MAX: f64 = 10_000.0;
/// Largest accepted time.
const TIME_MAX: Span = Span::secs(600);
/// Shortest accepted duration of a planned stop.
const GRACE_MIN: Span = Span::millis(1);

/// Largest accepted rate of the link, in Mbit/s.
const LINK_MBPS_MAX: f64 = 1_000_000.0;
/// Largest accepted quota of processor time, in cores.
const CPU_QUOTA_MAX: f64 = 1_024.0;
/// Smallest accepted rate of the link and quota of processor time: callers could not be served with
/// less.
const CAPACITY_MIN: f64 = 0.001;

/// The flags whose settings have a default that callers can be served with. The others say which
/// balancer this is and how it is reached.
const DEFAULTED_FLAGS: [&str; 11] = [
    "seeds",
    "log",
    "cold-overage",
    "cold-slack",
    "out-after-ms",
    "out-within-ms",
    "grace-s",
    "grace-ms",
    "link-mbps",
    "cpu-quota",
    "start-from",
];

/// Settings before validation. `None` is a setting that was not given.
#[derive(Clone, Debug, Default)]
pub struct Raw {
    /// Name of the balancer.
    pub name: Option<String>,
    /// Failure domain of the balancer.
    pub domain: Option<String>,
    /// UDP address for packets from callers. Callers receive resets at the same port.
    pub entry: Option<String>,
    /// UDP address at which peers reach this balancer.
    pub peer: Option<String>,
    /// UDP address to bind for peers, if it differs from `peer`.
    pub peer_bind: Option<String>,
    /// TCP address of the admin pages.
    pub admin: Option<String>,
    /// Base URL of the platform.
    pub platform: Option<String>,
    /// Hosts on which peers may run, separated by commas. All peers use the same port.
    pub seeds: Option<String>,
    /// Log filter.
    pub log: Option<String>,
    /// Factor on the rate of cold servers.
    pub cold_overage: Option<String>,
    /// Flows per second to a cold server beyond its rate.
    pub cold_slack: Option<String>,
    /// Time after which open flows into a failure domain that is out are cut, in milliseconds.
    pub out_after_ms: Option<String>,
    /// Operator's bound on the time until no packet goes into a failure domain that is out, in
    /// milliseconds. `out_after_ms` takes precedence.
    pub out_within_ms: Option<String>,
    /// Longest duration of a planned stop, in seconds.
    pub grace_s: Option<String>,
    /// The same in milliseconds. Takes precedence over `grace_s`.
    pub grace_ms: Option<String>,
    /// Rate of the host's link, in Mbit/s; 0 or empty if not known.
    pub link_mbps: Option<String>,
    /// Quota of processor time, in cores; 0 or empty if not known.
    pub cpu_quota: Option<String>,
    /// Where a start takes the platform's objects from: `platform` or `peers`.
    pub start_from: Option<String>,
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// UDP address for packets from callers.
    pub entry: SocketAddr,
    /// UDP address to bind for datagrams from peers.
    pub peer_bind: SocketAddr,
    /// Base URL of the platform, without a slash at the end.
    pub platform: String,
    /// Log filter, in the syntax of `tracing_subscriber::EnvFilter`.
    pub log: String,
    /// Settings of the reducer.
    pub forward: forward::setting::Setting,
}

impl Raw {
    /// Fills the settings that were not given from the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns a fault for each line that is not empty, a comment or a setting. Unknown names are
    /// ignored, since the file may belong to a later release.
    pub fn with_file(self, text: &str) -> Result<Raw, Vec<Fault>> {
        let (lines, faults) = parse_file(text);
        match faults.is_empty() {
            true => Ok(self.with_lines(lines)),
            false => Err(faults),
        }
    }

    fn with_lines(mut self, mut lines: BTreeMap<String, String>) -> Raw {
        // A flag precedes the file in either unit.
        if self.grace_s.is_some() || self.grace_ms.is_some() {
            lines.retain(|name, _| !name.starts_with("WASABI_GRACE_"));
        }
        let mut fill = |field: &mut Option<String>, name: &str| {
            let given = lines.remove(name).filter(|value| !value.is_empty());
            *field = field.take().or(given);
        };
        fill(&mut self.name, "WASABI_NAME");
        fill(&mut self.domain, "WASABI_DOMAIN");
        fill(&mut self.entry, "WASABI_ENTRY");
        fill(&mut self.peer, "WASABI_PEER");
        fill(&mut self.peer_bind, "WASABI_PEER_BIND");
        fill(&mut self.admin, "WASABI_ADMIN");
        fill(&mut self.platform, "WASABI_PLATFORM");
        fill(&mut self.seeds, "WASABI_SEEDS");
        fill(&mut self.log, "WASABI_LOG");
        fill(&mut self.cold_overage, "WASABI_COLD_OVERAGE");
        fill(&mut self.cold_slack, "WASABI_COLD_SLACK");
        fill(&mut self.out_after_ms, "WASABI_OUT_AFTER_MS");
        fill(&mut self.out_within_ms, "WASABI_OUT_WITHIN_MS");
        fill(&mut self.grace_s, "WASABI_GRACE_S");
        fill(&mut self.grace_ms, "WASABI_GRACE_MS");
        fill(&mut self.link_mbps, "WASABI_LINK_MBPS");
        fill(&mut self.cpu_quota, "WASABI_CPU_QUOTA");
        fill(&mut self.start_from, "WASABI_START_FROM");
        self
    }
}

/// Returns the values of a settings file by name, and a fault for each other line that is not empty
/// or a comment.
fn parse_file(text: &str) -> (BTreeMap<String, String>, Vec<Fault>) {
    let mut values = BTreeMap::new();
    let mut faults = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        match line.split_once('=') {
            Some((name, value)) => {
                values.insert(name.trim().to_owned(), value.trim().to_owned());
            }
            None => faults.push(Fault {
                code: Code::BadSetting,
                flag: "settings",
                text: format!("line {} is not NAME=value", index + 1),
            }),
        }
    }
    (values, faults)
}

/// Returns the name under which a settings file has the setting of a flag.
fn variable_name(flag: &str) -> String {
    format!("WASABI_{}", flag.to_uppercase().replace('-', "_"))
}

impl Setting {
    /// Validates all settings.
    ///
    /// # Errors
    ///
    /// Returns every fault, in the order of the flags.
    pub fn new(raw: Raw) -> Result<Setting, Vec<Fault>> {
        let mut checker = Checker::default();
        let name = checker.check_name("name", raw.name);
        let domain = checker.check_name("domain", raw.domain);
        let entry = checker.check_address("entry", raw.entry, None);
        let peer = checker.check_reachable_address("peer", raw.peer);
        let peer_bind = raw.peer_bind.or_else(|| Some(peer.to_string()));
        let peer_bind = checker.check_address("peer-bind", peer_bind, None);
        let admin = checker.check_address("admin", raw.admin, Some("127.0.0.1:0"));
        let platform = checker.check_url("platform", raw.platform);
        let seeds = checker.check_hosts("seeds", raw.seeds, peer.port());
        let log = checker.check_filter("log", raw.log);
        let overage = checker.check_number(
            "cold-overage",
            raw.cold_overage,
            1.0,
            0.0..=COLD_OVERAGE_MAX,
        );
        let slack = checker.check_number("cold-slack", raw.cold_slack, 0.0, 0.0..=COLD_SLACK_MAX);
        let given = |text: Option<String>| text.filter(|text| !text.trim().is_empty());
        let out_after = given(raw.out_after_ms);
        let has_out_after = out_after.is_some();
        let (default, range) = (forward::setting::OUT_AFTER, Span::ZERO..=TIME_MAX);
        let out_after = checker.check_time("out-after-ms", out_after, MS, default, range);
        let out_within = given(raw.out_within_ms);
        let default = Span(out_after.0 + CHANGE_DELAY_MAX.0);
        let range = Span::ZERO..=Span(TIME_MAX.0 + CHANGE_DELAY_MAX.0);
        let out_within = checker.check_time("out-within-ms", out_within, MS, default, range);
        let out_after = match has_out_after {
            true => out_after,
            // A bound that no change can meet is met as far as possible: flows are cut at once.
            false => Span(out_within.0.saturating_sub(CHANGE_DELAY_MAX.0)),
        };
        let (default, range) = (forward::setting::GRACE, GRACE_MIN..=TIME_MAX);
        let grace = checker.check_time("grace-s", raw.grace_s, SECOND, default, range.clone());
        let grace = checker.check_time("grace-ms", raw.grace_ms, MS, grace, range);
        let link = checker.check_capacity("link-mbps", given(raw.link_mbps), LINK_MBPS_MAX);
        let cores = checker.check_capacity("cpu-quota", given(raw.cpu_quota), CPU_QUOTA_MAX);
        let start_from = checker.check_start_from("start-from", given(raw.start_from));
        let capacity = Capacity::default().with_link_mbps(link).with_cores(cores);
        let peer = Peer {
            datagram: peer,
            stream: peer,
        };
        let cold = RateLimit {
            overage_percent: (overage * 100.0) as u32,
            // A fraction of a flow cannot be sent, and more than the limit must not be.
            slack: slack as u32,
        };
        let forward = forward::setting::Setting::new(name, domain, peer, admin)
            .with_seeds(seeds)
            .with_cold(cold)
            .with_out_after(out_after)
            .with_grace(grace)
            .with_capacity(capacity)
            .with_start_from(start_from);
        let setting = Setting {
            entry,
            peer_bind,
            platform,
            log,
            forward,
        };
        checker.finish(setting)
    }

    /// Validates the settings of a process that starts, with a settings file. An invalid line is left
    /// out if its setting has a default: a balancer with defaults serves callers, and one that
    /// ends does not.
    ///
    /// Returns the faults of the lines that were left out.
    ///
    /// # Errors
    ///
    /// Returns every fault if one is left that has no default or is not in the file.
    pub fn with_usable_lines(raw: &Raw, text: &str) -> Result<(Setting, Vec<Fault>), Vec<Fault>> {
        let (mut lines, mut faults) = parse_file(text);
        let invalid = match Setting::new(raw.clone().with_lines(lines.clone())) {
            Ok(setting) => return Ok((setting, faults)),
            Err(invalid) => invalid,
        };
        for fault in &invalid {
            if DEFAULTED_FLAGS.contains(&fault.flag) {
                lines.remove(&variable_name(fault.flag));
            }
        }
        faults.extend(invalid);
        match Setting::new(raw.clone().with_lines(lines)) {
            Ok(setting) => Ok((setting, faults)),
            Err(_) => Err(faults),
        }
    }

    /// Returns the names of the settings that differ in `new` and take effect only after a restart.
    pub fn fixed_changes(&self, new: &Setting) -> Vec<&'static str> {
        let (own, other) = (&self.forward, &new.forward);
        let fixed = [
            ("name", own.name != other.name),
            ("domain", own.domain != other.domain),
            ("entry", self.entry != new.entry),
            ("peer", own.peer != other.peer),
            ("peer-bind", self.peer_bind != new.peer_bind),
            ("admin", own.admin != other.admin),
            ("platform", self.platform != new.platform),
            ("log", self.log != new.log),
        ];
        let changed = fixed.iter().filter(|(_, differs)| *differs);
        changed.map(|&(name, _)| name).collect()
    }
}

impl Checker {
    /// Returns a time that is given in `unit`, possibly with a fraction.
    fn check_time(
        &mut self,
        flag: &'static str,
        value: Option<String>,
        unit: Span,
        default: Span,
        range: RangeInclusive<Span>,
    ) -> Span {
        let in_unit = |time: Span| time.0 as f64 / unit.0 as f64;
        let range = in_unit(*range.start())..=in_unit(*range.end());
        let number = self.check_number(flag, value, in_unit(default), range);
        Span((number * unit.0 as f64).round() as u64)
    }

    /// Returns a capacity of the host; 0 if it is not known.
    fn check_capacity(&mut self, flag: &'static str, value: Option<String>, max: f64) -> f64 {
        let value = value.map(|text| text.trim().to_owned());
        let text = value.clone().unwrap_or_default();
        let capacity = self.check_number(flag, value, 0.0, 0.0..=max);
        if capacity > 0.0 && capacity < CAPACITY_MIN {
            let least = format!("`{text}` is less than {CAPACITY_MIN}; 0 is not known");
            self.add_fault(flag, least);
        }
        capacity
    }

    fn check_start_from(&mut self, flag: &'static str, value: Option<String>) -> StartFrom {
        let Some(text) = value else {
            return StartFrom::default();
        };
        text.trim().parse().unwrap_or_else(|_| {
            self.add_fault(flag, format!("`{text}` is not platform or peers"));
            StartFrom::default()
        })
    }
}

/// Parses an IP address with or without a port, which is ignored.
pub(crate) fn parse_host(text: &str) -> Option<IpAddr> {
    let with_port = text.parse::<SocketAddr>().map(|address| address.ip());
    with_port.or_else(|_| text.parse()).ok()
}
