//! Requests that go to a backend server other than their flow's.

use base::prelude::*;
use conf::key;
use conf::object::State;

use crate::admission;
use crate::answer;
use crate::count::Kind;
use crate::effect::Effect;
use crate::effect::Run;
use crate::ingress;
use crate::ingress::Arrival;
use crate::ingress::MOVED_BIT;
use crate::state::Node;

/// Open requests, as a multiple of the server's concurrency limit, above which its queue counts as
/// long.
const LONG_QUEUE_FACTOR: u32 = 2;

/// Returns a server with at most half the open requests, if `server` has a long queue.
///
/// Other balancers choose by load reports that may be stale; the owner has the current load.
pub(crate) fn less_loaded_server(
    node: &Node,
    service: key::Service,
    server: key::Server,
) -> Option<key::Server> {
    let gate = &node.owned.get(&server)?.gate;
    let open = u32::from(gate.open_requests());
    if open <= LONG_QUEUE_FACTOR * u32::from(gate.concurrency_limit()) {
        return None;
    }
    let other = ingress::least_loaded(node, service, server)?;
    (ingress::candidate(node, other)?.open_requests * 2 <= open).then_some(other)
}

/// Moves a request that has not run yet to another server, together with its flow.
pub(crate) fn move_request(
    node: &mut Node,
    mut arrival: Arrival,
    server: key::Server,
    other: key::Server,
    out: &mut Vec<Effect>,
) {
    node.owners.count_sent(other);
    if arrival.is_idempotent() {
        if let Some(hops) = arrival.relay.hops.checked_sub(1) {
            arrival.relay.hops = hops;
            return ingress::forward_to_owner(node, arrival, other, out);
        }
    }
    if arrival.token.is_none() {
        return node.counts.add(Kind::HopsExceeded);
    }
    let nonce = arrival.nonce() | MOVED_BIT;
    let Some(token) = answer::make_token(node, arrival.service, other, nonce) else {
        return node.counts.add(Kind::OwnerUnknown);
    };
    let refusal = answer::correct_refusal(&arrival.relay, answer::not_run(Code::FlowMoved));
    if admission::record_answer(node, &arrival, server, &refusal) {
        answer::send(
            node,
            &arrival.relay,
            &arrival.request,
            &refusal,
            Some(token),
            out,
        );
    }
}

/// Refuses a new request of a flow that has to move, with a token for another server.
pub(crate) fn redirect_flow(
    node: &mut Node,
    arrival: Arrival,
    server: key::Server,
    out: &mut Vec<Effect>,
) {
    let refusal = match ingress::choose_server(node, arrival.service, arrival.nonce(), Some(server))
    {
        Some(_) => answer::not_run(Code::FlowMoved),
        None => answer::not_run(no_alternative_code(node, server)),
    };
    admission::settle_new(node, &arrival, server, refusal, out);
}

/// Returns the code for a request that cannot leave a server which accepts no more work.
pub(crate) fn no_alternative_code(node: &Node, server: key::Server) -> Code {
    match node.table[server].state {
        State::Out => Code::DomainOut,
        State::In | State::Drain => Code::NoServer,
    }
}

/// Handles a request that its server's gate does not admit.
pub(crate) fn handle_overflow(node: &mut Node, run: Run, code: Code, out: &mut Vec<Effect>) {
    let Some(job) = node.jobs.remove(run) else {
        return;
    };
    let arrival = admission::arrival_of_job(node, job);
    let Some((arrival, server)) = arrival else {
        return;
    };
    let can_divert = arrival.is_idempotent() && arrival.relay.hops > 0;
    let key = admission::record_key(&arrival);
    if can_divert
        && ingress::choose_server(node, arrival.service, arrival.nonce(), Some(server)).is_some()
    {
        admission::forget_record(node, server, key);
        return divert_request(node, arrival, server, code, out);
    }
    admission::settle_recorded(node, &arrival, server, key, answer::not_run(code), out);
}

/// Sends an idempotent request to another server, or refuses it with `code`.
pub(crate) fn divert_request(
    node: &mut Node,
    mut arrival: Arrival,
    server: key::Server,
    code: Code,
    out: &mut Vec<Effect>,
) {
    let other = ingress::choose_server(node, arrival.service, arrival.nonce(), Some(server));
    match other {
        Some(other) if arrival.relay.hops > 0 => {
            // The hop count is decremented even when this node owns the other server too, so that
            // diversions terminate.
            arrival.relay.hops -= 1;
            ingress::forward_to_owner(node, arrival, other, out);
        }
        _ => admission::refuse_new(node, &arrival, server, code, out),
    }
}
