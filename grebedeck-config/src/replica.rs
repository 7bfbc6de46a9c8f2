//! A process's own copy of the configuration.
//!
//! It moves forward only. Whatever tells it of a lower revision, be it a stale peer, a stale read
//! or a replayed message, is ignored.

use std::collections::VecDeque;
use std::sync::Arc;

use grebedeck_core::{Digest, Revision, UnixMs};
use serde::{Deserialize, Serialize};

use crate::change::{Change, LogEntry, Snapshot};
use crate::document::Document;

/// How many log entries a replica keeps to hand on to its peers.
pub const MAX_KEPT_ENTRIES: usize = 1024;

/// What became of an offered entry or snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The replica is at a new revision.
    Applied,
    /// The offer was not newer.
    Stale,
    /// Entries between the replica's revision and the offer are missing.
    Gap,
    /// The offer's digest is not that of the resulting document.
    Corrupt,
}

/// What brings another replica up to this one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatchUp {
    /// The log entries that it lacks, in order.
    Entries(Vec<LogEntry>),
    /// The whole document, where the log does not reach back far enough.
    Snapshot(Box<Snapshot>),
}

/// The configuration that is in force in this process.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: Revision,
    accepted_unix_ms: UnixMs,
    digest: Digest,
    document: Arc<Document>,
    entries: VecDeque<LogEntry>,
}

impl Replica {
    /// Gets the revision in force; 0 where there is none yet.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Gets the document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Gets the digest of the document in force.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Gets the kept entries after a revision, or `None` where the log does not reach back so far.
    pub fn entries_after(&self, revision: Revision) -> Option<Vec<LogEntry>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }

        if self.entries.front()?.revision > revision + 1 {
            return None;
        }

        Some(self.entries.iter().filter(|e| e.revision > revision).cloned().collect())
    }

    /// Gets the whole document at its revision.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            accepted_unix_ms: self.accepted_unix_ms,
            digest: self.digest,
            document: self.document.as_ref().clone(),
        }
    }

    /// Gets when the revision in force was accepted.
    pub fn accepted_unix_ms(&self) -> UnixMs {
        self.accepted_unix_ms
    }

    /// Gets what brings a replica at `revision` up to this one, or `None` where nothing does.
    pub fn catch_up(&self, revision: Revision) -> Option<CatchUp> {
        if revision >= self.revision {
            return None;
        }

        let caught = match self.entries_after(revision) {
            Some(entries) => CatchUp::Entries(entries),
            None => CatchUp::Snapshot(Box::new(self.snapshot())),
        };

        Some(caught)
    }

    /// Takes in what another process sent to catch up; tells what became of it.
    pub fn apply(&mut self, catch_up: CatchUp) -> ApplyResult {
        self.apply_each(catch_up, |_, _| ())
    }

    /// Takes in what another process sent to catch up. `adopted` is called at each new revision,
    /// with the change that made it, or without one after a whole document.
    pub fn apply_each(
        &mut self,
        catch_up: CatchUp,
        mut adopted: impl FnMut(&Replica, Option<&Change>),
    ) -> ApplyResult {
        match catch_up {
            CatchUp::Entries(entries) => self.apply_entries(entries, adopted),
            CatchUp::Snapshot(snapshot) => {
                let adoption = self.apply_snapshot(*snapshot);

                if adoption == ApplyResult::Applied {
                    adopted(self, None);
                }

                adoption
            }
        }
    }

    fn apply_entries(
        &mut self,
        entries: Vec<LogEntry>,
        mut adopted: impl FnMut(&Replica, Option<&Change>),
    ) -> ApplyResult {
        let mut whole = ApplyResult::Stale;

        for entry in entries {
            let change = entry.change.clone();

            match self.apply_entry(entry) {
                ApplyResult::Applied => {
                    adopted(self, Some(&change));
                    whole = ApplyResult::Applied;
                }
                // Entries that were known already may stand before the new ones.
                ApplyResult::Stale => {}
                fault => return if whole == ApplyResult::Applied { whole } else { fault },
            }
        }

        whole
    }

    /// Adopts the next log entry.
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
        self.move_to(entry.revision, entry.accepted_unix_ms, next);
        self.entries.push_back(entry);

        if self.entries.len() > MAX_KEPT_ENTRIES {
            self.entries.pop_front();
        }

        ApplyResult::Applied
    }

    /// Adopts a whole document where it is newer.
    pub fn apply_snapshot(&mut self, mut snapshot: Snapshot) -> ApplyResult {
        if snapshot.revision <= self.revision {
            return ApplyResult::Stale;
        }

        if snapshot.document.digest() != snapshot.digest {
            return ApplyResult::Corrupt;
        }

        snapshot.document.share_labels();
        self.digest = snapshot.digest;
        self.move_to(snapshot.revision, snapshot.accepted_unix_ms, snapshot.document);
        // The kept entries no longer reach up to the revision in force.
        self.entries.clear();

        ApplyResult::Applied
    }

    fn move_to(&mut self, revision: Revision, accepted_unix_ms: UnixMs, document: Document) {
        assert!(revision > self.revision, "a configuration must never revert");

        self.revision = revision;
        self.accepted_unix_ms = accepted_unix_ms;
        self.document = Arc::new(document);
    }
}
