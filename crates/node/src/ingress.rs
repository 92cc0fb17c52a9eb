//! Path of a caller's datagram to the owner of its backend server.

use std::net::IpAddr;
use std::net::SocketAddr;

use base::hash;
use base::prelude::*;
use bytes::Bytes;
use conf::key;
use conf::object::State;
use route::choose::choose;
use route::choose::Candidate;
use wire::coap;
use wire::coap::Request;
use wire::frame::Body;
use wire::frame::Relay;
use wire::token::Token;

use crate::admission;
use crate::answer;
use crate::count::Kind;
use crate::effect::Effect;
use crate::gossip;
use crate::state::Node;

/// Maximum number of balancers that a datagram passes through after the one that received it.
const MAX_HOPS: u8 = 3;
/// Age above which a load report counts as stale, in load report intervals.
const FRESH_REPORT_PERIODS: u64 = 3;

/// Bit of a token's nonce that marks a flow as moved away from a busy server. It is not part of the
/// flow's identity.
pub(crate) const MOVED_BIT: u64 = 1;

/// A decoded request on its way to its owner.
pub(crate) struct Arrival {
    pub(crate) relay: Relay,
    pub(crate) request: Request,
    pub(crate) token: Option<Token>,
    pub(crate) service: key::Service,
    /// Digest of the datagram as received; unchanged when a block-wise body is assembled.
    pub(crate) digest: u64,
}

impl Arrival {
    /// Returns the identity of the flow: the token's nonce, or else a hash of the caller's address.
    pub(crate) fn nonce(&self) -> u64 {
        match &self.token {
            Some(token) => token.nonce & !MOVED_BIT,
            None => caller_hash(self.relay.caller),
        }
    }

    /// Returns whether its flow was moved here from a busy server and has not been served since.
    pub(crate) fn was_moved(&self) -> bool {
        self.token.is_some_and(|token| token.nonce & MOVED_BIT != 0)
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.request.method.is_idempotent()
    }
}

/// Returns a hash with the size of a token's nonce.
fn caller_hash(caller: SocketAddr) -> u64 {
    hash::bytes(caller.to_string().as_bytes()) & 0xff_ffff_ffff_ffff
}

/// Handles a datagram from a caller.
pub(crate) fn handle_datagram(
    node: &mut Node,
    service: IpAddr,
    caller: SocketAddr,
    data: Bytes,
    out: &mut Vec<Effect>,
) {
    node.counts.add(Kind::Datagrams);
    let relay = Relay {
        service,
        caller,
        server: 0,
        hops: MAX_HOPS,
        may_have_run: false,
        data,
    };
    handle_relay(node, relay, out);
}

/// Handles a datagram from a caller, or one relayed by a peer.
pub(crate) fn handle_relay(node: &mut Node, relay: Relay, out: &mut Vec<Effect>) {
    // A node that was paused or has just started may have a stale view of everything that follows.
    if !node.group.is_settled() || node.store.revision() == 0 {
        return node.counts.add(Kind::NotReady);
    }
    let request = match Request::try_from(relay.data.as_ref()) {
        Ok(request) => request,
        Err(fault) => return refuse_malformed(node, &relay, &fault, out),
    };
    let Some(service) = node.table.service_at(relay.service) else {
        return node.counts.add_code(Code::NoService);
    };
    let token = match read_token(node, service, &request) {
        Ok(token) => token,
        Err(code) => return node.counts.add_code(code),
    };
    if token.is_none() && request.echo.is_some() {
        node.counts.add_code(Code::TokenExpired);
    }
    let arrival = Arrival {
        digest: request.digest(),
        relay,
        request,
        token,
        service,
    };
    route_request(node, arrival, out);
}

fn refuse_malformed(node: &mut Node, relay: &Relay, fault: &coap::Error, out: &mut Vec<Effect>) {
    let code = match fault {
        coap::Error::Drop(code) | coap::Error::Reject { code, .. } => *code,
        coap::Error::Ping(_) => Code::Ok,
    };
    node.counts.add_code(code);
    if let Some(data) = coap::encode_error(fault) {
        out.push(Effect::Answer {
            service: relay.service,
            caller: relay.caller,
            data,
        });
    }
}

