//! Lookup of a request's route, organisation and urgency.

use std::time::Duration;

use grebedeck_core::random::SeededSource;
use grebedeck_gateway::routes::draw_service;
use grebedeck_gateway::{
    CallerLimits, Denied, Organisation, RequestKind, RouteRule, RouteTable, Site, WeightedService,
};

fn rule(name: &str, path_prefix: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "Api.Example".into(),
        path_prefix: path_prefix.into(),
        kind: RequestKind::Safe,
        time_limit: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause_limit: None,
        priority: 3,
        services: vec![WeightedService { service: "plain".into(), weight: 1 }],
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
fn the_longest_matching_prefix_is_used() {
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
fn a_key_identifies_its_organisation() {
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
fn without_a_configuration_requests_are_answered_with_503() {
    let denied = RouteTable::default().admit("api.example", "/a/", None).map(|_| ());

    assert_eq!(denied, Err(Denied::NoConfiguration));
    assert_eq!(Denied::NoConfiguration.status(), 503);
}

#[test]
fn services_are_drawn_by_weight() {
    let weighted = |service: &str, weight| WeightedService { service: service.into(), weight };
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

/// Requests are ranked where a service's routes differ in priority: by the organisation's priority,
/// then by the route's. Organisations' priorities alone rank no requests.
#[test]
fn urgency_levels_need_routes_of_different_priority() {
    let table = RouteTable::new(&site());
    assert!(!table.has_urgency_levels("plain"), "its routes have one priority");
    assert!(!table.has_urgency_levels("other"));

    let with_priorities = |priorities: &[Option<u8>], routes: Vec<RouteRule>| {
        let organisations = priorities.iter().enumerate().map(|(at, priority)| Organisation {
            name: format!("o{at}"),
            keys: vec![format!("k{at}")],
            priority: *priority,
        });
        RouteTable::new(&Site { routes, organisations: organisations.collect(), ..site() })
    };
    let urgent = RouteRule { priority: 0, ..rule("urgent", "/u/") };
    assert!(
        !with_priorities(&[Some(1), Some(1)], vec![rule("a", "/a/")]).has_urgency_levels("plain")
    );
    assert!(!with_priorities(&[Some(1), None], vec![rule("a", "/a/")]).has_urgency_levels("plain"));

    let table = with_priorities(&[Some(1), Some(1)], vec![rule("a", "/a/"), urgent]);
    assert!(
        table.has_urgency_levels("plain"),
        "all organisations have one priority, but the routes differ"
    );
    let rank = |path: &str| {
        let admitted = table.admit("api.example", path, Some("k0")).expect("a known key");
        table.rank("plain", admitted.urgency())
    };
    assert_eq!((rank("/u/"), rank("/a/")), (Some(0), Some(1)));
    assert!(table.has_less_urgent("plain", (1, 0)) && !table.has_less_urgent("plain", (1, 3)));
}

#[test]
fn the_longest_objective_is_that_of_routes_of_the_same_or_lower_urgency() {
    let objective_ms = |ms: u64| Duration::from_millis(ms);
    let urgent = RouteRule { priority: 0, objective: objective_ms(900), ..rule("a", "/a/") };
    let later = RouteRule { priority: 2, objective: objective_ms(500), ..rule("b", "/b/") };
    let table = RouteTable::new(&Site { routes: vec![urgent, later], ..site() });

    assert_eq!(table.longest_objective("plain", 0), Some(objective_ms(900)));
    assert_eq!(table.longest_objective("plain", 1), Some(objective_ms(500)));
    assert_eq!(table.longest_objective("plain", 3), None);
}
