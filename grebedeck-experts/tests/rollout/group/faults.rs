//! Faults of a simulated group, at random or as a test requests.

use std::time::Duration;

use grebedeck_core::{RandomSource, Rank};
use grebedeck_experts::{OrderOutcome, RankAction, RankOrder};

use super::{Faults, Group, ms};

impl Group {
    pub(super) fn inject(&mut self) {
        let is_due = self.now.as_millis().is_multiple_of(100);

        if !is_due || self.now >= self.faults.until {
            return;
        }

        let Faults { kills, kills_all, freezes, isolations, .. } = self.faults;
        let at = self.random.below(self.machines.len());

        if self.chance(kills) {
            self.kill(at);
        }

        if self.chance(kills_all) {
            (0..self.machines.len()).for_each(|at| self.kill(at));
        }

        if self.chance(freezes) {
            let length = ms(200 + self.random.below(4000) as u64);
            self.machines[at].frozen_until = self.now + length;
        }

        // Drawn only if isolations are enabled, so that other runs keep their random sequence.
        if isolations > 0.0 && self.chance(isolations) {
            let length = ms(200 + self.random.below(4000) as u64);
            self.machines[at].isolated_until = self.now + length;
        }
    }

    /// Kills all nodes, which restart together after this time.
    pub fn kill_all_for(&mut self, pause: Duration) {
        (0..self.machines.len()).for_each(|at| self.kill_for(at, pause));
    }

    /// Shuts the leader's process down gracefully; it restarts after this time.
    pub fn stop_leader(&mut self, pause: Duration) {
        let now = self.now;
        let at = self.leader().expect("the group has a leader");
        let actions = self.machines[at].node.as_mut().map(|node| node.resign(now));
        actions.into_iter().flatten().for_each(|action| self.perform(at, action));
        self.kill_for(at, pause);
    }

    /// Kills the leader's node, which restarts after this time.
    pub fn kill_leader(&mut self, pause: Duration) {
        let at = self.leader().expect("the group has a leader");
        self.kill_for(at, pause);
    }

    /// Kills a node, which restarts after this time.
    pub fn kill_node(&mut self, at: usize, pause: Duration) {
        self.kill_for(at, pause);
    }

    /// Has a rank's engine copy a placement with a higher number than all others, as a late order of a
    /// plan that was forgotten does.
    pub fn overtake(&mut self, rank: Rank) {
        let highest_no = self.machines.iter().map(|m| m.engine.highest_no).max().unwrap_or(0);
        let placement = self.shape.initial(self.machines.len());
        let action = RankAction::Prepare { placement_no: highest_no + (1 << 20), placement };
        let epoch = self.machines[usize::from(rank)].engine.epoch;
        let outcome = self.execute_order(usize::from(rank), &RankOrder { epoch, action });
        assert_eq!(outcome, OrderOutcome::Taken, "an unarmed rank accepts a higher number");
    }

    /// Drops all messages to and from a node for this time.
    pub fn isolate_node(&mut self, at: usize, length: Duration) {
        self.machines[at].isolated_until = self.now + length;
    }

    fn kill(&mut self, at: usize) {
        let pause = ms(200 + self.random.below(1500) as u64);
        self.kill_for(at, pause);
    }

    fn kill_for(&mut self, at: usize, pause: Duration) {
        let machine = &mut self.machines[at];
        machine.node = None;
        machine.queue.clear();
        machine.starts_at = self.now + pause;
    }
}
