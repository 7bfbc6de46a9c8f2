//! Parsing of the limits that targets announce, and the gateway's state of them.

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

fn announced(values: &[&str]) -> AnnouncedLimit {
    announced_limit(values.iter().map(|value| value.as_bytes()))
}

/// Records a successful answer to a request sent at `sent_ms`.
fn answer(limits: &mut Limits, of: &TargetEntry, values: &[&str], sent_ms: u64) -> LimitChange {
    limits.observe(of, announced(values), true, at(sent_ms), at(sent_ms + 10))
}

#[test]
fn limits_are_parsed_and_invalid_values_are_detected() {
    assert_eq!(announced(&[]), AnnouncedLimit::Absent);
    assert_eq!(announced(&["1"]), AnnouncedLimit::PerS(1.0));
    assert_eq!(announced(&[" 0.5 "]), AnnouncedLimit::PerS(0.5));
    assert_eq!(announced(&["4", "x", "2.5"]), AnnouncedLimit::PerS(2.5));
    assert_eq!(announced(&["1e-9"]), AnnouncedLimit::PerS(MIN_LIMIT_PER_S));

    for bad in ["", "none", "-1", "0", "-0", "NaN", "inf", "-inf", "1e300", "1,5", "1 2"] {
        assert_eq!(announced(&[bad]), AnnouncedLimit::Unreadable, "{bad}");
    }
}

#[test]
fn an_answer_without_a_limit_ends_it_only_if_its_request_was_sent_after_the_limit_was_learned() {
    let target = start(1);
    let mut limits = Limits::default();
    assert_eq!(answer(&mut limits, &target, &["2"], 100), LimitChange::Set(2.0));
    assert_eq!(answer(&mut limits, &target, &["2"], 150), LimitChange::None);
    assert_eq!(answer(&mut limits, &target, &["3"], 200), LimitChange::Set(3.0));
    // The request was sent before the limit was learned, and another answer overtook this one.
    assert_eq!(
        limits.observe(&target, AnnouncedLimit::Absent, true, at(205), at(400)),
        LimitChange::None
    );
    // A failed answer does not end a limit.
    assert_eq!(
        limits.observe(&target, AnnouncedLimit::Absent, false, at(300), at(400)),
        LimitChange::None
    );
    assert_eq!(limits.view(&target).map(|l| (l.per_s, l.since)), Some((3.0, at(110))));

    assert_eq!(answer(&mut limits, &target, &[], 300), LimitChange::Ended);
    assert_eq!(limits.view(&target), None);
}

#[test]
fn an_invalid_limit_changes_nothing_and_is_reported_once() {
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
fn a_limit_belongs_to_one_start_and_is_removed_with_its_target() {
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
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(47),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_header_values_give_a_limit_within_bounds_or_none(
        values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..12), 0..4),
    ) {
        match announced_limit(values.iter().map(Vec::as_slice)) {
            AnnouncedLimit::PerS(per_s) => {
                prop_assert!((MIN_LIMIT_PER_S..=MAX_LIMIT_PER_S).contains(&per_s))
            }
            AnnouncedLimit::Absent => prop_assert!(values.is_empty()),
            AnnouncedLimit::Unreadable => prop_assert!(!values.is_empty()),
        }
    }
}
