//! Membership messages, and the load reports piggybacked on them.

use std::net::SocketAddr;

use base::prelude::*;
use conf::key;
use member::codec;
use member::codec::Piggyback;
use member::Group;
use member::Member;
use member::Message;
use wire::frame::Body;
use wire::frame::Frame;
use wire::frame::Load;

use crate::dump;
use crate::effect::Effect;
use crate::event::Host;
use crate::handover;
use crate::ingress;
use crate::job::Phase;
use crate::replication;
use crate::setting::Setting;
use crate::state::Node;

/// Minimum interval between two load reports on the same server.
const MIN_LOAD_PERIOD: Span = Span::millis(500);
/// Load report interval per backend server, so that the total rate of reports does not grow with
/// the number of servers.
const LOAD_PERIOD_PER_SERVER: Span = Span::millis(12);

/// Creates the membership state of a process that starts at `now`.
pub(crate) fn new_group(setting: &Setting, now: Time) -> Group {
    let (name, domain) = (setting.name.clone(), setting.domain.clone());
    let me = Member::new(name, domain, setting.peer, setting.admin, now);
    let mut group = Group::new(me, member::Setting::default());
    let seeds = setting.seeds.clone();
    // Nothing is sent before the first tick, which probes the candidates.
    group.step(now, member::Event::Candidates(seeds), &mut Vec::new());
    group
}

/// Returns the interval between two load reports on the same server.
pub(crate) fn load_period(node: &Node) -> Span {
    let servers = node.table.servers().len() as u64;
    MIN_LOAD_PERIOD.max(Span(LOAD_PERIOD_PER_SERVER.0 * servers))
}

/// Sends a message to a balancer, if its address is known.
pub(crate) fn send(node: &Node, to: Incarnation, body: Body, out: &mut Vec<Effect>) {
    if let Some(member) = node.group.get(to) {
        send_to(node, member.peer, body, out);
    }
}

fn send_to(node: &Node, to: Peer, body: Body, out: &mut Vec<Effect>) {
    let frame = Frame {
        from: node.incarnation(),
        body,
    };
    out.push(Effect::Send { to, frame });
}

/// Handles a frame from a peer.
pub(crate) fn handle_frame(node: &mut Node, peer: SocketAddr, frame: Frame, out: &mut Vec<Effect>) {
    let from = frame.from;
    let body = match codec::decode(frame.body) {
        Ok((message, piggyback)) => {
            apply_piggyback(node, from, piggyback, out);
            return handle_message(node, from, peer, message, out);
        }
        Err(body) => *body,
    };
    match body {
        Body::Relay(relay) => ingress::handle_relay(node, relay, out),
        Body::Pull { since } => replication::answer_pull(node, from, since, out),
        Body::Delta {
            since,
            upto,
            objects,
        } => replication::apply_delta(node, &objects, since, upto, out),
        Body::Handover(handover) => handover::handle_handover(node, from, handover, out),
        Body::HandoverAck { server, seq } => handover::handle_handover_ack(node, from, server, seq),
        Body::Finished { server, record } => {
            handover::handle_finished(node, from, server, record, out)
        }
        Body::FinishedAck { server, key } => handover::handle_finished_ack(node, server, key),
        // Membership messages were handled above; the rest is for balancers that forward packets.
        Body::Ping { .. }
        | Body::Ack { .. }
        | Body::PingReq { .. }
        | Body::LoadReport(_)
        | Body::Objects(_)
        | Body::ObjectsRequest(_)
        | Body::Fragment(_)
        | Body::Speeds(_)
        | Body::Demand(_)
        | Body::DomainDemand(_)
        | Body::HostUse(_)
        | Body::SnapshotRequest
        | Body::SnapshotBusy { .. }
        | Body::Snapshot(_) => (),
    }
}

/// Applies the updates that are piggybacked on a membership message.
fn apply_piggyback(
    node: &mut Node,
    from: Incarnation,
    piggyback: Piggyback,
    out: &mut Vec<Effect>,
) {
    for load in piggyback.loads {
        apply_load(node, load);
    }
    replication::pull_if_behind(node, from, piggyback.revision, out);
}

fn apply_load(node: &mut Node, load: Load) {
    let Some(server) = node.table.server_by_uid(load.server) else {
        return;
    };
    let before = node.owners.get(server).map(|entry| entry.load.ownership);
    // A report by this node that was forwarded back to it carries no new state.
    if load.ownership.owner == node.incarnation() || !node.owners.apply(node.now, server, load) {
        return;
    }
    if before != Some(load.ownership) {
        node.is_reconcile_due = true;
    }
}

fn handle_message(
    node: &mut Node,
    from: Incarnation,
    peer: SocketAddr,
    message: Message,
    out: &mut Vec<Effect>,
) {
    let event = member::Event::Message {
        from,
        peer,
        message,
    };
    step_group(node, event, out);
}

