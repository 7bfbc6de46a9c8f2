//! Budget for retries, so that a failing hall does not double everybody's load.

/// Settings of a retry budget.
#[derive(Clone, Debug)]
pub struct RetryOptions {
    /// Retries that each first attempt earns.
    pub tokens_per_request: f64,
    /// Most retries that can be saved up.
    pub max_tokens: f64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        RetryOptions { tokens_per_request: 0.1, max_tokens: 20.0 }
    }
}

/// A bucket that first attempts fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    saved: f64,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(options: RetryOptions) -> Self {
        let saved = options.max_tokens;

        RetryBudget { options, saved }
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.options.tokens_per_request).min(self.options.max_tokens);
    }

    /// Takes one retry where the budget has one left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }

        self.saved -= 1.0;
        true
    }
}
