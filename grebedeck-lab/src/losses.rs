//! Where worth was lost, by the logs of gateways and rank processes.
//!
//! Each stream that came late, and each request that was refused or failed, is put down to one cause: what
//! was under way at the moment of its longest pause, or why there was no place for it. Moments are those of
//! the lines' own timestamps, so the logs have to be of machines whose clocks agree within some
//! milliseconds.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;
use serde_json::{Map, Value};

/// A moment in milliseconds of the logs' clock.
type StampMs = i64;

/// How long before a placement is proposed a shift of what is popular has been under way: the time of a few
/// counts.
const SHIFT_LEAD_MS: StampMs = 500;
/// How long after a process started, or a service was out, long pauses are put down to that: callers return
/// together, and the first placement is not in use yet.
const RETURN_MS: StampMs = 5_000;
/// How long a change of placement lasts at the most: one whose leader is gone has no end in the logs.
const MAX_CHANGE_MS: StampMs = 5_000;
/// Skew above which a change of placement answers a shift, and not some drift.
const SHIFT_SKEW: f64 = 2.3;

/// Why a request was not served in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// A long pause before a placement that answers a shift was proposed.
    ShiftNotYetSeen,
    /// A long pause while ranks copied experts for a placement that answers a shift.
    CopyingAfterShift,
    /// A long pause while ranks copied experts for another placement.
    Copying,
    /// A long pause while a rank was slow.
    SlowRank,
    /// A long pause after processes had started or the service had been out.
    AfterOutage,
    /// A long pause for none of these reasons.
    Load,
    /// Only the first event came late.
    FirstEvent,
    /// Refused, as all places were taken.
    RefusedFull,
    /// Refused, as too many prompts had begun.
    RefusedPaced,
    /// Refused, as the service was out.
    RefusedOut,
    /// Refused, as all targets stood in evacuated halls.
    RefusedEvacuated,
    /// Refused, as all targets had asked for rest.
    RefusedResting,
    /// Refused for another reason.
    RefusedOther,
    /// The time was over.
    TimedOut,
    /// The stream was cut.
    Cut,
    /// Failed in another way, by a target's own failure among others.
    Failed,
}

/// One request that was not served in time.
#[derive(Clone, Debug, Serialize)]
pub struct Loss {
    /// When it was decided: the end of its longest pause, or of the request.
    pub at_ms: StampMs,
    /// Why.
    pub cause: Cause,
    /// Its route, where the log has it.
    pub route: Option<String>,
}

/// One line of a log.
struct Line {
    at_ms: StampMs,
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

/// What went on in the whole system.
#[derive(Debug, Default)]
struct Events {
    /// Changes of placement: proposed, in use, and whether each answers a shift.
    changes: Vec<(StampMs, StampMs, bool)>,
    /// When processes started and services were out or came back.
    outages: Vec<StampMs>,
    /// Spans in which a rank was slow.
    slow: Vec<(StampMs, StampMs)>,
}

impl Events {
    fn note(&mut self, line: &Line, slow_since: &mut HashMap<String, StampMs>) {
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
                    self.slow.push((since, line.at_ms));
                }
            }
            _ => {}
        }
    }

    fn end_change(&mut self, at_ms: StampMs) {
        if let Some(change) = self.changes.last_mut() {
            change.1 = change.1.min(at_ms);
        }
    }

    /// Gets the cause of a pause that began and ended at these moments.
    fn cause_of_pause(&self, began_ms: StampMs, ended_ms: StampMs) -> Cause {
        let is_in = |from: StampMs, to: StampMs| from <= ended_ms && began_ms < to;

        if self.outages.iter().any(|out| is_in(*out, *out + RETURN_MS)) {
            return Cause::AfterOutage;
        }

        if self.slow.iter().any(|(from, to)| is_in(*from, *to)) {
            return Cause::SlowRank;
        }

        for (proposed, in_use, is_shift) in &self.changes {
            if is_in(*proposed, *in_use) {
                return if *is_shift { Cause::CopyingAfterShift } else { Cause::Copying };
            }

            if *is_shift && is_in(*proposed - SHIFT_LEAD_MS, *proposed) {
                return Cause::ShiftNotYetSeen;
            }
        }

        Cause::Load
    }
}

/// What a log tells of one request.
#[derive(Debug, Default)]
struct Request {
    route: Option<String>,
    no_place: Option<String>,
}

/// What streams are wanted to keep to.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest wanted pause between two events, in milliseconds.
    pub pause_ms: i64,
}

/// Finds the losses that logs tell of.
pub fn find_losses(texts: &[String], limits: Limits) -> Vec<Loss> {
    let mut lines: Vec<Line> =
        texts.iter().flat_map(|t| t.lines()).filter_map(Line::parse).collect();
    // Sorting keeps the order of one process's lines.
    lines.sort_by_key(|line| line.at_ms);
    let mut events = Events::default();
    let mut slow_since = HashMap::new();
    lines.iter().for_each(|line| events.note(line, &mut slow_since));
    events.slow.extend(slow_since.into_values().map(|since| (since, StampMs::MAX)));
    let mut requests: HashMap<String, Request> = HashMap::new();
    let mut losses = Vec::new();

    for line in &lines {
        let request = requests.entry(line.text("request").to_string()).or_default();

        match line.event.as_str() {
            "request admitted" => request.route = Some(line.text("route").to_string()),
            "no place" => request.no_place = Some(line.text("reason").to_string()),
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
                if let Some(cause) = cause_of_end(line.text("end"), request) {
                    losses.push(Loss { at_ms: line.at_ms, cause, route: request.route.clone() });
                }
            }
            _ => {}
        }
    }

    losses
}

fn cause_of_end(end: &str, request: &Request) -> Option<Cause> {
    match (end, request.no_place.as_deref()) {
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

/// Losses by cause and by span of time.
#[derive(Clone, Debug, Serialize)]
pub struct LossSummary {
    /// First moment of the logs' losses.
    pub from_ms: StampMs,
    /// Length of a span.
    pub span_ms: StampMs,
    /// Losses by cause.
    pub by_cause: BTreeMap<Cause, usize>,
    /// Losses by route.
    pub by_route: BTreeMap<String, usize>,
    /// Losses by span, counted from `from_ms`, and cause.
    pub by_span: BTreeMap<StampMs, BTreeMap<Cause, usize>>,
}

impl LossSummary {
    /// Counts losses in spans of `span_ms`.
    pub fn new(losses: &[Loss], span_ms: StampMs) -> Self {
        let from_ms = losses.iter().map(|l| l.at_ms).min().unwrap_or(0);
        let mut table = LossSummary {
            from_ms,
            span_ms: span_ms.max(1),
            by_cause: BTreeMap::new(),
            by_route: BTreeMap::new(),
            by_span: BTreeMap::new(),
        };

        for loss in losses {
            let route = loss.route.clone().unwrap_or_else(|| "not known".to_string());
            let span = (loss.at_ms - from_ms) / table.span_ms;
            *table.by_cause.entry(loss.cause).or_default() += 1;
            *table.by_route.entry(route).or_default() += 1;
            *table.by_span.entry(span).or_default().entry(loss.cause).or_default() += 1;
        }

        table
    }
}
