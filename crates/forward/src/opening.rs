//! Opening packets: server selection for new flows, and retransmissions of flows without an answer.
//!
//! The flow table says where earlier opening packets of a flow went. The platform's objects in force
//! decide whether the next one may go there.

use base::prelude::*;
use conf::key;

use crate::admission;
use crate::admission::Decision;
use crate::check;
use crate::count::Kind;
use crate::effect::Effect;
use crate::flow::Basis;
use crate::flow::Flow;
use crate::flow::Id;
use crate::flow::Phase;
use crate::host;
use crate::note::Note;
use crate::observation::Observation;
use crate::packet::Head;
use crate::packet::Verdict;
use crate::packet::NETWORK_DUPLICATE_WINDOW;
use crate::select::Selection;
use crate::select::Selector;
use crate::state::Forwarder;
use crate::token::Token;

/// The number of the caller's last retransmission. No opening packet follows it, so the flow cannot
/// be deferred again.
const LAST_RETRANSMISSION: u32 = 2;

/// Decides on an opening packet.
pub(crate) fn handle_packet(state: &mut Forwarder, head: &Head, out: &mut Vec<Effect>) -> Verdict {
    state.counts.add(Kind::Opening);
    let id = Id {
        caller: head.caller,
        service: head.service,
    };
    if !state.table.has_routing() {
        return Verdict::Drop(Code::NotReady);
    }
    let verdict = match state.flows.get(id).copied() {
        Some(flow) => handle_repeated(state, id, flow, head, out),
        None => assign_server(state, id, head, head.ack > 0, out),
    };
    match verdict {
        // Another balancer may have opened the flow while the packet queued here, and a reset would
        // end it. A caller that still waits sends a copy.
        Verdict::Reset(code) if state.backlog.is_active(state.now) => Verdict::Drop(code),
        verdict => verdict,
    }
}

/// Assigns a flow to a server. `is_late` says whether the caller has waited for an answer and this
/// balancer had no earlier opening packet of the flow.
fn assign_server(
    state: &mut Forwarder,
    id: Id,
    head: &Head,
    is_late: bool,
    out: &mut Vec<Effect>,
) -> Verdict {
    let Some(route) = state.table.route(id.service) else {
        return refuse_flow(state, id, Code::NoService, out);
    };
    let (pool, priority) = (route.pool_for(id.hash()), route.priority);
    let class = host::Class::new(route.kind, priority);
    if state.host.gate().is_refused(state.now, id.hash()) {
        state.counts.add(Kind::Copies);
        return refuse_flow(state, id, Code::HostFull, out);
    }
    if state.admission.is_refused(state.now, id.hash()) {
        state.counts.add(Kind::Copies);
        return refuse_flow(state, id, Code::Overloaded, out);
    }
    if state.host.is_known() && !admit_to_host(state, id, class, out) {
        return Verdict::Reset(Code::HostFull);
    }
    state.record_host_packet(class, head.length);
    if let Some(pool) = pool {
        if head.ack == 0 {
            state.demands.record_opening(state.now, pool, priority);
            state.shortages.record_opening(state.now, pool, priority);
            state.observe(id, Observation::Offered, out);
        }
        let is_controlled = state.table.pool(pool).has_priorities;
        // Selection defers a copy of an opening packet that never came here while no slot is free.
        if head.ack == 0 && is_controlled && !admit_flow(state, id, pool, priority, out) {
            return Verdict::Reset(Code::Overloaded);
        }
    }
    let selection = match pool {
        Some(pool) => select_server(state, id, pool, None, is_late),
        None => Selection::Unavailable,
    };
    match selection {
        Selection::Server(server, basis) => {
            count_spilled(state, id, server);
            record_and_forward(state, id, server, basis)
        }
        Selection::Saturated => defer_packet(state, id, head.ack, Code::SlotsTaken, out),
        Selection::ColdLimited if head.ack < LAST_RETRANSMISSION => {
            defer_packet(state, id, head.ack, Code::FlowHeld, out)
        }
        Selection::ColdLimited | Selection::Unavailable => {
            record_refusal(state, id, pool.map(|pool| (pool, priority)), out);
            refuse_flow(state, id, Code::NoServer, out)
        }
    }
}

/// Returns whether the host's link and processor admit a new flow. A flow of which another balancer
/// had the first opening packet is decided on like any other.
fn admit_to_host(state: &mut Forwarder, id: Id, class: host::Class, out: &mut Vec<Effect>) -> bool {
    let gate = state.host.gate_mut();
    if !gate.decide(state.now, class, id.hash()) {
        return true;
    }
    state.counts.add(Kind::RefusedHost);
    out.push(Effect::Note(Note::HostFull {
        flow: id,
        priority: class.priority(),
        is_upload: class.is_upload(),
        share: state.host.gate().share(class),
        usage: state.host.usage(),
    }));
    false
}

