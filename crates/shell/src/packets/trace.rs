//! Log lines for the reducer's decisions.

use base::prelude::*;
use forward::note::Note;

/// Name of the HTTP header that carries the request's id, in lower case, with its colon.
const REQUEST_ID: &[u8] = b"x-request-id:";
/// Longest request id that is logged, in bytes.
const REQUEST_ID_MAX: usize = 64;
/// Most lines about flows per second: twice the rate at which a balancer opens flows at the target
/// fleet size.
pub const FLOW_LINES_MAX: u64 = 200;

/// Limits the rate of lines about flows.
#[derive(Debug)]
pub struct RateLimit {
    lines_left: u64,
    period_start: Time,
    suppressed: u64,
}

impl RateLimit {
    /// Makes a limit with a full allowance.
    pub fn new(now: Time) -> RateLimit {
        RateLimit {
            lines_left: FLOW_LINES_MAX,
            period_start: now,
            suppressed: 0,
        }
    }

    /// Returns whether one more line may be written, and counts it. Logs the number of suppressed
    /// lines when a new period starts.
    fn admit(&mut self, now: Time) -> bool {
        if now.since(self.period_start) >= Span::secs(1) {
            self.period_start = now;
            self.lines_left = FLOW_LINES_MAX;
            let suppressed = std::mem::take(&mut self.suppressed);
            if suppressed > 0 {
                tracing::warn!(event = "lines-left-out", left_out = suppressed);
            }
        }
        let Some(lines_left) = self.lines_left.checked_sub(1) else {
            self.suppressed += 1;
            return false;
        };
        self.lines_left = lines_left;
        true
    }
}

/// Finds the request's id among the HTTP headers in the first data of a flow.
pub fn request_id(data: &[u8]) -> Option<&str> {
    let lines = data.split(|&byte| byte == b'\n');
    let value = lines
        .take_while(|line| !matches!(line, [] | [b'\r']))
        .find_map(|line| {
            let (name, value) = line.split_at_checked(REQUEST_ID.len())?;
            name.eq_ignore_ascii_case(REQUEST_ID).then_some(value)
        })?;
    let value = value.get(..REQUEST_ID_MAX).unwrap_or(value);
    std::str::from_utf8(value).ok().map(str::trim)
}

