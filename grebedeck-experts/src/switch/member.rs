//! A member's side of the switch: the agent beside one engine, with that engine's ranks.

use std::time::Duration;

use grebedeck_core::{Epoch, Incarnation, Moment, Step};

use super::join::Joining;
use super::message::{Body, GroupView, MapVersion, MemberNo, Message, Standing};

/// Settings of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberOptions {
    /// How long an armed member waits for the coordinator before it asks the others.
    pub query_delay: Duration,
    /// How long it waits before it asks again.
    pub retry_interval: Duration,
}

impl Default for MemberOptions {
    fn default() -> Self {
        MemberOptions {
            query_delay: Duration::from_millis(250),
            retry_interval: Duration::from_millis(100),
        }
    }
}

/// What the shell has to do for a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MemberAction {
    /// Send a message.
    Send(Message),
    /// Load the weights of a version, then call [`Member::loaded`].
    Load {
        /// The version to load.
        version: MapVersion,
    },
    /// Stop the engine before it begins `at_step`, then call [`Member::held`].
    HoldAt {
        /// The version to arm.
        version: MapVersion,
        /// The first step that must not begin.
        at_step: Step,
    },
    /// Use the version from its step on, and hold no more.
    Use {
        /// The committed version.
        version: MapVersion,
        /// The first step with it.
        at_step: Step,
    },
    /// Stay with the map in use, and hold no more.
    KeepCurrent {
        /// The version that was given up.
        aborted: MapVersion,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Armed {
    version: MapVersion,
    at_step: Step,
    roster: Vec<Incarnation>,
    armed_by: Vec<bool>,
    ask_at: Moment,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holding {
    asked_by: MemberNo,
    version: MapVersion,
    at_step: Step,
    roster: Vec<Incarnation>,
}

/// A member's state, for a dump.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct MemberStatus {
    /// The map in use.
    pub current: MapVersion,
    /// The version that is armed, if any.
    pub armed: Option<MapVersion>,
    /// Whether the member still asks the others for their state.
    pub joining: bool,
    /// Known incarnation of each member.
    pub roster: Vec<Incarnation>,
    /// The highest fencing token seen.
    pub seen_epoch: Epoch,
}

/// The state machine of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    no: MemberNo,
    incarnation: Incarnation,
    options: MemberOptions,
    known: GroupView,
    prepared: Option<MapVersion>,
    loading: Option<MapVersion>,
    /// A version whose hold the engine has not confirmed yet.
    holding: Option<Holding>,
    armed: Option<Armed>,
    joining: Option<Joining>,
}

impl Member {
    /// Makes a member of a group that starts for the first time, with everybody at `current`.
    pub fn new(
        no: MemberNo,
        roster: Vec<Incarnation>,
        current: MapVersion,
        options: MemberOptions,
    ) -> Self {
        Member {
            no,
            incarnation: roster[usize::from(no)],
            options,
            known: GroupView {
                roster,
                current,
                current_from: 0,
                previous: current,
                settled: current,
                seen_epoch: current.epoch,
            },
            prepared: None,
            loading: None,
            holding: None,
            armed: None,
            joining: None,
        }
    }

    /// Makes a member that replaces an earlier incarnation and knows nothing yet.
    pub fn replacing(
        no: MemberNo,
        size: usize,
        incarnation: Incarnation,
        now: Moment,
        options: MemberOptions,
    ) -> Self {
        let mut roster = vec![0; size];
        roster[no as usize] = incarnation;

        let mut member = Member::new(no, roster, MapVersion::default(), options);
        member.joining = Some(Joining::new(size, now));

        member
    }

