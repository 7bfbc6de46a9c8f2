//! Detection of outages of a whole service, and when it may be back.
//!
//! The ranks of a group stop together and form the group again together. Meanwhile each of them
//! refuses requests although it has free slots, or another start of it answers at its address.
//! Sending every request to one of them yields no new information, so single probes are sent.
//! Callers are told when to retry, or are held if the service is expected back soon.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck_core::{GroupId, Moment};

/// Settings of the outage detection.
#[derive(Clone, Copy, Debug)]
pub struct OutageOptions {
    /// Consecutive failures after which a service counts as out.
    pub failure_threshold: u32,
    /// Expected length of an outage: the time for which engines wait for a lost rank, plus the time
    /// that a group takes to form.
    pub expected_duration: Duration,
    /// Estimated remaining time once an outage has lasted longer than expected.
    pub overdue_estimate: Duration,
    /// How long a group's own report on whether it is open takes precedence over the outcomes of
    /// requests.
    pub report_lifetime: Duration,
    /// Interval between probes: a few round trips, so that a recovery is noticed at once.
    pub probe_interval: Duration,
}

/// Whether a service is expected to accept requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Accepting requests, as far as is known.
    Up,
    /// Out; expected back after this time.
    Out(Duration),
}

/// Outage state of one service.
#[derive(Clone, Debug)]
pub struct Outage {
    options: OutageOptions,
    failures: u32,
    since: Moment,
    probed_at: Option<Moment>,
    /// Latest report of each group; a service may have several.
    groups: BTreeMap<GroupId, GroupReport>,
}

/// A group's own report on whether it is open, that is, runs forward passes.
#[derive(Clone, Copy, Debug)]
struct GroupReport {
    /// Latest epoch of the group that was reported.
    epoch: u64,
    is_open: bool,
    /// Until when the report is valid and reports of earlier epochs are ignored.
    expires_at: Moment,
}

impl Outage {
    /// Creates the state of a service without any observations. If the first requests find an
    /// outage, it counts as having begun at `since`.
    pub fn new(options: OutageOptions, since: Moment) -> Self {
        Outage { options, failures: 0, since, probed_at: None, groups: BTreeMap::new() }
    }

    /// Records that a target accepted a request; returns whether that ended an outage.
    pub fn record_success(&mut self, now: Moment) -> bool {
        let was_out = self.is_out();
        self.failures = 0;
        self.since = now;
        self.probed_at = None;

        was_out
    }

    /// Records a group's report that it is open; returns whether that ended an outage. `epoch`
    /// counts how often the group has formed.
    pub fn record_open(&mut self, group: GroupId, epoch: u64, now: Moment) -> bool {
        self.store_report(group, epoch, true, now) && self.is_out() && self.record_success(now)
    }

    /// Records a failed request to a target with free slots; returns whether that started an
    /// outage. While the group itself reports that it is open, failures are those of single targets
    /// or connections and do not count.
    pub fn record_failure(&mut self, now: Moment) -> bool {
        if self.has_reporting_group(true, now) {
            return false;
        }

        self.record_refusal()
    }

    /// Records a refusal by a target with free slots; returns whether that started an outage. This
    /// counts while the group reports that it is open, as a group whose ranks are gone does so
    /// until it has given them up, and already refuses requests.
    pub fn record_refusal(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);

        self.failures == self.options.failure_threshold
    }

    /// Records a group's report that it is closed; returns whether that started an outage, as no
    /// other group is open. A report of an older epoch comes from a rank that has not yet
    /// noticed the newest one, and does not count.
    pub fn record_closed(&mut self, group: GroupId, epoch: u64, now: Moment) -> bool {
        if !self.store_report(group, epoch, false, now) || self.has_reporting_group(true, now) {
            return false;
        }

        let was_out = self.is_out();
        self.failures = self.failures.max(self.options.failure_threshold);

        !was_out
    }

    /// Whether a group's current report is that it is closed.
    pub fn is_closed(&self, group: GroupId, now: Moment) -> bool {
        self.groups.get(&group).is_some_and(|report| !report.is_open && now < report.expires_at)
    }

    fn has_reporting_group(&self, is_open: bool, now: Moment) -> bool {
        self.groups.values().any(|report| report.is_open == is_open && now < report.expires_at)
    }

    /// Whether the service is expected to accept requests, and otherwise when.
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

    /// Whether the service has been out for longer than outages are expected to last.
    pub fn is_overdue(&self, now: Moment) -> bool {
        self.is_out() && now >= self.since + self.options.expected_duration
    }

    /// Whether a single request may be sent now to probe whether the service is back; records the
    /// probe if so. While the group itself reports that it is closed, a probe would only be
    /// refused.
    pub fn try_probe(&mut self, now: Moment) -> bool {
        if self.has_reporting_group(false, now) && !self.has_reporting_group(true, now) {
            return false;
        }

        let is_due = self.probed_at.is_none_or(|at| now >= at + self.options.probe_interval);

        if is_due {
            self.probed_at = Some(now);
        }

        is_due
    }

    /// Stores a group's report; returns whether it counts. A report of an older epoch does not,
    /// unless the report of the newer one has expired: the group may then have begun to count anew.
    fn store_report(&mut self, group: GroupId, epoch: u64, is_open: bool, now: Moment) -> bool {
        let before = self.groups.get(&group);

        if before.is_some_and(|report| epoch < report.epoch && now < report.expires_at) {
            return false;
        }

        let expires_at = now + self.options.report_lifetime;
        self.groups.insert(group, GroupReport { epoch, is_open, expires_at });
        true
    }

    fn is_out(&self) -> bool {
        self.failures >= self.options.failure_threshold
    }
}
