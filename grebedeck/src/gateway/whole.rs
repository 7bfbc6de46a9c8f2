//! Requests whose answers are read whole before the caller gets them.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_gateway::answer::give_up_status;
use grebedeck_gateway::{Denied, HeaderNames, RunState, Verdict};
use grebedeck_http::connection::MAX_COALESCED_BODY_BYTES;
use grebedeck_http::{Headers, ResponseHead};

use super::attempt;
use super::buffer::Buffer;
use super::caller::After;
use super::place::{self, NoPlace, Place};
use super::request::{CallerRequest, RoutedRequest};
use super::service::Gateway;
use super::trace::{Decision, End};
use super::tried::{Failure, FailureCause, Tried};

/// How long a caller is told to wait while the process does not know its configuration or targets.
const NOT_READY_WAIT: Duration = Duration::from_millis(500);

/// An answer that is here whole.
pub struct WholeAnswer {
    head: ResponseHead,
    /// None for this process's own answers.
    body: Option<Buffer>,
    is_own: bool,
}

impl WholeAnswer {
    /// Makes the answer of a target.
    pub fn of_target(head: ResponseHead, body: Buffer) -> Self {
        WholeAnswer { head, body: Some(body), is_own: false }
    }

    /// Makes this process's own answer; `retry_after` is for requests that have not run.
    pub fn own(
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

        WholeAnswer { head, body: None, is_own: true }
    }

    /// Makes the answer of a process that does not take requests yet, or does no longer.
    pub fn not_ready(request: &CallerRequest, names: &HeaderNames) -> Self {
        WholeAnswer::own(503, Some(NOT_READY_WAIT), request, names)
    }

    /// Makes the answer to a request that the configuration does not allow.
    pub fn denied(denied: Denied, request: &CallerRequest, names: &HeaderNames) -> Self {
        match denied {
            Denied::NoConfiguration => WholeAnswer::not_ready(request, names),
            _ => WholeAnswer::own(denied.status(), None, request, names),
        }
    }

    /// Makes the answer to a request that is given up; `reason` is why there is no place for it.
    pub fn given_up(
        run: RunState,
        is_late: bool,
        reason: NoPlace,
        request: &RoutedRequest,
        gateway: &Gateway,
    ) -> Self {
        let wait = reason.retry_after(gateway, request);
        let retry_after = (run == RunState::NotRun).then_some(wait);

        WholeAnswer::own(
            give_up_status(run, is_late),
            retry_after,
            &request.request,
            &gateway.names,
        )
    }

    /// Gets how a request ends that gets this answer.
    pub fn end(&self) -> End {
        if self.is_own { End::Own(self.head.status) } else { End::Answered(self.head.status) }
    }

    /// Gets the bytes to send, of which a long body is a part of its own. The second part has the memory of both.
    pub fn into_parts(self, after: After) -> (Vec<u8>, Option<Buffer>) {
        let mut headers: Headers = self.head.headers.end_to_end();
        let len_bytes = self.body.as_ref().map_or(0, |body| body.len());
        headers.push("content-length", len_bytes.to_string());

        if after == After::Close {
            headers.push("connection", "close");
        }

        let head = ResponseHead { headers, ..self.head };
        let mut bytes = Vec::with_capacity(512 + len_bytes.min(MAX_COALESCED_BODY_BYTES));
        head.write(&mut bytes);

        match self.body {
            Some(mut body) if len_bytes <= MAX_COALESCED_BODY_BYTES => {
                bytes.extend_from_slice(&body);
                body.move_out();
                (bytes, Some(body))
            }
            body => (bytes, body),
        }
    }
}

/// Serves a request.
pub async fn serve(gateway: &Rc<Gateway>, request: &Rc<RoutedRequest>) -> WholeAnswer {
    gateway.earn_repeat(&request.service);
    let left = request.deadline.saturating_sub(gateway.now());
    let mut attempts = Attempts::default();

    match timeout(left, attempts.run(gateway, request)).await {
        Ok(answer) => answer,
        Err(_) => {
            let reason = NoPlace::after_attempts(gateway, &request.service);
            attempts.give_up(gateway, request, reason)
        }
    }
}

/// The attempts of one request.
#[derive(Default)]
struct Attempts {
    tried: Tried,
    /// A target's own failure, which the caller gets where no other attempt does better.
    failure: Option<WholeAnswer>,
}

impl Attempts {
    async fn run(&mut self, gateway: &Rc<Gateway>, request: &Rc<RoutedRequest>) -> WholeAnswer {
        loop {
            let place = match place::find(gateway, request, self.tried.targets()).await {
                Ok(place) => place,
                Err(reason) => return self.give_up(gateway, request, reason),
            };

            self.tried.begin(&place.target);

            match self.attempt(gateway, request, place).await {
                Ok((answer, Verdict::Failure)) => self.failure = Some(answer),
                Ok((answer, _)) => return answer,
                Err(failure) => {
                    if !self.tried.failed(&failure) {
                        continue;
                    }

                    // Another target's answer would find as little.
                    if failure.cause == FailureCause::NoMemory {
                        gateway.counters.unread.add("answer_no_memory");
                        let reason = NoPlace::after_attempts(gateway, &request.service);
                        return self.give_up(gateway, request, reason);
                    }
                }
            }

            if !gateway.may_send_again(request, &self.tried) {
                let reason = NoPlace::after_attempts(gateway, &request.service);
                return self.give_up(gateway, request, reason);
            }
        }
    }

    async fn attempt(
        &self,
        gateway: &Rc<Gateway>,
        request: &RoutedRequest,
        place: Place,
    ) -> Result<(WholeAnswer, Verdict), Failure> {
        let began = gateway.now();
        let target = place.target.clone();
        let opened = attempt::open(gateway, request, place).await?;
        let verdict = opened.verdict;
        let now = gateway.now();

        if verdict == Verdict::Failure {
            let (target, status) = (target.id.clone(), opened.head.status);
            request.trace.add(now, Decision::TargetFailed { target, status });
        }

        match opened.read_whole().await {
            Ok((head, body)) => {
                gateway.note_answer_time(&request.service, gateway.now() - began);
                Ok((WholeAnswer::of_target(head, body), verdict))
            }
            Err(cause) => {
                let failure = Failure::may_have_run(cause);
                let decision = Decision::Failed { target: target.id.clone(), failure };
                request.trace.add(gateway.now(), decision);
                Err(failure)
            }
        }
    }

    fn give_up(
        &mut self,
        gateway: &Gateway,
        request: &RoutedRequest,
        reason: NoPlace,
    ) -> WholeAnswer {
        let run = self.tried.run_state();
        let is_late = request.is_late(gateway.now());

        match self.failure.take() {
            Some(failure) => failure,
            None => WholeAnswer::given_up(run, is_late, reason, request, gateway),
        }
    }
}
