//! Coordinator of a switch: distributes a proposal to all members and collects their answers.
//!
//! The safety of a switch does not depend on the coordinator. It may crash, be paused, or run more
//! than once at any time.

use std::time::Duration;

use grebedeck_core::{Epoch, Incarnation, Moment, Step};

use super::message::{Body, MapVersion, MemberNo, Message, Standing};

/// Options of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CoordinatorOptions {
    /// Number of steps between the highest step that a member reported and the armed step.
    pub lead_steps: Step,
    /// Time for members to load weights, after which the proposal is aborted.
    pub prepare_timeout: Duration,
    /// Time for members to arm, after which the proposal is aborted.
    pub arm_timeout: Duration,
    /// Interval at which a message is sent again to members that have not answered.
    pub resend_interval: Duration,
}

impl Default for CoordinatorOptions {
    fn default() -> Self {
        CoordinatorOptions {
            lead_steps: 16,
            prepare_timeout: Duration::from_secs(60),
            arm_timeout: Duration::from_secs(1),
            resend_interval: Duration::from_millis(50),
        }
    }
}

/// Action that the caller has to perform for a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CoordinatorAction {
    /// Send a message.
    Send(Message),
    /// Record that all members have committed the proposal.
    Committed(MapVersion),
    /// Record that the proposal was aborted; its version is not used again.
    Aborted(MapVersion),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Preparing,
    Arming { at_step: Step },
}

/// State machine of a coordinator in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    no: MemberNo,
    incarnation: Incarnation,
    epoch: Epoch,
    options: CoordinatorOptions,
    proposal_count: u32,
    phase: Phase,
    version: MapVersion,
    base: MapVersion,
    roster: Vec<Incarnation>,
    answered: Vec<bool>,
    max_step: Step,
    deadline: Moment,
    resend_at: Moment,
}

impl Coordinator {
    /// Creates a coordinator that sends as member `no` in the given epoch.
    pub fn new(
        no: MemberNo,
        incarnation: Incarnation,
        epoch: Epoch,
        options: CoordinatorOptions,
    ) -> Self {
        Coordinator {
            no,
            incarnation,
            epoch,
            options,
            proposal_count: 0,
            phase: Phase::Idle,
            version: MapVersion::default(),
            base: MapVersion::default(),
            roster: Vec::new(),
            answered: Vec::new(),
            max_step: 0,
            deadline: Moment::ZERO,
            resend_at: Moment::ZERO,
        }
    }

    /// Returns whether a new proposal may be made.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Returns the coordinator's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the version of the next proposal.
    pub fn next_version(&self) -> MapVersion {
        MapVersion { epoch: self.epoch, proposer: self.no, number: self.proposal_count + 1 }
    }

    /// Proposes the next version, based on `base`, to the members of the roster.
    ///
    /// # Panics
    ///
    /// Panics if another proposal is in progress.
    pub fn propose(
        &mut self,
        base: MapVersion,
        roster: Vec<Incarnation>,
        now: Moment,
    ) -> Vec<CoordinatorAction> {
        assert!(self.is_idle(), "another proposal is in progress");

        self.version = self.next_version();
        self.proposal_count += 1;
        self.base = base;
        self.answered = vec![false; roster.len()];
        self.roster = roster;
        self.max_step = 0;
        self.phase = Phase::Preparing;
        self.deadline = now + self.options.prepare_timeout;

        self.send_to_unanswered(now)
    }

    /// Handles a member's answer. Answers of other incarnations than those of the roster are
    /// ignored.
    pub fn receive(&mut self, message: &Message, now: Moment) -> Vec<CoordinatorAction> {
        let from = usize::from(message.from);

        if self.roster.get(from) != Some(&message.incarnation) {
            return Vec::new();
        }

        match (&message.body, &self.phase) {
            (Body::Prepared { version, step }, Phase::Preparing) if *version == self.version => {
                self.answered[from] = true;
                self.max_step = self.max_step.max(*step);
                self.arm_if_all_prepared(now)
            }
            (Body::Report { version, standing, .. }, phase) if *version == self.version => {
                match (standing, phase) {
                    (_, Phase::Idle) => Vec::new(),
                    (Standing::Refused, _) => self.abort(),
                    (_, Phase::Preparing) => Vec::new(),
                    (_, Phase::Arming { .. }) => {
                        self.answered[from] = true;
                        self.commit_if_all_armed()
                    }
                }
            }
            _ => Vec::new(),
        }
    }

    /// Sends messages again or aborts the proposal when the time has come.
    pub fn tick(&mut self, now: Moment) -> Vec<CoordinatorAction> {
        if self.is_idle() {
            return Vec::new();
        }

        if now >= self.deadline {
            // Armed members find out the outcome among themselves; it may still be a commit.
            return self.abort();
        }

        if now >= self.resend_at { self.send_to_unanswered(now) } else { Vec::new() }
    }

    fn arm_if_all_prepared(&mut self, now: Moment) -> Vec<CoordinatorAction> {
        if !self.answered.iter().all(|a| *a) {
            return Vec::new();
        }

        let at_step = self.max_step + self.options.lead_steps;
        self.phase = Phase::Arming { at_step };
        self.answered.fill(false);
        self.deadline = now + self.options.arm_timeout;

        self.send_to_unanswered(now)
    }

    fn commit_if_all_armed(&mut self) -> Vec<CoordinatorAction> {
        if !self.answered.iter().all(|a| *a) {
            return Vec::new();
        }

        self.phase = Phase::Idle;
        let body = Body::Commit { version: self.version, roster: self.roster.clone() };
        let mut actions: Vec<_> = self.members().map(|to| self.send(to, body.clone())).collect();
        actions.push(CoordinatorAction::Committed(self.version));

        actions
    }

    fn abort(&mut self) -> Vec<CoordinatorAction> {
        self.phase = Phase::Idle;
        // A query makes members that have not armed the version refuse it, and armed members learn
        // of that from their own queries.
        let body = Body::Query { version: self.version };
        let mut actions: Vec<_> = self.members().map(|to| self.send(to, body.clone())).collect();
        actions.push(CoordinatorAction::Aborted(self.version));

        actions
    }

    fn send_to_unanswered(&mut self, now: Moment) -> Vec<CoordinatorAction> {
        self.resend_at = now + self.options.resend_interval;

        let body = match self.phase {
            Phase::Idle => return Vec::new(),
            Phase::Preparing => Body::Prepare { version: self.version, base: self.base },
            Phase::Arming { at_step } => Body::Arm {
                version: self.version,
                base: self.base,
                at_step,
                roster: self.roster.clone(),
            },
        };

        let unanswered = self.members().filter(|no| !self.answered[usize::from(*no)]);
        unanswered.map(|to| self.send(to, body.clone())).collect()
    }

    fn members(&self) -> impl Iterator<Item = MemberNo> + use<> {
        0..self.roster.len() as MemberNo
    }

    fn send(&self, to: MemberNo, body: Body) -> CoordinatorAction {
        CoordinatorAction::Send(Message { from: self.no, incarnation: self.incarnation, to, body })
    }
}
