//! Calls of queued requests to backend servers, and the handling of results and probes.

use base::prelude::*;
use conf::key;
use conf::object::State;
use limit::gate::Outcome;
use limit::gate::Probe;
use wire::coap::response_code;
use wire::coap::Answer;
use wire::coap::Method;

use crate::admission;
use crate::answer;
use crate::count::Kind;
use crate::divert;
use crate::dump;
use crate::effect::Effect;
use crate::effect::Request;
use crate::effect::Run;
use crate::event::Condition;
use crate::event::Failure;
use crate::event::Health;
use crate::event::Reply;
use crate::handover;
use crate::ingress;
use crate::job::Job;
use crate::job::Phase;
use crate::record;
use crate::state::Node;

/// Maximum number of attempts at one request.
const MAX_ATTEMPTS: u8 = 3;
/// HTTP status by which a server sheds a request that it has not run.
const STATUS_SHED: u16 = 503;
/// HTTP status by which a server refuses a request for another service.
const STATUS_MISDIRECTED: u16 = 421;

/// Starts the queued requests that the concurrency limits admit.
pub(crate) fn start_queued(node: &mut Node, out: &mut Vec<Effect>) {
    // A node that was paused may have been replaced as the owner without knowing it yet.
    if !node.group.is_settled() {
        return;
    }
    let servers: Vec<key::Server> = node
        .owned
        .iter()
        .filter(|(_, owned)| owned.is_confirmed && owned.gate.queued() > 0)
        .map(|(server, _)| *server)
        .collect();
    for server in servers {
        start_queued_at(node, server, out);
    }
}

fn start_queued_at(node: &mut Node, server: key::Server, out: &mut Vec<Effect>) {
    let Some(owned) = node.owned.get_mut(&server) else {
        return;
    };
    while let Some(item) = owned.gate.start(node.now) {
        let run = Run::from_u32(item.key);
        let Some(job) = node.jobs.get_mut(run) else {
            continue;
        };
        debug_assert_eq!(job.phase, Phase::Queued, "a started job was queued");
        job.phase = Phase::Running;
        job.attempts += 1;
        node.counts.add(Kind::Calls);
        let row = &node.table[server];
        out.push(Effect::Call {
            run,
            request: Request {
                address: row.address,
                service: node.table[job.service].name.clone(),
                method: job.request.method.http(),
                target: job.request.target.clone(),
                format: job.request.content_format,
                body: job.request.payload.clone(),
                deadline: job.deadline,
                needs_new_connection: job.attempts > 1,
            },
        });
    }
}

/// Handles the result of a request.
pub(crate) fn handle_reply(
    node: &mut Node,
    run: Run,
    result: Result<Reply, Failure>,
    out: &mut Vec<Effect>,
) {
    let Some(job) = node.jobs.remove(run) else {
        return;
    };
    debug_assert_ne!(job.phase, Phase::Queued, "a reply belongs to a started job");
    if let Some(owned) = node.owned.get_mut(&job.server) {
        owned
            .gate
            .finish(node.now, run.as_u32(), gate_outcome(&result));
    }
    match result {
        Ok(reply) if reply.status == STATUS_SHED => retry_or_refuse(node, job, Code::Shed, out),
        Ok(reply) if reply.status == STATUS_MISDIRECTED => {
            clear_confirmation(node, job.server);
            retry_or_refuse(node, job, Code::Unreachable, out);
        }
        Ok(reply) => answer_served(node, job, &reply, out),
        Err(Failure::WrongService) => {
            clear_confirmation(node, job.server);
            retry_or_refuse(node, job, Code::Unreachable, out);
        }
        Err(Failure::Unreachable | Failure::Unsent) => {
            retry_or_refuse(node, job, Code::Unreachable, out);
        }
        Err(Failure::ConnectionLost) => retry_or_give_up(node, job, Code::AnswerCut, out),
        Err(Failure::TimedOut { .. }) => retry_or_give_up(node, job, Code::ServerSilent, out),
        Err(Failure::Cancelled) => retry_or_give_up(node, job, Code::Cancelled, out),
    }
}

fn gate_outcome(result: &Result<Reply, Failure>) -> Outcome {
    match result {
        Ok(reply) if reply.status == STATUS_SHED => Outcome::Shed,
        // A fast error response is no evidence of the server's capacity.
        Ok(reply) if reply.status == STATUS_MISDIRECTED || reply.status >= 500 => {
            Outcome::Cancelled
        }
        Ok(reply) => Outcome::Done { took: reply.took },
        Err(Failure::Unreachable | Failure::Unsent | Failure::ConnectionLost) => Outcome::Failed,
        Err(Failure::TimedOut {
            new_connection_works,
        }) => Outcome::TimedOut {
            new_connection_works: *new_connection_works,
        },
        Err(Failure::Cancelled | Failure::WrongService) => Outcome::Cancelled,
    }
}

