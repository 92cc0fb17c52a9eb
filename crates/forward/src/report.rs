//! Exchange of load reports: what peers of the own failure domain report of servers is applied, and
//! servers that may have restarted are hinted to the balancers of other domains.

use std::net::SocketAddr;

use base::prelude::*;
use conf::key;
use wire::demand::DomainDemand;
use wire::demand::PoolDemand;
use wire::frame::Body;
use wire::frame::HostUse;
use wire::frame::LoadReport;

use crate::check;
use crate::count;
use crate::effect::Effect;
use crate::established;
use crate::exchange::Outgoing;
use crate::health::Failures;
use crate::host::readiness;
use crate::host::Sample;
use crate::load;
use crate::note::Note;
use crate::peer;
use crate::retransmission;
use crate::state::Forwarder;
use crate::token::Mark;

/// Applies a report of a peer: its loads, suspicions and clearances, or a restart hint if it is in
/// another failure domain.
pub(crate) fn apply(
    state: &mut Forwarder,
    from: Incarnation,
    report: &LoadReport,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let sender = state.group.get(from);
    if sender.is_some_and(|member| member.domain != state.setting.domain) {
        return apply_restart_hint(state, from, report, out);
    }
    state
        .loads
        .apply_report(now, from, &report.servers, &state.table);
    for suspicion in report.unresponsive.iter().take(load::REPORT_HEALTH_MAX) {
        let Some(server) = state.table.server_by_mark(Mark(suspicion.server_hash)) else {
            continue;
        };
        let row = state.table.server_mut(server);
        let was_unreachable = row.health.is_unreachable();
        let failures = Failures {
            failed: suspicion.failed_checks.into(),
            silent: suspicion.silent_checks.into(),
            silent_since: now - Span::millis(suspicion.silent_ms.into()),
        };
        let is_new = row.health.apply_peer_suspicion(now, failures);
        let resent = retransmission::Report {
            count: suspicion.resent,
            since: now - Span::millis(suspicion.resent_ms.into()),
        };
        row.health.apply_peer_resent(from, resent);
        state.has_urgent_evidence |= row.health.is_urgent();
        if is_new {
            let server = row.name.clone();
            out.push(Effect::Note(Note::SuspectedByPeer { server, by: from }));
        }
        if row.health.is_unreachable() && !was_unreachable {
            established::reset_flows(state, server, out);
        }
    }
    for &mark in report.cleared.iter().take(load::REPORT_HEALTH_MAX) {
        let Some(server) = state.table.server_by_mark(Mark(mark)) else {
            continue;
        };
        let health = &mut state.table.server_mut(server).health;
        let was_confirmed = health.is_confirmed();
        if health.apply_peer_clearance(now) {
            check::record_clearance(state, server, was_confirmed, Some(from), out);
        }
    }
}

/// Treats the servers of a restart hint as cold. Their health is left alone: reachability differs
/// between failure domains.
fn apply_restart_hint(
    state: &mut Forwarder,
    from: Incarnation,
    report: &LoadReport,
    out: &mut Vec<Effect>,
) {
    let suspected = report.unresponsive.iter().map(|server| server.server_hash);
    let marks = suspected.chain(report.cleared.iter().copied());
    for mark in marks.take(load::REPORT_HEALTH_MAX) {
        if let Some(server) = state.table.server_by_mark(Mark(mark)) {
            state.table.assume_cold(server, state.now);
            let server = state.table.server(server).name.clone();
            out.push(Effect::Note(Note::RestartHinted { server, by: from }));
        }
    }
}

/// A server that may have restarted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hint {
    server: key::Server,
    has_recovered: bool,
}

/// Queues a restart hint to the balancers of all other failure domains: a server of this domain has
/// become unresponsive or has recovered, so that it may have restarted. They do not notice that
/// themselves unless they sent a flow there meanwhile, and its entry may say so only later.
pub(crate) fn queue_restart_hint(state: &mut Forwarder, server: key::Server, has_recovered: bool) {
    let row = state.table.server(server);
    let is_local = state.table.domain(row.domain).name == state.setting.domain;
    if is_local && !check::is_silence_explained(state, server) {
        state.hints.push(Hint {
            server,
            has_recovered,
        });
    }
}

