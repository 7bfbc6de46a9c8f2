//! Causes of late, refused and failed requests, from the logs of gateways and rank processes.
//!
//! Each late stream and each refused or failed request is attributed to one cause: an event in
//! progress during its longest pause, or the reason why it got no slot. Times are the timestamps of
//! the log lines, so the clocks of the machines must agree within a few milliseconds.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;
use serde_json::{Map, Value};

/// Timestamp of a log line, in milliseconds.
type TimestampMs = i64;

/// Assumed time from a shift of popularity to the proposed placement that follows it: the time of a
/// few counts.
const SHIFT_LAG_MS: TimestampMs = 500;
/// Time after the start of a process or an outage of a service during which long pauses are
/// attributed to it: all callers return at once, and the first placement is not in use yet.
const RECOVERY_MS: TimestampMs = 5_000;
/// Maximum duration of a placement change. A change whose leader is gone has no end in the logs.
const MAX_CHANGE_MS: TimestampMs = 5_000;
/// Skew above which a placement change is a response to a shift of popularity and not to drift.
const SHIFT_SKEW: f64 = 2.3;

/// Cause of a request's loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Long pause after a shift of popularity, before the new placement was proposed.
    ShiftNotYetSeen,
    /// Long pause while ranks copied experts in response to a shift.
    CopyingAfterShift,
    /// Long pause while ranks copied experts for any other placement.
    Copying,
    /// Long pause while a rank was slow.
    SlowRank,
    /// Long pause after the start of a process or an outage of the service.
    AfterOutage,
    /// Long pause without any of these causes.
    Load,
    /// Late first event without a long pause.
    FirstEvent,
    /// Refused because all slots were taken.
    RefusedFull,
    /// Refused because too many prompts had begun.
    RefusedPaced,
    /// Refused because the service was out.
    RefusedOut,
    /// Refused because all targets were in evacuated halls.
    RefusedEvacuated,
    /// Refused because all targets had requested a delay.
    RefusedResting,
    /// Refused for another reason.
    RefusedOther,
    /// Deadline passed.
    TimedOut,
    /// Stream cut off.
    Cut,
    /// Any other failure, including those of the target itself.
    Failed,
}

/// Request that was late, refused or failed.
#[derive(Clone, Debug, Serialize)]
pub struct Loss {
    /// End of the longest pause, or of the request.
    pub at_ms: TimestampMs,
    /// Cause.
    pub cause: Cause,
    /// Route, if the log contains it.
    pub route: Option<String>,
}

/// Parsed log line.
struct Line {
    at_ms: TimestampMs,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let json: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let fields = json.get("kv").and_then(Value::as_object).cloned().unwrap_or_default();

        Some(Line {
            at_ms: json.get("timestamp")?.as_i64()?,
            event: json.get("payload")?.as_str()?.to_string(),
            fields,
        })
    }

    fn number(&self, field: &str) -> i64 {
        self.fields.get(field).and_then(Value::as_i64).unwrap_or(0)
    }

    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }
}

/// Events that affect more than one request.
#[derive(Debug, Default)]
struct Events {
    /// Placement changes: time of the proposal, end, and whether it responds to a shift.
    changes: Vec<(TimestampMs, TimestampMs, bool)>,
    /// Starts of processes, and beginnings and ends of outages.
    outages: Vec<TimestampMs>,
    /// Time spans during which a rank was slow.
    slow_spans: Vec<(TimestampMs, TimestampMs)>,
}

impl Events {
    fn record(&mut self, line: &Line, slow_since: &mut HashMap<String, TimestampMs>) {
        match line.event.as_str() {
            "placement proposed" => {
                let skew = line.fields.get("skew_before").and_then(Value::as_f64).unwrap_or(0.0);
                self.changes.push((line.at_ms, line.at_ms + MAX_CHANGE_MS, skew > SHIFT_SKEW));
            }
            "placement in use" | "placement given up" => self.end_change(line.at_ms),
            "started" | "service out" | "service back" | "group open" => {
                self.outages.push(line.at_ms);
            }
            "target's speed changed" => {
                let target = line.text("target").to_string();
                let slowdown = line.fields.get("slowdown").and_then(Value::as_f64).unwrap_or(1.0);

                if slowdown > 1.0 {
                    slow_since.entry(target).or_insert(line.at_ms);
                } else if let Some(since) = slow_since.remove(&target) {
                    self.slow_spans.push((since, line.at_ms));
                }
            }
            _ => {}
        }
    }

    fn end_change(&mut self, at_ms: TimestampMs) {
        if let Some(change) = self.changes.last_mut() {
            change.1 = change.1.min(at_ms);
        }
    }

