//! Tests of the decisions of a start, without a network: whom to ask, when to read the platform, whom
//! to serve, and which snapshots are put in force.

use std::net::SocketAddr;

use base::prelude::*;
use conf::object::Kind;
use forward::count;
use forward::feed::Feeds;
use forward::feed::Update;
use forward::prelude::*;
use forward::role::Role;
use forward::setting::StartFrom;
use forward::startup;
use forward::startup::serve;
use forward::startup::serve::Answer;
use forward::startup::serve::Server;
use forward::startup::Startup;
use member::Group;
use member::Member;
use wire::frame::Body;
use wire::frame::Frame;
use wire::frame::Snapshot;

use crate::sim::Simulation;
use crate::sim::START;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Returns balancer `number`, which started `number` seconds after the first, in a domain.
fn member(number: u16, domain: &str) -> Member {
    let peer = Peer {
        datagram: address(number),
        stream: address(number),
    };
    let at = START + Span::secs(number.into());
    Member::new(format!("b{number}"), domain, peer, address(number), at)
}

/// Returns the view of balancer `own` of the others.
fn group(own: u16, others: &[(u16, &str)]) -> Group {
    let group = Group::new(member(own, "d0"), member::Setting::default());
    group.with_members(
        others
            .iter()
            .map(|&(number, domain)| member(number, domain)),
    )
}

/// Returns when a balancer that gets no answer reads the platform, and the peers that it asked.
fn unanswered_start(group: &Group, seeds: &[SocketAddr]) -> (Span, Vec<SocketAddr>) {
    let (mut state, mut asked) = (Startup::new(START), Vec::new());
    for tick in 0..400 {
        let waited = Span(tick * forward::tick::PERIOD.0);
        let step = state.step(START + waited, group, seeds);
        asked.extend(step.ask);
        if step.may_read {
            return (waited, asked);
        }
    }
    panic!("it never reads");
}

#[test]
fn a_balancer_without_peers_reads_after_200_ms() {
    let (waited, asked) = unanswered_start(&group(5, &[]), &[address(5)]);
    assert_eq!(waited, startup::FIRST_READ_DELAY);
    assert_eq!(asked, []);
}

/// Failure: seeds are asked before any member is known, each in time.
#[test]
fn all_seeds_are_asked_before_the_first_read() {
    let seeds = [1, 2, 3].map(address);
    let (_, asked) = unanswered_start(&group(5, &[]), &seeds);
    assert_eq!(asked[..3], seeds);
}

/// Failure: the other balancers are dead, and not known to be.
#[test]
fn balancers_read_one_after_the_other_when_no_peer_answers() {
    let peers = [(1, "d0"), (2, "d0"), (3, "d1")];
    let second = unanswered_start(&group(5, &peers[..1]), &[]).0;
    let third = unanswered_start(&group(5, &peers), &[]).0;
    assert_eq!(second, Span::millis(850));
    assert_eq!(third, Span::millis(1_000));
    let many: Vec<(u16, &str)> = (1..60).map(|number| (number, "d0")).collect();
    assert_eq!(unanswered_start(&group(70, &many), &[]).0, Span::secs(3));
}

/// Failure: a peer dies while it sends, so that the next request has to go to another one.
#[test]
fn a_different_peer_is_asked_every_150_ms() {
    let peers = [(1, "d0"), (2, "d0"), (3, "d0"), (4, "d1"), (6, "d1")];
    let group = group(9, &peers);
    let mut state = Startup::new(START);
    let mut asked = Vec::new();
    for tick in 0..30 {
        let step = state.step(START + Span::millis(tick * 25), &group, &[]);
        asked.extend(step.ask.map(|peer| (tick * 25, peer)));
    }
    let times: Vec<u64> = asked.iter().map(|&(at, _)| at).collect();
    assert_eq!(times, [0, 150, 300, 450, 600]);
    assert_eq!(
        asked[0].1,
        address(1),
        "the first of the domain has or reads it"
    );
    let is_other = |pair: &[(u64, SocketAddr)]| pair[0].1 != pair[1].1;
    assert!(asked.windows(2).all(is_other), "{asked:?}");
}

/// Failure: peers answer that they are busy, again and again, and never serve.
#[test]
fn busy_peers_put_off_a_read_for_5_s_at_most() {
    let group = group(5, &[(1, "d0")]);
    let mut state = Startup::new(START);
    let mut asked_at = None;
    for tick in 0..400 {
        let now = START + Span::millis(tick * 25);
        let step = state.step(now, &group, &[]);
        if step.may_read {
            asked_at = Some(now.since(START));
            break;
        }
        if let Some(peer) = step.ask {
            state.record_busy(now, (address(5), peer), Span::millis(200), None);
        }
    }
    assert_eq!(asked_at, Some(Span::millis(5_150)));
}

