//! One attempt to execute a request on a target: connect, send, and classify the response head.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_gateway::answer::MISDIRECTED;
use grebedeck_gateway::delay::requested_retry_after;
use grebedeck_gateway::wire::TargetLoad;
use grebedeck_gateway::{TargetEntry, Verdict, judge};
use grebedeck_http::{BodyDecoder, Connection, Decoded, HttpError, ResponseHead, response_framing};

use super::history::{AttemptFailure, FailureCause, Refusal};
use super::options::{
    CONNECT_TIMEOUT, MAX_BUFFERED_RESPONSE_BYTES, MAX_RESPONSE_HEAD_BYTES, SOCKET_BUFFER_BYTES,
};
use super::refusing::refusal_cause;
use super::request::RoutedRequest;
use super::response::{OpenResponse, SentRequest};
use super::retries::RetryPermit;
use super::service::Gateway;
use super::slot::Slot;
use super::trace::Decision;

/// Responses to earlier requests that are skipped before a connection is given up.
const MAX_STALE_RESPONSES: u32 = 2;

/// Counts a request as in flight on a target until it is dropped.
pub struct InFlight {
    gateway: Rc<Gateway>,
    target: Arc<TargetEntry>,
    is_success: Option<bool>,
}

impl InFlight {
    /// Counts a request on a target.
    pub fn new(gateway: &Rc<Gateway>, target: &Arc<TargetEntry>) -> Self {
        gateway.chooser.borrow_mut().record_sent_to_start(&target.id, target.born_ms);

        InFlight { gateway: gateway.clone(), target: target.clone(), is_success: None }
    }

    /// Sets whether the request shows the target to be healthy; recorded when this is dropped.
    pub fn record_outcome(&mut self, is_success: bool) {
        self.is_success = Some(is_success);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let (id, birth) = (&self.target.id, self.target.born_ms);
        self.gateway.chooser.borrow_mut().record_end_at_start(id, birth, self.is_success, now);
        self.gateway.slot_freed.notify(usize::MAX);
    }
}

/// Sends a request to the target of its slot and waits for the response head. The permit of a
/// retry ends with the attempt, unless nothing was sent because the target had been withdrawn.
pub async fn open<'a>(
    gateway: &Rc<Gateway>,
    request: &'a RoutedRequest,
    slot: Slot,
    retry: &mut Option<RetryPermit>,
) -> Result<OpenResponse<'a>, AttemptFailure> {
    let target = slot.target.clone();
    let opened = send(gateway, request, slot, retry.as_ref()).await;

    if !opened.as_ref().is_err_and(|failure| failure.cause == FailureCause::Withdrawn) {
        *retry = None;
    }

    match &opened {
        Ok(_) => {
            gateway.counters.attempts.add("opened");

            gateway.record_accepted(&target);

            // That an earlier start of the target accepted a request says nothing about the current
            // one.
            if !gateway.is_earlier_start(&target) {
                gateway.record_service_success(&request.service);
            }
        }
        Err(failure) => record_failure(gateway, request, &target, failure),
    }

    opened
}

fn record_failure(
    gateway: &Gateway,
    request: &RoutedRequest,
    target: &TargetEntry,
    failure: &AttemptFailure,
) {
    let AttemptFailure { cause, .. } = *failure;
    gateway.counters.attempts.add(cause.word());
    let decision = Decision::AttemptFailed { target: target.id.clone(), failure: *failure };
    request.trace.add(gateway.now(), decision);

    match cause {
        // A full target, or a request that was not sent, says nothing about the service.
        FailureCause::Full | FailureCause::Withdrawn => {}
        // A target that asks for a delay speaks only for itself. With four refusals in a row
        // counted as an outage, a service was declared out 36 times in 9 s while eleven of its
        // sixteen targets served.
        _ if failure.refusal.is_some_and(|refusal| refusal.requested_delay.is_some()) => {}
        // The intended target is gone, and another one has its address.
        FailureCause::OtherTarget => gateway.update_targets(|targets, _| {
            targets.remove(target);
            Vec::new()
        }),
        // A failure of an earlier start says nothing about the service either.
        _ if gateway.is_earlier_start(target) => {}
        _ => gateway.record_service_failure(&request.service, cause),
    }
}

async fn send<'a>(
    gateway: &Rc<Gateway>,
    request: &'a RoutedRequest,
    slot: Slot,
    retry: Option<&RetryPermit>,
) -> Result<OpenResponse<'a>, AttemptFailure> {
    let Slot { target, mut in_flight, permit } = slot;
    let target = &target;
    let left = request.deadline.saturating_sub(gateway.now());

    let mut connection = match connect(gateway, target, left).await {
        Ok(connection) => connection,
        Err(error) => {
            in_flight.record_outcome(false);

            if error.is_connection_refused() && !gateway.is_earlier_start(target) {
                gateway.assume_restart(target);
            }

            return Err(AttemptFailure::not_run(FailureCause::Connect));
        }
    };

    // The request may have been found to crash targets, or the target may have left, while the
    // request waited for its slot or the connection.
    let is_withdrawn = !gateway.may_still_send(target) || !gateway.acquire_clearance(request);

    if is_withdrawn || !gateway.confirm_permit(target, permit) {
        connection.end_exchange();
        return Err(AttemptFailure::not_run(FailureCause::Withdrawn));
    }

    let sent_at = gateway.now();
    let left = request.deadline.saturating_sub(sent_at);
    let head = request.head_for(target, left, &gateway.names);

    if let Some(retry) = retry {
        retry.record_sent();
    }

    let exchange = async {
        connection.write_message(head, &request.request.body).await?;
        read_matching_head(gateway, request, target, &mut connection).await
    };

    let cause = match timeout(left, exchange).await {
        Ok(Ok(head)) => {
            let sent = SentRequest { request, target: target.clone(), sent_at };
            return accept_head(gateway, sent, connection, head, in_flight);
        }
        Ok(Err(HttpError::Malformed(_))) => FailureCause::Unusable,
        Ok(Err(_)) => FailureCause::Broken,
        Err(_) => FailureCause::TimedOut,
    };

    if cause == FailureCause::Broken {
        gateway.record_run(request);
        gateway.record_broken_attempt(request, target, sent_at);
    }

    in_flight.record_outcome(false);
    Err(AttemptFailure::may_have_run(cause))
}