    /// Gets the state for a dump.
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            current: self.known.current,
            armed: self.armed.as_ref().map(|a| a.version),
            joining: self.joining.is_some(),
            roster: self.known.roster.clone(),
            seen_epoch: self.known.seen_epoch,
        }
    }

    /// Gets the newest map of the group.
    pub fn current(&self) -> MapVersion {
        self.known.current
    }

    /// Gets the first step that uses the newest map, and the map that is used before it.
    pub fn before_current(&self) -> (Step, MapVersion) {
        (self.known.current_from, self.known.previous)
    }

    /// Gets the incarnation known of each member; 0 where none is.
    pub fn roster(&self) -> &[Incarnation] {
        &self.known.roster
    }

    /// Tells whether a successor has taken this member's place; it then takes no part any more.
    pub fn is_replaced(&self) -> bool {
        self.known.roster[usize::from(self.no)] > self.incarnation
    }

    /// Tells whether the member may take part in a new switch.
    pub fn is_idle(&self) -> bool {
        let busy = self.armed.is_some() || self.holding.is_some() || self.joining.is_some();

        !busy && !self.is_replaced()
    }

    /// Goes on after the weights of a version were loaded; `step` is the engine's next one.
    pub fn loaded(&mut self, version: MapVersion, step: Step) -> Vec<MemberAction> {
        if self.loading != Some(version) {
            return Vec::new();
        }

        self.loading = None;
        self.prepared = Some(version);
        vec![self.send(version.proposer, Body::Prepared { version, step })]
    }

    /// Goes on as time passes. Call it at least as often as the options' times.
    pub fn tick(&mut self, now: Moment) -> Vec<MemberAction> {
        if self.is_replaced() {
            return Vec::new();
        }

        let again = now + self.options.retry_interval;

        if let Some(joining) = &mut self.joining {
            return if joining.is_due(now, again) { self.ask_to_join() } else { Vec::new() };
        }

        if let Some(armed) = &mut self.armed {
            if now < armed.ask_at {
                return Vec::new();
            }

            armed.ask_at = again;
            let version = armed.version;
            return self.others().map(|to| self.send(to, Body::Query { version })).collect();
        }

        Vec::new()
    }

    /// Goes on with a message; `step` is the engine's next step, which has not begun.
    pub fn receive(&mut self, message: &Message, step: Step) -> Vec<MemberAction> {
        if message.to != self.no || usize::from(message.from) >= self.known.roster.len() {
            return Vec::new();
        }

        if !self.note_incarnation(message.from, message.incarnation) || self.is_replaced() {
            return Vec::new();
        }

        // A member that does not know the group's state yet must not vow or arm anything.
        if self.joining.is_some() {
            return self.receive_joining(message);
        }

        match &message.body {
            Body::Prepare { version, base } => self.prepare(message.from, *version, *base, step),
            Body::Arm { version, base, at_step, roster } => {
                self.arm(message.from, *version, *base, *at_step, roster, step)
            }
            Body::Commit { version, roster } => self.commit_by_roster(*version, roster),
            Body::Query { version } => self.answer_query(message.from, *version),
            Body::Report { version, standing, seen_epoch } => {
                self.known.seen_epoch = self.known.seen_epoch.max(*seen_epoch);
                self.take_report(message.from, *version, *standing)
            }
            Body::Join { roster } => {
                self.note_roster(roster);
                vec![self.acknowledge_join(message)]
            }
            Body::Prepared { .. } | Body::JoinAck { .. } => Vec::new(),
        }
    }

    /// Notes a newer incarnation of a member; tells whether the sender is the newest known.
    fn note_incarnation(&mut self, from: MemberNo, incarnation: Incarnation) -> bool {
        let known = &mut self.known.roster[usize::from(from)];

        if incarnation > *known {
            *known = incarnation;

            // What the earlier incarnation had said no longer stands.
            if let Some(joining) = &mut self.joining {
                joining.forget(from);
            }

            if let Some(armed) = &mut self.armed {
                armed.armed_by[usize::from(from)] = false;
            }
        }

        incarnation == self.known.roster[usize::from(from)]
    }

    fn prepare(
        &mut self,
        from: MemberNo,
        version: MapVersion,
        base: MapVersion,
        step: Step,
    ) -> Vec<MemberAction> {
        let fenced = version.epoch < self.known.seen_epoch;
        self.known.seen_epoch = self.known.seen_epoch.max(version.epoch);

        if fenced || version <= self.known.settled || base != self.known.current {
            // Only a vow may be reported as a refusal.
            return self.answer_query(from, version);
        }

        if self.prepared == Some(version) {
            return vec![self.send(from, Body::Prepared { version, step })];
        }

        if self.loading == Some(version) {
            return Vec::new();
        }

        self.loading = Some(version);
        vec![MemberAction::Load { version }]
    }

    fn arm(
        &mut self,
        from: MemberNo,
        version: MapVersion,
        base: MapVersion,
        at_step: Step,
        roster: &[Incarnation],
        step: Step,
    ) -> Vec<MemberAction> {
        // A doubled order must not disturb a hold that the engine is about to confirm.
        if self.holding.as_ref().is_some_and(|h| h.version == version) {
            return Vec::new();
        }

        let fenced = version.epoch < self.known.seen_epoch;
        let may_arm = !fenced
            && version > self.known.settled
            && self.armed.is_none()
            && self.holding.is_none()
            && base == self.known.current
            && self.prepared == Some(version)
            && roster == self.known.roster
            // An engine keeps one map that is to come, so the last one must be in use first.
            && (step > self.known.current_from || self.known.current_from == 0);
        self.known.seen_epoch = self.known.seen_epoch.max(version.epoch);

        if !may_arm {
            return self.answer_query(from, version);
        }

        self.holding = Some(Holding { asked_by: from, version, at_step, roster: roster.to_vec() });
        vec![MemberAction::HoldAt { version, at_step }]
    }

    /// Goes on after the engine answered a hold; `done` says that `at_step` had not begun and will
    /// not begin until it is told.
    pub fn held(&mut self, version: MapVersion, done: bool, now: Moment) -> Vec<MemberAction> {
        if self.is_replaced() {
            return Vec::new();
        }

        let Some(holding) = self.holding.take_if(|h| h.version == version) else {
            // It was given up meanwhile, and the engine must not be left holding for it.
            let idle = done && self.armed.is_none() && self.holding.is_none();
            return if idle {
                vec![MemberAction::KeepCurrent { aborted: version }]
            } else {
                Vec::new()
            };
        };

        if !done || holding.roster != self.known.roster || version <= self.known.settled {
            let mut orders = self.answer_query(holding.asked_by, version);

            if done {
                orders.push(MemberAction::KeepCurrent { aborted: version });
            }

            return orders;
        }

        let mut armed_by = vec![false; self.known.roster.len()];
        armed_by[usize::from(self.no)] = true;
        let ask_at = now + self.options.query_delay;
        let Holding { asked_by, at_step, roster, .. } = holding;
        self.armed = Some(Armed { version, at_step, roster, armed_by, ask_at });

        let mut orders = vec![self.report(asked_by, version, Standing::Armed)];
        orders.extend(self.commit_if_all_armed());
        orders
    }

    fn commit_by_roster(
        &mut self,
        version: MapVersion,
        roster: &[Incarnation],
    ) -> Vec<MemberAction> {
        // After a member was replaced, the word of the old roster no longer counts.
        if roster != self.known.roster {
            return Vec::new();
        }

        match &self.armed {
            Some(armed) if armed.version == version => self.commit(),
            _ => {
                assert!(
                    self.known.current >= version,
                    "map {version:?} was committed by a roster of which this member refused it"
                );
                Vec::new()
            }
        }
    }

    /// Answers how this member stands; where it has not armed the version, it vows never to.
    fn answer_query(&mut self, from: MemberNo, version: MapVersion) -> Vec<MemberAction> {
        let armed = self.armed.as_ref().is_some_and(|a| a.version == version);

        let standing = if armed {
            Standing::Armed
        } else if version == self.known.current {
            Standing::Committed
        } else {
            // A hold that the engine has not confirmed yet is given up with this.
            self.holding.take_if(|h| h.version == version);
            self.known.settled = self.known.settled.max(version);
            Standing::Refused
        };

        vec![self.report(from, version, standing)]
    }

    fn take_report(
        &mut self,
        from: MemberNo,
        version: MapVersion,
        standing: Standing,
    ) -> Vec<MemberAction> {
        let Some(armed) = self.armed.as_mut().filter(|a| a.version == version) else {
            return Vec::new();
        };

        match standing {
            Standing::Committed => self.commit(),
            Standing::Refused => self.give_up(),
            Standing::Armed => {
                armed.armed_by[usize::from(from)] = true;
                self.commit_if_all_armed()
            }
        }
    }

    fn commit_if_all_armed(&mut self) -> Vec<MemberAction> {
        let roster = &self.known.roster;
        let all = self
            .armed
            .as_ref()
            .is_some_and(|a| a.armed_by.iter().all(|by| *by) && a.roster == *roster);

        if all { self.commit() } else { Vec::new() }
    }

    fn commit(&mut self) -> Vec<MemberAction> {
        let Some(armed) = self.armed.take() else {
            return Vec::new();
        };

        assert!(armed.version > self.known.current, "a map never goes back");
        self.known.previous = self.known.current;
        self.known.current = armed.version;
        self.known.current_from = armed.at_step;
        self.known.settled = self.known.settled.max(armed.version);
        self.prepared = None;

        vec![MemberAction::Use { version: armed.version, at_step: armed.at_step }]
    }

    fn give_up(&mut self) -> Vec<MemberAction> {
        let Some(armed) = self.armed.take() else {
            return Vec::new();
        };

        self.known.settled = self.known.settled.max(armed.version);
        self.prepared = None;

        vec![MemberAction::KeepCurrent { aborted: armed.version }]
    }

    fn receive_joining(&mut self, message: &Message) -> Vec<MemberAction> {
        match &message.body {
            Body::Join { roster } => {
                self.note_roster(roster);
                vec![self.acknowledge_join(message)]
            }
            Body::JoinAck { joined, known } => {
                if *joined == self.incarnation {
                    self.take_join_ack(message.from, known);
                }

                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn take_join_ack(&mut self, from: MemberNo, known: &GroupView) {
        self.note_roster(&known.roster);

        if let Some(joining) = &mut self.joining {
            joining.take(from, known);
        }

        if self.missing_acks().is_empty() {
            self.finish_join();
        }
    }

    /// Notes replacements that another member knows of. What their predecessors say, unaware of
    /// being replaced, must not count.
    fn note_roster(&mut self, roster: &[Incarnation]) {
        for (no, incarnation) in roster.iter().enumerate().take(self.known.roster.len()) {
            self.note_incarnation(no as MemberNo, *incarnation);
        }
    }

    fn ask_to_join(&mut self) -> Vec<MemberAction> {
        let missing = self.missing_acks();

        // A group of one has nobody to ask.
        if missing.is_empty() {
            self.finish_join();
        }

        let body = Body::Join { roster: self.known.roster.clone() };
        missing.into_iter().map(|to| self.send(to, body.clone())).collect()
    }

    fn finish_join(&mut self) {
        if let Some(joining) = self.joining.take() {
            joining.merge_into(&mut self.known);
        }
    }

    fn missing_acks(&self) -> Vec<MemberNo> {
        let joining = self.joining.as_ref();

        joining.map_or_else(Vec::new, |j| j.missing(self.no, &self.known.roster))
    }

    fn acknowledge_join(&self, message: &Message) -> MemberAction {
        let armed = self.armed.as_ref().map_or(self.known.settled, |a| a.version);
        let mut known = self.known.clone();
        // Nobody had committed it by now, so the joining member vows against it.
        known.settled = known.settled.max(armed);

        self.send(message.from, Body::JoinAck { joined: message.incarnation, known })
    }

    fn report(&self, to: MemberNo, version: MapVersion, standing: Standing) -> MemberAction {
        self.send(to, Body::Report { version, standing, seen_epoch: self.known.seen_epoch })
    }

    fn send(&self, to: MemberNo, body: Body) -> MemberAction {
        MemberAction::Send(Message { from: self.no, incarnation: self.incarnation, to, body })
    }

    fn others(&self) -> impl Iterator<Item = MemberNo> + use<> {
        let no = self.no;

        (0..self.known.roster.len() as MemberNo).filter(move |other| *other != no)
    }
}
