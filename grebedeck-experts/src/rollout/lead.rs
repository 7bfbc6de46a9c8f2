//! What a leader does: it runs one plan after another, from copying weights to having a pass held.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Expert, Moment, Rank};

use super::absent::RemoteAccess;
use super::action::{Action, RankEvent};
use super::broadcast::FAN_OUT;
use super::message::{Directive, Stage, Status, Term};
use super::node::Node;
use super::options::NodeOptions;
use crate::engine::{INITIAL_PLACEMENT, PassNo, PlacementNo, RankAction, RankOrder, RankReport};
use crate::placement::{Placement, RankChange};

/// Bits of a placement's number that tell incarnations of the leaders' processes apart.
const INCARNATION_BITS: u32 = 20;
const INCARNATION_MASK: u64 = (1 << INCARNATION_BITS) - 1;

/// How long statuses of an earlier start of an engine are dropped after one of a later start.
/// Datagrams that arrive later than that are too old to be of use anyway.
const STALE_STATUS_WINDOW: Duration = Duration::from_secs(1);

/// Pause after the second plan in a row that was given up while ranks were armed, as passes are held
/// meanwhile. It doubles with each further one.
const MIN_PLAN_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// What keeps a leader from making a new plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanBlock {
    /// A plan is under way.
    UnderWay,
    /// A rank's node does not follow, or was not heard from recently.
    NotFollowing {
        /// The rank.
        rank: Rank,
    },
    /// A rank is still bound to an earlier plan.
    Bound {
        /// The rank.
        rank: Rank,
    },
    /// Plans were given up while ranks were armed, and the next one is put off.
    Paused,
}

/// State of a node while it leads.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    pub(super) term: Term,
    pub(super) started_at: Moment,
    pub(super) revision: u64,
    pub(super) plan: Plan,
    /// When the plan entered its present stage.
    stage_since: Moment,
    sent_at: Option<Moment>,
    /// Earliest time at which the plan's changes may be sent again.
    changes_due_at: Option<Moment>,
    pub(super) statuses: BTreeMap<Rank, (Status, Moment)>,
    /// When each rank's node itself was last heard from.
    pub(super) heard_at: BTreeMap<Rank, Moment>,
    pub(super) remote: RemoteAccess,
    /// Plans in a row that were given up while ranks were armed.
    given_up: u32,
    /// When the next plan may be made.
    plans_from: Moment,
}

#[derive(Clone, Debug)]
pub(super) enum Plan {
    Idle,
    Prepare {
        placement_no: PlacementNo,
        base_no: PlacementNo,
        shape: (u16, Expert),
        changes: Arc<Vec<RankChange>>,
    },
    Hold(HoldPlan),
}

#[derive(Clone, Copy, Debug)]
pub(super) struct HoldPlan {
    placement_no: PlacementNo,
    pass: PassNo,
    holder: Rank,
    /// The rank whose node is absent.
    absent: Option<Rank>,
    /// Holds that were attempted for this placement.
    holds: u32,
    ordered_at: Moment,
    /// Whether the engine is known to have accepted the order; repeated, it would hold a pass that
    /// was already released.
    is_accepted: bool,
    /// When the holder's engine first reported that the pass is no longer held.
    released_at: Option<Moment>,
}

impl HoldPlan {
    /// Updates the hold from the report of the holder's engine, which shows when the pass is held
    /// and when it no longer is.
    fn record_holder_report(&mut self, report: &RankReport, now: Moment) {
        let is_held = report.held == Some(self.pass);
        self.is_accepted |= is_held;

        if is_held {
            self.released_at = None;
        } else if self.is_accepted && self.released_at.is_none() {
            self.released_at = Some(now);
        }
    }
}

impl Leadership {
    pub(super) fn new(term: Term, now: Moment) -> Self {
        Leadership {
            term,
            started_at: now,
            revision: 0,
            plan: Plan::Idle,
            stage_since: now,
            sent_at: None,
            changes_due_at: None,
            statuses: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            remote: RemoteAccess::default(),
            given_up: 0,
            plans_from: now,
        }
    }

