//! The compiled form of a document: which targets each organisation may use for each service.
//!
//! Organisations with the same labels share one route, so the size grows with the number of
//! distinct label sets, not with the number of organisations, as long as no selector names an
//! organisation.

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

/// What the request path knows of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The target's name.
    pub name: TargetName,
    /// The hall that it stands in.
    pub hall: HallName,
    /// Where its agent takes streams.
    pub agent_address: SocketAddr,
    /// Its group, for a model.
    pub group: Option<GroupName>,
    /// Its ranks in the group.
    pub ranks: Vec<Rank>,
    /// Whether the target itself checks fencing tokens.
    pub checks_orders: bool,
}

type ClassNo = u32;
type AllowedByService = BTreeMap<ServiceName, Arc<[Arc<Route>]>>;

/// All routes of one revision.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    revision: Revision,
    targets: Arc<BTreeMap<TargetName, Arc<Route>>>,
    compiled: Arc<Compiled>,
    class_of: HashMap<OrganisationName, ClassNo>,
    class_by_labels: HashMap<Labels, ClassNo>,
    classes: Vector<Arc<AllowedByService>>,
}

/// What classes of organisations are compiled from.
#[derive(Debug, Default)]
struct Compiled {
    rules: Vec<Rule>,
    labelled: Vec<LabelledTarget>,
    /// Whether some selector names organisations, so that each has a class of its own.
    names_matter: bool,
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
    /// Compiles a document that has been checked. A selector that does not parse allows nothing.
    pub fn new(revision: Revision, document: &Document) -> Self {
        let labelled = labelled_targets(document);
        let target = |t: &LabelledTarget| (t.route.name.clone(), t.route.clone());
        let targets = Arc::new(labelled.iter().map(target).collect());
        let rules = document.selectors.values().filter_map(compile_rule).collect();
        let names_matter = document.selectors.values().any(|r| r.traffic.contains(NAME_LABEL));
        let compiled = Arc::new(Compiled { rules, labelled, names_matter });
        let mut routes = Routes { revision, targets, compiled, ..Routes::default() };

        for (name, organisation) in &document.organisations {
            routes.classify(name, organisation);
        }

        routes
    }

    /// Gives the routes of the document that a change has led to.
    ///
    /// A change of organisations alone costs no more than the organisations that it names.
    pub fn after_change(&self, revision: Revision, document: &Document, change: &Change) -> Self {
        if !change.changes_only_organisations() {
            return Routes::new(revision, document);
        }

        let mut routes = Routes { revision, ..self.clone() };

        for (name, organisation) in &change.organisations {
            match organisation {
                Some(organisation) => routes.classify(name, organisation),
                None => {
                    routes.class_of.remove(name);
                }
            }
        }

        routes
    }

    fn classify(&mut self, name: &str, organisation: &Organisation) {
        let mut labels = organisation.labels.as_ref().clone();

        if self.compiled.names_matter {
            labels.insert(NAME_LABEL.into(), name.to_string());
        }

        let class = match self.class_by_labels.get(&labels) {
            Some(class) => *class,
            None => {
                let class = self.classes.len() as ClassNo;
                self.classes.push_back(Arc::new(compile_class(&labels, &self.compiled)));
                self.class_by_labels.insert(labels, class);
                class
            }
        };

        self.class_of.insert(name.to_string(), class);
    }

    /// Gets the revision that the routes were compiled from.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Tells whether the organisation is in the configuration.
    pub fn has_organisation(&self, organisation: &str) -> bool {
        self.class_of.contains_key(organisation)
    }

    /// Gets the targets that the organisation may use for the service, ordered by name.
    pub fn allowed(&self, organisation: &str, service: &str) -> Option<&Arc<[Arc<Route>]>> {
        let class = *self.class_of.get(organisation)?;

        self.classes[class as usize].get(service)
    }

    /// Tells whether the organisation may use any target.
    pub fn has_capacity(&self, organisation: &str) -> bool {
        self.class_of.get(organisation).is_some_and(|c| !self.classes[*c as usize].is_empty())
    }

    /// Gets all targets by name.
    pub fn targets(&self) -> &BTreeMap<TargetName, Arc<Route>> {
        &self.targets
    }

    /// Gets the number of distinct classes of organisations.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Gets the targets of a group, ordered by their first rank.
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

fn compile_class(labels: &Labels, compiled: &Compiled) -> AllowedByService {
    let mut allowed: BTreeMap<&str, Vec<Arc<Route>>> = BTreeMap::new();
    let mut traffic_labels = labels.clone();

    for target in &compiled.labelled {
        let Some(service) = target.labels.get(SERVICE_LABEL) else {
            continue;
        };

        traffic_labels.insert(SERVICE_LABEL.into(), service.clone());
        let admits =
            |r: &Rule| r.traffic.matches(&traffic_labels) && r.capacity.matches(&target.labels);

        if compiled.rules.iter().any(admits) {
            allowed.entry(service).or_default().push(target.route.clone());
        }
    }

    allowed.into_iter().map(|(service, routes)| (service.to_string(), routes.into())).collect()
}
