//! Rolling a placement out to all ranks of a group that makes its passes together.
//!
//! # Rule
//!
//! Every rank must have the same placement as a pass begins. So a pass is held at one rank before any
//! rank is armed for it, and it is let go only when every rank's own engine says that it is armed.
//! Nothing is ever taken back: once a rank may be armed, all others are armed for the same placement
//! and pass, by whoever notices that something is missing. So it does no harm if two nodes do it at
//! once, if an order is given twice, or if it is carried out late: by then its pass has begun, and the
//! engine refuses it. Orders name the group's formation, so none of them outlives it.
//!
//! # Leader
//!
//! The leader decides which placement comes next. A node promises not to follow an earlier leader
//! before it follows a later one, and a leader holds a pass only when every node has promised, and has
//! prepared its placement. So two leaders never arm different placements for one pass: an earlier
//! leader's plan is refused by every node that has promised, and the later one prepares nothing before
//! all have. A node that hears from no leader takes the lead after a time that grows with its rank.
//!
//! # Standstill
//!
//! A hold does not lapse, so whoever sees that its group stands still while a pass is held reads all
//! ranks' engines and finishes what it finds.

mod finish;
mod lead;
pub mod message;
pub mod node;

pub use message::{Directive, Message, Stage, Status, Term};
pub use node::{Action, Node, NodeOptions, RankNote};
