//! Which parts of prompts are read, suspected and quarantined.

use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_routing::cooldown::COOLDOWN;
use grebedeck_routing::prompt::{
    MAX_ID_DIGITS, MAX_PARTS, is_part, part_fingerprint, prompt_fingerprints, shared_part_ids,
};
use grebedeck_routing::quarantine::{DECISION_DELAY, ProbeResult};
use grebedeck_routing::{Clearance, Fingerprint, Fingerprints, Quarantine, TargetStart};
use proptest::prelude::*;

const SERVICE: &str = "model";
const COMMON: &str = "c0";
const POISON: &str = "dead";
const RARE: &str = "ab";
const COMMON_ONLY: &[&str] = &[COMMON];

/// A process with a clock of its own, which numbers its requests.
#[derive(Default)]
struct Process {
    quarantine: Quarantine,
    now: Moment,
    requests: Fingerprint,
    targets: usize,
}

impl Process {
    /// A request that no other is like, with these shared parts.
    fn request(&mut self, parts: &[&str]) -> Fingerprints {
        self.requests += 1;
        let ids: Vec<String> = parts.iter().map(|id| id.to_string()).collect();

        Fingerprints { request: self.requests, prompt: prompt_fingerprints(SERVICE, &ids) }
    }

    /// Runs requests with these parts on a new target that crashes, beside others that are cut off
    /// by it on targets that do not.
    fn crash(&mut self, on_target: &[&[&str]], elsewhere: &[&[&str]]) {
        self.targets += 1;
        let start = TargetStart::listed(&format!("t{}", self.targets), Some(1));

        for parts in on_target {
            let request = self.request(parts);
            self.quarantine.record_run(&request.prompt);
            self.quarantine.record_broken_attempt(&start, &request, self.now, self.now);
        }

        for parts in elsewhere {
            let request = self.request(parts);
            self.quarantine.record_run(&request.prompt);
        }

        self.quarantine.record_probe(&start, ProbeResult::Crashed, self.now);
        self.now += Duration::from_secs(4);
    }

    fn answer(&mut self, parts: &[&str], is_success: bool) {
        let request = self.request(parts);
        self.quarantine.record_run(&request.prompt);
        self.quarantine.record_answer(&request, is_success, self.now);
        self.now += Duration::from_millis(1);
    }

    fn answer_many(&mut self, parts: &[&str]) {
        (0..50).for_each(|_| self.answer(parts, true));
    }

    fn clearance(&mut self, parts: &[&str]) -> Clearance {
        self.quarantine.decide(self.now);
        let request = self.request(parts);

        self.quarantine.clearance(&request, self.now)
    }

    fn is_refused(&mut self, parts: &[&str]) -> bool {
        matches!(self.clearance(parts), Clearance::Refuse(_))
    }

    fn is_held_back(&mut self, parts: &[&str]) -> bool {
        let request = self.request(parts);

        self.quarantine.part_cooldown(&request, self.now).is_some()
    }

    fn send_updates(&mut self, other: &mut Process) {
        let updates = self.quarantine.take_updates();
        other.quarantine.apply_report(&updates, other.now);
    }
}

fn ids(header: &str) -> Vec<String> {
    shared_part_ids([header.as_bytes()])
}

