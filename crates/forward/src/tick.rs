//! Timers and periodic work.

use std::net::SocketAddr;

use base::prelude::*;

use crate::check;
use crate::count;
use crate::effect::Effect;
use crate::flow::Expired;
use crate::flow::Flow;
use crate::flow::Id;
use crate::flow::Phase;
use crate::load;
use crate::note::Note;
use crate::observation::Observation;
use crate::peer;
use crate::read;
use crate::report;
use crate::role::Role;
use crate::role::Tier;
use crate::spill;
use crate::state::Forwarder;
use crate::transfer;

/// The period of `Event::Tick`.
pub const PERIOD: Span = Span::millis(25);
/// The period of membership steps, which start probes and detect their time-outs. It is several
/// times shorter than the probe period, so that neither is much delayed.
const MEMBERSHIP_PERIOD: Span = Span::millis(75);
/// The time without a peer in the failure domain after which balancers' addresses are read from the
/// platform.
const DISCOVERY_DELAY: Span = Span::millis(700);
/// The period of further discoveries without a peer.
const DISCOVERY_PERIOD: Span = Span::secs(5);
/// How long a balancer has to be reader or relay before it announces its address.
const ANNOUNCE_DELAY: Span = Span::secs(2);
/// The shortest duration of a planned stop. The fabric probes twice per second, and takes a
/// balancer out after two failed probes.
const STOP_TIME_MIN: Span = Span::millis(1_600);
/// The time without a packet after which a stopping balancer expects no more. A caller retransmits
/// after 200 ms.
const STOP_QUIET_PERIOD: Span = Span::millis(500);
/// The part of the grace period that is reserved for the exit itself.
const EXIT_MARGIN: Span = Span::millis(1_000);

/// The times at which periodic work is due.
#[derive(Clone, Debug)]
pub(crate) struct Timers {
    /// Whether the platform may have an announcement of this balancer.
    pub(crate) is_announced: bool,
    needs_announcement: bool,
    membership: Time,
    pub(crate) watermark: Time,
    /// When the last load report was sent.
    report: Time,
    discovery: Time,
    announcement: Time,
    pub(crate) resync: Time,
}

impl Timers {
    pub(crate) fn new(now: Time) -> Timers {
        Timers {
            is_announced: false,
            needs_announcement: true,
            membership: now,
            watermark: now,
            report: now,
            resync: now,
            announcement: now + ANNOUNCE_DELAY,
            discovery: now + DISCOVERY_DELAY,
        }
    }

    /// Announces this balancer once more if it has been announced.
    pub(crate) fn repeat_announcement(&mut self, now: Time) {
        if self.is_announced {
            self.needs_announcement = true;
            self.announcement = now + ANNOUNCE_DELAY;
        }
    }
}

/// Runs the periodic work that is due.
pub(crate) fn tick(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let now = state.now;
    if now >= state.timers.membership {
        state.timers.membership = now + MEMBERSHIP_PERIOD;
        peer::step_group(state, member::Event::Tick, out);
        state.role = Role::new(&state.group);
        state.observe_owners();
        announce(state, out);
        discover_peers(state, out);
        expire_servers(state, out);
        observe_store(state);
        state.loads.expire_reports(now);
        expire_demand(state);
        state.shortages.expire(now);
        check::settle(state, out);
        check::suspect_domains(state, out);
    }
    expire_flows(state, out);
    check::start_due(state, out);
    read::start_due(state, out);
    publish_load(state, out);
    report::publish_restart_hints(state, out);
    exchange_demand(state, out);
    report::review_host(state, out);
    transfer::answer_waiting(state, out);
    let is_ready = state.is_ready();
    if is_ready != state.was_ready {
        state.was_ready = is_ready;
        state.backlog.begin(now);
        out.push(Effect::Note(Note::Ready {
            is_ready,
            routing: state.table.routing_version().into(),
            servers: state.table.servers().count(),
        }));
    }
    if state
        .stopping_since
        .is_some_and(|since| is_stop_complete(state, since))
    {
        out.push(Effect::Exit);
    }
}

