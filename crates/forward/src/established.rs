//! Packets of open flows, forwarded by route token.

use base::prelude::*;
use conf::key;

use crate::admission;
use crate::check;
use crate::count::Kind;
use crate::effect::Effect;
use crate::flow::Flow;
use crate::flow::Id;
use crate::flow::Phase;
use crate::flow::REQUEST_TIMEOUT;
use crate::load;
use crate::note::Note;
use crate::observation::Observation;
use crate::packet::Flags;
use crate::packet::Head;
use crate::packet::Verdict;
use crate::packet::NETWORK_DUPLICATE_WINDOW;
use crate::running;
use crate::state::Forwarder;
use crate::token::Token;

/// The longest time from an opening packet to the data of the flow's first request. A handshake
/// takes some 10 ms.
const FIRST_REQUEST_DELAY: Span = Span::millis(100);

/// Decides on a packet other than an opening one. Its token names the backend server.
pub(crate) fn handle_packet(state: &mut Forwarder, head: &Head, out: &mut Vec<Effect>) -> Verdict {
    let Some(server) = state.table.server_by_mark(head.token.mark(head.service)) else {
        state.counts.add(Kind::Unknown);
        return Verdict::Drop(Code::TokenUnknown);
    };
    let now = state.now;
    let row = state.table.server(server);
    let target = row.target();
    let out_since = state.table.domain(row.domain).out_since;
    if out_since.is_some_and(|since| now.since(since) >= state.setting.out_after) {
        state.counts.add(Kind::Out);
        return Verdict::Drop(Code::FlowOut);
    }
    let id = Id {
        caller: head.caller,
        service: head.service,
    };
    // A reset from the caller ends the flow, and needs no answer.
    if row.health.is_unreachable() && !head.flags.rst {
        return reset_flow(state, id, server, out);
    }
    state.counts.add(Kind::Passed);
    if state.host.is_known() {
        if let Some(class) = state.host_class(head.service) {
            state.record_host_packet(class, head.length);
        }
    }
    let forward = Verdict::Forward {
        target,
        token: None,
    };
    if !adopt_flow(state, id, head, server) {
        return forward;
    }
    let flow = flow_mut(state, id);
    flow.last_seen = now;
    if flow.phase == Phase::Opening {
        // The caller has the token from the server's answer, so this packet shows that the server
        // has answered.
        flow.phase = Phase::Open;
        flow.ack = head.ack;
        let took = now.since(flow.opening_sent_at);
        record_handshake(state, server, took);
        record_answer(state, server, out);
        out.push(Effect::Opened { took });
    }
    match head.length {
        0 => handle_acknowledgement(state, id, head, out),
        _ => handle_data(state, id, head, out),
    }
    if head.flags.fin || head.flags.rst {
        if let Some(flow) = state.remove_flow(id) {
            if let Some(took) = flow.request_time() {
                state.observe(id, Observation::Ended(took), out);
            }
            let lasted = now.since(flow.opened_at);
            out.push(Effect::Closed { lasted });
        }
    }
    forward
}

/// Makes the entry of a flow match the server that its token names, and adds one for data of a flow
/// that has none. Returns whether the flow has an entry.
fn adopt_flow(state: &mut Forwarder, id: Id, head: &Head, server: key::Server) -> bool {
    match state.flows.get(id).copied() {
        // The previous server may answer after the flow has moved to another one.
        Some(flow) if flow.server != server => {
            state.table.server_mut(flow.server).remove_flow(&flow);
            state.table.server_mut(server).add_flow(&flow);
            flow_mut(state, id).server = server;
            true
        }
        Some(_) => true,
        None if head.length == 0 || head.flags.fin || head.flags.rst => false,
        None => {
            let mut flow = Flow::new(server, Phase::Open, state.now);
            flow.data_seq = head.seq.wrapping_sub(1);
            flow.ack = head.ack;
            // The flow's first request may have been logged by another balancer.
            flow.has_logged_request = true;
            state.insert_flow(id, flow)
        }
    }
}

fn flow_mut(state: &mut Forwarder, id: Id) -> &mut Flow {
    let flow = state.flows.get_mut(id);
    flow.expect("the flow has an entry")
}