    /// Puts off the next plan, unless the last one is the first that was given up.
    fn pause_plans(&mut self, now: Moment) {
        let pause = match self.given_up {
            0 => Duration::ZERO,
            before => MIN_PLAN_PAUSE * 2u32.pow((before - 1).min(MAX_PAUSE_DOUBLINGS)),
        };
        self.given_up = self.given_up.saturating_add(1);
        self.plans_from = now + pause;
    }

    /// Whether a rank's engine has prepared a later placement.
    fn is_given_up(&self, placement_no: PlacementNo) -> bool {
        self.statuses.values().any(|(status, _)| status.report.has_prepared_later(placement_no))
    }

    pub(super) fn discard_plan(&mut self, now: Moment) {
        self.started_at = now;
        self.statuses.clear();
        self.heard_at.clear();
        self.revision += 1;
        self.plan = Plan::Idle;
        self.sent_at = None;
    }

    /// Whether a status is of an earlier start of a rank's engine than one received shortly before.
    /// Starts are told apart by the engine's clock, which may be set back: an earlier start that
    /// keeps being reported is accepted in the end.
    fn is_from_earlier_start(&self, status: &Status, now: Moment) -> bool {
        let Some((known, at)) = self.statuses.get(&status.report.rank) else {
            return false;
        };
        let starts = known.report.born_ms.zip(status.report.born_ms);

        starts.is_some_and(|(known, reported)| reported < known) && now < *at + STALE_STATUS_WINDOW
    }

    /// Returns the start time that a rank's engine reported last.
    pub(super) fn born_ms(&self, rank: Rank) -> Option<u64> {
        self.statuses.get(&rank).and_then(|(status, _)| status.report.born_ms)
    }

    pub(super) fn record_status(&mut self, status: Status, now: Moment) {
        if self.is_from_earlier_start(&status, now) {
            return;
        }

        if let Plan::Hold(plan) = &mut self.plan
            && status.report.rank == plan.holder
        {
            plan.record_holder_report(&status.report, now);
        }

        self.heard_at.insert(status.report.rank, now);
        self.statuses.insert(status.report.rank, (status, now));
    }

    pub(super) fn set_plan(&mut self, plan: Plan, now: Moment) {
        self.plan = plan;
        self.stage_since = now;
        self.revision += 1;
        self.sent_at = None;
        self.changes_due_at = None;
    }

    /// Whether every rank's node has promised to follow and was heard from recently.
    fn all_follow(&self, own: &RankReport, now: Moment, options: &NodeOptions) -> bool {
        self.first_not_following(own, now, options).is_none()
    }

    /// Returns the first rank whose node has not promised to follow, or was not heard from
    /// recently.
    fn first_not_following(
        &self,
        own: &RankReport,
        now: Moment,
        options: &NodeOptions,
    ) -> Option<Rank> {
        let follows = |(status, at): &(Status, Moment)| {
            status.promised == self.term
                && status.report.epoch == own.epoch
                && status.report.is_open
                && now < *at + options.status_lifetime
        };

        (0..own.size).find(|rank| !self.statuses.get(rank).is_some_and(follows))
    }

    fn all(&self, size: Rank, holds: impl Fn(&Status) -> bool) -> bool {
        (0..size).all(|rank| self.statuses.get(&rank).is_some_and(|(status, _)| holds(status)))
    }

    fn directive(&self, own: &RankReport) -> Directive {
        let stage = match &self.plan {
            Plan::Idle => Stage::Idle,
            Plan::Prepare { placement_no, base_no, shape, changes } => Stage::Prepare {
                placement_no: *placement_no,
                base_no: *base_no,
                shape: *shape,
                changes: Some(changes.clone()),
            },
            Plan::Hold(HoldPlan { placement_no, pass, holder, absent, .. }) => Stage::Hold {
                placement_no: *placement_no,
                pass: *pass,
                holder: *holder,
                absent: *absent,
            },
        };

        Directive { term: self.term, revision: self.revision, epoch: own.epoch, stage }
    }

