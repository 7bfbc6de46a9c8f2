//! Serves a caller's connection: reads its requests one after another and writes the responses.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::FutureExt;
use grebedeck_gateway::routes::draw_service;
use grebedeck_gateway::site::SiteVersion;
use grebedeck_gateway::{CallerLimits, Denied, RouteTable};
use grebedeck_http::{
    BodyDecoder, Connection, Framing, HttpError, RequestHead, ResponseHead, request_framing,
};

use super::buffer::Buffer;
use super::buffered::BufferedResponse;
use super::mechanism::Mechanism;
use super::options::{CONFIGURATION_WAIT, NO_MEMORY_RETRY_AFTER, READ_AHEAD_BYTES};
use super::request::{CallerRequest, RoutedRequest};
use super::service::Gateway;
use super::trace::{Decision, Outcome, Trace};
use super::writer::{self, WriteOutcome};
use super::{buffered, stop, stream};
use crate::random::ProcessRandom;
use crate::settings::millis;

/// Time limit on receiving a request body; longer than any route holds a request.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Time limit on writing a buffered response, even while the caller makes some progress.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// Why a request could not be read.
enum ReadError {
    Failed(HttpError),
    /// There is no memory for the body.
    NoMemory,
}

impl From<HttpError> for ReadError {
    fn from(error: HttpError) -> Self {
        ReadError::Failed(error)
    }
}

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// The connection stays open.
    Keep,
    /// The connection must be closed.
    Close,
}

/// Serves a connection until it ends.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let _connected = stop::count_connection(&gateway);
    let mut connection = Connection::new(stream);
    let mut is_new = true;

    loop {
        // A connection accepted after the stop signal may still bring one request.
        let closes_at_stop = !std::mem::take(&mut is_new);

        if !wait_for_request(&gateway, &mut connection, closes_at_stop).await {
            return;
        }

        let _serving = stop::count_request(&gateway);

        if serve_one(&gateway, &mut connection).await == Reuse::Close {
            return;
        }
    }
}

/// Waits for the first bytes of a request; returns whether any arrived.
async fn wait_for_request(
    gateway: &Gateway,
    connection: &mut Connection,
    closes_at_stop: bool,
) -> bool {
    if !connection.buffer().is_empty() {
        return true;
    }

    let stopping = gateway.stop.listen();
    let stopping = async {
        match (gateway.stop.is_stopping(), closes_at_stop) {
            (true, true) => {}
            (true, false) => futures::future::pending().await,
            (false, _) => stopping.await,
        }
    };
    let idle_limit = gateway.table().limits().idle_limit;

    futures::select! {
        read = timeout(idle_limit, connection.read_more()).fuse() => {
            matches!(read, Ok(Ok(1..)))
        }
        () = stopping.fuse() => false,
    }
}

async fn serve_one(gateway: &Rc<Gateway>, connection: &mut Connection) -> Reuse {
    let request = match read_request(gateway, connection).await {
        Ok(request) => request,
        Err(error) => {
            answer_read_error(gateway, connection, &error).await;
            return Reuse::Close;
        }
    };

    let keep = request.head.keeps_alive() && !gateway.stop.is_stopping();
    let reuse = if keep { Reuse::Keep } else { Reuse::Close };
    let key = request.key(&gateway.names);
    let host = request.head.headers.text("host").unwrap_or_default();
    let table = wait_for_table(gateway).await;
    let leave = millis(gateway.settings().leave_ms);

    if gateway.stop.refuses_requests(leave, gateway.now()) {
        gateway.counters.refusals.add("stopping");
        let response = BufferedResponse::not_ready(&request, &gateway.names);
        return write_buffered(gateway, connection, response, Reuse::Close).await;
    }

    let admitted = match table.admit(host, request.head.path(), key) {
        Ok(admitted) => admitted,
        Err(reason) => {
            let response = deny(gateway, &request, reason, table.version());
            return write_buffered(gateway, connection, response, reuse).await;
        }
    };

    let Some(service) = draw_service(&admitted.rule, &mut ProcessRandom::default()) else {
        let response = deny(gateway, &request, Denied::NoRoute, table.version());
        return write_buffered(gateway, connection, response, reuse).await;
    };
    let service = service.to_string();
    let by_urgency = gateway.uses(Mechanism::UrgencyOrder);
    let urgency_level = table.rank(&service, admitted.urgency()).filter(|_| by_urgency);
    let routed =
        Rc::new(RoutedRequest::new(request, admitted, service, urgency_level, &gateway.names));

    if routed.admitted.rule.kind.is_stream() {
        return stream::serve(gateway, &routed, connection, reuse).await;
    }

    serve_buffered(gateway, &routed, connection, reuse).await
}

/// Serves a request whose response is buffered before the caller gets it.
async fn serve_buffered(
    gateway: &Rc<Gateway>,
    routed: &Rc<RoutedRequest>,
    connection: &mut Connection,
    reuse: Reuse,
) -> Reuse {
    let response = {
        let serving = buffered::serve(gateway, routed);
        futures::select! {
            response = serving.fuse() => Some(response),
            // Dropping the attempt resets the connection to the target, so the target drops the
            // request.
            () = connection.wait_closed(READ_AHEAD_BYTES).fuse() => None,
        }
    };

    let Some(response) = response else {
        gateway.record_end(&routed.trace, Outcome::CallerGone, false);
        return Reuse::Close;
    };
    let took = gateway.now() - routed.request.arrived;
    gateway.counters.response_times.record(took, "whole");
    let outcome = response.outcome();
    let written = write_response(gateway, connection, response, reuse).await;
    let is_late = took > routed.admitted.rule.objective;
    record_written(gateway, routed, outcome, written, is_late);

    if written == WriteOutcome::Complete { reuse } else { Reuse::Close }
}

