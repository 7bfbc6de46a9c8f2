//! Drives a member's switch protocol and, in the group's first member, its balance.
//!
//! Orders to the engine go out one after another, from one task. The pure machines decide; this
//! module carries messages, orders and answers between them.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use grebedeck_core::{Incarnation, Moment, Step};
use grebedeck_experts::switch::{
    Body, Coordinator, CoordinatorAction, CoordinatorOptions, MapVersion, Member, MemberAction,
    MemberOptions, Message,
};
use grebedeck_experts::{ExpertMap, MapDelta};
use grebedeck_kernel::log;
use grebedeck_net::platform::Engine;
use grebedeck_net::platform::engine::{EngineAction, EngineOrder};
use serde_json::json;

use super::balance::Balance;
use super::group::{Event, GroupService, Roster};
use crate::message::{Control, ControlAnswer};
use crate::settings::millis;

/// How often the machines are told the time.
const TICK: Duration = Duration::from_millis(50);
/// Wait before an order that failed is given again.
const ORDER_RETRY: Duration = Duration::from_millis(100);

/// The group's task.
pub(super) struct Driver<E> {
    service: Arc<GroupService>,
    engine: E,
    roster: Roster,
    member: Member,
    coordinator: Option<Coordinator>,
    balance: Balance,
    proposed: Option<(MapVersion, MapDelta)>,
    next_step: Step,
    incarnation: Incarnation,
    counts_at: Moment,
    plan_at: Moment,
    resumed: bool,
}

impl<E: Engine> Driver<E> {
    /// Makes the task of a member that knows nothing of its group yet.
    pub(super) fn new(service: Arc<GroupService>, engine: E, roster: Roster) -> Self {
        let now = service.clock.now();
        let size = roster.addresses.len();
        // A member that starts without memory must not be taken for the one before it.
        let incarnation = service.next_incarnation();
        let options = MemberOptions::default();
        let member = Member::replacing(roster.own, size, incarnation, now, options);
        let balance = Balance::new(service.settings.clone());
        log::info!("group joined", kv: { group = roster.group.as_str(), members = size });

        Driver {
            service,
            engine,
            roster,
            member,
            coordinator: None,
            balance,
            proposed: None,
            next_step: 0,
            incarnation,
            counts_at: now,
            plan_at: now,
            resumed: false,
        }
    }

    /// Runs until the configuration gives this member another place, or a successor has taken it.
    pub(super) async fn run(mut self) {
        let inbox = self.service.inbox.clone();

        loop {
            futures::select! {
                event = inbox.recv().fuse() => match event {
                    Ok(event) => self.take(event).await,
                    Err(_) => return,
                },
                _ = async_std::task::sleep(TICK).fuse() => {}
            }

            self.tick().await;

            if !self.keep_place() {
                return;
            }
        }
    }

    /// Follows the configuration; tells whether this member's place is still the same.
    fn keep_place(&mut self) -> bool {
        if self.member.is_replaced() {
            log::warn!("group member replaced", kv: { group = self.roster.group.as_str() });
            return false;
        }

        match self.service.find_roster() {
            // A member that moved to another address is still the same member, or its successor.
            Some(roster) if roster.is_like(&self.roster) => {
                self.roster = roster;
                true
            }
            _ => {
                log::info!("group members changed", kv: { group = self.roster.group.as_str() });
                false
            }
        }
    }

    async fn take(&mut self, event: Event) {
        match event {
            Event::Counts(counts) => self.balance.count(&counts),
            Event::Message(message, map) => {
                if let (Body::Prepare { version, base }, Some(delta)) = (&message.body, map) {
                    // Without the base's map the proposal cannot be loaded, and comes again.
                    if let Some(map) = self.map_in_use(*base).and_then(|m| m.apply_delta(&delta)) {
                        self.service.keep_map(*version, map, self.member.current());
                    }
                }

                self.take_message(message).await;
            }
        }
    }

