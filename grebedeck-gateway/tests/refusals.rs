//! Refusing targets: requested delays, backoff, and probes that end them.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::random::SeededSource;
use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::delay::{
    MAX_RETRY_AFTER, UNREADABLE_RETRY_AFTER, parse_retry_after, requested_retry_after,
};
use grebedeck_gateway::refusals::{RefusalEffect, Refusals};
use grebedeck_gateway::wire::{TargetLoad, says_leaving};
use grebedeck_gateway::{TargetEntry, TargetState};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn at(ms: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(ms)
}

fn target(number: usize) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        id: format!("t{number}"),
        service: "plain".to_string(),
        address: format!("10.0.0.{}:80", number + 1).parse().expect("an address"),
        hall: "north".to_string(),
        slots: 4,
        state: TargetState::Serving,
        born_ms: Some(1),
        cold: Duration::ZERO,
    })
}

fn targets(count: usize) -> Arc<[Arc<TargetEntry>]> {
    (0..count).map(target).collect()
}

/// Ids of the targets that a request may be sent to.
fn eligible_ids(
    refusals: &Refusals,
    all: &[Arc<TargetEntry>],
    is_first: bool,
    ms: u64,
) -> Vec<String> {
    let not_delayed = refusals.without_retry_after(&all.to_vec().into(), at(ms));
    let left = refusals.eligible(not_delayed.iter().collect(), is_first, at(ms));

    left.iter().map(|t| t.id.clone()).collect()
}

#[test]
fn the_longest_requested_delay_applies() {
    let all = targets(2);
    let mut refusals = Refusals::default();
    assert_eq!(
        refusals.record_refusal(&all[0], Some(MS * 3000), at(0)),
        RefusalEffect::RetryAfterRequested
    );
    assert_eq!(refusals.record_refusal(&all[0], Some(MS * 500), at(100)), RefusalEffect::None);
    assert_eq!(refusals.record_refusal(&all[0], None, at(200)), RefusalEffect::None);
    // A request that was sent before the delay began is accepted.
    assert!(!refusals.record_accepted(&all[0], at(300)));

    assert_eq!(eligible_ids(&refusals, &all, true, 2999), ["t1"]);
    assert_eq!(refusals.retry_after("t0", at(2000)), MS * 1000);
    assert_eq!(refusals.min_retry_after(&all, at(2000)), None);
    assert_eq!(refusals.min_retry_after(&all[..1], at(2000)), Some(MS * 1000));
    assert_eq!(eligible_ids(&refusals, &all, true, 3000), ["t0", "t1"]);
}

#[test]
fn after_its_delay_a_target_gets_single_probes_until_it_accepts_one() {
    let all = targets(2);
    let mut refusals = Refusals::default();
    refusals.record_refusal(&all[0], Some(MS * 1000), at(0));
    assert!(refusals.record_sent(&all[0], at(1000)), "this is a probe");
    assert_eq!(eligible_ids(&refusals, &all, true, 1001), ["t1"], "one probe at a time");
    // A probe whose caller left has no outcome.
    assert_eq!(eligible_ids(&refusals, &all, true, 2000), ["t0", "t1"]);

    assert!(refusals.record_accepted(&all[0], at(2001)));
    assert!(!refusals.record_sent(&all[0], at(2002)));
    assert_eq!(eligible_ids(&refusals, &all, true, 2003), ["t0", "t1"]);
}

#[test]
fn a_probe_of_a_full_target_may_be_repeated_at_once() {
    let all = targets(2);
    let mut refusals = Refusals::default();
    refusals.record_refusal(&all[0], Some(MS * 1000), at(0));
    refusals.record_sent(&all[0], at(1000));
    refusals.record_full("t0");
    refusals.record_full("t1");
    assert_eq!(eligible_ids(&refusals, &all, true, 1001), ["t0", "t1"]);
    assert_eq!(
        eligible_ids(&refusals, &all, false, 1001),
        ["t1"],
        "it has not accepted a request yet"
    );
}

#[test]
fn backoff_doubles_and_requests_refused_together_count_once() {
    let all = targets(1);
    let mut refusals = Refusals::default();
    let mut now = 0;

    for pause_ms in [50, 100, 200, 400, 800, 1000, 1000] {
        assert_eq!(
            refusals.record_refusal(&all[0], None, at(now)),
            RefusalEffect::BackedOff(MS * pause_ms)
        );
        assert_eq!(refusals.record_refusal(&all[0], None, at(now + 1)), RefusalEffect::None);
        assert!(eligible_ids(&refusals, &all, true, now + u64::from(pause_ms) - 1).is_empty());
        now += u64::from(pause_ms);
        assert_eq!(eligible_ids(&refusals, &all, true, now), ["t0"]);
    }

    refusals.record_accepted(&all[0], at(now));
    assert_eq!(refusals.record_refusal(&all[0], None, at(now)), RefusalEffect::BackedOff(MS * 50));
}

