//! Configuration: labels, selectors, documents, changes and revisions.
//!
//! A configuration is a [`Document`] at a [`Revision`](grebedeck_core::Revision). Operators submit
//! a [`Change`], which is validated as a whole against the document and yields either the next
//! document or the list of all its faults. Accepted changes form a log, and each process applies
//! the log to its [`Replica`], whose revision never decreases. The [`Acceptor`] decides how a
//! change is written to the platform's table service, including when the response to a write is
//! lost.
//!
//! [`Routes`] is the compiled form that serves the request path.

#![forbid(unsafe_code)]

pub mod accept;
pub mod change;
pub mod document;
pub mod label;
pub mod replica;
pub mod routes;
pub mod selector;

pub use accept::{AcceptAction, AcceptResult, Acceptor, StoreResponse};
pub use change::{Change, LogEntry, Snapshot};
pub use document::{Document, Group, Organisation, SelectorRule, Target};
pub use label::Labels;
pub use replica::{ApplyResult, CatchUp, Replica};
pub use routes::{Route, Routes};
pub use selector::Selector;
