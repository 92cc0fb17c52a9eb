//! Scheduling and results of the health checks of suspected backend servers.
//!
//! One balancer of each failure domain checks a server, the first by rendezvous hash, and reports
//! the result to the others. Domains check separately because reachability differs between them.
//!
//! A server of another domain whose entry has lapsed is not checked once its checks are silent: it
//! takes no new flows, and writes its entry again if it returns.

use std::collections::BTreeMap;

use base::prelude::*;
use conf::key;
use member::State;

use crate::count::Kind;
use crate::effect::Effect;
use crate::established;
use crate::flow::Flow;
use crate::flow::Id;
use crate::health;
pub use crate::health::Outcome;
use crate::note::Note;
use crate::peer;
use crate::report;
use crate::state::Forwarder;
use crate::table::row::Row;
use crate::table::row::Status;

/// The number of servers of a failure domain whose failures suggest that the domain is partitioned.
const PARTITION_SERVERS_MIN: usize = 3;

/// Starts the checks that are due.
pub(crate) fn start_due(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let now = state.now;
    let lifetime = health::result_lifetime(state.report_period());
    let due: Vec<key::Server> = state
        .table
        .servers()
        .filter(|(_, row)| row.health.is_suspected() && is_check_needed(state, row))
        .filter(|&(key, row)| {
            row.health
                .is_check_due(now, lifetime, || state.checker_rank(key))
        })
        .map(|(key, _)| key)
        .collect();
    for server in due {
        state.counts.add(Kind::Checks);
        let row = state.table.server_mut(server);
        row.health.start_check(now);
        let (name, address, pool) = (row.name.clone(), row.address, row.pool);
        let path = pool.map(|pool| state.table.pool(pool).object.check_path.clone());
        out.push(Effect::Check {
            server,
            name,
            address,
            path: path.unwrap_or_default(),
            timeout: health::CHECK_TIMEOUT,
        });
    }
}

/// Records that the server of a flow left its opening packet unanswered, which may start a suspicion.
pub(crate) fn record_unanswered(state: &mut Forwarder, id: Id, flow: &Flow, out: &mut Vec<Effect>) {
    let waited = state.now.since(flow.opening_sent_at);
    let row = state.table.server_mut(flow.server);
    if row
        .health
        .record_unanswered(state.now, flow.opening_sent_at)
    {
        out.push(Effect::Note(Note::Suspected {
            server: row.name.clone(),
            flow: id,
            waited,
        }));
        state.has_urgent_evidence = true;
    }
}

/// Suspects all servers of another failure domain in which several servers have failed and none has
/// answered since: the domain is probably partitioned from here. Checks then decide on all of its
/// servers at once, rather than on each one after a caller's flow there got no answer.
pub(crate) fn suspect_domains(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let now = state.now;
    let present = || state.table.servers().filter(|(_, row)| row.is_present());
    // Mostly there is none, and this runs several times per second.
    let confirmed = present().filter(|(_, row)| row.health.is_confirmed());
    if confirmed.count() < PARTITION_SERVERS_MIN {
        return;
    }
    let mut domains: BTreeMap<key::Domain, (usize, Time, Time)> = BTreeMap::new();
    for (_, row) in present() {
        let health = &row.health;
        let entry = domains.entry(row.domain);
        let (confirmed, since, last_answer) = entry.or_insert((0, now, Time::default()));
        if let Some(at) = health.confirmed_since() {
            *confirmed += 1;
            *since = (*since).min(at);
        }
        *last_answer = (*last_answer).max(health.last_answer());
    }
    domains.retain(|&domain, &mut (confirmed, since, last_answer)| {
        let is_local = state.table.domain(domain).name == state.setting.domain;
        !is_local && confirmed >= PARTITION_SERVERS_MIN && last_answer <= since
    });
    for (domain, (_, since, _)) in domains {
        let name = state.table.domain(domain).name.clone();
        suspect_domain(state, &name, since, out);
    }
}

/// Suspects all servers of a failure domain that have not answered after `since`.
pub(crate) fn suspect_domain(
    state: &mut Forwarder,
    name: &str,
    since: Time,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let rows = state.table.servers().filter(|(_, row)| row.is_present());
    let servers: Vec<key::Server> = rows
        .filter(|(_, row)| state.table.domain(row.domain).name == name)
        .map(|(key, _)| key)
        .collect();
    let mut suspected = 0;
    for server in servers {
        let health = &mut state.table.server_mut(server).health;
        suspected += usize::from(health.suspect_with_domain(now, since));
    }
    if suspected > 0 {
        let (domain, servers) = (name.to_owned(), suspected);
        out.push(Effect::Note(Note::SuspectedDomain { domain, servers }));
    }
}

