//! The configuration document: targets, groups, organisations and selector rules.
//!
//! [`Document::check`] reports every fault of a document at once, so that an operator can fix a
//! change in one round.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use grebedeck_core::digest::{Digest, digest};
use grebedeck_core::{Fault, Faults, GroupName, HallName, OrganisationName, Rank, TargetName};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::label::{Labels, check_labels, is_label_text};
use crate::selector::Selector;

/// Label with the service that a target offers or that a request asks for.
pub const SERVICE_LABEL: &str = "service";
/// Implicit label with a target's hall.
pub const HALL_LABEL: &str = "hall";
/// Implicit label with a target's group.
pub const GROUP_LABEL: &str = "group";
/// Implicit label with the name of a target or organisation.
pub const NAME_LABEL: &str = "name";

/// A back end with an agent process next to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Labels set by operators.
    #[serde(default)]
    pub labels: Labels,
    /// The data hall in which the target runs.
    pub hall: HallName,
    /// Address on which the target's agent accepts streams.
    pub agent_address: SocketAddr,
    /// The group of the target's ranks, if it serves a model that spans targets.
    #[serde(default)]
    pub group: Option<GroupName>,
    /// The group's ranks that run on this target.
    #[serde(default)]
    pub ranks: Vec<Rank>,
    /// Whether the target itself rejects orders with a stale fencing token.
    #[serde(default)]
    pub checks_orders: bool,
}

/// A group of ranks that run in lockstep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Labels set by operators; the group's targets inherit them.
    #[serde(default)]
    pub labels: Labels,
}

/// A customer whose requests are served.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Labels set by operators. Organisations with equal labels can share one allocation.
    #[serde(default)]
    pub labels: Arc<Labels>,
}

/// Allows the traffic that one selector matches to use the targets that another one matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SelectorRule {
    /// Selector on the organisation's labels and the request's `service`.
    #[serde(default)]
    pub traffic: String,
    /// Selector on the labels of targets.
    #[serde(default)]
    pub capacity: String,
}

/// A complete configuration.
///
/// The maps are persistent: a copy shares its unchanged parts with the original, so copying stays
/// cheap with any number of organisations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Targets by name.
    #[serde(default)]
    pub targets: OrdMap<TargetName, Target>,
    /// Groups by name.
    #[serde(default)]
    pub groups: OrdMap<GroupName, Group>,
    /// Organisations by name.
    #[serde(default)]
    pub organisations: OrdMap<OrganisationName, Organisation>,
    /// Selector rules by name.
    #[serde(default)]
    pub selectors: OrdMap<String, SelectorRule>,
}

impl Document {
    /// A target's own labels, those inherited from its group, and the implicit ones.
    pub fn target_labels(&self, name: &str, target: &Target) -> Labels {
        let group = target.group.as_ref();
        let inherited = group.and_then(|g| self.groups.get(g)).map(|g| g.labels.clone());

        let mut labels = inherited.unwrap_or_default();
        labels.extend(target.labels.clone());
        labels.insert(HALL_LABEL.into(), target.hall.clone());
        labels.insert(NAME_LABEL.into(), name.into());

        if let Some(group) = group {
            labels.insert(GROUP_LABEL.into(), group.clone());
        }

        labels
    }

    /// Digest of the whole document: the wrapping sum of its objects' digests.
    pub fn digest(&self) -> Digest {
        digest_of_all("targets", &self.targets)
            .wrapping_add(digest_of_all("groups", &self.groups))
            .wrapping_add(digest_of_all("organisations", &self.organisations))
            .wrapping_add(digest_of_all("selectors", &self.selectors))
    }

    /// Deduplicates equal label sets of organisations; a large document has few distinct ones.
    pub fn share_labels(&mut self) {
        let mut interned: BTreeSet<Arc<Labels>> = BTreeSet::new();
        let mut organisations = OrdMap::new();

        for (name, organisation) in &self.organisations {
            let labels = match interned.get(&organisation.labels) {
                Some(labels) => labels.clone(),
                None => {
                    interned.insert(organisation.labels.clone());
                    organisation.labels.clone()
                }
            };

            organisations.insert(name.clone(), Organisation { labels });
        }

        self.organisations = organisations;
    }

