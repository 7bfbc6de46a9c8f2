//! A simulated engine that follows the platform's rules for orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Moment, Rank};
use grebedeck_experts::engine::{PassNo, PlacementNo};
use grebedeck_experts::{Armed, Placement, RankAction, RankReport};

use crate::group::Defect;

/// Time from accepting an order to prepare until the weights are copied.
const COPY_TIME: Duration = Duration::from_millis(60);

/// State of a simulated engine.
pub struct Engine {
    pub epoch: u64,
    pub placement: PlacementNo,
    pub highest_no: PlacementNo,
    pub prepared: Option<PlacementNo>,
    pub copying: Option<(PlacementNo, Moment)>,
    pub armed: Option<Armed>,
    pub held: Option<PassNo>,
    pub placements: BTreeMap<PlacementNo, Arc<Placement>>,
}

impl Engine {
    pub fn is_holding(&self, pass: PassNo, defect: Defect) -> bool {
        let ends_early = defect == Defect::HoldEndsEarly && self.armed.is_some();

        self.held == Some(pass) && !ends_early
    }

    pub fn begin_pass(&mut self, pass: PassNo) {
        if let Some(armed) = self.armed.filter(|a| a.pass == pass) {
            self.placement = armed.placement_no;
            self.armed = None;
        }
    }

    pub fn report(&self, at: usize, size: usize, pass: PassNo) -> RankReport {
        RankReport {
            group: 1,
            epoch: self.epoch,
            rank: at as Rank,
            size: size as Rank,
            is_open: true,
            pass,
            placement: self.placement,
            prepared: self.prepared,
            armed: self.armed,
            held: self.held.filter(|held| *held > pass),
            running: 1,
            waiting: 0,
            pace: 1.0,
            born_ms: None,
        }
    }

    pub fn accept(&mut self, action: &RankAction, pass: PassNo, now: Moment) -> bool {
        match action {
            RankAction::Prepare { placement_no, placement } => {
                if self.armed.is_some() || *placement_no <= self.highest_no {
                    return false;
                }

                self.highest_no = *placement_no;
                self.placements.insert(*placement_no, placement.clone());
                self.copying = Some((*placement_no, now + COPY_TIME));
                // Copying takes a while, and discards the placement prepared before.
                self.prepared = None;
                true
            }
            RankAction::Arm { placement_no, pass: first } => {
                if *first <= pass || self.prepared != Some(*placement_no) {
                    return false;
                }

                self.armed = Some(Armed { placement_no: *placement_no, pass: *first });
                true
            }
            RankAction::Disarm { placement_no } => {
                if self.placement == *placement_no {
                    return false;
                }

                self.armed = self.armed.filter(|armed| armed.placement_no != *placement_no);
                true
            }
            RankAction::Hold { pass: held } => {
                let is_other = self.held.is_some_and(|h| h > pass && h != *held);

                if *held <= pass || is_other {
                    return false;
                }

                self.held = Some(*held);
                true
            }
            RankAction::Release { pass } => {
                if self.held == Some(*pass) {
                    self.held = None;
                }

                true
            }
        }
    }

    pub fn finish_copy(&mut self, now: Moment) {
        if let Some((placement_no, at)) = self.copying
            && now >= at
        {
            self.prepared = Some(placement_no);
            self.copying = None;
        }
    }
}
