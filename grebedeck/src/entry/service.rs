//! State of the entry, and the path of a request from its arrival to the first attempt.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use grebedeck_config::{Route, Routes};
use grebedeck_core::{Moment, OrganisationName, Outcome, Reason};
use grebedeck_kernel::{Clock, Counter, Kernel, Metrics, Service};
use grebedeck_routing::subset::{SubsetOptions, subset};
use grebedeck_routing::{
    Admission, AdmissionOptions, Chooser, ChooserOptions, RetryBudget, RetryOptions,
};
use http_types::{Request, Response};
use serde_json::{Value, json};

use super::answer::error_response;
use super::request::{BodyLimits, BodyMemoryBudget, CallerRequest};
use super::suspects::Suspects;
use crate::config::{self, ConfigService};
use crate::directory::{self, Directory};
use crate::settings::{EntrySettings, millis};

/// Interval at which views of targets that the configuration no longer contains are evicted.
const EVICT_INTERVAL: Duration = Duration::from_secs(60);

/// Metrics of the request path.
pub struct EntryCounters {
    /// Requests by outcome.
    pub outcomes: Counter,
    /// Attempts by result.
    pub attempts: Counter,
    /// Ejections of targets, by cause.
    pub ejections: Counter,
}

/// State of the decisions that all requests of the entry share.
pub struct EntryState {
    /// Admission of requests.
    pub admission: Admission,
    /// Selection of targets, with the entry's view of their load and health.
    pub chooser: Chooser,
    /// Budget for retries.
    pub retries: RetryBudget,
    stopping: bool,
}

/// Service of the entry.
pub struct EntryService {
    pub(super) clock: Clock,
    name: String,
    hall: String,
    pub(super) config: Arc<ConfigService>,
    pub(super) directory: Arc<Directory>,
    pub(super) counters: EntryCounters,
    pub(super) answer_timeout: Duration,
    pub(super) spread_limit: Duration,
    subset_targets: usize,
    body_limits: BodyLimits,
    body_memory: Arc<BodyMemoryBudget>,
    pub(super) suspects: Arc<Suspects>,
    state: Mutex<EntryState>,
}

/// Permit of an admitted request, released when it is dropped.
pub struct AdmissionPermit {
    entry: Arc<EntryService>,
    organisation: OrganisationName,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.entry.state().admission.leave(&self.organisation);
    }
}

impl EntryService {
    /// Creates the service; the kernel must have the configuration and the directory of peers.
    pub fn new(settings: &EntrySettings, clock: Clock, kernel: &Kernel, metrics: &Metrics) -> Self {
        let admission = AdmissionOptions {
            max_in_flight: settings.max_in_flight,
            ..AdmissionOptions::default()
        };
        let state = EntryState {
            admission: Admission::new(admission),
            chooser: Chooser::new(&settings.common.hall, ChooserOptions::default()),
            retries: RetryBudget::new(RetryOptions::default()),
            stopping: false,
        };
        let counters = EntryCounters {
            outcomes: metrics.counter("grebedeck_requests", "outcome", "Requests by outcome"),
            attempts: metrics.counter("grebedeck_attempts", "end", "Attempts by how they ended"),
            ejections: metrics.counter("grebedeck_ejections", "cause", "Targets put aside"),
        };

        EntryService {
            clock,
            name: settings.common.name.clone(),
            hall: settings.common.hall.clone(),
            config: kernel.require::<ConfigService>(config::NAME),
            directory: kernel.require::<Directory>(directory::NAME),
            counters,
            answer_timeout: millis(settings.answer_limit_ms),
            spread_limit: millis(settings.spread_limit_ms),
            subset_targets: settings.subset_targets,
            body_limits: BodyLimits {
                max_bytes: settings.max_body_bytes,
                timeout: millis(settings.body_limit_ms),
            },
            body_memory: Arc::new(BodyMemoryBudget::new(settings.max_buffered_bytes)),
            suspects: kernel.register("suspects", Suspects::new(clock, metrics)),
            state: Mutex::new(state),
        }
    }

    /// Handles a caller's request and returns the response.
    pub async fn respond(self: Arc<Self>, request: Request) -> Response {
        match self.clone().serve(request).await {
            Ok(response) => response,
            Err(outcome) => {
                self.counters.outcomes.add(outcome.as_str());
                error_response(&outcome)
            }
        }
    }

    async fn serve(self: Arc<Self>, request: Request) -> Result<Response, Outcome> {
        if self.state().stopping {
            return Err(Outcome::NotRun(Reason::Draining));
        }

        let read = CallerRequest::try_new(request, self.body_limits, &self.body_memory).await;
        let request = read.map_err(Outcome::Refused)?;
        let routes = self.config.routes();
        let allowed = self.allowed_targets(&routes, &request)?;
        let candidates = self.candidates_from(&allowed);
        let permit = self.admit(&request.organisation, &candidates)?;

        self.dispatch(request, routes.revision(), candidates, permit).await
    }

    /// Targets that the selectors allow, or the reason why there are none.
    fn allowed_targets(
        &self,
        routes: &Routes,
        request: &CallerRequest,
    ) -> Result<Arc<[Arc<Route>]>, Outcome> {
        if routes.revision() == 0 {
            return Err(Outcome::NotRun(Reason::NoConfiguration));
        }

        if !routes.has_organisation(&request.organisation) {
            let organisation = request.organisation.clone();
            return Err(Outcome::Refused(Reason::UnknownOrganisation(organisation)));
        }

        let allowed = routes.allowed(&request.organisation, &request.service);
        allowed.cloned().ok_or(Outcome::Refused(Reason::NoCapacity))
    }

    fn admit(
        self: &Arc<Self>,
        organisation: &str,
        candidates: &[Arc<Route>],
    ) -> Result<AdmissionPermit, Outcome> {
        let now = self.now();
        let mut state = self.state();
        let is_crowded = state.chooser.is_crowded(candidates, now);

        state.admission.enter(organisation, is_crowded).map_err(Outcome::Refused)?;
        Ok(AdmissionPermit { entry: self.clone(), organisation: organisation.to_string() })
    }

    /// Subset of the allowed targets over which this entry spreads its requests.
    fn candidates_from(&self, allowed: &[Arc<Route>]) -> Vec<Arc<Route>> {
        let size = self.subset_targets;
        let options = SubsetOptions { size, in_other_halls: size / 2 };

        subset(allowed, &self.name, &self.hall, options)
    }

    /// Periodically evicts the views of targets that the configuration no longer contains, until
    /// the task is dropped.
    pub async fn evict_removed_targets(self: Arc<Self>) {
        loop {
            async_std::task::sleep(EVICT_INTERVAL).await;
            let routes = self.config.routes();
            self.state().chooser.retain(|name| routes.targets().contains_key(name));
        }
    }

    /// Counts a request whose head could not be read.
    pub fn count_rejected(&self) {
        self.counters.outcomes.add("unreadable");
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, EntryState> {
        // No holder of the lock leaves the state inconsistent when it panics, so a poisoned lock
        // can be used.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for EntryService {
    fn dump(&self) -> Value {
        let state = self.state();

        json!({
            "in_flight": state.admission.in_flight(),
            "active_organisations": state.admission.active_organisations(),
            "buffered_bytes": self.body_memory.used_bytes(),
            "target_views": state.chooser.view_count(),
            "stopping": state.stopping,
        })
    }

    fn begin_stop(&self) {
        self.state().stopping = true;
    }

    fn is_idle(&self) -> bool {
        self.state().admission.in_flight() == 0
    }
}