    /// Validates the document and reports every fault.
    pub fn check(&self) -> Result<(), Faults> {
        let mut faults = Faults::default();

        self.check_names(&mut faults);
        self.check_targets(&mut faults);
        self.check_selectors(&mut faults);

        faults.into_result(())
    }

    fn check_names(&self, faults: &mut Faults) {
        let kinds = [
            ("targets", self.targets.keys().collect::<Vec<_>>()),
            ("groups", self.groups.keys().collect()),
            ("organisations", self.organisations.keys().collect()),
            ("selectors", self.selectors.keys().collect()),
        ];

        for (kind, names) in kinds {
            for name in names.iter().filter(|n| n.is_empty() || !is_label_text(n)) {
                faults.add(kind, name.as_str(), "a name of 1 to 63 letters, digits or `-_./`");
            }
        }

        for (name, group) in &self.groups {
            check_labels(&format!("groups.{name}"), &group.labels, faults);
        }

        for (name, organisation) in &self.organisations {
            check_labels(&format!("organisations.{name}"), &organisation.labels, faults);
        }
    }

    fn check_targets(&self, faults: &mut Faults) {
        let mut used_ranks = BTreeMap::new();
        let mut used_addresses = BTreeMap::new();

        for (name, target) in &self.targets {
            let path = format!("targets.{name}");
            check_labels(&path, &target.labels, faults);

            if target.hall.is_empty() || !is_label_text(&target.hall) {
                faults.add(format!("{path}.hall"), &target.hall, "the name of a data hall");
            }

            if let Some(other) = used_addresses.insert(target.agent_address, name) {
                let expected = format!("an address that no other target has; `{other}` has it");
                faults.add(
                    format!("{path}.agent_address"),
                    target.agent_address.to_string(),
                    expected,
                );
            }

            self.check_ranks(&path, target, &mut used_ranks, faults);
        }
    }

    fn check_ranks<'a>(
        &'a self,
        path: &str,
        target: &'a Target,
        used_ranks: &mut BTreeMap<(&'a GroupName, Rank), ()>,
        faults: &mut Faults,
    ) {
        let Some(group) = &target.group else {
            if !target.ranks.is_empty() {
                let value = format!("{:?}", target.ranks);
                faults.add(format!("{path}.ranks"), value, "no ranks, or a `group`");
            }

            return;
        };

        if !self.groups.contains_key(group) {
            faults.add(format!("{path}.group"), group, "the name of a group in the document");
        }

        if target.ranks.is_empty() {
            faults.add(format!("{path}.ranks"), "[]", "at least one rank of the group");
        }

        for rank in &target.ranks {
            if used_ranks.insert((group, *rank), ()).is_some() {
                let expected = "a rank that no other target of the group has";
                faults.add(format!("{path}.ranks"), rank.to_string(), expected);
            }
        }
    }

    fn check_selectors(&self, faults: &mut Faults) {
        for (name, rule) in &self.selectors {
            check_selector(format!("selectors.{name}.traffic"), &rule.traffic, faults);
            let field = format!("selectors.{name}.capacity");

            let Some(capacity) = check_selector(field.clone(), &rule.capacity, faults) else {
                continue;
            };

            let matched = self
                .targets
                .iter()
                .any(|(name, target)| capacity.matches(&self.target_labels(name, target)));

            if !matched {
                let expected = "a selector that matches at least one target";
                faults.0.push(Fault::new(field, &rule.capacity, expected));
            }
        }
    }
}

fn digest_of_all<T: Serialize + Clone>(kind: &str, objects: &OrdMap<String, T>) -> Digest {
    let digests = objects.iter().map(|(name, object)| object_digest(kind, name, object));

    digests.fold(0, Digest::wrapping_add)
}

/// Digest of one object together with its kind and name.
pub(crate) fn object_digest<T: Serialize>(kind: &str, name: &str, object: &T) -> Digest {
    let bytes = serde_json::to_vec(&(kind, name, object)).expect("an object always serializes");

    digest(&bytes)
}

fn check_selector(field: String, text: &str, faults: &mut Faults) -> Option<Selector> {
    match Selector::parse(text) {
        Ok(selector) => Some(selector),
        Err(error) => {
            faults.add(field, text, format!("a selector; {error}"));
            None
        }
    }
}
