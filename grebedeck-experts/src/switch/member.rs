//! Member of a switch: the agent of one engine, which acts for that engine's ranks.

use std::time::Duration;

use grebedeck_core::{Epoch, Incarnation, Moment, Step};

use super::join::Joining;
use super::message::{Body, GroupView, MapVersion, MemberNo, Message, Standing};

/// Options of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberOptions {
    /// Time that an armed member waits for the coordinator before it queries the other members.
    pub query_delay: Duration,
    /// Interval at which queries and join requests are repeated.
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

/// Action that the caller has to perform for a member.
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
    /// Switch to the version at its first step and release the hold.
    Use {
        /// The committed version.
        version: MapVersion,
        /// The first step that uses the version.
        at_step: Step,
    },
    /// Keep the current map and release the hold.
    KeepCurrent {
        /// The aborted version.
        aborted: MapVersion,
    },
}

/// A version that is held before its first step until the outcome is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Armed {
    version: MapVersion,
    at_step: Step,
    roster: Vec<Incarnation>,
    armed_by: Vec<bool>,
    query_at: Moment,
}

/// A hold that the engine has not confirmed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holding {
    requester: MemberNo,
    version: MapVersion,
    at_step: Step,
    roster: Vec<Incarnation>,
}

/// State of a member for the diagnostic dump.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct MemberStatus {
    /// The newest committed map.
    pub current: MapVersion,
    /// The armed version, if any.
    pub armed: Option<MapVersion>,
    /// Whether the member is still collecting the other members' state.
    pub joining: bool,
    /// Known incarnation of each member.
    pub roster: Vec<Incarnation>,
    /// Highest epoch seen.
    pub seen_epoch: Epoch,
}

/// State machine of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    no: MemberNo,
    incarnation: Incarnation,
    options: MemberOptions,
    known: GroupView,
    prepared: Option<MapVersion>,
    loading: Option<MapVersion>,
    holding: Option<Holding>,
    armed: Option<Armed>,
    joining: Option<Joining>,
}

impl Member {
    /// Creates a member of a new group in which all members use `current`.
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

    /// Creates a member that replaces an earlier incarnation and has no state yet.
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

