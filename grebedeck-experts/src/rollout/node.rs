//! One node of a group: follows its leader, keeps its own rank's engine in step, and helps where the
//! group stands still.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Moment, Rank};

use super::finish::Finish;
use super::lead::Lead;
use super::message::{Directive, Message, Stage, Status, Term};
use crate::engine::{Armed, OrderEnd, PassNo, PlacementNo, RankAction, RankOrder, RankReport};
use crate::placement::Placement;

/// Settings of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeOptions {
    /// Silence of the leader after which rank 0 takes the lead: some periods of its messages.
    pub claim_after: Duration,
    /// What each further rank waits on top of that, so that rarely two of them claim at once.
    pub claim_per_rank: Duration,
    /// How often a leader tells what it wants, and a node its status, where nothing changes.
    pub period: Duration,
    /// Age at which a status is no longer believed.
    pub status_lifetime: Duration,
    /// Pause before an order is given again: several times what an engine takes to answer.
    pub order_pause: Duration,
    /// How long copying may take before a plan is given up: many times what the links need.
    pub prepare_limit: Duration,
    /// How long a node has to arm its own rank before the leader does it: a few round trips.
    pub help_after: Duration,
    /// Passes between the last one that has begun and the one that is held, which is the time to arm
    /// all ranks without a halt.
    pub passes_ahead: PassNo,
    /// Standstill of a group with a held pass after which rank 0 finishes what it finds.
    pub standstill: Duration,
    /// What each further rank waits on top of that.
    pub standstill_per_rank: Duration,
    /// Standstill after which engines are looked at although no hold is known of.
    pub unexplained_standstill: Duration,
}

impl Default for NodeOptions {
    fn default() -> Self {
        NodeOptions {
            claim_after: Duration::from_millis(700),
            claim_per_rank: Duration::from_millis(120),
            period: Duration::from_millis(200),
            status_lifetime: Duration::from_millis(700),
            order_pause: Duration::from_millis(100),
            prepare_limit: Duration::from_secs(4),
            help_after: Duration::from_millis(60),
            passes_ahead: 2,
            standstill: Duration::from_millis(250),
            standstill_per_rank: Duration::from_millis(40),
            unexplained_standstill: Duration::from_millis(1200),
        }
    }
}

/// What a node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Send a message.
    Send {
        /// The node that gets it.
        to: A,
        /// The message.
        message: Message<A>,
    },
    /// Give an order to a rank's engine, the node's own or another's.
    Order {
        /// The rank.
        rank: Rank,
        /// The order.
        order: RankOrder,
    },
    /// Read what another rank's engine says.
    Ask {
        /// The rank.
        rank: Rank,
    },
    /// Something that operators may want to know.
    Note(RankNote),
}

/// What a node has decided or found, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum RankNote {
    /// It takes the lead.
    Leads(Term),
    /// It follows a leader.
    Follows(Term),
    /// The group has formed anew; all plans are void.
    NewEpoch(u64),
    /// All ranks have copied a placement's weights; the pass is to be held.
    Holding {
        /// The placement.
        placement_no: PlacementNo,
        /// The pass.
        pass: PassNo,
    },
    /// The pass is held; every rank is to be armed.
    Arming {
        /// The placement.
        placement_no: PlacementNo,
        /// The pass.
        pass: PassNo,
    },
    /// Every rank is armed and the pass was let go.
    Released {
        /// The placement.
        placement_no: PlacementNo,
        /// The pass.
        pass: PassNo,
        /// Time since it was held.
        held_for: Duration,
    },
    /// A plan was given up before any rank was armed.
    GivenUp {
        /// The placement.
        placement_no: PlacementNo,
        /// Why.
        reason: &'static str,
    },
    /// The group stood still, and the node finishes what it found.
    Standstill {
        /// The pass that does not begin.
        pass: PassNo,
        /// The placement that ranks are armed for, if any.
        placement_no: Option<PlacementNo>,
    },
}

/// The reading of all engines of a group that stands still.
#[derive(Clone, Debug, Default)]
struct Survey {
    asked_at: Option<Moment>,
    reports: BTreeMap<Rank, RankReport>,
}

