//! Settings of the relay and their validation, which reports all faults at once.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use wire::seal::Key;
use wire::seal::KEY_BYTES;

/// Longest accepted name of a balancer or failure domain, in bytes.
pub const NAME_BYTES_MAX: usize = 63;
/// Key-derivation context, which separates the secret of route tokens from other uses of the key.
const TOKEN_CONTEXT: &[u8] = b"wasabiarch route token v1";
/// Default number of worker threads.
const THREADS_DEFAULT: usize = 2;
/// Largest accepted number of worker threads.
const THREADS_MAX: usize = 64;
/// Default silence time-out of backend connections, in milliseconds.
const SILENCE_MS_DEFAULT: u64 = 4_000;
/// Largest accepted silence time-out, in milliseconds.
const SILENCE_MS_MAX: u64 = 600_000;
/// Default limit of connections to one backend server.
const CONNECTIONS_DEFAULT: usize = 64;
/// Largest accepted limit of connections to one backend server.
const CONNECTIONS_MAX: usize = 2_000;

/// Settings before validation. `None` is a setting that was not given.
#[derive(Clone, Debug, Default)]
pub struct Raw {
    /// Name of the balancer.
    pub name: Option<String>,
    /// Failure domain of the balancer.
    pub domain: Option<String>,
    /// UDP address for datagrams from callers.
    pub entry: Option<String>,
    /// UDP address for datagrams from peers.
    pub peer: Option<String>,
    /// UDP address for QUIC connections from peers.
    pub stream: Option<String>,
    /// TCP address of the admin pages.
    pub admin: Option<String>,
    /// Base URL of the platform.
    pub platform: Option<String>,
    /// Datagram addresses of peers, separated by commas.
    pub seeds: Option<String>,
    /// Key of the fleet, in hexadecimal.
    pub fleet_key: Option<String>,
    /// Previous key of the fleet, in hexadecimal.
    pub fleet_key_previous: Option<String>,
    /// Key of route tokens, in hexadecimal.
    pub token_key: Option<String>,
    /// Previous key of route tokens, in hexadecimal.
    pub token_key_previous: Option<String>,
    /// Log filter.
    pub log: Option<String>,
    /// Worker threads.
    pub threads: Option<String>,
    /// Silence time-out of backend connections, in milliseconds.
    pub silence_ms: Option<String>,
    /// Limit of connections to one backend server.
    pub connections: Option<String>,
}

/// A key and the one before it, both valid during rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Used to encrypt and sign, and accepted.
    pub current: Key,
    /// Accepted only.
    pub previous: Option<Key>,
}

impl Keys {
    /// Returns the secrets of route tokens derived from the current and the previous key.
    pub fn token_secrets(&self) -> ([u8; KEY_BYTES], Option<[u8; KEY_BYTES]>) {
        let secret = |key: &Key| key.derive(TOKEN_CONTEXT);
        (secret(&self.current), self.previous.as_ref().map(secret))
    }
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Name of the balancer.
    pub name: String,
    /// Failure domain of the balancer.
    pub domain: String,
    /// UDP address for datagrams from callers.
    pub entry: SocketAddr,
    /// UDP address for datagrams from peers, as peers reach it.
    pub peer: SocketAddr,
    /// UDP address for QUIC connections from peers, as peers reach it.
    pub stream: SocketAddr,
    /// TCP address of the admin pages.
    pub admin: SocketAddr,
    /// Base URL of the platform, without a slash at the end.
    pub platform: String,
    /// Datagram addresses of the peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet.
    pub fleet_keys: Keys,
    /// Keys of route tokens.
    pub token_keys: Keys,
    /// Log filter, in the syntax of `tracing_subscriber::EnvFilter`.
    pub log: String,
    /// Worker threads.
    pub threads: usize,
    /// Time without a received byte after which a backend connection counts as unresponsive.
    pub silence_timeout: Duration,
    /// Most connections to one backend server.
    pub server_connections_max: usize,
}

/// A fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Result code.
    pub code: Code,
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Description. Never contains a key.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: --{}: {}", self.code, self.flag, self.text)
    }
}

impl Setting {
    /// Validates all settings.
    ///
    /// # Errors
    ///
    /// Returns every fault, in the order of the flags.
    pub fn new(raw: Raw) -> Result<Setting, Vec<Fault>> {
        let mut checker = Checker::default();
        let setting = Setting {
            name: checker.check_name("name", raw.name),
            domain: checker.check_name("domain", raw.domain),
            entry: checker.check_address("entry", raw.entry, None),
            peer: checker.check_reachable_address("peer", raw.peer),
            stream: checker.check_reachable_address("stream", raw.stream),
            admin: checker.check_address("admin", raw.admin, Some("127.0.0.1:0")),
            platform: checker.check_url("platform", raw.platform),
            seeds: checker.check_addresses("seeds", raw.seeds),
            fleet_keys: checker.check_keys(
                ["fleet-key", "fleet-key-previous"],
                raw.fleet_key,
                raw.fleet_key_previous,
            ),
            token_keys: checker.check_keys(
                ["token-key", "token-key-previous"],
                raw.token_key,
                raw.token_key_previous,
            ),
            log: checker.check_filter("log", raw.log),
            threads: checker.check_number("threads", raw.threads, THREADS_DEFAULT, 1..=THREADS_MAX),
            silence_timeout: Duration::from_millis(checker.check_number(
                "silence-ms",
                raw.silence_ms,
                SILENCE_MS_DEFAULT,
                1..=SILENCE_MS_MAX,
            )),
            server_connections_max: checker.check_number(
                "connections",
                raw.connections,
                CONNECTIONS_DEFAULT,
                1..=CONNECTIONS_MAX,
            ),
        };
        checker.finish(setting)
    }
}

