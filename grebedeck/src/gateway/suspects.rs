//! Detection and quarantine of requests that crash targets, and of the parts of prompts that do.
//!
//! When an attempt breaks, the gateway probes the target.
//! [`Quarantine`](grebedeck_routing::Quarantine) decides whether that was a crash, which requests
//! are suspected of it, and which are quarantined. A request is checked at three points:
//! before it looks for a slot on a target, as retries and resumed streams do too; in the queue,
//! when a decision on it is made; and once its connection to the target is established.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::{TargetEntry, TargetState};
use grebedeck_http::Connection;
use grebedeck_kernel::log;
use grebedeck_routing::fingerprint::to_hex;
use grebedeck_routing::prompt::is_part;
use grebedeck_routing::quarantine::ProbeResult;
use grebedeck_routing::{Clearance, Fingerprint, Fingerprints, Report, TargetStart};

use super::assignment;
use super::options::{CONNECT_TIMEOUT, SOCKET_BUFFER_BYTES};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::slot::NoSlot;
use super::trace::Decision;
use crate::liveness;
use crate::random::ProcessRandom;

/// Rate limit of log lines about crashed targets.
pub const CRASH_LINES_PER_S: f64 = 20.0;
/// Time for which a new connection must stay open for its target to count as alive: a target that
/// is shutting down may still accept connections.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);
/// Maximum number of other targets to probe before a decision on a request: if idle targets have
/// crashed too, the cause is an event such as a power loss, not the request.
const MAX_NEIGHBOUR_PROBES: usize = 3;

impl Gateway {
    /// Waits until it is decided whether a request may be sent; immediate unless crashes are
    /// suspected.
    pub(super) async fn await_clearance(&self, request: &RoutedRequest) -> Result<(), NoSlot> {
        loop {
            let changed = self.suspects_changed.listen();

            match self.clearance(request) {
                Clearance::Allow | Clearance::Trial => return Ok(()),
                Clearance::Refuse(left) => {
                    self.trace_held(request);
                    return Err(NoSlot::Quarantined(left));
                }
                Clearance::Wait(wait) => {
                    self.counters.quarantine.add("held");
                    // Either way, the clearance is checked again.
                    let _ = timeout(wait, changed).await;
                }
            }
        }
    }

    /// Returns whether a request with an established connection may be sent; takes its trial if it
    /// needs one.
    pub(super) fn acquire_clearance(&self, request: &RoutedRequest) -> bool {
        match self.clearance(request) {
            Clearance::Allow => true,
            Clearance::Trial => self.take_quarantine_trial(request),
            Clearance::Wait(_) | Clearance::Refuse(_) => false,
        }
    }

    fn clearance(&self, request: &RoutedRequest) -> Clearance {
        // Without suspects no fingerprint is computed, so that the common case is free.
        if self.quarantine.borrow().is_idle() {
            return Clearance::Allow;
        }

        self.decide_quarantine();
        let clearance = self.quarantine.borrow_mut().clearance(request.fingerprints(), self.now());

        match clearance {
            Clearance::Allow if self.crash_stops_others(&request.service) => {
                self.cooldown_clearance(request)
            }
            clearance => clearance,
        }
    }

    /// Records in the request's trace why it is not sent.
    fn trace_held(&self, request: &RoutedRequest) {
        let (fingerprints, now) = (request.fingerprints(), self.now());
        let quarantine = self.quarantine.borrow();
        let quarantined = quarantine.quarantined(fingerprints).next();
        let cooling = quarantine.part_cooldown(fingerprints, now).map(|(part, _)| part);
        let fingerprint = quarantined.or(cooling).unwrap_or(fingerprints.request);

        let decision = Decision::Held {
            fingerprint,
            part_id: request.part_id(fingerprint).map(str::to_string),
            crashes: quarantine.targets_under(fingerprint).len(),
            is_quarantined: quarantined.is_some(),
        };
        request.trace.add(now, decision);
    }