    async fn take_message(&mut self, message: Message) {
        let now = self.service.clock.now();

        if let Some(coordinator) = &mut self.coordinator {
            let orders = coordinator.receive(&message, now);
            self.carry_out_coordination(orders).await;
        }

        let orders = self.member.receive(&message, self.next_step);
        self.carry_out(orders).await;
    }

    async fn tick(&mut self) {
        let now = self.service.clock.now();
        let orders = self.member.tick(now);
        self.carry_out(orders).await;

        if let Some(coordinator) = &mut self.coordinator {
            let orders = coordinator.tick(now);
            self.carry_out_coordination(orders).await;
        }

        if self.member.is_idle() && !self.resumed {
            self.resume().await;
        }

        if now >= self.counts_at {
            self.counts_at = now + millis(self.service.settings.counts_ms);
            self.report_counts().await;
        }

        if now >= self.plan_at {
            self.plan_at = now + millis(self.service.settings.plan_ms);
            self.consider(now).await;
        }

        self.service.shared().status = json!({
            "group": self.roster.group,
            "member": self.roster.own,
            "switch": self.member.status(),
            "next_step": self.next_step,
            "coordinating": self.coordinator.is_some(),
            "expected_skew": self.balance.expected_skew(),
        });
    }

    /// Brings a joined member's engine to the group's map.
    async fn resume(&mut self) {
        let (from, previous) = self.member.before_current();
        let current = self.member.current();

        // A map that lies ahead must not be used yet, or this rank would be alone with it.
        let before = self.next_step >= from || self.take_up(previous, self.next_step).await;
        self.resumed = before && self.take_up(current, from.max(self.next_step)).await;
    }

    /// Makes the engine use a map that the group has agreed on.
    async fn take_up(&mut self, version: MapVersion, at_step: Step) -> bool {
        // Engines start with the first map.
        if version == MapVersion::default() {
            return true;
        }

        let Some(map) = self.find_map(version).await else {
            return false;
        };

        self.service.keep_map(version, map, version);
        let action = EngineAction::Use { version: version_text(version), at_step };
        self.load(version).await && self.order(version, action).await
    }

    /// Gets the map of a version that this member has used, or that engines start with.
    fn map_in_use(&self, version: MapVersion) -> Option<ExpertMap> {
        if version == MapVersion::default() {
            return self.balance.first_map().cloned();
        }

        self.service.map_of(version)
    }

    async fn find_map(&self, version: MapVersion) -> Option<ExpertMap> {
        if let Some(map) = self.service.map_of(version) {
            return Some(map);
        }

        for address in &self.roster.addresses {
            let answer = self.service.directory.control(*address, &Control::MapOf(version)).await;

            if let Ok(ControlAnswer::Map(Some(map))) = answer {
                return Some(map);
            }
        }

        None
    }

    async fn report_counts(&mut self) {
        let Ok(state) = self.engine.state().await else {
            return;
        };

        self.next_step = state.next_step;
        let Some(counts) = self.balance.since_last(&state) else {
            return;
        };

        if self.roster.own == 0 {
            self.balance.count(&counts);
            return;
        }

        let address = self.roster.addresses[0];
        let _ = self.service.directory.control(address, &Control::Counts(counts)).await;
    }

    /// Proposes a new map where one is worth its cost. The first member coordinates.
    async fn consider(&mut self, now: Moment) {
        if self.roster.own != 0 || !self.member.is_idle() || !self.resumed {
            return;
        }

        self.renew_coordinator();

        if !self.coordinator.as_ref().is_some_and(Coordinator::is_idle) {
            return;
        }

        let current = self.member.current();
        let Some(in_use) = self.map_in_use(current) else {
            return;
        };
        let Some(plan) = self.balance.plan(&in_use, now) else {
            return;
        };

        let delta = in_use.delta_to(&plan.map);
        let map =
            in_use.apply_delta(&delta).expect("a difference fits the map that it was taken from");
        map.assert_valid();

        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let version = coordinator.next_version();
        log::info!("map proposed", kv: {
            version = version_text(version),
            moves = plan.moves.len(),
            changed_experts = delta.experts.len(),
            gain_ms_per_step = f64::from(plan.gain_ms_per_step),
        });
        self.service.keep_map(version, map, current);
        self.proposed = Some((version, delta));
        let orders = coordinator.propose(current, self.member.roster().to_vec(), now);
        self.carry_out_coordination(orders).await;
    }

