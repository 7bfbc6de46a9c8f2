//! Targets that start again under their ids, and entries that cannot be read.

use grebedeck_gateway::TargetEntry;
use grebedeck_kernel::log;

use super::service::Gateway;

/// Lines a second on entries that cannot be read: others may write as many as they like.
pub const ENTRY_LINES_PER_S: f64 = 2.0;

impl Gateway {
    /// Tells whether an entry is of an earlier start of its target than the one that is listed now.
    pub fn is_earlier_start(&self, entry: &TargetEntry) -> bool {
        self.targets.borrow().is_earlier_start(entry)
    }

    /// Forgets what was known of a target's earlier start.
    pub(super) fn note_restart(&self, entry: &TargetEntry) {
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

    /// Tells of an entry that cannot be read.
    pub(super) fn note_unreadable(&self, id: &str, reason: &str) {
        self.counters.starts.add("unreadable");
        let line = self.entry_lines.borrow_mut().take_line(self.now());

        if let Some(left_out) = line {
            log::warn!("entry not readable", kv: { target = id, reason, left_out });
        }
    }
}
