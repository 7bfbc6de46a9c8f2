//! Follows the operator state and the target list in the store: reads a snapshot, then watches
//! for changes.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use grebedeck_core::{Moment, Result};
use grebedeck_gateway::{SiteStore, StoreVersion, TargetList, Watched};
use grebedeck_kernel::log;

use super::options::STORE_MIN_BACKOFF;
use super::service::Gateway;
use crate::settings::millis;

/// Maximum backoff, so that changes are known soon after the store returns.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Exponential backoff; logs the first failure of a series and its end.
struct Backoff {
    what: &'static str,
    failures: u32,
}

impl Backoff {
    fn new(what: &'static str) -> Self {
        Backoff { what, failures: 0 }
    }

    async fn wait_after_failure(&mut self, error: &grebedeck_core::Error) {
        if let grebedeck_core::Error::Faults(faults) = error {
            // The previous configuration stays in force; the store itself is available.
            log::error!("refused", kv: { what = self.what, error = faults.to_string() });
        } else if self.failures == 0 {
            log::warn!("store lost", kv: { what = self.what, error = error.to_string() });
        }

        let wait = STORE_MIN_BACKOFF * (1 << self.failures.min(4));
        self.failures = self.failures.saturating_add(1);
        sleep(wait.min(MAX_BACKOFF)).await;
    }

    fn reset(&mut self) {
        if self.failures > 0 {
            log::info!("store back", kv: { what = self.what, failures = self.failures });
        }

        self.failures = 0;
    }
}

/// Follows the operator state until the task is dropped.
pub async fn follow_operator<S: SiteStore>(gateway: Rc<Gateway>, store: S) {
    gateway.relay.wait_for_gateways().await;
    let mut backoff = Backoff::new("configuration");
    let mut after = None;

    loop {
        match next_operator(&gateway, &store, after).await {
            Ok(next) => {
                backoff.reset();
                gateway.counters.store_calls.add("answered");
                gateway.record_store_response();
                after = next;
            }
            Err(error) => {
                gateway.counters.store_calls.add("failed");
                gateway.record_store_failure();
                // A snapshot brings the changes made meanwhile.
                after = None;
                backoff.wait_after_failure(&error).await;
            }
        }
    }
}

/// Reads a snapshot of the operator state, or waits for changes after a version. Returns the
/// version to continue from, or `None` if a snapshot has to be read.
async fn next_operator<S: SiteStore>(
    gateway: &Gateway,
    store: &S,
    after: Option<StoreVersion>,
) -> Result<Option<StoreVersion>> {
    let requested_at = gateway.now();

    let Some(after) = after else {
        let snapshot = store.read_operator().await?;
        let version = snapshot.version;
        gateway.apply_operator_snapshot(snapshot, requested_at)?;

        return Ok(Some(version));
    };

    match store.watch_operator(after, gateway.settings().store_wait()).await? {
        Watched::Changed { version, changes } => {
            gateway.apply_operator_changes(version, changes);

            Ok(Some(version))
        }
        Watched::Quiet => {
            gateway.record_operator_current();

            Ok(Some(after))
        }
        Watched::HistoryGone => Ok(None),
    }
}

/// Follows the target list until the task is dropped.
pub async fn follow_targets<S: SiteStore>(gateway: Rc<Gateway>, store: S) {
    gateway.relay.wait_for_gateways().await;
    let mut backoff = Backoff::new("targets");
    let mut after = None;
    // Should the next call fail: the store, or the connection to it, was sound until then.
    let mut sound_at = gateway.now();

    loop {
        match next_targets(&gateway, &store, after).await {
            Ok(next) => {
                backoff.reset();
                gateway.counters.store_calls.add("answered");
                after = next;
                sound_at = gateway.now();

                // A relay has already waited between its own calls.
                if !gateway.relay.follows_relay() {
                    sleep(gateway.settings().targets_poll_interval()).await;
                }
            }
            Err(error) => {
                after = None;
                gateway.counters.store_calls.add("failed");
                record_targets_failure(&gateway, sound_at);
                backoff.wait_after_failure(&error).await;
                sound_at = gateway.now();
            }
        }
    }
}

/// Records that a call for the list of targets failed, of which the store or the connection was
/// sound until `sound_at`.
fn record_targets_failure(gateway: &Gateway, sound_at: Moment) {
    let caught_up_by = sound_at + millis(gateway.settings().catch_up_ms);

    gateway.update_targets(|targets, _| {
        targets.record_store_failure(caught_up_by);
        Vec::new()
    });
}

/// Reads a snapshot of the target list, or waits for changes after a version. Returns the version
/// to continue from, or `None` if a snapshot has to be read.
async fn next_targets<S: SiteStore>(
    gateway: &Gateway,
    store: &S,
    after: Option<StoreVersion>,
) -> Result<Option<StoreVersion>> {
    let Some(after) = after else {
        let snapshot = store.read_targets().await?;
        let apply = |targets: &mut TargetList, now| {
            targets.apply_snapshot(snapshot.version, snapshot.value, now)
        };
        gateway.update_targets(apply);
        gateway.record_targets_known();

        return Ok(Some(snapshot.version));
    };

    match store.watch_targets(after, gateway.settings().targets_wait()).await? {
        Watched::Changed { version, changes } => {
            gateway.update_targets(|targets, now| targets.apply_changes(version, changes, now));

            Ok(Some(version))
        }
        Watched::Quiet => Ok(Some(after)),
        Watched::HistoryGone => Ok(None),
    }
}
