//! What operators say of a site: routes, services, organisations and limits on callers.

use std::time::Duration;

use grebedeck_core::{OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};

/// Version of a site's configuration; it only grows.
pub type SiteVersion = u64;
/// A key that a caller proves its organisation with.
pub type ApiKey = String;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Site {
    /// Its version.
    pub version: SiteVersion,
    /// Routes of requests.
    pub routes: Vec<RouteRule>,
    /// Services that targets offer.
    pub services: Vec<ServiceSpec>,
    /// Organisations with their keys; none where requests carry no keys.
    pub organisations: Vec<Organisation>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Once,
    /// Its answer is a stream of events.
    Stream {
        /// Whether another target may go on with a stream that broke; such a request may run again.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Tells whether a request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Safe | RequestKind::Stream { is_resumable: true })
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other services of the route.
    pub weight: u32,
}

/// Where requests go, and what may be done with them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The operators' name of the route.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// Start of the path; it begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run again.
    pub kind: RequestKind,
    /// Longest time that a request is held.
    pub time_limit: Duration,
    /// Time within which an answer, or a stream's first event, is of full use.
    pub objective: Duration,
    /// Longest pause between events with which a stream is of full use.
    pub pause_limit: Option<Duration>,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests.
    pub services: Vec<WeightedService>,
    /// Most targets that one request is sent to.
    pub max_targets: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Most connections that one of its targets takes from all callers together.
    pub max_connections: usize,
    /// What is known of its engine, for a model.
    pub engine: Option<EngineSpec>,
    /// How long a target is cold after a start.
    #[serde(default)]
    pub cold_time: Duration,
    /// Requests a second that a cold target bears; 0 where there is no bound.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// What is known of a model's engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Sets of layers that each have experts of their own.
    pub sets: u16,
    /// Experts in each set.
    pub experts: u16,
    /// Experts of a set that a rank can hold.
    pub places: u16,
    /// Most experts of a set that one new map may bring to a rank.
    pub spare: u16,
    /// Time of one step without any request, in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens read in a second.
    pub read_tokens_per_s: f64,
    /// Steps in one pass.
    pub steps_per_pass: u32,
    /// Tokens of a usual prompt.
    pub usual_prompt: u64,
    /// Tokens of a usual answer; 0 where it is not known.
    #[serde(default)]
    pub usual_answer: u64,
    /// Time that a group needs to form.
    pub form: Duration,
    /// Time that a rank needs to copy one expert; zero where it is not known.
    #[serde(default)]
    pub copy: Duration,
}

impl EngineSpec {
    /// Gets the passes that a usual answer takes; none where that is not known.
    pub fn usual_passes(&self) -> Option<f64> {
        let passes = self.usual_answer as f64 / f64::from(self.steps_per_pass.max(1));

        (passes > 0.0).then_some(passes)
    }
}

/// An organisation with its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Its keys.
    pub keys: Vec<ApiKey>,
    /// Its rank, which goes before its requests' routes' own.
    pub priority: Option<u8>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// How long a request may take to arrive once it has begun.
    pub head_limit: Duration,
    /// How long a connection may rest between requests.
    pub idle_limit: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // In force only until the first configuration is known: generous enough for any request that
        // is then refused for lack of one.
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            head_limit: Duration::from_secs(3),
            idle_limit: Duration::from_secs(15),
        }
    }
}
