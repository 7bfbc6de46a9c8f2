//! Requests whose answers are read whole before the caller gets them.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_gateway::answer::{give_up_status, may_send_again};
use grebedeck_gateway::{Denied, HeaderNames, RunState, TargetId, Verdict};
use grebedeck_http::{Headers, ResponseHead};

use super::attempt::{self, Failure, FailureCause};
use super::caller::After;
use super::place::{self, NoPlace};
use super::request::{CallerRequest, RoutedRequest};
use super::service::Gateway;

/// How long a caller is told to wait while the process does not know its configuration or targets.
const NOT_READY_WAIT: Duration = Duration::from_millis(500);

/// An answer that is here whole.
pub struct WholeAnswer {
    head: ResponseHead,
    body: Vec<u8>,
}

impl WholeAnswer {
    /// Makes the answer of a target.
    pub fn of_target(head: ResponseHead, body: Vec<u8>) -> Self {
        WholeAnswer { head, body }
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

        WholeAnswer { head, body: Vec::new() }
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

    /// Makes the answer to a request that is given up; `reason` is why there was no place, if that is
    /// why.
    pub fn given_up(
        run: RunState,
        is_late: bool,
        reason: Option<NoPlace>,
        request: &RoutedRequest,
        names: &HeaderNames,
    ) -> Self {
        let wait = reason.unwrap_or(NoPlace::Full).retry_after(request.admitted.rule.objective);
        let retry_after = (run == RunState::NotRun).then_some(wait);

        WholeAnswer::own(give_up_status(run, is_late), retry_after, &request.request, names)
    }

    /// Gets the bytes to send.
    pub fn into_bytes(self, after: After) -> Vec<u8> {
        let mut headers: Headers = self.head.headers.end_to_end();
        headers.push("content-length", self.body.len().to_string());

        if after == After::Close {
            headers.push("connection", "close");
        }

        let head = ResponseHead { headers, ..self.head };
        let mut bytes = Vec::with_capacity(512 + self.body.len());
        head.write(&mut bytes);
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Serves a request.
pub async fn serve(gateway: &Rc<Gateway>, request: &RoutedRequest) -> WholeAnswer {
    gateway.earn_repeat(&request.service);
    let left = request.deadline.saturating_sub(gateway.now());
    let mut attempts = Attempts::default();

    match timeout(left, attempts.run(gateway, request)).await {
        Ok(answer) => answer,
        Err(_) => WholeAnswer::given_up(attempts.run_state(), true, None, request, &gateway.names),
    }
}

/// The attempts of one request.
#[derive(Default)]
struct Attempts {
    tried: Vec<TargetId>,
    may_have_run: bool,
}

impl Attempts {
    fn run_state(&self) -> RunState {
        if self.may_have_run { RunState::MayHaveRun } else { RunState::NotRun }
    }

    async fn run(&mut self, gateway: &Rc<Gateway>, request: &RoutedRequest) -> WholeAnswer {
        let mut failure: Option<WholeAnswer> = None;

        loop {
            let target = match place::find(gateway, request, &self.tried).await {
                Ok(target) => target,
                Err(reason) => {
                    return failure.unwrap_or_else(|| self.give_up(gateway, request, Some(reason)));
                }
            };

            // From here on the request may reach the target, also if this task is dropped.
            let before = std::mem::replace(&mut self.may_have_run, true);
            self.tried.push(target.id.clone());

            match self.attempt(gateway, request, &target).await {
                Ok((answer, Verdict::Failure)) => failure = Some(answer),
                Ok((answer, _)) => return answer,
                Err(failed) => {
                    self.may_have_run = before || failed.run == RunState::MayHaveRun;

                    if failed.cause == FailureCause::OtherTarget {
                        gateway.change_targets(|targets, _| {
                            targets.remove(&target.id);
                            Vec::new()
                        });
                    }
                }
            }

            if !self.may_go_on(gateway, request) {
                return failure.unwrap_or_else(|| self.give_up(gateway, request, None));
            }
        }
    }

    async fn attempt(
        &self,
        gateway: &Rc<Gateway>,
        request: &RoutedRequest,
        target: &std::sync::Arc<grebedeck_gateway::TargetEntry>,
    ) -> Result<(WholeAnswer, Verdict), Failure> {
        let opened = attempt::open(gateway, request, target, None).await?;
        let verdict = opened.verdict;

        match opened.read_whole().await {
            Ok((head, body)) => Ok((WholeAnswer { head, body }, verdict)),
            Err(_) => Err(Failure::may_have_run(FailureCause::Broken)),
        }
    }

    fn may_go_on(&self, gateway: &Gateway, request: &RoutedRequest) -> bool {
        let rule = &request.admitted.rule;

        may_send_again(rule.kind, self.run_state())
            && (self.tried.len() as u32) < rule.max_targets
            && attempt::has_time(request, gateway.now())
            && gateway.take_repeat(&request.service)
    }

    fn give_up(
        &self,
        gateway: &Gateway,
        request: &RoutedRequest,
        reason: Option<NoPlace>,
    ) -> WholeAnswer {
        WholeAnswer::given_up(self.run_state(), false, reason, request, &gateway.names)
    }
}
