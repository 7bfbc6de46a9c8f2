//! The state machine of one node: it follows its leader and keeps its own rank's engine up to date.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use grebedeck_core::{Moment, Rank};

use super::action::{Action, RankEvent};
use super::arming::ArmingTime;
use super::broadcast::EARLY_CANDIDATES;
use super::bulk::BulkQueue;
use super::changeover::HeldPass;
use super::lead::Leadership;
use super::message::{Directive, Message, RankPart, Stage, Status, Term};
use super::options::NodeOptions;
use super::participation::Participation;
use super::passes::PassClock;
use crate::engine::{
    INITIAL_PLACEMENT, OrderOutcome, PassNo, PlacementNo, RankAction, RankOrder, RankReport,
};
use crate::placement::Placement;

/// A node of a group.
#[derive(Clone, Debug)]
pub struct Node<A> {
    pub(super) options: NodeOptions,
    pub(super) own_address: A,
    pub(super) report: Option<RankReport>,
    pub(super) passes: PassClock,
    pub(super) arming: ArmingTime,
    pub(super) promised: Term,
    pub(super) roster: BTreeMap<Rank, A>,
    pub(super) lead: Option<Leadership>,
    pub(super) peers: BTreeSet<A>,
    /// Whether the peers have yet to be set; the node does not take the lead before.
    pub(super) awaits_peers: bool,
    /// Peers that are known to be of other groups, and since when.
    pub(super) foreign: BTreeMap<A, Moment>,
    pub(super) leader: Option<A>,
    pub(super) leader_heard_at: Moment,
    /// Whether the leader that stops has designated this node as the next.
    pub(super) is_designated: bool,
    /// Times that the lead was lost to another node since a placement last came into use.
    pub(super) lost_leaderships: u32,
    pub(super) directive: Option<Directive>,
    pub(super) refused: Option<PlacementNo>,
    pub(super) last_order: Option<(RankOrder, Moment)>,
    pub(super) status_sent_at: Option<Moment>,
    pub(super) status_sent: Option<Status>,
    pub(super) participation: Option<Participation>,
    pub(super) held_pass: Option<HeldPass>,
    /// When a hold was first seen for which the node has no changeover.
    pub(super) held_since: Option<Moment>,
    /// The last pass that the node has released.
    pub(super) released: Option<PassNo>,
    /// Whether the node's engine was seen without a hold since the node started.
    pub(super) has_seen_unheld: bool,
    /// Random number drawn when the process starts.
    pub(super) incarnation: u64,
    /// The next changeover's round, counted from the incarnation.
    pub(super) next_round: u64,
    pub(super) placements: BTreeMap<PlacementNo, Arc<Placement>>,
    /// The last number that the node assigned to a placement.
    pub(super) last_proposed_no: PlacementNo,
    pub(super) bulk: BulkQueue<A>,
    pub(super) parts: BTreeMap<Rank, RankPart>,
    pub(super) parts_placement_no: PlacementNo,
    pub(super) parts_requested_at: Option<Moment>,
    pub(super) placement_requested_at: Option<Moment>,
}

impl<A: Clone + Ord> Node<A> {
    /// Creates a node that knows nothing of its group; `incarnation` is a random number drawn at
    /// each start of the process.
    pub fn new(own_address: A, incarnation: u64, now: Moment, options: NodeOptions) -> Self {
        Node {
            options,
            own_address,
            report: None,
            passes: PassClock::default(),
            arming: ArmingTime::default(),
            promised: Term::default(),
            roster: BTreeMap::new(),
            lead: None,
            peers: BTreeSet::new(),
            awaits_peers: false,
            foreign: BTreeMap::new(),
            leader: None,
            leader_heard_at: now,
            is_designated: false,
            lost_leaderships: 0,
            directive: None,
            refused: None,
            last_order: None,
            status_sent_at: None,
            status_sent: None,
            participation: None,
            held_pass: None,
            held_since: None,
            released: None,
            has_seen_unheld: false,
            incarnation,
            next_round: incarnation,
            placements: BTreeMap::new(),
            last_proposed_no: 0,
            bulk: BulkQueue::new(now),
            parts: BTreeMap::new(),
            parts_placement_no: 0,
            parts_requested_at: None,
            placement_requested_at: None,
        }
    }

