//! One caller's connection: its requests, one after another.

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
use super::mechanism::Mechanism;
use super::options::{NO_MEMORY_WAIT, READ_AHEAD_BYTES, SITE_WAIT};
use super::request::{CallerRequest, RoutedRequest};
use super::service::Gateway;
use super::trace::{Decision, End, Trace};
use super::whole::WholeAnswer;
use super::writer::{self, Written};
use super::{stop, stream, whole};
use crate::random::ProcessRandom;
use crate::settings::millis;

/// How long a caller's body may take: longer than any route holds a request.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// How long a caller may take to read an answer that is sent whole, however little it takes at a time.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// Why a request could not be read.
enum Unread {
    Failed(HttpError),
    /// There is no memory for its body.
    NoMemory,
}

impl From<HttpError> for Unread {
    fn from(error: HttpError) -> Self {
        Unread::Failed(error)
    }
}

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// It may.
    Keep,
    /// It must be closed.
    Close,
}

/// Serves a connection until it ends.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let _connected = stop::connected(&gateway);
    let mut connection = Connection::new(stream);
    let mut is_new = true;

    loop {
        // A connection that was accepted after the signal to stop may still bring one request.
        let closes_at_stop = !std::mem::take(&mut is_new);

        if !wait_for_request(&gateway, &mut connection, closes_at_stop).await {
            return;
        }

        let _serving = stop::serving(&gateway);

        if serve_one(&gateway, &mut connection).await == After::Close {
            return;
        }
    }
}

/// Waits until a request begins to arrive; tells whether one did.
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

async fn serve_one(gateway: &Rc<Gateway>, connection: &mut Connection) -> After {
    let request = match read_request(gateway, connection).await {
        Ok(request) => request,
        Err(error) => {
            refuse_unread(gateway, connection, &error).await;
            return After::Close;
        }
    };

    let keep = request.head.keeps_alive() && !gateway.stop.is_stopping();
    let after = if keep { After::Keep } else { After::Close };
    let key = request.key(&gateway.names);
    let host = request.head.headers.text("host").unwrap_or_default();
    let table = known_table(gateway).await;
    let leave = millis(gateway.settings().leave_ms);

    if gateway.stop.refuses(leave, gateway.now()) {
        gateway.counters.refusals.add("stopping");
        let answer = WholeAnswer::not_ready(&request, &gateway.names);
        return write_whole(gateway, connection, answer, After::Close).await;
    }

    let admitted = match table.admit(host, request.head.path(), key) {
        Ok(admitted) => admitted,
        Err(reason) => {
            let answer = deny(gateway, &request, reason, table.version());
            return write_whole(gateway, connection, answer, after).await;
        }
    };

    let Some(service) = draw_service(&admitted.rule, &mut ProcessRandom::default()) else {
        let answer = deny(gateway, &request, Denied::NoRoute, table.version());
        return write_whole(gateway, connection, answer, after).await;
    };
    let service = service.to_string();
    let by_urgency = gateway.uses(Mechanism::UrgencyOrder);
    let rank = table.rank(&service, admitted.urgency()).filter(|_| by_urgency);
    let routed = Rc::new(RoutedRequest::new(request, admitted, service, rank, &gateway.names));

    if routed.admitted.rule.kind.is_stream() {
        return stream::serve(gateway, &routed, connection, after).await;
    }

    serve_whole(gateway, &routed, connection, after).await
}

/// Serves a request whose answer is read whole before the caller gets it.
async fn serve_whole(
    gateway: &Rc<Gateway>,
    routed: &Rc<RoutedRequest>,
    connection: &mut Connection,
    after: After,
) -> After {
    let answered = {
        let answering = whole::serve(gateway, routed);
        futures::select! {
            answer = answering.fuse() => Some(answer),
            // Dropping the attempt resets the connection to the target, which drops the request.
            () = connection.wait_closed(READ_AHEAD_BYTES).fuse() => None,
        }
    };

    let Some(answer) = answered else {
        gateway.note_end(&routed.trace, End::CallerGone, false);
        return After::Close;
    };
    let took = gateway.now() - routed.request.arrived;
    gateway.counters.answer_times.note(took, "whole");
    let end = answer.end();
    let written = write_answer(gateway, connection, answer, after).await;
    let is_late = took > routed.admitted.rule.objective;
    note_written(gateway, routed, end, written, is_late);

    if written == Written::Whole { after } else { After::Close }
}

