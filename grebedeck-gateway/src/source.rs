//! Interface of the platform's store, and the types that gateways read from it and write to it.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::error::platform_error;
use grebedeck_core::{HallName, Result, UnixMs};
use grebedeck_routing::Fingerprint;
use serde::{Deserialize, Serialize};

use crate::site::Site;
use crate::targets::{ListedTarget, TargetId, TargetListing};

/// Version of the store's contents, increasing with each change.
pub type StoreVersion = u64;

/// Contents of the store at one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot<T> {
    /// The store's version.
    pub version: StoreVersion,
    /// Contents at that version.
    pub value: T,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Watched<T> {
    /// Changes, in order, up to a version.
    Changed {
        /// Version to continue the watch from.
        version: StoreVersion,
        /// The changes.
        changes: Vec<T>,
    },
    /// No changes within the wait.
    Quiet,
    /// Some of the changes are no longer kept; the whole state must be read.
    HistoryGone,
}

/// Change of the list of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// A target was added, or its entry changed.
    Set(ListedTarget),
    /// A target's entry was removed.
    Removed {
        /// The store's version of the removal.
        version: StoreVersion,
        /// The target.
        id: TargetId,
    },
    /// A target's entry is invalid, so the target cannot be used.
    Unreadable {
        /// The store's version of the entry.
        version: StoreVersion,
        /// The target, by the key of the entry.
        id: TargetId,
        /// Why the entry is invalid.
        reason: String,
    },
}

/// List of published gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayListing {
    /// Gateways whose rows are valid.
    pub gateways: Vec<GatewayEntry>,
    /// Names of the gateways whose rows are invalid, each with the reason.
    pub unreadable: Vec<(String, String)>,
}

/// Operators' requests: the configuration and the evacuated halls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorState {
    /// Newest valid configuration.
    pub site: Option<Arc<Site>>,
    /// Evacuated halls, which get no new requests.
    pub evacuated: Vec<HallName>,
    /// Keys with invalid values; the other keys are still read.
    pub unreadable: Vec<Unreadable>,
}

/// Change of the operators' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorChange {
    /// A newer configuration.
    Site(Arc<Site>),
    /// A hall was evacuated.
    Evacuated {
        /// The store's version of the evacuation.
        version: StoreVersion,
        /// The hall.
        hall: HallName,
    },
    /// A hall's evacuation was cancelled, so that it takes requests again.
    #[serde(rename = "TakenBack")]
    Reopened {
        /// The store's version of the cancellation.
        version: StoreVersion,
        /// The hall.
        hall: HallName,
    },
    /// A key with an invalid value.
    Unreadable(Unreadable),
}

/// A key written by operators whose value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreadable {
    /// The store's version of the value.
    pub version: StoreVersion,
    /// The key.
    pub key: String,
    /// Why the value is invalid.
    pub error: String,
}

impl OperatorState {
    /// Returns the configuration, or an error if there is only an invalid one.
    pub fn into_site(self) -> Result<Option<Arc<Site>>> {
        match (self.site, self.unreadable.first()) {
            (None, Some(first)) => platform_error(format!("{}: {}", first.key, first.error)),
            (site, _) => Ok(site),
        }
    }
}

/// Published entry of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntry {
    /// The gateway's name.
    pub name: String,
    /// How others reach it and where it runs.
    pub info: GatewayInfo,
}

/// Properties that a gateway publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayInfo {
    /// Address for other grebedeck processes.
    pub peer_address: SocketAddr,
    /// The gateway's hall.
    pub hall: String,
    /// Link rate in Mbit/s; 0 where not published.
    #[serde(default)]
    pub link_mbps: u32,
}

/// A request that is no longer sent because it crashes its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Number of times it was tried again since.
    pub trials: u32,
    /// When the entry was written, in Unix milliseconds by the writer's clock.
    pub written_unix_ms: UnixMs,
}

/// Requests in quarantine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineListing {
    /// Valid entries.
    pub entries: Vec<QuarantineEntry>,
    /// Keys whose entries are invalid, each with the reason.
    pub unreadable: Vec<(String, String)>,
}

/// The platform's store. Reads reflect every write that was acknowledged before. After an error it
/// is unknown whether a write took effect.
pub trait SiteStore: Clone + 'static {
    /// Reads the operators' requests.
    fn read_operator(&self) -> impl Future<Output = Result<Snapshot<OperatorState>>>;

    /// Waits up to `wait` for changes of the operators' requests after a version.
    fn watch_operator(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<OperatorChange>>>;

    /// Reads the list of targets. An invalid entry does not affect the others.
    fn read_targets(&self) -> impl Future<Output = Result<Snapshot<TargetListing>>>;

    /// Waits up to `wait` for changes of the list of targets after a version.
    fn watch_targets(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<TargetChange>>>;

    /// Publishes a gateway's entry.
    fn publish(&self, gateway: &GatewayEntry) -> impl Future<Output = Result<()>>;

    /// Reads the entries of all gateways.
    fn read_gateways(&self) -> impl Future<Output = Result<GatewayListing>>;

    /// Reads the requests in quarantine.
    fn read_quarantine(&self) -> impl Future<Output = Result<QuarantineListing>>;

    /// Quarantines a request, or records a trial of one.
    fn quarantine(&self, entry: &QuarantineEntry) -> impl Future<Output = Result<()>>;

    /// Releases a request from quarantine.
    fn release(&self, request: Fingerprint) -> impl Future<Output = Result<()>>;
}
