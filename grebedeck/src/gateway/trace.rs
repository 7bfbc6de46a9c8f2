//! The decisions on one request, kept until it ends and logged if it ended badly.
//!
//! Logging each decision of each request would cost more than the requests themselves. So they are kept
//! in memory, and written out, one line each, for requests that failed or were late, and for one in some
//! hundred of the others. Under load only so many traces are written in a second; how many were left
//! out is logged and counted.

use std::cell::RefCell;
use std::time::Duration;

use grebedeck_admission::Urgency;
use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::{Denied, RunState};
use grebedeck_kernel::log;
use grebedeck_routing::Fingerprint;
use grebedeck_routing::fingerprint::to_hex;

use super::place::NoSlot;
use super::tried::AttemptFailure;
use super::writer::WriteOutcome;
use crate::random::ProcessRandom;

/// One in so many requests that ended well is logged, as a sample of what is usual.
const SAMPLE_ONE_IN: usize = 200;
/// Stories that are logged in a second at the most.
pub const TRACES_PER_S: f64 = 20.0;
/// Most decisions that are kept of one request; more than attempts and waits ever make.
const MAX_DECISIONS: usize = 24;

/// A decision on a request, with what decided it.
#[derive(Clone, Debug)]
pub enum Decision {
    /// It was allowed.
    Admitted {
        /// The route.
        route: String,
        /// The service that was drawn.
        service: String,
        /// The version of the configuration.
        version: u64,
        /// Time that is left to it.
        left: Duration,
    },
    /// The configuration does not allow it.
    Denied {
        /// Why.
        reason: Denied,
        /// The version of the configuration.
        version: u64,
    },
    /// A target was chosen.
    Chosen {
        /// The target.
        target: String,
        /// Requests that it is expected to have.
        load: f64,
        /// Requests that it works on at the same time.
        slots: f64,
        /// Age of what the target said of its load, if it did.
        load_age: Option<Duration>,
        /// Load that is allowed, in requests for each place.
        allowed: f64,
        /// The last event that the caller has, where a stream goes on.
        last_event_id: Option<u64>,
    },
    /// It got in line for a place.
    Queued {
        /// Its urgency.
        urgency: Urgency,
        /// Those who go before it, as far as that could be known.
        ahead: usize,
    },
    /// There was no place.
    NoSlot {
        /// Why.
        reason: NoSlot,
        /// Mean load of the service's targets, in requests for each place.
        load: f64,
        /// Load that is allowed, in requests for each place.
        allowed: f64,
        /// Mean pause between events, if streams were seen lately.
        pause: Option<Duration>,
        /// Urgency of the request.
        urgency: Urgency,
        /// Targets that take work.
        targets: usize,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The target.
        target: String,
        /// What went wrong.
        failure: AttemptFailure,
    },
    /// The target answered with its own failure.
    TargetFailed {
        /// The target.
        target: String,
        /// The status.
        status: u16,
    },
    /// A stream broke.
    StreamBroke {
        /// The target.
        target: String,
        /// The last event that the caller has.
        last_event_id: Option<u64>,
    },
    /// A stream goes on at another target, as this one is slow.
    StreamMoved {
        /// The target.
        target: String,
        /// The last event that the caller has.
        last_event_id: Option<u64>,
    },
    /// A stream came slower than its route wants.
    StreamSlow {
        /// Time until the first event.
        first_event: Duration,
        /// Longest pause between two events.
        longest_pause: Duration,
        /// When the longest pause ended, since the request arrived.
        pause_ended: Duration,
    },
    /// The caller takes nothing of what is written to it.
    AnswerUnread {
        /// How it ended.
        written: WriteOutcome,
        /// The last event that the caller has.
        last_event_id: Option<u64>,
    },
    /// It ran on a target when the connection broke, which may have been the target's crash.
    Suspected {
        /// The target.
        target: String,
        /// What the request has in common with its caller's other tries.
        fingerprint: Fingerprint,
        /// Crashes that spoke against it before.
        crashes: usize,
    },
    /// Another attempt was not made.
    NotRetried {
        /// Why.
        reason: &'static str,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got a target's answer.
    Answered(u16),
    /// The caller got this process's own answer.
    Local(u16),
    /// The stream was cut.
    Truncated,
    /// The caller has gone.
    CallerGone,
    /// The caller takes nothing of its answer.
    CallerStalled,
}

impl Outcome {
    /// Gets a short word for logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            Outcome::Answered(200..300) => "served",
            Outcome::Answered(_) => "target_failed",
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
        !matches!(self, Outcome::Answered(200..300) | Outcome::CallerGone)
    }

    fn status(self) -> u16 {
        match self {
            Outcome::Answered(status) | Outcome::Local(status) => status,
            Outcome::Truncated | Outcome::CallerGone | Outcome::CallerStalled => 0,
        }
    }
}

/// The decisions on one request.
pub struct Trace {
    id: String,
    started_at: Moment,
    decisions: RefCell<Vec<(Moment, Decision)>>,
}

impl Trace {
    /// Begins a request's trace.
    pub fn new(id: &str, started_at: Moment) -> Self {
        Trace { id: id.to_string(), started_at, decisions: RefCell::default() }
    }

    /// Adds a decision.
    pub fn add(&self, now: Moment, decision: Decision) {
        let mut decisions = self.decisions.borrow_mut();

        if decisions.len() < MAX_DECISIONS {
            decisions.push((now, decision));
        }
    }

    /// Tells whether the trace of a request that ended so is to be logged, if there is room.
    pub fn should_log(&self, end: Outcome, is_late: bool) -> bool {
        end.is_bad() || is_late || ProcessRandom::default().below(SAMPLE_ONE_IN) == 0
    }

    /// Logs all decisions and the end.
    pub fn log(&self, end: Outcome, now: Moment) {
        for (at, decision) in self.decisions.borrow().iter() {
            self.log_decision(self.offset_ms(*at), decision);
        }

        log::info!("request ended", kv: {
            request = self.id.as_str(),
            at_ms = self.offset_ms(now),
            end = end.word(),
            status = end.status(),
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
                log::info!("in line", kv: {
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
                    asked_rest_ms = optional_ms(refusal.and_then(|r| r.asked)),
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
            Decision::AnswerUnread { written, last_event_id } => {
                log::info!("answer unread", kv: {
                    request, at_ms,
                    why = written.word(),
                    last_event_id = optional(*last_event_id),
                });
            }
            Decision::Suspected { target, fingerprint, crashes } => {
                log::info!("suspected", kv: {
                    request, at_ms,
                    target = target.as_str(),
                    fingerprint = to_hex(*fingerprint),
                    crashes = *crashes,
                });
            }
            Decision::NotRetried { reason } => {
                log::info!("not repeated", kv: { request, at_ms, reason = *reason });
            }
        }
    }
}

/// Gets a number that a log line can hold; what is not known is told as -1.
fn optional(number: Option<u64>) -> i64 {
    number.and_then(|n| i64::try_from(n).ok()).unwrap_or(-1)
}

fn optional_ms(time: Option<Duration>) -> i64 {
    optional(time.map(|t| t.as_millis() as u64))
}

/// Rounds to hundredths, and an unlimited number to -1, which JSON can hold.
fn rounded(number: f64) -> f64 {
    if number.is_finite() { (number * 100.0).round() / 100.0 } else { -1.0 }
}
