//! One attempt of a request at one target.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_gateway::answer::MISDIRECTED;
use grebedeck_gateway::retry_after::requested_retry_after;
use grebedeck_gateway::wire::TargetLoad;
use grebedeck_gateway::{TargetEntry, Verdict, judge};
use grebedeck_http::{BodyDecoder, Connection, Decoded, HttpError, ResponseHead, response_framing};

use super::opened::{Opened, Sent};
use super::options::{CONNECT_LIMIT, MAX_ANSWER_HEAD_BYTES, UNREAD_BYTES};
use super::place::Place;
use super::refusing::refusal_cause;
use super::request::RoutedRequest;
use super::service::Gateway;
use super::trace::Decision;
use super::tried::{Failure, FailureCause, Refusal};

/// Answers of earlier requests that are read away before a connection is given up.
const MAX_SURPLUS_ANSWERS: u32 = 2;

/// Counts a request as in flight on a target until it is dropped.
pub struct InFlight {
    gateway: Rc<Gateway>,
    target: Arc<TargetEntry>,
    success: Option<bool>,
}

impl InFlight {
    /// Takes a place on a target for a request.
    pub fn new(gateway: &Rc<Gateway>, target: &Arc<TargetEntry>) -> Self {
        gateway.chooser.borrow_mut().record_sent_to_start(&target.id, target.born_ms);

        InFlight { gateway: gateway.clone(), target: target.clone(), success: None }
    }

    /// Notes what the request showed of the target's health.
    pub fn judge(&mut self, success: bool) {
        self.success = Some(success);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let (id, birth) = (&self.target.id, self.target.born_ms);
        self.gateway.chooser.borrow_mut().record_end_at_start(id, birth, self.success, now);
        self.gateway.freed.notify(usize::MAX);
    }
}

/// Sends a request to the target of its place and waits for the head of its answer.
pub async fn open<'a>(
    gateway: &Rc<Gateway>,
    request: &'a RoutedRequest,
    place: Place,
) -> Result<Opened<'a>, Failure> {
    let target = place.target.clone();
    let opened = send(gateway, request, place).await;

    match &opened {
        Ok(_) => {
            gateway.counters.attempts.add("opened");

            gateway.note_target_took(&target);

            // That an earlier start took a request says nothing of the one that is there now.
            if !gateway.is_earlier_start(&target) {
                gateway.note_taken(&request.service);
            }
        }
        Err(failure) => note_failure(gateway, request, &target, failure),
    }

    opened
}

fn note_failure(
    gateway: &Gateway,
    request: &RoutedRequest,
    target: &TargetEntry,
    failure: &Failure,
) {
    let Failure { cause, .. } = *failure;
    gateway.counters.attempts.add(cause.word());
    let decision = Decision::Failed { target: target.id.clone(), failure: *failure };
    request.trace.add(gateway.now(), decision);

    match cause {
        // Where all places are taken, or nothing was sent, nothing is said of the service.
        FailureCause::Full | FailureCause::Withdrawn => {}
        // A target that asks for rest speaks for itself: with four refusals in a row taken for an outage, a service was
        // said to be out 36 times in 9 s while eleven of its sixteen targets served.
        _ if failure.refusal.is_some_and(|refusal| refusal.asked.is_some()) => {}
        // The target that was meant is gone, and another has its address.
        FailureCause::OtherTarget => gateway.change_targets(|targets, _| {
            targets.remove(target);
            Vec::new()
        }),
        // So does that an earlier one did not.
        _ if gateway.is_earlier_start(target) => {}
        _ => gateway.note_not_taken(&request.service, cause),
    }
}

async fn send<'a>(
    gateway: &Rc<Gateway>,
    request: &'a RoutedRequest,
    place: Place,
) -> Result<Opened<'a>, Failure> {
    let Place { target, mut in_flight, permit } = place;
    let target = &target;
    let left = request.deadline.saturating_sub(gateway.now());

    let mut connection = match connect(gateway, target, left).await {
        Ok(connection) => connection,
        Err(error) => {
            in_flight.judge(false);

            if error.is_connection_refused() && !gateway.is_earlier_start(target) {
                gateway.suspect_start(target);
            }

            return Err(Failure::not_run(FailureCause::Connect));
        }
    };

    // Whoever got a place, or waited for a connection, before its request was known to crash targets is stopped here.
    let is_stopped = !gateway.may_still_send(target) || !gateway.may_run(request);

    if is_stopped || !gateway.use_permit(target, permit) {
        connection.end_exchange();
        return Err(Failure::not_run(FailureCause::Withdrawn));
    }

    let sent_at = gateway.now();
    let left = request.deadline.saturating_sub(sent_at);
    let head = request.head_for(target, left, &gateway.names);
    let exchange = async {
        connection.write_message(head, &request.request.body).await?;
        read_own_head(gateway, request, target, &mut connection).await
    };

    let cause = match timeout(left, exchange).await {
        Ok(Ok(head)) => {
            let sent = Sent { request, target: target.clone(), sent_at };
            return accept_head(gateway, sent, connection, head, in_flight);
        }
        Ok(Err(HttpError::Malformed(_))) => FailureCause::Unusable,
        Ok(Err(_)) => FailureCause::Broken,
        Err(_) => FailureCause::TimedOut,
    };

    if cause == FailureCause::Broken {
        gateway.note_broken(request, target, sent_at);
    }

    in_flight.judge(false);
    Err(Failure::may_have_run(cause))
}

