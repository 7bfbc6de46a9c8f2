//! The compiled form of a document: the targets that each organisation may use for each service.
//!
//! Organisations with equal labels form a class and share its routes. Memory and compile time
//! therefore grow with the number of distinct label sets, not with the number of organisations,
//! unless a traffic selector refers to organisations by name.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use grebedeck_core::{
    GroupName, HallName, OrganisationName, Rank, Revision, ServiceName, TargetName,
};

use imbl::{HashMap, Vector};

use crate::change::Change;
use crate::document::{Document, NAME_LABEL, Organisation, SERVICE_LABEL, SelectorRule};
use crate::label::Labels;
use crate::selector::Selector;

/// A target as the request path needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the target.
    pub name: TargetName,
    /// The data hall in which the target runs.
    pub hall: HallName,
    /// Address on which the target's agent accepts streams.
    pub agent_address: SocketAddr,
    /// Group of the target's ranks, if it serves a model that spans targets.
    pub group: Option<GroupName>,
    /// The group's ranks that run on the target.
    pub ranks: Vec<Rank>,
    /// Whether the target itself rejects orders with a stale fencing token.
    pub checks_orders: bool,
}

type ClassIndex = u32;
type AllowedByService = BTreeMap<ServiceName, Arc<[Arc<Route>]>>;

/// Routes of all organisations at one revision.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    revision: Revision,
    targets: Arc<BTreeMap<TargetName, Arc<Route>>>,
    input: Arc<CompilerInput>,
    class_by_organisation: HashMap<OrganisationName, ClassIndex>,
    class_by_labels: HashMap<Labels, ClassIndex>,
    classes: Vector<Arc<AllowedByService>>,
}

/// Parsed rules and labelled targets, from which the classes of organisations are compiled.
#[derive(Debug, Default)]
struct CompilerInput {
    rules: Vec<Rule>,
    labelled: Vec<LabelledTarget>,
    /// Whether a traffic selector may refer to names, which gives each organisation its own class.
    has_name_selectors: bool,
}

#[derive(Debug)]
struct Rule {
    traffic: Selector,
    capacity: Selector,
}

#[derive(Debug)]
struct LabelledTarget {
    route: Arc<Route>,
    labels: Labels,
}

impl Routes {
    /// Compiles a validated document. A rule whose selectors do not parse allows nothing.
    pub fn new(revision: Revision, document: &Document) -> Self {
        let labelled = labelled_targets(document);
        let target = |t: &LabelledTarget| (t.route.name.clone(), t.route.clone());
        let targets = Arc::new(labelled.iter().map(target).collect());
        let rules = document.selectors.values().filter_map(compile_rule).collect();
        let has_name_selectors =
            document.selectors.values().any(|r| r.traffic.contains(NAME_LABEL));
        let input = Arc::new(CompilerInput { rules, labelled, has_name_selectors });
        let mut routes = Routes { revision, targets, input, ..Routes::default() };

        for (name, organisation) in &document.organisations {
            routes.classify(name, organisation);
        }

        routes
    }

    /// The routes of the document that results from a change.
    ///
    /// A change of organisations alone takes time in proportion to the organisations that it names.
    pub fn after_change(&self, revision: Revision, document: &Document, change: &Change) -> Self {
        if !change.changes_only_organisations() {
            return Routes::new(revision, document);
        }

        let mut routes = Routes { revision, ..self.clone() };

        for (name, organisation) in &change.organisations {
            match organisation {
                Some(organisation) => routes.classify(name, organisation),
                None => {
                    routes.class_by_organisation.remove(name);
                }
            }
        }

        routes
    }

    fn classify(&mut self, name: &str, organisation: &Organisation) {
        let mut labels = organisation.labels.as_ref().clone();

        if self.input.has_name_selectors {
            labels.insert(NAME_LABEL.into(), name.to_string());
        }

        let class = match self.class_by_labels.get(&labels) {
            Some(class) => *class,
            None => {
                let class = self.classes.len() as ClassIndex;
                self.classes.push_back(Arc::new(compile_class(&labels, &self.input)));
                self.class_by_labels.insert(labels, class);
                class
            }
        };

        self.class_by_organisation.insert(name.to_string(), class);
    }

    /// Revision from which the routes were compiled.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether the configuration contains the organisation.
    pub fn has_organisation(&self, organisation: &str) -> bool {
        self.class_by_organisation.contains_key(organisation)
    }

    /// Targets that the organisation may use for the service, ordered by name.
    pub fn allowed(&self, organisation: &str, service: &str) -> Option<&Arc<[Arc<Route>]>> {
        let class = *self.class_by_organisation.get(organisation)?;

        self.classes[class as usize].get(service)
    }

    /// Whether the organisation may use any target.
    pub fn has_capacity(&self, organisation: &str) -> bool {
        self.class_by_organisation
            .get(organisation)
            .is_some_and(|c| !self.classes[*c as usize].is_empty())
    }

    /// All targets, by name.
    pub fn targets(&self) -> &BTreeMap<TargetName, Arc<Route>> {
        &self.targets
    }

    /// Number of classes compiled so far, including ones that no organisation uses any more.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Targets of a group, ordered by their lowest rank.
    pub fn group_members(&self, group: &str) -> Vec<Arc<Route>> {
        let in_group = |r: &&Arc<Route>| r.group.as_deref() == Some(group);
        let mut members: Vec<_> = self.targets.values().filter(in_group).cloned().collect();
        members.sort_by_key(|r| r.ranks.iter().min().copied());

        members
    }
}

fn labelled_targets(document: &Document) -> Vec<LabelledTarget> {
    let labelled = |(name, target): (&String, &crate::document::Target)| LabelledTarget {
        labels: document.target_labels(name, target),
        route: Arc::new(Route {
            name: name.clone(),
            hall: target.hall.clone(),
            agent_address: target.agent_address,
            group: target.group.clone(),
            ranks: target.ranks.clone(),
            checks_orders: target.checks_orders,
        }),
    };

    document.targets.iter().map(labelled).collect()
}

fn compile_rule(rule: &SelectorRule) -> Option<Rule> {
    let traffic = Selector::parse(&rule.traffic).ok()?;
    let capacity = Selector::parse(&rule.capacity).ok()?;

    Some(Rule { traffic, capacity })
}

fn compile_class(labels: &Labels, input: &CompilerInput) -> AllowedByService {
    let mut allowed: BTreeMap<&str, Vec<Arc<Route>>> = BTreeMap::new();
    let mut traffic_labels = labels.clone();

    for target in &input.labelled {
        let Some(service) = target.labels.get(SERVICE_LABEL) else {
            continue;
        };

        traffic_labels.insert(SERVICE_LABEL.into(), service.clone());
        let admits =
            |r: &Rule| r.traffic.matches(&traffic_labels) && r.capacity.matches(&target.labels);

        if input.rules.iter().any(admits) {
            allowed.entry(service).or_default().push(target.route.clone());
        }
    }

    allowed.into_iter().map(|(service, routes)| (service.to_string(), routes.into())).collect()
}
