//! Event splitting, outages, pacing, wait limits and classification of responses.

use std::time::Duration;

use grebedeck_gateway::answer::{give_up_status, may_retry};
use grebedeck_gateway::wire::TargetLoad;
use grebedeck_gateway::{
    Availability, EventBuffer, Outage, OutageOptions, Pacing, PacingOptions, RequestKind, RunState,
    Verdict, WaitLimit, WaitLimitOptions, judge,
};
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn events_do_not_depend_on_how_the_body_is_chunked(
        texts in proptest::collection::vec("[a-z]{0,12}", 1..12),
        chunk_lengths in proptest::collection::vec(1usize..9, 1..60),
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let event = |(id, text): (usize, &String)| format!("id: {id}{end}data: {text}{end}{end}");
        let stream: String = texts.iter().enumerate().map(event).collect();
        let mut buffer = EventBuffer::default();
        let mut rest = stream.as_bytes();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();

        for chunk_length in chunk_lengths.iter().cycle() {
            let (chunk, left) = rest.split_at((*chunk_length).min(rest.len()));
            buffer.push(chunk);
            rest = left;

            while let Some(event) = buffer.next_event() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }

            if rest.is_empty() {
                break;
            }
        }

        prop_assert_eq!(ids, (0..texts.len() as u64).map(Some).collect::<Vec<_>>());
        prop_assert_eq!(bytes, stream.as_bytes());
        prop_assert!(buffer.remainder().is_empty());
    }
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let mut buffer = EventBuffer::default();
    buffer.push(b"id: 4\ndata: x\n");

    assert_eq!(buffer.next_event(), None);
    assert_eq!(buffer.remainder(), b"id: 4\ndata: x\n");
}

fn outage() -> Outage {
    let options = OutageOptions {
        failure_threshold: 3,
        expected_duration: MS(2000),
        overdue_estimate: MS(900),
        report_lifetime: MS(500),
        probe_interval: MS(50),
    };

    Outage::new(options, MS(0))
}

#[test]
fn a_service_is_out_after_failures_in_a_row_and_back_with_the_first_success() {
    let mut outage = outage();
    outage.record_success(MS(1000));
    assert!(!outage.record_failure(MS(1050)));
    assert!(!outage.record_failure(MS(1060)));
    assert_eq!(outage.availability(MS(1100)), Availability::Up);
    assert!(outage.record_failure(MS(1070)), "the third in a row");
    assert_eq!(outage.availability(MS(1500)), Availability::Out(MS(1500)));
    assert_eq!(outage.availability(MS(3500)), Availability::Out(MS(900)), "overdue");
    assert!(outage.record_success(MS(3600)));
    assert_eq!(outage.availability(MS(3600)), Availability::Up);
}

#[test]
fn single_failures_between_successes_are_no_outage() {
    let mut outage = outage();

    for at in 0..100 {
        outage.record_failure(MS(at));
        outage.record_failure(MS(at));
        outage.record_success(MS(at));
    }

    assert_eq!(outage.availability(MS(200)), Availability::Up);
}

/// In an incident, some ranks lost responses one after another. Gateways took the whole service for
/// out although its ranks reported that their group was open, and refused callers.
#[test]
fn failures_of_single_targets_are_no_outage_while_the_group_is_open() {
    let mut outage = outage();
    outage.record_open(7, 1, MS(1000));
    (1100..1200).for_each(|at| assert!(!outage.record_failure(MS(at))));
    assert_eq!(outage.availability(MS(1200)), Availability::Up);

    // A group whose ranks lost power still reports that it is open for a while.
    assert!(!outage.record_refusal());
    assert!(!outage.record_refusal());
    assert!(outage.record_refusal(), "the third refusal in a row");
    assert!(outage.record_open(7, 1, MS(1200)));

    assert!(
        outage.record_closed(7, 1, MS(1250)),
        "its own report that it is closed counts at once"
    );
    assert!(matches!(outage.availability(MS(1200)), Availability::Out(_)));
    assert!(outage.record_open(7, 1, MS(1300)));
    assert_eq!(outage.availability(MS(1300)), Availability::Up);
}

#[test]
fn probes_keep_their_interval() {
    let mut outage = outage();
    let probes = (0..1000).filter(|at| outage.try_probe(MS(*at))).count();

    assert_eq!(probes, 20);
}

