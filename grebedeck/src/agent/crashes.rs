//! Detects crashes of the agent's target and numbers them.
//!
//! All requests that one crash ends receive the same number, whichever entry sent them, so entries
//! count the crash once.

use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_kernel::log;
use grebedeck_routing::quarantine::ProbeResult;

use super::CONNECT_TIMEOUT_MS;
use super::service::AgentService;
use crate::liveness;
use crate::message::WorkVerdict;
use crate::settings::millis;

/// Time for which a new connection must stay open to show that the target is alive. It delays the
/// verdict on a broken attempt.
const MIN_OPEN_TIME: Duration = Duration::from_millis(20);

/// Number and time of the target's crashes.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashCounter {
    count: u64,
    latest: Moment,
}

impl CrashCounter {
    /// Records a crash under a request that was sent at `sent_at`. Returns the number of the crash,
    /// and whether it is a new one: a request sent before the latest known crash was ended by it.
    pub fn record(&mut self, sent_at: Moment, now: Moment) -> (u64, bool) {
        let is_new = self.count == 0 || sent_at > self.latest;

        if is_new {
            self.count += 1;
            self.latest = now;
        }

        (self.count, is_new)
    }
}

impl AgentService {
    /// Verdict on a request that was sent at `sent_at` and has no complete answer.
    pub(super) async fn failure_verdict(&self, sent_at: Moment) -> WorkVerdict {
        let address = self.target.address();
        let (result, _) = liveness::probe(address, millis(CONNECT_TIMEOUT_MS), MIN_OPEN_TIME).await;

        if result != ProbeResult::Crashed {
            return WorkVerdict::TargetFailed;
        }

        let (crash, is_new) = self.record_crash(sent_at);

        if is_new {
            log::warn!("target crashed", kv: { crash });
        }

        WorkVerdict::TargetCrashed { crash }
    }
}