async fn connect(
    gateway: &Gateway,
    target: &TargetEntry,
    left: Duration,
) -> Result<Connection, HttpError> {
    let mut connection = match gateway.pool.take(target, gateway.now()) {
        Some(connection) => connection,
        None => {
            let new = Connection::connect(target.address, CONNECT_LIMIT.min(left)).await?;
            new.limit_receive_buffer(UNREAD_BYTES)?;
            new
        }
    };
    // Whatever way the request is given up, the target is not to read it later: in a day on which targets and
    // gateways stood still for 4 s, 4 requests ran 1.5 s after their callers had left; with this none did.
    connection.begin_exchange()?;

    Ok(connection)
}

/// Reads the head of the answer to this request. Answers to earlier requests on the connection, which
/// a faulty target may send again, are read away.
async fn read_own_head(
    gateway: &Gateway,
    request: &RoutedRequest,
    target: &TargetEntry,
    connection: &mut Connection,
) -> Result<ResponseHead, HttpError> {
    let id = request.request.id(&gateway.names);

    for _ in 0..=MAX_SURPLUS_ANSWERS {
        let head = read_final_head(connection).await?;
        let echoed = head.headers.text(gateway.names.request_id);

        if head.status != MISDIRECTED {
            gateway.note_leaving_word(target, &head);
        }

        if echoed.is_none_or(|echoed| echoed == id) {
            return Ok(head);
        }

        let framing = response_framing(&head, &request.request.head.method)?;
        let mut decoder = BodyDecoder::new(framing);

        while connection.read_body(&mut decoder).await?.is_some() {}
    }

    Err(HttpError::Malformed("answers of other requests"))
}

/// Reads a head that is not an interim one.
async fn read_final_head(connection: &mut Connection) -> Result<ResponseHead, HttpError> {
    loop {
        let head = connection.read_response_head(MAX_ANSWER_HEAD_BYTES).await?;

        if head.status >= 200 {
            return Ok(head);
        }
    }
}

/// Takes in what a target says of itself beside the answer. Where another one has its address, that one speaks.
fn note_words(
    gateway: &Gateway,
    sent: &Sent,
    head: &ResponseHead,
    verdict: Verdict,
    refusal: Refusal,
    load: Option<TargetLoad>,
) {
    if verdict == Verdict::OtherTarget {
        return;
    }

    let target = &sent.target;
    gateway.note_load_word(target, head, load);
    gateway.record_limit(target, head, verdict, sent.sent_at);

    if verdict == Verdict::Refused || refusal.asked.is_some() {
        gateway.note_refusal(target, refusal, load);
    }
}

fn refusal(gateway: &Gateway, head: &ResponseHead) -> Refusal {
    let asked = requested_retry_after(head.status, head.headers.all(gateway.names.retry_after));

    Refusal { status: head.status, asked }
}

/// Closes a connection in order whose target has refused the request, where the refusal is here whole. It is not
/// waited for.
fn end_refused(connection: &mut Connection, decoder: &mut BodyDecoder) {
    while let Ok(Decoded::Data(_)) = decoder.decode(connection.buffer()) {}

    if decoder.is_complete() {
        connection.end_exchange();
    }
}

fn accept_head<'a>(
    gateway: &Rc<Gateway>,
    sent: Sent<'a>,
    mut connection: Connection,
    head: ResponseHead,
    mut in_flight: InFlight,
) -> Result<Opened<'a>, Failure> {
    let is_signed = head.headers.get(gateway.names.signature).is_some();
    let says_not_run = head.headers.get(gateway.names.not_run).is_some();
    let verdict = judge(head.status, is_signed, says_not_run);
    let load = head.headers.text(gateway.names.load).and_then(TargetLoad::parse);
    let refusal = refusal(gateway, &head);
    note_words(gateway, &sent, &head, verdict, refusal, load);

    let Ok(framing) = response_framing(&head, &sent.request.request.head.method) else {
        in_flight.judge(false);
        return Err(Failure::may_have_run(FailureCause::Unusable));
    };
    let mut decoder = BodyDecoder::new(framing);

    if matches!(verdict, Verdict::Refused | Verdict::OtherTarget) {
        end_refused(&mut connection, &mut decoder);
    }

    match verdict {
        Verdict::Refused => return Err(Failure::refused(refusal_cause(load), refusal)),
        Verdict::OtherTarget => {
            in_flight.judge(false);
            return Err(Failure::not_run(FailureCause::OtherTarget));
        }
        Verdict::Unusable => {
            in_flight.judge(false);
            return Err(Failure::may_have_run(FailureCause::Unusable));
        }
        Verdict::Pass | Verdict::Failure => {}
    }

    Ok(Opened { head, verdict, connection, decoder, sent, in_flight, gateway: gateway.clone() })
}
