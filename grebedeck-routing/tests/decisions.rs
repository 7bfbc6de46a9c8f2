//! Retries, health, admission, homes and choice.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_config::Route;
use grebedeck_core::random::SeededSource;
use grebedeck_core::{Outcome, Reason};
use grebedeck_routing::attempt::MAX_ATTEMPTS;
use grebedeck_routing::subset::{SubsetOptions, subset};
use grebedeck_routing::{
    Admission, AdmissionOptions, AllowedSince, AttemptEnd, AttemptTracker, Chooser, ChooserOptions,
    Health, HealthOptions, Key, LoadReport, Next, RequestTraits, RetryBudget, RetryOptions,
    find_home,
};

fn routes(count: usize) -> Vec<Arc<Route>> {
    let route = |n: usize| Route {
        name: format!("target-{n:03}"),
        hall: format!("hall-{}", n % 3),
        agent_address: ([127, 0, 0, 1], 1 + n as u16).into(),
        group: None,
        ranks: Vec::new(),
        checks_orders: false,
    };

    (0..count).map(route).map(Arc::new).collect()
}

fn traits(repeatable: bool, keyed: bool) -> RequestTraits {
    RequestTraits { repeatable, keyed }
}

#[test]
fn only_what_certainly_did_not_run_is_retried_if_it_may_not_be_repeated() {
    let once = || AttemptTracker::new(traits(false, false));

    assert_eq!(once().record_end(AttemptEnd::NotSent, || true), Next::Retry);
    assert_eq!(once().record_end(AttemptEnd::Refused(Reason::TargetBusy), || true), Next::Retry);
    assert_eq!(once().record_end(AttemptEnd::Struck, || true), Next::Retry);
    assert_eq!(once().record_end(AttemptEnd::Lost, || true), Next::Strike);

    for end in [AttemptEnd::NotStruck, AttemptEnd::TargetFailed] {
        let next = once().record_end(end, || true);
        assert!(matches!(next, Next::Answer(Outcome::Unknown(_))), "{next:?}");
    }
}

#[test]
fn not_run_is_never_told_after_an_attempt_that_may_have_run() {
    let mut tracker = AttemptTracker::new(traits(true, false));

    assert_eq!(tracker.record_end(AttemptEnd::Lost, || true), Next::Retry);
    let next = tracker.record_end(AttemptEnd::NotSent, || false);

    assert_eq!(next, Next::Answer(Outcome::Unknown(Reason::Unreachable)));
}

#[test]
fn a_keyed_request_whose_home_said_nothing_of_the_key_is_unknown() {
    for end in
        [AttemptEnd::NotSent, AttemptEnd::Struck, AttemptEnd::Refused(Reason::StaleIncarnation)]
    {
        let next = AttemptTracker::new(traits(false, true)).record_end(end, || false);
        assert!(matches!(next, Next::Answer(Outcome::Unknown(_))), "{next:?}");
    }

    let busy = AttemptEnd::Refused(Reason::TargetBusy);
    let next = AttemptTracker::new(traits(false, true)).record_end(busy, || false);
    assert_eq!(next, Next::Answer(Outcome::NotRun(Reason::TargetBusy)));
}

#[test]
fn attempts_end_at_their_limit_and_the_budget_is_asked_only_where_it_matters() {
    let mut tracker = AttemptTracker::new(traits(true, false));
    let mut asked = 0;

    for _ in 0..10 {
        tracker.record_end(AttemptEnd::NotSent, || {
            asked += 1;
            true
        });
    }

    assert_eq!(asked, MAX_ATTEMPTS - 1);
}

#[test]
fn retries_stay_at_a_tenth_of_first_attempts() {
    let mut budget = RetryBudget::new(RetryOptions::default());
    let taken = (0..10_000)
        .filter(|_| {
            budget.deposit();
            budget.try_withdraw()
        })
        .count();

    assert!(taken <= 1_021, "{taken}");
    assert!(taken >= 1_000, "{taken}");
}

#[test]
fn a_failing_target_is_put_aside_for_longer_each_time_and_comes_back_by_trials() {
    let options = HealthOptions::default();
    let mut health = Health::default();
    let at = Duration::from_secs;

    assert!(!health.record_failure(at(0), &options));
    assert!(health.record_failure(at(0), &options));
    assert!(!health.is_usable(at(0)));
    assert!(health.is_usable(at(1)));

    health.record_sent();
    assert!(!health.is_usable(at(1)), "one trial at a time");
    assert!(health.record_failure(at(1), &options), "a failed trial puts it aside again");
    assert!(!health.is_usable(at(1) + options.first_ejection));

    health.record_success(&options);
    assert!(health.is_usable(at(3)));
    assert!(health.weight(&options) < 0.2, "{}", health.weight(&options));

    for _ in 0..options.successes_to_restore {
        health.record_success(&options);
    }

    assert_eq!(health.weight(&options), 1.0);
}