#[test]
fn allowed_load_follows_the_pauses() {
    let mut pacing = Pacing::new(PacingOptions::new(MS(30), MS(125)));
    assert_eq!(pacing.allowed_load(1.0, 1.0, 2.0, MS(0)), 2.0, "nothing was observed");

    // A pass takes 30 ms plus 90 ms for the requests; the desired pause leaves less for them.
    (0..500).for_each(|at| pacing.record_pause(MS(120), MS(at)));
    let allowed = pacing.allowed_load(0.9, 1.0, 1.0, MS(500));
    let aimed_at = 0.9 * (pacing.desired_pause() - MS(30)).as_secs_f64() / MS(90).as_secs_f64();
    assert!((allowed - aimed_at).abs() < 0.01, "{allowed} {aimed_at}");
    assert!((0.5..0.9).contains(&allowed), "{allowed}");

    let old = pacing.allowed_load(0.9, 1.0, 2.0, MS(5000));
    assert_eq!(old, 2.0, "the observations have expired");
}

/// A stream is late if its longest pause is. With pauses that vary, a mean just below the limit
/// leaves many above it.
#[test]
fn the_desired_mean_pause_decreases_with_the_spread() {
    let aim = |off_ms: u64| {
        let mut pacing = Pacing::new(PacingOptions::new(MS(30), MS(120)));
        let pause = |at: u64| if at.is_multiple_of(2) { MS(70 - off_ms) } else { MS(70 + off_ms) };
        (0..10_000).for_each(|at| pacing.record_pause(pause(at), MS(at)));
        pacing.desired_pause()
    };

    assert!(aim(0) > MS(118), "{:?}", aim(0));
    // The mean deviation is 2/7 of the mean, and two deviations are kept below the limit.
    assert!(aim(20).abs_diff(MS(76)) < MS(2), "{:?}", aim(20));
    assert!(aim(65) >= MS(60), "the spread is bounded in an outage: {:?}", aim(65));
}

#[test]
fn a_request_waits_only_as_long_as_it_can_still_be_in_time() {
    let mut wait_limit = WaitLimit::new(WaitLimitOptions::default());
    assert_eq!(wait_limit.max_wait(MS(500)), MS(500), "nothing was observed");

    (0..1000).for_each(|_| wait_limit.record_answer(MS(180)));
    assert!(
        wait_limit.max_wait(MS(500)).abs_diff(MS(320)) < MS(2),
        "{:?}",
        wait_limit.max_wait(MS(500))
    );

    let took = |at: u64| if at.is_multiple_of(2) { MS(130) } else { MS(230) };
    (0..1000).for_each(|at| wait_limit.record_answer(took(at)));
    assert!(
        wait_limit.max_wait(MS(500)).abs_diff(MS(220)) < MS(5),
        "{:?}",
        wait_limit.max_wait(MS(500))
    );
    // No request would be in time; a slot that becomes free at once is still worth the wait.
    assert_eq!(wait_limit.max_wait(MS(150)), WaitLimitOptions::default().min_wait);
}

#[test]
fn a_slow_group_still_gets_some_requests() {
    let mut pacing = Pacing::new(PacingOptions::new(MS(30), MS(125)));
    pacing.record_pause(MS(5000), MS(1));

    assert!(pacing.allowed_load(0.5, 1.0, 1.0, MS(2)) >= 0.3);
}

/// While a group formed, a probe was sent every 40 ms and refused.
#[test]
fn no_probes_are_sent_while_the_group_reports_that_it_is_closed() {
    let mut outage = outage();
    assert!(outage.record_closed(7, 1, MS(1000)));
    assert!(!outage.try_probe(MS(1499)));
    assert!(outage.try_probe(MS(1500)), "its report has expired");

    assert!(!outage.record_closed(7, 1, MS(1600)), "it was already out");
    assert!(!outage.try_probe(MS(1700)));
    assert!(outage.record_open(7, 2, MS(1800)));
    assert!(!outage.record_closed(7, 1, MS(1900)), "a report of the previous formation");
    assert_eq!(outage.availability(MS(1900)), Availability::Up);
    assert!(outage.record_closed(7, 2, MS(2000)), "the new formation has failed");
    assert!(outage.record_open(7, 1, MS(2600)), "a group whose count has restarted");
}

