//! Telling a request's trace from the logs of several processes.
//!
//! A request has its id in every line that decides on it, and each line says how long after the
//! request's arrival it was decided. Clocks of instances differ and may jump, so lines of one process are
//! kept in their order, and only the offsets within a request are compared. Around them stand the changes
//! of what the same process believed.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

/// Changes of belief that are told in front of a request.
const CONTEXT_LINES: usize = 12;
/// Lines on requests; all others are changes of what a process believes.
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

/// One line of a log.
struct Line {
    event: String,
    fields: Map<String, Value>,
}

/// Tells the trace of a request; fails where no file holds it.
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
                context.drain(..).for_each(|before| trace.push_str(&tell("before", &before)));
            }

            let at_ms = line.fields.get("at_ms").and_then(Value::as_u64).unwrap_or(0);
            trace.push_str(&tell(&format!("{at_ms} ms"), &line));
        } else if !REQUEST_EVENTS.contains(&line.event.as_str()) {
            context.push_back(line);

            if context.len() > CONTEXT_LINES {
                context.pop_front();
            }
        }
    }

    trace
}

/// Reads a line; whatever stands before its JSON, such as a collector's own words, is kept out.
fn parse(text: &str) -> Option<Line> {
    let json: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let event = json.get("payload")?.as_str()?.to_string();
    let fields = json.get("kv").and_then(Value::as_object).cloned().unwrap_or_default();

    Some(Line { event, fields })
}

fn tell(when: &str, line: &Line) -> String {
    let hidden = ["request", "at_ms"];
    let shown = line.fields.iter().filter(|(name, _)| !hidden.contains(&name.as_str()));
    let fields: Vec<String> = shown.map(|(name, value)| format!("{name}={value}")).collect();

    format!("  {when:>8}  {}  {}\n", line.event, fields.join(" "))
}
