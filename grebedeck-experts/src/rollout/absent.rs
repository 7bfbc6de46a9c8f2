//! A rank whose process is away: its engine is read and prepared from afar, so that placements go on changing.
//!
//! What counts is the engine's own word. One rank at a time is treated so, in a group where a majority is left:
//! no second leader can have all the others follow meanwhile, and what may be impossible at that one rank is found out
//! before anybody else is armed. Reading and ordering from afar has its price, so it is done only for a node
//! that has been silent for as long as a status is believed.

use std::time::Duration;

use grebedeck_core::{Moment, Rank};

use super::action::{Action, RankEvent};
use super::lead::{Lead, Plan};
use super::message::Status;
use super::node::Node;
use super::options::NodeOptions;
use crate::engine::{PlacementNo, RankAction, RankOrder, RankReport};

/// Least ranks of a group that goes on without one: the others are a majority.
const LEAST_RANKS: Rank = 3;
/// Pause between two readings of the engine while nothing of it is waited for: two of them within a status's lifetime.
const IDLE_READ_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two orders to copy: longer than a copy takes, which an engine does not tell of.
const PREPARE_PAUSE: Duration = Duration::from_millis(500);

/// What was done for the absent rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Help {
    rank: Option<Rank>,
    asked_at: Option<Moment>,
    prepared: Option<(PlacementNo, Moment)>,
}

impl Lead {
    /// Gets the rank whose node is silent, where it is the only one.
    pub(super) fn absent(
        &self,
        own: &RankReport,
        now: Moment,
        options: &NodeOptions,
    ) -> Option<Rank> {
        if own.size < LEAST_RANKS {
            return None;
        }

        let heard_at = |rank: &Rank| self.heard_at.get(rank).copied().unwrap_or(self.began_at);
        let is_silent =
            |rank: &Rank| *rank != own.rank && now >= heard_at(rank) + options.status_lifetime;
        let mut silent = (0..own.size).filter(is_silent);
        let first = silent.next()?;

        silent.next().is_none().then_some(first)
    }

    /// Takes in what the absent rank's engine says, in place of its node.
    fn note_afar(&mut self, report: RankReport, now: Moment) {
        let status = Status {
            promised: self.term,
            refused: None,
            is_engaged: false,
            known: report.size,
            revision: self.revision,
            knows_placement: true,
            report,
        };

        self.statuses.insert(status.report.rank, (status, now));
    }

    /// Tells whether the absent rank's engine has gone on to a later placement than a wanted one, which it will
    /// never copy then.
    pub(super) fn is_overtaken(&self, rank: Rank, placement_no: PlacementNo) -> bool {
        let report = self.statuses.get(&rank).map(|(status, _)| &status.report);

        report.is_some_and(|r| r.prepared.max(Some(r.placement)) > Some(placement_no))
    }
}

impl<A: Clone + Ord> Node<A> {
    /// Gets the rank whose node is away, where the node leads.
    pub(super) fn absent(&self, now: Moment) -> Option<Rank> {
        let (lead, own) = (self.lead.as_ref()?, self.report.as_ref()?);

        lead.absent(own, now, &self.options)
    }

    /// Takes in what another rank's engine says, where the node leads and that rank's node is away.
    pub(super) fn take_report_from_afar(&mut self, report: RankReport, now: Moment) {
        let (Some(lead), Some(own)) = (&mut self.lead, &self.report) else {
            return;
        };
        let is_same = report.group == own.group && report.epoch == own.epoch;

        if is_same && lead.absent(own, now, &self.options) == Some(report.rank) {
            lead.note_afar(report, now);
        }
    }

    /// Has the absent rank's engine read, and copy what the plan wants.
    pub(super) fn step_absent(
        &mut self,
        own: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let options = self.options;
        let Some(lead) = &mut self.lead else {
            return;
        };
        // Without its address, nothing can be asked of it.
        let absent = lead.absent(own, now, &options).filter(|r| self.roster.contains_key(r));

        if lead.help.rank != absent {
            let before =
                std::mem::replace(&mut lead.help, Help { rank: absent, ..Help::default() });
            let ends = before.rank.map(|rank| Action::Event(RankEvent::RemoteAccessEnded { rank }));
            let begins = absent.map(|rank| Action::Event(RankEvent::RemoteAccessStarted { rank }));
            actions.extend(ends.into_iter().chain(begins));
        }

        let Some(rank) = absent else {
            return;
        };

        let is_at_rest = matches!(lead.plan, Plan::Idle) && lead.first_bound(own) != Some(rank);
        let read_pause = if is_at_rest { IDLE_READ_PAUSE } else { options.order_retry_delay };

        if lead.help.asked_at.is_none_or(|at| now >= at + read_pause) {
            lead.help.asked_at = Some(now);
            actions.push(Action::ReadReport { rank });
        }

        let Plan::Prepare { placement_no, .. } = lead.plan else {
            return;
        };
        let is_known = lead.statuses.contains_key(&rank);
        let was_ordered = |(no, at)| no == placement_no && now < at + PREPARE_PAUSE;

        if !is_known
            || lead.has_prepared(rank, placement_no)
            || lead.help.prepared.is_some_and(was_ordered)
        {
            return;
        }

        if let Some(placement) = self.placements.get(&placement_no).cloned() {
            lead.help.prepared = Some((placement_no, now));
            let action = RankAction::Prepare { placement_no, placement };
            let order = RankOrder { epoch: own.epoch, action };
            actions.push(Action::Order { rank, order });
        }
    }
}
