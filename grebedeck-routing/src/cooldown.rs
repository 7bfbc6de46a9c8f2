//! Cooldown of a request after a single crash, for services where one crash stops many requests.
//!
//! The ranks of a model advance in lockstep, so a request that crashes one of them stops the whole
//! group, with hundreds of other requests, until the group has formed again. Retried as soon as the
//! group is back, the request would stop it again before the others are served. Waiting for the
//! three crashes that quarantine needs is too expensive here.
//!
//! A request that was running during a crash without another explanation is therefore not sent
//! for a while. A request that was answered recently is exempt, because it does not crash every
//! target that runs it. A harmless request that ran beside the cause by chance is refused as well.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use grebedeck_core::Moment;

use crate::crashes::Suspicion;
use crate::fingerprint::Fingerprint;

/// Time for which a request is not sent after a crash: several times what a group needs to form and
/// to serve the requests that waited.
pub const COOLDOWN: Duration = Duration::from_secs(30);
/// Maximum number of answered requests remembered; frequent requests are among them.
const MAX_ANSWERED: usize = 4096;

/// Recently answered requests, which are exempt from the cooldown.
#[derive(Clone, Debug, Default)]
pub struct CrashCooldown {
    answered: HashSet<Fingerprint>,
    order: VecDeque<Fingerprint>,
}

impl CrashCooldown {
    /// Records that a request was answered.
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

    /// Returns the rest of a request's cooldown, or `None` if it may be sent.
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

    /// Returns whether the request is among the recently answered ones.
    pub fn was_answered_recently(&self, request: Fingerprint) -> bool {
        self.answered.contains(&request)
    }
}
