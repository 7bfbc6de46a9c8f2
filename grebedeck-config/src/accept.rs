//! Writing one change to the table service, as a state machine without I/O.
//!
//! One conditional transaction advances the head to the next revision, stores the log entry and
//! stores the change's id. If the response is lost, the id is read back: the table holds it if and
//! only if the change was accepted. A change that lost a race against another one is validated
//! again on the newer revision, unless it names the revision on which it is based.

use grebedeck_core::{Faults, Revision, UnixMs};

use crate::change::{Change, LogEntry};
use crate::document::Document;

/// Retries of a change on newer revisions before it is refused.
pub const MAX_WRITE_RETRIES: u32 = 8;
/// Retries of a read of the change's id before the outcome is reported as unknown.
pub const MAX_READ_BACK_RETRIES: u32 = 6;

/// Next action for the caller, which performs the I/O.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptAction {
    /// Update the replica to the store's newest revision, then call [`Acceptor::on_caught_up`].
    CatchUp,
    /// Write the entry if the store's head is at the previous revision and the id is unused.
    Write(Box<LogEntry>),
    /// Wait, then read the revision that is stored under the change's id.
    ReadBack,
    /// Report the result; no action is left.
    Finish(AcceptResult),
}

/// Result of an operator's change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum AcceptResult {
    /// The change is part of the configuration from this revision on, permanently.
    Accepted(Revision),
    /// The change is refused as a whole and never takes effect.
    Refused(Faults),
    /// The outcome is unknown; submitting the same id again reveals it.
    Unknown,
}

/// Response of the store to a write or a read of the change's id.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResponse {
    /// The transaction took effect.
    Written,
    /// The head had advanced or the id was in use; nothing was written.
    Conflict,
    /// No response; a write may have taken effect.
    Lost,
    /// The id is stored with this revision.
    Found(Revision),
    /// The id is not stored.
    Absent,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    CatchingUp,
    Writing(Revision),
    ReadingBack {
        revision: Revision,
        attempts: u32,
    },
    /// The conflict may stem from this change's own earlier write, whose response was lost.
    CheckingConflict {
        attempts: u32,
    },
}

/// Drives one change from submission to its result.
#[derive(Clone, Debug)]
pub struct Acceptor {
    change: Change,
    phase: Phase,
    retries: u32,
    /// Highest revision of a write without a response; 0 if there is none.
    lost_write: Revision,
}

impl Acceptor {
    /// Starts with a change; the first action is to catch up with the store.
    pub fn new(change: Change) -> (Self, AcceptAction) {
        (
            Acceptor { change, phase: Phase::CatchingUp, retries: 0, lost_write: 0 },
            AcceptAction::CatchUp,
        )
    }

    /// Continues on the store's newest document; `stored` is the revision stored under the id.
    pub fn on_caught_up(
        &mut self,
        revision: Revision,
        document: &Document,
        stored: Option<Revision>,
        now_unix_ms: UnixMs,
    ) -> AcceptAction {
        assert_eq!(self.phase, Phase::CatchingUp, "the head is read only while catching up");

        if let Some(accepted) = stored {
            return AcceptAction::Finish(AcceptResult::Accepted(accepted));
        }

        match self.validate_at(revision, document) {
            Ok(next) => {
                self.phase = Phase::Writing(revision + 1);
                AcceptAction::Write(Box::new(LogEntry {
                    revision: revision + 1,
                    digest: next.digest(),
                    accepted_unix_ms: now_unix_ms,
                    change: self.change.clone(),
                }))
            }
            // A write without a response may still arrive while the head is below its revision.
            Err(_) if self.lost_write > revision => AcceptAction::Finish(AcceptResult::Unknown),
            Err(faults) => AcceptAction::Finish(AcceptResult::Refused(faults)),
        }
    }

    fn validate_at(&self, revision: Revision, document: &Document) -> Result<Document, Faults> {
        if let Some(base) = self.change.base_revision.filter(|b| *b != revision) {
            let mut faults = Faults::default();
            let expected = format!("the newest revision, which is {revision}");
            faults.add("base_revision", base.to_string(), expected);

            return Err(faults);
        }

        if self.retries > MAX_WRITE_RETRIES {
            let mut faults = Faults::default();
            faults.add("id", &self.change.id, "a retry later: too many changes raced with it");

            return Err(faults);
        }

        self.change.check(document)
    }

    /// Continues after the store's response to the last action.
    pub fn on_response(&mut self, answer: StoreResponse) -> AcceptAction {
        match (self.phase.clone(), answer) {
            (Phase::Writing(revision), StoreResponse::Written) => {
                AcceptAction::Finish(AcceptResult::Accepted(revision))
            }
            (Phase::Writing(_), StoreResponse::Conflict) => {
                self.phase = Phase::CheckingConflict { attempts: 0 };
                AcceptAction::ReadBack
            }
            (Phase::Writing(revision), _) => {
                self.lost_write = revision;
                self.phase = Phase::ReadingBack { revision, attempts: 0 };
                AcceptAction::ReadBack
            }
            (_, StoreResponse::Found(revision)) => {
                AcceptAction::Finish(AcceptResult::Accepted(revision))
            }
            (Phase::CheckingConflict { .. }, StoreResponse::Absent) => self.retry(),
            // A write without a response may still be in flight, so an absent id proves nothing.
            // The write is retried instead: only one of the two can satisfy the condition.
            (Phase::ReadingBack { .. }, StoreResponse::Absent) => self.retry(),
            (Phase::ReadingBack { revision, attempts }, _) => {
                self.retry_read_back(attempts, |attempts| Phase::ReadingBack { revision, attempts })
            }
            (Phase::CheckingConflict { attempts }, _) => {
                self.retry_read_back(attempts, |attempts| Phase::CheckingConflict { attempts })
            }
            (Phase::CatchingUp, _) => AcceptAction::CatchUp,
        }
    }

    /// Result if the store cannot be read: refused, or unknown after a write without a response.
    pub fn give_up(&self) -> AcceptResult {
        if self.lost_write > 0 {
            return AcceptResult::Unknown;
        }

        let mut faults = Faults::default();
        faults.add("table_address", "", "a table service that answers; nothing was changed");
        AcceptResult::Refused(faults)
    }

    fn retry(&mut self) -> AcceptAction {
        self.retries += 1;
        self.phase = Phase::CatchingUp;

        AcceptAction::CatchUp
    }

    fn retry_read_back(&mut self, attempts: u32, phase: impl Fn(u32) -> Phase) -> AcceptAction {
        if attempts >= MAX_READ_BACK_RETRIES {
            return AcceptAction::Finish(AcceptResult::Unknown);
        }

        self.phase = phase(attempts + 1);
        AcceptAction::ReadBack
    }
}
