//! A changeover: what the node beside the engine that holds a pass does until it lets the pass go.
//!
//! It alone decides. First every node has to answer that it is there and ready; if one is silent or
//! refuses, the pass is let go and nobody was armed. Then all ranks are armed, and there is no way back:
//! the pass is let go when every rank's own engine says that it is armed. A rank whose node is away is armed first,
//! from afar: as long as nobody else is armed, the pass can be let go if that rank's engine has gone on to
//! another placement, which nobody can have promised for it. A holder that has lost its
//! memory asks all nodes, or their engines, whether anybody is armed, and goes on from there.

use std::collections::{BTreeMap, BTreeSet};

use grebedeck_core::{Moment, Rank};

use super::message::{Changeover, ChangeoverStep, Term};
use super::options::NodeOptions;
use crate::engine::{Armed, GroupEpoch, PassNo, PlacementNo, RankAction, RankOrder, RankReport};

/// What a holder has got to know and to do.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    epoch: GroupEpoch,
    size: Rank,
    own: Rank,
    round: u64,
    term: Term,
    pass: PassNo,
    /// The rank whose node is away.
    absent: Option<Rank>,
    phase: Phase,
    since: Moment,
    answered: BTreeSet<Rank>,
    reports: BTreeMap<Rank, RankReport>,
    /// Other ranks whose engines have taken an order to arm: what they say of themselves to another machine is some
    /// hundred ms old, and the group would stand still for as long.
    armed_afar: BTreeSet<Rank>,
    helped_at: BTreeMap<Rank, Moment>,
    told_at: Option<Moment>,
    released_at: Option<Moment>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Every node is asked whether it is ready for a placement.
    Ready(PlacementNo),
    /// The rank whose node is away is to be armed, before any other.
    ArmAbsent(PlacementNo),
    /// The holder has no memory of this pass, and asks whether anybody is armed.
    Recover,
    /// Every rank is to be armed.
    Arm(PlacementNo),
    /// The pass is to be let go.
    Release,
}

/// What a leader wants a pass held for.
#[derive(Clone, Copy, Debug)]
pub(super) struct WantedHold {
    pub(super) placement_no: PlacementNo,
    pub(super) pass: PassNo,
    /// The rank whose node is away.
    pub(super) absent: Option<Rank>,
}

/// What a holder wants done.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum HoldingAction {
    /// Tell all other nodes, or only those of some ranks.
    Tell(Changeover, Option<BTreeSet<Rank>>),
    /// Give an order to a rank's engine.
    Order(Rank, RankOrder),
    /// Read a rank's engine.
    Ask(Rank),
}

impl Holding {
    /// Starts the changeover to a placement.
    pub(super) fn new(
        own: &RankReport,
        term: Term,
        wanted: WantedHold,
        round: u64,
        now: Moment,
    ) -> Self {
        let WantedHold { placement_no, pass, absent } = wanted;
        let holding = Self::in_phase(Phase::Ready(placement_no), own, term, pass, round, now);

        Holding { absent, ..holding }
    }

    /// Starts to find out what a held pass was held for.
    pub(super) fn recover(
        own: &RankReport,
        term: Term,
        pass: PassNo,
        round: u64,
        now: Moment,
    ) -> Self {
        Self::in_phase(Phase::Recover, own, term, pass, round, now)
    }

    /// Lets a pass go that nobody can be armed for.
    pub(super) fn release(
        own: &RankReport,
        term: Term,
        pass: PassNo,
        round: u64,
        now: Moment,
    ) -> Self {
        Self::in_phase(Phase::Release, own, term, pass, round, now)
    }

    fn in_phase(
        phase: Phase,
        own: &RankReport,
        term: Term,
        pass: PassNo,
        round: u64,
        now: Moment,
    ) -> Self {
        Holding {
            epoch: own.epoch,
            size: own.size,
            own: own.rank,
            round,
            term,
            pass,
            absent: None,
            phase,
            since: now,
            answered: BTreeSet::from([own.rank]),
            reports: BTreeMap::from([(own.rank, own.clone())]),
            armed_afar: BTreeSet::new(),
            helped_at: BTreeMap::new(),
            told_at: None,
            released_at: None,
        }
    }