/// Returns whether a new flow is admitted. Most are without any record; the others are decided by
/// their priority's share of the pool's capacity.
fn admit_flow(
    state: &mut Forwarder,
    id: Id,
    pool: key::Pool,
    priority: u8,
    out: &mut Vec<Effect>,
) -> bool {
    let domain = &state.setting.domain;
    let supply = admission::Supply {
        table: &state.table,
        loads: &state.loads,
        local_domain: domain,
        balancers: state.group.alive_in(domain).count() as u32,
        now: state.now,
        pool,
    };
    let (offer, balancers, age) = state.demands.local(state.now, pool);
    let total = (balancers > 1).then(|| admission::Total {
        offered: offer.offered.map(|rate| rate.0),
        committed: offer.committed.0,
        age,
    });
    let decision = state
        .admission
        .decide(&supply, priority, id.hash(), total.as_ref());
    let (basis, is_admitted) = match decision {
        Decision::Free => return true,
        Decision::Admitted(basis) => (basis, true),
        Decision::Refused(basis) => (basis, false),
    };
    if !is_admitted {
        record_refusal(state, id, Some((pool, priority)), out);
    }
    state.shortages.record_decision(state.now, pool, basis);
    state.counts.add(match is_admitted {
        true => Kind::AdmittedShort,
        false => Kind::refused(priority),
    });
    out.push(Effect::Note(Note::Admission {
        flow: id,
        is_admitted,
        basis,
    }));
    is_admitted
}

/// Counts a refused flow, by the pool and priority of its route if it has a pool.
fn record_refusal(
    state: &mut Forwarder,
    id: Id,
    pool: Option<(key::Pool, u8)>,
    out: &mut Vec<Effect>,
) {
    if let Some((pool, priority)) = pool {
        state.shortages.record_refusal(state.now, pool, priority);
    }
    state.observe(id, Observation::Refused, out);
}

fn count_spilled(state: &mut Forwarder, id: Id, server: key::Server) {
    let row = state.table.server(server);
    let preferred = row
        .pool
        .and_then(|pool| state.spills.domain_for(pool, id.hash()));
    if preferred == Some(row.domain) {
        state.counts.add(Kind::Spilled);
    }
}

/// Drops an opening packet, so that the caller's retransmission is assigned to a server or refused.
fn defer_packet(
    state: &mut Forwarder,
    id: Id,
    retransmission: u32,
    code: Code,
    out: &mut Vec<Effect>,
) -> Verdict {
    state.counts.add(Kind::Held);
    let flow = id;
    out.push(Effect::Note(Note::Deferred {
        flow,
        code,
        copies: retransmission,
    }));
    Verdict::Drop(code)
}

fn record_and_forward(state: &mut Forwarder, id: Id, server: key::Server, basis: Basis) -> Verdict {
    let mut flow = Flow::new(server, Phase::Opening, state.now).with_basis(basis);
    // The request follows at once.
    flow.is_busy = true;
    flow.is_backlog = state.backlog.is_active(state.now);
    if !state.insert_flow(id, flow) {
        state.counts.add(Kind::Unrecorded);
    }
    forward_to(state, id, server)
}

/// Decides on an opening packet of a flow in the table.
fn handle_repeated(
    state: &mut Forwarder,
    id: Id,
    flow: Flow,
    head: &Head,
    out: &mut Vec<Effect>,
) -> Verdict {
    state.counts.add(Kind::Copies);
    let waited = state.now.since(flow.opening_sent_at);
    if flow.phase == Phase::Open || waited < NETWORK_DUPLICATE_WINDOW {
        return handle_duplicate(state, id, &flow);
    }
    record_unanswered(state, id, &flow, out);
    match leads_to_server(state, id, flow.server) {
        true => handle_retransmission(state, id, flow, out),
        false => reroute(state, id, flow.server, head, out),
    }
}

/// Returns whether a route in force leads from a flow's service address to a server.
fn leads_to_server(state: &Forwarder, id: Id, server: key::Server) -> bool {
    let pool = state.table.server(server).pool;
    let route = state.table.route(id.service);
    route
        .zip(pool)
        .is_some_and(|(route, pool)| route.leads_to(pool))
}

/// Forwards an opening packet to the server that has had it before, unless that server is no longer in
/// force. The packet must not go to another server then: an answer from there would take the flow
/// away from the first one, which may hold it.
fn handle_duplicate(state: &mut Forwarder, id: Id, flow: &Flow) -> Verdict {
    // A flow opens within the time of a duplicate. A later packet may be the first of another flow from
    // the same address, which a server that is leaving must not get.
    let may_take = flow.phase == Phase::Opening || state.table.takes_flows(flow.server, state.now);
    if may_take && leads_to_server(state, id, flow.server) {
        return forward_to(state, id, flow.server);
    }
    if flow.phase == Phase::Open {
        // The caller of another flow sends a copy, which is decided on without the old entry. Packets
        // of the open flow need none.
        state.remove_flow(id);
    }
    Verdict::Drop(Code::FlowOutdated)
}

