//! Groups that have just opened, and how much of their time may go into prompts meanwhile.
//!
//! A group that forms anew starts with its experts dealt in turn. Until its first placement is in use the busiest rank
//! has about three times the mean, so every prompt makes each pass much longer: streams that begin now pause for too
//! long, and the slow passes hold up the first placement itself. A few prompts are enough to count which experts are
//! popular; the others are worth more a moment later.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck_core::{GroupId, Moment};

/// Part of a group's time that may go into reading prompts. Half of it is what skew takes while experts
/// are not placed well; twice the usual arrivals fit.
pub const PROMPT_PART: f64 = 0.15;
/// The same until the first placement of a group is in use: some 70 prompts within 0.4 s for 64 ranks.
const OPENING_PROMPT_PART: f64 = 0.03;
/// Longest time for which a group counts as just opened, where no placement comes: twice what one takes.
const OPENING_LIMIT: Duration = Duration::from_millis(800);

/// What a rank says of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupWord {
    /// The group.
    pub group: GroupId,
    /// How often it has formed.
    pub formation: u64,
    /// Whether it makes passes.
    pub is_open: bool,
    /// Whether a placement of the leader is in use, and not the dealt one.
    pub has_placement: bool,
}

#[derive(Clone, Copy, Debug)]
struct Group {
    word: GroupWord,
    /// When it was seen to open; none where it was open before anything was heard of it.
    opened_at: Option<Moment>,
}

/// The groups of one service.
#[derive(Clone, Debug, Default)]
pub struct Openings {
    groups: BTreeMap<GroupId, Group>,
}

impl Openings {
    /// Takes in what a rank says of its group.
    pub fn note(&mut self, word: GroupWord, now: Moment) {
        let first = Group { word, opened_at: None };
        let group = self.groups.entry(word.group).or_insert(first);
        let is_same = word.formation == group.word.formation;

        if word.is_open && !(is_same && group.word.is_open) {
            group.opened_at = Some(now);
        }

        // Within a formation no group goes back to the dealt placement: a rank that says so is late.
        let has_placement = word.has_placement || (is_same && group.word.has_placement);
        group.word = GroupWord { has_placement, ..word };
    }

    /// Gets the part of the groups' time that may go into reading prompts.
    pub fn prompt_part(&self, now: Moment) -> f64 {
        let open = || self.groups.values().filter(|g| g.word.is_open);
        let is_opening = |g: &Group| {
            let is_early = g.opened_at.is_some_and(|at| now < at + OPENING_LIMIT);
            is_early && !g.word.has_placement
        };

        match open().count() > 0 && open().all(is_opening) {
            true => OPENING_PROMPT_PART,
            false => PROMPT_PART,
        }
    }
}
