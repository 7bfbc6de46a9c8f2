//! What a gateway has learnt of pauses outlasts a reload of its settings.

use std::time::Duration;

use grebedeck::gateway::service::Gateway;
use grebedeck::gateway::{GatewaySettings, Tasks};
use grebedeck::settings::parse;
use grebedeck_gateway::{HeaderNames, Kind, RouteRule};

const SETTINGS: &str = r#"{
    "name": "gateway-1", "hall": "north", "caller_address": "127.0.0.1:1",
    "ready_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3", "metrics_address": "127.0.0.1:4",
    "ip": "127.0.0.1", "group_port": 5, "store_address": "127.0.0.1:6", "stop_limit_ms": 5000,
    "memory_mb": 100, "retry": { "ratio": 0.2, "window_s": 10.0, "allowance": 50.0 },
    "load": { "pause_deviations": 3.0 }
}"#;

const NAMES: HeaderNames = HeaderNames {
    request_id: "request-id",
    organisation: "organisation",
    expected_target: "expected-target",
    target_id: "target-id",
    deadline_ms: "deadline-ms",
    retry_after: "retry-after",
    leaving: "leaving",
    signature: "signature",
    cold_ms: "cold-ms",
    not_run: "not-run",
    load: "load",
    last_event_id: "last-event-id",
    authorization: "authorization",
    key_scheme: "Bearer",
    tokens: "tokens",
    priority: "priority",
};

fn rule() -> RouteRule {
    RouteRule {
        name: "notes".to_string(),
        host: "a.example".to_string(),
        path_prefix: "/".to_string(),
        kind: Kind::Stream { is_resumable: true },
        time_limit: Duration::from_secs(8),
        objective: Duration::from_millis(500),
        pause_limit: Some(Duration::from_millis(120)),
        priority: 1,
        services: Vec::new(),
        max_targets: 2,
        is_public: false,
    }
}

/// After each reload as many requests were taken as fit, until pauses had been seen anew.
#[test]
fn pauses_are_forgotten_only_where_the_figures_of_the_load_change() {
    let settings = parse::<GatewaySettings>(SETTINGS).expect("valid settings");
    let gateway = Gateway::new(settings.clone(), NAMES, Tasks::default());
    let pause = Duration::from_millis(90);
    gateway.note_pause("notes", pause, &rule());
    assert_eq!(gateway.pause("notes"), Some(pause));

    gateway.set_settings(GatewaySettings { memory_mb: 90, ..settings.clone() });
    assert_eq!(gateway.pause("notes"), Some(pause));

    let mut changed = settings;
    changed.load.pause_deviations = 1.0;
    gateway.set_settings(changed);
    assert_eq!(gateway.pause("notes"), None);
}