#[test]
fn a_refused_request_is_no_probe_while_other_targets_accept_requests() {
    let all = targets(2);
    let mut refusals = Refusals::default();
    refusals.record_refusal(&all[0], None, at(0));
    assert_eq!(eligible_ids(&refusals, &all, true, 100), ["t0", "t1"]);
    assert_eq!(eligible_ids(&refusals, &all, false, 100), ["t1"]);
    // If all refuse, there is no alternative.
    refusals.record_refusal(&all[1], None, at(0));
    assert_eq!(eligible_ids(&refusals, &all, false, 100), ["t0", "t1"]);
}

#[test]
fn a_restart_drops_refusals_and_keeps_the_requested_delay() {
    let all = targets(2);
    let mut refusals = Refusals::default();
    refusals.record_refusal(&all[0], Some(MS * 3000), at(0));
    refusals.record_refusal(&all[1], None, at(0));
    refusals.record_restart("t0");
    refusals.record_restart("t1");
    assert_eq!(eligible_ids(&refusals, &all, false, 20), ["t1"]);
    assert_eq!(eligible_ids(&refusals, &all, false, 3000), ["t0", "t1"], "no probe needed");
}

#[test]
fn recovery_of_a_group_ends_backoff_but_not_requested_delays() {
    let all = targets(2);
    let mut refusals = Refusals::default();
    refusals.record_refusal(&all[0], Some(MS * 3000), at(0));
    refusals.record_refusal(&all[1], None, at(0));
    refusals.record_recovery("other", at(10));
    assert!(eligible_ids(&refusals, &all, false, 20).is_empty());
    refusals.record_recovery("plain", at(10));
    assert_eq!(eligible_ids(&refusals, &all, false, 20), ["t1"]);
}

#[test]
fn targets_that_are_not_tried_again_are_removed() {
    let all = targets(2);
    let mut refusals = Refusals::default();
    refusals.record_refusal(&all[0], Some(MS * 60_000), at(0));
    refusals.remove_expired(at(59_999));
    assert_eq!(eligible_ids(&refusals, &all, false, 59_999), ["t1"]);
    refusals.remove_expired(at(90_000));
    assert_eq!(eligible_ids(&refusals, &all, false, 90_000), ["t0", "t1"]);
}

#[test]
fn retry_after_values_are_bounded() {
    let readable = [("3", 3000), ("0.25", 250), (" 2 ", 2000), ("0", 0)];

    for (text, ms) in readable {
        assert_eq!(parse_retry_after(text.as_bytes()), Duration::from_millis(ms), "{text}");
    }

    for text in ["soon", "", "-1", "nan", "1,5", "Wed, 21 Oct 2065 07:28:00 GMT"] {
        assert_eq!(parse_retry_after(text.as_bytes()), UNREADABLE_RETRY_AFTER, "{text}");
    }

    assert_eq!(parse_retry_after(b"\xff"), UNREADABLE_RETRY_AFTER);
    let values = || [b"1".as_slice(), b"4", b"2"].into_iter();
    assert_eq!(requested_retry_after(503, values()), Some(MS * 4000), "the longest of them");
    assert_eq!(requested_retry_after(429, values()), Some(MS * 4000));
    assert_eq!(requested_retry_after(301, values()), None, "the header has another meaning there");
    assert_eq!(requested_retry_after(503, std::iter::empty()), None);

    for text in ["301", "1e999", "inf", "99999999999999999999"] {
        assert_eq!(parse_retry_after(text.as_bytes()), MAX_RETRY_AFTER, "{text}");
    }
}

#[test]
fn a_load_that_overflows_leaves_no_free_slot() {
    let load = TargetLoad::parse("4294967295,1,8").expect("three numbers");
    assert_eq!(load.in_flight(), u32::MAX);
    assert!(!load.has_room());
}

#[test]
fn only_0_means_that_a_target_is_not_leaving() {
    assert!(!says_leaving(b"0"));

    for value in ["1", "yes", "", "true", "00"] {
        assert!(says_leaving(value.as_bytes()), "{value}");
    }
}

/// Result of a simulated load.
#[derive(Debug, Default)]
struct SimulationResult {
    requests: u32,
    refused: u32,
    retries: u32,
    /// Requests sent to a target more than half a second into its requested delay.
    during_delay: u32,
}