    /// Returns the rank whose engine is to hold a pass. It is not the leader's own if there is
    /// another, so that neither the leader's instance nor the holder's can stall the group alone.
    fn holder(&self, own: &RankReport, absent: Option<Rank>) -> Rank {
        let may_hold = |rank: &Rank| *rank != own.rank && Some(*rank) != absent;

        (0..own.size).find(may_hold).unwrap_or(own.rank)
    }

    /// Records that the holder's engine has accepted the order to hold a pass.
    pub(super) fn record_hold_accepted(&mut self, taken: PassNo) {
        if let Plan::Hold(plan) = &mut self.plan {
            plan.is_accepted |= plan.pass == taken;
        }
    }

    /// Whether a rank has prepared a placement.
    pub(super) fn has_prepared(&self, rank: Rank, placement_no: PlacementNo) -> bool {
        let status = self.statuses.get(&rank);

        status.is_some_and(|(s, _)| s.report.prepared == Some(placement_no))
    }

    /// Records that the plan's changes were sent, not to be sent again before `due_at`.
    pub(super) fn record_changes_sent(&mut self, due_at: Moment) {
        self.changes_due_at = Some(due_at);
    }

    /// Whether the plan's changes may be sent now.
    pub(super) fn may_send_changes(&self, now: Moment) -> bool {
        self.changes_due_at.is_none_or(|at| now >= at)
    }

    /// Whether so few nodes lack the placement in use that it can be sent to each of them.
    fn is_base_widely_known(&self) -> bool {
        let is_unknown = |(status, _): &&(Status, Moment)| !status.knows_placement;

        self.statuses.values().filter(is_unknown).count() <= FAN_OUT
    }

    /// Returns the first rank that is bound to a plan, or uses another placement than the leader's
    /// rank.
    pub(super) fn first_bound(&self, own: &RankReport) -> Option<Rank> {
        let is_free = |s: &Status| {
            let is_bound = s.is_engaged || s.report.armed.is_some() || s.report.held.is_some();
            !is_bound && s.report.placement == own.placement
        };

        (0..own.size).find(|rank| !self.statuses.get(rank).is_some_and(|(s, _)| is_free(s)))
    }

    /// Whether a rank's node has applied a revision of this term's directive.
    pub(super) fn has_applied(&self, rank: Rank, revision: u64) -> bool {
        let status = self.statuses.get(&rank);

        status.is_some_and(|(s, _)| s.promised == self.term && s.revision == revision)
    }

    /// Returns the number of nodes that a rank's node knows.
    pub(super) fn known_to(&self, rank: Rank) -> Rank {
        self.statuses.get(&rank).map_or(0, |(status, _)| status.known)
    }

    fn newest_pass(&self) -> PassNo {
        self.statuses.values().map(|(status, _)| status.report.pass).max().unwrap_or(0)
    }
}

impl<A: Clone + Ord> Node<A> {
    /// Whether the node leads, and nothing keeps it from making a new plan.
    pub fn can_plan(&self, now: Moment) -> bool {
        self.is_leading() && self.plan_block(now).is_none()
    }

    /// Whether a message stems from another start of a rank's engine than the last status.
    pub fn is_of_other_start(&self, rank: Rank, born_ms: Option<u64>) -> bool {
        let known = self.lead.as_ref().and_then(|lead| lead.born_ms(rank));

        known.zip(born_ms).is_some_and(|(known, born_ms)| known != born_ms)
    }

    /// Returns what keeps a leader from making a new plan, or `None` if nothing does.
    pub fn plan_block(&self, now: Moment) -> Option<PlanBlock> {
        let (lead, own) = (self.lead.as_ref()?, self.report.as_ref()?);

        if !matches!(lead.plan, Plan::Idle) {
            return Some(PlanBlock::UnderWay);
        }

        if now < lead.plans_from {
            return Some(PlanBlock::Paused);
        }

        if let Some(rank) = lead.first_not_following(own, now, &self.options) {
            return Some(PlanBlock::NotFollowing { rank });
        }

        lead.first_bound(own).map(|rank| PlanBlock::Bound { rank })
    }

