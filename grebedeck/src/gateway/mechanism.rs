//! Mechanisms of a gateway that can be left out, so that what each of them is worth can be measured again.

use serde::{Deserialize, Serialize};

/// A mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Choosing among a few drawn targets in place of all.
    DrawnTargets,
    /// Requests that wait count for more than those that run.
    WaitingWeight,
    /// Slow ranks get no new requests.
    SlowExclusion,
    /// Streams leave slow ranks.
    SlowMoves,
    /// The load follows the pauses that are seen.
    Pace,
    /// Late requests are taken only as far as long streams still end.
    LateLimit,
    /// Prompts begin at a rate.
    PromptRate,
    /// Requests wait for a place for as long as they can still be answered in time.
    Patience,
    /// Requests are held while a service is expected back soon.
    Hold,
    /// Who waits for a place is served by urgency, where requests differ in it.
    UrgencyOrder,
    /// Callers are told to come back at different times.
    ReturnSpread,
}
