//! Targets that are cold: what this gateway hears of them, and whom it passes over.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::TargetEntry;

use super::service::Gateway;

impl Gateway {
    /// Takes in the gateways that the store names, this one included where its row is there.
    pub fn set_cold_gateways(&self, listed: &BTreeSet<SocketAddr>) {
        let own = self.settings().peer_address;

        self.cold.borrow_mut().set_gateways(own, listed, self.now());
    }

    /// Takes in what a target says of how much longer it is cold.
    pub fn record_cold(&self, target: &str, remaining: Duration) {
        self.cold.borrow_mut().record_report(target, remaining, self.now());
    }

    /// Takes targets for cold at least until a moment, unless they say otherwise later.
    pub fn set_cold_until(&self, target: &str, until: Moment) {
        self.cold.borrow_mut().set_cold_until(target, until, self.now());
    }

    /// Takes in what entries that were written anew say.
    pub(super) fn record_updated_entries(&self) {
        let heard = self.targets.borrow_mut().take_updated();

        for entry in heard {
            self.record_cold(&entry.id, entry.cold);
        }
    }

    /// Takes a target that nobody listens for as starting: what answers there next is another start, which is cold
    /// before the list has it.
    pub(super) fn assume_restart(&self, target: &TargetEntry) {
        let table = self.table();
        let cold_time = table.service(&target.service).map_or(Duration::ZERO, |s| s.cold_time);

        if !cold_time.is_zero() {
            self.set_cold_until(&target.id, self.now() + cold_time);
        }
    }

    /// Takes all targets of a hall that was taken back as starting: they may have turned cold without a word.
    pub(super) fn assume_restarts_in(&self, hall: &str) {
        let there: Vec<Arc<TargetEntry>> =
            self.with_targets(|list| list.all().filter(|t| t.hall == hall).cloned().collect());

        there.iter().for_each(|target| self.assume_restart(target));
    }

    /// Gets how much longer a target is cold.
    pub fn cold_remaining(&self, target: &str) -> Duration {
        self.cold.borrow().remaining(target, self.now())
    }

    /// Gets those of a service's targets that bear what they usually do: neither cold nor with a limit, as far as there are
    /// such.
    pub fn at_full_capacity(
        &self,
        targets: &Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        self.without_limited(self.without_cold(targets, now))
    }

    /// Gets those of a service's targets that are not cold, which bear what they usually do; all of them where all
    /// are cold.
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

    /// Gets those of a service's targets to which this gateway may send a request now.
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
        let left: Arc<[Arc<TargetEntry>]> = targets.iter().filter(may_send).cloned().collect();

        if left.len() < targets.len() {
            self.counters.cold.add("held_back");
        }

        left
    }

    /// Notes that a request goes to a target, which may be cold.
    pub(super) fn record_cold_send(&self, target: &TargetEntry, now: Moment) {
        let cold_per_s = self.cold_per_s(&target.service);
        let mut cold = self.cold.borrow_mut();

        if cold.is_cold(&target.id, now) {
            let is_within = cold.try_acquire(&target.id, cold_per_s, now);
            self.counters.cold.add(if is_within { "sent" } else { "sent_beyond" });
        }
    }

    /// Forgets targets that have not been cold for a while.
    pub(super) fn remove_warm(&self) {
        self.cold.borrow_mut().remove_expired(self.now());
    }

    fn cold_per_s(&self, service: &str) -> f64 {
        self.table().service(service).map_or(0.0, |s| s.cold_per_s)
    }
}
