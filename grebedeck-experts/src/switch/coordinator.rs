//! The coordinator's side of the switch: it carries a proposal to all members.
//!
//! Nothing that must hold depends on it. It may die, be paused or be doubled at any point.

use std::time::Duration;

use grebedeck_core::{Epoch, Incarnation, Moment, Step};

use super::message::{Body, MapVersion, MemberNo, Message, Standing};

/// Settings of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CoordinatorOptions {
    /// How many steps ahead of the slowest answer the switch is armed.
    pub lead_steps: Step,
    /// How long members may take to load weights before the proposal is given up.
    pub prepare_timeout: Duration,
    /// How long members may take to arm before the proposal is given up.
    pub arm_timeout: Duration,
    /// How long to wait before an order is sent again.
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

/// What the shell has to do for a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CoordinatorAction {
    /// Send a message.
    Send(Message),
    /// The proposal is in use by all members.
    Committed(MapVersion),
    /// The proposal was given up; a later one needs a new version.
    Aborted(MapVersion),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Preparing,
    Arming { at_step: Step },
}

/// The state machine of one coordinator in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    no: MemberNo,
    incarnation: Incarnation,
    epoch: Epoch,
    options: CoordinatorOptions,
    number: u32,
    phase: Phase,
    version: MapVersion,
    base: MapVersion,
    roster: Vec<Incarnation>,
    answered: Vec<bool>,
    step_max: Step,
    give_up_at: Moment,
    resend_at: Moment,
}

impl Coordinator {
    /// Makes a coordinator that speaks as the member `no` in the given epoch.
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
            number: 0,
            phase: Phase::Idle,
            version: MapVersion::default(),
            base: MapVersion::default(),
            roster: Vec::new(),
            answered: Vec::new(),
            step_max: 0,
            give_up_at: Moment::ZERO,
            resend_at: Moment::ZERO,
        }
    }

    /// Tells whether a new proposal may be made.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Gets the epoch that the coordinator speaks in.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Gets the version that the next proposal will have.
    pub fn next_version(&self) -> MapVersion {
        MapVersion { epoch: self.epoch, proposer: self.no, number: self.number + 1 }
    }

    /// Proposes the next version on top of `base` to the members of the roster.
    pub fn propose(
        &mut self,
        base: MapVersion,
        roster: Vec<Incarnation>,
        now: Moment,
    ) -> Vec<CoordinatorAction> {
        assert!(self.is_idle(), "one proposal at a time");

        self.version = self.next_version();
        self.number += 1;
        self.base = base;
        self.answered = vec![false; roster.len()];
        self.roster = roster;
        self.step_max = 0;
        self.phase = Phase::Preparing;
        self.give_up_at = now + self.options.prepare_timeout;

        self.send_to_waiting(now)
    }

    /// Goes on with an answer of a member.
    pub fn receive(&mut self, message: &Message, now: Moment) -> Vec<CoordinatorAction> {
        let from = usize::from(message.from);

        if self.roster.get(from) != Some(&message.incarnation) {
            return Vec::new();
        }

        match (&message.body, &self.phase) {
            (Body::Prepared { version, step }, Phase::Preparing) if *version == self.version => {
                self.answered[from] = true;
                self.step_max = self.step_max.max(*step);
                self.arm_if_all_prepared(now)
            }
            (Body::Report { version, standing, .. }, phase) if *version == self.version => {
                match (standing, phase) {
                    (_, Phase::Idle) => Vec::new(),
                    (Standing::Refused, _) => self.give_up(),
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

    /// Goes on as time passes.
    pub fn tick(&mut self, now: Moment) -> Vec<CoordinatorAction> {
        if self.is_idle() {
            return Vec::new();
        }

        if now >= self.give_up_at {
            // Armed members settle it among themselves, whichever way it went.
            return self.give_up();
        }

        if now >= self.resend_at { self.send_to_waiting(now) } else { Vec::new() }
    }

    fn arm_if_all_prepared(&mut self, now: Moment) -> Vec<CoordinatorAction> {
        if !self.answered.iter().all(|a| *a) {
            return Vec::new();
        }

        let at_step = self.step_max + self.options.lead_steps;
        self.phase = Phase::Arming { at_step };
        self.answered.fill(false);
        self.give_up_at = now + self.options.arm_timeout;

        self.send_to_waiting(now)
    }

    fn commit_if_all_armed(&mut self) -> Vec<CoordinatorAction> {
        if !self.answered.iter().all(|a| *a) {
            return Vec::new();
        }

        self.phase = Phase::Idle;
        let body = Body::Commit { version: self.version, roster: self.roster.clone() };
        let mut orders: Vec<_> = self.members().map(|to| self.send(to, body.clone())).collect();
        orders.push(CoordinatorAction::Committed(self.version));

        orders
    }

    fn give_up(&mut self) -> Vec<CoordinatorAction> {
        self.phase = Phase::Idle;
        // Asking makes members that have not armed vow against it, and armed ones learn of that
        // when they ask in turn.
        let body = Body::Query { version: self.version };
        let mut orders: Vec<_> = self.members().map(|to| self.send(to, body.clone())).collect();
        orders.push(CoordinatorAction::Aborted(self.version));

        orders
    }

    fn send_to_waiting(&mut self, now: Moment) -> Vec<CoordinatorAction> {
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

        let waiting = self.members().filter(|no| !self.answered[usize::from(*no)]);
        waiting.map(|to| self.send(to, body.clone())).collect()
    }

    fn members(&self) -> impl Iterator<Item = MemberNo> + use<> {
        0..self.roster.len() as MemberNo
    }

    fn send(&self, to: MemberNo, body: Body) -> CoordinatorAction {
        CoordinatorAction::Send(Message { from: self.no, incarnation: self.incarnation, to, body })
    }
}
