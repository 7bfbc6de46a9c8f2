//! Decisions on one request, kept until it ends and logged if it ended badly.
//!
//! Logging each decision of each request would cost more than serving the requests. Decisions are
//! therefore kept in memory and logged, one line each, for requests that failed or were late and
//! for a sample of the others. The number of traces logged per second is limited; the number left
//! out is logged and counted.

use std::cell::RefCell;
use std::time::Duration;

use grebedeck_admission::Urgency;
use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::{Denied, RunState};
use grebedeck_kernel::log;
use grebedeck_routing::Fingerprint;
use grebedeck_routing::fingerprint::to_hex;

use super::history::AttemptFailure;
use super::slot::NoSlot;
use super::writer::WriteOutcome;
use crate::random::ProcessRandom;

/// Requests that ended well per logged sample.
const SAMPLE_ONE_IN: usize = 200;
/// Most traces logged per second.
pub const TRACES_PER_S: f64 = 20.0;
/// Most decisions kept per request; more than its attempts and waits make.
const MAX_DECISIONS: usize = 24;

/// Maximum number of parts of a prompt per log line.
const MAX_LOGGED_PARTS: usize = 8;

/// A decision on a request, with the values that led to it.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The request was allowed.
    Admitted {
        /// Route.
        route: String,
        /// Service that was drawn.
        service: String,
        /// Version of the configuration.
        version: u64,
        /// Time until the deadline.
        left: Duration,
    },
    /// The configuration does not allow the request.
    Denied {
        /// Reason.
        reason: Denied,
        /// Version of the configuration.
        version: u64,
    },
    /// A target was chosen.
    Chosen {
        /// Target.
        target: String,
        /// Requests expected to be in flight on the target.
        load: f64,
        /// Requests that the target executes at the same time.
        slots: f64,
        /// Age of the target's load report, if there is one.
        load_age: Option<Duration>,
        /// Allowed load, in requests per slot.
        allowed: f64,
        /// Last event that the caller has, if a stream is resumed.
        last_event_id: Option<u64>,
    },
    /// The request was queued for a slot.
    Queued {
        /// Urgency of the request.
        urgency: Urgency,
        /// Requests ahead of it, as far as known.
        ahead: usize,
    },
    /// There was no slot.
    NoSlot {
        /// Reason.
        reason: NoSlot,
        /// Mean load of the service's targets, in requests per slot.
        load: f64,
        /// Allowed load, in requests per slot.
        allowed: f64,
        /// Mean pause between events, if streams were observed lately.
        pause: Option<Duration>,
        /// Urgency of the request.
        urgency: Urgency,
        /// Targets that accept work.
        targets: usize,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Target.
        target: String,
        /// The failure.
        failure: AttemptFailure,
    },
    /// The target responded with a failure of its own.
    TargetFailed {
        /// Target.
        target: String,
        /// HTTP status.
        status: u16,
    },
    /// A stream broke.
    StreamBroke {
        /// Target.
        target: String,
        /// Last event that the caller has.
        last_event_id: Option<u64>,
    },
    /// A stream moves to another target because this one is slow.
    StreamMoved {
        /// The slow target.
        target: String,
        /// Last event that the caller has.
        last_event_id: Option<u64>,
    },
    /// A stream was slower than its route's objective or pause limit.
    StreamSlow {
        /// Time to the first event.
        first_event: Duration,
        /// Longest pause between two events.
        longest_pause: Duration,
        /// Time from the request's arrival to the end of the longest pause.
        pause_ended: Duration,
    },
    /// The caller does not read the response.
    ResponseUnread {
        /// How writing ended.
        written: WriteOutcome,
        /// Last event that the caller has.
        last_event_id: Option<u64>,
    },
    /// The request ran on a target when the connection broke, possibly as the target crashed.
    Suspected {
        /// Target.
        target: String,
        /// Fingerprint that the request shares with its caller's retries.
        fingerprint: Fingerprint,
        /// Earlier crashes attributed to the fingerprint.
        crashes: usize,
        /// Ids of the parts of its prompt that it shares with other requests.
        part_ids: Vec<String>,
    },
    /// The request was not sent because it, or a part of its prompt, is suspected to crash targets.
    Held {
        /// Fingerprint of the request or the part.
        fingerprint: Fingerprint,
        /// Id of the part, if it is one.
        part_id: Option<String>,
        /// Number of crashes attributed to it.
        crashes: usize,
        /// Whether it is in quarantine.
        is_quarantined: bool,
    },
    /// The request may be retried.
    RetryAuthorized {
        /// Retries left in the service's budget.
        retries_left: f64,
        /// Gateways that share the budget, as far as known.
        gateways: usize,
    },
    /// The request was not retried.
    NotRetried {
        /// Reason.
        reason: &'static str,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got a target's response with this status.
    FromTarget(u16),
    /// The caller got a response of the gateway itself with this status.
    Local(u16),
    /// The stream was truncated.
    Truncated,
    /// The caller has left.
    CallerGone,
    /// The caller did not read the response.
    CallerStalled,
}

