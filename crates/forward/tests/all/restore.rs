//! Tests of a store that was restored from an older copy: revisions go back and are assigned again.

use base::prelude::*;
use conf::object::Kind;
use conf::place::Place;
use conf::store::Change;
use forward::feed::Answer;
use forward::feed::Feed;
use forward::feed::Feeds;
use forward::feed::Update;
use forward::feed::REPEAT_PERIOD;
use forward::role::Role;

use crate::sim::Simulation;

const NOW: Time = Time(1_900_000_000_000_000);
/// How long the store is away.
const AWAY: Span = Span::secs(1);
/// When authors repeat their lost changes, after the store's return.
const REPEAT_AFTER: Span = Span::millis(1_500);

fn place(era: u64, revision: u64) -> u64 {
    let place = Place::new(era, revision).expect("the revision is in range");
    place.into()
}

fn with_feed<T>(feeds: &mut Feeds, kind: Kind, apply: impl FnOnce(&mut Feed) -> T) -> T {
    apply(feeds.get_mut(kind).expect("the kind is read"))
}

/// Returns feeds whose state is that of a place, without objects.
fn feeds_at(upto: u64) -> Feeds {
    let mut feeds = Feeds::default();
    for feed in feeds.iter_mut() {
        feed.start_due_read(NOW, Role::default());
        assert!(matches!(
            feed.apply_answer(NOW, 0, upto, &[]),
            Answer::Applied(_)
        ));
    }
    feeds
}

/// Returns the place after which the next read starts.
fn next_read(feeds: &mut Feeds, kind: Kind, now: Time) -> Option<u64> {
    let read = with_feed(feeds, kind, |feed| {
        feed.start_due_read(now, Role::default())
    });
    read.map(|read| read.since)
}

fn watermark(since: u64, upto: u64) -> Update<'static> {
    Update {
        since,
        upto,
        age: Span::ZERO,
        is_remote: false,
        objects: &[],
    }
}

/// Regression (review/12): an evacuation was never seen that had taken a revision from which the
/// watches continued after the store was restored.
#[test]
fn an_answer_of_a_new_era_requires_a_listing() {
    let (old, new) = (place(1, 410), place(2, 411));
    let mut feeds = feeds_at(old);
    let answer = with_feed(&mut feeds, Kind::Domain, |feed| {
        feed.apply_answer(NOW, old, new, &[])
    });
    assert_eq!(answer, Answer::Restored);
    assert_eq!(next_read(&mut feeds, Kind::Domain, NOW), None);
    let repeated = NOW + REPEAT_PERIOD;
    assert_eq!(next_read(&mut feeds, Kind::Domain, repeated), Some(0));
    let answer = with_feed(&mut feeds, Kind::Domain, |feed| {
        feed.apply_answer(repeated, 0, new, &[])
    });
    assert!(matches!(answer, Answer::Applied(_)));
}

/// The copy may lack what its authors are about to repeat.
#[test]
fn a_listing_of_a_new_era_is_held_back_for_a_moment() {
    let (old, new) = (place(1, 410), place(2, 400));
    let mut feeds = feeds_at(old);
    for (since, expected) in [(0, old), (1_000, old), (1_999, old), (2_000, new)] {
        let now = NOW + Span::millis(since);
        with_feed(&mut feeds, Kind::Routing, |feed| {
            feed.apply_answer(now, 0, new, &[]);
            assert_eq!(feed.store().revision(), expected, "after {since} ms");
        });
    }
}

/// A further restore begins the time anew, since the second copy may lack other changes.
#[test]
fn a_second_restore_is_held_back_too() {
    let mut feeds = feeds_at(place(1, 410));
    let later = NOW + Span::millis(1_900);
    with_feed(&mut feeds, Kind::Routing, |feed| {
        assert_eq!(
            feed.apply_answer(NOW, 0, place(2, 400), &[]),
            Answer::Restored
        );
        assert_eq!(
            feed.apply_answer(later, 0, place(3, 390), &[]),
            Answer::Restored
        );
        let now = NOW + REPEAT_PERIOD;
        assert_eq!(
            feed.apply_answer(now, 0, place(3, 391), &[]),
            Answer::Restored
        );
        let now = later + REPEAT_PERIOD;
        let answer = feed.apply_answer(now, 0, place(3, 392), &[]);
        assert!(matches!(answer, Answer::Applied(_)));
    });
}

#[test]
fn one_answer_of_a_new_era_requires_listings_of_all_kinds() {
    let mut feeds = feeds_at(place(1, 410));
    feeds.expect_revision(NOW, place(2, 100));
    for kind in forward::feed::KINDS {
        let read = next_read(&mut feeds, kind, NOW + REPEAT_PERIOD);
        assert_eq!(read, Some(0), "{kind}");
    }
}

#[test]
fn an_answer_of_an_earlier_era_is_ignored() {
    let new = place(2, 100);
    for since in [0, place(1, 410)] {
        let mut feeds = feeds_at(new);
        let answer = with_feed(&mut feeds, Kind::Server, |feed| {
            feed.apply_answer(NOW, since, place(1, 412), &[])
        });
        assert_eq!(answer, Answer::Stale);
        with_feed(&mut feeds, Kind::Server, |feed| {
            assert_eq!(feed.store().revision(), new);
        });
    }
}

