//! Identifiers, as aliases of plain types that serialize and compare without conversion.

use serde::{Deserialize, Serialize};

/// Name of a target, unique in a configuration.
pub type TargetName = String;
/// Name of a rank group: the processes that together serve one sharded model.
pub type GroupName = String;
/// Name of an organisation.
pub type OrganisationName = String;
/// Name of a service that targets offer, such as a model or a plain API.
pub type ServiceName = String;
/// Name of a data hall.
pub type HallName = String;
/// Name of a process, unique among all instances.
pub type InstanceName = String;
/// Number of a configuration revision. The first accepted revision is 1.
pub type Revision = u64;
/// Incarnation number of a process. The replacement of a process has a higher number than its
/// predecessor.
pub type Incarnation = u64;
/// Fencing token of a lease. Only increases.
pub type Epoch = u64;
/// Number of a step that all ranks of a group execute in lockstep.
pub type Step = u64;
/// Index of a rank within its group.
pub type Rank = u16;
/// Index of an expert (of a mixture-of-experts model) within its layer.
pub type Expert = u16;
/// Index of a layer within a model.
pub type Layer = u16;
/// Id of a caller's request, generated once by the entry process that accepted it.
pub type RequestId = u128;

/// Id of one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of earlier attempts of the same request.
    pub number: u32,
}

/// Id of a rank group: the digest of its name. A service may have several groups.
pub type GroupId = u64;
