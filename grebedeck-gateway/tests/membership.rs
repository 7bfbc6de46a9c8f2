//! From when a gateway takes its share of a sum that is divided among all gateways.

use std::time::Duration;

use grebedeck_gateway::Membership;

const S: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn a_gateway_that_starts_again_is_known_at_once() {
    let mut membership = Membership::default();
    assert!(!membership.is_known(S(1)), "no list was read");

    assert!(!membership.has_list());

    membership.apply_list(true, S(1));
    assert!(membership.is_known(S(1)));
    assert!(membership.has_list());
    membership.apply_list(false, S(2));
    assert!(!membership.is_new(), "an earlier start published its row");
}

#[test]
fn a_new_gateway_takes_no_share_until_all_others_have_read_its_row() {
    let mut membership = Membership::default();
    membership.apply_list(false, S(1));
    assert!(membership.is_new());
    membership.apply_list(true, S(2));
    membership.apply_list(true, S(12));
    assert!(!membership.is_known(S(16)));
    assert!(membership.is_known(S(17)));

    membership.apply_list(false, S(20));
    assert!(!membership.is_known(S(21)), "its row is gone");
    membership.apply_list(true, S(22));
    assert!(!membership.is_known(S(36)));
    assert!(membership.is_known(S(37)));
}
