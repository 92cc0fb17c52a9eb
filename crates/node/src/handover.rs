//! Transfer of ownership to another balancer.
//!
//! From the first transmission on, the old owner never starts a request of that server again, so
//! that a lost acknowledgement leaves at most one side able to run it. The message is retransmitted
//! until the next owner acknowledges it. Each request that still ran here is reported to the next
//! owner when it ends.

use base::prelude::*;
use conf::key;
use wire::coap::Answer;
use wire::frame::Body;
use wire::frame::Handover;
use wire::frame::Ownership;
use wire::frame::Record;
use wire::frame::RecordKey;
use wire::frame::Relay;

use crate::count::Kind;
use crate::effect::Effect;
use crate::effect::Run;
use crate::gossip;
use crate::ingress;
use crate::job::Phase;
use crate::owned::Outgoing;
use crate::owned::Owned;
use crate::ownership;
use crate::reconcile;
use crate::record;
use crate::state::Node;

/// Hops that a queued request may still take after it was handed over with its server.
const QUEUED_RELAY_HOPS: u8 = 2;

/// Starts the hand-over of a server to `successor`.
pub(crate) fn start(
    node: &mut Node,
    server: key::Server,
    successor: Incarnation,
    out: &mut Vec<Effect>,
) {
    let Some(mut owned) = node.owned.remove(&server) else {
        return;
    };
    node.counts.add(Kind::Handovers);
    node.handover_seq += 1;
    let queued = drain_queue(node, &mut owned, server);
    let running = node
        .jobs
        .iter()
        .filter(|(_, job)| job.server == server && job.phase != Phase::Queued)
        .map(|(_, job)| job.key)
        .collect();
    let mut owners = owned.former;
    owners.push(owned.ownership);
    let message = Handover {
        server: node.table[server].uid,
        seq: node.handover_seq,
        term: owned.ownership.term + 1,
        former_owners: owners,
        slots: owned.gate.level(),
        records: owned.records.export(node.incarnation()),
        queued,
    };
    let outgoing = Outgoing {
        successor,
        message,
        is_acknowledged: false,
        next_send: node.now,
        running,
        // Results that an earlier hand-over of the same server has not delivered yet.
        ended: node
            .outgoing
            .remove(&server)
            .map(|outgoing| outgoing.ended)
            .unwrap_or_default(),
    };
    let next = Ownership {
        owner: successor,
        term: outgoing.message.term,
    };
    node.owners
        .set_successor(node.now, server, node.table[server].uid, next);
    node.outgoing.insert(server, outgoing);
    transmit(node, server, out);
}

/// Removes the queued requests from the gate, and their records, so that the next owner treats them
/// as new requests.
fn drain_queue(node: &mut Node, owned: &mut Owned, server: key::Server) -> Vec<Relay> {
    let mut queued = Vec::new();
    for item in owned.gate.drain_queue() {
        if let Some(job) = node.jobs.remove(Run::from_u32(item.key)) {
            owned.records.remove(job.key);
            queued.push(Relay {
                server: node.table[server].uid,
                hops: QUEUED_RELAY_HOPS,
                ..job.relay
            });
        }
    }
    queued
}

fn transmit(node: &mut Node, server: key::Server, out: &mut Vec<Effect>) {
    let next_send = node.now + node.setting.handover_retry;
    let known_owner = current_owner(node, server);
    let Some(outgoing) = node.outgoing.get_mut(&server) else {
        return;
    };
    outgoing.next_send = next_send;
    let uid = outgoing.message.server;
    let to = outgoing.successor;
    if !outgoing.is_acknowledged {
        let body = Body::Handover(outgoing.message.clone());
        return gossip::send(node, to, body, out);
    }
    // The successor may have handed the server over to another balancer since.
    let owner = known_owner.unwrap_or(to);
    for record in outgoing.ended.clone() {
        let body = Body::Finished {
            server: uid,
            record,
        };
        gossip::send(node, owner, body, out);
    }
}

/// Returns the live balancer, other than this one, that owns a server as far as known.
fn current_owner(node: &Node, server: key::Server) -> Option<Incarnation> {
    crate::answer::live_ownership(node, server)
        .map(|ownership| ownership.owner)
        .filter(|owner| *owner != node.incarnation())
}

/// Retransmits unacknowledged hand-overs and results, and drops hand-overs that are complete or
/// whose receiver is gone.
pub(crate) fn retransmit_due(node: &mut Node, out: &mut Vec<Effect>) {
    let servers: Vec<key::Server> = node.outgoing.keys().copied().collect();
    for server in servers {
        let outgoing = &node.outgoing[&server];
        if outgoing.is_complete() {
            node.outgoing.remove(&server);
            node.is_reconcile_due = true;
        } else if !outgoing.is_acknowledged && is_dead_or_unknown(node, outgoing.successor) {
            successor_died(node, server);
        } else if node.now >= outgoing.next_send {
            transmit(node, server, out);
        }
    }
}

/// Returns whether a balancer is dead, has left or is unknown.
fn is_dead_or_unknown(node: &Node, owner: Incarnation) -> bool {
    node.group
        .get(owner)
        .is_none_or(|member| member.state.is_final())
}

