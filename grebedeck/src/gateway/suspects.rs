//! Requests under which targets crash, as a gateway meets them.
//!
//! Where an attempt breaks, the target is looked at; whether that was a crash, whom it speaks against and who is not sent any
//! more is [`Quarantine`](grebedeck_routing::Quarantine)'s to decide. A request is asked for at three places: before it
//! looks for a place, which repeats and streams that go on elsewhere do as well; in line, as soon as it is decided on;
//! and when its connection stands.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::{TargetEntry, TargetState};
use grebedeck_http::Connection;
use grebedeck_kernel::log;
use grebedeck_routing::fingerprint::to_hex;
use grebedeck_routing::quarantine::ProbeResult;
use grebedeck_routing::{Clearance, Fingerprint, Report, TargetStart};

use super::handout;
use super::options::CONNECT_LIMIT;
use super::place::NoPlace;
use super::request::RoutedRequest;
use super::service::Gateway;
use super::trace::Decision;
use crate::liveness;
use crate::random::ProcessRandom;

/// Lines a second on crashes and on requests that are suspected of them.
pub const SUSPECT_LINES_PER_S: f64 = 20.0;
/// How long a new connection has to stay open for its target to be alive: one that is ending may still accept.
const STAYS_OPEN: Duration = Duration::from_millis(100);
/// Other targets that are looked at before a request is decided on: idle ones that have crashed as well show a loss of
/// power that no request of this process tells of.
const NEIGHBOURS: usize = 3;

impl Gateway {
    /// Waits until it is known whether a request may be sent, which is at once but for those under crashes.
    pub(super) async fn cleared(&self, request: &RoutedRequest) -> Result<(), NoPlace> {
        loop {
            let changed = self.suspects_changed.listen();

            match self.clearance(request) {
                Clearance::Allow | Clearance::Trial => return Ok(()),
                Clearance::Refuse(left) => return Err(NoPlace::Quarantined(left)),
                Clearance::Wait(wait) => {
                    self.counters.quarantine.add("held");
                    // Whichever comes first, it is asked again.
                    let _ = timeout(wait, changed).await;
                }
            }
        }
    }

    /// Tells whether a request whose connection stands may be sent, and takes its trial where it needs one.
    pub(super) fn may_run(&self, request: &RoutedRequest) -> bool {
        match self.clearance(request) {
            Clearance::Allow => true,
            Clearance::Trial => self.take_quarantine_trial(request),
            Clearance::Wait(_) | Clearance::Refuse(_) => false,
        }
    }

    fn clearance(&self, request: &RoutedRequest) -> Clearance {
        // Without any suspects a request costs nothing here, not even its fingerprint.
        if self.quarantine.borrow().is_idle() {
            return Clearance::Allow;
        }

        self.decide();
        let clearance = self.quarantine.borrow_mut().clearance(request.fingerprint(), self.now());

        match clearance {
            Clearance::Allow if self.stops_others(&request.service) => self.caution(request),
            clearance => clearance,
        }
    }

    /// Tells whether the crash of one of a service's targets stops others.
    fn stops_others(&self, service: &str) -> bool {
        let table = self.table();
        let engine = table.service(service).and_then(|s| s.engine.as_ref());

        engine.is_some_and(|engine| !engine.form.is_zero())
    }

    /// Tells whether a request may be sent where one crash more would stop a whole group.
    fn caution(&self, request: &RoutedRequest) -> Clearance {
        let (fingerprint, now) = (request.fingerprint(), self.now());
        let quarantine = self.quarantine.borrow();
        let suspicion = quarantine.suspicion(fingerprint);

        if let Some(left) = self.answered.borrow().remaining(fingerprint, suspicion, now) {
            self.counters.quarantine.add("held_back");
            return Clearance::Refuse(left);
        }

        match quarantine.probe_time_left(fingerprint, now) {
            Some(left) if !self.answered.borrow().was_answered_recently(fingerprint) => {
                Clearance::Wait(left)
            }
            _ => Clearance::Allow,
        }
    }

    fn take_quarantine_trial(&self, request: &RoutedRequest) -> bool {
        let fingerprint = request.fingerprint();

        if !self.quarantine.borrow_mut().take_trial(fingerprint, self.now()) {
            return false;
        }

        self.counters.quarantine.add("trial");
        log::info!("quarantine trial", kv: { fingerprint = to_hex(fingerprint) });
        self.tell_news();
        true
    }

    /// Notes that an attempt that was sent at `sent_at` broke at a target. One that is leaving ends without a crash.
    pub(super) fn note_broken(
        self: &Rc<Self>,
        request: &RoutedRequest,
        target: &Arc<TargetEntry>,
        sent_at: Moment,
    ) {
        let is_leaving = target.state == TargetState::Leaving
            || self.with_targets(|targets| !targets.takes_work(target));

        if is_leaving && !self.is_earlier_start(target) {
            return;
        }

        let fingerprint = request.fingerprint();
        let listed = TargetStart::listed(&target.id, target.born_ms);
        let now = self.now();
        let start =
            self.quarantine.borrow_mut().record_broken_attempt(&listed, fingerprint, sent_at, now);
        let crashes = self.quarantine.borrow().suspicion(fingerprint).crashes;
        let decision = Decision::Suspected { target: target.id.clone(), fingerprint, crashes };
        request.trace.add(now, decision);

        match start {
            Some(start) => {
                let look = look_at(self.clone(), target.clone(), start);
                self.tasks.spawn(look).detach();
            }
            // The target is looked at, or known to have crashed.
            None => {
                self.tell_news();
                self.decide_later();
            }
        }
    }

