//! Who is put into quarantine, and who is not, by what processes see of crashes.

use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_routing::crashes::CRASH_RETENTION;
use grebedeck_routing::quarantine::{
    DECISION_DELAY, FIRST_TRIAL_DELAY, PROBE_TIMEOUT, ProbeResult, RETENTION, SECOND_TRIAL_DELAY,
    StoredChange,
};
use grebedeck_routing::{Clearance, Fingerprint, Identity, Quarantine, Report, TargetStart};
use proptest::prelude::*;

const DEADLY: Fingerprint = 1;
const OTHER: Fingerprint = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(target: usize) -> TargetStart {
    TargetStart::listed(&format!("t{target}"), Some(1))
}

/// A process with a clock.
#[derive(Default)]
struct Process {
    quarantine: Quarantine,
    now: Moment,
}

impl Process {
    /// Lets requests break on a target, which is found crashed.
    fn crash(&mut self, target: usize, requests: &[Fingerprint]) {
        for request in requests {
            self.quarantine.record_broken_attempt(&start(target), *request, self.now, self.now);
        }

        self.quarantine.record_probe(&start(target), ProbeResult::Crashed, self.now);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    fn clearance(&mut self, request: Fingerprint) -> Clearance {
        self.quarantine.decide(self.now);
        self.quarantine.clearance(request, self.now)
    }

    fn is_refused(&mut self, request: Fingerprint) -> bool {
        matches!(self.clearance(request), Clearance::Refuse(_))
    }

    /// Lets a request crash three targets.
    fn quarantine(&mut self, request: Fingerprint) {
        for target in 0..3 {
            self.crash(target, &[request]);
            self.pass(ms(500));
        }

        assert!(self.is_refused(request));
    }

    fn tell(&mut self, other: &mut Process) {
        let news = self.quarantine.take_updates();
        other.quarantine.apply_report(&news, other.now);
    }
}

#[test]
fn a_request_under_three_crashes_is_refused_once_it_is_settled() {
    let mut process = Process::default();

    for target in 0..2 {
        process.crash(target, &[DEADLY]);
        process.pass(ms(60));
        assert_eq!(process.clearance(DEADLY), Clearance::Allow, "{target}");
    }

    process.crash(2, &[DEADLY]);
    assert_eq!(process.clearance(DEADLY), Clearance::Wait(DECISION_DELAY));
    process.pass(DECISION_DELAY);
    assert_eq!(process.clearance(DEADLY), Clearance::Refuse(FIRST_TRIAL_DELAY));
    assert_eq!(process.clearance(OTHER), Clearance::Allow);
}

#[test]
fn a_request_under_two_crashes_waits_while_its_third_target_is_looked_at() {
    let mut process = Process::default();
    process.crash(0, &[DEADLY]);
    process.pass(ms(60));
    process.crash(1, &[DEADLY]);
    process.pass(ms(60));
    process.quarantine.record_broken_attempt(&start(2), DEADLY, process.now, process.now);
    assert_eq!(process.clearance(DEADLY), Clearance::Wait(PROBE_TIMEOUT));

    process.quarantine.record_probe(&start(2), ProbeResult::Alive, process.now);
    assert_eq!(process.clearance(DEADLY), Clearance::Allow);
}

#[test]
fn a_broken_connection_is_no_crash_unless_the_target_starts_again_soon() {
    for (pause, refuses) in [(ms(2000), true), (ms(20_000), false)] {
        let mut process = Process::default();

        for target in 0..3 {
            process.quarantine.record_broken_attempt(
                &start(target),
                DEADLY,
                process.now,
                process.now,
            );
            process.quarantine.record_probe(&start(target), ProbeResult::Alive, process.now);
            assert_eq!(process.clearance(DEADLY), Clearance::Allow);
            process.pass(pause);
            process.quarantine.record_restart(&start(target).target, process.now);
        }

        assert_eq!(process.is_refused(DEADLY), refuses, "{pause:?}");
    }
}

#[test]
fn an_answer_clears_a_request_of_all_crashes_before_it() {
    let mut process = Process::default();

    for target in 0..12 {
        process.crash(target, &[OTHER]);
        process.pass(ms(200));

        if target % 2 == 1 {
            process.quarantine.record_answer(OTHER, process.now);
        }

        process.pass(ms(200));
        assert_eq!(process.clearance(OTHER), Clearance::Allow, "{target}");
    }
}

#[test]
fn a_loss_of_power_speaks_against_nobody() {
    let mut process = Process::default();

    for moment in 0..5 {
        for target in 0..6 {
            // Each ran on a target of its own, and the first one was sent on to the second in between.
            let runs: &[Fingerprint] = if target == 1 { &[10, 11] } else { &[10 + target as u128] };
            let lost = TargetStart::listed(&format!("t{target}"), Some(moment));
            runs.iter().for_each(|request| {
                process.quarantine.record_broken_attempt(&lost, *request, process.now, process.now);
            });
            process.quarantine.record_probe(&lost, ProbeResult::Crashed, process.now);
            process.pass(ms(5));
        }

        process.pass(ms(3000));
    }

    for request in 10..16 {
        assert_eq!(process.clearance(request), Clearance::Allow, "{request}");
    }
}

#[test]
fn an_idle_target_that_is_found_crashed_shows_a_loss_of_power() {
    let mut process = Process::default();

    for target in 0..3 {
        process.crash(target, &[OTHER]);
        process.quarantine.record_crash(&start(10 + target), [], process.now);
        process.pass(ms(3000));
    }

    assert_eq!(process.clearance(OTHER), Clearance::Allow);
}

#[test]
fn what_ran_beside_a_deadly_request_is_not_suspected_any_more() {
    let mut process = Process::default();

    for target in 0..4 {
        let runs: &[Fingerprint] = if target == 0 { &[DEADLY] } else { &[DEADLY, OTHER] };
        process.crash(target, runs);
        process.pass(ms(70));
    }

    process.pass(DECISION_DELAY);
    assert!(process.is_refused(DEADLY));
    assert_eq!(process.clearance(OTHER), Clearance::Allow);
}

#[test]
fn copies_of_a_deadly_request_at_two_targets_at_once_count_as_two_crashes() {
    let mut process = Process::default();
    process.crash(0, &[DEADLY]);
    process.crash(1, &[DEADLY, OTHER]);
    process.pass(ms(4000));
    process.crash(2, &[DEADLY]);
    process.pass(DECISION_DELAY);

    assert!(process.is_refused(DEADLY));
}

#[test]
fn a_start_that_the_list_does_not_have_yet_is_another_one() {
    let mut process = Process::default();

    for _ in 0..3 {
        // Always by the list's old time of its start.
        let start =
            process.quarantine.record_broken_attempt(&start(0), DEADLY, process.now, process.now);

        if let Some(start) = start {
            process.quarantine.record_probe(&start, ProbeResult::Crashed, process.now);
        }

        process.pass(ms(2000));
    }

    // The second and the third are told apart only by the list.
    assert_eq!(process.quarantine.suspicion(DEADLY).crashes, 2);
}

#[test]
fn one_crash_that_two_processes_see_is_one() {
    let mut processes = [Process::default(), Process::default()];

    for target in 0..2 {
        for process in &mut processes {
            process.crash(target, &[DEADLY]);
            process.pass(ms(1000));
        }

        let [one, other] = &mut processes;
        one.tell(other);
        other.tell(one);
    }

    for process in &mut processes {
        assert_eq!(process.quarantine.suspicion(DEADLY).crashes, 2);
    }
}

#[test]
fn processes_count_each_others_crashes_and_one_that_starts_later_is_told() {
    let mut processes = [(); 3].map(|()| Process::default());

    for at in 0..3 {
        processes[at].crash(at, &[DEADLY]);
        let news = processes[at].quarantine.take_updates();

        for (other, process) in processes.iter_mut().enumerate() {
            if other != at {
                process.quarantine.apply_report(&news, process.now);
            }

            process.pass(ms(300));
        }
    }

    assert!(processes.iter_mut().all(|process| process.is_refused(DEADLY)));
    // The one that saw the third crash makes it last.
    let lasting: Vec<usize> = processes
        .iter_mut()
        .map(|process| process.quarantine.take_stored_changes().len())
        .collect();
    assert_eq!(lasting, [0, 0, 1]);

    let mut later = Process::default();
    let all = processes[0].quarantine.snapshot(processes[0].now);
    assert_ne!(later.quarantine.digest(), processes[0].quarantine.digest());
    later.quarantine.apply_report(&all, later.now);
    assert!(later.is_refused(DEADLY));
    assert_eq!(later.quarantine.digest(), processes[0].quarantine.digest());
}

#[test]
fn it_is_tried_again_twice_and_comes_out_with_an_answer() {
    let mut process = Process::default();
    process.quarantine(DEADLY);

    for (trial, pause) in [FIRST_TRIAL_DELAY, SECOND_TRIAL_DELAY].into_iter().enumerate() {
        assert!(!process.quarantine.take_trial(DEADLY, process.now));
        process.pass(pause);
        assert_eq!(process.clearance(DEADLY), Clearance::Trial, "{trial}");
        assert!(process.quarantine.take_trial(DEADLY, process.now));
        assert!(process.is_refused(DEADLY), "one at a time");
    }

    let mut other = Process { now: process.now, ..Process::default() };
    process.tell(&mut other);
    process.pass(RETENTION / 2);
    other.pass(RETENTION / 2);
    assert!(process.is_refused(DEADLY) && other.is_refused(DEADLY), "no third trial");

    assert!(process.quarantine.record_answer(DEADLY, process.now));
    process.tell(&mut other);
    assert_eq!(process.clearance(DEADLY), Clearance::Allow);
    assert_eq!(other.clearance(DEADLY), Clearance::Allow);
    let lasting = process.quarantine.take_stored_changes();
    assert_eq!(lasting.last(), Some(&StoredChange::Released(DEADLY)));
}

#[test]
fn a_late_report_does_not_bring_back_what_was_cleared() {
    let mut process = Process::default();
    process.quarantine(DEADLY);
    let mut other = Process { now: process.now, ..Process::default() };
    let stale = process.quarantine.snapshot(process.now);
    process.tell(&mut other);
    process.quarantine.record_answer(DEADLY, process.now);
    process.tell(&mut other);
    other.quarantine.apply_report(&stale, other.now);

    assert_eq!(other.clearance(DEADLY), Clearance::Allow);
}

#[test]
fn what_is_stored_is_refused_after_a_start() {
    let mut process = Process::default();
    process.quarantine.restore(DEADLY, 1, process.now);
    assert_eq!(process.clearance(DEADLY), Clearance::Refuse(SECOND_TRIAL_DELAY));
}

#[test]
fn nothing_is_known_any_more_in_the_end() {
    let mut process = Process::default();
    process.quarantine(DEADLY);
    process.crash(5, &[OTHER]);
    process.pass(RETENTION + CRASH_RETENTION * 2);
    process.quarantine.evict_expired(process.now);

    assert!(process.quarantine.is_idle());
    assert_eq!(
        process.quarantine.take_stored_changes().last(),
        Some(&StoredChange::Released(DEADLY))
    );
}

#[test]
fn memory_is_bounded_and_one_off_requests_go_first() {
    let mut process = Process::default();
    process.crash(0, &[DEADLY]);
    process.pass(ms(1000));
    process.crash(1, &[DEADLY]);

    for crash in 0..20_000u64 {
        process.pass(ms(20));
        let lost = TargetStart::listed("many", Some(crash));
        let one_off = 1000 + u128::from(crash) * 100;

        for request in one_off..one_off + 10 {
            process.quarantine.record_broken_attempt(&lost, request, process.now, process.now);
        }

        process.quarantine.record_probe(&lost, ProbeResult::Crashed, process.now);
    }

    let (crashes, suspects, _) = process.quarantine.len();
    assert!(crashes <= 1024 && suspects <= 32 << 10, "{crashes} crashes, {suspects} suspects");
    process.pass(ms(1000));
    process.crash(2, &[DEADLY]);
    process.pass(DECISION_DELAY);
    assert!(process.is_refused(DEADLY), "it is remembered");
}

#[test]
fn many_cleared_requests_keep_no_crash_from_being_told() {
    let mut process = Process::default();
    process.crash(0, &[DEADLY]);
    process.crash(1, &(100..1100).collect::<Vec<_>>());

    for request in 100..1100 {
        process.quarantine.record_answer(request, process.now);
    }

    let parts = process.quarantine.snapshot(process.now).into_parts(2);
    let mut other = Process { now: process.now, ..Process::default() };
    parts.iter().for_each(|part| drop(other.quarantine.apply_report(part, other.now)));
    assert_eq!(other.quarantine.digest(), process.quarantine.digest());
}

#[test]
fn answers_to_requests_that_nothing_speaks_against_leave_nothing() {
    let mut process = Process::default();
    process.crash(0, &[DEADLY]);

    for request in 100..10_000 {
        process.quarantine.record_answer(request, process.now);
    }

    assert!(process.quarantine.snapshot(process.now).cleared.is_empty());
    assert!(process.quarantine.take_updates().cleared.is_empty());
}

#[test]
fn quarantine_is_bounded() {
    let mut process = Process::default();

    for request in 0..3000 {
        process.pass(ms(10));
        process.quarantine.restore(request, 0, process.now);
    }

    let (.., held) = process.quarantine.len();
    assert_eq!(held, 1024);
    assert!(process.is_refused(2999) && !process.is_refused(0), "who is asked for stays");
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
fn a_report_comes_in_parts_and_is_whole_again() {
    let mut process = Process::default();
    process.quarantine(DEADLY);
    process.crash(7, &(100..400).collect::<Vec<_>>());
    let all = process.quarantine.snapshot(process.now);
    let parts = all.clone().into_parts(usize::MAX);
    assert!(parts.len() > 6);
    assert!(!parts[0].quarantined.is_empty(), "what is not sent goes first");

    let mut other = Process { now: process.now, ..Process::default() };
    parts.iter().rev().for_each(|part| drop(other.quarantine.apply_report(part, other.now)));
    assert_eq!(other.quarantine.digest(), process.quarantine.digest());
}

/// What a process sees.
#[derive(Clone, Debug)]
enum Seen {
    Crash { target: usize, runs: Vec<Fingerprint> },
    Answered(Fingerprint),
}

fn seen() -> impl Strategy<Value = Seen> {
    prop_oneof![
        3 => (0..12usize, prop::collection::vec(1..6u128, 1..4))
            .prop_map(|(target, runs)| Seen::Crash { target, runs }),
        1 => (1..6u128).prop_map(Seen::Answered),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever three processes see, in whatever order reports reach a fourth, and however often, it concludes the
    /// same as one that has them in order.
    #[test]
    fn the_order_of_reports_does_not_matter(
        seen in prop::collection::vec((0..3usize, seen(), 1..800u64), 1..24),
        order in prop::collection::vec(0..1000usize, 48),
    ) {
        let mut processes = [(); 3].map(|()| Process::default());
        let mut reports: Vec<(Moment, Report)> = Vec::new();
        let mut now = Moment::ZERO;

        for (at, what, pause) in seen {
            now += ms(pause);
            let process = &mut processes[at];
            process.now = now;

            match what {
                Seen::Crash { target, runs } => {
                    // Each crash is of a start of its own.
                    let start = TargetStart::listed(&format!("t{target}"), Some(now.as_millis() as u64));
                    runs.iter().for_each(|request| {
                        process.quarantine.record_broken_attempt(&start, *request, now, now);
                    });
                    process.quarantine.record_probe(&start, ProbeResult::Crashed, now);
                }
                Seen::Answered(request) => {
                    process.quarantine.record_answer(request, now);
                    // It is told although this process had nothing to clear.
                    let cleared = grebedeck_routing::report::ClearedReport { request, age_ms: 0 };
                    reports.push((now, Report { cleared: vec![cleared], ..Report::default() }));
                }
            }

            let news = process.quarantine.take_updates();
            reports.push((now, Report { quarantined: Vec::new(), ..news }));
        }

        let end = now + ms(1);
        let aged = |at: Moment, report: &Report| {
            let by = (end - at).as_millis() as u64;
            let mut report = report.clone();
            report.crashes.iter_mut().for_each(|crash| crash.age_ms += by);
            report.cleared.iter_mut().for_each(|cleared| cleared.age_ms += by);
            report
        };
        let mut in_order = Quarantine::default();
        reports.iter().for_each(|(at, report)| drop(in_order.apply_report(&aged(*at, report), end)));
        let mut shuffled = Quarantine::default();

        for at in order.iter().map(|at| at % reports.len()).chain((0..reports.len()).rev()) {
            let (at, report) = &reports[at];
            shuffled.apply_report(&aged(*at, report), end);
        }

        prop_assert_eq!(in_order.digest(), shuffled.digest());

        for request in 1..6 {
            prop_assert_eq!(in_order.suspicion(request), shuffled.suspicion(request));
        }
    }
}
