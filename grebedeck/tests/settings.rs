//! Settings are checked whole, and every fault names its field.

use grebedeck::settings::{AgentSettings, EntrySettings, parse};
use grebedeck_config::Change;

const ENTRY: &str = include_str!("../../docs/examples/entry.json");
const AGENT: &str = include_str!("../../docs/examples/agent.json");
const CHANGE: &str = include_str!("../../docs/examples/let-bronze-in.json");

#[test]
fn the_examples_in_the_docs_are_valid() {
    assert!(parse::<EntrySettings>(ENTRY).is_ok());
    assert!(parse::<AgentSettings>(AGENT).is_ok());
    assert!(serde_json::from_str::<Change>(CHANGE).is_ok());
}

#[test]
fn all_faults_are_listed_in_one_go() {
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
fn unknown_and_misplaced_fields_are_refused_with_their_place() {
    let text = AGENT.replace("\"max_in_flight\"", "\"max_inflight\"");
    let faults = parse::<AgentSettings>(&text).unwrap_err().to_string();
    assert!(faults.contains("max_inflight") && faults.contains("line"), "{faults}");

    let text = AGENT.replace("\"127.0.0.1:9000\"", "\"localhost:9000\"");
    assert!(parse::<AgentSettings>(&text).is_err(), "addresses are IP numbers");
}

#[test]
fn an_agent_needs_room_for_what_its_target_runs() {
    let text = AGENT.replace("\"max_in_flight\": 64", "\"places\": 64, \"max_in_flight\": 8");
    let faults = parse::<AgentSettings>(&text).unwrap_err();

    assert_eq!(faults.0[0].field, "max_in_flight");
}
