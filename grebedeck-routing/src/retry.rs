//! Budget for retries, so that a failing hall does not double everybody's load.

/// Settings of a retry budget.
#[derive(Clone, Debug)]
pub struct RetryOptions {
    /// Retries that each first attempt earns.
    pub per_request: f64,
    /// Most retries that can be saved up.
    pub max_saved: f64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        RetryOptions { per_request: 0.1, max_saved: 20.0 }
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
        let saved = options.max_saved;

        RetryBudget { options, saved }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.options.per_request).min(self.options.max_saved);
    }

    /// Takes one retry where the budget has one left.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }

        self.saved -= 1.0;
        true
    }
}
