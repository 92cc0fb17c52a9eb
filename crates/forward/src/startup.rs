//! The start of a balancer: which peer to ask for a snapshot of all objects, and when to read the
//! platform instead.
//!
//! A listing of 3,000 servers is ten times as long as a snapshot, and each one costs a call. So a
//! starting balancer asks one peer at a time. Of the balancers of a failure domain that start
//! together the first by incarnation reads the platform; the others read it only when no peer
//! answers.

use std::net::SocketAddr;

use base::hash;
use base::prelude::*;
use conf::object::Kind;
use member::Group;
use member::Member;

use crate::feed;
use crate::role;

pub mod serve;

/// The time without an answer, or without a further fragment, after which the next peer is asked.
/// It exceeds the round trip to a host that runs only every 100 ms because of its processor quota.
pub const REQUEST_PERIOD: Span = Span::millis(150);
/// The same before any member is known: each of three seeds is asked before `FIRST_READ_DELAY`, since
/// they may start a moment later.
pub const SEED_REQUEST_PERIOD: Span = Span::millis(50);
/// When the first balancer of a failure domain reads the platform: two requests have been without an
/// answer by then.
pub const FIRST_READ_DELAY: Span = Span::millis(200);
/// When the second balancer of a failure domain reads the platform: the first one has had 500 ms to
/// read it on a link of 100 Mbit/s and to answer.
pub const READ_DELAY: Span = Span::millis(700);
/// The time that each further balancer of a failure domain waits longer, so that few of them read
/// when the first ones are dead.
pub const READ_DELAY_PER_RANK: Span = Span::millis(150);
/// Bounds the time without an answer before a balancer reads the platform: callers and the fabric
/// expect service within a few seconds of a start.
pub const READ_DELAY_MAX: Span = Span::secs(3);
/// Bounds the time from the start to the first read even if peers answer that they are busy, in
/// addition to the delay by rank.
pub const BUSY_MAX: Span = Span::secs(5);
/// The longest delay that an answer of a peer may ask for: a snapshot of the largest size takes two
/// balancers about that long at 10 Mbit/s.
pub const BUSY_WAIT_MAX: Span = Span::millis(1_000);
/// How long a snapshot is accepted after its request. It bounds the age of a snapshot that was long
/// under way.
pub const REQUEST_LIFETIME: Span = Span::secs(3);
/// How long watermarks have to confirm a snapshot: the longest period of watermarks, and the way.
pub const CONFIRMATION_WAIT: Span = Span::millis(500);
/// Every how many requests a peer of any failure domain is asked, beginning with the third one.
const GLOBAL_REQUEST_EVERY: usize = 3;

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
struct Request {
    to: SocketAddr,
    at: Time,
}

/// What a starting balancer does now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// The peer to ask for a snapshot.
    pub ask: Option<SocketAddr>,
    /// Whether the platform may be read.
    pub may_read: bool,
}

/// The state of a start.
#[derive(Clone, Debug)]
pub struct Startup {
    started_at: Time,
    /// Until when the answers of peers make reads of the platform needless.
    answered_until: Time,
    /// Whether any peer has answered.
    is_answered: bool,
    /// When the next peer may be asked.
    ask_at: Time,
    /// The peer that another one has named.
    named: Option<SocketAddr>,
    /// The last requests, newest last.
    requests: Vec<Request>,
    /// Whether the first balancer of the own failure domain has been asked.
    is_first_asked: bool,
    /// The number of requests so far.
    count: usize,
    /// When a member was first asked.
    member_asked_at: Option<Time>,
    may_read: bool,
    /// When the platform is read because a snapshot was not confirmed.
    read_at: Option<Time>,
}

impl Startup {
    /// Returns the state of a balancer that starts at `now`.
    pub fn new(now: Time) -> Startup {
        Startup {
            started_at: now,
            answered_until: now,
            is_answered: false,
            ask_at: now,
            named: None,
            requests: Vec::new(),
            is_first_asked: false,
            count: 0,
            member_asked_at: None,
            may_read: false,
            read_at: None,
        }
    }

    /// Returns what to do while objects of some kind are missing. A returned peer counts as asked.
    ///
    /// `seeds` are the addresses at which balancers announce themselves. They know best which
    /// balancers there are.
    pub fn step(&mut self, now: Time, group: &Group, seeds: &[SocketAddr]) -> Step {
        let rank = role::rank(group);
        let is_due = now.since(self.answered_until) >= read_delay(rank, self.is_answered);
        // A peer that became known a moment ago may still answer.
        let is_alone = group.members().nth(1).is_none();
        let asked_at = self.member_asked_at;
        let is_asked = asked_at.is_some_and(|at| now.since(at) >= SEED_REQUEST_PERIOD);
        self.may_read |= is_due && (is_alone || is_asked);
        let limit = Span(BUSY_MAX.0 + READ_DELAY_PER_RANK.0 * rank);
        self.may_read |= now.since(self.started_at) >= limit;
        self.may_read |= self.read_at.is_some_and(|at| now >= at);
        let ask = match now >= self.ask_at {
            true => self.next_peer(group, rank, seeds),
            false => None,
        };
        if let Some(to) = ask {
            self.count += 1;
            if !is_alone {
                self.member_asked_at.get_or_insert(now);
            }
            self.ask_at = now + request_period(group);
            self.requests
                .retain(|request| request.to != to && now.since(request.at) < REQUEST_LIFETIME);
            self.requests.push(Request { to, at: now });
        }
        Step {
            ask,
            may_read: self.may_read,
        }
    }

