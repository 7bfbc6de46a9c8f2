//! Rolling a placement out to all ranks of a group that makes its passes together.
//!
//! # Rule
//!
//! Every rank must have the same placement as a pass begins. So a pass is held at one rank before any
//! rank is armed for it, and it is let go only when every rank's own engine says that it is armed, or
//! when it is certain that none is. Orders that are carried out late do no harm: by then their pass has
//! begun, and the engine refuses them. Orders name the group's formation, so none of them outlives it.
//!
//! # Roles
//!
//! - The *leader* decides which placement comes next, and has every rank copy its weights. A node
//!   promises not to follow an earlier leader before it follows a later one. A node that hears from no
//!   leader takes the lead after a time that grows with its rank.
//! - The *holder* is the node beside the engine that holds the pass. The leader has it held at another
//!   rank than its own. The holder alone decides what becomes of the pass: it asks all nodes whether they
//!   are ready, has all of them arm, and lets go. A node that is silent when it is asked costs no more
//!   than this plan, and the group does not stand still for it.
//! - Each *node* takes part in one changeover at a time, and keeps its own rank's engine in step.
//!   Some pass on what a plan changes, since a leader's link does not take it for all of them.
//!
//! A hold is ordered as far ahead as the newest changeovers took, so that nobody waits for it as a rule.
//!
//! A hold does not lapse. A holder that was killed finds it in its engine when it is back, asks all
//! nodes, or the engines of those that do not answer, whether anybody is armed, and goes on from there.

mod absent;
pub mod action;
mod arming;
mod bulk;
mod changeover;
mod claim;
mod engaged;
mod holder;
mod lead;
pub mod message;
pub mod node;
pub mod options;
mod parts;
mod passes;
mod tell;

pub use action::{Action, RankEvent};
pub use lead::PlanBlock;
pub use message::{
    Changeover, ChangeoverAnswer, ChangeoverStep, Directive, Message, RankPart, Stage, Status, Term,
};
pub use node::Node;
pub use options::NodeOptions;
