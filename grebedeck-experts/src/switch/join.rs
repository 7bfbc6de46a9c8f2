//! State that a replacement collects from the other members before it takes part.

use grebedeck_core::{Incarnation, Moment};

use super::message::{GroupView, MemberNo};

/// Answers that a joining member has received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Joining {
    /// Answer of each member.
    acks: Vec<Option<GroupView>>,
    query_at: Moment,
}

impl Joining {
    /// Creates the state without answers; the first query is due at `now`.
    pub(super) fn new(size: usize, now: Moment) -> Self {
        Joining { acks: vec![None; size], query_at: now }
    }

    /// Returns whether a query is due; if so, the next one is due at `again`.
    pub(super) fn is_due(&mut self, now: Moment, next_query_at: Moment) -> bool {
        let due = now >= self.query_at;

        if due {
            self.query_at = next_query_at;
        }

        due
    }

    /// Records a member's answer.
    pub(super) fn record(&mut self, from: MemberNo, known: &GroupView) {
        self.acks[usize::from(from)] = Some(known.clone());
    }

    /// Discards the answer of a member that has been replaced.
    pub(super) fn remove(&mut self, from: MemberNo) {
        self.acks[usize::from(from)] = None;
    }

    /// Returns the members whose answer is still missing.
    ///
    /// An answer counts only if its sender knows the same incarnations. Otherwise a replaced
    /// process could still tell the sender that a version was committed.
    pub(super) fn missing(&self, own: MemberNo, roster: &[Incarnation]) -> Vec<MemberNo> {
        let is_valid = |no: &MemberNo| {
            let ack = self.acks[usize::from(*no)].as_ref();

            ack.is_some_and(|a| a.roster == roster)
        };

        (0..self.acks.len() as MemberNo).filter(|no| *no != own && !is_valid(no)).collect()
    }

    /// Merges the answers into the member's own state.
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
