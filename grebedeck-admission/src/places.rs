//! How many of a service's places a gateway may take, among all that ask for them.
//!
//! It answers a load beyond the room that arrives at several gateways. Each of them sees the targets' load some tenths
//! of a second late. When few targets have room, all gateways send to these at the same moment: with 15 gateways and
//! 530 requests a second for 350, ranks of 10 places had 16 requests in the mean and 41 at the most, and first events
//! came after a second, although each gateway by its own view kept to the limit.
//!
//! So gateways tell each other what runs and waits with them, by urgency, and each works out the same division: the
//! most urgent requests take what they need, what is left goes to the next ones, and an urgency that does not get all
//! divides what it gets by what the gateways ask for. Where there is room for all, nobody is held back. A gateway that
//! is silent counts with its last word for a short time; what runs on the targets beyond what gateways tell is taken
//! for a part of the load that is there.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use grebedeck_core::Moment;
use serde::{Deserialize, Serialize};

use crate::queue::Urgency;

/// How long a silent gateway counts with its last word: some times as long as between two of them, so that lost ones
/// do no harm, and about as long as its streams still run.
pub const WORD_LIFETIME: Duration = Duration::from_millis(1500);
/// Part of what a division by what is asked would give that each urgency gets at the least: the operators call a kind
/// starved that is served a quarter as often as all, and want each kind to earn some 0.4 of its worth.
const LEAST_PART: f64 = 0.4;
/// Load on the targets beyond what gateways tell that is put down to the age of both, as a part of the places.
const UNTOLD_PART: f64 = 0.1;

/// Requests of one urgency at one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    /// Requests that came lately, a second.
    pub per_s: f32,
    /// Requests that targets work on.
    pub running: u32,
    /// Requests that wait for a place.
    pub waiting: u32,
}

impl Asked {
    /// Gets the places that these requests need.
    pub fn wanted(self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

/// What runs and waits at one gateway, by urgency.
pub type Demand = BTreeMap<Urgency, Asked>;

#[derive(Clone, Debug)]
struct Word {
    demand: Demand,
    number: u64,
    life: u64,
    heard_at: Moment,
}

/// What other gateways have told of one service.
#[derive(Clone, Debug)]
pub struct Places<K> {
    words: BTreeMap<K, Word>,
}

impl<K> Default for Places<K> {
    fn default() -> Self {
        Places { words: BTreeMap::new() }
    }
}

/// Sums over gateways, for one urgency.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    per_s: f64,
    running: f64,
    wanted: f64,
}

impl<K: Ord> Places<K> {
    /// Takes in what a gateway tells. `number` counts its words since its start, and `life` is drawn for each start.
    pub fn take_word(&mut self, from: K, life: u64, number: u64, demand: Demand, now: Moment) {
        let known = self.words.get(&from);
        let is_old = known.is_some_and(|word| word.life == life && word.number >= number);

        if !is_old {
            self.words.insert(from, Word { demand, number, life, heard_at: now });
        }
    }

    /// Forgets gateways that have been silent for too long.
    pub fn drop_silent(&mut self, now: Moment) {
        self.words.retain(|_, word| now < word.heard_at + WORD_LIFETIME);
    }

    /// Gets how many gateways were heard of lately.
    pub fn heard(&self) -> usize {
        self.words.len()
    }

    /// Gets the places that are wanted by all gateways, this one included.
    pub fn wanted(&self, own: &Demand) -> f64 {
        self.sums(own).values().map(|sum| sum.wanted).sum()
    }

    /// Gets how many requests this gateway may have on the targets. `places` is what all targets take together, `seen`
    /// what they say that they have. Which of those that wait get them is for the gateway's own order to say.
    pub fn own(&self, own: &Demand, places: f64, seen: f64) -> f64 {
        own.keys().map(|urgency| self.part(own, *urgency, places, seen)).sum()
    }

    /// Gets what this gateway's requests of one urgency add to its places.
    pub fn part(&self, own: &Demand, urgency: Urgency, places: f64, seen: f64) -> f64 {
        let sums = self.sums(own);
        let asked = own.get(&urgency).copied().unwrap_or_default();
        let own_wanted = asked.wanted();
        let of_urgency = sums.get(&urgency).copied().unwrap_or_default();
        let all_per_s: f64 = sums.values().map(|sum| sum.per_s).sum();
        let told: f64 = sums.values().map(|sum| sum.running).sum();
        let untold = (seen - told - UNTOLD_PART * places).max(0.0);
        let before: f64 = sums.range(..urgency).map(|(_, sum)| sum.wanted).sum();
        // Streams are not taken back, so what is less urgent keeps the places that it has.
        let after = (Bound::Excluded(urgency), Bound::Unbounded);
        let behind: f64 = sums.range(after).map(|(_, sum)| sum.running).sum();
        let left = places - untold - before - behind;
        // What came and not what is there, or who gets little would be owed little.
        let in_proportion = (places - untold) * of_urgency.per_s / all_per_s.max(1.0);
        let given = left.max(LEAST_PART * in_proportion).max(0.0);

        if of_urgency.wanted <= given {
            return own_wanted;
        }

        given * own_wanted / of_urgency.wanted.max(1.0)
    }

    fn sums(&self, own: &Demand) -> BTreeMap<Urgency, Sum> {
        let mut sums: BTreeMap<Urgency, Sum> = BTreeMap::new();
        let demands = self.words.values().map(|word| &word.demand).chain([own]);

        for (urgency, asked) in demands.flatten() {
            let sum = sums.entry(*urgency).or_default();
            sum.running += f64::from(asked.running);
            sum.wanted += asked.wanted();
            sum.per_s += f64::from(asked.per_s);
        }

        sums
    }
}
