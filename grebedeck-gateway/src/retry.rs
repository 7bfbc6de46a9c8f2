//! Retry budget of a service: one gateway's part of a sum over all gateways and all their starts.
//!
//! In any window, all gateways together may send as many retries as a fixed ratio of the window's
//! requests, plus a fixed allowance. A gateway knows neither what the others have sent nor what an
//! earlier start of its own has sent within the same window. So it keeps to its part in every span
//! of time, however short: requests and the passing of time add tokens to a bucket that starts
//! empty, unless nothing can have been sent within the window. Whatever the times of restarts, the retries in a window are then at most what the buckets
//! held at its beginning, which is bounded by their capacity, and what was added within it.
//!
//! A retry that has been authorized may arrive seconds later, as it waits for a slot, a connection
//! or a frozen process. Until the response shows that it has arrived, it takes up room in the
//! bucket.
//!
//! A gateway whose share of the allowance is less than one retry needs a capacity of one all the
//! same. Its bucket starts below empty by the difference, and the retries of its own start are
//! limited by the window too.

use std::collections::VecDeque;
use std::time::Duration;

use grebedeck_core::Moment;

/// Buckets per window.
const BUCKETS_PER_WINDOW: u32 = 20;
/// Fraction of a gateway's share of the allowance that its bucket can hold. The rest is added over
/// a window.
const STORED_FRACTION: f64 = 0.75;
/// Least capacity of a bucket, in retries.
const MIN_CAPACITY: f64 = 1.0;

/// A retry budget, or one gateway's part of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
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

/// State of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// First attempts in the current window.
    pub requests: u32,
    /// Retries of this start in the current window, including pending ones.
    pub retries: u32,
    /// Retries that have been authorized and may still arrive.
    pub pending: u32,
    /// Retries that may be authorized now; negative after a start with a small share.
    pub available: f64,
}

/// One gateway's retry budget for a service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    share: RetryShare,
    tokens: f64,
    refilled_at: Moment,
    pending: u32,
    buckets: VecDeque<Bucket>,
}

impl RetryShare {
    /// Part of one of `gateways`. Each counts its own requests, so only the allowance is divided.
    /// The divisor is at least `least`, as some gateways may not be known yet.
    pub fn divide(self, gateways: usize, least: f64) -> Self {
        RetryShare { allowance: self.allowance / least.max(gateways as f64), ..self }
    }

    /// Part of a gateway that the allowance is not divided among.
    pub fn without_allowance(self) -> Self {
        RetryShare { allowance: 0.0, ..self }
    }

    /// Most retries that can be saved up or pending.
    fn capacity(&self) -> f64 {
        (self.allowance * STORED_FRACTION).max(MIN_CAPACITY)
    }

    /// Retries added in a window without requests.
    fn refill_per_window(&self) -> f64 {
        self.allowance * (1.0 - STORED_FRACTION)
    }

    /// Tokens at the start of the process, so that they and the capacity of the earlier start's
    /// bucket add up to the share.
    fn initial_tokens(&self) -> f64 {
        (self.allowance - self.capacity() - self.refill_per_window()).min(0.0)
    }
}

impl SharedRetryBudget {
    /// Creates the budget of a process that started at `started_at`.
    pub fn new(share: RetryShare, started_at: Moment) -> Self {
        SharedRetryBudget {
            share,
            tokens: share.initial_tokens(),
            refilled_at: started_at,
            pending: 0,
            buckets: VecDeque::new(),
        }
    }

    /// Creates the budget of a service for which nothing can have been sent within the window.
    pub fn unspent(share: RetryShare, now: Moment) -> Self {
        let tokens = share.allowance * STORED_FRACTION;

        SharedRetryBudget { tokens, ..SharedRetryBudget::new(share, now) }
    }

    /// Replaces the share, such as by a smaller one as gateways are added. The counts stay.
    pub fn set_share(&mut self, share: RetryShare, now: Moment) {
        self.refill(now);
        self.share = share;
        self.add_tokens(0.0);
    }

    /// Records a first attempt.
    pub fn record_request(&mut self, now: Moment) {
        self.bucket(now).requests += 1;
        self.refill(now);
        self.add_tokens(self.share.ratio);
    }

    /// Authorizes one retry; returns whether the budget allows it. It is pending until
    /// [`settle`](Self::settle) or [`release`](Self::release) is called for it.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        self.refill(now);

        if self.usage(now).available < 1.0 {
            return false;
        }

        self.tokens -= 1.0;
        self.pending += 1;
        true
    }

    /// Records that a retry was sent and can no longer arrive: it has, or its connection is closed.
    pub fn settle(&mut self, now: Moment) {
        self.pending = self.pending.saturating_sub(1);
        self.bucket(now).retries += 1;
    }

    /// Returns a retry that was not sent.
    pub fn release(&mut self) {
        self.pending = self.pending.saturating_sub(1);
        self.add_tokens(1.0);
    }

    /// What has been counted in the window that ends now.
    pub fn usage(&self, now: Moment) -> RetryUsage {
        // A bucket that lies partly outside the window counts in full for retries and not at all
        // for requests. If it counted for both, requests would be summed over a longer window than
        // the one in which retries are compared with them.
        let full_from = now.saturating_sub(self.share.window);
        let partly_from = now.saturating_sub(self.share.window + self.bucket_length());
        let since = |from: Moment| self.buckets.iter().filter(move |bucket| bucket.from >= from);
        let requests: u32 = since(full_from).map(|bucket| bucket.requests).sum();
        let settled: u32 = since(partly_from).map(|bucket| bucket.retries).sum();
        let retries = settled + self.pending;
        let allowed = f64::from(requests) * self.share.ratio + self.share.allowance;
        let available = self.tokens.min(allowed - f64::from(retries));

        RetryUsage { requests, retries, pending: self.pending, available }
    }

    /// Adds the tokens of the time since the last call.
    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now.max(self.refilled_at);
        let windows = elapsed.as_secs_f64() / self.share.window.as_secs_f64();
        self.add_tokens(self.share.refill_per_window() * windows);
    }

    fn add_tokens(&mut self, tokens: f64) {
        let room = self.share.capacity() - f64::from(self.pending);
        self.tokens = (self.tokens + tokens).min(room);
    }

    fn bucket_length(&self) -> Duration {
        self.share.window / BUCKETS_PER_WINDOW
    }

    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let length = self.bucket_length();
        let oldest = now.saturating_sub(self.share.window * 2);

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
