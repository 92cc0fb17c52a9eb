//! Membership and exchanged frames: updates of platform objects, resync requests, load reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use conf::object::Kind;
use conf::raw;
use member::codec;
use member::codec::Piggyback;
use member::Group;
use member::Member;
use wire::frame::Body;
use wire::frame::Frame;
use wire::frame::Objects;
use wire::frame::ObjectsRequest;

use crate::check;
use crate::count;
use crate::effect::Effect;
use crate::feed;
use crate::feed::Feed;
use crate::health;
use crate::load;
use crate::note::Note;
use crate::patch;
use crate::read;
use crate::report;
use crate::role::Tier;
use crate::setting::Setting;
use crate::state::Forwarder;
use crate::transfer;

/// The period of membership probes. Flows do not depend on membership; only cold servers and the
/// choice of the reader do.
const PROBE_PERIOD: Span = Span::millis(400);
/// The time-out of a probe.
const PROBE_TIMEOUT: Span = Span::millis(150);
/// The period of attempts to reach the seed addresses after a start. Balancers that start together
/// find each other, and receive load reports, in a fraction of a second.
const JOIN_PERIOD: Span = Span::millis(100);
/// One in this many resync requests may go to a peer in any failure domain.
const GLOBAL_RESYNC_EVERY: usize = 3;
/// Bounds the size of a delta that is sent to each balancer of the domain, about 60 entries of
/// servers. Balancers that need more read the platform: one call each costs less than the bandwidth
/// of a larger delta.
const DELTA_BYTES_MAX: usize = 12_000;

/// Returns the membership of a process that starts at `now`.
pub(crate) fn new_group(setting: &Setting, now: Time) -> Group {
    let (name, domain) = (setting.name.clone(), setting.domain.clone());
    let me = Member::new(name, domain, setting.peer, setting.admin, now);
    let group_setting = member::Setting::default()
        .with_probe_period(PROBE_PERIOD, PROBE_TIMEOUT)
        .with_join_retry(JOIN_PERIOD);
    let mut group = Group::new(me, group_setting);
    let seeds = member::Event::Candidates(setting.seeds.clone());
    // Effects are not needed here: the first tick probes the candidates.
    group.step(now, seeds, &mut Vec::new());
    group
}

/// Adds addresses at which balancers may be.
pub(crate) fn add_candidates(
    state: &mut Forwarder,
    addresses: Vec<SocketAddr>,
    out: &mut Vec<Effect>,
) {
    step_group(state, member::Event::Candidates(addresses), out);
}

/// Handles a frame from a peer.
pub(crate) fn handle_frame(
    state: &mut Forwarder,
    peer: SocketAddr,
    frame: Frame,
    out: &mut Vec<Effect>,
) {
    state.counts.add(count::Kind::Received);
    let from = frame.from;
    record_contact(state, from);
    let body = match codec::decode(frame.body) {
        Ok((message, piggyback)) => {
            state
                .feeds
                .observe_peer_version(state.now, piggyback.revision);
            let event = member::Event::Message {
                from,
                peer,
                message,
            };
            return step_group(state, event, out);
        }
        Err(body) => *body,
    };
    match body {
        Body::LoadReport(report) => report::apply(state, from, &report, out),
        Body::Objects(deltas) => {
            for delta in &deltas {
                apply_objects(state, from, peer, delta, out);
            }
        }
        Body::ObjectsRequest(requests) => answer_resync(state, peer, &requests, out),
        Body::Speeds(speeds) => state.apply_speeds(from, &speeds),
        Body::Demand(pools) => report::apply_demand(state, from, &pools),
        Body::DomainDemand(summary) => report::apply_summary(state, from, summary, out),
        Body::HostUse(announced) => report::apply_host_use(state, from, announced),
        body => transfer::handle_frame(state, from, peer, body, out),
    }
}

fn record_contact(state: &mut Forwarder, from: Incarnation) {
    let Some(member) = state.group.get(from) else {
        return;
    };
    let domain = &member.domain;
    let is_lost =
        state.contacts.is_silent(state.now, domain) && check::is_contact_doubted(state, domain);
    state.contacts.record_frame(state.now, domain, is_lost);
}

