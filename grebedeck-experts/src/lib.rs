//! Placement of a model's experts on the ranks of a group, and the protocols that change it.
//!
//! [`Popularity`] estimates the load of each expert from token counts that may be late or
//! incomplete. There are two ways to change a placement:
//!
//! - [`Planner`] decides which [`ExpertMap`] is worth its cost, and [`switch`] moves all ranks of
//!   the group to it at the same step.
//! - On engines that can be armed to adopt a [`Placement`] at a given pass, [`assign`] searches for
//!   the next placement and [`rollout`] distributes it to all ranks.
//!
//! The crate does no I/O and reads no clock: counts, times and messages are inputs, and actions are
//! outputs.

#![forbid(unsafe_code)]

pub mod assign;
pub mod balancer;
pub mod counter;
pub mod engine;
pub mod map;
pub mod placement;
pub mod plan;
pub mod popularity;
pub mod rollout;
pub mod share;
pub mod switch;

pub use balancer::{Balancer, BalancerOptions, CountReport};
pub use engine::{Armed, OrderOutcome, RankAction, RankCounts, RankEngine, RankOrder, RankReport};
pub use map::{ExpertMap, LayerMap, MapDelta, Move, Replica};
pub use placement::Placement;
pub use plan::{ChangeBudget, Plan, PlanOptions, Planner};
pub use popularity::{Popularity, PopularityOptions};