/// One node.
#[derive(Clone, Debug)]
pub struct Node<A> {
    pub(super) options: NodeOptions,
    pub(super) own_address: A,
    pub(super) report: Option<RankReport>,
    pub(super) promised: Term,
    pub(super) roster: BTreeMap<Rank, A>,
    pub(super) lead: Option<Lead>,
    others: Vec<A>,
    leader: Option<A>,
    heard_at: Moment,
    directive: Option<Directive>,
    refused: Option<PlacementNo>,
    ordered_at: Option<(PlacementNo, Moment)>,
    told_at: Option<Moment>,
    told: Option<Status>,
    pass_at: Moment,
    survey: Survey,
    pub(super) finish: Option<Finish>,
    placements: BTreeMap<PlacementNo, Arc<Placement>>,
    asked_placement_at: Option<Moment>,
}

/// Placements that a node remembers: the one in use, the one before it, and one that was given up.
const KEPT_PLACEMENTS: usize = 4;

impl<A: Clone + PartialEq> Node<A> {
    /// Makes a node that knows nothing of its group.
    pub fn new(own_address: A, now: Moment, options: NodeOptions) -> Self {
        Node {
            options,
            own_address,
            report: None,
            promised: Term::default(),
            roster: BTreeMap::new(),
            lead: None,
            others: Vec::new(),
            leader: None,
            heard_at: now,
            directive: None,
            refused: None,
            ordered_at: None,
            told_at: None,
            told: None,
            pass_at: now,
            survey: Survey::default(),
            finish: None,
            placements: BTreeMap::new(),
            asked_placement_at: None,
        }
    }

    /// Sets the other nodes of the group, whatever their ranks.
    pub fn set_others(&mut self, others: Vec<A>) {
        self.others = others;
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

    /// Tells whether the node would take the lead now if it knew the other nodes.
    pub fn wants_others(&self, now: Moment) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let knows_all = self.roster.len() == usize::from(report.size);

        !knows_all && (self.is_leading() || self.may_claim(report.rank, now))
    }

    /// Gets what the node's own engine said last.
    pub fn report(&self) -> Option<&RankReport> {
        self.report.as_ref()
    }

    /// Tells whether a plan is under way, so that engines should be read often.
    pub fn is_busy(&self) -> bool {
        let has_plan = self.directive.as_ref().is_some_and(|d| d.stage != Stage::Idle);
        let is_bound = self.report.as_ref().is_some_and(|r| r.armed.is_some() || r.held.is_some());

        has_plan || is_bound || self.finish.is_some()
    }

    /// Gets the placement in use, where the node knows it.
    pub fn placement_in_use(&self) -> Option<&Arc<Placement>> {
        self.placements.get(&self.report.as_ref()?.placement)
    }

    /// Notes a placement, such as the one that engines start with.
    pub fn keep_placement(&mut self, placement_no: PlacementNo, placement: Arc<Placement>) {
        self.placements.insert(placement_no, placement);
        let in_use = self.report.as_ref().map_or(0, |r| r.placement);

        while self.placements.len() > KEPT_PLACEMENTS {
            // Number 0 is what every formation starts with.
            let oldest = self.placements.keys().find(|no| **no != 0 && **no != in_use).copied();

            match oldest {
                Some(oldest) => self.placements.remove(&oldest),
                None => break,
            };
        }
    }

    /// Takes in what a rank's engine says, the node's own or one that it asked.
    pub fn on_report(&mut self, report: RankReport, now: Moment) -> Vec<Action<A>> {
        let mut actions = Vec::new();

        if let Some(finish) = &mut self.finish {
            finish.note(&report);
        }

        match &self.report {
            Some(own) if own.rank != report.rank => self.note_survey(report),
            _ => self.take_own_report(report, now, &mut actions),
        }

        self.step(now, &mut actions);
        actions
    }

    /// Takes in a message of another node.
    pub fn on_message(&mut self, from: A, message: Message<A>, now: Moment) -> Vec<Action<A>> {
        let mut actions = Vec::new();

        match message {
            Message::Lead { directive, roster } => {
                self.take_directive(from, directive, roster, now, &mut actions);
            }
            Message::Status(status) => self.take_status(from, status, now, &mut actions),
            Message::AskPlacement { placement_no } => {
                if let Some(placement) = self.placements.get(&placement_no).cloned() {
                    let message = Message::Placement { placement_no, placement };
                    actions.push(Action::Send { to: from, message });
                }
            }
            Message::Placement { placement_no, placement } => {
                self.keep_placement(placement_no, placement);
            }
        }

        self.step(now, &mut actions);
        actions
    }

