//! The task of a group member: it runs the member's switch protocol and, in the first member, the
//! coordinator and the balancer.
//!
//! The decisions are made in `grebedeck-experts`; this module passes messages, orders to the engine
//! and their results between the two. One task sends all orders, one after another.

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

use super::balance::GroupBalancer;
use super::group::{Event, GroupService, Roster};
use crate::message::{Control, ControlAnswer};
use crate::settings::millis;

/// Interval at which the member and the coordinator are polled for due work.
const TICK: Duration = Duration::from_millis(50);
/// Pause before a failed order is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State of the task.
pub(super) struct Driver<E> {
    service: Arc<GroupService>,
    engine: E,
    roster: Roster,
    member: Member,
    coordinator: Option<Coordinator>,
    balance: GroupBalancer,
    proposed: Option<(MapVersion, MapDelta)>,
    next_step: Step,
    incarnation: Incarnation,
    next_counts_at: Moment,
    next_plan_at: Moment,
    has_resumed: bool,
}

impl<E: Engine> Driver<E> {
    /// Creates the task of a member that has no state of its group yet.
    pub(super) fn new(service: Arc<GroupService>, engine: E, roster: Roster) -> Self {
        let now = service.clock.now();
        let size = roster.addresses.len();
        // A member that starts without state must be distinguishable from the one before it.
        let incarnation = service.next_incarnation();
        let options = MemberOptions::default();
        let member = Member::replacing(roster.own, size, incarnation, now, options);
        let balance = GroupBalancer::new(service.settings.clone());
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
            next_counts_at: now,
            next_plan_at: now,
            has_resumed: false,
        }
    }

    /// Runs until the configuration changes this member's position in the group, or a successor has
    /// replaced it.
    pub(super) async fn run(mut self) {
        let inbox = self.service.inbox.clone();

        loop {
            futures::select! {
                event = inbox.recv().fuse() => match event {
                    Ok(event) => self.handle_event(event).await,
                    Err(_) => return,
                },
                _ = async_std::task::sleep(TICK).fuse() => {}
            }

            self.tick().await;

            if !self.refresh_roster() {
                return;
            }
        }
    }

    /// Applies the configuration; returns whether this member still has its position.
    fn refresh_roster(&mut self) -> bool {
        if self.member.is_replaced() {
            log::warn!("group member replaced", kv: { group = self.roster.group.as_str() });
            return false;
        }

        match self.service.find_roster() {
            // A member whose address changed is still the same member, or its successor.
            Some(roster) if roster.has_same_position(&self.roster) => {
                self.roster = roster;
                true
            }
            _ => {
                log::info!("group members changed", kv: { group = self.roster.group.as_str() });
                false
            }
        }
    }

    async fn handle_event(&mut self, event: Event) {
        match event {
            Event::Counts(counts) => self.balance.record_counts(&counts),
            Event::Message(message, map) => {
                if let (Body::Prepare { version, base }, Some(delta)) = (&message.body, map) {
                    // Without the base map the proposal cannot be loaded; the coordinator sends it
                    // again.
                    if let Some(map) = self.known_map(*base).and_then(|m| m.apply_delta(&delta)) {
                        self.service.store_map(*version, map, self.member.current());
                    }
                }

                self.handle_message(message).await;
            }
        }
    }

    async fn handle_message(&mut self, message: Message) {
        let now = self.service.clock.now();

        if let Some(coordinator) = &mut self.coordinator {
            let actions = coordinator.receive(&message, now);
            self.execute_coordinator(actions).await;
        }

        let actions = self.member.receive(&message, self.next_step);
        self.execute(actions).await;
    }

    async fn tick(&mut self) {
        let now = self.service.clock.now();
        let actions = self.member.tick(now);
        self.execute(actions).await;

        if let Some(coordinator) = &mut self.coordinator {
            let actions = coordinator.tick(now);
            self.execute_coordinator(actions).await;
        }

        if self.member.is_idle() && !self.has_resumed {
            self.resume().await;
        }

        if now >= self.next_counts_at {
            self.next_counts_at = now + millis(self.service.settings.counts_ms);
            self.report_counts().await;
        }

        if now >= self.next_plan_at {
            self.next_plan_at = now + millis(self.service.settings.plan_ms);
            self.propose_map(now).await;
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

    /// Switches the engine of a member that has joined to the group's map.
    async fn resume(&mut self) {
        let (from, previous) = self.member.before_current();
        let current = self.member.current();

        // Before its first step the newest map must not be used, or this rank would be the only one
        // with it. The engine uses the previous map until then.
        let has_previous = self.next_step >= from || self.activate(previous, self.next_step).await;
        self.has_resumed = has_previous && self.activate(current, from.max(self.next_step)).await;
    }

    /// Loads a committed map into the engine and uses it from a step on.
    async fn activate(&mut self, version: MapVersion, at_step: Step) -> bool {
        // Engines start with the initial map.
        if version == MapVersion::default() {
            return true;
        }

        let Some(map) = self.find_map(version).await else {
            return false;
        };

        self.service.store_map(version, map, version);
        let action = EngineAction::Use { version: version_text(version), at_step };
        self.load(version).await && self.order(version, action).await
    }

    /// Map of a version that this member has used, or the initial map.
    fn known_map(&self, version: MapVersion) -> Option<ExpertMap> {
        if version == MapVersion::default() {
            return self.balance.initial_map().cloned();
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
        let Some(counts) = self.balance.counts_since_last(&state) else {
            return;
        };

        if self.roster.own == 0 {
            self.balance.record_counts(&counts);
            return;
        }

        let address = self.roster.addresses[0];
        let _ = self.service.directory.control(address, &Control::Counts(counts)).await;
    }

    /// Proposes a new map, if one is worth its cost. The first member coordinates.
    async fn propose_map(&mut self, now: Moment) {
        if self.roster.own != 0 || !self.member.is_idle() || !self.has_resumed {
            return;
        }

        self.ensure_coordinator();

        if !self.coordinator.as_ref().is_some_and(Coordinator::is_idle) {
            return;
        }

        let current = self.member.current();
        let Some(in_use) = self.known_map(current) else {
            return;
        };
        let Some(plan) = self.balance.plan(&in_use, now) else {
            return;
        };

        let delta = in_use.delta_to(&plan.map);
        let map = in_use.apply_delta(&delta).expect("a delta applies to its base map");
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
        self.service.store_map(version, map, current);
        self.proposed = Some((version, delta));
        let actions = coordinator.propose(current, self.member.roster().to_vec(), now);
        self.execute_coordinator(actions).await;
    }

    /// Ensures that there is a coordinator whose epoch is not fenced off by a higher one that this
    /// member has seen.
    fn ensure_coordinator(&mut self) {
        let seen = self.member.status().seen_epoch;
        let current = |c: &Coordinator| !c.is_idle() || c.epoch() >= seen;

        if self.coordinator.as_ref().is_some_and(current) {
            return;
        }

        let (own, incarnation) = (self.roster.own, self.incarnation);
        let options = CoordinatorOptions::default();
        self.coordinator = Some(Coordinator::new(own, incarnation, seen + 1, options));
    }

    async fn execute_coordinator(&mut self, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Send(message) => self.send(message).await,
                CoordinatorAction::Committed(version) => {
                    log::info!("map committed", kv: { version = version_text(version) });
                }
                CoordinatorAction::Aborted(version) => {
                    log::info!("map proposal abandoned", kv: { version = version_text(version) });
                }
            }
        }
    }

    async fn execute(&mut self, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send(message) => self.send(message).await,
                MemberAction::Load { version } => self.execute_load(version).await,
                MemberAction::HoldAt { version, at_step } => {
                    let done = self.order(version, EngineAction::HoldAt { at_step }).await;
                    let now = self.service.clock.now();
                    let actions = self.member.held(version, done, now);
                    Box::pin(self.execute(actions)).await;
                }
                MemberAction::Use { version, at_step } => {
                    self.service.switches.add("used");
                    let action = EngineAction::Use { version: version_text(version), at_step };
                    self.order_until_done(version, action).await;
                }
                MemberAction::KeepCurrent { aborted } => {
                    self.service.switches.add("kept");
                    self.order_until_done(aborted, EngineAction::Keep).await;
                }
            }
        }
    }

    async fn execute_load(&mut self, version: MapVersion) {
        if self.load(version).await {
            let actions = self.member.loaded(version, self.next_step);
            Box::pin(self.execute(actions)).await;
        }
    }

    async fn load(&mut self, version: MapVersion) -> bool {
        let Some(map) = self.service.map_of(version) else {
            return false;
        };

        let map = serde_json::to_value(&map).expect("a map always serializes");
        self.order(version, EngineAction::Load { version: version_text(version), map }).await
    }

    /// Repeats an order until the engine has carried it out. The outcome of a switch, commit or
    /// abort, must be applied; until then the engine can only go on holding its step.
    async fn order_until_done(&mut self, version: MapVersion, action: EngineAction) {
        while !self.order(version, action.clone()).await {
            async_std::task::sleep(ORDER_RETRY_DELAY).await;
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
            Box::pin(self.handle_message(message)).await;
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
        // A slow peer must not delay the others.
        async_std::task::spawn(async move {
            let _ = directory.control(address, &Control::Switch { message, map }).await;
        });
    }
}

/// Formats a version for the engine.
pub fn version_text(version: MapVersion) -> String {
    format!("{}.{}.{}", version.epoch, version.proposer, version.number)
}
