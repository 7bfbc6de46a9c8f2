//! The order of those who wait for a place on one service's targets.
//!
//! It answers the load beyond the room: before, those who waited listened to one event, and whoever woke first took the
//! place, whatever was asked and by whom. Streams that go on after their target was lost come first of all, as their
//! callers have part of the answer. Then the most urgent go first, except for an urgency that is below its
//! [share](crate::share); within an urgency organisations [take turns](crate::fair).
//!
//! Where a service is asked with one urgency only, the order is that of arrival.
//!
//! Whoever waits, leaves or gets a place is found in logarithmic time.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;

use grebedeck_core::{Moment, OrganisationName};

use crate::fair::FairQueue;
use crate::flow::GrantRate;
use crate::share::{MIN_SHARE, Shares};

/// Names one that waits.
pub type Ticket = u64;
/// Rank of a request: its key's, or its route's where the key has none, and within that its route's; 0 is the most
/// urgent. Where all keys have the same rank, routes differ nonetheless.
pub type Urgency = (u8, u8);

/// Most that wait in one queue: more than a gateway takes callers, each with one request. With some 300 bytes each
/// they take little beside the bodies of their requests, which have a limit of their own.
pub const MAX_WAITING: usize = 4096;
/// Longest wait that is told; nobody waits for so long.
const MAX_EXPECTED: Duration = Duration::from_secs(60);

/// In which order places are given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// First come, first served.
    #[default]
    Arrival,
    /// By urgency, then fair among organisations.
    Urgency,
}

/// Settings of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueOptions {
    /// In which order places are given.
    pub order: Order,
    /// Tokens that an organisation's turn is worth: those of a usual request, so that a turn serves one or some.
    pub turn_tokens: u64,
    /// Most that wait.
    pub max_waiting: usize,
}

impl Default for QueueOptions {
    fn default() -> Self {
        QueueOptions { order: Order::Arrival, turn_tokens: 1, max_waiting: MAX_WAITING }
    }
}

/// What decides on the place of one that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Its urgency.
    pub urgency: Urgency,
    /// Its organisation; empty where it has none.
    pub organisation: OrganisationName,
    /// Weight of its organisation.
    pub weight: u64,
    /// Tokens to be read and made for it.
    pub tokens: u64,
    /// Latest moment at which a start is still in time.
    pub start_by: Moment,
    /// When it is given up.
    pub expires_at: Moment,
    /// Whether it is a stream that has begun at another target.
    pub is_resumed: bool,
}

/// Those that go before all others of a later class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Resumed,
    Asked(Urgency),
}

#[derive(Debug)]
struct Entry<T> {
    waiter: Waiter,
    item: T,
}

/// Those who wait for one service.
#[derive(Debug)]
pub struct Queue<T> {
    options: QueueOptions,
    entries: HashMap<Ticket, Entry<T>>,
    classes: BTreeMap<Class, FairQueue>,
    by_expiry: BTreeSet<(Moment, Ticket)>,
    shares: Shares,
    flow: GrantRate,
    next_ticket: Ticket,
}

impl<T> Queue<T> {
    /// Makes an empty queue.
    pub fn new(options: QueueOptions) -> Self {
        Queue {
            options,
            entries: HashMap::new(),
            classes: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            shares: Shares::default(),
            flow: GrantRate::default(),
            next_ticket: 0,
        }
    }

    /// Gets the number of those who wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Gets the order.
    pub fn order(&self) -> Order {
        self.options.order
    }

    /// Puts other settings in force; those who wait are put in order anew where the order changes.
    pub fn set_options(&mut self, options: QueueOptions) {
        let is_reordered = self.options.order != options.order;
        self.options = options;

        if !is_reordered {
            return;
        }

        self.classes.clear();
        let mut tickets: Vec<Ticket> = self.entries.keys().copied().collect();
        tickets.sort_unstable();

        for ticket in tickets {
            self.line_up(ticket);
        }
    }

    /// Gets the number of those who wait with each urgency; streams that go on are among theirs.
    pub fn waiting_by_urgency(&self) -> BTreeMap<Urgency, usize> {
        let mut waiting = BTreeMap::new();

        for entry in self.entries.values() {
            *waiting.entry(entry.waiter.urgency).or_default() += 1;
        }

        waiting
    }

