//! Checks of settings files: all faults are reported at once, and each names its field.

use std::time::Duration;

use grebedeck::gateway::GatewaySettings;
use grebedeck::gateway::mechanism::Mechanism;
use grebedeck::rank::options::RankSettings;
use grebedeck::settings::{AgentSettings, EntrySettings, parse};
use grebedeck_config::Change;

const ENTRY: &str = include_str!("../../docs/examples/entry.json");
const AGENT: &str = include_str!("../../docs/examples/agent.json");
const CHANGE: &str = include_str!("../../docs/examples/let-bronze-in.json");

#[test]
fn documented_examples_are_valid() {
    assert!(parse::<EntrySettings>(ENTRY).is_ok());
    assert!(parse::<AgentSettings>(AGENT).is_ok());
    assert!(serde_json::from_str::<Change>(CHANGE).is_ok());
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = ENTRY
        .replace("\"entry-1\"", "\"not a name\"")
        .replace("\"hall-a\"", "\"\"")
        .replace("\"seed_peers\"", "\"heartbeat_ms\": 1, \"peers\": 0, \"seed_peers\"")
        .replace("\"caller_address\"", "\"max_body_bytes\": 0, \"caller_address\"");

    let faults = parse::<EntrySettings>(&text).unwrap_err();
    let fields: Vec<&str> = faults.0.iter().map(|f| f.field.as_str()).collect();

    let expected =
        ["common.name", "common.hall", "common.heartbeat_ms", "common.peers", "max_body_bytes"];
    assert_eq!(fields, expected);
    assert!(faults.0.iter().all(|f| !f.expected.is_empty()));
}

#[test]
fn unknown_fields_and_host_names_are_refused() {
    let text = AGENT.replace("\"max_in_flight\"", "\"max_inflight\"");
    let faults = parse::<AgentSettings>(&text).unwrap_err().to_string();
    assert!(faults.contains("max_inflight") && faults.contains("line"), "{faults}");

    let text = AGENT.replace("\"127.0.0.1:9000\"", "\"localhost:9000\"");
    assert!(parse::<AgentSettings>(&text).is_err(), "host names are not accepted as addresses");
}

#[test]
fn max_in_flight_of_an_agent_covers_all_slots_of_its_target() {
    let text = AGENT.replace("\"max_in_flight\": 64", "\"places\": 64, \"max_in_flight\": 8");
    let faults = parse::<AgentSettings>(&text).unwrap_err();

    assert_eq!(faults.0[0].field, "max_in_flight");
}

const GATEWAY: &str = r#"{
    "name": "gateway-1", "hall": "north", "caller_address": "127.0.0.1:1",
    "ready_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3", "metrics_address": "127.0.0.1:4",
    "ip": "127.0.0.1", "group_port": 5, "store_address": "127.0.0.1:6", "stop_limit_ms": 5000,
    "memory_mb": 100, "retry": { "ratio": 0.2, "window_s": 10.0, "allowance": 50.0 },
    "load": { "pause_deviations": 3.0 }, "without": ["slow_exclusion"]
}"#;

const RANK: &str = r#"{
    "name": "rank-1", "hall": "north", "ip": "127.0.0.1", "target_address": "127.0.0.1:1",
    "service": "notes", "group_port": 5, "metrics_address": "127.0.0.1:4",
    "store_address": "127.0.0.1:6", "balance": { "copy_limit_ms": 40 }
}"#;

#[test]
fn mechanisms_are_disabled_by_name() {
    let settings = parse::<GatewaySettings>(GATEWAY).expect("valid settings");
    assert!(!settings.uses(Mechanism::SlowExclusion) && settings.uses(Mechanism::Pace));
    assert_eq!(settings.chooser_options().slow_threshold, f32::INFINITY);

    let unknown = GATEWAY.replace("slow_exclusion", "everything");
    let faults = parse::<GatewaySettings>(&unknown).unwrap_err().to_string();
    assert!(faults.contains("everything"), "{faults}");
}

/// A fixed pause of 0.4 s between reads of the target list ignored how long leaving targets keep
/// running. With 53 gateways those reads made up most of the cost of all calls to the store.
#[test]
fn store_poll_intervals_follow_the_platforms_time_limits() {
    let usual = parse::<GatewaySettings>(GATEWAY).expect("valid settings");
    assert_eq!(usual.store_wait(), Duration::from_secs(2));
    assert_eq!(usual.targets_poll_interval(), Duration::from_millis(500));

    let times = "\"leaving_ms\": 4000, \"catch_up_ms\": 6000, \"memory_mb\"";
    let longer = parse::<GatewaySettings>(&GATEWAY.replace("\"memory_mb\"", times));
    let longer = longer.expect("valid settings");
    assert_eq!(longer.store_wait(), Duration::from_secs(4));
    assert_eq!(longer.targets_poll_interval(), Duration::from_secs(1));

    let none = GATEWAY.replace("\"memory_mb\"", "\"leaving_ms\": 0, \"memory_mb\"");
    let faults = parse::<GatewaySettings>(&none).unwrap_err();
    assert_eq!(faults.0[0].field, "leaving_ms");
}

#[test]
fn buffers_leave_memory_for_the_process_itself() {
    let usual = parse::<GatewaySettings>(GATEWAY).expect("valid settings");
    assert_eq!(usual.memory_bytes(usual.kept.bodies), 25 << 20);
    assert_eq!(usual.memory_bytes(usual.kept.answers), 25 << 20);

    let all = "\"kept\": { \"bodies\": 0.5, \"answers\": 0.5 }, \"memory_mb\"";
    let faults = parse::<GatewaySettings>(&GATEWAY.replace("\"memory_mb\"", all)).unwrap_err();
    assert_eq!(faults.0[0].field, "kept");
}

#[test]
fn balance_and_load_values_are_checked() {
    let fields = |faults: grebedeck_core::Faults| -> Vec<String> {
        faults.0.into_iter().map(|fault| fault.field).collect()
    };
    let negative = GATEWAY.replace("\"pause_deviations\": 3.0", "\"pause_deviations\": -1.0");
    let faults = parse::<GatewaySettings>(&negative).unwrap_err();
    assert_eq!(fields(faults), ["load.pause_deviations"]);

    assert!(parse::<RankSettings>(RANK).is_ok());
    let none = RANK.replace("\"copy_limit_ms\": 40", "\"copy_limit_ms\": 0");
    let faults = parse::<RankSettings>(&none).unwrap_err();
    assert_eq!(fields(faults), ["balance.copy_limit_ms"]);
}