    /// Keeps the node from taking the lead before [`Node::set_peers`]: a leader that nobody hears
    /// from only makes others claim the lead too.
    pub fn await_peers(&mut self) {
        self.awaits_peers = true;
    }

    /// Sets the nodes that may belong to the group, whatever their ranks.
    pub fn set_peers(&mut self, peers: BTreeSet<A>) {
        self.awaits_peers = false;
        self.foreign.retain(|other, _| peers.contains(other));
        self.peers = peers;
    }

    /// Records that another node belongs to another group of the same service.
    pub fn mark_foreign(&mut self, other: A, now: Moment) {
        self.foreign.insert(other, now);
    }

    /// Returns the address of a rank's node.
    pub fn address_of(&self, rank: Rank) -> Option<&A> {
        self.roster.get(&rank)
    }

    /// Returns the address of the leader that the node follows, if that is another node.
    pub fn leader(&self) -> Option<&A> {
        match &self.lead {
            Some(_) => None,
            None => self.leader.as_ref(),
        }
    }

    /// Whether the node leads its group.
    pub fn is_leading(&self) -> bool {
        self.lead.is_some()
    }

    /// Whether the node leads, or will soon take the lead.
    pub fn may_lead_soon(&self, now: Moment) -> bool {
        let soon = now + self.options.peer_lookup_lead_time;

        self.is_leading() || self.report.as_ref().is_some_and(|r| self.may_claim(r.rank, soon))
    }

    /// Whether the node is one of the first to take the lead, to which a leader sends the roster.
    pub fn is_early_candidate(&self) -> bool {
        self.report.as_ref().is_some_and(|r| r.rank < EARLY_CANDIDATES)
    }

    /// Whether the node needs its peers to take the lead, and does not know them.
    pub fn needs_peers(&self, now: Moment) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let knows_all = self.roster.len() == usize::from(report.size);
        // Early candidates must know their peers by the time they take the lead, and reading the
        // list takes a while.
        let is_early = self.awaits_peers && self.is_early_candidate();

