//! Whether a service as a whole is out, and when it may be back.
//!
//! The ranks of a group stop together, and form the group anew together. While they do, each of them
//! refuses requests although it has room, or another start of it answers at its address. Sending every
//! request to one of them tells nothing new, so single trials are made, and callers are told when to come
//! back, or are held where the service is expected back soon.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck_core::{GroupId, Moment};

/// Settings of the judgement.
#[derive(Clone, Copy, Debug)]
pub struct OutageOptions {
    /// Failures in a row, without any success, after which a service is taken for out.
    pub failure_threshold: u32,
    /// How long an outage is expected to last: what engines wait for a lost rank, and what a group needs
    /// to form.
    pub expected_duration: Duration,
    /// What is expected once an outage has lasted longer than that.
    pub overdue_estimate: Duration,
    /// How long the group's own word on whether it is open outweighs what requests show.
    pub report_lifetime: Duration,
    /// Pause between two trials: a few round trips, so that a return is noticed at once.
    pub probe_interval: Duration,
}

/// Whether a service is expected to take requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests, for all that is known.
    Up,
    /// It is expected back after this time.
    Out(Duration),
}

/// What is known of one service.
#[derive(Clone, Debug)]
pub struct Outage {
    options: OutageOptions,
    failures: u32,
    since: Moment,
    tried_at: Option<Moment>,
    /// What each group said last; a service may have several.
    groups: BTreeMap<GroupId, Word>,
}

/// A group's own word on whether it makes passes.
#[derive(Clone, Copy, Debug)]
struct Word {
    /// The newest formation that was told of.
    formation: u64,
    is_open: bool,
    /// How long it is believed, and words of earlier formations are not.
    until: Moment,
}

impl Outage {
    /// Makes the view of a service that nothing is known of; `since` is when an outage would have begun
    /// that is found by the first requests.
    pub fn new(options: OutageOptions, since: Moment) -> Self {
        Outage { options, failures: 0, since, tried_at: None, groups: BTreeMap::new() }
    }

    /// Notes that a target took a request; tells whether that ended an outage.
    pub fn record_success(&mut self, now: Moment) -> bool {
        let was_out = self.is_out();
        self.failures = 0;
        self.since = now;
        self.tried_at = None;

        was_out
    }

    /// Notes that a group of the service says that it makes passes; tells whether that ended an outage.
    /// `formation` counts how often the group has formed.
    pub fn record_open(&mut self, group: GroupId, formation: u64, now: Moment) -> bool {
        self.note_word(group, formation, true, now) && self.is_out() && self.record_success(now)
    }

    /// Notes that a target with room took no request; tells whether the service is out since then. While
    /// the group itself says that it is open, failures are those of single targets or connections.
    pub fn record_failure(&mut self, now: Moment) -> bool {
        if self.has_group(true, now) {
            return false;
        }

        self.record_refusal()
    }

    /// Notes that a target with room refused a request; tells whether the service is out since then. A
    /// group whose ranks are gone says that it is open until it has given them up, and refuses already.
    pub fn record_refusal(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);

        self.failures == self.options.failure_threshold
    }

    /// Notes that a group of the service says that it makes no passes; tells whether the service is out
    /// since then, as no other group is open. A rank that has not yet noticed the newest formation is late,
    /// not closed.
    pub fn record_closed(&mut self, group: GroupId, formation: u64, now: Moment) -> bool {
        if !self.note_word(group, formation, false, now) || self.has_group(true, now) {
            return false;
        }

        let was_out = self.is_out();
        self.failures = self.failures.max(self.options.failure_threshold);

        !was_out
    }

    /// Tells whether a group has said lately that it makes no passes.
    pub fn is_closed(&self, group: GroupId, now: Moment) -> bool {
        self.groups.get(&group).is_some_and(|word| !word.is_open && now < word.until)
    }

    fn has_group(&self, is_open: bool, now: Moment) -> bool {
        self.groups.values().any(|word| word.is_open == is_open && now < word.until)
    }

    /// Gets whether the service is expected to take requests.
    pub fn availability(&self, now: Moment) -> Availability {
        if !self.is_out() {
            return Availability::Up;
        }

        let expected_at = self.since + self.options.expected_duration;

        match expected_at.checked_sub(now) {
            Some(left) if !left.is_zero() => Availability::Out(left),
            _ => Availability::Out(self.options.overdue_estimate),
        }
    }

    /// Tells whether the service has been out for longer than outages are expected to last.
    pub fn is_overdue(&self, now: Moment) -> bool {
        self.is_out() && now >= self.since + self.options.expected_duration
    }

    /// Tells whether a single request may be sent to find out whether the service is back, and notes it.
    /// While the group itself says that it is closed, each would only be refused.
    pub fn try_probe(&mut self, now: Moment) -> bool {
        if self.has_group(false, now) && !self.has_group(true, now) {
            return false;
        }

        let is_due = self.tried_at.is_none_or(|at| now >= at + self.options.probe_interval);

        if is_due {
            self.tried_at = Some(now);
        }

        is_due
    }

    /// Notes a group's word; tells whether it counts, as no newer formation was told of lately. Where nobody
    /// tells of the newer one any more, the group may have begun to count anew.
    fn note_word(&mut self, group: GroupId, formation: u64, is_open: bool, now: Moment) -> bool {
        let before = self.groups.get(&group);

        if before.is_some_and(|word| formation < word.formation && now < word.until) {
            return false;
        }

        let until = now + self.options.report_lifetime;
        self.groups.insert(group, Word { formation, is_open, until });
        true
    }

    fn is_out(&self) -> bool {
        self.failures >= self.options.failure_threshold
    }
}