fn apply_objects(
    state: &mut Forwarder,
    from: Incarnation,
    peer: SocketAddr,
    delta: &Objects,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let Ok(kind) = conf::object::parse_kind(&delta.kind) else {
        return;
    };
    let sender = state.group.get(from);
    let is_remote = sender.is_some_and(|member| member.domain != state.setting.domain);
    let decode = |bytes: &Bytes| postcard::from_bytes::<raw::Object>(bytes).ok();
    let mut objects: Vec<raw::Object> = delta.objects.iter().filter_map(decode).collect();
    let Some(feed) = state.feeds.get_mut(kind) else {
        return;
    };
    let current = match delta.patches.is_empty() {
        true => Vec::new(),
        false => feed.store().listing(),
    };
    for patch in &delta.patches {
        let mut old = current.iter().filter(|old| old.name == patch.name);
        objects.extend(old.next().and_then(|old| patch::apply(old, patch)));
    }
    if objects.len() < delta.objects.len() + delta.patches.len() {
        // The delta cannot be applied without the changes before it, unless its revision is reached
        // already.
        if delta.upto > feed.store().revision() {
            let is_new = feed.record_gap(now, delta.upto);
            request_gap_fill(state, kind, peer, is_new, out);
        }
        return;
    }
    let baseline = Baseline::new(feed, objects.len());
    let had_gap = feed.has_gap();
    let update = feed::Update {
        since: delta.since,
        upto: delta.upto,
        age: delta.age,
        is_remote,
        objects: &objects,
    };
    let change = feed.apply_peer_update(now, &update);
    let is_new = !had_gap && feed.has_gap();
    request_gap_fill(state, kind, peer, is_new, out);
    read::apply_change(state, kind, change, Some(from), out);
    if change.objects > 0 && state.role.tier == Tier::Relay {
        publish_changes(state, kind, &baseline, out);
    }
}

/// The state of a kind before a change, from which the published delta is computed.
pub(crate) struct Baseline {
    /// The revision of the last change.
    last_change: u64,
    /// The previous objects of a kind whose objects are large.
    large: Vec<raw::Object>,
}

impl Baseline {
    /// Captures the state before `incoming` objects are applied. Large objects are copied only if
    /// incoming ones may replace them.
    pub(crate) fn new(feed: &Feed, incoming: usize) -> Baseline {
        let large = match feed.kind() {
            Kind::Routing if incoming > 0 => feed.store().listing(),
            _ => Vec::new(),
        };
        let (last_change, _) = feed.watermark();
        Baseline { last_change, large }
    }
}

/// Publishes the changes of a kind since a baseline to this balancer's recipients.
pub(crate) fn publish_changes(
    state: &mut Forwarder,
    kind: Kind,
    baseline: &Baseline,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let since = baseline.last_change;
    let Some(feed) = state.feeds.get(kind) else {
        return;
    };
    let upto = feed.store().revision();
    let age = feed.age(now).unwrap_or_default();
    let since = since.max(feed.store().oldest_delta_revision());
    let changed = match since < upto {
        true => feed.store().delta(since),
        false => None,
    };
    let Some(changed) = changed else {
        // No delta is available after a listing. Recipients that lack something detect the gap and
        // read the platform.
        let watermark = empty_delta(kind, upto, upto, age);
        return broadcast(state, vec![watermark], out);
    };
    let mut delta = empty_delta(kind, since, upto, age);
    let mut full = Vec::new();
    for object in changed {
        let mut old = baseline.large.iter().filter(|old| old.name == object.name);
        match old.next().and_then(|old| patch::diff(old, &object)) {
            Some(patch) => delta.patches.push(patch),
            None => full.push(object),
        }
    }
    delta.objects = encode_objects(&full);
    let patched = delta.patches.iter().map(|patch| patch.replacement.len());
    let bytes = delta.objects.iter().map(Bytes::len).chain(patched);
    if bytes.sum::<usize>() > DELTA_BYTES_MAX {
        delta = empty_delta(kind, upto, upto, age);
    }
    broadcast(state, vec![delta], out);
}

fn encode_objects(objects: &[raw::Object]) -> Vec<Bytes> {
    let encode = |object: &raw::Object| {
        postcard::to_allocvec(object).expect("objects have only types that postcard can encode")
    };
    objects.iter().map(|object| encode(object).into()).collect()
}