        !knows_all && (is_early || self.may_lead_soon(now))
    }

    /// Returns the latest report of the node's own engine.
    pub fn report(&self) -> Option<&RankReport> {
        self.report.as_ref()
    }

    /// Whether a plan is under way, so that engines should be read often.
    pub fn is_busy(&self) -> bool {
        let has_plan = self.directive.as_ref().is_some_and(|d| d.stage != Stage::Idle);
        let is_bound = self.report.as_ref().is_some_and(|r| r.armed.is_some() || r.held.is_some());

        has_plan || is_bound || self.participation.is_some() || self.held_pass.is_some()
    }

    /// Returns the placement in use, if the node knows it.
    pub fn placement_in_use(&self) -> Option<&Arc<Placement>> {
        self.placements.get(&self.report.as_ref()?.placement)
    }

    /// Handles the report of a rank's engine, the node's own or one that it requested.
    pub fn on_report(&mut self, report: RankReport, now: Moment) -> Vec<Action<A>> {
        let mut actions = Vec::new();

        if let Some(held_pass) = &mut self.held_pass {
            held_pass.record_report(report.clone());
        }

        match &self.report {
            Some(own) if own.rank != report.rank => self.handle_remote_report(report, now),
            _ => self.handle_own_report(report, now, &mut actions),
        }

        self.step(now, &mut actions);
        actions
    }

    /// Handles a message of another node.
    pub fn on_message(&mut self, from: A, message: Message<A>, now: Moment) -> Vec<Action<A>> {
        let mut actions = Vec::new();
        self.foreign.remove(&from);

        match message {
            Message::Lead { directive, roster } => {
                self.handle_directive(from, directive, roster, now, &mut actions);
            }
            Message::Relay { leader, directive, to } => {
                self.relay(&leader, &directive, to);
                self.handle_directive(leader, directive, Vec::new(), now, &mut actions);
            }
            Message::Status(status) => self.handle_status(from, status, now, &mut actions),
            Message::Changeover(changeover) => {
                self.handle_changeover(from, changeover, now, &mut actions);
            }
            Message::Answer(answer) => self.handle_answer(from, answer, now, &mut actions),
            Message::AskPlacement { placement_no } => {
                self.send_placement(from, placement_no, now, &mut actions);
            }
            Message::Placement { placement_no, placement } => {
                self.store_placement(placement_no, placement);
            }
            Message::Resign { term, next } => self.handle_resign(term, next, now),
            Message::AskPart { placement_no } => self.send_part(from, placement_no, &mut actions),
            Message::Part { placement_no, rank, part } => self.add_part(placement_no, rank, part),
        }

        self.step(now, &mut actions);
        actions
    }

    /// Handles the outcome of an order.
    pub fn on_order_outcome(&mut self, rank: Rank, order: &RankOrder, outcome: OrderOutcome) {
        // A refusal from an earlier epoch says nothing about the plans since.
        let is_own = self.report.as_ref().is_some_and(|r| r.rank == rank && r.epoch == order.epoch);

        if let (true, RankAction::Prepare { placement_no, .. }, OrderOutcome::Refused) =
            (is_own, &order.action, outcome)
        {
            self.refused = Some(*placement_no);
            self.status_sent_at = None;
        }

        if let (Some(held_pass), OrderOutcome::Taken) = (&mut self.held_pass, outcome) {
            held_pass.record_accepted(rank, order);
        }

        if let (Some(lead), RankAction::Hold { pass }, OrderOutcome::Taken) =
            (&mut self.lead, &order.action, outcome)
        {
            lead.record_hold_accepted(*pass);
        }
    }

    /// Performs the actions that are due.
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
            self.step_participation(&report, now, actions);
            self.step_held_pass(&report, now, actions);
        }

        self.claim(&report, now, actions);
        self.step_lead(&report, now, actions);
        self.step_status(&report, now, actions);
        self.request_parts(&report, now, actions);
        self.send_bulk(now, actions);
    }

    pub(super) fn handle_own_report(
        &mut self,
        report: RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        self.passes.record(&report, now);
        let before = self.report.replace(report.clone());
        let is_same = |b: &RankReport| {
            b.group == report.group && b.epoch == report.epoch && b.born_ms == report.born_ms
        };
        let is_new_epoch = !before.as_ref().is_some_and(is_same);

        if before.as_ref().is_some_and(|b| b.placement != report.placement) {
            self.lost_leaderships = 0;
        }

        if before.as_ref().is_some_and(|b| b.group != report.group) {
            self.foreign.clear();
        }

        if before.is_none() {
            // A leader had no way to reach this node before.
            self.leader_heard_at = now;
        }

        if is_new_epoch || !report.is_open {
            self.discard_plans(&report, is_new_epoch, now, actions);
        }

        if report.held.is_none() {
            self.has_seen_unheld = true;
            self.held_since = None;
        }

        self.roster.insert(report.rank, self.own_address.clone());
        self.answer_after_report(&report, actions);
    }

    /// Drops all state that the engines have lost as well.
    fn discard_plans(
        &mut self,
        report: &RankReport,
        is_new_epoch: bool,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        self.directive = None;
        self.participation = None;
        self.held_pass = None;
        self.released = None;
        self.refused = None;
        self.last_order = None;

        if let Some(lead) = &mut self.lead {
            lead.discard_plan(now);
        }

        if is_new_epoch {
            // Ranks may have moved to other nodes, and placements are numbered from the start
            // again.
            self.roster.clear();
            self.parts.clear();
            self.placements.retain(|no, p| *no == INITIAL_PLACEMENT && p.ranks() == report.size);
            actions.push(Action::Event(RankEvent::EpochChanged(report.epoch)));
        }
    }

    fn handle_directive(
        &mut self,
        from: A,
        directive: Directive,
        roster: Vec<(Rank, A)>,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        if directive.term < self.promised {
            // The earlier leader learns from the status that it has been superseded.
            self.send_status(from, actions);
            return;
        }

        if directive.term > self.promised {
            self.follow(directive.term, actions);
        }

        self.leader = Some(from);
        self.leader_heard_at = now;
        self.is_designated = false;
        self.roster.extend(roster);
        let epoch = self.report.as_ref().map(|r| r.epoch);
        let is_newer = self.directive.as_ref().is_none_or(|d| d.revision < directive.revision);

        if epoch == Some(directive.epoch) && is_newer && self.has_all_changes(&directive) {
            if let Stage::Prepare { placement_no, base_no, shape, changes: Some(changes) } =
                &directive.stage
            {
                self.store_initial_placement(*shape);
                self.apply_changes(*placement_no, *base_no, changes);
                // The leader sends the changes again to nodes whose status does not confirm them.
                self.status_sent_at = None;
            }

            self.directive = Some(directive);
        }
    }

    /// Whether a directive comes with all that it refers to. Without its plan's changes, it is no
    /// more than a heartbeat to a node that has yet to receive them.
    fn has_all_changes(&self, directive: &Directive) -> bool {
        match &directive.stage {
            Stage::Prepare { placement_no, changes: None, .. } => {
                self.placements.contains_key(placement_no)
            }
            _ => true,
        }
    }

    fn handle_status(
        &mut self,
        from: A,
        status: Status,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let is_same_epoch = self.report.as_ref().is_some_and(|r| r.epoch == status.report.epoch);

        if is_same_epoch {
            self.roster.insert(status.report.rank, from);
        }

        if status.promised > self.promised {
            self.follow(status.promised, actions);
            self.leader = None;
            self.leader_heard_at = now;
        }

        if let Some(lead) = &mut self.lead {
            lead.record_status(status, now);
        }
    }

    /// Has the node's own engine copy the placement that the leader requests.
    fn prepare(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let Some(Directive { epoch, stage: Stage::Prepare { placement_no, .. }, .. }) =
            &self.directive
        else {
            return;
        };
        let Some(placement) = self.placements.get(placement_no).cloned() else {
            let placement_no = *placement_no;
            self.request_placement(placement_no, now, actions);
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

    /// Sends an order to the node's own engine, unless the same one was sent shortly before.
    pub(super) fn order_own(
        &mut self,
        report: &RankReport,
        action: RankAction,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let order = RankOrder { epoch: report.epoch, action };
        let delay = self.options.order_retry_delay;
        let is_due =
            self.last_order.as_ref().is_none_or(|(o, at)| *o != order || now >= *at + delay);

        if is_due {
            self.last_order = Some((order.clone(), now));
            actions.push(Action::Order { rank: report.rank, order });
        }
    }

    fn step_status(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let status = self.status(report);

        if let Some(lead) = &mut self.lead {
            lead.record_status(status, now);
            return;
        }

        let Some(leader) = self.leader.clone() else {
            return;
        };
        let is_due = self.status_sent_at.is_none_or(|at| now >= at + self.options.heartbeat_period);
        let has_changed = self
            .status_sent
            .as_ref()
            .is_none_or(|status_sent| has_relevant_change(status_sent, &status));

        if is_due || has_changed {
            self.status_sent_at = Some(now);
            self.status_sent = Some(status);
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
            is_engaged: self.participation.is_some() || self.held_pass.is_some(),
            known: self.roster.len() as Rank,
            revision: self.directive.as_ref().map_or(0, |directive| directive.revision),
            knows_placement: report.placement == INITIAL_PLACEMENT
                || self.placements.contains_key(&report.placement),
        }
    }
}

/// Whether a status contains a change that the leader waits for. It does not wait for ranks to be
/// engaged or armed, which is the holder's task: sent at once by 650 nodes, such statuses made up a
/// third of the leader's incoming traffic.
fn has_relevant_change(status_sent: &Status, now: &Status) -> bool {
    let key = |s: &Status| {
        let r = &s.report;
        (s.promised, s.refused, r.epoch, r.is_open, r.placement, r.prepared, r.held)
    };

    key(status_sent) != key(now)
}