    /// Returns whether a crash of one target of a service stops others, as ranks of a group do.
    fn crash_stops_others(&self, service: &str) -> bool {
        let table = self.table();
        let engine = table.service(service).and_then(|s| s.engine.as_ref());

        engine.is_some_and(|engine| !engine.form.is_zero())
    }

    /// Checks a request whose target's crash would stop a whole group: one that was running during
    /// a recent crash is refused for a while, and one under a running probe waits for its result.
    fn cooldown_clearance(&self, request: &RoutedRequest) -> Clearance {
        let (fingerprint, now) = (request.fingerprints().request, self.now());
        let quarantine = self.quarantine.borrow();
        let suspicion = quarantine.suspicion(fingerprint);

        if let Some(left) = self.crash_cooldown.borrow().remaining(fingerprint, suspicion, now) {
            self.counters.quarantine.add("held_back");
            return Clearance::Refuse(left);
        }

        if let Some((_, left)) = quarantine.part_cooldown(request.fingerprints(), now) {
            self.counters.quarantine.add("part_held_back");
            return Clearance::Refuse(left);
        }

        if let Some(left) = quarantine.part_probe_time_left(request.fingerprints(), now) {
            return Clearance::Wait(left);
        }

        match quarantine.probe_time_left(fingerprint, now) {
            Some(left) if !self.crash_cooldown.borrow().was_answered_recently(fingerprint) => {
                Clearance::Wait(left)
            }
            _ => Clearance::Allow,
        }
    }

    fn take_quarantine_trial(&self, request: &RoutedRequest) -> bool {
        let fingerprints = request.fingerprints();
        let tried = self.quarantine.borrow().quarantined(fingerprints).next();

        if !self.quarantine.borrow_mut().take_trial(fingerprints, self.now()) {
            return false;
        }

        self.counters.quarantine.add("trial");
        let fingerprint = to_hex(tried.unwrap_or(fingerprints.request));
        log::info!("quarantine trial", kv: { fingerprint });
        self.notify_updates();
        true
    }

    /// Records that a target has begun to run a request.
    pub(super) fn record_run(&self, request: &RoutedRequest) {
        if !request.part_ids().is_empty() {
            self.quarantine.borrow_mut().record_run(request.prompt_fingerprints());
        }
    }

    /// Records that an attempt, sent at `sent_at`, broke on a target. Ignored if the target is
    /// leaving, as it then ends without a crash.
    pub(super) fn record_broken_attempt(
        self: &Rc<Self>,
        request: &RoutedRequest,
        target: &Arc<TargetEntry>,
        sent_at: Moment,
    ) {
        if self.ends_in_order(target) {
            return;
        }

        self.suspect(request.fingerprints(), target, sent_at);
        let fingerprint = request.fingerprints().request;
        let crashes = self.quarantine.borrow().suspicion(fingerprint).crashes;
        let decision = Decision::Suspected {
            target: target.id.clone(),
            fingerprint,
            crashes,
            part_ids: request.part_ids().to_vec(),
        };
        request.trace.add(self.now(), decision);
    }

    /// Returns whether a target is leaving, and so ends without a crash.
    fn ends_in_order(&self, target: &TargetEntry) -> bool {
        let is_leaving = target.state == TargetState::Leaving
            || self.with_targets(|targets| !targets.takes_work(target));

        is_leaving && !self.is_earlier_start(target)
    }

    /// Suspects a request that was running on a target, and probes the target unless it is known to
    /// have crashed.
    fn suspect(
        self: &Rc<Self>,
        fingerprints: &Fingerprints,
        target: &Arc<TargetEntry>,
        sent_at: Moment,
    ) {
        let listed = TargetStart::listed(&target.id, target.born_ms);
        let now = self.now();
        let start =
            self.quarantine.borrow_mut().record_broken_attempt(&listed, fingerprints, sent_at, now);

        match start {
            Some(start) => {
                let probe = probe_target(self.clone(), target.clone(), start);
                self.tasks.spawn(probe).detach();
            }
            // The target is already being probed or known to have crashed.
            None => {
                self.notify_updates();
                self.schedule_decision();
            }
        }
    }

