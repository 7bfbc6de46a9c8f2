//! A node's part in a changeover that another node decides on.

use grebedeck_core::{Moment, Rank};

use super::action::Action;
use super::message::{Changeover, ChangeoverAnswer, ChangeoverStep, Message};
use super::node::Node;
use crate::engine::{Armed, PassNo, PlacementNo, RankAction, RankReport};

/// A changeover that a node takes part in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Engaged {
    holder: Rank,
    round: u64,
    pass: PassNo,
    armed: Option<PlacementNo>,
    heard_at: Moment,
    /// Own reports that must still come before the holder gets an answer.
    reports_due: u8,
}

/// Own reports that come before a node answers a holder without memory: the first may have been asked
/// for before an order that was just given.
const REPORTS_BEFORE_ANSWER: u8 = 2;

impl<A: Clone + Ord> Node<A> {
    pub(super) fn take_changeover(
        &mut self,
        from: A,
        changeover: Changeover,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(report) = self.report.clone() else {
            return;
        };

        if changeover.epoch != report.epoch || !report.is_open {
            return;
        }

        self.roster.insert(changeover.holder, from.clone());
        let is_same = self.engaged.is_some_and(|e| e.round == changeover.round);

        match changeover.step {
            ChangeoverStep::Ready { placement_no } => {
                let accepts = is_same || self.is_ready(&report, &changeover, placement_no);

                // The pass is held, so the order that a leader may still wait for was taken.
                if let Some(lead) = &mut self.lead {
                    lead.note_held(changeover.pass);
                }

                if accepts && !is_same {
                    self.promised = self.promised.max(changeover.term);
                    self.engage(&changeover, 0, now);
                }

                actions.push(answer(from, changeover.round, changeover.pass, accepts, report));
            }
            ChangeoverStep::Recover => {
                if !is_same && changeover.pass > report.pass {
                    self.engage(&changeover, REPORTS_BEFORE_ANSWER, now);
                }
            }
            ChangeoverStep::Arm { placement_no } => {
                if let Some(engaged) = self.engaged.as_mut().filter(|_| is_same) {
                    engaged.armed = Some(placement_no);
                    engaged.heard_at = now;
                    actions.push(answer(from, changeover.round, changeover.pass, true, report));
                }
            }
            ChangeoverStep::Over if is_same => self.engaged = None,
            ChangeoverStep::Over => {}
        }
    }

    /// Tells whether the node takes part in a changeover to a placement.
    pub(super) fn is_ready(
        &self,
        report: &RankReport,
        changeover: &Changeover,
        placement_no: PlacementNo,
    ) -> bool {
        changeover.term >= self.promised
            && changeover.pass > report.pass
            && self.is_free_for(report, placement_no)
    }

    /// Tells whether the own rank can be brought to a placement, and takes part in nothing else.
    pub(super) fn is_free_for(&self, report: &RankReport, placement_no: PlacementNo) -> bool {
        report.prepared == Some(placement_no)
            && report.armed.is_none()
            && self.engaged.is_none()
            && self.holding.is_none()
    }

    pub(super) fn engage(&mut self, changeover: &Changeover, reports_due: u8, now: Moment) {
        let Changeover { holder, round, pass, .. } = *changeover;
        self.engaged =
            Some(Engaged { holder, round, pass, armed: None, heard_at: now, reports_due });
    }

    /// Answers the holder of the changeover that the node takes part in.
    pub(super) fn answer_holder(&self, report: &RankReport, actions: &mut Vec<Action<A>>) {
        let Some(Engaged { holder, round, pass, .. }) = self.engaged else {
            return;
        };

        if let Some(to) = self.roster.get(&holder).cloned() {
            actions.push(answer(to, round, pass, true, report.clone()));
        }
    }

    /// Tells the holder what the own engine says, as soon as it says what the holder waits for.
    pub(super) fn answer_after_report(
        &mut self,
        report: &RankReport,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(engaged) = &mut self.engaged else {
            return;
        };

        if engaged.reports_due > 0 {
            engaged.reports_due -= 1;

            if engaged.reports_due == 0 {
                self.answer_holder(report, actions);
            }
        } else if engaged.armed.is_some() && report.armed.is_some() {
            self.answer_holder(report, actions);
        }
    }

    /// Arms the own rank where the holder wants it, and asks a holder that has gone silent.
    pub(super) fn step_engaged(
        &mut self,
        report: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(engaged) = self.engaged else {
            return;
        };

        if report.pass >= engaged.pass {
            self.engaged = None;
            return;
        }

        if let Some(placement_no) = engaged.armed {
            let target = Armed { placement_no, pass: engaged.pass };

            if report.armed != Some(target) {
                let action = RankAction::Arm { placement_no, pass: engaged.pass };
                self.order_own(report, action, now, actions);
            }
        }

        if engaged.reports_due == 0 && now >= engaged.heard_at + self.options.heartbeat_period {
            self.engaged = Some(Engaged { heard_at: now, ..engaged });
            self.answer_holder(report, actions);
        }
    }
}

fn answer<A>(to: A, round: u64, pass: PassNo, accepts: bool, report: RankReport) -> Action<A> {
    let message = Message::Answer(ChangeoverAnswer { round, pass, accepts, report });

    Action::Send { to, message }
}
