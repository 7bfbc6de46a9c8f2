//! How one change is written to the table service, as a pure state machine.
//!
//! One conditional transaction moves the head from one revision to the next, stores the log entry
//! and stores the change's id. Where the answer is lost, the id is read back: it is in the table
//! exactly if the change was accepted. A change that lost a race is checked again on top of the
//! newer revision, unless it names the revision that it was written against.

use grebedeck_core::{Faults, Revision, UnixMs};

use crate::change::{Change, LogEntry};
use crate::document::Document;

/// How often a change is tried on top of newer revisions before it is refused.
pub const MAX_RETRIES: u32 = 8;
/// How often a lost answer is read back before the outcome is left unknown.
pub const MAX_READ_BACK_RETRIES: u32 = 6;

/// What the driver has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptAction {
    /// Bring the replica to the newest revision of the store, then call [`Acceptor::on_caught_up`].
    CatchUp,
    /// Write the entry if the store's head is at the revision before it and its id is unused.
    Write(Box<LogEntry>),
    /// Read which revision the change's id is stored under, after a wait.
    ReadBack,
    /// Nothing more to do.
    Finish(AcceptResult),
}

/// How an operator's change ended.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum AcceptResult {
    /// It is in force from the revision on, for good.
    Accepted(Revision),
    /// It is refused whole and will never be in force.
    Refused(Faults),
    /// The store does not say; the same id may be sent again to find out.
    Unknown,
}

/// What the store said.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResponse {
    /// The transaction took effect.
    Written,
    /// The head had moved or the id was used; nothing was written.
    Conflict,
    /// No answer; the transaction may have taken effect.
    Lost,
    /// The id is stored under the revision.
    Found(Revision),
    /// The id is not stored.
    Absent,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Catching,
    Writing(Revision),
    ReadingBack {
        revision: Revision,
        tries: u32,
    },
    /// A conflict was seen; it may be our own earlier write whose answer was lost.
    CheckingConflict {
        tries: u32,
    },
}

/// Takes one change from an operator to its end.
#[derive(Clone, Debug)]
pub struct Acceptor {
    change: Change,
    phase: Phase,
    retries: u32,
    /// The newest revision that a write without an answer was to make.
    lost_write: Revision,
}

impl Acceptor {
    /// Starts with a change; the first order is to catch up with the store.
    pub fn new(change: Change) -> (Self, AcceptAction) {
        (
            Acceptor { change, phase: Phase::Catching, retries: 0, lost_write: 0 },
            AcceptAction::CatchUp,
        )
    }

    /// Goes on with the store's newest document; `known` is where the id is already stored.
    pub fn on_caught_up(
        &mut self,
        revision: Revision,
        document: &Document,
        known: Option<Revision>,
        now_unix_ms: UnixMs,
    ) -> AcceptAction {
        assert_eq!(self.phase, Phase::Catching, "the head is read only while catching up");

        if let Some(accepted) = known {
            return AcceptAction::Finish(AcceptResult::Accepted(accepted));
        }

        match self.check_at(revision, document) {
            Ok(next) => {
                self.phase = Phase::Writing(revision + 1);
                AcceptAction::Write(Box::new(LogEntry {
                    revision: revision + 1,
                    digest: next.digest(),
                    accepted_unix_ms: now_unix_ms,
                    change: self.change.clone(),
                }))
            }
            // A write that was lost on its way can still take effect while the head is below it.
            Err(_) if self.lost_write > revision => AcceptAction::Finish(AcceptResult::Unknown),
            Err(faults) => AcceptAction::Finish(AcceptResult::Refused(faults)),
        }
    }

    fn check_at(&self, revision: Revision, document: &Document) -> Result<Document, Faults> {
        if let Some(base) = self.change.base_revision.filter(|b| *b != revision) {
            let mut faults = Faults::default();
            let expected = format!("the newest revision, which is {revision}");
            faults.add("base_revision", base.to_string(), expected);

            return Err(faults);
        }

        if self.retries > MAX_RETRIES {
            let mut faults = Faults::default();
            faults.add("id", &self.change.id, "a retry later: too many changes raced with it");

            return Err(faults);
        }

        self.change.check(document)
    }

    /// Goes on with what the store said to the last order.
    pub fn on_response(&mut self, answer: StoreResponse) -> AcceptAction {
        match (self.phase.clone(), answer) {
            (Phase::Writing(revision), StoreResponse::Written) => {
                AcceptAction::Finish(AcceptResult::Accepted(revision))
            }
            (Phase::Writing(_), StoreResponse::Conflict) => {
                self.phase = Phase::CheckingConflict { tries: 0 };
                AcceptAction::ReadBack
            }
            (Phase::Writing(revision), _) => {
                self.lost_write = revision;
                self.phase = Phase::ReadingBack { revision, tries: 0 };
                AcceptAction::ReadBack
            }
            (_, StoreResponse::Found(revision)) => {
                AcceptAction::Finish(AcceptResult::Accepted(revision))
            }
            (Phase::CheckingConflict { .. }, StoreResponse::Absent) => self.race_again(),
            // A lost write may still be on its way, so an absent id proves nothing by itself. The
            // same write is tried again instead: only one of the two can pass the condition.
            (Phase::ReadingBack { .. }, StoreResponse::Absent) => self.race_again(),
            (Phase::ReadingBack { revision, tries }, _) => {
                self.read_again(tries, |tries| Phase::ReadingBack { revision, tries })
            }
            (Phase::CheckingConflict { tries }, _) => {
                self.read_again(tries, |tries| Phase::CheckingConflict { tries })
            }
            (Phase::Catching, _) => AcceptAction::CatchUp,
        }
    }

    /// Gives up because the store cannot be read.
    pub fn give_up(&self) -> AcceptResult {
        if self.lost_write > 0 {
            return AcceptResult::Unknown;
        }

        let mut faults = Faults::default();
        faults.add("table_address", "", "a table service that answers; nothing was changed");
        AcceptResult::Refused(faults)
    }

    fn race_again(&mut self) -> AcceptAction {
        self.retries += 1;
        self.phase = Phase::Catching;

        AcceptAction::CatchUp
    }

    fn read_again(&mut self, tries: u32, phase: impl Fn(u32) -> Phase) -> AcceptAction {
        if tries >= MAX_READ_BACK_RETRIES {
            return AcceptAction::Finish(AcceptResult::Unknown);
        }

        self.phase = phase(tries + 1);
        AcceptAction::ReadBack
    }
}