/// Starts no more requests at a server until a probe confirms the service that it serves.
fn clear_confirmation(node: &mut Node, server: key::Server) {
    if let Some(owned) = node.owned.get_mut(&server) {
        owned.is_confirmed = false;
        owned.next_probe = node.now;
    }
}

/// Answers with the backend server's response.
fn answer_served(node: &mut Node, job: Job, reply: &Reply, out: &mut Vec<Effect>) {
    let name = &node.table[job.service].name;
    if reply
        .service
        .as_ref()
        .is_some_and(|service| service != name)
    {
        // The response of another service must not reach this service's caller.
        clear_confirmation(node, job.server);
        return retry_or_give_up(node, job, Code::AnswerCut, out);
    }
    node.budget.record_success(job.service.as_u32());
    let class = coap_class(job.request.method, reply.status);
    let answer = Answer::new(class, reply.body.clone()).with_content_format(reply.format);
    finish_job(node, job, answer, out);
}

/// Maps an HTTP status to a CoAP code (RFC 7252 section 10).
fn coap_class(method: Method, status: u16) -> u8 {
    match (status, method) {
        (200 | 203, Method::Get) => response_code::CONTENT,
        (201, _) => response_code::CREATED,
        (200..=299, Method::Delete) => response_code::DELETED,
        (200..=299, _) => response_code::CHANGED,
        (401, _) => response_code::FORBIDDEN,
        (400 | 403..=406 | 409 | 412 | 413 | 415 | 422 | 429, _) => {
            response_code::BAD_REQUEST + (status - 400) as u8
        }
        (400..=499, _) => response_code::BAD_REQUEST,
        (500 | 501 | 504, _) => response_code::INTERNAL_ERROR + (status - 500) as u8,
        _ => response_code::BAD_GATEWAY,
    }
}

/// Ends a request with an answer, which all its duplicates get.
fn finish_job(node: &mut Node, job: Job, answer: Answer, out: &mut Vec<Effect>) {
    let key = job.key;
    let Some((arrival, server)) = admission::arrival_of_job(node, job) else {
        return;
    };
    if node.owned.contains_key(&server) {
        handover::report_finished(node, server, key, Some(&answer), out);
        handover::release_slot(node, server, key);
        return admission::settle_recorded(node, &arrival, server, key, answer, out);
    }
    let answer = answer::correct_refusal(&arrival.relay, answer);
    handover::report_finished(node, server, key, Some(&answer), out);
    answer::send(node, &arrival.relay, &arrival.request, &answer, None, out);
}

/// Handles a request that certainly has not run: it may be retried.
fn retry_or_refuse(node: &mut Node, job: Job, code: Code, out: &mut Vec<Effect>) {
    if !try_take_retry(node, &job) {
        return finish_job(node, job, answer::not_run(code), out);
    }
    if job.request.method.is_idempotent() {
        return retry_elsewhere(node, job, code, out);
    }
    requeue(node, job, code, out);
}

/// Handles a request that may have run.
fn retry_or_give_up(node: &mut Node, job: Job, code: Code, out: &mut Vec<Effect>) {
    if job.request.method.is_idempotent() && try_take_retry(node, &job) {
        return retry_elsewhere(node, job, code, out);
    }
    let text = format!("outcome unknown at {}", job.server);
    out.push(dump::log_request(code, text, job.key));
    finish_job(node, job, answer::unknown(code), out);
}

/// Returns whether another attempt is allowed, and takes it from the retry budget.
fn try_take_retry(node: &mut Node, job: &Job) -> bool {
    let is_possible = job.attempts < MAX_ATTEMPTS && node.now < job.deadline;
    let is_owned = node.owned.contains_key(&job.server);
    is_possible && is_owned && node.budget.try_spend(job.service.as_u32())
}

/// Queues a request again at the same server after an attempt that did not run it.
fn requeue(node: &mut Node, job: Job, code: Code, out: &mut Vec<Effect>) {
    node.counts.add(Kind::Retries);
    let (server, key, attempts) = (job.server, job.key, job.attempts);
    let state = ingress::effective_state(node, server);
    if state != State::In {
        return relocate_job(node, job, out);
    }
    let (service, deadline) = (job.service, job.deadline);
    let run = node.jobs.add(Job {
        phase: Phase::Queued,
        ..job
    });
    debug_assert!(attempts > 0, "a requeued job was started before");
    let item = limit::gate::Item {
        key: run.as_u32(),
        service: service.as_u32(),
        deadline,
    };
    let Some(owned) = node.owned.get_mut(&server) else {
        return;
    };
    if owned.gate.offer(node.now, item).is_ok() {
        return owned.records.set_state(key, record::State::Local(run));
    }
    if let Some(job) = node.jobs.remove(run) {
        finish_job(node, job, answer::not_run(code), out);
    }
}

