//! Serves requests whose responses are buffered before the caller gets them.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_gateway::answer::give_up_status;
use grebedeck_gateway::{Denied, HeaderNames, RunState, Verdict};
use grebedeck_http::connection::MAX_COALESCED_BODY_BYTES;
use grebedeck_http::{Headers, ResponseHead};

use super::attempt;
use super::buffer::Buffer;
use super::caller::Reuse;
use super::history::{AttemptFailure, AttemptHistory, FailureCause};
use super::request::{CallerRequest, RoutedRequest};
use super::retries::RetryPermit;
use super::service::Gateway;
use super::slot::{self, NoSlot, Slot};
use super::trace::{Decision, Outcome};

/// Delay for the caller while the process knows no configuration or targets.
const NOT_READY_WAIT: Duration = Duration::from_millis(500);

/// A complete response.
pub struct BufferedResponse {
    head: ResponseHead,
    /// `None` for the gateway's own responses.
    body: Option<Buffer>,
    is_local: bool,
}

impl BufferedResponse {
    /// Response of a target.
    pub fn from_target(head: ResponseHead, body: Buffer) -> Self {
        BufferedResponse { head, body: Some(body), is_local: false }
    }

    /// Response of the gateway itself; `retry_after` is for requests that have not been executed.
    pub fn local(
        status: u16,
        retry_after: Option<Duration>,
        request: &CallerRequest,
        names: &HeaderNames,
    ) -> Self {
        let mut head = ResponseHead::new(status);
        head.headers.push(names.request_id, request.id(names));

        if let Some(wait) = retry_after {
            head.headers.push(names.retry_after, format!("{:.3}", wait.as_secs_f64()));
        }

        BufferedResponse { head, body: None, is_local: true }
    }

    /// Response of a process that does not serve requests yet, or no longer does.
    pub fn not_ready(request: &CallerRequest, names: &HeaderNames) -> Self {
        BufferedResponse::local(503, Some(NOT_READY_WAIT), request, names)
    }

    /// Response to a request that the configuration does not allow.
    pub fn denied(denied: Denied, request: &CallerRequest, names: &HeaderNames) -> Self {
        match denied {
            Denied::NoConfiguration => BufferedResponse::not_ready(request, names),
            _ => BufferedResponse::local(denied.status(), None, request, names),
        }
    }

    /// Response to a request that is given up; `reason` is why there is no slot for it.
    pub fn given_up(
        run: RunState,
        is_late: bool,
        reason: NoSlot,
        request: &RoutedRequest,
        gateway: &Gateway,
    ) -> Self {
        let wait = reason.retry_after(gateway, request);
        let retry_after = (run == RunState::NotRun).then_some(wait);

        BufferedResponse::local(
            give_up_status(run, is_late),
            retry_after,
            &request.request,
            &gateway.names,
        )
    }

    /// Outcome of a request that gets this response.
    pub fn outcome(&self) -> Outcome {
        if self.is_local {
            Outcome::Local(self.head.status)
        } else {
            Outcome::FromTarget(self.head.status)
        }
    }

    /// Bytes to send; a long body is returned separately. The second part holds the memory
    /// reservation of both.
    pub fn into_parts(self, reuse: Reuse) -> (Vec<u8>, Option<Buffer>) {
        let mut headers: Headers = self.head.headers.end_to_end();
        let len_bytes = self.body.as_ref().map_or(0, |body| body.len());
        headers.push("content-length", len_bytes.to_string());

        if reuse == Reuse::Close {
            headers.push("connection", "close");
        }

        let head = ResponseHead { headers, ..self.head };
        let mut bytes = Vec::with_capacity(512 + len_bytes.min(MAX_COALESCED_BODY_BYTES));
        head.write(&mut bytes);

        match self.body {
            Some(mut body) if len_bytes <= MAX_COALESCED_BODY_BYTES => {
                bytes.extend_from_slice(&body);
                body.discard_bytes();
                (bytes, Some(body))
            }
            body => (bytes, body),
        }
    }
}

/// Serves a request.
pub async fn serve(gateway: &Rc<Gateway>, request: &Rc<RoutedRequest>) -> BufferedResponse {
    gateway.record_first_attempt(&request.service);
    let left = request.deadline.saturating_sub(gateway.now());
    let mut attempts = Attempts::default();

    match timeout(left, attempts.run(gateway, request)).await {
        Ok(response) => response,
        Err(_) => {
            let reason = NoSlot::after_attempts(gateway, &request.service);
            attempts.give_up(gateway, request, reason)
        }
    }
}

/// Attempts of one request.
#[derive(Default)]
struct Attempts {
    history: AttemptHistory,
    /// Permit of the retry that comes next.
    retry: Option<RetryPermit>,
    /// Failure reported by a target, which the caller gets unless a later attempt succeeds.
    failure: Option<BufferedResponse>,
}

impl Attempts {
    async fn run(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &Rc<RoutedRequest>,
    ) -> BufferedResponse {
        loop {
            let slot = match slot::acquire(gateway, request, self.history.targets()).await {
                Ok(slot) => slot,
                Err(reason) => return self.give_up(gateway, request, reason),
            };

            self.history.record_start(&slot.target);

            match self.attempt(gateway, request, slot).await {
                Ok((response, Verdict::Failure)) => self.failure = Some(response),
                Ok((response, _)) => return response,
                Err(failure) => {
                    if !self.history.record_failure(&failure) {
                        continue;
                    }

                    // A response of another target would find no memory either.
                    if failure.cause == FailureCause::NoMemory {
                        gateway.counters.unread.add("answer_no_memory");
                        let reason = NoSlot::after_attempts(gateway, &request.service);
                        return self.give_up(gateway, request, reason);
                    }
                }
            }

            self.retry = gateway.authorize_retry(request, &self.history);

            if self.retry.is_none() {
                let reason = NoSlot::after_attempts(gateway, &request.service);
                return self.give_up(gateway, request, reason);
            }
        }
    }

    async fn attempt(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &RoutedRequest,
        slot: Slot,
    ) -> Result<(BufferedResponse, Verdict), AttemptFailure> {
        let began = gateway.now();
        let target = slot.target.clone();
        let opened = attempt::open(gateway, request, slot, &mut self.retry).await?;
        let verdict = opened.verdict;
        let now = gateway.now();

        if verdict == Verdict::Failure {
            let (target, status) = (target.id.clone(), opened.head.status);
            request.trace.add(now, Decision::TargetFailed { target, status });
        }

        match opened.read_whole().await {
            Ok((head, body)) => {
                gateway.record_response_time(&request.service, gateway.now() - began);
                Ok((BufferedResponse::from_target(head, body), verdict))
            }
            Err(cause) => {
                let failure = AttemptFailure::may_have_run(cause);
                let decision = Decision::AttemptFailed { target: target.id.clone(), failure };
                request.trace.add(gateway.now(), decision);
                Err(failure)
            }
        }
    }

    fn give_up(
        &mut self,
        gateway: &Gateway,
        request: &RoutedRequest,
        reason: NoSlot,
    ) -> BufferedResponse {
        let run = self.history.run_state();
        let is_late = request.is_past_deadline(gateway.now());

        match self.failure.take() {
            Some(failure) => failure,
            None => BufferedResponse::given_up(run, is_late, reason, request, gateway),
        }
    }
}
