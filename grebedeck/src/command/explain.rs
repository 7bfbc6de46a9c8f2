//! The command `explain`: reconstructs a request's trace from the logs of several processes.
//!
//! Every log line on a decision about a request has the request's id and the time of the decision
//! since the request's arrival. The clocks of instances differ and may jump, so the lines of a
//! process keep their order, and only the offsets within a request are shown. The trace starts with
//! the state changes that the same process logged before the request.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

/// Maximum number of state changes shown before a request.
const CONTEXT_LINES: usize = 12;
/// Events on single requests; all others are changes of a process's state.
const REQUEST_EVENTS: [&str; 12] = [
    "request admitted",
    "request denied",
    "target chosen",
    "no place",
    "attempt failed",
    "target failed",
    "stream broke",
    "stream moved",
    "stream slow",
    "answer unread",
    "not repeated",
    "request ended",
];

/// Parsed line of a log.
struct Line {
    event: String,
    fields: Map<String, Value>,
}

/// Returns the trace of a request; fails if no file contains a line on it.
pub fn explain(id: &str, files: &[PathBuf]) -> anyhow::Result<String> {
    let mut trace = String::new();

    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|e| anyhow::anyhow!("{}: {e}", file.display()))?;
        trace.push_str(&explain_file(id, file, &text));
    }

    anyhow::ensure!(!trace.is_empty(), "{id}: no line of these logs is about this request");
    Ok(trace)
}

fn explain_file(id: &str, file: &Path, text: &str) -> String {
    let mut context: VecDeque<Line> = VecDeque::new();
    let mut trace = String::new();

    for line in text.lines().filter_map(parse) {
        if line.fields.get("request").and_then(Value::as_str) == Some(id) {
            if trace.is_empty() {
                trace = format!("{}\n", file.display());
                context
                    .drain(..)
                    .for_each(|earlier| trace.push_str(&format_line("before", &earlier)));
            }

            let at_ms = line.fields.get("at_ms").and_then(Value::as_u64).unwrap_or(0);
            trace.push_str(&format_line(&format!("{at_ms} ms"), &line));
        } else if !REQUEST_EVENTS.contains(&line.event.as_str()) {
            context.push_back(line);

            if context.len() > CONTEXT_LINES {
                context.pop_front();
            }
        }
    }

    trace
}

/// Parses a line; skips any text before the JSON, such as the prefix of a log collector.
fn parse(text: &str) -> Option<Line> {
    let json: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let event = json.get("payload")?.as_str()?.to_string();
    let fields = json.get("kv").and_then(Value::as_object).cloned().unwrap_or_default();

    Some(Line { event, fields })
}

fn format_line(when: &str, line: &Line) -> String {
    let hidden = ["request", "at_ms"];
    let shown = line.fields.iter().filter(|(name, _)| !hidden.contains(&name.as_str()));
    let fields: Vec<String> = shown.map(|(name, value)| format!("{name}={value}")).collect();

    format!("  {when:>8}  {}  {}\n", line.event, fields.join(" "))
}
