//! Retry budgets of the services, and the permits of single retries.
//!
//! The decisions are those of [`SharedRetryBudget`]. This module asks it, counts and logs what
//! it decides, and tracks each retry from its authorization until its target has responded or it is
//! given up.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use grebedeck_core::{Moment, ServiceName};
use grebedeck_gateway::{RetryShare, SharedRetryBudget, answer};
use grebedeck_kernel::log;
use serde_json::json;

use super::history::AttemptHistory;
use super::options::MIN_ATTEMPT_TIME;
use super::request::RoutedRequest;
use super::service::Gateway;
use super::trace::Decision;

/// Retry budgets of a gateway.
#[derive(Default)]
pub struct RetryState {
    services: RefCell<HashMap<ServiceName, ServiceBudget>>,
}

/// Budget of one service, with the current series of denials.
struct ServiceBudget {
    budget: SharedRetryBudget,
    denials: Option<DenialSeries>,
}

/// Denials that follow each other within the budget's window.
#[derive(Clone, Copy, Debug)]
struct DenialSeries {
    from: Moment,
    last_at: Moment,
    count: u64,
}

/// Permit for one retry, until its target has responded or it is given up. One that was not sent
/// goes back to the budget.
pub struct RetryPermit {
    gateway: Rc<Gateway>,
    service: ServiceName,
    acquired_at: Moment,
    is_sent: Cell<bool>,
}

impl RetryPermit {
    /// Records that the retry is being written to a target.
    pub fn record_sent(&self) {
        if self.is_sent.replace(true) {
            return;
        }

        let counters = &self.gateway.counters;
        counters.retry_delays.record(self.gateway.now() - self.acquired_at, "sent");
        counters.retry_budgets.add_for_service("sent", &self.service);
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        let now = self.gateway.now();

        if self.is_sent.get() {
            return self.gateway.with_retry_budget(&self.service, |state| state.budget.settle(now));
        }

        let counters = &self.gateway.counters;
        counters.retry_delays.record(now - self.acquired_at, "not_sent");
        counters.retry_budgets.add_for_service("not_sent", &self.service);
        self.gateway.with_retry_budget(&self.service, |state| state.budget.release());
    }
}

impl Gateway {
    /// Counts a request, at its first attempt, in the retry budget of its service.
    pub fn record_first_attempt(&self, service: &str) {
        let now = self.now();

        self.counters.retry_budgets.add_for_service("request", service);
        self.with_retry_budget(service, |state| state.budget.record_request(now));
    }

    /// Authorizes a retry on another target, with a permit from the budget, if the request may be
    /// retried.
    pub fn authorize_retry(
        self: &Rc<Self>,
        request: &RoutedRequest,
        history: &AttemptHistory,
    ) -> Option<RetryPermit> {
        let rule = &request.admitted.rule;
        let now = self.now();
        let service = &request.service;
        let denial = if !answer::may_retry(rule.kind, history.run_state()) {
            Some("may have run")
        } else if history.targets().len() >= rule.max_targets as usize {
            Some("sent often enough")
        } else if request.deadline <= now + MIN_ATTEMPT_TIME {
            Some("no time left")
        } else if !self.try_acquire_retry(service) {
            Some("no budget left")
        } else {
            None
        };

        self.counters.retries.add(denial.unwrap_or("allowed"));
        let decision = match denial {
            Some(reason) => Decision::NotRetried { reason },
            None => Decision::RetryAuthorized {
                retries_left: self.retries_left(service),
                gateways: self.gateway_count(),
            },
        };
        request.trace.add(now, decision);

        denial.is_none().then(|| RetryPermit {
            gateway: self.clone(),
            service: service.clone(),
            acquired_at: now,
            is_sent: Cell::new(false),
        })
    }

    /// State of the retry budgets as JSON.
    pub(super) fn retry_budgets_dump(&self) -> serde_json::Value {
        let now = self.now();
        let services = self.retries.services.borrow();
        let budgets = services.iter().map(|(service, state)| {
            let usage = state.budget.usage(now);
            json!({
                "service": service, "requests": usage.requests, "retries": usage.retries,
                "pending": usage.pending, "available": usage.available,
                "allowance": self.retry_share().allowance, "gateways": self.gateway_count(),
            })
        });

        budgets.collect()
    }

    /// Takes one retry from a service's budget; returns whether one was left.
    fn try_acquire_retry(&self, service: &str) -> bool {
        let now = self.now();
        let gateways = self.gateway_count();
        let window = Duration::from_secs_f64(self.settings().retry.window_s);
        let is_acquired = self.with_retry_budget(service, |state| {
            let is_acquired = state.budget.try_acquire(now);

            if is_acquired {
                state.end_denials(service, window, now);
            } else {
                state.record_denial(service, gateways, now);
            }

            is_acquired
        });
        let kind = if is_acquired { "authorized" } else { "denied" };
        self.counters.retry_budgets.add_for_service(kind, service);

        is_acquired
    }

    fn retries_left(&self, service: &str) -> f64 {
        let now = self.now();

        self.with_retry_budget(service, |state| state.budget.usage(now).available)
    }

    /// This gateway's part of the budget of any service. Without a share, the whole allowance is
    /// left to the other gateways.
    fn retry_share(&self) -> RetryShare {
        let retry = self.settings().retry;
        let all = RetryShare {
            window: Duration::from_secs_f64(retry.window_s),
            ratio: retry.ratio,
            allowance: retry.allowance,
        };

        if self.has_share(retry.gateways) {
            all.divide(self.gateway_count(), retry.gateways)
        } else {
            all.without_allowance()
        }
    }

    fn with_retry_budget<T>(&self, service: &str, act: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let own = self.retry_share();
        let now = self.now();
        let mut services = self.retries.services.borrow_mut();

        if let Some(state) = services.get_mut(service) {
            state.budget.set_share(own, now);
            return act(state);
        }

        log::info!("retry budget opened", kv: {
            service, ratio = own.ratio, allowance = own.allowance,
            gateways = self.gateway_count(),
            uptime_ms = now.as_millis() as u64,
        });
        let budget = if self.may_have_earlier_start(own.window) {
            // The clock starts with the process.
            SharedRetryBudget::new(own, Moment::ZERO)
        } else {
            SharedRetryBudget::unspent(own, now)
        };
        let state = ServiceBudget { budget, denials: None };

        act(services.entry(service.to_string()).or_insert(state))
    }
}

impl ServiceBudget {
    fn record_denial(&mut self, service: &str, gateways: usize, now: Moment) {
        if let Some(series) = &mut self.denials {
            series.last_at = now;
            series.count += 1;
            return;
        }

        let usage = self.budget.usage(now);
        log::warn!("retry budget exhausted", kv: {
            service, requests = usage.requests, retries = usage.retries,
            pending = usage.pending, gateways,
        });
        self.denials = Some(DenialSeries { from: now, last_at: now, count: 1 });
    }

    /// Ends the series of denials if none came within the last window.
    fn end_denials(&mut self, service: &str, window: Duration, now: Moment) {
        let Some(series) = self.denials.filter(|series| now >= series.last_at + window) else {
            return;
        };

        log::info!("retry budget available again", kv: {
            service, denied = series.count,
            exhausted_ms = (series.last_at - series.from).as_millis() as u64,
        });
        self.denials = None;
    }
}
