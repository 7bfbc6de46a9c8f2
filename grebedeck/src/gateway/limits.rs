//! Limits that targets name for the requests of all gateways together.

use grebedeck_core::Moment;
use grebedeck_gateway::limit::{LimitChange, named_limit};
use grebedeck_gateway::{TargetEntry, Verdict};
use grebedeck_http::ResponseHead;
use grebedeck_kernel::log;
use serde_json::json;

use super::service::Gateway;

/// Lines a second on limits of targets: each of some tens of targets begins and ends one, and a target that changes its
/// limit with each answer would write a line for each.
pub const LIMIT_LINES_PER_S: f64 = 20.0;

impl Gateway {
    /// Takes in what the head of an answer says of the target's limit.
    pub(super) fn note_limit(
        &self,
        target: &TargetEntry,
        head: &ResponseHead,
        verdict: Verdict,
        sent_at: Moment,
    ) {
        if self.is_earlier_start(target) {
            return;
        }

        let named = named_limit(head.headers.all(self.names.limit));
        let is_good = verdict == Verdict::Pass && head.is_success();
        let now = self.now();
        let change = self.limits.borrow_mut().heard(target, named, is_good, sent_at, now);

        self.log_limit(target, change, "target");
    }

    fn log_limit(&self, target: &TargetEntry, change: LimitChange, from: &str) {
        let (word, per_s) = match change {
            LimitChange::None => return,
            LimitChange::Set(per_s) => ("set", per_s),
            LimitChange::Ended => ("ended", 0.0),
            LimitChange::Unreadable => ("unreadable", 0.0),
        };
        self.counters.limits.add(word);

        if let Some(left_out) = self.limit_lines.borrow_mut().take_line(self.now()) {
            let target = target.id.as_str();
            log::info!("target's limit", kv: { target, change = word, per_s, from, left_out });
        }
    }

    /// Gets a target's limit for a dump, where it has one.
    pub(super) fn limit_dump(&self, target: &TargetEntry, now: Moment) -> serde_json::Value {
        let view = self.limits.borrow().view(target);

        view.map_or(serde_json::Value::Null, |limit| {
            json!({
                "per_s": limit.per_s, "for_ms": (now - limit.since).as_millis() as u64,
                "sent": limit.sent,
            })
        })
    }

    /// Notes that a request is sent to a target, which may have a limit.
    pub(super) fn note_sent_limited(&self, target: &TargetEntry) {
        if self.limits.borrow_mut().sent(target) {
            self.counters.limits.add("sent");
        }
    }
}