fn is_stop_complete(state: &Forwarder, since: Time) -> bool {
    let now = state.now;
    let waited = now.since(since);
    let max_wait = Span(state.setting.grace.0.saturating_sub(EXIT_MARGIN.0));
    let is_quiet = now.since(state.last_packet_at) >= STOP_QUIET_PERIOD;
    waited >= max_wait || waited >= STOP_TIME_MIN && is_quiet
}

/// Announces the address of a reader or relay on the platform, so that a balancer whose seeds do
/// not answer can discover it.
fn announce(state: &mut Forwarder, out: &mut Vec<Effect>) {
    if state.role.tier == Tier::Follower {
        state.timers.announcement = state.now + ANNOUNCE_DELAY;
    } else if state.timers.needs_announcement && state.now >= state.timers.announcement {
        state.timers.needs_announcement = false;
        state.timers.is_announced = true;
        out.push(Effect::Announce);
    }
}

fn discover_peers(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let now = state.now;
    if peer::domain_peers(state).next().is_some() {
        state.timers.discovery = now + DISCOVERY_PERIOD;
    } else if now >= state.timers.discovery {
        state.timers.discovery = now + DISCOVERY_PERIOD;
        out.push(Effect::Discover);
    }
}

fn expire_servers(state: &mut Forwarder, out: &mut Vec<Effect>) {
    for server in state.table.expire_servers(state.now) {
        out.push(Effect::Note(Note::Lapsed {
            server: state.table.server(server).name.clone(),
            missing: crate::table::MISSING_ENTRY_GRACE,
        }));
    }
}

/// Finds out whether this balancer reaches the store, if a pool depends on that.
fn observe_store(state: &mut Forwarder) {
    let now = state.now;
    let is_needed = state.table.depends_on_lapsed(&state.setting.domain);
    if is_needed && state.reach.start_due_read(now) {
        state.feeds.request_heartbeat(now);
    }
    state.table.set_store_reached(state.reach.is_reached(now));
}

fn expire_flows(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let now = state.now;
    let mut lost = Vec::new();
    while let Some((id, expired)) = state.flows.expire(now) {
        let flow = match expired {
            Expired::Request(flow) => {
                end_request(state, id, &flow, &mut lost);
                continue;
            }
            Expired::Flow(flow) => flow,
        };
        if let Some(took) = flow.request_time() {
            state.observe(id, Observation::Ended(took), out);
        }
        let row = state.table.server_mut(flow.server);
        row.remove_flow(&flow);
        let was_open = flow.phase == Phase::Open;
        if !was_open && !flow.is_backlog {
            state.has_urgent_evidence |= row.health.record_unanswered(now, flow.opening_sent_at);
        }
        state.counts.add(match was_open {
            true => count::Kind::Quiet,
            false => count::Kind::Unanswered,
        });
        out.push(Effect::Note(Note::Expired {
            flow: id,
            server: row.name.clone(),
            moves: flow.moves,
            was_open,
            age: now.since(flow.opened_at),
        }));
    }
    suspect_servers(state, &lost, out);
}

/// Ends a request that had no answer in time, and adds it to `lost` if its flow has not opened.
fn end_request(state: &mut Forwarder, id: Id, flow: &Flow, lost: &mut Vec<(Id, Flow)>) {
    let now = state.now;
    let row = state.table.server_mut(flow.server);
    row.requests -= 1;
    row.losses.record_lost(now);
    if flow.phase == Phase::Opening && !flow.is_backlog {
        let domain = row.domain;
        if flow.moves == 0 {
            state.lost_openings.record(now, domain, flow.server);
        }
        lost.push((id, *flow));
    }
}

/// Suspects the servers of flows that have not opened in time. That suggests that a server has ended
/// and its host resets flows. The server looks idle then, so it has to be suspected before it attracts
/// all new flows. Its callers send no copy that would show the failure.
fn suspect_servers(state: &mut Forwarder, lost: &[(Id, Flow)], out: &mut Vec<Effect>) {
    let now = state.now;
    let is_common = !lost.is_empty() && state.lost_openings.is_common(now);
    for &(id, flow) in lost.iter().filter(|(_, flow)| flow.moves > 0 || !is_common) {
        check::record_unanswered(state, id, &flow, out);
    }
}