/// Handles a packet without data: the caller has received a part of the response.
fn handle_acknowledgement(state: &mut Forwarder, id: Id, head: &Head, out: &mut Vec<Effect>) {
    let now = state.now;
    let flow = flow_mut(state, id);
    if flow.ack == head.ack {
        return;
    }
    let size = head.ack.wrapping_sub(flow.ack);
    flow.ack = head.ack;
    let was_busy = std::mem::take(&mut flow.is_busy);
    let was_due = std::mem::take(&mut flow.awaits_answer);
    // The first acknowledgement of a flow may be that of the handshake.
    let first = match was_due || was_busy || flow.answered_at.is_some() {
        true => flow.record_answer(now),
        false => None,
    };
    let flow = *flow;
    if let Some(took) = first {
        state.observe(id, Observation::Answered(took), out);
    }
    if was_due {
        observe_answer(state, id, &flow, size, was_busy);
    }
    if was_busy {
        state.table.server_mut(flow.server).requests -= 1;
    }
    if was_due {
        let row = state.table.server_mut(flow.server);
        row.losses.record_answer(state.now);
        record_speed(state, &flow, size);
    }
    // A request that no longer counts may still be answered.
    if was_busy || was_due {
        record_answer(state, flow.server, out);
    }
}

/// Records the service time that an answer shows, or that its server is full.
fn record_speed(state: &mut Forwarder, flow: &Flow, size: u32) {
    let (now, server) = (state.now, flow.server);
    let row = state.table.server(server);
    let Some(pool) = row.pool else {
        return;
    };
    let slots = row.slots;
    // The reports of peers may have shown only later that the slots were taken.
    let others = running::requests(row, &state.loads, server, load::capacity(slots));
    let had_free_slot = flow.ahead.max(others) < slots;
    if state.speeds.is_rejection(pool, size, had_free_slot) {
        state.counts.add(Kind::Rejected);
        return state.speeds.record_rejection(now, server, pool);
    }
    state.speeds.record_size(pool, size);
    if !flow.is_resent {
        let latency = state.admission.handshake(pool, row.domain);
        let took = now.since(flow.data_sent_at);
        let took = Span(took.0.saturating_sub(latency.0));
        state
            .speeds
            .record(now, server, pool, took, flow.ahead, slots);
    }
}

/// Handles data of the caller. Servers acknowledge data at once, whatever they do with it, and
/// callers retransmit it 200 ms later if that does not arrive. Data that arrives again without
/// progress since then is therefore evidence of a failure, as an opening packet is.
fn handle_data(state: &mut Forwarder, id: Id, head: &Head, out: &mut Vec<Effect>) {
    let now = state.now;
    let flow = flow_mut(state, id);
    let waited = now.since(flow.data_sent_at);
    // The request may have ceased to count as under way before the second retransmission.
    let is_repeated = flow.awaits_answer && flow.is_repeated(head.seq);
    if is_repeated && waited < NETWORK_DUPLICATE_WINDOW {
        return;
    }
    let sent_at = std::mem::replace(&mut flow.data_sent_at, now);
    let has_progress = std::mem::replace(&mut flow.ack, head.ack) != head.ack;
    let was_busy = std::mem::replace(&mut flow.is_busy, true);
    let (server, is_logged) = (flow.server, flow.has_logged_request);
    flow.has_logged_request = true;
    if !is_repeated {
        flow.data_seq = head.seq;
    }
    let (moves, opened_at, basis) = (flow.moves, flow.opened_at, flow.basis);
    flow.is_resent = is_repeated;
    let was_due = std::mem::replace(&mut flow.awaits_answer, true);
    // Data after an answer is the next request.
    let ended = match is_logged && !was_due {
        true => flow.start_request(now),
        false => None,
    };
    if let Some(took) = ended {
        state.observe(id, Observation::Ended(took), out);
    }
    state.table.server_mut(server).requests += u32::from(!was_busy);
    time_request(state, id, server);
    if is_logged && !was_due {
        record_request(state, id, server);
    }
    if is_repeated && !has_progress {
        record_resent(state, id, server, sent_at, out);
    }
    if !is_logged {
        out.push(Effect::Note(Note::Request {
            flow: id,
            server: state.table.server(server).name.clone(),
            moves,
            opened: now.since(opened_at),
            basis,
            routing: state.table.routing_version().into(),
        }));
    }
}

/// Records that data sent at `sent` arrived again without an answer. It may be the last evidence that
/// the server is unreachable.
fn record_resent(
    state: &mut Forwarder,
    id: Id,
    server: key::Server,
    sent: Time,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let row = state.table.server_mut(server);
    let was_unreachable = row.health.is_unreachable();
    if row.health.record_resent(now, sent) {
        out.push(Effect::Note(Note::Suspected {
            server: row.name.clone(),
            flow: id,
            waited: now.since(sent),
        }));
    }
    state.has_urgent_evidence |= row.health.is_urgent();
    if !was_unreachable {
        reset_unreachable(state, server, out);
    }
}

