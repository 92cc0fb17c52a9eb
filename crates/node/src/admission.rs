//! Admission of a request at its owner, up to the queue.

use base::hash;
use base::prelude::*;
use conf::key;
use limit::gate::Item;
use wire::coap::response_code;
use wire::coap::Answer;
use wire::coap::Request;
use wire::frame::Body;
use wire::frame::RecordKey;
use wire::token::Token;

use crate::answer;
use crate::body;
use crate::count::Kind;
use crate::divert;
use crate::effect::Effect;
use crate::gossip;
use crate::handover;
use crate::ingress;
use crate::ingress::Arrival;
use crate::job::Job;
use crate::job::Phase;
use crate::record;
use crate::state::Node;

/// Admits a request at the owner of `server`.
pub(crate) fn admit(node: &mut Node, arrival: Arrival, server: key::Server, out: &mut Vec<Effect>) {
    let key = record_key(&arrival);
    if let Some(entry) = node.owned[&server].records.get(key).cloned() {
        return handle_duplicate(node, arrival, server, &entry, out);
    }
    if arrival.request.is_continuation() {
        return handle_continuation(node, arrival, server, out);
    }
    match arrival.token {
        Some(token) if !arrival.is_idempotent() => {
            admit_non_idempotent(node, arrival, server, token, out)
        }
        None if !arrival.is_idempotent() => ingress::route_request(node, arrival, out),
        _ => admit_idempotent(node, arrival, server, out),
    }
}

pub(crate) fn record_key(arrival: &Arrival) -> RecordKey {
    RecordKey {
        nonce: arrival.nonce(),
        message_id: arrival.request.message_id,
        token_hash: hash::bytes(&arrival.request.token),
    }
}

/// Answers a duplicate of a known request, or updates the running request so that it answers the
/// duplicate.
fn handle_duplicate(
    node: &mut Node,
    arrival: Arrival,
    server: key::Server,
    entry: &record::Entry,
    out: &mut Vec<Effect>,
) {
    node.counts.add(Kind::Duplicates);
    if entry.digest != arrival.digest {
        return send_answer(
            node,
            &arrival,
            server,
            &answer::not_run(Code::DigestClash),
            out,
        );
    }
    match &entry.state {
        record::State::Done(answer) => send_answer(node, &arrival, server, answer, out),
        record::State::Local(run) => {
            if let Some(job) = node.jobs.get_mut(*run) {
                // The caller's address may have changed.
                job.relay = arrival.relay;
            }
        }
        record::State::Remote(owner) => {
            if arrival.relay.hops > 0 {
                let relay = wire::frame::Relay {
                    hops: 0,
                    ..arrival.relay
                };
                gossip::send(node, *owner, Body::Relay(relay), out);
            }
        }
    }
}

/// Redirects the answer of a request that still runs here to the newest duplicate; returns whether
/// there is such a request.
pub(crate) fn update_running(node: &mut Node, arrival: &Arrival, server: key::Server) -> bool {
    let key = record_key(arrival);
    let found = node
        .jobs
        .iter()
        .find(|(_, job)| job.server == server && job.key == key)
        .map(|(run, _)| run);
    let Some(job) = found.and_then(|run| node.jobs.get_mut(run)) else {
        return false;
    };
    job.relay = arrival.relay.clone();
    true
}

/// Answers with a later block of a recorded answer, or runs an idempotent request again.
fn handle_continuation(
    node: &mut Node,
    arrival: Arrival,
    server: key::Server,
    out: &mut Vec<Effect>,
) {
    let operation = arrival.request.operation();
    let state = node.owned[&server]
        .records
        .exchange_state(arrival.nonce(), operation)
        .cloned();
    match state {
        Some(record::State::Done(answer)) => send_answer(node, &arrival, server, &answer, out),
        // The answer is still to arrive from a former owner; the caller retransmits.
        Some(_) => node.counts.add(Kind::Duplicates),
        None if arrival.is_idempotent() => admit_idempotent(node, arrival, server, out),
        None => {
            let gone = Answer::refusal(response_code::INCOMPLETE, Code::AnswerGone);
            send_answer(node, &arrival, server, &gone, out);
        }
    }
}

