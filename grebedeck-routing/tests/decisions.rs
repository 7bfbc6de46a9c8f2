//! Attempts, retry budget, health, admission, key homes, choice of target and subsets.

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
fn a_non_repeatable_request_is_retried_only_if_it_certainly_did_not_run() {
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
fn not_run_is_never_reported_after_an_attempt_that_may_have_run() {
    let mut tracker = AttemptTracker::new(traits(true, false));

    assert_eq!(tracker.record_end(AttemptEnd::Lost, || true), Next::Retry);
    let next = tracker.record_end(AttemptEnd::NotSent, || false);

    assert_eq!(next, Next::Answer(Outcome::Unknown(Reason::Unreachable)));
}

#[test]
fn a_keyed_request_is_unknown_if_its_home_did_not_check_the_key() {
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
fn attempts_are_limited_and_the_budget_is_checked_only_if_a_retry_is_possible() {
    let mut tracker = AttemptTracker::new(traits(true, false));
    let mut checks = 0;

    for _ in 0..10 {
        tracker.record_end(AttemptEnd::NotSent, || {
            checks += 1;
            true
        });
    }

    assert_eq!(checks, MAX_ATTEMPTS - 1);
}

#[test]
fn retries_stay_at_a_tenth_of_first_attempts() {
    let mut budget = RetryBudget::new(RetryOptions::default());
    let retries = (0..10_000)
        .filter(|_| {
            budget.deposit();
            budget.try_withdraw()
        })
        .count();

    assert!(retries <= 1_021, "{retries}");
    assert!(retries >= 1_000, "{retries}");
}

#[test]
fn restarts_of_an_entry_do_not_renew_its_saved_up_retries() {
    const STARTS: usize = 10;
    const REQUESTS: usize = 50;
    let options = RetryOptions::default();
    let retries_of_start = |_| {
        let mut budget = RetryBudget::new(options.clone());
        (0..REQUESTS)
            .filter(|_| {
                budget.deposit();
                budget.try_withdraw()
            })
            .count()
    };
    let retries: usize = (0..STARTS).map(retries_of_start).sum();
    let allowed = (STARTS * REQUESTS) as f64 * options.tokens_per_request + options.max_tokens;

    assert!(retries as f64 <= allowed, "{retries} of {allowed}");
}

#[test]
fn a_failing_target_is_ejected_for_longer_each_time_and_recovers_by_probes() {
    let options = HealthOptions::default();
    let mut health = Health::default();
    let at = Duration::from_secs;

    assert!(!health.record_failure(at(0), &options));
    assert!(health.record_failure(at(0), &options));
    assert!(!health.is_usable(at(0)));
    assert!(health.is_usable(at(1)));

    health.record_sent();
    assert!(!health.is_usable(at(1)), "one probe at a time");
    assert!(health.record_failure(at(1), &options), "a failed probe ejects the target again");
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
fn a_noisy_organisation_is_limited_to_its_share_and_others_are_admitted() {
    let options = AdmissionOptions { max_in_flight: 100, ..AdmissionOptions::default() };
    let mut admission = Admission::new(options);
    let noisy = (0..1_000).filter(|_| admission.enter("noisy", false).is_ok()).count();
    assert_eq!(noisy, 100, "alone it may use everything");

    for _ in 0..25 {
        admission.leave("noisy");
    }

    let quiet = (0..20).filter(|_| admission.enter("quiet", false).is_ok()).count();
    assert_eq!(quiet, 20);
    assert!(
        admission.enter("noisy", false).is_err(),
        "over its share while another organisation is active"
    );

    for _ in 0..75 {
        admission.leave("noisy");
    }

    for _ in 0..20 {
        admission.leave("quiet");
    }

    assert_eq!((admission.in_flight(), admission.active_organisations()), (0, 0));
}

#[test]
fn while_targets_are_full_only_noisy_organisations_are_refused() {
    let mut admission = Admission::new(AdmissionOptions::default());

    for _ in 0..90 {
        assert!(admission.enter("noisy", true).is_ok(), "alone it may use everything");
    }

    assert!(admission.enter("quiet", true).is_ok());
    assert!(admission.enter("noisy", true).is_err());
    assert!(admission.enter("noisy", false).is_ok(), "any organisation may take a free slot");
    assert!((0..10).all(|_| admission.enter("quiet", true).is_ok()), "{admission:?}");
}

#[test]
fn a_home_stays_when_targets_are_added_and_is_in_doubt_if_it_moved() {
    let margin = Duration::from_secs(20);
    let (old, new) = (routes(10), routes(11));
    let home_of = |issued: u64, n: u128| {
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

    // Every key issued long after the change has a certain home. Of the keys issued within the
    // margin, about one in eleven has moved.
    assert!((0..500).all(|n| home_of(1_100_000, n).is_ok()));
    let in_doubt = (0..500).filter(|n| home_of(1_010_000, *n).is_err()).count();
    assert!((20..=80).contains(&in_doubt), "{in_doubt}");
    // No home is certain for a key that is older than the oldest list.
    assert!((0..500).all(|n| home_of(5, n).is_err()));
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

    let mut choose = |avoid: &[String]| {
        chooser.choose(&all, avoid, now, &mut random).map(|r| r.name.clone()).unwrap()
    };
    assert!((0..50).all(|_| choose(&[]) == "target-003"));
    assert!((0..50).all(|_| choose(&["target-003".to_string()]) == "target-000"));
}

#[test]
fn all_targets_are_used_when_nearly_all_look_unhealthy() {
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

    let mut chosen: HashMap<String, u32> = HashMap::new();

    for _ in 0..500 {
        let route = chooser.choose(&all, &[], now, &mut random).unwrap();
        *chosen.entry(route.name.clone()).or_insert(0) += 1;
    }

    assert!(chosen.len() >= 8, "{chosen:?}");
}

#[test]
fn subsets_spread_entries_evenly_and_split_between_halls() {
    let all = routes(60);
    let mut used: HashMap<String, u32> = HashMap::new();

    for entry in 0..400 {
        let options = SubsetOptions { size: 12, in_other_halls: 6 };
        let targets = subset(&all, &format!("entry-{entry}"), "hall-1", options);
        assert_eq!(targets.len(), 12);
        assert_eq!(targets.iter().filter(|r| r.hall == "hall-1").count(), 6);
        targets.iter().for_each(|r| *used.entry(r.name.clone()).or_insert(0) += 1);
    }

    assert!(used.values().all(|n| *n > 25), "{used:?}");
}
