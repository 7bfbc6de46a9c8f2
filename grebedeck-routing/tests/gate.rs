//! The gate starts an attempt at most once, never after a strike, never for another incarnation.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use grebedeck_core::{AttemptId, Moment, Reason};
use grebedeck_routing::{Gate, GateOptions, Key, StartRequest, StrikeAnswer, Verdict};
use proptest::prelude::*;

const CREATED_UNIX_MS: u64 = 1_000_000;

fn gate() -> Gate {
    Gate::new(7, CREATED_UNIX_MS, GateOptions::default())
}

fn start(request: u128, number: u32) -> StartRequest {
    let attempt = AttemptId { request, number };

    StartRequest {
        attempt,
        incarnation: 7,
        sent_unix_ms: CREATED_UNIX_MS,
        may_wait: true,
        key: None,
        deadline: None,
    }
}

fn keyed(request: u128, key: u128, issued: Option<u64>) -> StartRequest {
    let key = Some(Key { digest: key, issued_unix_ms: issued });

    StartRequest { key, ..start(request, 0) }
}

#[test]
fn a_copy_that_outlasted_the_memory_of_its_strike_is_refused() {
    let mut gate = gate();
    let late = start(1, 0);
    assert_eq!(gate.strike(late.attempt, 7, now(1_000)), StrikeAnswer::Struck);

    // The agent was paused for three minutes while the copy waited in its socket buffer.
    let verdict = gate.admit(&late, now(181_000), CREATED_UNIX_MS + 181_000);

    assert_eq!(verdict, Verdict::Refuse(Reason::DeadlinePassed));
}

