//! The switch of a group from one expert map to the next.
//!
//! # Rule
//!
//! A version is committed exactly if every member of the group has armed it. A member that has
//! armed a version holds its ranks before the version's step until the outcome is known. A member
//! that has not armed it may vow never to, and that vow aborts the version for good. So the outcome
//! follows from the members' own states; the coordinator only carries messages, and two of them
//! at once, or none, do no harm. Members that are left holding ask each other.
//!
//! A group in lock-step cannot make a step without all of its ranks, so waiting for an answer from
//! every member costs nothing that the step itself would not have cost.
//!
//! # Replaced members
//!
//! A replaced member starts with no memory. It joins by asking all others, and each of them notes
//! the new incarnation before it answers; from then on the old incarnation's word counts no more.
//! If nobody had committed by then, nobody can: the joined member vows against whatever is still
//! armed.

pub mod coordinator;
mod join;
pub mod member;
pub mod message;

pub use coordinator::{Coordinator, CoordinatorAction, CoordinatorOptions};
pub use member::{Member, MemberAction, MemberOptions, MemberStatus};
pub use message::{Body, GroupView, MapVersion, MemberNo, Message, Standing};
