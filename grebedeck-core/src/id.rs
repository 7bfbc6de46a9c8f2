//! Identifiers, as aliases of plain types so that they serialize and compare without ceremony.

use serde::{Deserialize, Serialize};

/// Name of a target, unique in a configuration.
pub type TargetName = String;
/// Name of a group of ranks.
pub type GroupName = String;
/// Name of an organisation.
pub type OrganisationName = String;
/// Name of a service that targets offer, such as a model or a plain API.
pub type ServiceName = String;
/// Name of a data hall.
pub type HallName = String;
/// Name of a process, unique among all instances.
pub type InstanceName = String;
/// Number of a configuration revision; the first accepted one is 1.
pub type Revision = u64;
/// One life of a process. A replaced process has a higher one than its predecessor.
pub type Incarnation = u64;
/// Fencing token of a lease. It only grows.
pub type Epoch = u64;
/// Number of a lock-step of a group.
pub type Step = u64;
/// Index of a rank within its group.
pub type Rank = u16;
/// Index of an expert within its layer.
pub type Expert = u16;
/// Index of a layer within a model.
pub type Layer = u16;
/// Id of a caller's request, drawn once by the entry that accepted it.
pub type RequestId = u128;

/// Names one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Count of earlier attempts of the same request.
    pub number: u32,
}

/// A group of ranks: a digest of its name. A service may have several.
pub type GroupId = u64;