/// Opens the route token. An expired one counts as none: a fresh one will be issued.
fn read_token(
    node: &Node,
    service: key::Service,
    request: &Request,
) -> Result<Option<Token>, Code> {
    let Some(echo) = &request.echo else {
        return Ok(None);
    };
    let token = node.setting.ring.open(echo)?;
    if token.service != node.table[service].uid {
        return Err(Code::TokenForeign);
    }
    let age = node.now.secs().saturating_sub(u64::from(token.issued));
    let is_valid = Span::secs(age) < node.setting.token_lifetime;
    Ok(is_valid.then_some(token))
}

/// Chooses the backend server for a request, and forwards the request to that server's owner.
pub(crate) fn route_request(node: &mut Node, arrival: Arrival, out: &mut Vec<Effect>) {
    match arrival.token {
        Some(token) => route_pinned(node, arrival, token, out),
        None if !arrival.is_idempotent() => issue_token(node, &arrival, out),
        None => route_unpinned(node, arrival, None, out),
    }
}

fn route_pinned(node: &mut Node, arrival: Arrival, token: Token, out: &mut Vec<Effect>) {
    let server = node.table.server_by_uid(token.server);
    if arrival.is_idempotent() {
        let pinned = server.filter(|server| {
            node.table[*server].generation == token.generation
                && accepts_work(node, &arrival, *server)
        });
        // A peer that relayed the request to another server has a newer view of the pinned one.
        let hint = hinted_server(node, &arrival).filter(|hint| Some(*hint) != server);
        return match hint.or(pinned) {
            Some(server) => forward_to_owner(node, arrival, server, out),
            None => route_unpinned(node, arrival, None, out),
        };
    }
    match server {
        Some(server) => forward_to_owner(node, arrival, server, out),
        // The server is not in the local configuration, yet or any more: only its owner knows the
        // outcome of its requests.
        None => node.counts.add(Kind::OwnerUnknown),
    }
}

/// Returns whether a server accepts requests now, by its owner's last load report.
fn accepts_work(node: &Node, arrival: &Arrival, server: key::Server) -> bool {
    let is_closed = node
        .owners
        .get(server)
        .is_some_and(|entry| entry.load.slots == 0);
    let is_owned = node.owned.contains_key(&server);
    is_eligible(node, arrival.service, server) && (is_owned || !is_closed)
}

/// Returns the server owned here for which a peer relayed the request.
fn hinted_server(node: &Node, arrival: &Arrival) -> Option<key::Server> {
    node.table
        .server_by_uid(arrival.relay.server)
        .filter(|server| node.owned.contains_key(server))
        .filter(|server| is_eligible(node, arrival.service, *server))
}

/// Routes a request that any server of the service may run, preferably to the server for which a
/// peer relayed it.
pub(crate) fn route_unpinned(
    node: &mut Node,
    arrival: Arrival,
    excluded: Option<key::Server>,
    out: &mut Vec<Effect>,
) {
    let hint = hinted_server(node, &arrival).filter(|server| Some(*server) != excluded);
    let flow = arrival.nonce();
    let chosen = hint.or_else(|| choose_server(node, arrival.service, flow, excluded));
    match chosen {
        Some(server) => {
            node.owners.count_sent(server);
            forward_to_owner(node, arrival, server, out);
        }
        None => node.counts.add_code(Code::NoServer),
    }
}

/// Answers a request that needs a route token with a new one.
fn issue_token(node: &mut Node, arrival: &Arrival, out: &mut Vec<Effect>) {
    let nonce = node.new_nonce(arrival.nonce());
    let Some(server) = choose_server(node, arrival.service, nonce, None) else {
        return node.counts.add_code(Code::NoServer);
    };
    node.owners.count_sent(server);
    let Some(token) = answer::make_token(node, arrival.service, server, nonce) else {
        return node.counts.add(Kind::OwnerUnknown);
    };
    let refusal = answer::not_run(Code::TokenNeeded);
    answer::send(
        node,
        &arrival.relay,
        &arrival.request,
        &refusal,
        Some(token),
        out,
    );
}

/// Forwards a request to the owner of a backend server.
pub(crate) fn forward_to_owner(
    node: &mut Node,
    arrival: Arrival,
    server: key::Server,
    out: &mut Vec<Effect>,
) {
    if node.owned.contains_key(&server) {
        return admission::admit(node, arrival, server, out);
    }
    if node.outgoing.contains_key(&server) && admission::update_running(node, &arrival, server) {
        return;
    }
    let Some(owner) = find_owner(node, server) else {
        return node.counts.add(Kind::OwnerUnknown);
    };
    let Some(hops) = arrival.relay.hops.checked_sub(1) else {
        // A peer relays without hops left to the owner that the token names: no other balancer will
        // answer.
        let is_named = arrival
            .token
            .is_some_and(|token| token.owner == node.incarnation());
        if is_named && !arrival.is_idempotent() && !node.outgoing.contains_key(&server) {
            return admission::answer_owner_gone(node, &arrival, server, out);
        }
        return node.counts.add(Kind::HopsExceeded);
    };
    node.counts.add(Kind::Relays);
    let relay = Relay {
        server: node.table[server].uid,
        hops,
        ..arrival.relay
    };
    gossip::send(node, owner, Body::Relay(relay), out);
}