    /// Records that a request was answered, which clears it of suspicion, and the parts of its
    /// prompt too if the answer is a success.
    pub(super) fn record_request_answered(&self, request: &RoutedRequest, is_success: bool) {
        if self.crash_stops_others(&request.service) {
            self.crash_cooldown.borrow_mut().record_answer(request.fingerprints().request);
        }

        // Without suspects the fingerprint of the whole request is not needed.
        if self.quarantine.borrow().is_idle() {
            if is_success && !request.part_ids().is_empty() {
                let (prompt, now) = (request.prompt_fingerprints(), self.now());
                self.quarantine.borrow_mut().record_unsuspected_answer(prompt, now);
            }

            return;
        }

        self.clear_suspicion(request.fingerprints(), is_success);
    }

    fn clear_suspicion(&self, fingerprints: &Fingerprints, is_success: bool) {
        let released =
            self.quarantine.borrow_mut().record_answer(fingerprints, is_success, self.now());

        for fingerprint in released {
            self.counters.quarantine.add("released");
            log::info!("quarantine released", kv: {
                fingerprint = to_hex(fingerprint), cause = "answered",
            });
        }

        self.notify_updates();
    }

    /// Records the answer to a request that ended with its connection, once `connection`, which was
    /// opened after it, has shown that the target goes on. Otherwise the target is probed as after
    /// a broken attempt.
    pub(super) fn confirm_answer(
        self: &Rc<Self>,
        request: &RoutedRequest,
        target: &Arc<TargetEntry>,
        sent_at: Moment,
        is_success: bool,
        mut connection: Connection,
    ) {
        let (gateway, target) = (self.clone(), target.clone());
        let fingerprints = request.fingerprints().clone();
        let confirmation = async move {
            if timeout(MIN_OPEN_TIME, connection.wait_closed(1)).await.is_err() {
                gateway.pool_new(&target, connection);
                return gateway.clear_suspicion(&fingerprints, is_success);
            }

            if !gateway.ends_in_order(&target) {
                gateway.suspect(&fingerprints, &target, sent_at);
            }
        };

        self.tasks.spawn(confirmation).detach();
    }

    /// Puts a new connection into the pool.
    fn pool_new(&self, target: &TargetEntry, connection: Connection) {
        let max_idle = self.max_idle_connections(&target.service);

        if connection.limit_receive_buffer(SOCKET_BUFFER_BYTES).is_ok() {
            self.pool.put_new(target, connection, max_idle, self.now());
        }
    }

    /// Wakes the tasks that send updates to other gateways and to the store, if there are any.
    fn notify_updates(&self) {
        if self.quarantine.borrow().has_updates() {
            self.suspect_updates.notify(usize::MAX);
        }
    }

    /// Records that a target has restarted or is gone.
    pub(super) fn record_target_ended(&self, target: &str) {
        let now = self.now();

        // No request waits for so late a decision, so it is made at the next request.
        if self.quarantine.borrow_mut().record_restart(target, now) {
            self.counters.quarantine.add("crash");
            self.notify_updates();
        }
    }

    /// Applies another gateway's report of crashes and quarantined requests.
    pub(super) fn apply_crash_report(self: &Rc<Self>, report: &Report) {
        let now = self.now();
        let added = self.quarantine.borrow_mut().apply_report(report, now);

        for fingerprint in added {
            self.record_quarantined(fingerprint, 0, "gateway");
        }

        self.suspects_changed.notify(usize::MAX);
        self.refuse_waiting();
        self.schedule_decision();
    }

    /// Restores a request that was in quarantine before this process started.
    pub fn restore_quarantined(&self, fingerprint: Fingerprint, trials: u32) {
        self.quarantine.borrow_mut().restore(fingerprint, trials, self.now());
        self.record_quarantined(fingerprint, 0, "store");
    }

    /// Schedules the next decision, if any, for the time at which it is due.
    fn schedule_decision(self: &Rc<Self>) {
        let Some(left) = self.quarantine.borrow().next_decision(self.now()) else {
            return;
        };
        let gateway = self.clone();
        let decision = async move {
            async_std::task::sleep(left).await;
            gateway.decide_quarantine();
        };

        self.tasks.spawn(decision).detach();
    }