    /// Notes that a request was answered.
    pub(super) fn note_answered(&self, request: &RoutedRequest) {
        if self.stops_others(&request.service) {
            self.answered.borrow_mut().record_answer(request.fingerprint());
        }

        if self.quarantine.borrow().is_idle() {
            return;
        }

        let fingerprint = request.fingerprint();

        if self.quarantine.borrow_mut().record_answer(fingerprint, self.now()) {
            self.counters.quarantine.add("released");
            log::info!("quarantine released", kv: { fingerprint = to_hex(fingerprint), cause = "answered" });
        }

        self.tell_news();
    }

    /// Has other gateways told, and the store, where there is something to tell.
    fn tell_news(&self) {
        if self.quarantine.borrow().has_updates() {
            self.suspects_news.notify(usize::MAX);
        }
    }

    /// Notes that a target has started again or is gone.
    pub(super) fn note_ended(&self, target: &str) {
        let now = self.now();

        // Nobody can wait for a decision that is this late, so it is made with the next request.
        if self.quarantine.borrow_mut().record_restart(target, now) {
            self.counters.quarantine.add("crash");
            self.tell_news();
        }
    }

    /// Takes in what another gateway tells of crashes.
    pub(super) fn take_report(self: &Rc<Self>, report: &Report) {
        let now = self.now();
        let taken = self.quarantine.borrow_mut().apply_report(report, now);

        for fingerprint in taken {
            self.note_quarantined(fingerprint, 0, "gateway");
        }

        self.suspects_changed.notify(usize::MAX);
        self.decide_later();
    }

    /// Takes in that a request was in quarantine before this process started.
    pub fn restore_quarantined(&self, fingerprint: Fingerprint, trials: u32) {
        self.quarantine.borrow_mut().restore(fingerprint, trials, self.now());
        self.note_quarantined(fingerprint, 0, "store");
    }

    /// Decides on requests as soon as that can be done.
    fn decide_later(self: &Rc<Self>) {
        let Some(left) = self.quarantine.borrow().next_decision(self.now()) else {
            return;
        };
        let gateway = self.clone();
        let deciding = async move {
            async_std::task::sleep(left).await;
            gateway.decide();
        };

        self.tasks.spawn(deciding).detach();
    }

    fn decide(&self) {
        let decided = self.quarantine.borrow_mut().decide(self.now());

        for (fingerprint, crashes) in decided {
            self.note_quarantined(fingerprint, crashes, "own");
            self.tell_news();
            self.suspects_changed.notify(usize::MAX);
        }
    }

    /// Notes that a request is not sent any more, and tells those of it that wait for a place.
    fn note_quarantined(&self, fingerprint: Fingerprint, crashes: usize, from: &'static str) {
        self.counters.quarantine.add("quarantined");
        log::warn!("request quarantined", kv: { fingerprint = to_hex(fingerprint), crashes, from });
        let now = self.now();

        for (service, ticket, request) in self.waiting.all() {
            if request.fingerprint() != fingerprint {
                continue;
            }

            if let Clearance::Refuse(left) = self.clearance(&request) {
                let reason = NoPlace::Quarantined(left);
                handout::answer(self, &service, ticket, Err(reason), now);
            }
        }
    }

    fn note_finding(
        self: &Rc<Self>,
        target: &TargetEntry,
        start: &TargetStart,
        finding: ProbeResult,
    ) {
        let now = self.now();
        let is_open = self.quarantine.borrow_mut().record_probe(start, finding, now);
        self.suspects_changed.notify(usize::MAX);

        if finding != ProbeResult::Crashed {
            return self.counters.quarantine.add("no_crash");
        }

        self.counters.quarantine.add("crash");
        self.tell_news();

        if let Some(left_out) = self.suspect_lines.borrow_mut().take_line(now) {
            let (target, service) = (target.id.as_str(), target.service.as_str());
            let (born_ms, is_next) = (start.born.unwrap_or_default(), start.is_next);
            log::warn!("target crashed", kv: { target, service, born_ms, is_next, left_out });
        }

        if is_open {
            self.decide_later();
            self.tasks.spawn(look_at_neighbours(self.clone(), target.service.clone())).detach();
        }
    }
}

/// Finds out whether a target on which an attempt broke has crashed.
async fn look_at(gateway: Rc<Gateway>, target: Arc<TargetEntry>, start: TargetStart) {
    let (finding, connection) = liveness::look(target.address, CONNECT_LIMIT, STAYS_OPEN).await;

    if let Some(connection) = connection {
        // It takes the place of the one that broke.
        let max_kept = gateway.max_kept(&target.service);
        gateway.pool.put_new(&target, connection, max_kept, gateway.now());
    }

    gateway.note_finding(&target, &start, finding);
}

/// Looks at some other targets of a service, whether they have crashed in the same moment.
async fn look_at_neighbours(gateway: Rc<Gateway>, service: String) {
    let serving = gateway.serving(&service).unwrap_or_default();
    let now = gateway.now();
    let mut others: Vec<&Arc<TargetEntry>> = serving
        .iter()
        .filter(|target| !gateway.quarantine.borrow().crashed_recently(&target.id, now))
        .collect();

    for _ in 0..NEIGHBOURS.min(others.len()) {
        let target = others.swap_remove(ProcessRandom::default().below(others.len()));
        let connected = Connection::connect(target.address, CONNECT_LIMIT).await;

        if connected.is_err_and(|error| error.is_connection_refused()) {
            let start = TargetStart::listed(&target.id, target.born_ms);
            gateway.quarantine.borrow_mut().record_crash(&start, [], gateway.now());
            gateway.tell_news();
        }
    }
}
