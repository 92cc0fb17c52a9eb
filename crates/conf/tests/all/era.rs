//! Promise 10 while the platform is restored from older copies: stores that received the changes of
//! several eras end in the state of the last one.

use std::collections::BTreeMap;

use conf::object::Kind;
use conf::place::Place;
use conf::raw::Object;
use conf::store::Store;
use proptest::prelude::*;

use crate::make;
use crate::store::in_force;
use crate::store::ops;
use crate::store::Op;
use crate::store::Platform;

/// A message that reaches a store: from which era, and the changes between two revisions or a
/// listing, with revisions as fractions of the history's length.
#[derive(Clone, Copy, Debug)]
struct Delivery {
    era: usize,
    since: Option<f64>,
    upto: f64,
}

/// The platform as of the end of each era.
struct Eras(Vec<Platform>);

impl Eras {
    /// Returns three eras. Each restore loses the given number of changes, after which further ones
    /// are made.
    fn new(ops: &[Vec<Op>; 3], lost: &[usize; 2]) -> Eras {
        let mut platform = Platform::new(&ops[0]);
        let mut eras = vec![platform.clone()];
        for (ops, lost) in ops[1..].iter().zip(lost) {
            platform.undo(*lost);
            ops.iter().for_each(|op| platform.run(*op));
            eras.push(platform.clone());
        }
        Eras(eras)
    }

    fn place(&self, era: usize, revision: u64) -> u64 {
        let place = Place::new(era as u64 + 1, revision);
        place.expect("the revision is in range").into()
    }

    fn with_places(&self, era: usize, objects: Vec<Object>) -> Vec<Object> {
        let with_place = |object: Object| Object {
            version: self.place(era, object.version),
            ..object
        };
        objects.into_iter().map(with_place).collect()
    }

    fn list(&self, to: &mut Store, era: usize, upto: u64) {
        let objects = self.with_places(era, self.0[era].listing(upto));
        to.apply(&objects, 0, self.place(era, upto));
    }

    fn send_changes(&self, to: &mut Store, era: usize, since: u64, upto: u64) {
        let objects = self.with_places(era, self.0[era].changed(since, upto));
        to.apply(&objects, self.place(era, since), self.place(era, upto));
    }

    fn deliver(&self, to: &mut Store, delivery: Delivery) {
        let Delivery { era, since, upto } = delivery;
        let platform = &self.0[era];
        let upto = platform.revision_at(upto).max(1);
        match since.map(|since| platform.revision_at(since).clamp(1, upto)) {
            Some(since) => self.send_changes(to, era, since, upto),
            None => self.list(to, era, upto),
        }
    }

    /// Brings a store up to date as a balancer does: by the changes after its place, or by a listing
    /// if that place is of an earlier era.
    fn repair(&self, store: &mut Store) {
        let last = self.0.len() - 1;
        let upto = self.0[last].revision();
        let local = Place::from(store.revision());
        match usize::from(local.era()) == last + 1 {
            true => self.send_changes(store, last, local.revision(), upto),
            false => self.list(store, last, upto),
        }
    }
}

fn deliveries() -> impl Strategy<Value = Vec<Delivery>> {
    let share = || 0.0..=1.0;
    let delivery = (0..3usize, prop::option::weighted(0.8, share()), share());
    let delivery = delivery.prop_map(|(era, since, upto)| Delivery { era, since, upto });
    prop::collection::vec(delivery, 0..30)
}

proptest! {
    #[test]
    fn promise_10_any_order_of_three_eras_converges(
        ops in [ops(), ops(), ops()],
        lost in [0..10usize, 0..10],
        deliveries in deliveries(),
    ) {
        let eras = Eras::new(&ops, &lost);
        let mut store = Store::new();
        let mut revision = 0;
        for delivery in deliveries {
            eras.deliver(&mut store, delivery);
            prop_assert!(store.revision() >= revision, "the place in force decreased");
            revision = store.revision();
        }
        eras.repair(&mut store);
        let upto = eras.0[2].revision();
        prop_assert_eq!(store.revision(), eras.place(2, upto));
        let mut expected = Store::new();
        eras.list(&mut expected, 2, upto);
        let faulty = |store: &Store| store.faults().into_iter().map(|fault| fault.name).collect::<Vec<_>>();
        prop_assert_eq!(faulty(&store), faulty(&expected));
        let valid = |store: &Store| -> BTreeMap<String, u64> {
            let mut found = in_force(store);
            found.retain(|name, _| !faulty(store).contains(name));
            found
        };
        prop_assert_eq!(valid(&store), valid(&expected));
    }
}

/// The changes of a new era must not complete the state of the one before.
#[test]
fn promise_10_a_delta_does_not_continue_an_earlier_era() {
    let place = |era, revision| -> u64 {
        let place = Place::new(era, revision);
        place.expect("the revision is in range").into()
    };
    let object = Object {
        version: place(1, 5),
        ..make::domain("a", 1, "")
    };
    let mut store = Store::new();
    store.apply(&[object], 0, place(1, 9));
    let change = store.apply(&[], place(1, 9), place(2, 9));
    assert!(change.has_gap);
    assert_eq!(store.revision(), place(1, 9));
    store.apply(&[], 0, place(2, 7));
    assert_eq!(store.get(Kind::Domain, "a"), None);
    assert!(
        store.delta(place(1, 9)).is_none(),
        "no delta spans a restore"
    );
}
