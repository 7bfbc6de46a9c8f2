//! The changeover as its holder drives it, until the held pass is released.
//!
//! The holder alone decides. First, every node has to answer that it is present and ready; if one
//! is silent or refuses, the pass is released with no rank armed. Then all ranks are armed, and the
//! pass is released once every rank's engine reports that it is armed. An absent rank is armed
//! first, remotely: as long as no other rank is armed, the pass can still be released if that
//! rank's engine has moved on to another placement, which no node can rule out on its behalf.
//!
//! An order without an answer may be carried out at any time until the pass begins, so a report is
//! an engine's state only up to then. Once orders to arm may have been sent, the pass is
//! released in two ways only: all ranks are armed, or each rank that could be armed is fenced. A
//! [`Fence`] is a placement with a higher number than all others: once an engine has accepted it,
//! it refuses all earlier placements. A holder that has lost its state in a restart does not know
//! what was sent: it completes the arming if a rank is armed, and fences all ranks otherwise. An
//! arming that does not come to an end is given up in the same way.

use std::collections::{BTreeMap, BTreeSet};

use grebedeck_core::{Moment, Rank};

use super::fence::{Fence, Fencing};
use super::message::{Changeover, ChangeoverStep, Term};
use super::options::NodeOptions;
use crate::engine::{Armed, GroupEpoch, PassNo, PlacementNo, RankAction, RankOrder, RankReport};

/// State of a changeover at its holder.
#[derive(Clone, Debug)]
pub(super) struct HeldPass {
    epoch: GroupEpoch,
    size: Rank,
    own: Rank,
    round: u64,
    term: Term,
    pass: PassNo,
    /// The rank whose node is absent.
    absent: Option<Rank>,
    phase: Phase,
    phase_since: Moment,
    answered: BTreeSet<Rank>,
    reports: BTreeMap<Rank, RankReport>,
    /// Other ranks whose engines have accepted an order to arm. Their reports to other instances
    /// lag by some hundred milliseconds, and the group would stall for as long.
    armed_remotely: BTreeSet<Rank>,
    contacted_at: BTreeMap<Rank, Moment>,
    sent_at: Option<Moment>,
    released_at: Option<Moment>,
    /// The fence, once it is known.
    fence: Option<Fence>,
    fencing: Fencing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Every node is asked whether it is ready for a placement.
    Ready(PlacementNo),
    /// The absent rank is to be armed, before any other.
    ArmAbsent(PlacementNo),
    /// The holder has lost its state of this pass, and asks whether any rank is armed.
    Recover,
    /// Every rank is to be armed.
    Arm(PlacementNo),
    /// No rank is to be armed any more.
    Fence,
    /// The pass is to be released.
    Release,
}

/// A hold that the leader requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestedHold {
    pub(super) placement_no: PlacementNo,
    pub(super) pass: PassNo,
    /// The rank whose node is absent.
    pub(super) absent: Option<Rank>,
}

/// An action that a holder requests.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum HeldPassAction {
    /// Send to all other nodes, or only to those of some ranks.
    Send(Changeover, Option<BTreeSet<Rank>>),
    /// Send an order to a rank's engine.
    Order(Rank, RankOrder),
    /// Read the report of a rank's engine.
    ReadReport(Rank),
}

impl HeldPass {
    /// Starts the changeover to a placement.
    pub(super) fn new(
        own: &RankReport,
        term: Term,
        requested: RequestedHold,
        round: u64,
        now: Moment,
    ) -> Self {
        let RequestedHold { placement_no, pass, absent } = requested;
        let held_pass = Self::in_phase(Phase::Ready(placement_no), own, term, pass, round, now);

        HeldPass { absent, ..held_pass }
    }

    /// Starts to find out why a pass is held, after a restart of the holder.
    pub(super) fn recover(
        own: &RankReport,
        term: Term,
        pass: PassNo,
        round: u64,
        now: Moment,
    ) -> Self {
        Self::in_phase(Phase::Recover, own, term, pass, round, now)
    }