/// Ends a hand-over whose successor died before it acknowledged. The successor may have run
/// requests that were handed to it, so these count as lost with it, and the server is taken over
/// like that of any dead owner.
fn successor_died(node: &mut Node, server: key::Server) {
    let Some(outgoing) = node.outgoing.get_mut(&server) else {
        return;
    };
    outgoing.is_acknowledged = true;
    outgoing.ended.clear();
    // Publishes the dead successor as the owner: while peers count this balancer as the owner, none
    // of them takes the server over.
    node.owners.publish(server);
    if outgoing.running.is_empty() {
        node.outgoing.remove(&server);
    }
    node.is_reconcile_due = true;
}

/// Records and reports the end of a request that was running here when its server was handed over.
pub(crate) fn report_finished(
    node: &mut Node,
    server: key::Server,
    key: RecordKey,
    answer: Option<&Answer>,
    out: &mut Vec<Effect>,
) {
    let Some(outgoing) = node.outgoing.get_mut(&server) else {
        return;
    };
    outgoing.running.retain(|running| *running != key);
    let record = outgoing
        .message
        .records
        .iter()
        .find(|record| record.key == key);
    if let Some(record) = record {
        outgoing.ended.push(Record {
            answer: answer.cloned(),
            ..record.clone()
        });
    }
    transmit(node, server, out);
}

/// Releases the slot of a request that started here before the server was handed over and back.
pub(crate) fn release_slot(node: &mut Node, server: key::Server, key: RecordKey) {
    if let Some(owned) = node.owned.get_mut(&server) {
        let is_remote = owned
            .records
            .get(key)
            .is_some_and(|entry| matches!(entry.state, record::State::Remote(_)));
        if is_remote {
            owned.gate.release_slot();
        }
    }
}

/// Accepts a server that its owner hands over.
pub(crate) fn handle_handover(
    node: &mut Node,
    from: Incarnation,
    handover: Handover,
    out: &mut Vec<Effect>,
) {
    let Some(server) = node.table.server_by_uid(handover.server) else {
        // The server is not in the local configuration yet: the sender retransmits.
        return;
    };
    // A sender that was declared dead has been replaced; its message may be as old as its pause.
    if is_dead_or_unknown(node, from) {
        return;
    }
    let ack = Body::HandoverAck {
        server: handover.server,
        seq: handover.seq,
    };
    let last = node.last_handovers.entry((from, server)).or_default();
    if handover.seq <= *last {
        return gossip::send(node, from, ack, out);
    }
    *last = handover.seq;
    begin_ownership(node, server, &handover);
    merge_records(node, server, &handover);
    gossip::send(node, from, ack, out);
    node.is_reconcile_due = true;
    for relay in handover.queued {
        ingress::handle_relay(node, relay, out);
    }
}

/// Reclaims the records of a hand-over whose receiver is gone: results that were not delivered to
/// it, and requests that still run here.
pub(crate) fn reclaim_records(node: &mut Node, server: key::Server) {
    let Some(outgoing) = node.outgoing.remove(&server) else {
        return;
    };
    let Some(owned) = node.owned.get_mut(&server) else {
        return;
    };
    let is_running = |record: &&Record| outgoing.running.contains(&record.key);
    let running = outgoing.message.records.iter().filter(is_running);
    let records: Vec<Record> = outgoing.ended.iter().chain(running).cloned().collect();
    import_records(owned, &records);
}

fn begin_ownership(node: &mut Node, server: key::Server, handover: &Handover) {
    let own = Ownership {
        owner: node.incarnation(),
        term: handover.term,
    };
    match node.owned.get_mut(&server) {
        Some(owned) => {
            // Owned already, after membership views differed: the sender yields.
            if ownership::supersedes(own, owned.ownership) {
                owned.former.push(owned.ownership);
                owned.ownership = own;
            }
        }
        None => {
            reconcile::start_ownership(node, server, own);
            if let Some(owned) = node.owned.get_mut(&server) {
                owned.gate.adopt_level(handover.slots);
            }
        }
    }
    node.unowned_since[server] = None;
    node.next_load_report = node.now;
}

fn merge_records(node: &mut Node, server: key::Server, handover: &Handover) {
    let records: Vec<Record> = handover
        .records
        .iter()
        .filter_map(|record| resolve_record(node, server, record))
        .collect();
    if let Some(owned) = node.owned.get_mut(&server) {
        owned.add_former(handover.former_owners.iter().copied());
        import_records(owned, &records);
    }
}

/// Returns the local state of a request that the sender reports as running: it may have ended here
/// meanwhile, or the balancer that runs it may be gone. Returns `None` for an idempotent request
/// that was lost.
fn resolve_record(node: &Node, server: key::Server, record: &Record) -> Option<Record> {
    if record.answer.is_some() {
        return Some(record.clone());
    }
    let outgoing = node.outgoing.get(&server);
    let ended =
        outgoing.and_then(|outgoing| outgoing.ended.iter().find(|ended| ended.key == record.key));
    if let Some(ended) = ended {
        return Some(ended.clone());
    }
    let is_running = match record.accepted_by == node.incarnation() {
        true => node.jobs.iter().any(|(_, job)| job.key == record.key),
        false => !is_dead_or_unknown(node, record.accepted_by),
    };
    match (is_running, record.is_idempotent) {
        (true, _) => Some(record.clone()),
        (false, true) => None,
        (false, false) => Some(Record {
            answer: Some(owner_gone_answer()),
            ..record.clone()
        }),
    }
}