/// Collects faults. A check that finds a fault returns a placeholder value.
#[derive(Default)]
pub(crate) struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    /// Returns the settings, or the faults if there are any.
    pub(crate) fn finish<T>(self, setting: T) -> Result<T, Vec<Fault>> {
        match self.faults.is_empty() {
            true => Ok(setting),
            false => Err(self.faults),
        }
    }

    pub(crate) fn add_fault(&mut self, flag: &'static str, text: impl Into<String>) {
        self.faults.push(Fault {
            code: Code::BadSetting,
            flag,
            text: text.into(),
        });
    }

    pub(crate) fn check_name(&mut self, flag: &'static str, value: Option<String>) -> String {
        let value = value.unwrap_or_default();
        let is_valid = |c: char| matches!(c, 'a'..='z' | '0'..='9' | '.' | '-');
        if value.is_empty() {
            self.add_fault(flag, "is missing");
        } else if value.len() > NAME_BYTES_MAX {
            self.add_fault(flag, format!("is longer than {NAME_BYTES_MAX} bytes"));
        } else if !value.chars().all(is_valid) {
            self.add_fault(flag, "has characters outside [a-z0-9.-]");
        }
        value
    }

    pub(crate) fn check_address(
        &mut self,
        flag: &'static str,
        value: Option<String>,
        default: Option<&str>,
    ) -> SocketAddr {
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
        let Some(text) = value.as_deref().or(default) else {
            self.add_fault(flag, "is missing");
            return placeholder;
        };
        text.parse().unwrap_or_else(|_| {
            self.add_fault(flag, format!("`{text}` is not an IP:port address"));
            placeholder
        })
    }

    pub(crate) fn check_reachable_address(
        &mut self,
        flag: &'static str,
        value: Option<String>,
    ) -> SocketAddr {
        let address = self.check_address(flag, value, None);
        if address.ip().is_unspecified() {
            self.add_fault(flag, "must be an address that peers can reach");
        }
        address
    }

    fn check_addresses(&mut self, flag: &'static str, value: Option<String>) -> Vec<SocketAddr> {
        let text = value.unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(|part| self.check_address(flag, Some(part.to_owned()), None))
            .collect()
    }

    /// Parses a list of hosts and returns their addresses with `port`. Ports in the list are
    /// ignored.
    pub(crate) fn check_hosts(
        &mut self,
        flag: &'static str,
        value: Option<String>,
        port: u16,
    ) -> Vec<SocketAddr> {
        let text = value.unwrap_or_default();
        let mut hosts = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match crate::packets::setting::parse_host(part) {
                Some(host) => hosts.push(SocketAddr::new(host, port)),
                None => self.add_fault(flag, format!("`{part}` is not an IP or IP:port address")),
            }
        }
        hosts
    }

    pub(crate) fn check_url(&mut self, flag: &'static str, value: Option<String>) -> String {
        let Some(text) = value else {
            self.add_fault(flag, "is missing");
            return String::new();
        };
        let is_valid = text
            .parse::<hyper::Uri>()
            .is_ok_and(|url| url.scheme_str() == Some("http") && url.host().is_some());
        if !is_valid {
            self.add_fault(flag, format!("`{text}` is not an http:// URL"));
        }
        text.trim_end_matches('/').to_owned()
    }

    fn check_keys(
        &mut self,
        flags: [&'static str; 2],
        current: Option<String>,
        previous: Option<String>,
    ) -> Keys {
        let current = current.unwrap_or_default();
        Keys {
            current: self.check_key(flags[0], &current),
            previous: previous.map(|text| self.check_key(flags[1], &text)),
        }
    }

    fn check_key(&mut self, flag: &'static str, text: &str) -> Key {
        text.parse().unwrap_or_else(|code| {
            let text = match text.is_empty() {
                true => "is missing".to_owned(),
                false => format!("must be {} hexadecimal digits", 2 * KEY_BYTES),
            };
            self.faults.push(Fault { code, flag, text });
            Key::from([0; KEY_BYTES])
        })
    }

    pub(crate) fn check_filter(&mut self, flag: &'static str, value: Option<String>) -> String {
        let text = value.unwrap_or_else(|| "info".to_owned());
        if text
            .parse::<tracing_subscriber::filter::EnvFilter>()
            .is_err()
        {
            self.add_fault(flag, format!("`{text}` is not a valid log filter"));
        }
        text
    }

    pub(crate) fn check_number<T>(
        &mut self,
        flag: &'static str,
        value: Option<String>,
        default: T,
        range: std::ops::RangeInclusive<T>,
    ) -> T
    where
        T: Copy + PartialOrd + fmt::Display + std::str::FromStr,
    {
        let Some(text) = value else {
            return default;
        };
        match text.parse::<T>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = (range.start(), range.end());
                self.add_fault(
                    flag,
                    format!("`{text}` is not a number from {low} to {high}"),
                );
                default
            }
        }
    }
}