    /// Adds one that waits; where the queue is full, gives it back.
    pub fn push(&mut self, waiter: Waiter, item: T, now: Moment) -> Result<Ticket, T> {
        if self.entries.len() >= self.options.max_waiting {
            return Err(item);
        }

        self.advance(now);
        self.shares.record_arrival(waiter.urgency, now);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.by_expiry.insert((waiter.expires_at, ticket));
        self.entries.insert(ticket, Entry { waiter, item });
        self.line_up(ticket);

        Ok(ticket)
    }

    /// Notes a request that got a place without waiting.
    pub fn record_immediate(&mut self, urgency: Urgency, now: Moment) {
        self.shares.record_arrival(urgency, now);
        self.shares.record_served(urgency, now);
    }

    /// Notes a request that was refused without waiting.
    pub fn record_refused(&mut self, urgency: Urgency, now: Moment) {
        self.shares.record_arrival(urgency, now);
    }

    /// Gets who goes next.
    pub fn peek(&mut self, now: Moment) -> Option<(Ticket, &T)> {
        let ticket = self.next(now)?;

        self.entries.get(&ticket).map(|entry| (ticket, &entry.item))
    }

    /// Takes out who goes next, for a place.
    pub fn pop(&mut self, now: Moment) -> Option<(Waiter, T)> {
        let ticket = self.next(now)?;
        self.advance(now);
        let entry = self.take(ticket, true)?;
        self.shares.record_served(entry.waiter.urgency, now);
        self.flow.record_grant(entry.waiter.urgency);

        Some((entry.waiter, entry.item))
    }

    /// Takes out one that leaves or is given up.
    pub fn remove(&mut self, ticket: Ticket, now: Moment) -> Option<(Waiter, T)> {
        self.advance(now);

        self.take(ticket, false).map(|entry| (entry.waiter, entry.item))
    }

    /// Gets those who are to be given up by now.
    pub fn expired_tickets(&self, now: Moment) -> Vec<Ticket> {
        let due = self.by_expiry.iter().take_while(|(expires_at, _)| *expires_at <= now);

        due.map(|(_, ticket)| *ticket).collect()
    }

    /// Takes out those who are to be given up by now.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<(Ticket, Waiter, T)> {
        let due = self.expired_tickets(now);
        let take = |ticket: Ticket| self.remove(ticket, now).map(|(w, item)| (ticket, w, item));

