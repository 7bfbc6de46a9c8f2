//! One node of a group: follows its leader and keeps its own rank's engine in step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use grebedeck_core::{Moment, Rank};

use super::action::{Action, RankEvent};
use super::arming::ArmingTime;
use super::bulk::BulkQueue;
use super::changeover::Holding;
use super::engaged::Engaged;
use super::lead::Lead;
use super::message::{Directive, Message, RankPart, Stage, Status, Term};
use super::options::NodeOptions;
use super::passes::PassClock;
use super::tell::NAMED_RANKS;
use crate::engine::{
    INITIAL_PLACEMENT, OrderOutcome, PassNo, PlacementNo, RankAction, RankOrder, RankReport,
};
use crate::placement::Placement;

/// One node.
#[derive(Clone, Debug)]
pub struct Node<A> {
    pub(super) options: NodeOptions,
    pub(super) own_address: A,
    pub(super) report: Option<RankReport>,
    pub(super) passes: PassClock,
    pub(super) arming: ArmingTime,
    pub(super) promised: Term,
    pub(super) roster: BTreeMap<Rank, A>,
    pub(super) lead: Option<Lead>,
    pub(super) others: BTreeSet<A>,
    /// Whether the others are yet to be set, and no lead is taken before.
    pub(super) awaits_others: bool,
    /// Those of them that are known to be of other groups, and since when.
    pub(super) elsewhere: BTreeMap<A, Moment>,
    pub(super) leader: Option<A>,
    pub(super) heard_at: Moment,
    /// Whether the leader that stops has called on this node to follow it.
    pub(super) is_called: bool,
    /// Leads that were lost to others since a placement last came into use.
    pub(super) lost_leads: u32,
    pub(super) directive: Option<Directive>,
    pub(super) refused: Option<PlacementNo>,
    pub(super) ordered: Option<(RankOrder, Moment)>,
    pub(super) told_at: Option<Moment>,
    pub(super) told: Option<Status>,
    pub(super) engaged: Option<Engaged>,
    pub(super) holding: Option<Holding>,
    /// When a hold was first seen that the node has no changeover for.
    pub(super) held_since: Option<Moment>,
    /// The last pass that the node has let go.
    pub(super) released: Option<PassNo>,
    /// Whether the own engine was seen without a hold since the node started.
    pub(super) saw_unheld: bool,
    /// Drawn at the start of the process.
    pub(super) life: u64,
    /// The next changeover's round, counted from the life.
    pub(super) next_round: u64,
    pub(super) placements: BTreeMap<PlacementNo, Arc<Placement>>,
    /// The last number that the node gave to a placement.
    pub(super) proposed_no: PlacementNo,
    pub(super) bulk: BulkQueue<A>,
    pub(super) parts: BTreeMap<Rank, RankPart>,
    pub(super) parts_of: PlacementNo,
    pub(super) asked_parts_at: Option<Moment>,
    pub(super) asked_placement_at: Option<Moment>,
}

impl<A: Clone + Ord> Node<A> {
    /// Makes a node that knows nothing of its group; `life` is drawn for each start of the process.
    pub fn new(own_address: A, life: u64, now: Moment, options: NodeOptions) -> Self {
        Node {
            options,
            own_address,
            report: None,
            passes: PassClock::default(),
            arming: ArmingTime::default(),
            promised: Term::default(),
            roster: BTreeMap::new(),
            lead: None,
            others: BTreeSet::new(),
            awaits_others: false,
            elsewhere: BTreeMap::new(),
            leader: None,
            heard_at: now,
            is_called: false,
            lost_leads: 0,
            directive: None,
            refused: None,
            ordered: None,
            told_at: None,
            told: None,
            engaged: None,
            holding: None,
            held_since: None,
            released: None,
            saw_unheld: false,
            life,
            next_round: life,
            placements: BTreeMap::new(),
            proposed_no: 0,
            bulk: BulkQueue::new(now),
            parts: BTreeMap::new(),
            parts_of: 0,
            asked_parts_at: None,
            asked_placement_at: None,
        }
    }

    /// Has the node take no lead before [`Node::set_peers`]: one that nobody hears of only sets off others.
    pub fn await_peers(&mut self) {
        self.awaits_others = true;
    }

