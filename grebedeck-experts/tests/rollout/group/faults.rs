//! What goes wrong in a group, by chance or as a test wants it.

use std::time::Duration;

use grebedeck_core::RandomSource;

use super::{Faults, Group, ms};

impl Group {
    pub(super) fn inject(&mut self) {
        let is_due = self.now.as_millis().is_multiple_of(100);

        if !is_due || self.now >= self.faults.until {
            return;
        }

        let Faults { kills, kills_all, freezes, cuts, .. } = self.faults;
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

        // Without cuts, the runs of a seed stay as they are.
        if cuts > 0.0 && self.chance(cuts) {
            let length = ms(200 + self.random.below(4000) as u64);
            self.machines[at].cut_until = self.now + length;
        }
    }

    /// Kills all nodes, which start again together after this time.
    pub fn kill_all_for(&mut self, pause: Duration) {
        (0..self.machines.len()).for_each(|at| self.kill_for(at, pause));
    }

    /// Stops the leader's process in order; it starts again after this time.
    pub fn stop_leader(&mut self, pause: Duration) {
        let now = self.now;
        let at = self.leader().expect("one leads");
        let actions = self.machines[at].node.as_mut().map(|node| node.resign(now));
        actions.into_iter().flatten().for_each(|action| self.act(at, action));
        self.kill_for(at, pause);
    }

    /// Kills the leader's node, which starts again after this time.
    pub fn kill_leader(&mut self, pause: Duration) {
        let at = self.leader().expect("one leads");
        self.kill_for(at, pause);
    }

    /// Kills a node, which starts again after this time.
    pub fn kill_node(&mut self, at: usize, pause: Duration) {
        self.kill_for(at, pause);
    }

    /// Lets no message reach a node, or leave it.
    pub fn cut_node(&mut self, at: usize, length: Duration) {
        self.machines[at].cut_until = self.now + length;
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
