//! Promise 10 at the store: the higher version of an object wins, and no object in force reverts to
//! an older version.

use std::collections::BTreeMap;

use base::prelude::*;
use conf::object::Kind;
use conf::raw::Object;
use conf::store::Store;
use conf::store::REJECTED_MAX;
use conf::store::TOMBSTONES_MAX;
use proptest::prelude::*;

use crate::make;

/// A model of the platform that keeps the history of all changes.
#[derive(Clone, Default)]
pub(crate) struct Platform {
    /// Every change in order; version n is at index n - 1.
    history: Vec<Object>,
}

/// A change on the platform. The number selects the failure domain that it changes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    Put(u8),
    /// Writes a version that fails validation.
    PutBad(u8),
    Delete(u8),
    /// Writes a report, which advances the revision but is not kept by a store.
    Report,
}

/// A message that reaches a store. Revisions are given as fractions of the length of the history.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// The changes between two revisions, given in any order.
    Delta(f64, f64),
    /// All objects as of a revision.
    Listing(f64),
}

impl Platform {
    pub(crate) fn new(ops: &[Op]) -> Platform {
        let mut platform = Platform::default();
        // Deltas start at revision 1 or later, so the platform must have that revision.
        platform.run(Op::Report);
        ops.iter().for_each(|op| platform.run(*op));
        platform
    }

    pub(crate) fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    pub(crate) fn run(&mut self, op: Op) {
        let version = self.revision() + 1;
        let object = match op {
            Op::Put(n) => make::domain(&format!("d{n}"), 0, ""),
            Op::PutBad(n) => make::domain(&format!("d{n}"), 0, "state=odd"),
            Op::Delete(n) => make::domain(&format!("d{n}"), 0, ""),
            Op::Report => make::object("Report", "r", 0, "", "{}"),
        };
        let name = object.name.clone();
        let last = self.history.iter().rev().find(|old| old.name == name);
        let live_uid = last.filter(|old| !old.deleted).map(|old| old.uid);
        let deleted = matches!(op, Op::Delete(_));
        if deleted && live_uid.is_none() {
            return;
        }
        let uid = live_uid.unwrap_or(version as u32);
        self.history.push(Object {
            uid,
            version,
            deleted,
            ..object
        });
    }

    /// Returns the latest version, as of `upto`, of all objects that changed after `since`.
    pub(crate) fn changed(&self, since: u64, upto: u64) -> Vec<Object> {
        let mut newest = BTreeMap::new();
        for object in &self.history[..upto as usize] {
            newest.insert((&object.kind, &object.name), object);
        }
        let found = newest.into_values().filter(|object| object.version > since);
        found.cloned().collect()
    }

    pub(crate) fn listing(&self, upto: u64) -> Vec<Object> {
        let mut found = self.changed(0, upto);
        found.retain(|object| !object.deleted);
        found
    }

    /// Undoes the last changes, as a restore from an older copy does.
    pub(crate) fn undo(&mut self, changes: usize) {
        let kept = self.history.len().saturating_sub(changes).max(1);
        self.history.truncate(kept);
    }

    pub(crate) fn revision_at(&self, share: f64) -> u64 {
        (self.history.len() as f64 * share) as u64
    }

    fn deliver(&self, to: &mut Store, delivery: Delivery) {
        match delivery {
            Delivery::Listing(share) => {
                let upto = self.revision_at(share);
                to.apply(&self.listing(upto), 0, upto);
            }
            Delivery::Delta(a, b) => {
                // A delta does not start at 0, which stands for a listing.
                let (since, upto) = (
                    self.revision_at(a.min(b)).max(1),
                    self.revision_at(a.max(b)).max(1),
                );
                if upto <= self.revision() {
                    to.apply(&self.changed(since, upto), since, upto);
                }
            }
        }
    }

    /// Brings a store up to date as a balancer does: by a watch from its revision, or else by a
    /// listing.
    fn repair(&self, store: &mut Store) {
        let (since, upto) = (store.revision(), self.revision());
        match since {
            0 => store.apply(&self.listing(upto), 0, upto),
            _ => store.apply(&self.changed(since, upto), since, upto),
        };
    }
}