#[test]
fn a_loud_organisation_is_held_to_its_share_and_others_get_in() {
    let options = AdmissionOptions { max_in_flight: 100, ..AdmissionOptions::default() };
    let mut admission = Admission::new(options);
    let loud = (0..1_000).filter(|_| admission.enter("loud", false).is_ok()).count();
    assert_eq!(loud, 100, "alone it may use everything");

    for _ in 0..25 {
        admission.leave("loud");
    }

    let quiet = (0..20).filter(|_| admission.enter("quiet", false).is_ok()).count();
    assert_eq!(quiet, 20);
    assert!(admission.enter("loud", false).is_err(), "over its share while others wait");

    for _ in 0..75 {
        admission.leave("loud");
    }

    for _ in 0..20 {
        admission.leave("quiet");
    }

    assert_eq!((admission.in_flight(), admission.active_organisations()), (0, 0));
}

#[test]
fn while_targets_are_full_only_the_loud_are_refused() {
    let mut admission = Admission::new(AdmissionOptions::default());

    for _ in 0..90 {
        assert!(admission.enter("loud", true).is_ok(), "alone it may use everything");
    }

    assert!(admission.enter("quiet", true).is_ok());
    assert!(admission.enter("loud", true).is_err());
    assert!(admission.enter("loud", false).is_ok(), "a free place is anybody's");
    assert!((0..10).all(|_| admission.enter("quiet", true).is_ok()), "{admission:?}");
}

#[test]
fn a_home_stays_when_other_targets_come_and_is_in_doubt_where_it_moved() {
    let margin = Duration::from_secs(20);
    let (old, new) = (routes(10), routes(11));
    let lists = |issued: u64, n: u128| {
        let key = Key {
            digest: n.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c),
            issued_unix_ms: Some(issued),
        };
        let list = [
            AllowedSince { from_unix_ms: 1_000_000, allowed: &new },
            AllowedSince { from_unix_ms: 10, allowed: &old },
        ];

        find_home(list.into_iter(), &key, margin).map(|r| r.name.clone())
    };

    // Issued long after the change, every key has a home; about one in eleven has moved.
    assert!((0..500).all(|n| lists(1_100_000, n).is_ok()));
    let doubtful = (0..500).filter(|n| lists(1_010_000, *n).is_err()).count();
    assert!((20..=80).contains(&doubtful), "{doubtful}");
    // Before the oldest list, nothing is known.
    assert!((0..500).all(|n| lists(5, n).is_err()));
}

#[test]
fn choice_avoids_loaded_leaving_tried_and_ejected_targets() {
    let all = routes(4);
    let mut chooser = Chooser::new("hall-0", ChooserOptions { draws: 16, ..Default::default() });
    let mut random = SeededSource::new(4);
    let now = Duration::from_secs(1);
    let busy = LoadReport { in_flight: 60, waiting: 0, slots: 64 };

    chooser.record_report("target-000", busy, now);
    chooser.set_leaving("target-001", now);

    for _ in 0..2 {
        chooser.record_sent("target-002");
        chooser.record_end("target-002", Some(false), now);
    }

    let mut pick = |avoid: &[String]| {
        chooser.choose(&all, avoid, now, &mut random).map(|r| r.name.clone()).unwrap()
    };
    assert!((0..50).all(|_| pick(&[]) == "target-003"));
    assert!((0..50).all(|_| pick(&["target-003".to_string()]) == "target-000"));
}

#[test]
fn when_nearly_all_look_bad_all_are_used() {
    let all = routes(10);
    let mut chooser = Chooser::new("hall-0", ChooserOptions::default());
    let mut random = SeededSource::new(4);
    let now = Duration::from_secs(1);

    for route in &all {
        for _ in 0..2 {
            chooser.record_sent(&route.name);
            chooser.record_end(&route.name, Some(false), now);
        }
    }

    let mut picked: HashMap<String, u32> = HashMap::new();

    for _ in 0..500 {
        let route = chooser.choose(&all, &[], now, &mut random).unwrap();
        *picked.entry(route.name.clone()).or_insert(0) += 1;
    }

    assert!(picked.len() >= 8, "{picked:?}");
}

#[test]
fn subsets_spread_entries_evenly_and_prefer_their_own_hall() {
    let all = routes(60);
    let mut used: HashMap<String, u32> = HashMap::new();

    for entry in 0..400 {
        let options = SubsetOptions { size: 12, in_other_halls: 6 };
        let part = subset(&all, &format!("entry-{entry}"), "hall-1", options);
        assert_eq!(part.len(), 12);
        assert_eq!(part.iter().filter(|r| r.hall == "hall-1").count(), 6);
        part.iter().for_each(|r| *used.entry(r.name.clone()).or_insert(0) += 1);
    }

    assert!(used.values().all(|n| *n > 25), "{used:?}");
}
