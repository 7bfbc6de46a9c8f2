//! Health of targets as an entry sees it, from what requests themselves show.
//!
//! Failures in a row put a target aside for a while that doubles each time. When the while is over
//! it gets single trial requests, and its weight grows with each success. If most targets look
//! bad, the fault is more likely on this side, and all of them are used.

use std::time::Duration;

use grebedeck_core::Moment;

/// Settings of the health view.
#[derive(Clone, Debug)]
pub struct HealthOptions {
    /// Failures in a row that put a target aside.
    pub failures_to_eject: u32,
    /// First time aside.
    pub first_ejection: Duration,
    /// Longest time aside.
    pub max_ejection: Duration,
    /// Successes after which a target that came back has its full weight.
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
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<Moment>,
    successes_since: u32,
    trial_in_flight: bool,
}

impl Health {
    /// Tells whether the target may get a request now.
    pub fn is_usable(&self, now: Moment) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.trial_in_flight,
        }
    }

    /// Gets the target's weight: 1 in good health, less while it comes back.
    pub fn weight(&self, options: &HealthOptions) -> f64 {
        if self.ejections == 0 {
            return 1.0;
        }

        let restored = f64::from(self.successes_since + 1);
        (restored / f64::from(options.successes_to_restore)).min(1.0)
    }

    /// Notes that a request was sent.
    pub fn record_sent(&mut self) {
        if self.ejected_until.is_some() {
            self.trial_in_flight = true;
        }
    }

    /// Notes that a request ended without a verdict on the target's health.
    pub fn record_neutral(&mut self) {
        self.trial_in_flight = false;
    }

    /// Notes a success.
    pub fn record_success(&mut self, options: &HealthOptions) {
        self.failures_in_row = 0;
        self.trial_in_flight = false;
        self.ejected_until = None;

        if self.ejections == 0 {
            return;
        }

        self.successes_since += 1;

        if self.successes_since >= options.successes_to_restore {
            *self = Health::default();
        }
    }

    /// Notes a failure; tells whether the target was put aside by it.
    pub fn record_failure(&mut self, now: Moment, options: &HealthOptions) -> bool {
        self.failures_in_row += 1;
        self.successes_since = 0;

        let was_trial = std::mem::take(&mut self.trial_in_flight);

        if !was_trial && self.failures_in_row < options.failures_to_eject {
            return false;
        }

        let doublings = self.ejections.min(8);
        let aside = (options.first_ejection * (1 << doublings)).min(options.max_ejection);
        self.ejections += 1;
        self.ejected_until = Some(now + aside);
        true
    }
}
