//! Configuration: labels, selectors, documents, changes and revisions.
//!
//! A configuration is a [`Document`] at a [`Revision`](grebedeck_core::Revision). Operators send a
//! [`Change`]; it is checked whole against the document and either gives the next document or all
//! its faults. Accepted changes form a log, and each process applies the log through a
//! [`Replica`], which never goes to a lower revision. The [`Acceptor`] decides how a change is
//! written to the platform's table service, also when the answer to a write is lost.
//! [`Routes`] is the compiled form that the request path uses.

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
