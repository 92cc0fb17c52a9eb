//! Load reports: the requests under way at other balancers.

use std::collections::BTreeMap;

use base::prelude::*;
use conf::key;
use cranelift_entity::SecondaryMap;
use wire::frame::LoadReport;
use wire::frame::OpenFlows;
use wire::frame::Unresponsive;

use crate::health::Evidence;
use crate::table::row::Row;
use crate::table::Table;
use crate::token::Mark;

/// Bounds the age of a report that is counted. Its sender sends the next one long before.
pub const REPORT_MAX_AGE: Span = Span::millis(1_500);
/// Bounds the number of backend servers in a report, so that it fits a datagram.
pub const REPORT_SERVERS_MAX: usize = 120;
/// Bounds the number of suspected servers, and of cleared ones, in a report.
pub const REPORT_HEALTH_MAX: usize = 30;
/// The shortest period between two reports of one balancer.
pub const REPORT_PERIOD_MIN: Span = Span::millis(25);
/// The shortest period between two reports of which one has urgent evidence.
pub const URGENT_REPORT_PERIOD: Span = Span::millis(100);
/// How long reports repeat suspicions after a balancer has joined the failure domain: its start, and
/// the read of the objects without which it cannot apply them.
pub const REPEAT_PERIOD: Span = Span::millis(2_500);
/// The time that each peer adds to the report period. A report has about 80 bytes, and reports may
/// take half of a balancer's control budget of 12 KB per second.
pub const REPORT_PERIOD_PER_PEER: Span = Span::millis(13);

/// The number of requests that a server queues for each of its slots. Servers of 2 slots queued 8.
pub const QUEUE_PER_SLOT: u32 = 4;

/// The latest report of each peer, and the sum per backend server.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    reports: BTreeMap<Incarnation, Report>,
    sums: SecondaryMap<key::Server, u32>,
}

#[derive(Clone, Debug)]
struct Report {
    received_at: Time,
    requests: Vec<(key::Server, u16)>,
}

impl Loads {
    /// Returns the number of requests of peers that are under way at a backend server.
    pub fn requests(&self, server: key::Server) -> u32 {
        self.sums[server]
    }

    /// Returns the age of the oldest report that is counted, zero if there is none.
    pub fn oldest_report_age(&self, now: Time) -> Span {
        let oldest = self.reports.values().map(|report| report.received_at).min();
        oldest.map_or(Span::ZERO, |at| now.since(at))
    }

    /// Returns whether most reports are older than `limit`. One balancer that has just ended makes
    /// no difference.
    pub fn are_older_than(&self, now: Time, limit: Span) -> bool {
        let ages = self.reports.values();
        let old = ages.filter(|report| now.since(report.received_at) > limit);
        old.count() * 2 > self.reports.len()
    }

    /// Applies a report in place of the sender's previous one. Unknown servers are left out.
    pub fn apply_report(
        &mut self,
        now: Time,
        from: Incarnation,
        servers: &[OpenFlows],
        table: &Table,
    ) {
        self.remove_report(from);
        let requests: Vec<(key::Server, u16)> = servers
            .iter()
            .take(REPORT_SERVERS_MAX)
            .filter_map(|flows| Some((table.server_by_mark(Mark(flows.server_hash))?, flows.count)))
            .collect();
        for &(server, count) in &requests {
            self.sums[server] += u32::from(count);
        }
        self.reports.insert(
            from,
            Report {
                received_at: now,
                requests,
            },
        );
    }

    /// Removes the report of a balancer.
    pub fn remove_report(&mut self, from: Incarnation) {
        let Some(report) = self.reports.remove(&from) else {
            return;
        };
        for (server, count) in report.requests {
            let sum = &mut self.sums[server];
            *sum = sum
                .checked_sub(u32::from(count))
                .expect("the sum includes each counted report");
        }
    }

    /// Removes reports older than `REPORT_MAX_AGE`.
    pub fn expire_reports(&mut self, now: Time) {
        let expired: Vec<Incarnation> = self
            .reports
            .iter()
            .filter(|(_, report)| now.since(report.received_at) > REPORT_MAX_AGE)
            .map(|(&from, _)| from)
            .collect();
        for from in expired {
            self.remove_report(from);
        }
    }
}

/// Returns the number of requests that a server can hold: those that it runs and its queue. It
/// rejects the others.
pub fn capacity(slots: u32) -> u32 {
    slots.max(1).saturating_mul(1 + QUEUE_PER_SLOT)
}

/// Returns the period of the load reports of a balancer with this many peers in its failure domain.
pub fn report_period(peers: u64) -> Span {
    REPORT_PERIOD_MIN.max(Span(REPORT_PERIOD_PER_PEER.0 * peers))
}

/// Builds the load report of this balancer, with the suspicions and clearances that peers should
/// apply. If `repeats_failures` is set, it repeats suspicions that peers know already.
pub(crate) fn build_report(table: &mut Table, now: Time, repeats_failures: bool) -> LoadReport {
    let mut take = |evidence| {
        take_servers(table, |row| {
            row.health.evidence(now, repeats_failures) == Some(evidence)
        })
    };
    let suspected = take(Evidence::Failure);
    let cleared = take(Evidence::Recovery);
    let rows = || table.servers().filter(|(_, row)| row.is_present());
    let busy = rows()
        .map(|(_, row)| (row, row.requests + row.losses.requests(now)))
        .filter(|&(_, requests)| requests > 0)
        .take(REPORT_SERVERS_MAX)
        .map(|(row, requests)| OpenFlows {
            server_hash: row.mark.0,
            count: u16::try_from(requests).unwrap_or(u16::MAX),
        });
    LoadReport {
        servers: busy.collect(),
        // Includes servers that are only suspected: no check of theirs has failed yet.
        unresponsive: suspected
            .into_iter()
            .map(|server| suspicion(table.server(server), now))
            .collect(),
        cleared: cleared
            .into_iter()
            .map(|server| table.server(server).mark.0)
            .collect(),
    }
}

/// Returns the servers whose evidence is wanted, as many as fit a report, and records that they are
/// reported.
fn take_servers(table: &mut Table, is_wanted: impl Fn(&Row) -> bool) -> Vec<key::Server> {
    let rows = table.servers().filter(|(_, row)| row.is_present());
    let servers: Vec<key::Server> = rows
        .filter(|(_, row)| is_wanted(row))
        .map(|(key, _)| key)
        .take(REPORT_HEALTH_MAX)
        .collect();
    for &server in &servers {
        table.server_mut(server).health.record_report();
    }
    servers
}

/// Returns the entry of a suspected server in a report.
pub(crate) fn suspicion(row: &Row, now: Time) -> Unresponsive {
    let failures = row.health.failures();
    let silent_for = match failures.silent {
        0 => Span::ZERO,
        _ => now.since(failures.silent_since),
    };
    let resent = row.health.resent();
    let resent_for = match resent.count {
        0 => Span::ZERO,
        _ => now.since(resent.since),
    };
    Unresponsive {
        server_hash: row.mark.0,
        failed_checks: u8::try_from(failures.failed).unwrap_or(u8::MAX),
        silent_checks: u8::try_from(failures.silent).unwrap_or(u8::MAX),
        silent_ms: u16::try_from(silent_for.as_millis()).unwrap_or(u16::MAX),
        resent: resent.count,
        resent_ms: u16::try_from(resent_for.as_millis()).unwrap_or(u16::MAX),
    }
}
