//! What a leader does: one plan after another, from copying weights to letting the pass go.

use std::collections::BTreeMap;
use std::sync::Arc;

use grebedeck_core::{Moment, Rank};

use super::finish::Finish;
use super::message::{Directive, Stage, Status, Term};
use super::node::{Action, Node, NodeOptions, RankNote};
use crate::engine::{Armed, PassNo, PlacementNo, RankAction, RankOrder, RankReport};
use crate::placement::Placement;

/// A leadership.
#[derive(Clone, Debug)]
pub(super) struct Lead {
    term: Term,
    revision: u64,
    plan: Plan,
    led_since: Moment,
    since: Moment,
    told_at: Option<Moment>,
    statuses: BTreeMap<Rank, (Status, Moment)>,
}

#[derive(Clone, Debug)]
enum Plan {
    Idle,
    Prepare { placement_no: PlacementNo, placement: Arc<Placement> },
    Hold { placement_no: PlacementNo, pass: PassNo, ordered_at: Moment },
    Arm { placement_no: PlacementNo, pass: PassNo, holder: Rank },
}

impl Lead {
    pub(super) fn new(term: Term, now: Moment) -> Self {
        Lead {
            term,
            revision: 0,
            plan: Plan::Idle,
            led_since: now,
            since: now,
            told_at: None,
            statuses: BTreeMap::new(),
        }
    }

    pub(super) fn forget_plan(&mut self) {
        self.statuses.clear();
        self.revision += 1;
        self.plan = Plan::Idle;
        self.told_at = None;
    }

    pub(super) fn note_status(&mut self, status: Status, now: Moment) {
        self.statuses.insert(status.report.rank, (status, now));
    }

    /// Tells whether the nodes have had their time to arm their own ranks.
    pub(super) fn may_help(&self, now: Moment, options: &NodeOptions) -> bool {
        !matches!(self.plan, Plan::Arm { .. }) || now >= self.since + options.help_after
    }

    fn set_plan(&mut self, plan: Plan, now: Moment) {
        self.plan = plan;
        self.since = now;
        self.revision += 1;
        self.told_at = None;
    }

    /// Tells whether every rank's node has promised to follow and was heard of lately.
    fn follows_all(&self, own: &RankReport, now: Moment, options: &NodeOptions) -> bool {
        let follows = |(status, at): &(Status, Moment)| {
            status.promised == self.term
                && status.report.epoch == own.epoch
                && status.report.is_open
                && now < *at + options.status_lifetime
        };

        (0..own.size).all(|rank| self.statuses.get(&rank).is_some_and(follows))
    }

    /// Tells whether every node that was heard of lately has promised to follow, some time after the
    /// first message: whoever is silent then has forgotten earlier leaders, or looks before it acts.
    pub(super) fn follows_alive(&self, now: Moment, options: &NodeOptions) -> bool {
        let is_alive = |at: Moment| now < at + options.status_lifetime;
        let alive = self.statuses.values().filter(|(_, at)| is_alive(*at));

        now >= self.led_since + options.period * 2
            && alive.map(|(status, _)| status.promised).all(|promised| promised == self.term)
    }

    /// Tells whether the leader itself wants a pass held.
    pub(super) fn wants_held(&self, pass: PassNo) -> bool {
        match self.plan {
            Plan::Hold { pass: wanted, .. } | Plan::Arm { pass: wanted, .. } => wanted == pass,
            Plan::Idle | Plan::Prepare { .. } => false,
        }
    }

    fn all(&self, size: Rank, holds: impl Fn(&Status) -> bool) -> bool {
        (0..size).all(|rank| self.statuses.get(&rank).is_some_and(|(status, _)| holds(status)))
    }

    fn directive(&self, own: &RankReport) -> Directive {
        let stage = match &self.plan {
            Plan::Idle => Stage::Idle,
            Plan::Prepare { placement_no, placement } => {
                Stage::Prepare { placement_no: *placement_no, placement: placement.clone() }
            }
            // Nothing more is wanted of the nodes until the pass is held.
            Plan::Hold { .. } => Stage::Idle,
            Plan::Arm { placement_no, pass, holder } => {
                Stage::Arm { placement_no: *placement_no, pass: *pass, holder: *holder }
            }
        };

        Directive { term: self.term, revision: self.revision, epoch: own.epoch, stage }
    }

    fn newest_pass(&self) -> PassNo {
        self.statuses.values().map(|(status, _)| status.report.pass).max().unwrap_or(0)
    }
}

impl<A: Clone + PartialEq> Node<A> {
    /// Tells whether the node leads, and nothing keeps it from a new plan.
    pub fn can_plan(&self, now: Moment) -> bool {
        let (Some(lead), Some(own)) = (&self.lead, &self.report) else {
            return false;
        };
        let is_free = |s: &Status| s.report.armed.is_none() && s.report.held.is_none();

        matches!(lead.plan, Plan::Idle)
            && self.finish.is_none()
            && lead.follows_all(own, now, &self.options)
            && lead.all(own.size, |s| is_free(s) && s.report.placement == own.placement)
    }