fn publish_load(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let now = state.now;
    let period = state.report_period();
    let period = match state.has_urgent_evidence {
        true => period.min(load::URGENT_REPORT_PERIOD),
        false => period,
    };
    if now.since(state.timers.report) < period {
        return;
    }
    state.timers.report = now;
    if peer::domain_peers(state).next().is_some() {
        let report = load::build_report(&mut state.table, now, now < state.repeat_until);
        report::publish(state, report, out);
    }
    review_speeds(state, out);
    let mut rows = state.table.servers();
    state.has_urgent_evidence = rows.any(|(_, row)| row.is_present() && row.health.is_urgent());
}

/// Logs changes of servers' speeds, and sends the slow ones to peers.
fn review_speeds(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let Some(review) = state.speeds.review(state.now, &state.table) else {
        return;
    };
    for change in review.changes {
        if change.is_slow {
            state.counts.add(count::Kind::Slowed);
        }
        out.push(Effect::Note(Note::SlowServer {
            server: state.table.server(change.server).name.clone(),
            is_slow: change.is_slow,
            service: change.service,
            pool: change.pool,
        }));
    }
    if review.report.is_empty() {
        return;
    }
    let local: Vec<SocketAddr> = peer::domain_peers(state)
        .map(|member| member.peer.datagram)
        .collect();
    let members = state.group.members();
    let remote: Vec<SocketAddr> = members
        .filter(|member| member.state.is_live() && member.domain != state.setting.domain)
        .map(|member| member.peer.datagram)
        .collect();
    let servers = review.report.len();
    for to in state.speeds.recipients(&local, &remote, servers) {
        peer::send_frame(
            state,
            to,
            wire::frame::Body::Speeds(review.report.clone()),
            out,
        );
    }
}

/// Removes the demand of balancers and failure domains that do not count any more.
fn expire_demand(state: &mut Forwarder) {
    let (_, demands, view) = state.exchange_parts();
    let is_peer = |from| {
        let member = view.group.get(from);
        member.is_some_and(|member| member.state.is_live() && member.domain == view.domain)
    };
    let is_reached = |domain| view.is_reached(&view.table.domain(domain).name);
    demands.expire(view.now, is_peer, is_reached);
}

/// Updates the occupancy and the shares that spill when they are due, and sends demand.
fn exchange_demand(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let report_period = state.report_period();
    let (exchange, demands, view) = state.exchange_parts();
    let is_due = exchange.is_due(view.now);
    if is_due {
        exchange.observe(&view, demands);
    }
    let frames = exchange.frames(&view, demands, report_period);
    report::send_demand(state, frames, out);
    if is_due {
        update_spills(state, out);
    }
}

fn update_spills(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let mut pools = state.exchange.active();
    pools.extend(state.spills.iter().map(|(pool, _)| pool));
    pools.sort_unstable();
    pools.dedup();
    if pools.is_empty() {
        return;
    }
    let responsive = spill::responsive_domains(&state.table);
    for pool in pools {
        let (_, demands, view) = state.exchange_parts();
        let (own, others) = spill::occupancies(&view, demands, &responsive, pool);
        let previous = state.spills.get(pool).cloned().unwrap_or_default();
        let shares = own.map(|own| spill::shares(&own, &others, &previous));
        let note = Note::Spill {
            pool: state.table.pool(pool).object.name.clone(),
            is_spilling: !previous.is_spilling,
            shares: shares
                .iter()
                .flat_map(|shares| &shares.parts)
                .map(|&(domain, share)| (state.table.domain(domain).name.clone(), share))
                .collect(),
            slots: own.map_or(0, |own| own.room.slots),
            running: own.map_or(0, |own| own.room.running),
            age: others
                .iter()
                .map(|other| other.room.age)
                .max()
                .unwrap_or_default(),
        };
        if own.iter().chain(&others).all(spill::Occupancy::is_full) && own.is_some() {
            state.shortages.record_full(state.now, pool);
        }
        if state.spills.set(pool, shares.unwrap_or_default()) {
            out.push(Effect::Note(note));
        }
    }
}