    /// Returns the state for the diagnostic dump.
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            current: self.known.current,
            armed: self.armed.as_ref().map(|a| a.version),
            joining: self.joining.is_some(),
            roster: self.known.roster.clone(),
            seen_epoch: self.known.seen_epoch,
        }
    }

    /// Returns the newest committed map.
    pub fn current(&self) -> MapVersion {
        self.known.current
    }

    /// Returns the first step that uses the newest map, and the map used before that step.
    pub fn before_current(&self) -> (Step, MapVersion) {
        (self.known.current_from, self.known.previous)
    }

    /// Returns the known incarnation of each member; 0 if none is known.
    pub fn roster(&self) -> &[Incarnation] {
        &self.known.roster
    }

    /// Returns whether this member has been replaced; it then ignores all input.
    pub fn is_replaced(&self) -> bool {
        self.known.roster[usize::from(self.no)] > self.incarnation
    }

    /// Returns whether the member can take part in a new switch.
    pub fn is_idle(&self) -> bool {
        let busy = self.armed.is_some() || self.holding.is_some() || self.joining.is_some();

        !busy && !self.is_replaced()
    }

    /// Handles the end of loading a version; `step` is the engine's next step.
    pub fn loaded(&mut self, version: MapVersion, step: Step) -> Vec<MemberAction> {
        if self.loading != Some(version) {
            return Vec::new();
        }

        self.loading = None;
        self.prepared = Some(version);
        vec![self.send(version.proposer, Body::Prepared { version, step })]
    }

    /// Sends queries and join requests that are due. Must be called at least as often as the
    /// intervals in the options require.
    pub fn tick(&mut self, now: Moment) -> Vec<MemberAction> {
        if self.is_replaced() {
            return Vec::new();
        }

        let next_query_at = now + self.options.retry_interval;

        if let Some(joining) = &mut self.joining {
            return if joining.is_due(now, next_query_at) {
                self.send_join_requests()
            } else {
                Vec::new()
            };
        }

        if let Some(armed) = &mut self.armed {
            if now < armed.query_at {
                return Vec::new();
            }

            armed.query_at = next_query_at;
            let version = armed.version;
            return self.others().map(|to| self.send(to, Body::Query { version })).collect();
        }

        Vec::new()
    }

    /// Handles a message; `step` is the engine's next step, which has not begun.
    pub fn receive(&mut self, message: &Message, step: Step) -> Vec<MemberAction> {
        if message.to != self.no || usize::from(message.from) >= self.known.roster.len() {
            return Vec::new();
        }

        if !self.record_incarnation(message.from, message.incarnation) || self.is_replaced() {
            return Vec::new();
        }

        // A member without the group's state must neither refuse nor arm a version.
        if self.joining.is_some() {
            return self.receive_while_joining(message);
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
                self.handle_report(message.from, *version, *standing)
            }
            Body::Join { roster } => {
                self.record_roster(roster);
                vec![self.acknowledge_join(message)]
            }
            Body::Prepared { .. } | Body::JoinAck { .. } => Vec::new(),
        }
    }

    /// Records a newer incarnation of a member, and returns whether `incarnation` is the newest
    /// known.
    fn record_incarnation(&mut self, from: MemberNo, incarnation: Incarnation) -> bool {
        let known = &mut self.known.roster[usize::from(from)];

        if incarnation > *known {
            *known = incarnation;

            // The answers of the earlier incarnation are no longer valid.
            if let Some(joining) = &mut self.joining {
                joining.remove(from);
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
        let is_stale = version.epoch < self.known.seen_epoch;
        self.known.seen_epoch = self.known.seen_epoch.max(version.epoch);

        if is_stale || version <= self.known.settled || base != self.known.current {
            // `answer_query` records the refusal, as it must before a refusal is reported.
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
        // A duplicate `Arm` must not cancel a hold that the engine is about to confirm.
        if self.holding.as_ref().is_some_and(|h| h.version == version) {
            return Vec::new();
        }

        let is_stale = version.epoch < self.known.seen_epoch;
        let may_arm = !is_stale
            && version > self.known.settled
            && self.armed.is_none()
            && self.holding.is_none()
            && base == self.known.current
            && self.prepared == Some(version)
            && roster == self.known.roster
            // An engine stores only one upcoming map, so the previous switch must have happened.
            && (step > self.known.current_from || self.known.current_from == 0);
        self.known.seen_epoch = self.known.seen_epoch.max(version.epoch);

        if !may_arm {
            return self.answer_query(from, version);
        }

        self.holding = Some(Holding { requester: from, version, at_step, roster: roster.to_vec() });
        vec![MemberAction::HoldAt { version, at_step }]
    }

    /// Handles the engine's answer to a hold. `done` means that `at_step` has not begun and will
    /// not begin until the hold is released.
    pub fn held(&mut self, version: MapVersion, done: bool, now: Moment) -> Vec<MemberAction> {
        if self.is_replaced() {
            return Vec::new();
        }

        let Some(holding) = self.holding.take_if(|h| h.version == version) else {
            // The version was refused in the meantime, so the engine must be released.
            let idle = done && self.armed.is_none() && self.holding.is_none();
            return if idle {
                vec![MemberAction::KeepCurrent { aborted: version }]
            } else {
                Vec::new()
            };
        };

        if !done || holding.roster != self.known.roster || version <= self.known.settled {
            let mut actions = self.answer_query(holding.requester, version);

            if done {
                actions.push(MemberAction::KeepCurrent { aborted: version });
            }

            return actions;
        }

        let mut armed_by = vec![false; self.known.roster.len()];
        armed_by[usize::from(self.no)] = true;
        let query_at = now + self.options.query_delay;
        let Holding { requester, at_step, roster, .. } = holding;
        self.armed = Some(Armed { version, at_step, roster, armed_by, query_at });

        let mut actions = vec![self.report(requester, version, Standing::Armed)];
        actions.extend(self.commit_if_all_armed());
        actions
    }

    fn commit_by_roster(
        &mut self,
        version: MapVersion,
        roster: &[Incarnation],
    ) -> Vec<MemberAction> {
        // After a member has been replaced, a commit by the old roster is no longer valid.
        if roster != self.known.roster {
            return Vec::new();
        }

        match &self.armed {
            Some(armed) if armed.version == version => self.commit(),
            _ => {
                assert!(
                    self.known.current >= version,
                    "map {version:?} was committed, but this member has not armed it"
                );
                Vec::new()
            }
        }
    }

    /// Reports the state of a version; a version that is neither armed nor the current map is
    /// refused for good.
    fn answer_query(&mut self, from: MemberNo, version: MapVersion) -> Vec<MemberAction> {
        let armed = self.armed.as_ref().is_some_and(|a| a.version == version);

        let standing = if armed {
            Standing::Armed
        } else if version == self.known.current {
            Standing::Committed
        } else {
            // The refusal also cancels a hold that the engine has not confirmed yet.
            self.holding.take_if(|h| h.version == version);
            self.known.settled = self.known.settled.max(version);
            Standing::Refused
        };

        vec![self.report(from, version, standing)]
    }

    fn handle_report(
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
            Standing::Refused => self.abort(),
            Standing::Armed => {
                armed.armed_by[usize::from(from)] = true;
                self.commit_if_all_armed()
            }
        }
    }

    fn commit_if_all_armed(&mut self) -> Vec<MemberAction> {
        let roster = &self.known.roster;
        let is_armed_by_all = self
            .armed
            .as_ref()
            .is_some_and(|a| a.armed_by.iter().all(|by| *by) && a.roster == *roster);

        if is_armed_by_all { self.commit() } else { Vec::new() }
    }

    fn commit(&mut self) -> Vec<MemberAction> {
        let Some(armed) = self.armed.take() else {
            return Vec::new();
        };

        assert!(
            armed.version > self.known.current,
            "a committed map must be newer than the current one"
        );
        self.known.previous = self.known.current;
        self.known.current = armed.version;
        self.known.current_from = armed.at_step;
        self.known.settled = self.known.settled.max(armed.version);
        self.prepared = None;

        vec![MemberAction::Use { version: armed.version, at_step: armed.at_step }]
    }

    fn abort(&mut self) -> Vec<MemberAction> {
        let Some(armed) = self.armed.take() else {
            return Vec::new();
        };

        self.known.settled = self.known.settled.max(armed.version);
        self.prepared = None;

        vec![MemberAction::KeepCurrent { aborted: armed.version }]
    }

    fn receive_while_joining(&mut self, message: &Message) -> Vec<MemberAction> {
        match &message.body {
            Body::Join { roster } => {
                self.record_roster(roster);
                vec![self.acknowledge_join(message)]
            }
            Body::JoinAck { joined, known } => {
                if *joined == self.incarnation {
                    self.handle_join_ack(message.from, known);
                }

                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn handle_join_ack(&mut self, from: MemberNo, known: &GroupView) {
        self.record_roster(&known.roster);

        if let Some(joining) = &mut self.joining {
            joining.record(from, known);
        }

        if self.missing_acks().is_empty() {
            self.finish_join();
        }
    }

    /// Records the replacements known to another member. Messages of the replaced processes, which
    /// may not know that they were replaced, must be ignored.
    fn record_roster(&mut self, roster: &[Incarnation]) {
        for (no, incarnation) in roster.iter().enumerate().take(self.known.roster.len()) {
            self.record_incarnation(no as MemberNo, *incarnation);
        }
    }

    fn send_join_requests(&mut self) -> Vec<MemberAction> {
        let missing = self.missing_acks();

        // In a group of one there is no other member to ask.
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
        // An armed version is not committed yet, so the joining member refuses it.
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