/// Admits a request that must not run twice.
fn admit_non_idempotent(
    node: &mut Node,
    arrival: Arrival,
    server: key::Server,
    token: Token,
    out: &mut Vec<Effect>,
) {
    if !node.owned[&server].accepts_token(&token) {
        return handle_foreign_token(node, arrival, server, token, out);
    }
    let row = &node.table[server];
    let is_moved =
        row.generation != token.generation || !ingress::is_eligible(node, arrival.service, server);
    if is_moved {
        return divert::redirect_flow(node, arrival, server, out);
    }
    assemble_and_enqueue(node, arrival, server, out);
}

/// Handles a token of an owner that has not handed its records over to this one.
fn handle_foreign_token(
    node: &mut Node,
    arrival: Arrival,
    server: key::Server,
    token: Token,
    out: &mut Vec<Effect>,
) {
    let me = node.incarnation();
    let is_live = node
        .group
        .get(token.owner)
        .is_some_and(|member| member.state.is_live());
    if is_live && token.owner != me {
        // Only that owner may run or refuse the request, and it may have run it. Zero hops left
        // indicate to it that no other balancer will answer.
        let relay = wire::frame::Relay {
            hops: 0,
            ..arrival.relay
        };
        return gossip::send(node, token.owner, Body::Relay(relay), out);
    }
    answer_owner_gone(node, &arrival, server, out);
}

/// Answers a request whose token names this node as the owner, but that neither this node nor the
/// server's owner may run.
pub(crate) fn answer_owner_gone(
    node: &mut Node,
    arrival: &Arrival,
    server: key::Server,
    out: &mut Vec<Effect>,
) {
    let answer = answer::unknown(Code::OwnerGone);
    send_answer(node, arrival, server, &answer, out);
}

/// Admits a request that may run again.
fn admit_idempotent(node: &mut Node, arrival: Arrival, server: key::Server, out: &mut Vec<Effect>) {
    if !ingress::is_eligible(node, arrival.service, server) {
        return divert::divert_request(node, arrival, server, Code::NoServer, out);
    }
    assemble_and_enqueue(node, arrival, server, out);
}

/// Queues a request once its body is complete.
fn assemble_and_enqueue(
    node: &mut Node,
    mut arrival: Arrival,
    server: key::Server,
    out: &mut Vec<Effect>,
) {
    match assemble_body(node, &mut arrival) {
        Ok(true) => enqueue(node, arrival, server, out),
        Ok(false) => {
            let answer = Answer::new(response_code::CONTINUE, bytes::Bytes::new());
            send_answer(node, &arrival, server, &answer, out);
        }
        Err(code) => refuse_new(node, &arrival, server, code, out),
    }
}

/// Adds a block to a block-wise body; returns whether the request is complete.
fn assemble_body(node: &mut Node, arrival: &mut Arrival) -> Result<bool, Code> {
    let Some(block) = arrival.request.block1 else {
        return Ok(true);
    };
    let key = (arrival.nonce(), arrival.request.operation());
    match node
        .bodies
        .add_block(node.now, key, block, &arrival.request.payload)?
    {
        body::Step::Continue => Ok(false),
        body::Step::Complete(body) => {
            arrival.request.payload = body;
            Ok(true)
        }
    }
}

/// Queues a complete request, or refuses it.
fn enqueue(node: &mut Node, arrival: Arrival, server: key::Server, out: &mut Vec<Effect>) {
    if node.is_stopping && !handover::has_successor(node) {
        return refuse_new(node, &arrival, server, Code::Stopping, out);
    }
    // A flow that was moved already stays, or two busy servers would move it back and forth.
    if !arrival.was_moved() {
        if let Some(other) = divert::less_loaded_server(node, arrival.service, server) {
            return divert::move_request(node, arrival, server, other, out);
        }
    }
    let key = record_key(&arrival);
    let service = arrival.service;
    let limit = node.table[service].deadline;
    let deadline = node.now + arrival.request.deadline.unwrap_or(limit).min(limit);
    let entry = record::Entry {
        digest: arrival.digest,
        operation: arrival.request.operation(),
        since: node.now,
        is_idempotent: arrival.is_idempotent(),
        // Replaced below, by the run or by the refusal of the gate.
        state: record::State::Done(answer::not_run(Code::TableFull)),
    };
    let Some(owned) = node.owned.get_mut(&server) else {
        return;
    };
    if let Err(code) = owned.records.add(key, entry) {
        // Without a record a later duplicate might run, so no answer may be sent.
        return node.counts.add_code(code);
    }
    let job = Job {
        server,
        service,
        key,
        relay: arrival.relay,
        request: arrival.request,
        deadline,
        attempts: 0,
        phase: Phase::Queued,
    };
    let run = node.jobs.add(job);
    let item = Item {
        key: run.as_u32(),
        service: service.as_u32(),
        deadline,
    };
    match owned.gate.offer(node.now, item) {
        Ok(()) => owned.records.set_state(key, record::State::Local(run)),
        Err(code) => divert::handle_overflow(node, run, code, out),
    }
}

