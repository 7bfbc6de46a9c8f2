//! What the node beside the engine that holds a pass does, beyond deciding on it.

use std::collections::BTreeSet;

use grebedeck_core::{Moment, Rank};

use super::action::{Action, RankEvent};
use super::changeover::{Holding, HoldingAction, WantedHold};
use super::message::{Changeover, ChangeoverAnswer, ChangeoverStep, Message, Stage};
use super::node::Node;
use crate::engine::RankReport;

impl<A: Clone + Ord> Node<A> {
    pub(super) fn take_answer(
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

        match &mut self.holding {
            Some(holding) if holding.round() == answer.round => {
                holding.note_answer(answer.accepts, answer.report, now);
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

    /// Does what the node beside the engine that holds a pass has to do.
    pub(super) fn step_holding(
        &mut self,
        report: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        self.begin_holding(report, now, actions);
        let Some(mut holding) = self.holding.take() else {
            return;
        };
        let is_over = report.pass >= holding.pass()
            || (!holding.is_arming() && report.held != Some(holding.pass()));

        for action in holding.step(now, &self.options) {
            match action {
                HoldingAction::Tell(changeover, ranks) => {
                    self.tell_others(changeover, ranks.as_ref(), actions);
                }
                // What was wanted of engines is void once the pass has begun.
                _ if is_over => {}
                HoldingAction::Order(rank, order) => actions.push(Action::Order { rank, order }),
                HoldingAction::Ask(rank) => actions.push(Action::ReadReport { rank }),
            }
        }

        if is_over {
            self.released = Some(holding.pass());
            let note = RankEvent::PassReleased {
                pass: holding.pass(),
                placement_no: report.armed.map(|a| a.placement_no),
                held_for: now.saturating_sub(holding.since()),
            };
            actions.push(Action::Event(note));
        } else {
            self.holding = Some(holding);
        }
    }

    pub(super) fn begin_holding(
        &mut self,
        report: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(pass) = report.held.filter(|pass| *pass > report.pass) else {
            return;
        };

        if self.holding.is_some() {
            return;
        }

        let held_since = *self.held_since.get_or_insert(now);
        let round = self.next_round;
        let term = self.promised;

        self.holding = match self.wanted_hold(report) {
            // An order that was given again holds a pass once more that is decided already.
            _ if self.released == Some(pass) => {
                Some(Holding::release(report, term, pass, round, now))
            }
            // The hold is older than the process, and so may be what an earlier one has begun.
            _ if !self.saw_unheld => {
                actions.push(Action::Event(RankEvent::HeldPassFound { pass }));
                Some(Holding::recover(report, term, pass, round, now))
            }
            Some(wanted)
                if wanted.pass == pass && self.is_free_for(report, wanted.placement_no) =>
            {
                Some(Holding::new(report, term, wanted, round, now))
            }
            _ if now < held_since + self.options.hold_grace => return,
            // Nobody wants it, and nobody can be armed for it.
            _ => Some(Holding::release(report, term, pass, round, now)),
        };
        self.next_round = self.next_round.wrapping_add(1);
        self.held_since = None;
    }

    /// Gets the pass that the leader wants held at the own engine, and for what.
    pub(super) fn wanted_hold(&self, report: &RankReport) -> Option<WantedHold> {
        match &self.directive.as_ref()?.stage {
            Stage::Hold { placement_no, pass, holder, absent } if *holder == report.rank => {
                Some(WantedHold { placement_no: *placement_no, pass: *pass, absent: *absent })
            }
            _ => None,
        }
    }

    fn tell_others(
        &self,
        changeover: Changeover,
        ranks: Option<&BTreeSet<Rank>>,
        actions: &mut Vec<Action<A>>,
    ) {
        let is_meant = |rank: &Rank| ranks.is_none_or(|ranks| ranks.contains(rank));

        for (_, to) in self.known_others().filter(|(rank, _)| is_meant(rank)) {
            let message = Message::Changeover(changeover.clone());
            actions.push(Action::Send { to: to.clone(), message });
        }
    }
}