pub(crate) fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => (0..4u8).prop_map(Op::Put),
        2 => (0..4u8).prop_map(Op::PutBad),
        3 => (0..4u8).prop_map(Op::Delete),
        1 => Just(Op::Report),
    ];
    prop::collection::vec(op, 1..40)
}

fn deliveries() -> impl Strategy<Value = Vec<Delivery>> {
    let share = || 0.0..=1.0;
    let delivery = prop_oneof![
        4 => (share(), share()).prop_map(|(a, b)| Delivery::Delta(a, b)),
        1 => share().prop_map(Delivery::Listing),
    ];
    prop::collection::vec(delivery, 0..30)
}

pub(crate) fn in_force(store: &Store) -> BTreeMap<String, u64> {
    let pair = |object: &conf::object::Object| (object.meta.name.clone(), object.meta.version);
    store.objects().map(pair).collect()
}

/// Returns names and versions of the objects whose latest version is invalid.
fn faulty(store: &Store) -> BTreeMap<String, u64> {
    let faults = store.faults();
    faults
        .into_iter()
        .map(|fault| (fault.name, fault.version))
        .collect()
}

proptest! {
    #[test]
    fn promise_10_never_reverts(ops in ops(), deliveries in deliveries()) {
        let platform = Platform::new(&ops);
        let mut store = Store::new();
        let mut highest: BTreeMap<String, u64> = BTreeMap::new();
        let mut revision = 0;
        for delivery in deliveries {
            platform.deliver(&mut store, delivery);
            prop_assert!(store.revision() >= revision, "the revision in force decreased");
            revision = store.revision();
            for (name, version) in in_force(&store) {
                let highest = highest.entry(name.clone()).or_default();
                prop_assert!(version >= *highest, "{} reverted to v{}", name, version);
                *highest = version;
            }
        }
    }

    #[test]
    fn promise_10_any_order_converges(ops in ops(), deliveries in deliveries()) {
        let platform = Platform::new(&ops);
        let mut store = Store::new();
        for delivery in deliveries {
            platform.deliver(&mut store, delivery);
        }
        platform.repair(&mut store);
        prop_assert_eq!(store.revision(), platform.revision());
        let newest = platform.listing(platform.revision());
        let is_good = |object: &&Object| conf::object::Object::try_from(*object).is_ok();
        let domains = newest.iter().filter(|object| object.kind == "Domain");
        let pair = |object: &Object| (object.name.clone(), object.version);
        let (good, bad): (Vec<_>, Vec<_>) = domains.partition(is_good);
        let bad: BTreeMap<_, _> = bad.into_iter().map(pair).collect();
        prop_assert_eq!(&faulty(&store), &bad);
        let mut found = in_force(&store);
        found.retain(|name, _| !bad.contains_key(name));
        prop_assert_eq!(found, good.into_iter().map(pair).collect::<BTreeMap<_, _>>());
    }

    #[test]
    fn promise_10_peers_converge_without_the_platform(
        ops in ops(),
        deliveries in deliveries(),
        requests in prop::collection::vec(0.0..=1.0, 0..6),
    ) {
        // The first balancer receives every change. The second misses those that the deliveries
        // leave out, and later requests them from the first.
        let platform = Platform::new(&ops);
        let (mut first, mut second) = (Store::new(), Store::new());
        first.apply(&platform.listing(1), 0, 1);
        for upto in 2..=platform.revision() {
            first.apply(&platform.changed(upto - 1, upto), upto - 1, upto);
        }
        for (delivery, request) in deliveries.into_iter().zip(requests) {
            platform.deliver(&mut second, delivery);
            let since = (second.revision() as f64 * request) as u64;
            send_changes(&first, &mut second, since);
        }
        let since = second.revision();
        send_changes(&first, &mut second, since);
        prop_assert_eq!(second.revision(), platform.revision());
        prop_assert_eq!(in_force(&first), in_force(&second));
        prop_assert_eq!(faulty(&first), faulty(&second));
    }

    #[test]
    fn promise_10_repetition_changes_nothing(ops in ops(), deliveries in deliveries()) {
        let platform = Platform::new(&ops);
        let mut store = Store::new();
        for delivery in deliveries {
            platform.deliver(&mut store, delivery);
            let before = store.to_string();
            platform.deliver(&mut store, delivery);
            prop_assert_eq!(store.to_string(), before);
        }
    }
}