/// Failure: an answer that nobody asked for, which would keep a balancer from reading.
#[test]
fn an_answer_of_a_peer_that_was_not_asked_is_ignored() {
    let group = group(5, &[(1, "d0")]);
    let mut state = Startup::new(START);
    let late = START + Span::millis(800);
    state.record_busy(late, (address(5), address(3)), Span::secs(1), None);
    let later = late + Span::millis(50);
    state.step(later, &group, &[]);
    assert!(state.step(later + Span::millis(50), &group, &[]).may_read);
}

#[test]
fn two_balancers_are_served_at_a_time() {
    let mut server = Server::default();
    let rate = serve::rate(None);
    let mut ask = |now, number| server.answer(now, address(number), 50_000, rate);
    assert_eq!(ask(START, 1), Answer::Snapshot);
    assert_eq!(ask(START, 2), Answer::Snapshot);
    let mut named = Vec::new();
    for number in 3..9 {
        let Answer::Busy(wait, peer) = ask(START, number) else {
            panic!("a third balancer is served");
        };
        assert!(wait > Span::ZERO && wait < Span::millis(200), "{wait}");
        named.push(peer);
    }
    // The others are divided among the balancer itself and the two that will have a snapshot.
    for peer in [None, Some(address(1)), Some(address(2))] {
        assert_eq!(named.iter().filter(|other| **other == peer).count(), 2);
    }
    assert_eq!(ask(START + Span::millis(200), 9), Answer::Snapshot);
}

/// Failure: a snapshot as old as a cut of its sender would send flows to servers that have left
/// since.
#[test]
fn an_old_snapshot_needs_a_confirmation() {
    let old = Span(startup::snapshot_age_max(Kind::Server).0 + 1);
    let update = |age| Update {
        since: 0,
        upto: 7,
        age,
        is_remote: false,
        objects: &[],
    };
    let is_synced = |feeds: &Feeds| feeds.get(Kind::Server).expect("it is read").is_synced();
    let now = START + Span::secs(20);
    let with_snapshot = |age| {
        let mut feeds = Feeds::default();
        let feed = feeds.get_mut(Kind::Server).expect("it is read");
        feed.apply_snapshot(now, &update(age));
        feeds
    };
    assert!(is_synced(&with_snapshot(Span::millis(1_500))));
    let mut confirmed = with_snapshot(old);
    assert!(!is_synced(&confirmed));
    let feed = confirmed.get_mut(Kind::Server).expect("it is read");
    let watermark = Update {
        since: 7,
        ..update(Span::millis(300))
    };
    feed.apply_peer_update(now, &watermark);
    assert!(is_synced(&confirmed), "by a watermark");
    let mut unreachable = with_snapshot(old);
    let feed = unreachable.get_mut(Kind::Server).expect("it is read");
    let read = feed
        .start_due_read(now, Role::default())
        .expect("it is due");
    assert_eq!(read.since, 7, "only the changes are read");
    feed.record_failure(now, false, 0);
    assert!(is_synced(&unreachable), "by a read that failed");
}

/// Failure: snapshots from strangers, and damaged ones of members.
#[test]
fn forged_snapshots_are_dropped_and_counted() {
    let mut sim = Simulation::new(30, 3, 9, 9);
    sim.start_from = StartFrom::Peers;
    sim.run_for(Span::secs(3));
    sim.kill_balancer(8, Span::millis(100));
    // The balancer has started, and its request is under way.
    sim.run_for(Span::millis(101));
    let mut reducer = sim.reducer(8).clone();
    let rejected = |reducer: &Forwarder| reducer.counts().get(count::Kind::SnapshotsRejected);
    let snapshot = Snapshot {
        kinds: Vec::new(),
        objects: vec![255; 40].into(),
    };
    for (index, from) in [Incarnation(1), sim.reducer(0).incarnation()]
        .into_iter()
        .enumerate()
    {
        let frame = Frame {
            from,
            body: Body::Snapshot(snapshot.clone()),
        };
        let peer = SocketAddr::from(([10, 0, 0, 0], 7000));
        reducer.step(sim.now, Event::Frame { peer, frame }, &mut Vec::new());
        assert_eq!(rejected(&reducer), index as u64 + 1);
        assert!(!reducer.can_serve());
    }
}
