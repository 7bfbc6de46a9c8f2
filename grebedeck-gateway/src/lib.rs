//! Decision logic of a gateway, which sends requests directly to their targets.
//!
//! A gateway serves a platform whose targets identify themselves: each request carries the id of
//! the target that it is meant for, and any other target refuses it. So no agent is needed between
//! a gateway and its targets. This crate does no I/O. The tasks that do are in the `grebedeck`
//! crate, and [`source`] defines the interface to a platform's store.

#![forbid(unsafe_code)]

pub mod answer;
pub mod choice;
pub mod cold;
pub mod coordinator;
pub mod delay;
pub mod evacuation;
pub mod events;
pub mod feed;
pub mod leaving;
pub mod limit;
pub mod membership;
pub mod memory;
pub mod outage;
pub mod pacing;
pub mod quota;
pub mod refusals;
pub mod relay;
pub mod retry;
pub mod routes;
pub mod site;
pub mod size;
pub mod source;
pub mod stall;
pub mod targets;
pub mod wait;
pub mod wire;

pub use answer::{RunState, Verdict, judge};
pub use choice::chooser_options;
pub use cold::{ColdLimiter, ColdShare};
pub use coordinator::Coordinators;
pub use delay::RetryAfter;
pub use evacuation::{Evacuations, HallEvent, HallStatus, HallStatuses};
pub use events::{Event, EventBuffer, EventTracker};
pub use feed::{ApplyChange, Feed, FeedSize, FeedState};
pub use limit::{Limits, Permit};
pub use membership::Membership;
pub use outage::{Availability, Outage, OutageOptions};
pub use pacing::{Pacing, PacingOptions, PromptLimiter};
pub use quota::{QuotaLedger, QuotaMessage};
pub use refusals::Refusals;
pub use relay::{RelayOptions, RelaySelector, Source};
pub use retry::{RetryShare, RetryUsage, SharedRetryBudget};
pub use routes::{Admitted, Denied, RouteTable};
pub use site::{
    CallerLimits, EngineSpec, Organisation, RequestKind, RouteRule, ServiceSpec, Site,
    WeightedService,
};
pub use size::HeldBytes;
pub use source::{
    GatewayEntry, GatewayInfo, GatewayListing, OperatorChange, OperatorState, SiteStore, Snapshot,
    StoreVersion, TargetChange, Unreadable, Watched,
};
pub use targets::{ListedTarget, TargetEntry, TargetId, TargetList, TargetListing, TargetState};
pub use wait::{WaitLimit, WaitLimitOptions};
pub use wire::HeaderNames;