#[test]
fn an_outage_is_overdue_once_it_has_lasted_longer_than_expected() {
    let mut outage = outage();
    assert!(!outage.is_overdue(MS(60_000)), "it is not out");
    assert!(outage.record_closed(7, 1, MS(1000)));

    let Availability::Out(left) = outage.availability(MS(0)) else { panic!("it is out") };
    assert!(!outage.is_overdue(left - MS(1)));
    assert!(outage.is_overdue(left));
}

/// One group that was forming used to mark the whole service as out, with its other groups.
#[test]
fn a_closed_group_is_no_outage_while_another_is_open() {
    let mut outage = outage();
    outage.record_open(7, 5, MS(1000));
    assert!(!outage.record_closed(8, 1, MS(1010)), "the other group is still open");
    assert_eq!(outage.availability(MS(1010)), Availability::Up);
    assert!(outage.is_closed(8, MS(1010)) && !outage.is_closed(7, MS(1010)));
    assert!(!outage.is_closed(8, MS(1600)), "its report has expired");

    assert!(outage.record_closed(7, 5, MS(1020)), "no group is open now");
    assert!(!outage.try_probe(MS(1030)));
    assert!(outage.record_open(8, 1, MS(1040)), "formations are counted per group");
}

#[test]
fn if_no_response_can_be_in_time_as_many_as_fit_are_admitted() {
    let mut pacing = Pacing::new(PacingOptions::new(MS(30), MS(125)));
    (0..500).for_each(|at| pacing.record_pause(MS(300), MS(at)));

    // A rank that is ten times slower makes passes of 300 ms whatever the load is.
    assert_eq!(pacing.allowed_load(0.5, 10.0, 1.0, MS(500)), 1.0);

    // Operators may allow less than the usual minimum load.
    assert_eq!(pacing.allowed_load(0.1, 10.0, 0.2, MS(500)), 0.2);

    // A stream that does not end before its deadline has used a slot for nothing.
    let options = PacingOptions::new(MS(30), MS(125)).with_deadline(MS(8000), 12.0);
    let mut pacing = Pacing::new(options);
    (0..500).for_each(|at| pacing.record_pause(MS(600), MS(at)));
    let allowed = pacing.allowed_load(1.0, 8.0, 1.0, MS(500));
    // An empty pass takes 240 ms, and the requests may add 93 ms for streams of 24 events.
    assert!((allowed - 93.0 / 360.0).abs() < 0.05, "{allowed}");
    // Without a slow rank the load itself is the cause, and reducing it helps.
    assert!(pacing.allowed_load(0.5, 1.0, 1.0, MS(500)) < 0.5);
}

#[test]
fn only_the_targets_own_statement_shows_that_a_request_has_not_run() {
    assert_eq!(judge(200, true, false), Verdict::Pass);
    assert_eq!(judge(200, false, false), Verdict::Unusable);
    assert_eq!(judge(503, false, true), Verdict::Refused);
    assert_eq!(judge(503, true, false), Verdict::Unusable);
    assert_eq!(judge(429, true, false), Verdict::Unusable);
    assert_eq!(judge(421, false, false), Verdict::OtherTarget);
    assert_eq!(judge(500, true, false), Verdict::Failure);
    assert_eq!(judge(400, true, true), Verdict::Refused);
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    for is_late in [false, true] {
        assert_eq!(give_up_status(RunState::NotRun, is_late), 503);
        assert!(matches!(give_up_status(RunState::MayHaveRun, is_late), 502 | 504));
    }

    assert!(!may_retry(RequestKind::Once, RunState::MayHaveRun));
    assert!(!may_retry(RequestKind::Stream { is_resumable: false }, RunState::MayHaveRun));
    assert!(may_retry(RequestKind::Once, RunState::NotRun));
    assert!(may_retry(RequestKind::Safe, RunState::MayHaveRun));
}

#[test]
fn an_unreadable_load_is_none() {
    let load = TargetLoad { running: 3, waiting: 0, slots: 8 };

    assert_eq!(TargetLoad::parse("3, 0,8"), Some(load));
    assert_eq!(TargetLoad::parse("3,0"), None);
    assert_eq!(TargetLoad::parse("a,b,c"), None);
}