/// Notes how a request ends whose answer was written.
fn note_written(
    gateway: &Gateway,
    routed: &Rc<RoutedRequest>,
    end: End,
    written: Written,
    is_late: bool,
) {
    if !matches!(written, Written::Stalled | Written::TimedOut) {
        return gateway.note_end(&routed.trace, end, is_late);
    }

    gateway.counters.unread.add("answer_stalled");
    routed.trace.add(gateway.now(), Decision::Unread { written, last_event_id: None });
    gateway.note_end(&routed.trace, End::CallerStalled, is_late);
}

/// Makes the answer to a request that the configuration does not allow.
fn deny(
    gateway: &Gateway,
    request: &CallerRequest,
    reason: Denied,
    version: SiteVersion,
) -> WholeAnswer {
    let answer = WholeAnswer::denied(reason, request, &gateway.names);
    let trace = Trace::new(request.id(&gateway.names), request.arrived);
    trace.add(gateway.now(), Decision::Denied { reason, version });
    gateway.counters.refusals.add(reason.label());
    gateway.note_end(&trace, answer.end(), false);

    answer
}

/// Gets the routes in force; at the start of the process, waits a moment for the first ones.
async fn known_table(gateway: &Gateway) -> Rc<RouteTable> {
    let known = async {
        while gateway.table().version() == 0 {
            gateway.freed.listen().await;
        }
    };
    // A process that knows no configuration by then says so.
    let _ = timeout(SITE_WAIT, known).await;

    gateway.table()
}

/// Reads a request whole.
async fn read_request(
    gateway: &Rc<Gateway>,
    connection: &mut Connection,
) -> Result<CallerRequest, Unread> {
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
) -> Result<Buffer, Unread> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Buffer::new(&gateway.bodies);

    while let Some(part) = connection.read_body(&mut decoder).await? {
        if body.len() + part.len() > max_bytes {
            return Err(HttpError::BodyTooLarge(max_bytes).into());
        }

        if !body.push(&part) {
            return Err(Unread::NoMemory);
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
async fn refuse_unread(gateway: &Gateway, connection: &Connection, error: &Unread) {
    let status = match error {
        Unread::Failed(HttpError::Io(_) | HttpError::Closed) => return,
        Unread::Failed(HttpError::Malformed(_)) => 400,
        Unread::Failed(HttpError::HeadTooLarge(_)) => 431,
        Unread::Failed(HttpError::BodyTooLarge(_)) => 413,
        Unread::Failed(HttpError::TimedOut) => 408,
        Unread::NoMemory => 503,
    };
    let mut head = ResponseHead::new(status);

    if matches!(error, Unread::NoMemory) {
        gateway.counters.unread.add("body_no_memory");
        let wait = format!("{:.3}", NO_MEMORY_WAIT.as_secs_f64());
        head.headers.push(gateway.names.retry_after, wait);
    }

    head.headers.push("content-length", "0");
    head.headers.push("connection", "close");
    let mut bytes = Vec::new();
    head.write(&mut bytes);
    // The caller is gone or gets its answer; there is nobody else to tell.
    let _ = writer::write(gateway, connection, &bytes, gateway.now() + WRITE_LIMIT).await;
}

/// Writes an answer that is here whole; tells whether the connection may carry another request.
pub async fn write_whole(
    gateway: &Gateway,
    connection: &Connection,
    answer: WholeAnswer,
    after: After,
) -> After {
    match write_answer(gateway, connection, answer, after).await {
        Written::Whole => after,
        _ => After::Close,
    }
}

async fn write_answer(
    gateway: &Gateway,
    connection: &Connection,
    answer: WholeAnswer,
    after: After,
) -> Written {
    let until = gateway.now() + WRITE_LIMIT;
    let (bytes, body) = answer.into_parts(after);
    let written = writer::write(gateway, connection, &bytes, until).await;

    match body {
        Some(body) if written == Written::Whole => {
            writer::write(gateway, connection, &body, until).await
        }
        _ => written,
    }
}