    /// Returns the latest report of each rank, in order, if the node leads and has all of them.
    pub fn group_reports(&self) -> Option<Vec<RankReport>> {
        let (lead, own) = (self.lead.as_ref()?, self.report.as_ref()?);
        let report = |rank| lead.statuses.get(&rank).map(|(status, _)| status.report.clone());

        (0..own.size).map(report).collect()
    }

    /// Starts to roll out a placement; does nothing unless [`can_plan`](Self::can_plan) holds.
    pub fn propose(&mut self, placement: Placement, now: Moment) -> Vec<Action<A>> {
        let mut actions = Vec::new();

        if !self.can_plan(now) {
            return actions;
        }

        let Some(in_use) = self.placement_in_use().cloned() else {
            return actions;
        };
        let shape = in_use.shape();
        let (base_no, base) = self.base_of_plan(in_use);
        let placement_no = self.next_placement_no();
        let changes = Arc::new(base.changes_to(&placement));
        self.last_proposed_no = placement_no;
        self.store_placement(placement_no, Arc::new(placement));

        if let Some(lead) = &mut self.lead {
            lead.set_plan(Plan::Prepare { placement_no, base_no, shape, changes }, now);
        }

        actions.extend(self.tick(now));
        actions
    }

    /// Returns the placement that a plan's changes are relative to: the one in use or, if many
    /// nodes do not know that, the initial one, which every node can compute. With the one in use,
    /// 62 of 63 nodes that had lost their state requested it from the leader; its link carried
    /// nothing else, and 22 nodes duration the lead in 22 s of virtual time.
    fn base_of_plan(&mut self, in_use: Arc<Placement>) -> (PlacementNo, Arc<Placement>) {
        let in_use_no = self.report.as_ref().map_or(INITIAL_PLACEMENT, |r| r.placement);

        if self.lead.as_ref().is_some_and(Leadership::is_base_widely_known) {
            return (in_use_no, in_use);
        }

        self.store_initial_placement(in_use.shape());
        let first = self.placements.get(&INITIAL_PLACEMENT).cloned();

        first.map_or((in_use_no, in_use), |first| (INITIAL_PLACEMENT, first))
    }

    /// Returns a number above all that any engine has had, and that no other leader generates.
    fn next_placement_no(&self) -> PlacementNo {
        let seen = |s: &Status| s.report.highest_placement_no().max(s.refused.unwrap_or_default());
        let statuses = self.lead.iter().flat_map(|l| l.statuses.values());

        self.placement_no_above(statuses.map(|(s, _)| seen(s)).max().unwrap_or(0))
    }

    /// Returns a number above `seen` that no other node generates.
    pub(super) fn placement_no_above(&self, seen: PlacementNo) -> PlacementNo {
        // A node that led before may have assigned a number that no engine has had yet.
        let highest = seen.max(self.last_proposed_no);

        // Two starts of a process may see the same numbers, and must not give one to two
        // placements.
        (((highest >> INCARNATION_BITS) + 1) << INCARNATION_BITS)
            | (self.incarnation & INCARNATION_MASK)
    }

    pub(super) fn step_lead(
        &mut self,
        own: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        if own.is_open {
            self.step_absent(own, now, actions);
            self.step_plan(own, now, actions);
        }

        let heartbeat_period = self.options.heartbeat_period;
        let Some(lead) = &mut self.lead else {
            return;
        };

        if lead.sent_at.is_none_or(|at| now >= at + heartbeat_period) {
            lead.sent_at = Some(now);
            let directive = lead.directive(own);
            self.broadcast(directive, now, actions);
        } else if matches!(lead.plan, Plan::Prepare { .. }) {
            let directive = lead.directive(own);
            self.send_changes(&directive, now);
        }
    }

    fn step_plan(&mut self, own: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let Some(lead) = &self.lead else {
            return;
        };

        match lead.plan.clone() {
            Plan::Idle => {}
            Plan::Prepare { placement_no, .. } => {
                self.step_prepare(placement_no, own, now, actions)
            }
            Plan::Hold(plan) => self.step_hold(plan, own, now, actions),
        }
    }

