//! Probes of the configuration: memory, wire size, and the time to check and apply a change.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;

use grebedeck_config::{
    Change, Document, LogEntry, Organisation, Replica, Route, Routes, SelectorRule, Snapshot,
    Target,
};
use grebedeck_net::encode;

use super::{min_time_s, retained_bytes};

fn document(organisations: usize, targets: usize) -> Document {
    document_with_services(organisations, targets, SERVICES)
}

fn document_with_services(organisations: usize, targets: usize, services: usize) -> Document {
    let mut document = Document::default();
    let labels = |pairs: &[(&str, String)]| -> BTreeMap<String, String> {
        pairs.iter().map(|(k, v)| (k.to_string(), v.clone())).collect()
    };

    for n in 0..organisations {
        let tier = ["gold", "silver", "bronze"][n % 3].to_string();
        let region = format!("region-{}", n % 3);
        let labels = labels(&[("tier", tier), ("region", region)]);
        document
            .organisations
            .insert(format!("organisation-{n:05}"), Organisation { labels: labels.into() });
    }

    for n in 0..targets {
        let target = Target {
            labels: labels(&[("service", format!("model-{}", n % services))]),
            hall: format!("hall-{}", n % 12),
            agent_address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 7001).into(),
            group: None,
            ranks: Vec::new(),
            checks_orders: true,
        };
        document.targets.insert(format!("runner-{n:03}"), target);
    }

    for tier in ["gold", "silver", "bronze"] {
        let rule = SelectorRule { traffic: format!("tier={tier}"), capacity: "!canary".into() };
        document.selectors.insert(tier.to_string(), rule);
    }

    document
}

/// Number of services in a large deployment.
const SERVICES: usize = 11;

/// Number of targets in a large deployment.
const FLEET_TARGETS: usize = 650;

fn organisations_change(n: usize) -> Change {
    let mut change = Change { id: format!("change-{n}"), ..Change::default() };

    for m in 0..n {
        let labels = BTreeMap::from([("tier".to_string(), "gold".to_string())]);
        change
            .organisations
            .insert(format!("organisation-{m:05}"), Some(Organisation { labels: labels.into() }));
    }

    change
}

fn replica(organisations: usize) -> Replica {
    let mut replica = Replica::default();
    let document = document(organisations, FLEET_TARGETS);
    replica.apply_snapshot(Snapshot {
        revision: 1,
        accepted_unix_ms: 1,
        digest: document.digest(),
        document,
    });

    replica
}

/// Memory of a replica of the configuration with its routes.
pub fn configuration_bytes(organisations: usize) -> f64 {
    retained_bytes(|| {
        let replica = replica(organisations);
        let routes = Routes::new(1, replica.document());

        (replica, routes)
    })
}

/// Encoded size of a snapshot.
pub fn snapshot_bytes(organisations: usize) -> f64 {
    encode(&replica(organisations).snapshot()).map_or(0.0, |b| b.len() as f64)
}

/// Time to apply one change to a replica and update its routes.
pub fn apply_change_ms(organisations: usize) -> f64 {
    let replica = replica(organisations);
    let routes = Routes::new(1, replica.document());
    let change = organisations_change(1);
    let digest = change.apply(replica.document()).digest();
    let entry = LogEntry { revision: 2, digest, accepted_unix_ms: 2, change };

    min_time_s(5, || {
        let mut next = replica.clone();
        next.apply_entry(entry.clone());
        black_box(routes.after_change(2, next.document(), &entry.change));
    }) * 1e3
}

/// Time to check one change.
pub fn check_change_ms(organisations: usize) -> f64 {
    let document = document(organisations, FLEET_TARGETS);
    let change = organisations_change(1);

    min_time_s(5, || {
        let _ = black_box(change.check(&document));
    }) * 1e3
}

/// Encoded size of a log entry.
pub fn log_entry_bytes(changed: usize) -> f64 {
    let change = organisations_change(changed);
    let entry = LogEntry { revision: 2, digest: u64::MAX, accepted_unix_ms: 1 << 40, change };

    encode(&entry).map_or(0.0, |b| b.len() as f64)
}

/// Returns the routes of `targets` targets of one service, all allowed for one organisation.
pub fn allowed_routes(targets: usize) -> Arc<[Arc<Route>]> {
    let routes = Routes::new(1, &document_with_services(1, targets, 1));

    routes.allowed("organisation-00000", "model-0").cloned().unwrap_or_default()
}
