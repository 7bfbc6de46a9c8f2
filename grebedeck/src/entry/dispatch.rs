//! Taking one request through its attempts.

use std::sync::Arc;

use grebedeck_config::Route;
use grebedeck_core::{AttemptId, Moment, Outcome, RandomSource, Reason, Revision, TargetName};
use grebedeck_routing::attempt::{AttemptTracker, retry_backoff};
use grebedeck_routing::{AttemptEnd, Fingerprint, Next, StrikeAnswer};
use http_types::Response;

use super::attempt::{Attempt, Begun, SentTo};
use super::request::CallerRequest;
use super::service::{EntryService, Place};
use crate::message::{Control, ControlAnswer};
use crate::random::{ProcessRandom, request_id};

/// One request under way.
struct Dispatch {
    entry: Arc<EntryService>,
    request: CallerRequest,
    fingerprint: Fingerprint,
    /// The targets that the request may go to from this entry.
    part: Vec<Arc<Route>>,
    revision: Revision,
    home: Option<Arc<Route>>,
    tried: Vec<TargetName>,
    sent: Option<SentTo>,
    /// Whether the current attempt may wait for a place.
    may_wait: bool,
    deadline: Moment,
}

impl EntryService {
    /// Takes a request through its attempts to its answer.
    pub(super) async fn dispatch(
        self: Arc<Self>,
        request: CallerRequest,
        revision: Revision,
        part: Vec<Arc<Route>>,
        place: Place,
    ) -> Result<Response, Outcome> {
        let mut dispatch = Dispatch::try_new(self, request, revision, part)?;
        let mut tracker = AttemptTracker::new(dispatch.request.traits);
        let id = request_id();
        dispatch.entry.state().retries.deposit();

        loop {
            // Sent on after each crash, one request takes target after target down.
            if let Err(left) = dispatch.entry.suspects.cleared(dispatch.fingerprint).await {
                return Err(tracker.outcome_if_unsent(Reason::Quarantined(left)));
            }

            let attempt = AttemptId { request: id, number: tracker.number() };
            let end = match dispatch.attempt(attempt, tracker.is_last()).await {
                Ok(begun) => return Ok(begun.into_response(place)),
                Err(end) => end,
            };

            // A target that was only asked for a free place costs nothing from the budget.
            let only_asked = end == AttemptEnd::Refused(Reason::TargetBusy) && !dispatch.may_wait;
            let mut next = tracker.record_end(end, || only_asked || dispatch.may_retry());

            if next == Next::Strike {
                let end = dispatch.strike(attempt).await;
                next = tracker.record_end(end, || dispatch.may_retry());
            }

            match next {
                Next::Retry if only_asked => {}
                Next::Retry => dispatch.wait(tracker.number()).await,
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
        part: Vec<Arc<Route>>,
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

        let deadline = entry.now() + request.deadline.unwrap_or(entry.answer_limit);
        let tried = Vec::new();
        Ok(Dispatch {
            entry,
            fingerprint: request.fingerprint(),
            request,
            part,
            revision,
            home,
            tried,
            sent: None,
            may_wait: true,
            deadline,
        })
    }

    async fn attempt(&mut self, id: AttemptId, is_last: bool) -> Result<Begun, AttemptEnd> {
        let route = self.choose().ok_or(AttemptEnd::Refused(Reason::Draining))?;
        self.tried.push(route.name.clone());
        self.may_wait = is_last || !self.expects_free_place();

        let attempt = Attempt {
            entry: self.entry.clone(),
            route,
            id,
            fingerprint: self.fingerprint,
            revision: self.revision,
            may_wait: self.may_wait,
            deadline: self.deadline,
        };

        self.sent = None;
        attempt.run(&self.request, &mut self.sent).await
    }

    fn choose(&self) -> Option<Arc<Route>> {
        if let Some(home) = &self.home {
            return Some(home.clone());
        }

        let entry = &self.entry;
        let random = &mut ProcessRandom::default();

        entry.state().chooser.choose(&self.part, &self.tried, entry.now(), random).cloned()
    }

    /// Tells whether a target that was not tried yet is expected to have a free place.
    fn expects_free_place(&self) -> bool {
        let now = self.entry.now();

        self.home.is_none()
            && self.entry.state().chooser.expects_free_slot(&self.part, &self.tried, now)
    }

    /// Tells whether time and budget allow another attempt, and takes it from the budget.
    fn may_retry(&self) -> bool {
        self.entry.now() < self.deadline && self.entry.state().retries.try_withdraw()
    }

    /// Asks the agent to strike out an attempt whose connection was lost.
    async fn strike(&self, attempt: AttemptId) -> AttemptEnd {
        let Some(sent) = &self.sent else {
            return AttemptEnd::NotStruck;
        };

        // An agent of another incarnation cannot speak for the one that had the attempt, and says
        // so itself.
        let message = Control::Strike { attempt, incarnation: sent.incarnation };

        match self.entry.directory.control(sent.agent_address, &message).await {
            Ok(ControlAnswer::Strike(StrikeAnswer::Struck)) => AttemptEnd::Struck,
            _ => AttemptEnd::NotStruck,
        }
    }

    async fn wait(&self, number: u32) {
        let wait = retry_backoff(number, ProcessRandom::default().unit());

        async_std::task::sleep(wait).await;
    }
}