/// Decides on a retransmission as on the opening packet of a new flow, since no route leads to the
/// flow's server any more.
fn reroute(
    state: &mut Forwarder,
    id: Id,
    from: key::Server,
    head: &Head,
    out: &mut Vec<Effect>,
) -> Verdict {
    state.counts.add(Kind::Rerouted);
    out.push(Effect::Note(Note::Rerouted {
        flow: id,
        from: state.table.server(from).name.clone(),
        routing: state.table.routing_version().into(),
    }));
    state.remove_flow(id);
    assign_server(state, id, head, false, out)
}

/// Records that the server of a flow left its opening packet unanswered until the caller's
/// retransmission.
fn record_unanswered(state: &mut Forwarder, id: Id, flow: &Flow, out: &mut Vec<Effect>) {
    let now = state.now;
    // A copy that may have queued as well does not show that the caller still waits.
    if state.backlog.is_active(now) {
        return;
    }
    if let Some(entry) = state.flows.get_mut(id) {
        entry.is_backlog = false;
    }
    check::record_unanswered(state, id, flow, out);
}

/// Moves a flow to another server, since its own has not answered by the time that the caller
/// retransmits its opening packet.
fn handle_retransmission(
    state: &mut Forwarder,
    id: Id,
    flow: Flow,
    out: &mut Vec<Effect>,
) -> Verdict {
    let now = state.now;
    let row = state.table.server(flow.server);
    let (pool, is_confirmed) = (row.pool, row.health.is_confirmed());
    // A flow that is in the table may move to a server without a free slot, unlike a retransmitted
    // one that this balancer has not seen.
    let selection = pool.map(|pool| select_server(state, id, pool, Some(flow.server), false));
    let Some(Selection::Server(server, basis)) = selection else {
        if !is_confirmed {
            return resend(state, id, flow.server);
        }
        state.remove_flow(id);
        let priority = state.table.route(id.service).map(|route| route.priority);
        record_refusal(state, id, pool.zip(priority), out);
        return refuse_flow(state, id, Code::NoServer, out);
    };
    out.push(Effect::Note(Note::Moved {
        flow: id,
        from: state.table.server(flow.server).name.clone(),
        to: state.table.server(server).name.clone(),
        waited: now.since(flow.opening_sent_at),
        basis,
    }));
    state.counts.add(Kind::Moves);
    state.table.server_mut(flow.server).remove_flow(&flow);
    // The caller waits, so that its request follows at once.
    let mut moved = flow;
    moved.is_busy = true;
    state.table.server_mut(server).add_flow(&moved);
    let entry = state
        .flows
        .get_mut(id)
        .expect("a retransmission belongs to a flow in the table");
    entry.is_busy = true;
    entry.server = server;
    entry.opening_sent_at = now;
    entry.last_seen = now;
    entry.moves = entry.moves.saturating_add(1);
    entry.basis = basis;
    state.flows.queue_request(id);
    forward_to(state, id, server)
}

/// Forwards a retransmission to the same server, since no other one is available.
fn resend(state: &mut Forwarder, id: Id, server: key::Server) -> Verdict {
    let now = state.now;
    let entry = state
        .flows
        .get_mut(id)
        .expect("a retransmission belongs to a flow in the table");
    entry.opening_sent_at = now;
    entry.last_seen = now;
    forward_to(state, id, server)
}

fn select_server(
    state: &Forwarder,
    id: Id,
    pool: key::Pool,
    except: Option<key::Server>,
    is_retransmitted: bool,
) -> Selection {
    let selector = Selector {
        table: &state.table,
        loads: &state.loads,
        speeds: &state.speeds,
        balancer: state.incarnation(),
        local_domain: &state.setting.domain,
        preferred_domain: state.spills.domain_for(pool, id.hash()),
        now: state.now,
        flow: id.hash(),
        except,
        is_retransmitted,
    };
    selector.select(pool, |server| state.may_open_cold(server))
}

/// Forwards an opening packet to a server with its route token. If the server is cold, its next new
/// flow waits for a whole interval from now, also after a retransmission or a network duplicate.
fn forward_to(state: &mut Forwarder, id: Id, server: key::Server) -> Verdict {
    let now = state.now;
    let is_cold = state.table.is_cold(server, now);
    let row = state.table.server(server);
    let (pool, target, mark) = (row.pool, row.target(), row.mark);
    if let (true, Some(pool)) = (is_cold, pool) {
        let interval = state.setting.cold.interval(&state.table.pool(pool).object);
        state.table.server_mut(server).next_cold_flow_at = now + interval;
    }
    Verdict::Forward {
        target,
        token: Some(Token::new(mark, id.service)),
    }
}

fn refuse_flow(state: &mut Forwarder, id: Id, code: Code, out: &mut Vec<Effect>) -> Verdict {
    out.push(Effect::Note(Note::Refused {
        flow: id,
        code,
        routing: state.table.routing_version().into(),
        age: state.feeds.age(conf::object::Kind::Server, state.now),
    }));
    Verdict::Reset(code)
}