/// Sends the queued restart hints. Those of servers that restart together share frames.
pub(crate) fn publish_restart_hints(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let hints = std::mem::take(&mut state.hints);
    if hints.is_empty() {
        return;
    }
    let members = state.group.members();
    let others = members.filter(|member| member.domain != state.setting.domain);
    let to: Vec<SocketAddr> = others
        .filter(|member| member.state.is_live())
        .map(|member| member.peer.datagram)
        .collect();
    for hints in hints.chunks(load::REPORT_HEALTH_MAX) {
        let mut body = LoadReport::default();
        for hint in hints {
            let row = state.table.server(hint.server);
            match hint.has_recovered {
                true => body.cleared.push(row.mark.0),
                false => body.unresponsive.push(load::suspicion(row, state.now)),
            }
        }
        for &to in &to {
            peer::send_frame(state, to, Body::LoadReport(body.clone()), out);
        }
    }
}

/// Sends this balancer's load report to the balancers of its own failure domain.
pub(crate) fn publish(state: &mut Forwarder, report: LoadReport, out: &mut Vec<Effect>) {
    let body = Body::LoadReport(report);
    let to: Vec<SocketAddr> = peer::domain_peers(state)
        .map(|member| member.peer.datagram)
        .collect();
    for to in to {
        peer::send_frame(state, to, body.clone(), out);
    }
}

/// Applies the demand of a peer.
pub(crate) fn apply_demand(state: &mut Forwarder, from: Incarnation, pools: &[PoolDemand]) {
    let (exchange, demands, view) = state.exchange_parts();
    if !exchange.apply_demand(&view, demands, from, pools) {
        state.counts.add(count::Kind::DemandRejected);
    }
}

/// Applies the summary of another failure domain, and passes it on.
pub(crate) fn apply_summary(
    state: &mut Forwarder,
    from: Incarnation,
    summary: DomainDemand,
    out: &mut Vec<Effect>,
) {
    let (exchange, demands, view) = state.exchange_parts();
    match exchange.apply_summary(&view, demands, from, summary) {
        Some(frames) => send_demand(state, frames, out),
        None => state.counts.add(count::Kind::DemandRejected),
    }
}

/// Sends frames about demand.
pub(crate) fn send_demand(state: &mut Forwarder, frames: Vec<Outgoing>, out: &mut Vec<Effect>) {
    for Outgoing { to, body } in frames {
        state.counts.add(count::Kind::DemandFrames);
        peer::send_frame(state, to, body, out);
    }
}

/// Records what the process has used of its host, and what the pacer has done.
pub(crate) fn observe_host(state: &mut Forwarder, sample: Sample, out: &mut Vec<Effect>) {
    let before = state.host.latest();
    state.host.observe(state.now, sample);
    let delayed = sample.delayed.saturating_sub(before.delayed);
    let dropped = sample.dropped.saturating_sub(before.dropped);
    state.counts.add_many(count::Kind::PacedDelayed, delayed);
    state.counts.add_many(count::Kind::PacedDropped, dropped);
    if let Some((delayed, dropped)) = state.host.paced_to_log(state.now) {
        let usage = state.host.usage();
        out.push(Effect::Note(Note::Paced {
            delayed,
            dropped,
            usage,
        }));
    }
}

/// Applies the use that another balancer of the failure domain announces of its host.
pub(crate) fn apply_host_use(state: &mut Forwarder, from: Incarnation, announced: HostUse) {
    let is_peer = peer::domain_peers(state).any(|member| member.incarnation == from);
    match is_peer {
        true => state.host.readiness_mut().apply(state.now, from, announced),
        false => state.counts.add(count::Kind::HostUseRejected),
    }
}

/// Reports the host as not ready, or as ready again, and announces its use to the failure domain.
pub(crate) fn review_host(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let usage = state.host.usage();
    let is_idle = state.host.readiness().is_idle(usage.greatest());
    if !state.host.is_known() || is_idle {
        return;
    }
    let now = state.now;
    let peers: Vec<Incarnation> = peer::domain_peers(state)
        .map(|member| member.incarnation)
        .collect();
    let view = readiness::View {
        now,
        domain: base::hash::bytes(state.setting.domain.as_bytes()),
        me: state.incarnation(),
        peers: &peers,
    };
    let readiness = state.host.readiness_mut();
    let outcome = readiness.update(&view, usage.greatest());
    let peers_above = readiness.peers_above(now);
    if let Some(is_ready) = outcome.change {
        if !is_ready {
            state.counts.add(count::Kind::HostWithdrawn);
        }
        out.push(Effect::Note(Note::HostReady {
            is_ready,
            usage,
            peers_above,
        }));
    }
    let Some(announcement) = outcome.announcement else {
        return;
    };
    let to: Vec<SocketAddr> = peer::domain_peers(state)
        .map(|member| member.peer.datagram)
        .collect();
    for to in to {
        peer::send_frame(state, to, Body::HostUse(announcement), out);
    }
}