/// Sets how long the request of a flow counts as under way, and what is ahead of it.
fn time_request(state: &mut Forwarder, id: Id, server: key::Server) {
    let row = state.table.server(server);
    let running = running::requests(row, &state.loads, server, load::capacity(row.slots));
    let ahead = running.saturating_sub(1);
    let timeout = match row.pool {
        Some(pool) => state.speeds.answer_timeout(state.now, server, pool),
        None => REQUEST_TIMEOUT,
    };
    let flow = flow_mut(state, id);
    flow.ahead = ahead;
    flow.request_timeout = timeout;
    state.flows.queue_request(id);
}

/// Records a request on a flow that was open already, which nobody can refuse.
fn record_request(state: &mut Forwarder, id: Id, server: key::Server) {
    let pool = state.table.server(server).pool;
    if let (Some(pool), Some(route)) = (pool, state.table.route(id.service)) {
        state
            .admission
            .record_request(state.now, pool, route.priority);
        state.demands.record_request(state.now, pool);
    }
}

fn record_handshake(state: &mut Forwarder, server: key::Server, took: Span) {
    let row = state.table.server(server);
    if let Some(pool) = row.pool {
        state.admission.record_handshake(pool, row.domain, took);
    }
}

/// Records an answer for the estimate of the pool's capacity. `was_busy` says whether its request
/// is still among those under way.
fn observe_answer(state: &mut Forwarder, id: Id, flow: &Flow, bytes: u32, was_busy: bool) {
    let row = state.table.server(flow.server);
    let (Some(pool), Some(route)) = (row.pool, state.table.route(id.service)) else {
        return;
    };
    let now = state.now;
    let took = now.since(flow.data_sent_at);
    // The first request counts as under way from the opening packet on.
    let is_first = flow.data_sent_at.since(flow.opening_sent_at) < FIRST_REQUEST_DELAY;
    let running = running::requests(row, &state.loads, flow.server, u32::MAX);
    let answer = admission::Answer {
        took,
        counted: match is_first {
            true => now.since(flow.opening_sent_at),
            false => took,
        },
        bytes,
        running: running + u32::from(!was_busy),
        slots: row.slots,
        target: route.target,
    };
    let domain = row.domain;
    state
        .admission
        .record_answer(now, id.service, pool, domain, &answer);
}

/// Records that a server has answered a caller.
fn record_answer(state: &mut Forwarder, server: key::Server, out: &mut Vec<Effect>) {
    let now = state.now;
    let health = &mut state.table.server_mut(server).health;
    let was_confirmed = health.is_confirmed();
    let is_cleared = health.record_answer(now);
    state.has_urgent_evidence |= health.is_urgent();
    if is_cleared {
        check::record_clearance(state, server, was_confirmed, None, out);
    }
}

/// Resets the open flows to a server if it has become unreachable.
pub(crate) fn reset_unreachable(state: &mut Forwarder, server: key::Server, out: &mut Vec<Effect>) {
    let row = state.table.server(server);
    if row.health.is_unreachable() {
        let name = row.name.clone();
        out.push(Effect::Note(Note::Unreachable { server: name }));
        reset_flows(state, server, out);
    }
}

/// Resets the open flows to a server that has become unreachable. Callers that wait for a response
/// would otherwise wait for their next retransmission, or for their deadlines. The others learn it
/// before they send a request that must not be repeated.
pub(crate) fn reset_flows(state: &mut Forwarder, server: key::Server, out: &mut Vec<Effect>) {
    for (id, flow) in state.flows.open_at(server) {
        state.remove_flow(id);
        let head = Head {
            flags: Flags {
                ack: true,
                ..Flags::default()
            },
            length: 0,
            seq: flow.data_seq,
            ack: flow.ack,
            token: Token::default(),
            caller: id.caller,
            service: id.service,
        };
        out.push(Effect::Note(Note::Reset {
            flow: id,
            server: state.table.server(server).name.clone(),
        }));
        out.push(Effect::Reset(head));
    }
}

/// Resets a flow whose server is unreachable, so that the caller need not wait for its deadline.
fn reset_flow(
    state: &mut Forwarder,
    id: Id,
    server: key::Server,
    out: &mut Vec<Effect>,
) -> Verdict {
    state.remove_flow(id);
    out.push(Effect::Note(Note::Reset {
        flow: id,
        server: state.table.server(server).name.clone(),
    }));
    Verdict::Reset(Code::ServerGone)
}
