//! Tests that the platform test double implements the object API, and fails only by injected
//! faults.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use conf::object::Kind;
use conf::place::Place;
use conf::raw::Object;
use conf::raw::Spec;
use hyper::Method;
use hyper::StatusCode;
use plat::source::Source;
use plat::Client;
use stub::http::call;
use stub::platform::store::Gone;
use stub::platform::store::List;
use stub::platform::store::Store;
use stub::platform::store::WriteError;
use stub::platform::Faults;
use stub::platform::Outage;
use stub::platform::Platform;

fn object(name: &str, spec: &str) -> Object {
    Object {
        kind: "Server".to_owned(),
        name: name.to_owned(),
        uid: 0,
        version: 0,
        generation: 0,
        deleted: false,
        labels: Default::default(),
        spec: Spec(spec.to_owned()),
    }
}

async fn start() -> Platform {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Platform::start(any, any)
        .await
        .expect("loopback addresses can be bound")
}

async fn put(platform: &Platform, object: &Object, version: u64) -> eyre::Result<StatusCode> {
    let path = format!(
        "/v1/objects/{}/{}?version={version}",
        object.kind, object.name
    );
    let body = serde_json::to_vec(object)?;
    let (status, _) = call(Method::PUT, platform.address().api, &path, body).await?;
    Ok(status)
}

#[test]
fn writes_are_conditional_and_uids_are_not_reused() {
    let mut store = Store::default();
    let made = store.put(object("a", "{}"), 0).expect("new");
    assert_eq!((made.uid, made.version, made.generation), (1, 1, 1));
    assert_matches!(store.put(object("a", "{}"), 0), Err(WriteError::Conflict(stored)) if *stored == made);
    assert_eq!(store.put(object("b", "{}"), 7), Err(WriteError::NotFound));

    let relabeled = store.put(object("a", "{}"), 1).expect("its version");
    assert_eq!(relabeled.generation, 1, "labels alone raise no generation");
    let changed = store
        .put(object("a", r#"{"slots":3}"#), 2)
        .expect("its version");
    assert_eq!(changed.generation, 2, "a change of spec raises it");

    assert_matches!(store.delete("Server", "a", 2), Err(WriteError::Conflict(_)));
    let tombstone = store.delete("Server", "a", 3).expect("its version");
    assert!(tombstone.deleted);
    assert_eq!(
        store.list(None).objects,
        [],
        "lists contain live objects only"
    );
    let again = store.put(object("a", "{}"), 0).expect("new again");
    assert_eq!(
        (again.uid, again.version),
        (2, 5),
        "another object of the same name"
    );
}

#[test]
fn changes_include_tombstones_until_compaction() {
    let mut store = Store::default();
    store.put(object("a", "{}"), 0).expect("new");
    store.put(object("b", "{}"), 0).expect("new");
    store.delete("Server", "a", 1).expect("its version");
    let names = |list: List| -> Vec<(String, bool)> {
        let objects = list.objects.into_iter();
        objects.map(|o| (o.name, o.deleted)).collect()
    };
    let changes = store
        .changes_since(1)
        .expect("the revision is not compacted");
    assert_eq!(
        names(changes),
        [("b".to_owned(), false), ("a".to_owned(), true)]
    );
    assert_eq!(store.changes_since(4), Err(Gone), "ahead of the store");

    let older = store.clone();
    store.compact();
    assert_eq!(
        store.changes_since(2),
        Err(Gone),
        "the tombstone is dropped"
    );
    store.put(object("c", "{}"), 0).expect("new");
    store.restore(older);
    assert_eq!(
        store.changes_since(4),
        Err(Gone),
        "ahead of the restored store"
    );
    let made = store.put(object("c", "{}"), 0).expect("new");
    assert_eq!(
        (made.uid, made.version),
        (4, 4),
        "revisions repeat, uids do not"
    );
}

/// A balancer that forwards packets orders changes by era; other clients see bare revisions.
#[tokio::test]
async fn a_restore_begins_an_era() {
    let platform = start().await;
    let domain = Object {
        kind: "Domain".into(),
        ..object("a", "{}")
    };
    let client = Client::new(format!("http://{}", platform.address().api)).expect("a URL");
    client.put(&domain, 0).await.expect("written");
    let copy = platform.copy();
    client.put(&domain, 1).await.expect("written");
    let before = Source::list(&client, Kind::Domain).await.expect("listed");
    platform.restore(copy);
    let after = Source::list(&client, Kind::Domain).await.expect("listed");
    let places = [&before, &after].map(|list| Place::from(list.revision).to_string());
    assert_eq!(places, ["r2", "e1 r1"]);
    assert!(after.objects[0].version > before.objects[0].version);
    let changes = Source::watch(&client, Kind::Domain, after.revision, Duration::ZERO).await;
    assert_eq!(changes.map(|list| list.revision), Ok(after.revision));
    let bare = client.list(Some(Kind::Domain)).await.expect("listed");
    assert_eq!((bare.revision, bare.objects[0].version), (1, 1));
}

#[tokio::test]
async fn a_long_poll_waits_for_the_next_change_and_counts_as_one_call() {
    let platform = start().await;
    let api = platform.address().api;
    let watch = tokio::spawn(call(
        Method::GET,
        api,
        "/v1/watch?since=0&wait_ms=30000",
        "",
    ));
    while platform.stats().watch == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let status = put(&platform, &object("a", "{}"), 0)
        .await
        .expect("the API is in service");
    assert_eq!(status, StatusCode::OK);
    let (_, body) = watch.await.expect("no panic").expect("answered");
    let list: List = serde_json::from_slice(&body).expect("a list");
    assert_eq!((list.revision, list.objects.len()), (1, 1));
    assert_eq!(platform.stats().watch, 1);
    let (status, _) = call(Method::GET, api, "/v1/watch?since=9", "")
        .await
        .expect("answered");
    assert_eq!(status, StatusCode::GONE);
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_applied() {
    let platform = start().await;
    platform.set_faults(Faults {
        lose_writes: 1,
        ..Faults::default()
    });
    assert_matches!(put(&platform, &object("a", "{}"), 0).await, Err(_));
    let again = put(&platform, &object("a", "{}"), 0)
        .await
        .expect("the API is in service");
    assert_eq!(again, StatusCode::CONFLICT, "the write was applied");
    assert_eq!(platform.stats().lost, 1);
}

#[tokio::test]
async fn an_outage_closes_open_connections_but_not_the_control_endpoints() {
    let platform = start().await;
    let address = platform.address();
    let watch = tokio::spawn(call(
        Method::GET,
        address.api,
        "/v1/watch?since=0&wait_ms=30000",
        "",
    ));
    while platform.stats().watch == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let down = r#"{"outage":"refuse"}"#;
    let (status, _) = call(Method::PUT, address.control, "/control/faults", down)
        .await
        .expect("the control endpoints are in service");
    assert_eq!(status, StatusCode::OK);
    assert_matches!(watch.await.expect("no panic"), Err(_));
    assert_matches!(
        call(Method::GET, address.api, "/v1/objects", "").await,
        Err(_)
    );
    platform.set_faults(Faults {
        outage: Outage::Unavailable,
        ..Faults::default()
    });
    let (status, _) = call(Method::GET, address.api, "/v1/objects", "")
        .await
        .expect("answered");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
}
