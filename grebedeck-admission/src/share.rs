//! The share of the less urgent requests.
//!
//! It answers a load that stays beyond the room: strict order by urgency would serve the least urgent never. What is
//! asked and what is served is counted for each urgency, with older counts worth less, and an urgency that is served
//! less than [`MIN_SHARE`] as often as all goes first until it is not.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck_core::Moment;

use crate::queue::Urgency;

/// How often each urgency is served at the least, as a part of how often all are. The operators call a kind starved
/// below 0.25, and each kind has to earn 0.3 to 0.5 of its worth, nearly all of which is for answers in time: with room
/// for two thirds of what is asked half as often is a third, and with room for all but a few it leaves nobody out. A
/// greater share would be taken from callers who asked to go first.
pub const MIN_SHARE: f64 = 0.5;
/// Time after which a count is worth a third of a new one: some times as long as the longest wait, so that bursts of
/// a second do not count as starving, and short beside the minutes after which callers complain.
pub const MEMORY: Duration = Duration::from_secs(5);
/// Requests of an urgency below which nothing follows from its counts.
const FEW: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: f64,
    served: f64,
}

impl Count {
    fn served_part(self) -> f64 {
        self.served / self.asked.max(f64::MIN_POSITIVE)
    }
}

/// What was asked and served lately, by urgency.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    counts: BTreeMap<Urgency, Count>,
    at: Moment,
}

impl Shares {
    /// Notes a request.
    pub fn record_arrival(&mut self, urgency: Urgency, now: Moment) {
        self.fade(now);
        self.counts.entry(urgency).or_default().asked += 1.0;
    }

    /// Notes that a request got its place.
    pub fn record_served(&mut self, urgency: Urgency, now: Moment) {
        self.fade(now);
        self.counts.entry(urgency).or_default().served += 1.0;
    }

    /// Gets how far an urgency is below its share; 0 where it is not.
    pub fn shortfall(&self, urgency: Urgency) -> f64 {
        let count = self.counts.get(&urgency).copied().unwrap_or_default();

        if count.asked < FEW {
            return 0.0;
        }

        let least = MIN_SHARE * self.total().served_part();

        (least - count.served_part()).max(0.0)
    }

    fn total(&self) -> Count {
        let add = |sum: Count, count: &Count| Count {
            asked: sum.asked + count.asked,
            served: sum.served + count.served,
        };

        self.counts.values().fold(Count::default(), add)
    }

    fn fade(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let factor = (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp();

        for count in self.counts.values_mut() {
            count.asked *= factor;
            count.served *= factor;
        }

        // What nobody has asked for in a while takes no memory.
        self.counts.retain(|_, count| count.asked > 1e-3);
    }
}
