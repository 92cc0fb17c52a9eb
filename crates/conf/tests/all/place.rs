//! Tests of the order of places.

use conf::place::Place;
use conf::place::REVISION_MAX;

fn place(era: u64, revision: u64) -> Place {
    Place::new(era, revision).expect("the revision is in range")
}

#[test]
fn a_later_era_follows_all_revisions_of_an_earlier_one() {
    let places = [
        place(0, 1),
        place(0, REVISION_MAX),
        place(1, 0),
        place(1, 408),
        place(2, 1),
    ];
    assert!(places.is_sorted());
    let numbers = places.map(u64::from);
    assert!(numbers.is_sorted(), "numbers have the order of the places");
    assert_eq!(numbers.map(Place::from), places);
}

#[test]
fn in_era_0_the_number_is_the_revision() {
    assert_eq!(u64::from(place(0, 413)), 413);
    assert_eq!(place(0, 413).to_string(), "r413");
    assert_eq!(place(2, 413).to_string(), "e2 r413");
}

#[test]
fn a_revision_out_of_range_has_no_place() {
    assert_eq!(Place::new(1, REVISION_MAX + 1), None);
}
