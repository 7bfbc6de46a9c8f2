//! Who gets the next place on a service's targets, and who is told to come back, and when.
//!
//! Each gateway decides for the requests that wait there. [`queue`] holds them in their order: by urgency, with a
//! share for the less urgent ones from [`share`]; fair among organisations by [`fair`]; within an organisation by who
//! can still be in time first. [`flow`] follows how fast places are given, from which follows who waits for nothing;
//! [`returns`] spreads those who are refused over the room to come. All of it is pure: time and randomness are passed
//! in, and what it holds may be lost with the process, as callers come back.

#![forbid(unsafe_code)]

pub mod fair;
pub mod flow;
pub mod queue;
pub mod returns;
pub mod share;

pub use queue::{Order, Queue, QueueOptions, Ticket, Urgency, Waiter};
pub use returns::{ExpectedCapacity, RetrySlots};