fn step_group(node: &mut Node, event: member::Event, out: &mut Vec<Effect>) {
    let mut effects = Vec::new();
    node.group.step(node.now, event, &mut effects);
    for effect in effects {
        handle_group_effect(node, effect, out);
    }
}

fn handle_group_effect(node: &mut Node, effect: member::Effect, out: &mut Vec<Effect>) {
    match effect {
        member::Effect::Send { to, message } => {
            let body = encode_message(node, message);
            send_to(node, to, body, out);
        }
        member::Effect::Joined(_) | member::Effect::Changed(_) => node.is_reconcile_due = true,
        member::Effect::Dead(owner) | member::Effect::Left(owner) => {
            node.is_reconcile_due = true;
            handover::handle_owner_gone(node, owner);
            out.push(dump::log(Code::OwnerGone, format!("{owner} is gone")));
        }
        member::Effect::Partitioned(domain) => {
            node.is_reconcile_due = true;
            out.push(dump::log(Code::Ok, format!("{domain} is unreachable")));
        }
        member::Effect::Healed(domain) => {
            node.is_reconcile_due = true;
            out.push(dump::log(Code::Ok, format!("{domain} is reachable again")));
        }
        member::Effect::Superseded => restart(node, out),
    }
}

/// Restarts under a new incarnation: peers have declared the old one dead and reassigned its work.
fn restart(node: &mut Node, out: &mut Vec<Effect>) {
    let known: Vec<SocketAddr> = node
        .group
        .members()
        .filter(|member| member.incarnation != node.incarnation())
        .map(|member| member.peer.datagram)
        .collect();
    let old = node.incarnation();
    let queued: Vec<crate::effect::Run> = node
        .jobs
        .iter()
        .filter(|(_, job)| job.phase == Phase::Queued)
        .map(|(run, _)| run)
        .collect();
    for run in queued {
        node.jobs.remove(run);
    }
    node.owned.clear();
    node.outgoing.clear();
    node.last_handovers.clear();
    node.group = new_group(&node.setting, node.now);
    step_group(node, member::Event::Candidates(known), out);
    node.is_reconcile_due = true;
    let text = format!(
        "{old} was declared dead by its peers, restarted as {}",
        node.incarnation()
    );
    out.push(dump::log(Code::Paused, text));
}

fn encode_message(node: &mut Node, message: Message) -> Body {
    let piggyback = Piggyback {
        revision: node.store.applied_version(),
        loads: node.owners.take_updates(),
    };
    codec::encode(message, piggyback)
}

/// Publishes due load reports and drives the membership protocol.
pub(crate) fn tick(node: &mut Node, out: &mut Vec<Effect>) {
    if node.now >= node.next_load_report {
        node.next_load_report = node.now + load_period(node);
        publish_loads(node);
    }
    node.group.set_revision(node.store.applied_version());
    step_group(node, member::Event::Tick, out);
}

/// Publishes the loads of the servers owned here.
fn publish_loads(node: &mut Node) {
    let servers: Vec<key::Server> = node.owned.keys().copied().collect();
    for server in servers {
        let is_open = node.table[server].is_present
            && ingress::effective_state(node, server) == conf::object::State::In;
        let uid = node.table[server].uid;
        let now = node.now;
        let Some(owned) = node.owned.get_mut(&server) else {
            continue;
        };
        owned.seq += 1;
        let load = Load {
            server: uid,
            ownership: owned.ownership,
            seq: owned.seq,
            open: owned.gate.open_requests(),
            rate: owned.gate.rate(now),
            slots: match is_open && owned.is_confirmed {
                true => owned.gate.concurrency_limit(),
                false => 0,
            },
        };
        node.owners.apply(now, server, load);
    }
}

/// Applies the platform's list of hosts. The list lags behind, so it adds candidates and removes no
/// member.
pub(crate) fn handle_hosts(node: &mut Node, hosts: Vec<Host>, out: &mut Vec<Effect>) {
    let candidates = hosts
        .iter()
        .filter_map(|host| host.peer)
        .map(|peer| peer.datagram)
        .collect();
    let leaving = hosts
        .iter()
        .filter(|host| host.leaving && host.peer.is_none())
        .map(|host| host.ip)
        .collect();
    if node.leaving_hosts != leaving {
        node.leaving_hosts = leaving;
        node.is_reconcile_due = true;
        node.next_load_report = node.now;
    }
    step_group(node, member::Event::Candidates(candidates), out);
}

/// Announces to peers that this balancer is leaving, and on the second call that it has left.
pub(crate) fn leave_group(node: &mut Node, out: &mut Vec<Effect>) {
    step_group(node, member::Event::Leave, out);
}

/// Marks the view of peers as stale after a pause of the process.
pub(crate) fn resume_group(node: &mut Node, out: &mut Vec<Effect>) {
    step_group(node, member::Event::Resume, out);
}