async fn connect(
    gateway: &Gateway,
    target: &TargetEntry,
    left: Duration,
) -> Result<Connection, HttpError> {
    let mut connection = match gateway.pool.take(target, gateway.now()) {
        Some(connection) => connection,
        None => {
            let new = Connection::connect(target.address, CONNECT_TIMEOUT.min(left)).await?;
            new.limit_receive_buffer(SOCKET_BUFFER_BYTES)?;
            new
        }
    };
    // However the request is given up, the target must not read it later. Without this, 4 requests
    // ran 1.5 s after their callers had left, on a day on which targets and gateways froze for 4 s;
    // with it none did.
    connection.begin_exchange()?;

    Ok(connection)
}

/// Reads the head of the response to this request. Skips responses to earlier requests on the
/// connection, which a faulty target may repeat.
async fn read_matching_head(
    gateway: &Gateway,
    request: &RoutedRequest,
    target: &TargetEntry,
    connection: &mut Connection,
) -> Result<ResponseHead, HttpError> {
    let id = request.request.id(&gateway.names);

    for _ in 0..=MAX_STALE_RESPONSES {
        let head = connection.read_final_head(MAX_RESPONSE_HEAD_BYTES).await?;
        let echoed = head.headers.text(gateway.names.request_id);

        if head.status != MISDIRECTED {
            gateway.record_leaving_header(target, &head);
        }

        if echoed.is_none_or(|echoed| echoed == id) {
            return Ok(head);
        }

        let framing = response_framing(&head, &request.request.head.method)?;
        let mut decoder = BodyDecoder::new(framing);

        connection.skip_body(&mut decoder, MAX_BUFFERED_RESPONSE_BYTES).await?;
    }

    Err(HttpError::Malformed("answers of other requests"))
}

/// Records the load, limit and refusal that a target states in its response. Ignored if another
/// target has the address, as the statements are then about that one.
fn record_target_state(
    gateway: &Gateway,
    sent: &SentRequest,
    head: &ResponseHead,
    verdict: Verdict,
    refusal: Refusal,
    load: Option<TargetLoad>,
) {
    if verdict == Verdict::OtherTarget {
        return;
    }

    let target = &sent.target;
    gateway.record_load_headers(target, head, load);
    gateway.record_limit(target, head, verdict, sent.sent_at);

    if verdict == Verdict::Refused || refusal.requested_delay.is_some() {
        gateway.record_refusal(target, refusal, load);
    }
}

fn refusal(gateway: &Gateway, head: &ResponseHead) -> Refusal {
    let requested_delay =
        requested_retry_after(head.status, head.headers.all(gateway.names.retry_after));

    Refusal { status: head.status, requested_delay }
}

/// Closes the connection of a refused request in order if the whole refusal has arrived; does not
/// wait for the rest.
fn drain_refusal(connection: &mut Connection, decoder: &mut BodyDecoder) {
    while let Ok(Decoded::Data(_)) = decoder.decode(connection.buffer()) {}

    if decoder.is_complete() {
        connection.end_exchange();
    }
}

fn accept_head<'a>(
    gateway: &Rc<Gateway>,
    sent: SentRequest<'a>,
    mut connection: Connection,
    head: ResponseHead,
    mut in_flight: InFlight,
) -> Result<OpenResponse<'a>, AttemptFailure> {
    let is_signed = head.headers.get(gateway.names.signature).is_some();
    let says_not_run = head.headers.get(gateway.names.not_run).is_some();
    let verdict = judge(head.status, is_signed, says_not_run);
    let load = head.headers.text(gateway.names.load).and_then(TargetLoad::parse);
    let refusal = refusal(gateway, &head);
    record_target_state(gateway, &sent, &head, verdict, refusal, load);

    let Ok(framing) = response_framing(&head, &sent.request.request.head.method) else {
        in_flight.record_outcome(false);
        return Err(AttemptFailure::may_have_run(FailureCause::Unusable));
    };
    let mut decoder = BodyDecoder::new(framing);

    if matches!(verdict, Verdict::Refused | Verdict::OtherTarget) {
        drain_refusal(&mut connection, &mut decoder);
    }

    match verdict {
        Verdict::Refused => return Err(AttemptFailure::refused(refusal_cause(load), refusal)),
        Verdict::OtherTarget => {
            in_flight.record_outcome(false);
            return Err(AttemptFailure::not_run(FailureCause::OtherTarget));
        }
        Verdict::Unusable => {
            in_flight.record_outcome(false);
            return Err(AttemptFailure::may_have_run(FailureCause::Unusable));
        }
        Verdict::Pass | Verdict::Failure => {}
    }

    gateway.record_run(sent.request);

    Ok(OpenResponse {
        head,
        verdict,
        connection,
        next_connection: None,
        decoder,
        sent,
        in_flight,
        gateway: gateway.clone(),
    })
}