    /// Releases a pass that no rank can be armed for.
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
        HeldPass {
            epoch: own.epoch,
            size: own.size,
            own: own.rank,
            round,
            term,
            pass,
            absent: None,
            phase,
            phase_since: now,
            answered: BTreeSet::from([own.rank]),
            reports: BTreeMap::from([(own.rank, own.clone())]),
            armed_remotely: BTreeSet::new(),
            contacted_at: BTreeMap::new(),
            sent_at: None,
            released_at: None,
            fence: None,
            fencing: Fencing::default(),
        }
    }

    pub(super) fn pass(&self) -> PassNo {
        self.pass
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Whether ranks may be armed for the pass.
    pub(super) fn is_arming(&self) -> bool {
        !matches!(self.phase, Phase::Ready(_) | Phase::Release)
    }

    /// Whether the holder needs a [`Fence`].
    pub(super) fn needs_fence(&self) -> bool {
        self.phase == Phase::Fence && self.fence.is_none()
    }

    /// Sets the fence that the holder needs.
    pub(super) fn set_fence(&mut self, fence: Fence) {
        self.fence = Some(fence);
    }

    /// Highest number of a placement that an engine has reported.
    pub(super) fn highest_placement_no(&self) -> PlacementNo {
        self.reports.values().map(RankReport::highest_placement_no).max().unwrap_or_default()
    }

    pub(super) fn phase_since(&self) -> Moment {
        self.phase_since
    }

    /// Records a node's answer.
    pub(super) fn record_answer(&mut self, accepts: bool, report: RankReport, now: Moment) {
        if report.epoch != self.epoch {
            return;
        }

        if !accepts && matches!(self.phase, Phase::Ready(_)) {
            self.set_phase(Phase::Release, now);
        }

        self.answered.insert(report.rank);
        self.record_report(report);
    }

    /// Records the report of a rank's engine.
    pub(super) fn record_report(&mut self, report: RankReport) {
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

    /// Records that a rank's engine has accepted an order.
    pub(super) fn record_accepted(&mut self, rank: Rank, order: &RankOrder) {
        if order.epoch == self.epoch
            && let (RankAction::Prepare { placement_no, .. }, Some(fence)) =
                (&order.action, &self.fence)
            && *placement_no == fence.placement_no
        {
            self.fencing.record_fenced(rank);
        }

        if let (RankAction::Disarm { .. }, Some(report)) =
            (&order.action, self.reports.get_mut(&rank))
        {
            report.armed = None;
        }

        let RankAction::Arm { placement_no, pass } = order.action else {
            return;
        };
        let is_expected = match self.phase {
            Phase::Arm(no) | Phase::ArmAbsent(no) => no == placement_no,
            _ => false,
        };

        // A rank stays armed until the pass begins or the group forms anew.
        if is_expected && order.epoch == self.epoch && pass == self.pass && rank != self.own {
            self.armed_remotely.insert(rank);
        }
    }

    /// Returns the actions that are due. The pass has not begun, and the holder's engine holds it
    /// unless it was released.
    pub(super) fn step(&mut self, now: Moment, options: &NodeOptions) -> Vec<HeldPassAction> {
        self.decide(now, options);
        let mut actions = Vec::new();

        match self.phase {
            Phase::Ready(_) => self.read_absent(now, options, &mut actions),
            Phase::ArmAbsent(placement_no) => {
                self.arm_absent(placement_no, now, options, &mut actions);
            }
            Phase::Recover => self.read_silent(now, options, &mut actions),
            Phase::Arm(placement_no) => self.arm(placement_no, now, options, &mut actions),
            Phase::Fence => self.fence(now, options, &mut actions),
            Phase::Release => self.release_pass(now, options, &mut actions),
        }

        let changeover_retry_delay = options.for_all(options.changeover_retry_delay, self.size);

        if self.sent_at.is_none_or(|at| now >= at + changeover_retry_delay) {
            let missing = self.sent_at.map(|_| self.missing());
            self.sent_at = Some(now);

            if missing.as_ref().is_none_or(|missing| !missing.is_empty()) {
                actions.push(HeldPassAction::Send(self.message(), missing));
            }
        }

        actions
    }

    /// Returns the ranks that have not yet done what this phase waits for. Only they are sent the
    /// message again: one message to all of 192 ranks fills a link of 6 Mbit/s for 30 ms, the time
    /// that their answers need.
    fn missing(&self) -> BTreeSet<Rank> {
        let is_missing = |rank: &Rank| match self.phase {
            Phase::Ready(_) => !self.answered.contains(rank),
            Phase::Recover => !self.reports.contains_key(rank),
            Phase::Arm(placement_no) => !self.is_armed_at(*rank, placement_no),
            Phase::Fence => self.fencing.is_open(*rank, &self.reports),
            // Nodes that miss this message ask the holder, or see the pass begin.
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
            Phase::ArmAbsent(_) if self.is_arming_late(now, options) => self.begin_fence(now),
            // The engine will never be armed for this placement, and no other rank is armed.
            Phase::ArmAbsent(placement_no) if self.is_absent_overtaken(placement_no) => {
                self.set_phase(Phase::Release, now);
            }
            // No rank is armed yet, so a silent node costs only this plan.
            Phase::Ready(_)
                if now >= self.phase_since + options.for_all(options.ready_timeout, self.size) =>
            {
                self.set_phase(Phase::Release, now);
            }
            Phase::Recover if self.reports.len() == usize::from(self.size) => self.resume(now),
            Phase::Arm(placement_no) if self.is_armed(placement_no) => {
                self.set_phase(Phase::Release, now);
            }
            Phase::Arm(placement_no)
                if self.is_overtaken(placement_no) || self.is_arming_late(now, options) =>
            {
                self.begin_fence(now);
            }
            Phase::Fence => self.decide_fence(now),
            _ => {}
        }
    }

    /// Continues the changeover of an earlier start of the process. Orders that it sent may still be
    /// carried out: to arm ranks, or else to release the pass, as it sent both only if all were
    /// armed. So ranks are armed only if one of them is.
    fn resume(&mut self, now: Moment) {
        let armed = self.reports.values().filter_map(|r| r.armed);
        let armed_no = armed.filter(|a| a.pass == self.pass).map(|a| a.placement_no).next();

        match armed_no {
            Some(placement_no) => self.set_phase(Phase::Arm(placement_no), now),
            None if self.reports.values().any(is_armable) => self.begin_fence(now),
            None => self.set_phase(Phase::Release, now),
        }
    }

    fn begin_fence(&mut self, now: Moment) {
        self.fencing = Fencing::new(self.highest_placement_no());
        self.contacted_at.clear();
        self.set_phase(Phase::Fence, now);
    }

    fn decide_fence(&mut self, now: Moment) {
        let may_release = self.fencing.is_complete(self.size, &self.reports)
            || self.fencing.are_all_armed(self.size, self.pass, &self.reports);

        if may_release {
            self.set_phase(Phase::Release, now);
        }
    }

    /// Whether arming takes so long that it is given up.
    fn is_arming_late(&self, now: Moment, options: &NodeOptions) -> bool {
        now >= self.phase_since + options.for_all(options.arming_timeout, self.size)
    }

    /// Whether a rank's engine has copied a later placement and can never be armed for this one.
    fn is_overtaken(&self, placement_no: PlacementNo) -> bool {
        self.reports.values().any(|report| report.is_overtaken(placement_no))
    }

    /// Whether the held pass is the next one.
    fn is_next(&self) -> bool {
        self.reports.get(&self.own).is_some_and(|own| own.pass + 1 >= self.pass)
    }

    fn set_phase(&mut self, phase: Phase, now: Moment) {
        self.phase = phase;
        self.phase_since = now;
        self.sent_at = None;
    }

    fn has_all_answers(&self) -> bool {
        self.answered.len() == usize::from(self.size)
    }

    fn is_armed_at(&self, rank: Rank, placement_no: PlacementNo) -> bool {
        let target = Armed { placement_no, pass: self.pass };

        self.armed_remotely.contains(&rank)
            || self.reports.get(&rank).is_some_and(|r| r.armed == Some(target))
    }

    fn is_armed(&self, placement_no: PlacementNo) -> bool {
        (0..self.size).all(|rank| self.is_armed_at(rank, placement_no))
    }

    fn is_absent_armed(&self, placement_no: PlacementNo) -> bool {
        self.absent.is_none_or(|rank| self.is_armed_at(rank, placement_no))
    }

    /// Whether the absent rank's engine has copied a later placement in place of the planned one.
    /// Engines accept only increasing numbers, so an order to arm that is still on its way will be
    /// refused.
    fn is_absent_overtaken(&self, placement_no: PlacementNo) -> bool {
        let report = self.absent.and_then(|rank| self.reports.get(&rank));

        report.is_some_and(|report| report.is_overtaken(placement_no))
    }

    fn read_absent(
        &mut self,
        now: Moment,
        options: &NodeOptions,
        actions: &mut Vec<HeldPassAction>,
    ) {
        if let Some(rank) = self.absent.filter(|rank| !self.answered.contains(rank))
            && self.may_contact(rank, now, options)
        {
            actions.push(HeldPassAction::ReadReport(rank));
        }
    }

    fn arm_absent(
        &mut self,
        placement_no: PlacementNo,
        now: Moment,
        options: &NodeOptions,
        actions: &mut Vec<HeldPassAction>,
    ) {
        // The later the order, the less time is left for it to be carried out late.
        if let Some(rank) = self.absent.filter(|_| self.is_next())
            && self.may_contact(rank, now, options)
        {
            self.arm_remotely(rank, placement_no, actions);
        }
    }

    fn arm_remotely(
        &self,
        rank: Rank,
        placement_no: PlacementNo,
        actions: &mut Vec<HeldPassAction>,
    ) {
        let action = RankAction::Arm { placement_no, pass: self.pass };
        let order = RankOrder { epoch: self.epoch, action };
        actions.push(HeldPassAction::Order(rank, order));

        if rank != self.own {
            actions.push(HeldPassAction::ReadReport(rank));
        }
    }

    /// Reads the engines of nodes that do not answer.
    fn read_silent(
        &mut self,
        now: Moment,
        options: &NodeOptions,
        actions: &mut Vec<HeldPassAction>,
    ) {
        if now < self.phase_since + options.for_all(options.remote_access_delay, self.size) {
            return;
        }

        for rank in 0..self.size {
            if !self.reports.contains_key(&rank) && self.may_contact(rank, now, options) {
                actions.push(HeldPassAction::ReadReport(rank));
            }
        }
    }

    /// Arms the holder's own rank, and after a delay those whose nodes have not armed theirs.
    fn arm(
        &mut self,
        placement_no: PlacementNo,
        now: Moment,
        options: &NodeOptions,
        actions: &mut Vec<HeldPassAction>,
    ) {
        let is_late =
            now >= self.phase_since + options.for_all(options.remote_access_delay, self.size);

        for rank in 0..self.size {
            let is_due = rank == self.own || is_late;

            if is_due
                && !self.is_armed_at(rank, placement_no)
                && self.may_contact(rank, now, options)
            {
                self.arm_remotely(rank, placement_no, actions);
            }
        }
    }

    /// Fences the ranks that could be armed, each with its next order.
    fn fence(&mut self, now: Moment, options: &NodeOptions, actions: &mut Vec<HeldPassAction>) {
        let Some(fence) = self.fence.clone() else {
            return;
        };

        for rank in 0..self.size {
            let action = self.fencing.next_action(rank, self.size, &self.reports, &fence);

            if let Some(action) = action
                && self.may_contact(rank, now, options)
            {
                let order = RankOrder { epoch: self.epoch, action };
                actions.push(HeldPassAction::Order(rank, order));

                if rank != self.own {
                    actions.push(HeldPassAction::ReadReport(rank));
                }
            }
        }
    }

    fn release_pass(
        &mut self,
        now: Moment,
        options: &NodeOptions,
        actions: &mut Vec<HeldPassAction>,
    ) {
        if self.released_at.is_none_or(|at| now >= at + options.order_retry_delay) {
            self.released_at = Some(now);
            let action = RankAction::Release { pass: self.pass };
            let order = RankOrder { epoch: self.epoch, action };
            actions.push(HeldPassAction::Order(self.own, order));
        }
    }

    fn may_contact(&mut self, rank: Rank, now: Moment, options: &NodeOptions) -> bool {
        let is_due =
            self.contacted_at.get(&rank).is_none_or(|at| now >= *at + options.order_retry_delay);

        if is_due {
            self.contacted_at.insert(rank, now);
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
            // Nodes are not to arm their ranks any more.
            Phase::Fence | Phase::Release => ChangeoverStep::Over,
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

/// Whether an order to arm could bring another placement into use, by an engine's report.
fn is_armable(report: &RankReport) -> bool {
    let armed = report.armed.map(|armed| armed.placement_no);

    armed.or(report.prepared).is_some_and(|no| no != report.placement)
}

/// Whether an engine can be armed, by its own report.
fn is_ready(report: &RankReport, placement_no: PlacementNo, pass: PassNo) -> bool {
    let is_bound = report.armed.is_some() || report.held.is_some();

    report.prepared == Some(placement_no) && report.pass < pass && !is_bound
}