    /// Takes in what became of an order.
    pub fn on_order(&mut self, rank: Rank, order: &RankOrder, end: OrderEnd, now: Moment) {
        let is_own = self.report.as_ref().is_some_and(|r| r.rank == rank);

        if let (true, RankAction::Prepare { placement_no, .. }, OrderEnd::Refused) =
            (is_own, &order.action, end)
        {
            self.refused = Some(*placement_no);
            self.told_at = None;
        }

        if end == OrderEnd::Unknown {
            return;
        }

        // What was answered need not wait for its pause before it is given again.
        if is_own {
            self.ordered_at = self.ordered_at.map(|(no, _)| (no, now));
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
            self.follow(&report, now, actions);
            self.watch_standstill(&report, now, actions);
            self.step_finish(&report, now, actions);
        }

        self.claim(&report, now, actions);
        self.step_lead(&report, now, actions);
        self.tell_status(&report, now, actions);
        self.ask_placement(&report, now, actions);
    }

    fn take_own_report(&mut self, report: RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let before = self.report.replace(report.clone());
        let is_new_epoch = before.as_ref().is_none_or(|b| b.epoch != report.epoch);

        if before.is_none() {
            // Whoever leads had no way to tell before.
            self.heard_at = now;
        }

        if before.as_ref().is_none_or(|b| b.pass != report.pass) || is_new_epoch {
            self.pass_at = now;
        }

        if report.running + report.waiting == 0 {
            // A group without requests makes no passes.
            self.pass_at = now;
        }

        if is_new_epoch || !report.is_open {
            self.forget_plans(&report, is_new_epoch, actions);
        }

        self.roster.insert(report.rank, self.own_address.clone());
    }

    /// Drops all that the engines have forgotten.
    fn forget_plans(
        &mut self,
        report: &RankReport,
        is_new_epoch: bool,
        actions: &mut Vec<Action<A>>,
    ) {
        self.directive = None;
        self.finish = None;
        self.refused = None;
        self.ordered_at = None;
        self.survey = Survey::default();

        if let Some(lead) = &mut self.lead {
            lead.forget_plan();
        }

        if is_new_epoch {
            // Ranks may have changed their places.
            self.roster.clear();
            actions.push(Action::Note(RankNote::NewEpoch(report.epoch)));
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
            self.step_down(directive.term);
            actions.push(Action::Note(RankNote::Follows(directive.term)));
        }

        self.leader = Some(from);
        self.heard_at = now;
        self.roster.extend(roster);
        let epoch = self.report.as_ref().map(|r| r.epoch);
        let is_newer = self.directive.as_ref().is_none_or(|d| d.revision < directive.revision);

        if epoch == Some(directive.epoch) && is_newer {
            if let Stage::Prepare { placement_no, placement } = &directive.stage {
                self.keep_placement(*placement_no, placement.clone());
            }

            self.directive = Some(directive);
            self.told_at = None;
        }
    }

    /// Follows a later leadership. A plan that some rank may be armed for is still finished, since the
    /// later leader waits for that; one that nobody is armed for is dropped.
    fn step_down(&mut self, term: Term) {
        let own = self.report.as_ref().map_or(0, |r| r.rank);
        let was_leading = self.lead.take().is_some();
        self.promised = term;
        self.directive = None;

        if was_leading && self.finish.as_ref().is_some_and(|f| !f.may_be_armed_beside(own)) {
            self.finish = None;
        }
    }

    fn take_status(&mut self, from: A, status: Status, now: Moment, actions: &mut Vec<Action<A>>) {
        let is_same_epoch = self.report.as_ref().is_some_and(|r| r.epoch == status.report.epoch);

        if is_same_epoch {
            self.roster.insert(status.report.rank, from);

            if let Some(finish) = &mut self.finish {
                finish.note(&status.report);
            }
        }

        if status.promised > self.promised {
            self.step_down(status.promised);
            self.leader = None;
            self.heard_at = now;
            actions.push(Action::Note(RankNote::Follows(status.promised)));
        }

        if let Some(lead) = &mut self.lead {
            lead.note_status(status, now);
        }
    }

