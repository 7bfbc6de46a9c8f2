//! Expert maps: where each expert of a model lives, and how a group changes its mind.
//!
//! [`Popularity`] turns late and patchy token counters into an estimate, [`Planner`] decides which
//! map is worth its cost, and [`switch`] moves all ranks of a group to it at the same step. On engines
//! that take a [`Placement`] of their own at a pass that they are armed for, [`assign`] finds the next
//! one and [`rollout`] brings it to all ranks.
//! Everything is pure: counters, time and messages come in, orders go out.

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
