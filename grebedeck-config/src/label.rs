//! Labels: short key and value pairs that operators attach to targets, groups and organisations.

use std::collections::BTreeMap;

use grebedeck_core::Faults;

/// Labels of one object.
pub type Labels = BTreeMap<String, String>;

/// Longest key or value, in bytes.
pub const MAX_LABEL_BYTES: usize = 63;

/// Tells whether `text` may stand as a label's key or value, or as a name.
pub fn is_label_text(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');

    text.len() <= MAX_LABEL_BYTES && text.chars().all(allowed)
}

/// Adds a fault for each key or value that may not stand in a label.
pub fn check_labels(path: &str, labels: &Labels, faults: &mut Faults) {
    const EXPECTED: &str = "1 to 63 letters, digits, `-`, `_`, `.` or `/`";

    for (key, value) in labels {
        if key.is_empty() || !is_label_text(key) {
            faults.add(format!("{path}.labels"), key, EXPECTED);
        }

        if !is_label_text(value) {
            faults.add(format!("{path}.labels.{key}"), value, EXPECTED);
        }
    }
}