    pub(super) fn pass(&self) -> PassNo {
        self.pass
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Tells whether ranks may be armed for the pass.
    pub(super) fn is_arming(&self) -> bool {
        matches!(self.phase, Phase::Arm(_) | Phase::ArmAbsent(_) | Phase::Recover)
    }

    pub(super) fn since(&self) -> Moment {
        self.since
    }

    /// Takes in a node's answer.
    pub(super) fn note_answer(&mut self, accepts: bool, report: RankReport, now: Moment) {
        if report.epoch != self.epoch {
            return;
        }

        if !accepts && matches!(self.phase, Phase::Ready(_)) {
            self.set_phase(Phase::Release, now);
        }

        self.answered.insert(report.rank);
        self.note_report(report);
    }

    /// Takes in what a rank's engine says.
    pub(super) fn note_report(&mut self, report: RankReport) {
        if report.epoch != self.epoch {
            return;
        }

        if let Phase::Ready(placement_no) = self.phase
            && self.absent == Some(report.rank)
            && is_ready(&report, placement_no, self.pass)
        {
            self.answered.insert(report.rank);
        }

        self.reports.insert(report.rank, report);
    }

    /// Takes in that a rank's engine has taken an order to arm it.
    pub(super) fn note_armed(&mut self, rank: Rank, order: &RankOrder) {
        let RankAction::Arm { placement_no, pass } = order.action else {
            return;
        };
        let is_wanted = match self.phase {
            Phase::Arm(no) | Phase::ArmAbsent(no) => no == placement_no,
            _ => false,
        };

        // What is armed stays so until the pass begins or the group forms anew.
        if is_wanted && order.epoch == self.epoch && pass == self.pass && rank != self.own {
            self.armed_afar.insert(rank);
        }
    }

    /// Does what is due; the pass has not begun, and the own engine holds it unless it was let go.
    pub(super) fn step(&mut self, now: Moment, options: &NodeOptions) -> Vec<HoldingAction> {
        self.decide(now, options);
        let mut actions = Vec::new();

        match self.phase {
            Phase::Ready(_) => self.ask_absent(now, options, &mut actions),
            Phase::ArmAbsent(placement_no) => {
                self.arm_absent(placement_no, now, options, &mut actions);
            }
            Phase::Recover => self.ask_silent(now, options, &mut actions),
            Phase::Arm(placement_no) => self.arm(placement_no, now, options, &mut actions),
            Phase::Release => self.let_go(now, options, &mut actions),
        }

        let changeover_retry_delay = options.for_all(options.changeover_retry_delay, self.size);

        if self.told_at.is_none_or(|at| now >= at + changeover_retry_delay) {
            let missing = self.told_at.map(|_| self.missing());
            self.told_at = Some(now);

            if missing.as_ref().is_none_or(|missing| !missing.is_empty()) {
                actions.push(HoldingAction::Tell(self.message(), missing));
            }
        }

        actions
    }

    /// Gets the ranks that have not yet done what this phase waits for, which are told again. Each word
    /// again to all of 192 fills a link of 6 Mbit/s for 30 ms, as long as their answers need.
    fn missing(&self) -> BTreeSet<Rank> {
        let is_missing = |rank: &Rank| match self.phase {
            Phase::Ready(_) => !self.answered.contains(rank),
            Phase::Recover => !self.reports.contains_key(rank),
            Phase::Arm(placement_no) => !self.is_armed_at(*rank, placement_no),
            // Nodes that the word did not reach ask, or see the pass begin.
            Phase::Release | Phase::ArmAbsent(_) => false,
        };

        (0..self.size).filter(is_missing).collect()
    }

    fn decide(&mut self, now: Moment, options: &NodeOptions) {
        match self.phase {
            Phase::Ready(placement_no) if self.has_all_answers() => {
                let next = match self.absent {
                    Some(_) => Phase::ArmAbsent(placement_no),
                    None => Phase::Arm(placement_no),
                };
                self.set_phase(next, now);
            }
            Phase::ArmAbsent(placement_no) if self.is_absent_armed(placement_no) => {
                self.set_phase(Phase::Arm(placement_no), now);
            }
            // It will never be armed for this placement, and nobody else is.
            Phase::ArmAbsent(placement_no) if self.is_absent_lost(placement_no) => {
                self.set_phase(Phase::Release, now);
            }
            // Nobody is armed yet, so a node that is silent costs nothing but this plan.
            Phase::Ready(_)
                if now >= self.since + options.for_all(options.ready_timeout, self.size) =>
            {
                self.set_phase(Phase::Release, now);
            }
            Phase::Recover if self.reports.len() == usize::from(self.size) && self.may_decide() => {
                let next = match self.armed_for_pass() {
                    Some(placement_no) => Phase::Arm(placement_no),
                    None => Phase::Release,
                };
                self.set_phase(next, now);
            }
            Phase::Arm(placement_no) if self.is_armed(placement_no) => {
                self.set_phase(Phase::Release, now);
            }
            _ => {}
        }
    }

    /// Tells whether a holder without memory may act on what engines say: once somebody is armed, or the held pass is
    /// the next one. An order to arm that its earlier life gave may be carried out later, and is refused as soon
    /// as the pass has begun.
    fn may_decide(&self) -> bool {
        self.armed_for_pass().is_some() || self.is_next()
    }

    /// Tells whether the held pass is the next one.
    fn is_next(&self) -> bool {
        self.reports.get(&self.own).is_some_and(|own| own.pass + 1 >= self.pass)
    }

    fn set_phase(&mut self, phase: Phase, now: Moment) {
        self.phase = phase;
        self.since = now;
        self.told_at = None;
    }

    fn has_all_answers(&self) -> bool {
        self.answered.len() == usize::from(self.size)
    }

    fn armed_for_pass(&self) -> Option<PlacementNo> {
        let armed = self.reports.values().filter_map(|r| r.armed);

        armed.filter(|a| a.pass == self.pass).map(|a| a.placement_no).next()
    }

    fn is_armed_at(&self, rank: Rank, placement_no: PlacementNo) -> bool {
        let target = Armed { placement_no, pass: self.pass };

        self.armed_afar.contains(&rank)
            || self.reports.get(&rank).is_some_and(|r| r.armed == Some(target))
    }

    fn is_armed(&self, placement_no: PlacementNo) -> bool {
        (0..self.size).all(|rank| self.is_armed_at(rank, placement_no))
    }

    fn is_absent_armed(&self, placement_no: PlacementNo) -> bool {
        self.absent.is_none_or(|rank| self.is_armed_at(rank, placement_no))
    }

    /// Tells whether the absent rank's engine has copied a later placement in place of the wanted one. Engines take
    /// only higher numbers, so an order to arm it that is still on its way will be refused.
    fn is_absent_lost(&self, placement_no: PlacementNo) -> bool {
        let report = self.absent.and_then(|rank| self.reports.get(&rank));

        report.is_some_and(|r| r.prepared > Some(placement_no) || r.placement > placement_no)
    }

    fn ask_absent(&mut self, now: Moment, options: &NodeOptions, actions: &mut Vec<HoldingAction>) {
        if let Some(rank) = self.absent.filter(|rank| !self.answered.contains(rank))
            && self.may_help(rank, now, options)
        {
            actions.push(HoldingAction::Ask(rank));
        }
    }

    fn arm_absent(
        &mut self,
        placement_no: PlacementNo,
        now: Moment,
        options: &NodeOptions,
        actions: &mut Vec<HoldingAction>,
    ) {
        // A holder that is killed now lets the pass go when it is back, if it finds nobody armed. By then an order
        // that is carried out late has to be too late.
        if let Some(rank) = self.absent.filter(|_| self.is_next())
            && self.may_help(rank, now, options)
        {
            self.arm_from_afar(rank, placement_no, actions);
        }
    }

    fn arm_from_afar(
        &self,
        rank: Rank,
        placement_no: PlacementNo,
        actions: &mut Vec<HoldingAction>,
    ) {
        let action = RankAction::Arm { placement_no, pass: self.pass };
        let order = RankOrder { epoch: self.epoch, action };
        actions.push(HoldingAction::Order(rank, order));

        if rank != self.own {
            actions.push(HoldingAction::Ask(rank));
        }
    }

    /// Reads the engines of nodes that do not answer.
    fn ask_silent(&mut self, now: Moment, options: &NodeOptions, actions: &mut Vec<HoldingAction>) {
        if now < self.since + options.for_all(options.remote_access_delay, self.size) {
            return;
        }

        for rank in 0..self.size {
            if !self.reports.contains_key(&rank) && self.may_help(rank, now, options) {
                actions.push(HoldingAction::Ask(rank));
            }
        }
    }

    /// Arms the own rank, and those whose nodes have not done so in time.
    fn arm(
        &mut self,
        placement_no: PlacementNo,
        now: Moment,
        options: &NodeOptions,
        actions: &mut Vec<HoldingAction>,
    ) {
        let is_late = now >= self.since + options.for_all(options.remote_access_delay, self.size);

        for rank in 0..self.size {
            let is_due = rank == self.own || is_late;

            if is_due && !self.is_armed_at(rank, placement_no) && self.may_help(rank, now, options)
            {
                self.arm_from_afar(rank, placement_no, actions);
            }
        }
    }

    fn let_go(&mut self, now: Moment, options: &NodeOptions, actions: &mut Vec<HoldingAction>) {
        if self.released_at.is_none_or(|at| now >= at + options.order_retry_delay) {
            self.released_at = Some(now);
            let action = RankAction::Release { pass: self.pass };
            let order = RankOrder { epoch: self.epoch, action };
            actions.push(HoldingAction::Order(self.own, order));
        }
    }

    fn may_help(&mut self, rank: Rank, now: Moment, options: &NodeOptions) -> bool {
        let is_due =
            self.helped_at.get(&rank).is_none_or(|at| now >= *at + options.order_retry_delay);

        if is_due {
            self.helped_at.insert(rank, now);
        }

        is_due
    }

    fn message(&self) -> Changeover {
        let step = match self.phase {
            Phase::Ready(placement_no) | Phase::ArmAbsent(placement_no) => {
                ChangeoverStep::Ready { placement_no }
            }
            Phase::Recover => ChangeoverStep::Recover,
            Phase::Arm(placement_no) => ChangeoverStep::Arm { placement_no },
            Phase::Release => ChangeoverStep::Over,
        };

        Changeover {
            term: self.term,
            epoch: self.epoch,
            holder: self.own,
            round: self.round,
            pass: self.pass,
            step,
        }
    }
}

/// Tells whether an engine can be armed, as it says itself.
fn is_ready(report: &RankReport, placement_no: PlacementNo, pass: PassNo) -> bool {
    let is_bound = report.armed.is_some() || report.held.is_some();

    report.prepared == Some(placement_no) && report.pass < pass && !is_bound
}
