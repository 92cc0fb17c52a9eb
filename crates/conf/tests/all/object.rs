//! Validation of single objects and their codecs.

use assert_matches::assert_matches;
use base::prelude::*;
use conf::label::Labels;
use conf::object;
use conf::object::Body;
use conf::object::Object;
use conf::object::State;
use conf::raw;
use proptest::prelude::*;

use crate::make;

macro_rules! rejected {
    ($($name:ident: $code:ident, $raw:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_matches!(
                    Object::try_from(&$raw),
                    Err(error) if error.code == Code::$code,
                    "{:?}", Object::try_from(&$raw)
                );
            }
        )*
    };
}

const VALID_SPEC: &str = r#"{"address": "127.0.0.1:1"}"#;

fn server(labels: &str, spec: &str) -> raw::Object {
    make::object("Server", "s", 1, labels, spec)
}

fn service(spec: &str) -> raw::Object {
    make::object("Service", "s", 1, "", spec)
}

rejected! {
    unknown_kind: UnknownKind, make::object("Pod", "a", 1, "", "{}");
    kind_in_lower_case: UnknownKind, make::object("server", "a", 1, "domain=d", VALID_SPEC);
    empty_name: BadName, make::domain("", 1, "");
    name_with_slash: BadName, make::domain("a/b", 1, "");
    name_in_upper_case: BadName, make::domain("A", 1, "");
    long_name: BadName, make::domain(&"a".repeat(object::NAME_MAX_BYTES + 1), 1, "");
    bad_label: BadLabel, make::domain("d", 1, "A=b");
    domain_with_drain_state: BadLabel, make::domain("d", 1, "state=drain");
    domain_with_field: BadField, make::object("Domain", "d", 1, "", r#"{"x": 1}"#);
    unknown_state: BadLabel, server("domain=d state=away", VALID_SPEC);
    server_without_domain: BadLabel, server("state=in", VALID_SPEC);
    server_without_address: BadField, server("domain=d", "{}");
    server_without_port: BadField, server("domain=d", r#"{"address": "127.0.0.1"}"#);
    server_at_port_0: BadField, server("domain=d", r#"{"address": "127.0.0.1:0"}"#);
    server_with_zero_slots: BadField,
        server("domain=d", r#"{"address": "127.0.0.1:1", "slots": 0}"#);
    server_with_negative_slots: BadField,
        server("domain=d", r#"{"address": "127.0.0.1:1", "slots": -1}"#);
    server_with_unknown_field: BadField,
        server("domain=d", r#"{"address": "127.0.0.1:1", "weight": 1}"#);
    spec_is_array: BadField, server("domain=d", r#"["127.0.0.1:1", 2, 2000]"#);
    spec_is_not_json: BadField, server("domain=d", "{");
    spec_is_too_long: BadField, server("domain=d", &" ".repeat(object::SPEC_MAX_BYTES + 1));
    spec_repeats_field: BadField,
        server("domain=d", r#"{"address": "127.0.0.1:1", "slots": 1, "slots": 2}"#);
    service_without_selector: BadField, service(r#"{"address": "10.0.0.1"}"#);
    service_at_unspecified_address: BadField, service(r#"{"address": "0.0.0.0", "selector": "a"}"#);
    service_with_bad_selector: BadLabel, service(r#"{"address": "10.0.0.1", "selector": "a="}"#);
    service_with_zero_deadline: BadField,
        service(r#"{"address": "10.0.0.1", "selector": "a", "deadline_ms": 0}"#);
    tombstone: BadField, raw::Object { deleted: true, ..make::domain("d", 1, "") };
}

#[test]
fn unset_fields_get_defaults() {
    let object = Object::try_from(&server("domain=d", VALID_SPEC)).expect("the object is valid");
    assert_matches!(object.body, Body::Server(server) => {
        assert_eq!(server.slots, object::DEFAULT_SLOTS);
        assert_eq!(server.connections, object::DEFAULT_CONNECTIONS);
        assert_eq!(server.state, State::In);
    });
}

const OLD_ROUTE: &str = r#"{"address":"198.18.0.1:443","shares":[{"pool":"p","weight":1}]}"#;

fn routing(route: &str) -> object::Routing {
    let spec = format!(r#"{{"routes":[{route}],"pools":[]}}"#);
    let raw = make::object("Routing", "main", 1, "", &spec);
    match Object::try_from(&raw).expect("a valid routing").body {
        Body::Routing(routing) => routing,
        body => panic!("{body:?} is no routing"),
    }
}

/// Guards against a routing of an earlier release that can no longer be read, and against new
/// fields in a routing that has no need of them, which earlier releases reject.
#[test]
fn a_route_with_defaults_is_encoded_as_by_earlier_releases() {
    let routing = routing(OLD_ROUTE);
    let shares = routing.routes[0].shares.clone();
    let address: std::net::SocketAddr = "198.18.0.1:443".parse().expect("an address");
    assert_eq!(routing.routes, [object::Route::new(address, shares)]);
    let spec = raw::Spec::from(&Body::Routing(routing));
    assert!(spec.0.contains(OLD_ROUTE), "{}", spec.0);
}

/// Guards against a field that is lost or changed between two balancers.
#[test]
fn a_route_keeps_its_fields_between_balancers() {
    let fields = r#","priority":2,"timeout_ms":6000,"target_ms":800,"kind":"upload"}"#;
    let text = OLD_ROUTE.replace("]}", &format!("]{fields}"));
    let routing = routing(&text);
    let route = &routing.routes[0];
    assert_eq!((route.priority, route.kind), (2, object::Traffic::Upload));
    assert_eq!(
        (route.timeout, route.target),
        (Span::secs(6), Span::millis(800))
    );
    let spec = raw::Spec::from(&Body::Routing(routing));
    assert!(spec.0.contains(&text), "{}", spec.0);
}

/// Guards against a kind of a later release that makes the whole routing unusable.
#[test]
fn a_route_of_an_unknown_kind_has_the_default() {
    let routing = routing(&OLD_ROUTE.replace("]}", r#"],"kind":"mirror"}"#));
    assert_eq!(routing.routes[0].kind, object::Traffic::NonIdempotent);
}

#[test]
fn report_with_unknown_fields_and_codes_is_accepted() {
    let spec = r#"{"balancers": [{"name": "b", "incarnation": 7, "admin": "127.0.0.1:9",
        "revision": 4, "mood": "new", "faults": [{"kind": "Pod", "name": "x", "code": 9999}]}]}"#;
    let object =
        Object::try_from(&make::object("Report", "d", 1, "", spec)).expect("the object is valid");
    assert_matches!(object.body, Body::Report(report) => {
        assert_eq!(report.balancers[0].revision, 4);
        assert_eq!(report.balancers[0].faults[0].code, Code::UnknownCode);
    });
}

#[test]
fn spec_equivalence_ignores_json_formatting() {
    let spec = |text: &str| raw::Spec(text.into());
    assert!(spec("").is_equivalent(&spec(" { } ")));
    assert!(spec(r#"{"a": 1, "b": 2}"#).is_equivalent(&spec(r#"{"b":2,"a":1}"#)));
    assert!(!spec(r#"{"a": 1}"#).is_equivalent(&spec(r#"{"a": 2}"#)));
    assert!(!spec("{").is_equivalent(&spec("[")));
}

fn value() -> impl Strategy<Value = serde_json::Value> {
    use serde_json::Value;
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[a-z0-9.:=,!]{0,12}".prop_map(Value::from),
        Just(Value::from("127.0.0.1:80")),
        Just(Value::from("127.0.0.1")),
    ];
    let name = prop_oneof![
        Just("address".to_string()),
        Just("selector".to_string()),
        Just("slots".to_string()),
        Just("balancers".to_string()),
        "[a-z]{0,6}",
    ];
    leaf.prop_recursive(3, 16, 4, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(name.clone(), inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

pub(crate) fn raw_object() -> impl Strategy<Value = raw::Object> {
    let kind = prop_oneof![
        Just("Service".to_string()),
        Just("Server".to_string()),
        Just("Domain".to_string()),
        Just("Report".to_string()),
        "[A-Za-z]{0,8}",
    ];
    let spec = prop_oneof![value().prop_map(|value| value.to_string()), "\\PC{0,40}"];
    let labels = prop_oneof![
        Just(make::labels("domain=d")),
        Just(make::labels("domain=d state=drain")),
        prop::collection::btree_map("\\PC{0,8}", "\\PC{0,8}", 0..4),
    ];
    (
        kind,
        "[a-z.-]{0,8}",
        any::<u32>(),
        any::<u64>(),
        labels,
        spec,
    )
        .prop_map(
            |(kind, name, uid, version, labels, spec): (
                String,
                String,
                u32,
                u64,
                Labels,
                String,
            )| {
                let spec = raw::Spec(spec);
                raw::Object {
                    kind,
                    name,
                    uid,
                    version,
                    generation: 1,
                    deleted: false,
                    labels,
                    spec,
                }
            },
        )
}

proptest! {
    #[test]
    fn arbitrary_object_never_panics(raw in raw_object()) {
        if let Ok(object) = Object::try_from(&raw) {
            let back = raw::Object::from(&object);
            prop_assert_eq!(
                Object::try_from(&back), Ok(object), "the serialized object is rejected"
            );
        }
    }

    #[test]
    fn random_json_never_panics(value in value(), text in "\\PC{0,60}") {
        let _ = serde_json::from_value::<raw::Object>(value);
        let _ = serde_json::from_str::<raw::Object>(&text);
    }

    #[test]
    fn random_bytes_never_panic(data in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = serde_json::from_slice::<raw::Object>(&data);
        let _ = postcard::from_bytes::<raw::Object>(&data);
    }

    #[test]
    fn binary_codec_round_trips(raw in raw_object()) {
        let data = postcard::to_stdvec(&raw).expect("an object is encodable");
        prop_assert_eq!(postcard::from_bytes::<raw::Object>(&data), Ok(raw));
    }
}
