//! Assignment of backend servers to owners after membership or configuration changes, and takeover
//! of servers without a live owner.

use std::collections::BTreeMap;

use base::prelude::*;
use conf::key;
use conf::object::State;
use wire::frame::Ownership;

use crate::answer;
use crate::count::Kind;
use crate::dispatch;
use crate::effect::Effect;
use crate::effect::Run;
use crate::handover;
use crate::job::Phase;
use crate::owned::Owned;
use crate::ownership;
use crate::state::Node;

/// Minimum duration of an ownership, unless the process stops.
const MIN_OWNERSHIP: Span = Span::secs(1);

/// Recomputes the target owner of each backend server, and hands over the servers that others
/// should own.
pub(crate) fn ownership(node: &mut Node, out: &mut Vec<Effect>) {
    assign_targets(node);
    hand_over_due(node, out);
    take_over_unowned(node, out);
    withdraw_work(node, out);
}

/// Hands a server over if another balancer should own it.
///
/// A server that was acquired recently stays for a while: its former owner may know of a change
/// that has not been received here yet.
pub(crate) fn hand_over_if_due(node: &mut Node, server: key::Server, out: &mut Vec<Effect>) {
    let Some(next) = next_owner(node, server) else {
        return;
    };
    let since = node.owned.get(&server).map(|owned| owned.since);
    let is_recent = since.is_some_and(|since| node.now.since(since) < MIN_OWNERSHIP);
    if node.is_stopping || !is_recent {
        handover::start(node, server, next, out);
    }
}

/// Hands over the servers whose minimum ownership has passed and that others should own.
pub(crate) fn hand_over_due(node: &mut Node, out: &mut Vec<Effect>) {
    let owned: Vec<key::Server> = node.owned.keys().copied().collect();
    for server in owned {
        hand_over_if_due(node, server, out);
    }
}

/// Computes the target owner of every backend server.
fn assign_targets(node: &mut Node) {
    let mut domains: BTreeMap<&str, Vec<key::Server>> = BTreeMap::new();
    for (server, row) in node.table.servers() {
        if row.is_present {
            let name = node.table[row.domain].name.as_str();
            domains.entry(name).or_default().push(server);
        }
    }
    node.targets.clear();
    for (domain, servers) in domains {
        let owners = eligible_owners(node, domain);
        let uids: Vec<u64> = servers
            .iter()
            .map(|server| u64::from(node.table[*server].uid))
            .collect();
        let assigned = route::owner::assign(&uids, &owners);
        for (server, index) in servers.into_iter().zip(assigned) {
            node.targets[server] = index.map(|index| Incarnation(owners[index]));
        }
    }
}

/// Returns the balancers that may own servers of a domain: those of the domain itself, or of the
/// next domain that has any.
fn eligible_owners(node: &Node, domain: &str) -> Vec<u64> {
    let names: Vec<&str> = {
        let mut names: Vec<&str> = node
            .group
            .members()
            .map(|member| member.domain.as_str())
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    };
    let start = names.partition_point(|name| *name < domain);
    let own = std::iter::once(domain);
    let others = names[start..].iter().chain(&names[..start]).copied();
    own.chain(others.filter(|name| *name != domain))
        .map(|name| {
            node.group
                .owners_in(name)
                .map(|member| member.incarnation.0)
                .collect::<Vec<u64>>()
        })
        .find(|owners| !owners.is_empty())
        .unwrap_or_default()
}

/// Returns the balancer to which a server owned here has to be handed over, if any.
fn next_owner(node: &Node, server: key::Server) -> Option<Incarnation> {
    let me = node.incarnation();
    let own = node.owned.get(&server)?.ownership;
    // Another owner that is not the target hands the server over by itself. If both handed it over
    // to each other, both would own it again.
    if node.targets[server] == Some(me) {
        return None;
    }
    // Two balancers own a server at once after their views differed: the lower ownership yields and
    // hands over its records.
    let superseding = node
        .owners
        .get(server)
        .map(|entry| entry.load.ownership)
        .filter(|ownership| ownership.owner != me && ownership::supersedes(*ownership, own))
        .map(|ownership| ownership.owner)
        .filter(|owner| is_live(node, *owner));
    let target = node.targets[server];
    let successor = superseding.or(target).filter(|owner| is_live(node, *owner));
    match successor {
        None if node.is_stopping && node.targets[server].is_none() => fallback_owner(node, server),
        successor => successor,
    }
}

fn is_live(node: &Node, owner: Incarnation) -> bool {
    node.group
        .get(owner)
        .is_some_and(|member| member.state.is_live())
}

/// Returns a balancer for a server that no object declares any more, but whose records are still
/// needed.
fn fallback_owner(node: &Node, server: key::Server) -> Option<Incarnation> {
    let domain = node.table[node.table[server].domain].name.as_str();
    let owners = eligible_owners(node, domain);
    route::rendezvous::highest(u64::from(node.table[server].uid), owners.into_iter())
        .map(Incarnation)
}

