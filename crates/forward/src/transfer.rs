//! The exchange of snapshots: requests of balancers that start, and the answers.

use std::net::SocketAddr;

use base::prelude::*;
use member::codec;
use member::codec::Piggyback;
use member::Message;
use wire::frame::Body;
use wire::frame::Snapshot;

use crate::count;
use crate::effect::Effect;
use crate::feed;
use crate::peer;
use crate::read;
use crate::setting::StartFrom;
use crate::snapshot;
use crate::startup;
use crate::startup::serve::Answer;
use crate::state::Forwarder;

/// Asks a peer for a snapshot if one is due while objects of some kind are missing. Returns whether
/// the platform may be read.
pub(crate) fn step(state: &mut Forwarder, out: &mut Vec<Effect>) -> bool {
    if state.setting.start_from == StartFrom::Platform || state.feeds.are_synced() {
        return true;
    }
    let step = state
        .startup
        .step(state.now, &state.group, &state.setting.seeds);
    if let Some(to) = step.ask {
        // The peer may not know this balancer yet, and answers members only.
        let updates = vec![state.group.local().clone()];
        let ping = Message::Ping { seq: 0, updates };
        let piggyback = Piggyback::default();
        peer::send_frame(state, to, codec::encode(ping, piggyback), out);
        peer::send_frame(state, to, Body::SnapshotRequest, out);
    }
    step.may_read
}

/// Handles a frame about snapshots.
pub(crate) fn handle_frame(
    state: &mut Forwarder,
    from: Incarnation,
    peer: SocketAddr,
    body: Body,
    out: &mut Vec<Effect>,
) {
    let sender = state.group.get(from);
    let is_member = sender.is_some_and(|member| member.state.is_live());
    match body {
        Body::SnapshotRequest if is_member => {
            let domain = sender.map(|member| member.domain.clone());
            match state.feeds.are_synced() {
                true => answer(state, peer, out),
                false => refer(state, from, peer, &domain.unwrap_or_default(), out),
            }
        }
        Body::SnapshotBusy {
            wait_ms,
            peer: named,
        } if is_member => {
            let wait = Span::millis(wait_ms.into());
            let own = state.setting.peer.datagram;
            state
                .startup
                .record_busy(state.now, (own, peer), wait, named);
            // The named peer is asked, or the platform read, without waiting for the next tick.
            read::start_due(state, out);
        }
        Body::Snapshot(snapshot) if is_member => apply(state, from, peer, &snapshot, out),
        Body::SnapshotRequest | Body::SnapshotBusy { .. } | Body::Snapshot(_) => {
            state.counts.add(count::Kind::SnapshotsRejected);
        }
        // The other frames are for the balancers of crate `node`, which relay callers' datagrams to
        // the owner of a backend server, or are fragments, which the driver reassembles.
        _ => (),
    }
}

/// Answers a request while there is no snapshot here. A seed names the balancer of the sender's
/// failure domain that reads the platform, which may be the sender. Others name the first balancer
/// of the domain, and answer their own domain with a time if they are reading the platform.
fn refer(
    state: &mut Forwarder,
    from: Incarnation,
    to: SocketAddr,
    domain: &str,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let own = state.setting.peer.datagram;
    if domain == state.setting.domain && state.feeds.are_being_read() {
        state.server.record_waiting(now, to);
        return send_busy(state, to, startup::REQUEST_PERIOD, None, out);
    }
    let named = match state.setting.seeds.contains(&own) {
        true => Some(state.server.choose_reader(now, domain, to)),
        false => {
            let first = state.group.alive_in(domain).next();
            let first = first.filter(|first| first.incarnation < from);
            first.map(|first| first.peer.datagram)
        }
    };
    match named.filter(|named| *named != own) {
        Some(_) => send_busy(state, to, Span::ZERO, named, out),
        None => state.server.record_waiting(now, to),
    }
}

fn send_busy(
    state: &mut Forwarder,
    to: SocketAddr,
    wait: Span,
    peer: Option<SocketAddr>,
    out: &mut Vec<Effect>,
) {
    let wait_ms = u16::try_from(wait.as_millis()).unwrap_or(u16::MAX);
    peer::send_frame(state, to, Body::SnapshotBusy { wait_ms, peer }, out);
}

/// Answers a request for a snapshot.
fn answer(state: &mut Forwarder, to: SocketAddr, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(snapshot) = snapshot::encode(now, &state.feeds, &mut state.snapshot) else {
        return;
    };
    let rate = state.snapshot_rate();
    match state.server.answer(now, to, snapshot.objects.len(), rate) {
        Answer::Snapshot => {
            state.counts.add(count::Kind::Snapshots);
            peer::send_frame(state, to, Body::Snapshot(snapshot), out);
        }
        // Not at once: no time at all means that there is no snapshot here.
        Answer::Busy(wait, peer) => send_busy(state, to, wait.max(Span::millis(1)), peer, out),
    }
}

/// Answers the balancers that asked before objects of all kinds were here.
pub(crate) fn answer_waiting(state: &mut Forwarder, out: &mut Vec<Effect>) {
    if !state.feeds.are_synced() {
        return;
    }
    for to in state.server.take_waiting(state.now) {
        answer(state, to, out);
    }
}

/// Puts a snapshot in force that was requested and still is needed.
fn apply(
    state: &mut Forwarder,
    from: Incarnation,
    peer: SocketAddr,
    snapshot: &Snapshot,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    if state.feeds.are_synced() {
        return;
    }
    let requested_at = state.startup.request_time(now, peer);
    let (Some(requested_at), Ok(mut objects)) = (requested_at, snapshot::decode(snapshot)) else {
        return state.counts.add(count::Kind::SnapshotsRejected);
    };
    // It may have been under way since just after the request.
    let transfer = now.since(requested_at);
    for entry in &snapshot.kinds {
        let Ok(kind) = conf::object::parse_kind(&entry.kind) else {
            continue;
        };
        let objects = objects.remove(&entry.kind).unwrap_or_default();
        let age = Span(entry.age.0.saturating_add(transfer.0));
        let Some(feed) = state.feeds.get_mut(kind) else {
            continue;
        };
        let update = feed::Update {
            since: 0,
            upto: entry.upto,
            age,
            is_remote: false,
            objects: &objects,
        };
        let change = feed.apply_snapshot(now, &update);
        read::apply_change(state, kind, change, Some(from), out);
    }
    match state.feeds.are_synced() {
        true => answer_waiting(state, out),
        false => state.startup.record_unconfirmed(now),
    }
}
