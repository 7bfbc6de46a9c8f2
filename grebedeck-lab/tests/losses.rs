//! Attribution of losses to causes.

use grebedeck_lab::losses::{Cause, Limits, Loss, LossSummary, find_losses};
use serde_json::{Value, json};

fn line(at_ms: i64, event: &str, fields: Value) -> String {
    json!({ "level": "info", "timestamp": at_ms, "payload": event, "kv": fields }).to_string()
}

fn slow_stream(ended_ms: i64, pause_ended_ms: i64, pause_ms: i64) -> String {
    let fields = json!({
        "request": format!("r{ended_ms}"), "at_ms": 1000, "first_event_ms": 600,
        "longest_pause_ms": pause_ms, "pause_ended_ms": 1000 - (ended_ms - pause_ended_ms),
    });

    line(ended_ms, "stream slow", fields)
}

fn causes(lines: &[String]) -> Vec<Cause> {
    let found: Vec<Loss> = find_losses(&[lines.join("\n")], Limits { pause_ms: 120 });

    found.into_iter().map(|loss| loss.cause).collect()
}

#[test]
fn pauses_are_attributed_to_events_in_progress() {
    let proposed =
        |at_ms, skew: f64| line(at_ms, "placement proposed", json!({ "skew_before": skew }));
    let in_use = |at_ms| line(at_ms, "placement in use", json!({}));
    let speed = |at_ms, slowdown: f64| {
        line(at_ms, "target's speed changed", json!({ "target": "i-1", "slowdown": slowdown }))
    };
    let lines = [
        // The leader was killed, so this change has no end.
        proposed(10_000, 2.0),
        proposed(20_000, 3.1),
        in_use(20_600),
        proposed(22_000, 2.1),
        in_use(22_600),
        speed(24_000, 12.0),
        speed(25_000, 1.0),
        line(30_000, "group open", json!({})),
        slow_stream(20_900, 19_900, 130),
        slow_stream(21_000, 20_500, 130),
        slow_stream(23_000, 22_100, 130),
        slow_stream(24_900, 24_500, 130),
        slow_stream(27_000, 26_500, 130),
        slow_stream(32_000, 31_500, 130),
        slow_stream(40_000, 39_500, 90),
    ];

    assert_eq!(
        causes(&lines),
        [
            Cause::ShiftNotYetSeen,
            Cause::CopyingAfterShift,
            Cause::Copying,
            Cause::SlowRank,
            Cause::Load,
            Cause::AfterOutage,
            Cause::FirstEvent,
        ]
    );
}

#[test]
fn refusals_by_all_targets_have_separate_causes() {
    for (reason, cause) in
        [("evacuated", Cause::RefusedEvacuated), ("resting", Cause::RefusedResting)]
    {
        let lines = [
            line(2, "no place", json!({ "request": "a", "at_ms": 0, "reason": reason })),
            line(3, "request ended", json!({ "request": "a", "at_ms": 0, "end": "refused" })),
        ];

        assert_eq!(causes(&lines), [cause]);
    }
}

#[test]
fn unserved_requests_are_attributed_to_their_outcome() {
    let ended = |at_ms, id: &str, end: &str| {
        line(at_ms, "request ended", json!({ "request": id, "at_ms": 5, "end": end }))
    };
    let no_place = |at_ms, id: &str, reason: &str| {
        line(at_ms, "no place", json!({ "request": id, "at_ms": 5, "reason": reason }))
    };
    let lines = [
        "line of a log collector without JSON".to_string(),
        line(1, "request admitted", json!({ "request": "a", "route": "notes" })),
        no_place(2, "a", "full"),
        ended(3, "a", "refused"),
        no_place(4, "b", "out"),
        ended(5, "b", "refused"),
        ended(6, "c", "timed_out"),
        ended(7, "d", "served"),
        ended(8, "e", "denied"),
        format!("edge-1 {}", ended(9, "f", "target_failed")),
    ];

    let expected = [Cause::RefusedFull, Cause::RefusedOut, Cause::TimedOut, Cause::Failed];
    assert_eq!(causes(&lines), expected);

    let found = find_losses(&[lines.join("\n")], Limits { pause_ms: 120 });
    let summary = LossSummary::new(&found, 3);
    assert_eq!(summary.by_route.get("notes"), Some(&1));
    assert_eq!(
        summary.by_span.values().map(|causes| causes.values().sum::<usize>()).sum::<usize>(),
        4
    );
    assert_eq!(summary.by_span.get(&0).map(|causes| causes.len()), Some(2));
}
