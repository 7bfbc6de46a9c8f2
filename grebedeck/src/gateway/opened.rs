//! An answer that has begun, and the connection on which it comes.

use std::rc::Rc;
use std::sync::Arc;

use grebedeck_core::Moment;
use grebedeck_gateway::{TargetEntry, Verdict};
use grebedeck_http::{BodyDecoder, Connection, HttpError, ResponseHead};

use super::attempt::InFlight;
use super::buffer::Buffer;
use super::options::{MAX_WHOLE_BYTES, MEMORY_WAIT};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::tried::FailureCause;

/// A request that was sent to a target.
pub struct Sent<'a> {
    /// The request.
    pub request: &'a RoutedRequest,
    /// The target.
    pub target: Arc<TargetEntry>,
    /// When it was sent.
    pub sent_at: Moment,
}

/// An answer whose head is here.
pub struct Opened<'a> {
    /// The head.
    pub head: ResponseHead,
    /// What it says.
    pub verdict: Verdict,
    pub(super) connection: Connection,
    pub(super) decoder: BodyDecoder,
    pub(super) sent: Sent<'a>,
    pub(super) in_flight: InFlight,
    pub(super) gateway: Rc<Gateway>,
}

impl Opened<'_> {
    /// Reads the next part of the body, or `None` at its end.
    pub async fn next_part(&mut self) -> Result<Option<bytes::Bytes>, HttpError> {
        self.connection.read_body(&mut self.decoder).await
    }

    async fn next_part_of_whole(&mut self) -> Result<Option<bytes::Bytes>, FailureCause> {
        let next = self.next_part().await;

        next.map_err(|_| {
            self.note_broken();
            FailureCause::Broken
        })
    }

    /// Reads the whole body, within the memory for answers, and keeps the connection for other requests. Where there
    /// is no memory the target is not read from, and after a while the attempt is given up.
    pub async fn read_whole(mut self) -> Result<(ResponseHead, Buffer), FailureCause> {
        let mut body = Buffer::new(&self.gateway.answers);
        // A known length is reserved at once, so that no two answers wait for each other's memory.
        let len_bytes = self.decoder.remaining_bytes().unwrap_or(0).min(MAX_WHOLE_BYTES);

        if !body.reserve(len_bytes, MEMORY_WAIT).await {
            return Err(FailureCause::NoMemory);
        }

        while let Some(part) = self.next_part_of_whole().await? {
            if body.len() + part.len() > MAX_WHOLE_BYTES {
                return Err(FailureCause::Broken);
            }

            if !body.push(&part) && !body.push_later(&part, MEMORY_WAIT).await {
                return Err(FailureCause::NoMemory);
            }
        }

        let head = self.head.clone();
        let is_well = self.verdict != Verdict::Failure;
        self.finish(is_well);

        Ok((head, body))
    }

    /// Ends an attempt whose body has been read to its end.
    pub fn finish(mut self, is_well: bool) {
        self.in_flight.judge(is_well);
        self.connection.end_exchange();

        // An answer that ends with its connection ends alike where its target crashes.
        if !self.decoder.is_complete() {
            return;
        }

        let target = &self.sent.target;
        self.gateway.note_answered(self.sent.request);

        if !self.gateway.is_earlier_start(target) {
            let now = self.gateway.now();
            let max_kept = self.gateway.max_kept(&target.service);
            self.gateway.pool.put(target, self.connection, &self.head, max_kept, now);
        }
    }

    /// Ends an attempt whose answer broke.
    pub fn broken(mut self) {
        self.in_flight.judge(false);
        self.note_broken();
    }

    fn note_broken(&self) {
        let Sent { request, target, sent_at } = &self.sent;

        self.gateway.note_broken(request, target, *sent_at);
    }
}