    /// Sets the other nodes of the group, whatever their ranks.
    pub fn set_peers(&mut self, others: BTreeSet<A>) {
        self.awaits_others = false;
        self.elsewhere.retain(|other, _| others.contains(other));
        self.others = others;
    }

    /// Notes that another node is of another group of the same service.
    pub fn mark_foreign(&mut self, other: A, now: Moment) {
        self.elsewhere.insert(other, now);
    }

    /// Gets the address of a rank's node.
    pub fn address_of(&self, rank: Rank) -> Option<&A> {
        self.roster.get(&rank)
    }

    /// Gets the address of the leader that the node follows, where it is another node.
    pub fn leader(&self) -> Option<&A> {
        match &self.lead {
            Some(_) => None,
            None => self.leader.as_ref(),
        }
    }

    /// Tells whether the node leads its group.
    pub fn is_leading(&self) -> bool {
        self.lead.is_some()
    }

    /// Tells whether the node leads, or will soon take the lead.
    pub fn may_lead_soon(&self, now: Moment) -> bool {
        let soon = now + self.options.peer_lookup_lead_time;

        self.is_leading() || self.report.as_ref().is_some_and(|r| self.may_claim(r.rank, soon))
    }

    /// Tells whether the node is one of the first to take the lead, which a leader names all nodes to.
    pub fn is_early_candidate(&self) -> bool {
        self.report.as_ref().is_some_and(|r| r.rank < NAMED_RANKS)
    }

    /// Tells whether the node needs the other nodes to take the lead, and does not know them.
    pub fn needs_peers(&self, now: Moment) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let knows_all = self.roster.len() == usize::from(report.size);
        // Those that are first to take the lead have to know whom to tell by then, and reading the list takes a while.
        let is_early = self.awaits_others && self.is_early_candidate();

