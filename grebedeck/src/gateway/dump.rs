//! Dump of a gateway's state for operators.

use std::sync::Arc;

use grebedeck_gateway::{Availability, TargetEntry};
use grebedeck_routing::fingerprint::to_hex;
use grebedeck_routing::prompt::is_part;
use serde_json::json;

use super::halls::evacuated_view;
use super::service::Gateway;

impl Gateway {
    /// Current state as JSON.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.now();
        let table = self.table();
        let targets = self.targets.borrow();
        let chooser = self.chooser.borrow();
        let target = |entry: &Arc<TargetEntry>| {
            let load = chooser.load_view(&entry.id, now);
            json!({
                "id": entry.id, "service": entry.service, "hall": entry.hall,
                "address": entry.address, "state": entry.state, "in_flight": load.in_flight,
                "places": load.slots, "takes_work": targets.takes_work(entry),
                "born_ms": entry.born_ms,
                "cold_ms": self.cold_remaining(&entry.id).as_millis() as u64,
                "readable": targets.is_readable(&entry.id),
                "rest_ms": self.retry_after(&entry.id, now).as_millis() as u64,
                "says_leaving": targets.has_announced_leaving(entry),
                "limit": self.limit_dump(entry, now),
            })
        };
        let services: Vec<serde_json::Value> = table
            .services()
            .map(|service| {
                json!({
                    "name": service.name,
                    "out_ms": match self.availability(&service.name) {
                        Availability::Up => None,
                        Availability::Out(left) => Some(left.as_millis() as u64),
                    },
                    "waiting": self.waiting.dump(&service.name),
                    "pause_ms": self.mean_pause(&service.name).map(|p| p.as_millis() as u64),
                })
            })
            .collect();

        let quarantine = self.quarantine.borrow();
        let (crashes, suspects, _) = quarantine.len();
        let quarantined = quarantine.entries().map(|(fingerprint, trials)| {
            json!({
                "fingerprint": to_hex(fingerprint),
                "kind": if is_part(fingerprint) { "part" } else { "request" },
                "trials": trials,
                "targets": quarantine.targets_under(fingerprint),
            })
        });

        json!({
            "name": self.settings().name,
            "ready": self.is_ready(),
            "stopping": self.stop.is_stopping(),
            "in_flight": self.stop.in_flight(),
            "config_version": table.version(),
            "targets_version": targets.version(),
            "limits": self.coordinators_dump(now),
            "retry_budgets": self.retry_budgets_dump(),
            "evacuated": evacuated_view(targets.evacuations()),
            "halls_version": targets.evacuations().version(),
            "feeds": self.relay.dump(),
            "kept_bytes": { "bodies": self.bodies.dump(), "answers": self.responses.dump() },
            "crashes": crashes,
            "suspects": suspects,
            "quarantine": quarantined.collect::<Vec<_>>(),
            "targets": targets.all().map(target).collect::<Vec<_>>(),
            "services": services,
        })
    }
}
