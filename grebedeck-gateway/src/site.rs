//! A site's configuration as operators write it: routes, services, organisations and limits on
//! callers.

use std::time::Duration;

use grebedeck_core::{OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};

/// Version of a site's configuration, strictly increasing.
pub type SiteVersion = u64;
/// API key that identifies a caller's organisation.
pub type ApiKey = String;

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Site {
    /// Version; 0 where there is none yet.
    pub version: SiteVersion,
    /// Routes for callers' requests.
    pub routes: Vec<RouteRule>,
    /// Services that targets offer.
    pub services: Vec<ServiceSpec>,
    /// Organisations with their keys; empty where no request needs a key.
    pub organisations: Vec<Organisation>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// Kind of a route's requests, which decides whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// A request that may run more than once.
    Safe,
    /// A request that runs at most once.
    Once,
    /// A request whose answer is a stream of events.
    Stream {
        /// Whether another target can resume a broken stream; such a request may run again.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may already have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Safe | RequestKind::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// A service with its weight in a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// Rule for the requests that match a host and a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Value of requests' host header, without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Longest time from a request's arrival to the end of its answer.
    pub time_limit: Duration,
    /// Time within which an answer, or a stream's first event, is fully useful to the caller.
    pub objective: Duration,
    /// Longest pause between events with which a stream is fully useful to the caller.
    pub pause_limit: Option<Duration>,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the requests.
    pub services: Vec<WeightedService>,
    /// Upper bound on the targets that one request is sent to.
    pub max_targets: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Upper bound on the connections that one target accepts from all clients together.
    pub max_connections: usize,
    /// Properties of the engine, for a service that runs a model.
    pub engine: Option<EngineSpec>,
    /// How long a target is cold after a start.
    #[serde(default)]
    pub cold_time: Duration,
    /// Requests per second that a cold target can take; 0 where there is no bound.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// Properties of a model's engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of sets of layers that each have their own experts.
    pub sets: u16,
    /// Number of experts in each set.
    pub experts: u16,
    /// Number of experts of a set that a rank can hold.
    pub places: u16,
    /// Upper bound on the experts of a set that one new map adds to a rank.
    pub spare: u16,
    /// Duration of one step without any request, in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens read per second.
    pub read_tokens_per_s: f64,
    /// Number of steps in one pass.
    pub steps_per_pass: u32,
    /// Tokens of a typical prompt.
    pub usual_prompt: u64,
    /// Tokens of a typical answer; 0 where unknown.
    #[serde(default)]
    pub usual_answer: u64,
    /// Time that a group takes to form.
    pub form: Duration,
    /// Time that a rank takes to copy one expert; zero where unknown.
    #[serde(default)]
    pub copy: Duration,
}

impl EngineSpec {
    /// Number of passes that a typical answer takes; `None` where unknown.
    pub fn usual_passes(&self) -> Option<f64> {
        let passes = self.usual_answer as f64 / f64::from(self.steps_per_pass.max(1));

        (passes > 0.0).then_some(passes)
    }
}

/// An organisation with its API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// API keys of its callers.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests, which overrides that of their routes.
    pub priority: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request must arrive once it has begun.
    pub head_limit: Duration,
    /// Time that a connection may stay idle between requests.
    pub idle_limit: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // These apply only until the first configuration is known. They admit any request, so that
        // it is refused for the lack of a configuration and not for its size.
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            head_limit: Duration::from_secs(3),
            idle_limit: Duration::from_secs(15),
        }
    }
}