    fn step_prepare(
        &mut self,
        placement_no: PlacementNo,
        own: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let options = self.options;
        let Some(lead) = &mut self.lead else {
            return;
        };

        // A holder that the previous leader chose has brought the placement into use.
        if own.placement == placement_no {
            let pass = own.pass;
            lead.set_plan(Plan::Idle, now);
            actions.push(Action::Event(RankEvent::PlacementInUse { placement_no, pass }));
            return;
        }

        let is_refused = lead.statuses.values().any(|(s, _)| s.refused == Some(placement_no));
        let absent = lead.absent(own, now, &options);
        let is_overtaken = absent.is_some_and(|rank| lead.is_overtaken(rank, placement_no));
        let is_refused = is_refused || is_overtaken;
        let is_late = now >= lead.stage_since + options.prepare_timeout;

        if is_refused || is_late {
            let reason = if is_refused { "refused" } else { "not prepared in time" };
            lead.set_plan(Plan::Idle, now);
            actions.push(Action::Event(RankEvent::PlanAbandoned { placement_no, reason }));
            return;
        }

        let is_ready = lead.all(own.size, |s| s.report.prepared == Some(placement_no));

        let is_free = lead.first_bound(own).is_none();

        if !is_ready || !is_free || !lead.all_follow(own, now, &options) {
            return;
        }

        self.hold(placement_no, 1, own, now, actions);
    }

    /// Has a pass held, as many passes ahead as arming is expected to take.
    fn hold(
        &mut self,
        placement_no: PlacementNo,
        holds: u32,
        own: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let first_arm_time = self.options.for_all(self.options.initial_arm_time, own.size);
        let passes_ahead = self.passes.passes_ahead(self.arming.expected(first_arm_time), now);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let pass = (own.pass + passes_ahead).max(lead.newest_pass() + 1);
        let absent = lead.absent(own, now, &self.options);
        let holder = lead.holder(own, absent);
        let plan = HoldPlan {
            placement_no,
            pass,
            holder,
            absent,
            holds,
            ordered_at: now,
            is_accepted: false,
            released_at: None,
        };
        lead.set_plan(Plan::Hold(plan), now);
        actions.push(Action::Event(RankEvent::HoldRequested { placement_no, pass, holder }));
        actions.push(order_hold(own, holder, pass));
    }

    fn step_hold(
        &mut self,
        plan: HoldPlan,
        own: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let options = self.options;
        let HoldPlan { placement_no, pass, holder, holds, .. } = plan;
        let Some(lead) = &mut self.lead else {
            return;
        };

        if own.placement == placement_no {
            let duration = plan.released_at.unwrap_or(now) - lead.stage_since;
            lead.set_plan(Plan::Idle, now);
            lead.given_up = 0;
            self.arming.record(duration);
            actions.push(Action::Event(RankEvent::PlacementInUse { placement_no, pass }));
        } else if own.pass >= pass && lead.is_given_up(placement_no) {
            // The holder has given the arming up. Each further attempt could hold passes as long.
            lead.pause_plans(now);
            lead.set_plan(Plan::Idle, now);
            let reason = "given up while arming";
            actions.push(Action::Event(RankEvent::PlanAbandoned { placement_no, reason }));
        } else if own.pass >= pass && holds < options.max_hold_attempts {
            // The pass has begun with the old placement, so another one is held. No two holds are
            // ever under way at once.
            self.hold(placement_no, holds + 1, own, now, actions);
        } else if own.pass >= pass {
            lead.set_plan(Plan::Idle, now);
            let reason = "not all ready";
            actions.push(Action::Event(RankEvent::PlanAbandoned { placement_no, reason }));
        } else if !plan.is_accepted && now >= plan.ordered_at + options.order_retry_delay {
            lead.plan = Plan::Hold(HoldPlan { ordered_at: now, ..plan });
            actions.push(order_hold(own, holder, pass));
        }
    }
}

fn order_hold<A>(own: &RankReport, holder: Rank, pass: PassNo) -> Action<A> {
    let order = RankOrder { epoch: own.epoch, action: RankAction::Hold { pass } };

    Action::Order { rank: holder, order }
}
