//! Health of whole services: outages, and the load, speed and group state that ranks report.
//!
//! Failures of requests and the reports of groups feed an [`Outage`] per service. A service that is
//! out gets single probes; other requests wait or are refused.

use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{Availability, Outage, OutageOptions, TargetEntry};
use grebedeck_kernel::log;
use grebedeck_routing::LoadReport;

use super::history::FailureCause;
use super::mechanism::Mechanism;
use super::options::{
    GROUP_REPORT_LIFETIME, OUTAGE_FAILURES, OVERDUE_ESTIMATE, PROBE_INTERVAL, PROCESS_START_TIME,
};
use super::pool::MAX_IDLE_PER_TARGET;
use super::service::Gateway;
use crate::rank::message::RankLoad;

impl Gateway {
    /// Returns the maximum number of idle connections to one target of a service: half of this
    /// gateway's share of the connections that the target accepts in total.
    pub fn max_idle_connections(&self, service: &str) -> usize {
        let table = self.table();
        let cap = table.service(service).map_or(MAX_IDLE_PER_TARGET, |s| s.max_connections);
        let share = cap / self.gateway_count() / 2;

        share.clamp(1, MAX_IDLE_PER_TARGET)
    }

    /// Returns whether any rank has reported its load.
    pub fn receives_rank_loads(&self) -> bool {
        self.receives_rank_loads.get()
    }

    pub(super) fn is_model(&self, service: &str) -> bool {
        self.table().service(service).is_some_and(|s| s.engine.is_some())
    }

    /// Records the load, speed and group state that a rank process reports.
    pub fn record_rank_load(&self, address: SocketAddr, load: &RankLoad) {
        self.receives_rank_loads.set(true);
        let found = self.targets.borrow().newest_at(address);
        let Some(target) = found else {
            return;
        };

        // The report is a late one of an earlier start, or of a start that is not listed yet.
        if target.born_ms.zip(load.born_ms).is_some_and(|(listed, reported)| listed != reported) {
            self.counters.starts.add("other_start_dropped");
            return;
        }

        let report = LoadReport {
            in_flight: load.running + load.waiting,
            waiting: load.waiting,
            slots: target.slots,
        };
        self.record_load(&target.id, report);
        self.record_slowdown(&target.id, load.slowdown);

        self.groups.borrow_mut().insert(target.id.clone(), load.group);

        if load.is_open {
            self.record_group_open(&target, load);
        } else if self.record_group_closed(&target.service, load) {
            log::warn!("service out", kv: { service = target.service.as_str(), cause = "closed" });
        }
    }

    /// Returns whether a stream should move to another rank: its pauses exceed the limit, and its
    /// rank is slow while others are not. In each pass all ranks wait for a slow rank that still
    /// has streams: with one rank twelve times slower, passes took 0.3 s until its eight streams
    /// had ended after 8 s. Moving them raised the value of the service on such days by 0.035 (8
    /// seeds).
    pub fn should_move_stream(&self, target: &TargetEntry, pause_limit: Duration) -> bool {
        let now = self.now();
        let is_late = self.mean_pause(&target.service).is_some_and(|pause| pause > pause_limit);

        if !is_late || !self.uses(Mechanism::SlowMoves) {
            return false;
        }

        let candidates = self.candidates(&target.service);
        let chooser = self.chooser.borrow();
        let steady = chooser.without_slow(&candidates, now);

        candidates.iter().any(|t| t.id == target.id) && steady.iter().all(|t| t.id != target.id)
    }

    /// Records the slowdown that a rank reports.
    fn record_slowdown(&self, target: &str, slowdown: f32) {
        let now = self.now();

        if self.chooser.borrow_mut().set_slowdown(target, slowdown, now) {
            log::info!("target's speed changed", kv: { target, slowdown = f64::from(slowdown) });
        }
    }

    /// Records a rank's report that its group is open, that is, runs forward passes; this ends an
    /// outage of the service.
    fn record_group_open(&self, target: &TargetEntry, load: &RankLoad) {
        let now = self.now();
        let service = target.service.as_str();

        if self.with_outage(service, |outage| outage.record_open(load.group, load.epoch, now)) {
            log::info!("group open", kv: { service, target = target.id.as_str() });
            self.refusals.borrow_mut().record_recovery(service, now);
            self.slot_freed.notify(usize::MAX);
        }
    }

    /// Records a rank's report that its group is closed; returns whether that started an outage.
    fn record_group_closed(&self, service: &str, load: &RankLoad) -> bool {
        let now = self.now();

        self.with_outage(service, |outage| outage.record_closed(load.group, load.epoch, now))
    }

    /// Returns whether the current report of a target's group is that it is closed.
    pub fn is_group_closed(&self, target: &TargetEntry, now: Moment) -> bool {
        let Some(group) = self.groups.borrow().get(&target.id).copied() else {
            return false;
        };

        self.with_outage(&target.service, |outage| outage.is_closed(group, now))
    }

    /// Returns whether a service is expected to accept requests.
    pub fn availability(&self, service: &str) -> Availability {
        let now = self.now();

        self.with_outage(service, |outage| outage.availability(now))
    }

    /// Returns whether an outage of a service has lasted longer than expected.
    pub fn is_outage_overdue(&self, service: &str) -> bool {
        let now = self.now();

        self.with_outage(service, |outage| outage.is_overdue(now))
    }

    /// Returns whether a request may probe a service that is out; if so, the probe is taken.
    pub fn try_probe_service(&self, service: &str) -> bool {
        let now = self.now();

        self.with_outage(service, |outage| outage.try_probe(now))
    }

    /// Records that a target of a service accepted a request.
    pub fn record_service_success(&self, service: &str) {
        let now = self.now();

        if self.with_outage(service, |outage| outage.record_success(now)) {
            log::info!("service back", kv: { service });
            self.refusals.borrow_mut().record_recovery(service, now);
            self.slot_freed.notify(usize::MAX);
        }
    }

    /// Records that a target of a service with free slots did not accept a request.
    pub fn record_service_failure(&self, service: &str, cause: FailureCause) {
        let now = self.now();
        let is_out_now = self.with_outage(service, |outage| match cause {
            FailureCause::Refused => outage.record_refusal(),
            _ => outage.record_failure(now),
        });

        if is_out_now {
            log::warn!("service out", kv: { service, cause = "failures" });
        }
    }

    fn with_outage<T>(&self, service: &str, act: impl FnOnce(&mut Outage) -> T) -> T {
        let mut outages = self.outages.borrow_mut();

        match outages.get_mut(service) {
            Some(outage) => act(outage),
            None => {
                let first = Outage::new(self.outage_options(service), Duration::ZERO);
                act(outages.entry(service.to_string()).or_insert(first))
            }
        }
    }

    fn outage_options(&self, service: &str) -> OutageOptions {
        let table = self.table();
        let form = table.service(service).and_then(|s| s.engine.as_ref()).map(|e| e.form);
        let stall = Duration::from_millis(self.settings().engine_stall_ms);
        // An outage that the first request finds may have begun when the process was started.
        let expected = (stall + form.unwrap_or_default()).saturating_sub(PROCESS_START_TIME);

        OutageOptions {
            failure_threshold: OUTAGE_FAILURES,
            expected_duration: expected,
            overdue_estimate: OVERDUE_ESTIMATE,
            report_lifetime: GROUP_REPORT_LIFETIME,
            probe_interval: PROBE_INTERVAL,
        }
    }
}