/// Takes over servers that should be owned here and that no live balancer has owned for the
/// takeover delay.
pub(crate) fn take_over_unowned(node: &mut Node, out: &mut Vec<Effect>) {
    let me = node.incarnation();
    let mine: Vec<key::Server> = node
        .targets
        .iter()
        .filter(|(server, target)| **target == Some(me) && !node.owned.contains_key(server))
        .map(|(server, _)| server)
        .collect();
    for server in mine {
        take_over_if_due(node, server, out);
    }
}

/// Takes over a server that should be owned here, unless a live balancer owns it or the takeover
/// delay has not passed.
fn take_over_if_due(node: &mut Node, server: key::Server, out: &mut Vec<Effect>) {
    let me = node.incarnation();
    let has_live_owner =
        answer::live_ownership(node, server).is_some_and(|ownership| ownership.owner != me);
    let is_moving = node
        .outgoing
        .get(&server)
        .is_some_and(|outgoing| !outgoing.is_acknowledged || is_live(node, outgoing.successor));
    if has_live_owner || is_moving || node.is_stopping || !node.group.is_settled() {
        node.unowned_since[server] = None;
        return;
    }
    // The delay is only for servers without a known owner: a known one that is gone was waited for
    // by failure detection already.
    let was_owned = node.owners.get(server).is_some();
    let since = *node.unowned_since[server].get_or_insert(node.now);
    let domain = node.table[server].domain;
    let delay = match node.table[domain].name == node.setting.domain {
        true => node.setting.takeover_delay,
        false => node.setting.foreign_takeover_delay,
    };
    if !was_owned && node.now.since(since) < delay {
        return;
    }
    node.unowned_since[server] = None;
    let term = node
        .owners
        .get(server)
        .map_or(0, |entry| entry.load.ownership.term);
    let ownership = Ownership {
        owner: node.incarnation(),
        term: term + 1,
    };
    node.counts.add(Kind::Takeovers);
    start_ownership(node, server, ownership);
    handover::reclaim_records(node, server);
    out.push(crate::dump::log(
        Code::Ok,
        format!("{server} taken over, term {}", ownership.term),
    ));
}

/// Starts an ownership. Baseline latency is seeded from other servers of the service.
pub(crate) fn start_ownership(node: &mut Node, server: key::Server, ownership: Ownership) {
    let slots = u8::try_from(node.table[server].slots).unwrap_or(u8::MAX);
    let mut owned = Owned::new(&node.setting, ownership, slots, node.now);
    if let Some(service) = node.table[server].service {
        let others = node.owned.values();
        let typical = others.filter_map(|other| other.gate.baseline(service.as_u32()));
        if let Some(typical) = typical.min() {
            owned.gate.seed_baseline(service.as_u32(), typical);
        }
    }
    node.owned.insert(server, owned);
    node.next_load_report = node.now;
}

/// Withdraws work from servers that accept no more of it: relocates queued requests, closes pooled
/// connections and cancels running requests.
pub(crate) fn withdraw_work(node: &mut Node, out: &mut Vec<Effect>) {
    let closing: Vec<key::Server> = node
        .owned
        .keys()
        .copied()
        .filter(|server| is_closed(node, *server) || is_down(node, *server))
        .collect();
    for server in closing {
        clear_queue(node, server, out);
    }
    disconnect_out(node, out);
    let cancelled: Vec<Run> = node
        .jobs
        .iter()
        .filter(|(_, job)| job.phase == Phase::Running)
        .filter(|(_, job)| is_out(node, job.server))
        .map(|(run, _)| run)
        .collect();
    for run in cancelled {
        if let Some(job) = node.jobs.get_mut(run) {
            job.phase = Phase::Cancelled;
            out.push(Effect::Cancel(run));
        }
    }
}

/// Closes the pooled connections of servers that are out, once.
fn disconnect_out(node: &mut Node, out: &mut Vec<Effect>) {
    for (server, owned) in &mut node.owned {
        let row = &node.table[*server];
        let is_out = row.state == State::Out;
        if is_out && !owned.is_disconnected {
            out.push(Effect::Disconnect {
                address: row.address,
            });
        }
        owned.is_disconnected = is_out;
    }
}

fn is_closed(node: &Node, server: key::Server) -> bool {
    !node.table[server].is_present || crate::ingress::effective_state(node, server) != State::In
}

fn is_down(node: &Node, server: key::Server) -> bool {
    let owned = node.owned.get(&server);
    owned.is_some_and(|owned| !owned.gate.is_up())
}

fn is_out(node: &Node, server: key::Server) -> bool {
    node.table[server].state == State::Out
}

fn clear_queue(node: &mut Node, server: key::Server, out: &mut Vec<Effect>) {
    let Some(owned) = node.owned.get_mut(&server) else {
        return;
    };
    for item in owned.gate.drain_queue() {
        if let Some(job) = node.jobs.remove(Run::from_u32(item.key)) {
            dispatch::relocate_job(node, job, out);
        }
    }
}