    fn decide_quarantine(&self) {
        let decided = self.quarantine.borrow_mut().decide(self.now());

        for (fingerprint, crashes) in decided {
            self.record_quarantined(fingerprint, crashes, "own");
            self.notify_updates();
            self.suspects_changed.notify(usize::MAX);
        }
    }

    /// Records that a request or a part of prompts was quarantined, and refuses those that wait.
    fn record_quarantined(&self, fingerprint: Fingerprint, crashes: usize, from: &'static str) {
        let targets = self.quarantine.borrow().targets_under(fingerprint).join(",");
        let is_part = is_part(fingerprint);
        let fingerprint = to_hex(fingerprint);
        self.counters.quarantine.add(if is_part { "part_quarantined" } else { "quarantined" });

        if is_part {
            log::warn!("prompt part quarantined", kv: { fingerprint, crashes, from, targets });
        } else {
            log::warn!("request quarantined", kv: { fingerprint, crashes, from, targets });
        }

        self.refuse_waiting();
    }

    /// Refuses the requests that wait for a slot and may no longer be sent.
    fn refuse_waiting(&self) {
        if self.quarantine.borrow().is_idle() {
            return;
        }

        let now = self.now();

        for (service, ticket, request) in self.waiting.all() {
            if let Clearance::Refuse(left) = self.clearance(&request) {
                self.trace_held(&request);
                let reason = NoSlot::Quarantined(left);
                assignment::dequeue_and_reply(self, &service, ticket, Err(reason), now);
            }
        }
    }

    fn record_probe(
        self: &Rc<Self>,
        target: &TargetEntry,
        start: &TargetStart,
        result: ProbeResult,
    ) {
        let now = self.now();
        let is_decision_due = self.quarantine.borrow_mut().record_probe(start, result, now);
        self.suspects_changed.notify(usize::MAX);

        if result != ProbeResult::Crashed {
            return self.counters.quarantine.add("no_crash");
        }

        self.counters.quarantine.add("crash");
        self.notify_updates();
        self.refuse_waiting();

        if let Some(left_out) = self.suspect_lines.borrow_mut().try_acquire_line(now) {
            let (target, service) = (target.id.as_str(), target.service.as_str());
            let (born_ms, is_next) = (start.born.unwrap_or_default(), start.is_next);
            log::warn!("target crashed", kv: { target, service, born_ms, is_next, left_out });
        }

        if is_decision_due {
            self.schedule_decision();
            self.tasks.spawn(probe_neighbours(self.clone(), target.service.clone())).detach();
        }
    }
}

/// Probes a target on which an attempt broke, to find out whether it has crashed.
async fn probe_target(gateway: Rc<Gateway>, target: Arc<TargetEntry>, start: TargetStart) {
    let (result, connection) =
        liveness::probe(target.address, CONNECT_TIMEOUT, MIN_OPEN_TIME).await;

    if let Some(connection) = connection {
        // The probe's connection replaces the one that broke.
        gateway.pool_new(&target, connection);
    }

    gateway.record_probe(&target, &start, result);
}

/// Probes some other targets of a service, to find out whether they crashed at the same time.
async fn probe_neighbours(gateway: Rc<Gateway>, service: String) {
    let serving = gateway.serving(&service).unwrap_or_default();
    let now = gateway.now();
    let mut others: Vec<&Arc<TargetEntry>> = serving
        .iter()
        .filter(|target| !gateway.quarantine.borrow().crashed_recently(&target.id, now))
        .collect();

    for _ in 0..MAX_NEIGHBOUR_PROBES.min(others.len()) {
        let target = others.swap_remove(ProcessRandom::default().below(others.len()));
        let connected = Connection::connect(target.address, CONNECT_TIMEOUT).await;

        if connected.is_err_and(|error| error.is_connection_refused()) {
            let start = TargetStart::listed(&target.id, target.born_ms);
            gateway.quarantine.borrow_mut().record_crash(&start, [], gateway.now());
            gateway.notify_updates();
        }
    }
}