    /// Gets the cause of a pause with the given beginning and end.
    fn cause_of_pause(&self, began_ms: TimestampMs, ended_ms: TimestampMs) -> Cause {
        let overlaps = |from: TimestampMs, to: TimestampMs| from <= ended_ms && began_ms < to;

        if self.outages.iter().any(|out| overlaps(*out, *out + RECOVERY_MS)) {
            return Cause::AfterOutage;
        }

        if self.slow_spans.iter().any(|(from, to)| overlaps(*from, *to)) {
            return Cause::SlowRank;
        }

        for (proposed, in_use, is_shift) in &self.changes {
            if overlaps(*proposed, *in_use) {
                return if *is_shift { Cause::CopyingAfterShift } else { Cause::Copying };
            }

            if *is_shift && overlaps(*proposed - SHIFT_LAG_MS, *proposed) {
                return Cause::ShiftNotYetSeen;
            }
        }

        Cause::Load
    }
}

/// Fields of a request's earlier log lines.
#[derive(Debug, Default)]
struct Request {
    route: Option<String>,
    refusal: Option<String>,
}

/// Limits of a timely stream.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest acceptable pause between two events.
    pub pause_ms: i64,
}

/// Finds the losses in the contents of log files.
pub fn find_losses(texts: &[String], limits: Limits) -> Vec<Loss> {
    let mut lines: Vec<Line> =
        texts.iter().flat_map(|t| t.lines()).filter_map(Line::parse).collect();
    // The sort is stable, so lines of one process stay in order.
    lines.sort_by_key(|line| line.at_ms);
    let mut events = Events::default();
    let mut slow_since = HashMap::new();
    lines.iter().for_each(|line| events.record(line, &mut slow_since));
    events.slow_spans.extend(slow_since.into_values().map(|since| (since, TimestampMs::MAX)));
    let mut requests: HashMap<String, Request> = HashMap::new();
    let mut losses = Vec::new();

    for line in &lines {
        let request = requests.entry(line.text("request").to_string()).or_default();

        match line.event.as_str() {
            "request admitted" => request.route = Some(line.text("route").to_string()),
            "no place" => request.refusal = Some(line.text("reason").to_string()),
            "stream slow" => {
                let began_ms = line.at_ms - line.number("at_ms");
                let at_ms = began_ms + line.number("pause_ended_ms");
                let is_pause = line.number("longest_pause_ms") > limits.pause_ms;
                let paused_from_ms = at_ms - line.number("longest_pause_ms");
                let cause = match is_pause {
                    true => events.cause_of_pause(paused_from_ms, at_ms),
                    false => Cause::FirstEvent,
                };
                losses.push(Loss { at_ms, cause, route: request.route.clone() });
            }
            "request ended" => {
                if let Some(cause) = cause_of_outcome(line.text("end"), request) {
                    losses.push(Loss { at_ms: line.at_ms, cause, route: request.route.clone() });
                }
            }
            _ => {}
        }
    }

    losses
}

fn cause_of_outcome(end: &str, request: &Request) -> Option<Cause> {
    match (end, request.refusal.as_deref()) {
        ("refused", Some("full")) => Some(Cause::RefusedFull),
        ("refused", Some("paced")) => Some(Cause::RefusedPaced),
        ("refused", Some("out")) => Some(Cause::RefusedOut),
        ("refused", Some("evacuated")) => Some(Cause::RefusedEvacuated),
        ("refused", Some("resting")) => Some(Cause::RefusedResting),
        ("refused", _) => Some(Cause::RefusedOther),
        ("timed_out", _) => Some(Cause::TimedOut),
        ("cut", _) => Some(Cause::Cut),
        ("failed" | "target_failed", _) => Some(Cause::Failed),
        _ => None,
    }
}

/// Numbers of losses by cause, route and time span.
#[derive(Clone, Debug, Serialize)]
pub struct LossSummary {
    /// Time of the first loss.
    pub from_ms: TimestampMs,
    /// Length of a span.
    pub span_ms: TimestampMs,
    /// Losses by cause.
    pub by_cause: BTreeMap<Cause, usize>,
    /// Losses by route.
    pub by_route: BTreeMap<String, usize>,
    /// Losses by index of the span, starting at `from_ms`, and by cause.
    pub by_span: BTreeMap<TimestampMs, BTreeMap<Cause, usize>>,
}

impl LossSummary {
    /// Counts losses in spans of `span_ms` milliseconds.
    pub fn new(losses: &[Loss], span_ms: TimestampMs) -> Self {
        let from_ms = losses.iter().map(|l| l.at_ms).min().unwrap_or(0);
        let mut summary = LossSummary {
            from_ms,
            span_ms: span_ms.max(1),
            by_cause: BTreeMap::new(),
            by_route: BTreeMap::new(),
            by_span: BTreeMap::new(),
        };

        for loss in losses {
            let route = loss.route.clone().unwrap_or_else(|| "not known".to_string());
            let span = (loss.at_ms - from_ms) / summary.span_ms;
            *summary.by_cause.entry(loss.cause).or_default() += 1;
            *summary.by_route.entry(route).or_default() += 1;
            *summary.by_span.entry(span).or_default().entry(loss.cause).or_default() += 1;
        }

        summary
    }
}
