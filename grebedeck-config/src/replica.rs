//! A process's copy of the configuration.
//!
//! Its revision never decreases: a lower one, whether from a stale peer, a stale read or a replayed
//! message, is ignored. An entry is applied only to the revision directly before it, and only if
//! the resulting document has the digest that the entry states.

use std::collections::VecDeque;
use std::sync::Arc;

use grebedeck_core::{Digest, Revision, UnixMs};
use serde::{Deserialize, Serialize};

use crate::change::{Change, LogEntry, Snapshot};
use crate::document::Document;

/// Maximum number of log entries that a replica keeps for its peers.
pub const MAX_KEPT_ENTRIES: usize = 1024;

/// Result of applying a log entry or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The replica advanced to a newer revision.
    Applied,
    /// The received revision is not newer; nothing changed.
    Stale,
    /// Entries between the replica's revision and the received one are missing.
    Gap,
    /// The stated digest is not that of the resulting document.
    Corrupt,
}

/// Update that brings a lagging replica to the sender's revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatchUp {
    /// The missing log entries, in order of revision.
    Entries(Vec<LogEntry>),
    /// The complete document, if the log does not reach back far enough.
    Snapshot(Box<Snapshot>),
}

/// The configuration in force in this process.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: Revision,
    accepted_unix_ms: UnixMs,
    digest: Digest,
    document: Arc<Document>,
    entries: VecDeque<LogEntry>,
}

impl Replica {
    /// Revision in force; 0 before the first one.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Digest of the document in force.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Entries after a revision, or `None` if the kept log does not reach back that far.
    pub fn entries_after(&self, revision: Revision) -> Option<Vec<LogEntry>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }

        if self.entries.front()?.revision > revision + 1 {
            return None;
        }

        Some(self.entries.iter().filter(|e| e.revision > revision).cloned().collect())
    }

    /// The complete document with its revision.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            accepted_unix_ms: self.accepted_unix_ms,
            digest: self.digest,
            document: self.document.as_ref().clone(),
        }
    }

    /// Time at which the revision in force was accepted.
    pub fn accepted_unix_ms(&self) -> UnixMs {
        self.accepted_unix_ms
    }

    /// Update for a replica at `revision`, or `None` if it does not lag behind this one.
    pub fn catch_up(&self, revision: Revision) -> Option<CatchUp> {
        if revision >= self.revision {
            return None;
        }

        let update = match self.entries_after(revision) {
            Some(entries) => CatchUp::Entries(entries),
            None => CatchUp::Snapshot(Box::new(self.snapshot())),
        };

        Some(update)
    }

    /// Applies an update from another process.
    pub fn apply(&mut self, catch_up: CatchUp) -> ApplyResult {
        self.apply_each(catch_up, |_, _| ())
    }

    /// Applies an update from another process. `on_applied` is called at each new revision with the
    /// change that created it, or with `None` after a snapshot.
    pub fn apply_each(
        &mut self,
        catch_up: CatchUp,
        mut on_applied: impl FnMut(&Replica, Option<&Change>),
    ) -> ApplyResult {
        match catch_up {
            CatchUp::Entries(entries) => self.apply_entries(entries, on_applied),
            CatchUp::Snapshot(snapshot) => {
                let result = self.apply_snapshot(*snapshot);

                if result == ApplyResult::Applied {
                    on_applied(self, None);
                }

                result
            }
        }
    }

    fn apply_entries(
        &mut self,
        entries: Vec<LogEntry>,
        mut on_applied: impl FnMut(&Replica, Option<&Change>),
    ) -> ApplyResult {
        let mut result = ApplyResult::Stale;

        for entry in entries {
            let change = entry.change.clone();

            match self.apply_entry(entry) {
                ApplyResult::Applied => {
                    on_applied(self, Some(&change));
                    result = ApplyResult::Applied;
                }
                // Entries that were applied earlier may precede the new ones.
                ApplyResult::Stale => {}
                error => return if result == ApplyResult::Applied { result } else { error },
            }
        }

        result
    }

    /// Applies the next log entry.
    pub fn apply_entry(&mut self, entry: LogEntry) -> ApplyResult {
        if entry.revision <= self.revision {
            return ApplyResult::Stale;
        }

        if entry.revision != self.revision + 1 {
            return ApplyResult::Gap;
        }

        let (next, digest) = entry.change.apply_with_digest(&self.document, self.digest);

        if digest != entry.digest {
            return ApplyResult::Corrupt;
        }

        self.digest = digest;
        self.replace(entry.revision, entry.accepted_unix_ms, next);
        self.entries.push_back(entry);

        if self.entries.len() > MAX_KEPT_ENTRIES {
            self.entries.pop_front();
        }

        ApplyResult::Applied
    }

    /// Replaces the document if the snapshot is newer.
    pub fn apply_snapshot(&mut self, mut snapshot: Snapshot) -> ApplyResult {
        if snapshot.revision <= self.revision {
            return ApplyResult::Stale;
        }

        if snapshot.document.digest() != snapshot.digest {
            return ApplyResult::Corrupt;
        }

        snapshot.document.share_labels();
        self.digest = snapshot.digest;
        self.replace(snapshot.revision, snapshot.accepted_unix_ms, snapshot.document);
        // The kept entries no longer lead up to the revision in force.
        self.entries.clear();

        ApplyResult::Applied
    }

    fn replace(&mut self, revision: Revision, accepted_unix_ms: UnixMs, document: Document) {
        assert!(revision > self.revision, "the revision must increase");

        self.revision = revision;
        self.accepted_unix_ms = accepted_unix_ms;
        self.document = Arc::new(document);
    }
}
