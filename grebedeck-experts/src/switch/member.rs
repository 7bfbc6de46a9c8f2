//! A member's side of the switch: the agent beside one engine, with that engine's ranks.

use std::time::Duration;

use grebedeck_core::{Epoch, Incarnation, Moment, Step};

use super::message::{Body, MapVersion, MemberNo, Message, Standing};

/// Settings of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberOptions {
    /// How long an armed member waits for the coordinator before it asks the others.
    pub settle_after: Duration,
    /// How long it waits before it asks again.
    pub ask_again_after: Duration,
}

impl Default for MemberOptions {
    fn default() -> Self {
        MemberOptions {
            settle_after: Duration::from_millis(250),
            ask_again_after: Duration::from_millis(100),
        }
    }
}

/// What the shell has to do for a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MemberOrder {
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
    Keep {
        /// The version that was given up.
        given_up: MapVersion,
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

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Joining {
    acks: Vec<bool>,
    ask_at: Moment,
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
    options: MemberOptions,
    roster: Vec<Incarnation>,
    current: MapVersion,
    /// No version up to this one will be armed any more.
    settled: MapVersion,
    seen_epoch: Epoch,
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
            options,
            roster,
            current,
            settled: current,
            seen_epoch: current.epoch,
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
        let mut acks = vec![false; size];
        acks[no as usize] = true;
        member.joining = Some(Joining { acks, ask_at: now });

        member
    }

    /// Gets the state for a dump.
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            current: self.current,
            armed: self.armed.as_ref().map(|a| a.version),
            joining: self.joining.is_some(),
            roster: self.roster.clone(),
            seen_epoch: self.seen_epoch,
        }
    }

    /// Gets the map in use.
    pub fn current(&self) -> MapVersion {
        self.current
    }

    /// Gets the incarnation known of each member; 0 where none is.
    pub fn roster(&self) -> &[Incarnation] {
        &self.roster
    }

    /// Tells whether the member may take part in a new switch.
    pub fn is_idle(&self) -> bool {
        self.armed.is_none() && self.holding.is_none() && self.joining.is_none()
    }

    /// Goes on after the weights of a version were loaded; `step` is the engine's next one.
    pub fn loaded(&mut self, version: MapVersion, step: Step) -> Vec<MemberOrder> {
        if self.loading != Some(version) {
            return Vec::new();
        }

        self.loading = None;
        self.prepared = Some(version);
        vec![self.send(version.proposer, Body::Prepared { version, step })]
    }

    /// Goes on as time passes. Call it at least as often as the options' times.
    pub fn tick(&mut self, now: Moment) -> Vec<MemberOrder> {
        let again = now + self.options.ask_again_after;

        if let Some(joining) = &mut self.joining {
            if now < joining.ask_at {
                return Vec::new();
            }

            joining.ask_at = again;
            let missing = missing(&joining.acks);
            return missing.into_iter().map(|to| self.send(to, Body::Join)).collect();
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
    pub fn receive(&mut self, message: &Message, step: Step) -> Vec<MemberOrder> {
        if message.to != self.no || usize::from(message.from) >= self.roster.len() {
            return Vec::new();
        }

        if !self.note_incarnation(message.from, message.incarnation) {
            return Vec::new();
        }

        // A member that does not know the group's state yet must not vow or arm anything.
        if self.joining.is_some() {
            return self.receive_joining(message);
        }

        match &message.body {
            Body::Prepare { version, base } => self.prepare(message.from, *version, *base, step),
            Body::Arm { version, base, at_step, roster } => {
                self.arm(message.from, *version, *base, *at_step, roster)
            }
            Body::Commit { version, roster } => self.commit_by_roster(*version, roster),
            Body::Query { version } => self.answer_query(message.from, *version),
            Body::Report { version, standing, .. } => {
                self.take_report(message.from, *version, *standing)
            }
            Body::Join => vec![self.acknowledge_join(message)],
            Body::Prepared { .. } | Body::JoinAck { .. } => Vec::new(),
        }
    }

    /// Notes a newer incarnation of a member; tells whether the sender is the newest known.
    fn note_incarnation(&mut self, from: MemberNo, incarnation: Incarnation) -> bool {
        let known = &mut self.roster[usize::from(from)];

        if incarnation > *known {
            *known = incarnation;

            // What the earlier incarnation had said no longer stands.
            if let Some(joining) = &mut self.joining {
                joining.acks[usize::from(from)] = from == self.no;
            }

            if let Some(armed) = &mut self.armed {
                armed.armed_by[usize::from(from)] = false;
            }
        }

        incarnation == self.roster[usize::from(from)]
    }

    fn prepare(
        &mut self,
        from: MemberNo,
        version: MapVersion,
        base: MapVersion,
        step: Step,
    ) -> Vec<MemberOrder> {
        let fenced = version.epoch < self.seen_epoch;
        self.seen_epoch = self.seen_epoch.max(version.epoch);

        if fenced || version <= self.settled || base != self.current {
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
        vec![MemberOrder::Load { version }]
    }

    fn arm(
        &mut self,
        from: MemberNo,
        version: MapVersion,
        base: MapVersion,
        at_step: Step,
        roster: &[Incarnation],
    ) -> Vec<MemberOrder> {
        // A doubled order must not disturb a hold that the engine is about to confirm.
        if self.holding.as_ref().is_some_and(|h| h.version == version) {
            return Vec::new();
        }

        let fenced = version.epoch < self.seen_epoch;
        let may_arm = !fenced
            && version > self.settled
            && self.armed.is_none()
            && self.holding.is_none()
            && base == self.current
            && self.prepared == Some(version)
            && roster == self.roster;
        self.seen_epoch = self.seen_epoch.max(version.epoch);

        if !may_arm {
            return self.answer_query(from, version);
        }

        self.holding = Some(Holding { asked_by: from, version, at_step, roster: roster.to_vec() });
        vec![MemberOrder::HoldAt { version, at_step }]
    }

    /// Goes on after the engine answered a hold; `done` says that `at_step` had not begun and will
    /// not begin until it is told.
    pub fn held(&mut self, version: MapVersion, done: bool, now: Moment) -> Vec<MemberOrder> {
        let Some(holding) = self.holding.take_if(|h| h.version == version) else {
            // It was given up meanwhile, and the engine must not be left holding for it.
            let idle = done && self.armed.is_none() && self.holding.is_none();
            return if idle { vec![MemberOrder::Keep { given_up: version }] } else { Vec::new() };
        };

        if !done || holding.roster != self.roster || version <= self.settled {
            let mut orders = self.answer_query(holding.asked_by, version);

            if done {
                orders.push(MemberOrder::Keep { given_up: version });
            }

            return orders;
        }

        let mut armed_by = vec![false; self.roster.len()];
        armed_by[usize::from(self.no)] = true;
        let ask_at = now + self.options.settle_after;
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
    ) -> Vec<MemberOrder> {
        // After a member was replaced, the word of the old roster no longer counts.
        if roster != self.roster {
            return Vec::new();
        }

        match &self.armed {
            Some(armed) if armed.version == version => self.commit(),
            _ => {
                assert!(
                    self.current >= version,
                    "map {version:?} was committed by a roster of which this member refused it"
                );
                Vec::new()
            }
        }
    }

    /// Answers how this member stands; where it has not armed the version, it vows never to.
    fn answer_query(&mut self, from: MemberNo, version: MapVersion) -> Vec<MemberOrder> {
        let armed = self.armed.as_ref().is_some_and(|a| a.version == version);

        let standing = if armed {
            Standing::Armed
        } else if version == self.current {
            Standing::Committed
        } else {
            // A hold that the engine has not confirmed yet is given up with this.
            self.holding.take_if(|h| h.version == version);
            self.settled = self.settled.max(version);
            Standing::Refused
        };

        vec![self.report(from, version, standing)]
    }

    fn take_report(
        &mut self,
        from: MemberNo,
        version: MapVersion,
        standing: Standing,
    ) -> Vec<MemberOrder> {
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

    fn commit_if_all_armed(&mut self) -> Vec<MemberOrder> {
        let roster = &self.roster;
        let all = self
            .armed
            .as_ref()
            .is_some_and(|a| a.armed_by.iter().all(|by| *by) && a.roster == *roster);

        if all { self.commit() } else { Vec::new() }
    }

    fn commit(&mut self) -> Vec<MemberOrder> {
        let Some(armed) = self.armed.take() else {
            return Vec::new();
        };

        assert!(armed.version > self.current, "a map never goes back");
        self.current = armed.version;
        self.settled = self.settled.max(armed.version);
        self.prepared = None;

        vec![MemberOrder::Use { version: armed.version, at_step: armed.at_step }]
    }

    fn give_up(&mut self) -> Vec<MemberOrder> {
        let Some(armed) = self.armed.take() else {
            return Vec::new();
        };

        self.settled = self.settled.max(armed.version);
        self.prepared = None;

        vec![MemberOrder::Keep { given_up: armed.version }]
    }

    fn receive_joining(&mut self, message: &Message) -> Vec<MemberOrder> {
        match &message.body {
            Body::Join => vec![self.acknowledge_join(message)],
            Body::JoinAck { joined, current, highest, seen_epoch } => {
                let own = self.roster[usize::from(self.no)];

                if *joined == own {
                    self.take_join_ack(message.from, *current, *highest, *seen_epoch);
                }

                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn take_join_ack(
        &mut self,
        from: MemberNo,
        current: MapVersion,
        highest: MapVersion,
        seen_epoch: Epoch,
    ) {
        let Some(joining) = &mut self.joining else {
            return;
        };

        joining.acks[usize::from(from)] = true;
        self.current = self.current.max(current);
        self.settled = self.settled.max(highest).max(current);
        self.seen_epoch = self.seen_epoch.max(seen_epoch);

        if missing(&joining.acks).is_empty() {
            self.joining = None;
        }
    }

    fn acknowledge_join(&self, message: &Message) -> MemberOrder {
        let armed = self.armed.as_ref().map_or(self.settled, |a| a.version);
        let body = Body::JoinAck {
            joined: message.incarnation,
            current: self.current,
            highest: self.settled.max(armed),
            seen_epoch: self.seen_epoch,
        };

        self.send(message.from, body)
    }

    fn report(&self, to: MemberNo, version: MapVersion, standing: Standing) -> MemberOrder {
        let (current, seen_epoch) = (self.current, self.seen_epoch);

        self.send(to, Body::Report { version, standing, current, seen_epoch })
    }

    fn send(&self, to: MemberNo, body: Body) -> MemberOrder {
        let incarnation = self.roster[usize::from(self.no)];

        MemberOrder::Send(Message { from: self.no, incarnation, to, body })
    }

    fn others(&self) -> impl Iterator<Item = MemberNo> + use<> {
        let no = self.no;

        (0..self.roster.len() as MemberNo).filter(move |other| *other != no)
    }
}

fn missing(acks: &[bool]) -> Vec<MemberNo> {
    (0..acks.len() as MemberNo).filter(|no| !acks[usize::from(*no)]).collect()
}