/// Requests the changes before a gap from the peer that published the later ones, once per gap.
fn request_gap_fill(
    state: &mut Forwarder,
    kind: Kind,
    peer: SocketAddr,
    is_new: bool,
    out: &mut Vec<Effect>,
) {
    let Some(feed) = state.feeds.get(kind).filter(|_| is_new) else {
        return;
    };
    let request = ObjectsRequest {
        kind: kind.name().to_owned(),
        since: feed.store().revision(),
        is_platform_unreachable: false,
    };
    send_frame(state, peer, Body::ObjectsRequest(vec![request]), out);
}

/// Requests newer objects of the failing kinds from a peer, because this balancer cannot read the
/// platform.
pub(crate) fn request_resync(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let requests: Vec<ObjectsRequest> = state
        .feeds
        .iter()
        .filter(|feed| feed.is_failing())
        .map(|feed| ObjectsRequest {
            kind: feed.kind().name().to_owned(),
            since: feed.store().revision(),
            is_platform_unreachable: true,
        })
        .collect();
    let targets = resync_targets(state);
    if requests.is_empty() || targets.is_empty() {
        return;
    }
    state.resync_attempts = state.resync_attempts.wrapping_add(1);
    let to = targets[state.resync_attempts % targets.len()];
    send_frame(state, to, Body::ObjectsRequest(requests), out);
}

/// Returns the addresses to choose the next resync request's recipient from: the peers of the own
/// failure domain, and every `GLOBAL_RESYNC_EVERY` requests all live peers, in case the whole
/// domain cannot read the platform.
fn resync_targets(state: &Forwarder) -> Vec<SocketAddr> {
    let local: Vec<SocketAddr> = domain_peers(state)
        .map(|member| member.peer.datagram)
        .collect();
    if !local.is_empty() && state.resync_attempts % GLOBAL_RESYNC_EVERY != 0 {
        return local;
    }
    let me = state.incarnation();
    let others = state
        .group
        .members()
        .filter(|member| member.incarnation != me);
    let live = others.filter(|member| member.state.is_live());
    live.map(|member| member.peer.datagram).collect()
}

/// Answers a resync request with the objects that the peer lacks.
fn answer_resync(
    state: &mut Forwarder,
    peer: SocketAddr,
    requests: &[ObjectsRequest],
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    for request in requests.iter().take(feed::KINDS.len()) {
        let feed = state
            .feeds
            .iter()
            .find(|feed| feed.kind().name() == request.kind);
        let Some(feed) = feed.filter(|feed| feed.is_synced()) else {
            continue;
        };
        let upto = feed.store().revision();
        if upto <= request.since {
            continue;
        }
        let changed = match request.since {
            0 => None,
            since => feed.store().delta(since),
        };
        let (since, objects) = match changed {
            Some(changed) => (request.since, changed),
            None if request.is_platform_unreachable => (0, feed.store().listing()),
            // A call to the platform costs less than the bandwidth of a full listing.
            None => continue,
        };
        let delta = Objects {
            objects: encode_objects(&objects),
            ..empty_delta(feed.kind(), since, upto, feed.age(now).unwrap_or_default())
        };
        send_frame(state, peer, Body::Objects(vec![delta]), out);
    }
}

fn empty_delta(kind: Kind, since: u64, upto: u64, age: Span) -> Objects {
    Objects {
        kind: kind.name().to_owned(),
        since,
        upto,
        age,
        objects: Vec::new(),
        patches: Vec::new(),
    }
}

/// Publishes the watermark of each kind to this balancer's recipients, unless what it knows may be
/// outdated. Returns whether it may have been published.
pub(crate) fn publish_watermarks(state: &mut Forwarder, out: &mut Vec<Effect>) -> bool {
    let now = state.now;
    if !state.feeds.can_vouch(now, state.role) {
        return false;
    }
    let watermarks: Vec<Objects> = state
        .feeds
        .iter()
        .filter(|feed| feed.is_synced() && !feed.is_failing())
        .map(|feed| {
            let (since, upto) = feed.watermark();
            empty_delta(feed.kind(), since, upto, feed.age(now).unwrap_or_default())
        })
        .collect();
    if !watermarks.is_empty() {
        broadcast(state, watermarks, out);
    }
    true
}

fn broadcast(state: &mut Forwarder, objects: Vec<Objects>, out: &mut Vec<Effect>) {
    let body = Body::Objects(objects);
    for to in recipients(state) {
        send_frame(state, to, body.clone(), out);
    }
}

