//! Tests of looking up routes and accounts, and of rejecting inconsistent elements.

use sg_catalog::{
    Account, Catalog, KeyDigest, Route,
    catalog::{Error, Limits, Service},
    route::WeightedService,
};
use sg_types::prelude::*;

fn service(name: &str) -> Service {
    Service {
        name: name.parse().expect("a name"),
        health_path: "/health".into(),
        max_connections: 10,
        cold_rate: 8.0,
        cold_duration: Span::from_secs(3),
    }
}

fn route(name: &str, prefix: &str, service: &str, weight: u32) -> Route {
    Route {
        name: name.parse().expect("a name"),
        path_prefix: prefix.into(),
        idempotent: true,
        large_responses: false,
        max_targets: 2,
        timeout: None,
        latency_objective: Span::from_millis(600),
        priority: 0,
        allows_anonymous: false,
        session_affinity: true,
        home_regions: Arc::from([]),
        services: Arc::from([WeightedService {
            service: service.parse().expect("a name"),
            weight,
        }]),
    }
}

fn account(name: &str) -> Account {
    Account {
        name: name.parse().expect("a name"),
        rate: None,
        burst: 0,
        priority: None,
        home_regions: Arc::from([]),
    }
}

fn catalog() -> Catalog {
    let mut catalog = Catalog::new(Revision::new(1), Limits::default());
    catalog.add_service(service("portal"));
    catalog
}

#[test]
fn the_longest_matching_prefix_wins_in_any_order() {
    let mut catalog = catalog();
    for (name, prefix) in [("a", "/x/"), ("b", "/x/y/"), ("c", "/")] {
        let added = catalog.add_route("h.example", route(name, prefix, "portal", 1));
        assert_eq!(added, Ok(()));
    }
    let found = |path: &str| {
        let route = catalog.route("h.example", path).expect("a route");
        route.name.to_string()
    };
    assert_eq!(found("/x/y/z"), "b");
    assert_eq!(found("/x/z"), "a");
    assert_eq!(found("/x"), "c");
    assert!(catalog.route("other.example", "/x/").is_none());
}

#[test]
fn a_key_identifies_its_account_and_is_not_printed() {
    let mut catalog = catalog();
    let key = KeyDigest::from_key("plain");
    assert_eq!(catalog.add_account(account("kaje80"), [key]), Ok(()));
    let account = catalog
        .account_by_key(&KeyDigest::from_key("plain"))
        .expect("an account");
    assert_eq!(account.name.as_str(), "kaje80");
    assert!(
        catalog
            .account_by_key(&KeyDigest::from_key("other"))
            .is_none()
    );
    assert_eq!(format!("{key:?}"), "KeyDigest(hidden)");
    assert!(!format!("{catalog:?}").contains("plain"));
}

#[test]
fn inconsistent_elements_are_rejected() {
    let mut catalog = catalog();
    let unknown = catalog.add_route("h", route("a", "/", "yard", 1));
    assert!(matches!(unknown, Err(Error::UnknownService { .. })));
    let weightless = catalog.add_route("h", route("a", "/", "portal", 0));
    assert!(matches!(weightless, Err(Error::NoWeightedService { .. })));
    let key = KeyDigest::from_key("plain");
    assert_eq!(catalog.add_account(account("one"), [key]), Ok(()));
    let shared = catalog.add_account(account("two"), [key]);
    assert!(matches!(shared, Err(Error::SharedKey { .. })));
}

/// Guards against a key that is charged to one of two accounts, whichever was added last.
#[test]
fn a_shared_key_identifies_no_account_and_the_other_keys_stay_valid() {
    let mut catalog = catalog();
    let key = |text: &str| KeyDigest::from_key(text);
    assert_eq!(
        catalog.add_account(account("one"), [key("both"), key("first")]),
        Ok(())
    );
    let shared = catalog.add_account(account("two"), [key("both"), key("second")]);
    assert!(matches!(shared, Err(Error::SharedKey { .. })));
    assert!(
        catalog
            .add_account(account("three"), [key("both")])
            .is_err()
    );
    let name = |text: &str| {
        let account = catalog.account_by_key(&key(text));
        account.map(|account| account.name.to_string())
    };
    assert_eq!(name("both"), None);
    assert_eq!(name("first").as_deref(), Some("one"));
    assert_eq!(name("second").as_deref(), Some("two"));
}

/// Guards against requests of a route that can't be read being run by a route with a shorter prefix.
#[test]
fn the_place_of_a_route_that_cannot_be_read_precedes_shorter_prefixes() {
    let mut catalog = catalog();
    for (name, prefix) in [("a", "/x/"), ("b", "/x/y/z/"), ("c", "/w/")] {
        let added = catalog.add_route("h.example", route(name, prefix, "portal", 1));
        assert_eq!(added, Ok(()));
    }
    catalog.hold_route("h.example", "/x/y/");
    catalog.hold_route("h.example", "/w/");
    let found = |host: &str, path: &str| {
        let route = catalog.route(host, path);
        route.map(|route| (route.name.to_string(), route.timeout == Some(Span::ZERO)))
    };
    let held = Some((Route::HELD.to_owned(), true));
    assert_eq!(found("h.example", "/x/y/1"), held);
    assert_eq!(found("h.example", "/w/1"), held);
    assert_eq!(found("h.example", "/x/1"), Some(("a".to_owned(), false)));
    assert_eq!(
        found("h.example", "/x/y/z/1"),
        Some(("b".to_owned(), false))
    );
    assert_eq!(found("h.example", "/"), None);
    assert_eq!(found("other.example", "/x/y/1"), None);
    catalog.hold_hosts();
    let found = |host: &str| catalog.route(host, "/").map(|route| route.name.to_string());
    assert_eq!(found("other.example").as_deref(), Some(Route::HELD));
    assert_eq!(found("h.example"), None);
}
