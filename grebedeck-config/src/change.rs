//! Changes that operators send, and the log of accepted ones.

use std::collections::BTreeMap;

use grebedeck_core::digest::Digest;
use grebedeck_core::{Faults, Revision, UnixMs};
use serde::{Deserialize, Serialize};

use crate::document::{Document, Group, Organisation, SelectorRule, Target};
use crate::routes::Routes;

/// A change of the configuration. An object is set whole; `null` removes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The operator's id of the change. The same id is accepted once.
    pub id: String,
    /// Revision that the change was written against; where set, any later one refuses it.
    #[serde(default)]
    pub base_revision: Option<Revision>,
    /// Whether organisations may be left without any capacity.
    #[serde(default)]
    pub allow_no_capacity: bool,
    /// Targets to set or to remove.
    #[serde(default)]
    pub targets: BTreeMap<String, Option<Target>>,
    /// Groups to set or to remove.
    #[serde(default)]
    pub groups: BTreeMap<String, Option<Group>>,
    /// Organisations to set or to remove.
    #[serde(default)]
    pub organisations: BTreeMap<String, Option<Organisation>>,
    /// Selector rules to set or to remove.
    #[serde(default)]
    pub selectors: BTreeMap<String, Option<SelectorRule>>,
}

/// An accepted change with the revision that it made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The revision after the change.
    pub revision: Revision,
    /// Digest of the document after the change.
    pub digest: Digest,
    /// When the change was accepted, by the accepting process's clock.
    pub accepted_unix_ms: UnixMs,
    /// The change itself.
    pub change: Change,
}

/// A whole document at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The document's revision; 0 before the first change.
    pub revision: Revision,
    /// When the revision was accepted, by the accepting process's clock.
    pub accepted_unix_ms: UnixMs,
    /// The document.
    pub document: Document,
}

impl Change {
    /// Gives the document after the change without checking it.
    pub fn apply(&self, document: &Document) -> Document {
        let mut next = document.clone();

        merge(&mut next.targets, &self.targets);
        merge(&mut next.groups, &self.groups);
        merge(&mut next.organisations, &self.organisations);
        merge(&mut next.selectors, &self.selectors);

        next
    }

    /// Checks the change whole against a document and gives the next one, or every fault.
    pub fn check(&self, document: &Document) -> Result<Document, Faults> {
        let mut faults = Faults::default();

        if self.id.is_empty() || !crate::label::is_label_text(&self.id) {
            faults.add("id", &self.id, "1 to 63 letters, digits or `-_./`");
        }

        check_removals("targets", &document.targets, &self.targets, &mut faults);
        check_removals("groups", &document.groups, &self.groups, &mut faults);
        check_removals("organisations", &document.organisations, &self.organisations, &mut faults);
        check_removals("selectors", &document.selectors, &self.selectors, &mut faults);

        let next = self.apply(document);

        if let Err(found) = next.check() {
            faults.0.extend(found.0);
        } else if !self.allow_no_capacity {
            self.check_capacity(document, &next, &mut faults);
        }

        faults.or(next)
    }

    /// Adds a fault for each organisation that had capacity, or is new, and is left with none.
    fn check_capacity(&self, document: &Document, next: &Document, faults: &mut Faults) {
        let before = Routes::new(0, document);
        let after = Routes::new(0, next);

        for name in next.organisations.keys() {
            let had_some = !document.organisations.contains_key(name) || before.has_capacity(name);

            if had_some && !after.has_capacity(name) {
                let expected =
                    "a selector that gives it capacity, or `allow_no_capacity` in the change";
                faults.add(format!("organisations.{name}"), name, expected);
            }
        }
    }
}

fn merge<T: Clone>(into: &mut BTreeMap<String, T>, from: &BTreeMap<String, Option<T>>) {
    for (name, value) in from {
        match value {
            Some(value) => into.insert(name.clone(), value.clone()),
            None => into.remove(name),
        };
    }
}

fn check_removals<T>(
    kind: &str,
    present: &BTreeMap<String, T>,
    change: &BTreeMap<String, Option<T>>,
    faults: &mut Faults,
) {
    for (name, value) in change {
        if value.is_none() && !present.contains_key(name) {
            faults.add(format!("{kind}.{name}"), "null", "an existing name to remove");
        }
    }
}