fn now(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

#[test]
fn a_duplicate_attempt_runs_once() {
    let mut gate = gate();

    assert_eq!(gate.admit(&start(1, 0), now(0), CREATED_UNIX_MS), Verdict::Run);
    assert!(matches!(gate.admit(&start(1, 0), now(1), CREATED_UNIX_MS), Verdict::InDoubt(_)));
    gate.finish(start(1, 0).attempt, true, now(2));
    assert!(matches!(gate.admit(&start(1, 0), now(3), CREATED_UNIX_MS), Verdict::InDoubt(_)));
    assert_eq!(gate.in_flight(), 0);
}

#[test]
fn a_struck_attempt_never_starts_and_a_started_one_is_not_struck() {
    let mut gate = gate();
    let (late, early) = (start(1, 0), start(2, 0));

    assert_eq!(gate.strike(late.attempt, 7, now(0)), StrikeAnswer::Struck);
    assert_eq!(gate.admit(&late, now(1), CREATED_UNIX_MS), Verdict::Refuse(Reason::Struck));

    assert_eq!(gate.admit(&early, now(2), CREATED_UNIX_MS), Verdict::Run);
    assert_eq!(gate.strike(early.attempt, 7, now(3)), StrikeAnswer::Started);
    gate.finish(early.attempt, true, now(4));
    assert_eq!(gate.strike(early.attempt, 7, now(5)), StrikeAnswer::Started);
}

#[test]
fn another_incarnation_is_refused_and_cannot_be_struck() {
    let mut gate = gate();
    let old = StartRequest { incarnation: 6, ..start(1, 0) };

    assert_eq!(
        gate.admit(&old, now(0), CREATED_UNIX_MS),
        Verdict::Refuse(Reason::StaleIncarnation)
    );
    assert_eq!(gate.strike(old.attempt, 6, now(0)), StrikeAnswer::Unknown);
}

#[test]
fn keys_older_than_the_memory_are_in_doubt() {
    let mut gate = gate();
    let doubt = Verdict::InDoubt(Reason::KeyOlderThanMemory);

    assert_eq!(gate.admit(&keyed(1, 1, None), now(0), CREATED_UNIX_MS + 9_000), doubt);
    assert_eq!(
        gate.admit(&keyed(2, 2, Some(CREATED_UNIX_MS)), now(0), CREATED_UNIX_MS + 9_000),
        doubt
    );
    let young = Some(CREATED_UNIX_MS + 5_000);
    assert_eq!(gate.admit(&keyed(3, 3, young), now(0), CREATED_UNIX_MS + 9_000), Verdict::Run);
    let again = gate.admit(&keyed(4, 3, young), now(0), CREATED_UNIX_MS + 9_000);
    assert_eq!(again, Verdict::InDoubt(Reason::DuplicateKey));
}

#[test]
fn a_key_may_be_used_again_if_nothing_was_sent_to_the_target() {
    let mut gate = gate();
    let issued = Some(CREATED_UNIX_MS + 5_000);
    let first = keyed(1, 1, issued);

    assert_eq!(gate.admit(&first, now(0), CREATED_UNIX_MS + 6_000), Verdict::Run);
    gate.finish(first.attempt, false, now(1));

    assert_eq!(gate.admit(&keyed(2, 1, issued), now(2), CREATED_UNIX_MS + 6_000), Verdict::Run);
}

#[test]
fn attempts_are_refused_if_the_target_is_full_or_draining_or_the_deadline_passed() {
    let options = GateOptions { slots: 1, max_in_flight: 1, ..GateOptions::default() };
    let mut gate = Gate::new(7, CREATED_UNIX_MS, options);
    let passed = StartRequest { deadline: Some(now(5)), ..start(3, 0) };

    assert_eq!(
        gate.admit(&passed, now(5), CREATED_UNIX_MS),
        Verdict::Refuse(Reason::DeadlinePassed)
    );
    assert_eq!(gate.admit(&start(1, 0), now(6), CREATED_UNIX_MS), Verdict::Run);
    assert_eq!(
        gate.admit(&start(2, 0), now(6), CREATED_UNIX_MS),
        Verdict::Refuse(Reason::TargetBusy)
    );
    gate.finish(start(1, 0).attempt, true, now(7));
    gate.drain();
    assert_eq!(
        gate.admit(&start(4, 0), now(8), CREATED_UNIX_MS),
        Verdict::Refuse(Reason::Draining)
    );
}

#[test]
fn an_attempt_that_may_not_wait_is_refused_if_no_slot_is_free() {
    let options = GateOptions { slots: 1, max_in_flight: 2, ..GateOptions::default() };
    let mut gate = Gate::new(7, CREATED_UNIX_MS, options);
    let immediate = |n| StartRequest { may_wait: false, ..start(n, 0) };
    let busy = Verdict::Refuse(Reason::TargetBusy);

    assert_eq!(gate.admit(&immediate(1), now(0), CREATED_UNIX_MS), Verdict::Run);
    assert_eq!(gate.admit(&immediate(2), now(0), CREATED_UNIX_MS), busy);
    assert_eq!(gate.admit(&start(3, 0), now(0), CREATED_UNIX_MS), Verdict::Run);
    assert_eq!(gate.admit(&start(4, 0), now(0), CREATED_UNIX_MS), busy);
}

#[test]
fn memory_is_bounded_by_time() {
    let options = GateOptions { key_memory: Duration::from_secs(60), ..GateOptions::default() };
    let mut gate = Gate::new(7, 0, options);

    for n in 0..100u64 {
        let at = n * 10_000;
        let issued = Some(at + 10_000);
        let start = StartRequest { sent_unix_ms: at + 10_000, ..keyed(n.into(), n.into(), issued) };
        assert_eq!(gate.admit(&start, now(at), at + 10_000), Verdict::Run, "{n}");
        gate.finish(start.attempt, true, now(at));
        assert!(gate.key_count() <= 7, "{}", gate.key_count());
    }
}

#[derive(Clone, Debug)]
enum Event {
    Admit { request: u8, number: u8, key: Option<u8> },
    Strike { request: u8, number: u8 },
    Finish { request: u8, number: u8, ran: bool },
    Wait { ms: u32 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let request = 0u8..6;
    let number = 0u8..3;
    let one = prop_oneof![
        4 => (request.clone(), number.clone(), prop::option::of(0u8..4))
            .prop_map(|(request, number, key)| Event::Admit { request, number, key }),
        2 => (request.clone(), number.clone())
            .prop_map(|(request, number)| Event::Strike { request, number }),
        2 => (request, number, any::<bool>())
            .prop_map(|(request, number, ran)| Event::Finish { request, number, ran }),
        1 => (0u32..40_000).prop_map(|ms| Event::Wait { ms }),
    ];

    prop::collection::vec(one, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default() })]

    /// In any order of copies, strikes, ends and waits, no key runs twice, no attempt runs twice or
    /// after it was struck, and a strike is never confirmed for a running attempt.
    #[test]
    fn runs_at_most_once_in_any_order(events in events()) {
        let mut gate = gate();
        let mut at = 0u64;
        let mut ran: HashSet<AttemptId> = HashSet::new();
        let mut struck: HashSet<AttemptId> = HashSet::new();
        let mut running: HashMap<AttemptId, Option<u8>> = HashMap::new();
        let mut used: HashSet<u8> = HashSet::new();

        for event in events {
            match event {
                Event::Wait { ms } => at += u64::from(ms),
                Event::Admit { request, number, key } => {
                    let attempt = AttemptId { request: request.into(), number: number.into() };
                    let key_claim = key.map(|k| Key {
                        digest: k.into(),
                        issued_unix_ms: Some(CREATED_UNIX_MS + 5_000),
                    });
                    // An attempt is sent once, at the beginning; its copies arrive at any time.
                    let sent_unix_ms = CREATED_UNIX_MS;
                    let start = StartRequest {
                        sent_unix_ms,
                        key: key_claim,
                        ..start(attempt.request, attempt.number)
                    };

                    if gate.admit(&start, now(at), CREATED_UNIX_MS + 6_000 + at) == Verdict::Run {
                        prop_assert!(!ran.contains(&attempt));
                        prop_assert!(!struck.contains(&attempt));
                        prop_assert!(key.is_none_or(|k| !used.contains(&k)));
                        prop_assert!(key.is_none_or(|k| !running.values().any(|r| *r == Some(k))));
                        ran.insert(attempt);
                        running.insert(attempt, key);
                    }
                }
                Event::Strike { request, number } => {
                    let attempt = AttemptId { request: request.into(), number: number.into() };

                    if gate.strike(attempt, 7, now(at)) == StrikeAnswer::Struck {
                        prop_assert!(!running.contains_key(&attempt));
                        struck.insert(attempt);
                    }
                }
                Event::Finish { request, number, ran: did_run } => {
                    let attempt = AttemptId { request: request.into(), number: number.into() };
                    gate.finish(attempt, did_run, now(at));

                    if let Some(Some(key)) = running.remove(&attempt)
                        && did_run
                    {
                        used.insert(key);
                    }
                }
            }

            prop_assert_eq!(gate.in_flight(), running.len());
        }
    }
}
