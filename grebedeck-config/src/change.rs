//! Changes submitted by operators, and the log of accepted changes.
//!
//! A change is accepted or refused as a whole. It is refused if the resulting document has a fault,
//! if it removes an object that does not exist, or if an organisation would be left without any
//! target and the change does not allow that.

use std::collections::BTreeMap;

use grebedeck_core::digest::Digest;
use grebedeck_core::{Faults, Revision, UnixMs};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::document::{Document, Group, Organisation, SelectorRule, Target, object_digest};
use crate::routes::Routes;

/// A change of the configuration. Each object replaces the previous one; `null` removes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id chosen by the operator. Each id is accepted at most once, so a retry is safe.
    pub id: String,
    /// Revision on which the change is based; if set, the change is refused on any other revision.
    #[serde(default)]
    pub base_revision: Option<Revision>,
    /// Whether organisations may be left without any target.
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

/// An accepted change with the revision that it created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Revision after the change.
    pub revision: Revision,
    /// Digest of the document after the change.
    pub digest: Digest,
    /// Time of acceptance, by the accepting process's clock.
    pub accepted_unix_ms: UnixMs,
    /// The accepted change.
    pub change: Change,
}

/// A complete document at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the document; 0 before the first change.
    pub revision: Revision,
    /// Time at which the revision was accepted, by the accepting process's clock.
    pub accepted_unix_ms: UnixMs,
    /// Digest of the document.
    pub digest: Digest,
    /// The complete document.
    pub document: Document,
}

impl Change {
    /// The document after the change, without validation.
    pub fn apply(&self, document: &Document) -> Document {
        self.apply_with_digest(document, 0).0
    }

    /// The document after the change and its digest, updated from the previous document's digest.
    pub fn apply_with_digest(&self, document: &Document, digest: Digest) -> (Document, Digest) {
        let mut next = document.clone();

        let digest = apply_objects("targets", &mut next.targets, &self.targets, digest);
        let digest = apply_objects("groups", &mut next.groups, &self.groups, digest);
        let digest =
            apply_objects("organisations", &mut next.organisations, &self.organisations, digest);
        let digest = apply_objects("selectors", &mut next.selectors, &self.selectors, digest);

        (next, digest)
    }

    /// Whether the change affects nothing but organisations.
    pub fn changes_only_organisations(&self) -> bool {
        self.targets.is_empty() && self.groups.is_empty() && self.selectors.is_empty()
    }

    /// Validates the change against a document; returns the next document or every fault. Missing
    /// capacity is reported only if the next document has no fault of its own.
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

        faults.into_result(next)
    }

    /// Adds a fault for each organisation that is new or had a target, and is left with none.
    fn check_capacity(&self, document: &Document, next: &Document, faults: &mut Faults) {
        let before = Routes::new(0, document);
        let after = before.after_change(0, next, self);
        let only_organisations = self.changes_only_organisations();

        for name in next.organisations.keys() {
            // Such a change affects no other organisation.
            if only_organisations && !self.organisations.contains_key(name) {
                continue;
            }

            let needs_capacity =
                !document.organisations.contains_key(name) || before.has_capacity(name);

            if needs_capacity && !after.has_capacity(name) {
                let expected =
                    "a selector that gives it capacity, or `allow_no_capacity` in the change";
                faults.add(format!("organisations.{name}"), name, expected);
            }
        }
    }
}

/// Sets or removes the objects of one kind; returns the updated digest.
fn apply_objects<T: Clone + Serialize>(
    kind: &str,
    into: &mut OrdMap<String, T>,
    from: &BTreeMap<String, Option<T>>,
    mut digest: Digest,
) -> Digest {
    for (name, value) in from {
        let before = match value {
            Some(value) => into.insert(name.clone(), value.clone()),
            None => into.remove(name),
        };

        let digest_of = |object: &T| object_digest(kind, name, object);
        digest = digest.wrapping_sub(before.as_ref().map_or(0, digest_of));
        digest = digest.wrapping_add(value.as_ref().map_or(0, digest_of));
    }

    digest
}

fn check_removals<T: Clone>(
    kind: &str,
    present: &OrdMap<String, T>,
    change: &BTreeMap<String, Option<T>>,
    faults: &mut Faults,
) {
    for (name, value) in change {
        if value.is_none() && !present.contains_key(name) {
            faults.add(format!("{kind}.{name}"), "null", "an existing name to remove");
        }
    }
}
