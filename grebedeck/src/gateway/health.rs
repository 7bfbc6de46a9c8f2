//! What a gateway knows of services as a whole: whether they are out, and what their ranks say.

use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{Availability, Outage, OutageOptions, TargetEntry};
use grebedeck_kernel::log;
use grebedeck_routing::LoadReport;

use super::attempt_history::FailureCause;
use super::mechanism::Mechanism;
use super::options::{GROUP_WORD_LIFETIME, OUTAGE_FAILURES, OVERDUE, START_LAG, TRIAL_PAUSE};
use super::pool::MAX_IDLE_PER_TARGET;
use super::service::Gateway;
use crate::rank::message::RankLoad;

impl Gateway {
    /// Gets how many connections may rest to one target of a service: half of this gateway's part of those
    /// that the target takes from all callers together.
    pub fn max_kept(&self, service: &str) -> usize {
        let table = self.table();
        let cap = table.service(service).map_or(MAX_IDLE_PER_TARGET, |s| s.max_connections);
        let part = cap / self.gateways() / 2;

        part.clamp(1, MAX_IDLE_PER_TARGET)
    }

    /// Tells whether some rank has told its load.
    pub fn hears_ranks(&self) -> bool {
        self.hears_ranks.get()
    }

    pub(super) fn is_model(&self, service: &str) -> bool {
        self.table().service(service).is_some_and(|s| s.engine.is_some())
    }

    /// Takes in what the process beside a rank says of it.
    pub fn note_rank(&self, address: SocketAddr, load: &RankLoad) {
        self.hears_ranks.set(true);
        let found = self.targets.borrow().newest_at(address);
        let Some(target) = found else {
            return;
        };

        // A late word of an earlier start, or one of a start that the list does not have yet.
        if target.born_ms.zip(load.born_ms).is_some_and(|(listed, told)| listed != told) {
            self.counters.starts.add("other_start_dropped");
            return;
        }

        let report = LoadReport {
            in_flight: load.running + load.waiting,
            waiting: load.waiting,
            slots: target.slots,
        };
        self.note_load(&target.id, report);
        self.note_slowdown(&target.id, load.slowdown);

        self.groups.borrow_mut().insert(target.id.clone(), load.group);

        if load.is_open {
            self.note_open(&target, load);
        } else if self.note_closed(&target.service, load) {
            log::warn!("service out", kv: { service = target.service.as_str(), cause = "closed" });
        }
    }

    /// Tells whether a stream should go on at another rank: pauses are too long for it, and its own rank is
    /// slow while others are well. All ranks wait in each pass for a slow one that has streams of its own: with
    /// a rank twelve times slower passes took 0.3 s until its eight streams had ended, eight seconds later.
    /// Over 8 seeds of a day with such a rank the service was worth 0.035 more.
    pub fn should_leave(&self, target: &TargetEntry, pause_limit: Duration) -> bool {
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

    /// Notes how slow a rank says that it is.
    fn note_slowdown(&self, target: &str, slowdown: f32) {
        let now = self.now();

        if self.chooser.borrow_mut().set_slowdown(target, slowdown, now) {
            log::info!("target's speed changed", kv: { target, slowdown = f64::from(slowdown) });
        }
    }

    /// Notes that a rank says its group makes passes; where the service was out, it is back.
    fn note_open(&self, target: &TargetEntry, load: &RankLoad) {
        let now = self.now();
        let service = target.service.as_str();

        if self.with_outage(service, |outage| outage.record_open(load.group, load.formation, now)) {
            log::info!("group open", kv: { service, target = target.id.as_str() });
            self.refusals.borrow_mut().record_recovery(service, now);
            self.freed.notify(usize::MAX);
        }
    }

    /// Notes that a rank says its group makes no passes; tells whether the service is out since then.
    fn note_closed(&self, service: &str, load: &RankLoad) -> bool {
        let now = self.now();

        self.with_outage(service, |outage| outage.record_closed(load.group, load.formation, now))
    }

    /// Tells whether a target's group has said lately that it makes no passes.
    pub fn is_group_closed(&self, target: &TargetEntry, now: Moment) -> bool {
        let Some(group) = self.groups.borrow().get(&target.id).copied() else {
            return false;
        };

        self.with_outage(&target.service, |outage| outage.is_closed(group, now))
    }

    /// Gets whether a service is expected to take requests.
    pub fn availability(&self, service: &str) -> Availability {
        let now = self.now();

        self.with_outage(service, |outage| outage.availability(now))
    }

    /// Tells whether a service has been out for longer than outages are expected to last.
    pub fn is_overdue(&self, service: &str) -> bool {
        let now = self.now();

        self.with_outage(service, |outage| outage.is_overdue(now))
    }

    /// Takes the trial of a service that is out, where one is due.
    pub fn take_trial(&self, service: &str) -> bool {
        let now = self.now();

        self.with_outage(service, |outage| outage.try_probe(now))
    }

    /// Notes that a target of a service took a request.
    pub fn note_taken(&self, service: &str) {
        let now = self.now();

        if self.with_outage(service, |outage| outage.record_success(now)) {
            log::info!("service back", kv: { service });
            self.refusals.borrow_mut().record_recovery(service, now);
            self.freed.notify(usize::MAX);
        }
    }

    /// Notes that a target of a service with room took no request.
    pub fn note_not_taken(&self, service: &str, cause: FailureCause) {
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
        // The first request of a process may find an outage that is as old as the start took.
        let expected = (stall + form.unwrap_or_default()).saturating_sub(START_LAG);

        OutageOptions {
            failure_threshold: OUTAGE_FAILURES,
            expected_duration: expected,
            overdue_estimate: OVERDUE,
            report_lifetime: GROUP_WORD_LIFETIME,
            probe_interval: TRIAL_PAUSE,
        }
    }
}
