//! Mechanisms of a gateway that the settings can disable, so that the effect of each can be
//! measured.

use serde::{Deserialize, Serialize};

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Choose among a few randomly drawn targets instead of all.
    DrawnTargets,
    /// Weight requests that wait on a target more than those that run.
    WaitingWeight,
    /// Send no new requests to slow ranks.
    SlowExclusion,
    /// Move streams away from slow ranks.
    SlowMoves,
    /// Adjust the load limit of a model's group to the observed pauses between events.
    Pace,
    /// Admit requests that will be late only while long streams still end before their deadline.
    LateLimit,
    /// Limit the rate at which prompts start.
    PromptRate,
    /// Let requests wait for a slot for as long as they can still be answered in time.
    Patience,
    /// Hold requests while a service is expected back soon.
    Hold,
    /// Serve waiting requests by urgency where their routes differ in it.
    UrgencyOrder,
    /// Spread the retry times given to refused callers.
    ReturnSpread,
}
