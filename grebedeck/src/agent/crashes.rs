//! Crashes of the agent's target, told apart by number.
//!
//! All requests that a crash ends are told the same number, whichever entry they came from, so that entries count it once.

use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_kernel::log;
use grebedeck_routing::quarantine::ProbeResult;

use super::CONNECT_LIMIT_MS;
use super::service::AgentService;
use crate::liveness;
use crate::message::WorkVerdict;
use crate::settings::millis;

/// How long a new connection to the target has to stay open; an attempt that breaks is told that much later.
const STAYS_OPEN: Duration = Duration::from_millis(20);

/// Crashes of a target so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crashes {
    count: u64,
    newest: Moment,
}

impl Crashes {
    /// Notes that the target crashed under a request that was sent to it at `sent_at`; gets the number of the crash, and
    /// whether it is a new one.
    pub fn note(&mut self, sent_at: Moment, now: Moment) -> (u64, bool) {
        let is_new = self.count == 0 || sent_at > self.newest;

        if is_new {
            self.count += 1;
            self.newest = now;
        }

        (self.count, is_new)
    }
}

impl AgentService {
    /// Gets what an entry is told of a request that was sent at `sent_at` and has no whole answer.
    pub(super) async fn failure(&self, sent_at: Moment) -> WorkVerdict {
        let address = self.target.address();
        let (finding, _) = liveness::probe(address, millis(CONNECT_LIMIT_MS), STAYS_OPEN).await;

        if finding != ProbeResult::Crashed {
            return WorkVerdict::TargetFailed;
        }

        let (crash, is_new) = self.note_crash(sent_at);

        if is_new {
            log::warn!("target crashed", kv: { crash });
        }

        WorkVerdict::TargetCrashed { crash }
    }
}
