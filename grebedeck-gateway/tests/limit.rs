//! What targets name as their limits, and what a gateway makes of it.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::limit::{
    AnnouncedLimit, LimitChange, MAX_LIMIT_PER_S, MIN_LIMIT_PER_S, announced_limit,
};
use grebedeck_gateway::{Limits, TargetEntry, TargetState};
use proptest::prelude::*;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn start(born_ms: u64) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        id: "t0".to_string(),
        service: "plain".to_string(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: "north".to_string(),
        slots: 4,
        state: TargetState::Serving,
        born_ms: Some(born_ms),
        cold: Duration::ZERO,
    })
}

fn named(values: &[&str]) -> AnnouncedLimit {
    announced_limit(values.iter().map(|value| value.as_bytes()))
}

/// An answer as the target makes it usually, to a request sent at this time.
fn answer(limits: &mut Limits, of: &TargetEntry, values: &[&str], sent_ms: u64) -> LimitChange {
    limits.observe(of, named(values), true, at(sent_ms), at(sent_ms + 10))
}

#[test]
fn limits_are_read_and_what_is_none_is_told_apart() {
    assert_eq!(named(&[]), AnnouncedLimit::Absent);
    assert_eq!(named(&["1"]), AnnouncedLimit::PerS(1.0));
    assert_eq!(named(&[" 0.5 "]), AnnouncedLimit::PerS(0.5));
    assert_eq!(named(&["4", "x", "2.5"]), AnnouncedLimit::PerS(2.5));
    assert_eq!(named(&["1e-9"]), AnnouncedLimit::PerS(MIN_LIMIT_PER_S));

    for bad in ["", "none", "-1", "0", "-0", "NaN", "inf", "-inf", "1e300", "1,5", "1 2"] {
        assert_eq!(named(&[bad]), AnnouncedLimit::Unreadable, "{bad}");
    }
}

#[test]
fn an_answer_without_a_limit_ends_it_only_if_it_was_asked_for_afterwards() {
    let target = start(1);
    let mut limits = Limits::default();
    assert_eq!(answer(&mut limits, &target, &["2"], 100), LimitChange::Set(2.0));
    assert_eq!(answer(&mut limits, &target, &["2"], 150), LimitChange::None);
    assert_eq!(answer(&mut limits, &target, &["3"], 200), LimitChange::Set(3.0));
    // It was sent before the limit was heard of, and its answer has been overtaken.
    assert_eq!(
        limits.observe(&target, AnnouncedLimit::Absent, true, at(205), at(400)),
        LimitChange::None
    );
    // A failure says nothing of it.
    assert_eq!(
        limits.observe(&target, AnnouncedLimit::Absent, false, at(300), at(400)),
        LimitChange::None
    );
    assert_eq!(limits.view(&target).map(|l| (l.per_s, l.since)), Some((3.0, at(110))));

    assert_eq!(answer(&mut limits, &target, &[], 300), LimitChange::Ended);
    assert_eq!(limits.view(&target), None);
}

#[test]
fn a_value_that_is_no_limit_changes_nothing_and_is_reported_once() {
    let target = start(1);
    let mut limits = Limits::default();
    assert_eq!(answer(&mut limits, &target, &["-1"], 0), LimitChange::Unreadable);
    assert_eq!(answer(&mut limits, &target, &["NaN"], 10), LimitChange::None);
    assert_eq!(limits.view(&target), None);

    assert_eq!(answer(&mut limits, &target, &["2"], 20), LimitChange::Set(2.0));
    assert_eq!(answer(&mut limits, &target, &["0"], 100), LimitChange::None);
    assert_eq!(limits.view(&target).map(|l| l.per_s), Some(2.0));
}

#[test]
fn a_limit_is_that_of_one_start_and_goes_with_its_target() {
    let (before, next) = (start(1), start(2));
    let mut limits = Limits::default();
    answer(&mut limits, &before, &["2"], 0);
    assert!(limits.is_limited(&before));
    assert!(!limits.is_limited(&next));
    assert_eq!(limits.view(&next), None);

    assert_eq!(answer(&mut limits, &next, &["2"], 50), LimitChange::Set(2.0));
    assert_eq!(limits.view(&next).map(|l| l.sent), Some(0));

    limits.retain(|_| false);
    assert_eq!(limits.view(&next), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(47), ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_named_is_a_limit_within_bounds_or_none(values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..12), 0..4)) {
        match announced_limit(values.iter().map(Vec::as_slice)) {
            AnnouncedLimit::PerS(per_s) => prop_assert!((MIN_LIMIT_PER_S..=MAX_LIMIT_PER_S).contains(&per_s)),
            AnnouncedLimit::Absent => prop_assert!(values.is_empty()),
            AnnouncedLimit::Unreadable => prop_assert!(!values.is_empty()),
        }
    }
}
