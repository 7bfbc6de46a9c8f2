//! Choice among the targets of a service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::random::SeededSource;
use grebedeck_gateway::{TargetEntry, TargetState, chooser_options};
use grebedeck_routing::{Chooser, LoadReport};

const NOW: Duration = Duration::from_secs(1);
const GATEWAYS: usize = 12;

fn targets(count: usize) -> Vec<Arc<TargetEntry>> {
    let target = |number: usize| TargetEntry {
        id: format!("target-{number:03}"),
        service: "model".to_string(),
        address: ([10, 0, 0, number as u8], 80).into(),
        hall: "hall".to_string(),
        slots: 10,
        state: TargetState::Serving,
        born_ms: None,
        cold: Duration::ZERO,
    };

    (0..count).map(|number| Arc::new(target(number))).collect()
}

fn report(running: u32, waiting: u32) -> LoadReport {
    LoadReport { in_flight: running + waiting, waiting, slots: 10 }
}

#[test]
fn gateways_with_the_same_load_reports_do_not_all_choose_the_same_target() {
    let all = targets(72);
    let mut chosen: HashMap<String, u32> = HashMap::new();

    for seed in 0..GATEWAYS {
        let mut chooser = Chooser::new("hall", chooser_options());
        let mut random = SeededSource::new(seed as u64);

        for (number, target) in all.iter().enumerate() {
            // One of them is idle.
            chooser.record_report(&target.id, report(u32::from(number > 0), 0), NOW);
        }

        // Requests of one gateway until the next load reports.
        for _ in 0..3 {
            let target = chooser.choose(&all, &[], NOW, &mut random).unwrap();
            chooser.record_sent(&target.id);
            *chosen.entry(target.id.clone()).or_default() += 1;
        }
    }

    let most = chosen.values().max().unwrap();
    assert!(*most <= 4, "{most} of {} requests at one of 72 targets", 3 * GATEWAYS);
}

#[test]
fn a_target_with_waiting_requests_is_passed_over_for_one_with_more_running() {
    let all = targets(2);
    let mut random = SeededSource::new(1);
    let mut chooser = Chooser::new("hall", chooser_options());
    chooser.record_report("target-000", report(0, 2), NOW);
    chooser.record_report("target-001", report(6, 0), NOW);

    assert!((0..50).all(|_| {
        let chosen = chooser.choose(&all, &[], NOW, &mut random).unwrap();
        chosen.id == "target-001"
    }));
}

#[test]
fn requests_sent_since_the_report_count_as_waiting() {
    let all = targets(2);
    let mut random = SeededSource::new(1);
    let mut chooser = Chooser::new("hall", chooser_options());
    chooser.record_report("target-000", report(0, 0), NOW);
    chooser.record_report("target-001", report(3, 0), NOW);
    chooser.record_sent("target-000");

    assert!((0..50).all(|_| {
        let chosen = chooser.choose(&all, &[], NOW, &mut random).unwrap();
        chosen.id == "target-001"
    }));
}

#[test]
fn slow_targets_get_nothing_while_enough_others_are_healthy() {
    let all = targets(4);
    let mut chooser = Chooser::new("hall", chooser_options());
    let later = NOW + Duration::from_secs(3);
    let steady = |chooser: &Chooser, now| chooser.without_slow(&all, now).len();

    assert!(chooser.set_slowdown("target-001", 4.0, NOW));
    assert!(!chooser.set_slowdown("target-001", 4.0, NOW), "it was already slow");
    assert_eq!(steady(&chooser, NOW), 3);
    assert_eq!(chooser.worst_slowdown(&all, NOW), 4.0);
    assert_eq!(steady(&chooser, later), 4, "its report has expired");
    assert_eq!(chooser.worst_slowdown(&all, later), 1.0);

    for target in &all {
        chooser.set_slowdown(&target.id, 4.0, NOW);
    }

    assert_eq!(steady(&chooser, NOW), 4, "if all are slow, all are used");
    assert!(chooser.set_slowdown("target-001", 1.0, NOW));
    assert_eq!(steady(&chooser, NOW), 4, "one of four is not enough");
    chooser.set_slowdown("target-002", 1.1, NOW);
    assert_eq!(steady(&chooser, NOW), 2);
}

/// A restarted target used to be excluded for as long as the state of its earlier start was valid.
#[test]
fn the_state_of_an_earlier_start_does_not_apply_to_the_next() {
    let mut chooser = Chooser::new("hall", chooser_options());
    chooser.record_listing("a", Some(1), 10);
    chooser.record_report("a", report(10, 30), NOW);
    chooser.set_slowdown("a", 12.0, NOW);

    for _ in 0..3 {
        chooser.record_sent_to_start("a", Some(1));
        chooser.record_end_at_start("a", Some(1), Some(false), NOW);
    }

    chooser.record_sent_to_start("a", Some(1));
    chooser.record_listing("a", Some(2), 4);
    let view = chooser.load_view("a", NOW);
    assert_eq!((view.in_flight, view.slots, view.report_age), (0.0, 4.0, None));
    let all = targets(1);
    assert_eq!(chooser.worst_slowdown(&all, NOW), 1.0);

    // The end of a request to the earlier start does not affect the next one.
    chooser.record_sent_to_start("a", Some(2));
    chooser.record_end_at_start("a", Some(1), Some(false), NOW);
    chooser.record_sent_to_start("a", Some(1));
    assert_eq!(chooser.own_in_flight("a"), 1);
    chooser.record_end_at_start("a", Some(2), Some(true), NOW);
    assert_eq!(chooser.own_in_flight("a"), 0);
}
