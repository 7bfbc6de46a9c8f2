//! Whether all gateways know this one.
//!
//! Where the gateways divide a sum among those that the store lists, a new gateway must not take a
//! share before the others have had time to read its row: until then they still divide the sum
//! among themselves. Rows stay in the list, so a gateway that starts again under its address is
//! known at once.

use std::time::Duration;

use grebedeck_core::Moment;

/// How long a new gateway waits after it has seen its own row. The others read the list every 10 s,
/// and some of them one call late.
const PROPAGATION_DELAY: Duration = Duration::from_secs(15);

/// What the lists that were read tell about this gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Membership {
    /// Whether the first list did not include this gateway.
    is_new: bool,
    /// Whether any list did not include this gateway, so that others may not know it.
    was_missing: bool,
    /// From when all others know it; `None` while it is not in the list.
    known_from: Option<Moment>,
}

impl Membership {
    /// Applies a list; `is_listed` tells whether it includes this gateway.
    pub fn apply_list(&mut self, is_listed: bool, now: Moment) {
        if !is_listed {
            self.is_new |= !self.has_list();
            self.was_missing = true;
            self.known_from = None;
            return;
        }

        let delay = if self.was_missing { PROPAGATION_DELAY } else { Duration::ZERO };
        self.known_from.get_or_insert(now + delay);
    }

    /// Whether no earlier start of this gateway has published itself.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Whether any list has been read.
    pub fn has_list(&self) -> bool {
        self.was_missing || self.known_from.is_some()
    }

    /// Whether all gateways that have read the list lately know this one.
    pub fn is_known(&self, now: Moment) -> bool {
        self.known_from.is_some_and(|from| now >= from)
    }
}