/// Retries an idempotent request at another server, or at the same one if there is no other.
fn retry_elsewhere(node: &mut Node, job: Job, code: Code, out: &mut Vec<Effect>) {
    let flow = job.key.nonce;
    let has_other = ingress::choose_server(node, job.service, flow, Some(job.server)).is_some();
    // Without hops left the request would be dropped on its way, and its caller would get no
    // answer.
    if !has_other || job.relay.hops == 0 {
        return match code.is_not_run() {
            true => requeue(node, job, code, out),
            false => finish_job(node, job, answer::unknown(code), out),
        };
    }
    node.counts.add(Kind::Retries);
    let key = job.key;
    let Some((mut arrival, server)) = admission::arrival_of_job(node, job) else {
        return;
    };
    arrival.relay.may_have_run |= code.is_outcome_unknown();
    admission::forget_record(node, server, key);
    ingress::route_unpinned(node, arrival, Some(server), out);
}

/// Moves a job that has not run away from a server that gets no more work.
pub(crate) fn relocate_job(node: &mut Node, job: Job, out: &mut Vec<Effect>) {
    let key = job.key;
    let Some((arrival, server)) = admission::arrival_of_job(node, job) else {
        return;
    };
    let other = ingress::choose_server(node, arrival.service, arrival.nonce(), Some(server));
    match (arrival.is_idempotent(), other) {
        (true, Some(_)) => {
            admission::forget_record(node, server, key);
            ingress::route_unpinned(node, arrival, Some(server), out);
        }
        (false, Some(_)) => {
            let refusal = answer::not_run(Code::FlowMoved);
            admission::settle_recorded(node, &arrival, server, key, refusal, out);
        }
        (_, None) => {
            let refusal = answer::not_run(divert::no_alternative_code(node, server));
            admission::settle_recorded(node, &arrival, server, key, refusal, out);
        }
    }
}

/// Handles the result of a health probe.
pub(crate) fn handle_probed(node: &mut Node, uid: u32, health: Option<Health>) {
    let Some(server) = node.table.server_by_uid(uid) else {
        return;
    };
    let service = node.table[server].service;
    let name = service.map(|service| node.table[service].name.clone());
    let (now, period) = (node.now, node.setting.probe_period);
    let Some(owned) = node.owned.get_mut(&server) else {
        return;
    };
    owned.is_probing = false;
    owned.next_probe = now + period;
    if let Some(health) = &health {
        owned.is_confirmed = name.as_ref() == Some(&health.service);
    }
    let was_draining = owned.gate.is_draining();
    let probe = health.map(|health| Probe {
        is_cold: health.state == Condition::Cold,
        is_draining: health.state == Condition::Draining,
        busy: health.busy,
        connections: health.connections,
    });
    owned.gate.record_probe(now, probe);
    if owned.gate.is_draining() != was_draining {
        node.is_reconcile_due = true;
    }
}

/// Sends due probes, refuses requests whose deadline can no longer be met, and expires old records.
pub(crate) fn probe_and_expire(node: &mut Node, out: &mut Vec<Effect>) {
    let servers: Vec<key::Server> = node.owned.keys().copied().collect();
    for server in servers {
        probe_if_due(node, server, out);
        expire_queued(node, server, out);
    }
}

fn probe_if_due(node: &mut Node, server: key::Server, out: &mut Vec<Effect>) {
    let row = &node.table[server];
    let Some(owned) = node.owned.get_mut(&server) else {
        return;
    };
    owned.gate.tick(node.now);
    owned.records.expire(node.now);
    if row.is_present
        && row.state != State::Out
        && !owned.is_probing
        && node.now >= owned.next_probe
    {
        owned.is_probing = true;
        out.push(Effect::Probe {
            server: row.uid,
            address: row.address,
        });
    }
}

fn expire_queued(node: &mut Node, server: key::Server, out: &mut Vec<Effect>) {
    let Some(owned) = node.owned.get_mut(&server) else {
        return;
    };
    for item in owned.gate.expire(node.now) {
        if let Some(job) = node.jobs.remove(Run::from_u32(item.key)) {
            finish_job(node, job, answer::not_run(Code::DeadlineUnmet), out);
        }
    }
}