/// Logs a decision. `data` is the payload of the packet that caused it, empty if no packet did.
pub fn log_note(now: Time, note: &Note, data: &[u8], limit: &mut RateLimit) {
    if is_flow_note(note) && !limit.admit(now) {
        return;
    }
    match note {
        Note::Request {
            flow,
            server,
            moves,
            opened,
            basis,
            routing,
        } => tracing::info!(
            event = "request",
            request = request_id(data).unwrap_or_default(),
            caller = %flow.caller,
            service = %flow.service,
            server,
            moves,
            opened_ms = opened.as_millis(),
            candidates = basis.candidates,
            open = basis.open,
            loads_age_ms = basis.age.as_millis(),
            routing = routing.revision(),
            era = routing.era(),
        ),
        Note::Refused {
            flow,
            code,
            routing,
            age,
        } => tracing::info!(
            event = "flow-refused",
            caller = %flow.caller,
            service = %flow.service,
            code = %code,
            routing = routing.revision(),
            era = routing.era(),
            servers_age_ms = age.map(Span::as_millis),
        ),
        Note::Admission {
            flow,
            is_admitted,
            basis,
        } => tracing::info!(
            event = "flow-admission",
            caller = %flow.caller,
            service = %flow.service,
            is_admitted,
            priority = basis.priority,
            offered_per_10s = basis.offered,
            admitted_per_10s = basis.admitted,
            committed_per_10s = basis.committed,
            capacity_per_10s = basis.capacity,
            demand_age_ms = basis.age.map(Span::as_millis),
            loads_age_ms = basis.loads_age.as_millis(),
        ),
        Note::Deferred { flow, code, copies } => tracing::info!(
            event = "flow-held",
            caller = %flow.caller,
            service = %flow.service,
            code = %code,
            copies,
        ),
        Note::Moved {
            flow,
            from,
            to,
            waited,
            basis,
        } => tracing::info!(
            event = "flow-moved",
            caller = %flow.caller,
            service = %flow.service,
            from,
            to,
            waited_ms = waited.as_millis(),
            candidates = basis.candidates,
            open = basis.open,
            loads_age_ms = basis.age.as_millis(),
        ),
        Note::Rerouted {
            flow,
            from,
            routing,
        } => tracing::info!(
            event = "flow-rerouted",
            caller = %flow.caller,
            service = %flow.service,
            from,
            routing = routing.revision(),
            era = routing.era(),
        ),
        Note::Expired {
            flow,
            server,
            moves,
            was_open,
            age,
        } => tracing::info!(
            event = "flow-expired",
            caller = %flow.caller,
            service = %flow.service,
            server,
            moves,
            was_open,
            age_ms = age.as_millis(),
        ),
        Note::Suspected {
            server,
            flow,
            waited,
        } => tracing::info!(
            event = "server-suspected",
            server,
            caller = %flow.caller,
            service = %flow.service,
            waited_ms = waited.as_millis(),
        ),
        Note::SuspectedByPeer { server, by } => {
            tracing::info!(event = "server-suspected", server, by = %by);
        }
        Note::SuspectedDomain { domain, servers } => {
            tracing::info!(event = "domain-suspected", domain, servers);
        }
        Note::RestartHinted { server, by } => {
            tracing::info!(event = "server-restart-hint", server, by = %by);
        }
        Note::Recovered { server, by } => tracing::info!(
            event = "server-answered",
            server,
            by = by.map_or_else(|| "itself".to_owned(), |by| by.to_string()),
        ),
        Note::SlowServer {
            server,
            is_slow,
            service,
            pool,
        } => tracing::info!(
            event = "server-slow",
            server,
            is_slow,
            service_us = service.0,
            pool_us = pool.0,
        ),
        Note::Unreachable { server } => tracing::warn!(event = "server-lost", server),
        Note::Reset { flow, server } => tracing::info!(
            event = "flow-given-up",
            caller = %flow.caller,
            service = %flow.service,
            server,
            code = %Code::ServerGone,
        ),
        Note::Lapsed { server, missing } => tracing::info!(
            event = "server-given-up",
            server,
            missing_ms = missing.as_millis(),
        ),
        Note::Applied {
            kind,
            from,
            upto,
            changes,
            faults,
            by,
        } => tracing::info!(
            event = "objects-applied",
            kind = kind.name(),
            from = from.revision(),
            upto = upto.revision(),
            era = upto.era(),
            changes,
            faults,
            by = publisher(by),
        ),
        Note::Restored {
            kind,
            from,
            upto,
            by,
        } => tracing::warn!(
            event = "store-restored",
            kind = kind.name(),
            from = from.revision(),
            from_era = from.era(),
            upto = upto.revision(),
            era = upto.era(),
            by = publisher(by),
        ),
        Note::StaleAnswer { kind, have, got } => {
            tracing::warn!(
                event = "answer-stale",
                kind = kind.name(),
                have = have.revision(),
                have_era = have.era(),
                got = got.revision(),
                got_era = got.era(),
            );
        }
        Note::ReadFailing { kind, why, age } => tracing::warn!(
            event = "platform-lost",
            kind = kind.name(),
            why,
            age_ms = age.map(Span::as_millis),
        ),
        Note::ReadRecovered { kind, failures } => {
            tracing::info!(event = "platform-back", kind = kind.name(), failures);
        }
        Note::Peer {
            name,
            incarnation,
            state,
        } => tracing::info!(event = "peer", name, incarnation = %incarnation, state),
        Note::Domain { domain, is_cut } => {
            tracing::warn!(event = "domain", domain, is_cut);
        }
        Note::Spill {
            pool,
            is_spilling,
            shares,
            slots,
            running,
            age,
        } => tracing::info!(
            event = "spill",
            pool,
            is_spilling,
            shares_permille = ?shares,
            slots,
            running,
            summaries_age_ms = age.as_millis(),
        ),
        Note::Resumed { pause } => {
            tracing::warn!(event = "resumed", pause_ms = pause.as_millis());
        }
        Note::Ready {
            is_ready,
            routing,
            servers,
        } => tracing::info!(
            event = "ready",
            is_ready,
            routing = routing.revision(),
            era = routing.era(),
            servers,
        ),
        Note::Stopping { flows } => tracing::info!(event = "stopping", flows),
        Note::Reloaded => tracing::info!(event = "reloaded"),
        Note::HostFull {
            flow,
            priority,
            is_upload,
            share,
            usage,
        } => tracing::info!(
            event = "host-full",
            caller = %flow.caller,
            service = %flow.service,
            code = %Code::HostFull,
            priority,
            is_upload,
            refused_permille = share,
            link_percent = usage.link,
            processor_percent = usage.processor,
            tick_delay_ms = usage.tick_delay.as_millis(),
        ),
        Note::HostReady {
            is_ready,
            usage,
            peers_above,
        } => tracing::warn!(
            event = "host-ready",
            is_ready,
            link_percent = usage.link,
            processor_percent = usage.processor,
            tick_delay_ms = usage.tick_delay.as_millis(),
            peers_above,
        ),
        Note::Paced {
            delayed,
            dropped,
            usage,
        } => tracing::info!(event = "paced", delayed, dropped, link_percent = usage.link,),
    }
}

/// Returns the name of the source of objects in log lines.
fn publisher(by: &Option<Incarnation>) -> String {
    by.map_or_else(|| "platform".to_owned(), |by| by.to_string())
}

/// Returns whether the number of these lines depends on the load.
fn is_flow_note(note: &Note) -> bool {
    matches!(
        note,
        Note::Request { .. }
            | Note::Refused { .. }
            | Note::Admission { .. }
            | Note::Deferred { .. }
            | Note::Moved { .. }
            | Note::Rerouted { .. }
            | Note::Expired { .. }
            | Note::Reset { .. }
            | Note::SlowServer { .. }
            | Note::Spill { .. }
            | Note::HostFull { .. }
            | Note::Paced { .. }
    )
}