/// Returns the live balancer, other than this one, that owns a backend server as far as known.
fn find_owner(node: &Node, server: key::Server) -> Option<Incarnation> {
    let me = node.incarnation();
    let outgoing = node
        .outgoing
        .get(&server)
        .map(|outgoing| outgoing.successor);
    let claimed = answer::live_ownership(node, server).map(|ownership| ownership.owner);
    let target = node.targets[server];
    [outgoing, claimed, target]
        .into_iter()
        .flatten()
        .filter(|owner| *owner != me)
        .find(|owner| {
            node.group
                .get(*owner)
                .is_some_and(|member| member.state.is_live())
        })
}

/// Returns whether new requests of a service may go to a backend server.
pub(crate) fn is_eligible(node: &Node, service: key::Service, server: key::Server) -> bool {
    let row = &node.table[server];
    node.table.servers_of(service).contains(&server)
        && effective_state(node, server) == State::In
        && !node.group.is_partitioned(&node.table[row.domain].name)
}

/// Returns the strictest of the states that the configuration, the platform and the server itself
/// report.
pub(crate) fn effective_state(node: &Node, server: key::Server) -> State {
    let row = &node.table[server];
    let is_leaving = node.leaving_hosts.contains(&row.address.ip());
    let is_draining = node
        .owned
        .get(&server)
        .is_some_and(|owned| owned.gate.is_draining());
    match row.state {
        State::In if is_leaving || is_draining => State::Drain,
        configured => configured,
    }
}

/// Chooses a backend server for a new flow.
pub(crate) fn choose_server(
    node: &Node,
    service: key::Service,
    flow: u64,
    excluded: Option<key::Server>,
) -> Option<key::Server> {
    let candidates: Vec<Candidate> = node
        .table
        .servers_of(service)
        .iter()
        .filter(|server| Some(**server) != excluded && is_eligible(node, service, **server))
        .filter_map(|server| candidate(node, *server))
        .collect();
    let uid = choose(flow, &candidates)?;
    node.table.server_by_uid(u32::try_from(uid).ok()?)
}

/// Returns the eligible server with the fewest open requests relative to its concurrency limit.
pub(crate) fn least_loaded(
    node: &Node,
    service: key::Service,
    excluded: key::Server,
) -> Option<key::Server> {
    let least = node
        .table
        .servers_of(service)
        .iter()
        .filter(|server| **server != excluded && is_eligible(node, service, **server))
        .filter_map(|server| Some((candidate(node, *server)?, *server)))
        .filter(|(candidate, _)| candidate.slots > 0)
        .min_by_key(|(candidate, _)| 100 * candidate.open_requests / candidate.slots)?;
    Some(least.1)
}

/// Returns a server as a candidate for selection with its load, or `None` while it has no known
/// live owner.
pub(crate) fn candidate(node: &Node, server: key::Server) -> Option<Candidate> {
    answer::live_ownership(node, server)?;
    let row = &node.table[server];
    let base = Candidate {
        uid: u64::from(row.uid),
        open_requests: 0,
        rate: 0,
        slots: 0,
        is_local: node.table[row.domain].name == node.setting.domain,
        is_load_fresh: true,
    };
    if let Some(owned) = node.owned.get(&server) {
        return Some(Candidate {
            open_requests: u32::from(owned.gate.open_requests()),
            rate: u32::from(owned.gate.rate(node.now)),
            slots: if owned.is_confirmed {
                u32::from(owned.gate.concurrency_limit())
            } else {
                0
            },
            ..base
        });
    }
    let entry = node.owners.get(server)?;
    let age = node.now.since(entry.received);
    Some(Candidate {
        open_requests: u32::from(entry.load.open) + u32::from(entry.sent),
        rate: u32::from(entry.load.rate),
        slots: u32::from(entry.load.slots),
        is_load_fresh: age.0 < gossip::load_period(node).0 * FRESH_REPORT_PERIODS,
        ..base
    })
}
