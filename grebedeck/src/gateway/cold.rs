//! Cold targets: those that started recently and do not have their full capacity yet.
//!
//! Targets report their remaining cold time; a target that may have restarted counts as cold until
//! it reports otherwise. Requests to cold targets are rate-limited across all gateways.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::TargetEntry;

use super::service::Gateway;

impl Gateway {
    /// Sets the gateways that the store lists, which includes this one if its row is there.
    pub fn set_cold_gateways(&self, listed: &BTreeSet<SocketAddr>) {
        let own = self.settings().peer_address;

        self.cold.borrow_mut().set_gateways(own, listed, self.now());
    }

    /// Records the remaining cold time that a target reports.
    pub fn record_cold(&self, target: &str, remaining: Duration) {
        self.cold.borrow_mut().record_report(target, remaining, self.now());
    }

    /// Assumes that a target is cold at least until a moment, unless it reports otherwise later.
    pub fn set_cold_until(&self, target: &str, until: Moment) {
        self.cold.borrow_mut().set_cold_until(target, until, self.now());
    }

    /// Records the remaining cold times of updated entries of the target list.
    pub(super) fn record_updated_entries(&self) {
        let updated = self.targets.borrow_mut().take_updated();

        for entry in updated {
            self.record_cold(&entry.id, entry.cold);
        }
    }

    /// Assumes that a target that refuses connections restarts: the next start at its address is
    /// cold before the list contains it.
    pub(super) fn assume_restart(&self, target: &TargetEntry) {
        let table = self.table();
        let cold_time = table.service(&target.service).map_or(Duration::ZERO, |s| s.cold_time);

        if !cold_time.is_zero() {
            self.set_cold_until(&target.id, self.now() + cold_time);
        }
    }

    /// Assumes that all targets of a reopened hall have restarted: they may have become cold
    /// without a report.
    pub(super) fn assume_restarts_in(&self, hall: &str) {
        let targets: Vec<Arc<TargetEntry>> =
            self.with_targets(|list| list.all().filter(|t| t.hall == hall).cloned().collect());

        targets.iter().for_each(|target| self.assume_restart(target));
    }

    /// Returns the remaining cold time of a target.
    pub fn cold_remaining(&self, target: &str) -> Duration {
        self.cold.borrow().remaining(target, self.now())
    }

    /// Returns the targets that are neither cold nor rate-limited, and thus have their full
    /// capacity. If all targets are cold, cold ones are included; likewise limited ones.
    pub fn without_cold_or_limited(
        &self,
        targets: &Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        self.without_limited(self.without_cold(targets, now))
    }

    /// Returns the targets that are not cold; all if all are cold.
    pub fn without_cold(
        &self,
        targets: &Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        let cold = self.cold.borrow();
        let is_cold = |t: &Arc<TargetEntry>| cold.is_cold(&t.id, now);

        if !targets.iter().any(is_cold) || targets.iter().all(is_cold) {
            return targets.clone();
        }

        targets.iter().filter(|t| !is_cold(t)).cloned().collect()
    }

    /// Returns the targets without those cold ones to which this gateway may not send a request
    /// now.
    pub fn within_cold_limit(
        &self,
        targets: &Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        let is_cold = |t: &Arc<TargetEntry>| self.cold.borrow().is_cold(&t.id, now);

        if !targets.iter().any(is_cold) {
            return targets.clone();
        }

        let may_send = |t: &&Arc<TargetEntry>| {
            let cold_per_s = self.cold_per_s(&t.service);

            self.cold.borrow_mut().may_send(&t.id, cold_per_s, now)
        };
        let permitted: Arc<[Arc<TargetEntry>]> = targets.iter().filter(may_send).cloned().collect();

        if permitted.len() < targets.len() {
            self.counters.cold.add("held_back");
        }

        permitted
    }

    /// Records that a request is sent to a target, which counts against its rate limit if it is
    /// cold.
    pub(super) fn record_cold_send(&self, target: &TargetEntry, now: Moment) {
        let cold_per_s = self.cold_per_s(&target.service);
        let mut cold = self.cold.borrow_mut();

        if cold.is_cold(&target.id, now) {
            let is_within = cold.try_acquire(&target.id, cold_per_s, now);
            self.counters.cold.add(if is_within { "sent" } else { "sent_beyond" });
        }
    }

    /// Removes targets that have not been cold for a while.
    pub(super) fn remove_warm(&self) {
        self.cold.borrow_mut().remove_expired(self.now());
    }

    fn cold_per_s(&self, service: &str) -> f64 {
        self.table().service(service).map_or(0.0, |s| s.cold_per_s)
    }
}
