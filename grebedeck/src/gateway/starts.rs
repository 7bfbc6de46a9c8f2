//! Restarts of targets under the same id, and unreadable entries of the target list.

use grebedeck_gateway::TargetEntry;
use grebedeck_kernel::log;

use super::service::Gateway;

/// Rate limit of log lines about unreadable entries, as their number is up to other programs.
pub const UNREADABLE_LINES_PER_S: f64 = 2.0;

impl Gateway {
    /// Returns whether an entry belongs to an earlier start of its target than the listed one.
    pub fn is_earlier_start(&self, entry: &TargetEntry) -> bool {
        self.targets.borrow().is_earlier_start(entry)
    }

    /// Records that a target has restarted; drops the state of its earlier start.
    pub(super) fn record_restart(&self, entry: &TargetEntry) {
        let before = self.chooser.borrow().start_id(&entry.id);
        log::info!("target restarted", kv: {
            target = entry.id.as_str(), service = entry.service.as_str(),
            born_before_ms = before.map_or(-1, |born| born as i64),
            born_ms = entry.born_ms.map_or(-1, |born| born as i64),
        });
        self.counters.starts.add("restarted");
        self.chooser.borrow_mut().record_listing(&entry.id, entry.born_ms, entry.slots);
        self.groups.borrow_mut().remove(&entry.id);
        self.refusals.borrow_mut().record_restart(&entry.id);
        self.pool.close_other_starts(entry);
    }

    /// Counts and logs an unreadable entry.
    pub(super) fn record_unreadable_entry(&self, id: &str, reason: &str) {
        self.counters.starts.add("unreadable");
        let line = self.entry_lines.borrow_mut().try_acquire_line(self.now());

        if let Some(left_out) = line {
            log::warn!("target entry not readable", kv: { target = id, reason, left_out });
        }
    }
}
