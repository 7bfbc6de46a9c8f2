//! A site's configuration compiled for lookups: a request's route, organisation and urgency.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use grebedeck_admission::Urgency;
use grebedeck_core::{OrganisationName, RandomSource, ServiceName};

use crate::site::{ApiKey, CallerLimits, RouteRule, ServiceSpec, Site, SiteVersion};

/// Why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The route needs a key, and the request has none that the configuration contains.
    UnknownKey,
}

impl Denied {
    /// HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Denied::NoConfiguration => 503,
            Denied::NoRoute => 404,
            Denied::UnknownKey => 401,
        }
    }

    /// Label in logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            Denied::NoConfiguration => "no_configuration",
            Denied::NoRoute => "no_route",
            Denied::UnknownKey => "unknown_key",
        }
    }
}

/// How the configuration classifies a request that it allows.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The route.
    pub rule: Arc<RouteRule>,
    /// The caller's organisation; `None` where the route needs no key.
    pub organisation: Option<OrganisationName>,
    /// Priority; 0 is the most urgent. An organisation's own priority overrides that of the route.
    pub priority: u8,
    /// Version of the configuration.
    pub version: SiteVersion,
}

impl Admitted {
    /// Urgency: the priority, then the route's, as an organisation's priority is often the same on
    /// all routes.
    pub fn urgency(&self) -> Urgency {
        (self.priority, self.rule.priority)
    }
}

#[derive(Clone, Debug)]
struct KeyHolder {
    name: OrganisationName,
    priority: Option<u8>,
}

type RulesByPrefix = HashMap<String, Arc<RouteRule>>;

/// Lookup tables of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: SiteVersion,
    hosts: HashMap<String, RulesByPrefix>,
    holders: HashMap<ApiKey, KeyHolder>,
    services: HashMap<ServiceName, Arc<ServiceSpec>>,
    limits: CallerLimits,
    needs_keys: bool,
    /// Urgency levels of each service's requests, the most urgent first.
    urgencies: HashMap<ServiceName, Vec<Urgency>>,
    /// Longest objective of each service's routes, by the routes' priority.
    objectives: HashMap<ServiceName, Vec<(u8, Duration)>>,
}

impl RouteTable {
    /// Compiles a site.
    pub fn new(site: &Site) -> Self {
        let mut hosts: HashMap<String, RulesByPrefix> = HashMap::new();
        let mut holders = HashMap::new();

        for rule in &site.routes {
            let rules = hosts.entry(rule.host.to_ascii_lowercase()).or_default();
            rules.insert(rule.path_prefix.clone(), Arc::new(rule.clone()));
        }

        for organisation in &site.organisations {
            for key in &organisation.keys {
                let (name, priority) = (organisation.name.clone(), organisation.priority);
                holders.insert(key.clone(), KeyHolder { name, priority });
            }
        }

        let services = site.services.iter().map(|s| (s.name.clone(), Arc::new(s.clone())));

        RouteTable {
            version: site.version,
            hosts,
            holders,
            services: services.collect(),
            limits: site.limits,
            needs_keys: !site.organisations.is_empty(),
            urgencies: urgencies(site),
            objectives: objectives(site),
        }
    }

    /// Whether requests for a service differ in urgency.
    pub fn has_urgency_levels(&self, service: &str) -> bool {
        self.urgencies.get(service).is_some_and(|urgencies| urgencies.len() > 1)
    }

    /// Index of an urgency among a service's levels; `None` where its requests do not differ.
    pub fn rank(&self, service: &str, urgency: Urgency) -> Option<u8> {
        let urgencies = self.urgencies.get(service).filter(|urgencies| urgencies.len() > 1)?;
        let more_urgent = urgencies.iter().filter(|other| **other < urgency).count();

        u8::try_from(more_urgent).ok()
    }

    /// Version of the configuration; 0 while none is known.
    pub fn version(&self) -> SiteVersion {
        self.version
    }

    /// Limits on callers' requests and connections.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Specification of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Specifications of all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Whether some requests for a service are less urgent than `urgency`.
    pub fn has_less_urgent(&self, service: &str, urgency: Urgency) -> bool {
        let urgencies = self.urgencies.get(service);

        urgencies.and_then(|urgencies| urgencies.last()).is_some_and(|last| urgency < *last)
    }