        !knows_all && (is_early || self.may_lead_soon(now))
    }

    /// Gets what the node's own engine said last.
    pub fn report(&self) -> Option<&RankReport> {
        self.report.as_ref()
    }

    /// Tells whether a plan is under way, so that engines should be read often.
    pub fn is_busy(&self) -> bool {
        let has_plan = self.directive.as_ref().is_some_and(|d| d.stage != Stage::Idle);
        let is_bound = self.report.as_ref().is_some_and(|r| r.armed.is_some() || r.held.is_some());

        has_plan || is_bound || self.engaged.is_some() || self.holding.is_some()
    }

    /// Gets the placement in use, where the node knows it.
    pub fn placement_in_use(&self) -> Option<&Arc<Placement>> {
        self.placements.get(&self.report.as_ref()?.placement)
    }

    /// Takes in what a rank's engine says, the node's own or one that it asked.
    pub fn on_report(&mut self, report: RankReport, now: Moment) -> Vec<Action<A>> {
        let mut actions = Vec::new();

        if let Some(holding) = &mut self.holding {
            holding.note_report(report.clone());
        }

        match &self.report {
            Some(own) if own.rank != report.rank => self.take_report_from_afar(report, now),
            _ => self.take_own_report(report, now, &mut actions),
        }

        self.step(now, &mut actions);
        actions
    }

    /// Takes in a message of another node.
    pub fn on_message(&mut self, from: A, message: Message<A>, now: Moment) -> Vec<Action<A>> {
        let mut actions = Vec::new();
        self.elsewhere.remove(&from);

        match message {
            Message::Lead { directive, roster } => {
                self.take_directive(from, directive, roster, now, &mut actions);
            }
            Message::Relay { leader, directive, to } => {
                self.pass_on(&leader, &directive, to);
                self.take_directive(leader, directive, Vec::new(), now, &mut actions);
            }
            Message::Status(status) => self.take_status(from, status, now, &mut actions),
            Message::Changeover(changeover) => {
                self.take_changeover(from, changeover, now, &mut actions);
            }
            Message::Answer(answer) => self.take_answer(from, answer, now, &mut actions),
            Message::AskPlacement { placement_no } => {
                self.send_placement(from, placement_no, now, &mut actions);
            }
            Message::Placement { placement_no, placement } => {
                self.store_placement(placement_no, placement);
            }
            Message::Resign { term, next } => self.take_resign(term, next, now),
            Message::AskPart { placement_no } => self.send_part(from, placement_no, &mut actions),
            Message::Part { placement_no, rank, part } => self.take_part(placement_no, rank, part),
        }

        self.step(now, &mut actions);
        actions
    }

    /// Takes in what became of an order.
    pub fn on_order_outcome(&mut self, rank: Rank, order: &RankOrder, end: OrderOutcome) {
        // What an engine refused before the group formed anew says nothing of the plans since.
        let is_own = self.report.as_ref().is_some_and(|r| r.rank == rank && r.epoch == order.epoch);

        if let (true, RankAction::Prepare { placement_no, .. }, OrderOutcome::Refused) =
            (is_own, &order.action, end)
        {
            self.refused = Some(*placement_no);
            self.told_at = None;
        }

        if let (Some(holding), OrderOutcome::Taken) = (&mut self.holding, end) {
            holding.note_armed(rank, order);
        }

        if let (Some(lead), RankAction::Hold { pass }, OrderOutcome::Taken) =
            (&mut self.lead, &order.action, end)
        {
            lead.note_held(*pass);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Moment) -> Vec<Action<A>> {
        let mut actions = Vec::new();
        self.step(now, &mut actions);

        actions
    }

    fn step(&mut self, now: Moment, actions: &mut Vec<Action<A>>) {
        let Some(report) = self.report.clone() else {
            return;
        };

        if report.is_open {
            self.prepare(&report, now, actions);
            self.step_engaged(&report, now, actions);
            self.step_holding(&report, now, actions);
        }

        self.claim(&report, now, actions);
        self.step_lead(&report, now, actions);
        self.tell_status(&report, now, actions);
        self.ask_parts(&report, now, actions);
        self.send_bulk(now, actions);
    }

    pub(super) fn take_own_report(
        &mut self,
        report: RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        self.passes.note(&report, now);
        let before = self.report.replace(report.clone());
        let is_same = |b: &RankReport| {
            b.group == report.group && b.epoch == report.epoch && b.born_ms == report.born_ms
        };
        let is_new_epoch = !before.as_ref().is_some_and(is_same);

        if before.as_ref().is_some_and(|b| b.placement != report.placement) {
            self.lost_leads = 0;
        }

        if before.as_ref().is_some_and(|b| b.group != report.group) {
            self.elsewhere.clear();
        }

        if before.is_none() {
            // Whoever leads had no way to tell before.
            self.heard_at = now;
        }

        if is_new_epoch || !report.is_open {
            self.forget_plans(&report, is_new_epoch, now, actions);
        }

        if report.held.is_none() {
            self.saw_unheld = true;
            self.held_since = None;
        }

        self.roster.insert(report.rank, self.own_address.clone());
        self.answer_after_report(&report, actions);
    }

    /// Drops all that the engines have forgotten.
    fn forget_plans(
        &mut self,
        report: &RankReport,
        is_new_epoch: bool,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        self.directive = None;
        self.engaged = None;
        self.holding = None;
        self.released = None;
        self.refused = None;
        self.ordered = None;

        if let Some(lead) = &mut self.lead {
            lead.forget_plan(now);
        }

        if is_new_epoch {
            // Ranks may have changed their places, and numbers count from the start again.
            self.roster.clear();
            self.parts.clear();
            self.placements.retain(|no, p| *no == INITIAL_PLACEMENT && p.ranks() == report.size);
            actions.push(Action::Event(RankEvent::EpochChanged(report.epoch)));
        }
    }

    fn take_directive(
        &mut self,
        from: A,
        directive: Directive,
        roster: Vec<(Rank, A)>,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        if directive.term < self.promised {
            // The earlier leader learns from the status that it is one no more.
            self.send_status(from, actions);
            return;
        }

        if directive.term > self.promised {
            self.follow(directive.term, actions);
        }

        self.leader = Some(from);
        self.heard_at = now;
        self.is_called = false;
        self.roster.extend(roster);
        let epoch = self.report.as_ref().map(|r| r.epoch);
        let is_newer = self.directive.as_ref().is_none_or(|d| d.revision < directive.revision);

        if epoch == Some(directive.epoch) && is_newer && self.can_take(&directive) {
            if let Stage::Prepare { placement_no, base_no, shape, changes: Some(changes) } =
                &directive.stage
            {
                self.keep_first_placement(*shape);
                self.take_changes(*placement_no, *base_no, changes);
                // The leader tells changes again to those that do not say that they have them.
                self.told_at = None;
            }

            self.directive = Some(directive);
        }
    }

    /// Tells whether a word says all that it is about. One without a plan's changes is no more than a sign of
    /// life to a node that others are yet to pass them on to.
    fn can_take(&self, directive: &Directive) -> bool {
        match &directive.stage {
            Stage::Prepare { placement_no, changes: None, .. } => {
                self.placements.contains_key(placement_no)
            }
            _ => true,
        }
    }

    fn take_status(&mut self, from: A, status: Status, now: Moment, actions: &mut Vec<Action<A>>) {
        let is_same_epoch = self.report.as_ref().is_some_and(|r| r.epoch == status.report.epoch);

        if is_same_epoch {
            self.roster.insert(status.report.rank, from);
        }

        if status.promised > self.promised {
            self.follow(status.promised, actions);
            self.leader = None;
            self.heard_at = now;
        }

        if let Some(lead) = &mut self.lead {
            lead.note_status(status, now);
        }
    }

    /// Has the own engine copy what the leader wants.
    fn prepare(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let Some(Directive { epoch, stage: Stage::Prepare { placement_no, .. }, .. }) =
            &self.directive
        else {
            return;
        };
        let Some(placement) = self.placements.get(placement_no).cloned() else {
            let placement_no = *placement_no;
            self.ask_placement(placement_no, now, actions);
            return;
        };

        let is_done = *epoch != report.epoch
            || report.prepared == Some(*placement_no)
            || report.placement >= *placement_no
            || self.refused == Some(*placement_no);

        if !is_done {
            let action = RankAction::Prepare { placement_no: *placement_no, placement };
            self.order_own(report, action, now, actions);
        }
    }

    /// Gives the own engine an order, unless the same one was given a moment ago.
    pub(super) fn order_own(
        &mut self,
        report: &RankReport,
        action: RankAction,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let order = RankOrder { epoch: report.epoch, action };
        let pause = self.options.order_retry_delay;
        let is_due = self.ordered.as_ref().is_none_or(|(o, at)| *o != order || now >= *at + pause);

        if is_due {
            self.ordered = Some((order.clone(), now));
            actions.push(Action::Order { rank: report.rank, order });
        }
    }

    fn tell_status(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let status = self.status(report);

        if let Some(lead) = &mut self.lead {
            lead.note_status(status, now);
            return;
        }

        let Some(leader) = self.leader.clone() else {
            return;
        };
        let is_due = self.told_at.is_none_or(|at| now >= at + self.options.heartbeat_period);
        let has_changed = self.told.as_ref().is_none_or(|told| differs(told, &status));

        if is_due || has_changed {
            self.told_at = Some(now);
            self.told = Some(status);
            self.send_status(leader, actions);
        }
    }

    fn send_status(&self, to: A, actions: &mut Vec<Action<A>>) {
        if let Some(report) = &self.report {
            let message = Message::Status(self.status(report));
            actions.push(Action::Send { to, message });
        }
    }

    fn status(&self, report: &RankReport) -> Status {
        Status {
            promised: self.promised,
            report: report.clone(),
            refused: self.refused,
            is_engaged: self.engaged.is_some() || self.holding.is_some(),
            known: self.roster.len() as Rank,
            revision: self.directive.as_ref().map_or(0, |directive| directive.revision),
            knows_placement: report.placement == INITIAL_PLACEMENT
                || self.placements.contains_key(&report.placement),
        }
    }
}

/// Tells whether a status says something that the leader waits for. It does not wait for each rank to be
/// engaged and armed, which the holder does: told at once by 650 nodes, that was a third of what the leader takes in.
fn differs(told: &Status, now: &Status) -> bool {
    let key = |s: &Status| {
        let r = &s.report;
        (s.promised, s.refused, r.epoch, r.is_open, r.placement, r.prepared, r.held)
    };

    key(told) != key(now)
}
