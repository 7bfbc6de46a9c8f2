//! Retry budget of a service over a sliding window.
//!
//! All gateways together may retry a fixed ratio of the requests in a window, plus a fixed
//! allowance. Each gateway counts its own requests, so the ratios add up; the allowance is divided
//! among the gateways.

use std::collections::VecDeque;
use std::time::Duration;

use grebedeck_core::Moment;

/// Buckets per window.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct WindowedRetryOptions {
    /// Length of the window.
    pub window: Duration,
    /// Retries per request in the window.
    pub ratio: f64,
    /// Retries on top of the ratio.
    pub allowance: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    from: Moment,
    requests: u32,
    retries: u32,
}

/// What a budget has counted in the current window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// First attempts.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
    /// Retries allowed.
    pub allowed: f64,
}

/// Retry budget over a sliding window.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    options: WindowedRetryOptions,
    buckets: VecDeque<Bucket>,
}

impl WindowedRetryOptions {
    /// Share of one gateway in the budget of `gateways` of them. Each counts its own requests, so
    /// only the allowance is divided. The divisor is at least `least`, as some gateways may not be
    /// known yet.
    pub fn share_of(self, gateways: usize, least: f64) -> Self {
        WindowedRetryOptions { allowance: self.allowance / least.max(gateways as f64), ..self }
    }
}

impl WindowedRetryBudget {
    /// Creates an unused budget.
    pub fn new(options: WindowedRetryOptions) -> Self {
        WindowedRetryBudget { options, buckets: VecDeque::new() }
    }

    /// Replaces the options, such as with a smaller allowance as gateways are added. The counts
    /// stay.
    pub fn set_options(&mut self, options: WindowedRetryOptions) {
        self.options = options;
    }

    /// Records a first attempt.
    pub fn record_request(&mut self, now: Moment) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        let RetryUsage { retries, allowed, .. } = self.usage(now);

        if f64::from(retries) + 1.0 > allowed {
            return false;
        }

        self.bucket(now).retries += 1;
        true
    }

    /// What has been counted in the window that ends now.
    pub fn usage(&self, now: Moment) -> RetryUsage {
        // A bucket that lies partly outside the window counts in full for retries and not at all
        // for requests. If it counted for both, requests would be summed over a longer window than
        // the one in which retries are compared with them.
        let full_from = now.saturating_sub(self.options.window);
        let partly_from = now.saturating_sub(self.options.window + self.bucket_length());
        let since = |from: Moment| self.buckets.iter().filter(move |bucket| bucket.from >= from);
        let requests: u32 = since(full_from).map(|bucket| bucket.requests).sum();
        let retries: u32 = since(partly_from).map(|bucket| bucket.retries).sum();
        let allowed = f64::from(requests) * self.options.ratio + self.options.allowance;

        RetryUsage { requests, retries, allowed }
    }

    fn bucket_length(&self) -> Duration {
        self.options.window / BUCKETS_PER_WINDOW
    }

    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let length = self.bucket_length();
        let oldest = now.saturating_sub(self.options.window * 2);

        while self.buckets.front().is_some_and(|s| s.from < oldest) {
            self.buckets.pop_front();
        }

        let is_current = |s: &Bucket| now < s.from + length;

        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket { from: now, requests: 0, retries: 0 });
        }

        self.buckets.back_mut().expect("a bucket was pushed where there was none")
    }
}