    /// Makes sure that this member coordinates in an epoch that is not fenced off.
    fn renew_coordinator(&mut self) {
        let seen = self.member.status().seen_epoch;
        let current = |c: &Coordinator| !c.is_idle() || c.epoch() >= seen;

        if self.coordinator.as_ref().is_some_and(current) {
            return;
        }

        let (own, incarnation) = (self.roster.own, self.incarnation);
        let options = CoordinatorOptions::default();
        self.coordinator = Some(Coordinator::new(own, incarnation, seen + 1, options));
    }

    async fn carry_out_coordination(&mut self, orders: Vec<CoordinatorAction>) {
        for order in orders {
            match order {
                CoordinatorAction::Send(message) => self.send(message).await,
                CoordinatorAction::Committed(version) => {
                    log::info!("map committed", kv: { version = version_text(version) });
                }
                CoordinatorAction::Aborted(version) => {
                    log::info!("map given up", kv: { version = version_text(version) });
                }
            }
        }
    }

    async fn carry_out(&mut self, orders: Vec<MemberAction>) {
        for order in orders {
            match order {
                MemberAction::Send(message) => self.send(message).await,
                MemberAction::Load { version } => self.carry_out_load(version).await,
                MemberAction::HoldAt { version, at_step } => {
                    let done = self.order(version, EngineAction::HoldAt { at_step }).await;
                    let now = self.service.clock.now();
                    let orders = self.member.held(version, done, now);
                    Box::pin(self.carry_out(orders)).await;
                }
                MemberAction::Use { version, at_step } => {
                    self.service.switches.add("used");
                    let action = EngineAction::Use { version: version_text(version), at_step };
                    self.insist(version, action).await;
                }
                MemberAction::KeepCurrent { aborted } => {
                    self.service.switches.add("kept");
                    self.insist(aborted, EngineAction::Keep).await;
                }
            }
        }
    }

    async fn carry_out_load(&mut self, version: MapVersion) {
        if self.load(version).await {
            let orders = self.member.loaded(version, self.next_step);
            Box::pin(self.carry_out(orders)).await;
        }
    }

    async fn load(&mut self, version: MapVersion) -> bool {
        let Some(map) = self.service.map_of(version) else {
            return false;
        };

        let map = serde_json::to_value(&map).expect("a map always serializes");
        self.order(version, EngineAction::Load { version: version_text(version), map }).await
    }

    /// Gives an order until the engine has carried it out; holding on is the only other way.
    async fn insist(&mut self, version: MapVersion, action: EngineAction) {
        while !self.order(version, action.clone()).await {
            async_std::task::sleep(ORDER_RETRY).await;
        }
    }

    async fn order(&mut self, version: MapVersion, action: EngineAction) -> bool {
        let order = EngineOrder { epoch: version.epoch, action };

        match self.engine.order(&order).await {
            Ok(answer) => {
                self.next_step = answer.next_step;
                answer.done
            }
            Err(_) => false,
        }
    }

    async fn send(&mut self, message: Message) {
        if message.to == self.roster.own {
            Box::pin(self.take_message(message)).await;
            return;
        }

        let Some(address) = self.roster.addresses.get(usize::from(message.to)).copied() else {
            return;
        };

        let map = match (&message.body, &self.proposed) {
            (Body::Prepare { version, .. }, Some((proposed, delta))) if version == proposed => {
                Some(delta.clone())
            }
            _ => None,
        };

        let directory = self.service.directory.clone();
        // A slow peer must not hold up the others.
        async_std::task::spawn(async move {
            let _ = directory.control(address, &Control::Switch { message, map }).await;
        });
    }
}

/// Gets the text that names a version towards an engine.
pub fn version_text(version: MapVersion) -> String {
    format!("{}.{}.{}", version.epoch, version.proposer, version.number)
}