/// Adds the records that the table does not have yet. Running requests occupy slots.
fn import_records(owned: &mut Owned, records: &[Record]) {
    let mut running = 0;
    for record in records {
        if owned.records.get(record.key).is_none() {
            running += u8::from(record.answer.is_none());
            owned
                .records
                .import(record.key, record::Entry::from_record(record));
        }
    }
    owned.gate.occupy_slots(running);
}

/// Handles the next owner's acknowledgement of a hand-over.
pub(crate) fn handle_handover_ack(node: &mut Node, from: Incarnation, uid: u32, seq: u32) {
    let Some(server) = node.table.server_by_uid(uid) else {
        return;
    };
    let Some(outgoing) = node.outgoing.get_mut(&server) else {
        return;
    };
    if outgoing.successor == from && outgoing.message.seq == seq {
        outgoing.is_acknowledged = true;
        node.owners.publish(server);
        // From here on only the records of requests that still run are needed.
        let running = &outgoing.running;
        let is_running = |record: &Record| running.contains(&record.key);
        outgoing.message.records.retain(is_running);
        outgoing.message.queued.clear();
    }
}

/// Handles the end of a request that ran at a former owner.
pub(crate) fn handle_finished(
    node: &mut Node,
    from: Incarnation,
    uid: u32,
    record: Record,
    out: &mut Vec<Effect>,
) {
    let server = node.table.server_by_uid(uid);
    let Some(owned) = server.and_then(|server| node.owned.get_mut(&server)) else {
        // The server was handed over again, or its hand-over has not arrived yet: the sender
        // retransmits until the owner acknowledges.
        return forward_finished(node, uid, record, from, out);
    };
    let key = record.key;
    let is_remote = owned
        .records
        .get(key)
        .is_some_and(|entry| matches!(entry.state, record::State::Remote(_)));
    if is_remote {
        owned.gate.release_slot();
        match record.answer {
            Some(answer) => owned.records.set_state(key, record::State::Done(answer)),
            None => owned.records.remove(key),
        }
    }
    gossip::send(node, from, Body::FinishedAck { server: uid, key }, out);
}

/// Forwards the end of a request to the balancer that owns the server now.
fn forward_finished(
    node: &mut Node,
    uid: u32,
    record: Record,
    from: Incarnation,
    out: &mut Vec<Effect>,
) {
    let server = node.table.server_by_uid(uid);
    let Some(outgoing) = server.and_then(|server| node.outgoing.get_mut(&server)) else {
        return;
    };
    let key = record.key;
    outgoing.running.retain(|running| *running != key);
    if !outgoing.ended.iter().any(|ended| ended.key == key) {
        outgoing.ended.push(record);
    }
    gossip::send(node, from, Body::FinishedAck { server: uid, key }, out);
}

/// Handles the next owner's acknowledgement of a result.
pub(crate) fn handle_finished_ack(node: &mut Node, uid: u32, key: RecordKey) {
    let server = node.table.server_by_uid(uid);
    if let Some(outgoing) = server.and_then(|server| node.outgoing.get_mut(&server)) {
        outgoing.ended.retain(|record| record.key != key);
    }
}

/// Handles the death or leave of a balancer: the outcome of requests that ran there is unknown.
pub(crate) fn handle_owner_gone(node: &mut Node, owner: Incarnation) {
    for owned in node.owned.values_mut() {
        let lost: Vec<RecordKey> = owned
            .records
            .running_remotely()
            .filter(|(_, at)| *at == owner)
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            owned.gate.release_slot();
            let is_idempotent = owned
                .records
                .get(key)
                .is_some_and(|entry| entry.is_idempotent);
            match is_idempotent {
                true => owned.records.remove(key),
                false => owned
                    .records
                    .set_state(key, record::State::Done(owner_gone_answer())),
            }
        }
    }
    node.last_handovers.retain(|(from, _), _| *from != owner);
}

fn owner_gone_answer() -> Answer {
    crate::answer::unknown(Code::OwnerGone)
}

/// Returns whether a stopping node may exit: nothing is queued or running here, and either nothing
/// is owned and all hand-overs are complete, or no other balancer could own the servers.
pub(crate) fn may_exit(node: &Node) -> bool {
    let is_idle = node.jobs.iter().next().is_none();
    let is_handed_over = node.owned.is_empty() && node.outgoing.is_empty();
    is_idle && (is_handed_over || !has_successor(node))
}

/// Returns whether any other balancer could own a server, now or soon.
pub(crate) fn has_successor(node: &Node) -> bool {
    let may_own = |member: &member::Member| {
        matches!(member.state, member::State::Alive | member::State::Suspect)
    };
    node.group
        .members()
        .any(|member| member.incarnation != node.incarnation() && may_own(member))
}
