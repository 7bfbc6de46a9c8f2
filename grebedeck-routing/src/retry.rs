//! Retry budget: a token bucket that caps retries at a fraction of first attempts.
//!
//! Without the cap, retries of a failing hall's requests would double the load of all targets.

/// Tokens of a new bucket.
const INITIAL_TOKENS: f64 = 1.0;

/// Settings of a retry budget.
#[derive(Clone, Debug)]
pub struct RetryOptions {
    /// Tokens that each first attempt deposits; a retry costs one.
    pub tokens_per_request: f64,
    /// Capacity of the bucket, in retries.
    pub max_tokens: f64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        RetryOptions { tokens_per_request: 0.1, max_tokens: 20.0 }
    }
}

/// A token bucket that first attempts fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a bucket with the token of one retry. An earlier start of the process may just have
    /// spent what it had saved up.
    pub fn new(options: RetryOptions) -> Self {
        RetryBudget { options, tokens: INITIAL_TOKENS }
    }

    /// Deposits the tokens of a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.options.tokens_per_request).min(self.options.max_tokens);
    }

    /// Withdraws the token for one retry; returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }

        self.tokens -= 1.0;
        true
    }
}
