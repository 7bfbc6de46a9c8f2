//! The part of the retry budget that a gateway takes, by what it knows of the others.

#[allow(dead_code, reason = "other tests use the rest")]
mod unreachable;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use grebedeck::gateway::{Gateway, Tasks};
use unreachable::{NAMES, settings};

fn allowance(gateway: &Gateway) -> f64 {
    gateway.record_first_attempt("notes");

    gateway.dump()["retry_budgets"][0]["allowance"].as_f64().expect("a number")
}

#[test]
fn a_gateway_that_has_not_read_how_many_there_are_takes_no_allowance() {
    let gateway = Gateway::new(settings(), NAMES, Tasks::default());
    assert_eq!(allowance(&gateway), 0.0);

    let mut listed: BTreeSet<SocketAddr> =
        (1..40).map(|n| format!("10.0.0.{n}:1").parse().expect("an address")).collect();
    gateway.set_peers(listed.clone());
    assert_eq!(allowance(&gateway), 0.0, "its row is not in the list");

    let gateway = Gateway::new(settings(), NAMES, Tasks::default());
    gateway.set_peers(BTreeSet::new());
    assert_eq!(allowance(&gateway), settings().retry.allowance / 12.0, "the site is small");

    let gateway = Gateway::new(settings(), NAMES, Tasks::default());
    listed.insert(settings().peer_address);
    gateway.set_peers(listed);
    assert_eq!(allowance(&gateway), settings().retry.allowance / 40.0);
}
