//! Routes and organisations of requests.

use std::time::Duration;

use grebedeck_core::random::SeededSource;
use grebedeck_gateway::routes::draw_service;
use grebedeck_gateway::{
    CallerLimits, Denied, Kind, Organisation, RouteRule, RouteTable, Site, Weighted,
};

fn rule(name: &str, path_prefix: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "Api.Example".into(),
        path_prefix: path_prefix.into(),
        kind: Kind::Safe,
        time_limit: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause_limit: None,
        priority: 3,
        services: vec![Weighted { service: "plain".into(), weight: 1 }],
        max_targets: 2,
        is_public: false,
    }
}

fn site() -> Site {
    let public = RouteRule { is_public: true, ..rule("public", "/a/open/") };
    let organisation =
        Organisation { name: "contoso".into(), keys: vec!["k1".into()], priority: Some(1) };

    Site {
        version: 7,
        routes: vec![rule("short", "/a/"), rule("long", "/a/b/"), public],
        services: Vec::new(),
        organisations: vec![organisation],
        limits: CallerLimits::default(),
    }
}

#[test]
fn the_longest_prefix_wins() {
    let table = RouteTable::new(&site());
    let name =
        |path: &str| table.admit("api.example:8080", path, Some("k1")).map(|a| a.rule.name.clone());

    assert_eq!(name("/a/x"), Ok("short".into()));
    assert_eq!(name("/a/b/c"), Ok("long".into()));
    assert_eq!(name("/a/b"), Ok("short".into()));
    assert_eq!(name("/a"), Err(Denied::NoRoute));
    assert_eq!(name("/"), Err(Denied::NoRoute));
    assert!(matches!(table.admit("other.example", "/a/", Some("k1")), Err(Denied::NoRoute)));
}

#[test]
fn a_key_names_its_organisation() {
    let table = RouteTable::new(&site());
    let admitted = table.admit("api.example", "/a/", Some("k1")).expect("a known key");

    assert_eq!(admitted.organisation.as_deref(), Some("contoso"));
    assert_eq!(admitted.priority, 1);
    assert!(matches!(table.admit("api.example", "/a/", Some("k2")), Err(Denied::UnknownKey)));
    assert!(matches!(table.admit("api.example", "/a/", None), Err(Denied::UnknownKey)));
}

#[test]
fn public_routes_and_sites_without_organisations_need_no_key() {
    let public = RouteTable::new(&site()).admit("api.example", "/a/open/x", None);
    assert_eq!(public.expect("no key is needed").organisation, None);

    let open = Site { organisations: Vec::new(), ..site() };
    assert!(RouteTable::new(&open).admit("api.example", "/a/", None).is_ok());
}

#[test]
fn without_a_configuration_nothing_is_denied_for_good() {
    let denied = RouteTable::default().admit("api.example", "/a/", None).map(|_| ());

    assert_eq!(denied, Err(Denied::NoConfiguration));
    assert_eq!(Denied::NoConfiguration.status(), 503);
}

#[test]
fn services_are_drawn_by_weight() {
    let weighted = |service: &str, weight| Weighted { service: service.into(), weight };
    let split = RouteRule {
        services: vec![weighted("a", 90), weighted("b", 10), weighted("c", 0)],
        ..rule("split", "/")
    };
    let mut random = SeededSource::new(1);
    let drawn: Vec<&str> = (0..1000).filter_map(|_| draw_service(&split, &mut random)).collect();
    let count = |service: &str| drawn.iter().filter(|s| **s == service).count();

    assert!((850..950).contains(&count("a")), "{}", count("a"));
    assert_eq!(count("a") + count("b"), 1000);
}