/// Converts a job back into the arrival it came from, with its original datagram.
pub(crate) fn arrival_of_job(node: &Node, job: Job) -> Option<(Arrival, key::Server)> {
    let request = Request::try_from(job.relay.data.as_ref()).ok()?;
    let token = request
        .echo
        .as_ref()
        .and_then(|echo| node.setting.ring.open(echo).ok());
    let arrival = Arrival {
        digest: request.digest(),
        relay: job.relay,
        request,
        token,
        service: job.service,
    };
    Some((arrival, job.server))
}

/// Removes the record of an idempotent request that another server will answer.
pub(crate) fn forget_record(node: &mut Node, server: key::Server, key: RecordKey) {
    if let Some(owned) = node.owned.get_mut(&server) {
        owned.records.remove(key);
    }
}

/// Refuses a request that was not recorded yet.
pub(crate) fn refuse_new(
    node: &mut Node,
    arrival: &Arrival,
    server: key::Server,
    code: Code,
    out: &mut Vec<Effect>,
) {
    settle_new(node, arrival, server, answer::not_run(code), out);
}

/// Records the answer to a new request and sends it. Nothing is sent if the table is full.
pub(crate) fn settle_new(
    node: &mut Node,
    arrival: &Arrival,
    server: key::Server,
    refusal: Answer,
    out: &mut Vec<Effect>,
) {
    let refusal = answer::correct_refusal(&arrival.relay, refusal);
    if record_answer(node, arrival, server, &refusal) {
        send_answer(node, arrival, server, &refusal, out);
    }
}

/// Records the answer to a new request; returns whether the table had room.
pub(crate) fn record_answer(
    node: &mut Node,
    arrival: &Arrival,
    server: key::Server,
    refusal: &Answer,
) -> bool {
    let key = record_key(arrival);
    let entry = record::Entry {
        digest: arrival.digest,
        operation: arrival.request.operation(),
        since: node.now,
        is_idempotent: arrival.is_idempotent(),
        state: record::State::Done(refusal.clone()),
    };
    let Some(owned) = node.owned.get_mut(&server) else {
        return false;
    };
    match owned.records.add(key, entry) {
        Ok(()) => true,
        Err(code) => {
            node.counts.add_code(code);
            false
        }
    }
}

/// Sets the answer of a recorded request and sends it.
pub(crate) fn settle_recorded(
    node: &mut Node,
    arrival: &Arrival,
    server: key::Server,
    key: RecordKey,
    answer: Answer,
    out: &mut Vec<Effect>,
) {
    let answer = answer::correct_refusal(&arrival.relay, answer);
    if let Some(owned) = node.owned.get_mut(&server) {
        owned
            .records
            .set_state(key, record::State::Done(answer.clone()));
    }
    send_answer(node, arrival, server, &answer, out);
}

/// Sends an answer, with the token that the flow's next request needs.
fn send_answer(
    node: &mut Node,
    arrival: &Arrival,
    server: key::Server,
    answer: &Answer,
    out: &mut Vec<Effect>,
) {
    let token = next_token(node, arrival, server, answer);
    answer::send(node, &arrival.relay, &arrival.request, answer, token, out);
}

/// Creates the token for a flow's next request: for the same server while that accepts requests.
fn next_token(
    node: &mut Node,
    arrival: &Arrival,
    server: key::Server,
    answer: &Answer,
) -> Option<Token> {
    let service = arrival.service;
    // Without a token a flow has no identity that outlives its caller's address.
    let nonce = match &arrival.token {
        Some(_) => arrival.nonce(),
        None => node.new_nonce(arrival.nonce()),
    };
    // The remaining blocks of an answer are recorded by this server's owner, even if the server is
    // no longer eligible.
    let stays = answer.has_more(&arrival.request) || ingress::is_eligible(node, service, server);
    let next = match stays {
        true => Some(server),
        false => ingress::choose_server(node, service, nonce, Some(server)),
    };
    answer::make_token(node, service, next?, nonce)
}
