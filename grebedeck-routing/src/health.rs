//! Passive health checking: an entry judges its targets by how requests to them end.
//!
//! Consecutive failures eject a target for a time that doubles with each ejection. After that time
//! the target gets one probe request at a time, and its weight grows with each success. If most
//! targets look unhealthy, the fault is more likely at the entry, and the chooser uses all of them.

use std::time::Duration;

use grebedeck_core::Moment;

/// Settings of passive health checking.
#[derive(Clone, Debug)]
pub struct HealthOptions {
    /// Consecutive failures that eject a target.
    pub failures_to_eject: u32,
    /// Duration of the first ejection.
    pub first_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Successes after which a recovering target has its full weight again.
    pub successes_to_restore: u32,
}

impl Default for HealthOptions {
    fn default() -> Self {
        HealthOptions {
            failures_to_eject: 2,
            first_ejection: Duration::from_millis(500),
            max_ejection: Duration::from_secs(10),
            successes_to_restore: 16,
        }
    }
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Moment>,
    successes_since_ejection: u32,
    probe_in_flight: bool,
}

impl Health {
    /// Returns whether the target may get a request now.
    pub fn is_usable(&self, now: Moment) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.probe_in_flight,
        }
    }

    /// Returns the target's weight: 1 if healthy, less while it recovers.
    pub fn weight(&self, options: &HealthOptions) -> f64 {
        if self.ejections == 0 {
            return 1.0;
        }

        let restored = f64::from(self.successes_since_ejection + 1);
        (restored / f64::from(options.successes_to_restore)).min(1.0)
    }

    /// Records that a request was sent, which is a probe if the target is ejected.
    pub fn record_sent(&mut self) {
        if self.ejected_until.is_some() {
            self.probe_in_flight = true;
        }
    }

    /// Records the end of a request that says nothing about the target's health.
    pub fn record_neutral(&mut self) {
        self.probe_in_flight = false;
    }

    /// Records a success.
    pub fn record_success(&mut self, options: &HealthOptions) {
        self.consecutive_failures = 0;
        self.probe_in_flight = false;
        self.ejected_until = None;

        if self.ejections == 0 {
            return;
        }

        self.successes_since_ejection += 1;

        if self.successes_since_ejection >= options.successes_to_restore {
            *self = Health::default();
        }
    }

    /// Records a failure; returns whether it ejected the target.
    pub fn record_failure(&mut self, now: Moment, options: &HealthOptions) -> bool {
        self.consecutive_failures += 1;
        self.successes_since_ejection = 0;

        let was_probe = std::mem::take(&mut self.probe_in_flight);

        if !was_probe && self.consecutive_failures < options.failures_to_eject {
            return false;
        }

        let doublings = self.ejections.min(8);
        let ejection = (options.first_ejection * (1 << doublings)).min(options.max_ejection);
        self.ejections += 1;
        self.ejected_until = Some(now + ejection);
        true
    }
}
