//! Settings for a gateway that no other process can reach.

use std::time::Duration;

use grebedeck::gateway::GatewaySettings;
use grebedeck::settings::parse;
use grebedeck_gateway::{HeaderNames, RequestKind, RouteRule};

/// Settings with unreachable addresses.
const SETTINGS: &str = r#"{
    "name": "gateway-1", "hall": "north", "caller_address": "127.0.0.1:1",
    "ready_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3", "metrics_address": "127.0.0.1:4",
    "ip": "127.0.0.1", "group_port": 5, "store_address": "127.0.0.1:6", "stop_limit_ms": 5000,
    "memory_mb": 100, "retry": { "ratio": 0.2, "window_s": 10.0, "allowance": 50.0 },
    "load": { "pause_deviations": 3.0 }
}"#;

/// Header names.
pub const NAMES: HeaderNames = HeaderNames {
    request_id: "request-id",
    organisation: "organisation",
    expected_target: "expected-target",
    target_id: "target-id",
    deadline_ms: "deadline-ms",
    retry_after: "retry-after",
    leaving: "leaving",
    limit: "limit",
    signature: "signature",
    cold_ms: "cold-ms",
    not_run: "not-run",
    load: "load",
    last_event_id: "last-event-id",
    authorization: "authorization",
    key_scheme: "Bearer",
    tokens: "tokens",
    prompt_parts: "x-prompt-parts",
    priority: "priority",
};

pub fn settings() -> GatewaySettings {
    parse(SETTINGS).expect("valid settings")
}

pub fn rule() -> RouteRule {
    RouteRule {
        name: "notes".to_string(),
        host: "a.example".to_string(),
        path_prefix: "/".to_string(),
        kind: RequestKind::Stream { is_resumable: true },
        time_limit: Duration::from_secs(8),
        objective: Duration::from_millis(500),
        pause_limit: Some(Duration::from_millis(120)),
        priority: 1,
        services: Vec::new(),
        max_targets: 2,
        is_public: false,
    }
}
