//! Labels: short key-value pairs that operators attach to targets, groups and organisations.

use std::collections::BTreeMap;

use grebedeck_core::Faults;

/// Labels of one object, by key.
pub type Labels = BTreeMap<String, String>;

/// Maximum length of a key or value.
pub const MAX_LABEL_BYTES: usize = 63;

/// Whether `text` is valid as a label's key or value, or as a name. An empty text passes.
pub fn is_label_text(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');

    text.len() <= MAX_LABEL_BYTES && text.chars().all(allowed)
}

/// Adds a fault for each invalid key or value; `path` locates the labelled object.
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
