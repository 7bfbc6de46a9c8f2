//! What a holder does around the decisions of [`HeldPass`]: starting and ending a changeover, and
//! carrying its actions to nodes and engines.

use std::collections::BTreeSet;

use grebedeck_core::{Moment, Rank};

use super::action::{Action, RankEvent};
use super::changeover::{HeldPass, HeldPassAction, RequestedHold};
use super::fence::Fence;
use super::message::{Changeover, ChangeoverAnswer, ChangeoverStep, Message, Stage};
use super::node::Node;
use crate::engine::RankReport;

impl<A: Clone + Ord> Node<A> {
    pub(super) fn handle_answer(
        &mut self,
        from: A,
        answer: ChangeoverAnswer,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(report) = self.report.clone() else {
            return;
        };

        if report.epoch != answer.report.epoch {
            return;
        }

        self.roster.insert(answer.report.rank, from.clone());

        match &mut self.held_pass {
            Some(held_pass) if held_pass.round() == answer.round => {
                held_pass.record_answer(answer.accepts, answer.report, now);
            }
            // The node takes part in a changeover that has ended.
            _ if report.held != Some(answer.pass) => {
                let over = Changeover {
                    term: self.promised,
                    epoch: report.epoch,
                    holder: report.rank,
                    round: answer.round,
                    pass: answer.pass,
                    step: ChangeoverStep::Over,
                };
                actions.push(Action::Send { to: from, message: Message::Changeover(over) });
            }
            _ => {}
        }
    }

    /// Runs the changeover that this node holds a pass for, if any.
    pub(super) fn step_held_pass(
        &mut self,
        report: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        self.begin_held_pass(report, now, actions);
        self.provide_fence(actions);
        let Some(mut held_pass) = self.held_pass.take() else {
            return;
        };
        let is_over = report.pass >= held_pass.pass()
            || (!held_pass.is_arming() && report.held != Some(held_pass.pass()));

        for action in held_pass.step(now, &self.options) {
            match action {
                HeldPassAction::Send(changeover, ranks) => {
                    self.send_changeover(changeover, ranks.as_ref(), actions);
                }
                // Orders to engines are void once the pass has begun.
                _ if is_over => {}
                HeldPassAction::Order(rank, order) => actions.push(Action::Order { rank, order }),
                HeldPassAction::ReadReport(rank) => actions.push(Action::ReadReport { rank }),
            }
        }

        if is_over {
            self.released = Some(held_pass.pass());
            let event = RankEvent::PassReleased {
                pass: held_pass.pass(),
                placement_no: report.armed.map(|a| a.placement_no),
                held_for: now.saturating_sub(held_pass.phase_since()),
            };
            actions.push(Action::Event(event));
        } else {
            self.held_pass = Some(held_pass);
        }
    }

    /// Provides the fence that a changeover needs, once the placement in use is known.
    fn provide_fence(&mut self, actions: &mut Vec<Action<A>>) {
        let Some(held_pass) = self.held_pass.as_ref().filter(|held_pass| held_pass.needs_fence())
        else {
            return;
        };
        let Some(placement) = self.placement_in_use().cloned() else {
            return;
        };
        let pass = held_pass.pass();
        let placement_no = self.placement_no_above(held_pass.highest_placement_no());
        self.last_proposed_no = placement_no;

        if let Some(held_pass) = &mut self.held_pass {
            held_pass.set_fence(Fence { placement_no, placement });
            actions.push(Action::Event(RankEvent::RanksFenced { pass, placement_no }));
        }
    }

    pub(super) fn begin_held_pass(
        &mut self,
        report: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(pass) = report.held.filter(|pass| *pass > report.pass) else {
            return;
        };

        if self.held_pass.is_some() {
            return;
        }

        let held_since = *self.held_since.get_or_insert(now);
        let round = self.next_round;
        let term = self.promised;

        self.held_pass = match self.requested_hold(report) {
            // A repeated order has held a pass again that was already decided on.
            _ if self.released == Some(pass) => {
                Some(HeldPass::release(report, term, pass, round, now))
            }
            // The hold is older than the process, so an earlier process may have begun a
            // changeover.
            _ if !self.has_seen_unheld => {
                actions.push(Action::Event(RankEvent::HeldPassFound { pass }));
                Some(HeldPass::recover(report, term, pass, round, now))
            }
            Some(requested)
                if requested.pass == pass && self.is_free_for(report, requested.placement_no) =>
            {
                Some(HeldPass::new(report, term, requested, round, now))
            }
            _ if now < held_since + self.options.hold_grace => return,
            // No leader requests the hold, and no rank can be armed for it.
            _ => Some(HeldPass::release(report, term, pass, round, now)),
        };
        self.next_round = self.next_round.wrapping_add(1);
        self.held_since = None;
    }

    /// Returns the hold that the leader requests at the node's own engine.
    pub(super) fn requested_hold(&self, report: &RankReport) -> Option<RequestedHold> {
        match &self.directive.as_ref()?.stage {
            Stage::Hold { placement_no, pass, holder, absent } if *holder == report.rank => {
                Some(RequestedHold { placement_no: *placement_no, pass: *pass, absent: *absent })
            }
            _ => None,
        }
    }

    fn send_changeover(
        &self,
        changeover: Changeover,
        ranks: Option<&BTreeSet<Rank>>,
        actions: &mut Vec<Action<A>>,
    ) {
        let is_addressed = |rank: &Rank| ranks.is_none_or(|ranks| ranks.contains(rank));

        for (_, to) in self.known_peers().filter(|(rank, _)| is_addressed(rank)) {
            let message = Message::Changeover(changeover.clone());
            actions.push(Action::Send { to: to.clone(), message });
        }
    }
}
