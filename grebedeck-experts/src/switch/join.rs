//! What a replaced member gathers from the others before it takes part.

use grebedeck_core::{Incarnation, Moment};

use super::message::{GroupView, MemberNo};

/// The answers that a joining member has so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Joining {
    /// What each other member knew when it answered.
    acks: Vec<Option<GroupView>>,
    ask_at: Moment,
}

impl Joining {
    /// Starts without any answer.
    pub(super) fn new(size: usize, now: Moment) -> Self {
        Joining { acks: vec![None; size], ask_at: now }
    }

    /// Tells whether it is time to ask, and if so when to ask again.
    pub(super) fn is_due(&mut self, now: Moment, again: Moment) -> bool {
        let due = now >= self.ask_at;

        if due {
            self.ask_at = again;
        }

        due
    }

    /// Takes in a member's answer.
    pub(super) fn take(&mut self, from: MemberNo, known: &GroupView) {
        self.acks[usize::from(from)] = Some(known.clone());
    }

    /// Forgets the answer of a member that has been replaced.
    pub(super) fn forget(&mut self, from: MemberNo) {
        self.acks[usize::from(from)] = None;
    }

    /// Gets the members whose answer is still needed.
    ///
    /// An answer counts only if its sender knows of the same replacements: a sender that does not
    /// could still be told by a replaced process that a version was committed.
    pub(super) fn missing(&self, own: MemberNo, roster: &[Incarnation]) -> Vec<MemberNo> {
        let counts = |no: &MemberNo| {
            let ack = self.acks[usize::from(*no)].as_ref();

            ack.is_some_and(|a| a.roster == roster)
        };

        (0..self.acks.len() as MemberNo).filter(|no| *no != own && !counts(no)).collect()
    }

    /// Adds what the others knew to what the member knows itself.
    pub(super) fn merge_into(self, known: &mut GroupView) {
        for ack in self.acks.into_iter().flatten() {
            if ack.current > known.current {
                known.current = ack.current;
                known.current_from = ack.current_from;
                known.previous = ack.previous;
            }

            known.settled = known.settled.max(ack.settled).max(ack.current);
            known.seen_epoch = known.seen_epoch.max(ack.seen_epoch);
        }
    }
}
