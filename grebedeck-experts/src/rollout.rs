//! Rolls a new placement out to all ranks of a group, so that all of them use it from the same pass
//! on.
//!
//! # Invariant
//!
//! Every rank must have the same placement when a pass begins. A pass is therefore held at one rank
//! before any rank is armed for it, and released only when every rank's engine has confirmed that
//! it is armed, or when it is certain that none is. An order that an engine carries out late does
//! no harm: its pass has begun by then, and the engine refuses it. Orders name the group's epoch,
//! so none of them outlives a re-formation of the group.
//!
//! # Roles
//!
//! - The *leader* decides which placement comes next, and has every rank copy the weights it needs.
//!   A node that promises to follow a later leader no longer follows an earlier one. A node that
//!   does not hear from a leader takes the lead after a timeout that grows with its rank.
//! - The *holder* is the node beside the engine that holds the pass, at another rank than the
//!   leader's. The holder alone decides about the pass: it asks all nodes whether they are ready,
//!   has all of them arm, and releases the pass. If a node does not answer while it is asked, only
//!   this plan is given up; the group does not stall.
//! - Each *node* takes part in one changeover at a time and keeps its own rank's engine up to date.
//!   Some nodes relay what a plan changes, since the leader's link is too small to send it to all
//!   of them.
//!
//! A hold is ordered as many passes ahead as recent changeovers needed, so that the group normally
//! does not wait for it.
//!
//! A hold never expires. A holder that was killed finds the hold in its engine after its restart,
//! asks all nodes, or the engines of those that do not answer, whether any rank is armed, and
//! continues from there.

mod absent;
pub mod action;
mod arming;
mod broadcast;
mod bulk;
mod changeover;
mod election;
mod fence;
mod holder;
mod lead;
pub mod message;
pub mod node;
pub mod options;
mod participation;
mod parts;
mod passes;

pub use action::{Action, RankEvent};
pub use lead::PlanBlock;
pub use message::{
    Changeover, ChangeoverAnswer, ChangeoverStep, Directive, Message, RankPart, Stage, Status, Term,
};
pub use node::Node;
pub use options::NodeOptions;