impl Outcome {
    /// Label in logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            Outcome::FromTarget(200..300) => "served",
            Outcome::FromTarget(_) => "target_failed",
            Outcome::Local(401 | 404) => "denied",
            Outcome::Local(503) => "refused",
            Outcome::Local(504) => "timed_out",
            Outcome::Local(_) => "failed",
            Outcome::Truncated => "cut",
            Outcome::CallerGone => "caller_gone",
            Outcome::CallerStalled => "caller_stalled",
        }
    }

    fn is_bad(self) -> bool {
        !matches!(self, Outcome::FromTarget(200..300) | Outcome::CallerGone)
    }

    fn status(self) -> u16 {
        match self {
            Outcome::FromTarget(status) | Outcome::Local(status) => status,
            Outcome::Truncated | Outcome::CallerGone | Outcome::CallerStalled => 0,
        }
    }
}

/// Decisions on one request.
pub struct Trace {
    id: String,
    started_at: Moment,
    decisions: RefCell<Vec<(Moment, Decision)>>,
}

impl Trace {
    /// Starts the trace of a request.
    pub fn new(id: &str, started_at: Moment) -> Self {
        Trace { id: id.to_string(), started_at, decisions: RefCell::default() }
    }

    /// Records a decision.
    pub fn add(&self, now: Moment, decision: Decision) {
        let mut decisions = self.decisions.borrow_mut();

        if decisions.len() < MAX_DECISIONS {
            decisions.push((now, decision));
        }
    }

    /// Whether the trace of a request with this outcome should be logged, subject to the rate
    /// limit.
    pub fn should_log(&self, outcome: Outcome, is_late: bool) -> bool {
        outcome.is_bad() || is_late || ProcessRandom::default().below(SAMPLE_ONE_IN) == 0
    }

    /// Logs all decisions and the outcome.
    pub fn log(&self, outcome: Outcome, now: Moment) {
        for (at, decision) in self.decisions.borrow().iter() {
            self.log_decision(self.offset_ms(*at), decision);
        }

        log::info!("request ended", kv: {
            request = self.id.as_str(),
            at_ms = self.offset_ms(now),
            end = outcome.word(),
            status = outcome.status(),
        });
    }

    fn offset_ms(&self, at: Moment) -> u64 {
        at.saturating_sub(self.started_at).as_millis() as u64
    }

