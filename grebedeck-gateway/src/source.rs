//! What a gateway needs of a platform.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::error::platform_error;
use grebedeck_core::{HallName, Result, UnixMs};
use grebedeck_routing::Fingerprint;
use serde::{Deserialize, Serialize};

use crate::site::Site;
use crate::targets::{ListedTarget, TargetId, TargetListing};

/// Count of the store's changes; it only grows.
pub type StoreVersion = u64;

/// What the store held at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot<T> {
    /// The store's version at that moment.
    pub version: StoreVersion,
    /// What it held.
    pub value: T,
}

/// What became of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Watched<T> {
    /// These changes came, in order, up to a version.
    Changed {
        /// The version to go on from.
        version: StoreVersion,
        /// The changes.
        changes: Vec<T>,
    },
    /// Nothing has changed.
    Quiet,
    /// The store has forgotten changes since then; it must be read whole.
    HistoryGone,
}

/// A change of the list of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// A target was listed, or its entry changed.
    Set(ListedTarget),
    /// A target's entry was removed.
    Removed {
        /// The store's version of the removal.
        version: StoreVersion,
        /// The target.
        id: TargetId,
    },
    /// A target's entry cannot be read, so it names no target to use.
    Unreadable {
        /// The store's version of the entry.
        version: StoreVersion,
        /// The target that it would be about.
        id: TargetId,
        /// What is wrong with it.
        reason: String,
    },
}

/// The gateways that were published.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayListing {
    /// Those whose rows can be read.
    pub gateways: Vec<GatewayEntry>,
    /// Names of the others, with what is wrong with their rows.
    pub unreadable: Vec<(String, String)>,
}

/// What operators have written.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorState {
    /// The newest configuration, where there is one that can be read.
    pub site: Option<Site>,
    /// Halls to which nothing new may go.
    pub evacuated: Vec<HallName>,
    /// What cannot be read. It hides nothing of the rest.
    pub unreadable: Vec<Unreadable>,
}

/// A change of what operators have written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorChange {
    /// A newer configuration.
    Site(Site),
    /// Nothing new may go to a hall.
    Evacuated {
        /// The store's version of the request.
        version: StoreVersion,
        /// The hall.
        hall: HallName,
    },
    /// A hall may get requests again.
    #[serde(rename = "TakenBack")]
    Reopened {
        /// The store's version of that.
        version: StoreVersion,
        /// The hall.
        hall: HallName,
    },
    /// Something that cannot be read.
    Unreadable(Unreadable),
}

/// A key of the operators' that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreadable {
    /// The store's version of it.
    pub version: StoreVersion,
    /// The key.
    pub key: String,
    /// What is wrong with it.
    pub error: String,
}

impl OperatorState {
    /// Gets the configuration; fails where there is one that cannot be read.
    pub fn into_site(self) -> Result<Option<Site>> {
        match (self.site, self.unreadable.first()) {
            (None, Some(first)) => platform_error(format!("{}: {}", first.key, first.error)),
            (site, _) => Ok(site),
        }
    }
}

/// A gateway as others find it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntry {
    /// The gateway's name.
    pub name: String,
    /// What others need to know of it.
    pub info: GatewayInfo,
}

/// What gateways publish of themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayInfo {
    /// Where it answers other processes of grebedeck.
    pub peer_address: SocketAddr,
    /// The hall that it stands in.
    pub hall: String,
    /// Rate of its link, in megabits a second; 0 where it does not say.
    #[serde(default)]
    pub link_mbps: u32,
}

/// A request that is not sent any more, as it crashes its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request.
    pub request: Fingerprint,
    /// Trials since.
    pub trials: u32,
    /// When the entry was written, in Unix milliseconds by the writer's clock.
    pub written_unix_ms: UnixMs,
}

/// The requests that are in quarantine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineListing {
    /// Them.
    pub entries: Vec<QuarantineEntry>,
    /// Keys whose entries cannot be read, and what is wrong.
    pub unreadable: Vec<(String, String)>,
}

/// The platform's store. Every answer holds all that was acknowledged before; after an error it is not
/// known whether a write took effect.
pub trait SiteStore: Clone + 'static {
    /// Reads what operators have written.
    fn read_operator(&self) -> impl Future<Output = Result<Snapshot<OperatorState>>>;

    /// Waits for changes of it.
    fn watch_operator(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<OperatorChange>>>;

    /// Reads the list of targets. One entry that cannot be read hides no other.
    fn read_targets(&self) -> impl Future<Output = Result<Snapshot<TargetListing>>>;

    /// Waits for changes of the list of targets.
    fn watch_targets(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<TargetChange>>>;

    /// Publishes a gateway.
    fn publish(&self, gateway: &GatewayEntry) -> impl Future<Output = Result<()>>;

    /// Reads all gateways that were published.
    fn read_gateways(&self) -> impl Future<Output = Result<GatewayListing>>;

    /// Reads the requests that are in quarantine.
    fn read_quarantine(&self) -> impl Future<Output = Result<QuarantineListing>>;

    /// Puts a request into quarantine, or notes a trial of it.
    fn quarantine(&self, entry: &QuarantineEntry) -> impl Future<Output = Result<()>>;

    /// Takes a request out of quarantine.
    fn release(&self, request: Fingerprint) -> impl Future<Output = Result<()>>;
}
