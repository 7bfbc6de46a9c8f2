//! Label selectors, in the syntax that operators know from cluster schedulers.
//!
//! A selector is a comma-separated list of requirements, all of which must hold: `key=value` (or
//! `==`), `key!=value`, `key in (a, b)`, `key notin (a, b)`, `key` and `!key`. `!=` and `notin`
//! also match labels without the key. An empty selector matches everything.

use crate::label::{Labels, is_label_text};

/// Maximum number of requirements in one selector.
pub const MAX_REQUIREMENTS: usize = 32;

/// A parsed selector.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Selector {
    requirements: Vec<Requirement>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Requirement {
    Exists(String),
    Absent(String),
    In(String, Vec<String>),
    NotIn(String, Vec<String>),
}

impl Requirement {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Requirement::Exists(key) => labels.contains_key(key),
            Requirement::Absent(key) => !labels.contains_key(key),
            Requirement::In(key, values) => labels.get(key).is_some_and(|v| values.contains(v)),
            Requirement::NotIn(key, values) => labels.get(key).is_none_or(|v| !values.contains(v)),
        }
    }
}

impl Selector {
    /// Parses a selector. The error describes the invalid part for the operator.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut requirements = Vec::new();

        for part in split_requirements(text)? {
            requirements.push(parse_requirement(part)?);
        }

        if requirements.len() > MAX_REQUIREMENTS {
            return Err(format!("at most {MAX_REQUIREMENTS} requirements"));
        }

        Ok(Selector { requirements })
    }

    /// Whether all requirements hold for the labels.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements.iter().all(|r| r.matches(labels))
    }
}

/// Splits at the commas outside parentheses.
fn split_requirements(text: &str) -> Result<Vec<&str>, String> {
    if text.trim().is_empty() {
        return Ok(Vec::new());
    }

    let mut parts = Vec::new();
    let mut start = 0;
    let mut depth = 0u32;

    for (at, c) in text.char_indices() {
        match c {
            '(' if depth > 0 => return Err(format!("`(` within a list at byte {at}")),
            '(' => depth += 1,
            ')' if depth == 0 => return Err(format!("`)` without `(` at byte {at}")),
            ')' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&text[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }

    if depth > 0 {
        return Err("`(` is not closed".to_string());
    }

    parts.push(&text[start..]);
    Ok(parts)
}

fn parse_requirement(part: &str) -> Result<Requirement, String> {
    let part = part.trim();

    if let Some(open) = part.find('(') {
        return parse_list(part, open);
    }

    if let Some((key, value)) = part.split_once("!=") {
        return Ok(Requirement::NotIn(parse_key(key)?, vec![parse_value(value)?]));
    }

    if let Some((key, value)) = part.split_once("==").or_else(|| part.split_once('=')) {
        return Ok(Requirement::In(parse_key(key)?, vec![parse_value(value)?]));
    }

    if let Some(key) = part.strip_prefix('!') {
        return Ok(Requirement::Absent(parse_key(key)?));
    }

    Ok(Requirement::Exists(parse_key(part)?))
}

fn parse_list(part: &str, open: usize) -> Result<Requirement, String> {
    let Some(values) = part[open + 1..].strip_suffix(')') else {
        return Err(format!("`{part}`: text after `)`"));
    };

    let mut head = part[..open].split_whitespace();
    let (key, operator, rest) = (head.next(), head.next(), head.next());

    let (Some(key), Some(operator), None) = (key, operator, rest) else {
        return Err(format!("`{part}`: expected `key in (…)` or `key notin (…)`"));
    };

    let key = parse_key(key)?;
    let values = values.split(',').map(parse_value).collect::<Result<Vec<_>, _>>()?;

    match operator {
        "in" => Ok(Requirement::In(key, values)),
        "notin" => Ok(Requirement::NotIn(key, values)),
        other => Err(format!("`{other}`: expected `in` or `notin`")),
    }
}

fn parse_key(text: &str) -> Result<String, String> {
    let key = text.trim();

    if key.is_empty() || !is_label_text(key) {
        return Err(format!("`{key}` is not a label's key"));
    }

    Ok(key.to_string())
}

fn parse_value(text: &str) -> Result<String, String> {
    let value = text.trim();

    if !is_label_text(value) {
        return Err(format!("`{value}` is not a label's value"));
    }

    Ok(value.to_string())
}