    fn log_decision(&self, at_ms: u64, decision: &Decision) {
        let request = self.id.as_str();

        match decision {
            Decision::Admitted { route, service, version, left } => {
                log::info!("request admitted", kv: {
                    request, at_ms,
                    route = route.as_str(),
                    service = service.as_str(),
                    config_version = *version,
                    left_ms = left.as_millis() as u64,
                });
            }
            Decision::Denied { reason, version } => {
                log::info!("request denied", kv: {
                    request, at_ms, reason = reason.label(), config_version = *version,
                });
            }
            Decision::Chosen { target, load, slots, load_age, allowed, last_event_id } => {
                log::info!("target chosen", kv: {
                    request, at_ms,
                    target = target.as_str(),
                    load = *load,
                    places = *slots,
                    load_age_ms = optional_ms(*load_age),
                    allowed_load = rounded(*allowed),
                    last_event_id = optional(*last_event_id),
                });
            }
            Decision::Queued { urgency, ahead } => {
                log::info!("request queued", kv: {
                    request, at_ms, urgency = urgency.1, key_urgency = urgency.0, ahead = *ahead,
                });
            }
            Decision::NoSlot { reason, load, allowed, pause, urgency, targets } => {
                log::info!("no place", kv: {
                    request, at_ms,
                    reason = reason.word(),
                    load = rounded(*load),
                    allowed_load = rounded(*allowed),
                    pause_ms = optional_ms(*pause),
                    urgency = urgency.1,
                    key_urgency = urgency.0,
                    targets = *targets,
                });
            }
            Decision::AttemptFailed { target, failure } => {
                let refusal = failure.refusal;
                log::info!("attempt failed", kv: {
                    request, at_ms,
                    target = target.as_str(),
                    cause = failure.cause.word(),
                    may_have_run = failure.run == RunState::MayHaveRun,
                    status = optional(refusal.map(|r| r.status.into())),
                    asked_rest_ms = optional_ms(refusal.and_then(|r| r.requested_delay)),
                });
            }
            Decision::TargetFailed { target, status } => {
                log::info!("target failed", kv: {
                    request, at_ms, target = target.as_str(), status = *status,
                });
            }
            Decision::StreamBroke { target, last_event_id } => {
                log::info!("stream broke", kv: {
                    request, at_ms,
                    target = target.as_str(),
                    last_event_id = optional(*last_event_id),
                });
            }
            Decision::StreamMoved { target, last_event_id } => {
                log::info!("stream moved", kv: {
                    request, at_ms,
                    target = target.as_str(),
                    last_event_id = optional(*last_event_id),
                });
            }
            Decision::StreamSlow { first_event, longest_pause, pause_ended } => {
                log::info!("stream slow", kv: {
                    request, at_ms,
                    first_event_ms = first_event.as_millis() as u64,
                    longest_pause_ms = longest_pause.as_millis() as u64,
                    pause_ended_ms = pause_ended.as_millis() as u64,
                });
            }
            Decision::ResponseUnread { written, last_event_id } => {
                log::info!("answer unread", kv: {
                    request, at_ms,
                    why = written.word(),
                    last_event_id = optional(*last_event_id),
                });
            }
            Decision::Suspected { target, fingerprint, crashes, part_ids } => {
                log::info!("suspected", kv: {
                    request, at_ms,
                    target = target.as_str(),
                    fingerprint = to_hex(*fingerprint),
                    crashes = *crashes,
                    parts = logged_ids(part_ids),
                });
            }
            Decision::Held { fingerprint, part_id, crashes, is_quarantined } => {
                log::info!("held", kv: {
                    request, at_ms,
                    fingerprint = to_hex(*fingerprint),
                    part = part_id.as_deref().unwrap_or("-"),
                    crashes = *crashes,
                    quarantined = *is_quarantined,
                });
            }
            Decision::RetryAuthorized { retries_left, gateways } => {
                log::info!("retry authorized", kv: {
                    request, at_ms, retries_left = *retries_left, gateways = *gateways,
                });
            }
            Decision::NotRetried { reason } => {
                log::info!("not repeated", kv: { request, at_ms, reason = *reason });
            }
        }
    }
}

/// The first ids of a list, for a log line of bounded length.
fn logged_ids(ids: &[String]) -> String {
    ids[..ids.len().min(MAX_LOGGED_PARTS)].join(",")
}

/// Number for a log line; -1 if it is unknown.
fn optional(number: Option<u64>) -> i64 {
    number.and_then(|n| i64::try_from(n).ok()).unwrap_or(-1)
}

fn optional_ms(time: Option<Duration>) -> i64 {
    optional(time.map(|t| t.as_millis() as u64))
}

/// Rounds to hundredths; an unlimited value becomes -1, as JSON has no infinity.
fn rounded(number: f64) -> f64 {
    if number.is_finite() { (number * 100.0).round() / 100.0 } else { -1.0 }
}