        due.into_iter().filter_map(take).collect()
    }

    /// Gets when the next one is to be given up.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// Gets one that waits, and what decides on its place.
    pub fn get(&self, ticket: Ticket) -> Option<(&Waiter, &T)> {
        self.entries.get(&ticket).map(|entry| (&entry.waiter, &entry.item))
    }

    /// Gets all that wait, in no order.
    pub fn tickets(&self) -> Vec<Ticket> {
        self.entries.keys().copied().collect()
    }

    /// Sets when one that waits is given up.
    pub fn set_expiry(&mut self, ticket: Ticket, expires_at: Moment) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            self.by_expiry.remove(&(entry.waiter.expires_at, ticket));
            entry.waiter.expires_at = expires_at;
            self.by_expiry.insert((expires_at, ticket));
        }
    }

    /// Gets the number of those who would go before one that comes now, as far as it can be known.
    pub fn ahead_of(&self, waiter: &Waiter) -> usize {
        let (class, organisation, _) = self.position(waiter);
        let before: usize = self.classes.range(..class).map(|(_, fair)| fair.len()).sum();
        let beside = self
            .classes
            .get(&class)
            .map_or(0, |fair| fair.ahead_of(organisation, fair.len_of(organisation)));

        before + beside
    }

    /// Gets how long one that comes now would wait, where that can be known. The first one of its urgency is always let
    /// in, so that its share finds somebody.
    pub fn expected_wait(&self, waiter: &Waiter) -> Option<Duration> {
        let (class, organisation, _) = self.position(waiter);
        let beside = self
            .classes
            .get(&class)
            .map_or(0, |fair| fair.ahead_of(organisation, fair.len_of(organisation)));

        self.wait_behind(class, waiter.urgency, beside)
    }

    /// Gets the newest of those who are less urgent than `urgency` and can't be in time behind all who go first,
    /// and how long it would wait.
    pub fn newest_too_late(&self, urgency: Urgency, now: Moment) -> Option<(Ticket, Duration)> {
        if self.options.order == Order::Arrival {
            return None;
        }

        let behind = (Bound::Excluded(Class::Asked(urgency)), Bound::Unbounded);
        let less_urgent = self.classes.range(behind);

        less_urgent.rev().find_map(|(class, fair)| {
            let ticket = fair.newest()?;
            let waiter = &self.entries.get(&ticket)?.waiter;
            let own_ahead = fair.len_of(&waiter.organisation) - 1;
            let beside = fair.ahead_of(&waiter.organisation, own_ahead).min(fair.len() - 1);
            let wait = self.wait_behind(*class, waiter.urgency, beside)?;

            (now + wait > waiter.start_by).then_some((ticket, wait))
        })
    }

    /// Gets the newest of those who are less urgent than `urgency`, where the queue is full.
    pub fn eviction_candidate(&self, urgency: Urgency) -> Option<Ticket> {
        let is_full = self.entries.len() >= self.options.max_waiting;
        let (class, fair) = self.classes.last_key_value().filter(|_| is_full)?;

        (*class > Class::Asked(urgency)).then(|| fair.newest())?
    }

    /// Gets the places that are given in a second to those who wait, where that was seen lately.
    pub fn grants_per_s(&self) -> Option<f64> {
        self.flow.grants_per_s()
    }

    /// Gets how long one waits with so many beside it in its class.
    fn wait_behind(&self, class: Class, urgency: Urgency, beside: usize) -> Option<Duration> {
        if beside == 0 {
            return Some(Duration::ZERO);
        }

        let before: usize = self.classes.range(..class).map(|(_, fair)| fair.len()).sum();
        // The less urgent take their share of the places meanwhile, where some of them wait.
        let has_behind = self.classes.last_key_value().is_some_and(|(last, _)| *last > class);
        let part_behind = self.flow.fraction_behind(urgency).min(MIN_SHARE);
        let part = if has_behind { 1.0 - part_behind } else { 1.0 };
        let in_order_s = (before + beside) as f64 / (self.flow.grants_per_s()? * part);
        // What its urgency gets may be more than what the others leave over.
        let in_share_s = beside as f64 / self.flow.grants_per_s_of(urgency)?;
        let wait_s = in_order_s.min(in_share_s).min(MAX_EXPECTED.as_secs_f64());

        Some(Duration::from_secs_f64(wait_s))
    }

    fn next(&mut self, now: Moment) -> Option<Ticket> {
        let class = self.next_class()?;
        let turn_tokens = self.options.turn_tokens;

        self.classes.get_mut(&class)?.next(turn_tokens, now)
    }

    fn next_class(&self) -> Option<Class> {
        let first = *self.classes.first_key_value()?.0;

        if first == Class::Resumed || self.classes.len() == 1 {
            return Some(first);
        }

        let mut next = first;
        let mut most = 0.0;

        for class in self.classes.keys() {
            let Class::Asked(urgency) = *class else { continue };
            let shortfall = self.shares.shortfall(urgency);

            if shortfall > most {
                (next, most) = (*class, shortfall);
            }
        }

        Some(next)
    }

    /// Gets the class of one that waits, its organisation and its place there, by the order in force.
    fn position<'a>(&self, waiter: &'a Waiter) -> (Class, &'a str, Moment) {
        let by_arrival = self.options.order == Order::Arrival;

        match (waiter.is_resumed, by_arrival) {
            (true, _) => (Class::Resumed, "", Moment::ZERO),
            (false, true) => (Class::Asked((0, 0)), "", Moment::ZERO),
            (false, false) => (Class::Asked(waiter.urgency), &waiter.organisation, waiter.start_by),
        }
    }

    fn line_up(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.get(&ticket) else { return };
        let (class, organisation, start_by) = self.position(&entry.waiter);
        let (weight, tokens) = (entry.waiter.weight, entry.waiter.tokens);
        let fair = self.classes.entry(class).or_default();
        fair.add(ticket, organisation, weight, start_by, tokens);
    }

    fn take(&mut self, ticket: Ticket, spends: bool) -> Option<Entry<T>> {
        let entry = self.entries.remove(&ticket)?;
        self.by_expiry.remove(&(entry.waiter.expires_at, ticket));
        let (class, organisation, start_by) = self.position(&entry.waiter);

        if let Some(fair) = self.classes.get_mut(&class) {
            fair.remove(ticket, organisation, start_by, spends);

            if fair.is_empty() {
                self.classes.remove(&class);
            }
        }

        Some(entry)
    }

    fn advance(&mut self, now: Moment) {
        self.flow.advance(!self.entries.is_empty(), now);
    }
}