/// Returns whether this balancer publishes updates: as reader or relay, or because no recent state
/// reaches its domain.
pub(crate) fn is_publisher(state: &Forwarder) -> bool {
    let mut feeds = state.feeds.iter();
    state.role.tier != Tier::Follower
        || feeds.any(|feed| !feed.has_recent_peer_state(state.now, state.role))
}

/// Returns the addresses that this balancer publishes to: none, its failure domain, or its domain
/// and the relays of all other domains.
fn recipients(state: &Forwarder) -> Vec<SocketAddr> {
    if !is_publisher(state) {
        return Vec::new();
    }
    let mut recipients: Vec<SocketAddr> = domain_peers(state)
        .map(|member| member.peer.datagram)
        .collect();
    if state.role.tier == Tier::Reader {
        let own = state.setting.domain.as_str();
        let all = state.group.members();
        let domains: BTreeSet<&str> = all.map(|member| member.domain.as_str()).collect();
        let others = domains.into_iter().filter(|&domain| domain != own);
        let relays = others.filter_map(|domain| state.group.reporter(domain));
        let relays = relays.filter_map(|relay| state.group.get(relay));
        recipients.extend(relays.map(|relay| relay.peer.datagram));
    }
    recipients
}

/// Returns the other live balancers of the own failure domain.
pub(crate) fn domain_peers(state: &Forwarder) -> impl Iterator<Item = &Member> {
    let me = state.incarnation();
    let members = state.group.alive_in(&state.setting.domain);
    members.filter(move |member| member.incarnation != me)
}

pub(crate) fn send_frame(state: &mut Forwarder, to: SocketAddr, body: Body, out: &mut Vec<Effect>) {
    state.counts.add(count::Kind::Sent);
    let from = state.incarnation();
    let frame = Frame { from, body };
    out.push(Effect::Send { to, frame });
}

/// Applies an event to the membership, and carries out the resulting effects.
pub(crate) fn step_group(state: &mut Forwarder, event: member::Event, out: &mut Vec<Effect>) {
    let mut effects = Vec::new();
    state.group.step(state.now, event, &mut effects);
    for effect in effects {
        apply_group_effect(state, effect, out);
    }
}

fn apply_group_effect(state: &mut Forwarder, effect: member::Effect, out: &mut Vec<Effect>) {
    match effect {
        member::Effect::Send { to, message } => {
            let piggyback = Piggyback {
                revision: state.feeds.newest(),
                loads: Vec::new(),
            };
            send_frame(state, to.datagram, codec::encode(message, piggyback), out);
        }
        member::Effect::Joined(peer) => {
            // Otherwise it would find out by the requests of its callers, and count as able to serve
            // meanwhile.
            let member = state.group.get(peer);
            if member.is_some_and(|member| member.domain == state.setting.domain) {
                state.repeat_until = state.now + load::REPEAT_PERIOD;
            }
            log_peer(state, peer, "joined", out);
        }
        member::Effect::Dead(peer) => {
            state.loads.remove_report(peer);
            log_peer(state, peer, "dead", out);
        }
        member::Effect::Left(peer) => {
            state.loads.remove_report(peer);
            log_peer(state, peer, "left", out);
        }
        member::Effect::Changed(_) => (),
        member::Effect::Partitioned(domain) => {
            let since = state.now - health::EVIDENCE_AGE_MAX;
            check::suspect_domain(state, &domain, since, out);
            let is_cut = true;
            out.push(Effect::Note(Note::Domain { domain, is_cut }));
        }
        member::Effect::Healed(domain) => {
            let is_cut = false;
            out.push(Effect::Note(Note::Domain { domain, is_cut }));
        }
        member::Effect::Superseded => rejoin(state, out),
    }
}

fn log_peer(state: &Forwarder, peer: Incarnation, what: &'static str, out: &mut Vec<Effect>) {
    let member = state.group.get(peer);
    out.push(Effect::Note(Note::Peer {
        name: member.map_or_else(String::new, |member| member.name.clone()),
        incarnation: peer,
        state: what,
    }));
}

/// Rejoins with a new incarnation, because peers have declared the old one dead.
fn rejoin(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let me = state.incarnation();
    let peers: Vec<SocketAddr> = state
        .group
        .members()
        .filter(|member| member.incarnation != me)
        .map(|member| member.peer.datagram)
        .collect();
    state.group = new_group(&state.setting, state.now);
    log_peer(state, state.incarnation(), "started again", out);
    add_candidates(state, peers, out);
}
