//! Routes, pools and servers in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use conf::object;
use conf::object::Body;
use conf::object::Meta;
use conf::object::Object;
use conf::object::State;
use forward::table::row::Standing;
use forward::table::Table;
use forward::table::FORGET;
use forward::table::MISSING;
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

fn standing(table: &Table, name: &str) -> Option<Standing> {
    let mut rows = table.servers().filter(|(_, row)| row.name == name);
    rows.next().map(|(_, row)| row.standing)
}

#[test]
fn a_server_without_an_entry_is_missing_then_lapsed_then_forgotten() {
    let mut table = Table::default();
    let ready = server("i-1", 1, State::In, 1);
    table.put_servers(NOW, [&ready].into_iter());
    assert_eq!(standing(&table, "i-1"), Some(Standing::Ready));
    table.put_servers(NOW, [].into_iter());
    assert_eq!(standing(&table, "i-1"), Some(Standing::Missing(NOW)));
    let gone = NOW + MISSING;
    assert_eq!(table.expire(gone).len(), 1);
    assert_eq!(standing(&table, "i-1"), Some(Standing::Lapsed(gone)));
    assert!(table.find(Mark::new(1)).is_some(), "its flows find it");
    table.expire(gone + FORGET);
    assert_eq!(standing(&table, "i-1"), None);
    assert!(table.find(Mark::new(1)).is_none());
}

#[test]
fn a_server_that_was_leaving_is_gone_with_its_entry() {
    let mut table = Table::default();
    let leaving = server("i-1", 1, State::Drain, 1);
    table.put_servers(NOW, [&leaving].into_iter());
    table.put_servers(NOW, [].into_iter());
    assert_eq!(standing(&table, "i-1"), Some(Standing::Gone(NOW)));
}

#[test]
fn an_entry_that_comes_back_finds_its_server() {
    let mut table = Table::default();
    let ready = server("i-1", 1, State::In, 1);
    table.put_servers(NOW, [&ready].into_iter());
    let key = table.find(Mark::new(1));
    table.put_servers(NOW, [].into_iter());
    table.expire(NOW + MISSING);
    table.put_servers(NOW + MISSING, [&ready].into_iter());
    assert_eq!(standing(&table, "i-1"), Some(Standing::Ready));
    assert_eq!(table.find(Mark::new(1)), key);
}

#[test]
fn of_two_servers_with_one_mark_the_first_by_name_has_it() {
    let mut table = Table::default();
    let (first, second) = (
        server("i-1", 1, State::In, 7),
        server("i-2", 2, State::In, 7),
    );
    table.put_servers(NOW, [&second].into_iter());
    table.put_servers(NOW, [&first, &second].into_iter());
    let key = table.find(Mark::new(7)).expect("one has it");
    assert_eq!(table.server(key).name, "i-1");
    let listed: Vec<&str> = table
        .servers()
        .filter(|(_, row)| row.is_listed(NOW))
        .map(|(_, row)| row.name.as_str())
        .collect();
    assert_eq!(
        listed,
        ["i-1"],
        "no flow is opened under an ambiguous token"
    );
}

#[test]
fn keys_are_used_again() {
    let mut table = Table::default();
    let mut now = NOW;
    for round in 0..50u64 {
        let name = format!("i-{round}");
        let ready = server(&name, round + 1, State::In, round);
        table.put_servers(now, [&ready].into_iter());
        table.put_servers(now, [].into_iter());
        now += MISSING;
        table.expire(now);
        now += FORGET;
        table.expire(now);
    }
    let last = server("i-x", 99, State::In, 99);
    table.put_servers(now, [&last].into_iter());
    let key = table.find(Mark::new(99)).expect("known");
    assert_eq!(
        key.to_string(),
        "srv0",
        "memory does not grow with servers that went"
    );
}