/// Sends to a peer the changes after `since`, or a listing where no delta is available.
fn send_changes(from: &Store, to: &mut Store, since: u64) {
    match from.delta(since) {
        Some(delta) if since > 0 => to.apply(&delta, since, from.revision()),
        _ => to.apply(&from.listing(), 0, from.revision()),
    };
}

fn tombstone(name: &str, uid: u32, version: u64) -> Object {
    let deleted = true;
    Object {
        version,
        deleted,
        ..make::domain(name, uid, "")
    }
}

fn domain(name: &str, uid: u32, version: u64) -> Object {
    Object {
        version,
        ..make::domain(name, uid, "")
    }
}

fn invalid_domain(name: &str, uid: u32, version: u64) -> Object {
    Object {
        version,
        ..make::domain(name, uid, "state=odd")
    }
}

#[test]
fn promise_10_late_update_does_not_undo_a_deletion() {
    let mut store = Store::new();
    store.apply(&[domain("a", 1, 1)], 0, 1);
    store.apply(&[tombstone("a", 1, 3)], 1, 3);
    assert!(store.apply(&[domain("a", 1, 2)], 1, 2).is_empty());
    assert_eq!(store.get(Kind::Domain, "a"), None, "a deletion was undone");
}

#[test]
fn promise_10_late_update_after_tombstone_eviction_is_ignored() {
    let mut store = Store::new();
    store.apply(&[domain("a", 1, 1)], 0, 1);
    let tombstones: Vec<Object> = (0..=TOMBSTONES_MAX as u64)
        .map(|n| tombstone(&format!("m{n}"), 2, 3 + n))
        .collect();
    store.apply(&[tombstone("a", 1, 2)], 1, 2);
    store.apply(&tombstones, 2, 3 + TOMBSTONES_MAX as u64);
    assert!(store.delta(1).is_none(), "a delta lacks the tombstone of a");
    store.apply(&[domain("a", 1, 1)], 1, 1);
    assert_eq!(store.get(Kind::Domain, "a"), None, "a deletion was undone");
}

#[test]
fn promise_10_tombstones_above_a_gap_are_not_evicted() {
    let mut store = Store::new();
    store.apply(&[domain("a", 1, 1)], 0, 1);
    let tombstones: Vec<Object> = (0..=TOMBSTONES_MAX as u64)
        .map(|n| tombstone(&format!("m{n}"), 2, 10 + n))
        .collect();
    assert!(
        store
            .apply(&tombstones, 9, 10 + TOMBSTONES_MAX as u64)
            .has_gap
    );
    store.apply(&[domain("m0", 2, 5)], 1, 9);
    assert_eq!(store.get(Kind::Domain, "m0"), None, "a deletion was undone");
}

#[test]
fn promise_10_older_listing_changes_nothing() {
    let mut store = Store::new();
    store.apply(&[domain("a", 1, 7)], 0, 9);
    assert!(store
        .apply(&[domain("a", 1, 2), domain("b", 2, 4)], 0, 8)
        .is_empty());
    assert_eq!(store.revision(), 9);
    store.apply(&[domain("a", 1, 2), domain("c", 3, 6)], 0, 9);
    assert_eq!(
        in_force(&store),
        BTreeMap::from([("a".into(), 7), ("c".into(), 6)])
    );
}