    /// Does for the own rank what the leader wants.
    fn follow(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let Some(directive) = &self.directive else {
            return;
        };

        if directive.epoch != report.epoch {
            return;
        }

        let (placement_no, action) = match &directive.stage {
            Stage::Idle => return,
            Stage::Prepare { placement_no, placement } => {
                let is_done = report.prepared == Some(*placement_no)
                    || report.placement >= *placement_no
                    || self.refused == Some(*placement_no);

                if is_done {
                    return;
                }

                let placement = placement.clone();
                (*placement_no, RankAction::Prepare { placement_no: *placement_no, placement })
            }
            Stage::Arm { placement_no, pass, .. } => {
                let target = Armed { placement_no: *placement_no, pass: *pass };
                let is_done = report.armed == Some(target)
                    || report.placement == *placement_no
                    || report.pass >= *pass;

                if is_done || self.waits_for_others(report.rank) {
                    return;
                }

                (*placement_no, RankAction::Arm { placement_no: *placement_no, pass: *pass })
            }
        };

        // Arming is another order for the same placement, and must not wait for the pause.
        let key = placement_no * 2 + u64::from(matches!(action, RankAction::Arm { .. }));
        let pause = self.options.order_pause;
        let is_due = self.ordered_at.is_none_or(|(no, at)| no != key || now >= at + pause);

        if is_due {
            self.ordered_at = Some((key, now));
            let order = RankOrder { epoch: report.epoch, action };
            actions.push(Action::Order { rank: report.rank, order });
        }
    }

    /// Tells whether a leader has to wait with its own rank: it comes last, so that a leader that nobody
    /// follows any more has armed none.
    fn waits_for_others(&self, own: Rank) -> bool {
        let others_missing = |f: &Finish| f.missing().any(|rank| rank != own);

        self.lead.is_some() && self.finish.as_ref().is_some_and(others_missing)
    }

    /// Reads all engines when the group stands still while something is held, or for no known reason.
    fn watch_standstill(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let still_for = now.saturating_sub(self.pass_at);
        let is_bound = report.armed.is_some() || report.held.is_some();
        let first = if is_bound || self.has_arm_directive() {
            self.options.standstill
        } else {
            self.options.unexplained_standstill
        };
        let limit = first + self.options.standstill_per_rank * u32::from(report.rank);

        if still_for < limit || self.finish.is_some() {
            return;
        }

        if self.survey.reports.len() + 1 == usize::from(report.size) {
            self.judge_survey(report, now, actions);
            return;
        }

        let pause = self.options.status_lifetime;

        if self.survey.asked_at.is_none_or(|at| now >= at + pause) {
            self.survey.asked_at = Some(now);
            self.survey.reports.clear();
            let others = (0..report.size).filter(|rank| *rank != report.rank);
            actions.extend(others.map(|rank| Action::Ask { rank }));
        }
    }

    fn has_arm_directive(&self) -> bool {
        matches!(self.directive.as_ref().map(|d| &d.stage), Some(Stage::Arm { .. }))
    }

    fn note_survey(&mut self, report: RankReport) {
        let is_same_epoch = self.report.as_ref().is_some_and(|r| r.epoch == report.epoch);

        if self.survey.asked_at.is_some() && is_same_epoch {
            self.survey.reports.insert(report.rank, report);
        }
    }

    /// Finishes what a survey has shown.
    fn judge_survey(&mut self, own: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let mut reports: Vec<RankReport> =
            std::mem::take(&mut self.survey.reports).into_values().collect();
        reports.push(own.clone());
        let next = own.pass + 1;
        let is_still = reports.iter().all(|r| r.pass == own.pass && r.is_open);
        let holders: Vec<Rank> =
            reports.iter().filter(|r| r.held == Some(next)).map(|r| r.rank).collect();

        if !is_still || holders.is_empty() {
            return;
        }

        // Whoever is armed for the held pass shows what all the others have to be armed for.
        let armed = reports.iter().filter_map(|r| r.armed).find(|a| a.pass == next);
        let placement_no = armed.map(|a| a.placement_no);

        if let Some(target) = armed {
            let mut finish = Finish::new(own.epoch, own.size, target, holders[0]);
            reports.iter().for_each(|report| finish.note(report));
            self.finish = Some(finish);
        } else if self.may_clear(next, now) {
            let release = |rank: Rank| {
                let order =
                    RankOrder { epoch: own.epoch, action: RankAction::Release { pass: next } };
                Action::Order { rank, order }
            };
            actions.extend(holders.into_iter().map(release));
        } else {
            return;
        }

        actions.push(Action::Note(RankNote::Standstill { pass: next, placement_no }));
    }

