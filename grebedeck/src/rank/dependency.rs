//! Availability of the services that a rank process calls.

use grebedeck_core::Result;
use grebedeck_kernel::log;

/// A called service, and whether its last call failed. One log line reports the first failure and
/// one the recovery, however many calls fail in between.
#[derive(Clone, Copy, Debug)]
pub struct Dependency {
    name: &'static str,
    is_failing: bool,
}

impl Dependency {
    /// Creates a dependency that has not been called yet.
    pub fn new(name: &'static str) -> Self {
        Dependency { name, is_failing: false }
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Records the result of a call; logs a change.
    pub fn record<T>(&mut self, result: &Result<T>) {
        match result {
            Ok(_) if self.is_failing => {
                log::info!("dependency available again", kv: { name = self.name })
            }
            Err(error) if !self.is_failing => {
                let error = error.to_string();
                log::warn!("dependency unavailable", kv: { name = self.name, error });
            }
            _ => {}
        }

        self.is_failing = result.is_err();
    }
}
