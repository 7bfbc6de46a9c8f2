//! Admission control for the requests of one gateway: which waiting request gets the next slot on
//! a service's targets, and when a refused caller should retry.
//!
//! A slot is the right to run one request on a target. Each gateway decides for its own callers.
//! [`queue`] orders the waiting requests by urgency, with a guaranteed [`share`] for the less
//! urgent ones; within an urgency, [`fair`] alternates between organisations; within an
//! organisation, the earliest start deadline that can still be met comes first. [`grants`]
//! measures the rate at which slots are granted, from which the queue estimates waiting times.
//! [`retry`] spreads the retries of refused callers over the expected capacity.
//!
//! The logic does no I/O: time and randomness are passed in. Its state may be lost with the
//! process, since callers retry.

#![forbid(unsafe_code)]

pub mod fair;
pub mod grants;
pub mod queue;
pub mod retry;
pub mod share;

pub use queue::{Order, Queue, QueueOptions, Ticket, Urgency, Waiter};
pub use retry::{ExpectedCapacity, RetrySlots};
