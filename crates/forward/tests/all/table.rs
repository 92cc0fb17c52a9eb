//! Tests of the table of routes, pools and backend servers in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use conf::object;
use conf::object::Body;
use conf::object::Meta;
use conf::object::Object;
use conf::object::State;
use conf::place::Place;
use forward::table::row::Status;
use forward::table::Table;
use forward::table::GONE_RETENTION;
use forward::table::MISSING_ENTRY_GRACE;
use forward::token::Mark;

const NOW: Time = Time(1_000_000_000);

fn server(name: &str, version: u64, state: State, identity: u64) -> Object {
    let meta = Meta {
        name: name.into(),
        uid: 1,
        version,
        generation: 0,
        labels: BTreeMap::new(),
    };
    let body = Body::Server(object::Server {
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        slots: 2,
        connections: 10,
        domain: "a".into(),
        state,
        pool: Some("p".into()),
        identity: Some(identity),
        cold: Span::ZERO,
    });
    Object { meta, body }
}

/// A restored store may show the entry of before a cold restart, whose time is over.
#[test]
fn promise_03_an_entry_of_a_restored_store_does_not_end_a_cold_start() {
    let at = |era, revision, cold| {
        let place = Place::new(era, revision).expect("the revision is in range");
        let mut object = server("i-1", place.into(), State::In, 1);
        if let Body::Server(server) = &mut object.body {
            server.cold = cold;
        }
        object
    };
    let is_cold = |table: &Table| {
        let (key, _) = table.servers().next().expect("the server is known");
        table.is_cold(key, NOW + Span::secs(3))
    };
    let mut table = Table::default();
    table.apply_servers(NOW, [&at(1, 9, Span::secs(4))].into_iter());
    table.apply_servers(NOW, [&at(2, 5, Span::ZERO)].into_iter());
    assert!(is_cold(&table), "the copy is older than the restart");
    table.apply_servers(NOW, [&at(2, 10, Span::ZERO)].into_iter());
    assert!(!is_cold(&table), "the server says so");
}

fn status(table: &Table, name: &str) -> Option<Status> {
    let mut rows = table.servers().filter(|(_, row)| row.name == name);
    rows.next().map(|(_, row)| row.status)
}

#[test]
fn a_server_without_an_entry_is_missing_then_lapsed_then_evicted() {
    let mut table = Table::default();
    let ready = server("i-1", 1, State::In, 1);
    table.apply_servers(NOW, [&ready].into_iter());
    assert_eq!(status(&table, "i-1"), Some(Status::Ready));
    table.apply_servers(NOW, [].into_iter());
    assert_eq!(status(&table, "i-1"), Some(Status::Missing(NOW)));
    let gone = NOW + MISSING_ENTRY_GRACE;
    assert_eq!(table.expire_servers(gone).len(), 1);
    assert_eq!(status(&table, "i-1"), Some(Status::Lapsed(gone)));
    assert!(
        table.server_by_mark(Mark::new(1)).is_some(),
        "open flows still resolve their tokens"
    );
    table.expire_servers(gone + GONE_RETENTION);
    assert_eq!(status(&table, "i-1"), None);
    assert!(table.server_by_mark(Mark::new(1)).is_none());
}

#[test]
fn a_draining_server_is_gone_when_its_entry_is_removed() {
    let mut table = Table::default();
    let draining = server("i-1", 1, State::Drain, 1);
    table.apply_servers(NOW, [&draining].into_iter());
    table.apply_servers(NOW, [].into_iter());
    assert_eq!(status(&table, "i-1"), Some(Status::Gone(NOW)));
}

#[test]
fn a_renewed_entry_keeps_its_key() {
    let mut table = Table::default();
    let ready = server("i-1", 1, State::In, 1);
    table.apply_servers(NOW, [&ready].into_iter());
    let key = table.server_by_mark(Mark::new(1));
    table.apply_servers(NOW, [].into_iter());
    table.expire_servers(NOW + MISSING_ENTRY_GRACE);
    table.apply_servers(NOW + MISSING_ENTRY_GRACE, [&ready].into_iter());
    assert_eq!(status(&table, "i-1"), Some(Status::Ready));
    assert_eq!(table.server_by_mark(Mark::new(1)), key);
}

#[test]
fn a_shared_mark_belongs_to_the_first_server_by_name() {
    let mut table = Table::default();
    let (first, second) = (
        server("i-1", 1, State::In, 7),
        server("i-2", 2, State::In, 7),
    );
    table.apply_servers(NOW, [&second].into_iter());
    table.apply_servers(NOW, [&first, &second].into_iter());
    let key = table
        .server_by_mark(Mark::new(7))
        .expect("one of the servers owns the mark");
    assert_eq!(table.server(key).name, "i-1");
    let accepting: Vec<&str> = table
        .servers()
        .filter(|(_, row)| row.is_accepting(NOW))
        .map(|(_, row)| row.name.as_str())
        .collect();
    assert_eq!(
        accepting,
        ["i-1"],
        "no flow may be opened with an ambiguous token"
    );
}

/// Regression (review/10): a new server took over the mark of one that had open flows, which were
/// reset, because its name came first.
#[test]
fn promise_01_a_shared_mark_stays_with_the_older_entry() {
    let with_uid = |name: &str, uid: u32| {
        let mut object = server(name, uid.into(), State::In, 7);
        object.meta.uid = uid;
        object
    };
    let (new, old) = (with_uid("i-1", 9), with_uid("i-2", 5));
    // The order holds on balancers that start later, too.
    for is_known in [true, false] {
        let mut table = Table::default();
        if is_known {
            table.apply_servers(NOW, [&old].into_iter());
        }
        table.apply_servers(NOW, [&new, &old].into_iter());
        let key = table.server_by_mark(Mark::new(7)).expect("one owns it");
        assert_eq!(table.server(key).name, "i-2");
        let rows = table.servers().filter(|(_, row)| row.is_accepting(NOW));
        let accepting: Vec<&str> = rows.map(|(_, row)| row.name.as_str()).collect();
        assert_eq!(accepting, ["i-2"]);
    }
}

#[test]
fn keys_are_reused() {
    let mut table = Table::default();
    let mut now = NOW;
    for round in 0..50u64 {
        let name = format!("i-{round}");
        let ready = server(&name, round + 1, State::In, round);
        table.apply_servers(now, [&ready].into_iter());
        table.apply_servers(now, [].into_iter());
        now += MISSING_ENTRY_GRACE;
        table.expire_servers(now);
        now += GONE_RETENTION;
        table.expire_servers(now);
    }
    let last = server("i-x", 99, State::In, 99);
    table.apply_servers(now, [&last].into_iter());
    let key = table
        .server_by_mark(Mark::new(99))
        .expect("the server is in the table");
    assert_eq!(
        key.to_string(),
        "srv0",
        "keys of evicted servers must be reused, so that memory stays bounded"
    );
}