    /// Gets what all ranks said last, in order, where the node leads and all are known.
    pub fn group_reports(&self) -> Option<Vec<RankReport>> {
        let (lead, own) = (self.lead.as_ref()?, self.report.as_ref()?);
        let report = |rank| lead.statuses.get(&rank).map(|(status, _)| status.report.clone());

        (0..own.size).map(report).collect()
    }

    /// Starts to roll a placement out; only where [`can_plan`](Self::can_plan) says so.
    pub fn propose(&mut self, placement: Placement, now: Moment) -> Vec<Action<A>> {
        let mut actions = Vec::new();

        if !self.can_plan(now) {
            return actions;
        }

        let placement_no = self.next_placement_no();
        let placement = Arc::new(placement);
        self.keep_placement(placement_no, placement.clone());

        if let Some(lead) = &mut self.lead {
            lead.set_plan(Plan::Prepare { placement_no, placement }, now);
        }

        actions.extend(self.tick(now));
        actions
    }

    /// Gets a number above all that any engine has had, and that no other leader draws.
    fn next_placement_no(&self) -> PlacementNo {
        let Some(own) = &self.report else {
            return 0;
        };
        let seen = |s: &Status| {
            let r = &s.report;
            let armed = r.armed.map(|a| a.placement_no);
            [Some(r.placement), r.prepared, armed, s.refused].into_iter().flatten().max()
        };
        let statuses = self.lead.iter().flat_map(|l| l.statuses.values());
        let highest = statuses.filter_map(|(s, _)| seen(s)).max().unwrap_or(0);
        let size = u64::from(own.size.max(1));

        (highest / size + 1) * size + u64::from(own.rank)
    }

    pub(super) fn step_lead(
        &mut self,
        own: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        if own.is_open {
            self.step_plan(own, now, actions);
        }

        let period = self.options.period;
        let Some(lead) = &mut self.lead else {
            return;
        };

        if lead.told_at.is_none_or(|at| now >= at + period) {
            lead.told_at = Some(now);
            let directive = lead.directive(own);
            self.broadcast(directive, actions);
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
            Plan::Hold { placement_no, pass, ordered_at } => {
                self.step_hold(placement_no, pass, ordered_at, own, now, actions);
            }
            Plan::Arm { placement_no, pass, .. } => {
                self.step_arm(placement_no, pass, own, now, actions);
            }
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
        let is_refused = lead.statuses.values().any(|(s, _)| s.refused == Some(placement_no));
        let is_late = now >= lead.since + options.prepare_limit;

        if is_refused || is_late {
            let reason = if is_refused { "refused" } else { "not prepared in time" };
            lead.set_plan(Plan::Idle, now);
            actions.push(Action::Note(RankNote::GivenUp { placement_no, reason }));
            return;
        }

        let is_ready = lead.all(own.size, |s| s.report.prepared == Some(placement_no));

        if !is_ready || !lead.follows_all(own, now, &options) {
            return;
        }

        let pass = lead.newest_pass() + options.passes_ahead;
        lead.set_plan(Plan::Hold { placement_no, pass, ordered_at: now }, now);
        actions.push(Action::Note(RankNote::Holding { placement_no, pass }));
        actions.push(order_hold(own, pass));
    }

    fn step_hold(
        &mut self,
        placement_no: PlacementNo,
        pass: PassNo,
        ordered_at: Moment,
        own: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let options = self.options;
        let Some(lead) = &mut self.lead else {
            return;
        };

        // A leader that was frozen meanwhile has to hear again from all before it arms anybody.
        if own.held == Some(pass) && lead.follows_all(own, now, &options) {
            let holder = own.rank;
            lead.set_plan(Plan::Arm { placement_no, pass, holder }, now);
            let target = Armed { placement_no, pass };
            let mut finish = Finish::new(own.epoch, own.size, target, holder);
            finish.note(own);
            self.finish = Some(finish);
            actions.push(Action::Note(RankNote::Arming { placement_no, pass }));
            return;
        }

        // The same pass is asked for until it has begun, so that no two holds are ever under way.
        if own.pass >= pass {
            let pass = lead.newest_pass().max(own.pass) + options.passes_ahead;
            lead.set_plan(Plan::Hold { placement_no, pass, ordered_at: now }, now);
            actions.push(order_hold(own, pass));
        } else if own.held != Some(pass) && now >= ordered_at + options.order_pause {
            lead.plan = Plan::Hold { placement_no, pass, ordered_at: now };
            actions.push(order_hold(own, pass));
        }
    }

    fn step_arm(
        &mut self,
        placement_no: PlacementNo,
        pass: PassNo,
        own: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let is_armed = self.finish.as_ref().is_none_or(Finish::is_armed);
        let Some(lead) = &mut self.lead else {
            return;
        };

        if own.pass >= pass || (is_armed && own.held.is_none()) {
            let held_for = now.saturating_sub(lead.since);
            lead.set_plan(Plan::Idle, now);
            self.finish = None;
            actions.push(Action::Note(RankNote::Released { placement_no, pass, held_for }));
        }
    }
}

fn order_hold<A>(own: &RankReport, pass: PassNo) -> Action<A> {
    let order = RankOrder { epoch: own.epoch, action: RankAction::Hold { pass } };

    Action::Order { rank: own.rank, order }
}
