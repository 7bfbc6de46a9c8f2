//! Changes placements while one rank's process is away, by reading and ordering its engine
//! remotely.
//!
//! Only the engine's own report counts. At most one absent rank is handled this way, in a group
//! where the others are a majority: no second leader can then have all others follow it, and
//! whatever the absent rank cannot do is found out before any other rank is armed. Remote access
//! costs extra calls, so it begins only once the node has been silent for the lifetime of a status.

use std::time::Duration;

use grebedeck_core::{Moment, Rank};

use super::action::{Action, RankEvent};
use super::lead::{Leadership, Plan};
use super::message::Status;
use super::node::Node;
use super::options::NodeOptions;
use crate::engine::{PlacementNo, RankAction, RankOrder, RankReport};

/// Smallest group that continues without one rank: the others are a majority.
const MIN_RANKS: Rank = 3;
/// Interval between readings of an idle absent engine: two fit into the lifetime of a status.
const IDLE_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before a copy order is repeated: longer than a copy takes, since engines do not report
/// that one is in progress.
const PREPARE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Progress of remote access to the absent rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RemoteAccess {
    rank: Option<Rank>,
    read_at: Option<Moment>,
    prepared: Option<(PlacementNo, Moment)>,
}

impl Leadership {
    /// Returns the rank whose node is silent, if it is the only one.
    pub(super) fn absent(
        &self,
        own: &RankReport,
        now: Moment,
        options: &NodeOptions,
    ) -> Option<Rank> {
        if own.size < MIN_RANKS {
            return None;
        }

        let heard_at = |rank: &Rank| self.heard_at.get(rank).copied().unwrap_or(self.started_at);
        let is_silent =
            |rank: &Rank| *rank != own.rank && now >= heard_at(rank) + options.status_lifetime;
        let mut silent = (0..own.size).filter(is_silent);
        let first = silent.next()?;

        silent.next().is_none().then_some(first)
    }

    /// Records a report that was read from the absent rank's engine, in place of its node's status.
    fn record_remote_report(&mut self, report: RankReport, now: Moment) {
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

    /// Whether the absent rank's engine has moved on to a later placement, and thus will never copy
    /// this one.
    pub(super) fn is_overtaken(&self, rank: Rank, placement_no: PlacementNo) -> bool {
        let report = self.statuses.get(&rank).map(|(status, _)| &status.report);

        report.is_some_and(|report| report.is_overtaken(placement_no))
    }
}

impl<A: Clone + Ord> Node<A> {
    /// Returns the absent rank, if this node leads.
    pub(super) fn absent(&self, now: Moment) -> Option<Rank> {
        let (lead, own) = (self.lead.as_ref()?, self.report.as_ref()?);

        lead.absent(own, now, &self.options)
    }

    /// Handles a report read from another rank's engine; ignored unless this node leads and that
    /// rank is absent.
    pub(super) fn handle_remote_report(&mut self, report: RankReport, now: Moment) {
        let (Some(lead), Some(own)) = (&mut self.lead, &self.report) else {
            return;
        };
        let is_same = report.group == own.group && report.epoch == own.epoch;

        if is_same && lead.absent(own, now, &self.options) == Some(report.rank) {
            lead.record_remote_report(report, now);
        }
    }

    /// Has the absent rank's engine read, and has it copy the planned placement.
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
        // Without its address, the engine cannot be reached.
        let absent = lead.absent(own, now, &options).filter(|r| self.roster.contains_key(r));

        if lead.remote.rank != absent {
            let before = std::mem::replace(
                &mut lead.remote,
                RemoteAccess { rank: absent, ..RemoteAccess::default() },
            );
            let ends = before.rank.map(|rank| Action::Event(RankEvent::RemoteAccessEnded { rank }));
            let begins = absent.map(|rank| Action::Event(RankEvent::RemoteAccessStarted { rank }));
            actions.extend(ends.into_iter().chain(begins));
        }

        let Some(rank) = absent else {
            return;
        };

        let is_at_rest = matches!(lead.plan, Plan::Idle) && lead.first_bound(own) != Some(rank);
        let read_interval = if is_at_rest { IDLE_READ_INTERVAL } else { options.order_retry_delay };

        if lead.remote.read_at.is_none_or(|at| now >= at + read_interval) {
            lead.remote.read_at = Some(now);
            actions.push(Action::ReadReport { rank });
        }

        let Plan::Prepare { placement_no, .. } = lead.plan else {
            return;
        };
        let is_known = lead.statuses.contains_key(&rank);
        let was_ordered = |(no, at)| no == placement_no && now < at + PREPARE_RETRY_DELAY;

        if !is_known
            || lead.has_prepared(rank, placement_no)
            || lead.remote.prepared.is_some_and(was_ordered)
        {
            return;
        }

        if let Some(placement) = self.placements.get(&placement_no).cloned() {
            lead.remote.prepared = Some((placement_no, now));
            let action = RankAction::Prepare { placement_no, placement };
            let order = RankOrder { epoch: own.epoch, action };
            actions.push(Action::Order { rank, order });
        }
    }
}