/// A replica of the era before must not take a watermark, or the changes after one, for all that it
/// lacks.
#[test]
fn an_update_of_a_new_era_is_a_gap() {
    let (old, new) = (place(1, 410), place(2, 412));
    for since in [place(1, 1), old, place(2, 1), place(2, 411), new] {
        let mut feeds = feeds_at(old);
        for (now, has_gap) in [(NOW, false), (NOW + REPEAT_PERIOD, true)] {
            let change = with_feed(&mut feeds, Kind::Server, |feed| {
                feed.apply_peer_update(now, &watermark(since, new))
            });
            let expected = Change {
                from: old,
                to: old,
                has_gap,
                ..Change::default()
            };
            assert_eq!(change, expected);
        }
        let later = NOW + REPEAT_PERIOD;
        assert_eq!(next_read(&mut feeds, Kind::Server, later), Some(0));
    }
}

#[test]
fn a_watermark_does_not_start_in_an_earlier_era() {
    let mut feeds = feeds_at(place(2, 100));
    let (since, upto) = with_feed(&mut feeds, Kind::Domain, |feed| feed.watermark());
    assert_eq!(upto, place(2, 100));
    assert!(since > place(1, 410), "a replica of the era before");
}

#[test]
fn an_update_of_an_earlier_era_is_no_source() {
    let mut feeds = feeds_at(place(2, 100));
    with_feed(&mut feeds, Kind::Server, |feed| {
        feed.apply_peer_update(NOW, &watermark(place(1, 410), place(1, 412)));
        assert!(!feed.has_recent_peer_state(NOW, Role::default()));
        assert_eq!(feed.store().revision(), place(2, 100));
    });
}

/// Asserts that the balancers have in force what the store has.
fn assert_in_force(sim: &Simulation, balancers: impl IntoIterator<Item = usize>) {
    let routing = sim.written_at(Kind::Routing, "main");
    for balancer in balancers {
        let table = sim.reducer(balancer).table();
        assert_eq!(Some(table.routing_version()), routing, "b{balancer}");
        for domain in table.domains() {
            let is_out = sim.written_at(Kind::Domain, &domain.name).is_some();
            assert_eq!(
                domain.out_since.is_some(),
                is_out,
                "b{balancer} {}",
                domain.name
            );
        }
        for (_, row) in table.servers().filter(|(_, row)| row.is_present()) {
            let written = sim.written_at(Kind::Server, &row.name);
            assert_eq!(written, Some(row.version), "b{balancer} {}", row.name);
        }
    }
}

/// Makes a test that restores the store of a small deployment under load, with several seeds, and
/// asserts that no requirement was violated and that all balancers have the store's state then.
macro_rules! restore {
    ($($(#[doc = $doc:literal])* $name:ident: $scenario:expr;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                for seed in 1..=3 {
                    let mut sim = Simulation::new(seed, 3, 9, 18).with_rate(80.0);
                    sim.store.era = 1;
                    sim.run_for(Span::secs(3));
                    let scenario: fn(&mut Simulation) = $scenario;
                    scenario(&mut sim);
                    sim.assert_no_violations();
                    assert_in_force(&sim, 0..9);
                }
            }
        )*
    };
}

