//! Whether a rank process gets answers from what it depends on.

use grebedeck_core::Result;
use grebedeck_kernel::log;

/// Something that the process depends on, and whether its last call was answered. One line tells of a loss and one of
/// the return, however many calls fail in between.
#[derive(Clone, Copy, Debug)]
pub struct Dependency {
    name: &'static str,
    is_lost: bool,
}

impl Dependency {
    /// Makes a dependency that was not called yet.
    pub fn new(name: &'static str) -> Self {
        Dependency { name, is_lost: false }
    }

    /// Tells whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Notes how a call ended, and logs what is new.
    pub fn note<T>(&mut self, result: &Result<T>) {
        match result {
            Ok(_) if self.is_lost => log::info!("dependency back", kv: { name = self.name }),
            Err(error) if !self.is_lost => {
                let error = error.to_string();
                log::warn!("dependency lost", kv: { name = self.name, error });
            }
            _ => {}
        }

        self.is_lost = result.is_err();
    }
}
