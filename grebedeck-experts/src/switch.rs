//! Atomic commit protocol that switches all members of a group to the next expert map.
//!
//! # Commit rule
//!
//! A version is committed if and only if every member of the group has armed it. A member that has
//! armed a version holds its ranks before the version's first step until the outcome is known. A
//! member that has not armed it may refuse it. A refusal is final and aborts the version. The
//! outcome therefore follows from the members' own states. The coordinator only distributes
//! messages, so several coordinators at once, or none, do no harm. Members that hold without an
//! outcome query each other.
//!
//! The ranks of a group run in lockstep, and no step can run without all of them. Waiting for an
//! answer of every member therefore costs no more than the step itself would.
//!
//! # Replaced members
//!
//! A replacement starts without state. It joins by asking all other members for theirs, and each of
//! them records the new incarnation before it answers and ignores the old one from then on. A
//! version that is still armed but not committed at that time cannot be committed any more: the
//! replacement counts as having refused it.

pub mod coordinator;
mod join;
pub mod member;
pub mod message;

pub use coordinator::{Coordinator, CoordinatorAction, CoordinatorOptions};
pub use member::{Member, MemberAction, MemberOptions, MemberStatus};
pub use message::{Body, GroupView, MapVersion, MemberNo, Message, Standing};