#[test]
fn the_last_part_of_a_prompt_is_never_suspected() {
    assert_eq!(ids("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), ["5c1e07a2", "91bd3f06"]);
    assert_eq!(ids("5c1e07a2:800"), Vec::<String>::new());
    assert_eq!(ids(""), Vec::<String>::new());
    assert_eq!(shared_part_ids([b"a1:1,b2:2".as_slice(), b"c3:3"]), ["a1", "b2"]);
}

#[test]
fn malformed_equal_and_endless_parts_are_bounded() {
    assert_eq!(ids("AB:1, ab :2,Ab,c:3"), ["ab"]);
    assert_eq!(ids("xyz:1,:2,,  ,a1:x:y,-1:4,e:5"), ["a1"]);
    assert_eq!(ids(&format!("{}:1,{}:1,e:1", "a".repeat(MAX_ID_DIGITS + 1), "b")), ["b"]);
    let many: Vec<String> = (0..500).map(|n| format!("{n:x}:1")).collect();
    assert_eq!(ids(&many.join(",")).len(), MAX_PARTS);
}

#[test]
fn parts_differ_by_service_and_are_recognised() {
    assert_ne!(part_fingerprint("a", "1"), part_fingerprint("b", "1"));
    assert_ne!(part_fingerprint("a", "1"), part_fingerprint("a", "2"));
    assert!(is_part(part_fingerprint("a", "1")));
    assert!(!is_part(1));
}

#[test]
fn a_part_with_three_crashes_is_refused_and_the_common_one_is_not() {
    let mut process = Process::default();
    process.answer_many(&[COMMON]);

    for _ in 0..3 {
        let poison: &[&str] = &[COMMON, POISON];
        process.crash(&[poison, &[COMMON]], &[COMMON_ONLY; 4]);
    }

    assert!(process.is_refused(&[COMMON, POISON]));
    assert!(process.is_refused(&[POISON]));
    assert_eq!(process.clearance(&[COMMON]), Clearance::Allow);
}

#[test]
fn without_any_answer_the_part_with_most_of_its_runs_crashed_is_refused() {
    let mut process = Process::default();

    for _ in 0..3 {
        let poison: &[&str] = &[COMMON, POISON];
        process.crash(&[poison, &[COMMON]], &[COMMON_ONLY; 10]);
    }

    assert!(process.is_refused(&[COMMON, POISON]));
    assert_eq!(process.clearance(&[COMMON]), Clearance::Allow);
}

#[test]
fn crashes_in_few_of_its_runs_do_not_accuse_a_part() {
    for is_answered in [true, false] {
        let mut process = Process::default();

        if is_answered {
            process.answer_many(&[COMMON]);
        }

        for _ in 0..5 {
            process.crash(&[&[COMMON]], &[COMMON_ONLY; 12]);
        }

        assert_eq!(process.clearance(&[COMMON]), Clearance::Allow, "{is_answered}");
    }
}

#[test]
fn a_part_that_was_answered_before_it_turned_poison_is_refused() {
    let mut process = Process::default();
    process.answer_many(&[COMMON]);
    process.answer_many(&[COMMON, POISON]);

    for _ in 0..3 {
        let poison: &[&str] = &[COMMON, POISON];
        process.crash(&[poison], &[COMMON_ONLY; 6]);
    }

    assert!(process.is_refused(&[COMMON, POISON]));
    assert_eq!(process.clearance(&[COMMON]), Clearance::Allow);
}

#[test]
fn of_two_parts_that_always_crash_together_only_requests_with_both_are_refused() {
    let mut process = Process::default();

    for _ in 0..3 {
        let poison: &[&str] = &[RARE, POISON];
        process.crash(&[poison], &[]);
    }

    assert!(process.is_refused(&[RARE, POISON]));
    assert_eq!(process.clearance(&[RARE]), Clearance::Allow);
    process.answer(&[RARE], true);
    assert!(process.is_refused(&[RARE, POISON]));
    assert!(process.is_refused(&[POISON]));
    assert_eq!(process.clearance(&[RARE]), Clearance::Allow);
}

#[test]
fn requests_with_one_part_of_a_pair_are_sent_although_both_are_quarantined() {
    let (mut first, mut second) = (Process::default(), Process::default());

    for process in [&mut first, &mut second] {
        (0..3).for_each(|_| process.crash(&[&[COMMON, POISON]], &[]));
    }

    // Each has its own runs, from which it concludes that another part is the cause.
    (0..2).for_each(|_| first.crash(&[], &[&[POISON], &[POISON], &[POISON]]));
    (0..2).for_each(|_| second.crash(&[], &[COMMON_ONLY; 3]));
    first.quarantine.decide(first.now);
    second.quarantine.decide(second.now);
    let (from_first, from_second) =
        (first.quarantine.take_updates(), second.quarantine.take_updates());
    first.quarantine.apply_report(&from_second, first.now);
    second.quarantine.apply_report(&from_first, second.now);

    for process in [&mut first, &mut second] {
        assert_eq!(process.quarantine.len().2, 2, "both parts are in quarantine");
        assert_eq!(process.clearance(&[COMMON]), Clearance::Allow);
        assert!(process.is_refused(&[COMMON, POISON]));
    }
}

#[test]
fn a_crash_under_one_of_two_parts_accuses_that_one() {
    let mut process = Process::default();

    for _ in 0..3 {
        let poison: &[&str] = &[RARE, POISON];
        process.crash(&[poison], &[]);
    }

    assert_eq!(process.clearance(&[POISON]), Clearance::Allow);
    process.crash(&[&[POISON]], &[]);
    assert!(process.is_refused(&[POISON]) || process.is_refused(&[POISON, RARE]));
    process.crash(&[&[POISON]], &[]);
    process.crash(&[&[POISON]], &[]);
    assert!(process.is_refused(&[POISON]));
}

#[test]
fn a_failure_of_the_target_does_not_clear_a_part() {
    for (is_success, is_refused) in [(false, true), (true, false)] {
        let mut process = Process::default();

        for _ in 0..3 {
            process.crash(&[&[POISON]], &[]);
            process.answer(&[POISON], is_success);
        }

        assert_eq!(process.is_refused(&[POISON]), is_refused, "{is_success}");
    }
}

#[test]
fn one_crash_holds_back_the_part_that_was_never_answered() {
    let mut process = Process::default();
    process.answer_many(&[COMMON]);
    process.crash(&[&[COMMON, POISON], &[COMMON]], &[]);
    assert!(process.is_held_back(&[COMMON, POISON]));
    assert!(!process.is_held_back(&[COMMON]));
    process.now += COOLDOWN;
    assert!(!process.is_held_back(&[COMMON, POISON]));
}

#[test]
fn a_process_that_knows_few_answers_holds_no_part_back() {
    let mut process = Process::default();
    process.answer(&[RARE], true);
    process.crash(&[&[COMMON, POISON], &[COMMON]], &[]);
    assert!(!process.is_held_back(&[COMMON]));
}

#[test]
fn a_process_that_observes_no_crash_learns_which_parts_were_answered() {
    let (mut observer, mut other) = (Process::default(), Process::default());
    observer.answer_many(&[COMMON]);
    other.answer_many(&[RARE]);
    observer.now += Duration::from_secs(5);
    other.now += Duration::from_secs(900);
    observer.crash(&[&[COMMON, POISON], &[COMMON]], &[]);
    observer.send_updates(&mut other);

    assert!(!other.is_held_back(&[COMMON]));
    assert!(other.is_held_back(&[COMMON, POISON]));
}

#[test]
fn a_process_without_runs_of_a_part_leaves_the_decision_to_others() {
    let (mut observer, mut other) = (Process::default(), Process::default());

    for _ in 0..3 {
        observer.crash(&[&[COMMON, POISON]], &[COMMON_ONLY; 5]);
    }

    observer.send_updates(&mut other);
    other.now += DECISION_DELAY * 2;
    assert_eq!(other.clearance(&[COMMON]), Clearance::Allow);
    assert!(observer.is_refused(&[COMMON, POISON]));
    observer.send_updates(&mut other);
    assert!(other.is_refused(&[COMMON, POISON]));
    assert_eq!(other.clearance(&[COMMON]), Clearance::Allow);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(56), ..ProptestConfig::default() })]

    /// Whatever header a caller sends, its parts are bounded, different and well formed.
    #[test]
    fn any_header_gives_bounded_parts(values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 0..4)) {
        let parts = shared_part_ids(values.iter().map(Vec::as_slice));
        let mut distinct = parts.clone();
        distinct.sort();
        distinct.dedup();
        prop_assert_eq!(distinct.len(), parts.len());
        prop_assert!(parts.len() <= MAX_PARTS);
        prop_assert!(parts.iter().all(|id| (1..=MAX_ID_DIGITS).contains(&id.len())));
    }
}