#[test]
fn promise_10_listing_deletes_unlisted_objects() {
    let mut store = Store::new();
    store.apply(&[domain("a", 1, 1), domain("b", 2, 2)], 0, 2);
    store.apply(&[domain("c", 3, 8)], 7, 8);
    store.apply(&[domain("b", 2, 2)], 0, 5);
    assert_eq!(
        in_force(&store),
        BTreeMap::from([("b".into(), 2), ("c".into(), 8)])
    );
    store.apply(&[domain("a", 1, 1)], 1, 1);
    assert_eq!(store.get(Kind::Domain, "a"), None, "a deletion was undone");
}

#[test]
fn promise_10_tombstone_from_before_a_listing_blocks_older_versions() {
    let mut store = Store::new();
    store.apply(&[tombstone("a", 1, 3)], 2, 3);
    store.apply(&[], 0, 6);
    store.apply(&[domain("a", 4, 4)], 3, 5);
    assert_eq!(store.get(Kind::Domain, "a"), None, "a deletion was undone");
}

#[test]
fn promise_10_gap_does_not_advance_the_revision() {
    let mut store = Store::new();
    store.apply(&[domain("a", 1, 1)], 0, 1);
    let change = store.apply(&[domain("b", 4, 4)], 3, 4);
    assert!(change.has_gap);
    assert_eq!(store.revision(), 1, "a change in the gap is missing");
    assert_eq!((store.newest_version(), store.applied_version()), (4, 1));
    assert!(store.get(Kind::Domain, "b").is_some());
    assert!(!store.apply(&[domain("a", 1, 3)], 1, 4).has_gap);
    assert_eq!(store.revision(), 4);
}

#[test]
fn promise_10_last_valid_version_stays_in_force() {
    let mut store = Store::new();
    store.apply(&[domain("a", 1, 1)], 0, 1);
    store.apply(&[invalid_domain("a", 1, 2)], 1, 2);
    assert_eq!(in_force(&store)["a"], 1);
    insta::assert_snapshot!(store);
    let mut peer = Store::new();
    peer.apply(&store.listing(), 0, store.revision());
    // The peer has deltas only from the revision of the listing.
    assert_eq!(
        peer.to_string().replace("deltas from r2", "deltas from r1"),
        store.to_string()
    );
    store.apply(&[domain("a", 1, 3)], 2, 3);
    assert_eq!(in_force(&store)["a"], 3);
    assert_eq!(store.faults(), []);
}

#[test]
fn promise_10_invalid_recreated_object_does_not_restore_the_deleted_one() {
    let mut store = Store::new();
    store.apply(&[domain("a", 1, 1)], 0, 1);
    store.apply(&[invalid_domain("a", 5, 5)], 1, 5);
    assert_eq!(
        store.get(Kind::Domain, "a"),
        None,
        "a deleted object is in force"
    );
}

#[test]
fn faults_of_rejected_objects_are_bounded() {
    let mut store = Store::new();
    let unknown_kind = |n: usize| make::object("Pod", &format!("p{n}"), 1, "", "{}");
    let rejected: Vec<Object> = (0..REJECTED_MAX + 10).map(unknown_kind).collect();
    store.apply(&rejected, 0, 1);
    assert_eq!(store.faults().len(), REJECTED_MAX);
    assert_eq!(store.faults()[0].code, Code::UnknownKind);
    let deleted = Object {
        deleted: true,
        version: 2,
        ..unknown_kind(0)
    };
    store.apply(&[deleted], 1, 2);
    assert_eq!(store.faults().len(), REJECTED_MAX - 1);
}

#[test]
fn invalid_oversized_object_is_truncated() {
    let mut store = Store::new();
    let oversized = make::object("Domain", "a", 1, "", &"x".repeat(1 << 20));
    store.apply(&[oversized], 0, 1);
    assert_eq!(store.faults()[0].code, Code::BadField);
    assert!(store.listing()[0].spec.0.len() < 100);
}

#[test]
fn reports_are_not_kept() {
    let mut store = Store::new();
    let report = make::object("Report", "d", 1, "", "{}");
    store.apply(&[report], 0, 4);
    assert_eq!(store.listing(), []);
    assert_eq!((store.revision(), store.newest_version()), (4, 0));
}
