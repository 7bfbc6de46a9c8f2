//! Runs the attempts of a request until one is answered or no further one is allowed.

use std::sync::Arc;

use grebedeck_config::Route;
use grebedeck_core::{AttemptId, Moment, Outcome, RandomSource, Reason, Revision, TargetName};
use grebedeck_routing::attempt::{AttemptTracker, retry_backoff};
use grebedeck_routing::{AttemptEnd, Fingerprints, Next, StrikeAnswer};
use http_types::Response;

use super::attempt::{Attempt, SentTo, StartedAnswer};
use super::request::CallerRequest;
use super::service::{AdmissionPermit, EntryService};
use crate::message::{Control, ControlAnswer};
use crate::random::{ProcessRandom, request_id};

/// A request in progress.
struct Dispatch {
    entry: Arc<EntryService>,
    request: CallerRequest,
    fingerprints: Arc<Fingerprints>,
    /// Targets that this entry may select for the request.
    candidates: Vec<Arc<Route>>,
    revision: Revision,
    /// Target of a request with a key, which always goes to the same one.
    home: Option<Arc<Route>>,
    tried: Vec<TargetName>,
    /// Agent that the current attempt was sent to.
    sent_to: Option<SentTo>,
    /// Whether the current attempt may wait in the target.
    may_wait: bool,
    deadline: Moment,
}

impl EntryService {
    /// Sends a request to one target after another until it is answered or no further attempt is
    /// allowed.
    pub(super) async fn dispatch(
        self: Arc<Self>,
        request: CallerRequest,
        revision: Revision,
        candidates: Vec<Arc<Route>>,
        permit: AdmissionPermit,
    ) -> Result<Response, Outcome> {
        let mut dispatch = Dispatch::try_new(self, request, revision, candidates)?;
        let mut tracker = AttemptTracker::new(dispatch.request.traits);
        let id = request_id();
        dispatch.entry.state().retries.deposit();

        loop {
            // A request that crashes its targets would take down one target after another if it
            // were retried after each crash.
            if let Err(remaining) =
                dispatch.entry.suspects.wait_for_clearance(&dispatch.fingerprints).await
            {
                return Err(tracker.outcome_if_unsent(Reason::Quarantined(remaining)));
            }

            let attempt = AttemptId { request: id, number: tracker.number() };
            let end = match dispatch.run_attempt(attempt, tracker.is_last()).await {
                Ok(answer) => return Ok(answer.into_response(permit)),
                Err(end) => end,
            };

            // An attempt that could not wait and found no free slot costs nothing from the retry
            // budget.
            let found_busy = end == AttemptEnd::Refused(Reason::TargetBusy) && !dispatch.may_wait;
            let mut next = tracker.record_end(end, || found_busy || dispatch.may_retry());

            if next == Next::Strike {
                let end = dispatch.strike(attempt).await;
                next = tracker.record_end(end, || dispatch.may_retry());
            }

            match next {
                Next::Retry if found_busy => {}
                Next::Retry => dispatch.backoff(tracker.number()).await,
                Next::Answer(outcome) => return Err(outcome),
                Next::Strike => return Err(Outcome::Unknown(Reason::ConnectionLost)),
            }
        }
    }
}

impl Dispatch {
    fn try_new(
        entry: Arc<EntryService>,
        request: CallerRequest,
        revision: Revision,
        candidates: Vec<Arc<Route>>,
    ) -> Result<Self, Outcome> {
        let home = match &request.key {
            Some(key) => Some(
                entry
                    .config
                    .home(&request.organisation, &request.service, key, entry.spread_limit)
                    .map_err(Outcome::Unknown)?,
            ),
            None => None,
        };

        let deadline = entry.now() + request.deadline.unwrap_or(entry.answer_timeout);
        let tried = Vec::new();
        Ok(Dispatch {
            entry,
            fingerprints: Arc::new(request.fingerprints()),
            request,
            candidates,
            revision,
            home,
            tried,
            sent_to: None,
            may_wait: true,
            deadline,
        })
    }

    async fn run_attempt(
        &mut self,
        id: AttemptId,
        is_last: bool,
    ) -> Result<StartedAnswer, AttemptEnd> {
        let route = self.choose().ok_or(AttemptEnd::Refused(Reason::Draining))?;
        self.tried.push(route.name.clone());
        self.may_wait = is_last || !self.expects_free_slot();

        let attempt = Attempt {
            entry: self.entry.clone(),
            route,
            id,
            fingerprints: self.fingerprints.clone(),
            revision: self.revision,
            may_wait: self.may_wait,
            deadline: self.deadline,
        };

        self.sent_to = None;
        attempt.run(&self.request, &mut self.sent_to).await
    }

    fn choose(&self) -> Option<Arc<Route>> {
        if let Some(home) = &self.home {
            return Some(home.clone());
        }

        let entry = &self.entry;
        let random = &mut ProcessRandom::default();

        entry.state().chooser.choose(&self.candidates, &self.tried, entry.now(), random).cloned()
    }

    /// Whether a target that was not tried yet is expected to have a free slot.
    fn expects_free_slot(&self) -> bool {
        let now = self.entry.now();

        self.home.is_none()
            && self.entry.state().chooser.expects_free_slot(&self.candidates, &self.tried, now)
    }

    /// Whether deadline and budget allow another attempt; withdraws it from the budget.
    fn may_retry(&self) -> bool {
        self.entry.now() < self.deadline && self.entry.state().retries.try_withdraw()
    }

    /// Asks the agent to cancel an attempt whose connection was lost, if it has not started.
    async fn strike(&self, attempt: AttemptId) -> AttemptEnd {
        let Some(sent_to) = &self.sent_to else {
            return AttemptEnd::NotStruck;
        };

        // An agent of another incarnation cannot answer for the one that received the attempt, and
        // refuses.
        let message = Control::Strike { attempt, incarnation: sent_to.incarnation };

        match self.entry.directory.control(sent_to.agent_address, &message).await {
            Ok(ControlAnswer::Strike(StrikeAnswer::Struck)) => AttemptEnd::Struck,
            _ => AttemptEnd::NotStruck,
        }
    }

    async fn backoff(&self, number: u32) {
        let backoff = retry_backoff(number, ProcessRandom::default().unit());

        async_std::task::sleep(backoff).await;
    }
}
