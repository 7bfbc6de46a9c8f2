//! Decisions on requests: choice of target, limits, retries, and running a request at most once.
//!
//! All of it is pure. The entry drives [`Chooser`], [`Admission`], [`RetryBudget`] and
//! [`AttemptTracker`]; the agent drives [`Gate`]. Entries and gateways drive [`Quarantine`].

#![forbid(unsafe_code)]

pub mod admission;
pub mod attempt;
pub mod caution;
pub mod choice;
pub mod crashes;
pub mod fingerprint;
pub mod gate;
pub mod health;
pub mod home;
pub mod key;
pub mod quarantine;
pub mod report;
pub mod retry;
pub mod subset;

pub use admission::{Admission, AdmissionOptions};
pub use attempt::{AttemptEnd, AttemptTracker, Next, RequestTraits};
pub use caution::CrashCooldown;
pub use choice::{Candidate, Chooser, ChooserOptions, LoadReport, LoadView, StartId};
pub use crashes::{CrashLog, TargetStart};
pub use fingerprint::{Fingerprint, Identity};
pub use gate::{Gate, GateOptions, StartRequest, StrikeAnswer, Verdict};
pub use health::{Health, HealthOptions};
pub use home::{AllowedSince, find_home};
pub use key::{Key, KeyDigest};
pub use quarantine::{Clearance, Quarantine};
pub use report::{CrashReport, QuarantinedReport, Report};
pub use retry::{RetryBudget, RetryOptions};
