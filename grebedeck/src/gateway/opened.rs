//! An answer that has begun, and the connection on which it comes.

use std::rc::Rc;
use std::sync::Arc;

use grebedeck_gateway::{TargetEntry, Verdict};
use grebedeck_http::{BodyDecoder, Connection, HttpError, ResponseHead};

use super::attempt::InFlight;
use super::kept::Kept;
use super::options::{MAX_WHOLE_BYTES, MEMORY_WAIT};
use super::service::Gateway;
use super::tried::FailureCause;

/// An answer whose head is here.
pub struct Opened {
    /// The head.
    pub head: ResponseHead,
    /// What it says.
    pub verdict: Verdict,
    pub(super) connection: Connection,
    pub(super) decoder: BodyDecoder,
    pub(super) target: Arc<TargetEntry>,
    pub(super) in_flight: InFlight,
    pub(super) gateway: Rc<Gateway>,
}

impl Opened {
    /// Reads the next part of the body, or `None` at its end.
    pub async fn next_part(&mut self) -> Result<Option<bytes::Bytes>, HttpError> {
        self.connection.read_body(&mut self.decoder).await
    }

    /// Reads the whole body, within the memory for answers, and keeps the connection for other requests. Where there
    /// is no memory the target is not read from, and after a while the attempt is given up.
    pub async fn read_whole(mut self) -> Result<(ResponseHead, Kept), FailureCause> {
        let mut body = Kept::new(&self.gateway.answers);
        // A known length is reserved at once, so that no two answers wait for each other's memory.
        let len_bytes = self.decoder.left_bytes().unwrap_or(0).min(MAX_WHOLE_BYTES);

        if !body.reserve(len_bytes, MEMORY_WAIT).await {
            return Err(FailureCause::NoMemory);
        }

        while let Some(part) = self.next_part().await.map_err(|_| FailureCause::Broken)? {
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

        if self.decoder.is_ended() && !self.gateway.is_earlier_start(&self.target) {
            let now = self.gateway.now();
            let max_kept = self.gateway.max_kept(&self.target.service);
            self.gateway.pool.put(&self.target, self.connection, &self.head, max_kept, now);
        }
    }

    /// Ends an attempt whose answer broke.
    pub fn broken(mut self) {
        self.in_flight.judge(false);
    }
}
