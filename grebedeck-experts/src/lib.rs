//! Expert maps: where each expert of a model lives, and how a group changes its mind.
//!
//! [`Popularity`] turns late and patchy token counters into an estimate, [`Planner`] decides which
//! map is worth its cost, and [`switch`] moves all ranks of a group to it at the same step.
//! Everything is pure: counters, time and messages come in, orders go out.

#![forbid(unsafe_code)]

pub mod counter;
pub mod map;
pub mod plan;
pub mod popularity;
pub mod share;
pub mod switch;

pub use map::{ExpertMap, LayerMap, MapDelta, Move, Replica};
pub use plan::{ChangeBudget, Plan, PlanOptions, Planner};
pub use popularity::{Popularity, PopularityOptions};
