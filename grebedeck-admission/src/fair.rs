//! Fairness among organisations of one urgency: deficit round robin over tokens.
//!
//! It answers the load of one organisation that sends most requests, or the longest ones: organisations with requests
//! that wait take turns, and each turn is worth the same number of tokens whatever one request takes. What a turn
//! leaves over is kept for the next one, so long requests get their part too. An organisation without anything that
//! waits has no turn, and its part goes to the others.
//!
//! Within an organisation goes first who can still be in time and must start soonest; those who cannot be in time any
//! more follow, oldest first.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use grebedeck_core::{Moment, OrganisationName};

use crate::queue::Ticket;

/// Turns' worth of tokens that one request counts as at the most. Requests of the users' sheets take up to five times
/// the usual tokens; a request that names absurdly many does not keep its organisation out for minutes, nor the
/// choice busy for long.
pub const MAX_TURNS_PER_REQUEST: u64 = 16;

/// A request's place in the order within its organisation.
type Position = (Moment, Ticket);
/// Number of a turn; the lowest one is next.
type Turn = u64;

/// Requests of one organisation.
#[derive(Clone, Debug)]
struct Line {
    turn: Turn,
    weight: u64,
    /// Whether its turn has begun, and its tokens for it were given.
    has_begun: bool,
    /// Tokens that the organisation may take in this turn.
    deficit_tokens: u64,
    /// Tokens of each request, by the latest moment at which its start is in time.
    waiting: BTreeMap<Position, u64>,
}

/// Requests that wait with one urgency, by organisation.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    lines: HashMap<OrganisationName, Line>,
    turns: BTreeMap<Turn, OrganisationName>,
    /// All tickets, by age.
    tickets: BTreeSet<Ticket>,
    next_turn: Turn,
}

impl Line {
    /// Gets the request that goes first.
    fn first(&self, now: Moment) -> Option<(Ticket, u64)> {
        let in_time = self.waiting.range((now, Ticket::MIN)..).next();

        in_time.or_else(|| self.waiting.first_key_value()).map(|((_, t), tokens)| (*t, *tokens))
    }
}

impl FairQueue {
    /// Gets the number of requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Tells whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Gets the request that came last.
    pub fn newest(&self) -> Option<Ticket> {
        self.tickets.last().copied()
    }

    /// Gets how many requests go before the newest one of an organisation that has so many more in front of it: all of
    /// them at the most, and with more organisations those of as many turns as it needs itself.
    pub fn ahead_of(&self, organisation: &str, own_ahead: usize) -> usize {
        let others = self.lines.len() - usize::from(self.lines.contains_key(organisation));
        let in_turns = own_ahead + others * (own_ahead + 1);

        in_turns.min(self.len())
    }

    /// Gets the number of requests of an organisation.
    pub fn len_of(&self, organisation: &str) -> usize {
        self.lines.get(organisation).map_or(0, |line| line.waiting.len())
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
        let Some(line) = self.lines.get_mut(organisation) else {
            let turn = self.take_turn(organisation);
            let waiting = BTreeMap::from([((start_by, ticket), tokens)]);
            let weight = weight.max(1);
            let line = Line { turn, weight, has_begun: false, deficit_tokens: 0, waiting };
            self.lines.insert(organisation.to_string(), line);
            return;
        };

        line.weight = weight.max(1);
        line.waiting.insert((start_by, ticket), tokens);
    }

    /// Removes a request; `spends` tells whether it got a place.
    pub fn remove(&mut self, ticket: Ticket, organisation: &str, start_by: Moment, spends: bool) {
        self.tickets.remove(&ticket);
        let Some(line) = self.lines.get_mut(organisation) else {
            return;
        };
        let tokens = line.waiting.remove(&(start_by, ticket)).unwrap_or_default();

        if spends {
            line.deficit_tokens = line.deficit_tokens.saturating_sub(tokens);
        }

        if line.waiting.is_empty() {
            let turn = line.turn;
            self.turns.remove(&turn);
            self.lines.remove(organisation);
        }
    }

    /// Gets the request that goes next; a turn is worth so many tokens for each weight. Asking again changes nothing
    /// as long as nobody comes or goes.
    pub fn next(&mut self, turn_tokens: u64, now: Moment) -> Option<Ticket> {
        let turn_tokens = turn_tokens.max(1);

        loop {
            let organisation = self.turns.first_key_value()?.1.clone();
            let line = self.lines.get_mut(&organisation)?;
            let (ticket, tokens) = line.first(now)?;
            let counted = tokens.clamp(1, turn_tokens * MAX_TURNS_PER_REQUEST);

            if !std::mem::replace(&mut line.has_begun, true) {
                line.deficit_tokens += turn_tokens * line.weight;
            }

            if line.deficit_tokens >= counted {
                return Some(ticket);
            }

            line.has_begun = false;
            self.turns.pop_first();
            let turn = self.take_turn(&organisation);
            self.lines.get_mut(&organisation)?.turn = turn;
        }
    }

    fn take_turn(&mut self, organisation: &str) -> Turn {
        let turn = self.next_turn;
        self.next_turn += 1;
        self.turns.insert(turn, organisation.to_string());

        turn
    }
}