    /// Longest objective among a service's routes whose priority is that of `urgency` or less
    /// urgent.
    pub fn longest_objective(&self, service: &str, urgency: u8) -> Option<Duration> {
        let objectives = self.objectives.get(service)?;
        let not_more_urgent = objectives.iter().filter(|(other, _)| *other >= urgency);

        not_more_urgent.map(|(_, objective)| *objective).max()
    }

    /// Finds a request's route and organisation. `host` may include a port; `key` is the caller's
    /// API key.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admitted, Denied> {
        if self.version == 0 {
            return Err(Denied::NoConfiguration);
        }

        let rule = self.find_rule(host, path).ok_or(Denied::NoRoute)?;
        let holder = match (rule.is_public || !self.needs_keys, key) {
            (true, _) => None,
            (false, key) => Some(key.and_then(|k| self.holders.get(k)).ok_or(Denied::UnknownKey)?),
        };

        Ok(Admitted {
            rule: rule.clone(),
            organisation: holder.map(|h| h.name.clone()),
            priority: holder.and_then(|h| h.priority).unwrap_or(rule.priority),
            version: self.version,
        })
    }

    /// Finds the rule with the longest matching path prefix. Prefixes end with a slash, so only
    /// the slashes of the path have to be tried.
    fn find_rule(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let rules = self.hosts.get(&host.to_ascii_lowercase())?;
        let slashes = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/');
        let prefixes = slashes.map(|(at, _)| &path[..=at]);

        prefixes.filter_map(|prefix| rules.get(prefix)).next_back()
    }
}

/// Urgency levels of the requests for each service whose routes differ in priority, from the routes
/// and the organisations that may use them.
fn urgencies(site: &Site) -> HashMap<ServiceName, Vec<Urgency>> {
    let mut urgencies: HashMap<&str, BTreeSet<Urgency>> = HashMap::new();
    let org_priorities: BTreeSet<Option<u8>> =
        site.organisations.iter().map(|o| o.priority).collect();

    for rule in &site.routes {
        let needs_no_key = rule.is_public || org_priorities.is_empty();
        let holders = org_priorities
            .iter()
            .map(|priority| (priority.unwrap_or(rule.priority), rule.priority));
        let of_rule: BTreeSet<Urgency> = if needs_no_key {
            BTreeSet::from([(rule.priority, rule.priority)])
        } else {
            holders.collect()
        };

        for weighted in &rule.services {
            urgencies.entry(&weighted.service).or_default().extend(&of_rule);
        }
    }

    // Where all routes of a service have one priority, the organisations' priorities alone rank no
    // requests.
    let has_levels = |of_service: &BTreeSet<Urgency>| {
        let routes: BTreeSet<u8> = of_service.iter().map(|(_, route)| *route).collect();
        routes.len() > 1
    };
    let ranked = urgencies.into_iter().filter(|(_, of_service)| has_levels(of_service));
    let listed = |(service, of_service): (&str, BTreeSet<Urgency>)| {
        (service.to_string(), of_service.into_iter().collect())
    };

    ranked.map(listed).collect()
}

/// Longest objective of each service's routes, by priority.
fn objectives(site: &Site) -> HashMap<ServiceName, Vec<(u8, Duration)>> {
    let mut longest: HashMap<&str, BTreeMap<u8, Duration>> = HashMap::new();

    for rule in &site.routes {
        for weighted in &rule.services {
            let of_service = longest.entry(&weighted.service).or_default();
            let objective = of_service.entry(rule.priority).or_default();
            *objective = rule.objective.max(*objective);
        }
    }

    let listed = |(service, of_service): (&str, BTreeMap<u8, Duration>)| {
        (service.to_string(), of_service.into_iter().collect())
    };

    longest.into_iter().map(listed).collect()
}

/// Draws one of a route's services by weight; `None` if the route has none.
pub fn draw_service<'a>(rule: &'a RouteRule, random: &mut impl RandomSource) -> Option<&'a str> {
    let total: u64 = rule.services.iter().map(|s| u64::from(s.weight)).sum();

    if total == 0 {
        return rule.services.first().map(|s| s.service.as_str());
    }

    let mut remaining = (random.unit() * total as f64) as u64;

    for weighted in &rule.services {
        let weight = u64::from(weighted.weight);

        if remaining < weight {
            return Some(&weighted.service);
        }

        remaining -= weight;
    }

    rule.services.last().map(|s| s.service.as_str())
}
