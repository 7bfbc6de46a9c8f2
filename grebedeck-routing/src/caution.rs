//! Requests that are held back after a single crash, where one more would take many others down.
//!
//! The load that this answers: ranks of a model advance together, so a request that crashes one of them stops its whole
//! group until that has formed again, with hundreds of others. Sent on when the group opens, such a request stops it
//! again before the others have been served. Three crashes are then far more than the request is worth.
//!
//! What ran under a crash that nothing else explains is therefore not sent for a while, unless the same was answered
//! before: then it is none that crashes whatever runs it. Whoever ran beside it by chance loses that one request.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use grebedeck_core::Moment;

use crate::crashes::Suspicion;
use crate::fingerprint::Fingerprint;

/// How long a request is held back: several times as long as a group needs to form and to serve those that waited.
pub const COOLDOWN: Duration = Duration::from_secs(30);
/// Answered requests that are remembered: what is asked often is among them.
const MAX_ANSWERED: usize = 4096;

/// Requests that were answered lately.
#[derive(Clone, Debug, Default)]
pub struct CrashCooldown {
    answered: HashSet<Fingerprint>,
    order: VecDeque<Fingerprint>,
}

impl CrashCooldown {
    /// Notes that a request was answered.
    pub fn record_answer(&mut self, request: Fingerprint) {
        if !self.answered.insert(request) {
            return;
        }

        self.order.push_back(request);

        if self.order.len() > MAX_ANSWERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.answered.remove(&oldest);
        }
    }

    /// Gets how much longer a request is held back.
    pub fn remaining(
        &self,
        request: Fingerprint,
        suspicion: Suspicion,
        now: Moment,
    ) -> Option<Duration> {
        if suspicion.crashes == 0 || self.was_answered_recently(request) {
            return None;
        }

        let left = (suspicion.newest + COOLDOWN).saturating_sub(now);

        (!left.is_zero()).then_some(left)
    }

    /// Tells whether a request was answered lately.
    pub fn was_answered_recently(&self, request: Fingerprint) -> bool {
        self.answered.contains(&request)
    }
}
