//! The compiled form of a site: the route and the organisation of a request.

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
    /// No route fits the host and path.
    NoRoute,
    /// The route needs a key that the configuration holds.
    UnknownKey,
}

impl Denied {
    /// Gets the status that goes with the reason.
    pub fn status(self) -> u16 {
        match self {
            Denied::NoConfiguration => 503,
            Denied::NoRoute => 404,
            Denied::UnknownKey => 401,
        }
    }

    /// Gets a short word for logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            Denied::NoConfiguration => "no_configuration",
            Denied::NoRoute => "no_route",
            Denied::UnknownKey => "unknown_key",
        }
    }
}

/// A request that the configuration allows.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub rule: Arc<RouteRule>,
    /// Its organisation, where the route needs a key.
    pub organisation: Option<OrganisationName>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// The version that allowed it.
    pub version: SiteVersion,
}

impl Admitted {
    /// Gets its urgency: its rank, and within that its route's, as a key's rank often is the same for all routes.
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

/// All routes of one version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: SiteVersion,
    hosts: HashMap<String, RulesByPrefix>,
    holders: HashMap<ApiKey, KeyHolder>,
    services: HashMap<ServiceName, Arc<ServiceSpec>>,
    limits: CallerLimits,
    needs_keys: bool,
    /// Urgencies of each service's requests, the most urgent first.
    urgencies: HashMap<ServiceName, Vec<Urgency>>,
    /// Objectives of each service's routes, by the routes' urgency.
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

    /// Tells whether requests for a service differ in urgency.
    pub fn has_urgency_levels(&self, service: &str) -> bool {
        self.urgencies.get(service).is_some_and(|urgencies| urgencies.len() > 1)
    }

    /// Gets the rank of an urgency among those of a service's requests; none where they do not differ.
    pub fn rank(&self, service: &str, urgency: Urgency) -> Option<u8> {
        let urgencies = self.urgencies.get(service).filter(|urgencies| urgencies.len() > 1)?;
        let before = urgencies.iter().filter(|other| **other < urgency).count();

        u8::try_from(before).ok()
    }

    /// Gets the version; 0 where there is no configuration yet.
    pub fn version(&self) -> SiteVersion {
        self.version
    }

    /// Gets the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Gets a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Gets all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Tells whether some requests for a service are less urgent than that.
    pub fn has_less_urgent(&self, service: &str, urgency: Urgency) -> bool {
        let urgencies = self.urgencies.get(service);

        urgencies.and_then(|urgencies| urgencies.last()).is_some_and(|last| urgency < *last)
    }

    /// Gets the longest objective among the routes to a service that are as urgent as that or less.
    pub fn longest_objective(&self, service: &str, urgency: u8) -> Option<Duration> {
        let objectives = self.objectives.get(service)?;
        let behind = objectives.iter().filter(|(other, _)| *other >= urgency);

        behind.map(|(_, objective)| *objective).max()
    }

    /// Finds a request's route and organisation. `host` may have a port; `key` is what the caller
    /// proves its organisation with.
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

    /// Finds the rule with the longest prefix of the path: prefixes end with a slash, so only the
    /// path's own slashes have to be tried.
    fn find_rule(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let rules = self.hosts.get(&host.to_ascii_lowercase())?;
        let slashes = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/');
        let prefixes = slashes.map(|(at, _)| &path[..=at]);

        prefixes.filter_map(|prefix| rules.get(prefix)).next_back()
    }
}

/// Gets the urgencies of the requests for each service whose routes differ in urgency, by the routes and by the keys that
/// may be used there.
fn urgencies(site: &Site) -> HashMap<ServiceName, Vec<Urgency>> {
    let mut urgencies: HashMap<&str, BTreeSet<Urgency>> = HashMap::new();
    let own: BTreeSet<Option<u8>> = site.organisations.iter().map(|o| o.priority).collect();

    for rule in &site.routes {
        let keyless = rule.is_public || own.is_empty();
        let holders = own.iter().map(|priority| (priority.unwrap_or(rule.priority), rule.priority));
        let of_rule: BTreeSet<Urgency> = if keyless {
            BTreeSet::from([(rule.priority, rule.priority)])
        } else {
            holders.collect()
        };

        for weighted in &rule.services {
            urgencies.entry(&weighted.service).or_default().extend(&of_rule);
        }
    }

    // Where operators have not told a service's routes apart, keys alone do not put anybody behind.
    let is_ranked = |of_service: &BTreeSet<Urgency>| {
        let routes: BTreeSet<u8> = of_service.iter().map(|(_, route)| *route).collect();
        routes.len() > 1
    };
    let ranked = urgencies.into_iter().filter(|(_, of_service)| is_ranked(of_service));
    let listed = |(service, of_service): (&str, BTreeSet<Urgency>)| {
        (service.to_string(), of_service.into_iter().collect())
    };

    ranked.map(listed).collect()
}

/// Gets the longest objective of each service's routes of one urgency.
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

/// Draws one of a route's services by weight.
pub fn draw_service<'a>(rule: &'a RouteRule, random: &mut impl RandomSource) -> Option<&'a str> {
    let total: u64 = rule.services.iter().map(|s| u64::from(s.weight)).sum();

    if total == 0 {
        return rule.services.first().map(|s| s.service.as_str());
    }

    let mut left = (random.unit() * total as f64) as u64;

    for weighted in &rule.services {
        let weight = u64::from(weighted.weight);

        if left < weight {
            return Some(&weighted.service);
        }

        left -= weight;
    }

    rule.services.last().map(|s| s.service.as_str())
}
