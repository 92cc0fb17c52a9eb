//! Requests at a server: it executes some at a time, queues a few more and rejects the rest.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use tokio::net::UdpSocket;

use super::acknowledge;
use super::answer;
use super::send_packet;
use super::Action;
use super::Server;
use super::Status;
use crate::checker::Promise;
use crate::world::State;
use crate::world::World;
use stub::packet::Packet;
use stub::packet::ACK;
use stub::packet::FIN;

/// Most requests that a server executes at a time.
const CONCURRENCY_MAX: usize = 2;
/// Most requests in a server's queue; further ones are rejected.
const QUEUE_MAX: usize = 8;
/// Times before an answer is sent again that its caller has not acknowledged.
const RESEND_TIMES_MS: [u64; 4] = [200, 400, 800, 1_600];

/// A request that is being executed or queued.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) server: usize,
    /// Incarnation of the server that accepted it.
    pub(super) incarnation: u32,
    /// Time to execute it.
    pub(super) span: Duration,
    pub(super) caller: SocketAddrV4,
    pub(super) service: SocketAddrV4,
    pub(super) seq: u32,
    pub(super) data: Vec<u8>,
}

/// Executes a request, and then queued ones until the queue is empty.
pub(super) async fn run(world: World, socket: Arc<UdpSocket>, mut work: Work) {
    loop {
        tokio::time::sleep(work.span).await;
        let (answer, next) = world.with(|state, now| complete(state, now, &work));
        if let Some(answer) = answer {
            send_packet(&world, &socket, &answer).await;
        }
        tokio::spawn(resend_answer(world.clone(), socket.clone(), work));
        let Some(next) = next else { return };
        work = next;
    }
}

/// Sends an answer again until its caller has acknowledged it.
async fn resend_answer(world: World, socket: Arc<UdpSocket>, work: Work) {
    for wait in RESEND_TIMES_MS.map(Duration::from_millis) {
        tokio::time::sleep(wait).await;
        let answer = world.with(|state, _| {
            let server = &mut state.servers[work.server];
            let flow = server.flows.get(&work.caller)?;
            let (seq, text) = flow.last_request.clone()?;
            let is_due = server.is_responsive() && !flow.is_acknowledged && seq == work.seq;
            is_due.then(|| answer_packet(server, work.caller, work.service, seq, text?))?
        });
        if let Some(answer) = answer {
            send_packet(&world, &socket, &answer).await;
        }
    }
}

/// Starts to execute a request, queues it, or rejects it if the queue is full.
pub(super) fn admit(state: &mut State, now: Time, work: Work, packet: &Packet) -> Option<Action> {
    let server_state = &mut state.servers[work.server];
    let number = server_state.flows.get(&work.caller)?.number;
    if server_state.running < CONCURRENCY_MAX {
        record_execution(state, now, &work);
        return Some(Action::Execute(acknowledge(number, packet), work));
    }
    if server_state.queued.len() < QUEUE_MAX {
        server_state.queued.push_back(work);
        return Some(Action::Send(acknowledge(number, packet)));
    }
    let text = b"not run".to_vec();
    let flow = server_state.flows.get_mut(&work.caller)?;
    flow.last_request = Some((work.seq, Some(text.clone())));
    answer_packet(server_state, work.caller, work.service, work.seq, text).map(Action::Send)
}

fn record_execution(state: &mut State, now: Time, work: &Work) {
    let server_state = &mut state.servers[work.server];
    server_state.running += 1;
    server_state.executed += 1;
    if let Some(request) = non_idempotent_id(&work.data) {
        let runs = state.executions.entry(request).or_default();
        *runs += 1;
        if *runs > 1 {
            let what = format!("request {request} was executed {runs} times");
            state.record_breach(now, Promise::Twice, what);
        }
    }
}

/// Ends the execution of a request. Returns the packet of its answer and the next queued request.
/// Both are `None` if the server has restarted or stopped since it accepted the request.
fn complete(state: &mut State, now: Time, work: &Work) -> (Option<Packet>, Option<Work>) {
    let server_state = &mut state.servers[work.server];
    if server_state.incarnation != work.incarnation || server_state.status == Status::Stopped {
        return (None, None);
    }
    server_state.running -= 1;
    let text = answer(&work.data);
    if let Some(flow) = server_state.flows.get_mut(&work.caller) {
        flow.last_request = Some((work.seq, Some(text.clone())));
    }
    let answer = match server_state.is_responsive() {
        true => answer_packet(server_state, work.caller, work.service, work.seq, text),
        false => None,
    };
    let next = server_state.queued.pop_front();
    if let Some(next) = &next {
        record_execution(state, now, next);
    }
    (answer, next)
}

/// Makes the packet of an answer. A draining server closes each flow with the answer.
pub(super) fn answer_packet(
    server_state: &mut Server,
    caller: SocketAddrV4,
    service: SocketAddrV4,
    seq: u32,
    text: Vec<u8>,
) -> Option<Packet> {
    let is_draining = matches!(server_state.status, Status::Draining(_));
    let flow = server_state.flows.get_mut(&caller)?;
    flow.is_closed |= is_draining;
    let flags = if is_draining { ACK | FIN } else { ACK };
    let packet =
        Packet::new(flags, service, caller).with_seq_ack_token(flow.number, seq, flow.token);
    Some(packet.with_data(text).with_checksum())
}
/// Returns the id of a request that is not idempotent, or `None` for other requests.
fn non_idempotent_id(data: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(data).ok()?;
    text.strip_prefix("POST /")?
        .split([' ', '?'])
        .next()?
        .parse()
        .ok()
}