/// Simulates requests, one every 10 ms, to sixteen targets, of which the first five refuse from 1 s
/// to 8 s. Each request may be sent to two targets. Refusing targets are idle, so they are
/// preferred where they are eligible.
fn simulate(asked: Option<Duration>, seed: u64, tracks_refusals: bool) -> SimulationResult {
    let all = targets(16);
    let mut refusals = Refusals::default();
    let mut random = SeededSource::new(seed);
    let mut result = SimulationResult::default();
    let mut asked_at: Vec<Option<Moment>> = vec![None; all.len()];

    for now in (0..10_000).step_by(10) {
        let refuses = |number: usize| number < 5 && (1000..8000).contains(&now);
        result.requests += 1;
        let mut tried: Vec<usize> = Vec::new();

        loop {
            let left = if tracks_refusals {
                eligible_ids(&refusals, &all, tried.is_empty(), now)
            } else {
                all.iter().map(|t| t.id.clone()).collect()
            };
            let numbers = left.iter().map(|id| id[1..].parse().expect("a number"));
            let fresh: Vec<usize> = numbers.filter(|n| !tried.contains(n)).collect();
            let idle: Vec<usize> = fresh.iter().copied().filter(|n| refuses(*n)).collect();
            // Two of three choices find an idle target if there is one.
            let drawn = if idle.is_empty() || random.below(3) == 0 { &fresh } else { &idle };
            let Some(number) = drawn.get(random.below(drawn.len().max(1))).copied() else {
                result.refused += 1;
                break;
            };
            result.retries += u32::from(!tried.is_empty());
            tried.push(number);
            refusals.record_sent(&all[number], at(now));
            let is_delayed = |since: Moment| {
                at(now) > since + MS * 500 && asked.is_some_and(|rest| at(now) < since + rest)
            };
            result.during_delay += u32::from(asked_at[number].is_some_and(is_delayed));

            if !refuses(number) {
                refusals.record_accepted(&all[number], at(now));
                break;
            }

            refusals.record_refusal(&all[number], asked, at(now));
            let is_over = |since: Moment| at(now) >= since + asked.unwrap_or_default();

            if asked_at[number].is_none_or(is_over) {
                asked_at[number] = Some(at(now));
            }

            if tried.len() == 2 {
                result.refused += 1;
                break;
            }
        }
    }

    result
}

/// Over 20 seeds of 1,000 requests each. If refusals are ignored, 378 to 438 requests are refused,
/// with 523 to 579 retries, and 748 to 846 reach targets during a requested delay of 3 s. If they
/// are tracked, 1 or 2 are refused, with 13 to 47 retries, and none reach such targets. The
/// operators allow retries for a fifth of all requests.
#[test]
fn hardly_any_request_is_refused_while_eleven_of_sixteen_targets_have_free_slots() {
    for seed in 1..=20 {
        let before = simulate(Some(MS * 3000), seed, false);
        assert!(before.refused > 200 && before.during_delay > 100, "{before:?}");

        for asked in [None, Some(MS * 3000), Some(MS * 200)] {
            let after = simulate(asked, seed, true);
            // Only requests that meet two of the five before anything is known of them.
            assert!(after.refused <= 2 && after.during_delay == 0, "{asked:?} {after:?}");
            assert!(after.retries * 5 < after.requests, "{asked:?} {after:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..Default::default()
    })]

    /// In any order of events, nothing is sent to a target before the end of the delay that it
    /// asked for.
    #[test]
    fn requested_delays_apply_in_any_order_of_events(
        events in proptest::collection::vec(
            (0..3_usize, 0..6_usize, 0..400_u64, 0..3000_u64),
            1..60,
        )
    ) {
        let all = targets(3);
        let mut refusals = Refusals::default();
        let mut delay_until = [Moment::ZERO; 3];
        let mut now = 0;

        for (number, what, after, asked_ms) in events {
            now += after;
            let asked = Duration::from_millis(asked_ms);

            match what {
                0 => {
                    refusals.record_refusal(&all[number], Some(asked), at(now));
                    delay_until[number] = delay_until[number].max(at(now) + asked);
                }
                1 => drop(refusals.record_refusal(&all[number], None, at(now))),
                2 => drop(refusals.record_accepted(&all[number], at(now))),
                3 => refusals.record_restart(&all[number].id),
                4 => refusals.record_recovery("plain", at(now)),
                _ => refusals.remove_expired(at(now)),
            }

            for id in eligible_ids(&refusals, &all, true, now) {
                let number: usize = id[1..].parse().expect("a number");
                prop_assert!(delay_until[number] <= at(now), "{id} at {now} ms");
            }
        }
    }
}
