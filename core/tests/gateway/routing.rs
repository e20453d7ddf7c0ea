//! The route, the service and the customer of a request.

use {
    cactusspur_core::{
        DurationMs,
        gateway::{CallKind, CallerLimits, CustomerSpec, Route, RoutingTable, Split},
    },
    test_case::test_case,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Idempotent,
        timeout_ms: DurationMs(800),
        target_ms: DurationMs(150),
        event_gap_ms: None,
        priority: 1,
        splits: vec![
            Split {
                service: "a".to_owned(),
                weight: 90,
            },
            Split {
                service: "b".to_owned(),
                weight: 10,
            },
        ],
        max_backends: 2,
        is_public: false,
    }
}

fn table() -> RoutingTable {
    let customer = |name: &str, key: &str| CustomerSpec {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        priority: None,
        isolated: false,
        cap: None,
    };
    RoutingTable::new(
        7,
        vec![
            route("short", "one.example", "/api/"),
            route("long", "one.example", "/api/designs/"),
            route("other", "two.example", "/"),
        ],
        Vec::new(),
        vec![customer("large", "KEY-L"), customer("small", "KEY-S")],
        CallerLimits {
            max_head_bytes: 16_384,
            max_body_bytes: 1_000,
            idle_ms: DurationMs(15_000),
        },
    )
}

#[test_case("one.example", "/api/x", Some("short"); "the prefix begins the path")]
#[test_case("one.example", "/api/designs/7", Some("long"); "the longest prefix wins")]
#[test_case("one.example", "/api/designs", Some("short"); "a prefix ends with its slash")]
#[test_case("one.example", "/other", None; "no prefix")]
#[test_case("ONE.example:8080", "/api/x", Some("short"); "case and port of the host don't count")]
#[test_case("three.example", "/api/x", None; "no host")]
#[test_case("two.example", "/api/x", Some("other"); "prefixes of another host don't count")]
fn a_request_finds_its_route(host: &str, path: &str, expected: Option<&str>) {
    let table = table();
    let found = table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test_case("KEY-L", Some("large"))]
#[test_case("KEY-S", Some("small"))]
#[test_case("KEY", None)]
#[test_case("", None)]
fn a_key_names_its_customer(key: &str, expected: Option<&str>) {
    let table = table();
    let found = table.customer(key).map(|customer| customer.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn a_split_gives_each_service_its_share() {
    let route = route("r", "h", "/");
    let drawn = |service: &str| {
        let draws = (0..1_000).filter(|draw| route.service(*draw) == Some(service));
        draws.count()
    };
    assert_eq!(drawn("a"), 900);
    assert_eq!(drawn("b"), 100);
}

#[test]
fn a_route_without_services_has_none() {
    let mut route = route("r", "h", "/");
    route.splits.clear();
    assert_eq!(route.service(5), None);
}
