//! Following the configuration and the list of targets in the store.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use grebedeck_core::Result;
use grebedeck_gateway::{SiteStore, StoreVersion, TargetList, Watched};
use grebedeck_kernel::log;

use super::service::Gateway;

/// First wait after a failed call.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(100);
/// Longest wait after failed calls: what the store brings when it returns is known soon after.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(500);

/// Waits longer after each failure, and tells of the first and of the end of a series.
struct Backoff {
    what: &'static str,
    failures: u32,
}

impl Backoff {
    fn new(what: &'static str) -> Self {
        Backoff { what, failures: 0 }
    }

    async fn failed(&mut self, error: &grebedeck_core::Error) {
        if let grebedeck_core::Error::Faults(faults) = error {
            // What was in force stays so; the store itself is there.
            log::error!("refused", kv: { what = self.what, error = faults.to_string() });
        } else if self.failures == 0 {
            log::warn!("store lost", kv: { what = self.what, error = error.to_string() });
        }

        let wait = FIRST_RETRY_WAIT * (1 << self.failures.min(4));
        self.failures = self.failures.saturating_add(1);
        sleep(wait.min(MAX_RETRY_WAIT)).await;
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            log::info!("store back", kv: { what = self.what, failures = self.failures });
        }

        self.failures = 0;
    }
}

/// Follows what operators write until the task is dropped.
pub async fn follow_operator<S: SiteStore>(gateway: Rc<Gateway>, store: S) {
    gateway.relay.wait_for_list().await;
    let mut backoff = Backoff::new("configuration");
    let mut after = None;

    loop {
        match next_operator(&gateway, &store, after).await {
            Ok(next) => {
                backoff.succeeded();
                gateway.counters.store_calls.add("answered");
                gateway.record_store_answer();
                after = next;
            }
            Err(error) => {
                gateway.counters.store_calls.add("failed");
                gateway.record_store_failure();
                // What changed meanwhile is found by reading whole.
                after = None;
                backoff.failed(&error).await;
            }
        }
    }
}

/// Takes one step: reads what operators have written whole, or waits for a change after a version. Gives the
/// version to go on from, or `None` to read whole.
async fn next_operator<S: SiteStore>(
    gateway: &Gateway,
    store: &S,
    after: Option<StoreVersion>,
) -> Result<Option<StoreVersion>> {
    let asked_at = gateway.now();

    let Some(after) = after else {
        let snapshot = store.read_operator().await?;
        let version = snapshot.version;
        gateway.take_operator_state(snapshot, asked_at)?;

        return Ok(Some(version));
    };

    match store.watch_operator(after, gateway.settings().store_wait()).await? {
        Watched::Changed { version, changes } => {
            gateway.take_operator_changes(version, changes);

            Ok(Some(version))
        }
        Watched::Quiet => {
            gateway.note_operator_quiet();

            Ok(Some(after))
        }
        Watched::HistoryGone => Ok(None),
    }
}

/// Follows the list of targets until the task is dropped.
pub async fn follow_targets<S: SiteStore>(gateway: Rc<Gateway>, store: S) {
    gateway.relay.wait_for_list().await;
    let mut backoff = Backoff::new("targets");
    let mut after = None;

    loop {
        match next_targets(&gateway, &store, after).await {
            Ok(next) => {
                backoff.succeeded();
                gateway.counters.store_calls.add("answered");
                after = next;

                // A relay has paused already.
                if !gateway.relay.follows_relay() {
                    sleep(gateway.settings().targets_poll_interval()).await;
                }
            }
            Err(error) => {
                after = None;
                gateway.counters.store_calls.add("failed");
                gateway.update_targets(|targets, _| {
                    targets.record_store_failure();
                    Vec::new()
                });
                backoff.failed(&error).await;
            }
        }
    }
}

async fn next_targets<S: SiteStore>(
    gateway: &Gateway,
    store: &S,
    after: Option<StoreVersion>,
) -> Result<Option<StoreVersion>> {
    let Some(after) = after else {
        let snapshot = store.read_targets().await?;
        let take = |targets: &mut TargetList, now| {
            targets.apply_snapshot(snapshot.version, snapshot.value, now)
        };
        gateway.update_targets(take);
        gateway.record_targets_known();

        return Ok(Some(snapshot.version));
    };

    match store.watch_targets(after, gateway.settings().store_wait()).await? {
        Watched::Changed { version, changes } => {
            gateway.update_targets(|targets, now| targets.apply_changes(version, changes, now));

            Ok(Some(version))
        }
        Watched::Quiet => Ok(Some(after)),
        Watched::HistoryGone => Ok(None),
    }
}
