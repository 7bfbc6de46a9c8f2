//! Which requests processes quarantine, according to the crashes that they observe and report.

use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_routing::crashes::CRASH_RETENTION;
use grebedeck_routing::quarantine::{
    DECISION_DELAY, FIRST_TRIAL_DELAY, PROBE_TIMEOUT, ProbeResult, RETENTION, SECOND_TRIAL_DELAY,
    StoredChange,
};
use grebedeck_routing::{Clearance, Fingerprint, Identity, Quarantine, Report, TargetStart};
use proptest::prelude::*;

const POISON: Fingerprint = 1;
const OTHER: Fingerprint = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(target: usize) -> TargetStart {
    TargetStart::listed(&format!("t{target}"), Some(1))
}

/// A process with a clock of its own.
#[derive(Default)]
struct Process {
    quarantine: Quarantine,
    now: Moment,
}

impl Process {
    /// Breaks attempts of the requests on a target whose probe finds that it crashed.
    fn crash(&mut self, target: usize, requests: &[Fingerprint]) {
        for request in requests {
            self.quarantine.record_broken_attempt(
                &start(target),
                &(*request).into(),
                self.now,
                self.now,
            );
        }

        self.quarantine.record_probe(&start(target), ProbeResult::Crashed, self.now);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    fn clearance(&mut self, request: Fingerprint) -> Clearance {
        self.quarantine.decide(self.now);
        self.quarantine.clearance(&request.into(), self.now)
    }

    fn is_refused(&mut self, request: Fingerprint) -> bool {
        matches!(self.clearance(request), Clearance::Refuse(_))
    }

    /// Quarantines a request by letting it crash three targets.
    fn quarantine(&mut self, request: Fingerprint) {
        for target in 0..3 {
            self.crash(target, &[request]);
            self.advance(ms(500));
        }

        assert!(self.is_refused(request));
    }

    fn send_updates(&mut self, other: &mut Process) {
        let updates = self.quarantine.take_updates();
        other.quarantine.apply_report(&updates, other.now);
    }
}

#[test]
fn a_request_with_three_crashes_is_refused_after_the_decision_delay() {
    let mut process = Process::default();

    for target in 0..2 {
        process.crash(target, &[POISON]);
        process.advance(ms(60));
        assert_eq!(process.clearance(POISON), Clearance::Allow, "{target}");
    }

    process.crash(2, &[POISON]);
    assert_eq!(process.clearance(POISON), Clearance::Wait(DECISION_DELAY));
    process.advance(DECISION_DELAY);
    assert_eq!(process.clearance(POISON), Clearance::Refuse(FIRST_TRIAL_DELAY));
    assert_eq!(process.clearance(OTHER), Clearance::Allow);
}

#[test]
fn a_request_with_two_crashes_waits_while_its_third_target_is_probed() {
    let mut process = Process::default();
    process.crash(0, &[POISON]);
    process.advance(ms(60));
    process.crash(1, &[POISON]);
    process.advance(ms(60));
    process.quarantine.record_broken_attempt(&start(2), &POISON.into(), process.now, process.now);
    assert_eq!(process.clearance(POISON), Clearance::Wait(PROBE_TIMEOUT));

    process.quarantine.record_probe(&start(2), ProbeResult::Alive, process.now);
    assert_eq!(process.clearance(POISON), Clearance::Allow);
}

#[test]
fn a_broken_connection_is_no_crash_unless_the_target_restarts_soon() {
    for (pause, is_refused) in [(ms(2000), true), (ms(20_000), false)] {
        let mut process = Process::default();

        for target in 0..3 {
            process.quarantine.record_broken_attempt(
                &start(target),
                &POISON.into(),
                process.now,
                process.now,
            );
            process.quarantine.record_probe(&start(target), ProbeResult::Alive, process.now);
            assert_eq!(process.clearance(POISON), Clearance::Allow);
            process.advance(pause);
            process.quarantine.record_restart(&start(target).target, process.now);
        }

        assert_eq!(process.is_refused(POISON), is_refused, "{pause:?}");
    }
}

#[test]
fn an_answer_clears_a_request_of_all_crashes_before_it() {
    let mut process = Process::default();

    for target in 0..12 {
        process.crash(target, &[OTHER]);
        process.advance(ms(200));

        if target % 2 == 1 {
            process.quarantine.record_answer(&OTHER.into(), true, process.now);
        }

        process.advance(ms(200));
        assert_eq!(process.clearance(OTHER), Clearance::Allow, "{target}");
    }
}

#[test]
fn a_loss_of_power_is_evidence_against_no_request() {
    let mut process = Process::default();

    for moment in 0..5 {
        for target in 0..6 {
            // Each request ran on a target of its own. Request 10 was retried on the second target.
            let runs: &[Fingerprint] = if target == 1 { &[10, 11] } else { &[10 + target as u128] };
            let crashed = TargetStart::listed(&format!("t{target}"), Some(moment));
            runs.iter().for_each(|request| {
                process.quarantine.record_broken_attempt(
                    &crashed,
                    &(*request).into(),
                    process.now,
                    process.now,
                );
            });
            process.quarantine.record_probe(&crashed, ProbeResult::Crashed, process.now);
            process.advance(ms(5));
        }

        process.advance(ms(3000));
    }

    for request in 10..16 {
        assert_eq!(process.clearance(request), Clearance::Allow, "{request}");
    }
}

#[test]
fn the_crash_of_an_idle_target_shows_a_loss_of_power() {
    let mut process = Process::default();

    for target in 0..3 {
        process.crash(target, &[OTHER]);
        process.quarantine.record_crash(&start(10 + target), [], process.now);
        process.advance(ms(3000));
    }

    assert_eq!(process.clearance(OTHER), Clearance::Allow);
}

#[test]
fn a_request_that_ran_beside_a_poison_request_is_no_longer_suspected() {
    let mut process = Process::default();

    for target in 0..4 {
        let runs: &[Fingerprint] = if target == 0 { &[POISON] } else { &[POISON, OTHER] };
        process.crash(target, runs);
        process.advance(ms(70));
    }

    process.advance(DECISION_DELAY);
    assert!(process.is_refused(POISON));
    assert_eq!(process.clearance(OTHER), Clearance::Allow);
}

#[test]
fn copies_of_a_poison_request_on_two_targets_at_once_count_as_two_crashes() {
    let mut process = Process::default();
    process.crash(0, &[POISON]);
    process.crash(1, &[POISON, OTHER]);
    process.advance(ms(4000));
    process.crash(2, &[POISON]);
    process.advance(DECISION_DELAY);

    assert!(process.is_refused(POISON));
}

#[test]
fn a_start_that_is_not_listed_yet_is_a_different_start() {
    let mut process = Process::default();

    for _ in 0..3 {
        // The list still contains the old start.
        let start = process.quarantine.record_broken_attempt(
            &start(0),
            &POISON.into(),
            process.now,
            process.now,
        );

        if let Some(start) = start {
            process.quarantine.record_probe(&start, ProbeResult::Crashed, process.now);
        }

        process.advance(ms(2000));
    }

    // Without a newer list, the second and the third start cannot be told apart.
    assert_eq!(process.quarantine.suspicion(POISON).crashes, 2);
}

#[test]
fn a_crash_observed_by_two_processes_counts_once() {
    let mut processes = [Process::default(), Process::default()];

    for target in 0..2 {
        for process in &mut processes {
            process.crash(target, &[POISON]);
            process.advance(ms(1000));
        }

        let [one, other] = &mut processes;
        one.send_updates(other);
        other.send_updates(one);
    }

    for process in &mut processes {
        assert_eq!(process.quarantine.suspicion(POISON).crashes, 2);
    }
}

#[test]
fn processes_count_each_others_crashes_and_a_later_process_gets_a_snapshot() {
    let mut processes = [(); 3].map(|()| Process::default());

    for at in 0..3 {
        processes[at].crash(at, &[POISON]);
        let updates = processes[at].quarantine.take_updates();

        for (other, process) in processes.iter_mut().enumerate() {
            if other != at {
                process.quarantine.apply_report(&updates, process.now);
            }

            process.advance(ms(300));
        }
    }

    assert!(processes.iter_mut().all(|process| process.is_refused(POISON)));
    // Only the process that observed the third crash stores the quarantine.
    let stored: Vec<usize> = processes
        .iter_mut()
        .map(|process| process.quarantine.take_stored_changes().len())
        .collect();
    assert_eq!(stored, [0, 0, 1]);

    let mut late_process = Process::default();
    let all = processes[0].quarantine.snapshot(processes[0].now);
    assert_ne!(late_process.quarantine.digest(), processes[0].quarantine.digest());
    late_process.quarantine.apply_report(&all, late_process.now);
    assert!(late_process.is_refused(POISON));
    assert_eq!(late_process.quarantine.digest(), processes[0].quarantine.digest());
}

#[test]
fn a_quarantined_request_gets_two_trials_and_is_released_by_an_answer() {
    let mut process = Process::default();
    process.quarantine(POISON);

    for (trial, pause) in [FIRST_TRIAL_DELAY, SECOND_TRIAL_DELAY].into_iter().enumerate() {
        assert!(!process.quarantine.take_trial(&POISON.into(), process.now));
        process.advance(pause);
        assert_eq!(process.clearance(POISON), Clearance::Trial, "{trial}");
        assert!(process.quarantine.take_trial(&POISON.into(), process.now));
        assert!(process.is_refused(POISON), "one trial at a time");
    }

    let mut other = Process { now: process.now, ..Process::default() };
    process.send_updates(&mut other);
    process.advance(RETENTION / 2);
    other.advance(RETENTION / 2);
    assert!(process.is_refused(POISON) && other.is_refused(POISON), "no third trial");

    assert_eq!(process.quarantine.record_answer(&POISON.into(), true, process.now), [POISON]);
    process.send_updates(&mut other);
    assert_eq!(process.clearance(POISON), Clearance::Allow);
    assert_eq!(other.clearance(POISON), Clearance::Allow);
    let stored = process.quarantine.take_stored_changes();
    assert_eq!(stored.last(), Some(&StoredChange::Released(POISON)));
}

#[test]
fn a_late_report_does_not_bring_back_what_was_cleared() {
    let mut process = Process::default();
    process.quarantine(POISON);
    let mut other = Process { now: process.now, ..Process::default() };
    let stale = process.quarantine.snapshot(process.now);
    process.send_updates(&mut other);
    process.quarantine.record_answer(&POISON.into(), true, process.now);
    process.send_updates(&mut other);
    other.quarantine.apply_report(&stale, other.now);

    assert_eq!(other.clearance(POISON), Clearance::Allow);
}

#[test]
fn a_stored_quarantine_is_restored_at_start() {
    let mut process = Process::default();
    process.quarantine.restore(POISON, 1, process.now);
    assert_eq!(process.clearance(POISON), Clearance::Refuse(SECOND_TRIAL_DELAY));
}

#[test]
fn crashes_and_quarantine_expire() {
    let mut process = Process::default();
    process.quarantine(POISON);
    process.crash(5, &[OTHER]);
    process.advance(RETENTION + CRASH_RETENTION * 2);
    process.quarantine.evict_expired(process.now);

    assert!(process.quarantine.is_idle());
    assert_eq!(
        process.quarantine.take_stored_changes().last(),
        Some(&StoredChange::Released(POISON))
    );
}

#[test]
fn memory_is_bounded_and_one_off_requests_are_evicted_first() {
    let mut process = Process::default();
    process.crash(0, &[POISON]);
    process.advance(ms(1000));
    process.crash(1, &[POISON]);

    for crash in 0..20_000u64 {
        process.advance(ms(20));
        let crashed = TargetStart::listed("many", Some(crash));
        let one_off = 1000 + u128::from(crash) * 100;

        for request in one_off..one_off + 10 {
            process.quarantine.record_broken_attempt(
                &crashed,
                &request.into(),
                process.now,
                process.now,
            );
        }

        process.quarantine.record_probe(&crashed, ProbeResult::Crashed, process.now);
    }

    let (crashes, suspects, _) = process.quarantine.len();
    assert!(crashes <= 1024 && suspects <= 32 << 10, "{crashes} crashes, {suspects} suspects");
    process.advance(ms(1000));
    process.crash(2, &[POISON]);
    process.advance(DECISION_DELAY);
    assert!(process.is_refused(POISON), "the poison request is remembered");
}

#[test]
fn many_cleared_requests_do_not_displace_crashes_from_a_report() {
    let mut process = Process::default();
    process.crash(0, &[POISON]);
    process.crash(1, &(100..1100).collect::<Vec<_>>());

    for request in 100..1100 {
        process.quarantine.record_answer(&request.into(), true, process.now);
    }

    let parts = process.quarantine.snapshot(process.now).into_parts(2);
    let mut other = Process { now: process.now, ..Process::default() };
    parts.iter().for_each(|part| drop(other.quarantine.apply_report(part, other.now)));
    assert_eq!(other.quarantine.digest(), process.quarantine.digest());
}

#[test]
fn answers_to_unsuspected_requests_are_not_stored() {
    let mut process = Process::default();
    process.crash(0, &[POISON]);

    for request in 100..10_000 {
        process.quarantine.record_answer(&request.into(), true, process.now);
    }

    assert!(process.quarantine.snapshot(process.now).cleared.is_empty());
    assert!(process.quarantine.take_updates().cleared.is_empty());
}

#[test]
fn quarantine_is_bounded() {
    let mut process = Process::default();

    for request in 0..3000 {
        process.advance(ms(10));
        process.quarantine.restore(request, 0, process.now);
    }

    let (.., held) = process.quarantine.len();
    assert_eq!(held, 1024);
    assert!(process.is_refused(2999) && !process.is_refused(0), "recently requested entries stay");
}

#[test]
fn the_same_request_has_the_same_fingerprint() {
    let identity =
        Identity { caller: "contoso", method: "POST", host: "a", path: "/b", body: b"c" };
    let others = [
        Identity { caller: "other", ..identity },
        Identity { method: "PUT", ..identity },
        Identity { host: "a/", path: "b", ..identity },
        Identity { path: "/bc", body: b"", ..identity },
        Identity { body: b"d", ..identity },
    ];

    assert_eq!(identity.fingerprint(), { identity }.fingerprint());

    for other in others {
        assert_ne!(identity.fingerprint(), other.fingerprint(), "{other:?}");
    }
}

#[test]
fn a_report_is_split_into_parts_and_reassembled() {
    let mut process = Process::default();
    process.quarantine(POISON);
    process.crash(7, &(100..400).collect::<Vec<_>>());
    let all = process.quarantine.snapshot(process.now);
    let parts = all.clone().into_parts(usize::MAX);
    assert!(parts.len() > 6);
    assert!(!parts[0].quarantined.is_empty(), "quarantined requests go first");

    let mut other = Process { now: process.now, ..Process::default() };
    parts.iter().rev().for_each(|part| drop(other.quarantine.apply_report(part, other.now)));
    assert_eq!(other.quarantine.digest(), process.quarantine.digest());
}

/// An event that a process observes.
#[derive(Clone, Debug)]
enum Event {
    Crash { target: usize, runs: Vec<Fingerprint> },
    Answered(Fingerprint),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..12usize, prop::collection::vec(1..6u128, 1..4))
            .prop_map(|(target, runs)| Event::Crash { target, runs }),
        1 => (1..6u128).prop_map(Event::Answered),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Reports of three processes reach a fourth in any order and more than once. It reaches the
    /// same conclusions as a process that gets each report once and in order.
    #[test]
    fn the_order_of_reports_does_not_matter(
        events in prop::collection::vec((0..3usize, event(), 1..800u64), 1..24),
        order in prop::collection::vec(0..1000usize, 48),
    ) {
        let mut processes = [(); 3].map(|()| Process::default());
        let mut reports: Vec<(Moment, Report)> = Vec::new();
        let mut now = Moment::ZERO;

        for (observer, event, pause) in events {
            now += ms(pause);
            let process = &mut processes[observer];
            process.now = now;

            match event {
                Event::Crash { target, runs } => {
                    // Each crash ends a different start.
                    let start =
                        TargetStart::listed(&format!("t{target}"), Some(now.as_millis() as u64));
                    runs.iter().for_each(|request| {
                        process.quarantine.record_broken_attempt(&start, &(*request).into(), now, now);
                    });
                    process.quarantine.record_probe(&start, ProbeResult::Crashed, now);
                }
                Event::Answered(request) => {
                    process.quarantine.record_answer(&request.into(), true, now);
                    // The answer is reported even if this process had nothing to clear.
                    let cleared = grebedeck_routing::report::ClearedReport { request, age_ms: 0 };
                    reports.push((now, Report { cleared: vec![cleared], ..Report::default() }));
                }
            }

            let updates = process.quarantine.take_updates();
            reports.push((now, Report { quarantined: Vec::new(), ..updates }));
        }

        let end = now + ms(1);
        let aged_to_end = |at: Moment, report: &Report| {
            let elapsed_ms = (end - at).as_millis() as u64;
            let mut report = report.clone();
            report.crashes.iter_mut().for_each(|crash| crash.age_ms += elapsed_ms);
            report.cleared.iter_mut().for_each(|cleared| cleared.age_ms += elapsed_ms);
            report
        };
        let mut in_order = Quarantine::default();
        reports
            .iter()
            .for_each(|(at, report)| drop(in_order.apply_report(&aged_to_end(*at, report), end)));
        let mut shuffled = Quarantine::default();

        for at in order.iter().map(|at| at % reports.len()).chain((0..reports.len()).rev()) {
            let (at, report) = &reports[at];
            shuffled.apply_report(&aged_to_end(*at, report), end);
        }

        prop_assert_eq!(in_order.digest(), shuffled.digest());

        for request in 1..6 {
            prop_assert_eq!(in_order.suspicion(request), shuffled.suspicion(request));
        }
    }
}