    /// Tells whether a hold that nobody is armed for may be let go: only a leader knows that nobody
    /// will be, as its nodes refuse what earlier leaders wanted.
    fn may_clear(&self, pass: PassNo, now: Moment) -> bool {
        let is_clear = |l: &Lead| !l.wants_held(pass) && l.follows_alive(now, &self.options);

        self.lead.as_ref().is_some_and(is_clear)
    }

    /// Arms what is missing for a held pass, and lets it go when every rank is armed.
    fn step_finish(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let is_leading = self.lead.is_some();
        let pause = self.options.order_pause;
        let Some(finish) = &mut self.finish else {
            return;
        };

        if report.pass >= finish.target.pass {
            self.finish = None;
            return;
        }

        if finish.is_armed() {
            let release = finish.release();
            let holders: Vec<Rank> = finish.holders().collect();

            for rank in holders {
                if finish.order_again(rank, now, pause) {
                    actions.push(Action::Order { rank, order: release.clone() });
                }
            }

            return;
        }

        // A leader gives the nodes some time to arm their own ranks, which costs nothing.
        if is_leading && !self.lead.as_ref().is_some_and(|l| l.may_help(now, &self.options)) {
            return;
        }

        let missing: Vec<Rank> = finish.missing().collect();

        for rank in missing {
            if finish.order_again(rank, now, pause) {
                actions.push(Action::Order { rank, order: finish.arm() });

                if rank != report.rank {
                    actions.push(Action::Ask { rank });
                }
            }
        }
    }

    fn may_claim(&self, rank: Rank, now: Moment) -> bool {
        let wait = self.options.claim_after + self.options.claim_per_rank * u32::from(rank);

        self.lead.is_none() && now >= self.heard_at + wait
    }

    /// Takes the lead where no leader has been heard of for long enough.
    fn claim(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        if !self.may_claim(report.rank, now) {
            return;
        }

        let term = Term { round: self.promised.round + 1, rank: report.rank };
        self.promised = term;
        self.leader = None;
        self.directive = None;
        self.lead = Some(Lead::new(term, now));
        actions.push(Action::Note(RankNote::Leads(term)));
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
        let is_due = self.told_at.is_none_or(|at| now >= at + self.options.period);
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
        Status { promised: self.promised, report: report.clone(), refused: self.refused }
    }

    /// Asks another node for the placement in use, where a leader does not know it.
    fn ask_placement(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        let is_known = self.placements.contains_key(&report.placement);
        let pause = self.options.status_lifetime;
        let is_due = self.asked_placement_at.is_none_or(|at| now >= at + pause);

        if self.lead.is_none() || is_known || !is_due {
            return;
        }

        self.asked_placement_at = Some(now);
        let message = Message::AskPlacement { placement_no: report.placement };
        let to_other = |to: &A| Action::Send { to: to.clone(), message: message.clone() };
        actions.extend(self.roster.values().filter(|a| **a != self.own_address).map(to_other));
    }

    /// Sends the leader's message to all nodes that are known, and takes it itself.
    pub(super) fn broadcast(&mut self, directive: Directive, actions: &mut Vec<Action<A>>) {
        let roster: Vec<(Rank, A)> = self.roster.iter().map(|(r, a)| (*r, a.clone())).collect();
        let mut addresses: Vec<&A> = self.roster.values().collect();
        addresses.extend(self.others.iter().filter(|a| !self.roster.values().any(|r| r == *a)));

        for to in addresses {
            if *to != self.own_address {
                let message =
                    Message::Lead { directive: directive.clone(), roster: roster.clone() };
                actions.push(Action::Send { to: to.clone(), message });
            }
        }

        self.directive = Some(directive);
    }
}

/// Tells whether a status says something that the leader waits for.
fn differs(told: &Status, now: &Status) -> bool {
    let key = |s: &Status| {
        let r = &s.report;
        (s.promised, s.refused, r.epoch, r.is_open, r.placement, r.prepared, r.armed, r.held)
    };

    key(told) != key(now)
}