    /// Records that a fragment of a snapshot may have arrived from a peer.
    pub fn record_fragment(&mut self, now: Time, from: SocketAddr) {
        if self.request_time(now, from).is_some() {
            self.record_answer(now, REQUEST_PERIOD);
        }
    }

    /// Records that a peer is busy. `named` is the peer to ask instead. A peer without a snapshot
    /// that names this balancer lets it read the platform.
    pub fn record_busy(
        &mut self,
        now: Time,
        (own, from): (SocketAddr, SocketAddr),
        wait: Span,
        named: Option<SocketAddr>,
    ) {
        if self.request_time(now, from).is_none() {
            return;
        }
        if wait > Span::ZERO {
            self.record_answer(now, wait.min(BUSY_WAIT_MAX));
            self.named = named.or(Some(from));
            return;
        }
        if named == Some(own) {
            self.may_read = true;
            return;
        }
        // The peer has no snapshot, and names the first balancer of this one's failure domain. That
        // does not put off the reads of the other ones: the named one may be dead.
        self.is_answered = true;
        let is_asked = |named: &SocketAddr| {
            let time = self.request_time(now, *named);
            time.is_some_and(|at| now.since(at) < REQUEST_PERIOD)
        };
        if let Some(named) = named.filter(|named| !is_asked(named)) {
            self.named = Some(named);
            self.ask_at = now;
        }
    }

    fn record_answer(&mut self, now: Time, wait: Span) {
        self.is_answered = true;
        self.ask_at = now + wait;
        self.answered_until = self.answered_until.max(now + wait);
    }

    /// Records that a snapshot arrived that needs a confirmation. Watermarks have some time to bring
    /// it.
    pub fn record_unconfirmed(&mut self, now: Time) {
        self.ask_at = now + CONFIRMATION_WAIT;
        self.read_at = Some(now + CONFIRMATION_WAIT);
    }

    /// Returns when a snapshot was last requested from a peer, if it may still arrive.
    pub fn request_time(&self, now: Time, from: SocketAddr) -> Option<Time> {
        let mut requests = self.requests.iter().rev();
        let request = requests.find(|request| request.to == from);
        let request = request.filter(|request| now.since(request.at) < REQUEST_LIFETIME);
        request.map(|request| request.at)
    }

    /// Returns the peer to ask next: the one that was named; the first seed while this balancer
    /// seems to be the first of its failure domain, since it may not know all others yet; the first
    /// balancer of the domain, which has a snapshot or reads the platform; then others of the
    /// domain, and now and then one of any domain.
    fn next_peer(&mut self, group: &Group, rank: u64, seeds: &[SocketAddr]) -> Option<SocketAddr> {
        let me = group.local();
        let live =
            |member: &&Member| member.state.is_live() && member.incarnation != me.incarnation;
        let peers = || group.members().filter(live);
        let last = self.requests.last().map(|request| request.to);
        // Before any member is known, the seeds are asked in order, so that balancers that start
        // together ask the same one.
        if peers().next().is_none() {
            let others = seeds.iter().filter(|seed| **seed != me.peer.datagram);
            let others: Vec<SocketAddr> = others.copied().collect();
            return others.get(self.count % others.len().max(1)).copied();
        }
        // The named peer may have started a moment ago, so that it is not known here yet.
        if let Some(named) = self.named.take() {
            return Some(named);
        }
        let is_peer = |seed: &&SocketAddr| peers().any(|member| member.peer.datagram == **seed);
        if let Some(seed) = seeds.iter().find(is_peer).filter(|_| rank == 0) {
            return Some(*seed);
        }
        let local = || peers().filter(|member| member.domain == me.domain);
        if self.is_first_asked {
            // Its answer is not waited for twice.
        } else if let Some(first) = local().next() {
            self.is_first_asked = true;
            if Some(first.peer.datagram) != last {
                return Some(first.peer.datagram);
            }
        }
        let is_global = self.count % GLOBAL_REQUEST_EVERY == GLOBAL_REQUEST_EVERY - 1
            || local().next().is_none();
        let score = |member: &Member| {
            let seed = hash::pair(me.incarnation.0, self.count as u64);
            hash::pair(member.incarnation.0, seed)
        };
        let others = peers().filter(|member| is_global || member.domain == me.domain);
        let others = others.filter(|member| Some(member.peer.datagram) != last);
        let chosen = others.min_by_key(|member| score(member));
        chosen.map(|member| member.peer.datagram).or(last)
    }
}

/// Returns the oldest confirmation by the platform with which a snapshot is put in force at once: the
/// bound up to which peers publish watermarks, and for failure domains the time that a change of
/// another kind may hide one of theirs. An older one first needs a confirmation: a watermark, a read,
/// or a read that fails, which shows that this balancer cannot know more.
pub fn snapshot_age_max(kind: Kind) -> Span {
    match kind {
        Kind::Domain => Span(role::WATERMARK_AGE_MAX.0 + feed::DOMAIN_CATCH_UP_TIMEOUT.0),
        _ => role::WATERMARK_AGE_MAX,
    }
}

/// Returns the time after which the next peer is asked.
fn request_period(group: &Group) -> Span {
    match group.members().nth(1) {
        Some(_) => REQUEST_PERIOD,
        None => SEED_REQUEST_PERIOD,
    }
}

/// Returns the time without an answer after which a balancer reads the platform.
fn read_delay(rank: u64, is_answered: bool) -> Span {
    if rank == 0 && !is_answered {
        return FIRST_READ_DELAY;
    }
    Span(READ_DELAY.0 + READ_DELAY_PER_RANK.0 * rank).min(READ_DELAY_MAX)
}
