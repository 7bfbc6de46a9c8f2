//! A response whose head has arrived, and the connection that delivers its body.

use std::rc::Rc;
use std::sync::Arc;

use grebedeck_core::Moment;
use grebedeck_gateway::{TargetEntry, TargetState, Verdict};
use grebedeck_http::{BodyDecoder, Connection, HttpError, ResponseHead};

use super::attempt::InFlight;
use super::buffer::Buffer;
use super::history::FailureCause;
use super::options::{CONNECT_TIMEOUT, MAX_BUFFERED_RESPONSE_BYTES, RESPONSE_MEMORY_WAIT};
use super::request::RoutedRequest;
use super::service::Gateway;

/// A request that was sent to a target.
pub struct SentRequest<'a> {
    /// The request.
    pub request: &'a RoutedRequest,
    /// Target.
    pub target: Arc<TargetEntry>,
    /// When the request was sent.
    pub sent_at: Moment,
}

/// A response whose head has arrived.
pub struct OpenResponse<'a> {
    /// Response head.
    pub head: ResponseHead,
    /// Classification of the head.
    pub verdict: Verdict,
    pub(super) connection: Connection,
    /// Connection that replaces one that ended with the body.
    pub(super) next_connection: Option<Connection>,
    pub(super) decoder: BodyDecoder,
    pub(super) sent: SentRequest<'a>,
    pub(super) in_flight: InFlight,
    pub(super) gateway: Rc<Gateway>,
}

impl OpenResponse<'_> {
    /// Reads the next part of the body; `None` at its end.
    pub async fn next_part(&mut self) -> Result<Option<bytes::Bytes>, HttpError> {
        self.connection.read_body(&mut self.decoder).await
    }

    async fn next_body_part(&mut self) -> Result<Option<bytes::Bytes>, FailureCause> {
        let next = self.next_part().await;

        next.map_err(|_| {
            self.record_broken_attempt();
            FailureCause::Broken
        })
    }

    /// Reads the whole body within the memory budget for responses, and returns the connection to
    /// the pool. While there is no memory the target is not read from; after
    /// [`RESPONSE_MEMORY_WAIT`] the attempt fails.
    pub async fn read_whole(mut self) -> Result<(ResponseHead, Buffer), FailureCause> {
        let mut body = Buffer::new(&self.gateway.responses);
        // A known length is reserved at once, so that no two responses wait for each other's
        // memory.
        let len_bytes =
            self.decoder.remaining_bytes().unwrap_or(0).min(MAX_BUFFERED_RESPONSE_BYTES);

        if !body.reserve(len_bytes, RESPONSE_MEMORY_WAIT).await {
            return Err(FailureCause::NoMemory);
        }

        while let Some(part) = self.next_body_part().await? {
            if body.len() + part.len() > MAX_BUFFERED_RESPONSE_BYTES {
                return Err(FailureCause::Broken);
            }

            if !body.push(&part) && !body.push_with_wait(&part, RESPONSE_MEMORY_WAIT).await {
                return Err(FailureCause::NoMemory);
            }
        }

        if self.ended_by_crash().await {
            self.record_broken_attempt();
            return Err(FailureCause::Broken);
        }

        let head = self.head.clone();
        let is_success = self.verdict != Verdict::Failure;
        self.finish(is_success);

        Ok((head, body))
    }

    /// Whether the body has neither a length nor chunks, and so ends with its connection.
    pub fn is_unframed(&self) -> bool {
        !self.decoder.is_complete()
    }

    /// Whether the target was gone at the end of a body that ends with its connection.
    pub async fn ended_by_crash(&mut self) -> bool {
        let target = &self.sent.target;

        // A target that is leaving may be gone in order.
        if !self.is_unframed()
            || target.state == TargetState::Leaving
            || self.gateway.is_earlier_start(target)
        {
            return false;
        }

        match Connection::connect(target.address, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                self.next_connection = Some(connection);
                false
            }
            Err(error) => error.is_connection_refused(),
        }
    }

    /// Ends an attempt whose body has been read to its end, and whose target was not gone then.
    pub fn finish(mut self, is_success: bool) {
        self.in_flight.record_outcome(is_success);
        self.connection.end_exchange();

        let SentRequest { request, target, sent_at } = &self.sent;
        let is_success = is_success && self.head.is_success();

        if self.is_unframed() {
            if let Some(connection) = self.next_connection.take() {
                self.gateway.confirm_answer(request, target, *sent_at, is_success, connection);
            }

            return;
        }

        self.gateway.record_request_answered(request, is_success);

        if !self.gateway.is_earlier_start(target) {
            let now = self.gateway.now();
            let max_idle = self.gateway.max_idle_connections(&target.service);
            self.gateway.pool.put(target, self.connection, &self.head, max_idle, now);
        }
    }

    /// Ends an attempt whose response broke.
    pub fn record_broken(mut self) {
        self.in_flight.record_outcome(false);
        self.record_broken_attempt();
    }

    fn record_broken_attempt(&self) {
        let SentRequest { request, target, sent_at } = &self.sent;

        self.gateway.record_broken_attempt(request, target, *sent_at);
    }
}
