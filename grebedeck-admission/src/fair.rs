//! Fair queueing among the organisations of one urgency: deficit round robin over tokens.
//!
//! Keeps an organisation with many or long requests from starving the others. Organisations with
//! waiting requests take turns, and each turn is worth the same number of tokens per weight. Tokens
//! that a turn leaves unused are kept for the next one, so long requests are served too. An
//! organisation without waiting requests has no turn, and the others use its share.
//!
//! Within an organisation, requests that can still start in time come first, ordered by their start
//! deadline. Those that are already late follow, the earliest deadline first.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use grebedeck_core::{Moment, OrganisationName};

use crate::queue::Ticket;

/// Maximum cost of a request, in turns.
///
/// Legitimate requests take up to five times the tokens of a typical one. The bound keeps a request
/// with an absurd token count from blocking its organisation for minutes, and bounds the rounds
/// that [`FairQueue::next`] takes.
pub const MAX_TURNS_PER_REQUEST: u64 = 16;

/// Sort key of a request within its organisation: its start deadline, then its age.
type Position = (Moment, Ticket);
/// Number of a turn; the lowest is next.
type Turn = u64;

/// Waiting requests of one organisation.
#[derive(Clone, Debug)]
struct OrganisationQueue {
    turn: Turn,
    weight: u64,
    /// Whether the turn has begun and its tokens have been credited.
    has_begun: bool,
    /// Tokens that the organisation may still use in this turn.
    deficit_tokens: u64,
    /// Tokens of each request.
    waiting: BTreeMap<Position, u64>,
}

/// Waiting requests of one urgency, by organisation.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    organisations: HashMap<OrganisationName, OrganisationQueue>,
    turns: BTreeMap<Turn, OrganisationName>,
    /// Tickets of all organisations, oldest first.
    tickets: BTreeSet<Ticket>,
    next_turn: Turn,
}

impl OrganisationQueue {
    /// Returns the next request and its tokens.
    fn first(&self, now: Moment) -> Option<(Ticket, u64)> {
        let in_time = self.waiting.range((now, Ticket::MIN)..).next();

        in_time.or_else(|| self.waiting.first_key_value()).map(|((_, t), tokens)| (*t, *tokens))
    }
}

impl FairQueue {
    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the request that arrived last.
    pub fn newest(&self) -> Option<Ticket> {
        self.tickets.last().copied()
    }

    /// Estimates the number of requests that precede one with `own_ahead` requests of its
    /// organisation before it: in each turn that the organisation needs, every other organisation
    /// has one request served. At most the number of all requests.
    pub fn ahead_of(&self, organisation: &str, own_ahead: usize) -> usize {
        let others =
            self.organisations.len() - usize::from(self.organisations.contains_key(organisation));
        let in_turns = own_ahead + others * (own_ahead + 1);

        in_turns.min(self.len())
    }

    /// Returns the number of requests of an organisation.
    pub fn len_of(&self, organisation: &str) -> usize {
        self.organisations.get(organisation).map_or(0, |queue| queue.waiting.len())
    }

    /// Adds a request.
    pub fn add(
        &mut self,
        ticket: Ticket,
        organisation: &str,
        weight: u64,
        start_by: Moment,
        tokens: u64,
    ) {
        self.tickets.insert(ticket);
        let Some(queue) = self.organisations.get_mut(organisation) else {
            let turn = self.schedule_turn(organisation);
            let waiting = BTreeMap::from([((start_by, ticket), tokens)]);
            let weight = weight.max(1);
            let queue =
                OrganisationQueue { turn, weight, has_begun: false, deficit_tokens: 0, waiting };
            self.organisations.insert(organisation.to_string(), queue);
            return;
        };

        queue.weight = weight.max(1);
        queue.waiting.insert((start_by, ticket), tokens);
    }

    /// Removes a request. Its tokens are deducted if `is_granted`, that is, if it got a slot.
    pub fn remove(
        &mut self,
        ticket: Ticket,
        organisation: &str,
        start_by: Moment,
        is_granted: bool,
    ) {
        self.tickets.remove(&ticket);
        let Some(queue) = self.organisations.get_mut(organisation) else {
            return;
        };
        let tokens = queue.waiting.remove(&(start_by, ticket)).unwrap_or_default();

        if is_granted {
            queue.deficit_tokens = queue.deficit_tokens.saturating_sub(tokens);
        }

        if queue.waiting.is_empty() {
            let turn = queue.turn;
            self.turns.remove(&turn);
            self.organisations.remove(organisation);
        }
    }

    /// Selects the next request, with `turn_tokens` per turn and unit of weight.
    ///
    /// Idempotent as long as no request is added or removed.
    pub fn next(&mut self, turn_tokens: u64, now: Moment) -> Option<Ticket> {
        let turn_tokens = turn_tokens.max(1);

        loop {
            let organisation = self.turns.first_key_value()?.1.clone();
            let queue = self.organisations.get_mut(&organisation)?;
            let (ticket, tokens) = queue.first(now)?;
            let cost_tokens = tokens.clamp(1, turn_tokens * MAX_TURNS_PER_REQUEST);

            if !std::mem::replace(&mut queue.has_begun, true) {
                queue.deficit_tokens += turn_tokens * queue.weight;
            }

            if queue.deficit_tokens >= cost_tokens {
                return Some(ticket);
            }

            queue.has_begun = false;
            self.turns.pop_first();
            let turn = self.schedule_turn(&organisation);
            self.organisations.get_mut(&organisation)?.turn = turn;
        }
    }

    fn schedule_turn(&mut self, organisation: &str) -> Turn {
        let turn = self.next_turn;
        self.next_turn += 1;
        self.turns.insert(turn, organisation.to_string());

        turn
    }
}
