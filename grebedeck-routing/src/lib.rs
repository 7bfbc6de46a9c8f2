//! Routing decisions: choice of target, admission, retries, at-most-once execution and quarantine.
//!
//! The crate does no I/O and reads no clock; callers pass in the time. Entries, which accept
//! requests from callers, use [`Chooser`], [`Admission`], [`RetryBudget`] and [`AttemptTracker`].
//! Gateways use [`Chooser`] and [`CrashCooldown`]. The agent, which runs beside each target, uses
//! [`Gate`]. Entries and gateways use [`Quarantine`].

#![forbid(unsafe_code)]

pub mod admission;
pub mod attempt;
pub mod choice;
pub mod cooldown;
pub mod crashes;
pub mod fingerprint;
pub mod gate;
pub mod health;
pub mod home;
pub mod key;
pub mod parts;
pub mod prompt;
pub mod quarantine;
pub mod report;
pub mod retry;
pub mod subset;

pub use admission::{Admission, AdmissionOptions};
pub use attempt::{AttemptEnd, AttemptTracker, Next, RequestTraits};
pub use choice::{Candidate, Chooser, ChooserOptions, LoadReport, LoadView, StartId};
pub use cooldown::CrashCooldown;
pub use crashes::{CrashLog, TargetStart};
pub use fingerprint::{Fingerprint, Fingerprints, Identity, PromptFingerprints};
pub use gate::{Gate, GateOptions, StartRequest, StrikeAnswer, Verdict};
pub use health::{Health, HealthOptions};
pub use home::{AllowedSince, find_home};
pub use key::{Key, KeyDigest};
pub use quarantine::{Clearance, Quarantine};
pub use report::{CrashReport, QuarantinedReport, Report};
pub use retry::{RetryBudget, RetryOptions};