fn is_check_needed(state: &Forwarder, row: &Row) -> bool {
    match row.status {
        Status::Gone(_) => false,
        Status::Lapsed(_) if row.health.is_silent() => {
            state.table.domain(row.domain).name == state.setting.domain
        }
        _ => true,
    }
}

/// Ends suspicions that peers have cleared, and results of checks that are no longer valid.
pub(crate) fn settle(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let now = state.now;
    let lifetime = health::result_lifetime(state.report_period());
    let suspected: Vec<key::Server> = state
        .table
        .servers()
        .filter(|(_, row)| row.health.is_suspected() && is_check_needed(state, row))
        .map(|(key, _)| key)
        .collect();
    for server in suspected {
        let row = state.table.server_mut(server);
        let was_confirmed = row.health.is_confirmed();
        if row.health.settle(now, lifetime) {
            record_clearance(state, server, was_confirmed, None, out);
        }
    }
}

/// Records that a server which was suspected has been found well, here or by a peer. A server that
/// was silent may have restarted, unless this balancer lost contact with its failure domain.
pub(crate) fn record_clearance(
    state: &mut Forwarder,
    server: key::Server,
    was_confirmed: bool,
    by: Option<Incarnation>,
    out: &mut Vec<Effect>,
) {
    let was_silent = was_confirmed && state.table.server(server).health.was_silent();
    if was_silent && !is_silence_explained(state, server) {
        state.table.assume_cold(server, state.now);
    }
    let server = state.table.server(server).name.clone();
    out.push(Effect::Note(Note::Recovered { server, by }));
}

/// Returns whether a gap in the frames from a failure domain means a loss of contact. The balancers
/// of the own domain send many more frames than probes; of others, one has to have failed a probe.
pub(crate) fn is_contact_doubted(state: &Forwarder, domain: &str) -> bool {
    let mut members = state.group.members();
    domain == state.setting.domain
        || state.group.is_partitioned(domain)
        || members.any(|member| member.domain == domain && member.state == State::Suspect)
}

/// Returns whether a loss of contact with a server's failure domain explains its latest silence. A
/// balancer without a peer in its own domain goes by the others.
pub(crate) fn is_silence_explained(state: &Forwarder, server: key::Server) -> bool {
    let row = state.table.server(server);
    let domain = state.table.domain(row.domain).name.as_str();
    let since = row.health.last_suspected_at();
    let contacts = &state.contacts;
    let is_lost = |domain: &str| {
        contacts.was_restored(domain, since)
            || contacts.is_silent(state.now, domain) && is_contact_doubted(state, domain)
    };
    if domain != state.setting.domain || peer::domain_peers(state).next().is_some() {
        return is_lost(domain);
    }
    let others = state
        .group
        .members()
        .filter(|member| member.state.is_live() && member.domain != state.setting.domain);
    let mut domains: Vec<&str> = others.map(|member| member.domain.as_str()).collect();
    domains.dedup();
    !domains.is_empty() && domains.into_iter().all(is_lost)
}

/// Handles the result of a check.
pub(crate) fn handle_result(
    state: &mut Forwarder,
    server: key::Server,
    name: &str,
    outcome: Outcome,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let row = state.table.server_mut(server);
    // The key may have been reused for another server, and the suspicion may have been cleared.
    if row.name != name || !row.health.is_suspected() {
        return;
    }
    let (was_unreachable, was_confirmed) = (row.health.is_unreachable(), row.health.is_confirmed());
    let was_silent = was_confirmed && row.health.was_silent();
    let is_cleared = row.health.record_check(now, outcome);
    state.has_urgent_evidence |= row.health.is_urgent();
    if is_cleared {
        record_clearance(state, server, was_confirmed, None, out);
    } else if !was_unreachable {
        established::reset_unreachable(state, server, out);
    }
    // Both the beginning of a silence and its end.
    let is_silent = state.table.server(server).health.was_silent();
    if is_silent && is_cleared == was_silent {
        report::queue_restart_hint(state, server, is_cleared);
    }
}
