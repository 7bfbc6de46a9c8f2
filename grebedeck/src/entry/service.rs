//! The entry's state and its handling of one request.

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

use super::answer::refusal;
use super::request::{BodyBudget, BodyLimits, CallerRequest};
use super::suspects::Suspects;
use crate::config::{self, ConfigService};
use crate::directory::{self, Directory};
use crate::settings::{EntrySettings, millis};

/// How often views of targets that are gone are dropped.
const FORGET_PERIOD: Duration = Duration::from_secs(60);

/// What the request path counts.
pub struct EntryCounters {
    /// Requests by outcome.
    pub outcomes: Counter,
    /// Attempts by how they ended.
    pub attempts: Counter,
    /// Targets put aside.
    pub ejections: Counter,
}

/// Decisions that are shared by all requests of the entry.
pub struct EntryState {
    /// Places for requests.
    pub admission: Admission,
    /// The view of the targets.
    pub chooser: Chooser,
    /// The budget for retries.
    pub retries: RetryBudget,
    stopping: bool,
}

/// The entry's service.
pub struct EntryService {
    pub(super) clock: Clock,
    name: String,
    hall: String,
    pub(super) config: Arc<ConfigService>,
    pub(super) directory: Arc<Directory>,
    pub(super) counters: EntryCounters,
    pub(super) answer_limit: Duration,
    pub(super) spread_limit: Duration,
    subset_targets: usize,
    body_limits: BodyLimits,
    body_budget: Arc<BodyBudget>,
    pub(super) suspects: Arc<Suspects>,
    state: Mutex<EntryState>,
}

/// A place in the admission, given back when it is dropped.
pub struct Place {
    entry: Arc<EntryService>,
    organisation: OrganisationName,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.entry.state().admission.leave(&self.organisation);
    }
}

impl EntryService {
    /// Makes the service; the kernel must have the configuration and the peers.
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
            answer_limit: millis(settings.answer_limit_ms),
            spread_limit: millis(settings.spread_limit_ms),
            subset_targets: settings.subset_targets,
            body_limits: BodyLimits {
                max_bytes: settings.max_body_bytes,
                limit: millis(settings.body_limit_ms),
            },
            body_budget: Arc::new(BodyBudget::new(settings.max_buffered_bytes)),
            suspects: kernel.register("suspects", Suspects::new(clock, metrics)),
            state: Mutex::new(state),
        }
    }

    /// Answers one request of a caller.
    pub async fn respond(self: Arc<Self>, request: Request) -> Response {
        match self.clone().serve(request).await {
            Ok(response) => response,
            Err(outcome) => {
                self.counters.outcomes.add(outcome.as_str());
                refusal(&outcome)
            }
        }
    }

    async fn serve(self: Arc<Self>, request: Request) -> Result<Response, Outcome> {
        if self.state().stopping {
            return Err(Outcome::NotRun(Reason::Draining));
        }

        let read = CallerRequest::try_new(request, self.body_limits, &self.body_budget).await;
        let request = read.map_err(Outcome::Refused)?;
        let routes = self.config.routes();
        let allowed = self.allowed(&routes, &request)?;
        let part = self.part_of(&allowed);
        let place = self.enter(&request.organisation, &part)?;

        self.dispatch(request, routes.revision(), part, place).await
    }

    /// Gets the targets that the selectors allow, or why there are none.
    fn allowed(
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

    fn enter(self: &Arc<Self>, organisation: &str, part: &[Arc<Route>]) -> Result<Place, Outcome> {
        let now = self.now();
        let mut state = self.state();
        let crowded = state.chooser.is_crowded(part, now);

        state.admission.enter(organisation, crowded).map_err(Outcome::Refused)?;
        Ok(Place { entry: self.clone(), organisation: organisation.to_string() })
    }

    /// Gets the allowed targets that this entry spreads its requests over.
    fn part_of(&self, allowed: &[Arc<Route>]) -> Vec<Arc<Route>> {
        let size = self.subset_targets;
        let options = SubsetOptions { size, in_other_halls: size / 2 };

        subset(allowed, &self.name, &self.hall, options)
    }

    /// Drops the views of targets that the configuration no longer has, now and then, until the task
    /// is dropped.
    pub async fn forget_gone(self: Arc<Self>) {
        loop {
            async_std::task::sleep(FORGET_PERIOD).await;
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
        // Every holder leaves the state whole, so a poisoned lock is still good.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for EntryService {
    fn dump(&self) -> Value {
        let state = self.state();

        json!({
            "in_flight": state.admission.in_flight(),
            "active_organisations": state.admission.active_organisations(),
            "buffered_bytes": self.body_budget.used_bytes(),
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
