//! Replication of the configuration between balancers, and reports to the platform.

use base::hash;
use base::prelude::*;
use bytes::Bytes;
use conf::raw;
use wire::frame::Body;

use crate::count::Kind;
use crate::effect::Effect;
use crate::gossip;
use crate::state::Node;

/// Number of peers to which a change is pushed at once.
const FANOUT: usize = 3;
/// Minimum interval between two pulls of missing changes from peers.
const PULL_PERIOD: Span = Span::millis(300);
/// Minimum interval between two reports to the platform.
const REPORT_PERIOD: Span = Span::secs(1);

/// State of pulls and reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    next_pull: Time,
    next_report: Time,
    /// Spec of the last report.
    reported: String,
    /// Number of samples of peers drawn so far, which makes each differ from the last.
    samples: u64,
}

/// Applies objects from the platform, and reads missing changes again.
pub(crate) fn apply_objects(
    node: &mut Node,
    objects: Vec<raw::Object>,
    since: u64,
    upto: u64,
    out: &mut Vec<Effect>,
) {
    let has_gap = apply_to_store(node, &objects, since, upto, out);
    if has_gap {
        let since = node.store.revision();
        out.push(Effect::Refetch { since });
    }
}

/// Applies a delta from a peer.
pub(crate) fn apply_delta(
    node: &mut Node,
    objects: &[Bytes],
    since: u64,
    upto: u64,
    out: &mut Vec<Effect>,
) {
    let decoded: Result<Vec<raw::Object>, postcard::Error> = objects
        .iter()
        .map(|object| postcard::from_bytes(object))
        .collect();
    match decoded {
        Ok(objects) => {
            // A gap also shows in the sender's revision, which triggers a pull.
            apply_to_store(node, &objects, since, upto, out);
        }
        Err(_) => node.counts.add_code(Code::Malformed),
    }
}

/// Applies objects to the store; returns whether changes before them are missing.
fn apply_to_store(
    node: &mut Node,
    objects: &[raw::Object],
    since: u64,
    upto: u64,
    out: &mut Vec<Effect>,
) -> bool {
    // Reports are written by balancers and are not part of the configuration.
    let objects: Vec<raw::Object> = objects
        .iter()
        .filter(|object| object.kind != "Report")
        .cloned()
        .collect();
    let before = node.store.newest_version();
    let change = node.store.apply(&objects, since, upto);
    if change.is_empty() {
        return change.has_gap;
    }
    node.counts.add(Kind::Deltas);
    node.table.rebuild(&node.store);
    node.is_reconcile_due = true;
    node.next_load_report = node.now;
    if node.store.newest_version() > before && before > 0 {
        push_to_peers(node, before, out);
    }
    change.has_gap
}

/// Pushes a change to a few peers. Each peer that receives it first does the same.
fn push_to_peers(node: &mut Node, since: u64, out: &mut Vec<Effect>) {
    // Without the tombstones for a delta nothing is pushed: peers see the newer revision in the
    // next membership message, and pull the listing.
    let Some(objects) = node.store.delta(since) else {
        return;
    };
    let Some(body) = encode_delta(node, since, &objects) else {
        return;
    };
    for peer in sample_peers(node, FANOUT) {
        gossip::send(node, peer, body.clone(), out);
    }
}

/// Encodes the changes after `since`, or the listing if the tombstones for a delta are missing.
fn encode_delta_since(node: &Node, since: u64) -> Option<Body> {
    let (since, objects) = match node.store.delta(since) {
        Some(objects) => (since, objects),
        None => (0, node.store.listing()),
    };
    encode_delta(node, since, &objects)
}

fn encode_delta(node: &Node, since: u64, objects: &[raw::Object]) -> Option<Body> {
    let objects: Result<Vec<Bytes>, postcard::Error> = objects
        .iter()
        .map(|object| postcard::to_stdvec(object).map(Bytes::from))
        .collect();
    Some(Body::Delta {
        since,
        upto: node.store.revision(),
        objects: objects.ok()?,
    })
}

/// Samples peers that are neither dead nor have left, different ones for each change.
fn sample_peers(node: &mut Node, count: usize) -> Vec<Incarnation> {
    node.replication.samples += 1;
    let me = node.incarnation();
    let salt = hash::pair(me.0, node.replication.samples);
    let mut peers: Vec<Incarnation> = node
        .group
        .members()
        .filter(|member| member.incarnation != me && !member.state.is_final())
        .map(|member| member.incarnation)
        .collect();
    peers.sort_by_key(|peer| hash::pair(peer.0, salt));
    peers.truncate(count);
    peers
}

/// Pulls missing changes from a peer that has a newer revision.
pub(crate) fn pull_if_behind(
    node: &mut Node,
    from: Incarnation,
    revision: u64,
    out: &mut Vec<Effect>,
) {
    if revision <= node.store.revision() || node.now < node.replication.next_pull {
        return;
    }
    node.replication.next_pull = node.now + PULL_PERIOD;
    node.counts.add(Kind::Pulls);
    let since = node.store.revision();
    gossip::send(node, from, Body::Pull { since }, out);
}

/// Answers a peer's pull with the changes it is missing.
pub(crate) fn answer_pull(node: &mut Node, from: Incarnation, since: u64, out: &mut Vec<Effect>) {
    if since >= node.store.revision() {
        return;
    }
    if let Some(body) = encode_delta_since(node, since) {
        gossip::send(node, from, body, out);
    }
}

/// Reports on this node's failure domain, if this node is the domain's reporter and the report
/// changed.
pub(crate) fn report_if_due(node: &mut Node, out: &mut Vec<Effect>) {
    if node.now < node.replication.next_report || node.store.revision() == 0 || !is_reporter(node) {
        return;
    }
    let spec = report_spec(node);
    if spec == node.replication.reported {
        return;
    }
    node.replication.next_report = node.now + REPORT_PERIOD;
    node.replication.reported.clone_from(&spec);
    out.push(Effect::Report {
        name: node.setting.domain.clone(),
        spec,
    });
}

/// One balancer of a domain reports for all. If two views differ, both write, which is harmless.
fn is_reporter(node: &Node) -> bool {
    let first = node
        .group
        .members()
        .find(|member| member.domain == node.setting.domain && !member.state.is_final());
    first.is_some_and(|member| member.incarnation == node.incarnation())
}

fn report_spec(node: &Node) -> String {
    let me = node.incarnation();
    let faults: Vec<serde_json::Value> = node
        .table
        .faults()
        .iter()
        .map(|fault| {
            serde_json::json!({
                "kind": fault.kind,
                "name": fault.name,
                "code": fault.code.number(),
            })
        })
        .collect();
    let balancers: Vec<serde_json::Value> = node
        .group
        .members()
        .filter(|member| member.domain == node.setting.domain && !member.state.is_final())
        .map(|member| {
            serde_json::json!({
                "name": member.name,
                "incarnation": member.incarnation,
                "admin": member.admin.to_string(),
                "revision": member.revision,
                "faults": if member.incarnation == me { faults.as_slice() } else { &[] },
            })
        })
        .collect();
    serde_json::json!({ "balancers": balancers }).to_string()
}