restore! {
    /// Regression (review/12).
    promise_04_an_evacuation_takes_a_revision_that_was_lost: |sim| {
        let copy = sim.copy_store();
        sim.write_routing();
        sim.write_routing();
        sim.run_for(Span::secs(3));
        sim.restore_store(&copy, AWAY, Span::ZERO);
        sim.run_for(AWAY);
        sim.run_for(Span::millis(1));
        sim.set_out(0, true);
        sim.run_for(Span::secs(12));
    };
    /// Regression (review/11).
    promise_08_a_server_drains_below_the_lost_revisions: |sim| {
        let copy = sim.copy_store();
        for _ in 0..6 {
            sim.write_routing();
            sim.run_for(Span::millis(500));
        }
        sim.restore_store(&copy, AWAY, Span::ZERO);
        sim.run_for(Span::secs(6));
        sim.drain_server(0);
        sim.run_for(Span::secs(6));
    };
    /// Regression (review/13): the version that drops the route has a lower revision than the one
    /// of before the restore.
    promise_10_a_route_is_dropped_below_the_lost_revisions: |sim| {
        let copy = sim.copy_store();
        for _ in 0..6 {
            sim.write_routing();
            sim.run_for(Span::millis(500));
        }
        sim.restore_store(&copy, AWAY, Span::ZERO);
        sim.run_for(Span::secs(4));
        sim.write_routing_with(|routing| routing.routes.clear());
        sim.run_for(Span::secs(1));
        for server in 0..8 {
            sim.restart_cold(server);
        }
        sim.run_for(Span::secs(4));
    };
    /// The copy shows a server as accepting that drains, until the server repeats that it does.
    promise_08_a_drain_that_was_lost_stays_in_force: |sim| {
        let copy = sim.copy_store();
        for server in [0, 1, 5] {
            sim.drain_server(server);
        }
        sim.run_for(Span::secs(4));
        sim.restore_store(&copy, AWAY, REPEAT_AFTER);
        sim.run_for(Span::secs(7));
    };
    /// The copy lacks an evacuation until the operator repeats it.
    promise_04_an_evacuation_that_was_lost_stays_in_force: |sim| {
        let copy = sim.copy_store();
        sim.set_out(1, true);
        sim.run_for(Span::secs(7));
        sim.restore_store(&copy, AWAY, REPEAT_AFTER);
        sim.run_for(Span::secs(7));
    };
    /// The copy has a route that was dropped until the operator repeats the change.
    promise_10_a_routing_does_not_revert_to_the_copy: |sim| {
        let copy = sim.copy_store();
        sim.write_routing_with(|routing| routing.routes.clear());
        sim.run_for(Span::secs(3));
        sim.restore_store(&copy, AWAY, REPEAT_AFTER);
        for _ in 0..60 {
            sim.run_for(Span::millis(100));
            for balancer in 0..9 {
                let routes = sim.reducer(balancer).table().route_count();
                assert_eq!(routes, 0, "b{balancer} has the copy's routing in force");
            }
        }
    };
    /// A server that restarted cold is warm in the copy until it repeats that it is not.
    promise_03_a_cold_server_is_not_warm_by_the_copy: |sim| {
        sim.cold_period = Span::secs(8);
        let copy = sim.copy_store();
        for server in 0..6 {
            sim.restart_cold(server);
        }
        sim.run_for(Span::secs(1));
        sim.restore_store(&copy, AWAY, REPEAT_AFTER);
        sim.run_for(Span::secs(9));
    };
    /// The second restore comes before all kinds are listed after the first one.
    two_restores_in_a_row: |sim| {
        let copy = sim.copy_store();
        sim.write_routing();
        sim.run_for(Span::secs(1));
        sim.restore_store(&copy, AWAY, REPEAT_AFTER);
        sim.run_for(AWAY);
        sim.run_for(Span::millis(160));
        let copy = sim.copy_store();
        sim.restore_store(&copy, AWAY, REPEAT_AFTER);
        sim.run_for(Span::secs(6));
        sim.drain_server(1);
        sim.run_for(Span::secs(5));
    };
    /// A failure domain that misses the restore has the state of the era before, and pulls nobody
    /// back to it.
    a_domain_is_cut_off_during_the_restore: |sim| {
        let copy = sim.copy_store();
        sim.write_routing();
        sim.run_for(Span::secs(1));
        sim.partitioned.insert(1);
        sim.restore_store(&copy, AWAY, Span::ZERO);
        sim.run_for(Span::secs(4));
        sim.write_routing();
        sim.run_for(Span::secs(3));
        assert_in_force(sim, (0..9).filter(|balancer| balancer % 3 != 1));
        sim.partitioned.clear();
        sim.run_for(Span::secs(3));
    };
    /// The store turns the balancers of a failure domain away, which learn of the restore by peers.
    a_domain_does_not_reach_the_restored_store: |sim| {
        let copy = sim.copy_store();
        sim.write_routing();
        sim.run_for(Span::secs(1));
        sim.store.rejected_balancers.extend([0, 3, 6]);
        sim.restore_store(&copy, AWAY, Span::ZERO);
        sim.run_for(Span::secs(4));
        sim.write_routing_with(|routing| routing.idle = Span::secs(20));
        sim.run_for(Span::secs(4));
    };
    /// All balancers restart between the restore and their first read after it.
    all_balancers_restart_with_the_store: |sim| {
        let copy = sim.copy_store();
        sim.write_routing();
        sim.run_for(Span::secs(1));
        sim.restore_store(&copy, AWAY, REPEAT_AFTER);
        for balancer in 0..9 {
            sim.kill_balancer(balancer, Span::millis(1_100 + 30 * balancer as u64));
        }
        sim.run_for(Span::secs(8));
    };
    /// Regression: a balancer that restarted after the restore took its peers' older routing for a
    /// newer one once it did not reach the store.
    a_restarted_balancer_is_not_pulled_back: |sim| {
        let copy = sim.copy_store();
        for _ in 0..6 {
            sim.write_routing();
        }
        sim.run_for(Span::secs(1));
        sim.restore_store(&copy, AWAY, Span::ZERO);
        sim.run_for(Span::secs(2));
        sim.kill_balancer(4, Span::millis(100));
        sim.run_for(Span::secs(2));
        sim.write_routing_with(|routing| routing.routes.clear());
        sim.run_for(Span::secs(1));
        sim.store.unanswered_balancers.insert(4);
        sim.run_for(Span::secs(4));
        assert_in_force(sim, 0..9);
        sim.store.unanswered_balancers.clear();
        sim.run_for(Span::secs(1));
    };
}
