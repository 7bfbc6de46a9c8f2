//! A node's part in a changeover that another node, the holder, drives.

use grebedeck_core::{Moment, Rank};

use super::action::Action;
use super::message::{Changeover, ChangeoverAnswer, ChangeoverStep, Message};
use super::node::Node;
use crate::engine::{Armed, PassNo, PlacementNo, RankAction, RankReport};

/// A changeover that a node takes part in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Participation {
    holder: Rank,
    round: u64,
    pass: PassNo,
    armed: Option<PlacementNo>,
    heard_at: Moment,
    /// Reports of the node's own engine still to come before the holder gets an answer.
    reports_due: u8,
}

/// Engine reports to await before a node answers a holder that lost its state: the first may have
/// been requested before an order that was just given.
const REPORTS_BEFORE_ANSWER: u8 = 2;

impl<A: Clone + Ord> Node<A> {
    pub(super) fn handle_changeover(
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
        let is_same = self.participation.is_some_and(|e| e.round == changeover.round);

        match changeover.step {
            ChangeoverStep::Ready { placement_no } => {
                let accepts = is_same || self.is_ready(&report, &changeover, placement_no);

                // The pass is held, so the engine has accepted the order that a leader may still
                // wait for.
                if let Some(lead) = &mut self.lead {
                    lead.record_hold_accepted(changeover.pass);
                }

                if accepts && !is_same {
                    self.promised = self.promised.max(changeover.term);
                    self.participate(&changeover, 0, now);
                }

                actions.push(answer(from, changeover.round, changeover.pass, accepts, report));
            }
            ChangeoverStep::Recover => {
                if !is_same && changeover.pass > report.pass {
                    self.participate(&changeover, REPORTS_BEFORE_ANSWER, now);
                }
            }
            ChangeoverStep::Arm { placement_no } => {
                if let Some(participation) = self.participation.as_mut().filter(|_| is_same) {
                    participation.armed = Some(placement_no);
                    participation.heard_at = now;
                    actions.push(answer(from, changeover.round, changeover.pass, true, report));
                }
            }
            ChangeoverStep::Over if is_same => self.participation = None,
            ChangeoverStep::Over => {}
        }
    }

    /// Whether the node can take part in a changeover to a placement.
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

    /// Whether the node's own rank can switch to a placement, and takes part in nothing else.
    pub(super) fn is_free_for(&self, report: &RankReport, placement_no: PlacementNo) -> bool {
        report.prepared == Some(placement_no)
            && report.armed.is_none()
            && self.participation.is_none()
            && self.held_pass.is_none()
    }

    pub(super) fn participate(&mut self, changeover: &Changeover, reports_due: u8, now: Moment) {
        let Changeover { holder, round, pass, .. } = *changeover;
        self.participation =
            Some(Participation { holder, round, pass, armed: None, heard_at: now, reports_due });
    }

    /// Answers the holder of the changeover that the node takes part in.
    pub(super) fn answer_holder(&self, report: &RankReport, actions: &mut Vec<Action<A>>) {
        let Some(Participation { holder, round, pass, .. }) = self.participation else {
            return;
        };

        if let Some(to) = self.roster.get(&holder).cloned() {
            actions.push(answer(to, round, pass, true, report.clone()));
        }
    }

    /// Answers the holder as soon as the node's own engine reports what the holder waits for.
    pub(super) fn answer_after_report(
        &mut self,
        report: &RankReport,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(participation) = &mut self.participation else {
            return;
        };

        if participation.reports_due > 0 {
            participation.reports_due -= 1;

            if participation.reports_due == 0 {
                self.answer_holder(report, actions);
            }
        } else if participation.armed.is_some() && report.armed.is_some() {
            self.answer_holder(report, actions);
        }
    }

    /// Arms the node's own rank if the holder requests it, and polls a holder that has gone silent.
    pub(super) fn step_participation(
        &mut self,
        report: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(participation) = self.participation else {
            return;
        };

        if report.pass >= participation.pass {
            self.participation = None;
            return;
        }

        if let Some(placement_no) = participation.armed {
            let target = Armed { placement_no, pass: participation.pass };

            if report.armed != Some(target) {
                let action = RankAction::Arm { placement_no, pass: participation.pass };
                self.order_own(report, action, now, actions);
            }
        }

        if participation.reports_due == 0
            && now >= participation.heard_at + self.options.heartbeat_period
        {
            self.participation = Some(Participation { heard_at: now, ..participation });
            self.answer_holder(report, actions);
        }
    }
}

fn answer<A>(to: A, round: u64, pass: PassNo, accepts: bool, report: RankReport) -> Action<A> {
    let message = Message::Answer(ChangeoverAnswer { round, pass, accepts, report });

    Action::Send { to, message }
}