/// Records the outcome of a request after its response was written.
fn record_written(
    gateway: &Gateway,
    routed: &Rc<RoutedRequest>,
    outcome: Outcome,
    written: WriteOutcome,
    is_late: bool,
) {
    if !matches!(written, WriteOutcome::Stalled | WriteOutcome::TimedOut) {
        return gateway.record_end(&routed.trace, outcome, is_late);
    }

    gateway.counters.unread.add("answer_stalled");
    routed.trace.add(gateway.now(), Decision::ResponseUnread { written, last_event_id: None });
    gateway.record_end(&routed.trace, Outcome::CallerStalled, is_late);
}

/// Response to a request that the configuration does not allow.
fn deny(
    gateway: &Gateway,
    request: &CallerRequest,
    reason: Denied,
    version: SiteVersion,
) -> BufferedResponse {
    let response = BufferedResponse::denied(reason, request, &gateway.names);
    let trace = Trace::new(request.id(&gateway.names), request.arrived);
    trace.add(gateway.now(), Decision::Denied { reason, version });
    gateway.counters.refusals.add(reason.label());
    gateway.record_end(&trace, response.outcome(), false);

    response
}

/// Routing table in force; waits briefly for the first one after the process started.
async fn wait_for_table(gateway: &Gateway) -> Rc<RouteTable> {
    let known = async {
        while gateway.table().version() == 0 {
            gateway.slot_freed.listen().await;
        }
    };
    // A process that has no configuration by then answers the request as not ready.
    let _ = timeout(CONFIGURATION_WAIT, known).await;

    gateway.table()
}

/// Reads a whole request.
async fn read_request(
    gateway: &Rc<Gateway>,
    connection: &mut Connection,
) -> Result<CallerRequest, ReadError> {
    let arrived = gateway.now();
    let limits = gateway.table().limits();
    let head = read_head(connection, &limits).await?;
    let framing = request_framing(&head)?;

    if matches!(framing, Framing::Length(length) if length > limits.max_body_bytes as u64) {
        return Err(HttpError::BodyTooLarge(limits.max_body_bytes).into());
    }

    if framing != Framing::Empty && head.headers.text("expect").is_some() {
        connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }

    let reading = read_body(gateway, connection, framing, limits.max_body_bytes);
    let body = timeout(BODY_LIMIT, reading).await.unwrap_or(Err(HttpError::TimedOut.into()))?;

    Ok(CallerRequest { head, body, arrived })
}

async fn read_body(
    gateway: &Gateway,
    connection: &mut Connection,
    framing: Framing,
    max_bytes: usize,
) -> Result<Buffer, ReadError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Buffer::new(&gateway.bodies);

    while let Some(part) = connection.read_body(&mut decoder).await? {
        if body.len() + part.len() > max_bytes {
            return Err(HttpError::BodyTooLarge(max_bytes).into());
        }

        if !body.push(&part) {
            return Err(ReadError::NoMemory);
        }
    }

    Ok(body)
}

async fn read_head(
    connection: &mut Connection,
    limits: &CallerLimits,
) -> Result<RequestHead, HttpError> {
    let reading = connection.read_request_head(limits.max_head_bytes);
    let head = timeout(limits.head_limit, reading).await.unwrap_or(Err(HttpError::TimedOut))?;

    match head.headers.all("host").count() {
        1 => Ok(head),
        _ => Err(HttpError::Malformed("one host is needed")),
    }
}

/// Answers a request that could not be read.
async fn answer_read_error(gateway: &Gateway, connection: &Connection, error: &ReadError) {
    let status = match error {
        ReadError::Failed(HttpError::Io(_) | HttpError::Closed) => return,
        ReadError::Failed(HttpError::Malformed(_)) => 400,
        ReadError::Failed(HttpError::HeadTooLarge(_)) => 431,
        ReadError::Failed(HttpError::BodyTooLarge(_)) => 413,
        ReadError::Failed(HttpError::TimedOut) => 408,
        ReadError::NoMemory => 503,
    };
    let mut head = ResponseHead::new(status);

    if matches!(error, ReadError::NoMemory) {
        gateway.counters.unread.add("body_no_memory");
        let wait = format!("{:.3}", NO_MEMORY_RETRY_AFTER.as_secs_f64());
        head.headers.push(gateway.names.retry_after, wait);
    }

    head.headers.push("content-length", "0");
    head.headers.push("connection", "close");
    let mut bytes = Vec::new();
    head.write(&mut bytes);
    // The caller has left or gets its response; there is nobody else to notify.
    let _ = writer::write(gateway, connection, &bytes, gateway.now() + WRITE_LIMIT).await;
}

/// Writes a buffered response; returns whether the connection may carry another request.
pub async fn write_buffered(
    gateway: &Gateway,
    connection: &Connection,
    response: BufferedResponse,
    reuse: Reuse,
) -> Reuse {
    match write_response(gateway, connection, response, reuse).await {
        WriteOutcome::Complete => reuse,
        _ => Reuse::Close,
    }
}

async fn write_response(
    gateway: &Gateway,
    connection: &Connection,
    response: BufferedResponse,
    reuse: Reuse,
) -> WriteOutcome {
    let until = gateway.now() + WRITE_LIMIT;
    let (bytes, body) = response.into_parts(reuse);
    let written = writer::write(gateway, connection, &bytes, until).await;

    match body {
        Some(body) if written == WriteOutcome::Complete => {
            writer::write(gateway, connection, &body, until).await
        }
        _ => written,
    }
}
