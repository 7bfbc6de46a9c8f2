//! Decisions on requests that go from a gateway straight to their targets.
//!
//! A gateway is an entry on a platform whose targets name themselves: each request carries the id of
//! the target that it is meant for, and another target refuses it. So no agent has to stand between
//! them. All of this crate is pure; the shells are in the `grebedeck` crate, and [`source`] names what
//! they need of a platform.

#![forbid(unsafe_code)]

pub mod answer;
pub mod choice;
pub mod cold;
pub mod coordinator;
pub mod evacuation;
pub mod events;
pub mod feed;
pub mod leaving;
pub mod limit;
pub mod memory;
pub mod outage;
pub mod pacing;
pub mod quota;
pub mod reader;
pub mod refusals;
pub mod relay;
pub mod retry;
pub mod retry_after;
pub mod routes;
pub mod site;
pub mod source;
pub mod targets;
pub mod wait_limit;
pub mod wire;

pub use answer::{RunState, Verdict, judge};
pub use choice::chooser_options;
pub use cold::{ColdLimiter, ColdShare};
pub use coordinator::Coordinators;
pub use evacuation::{Evacuations, HallEvent, HallWord, HallWords};
pub use events::{Event, EventBuffer};
pub use feed::{Feed, FeedState, Fold};
pub use limit::{Limits, Permit};
pub use outage::{Availability, Outage, OutageOptions};
pub use pacing::{Pacing, PacingOptions, PromptLimiter};
pub use quota::{QuotaLedger, QuotaMessage};
pub use refusals::Refusals;
pub use relay::{RelayOptions, Relays, Source};
pub use retry::{WindowedRetryBudget, WindowedRetryOptions};
pub use retry_after::RetryAfter;
pub use routes::{Admitted, Denied, RouteTable};
pub use site::{
    CallerLimits, EngineSpec, Kind, Organisation, RouteRule, ServiceSpec, Site, Weighted,
};
pub use source::{
    GatewayEntry, GatewayInfo, GatewayListing, OperatorChange, OperatorState, SiteStore, Snapshot,
    StoreVersion, TargetChange, Unreadable, Watched,
};
pub use targets::{ListedTarget, TargetEntry, TargetId, TargetList, TargetListing, TargetState};
pub use wait_limit::{WaitLimit, WaitLimitOptions};
pub use wire::HeaderNames;
