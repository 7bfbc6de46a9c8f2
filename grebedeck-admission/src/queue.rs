//! Queue of the requests that wait for a slot on one service's targets.
//!
//! Under overload the queue decides which request gets the next free slot. Streams that resume
//! after the loss of their target come first, as their callers already have part of the response.
//! The other requests are ordered by urgency, except that an urgency below its
//! [share](crate::share) comes first. Within an urgency, organisations [take turns](crate::fair).
//!
//! A service with a single urgency serves requests in the order of arrival.
//!
//! Adding, removing and selecting a request take logarithmic time.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;

use grebedeck_core::{Moment, OrganisationName};

use crate::fair::FairQueue;
use crate::grants::GrantRate;
use crate::share::{MIN_SHARE, Shares};

/// Id of a waiting request, in the order of arrival.
pub type Ticket = u64;
/// Urgency of a request; 0 is the most urgent.
///
/// The first number is the rank of the API key, or of the route if the key has none. The second is
/// the rank of the route, which decides between requests whose first rank is equal.
pub type Urgency = (u8, u8);

/// Maximum number of requests in a queue.
///
/// Exceeds the number of callers that a gateway accepts, each of which has one request. An entry
/// takes about 300 bytes, little compared with the request's body, which has its own limit.
pub const MAX_WAITING: usize = 4096;
/// Upper bound of the estimated wait, longer than any request waits.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(60);

/// Order in which slots are granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// First in, first out.
    #[default]
    Arrival,
    /// By urgency, then fairly among organisations.
    Urgency,
}

/// Settings of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueOptions {
    /// Order in which slots are granted.
    pub order: Order,
    /// Tokens per turn of an organisation: those of a typical request, so that a turn serves one or
    /// a few requests.
    pub turn_tokens: u64,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
}

impl Default for QueueOptions {
    fn default() -> Self {
        QueueOptions { order: Order::Arrival, turn_tokens: 1, max_waiting: MAX_WAITING }
    }
}

/// Scheduling attributes of a waiting request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Organisation of the caller; empty if there is none.
    pub organisation: OrganisationName,
    /// Weight of the organisation in the fair share.
    pub weight: u64,
    /// Prompt and output tokens of the request.
    pub tokens: u64,
    /// Latest start that meets the request's latency objective.
    pub start_by: Moment,
    /// Time at which the request is refused if it still waits.
    pub expires_at: Moment,
    /// Whether the request resumes a stream that began on another target.
    pub is_resumed: bool,
}

/// Priority class. Earlier classes come first, unless a later one is below its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Resumed,
    Regular(Urgency),
}

#[derive(Debug)]
struct Entry<T> {
    waiter: Waiter,
    item: T,
}

/// Requests that wait for a slot on one service's targets.
#[derive(Debug)]
pub struct Queue<T> {
    options: QueueOptions,
    entries: HashMap<Ticket, Entry<T>>,
    classes: BTreeMap<Class, FairQueue>,
    by_expiry: BTreeSet<(Moment, Ticket)>,
    shares: Shares,
    grant_rate: GrantRate,
    next_ticket: Ticket,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(options: QueueOptions) -> Self {
        Queue {
            options,
            entries: HashMap::new(),
            classes: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            shares: Shares::default(),
            grant_rate: GrantRate::default(),
            next_ticket: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the order in which slots are granted.
    pub fn order(&self) -> Order {
        self.options.order
    }

    /// Applies new settings. Reorders the waiting requests if the order changes.
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
            self.enqueue(ticket);
        }
    }

    /// Returns the number of waiting requests by urgency, resumed streams included.
    pub fn waiting_by_urgency(&self) -> BTreeMap<Urgency, usize> {
        let mut waiting = BTreeMap::new();

        for entry in self.entries.values() {
            *waiting.entry(entry.waiter.urgency).or_default() += 1;
        }

        waiting
    }

    /// Adds a request. Returns the item as an error if the queue is full.
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
        self.enqueue(ticket);

        Ok(ticket)
    }

    /// Records a request that got a slot without waiting.
    pub fn record_immediate(&mut self, urgency: Urgency, now: Moment) {
        self.shares.record_arrival(urgency, now);
        self.shares.record_served(urgency, now);
    }

    /// Records a request that was refused without waiting.
    pub fn record_refused(&mut self, urgency: Urgency, now: Moment) {
        self.shares.record_arrival(urgency, now);
    }

    /// Returns the request that gets the next slot.
    pub fn peek(&mut self, now: Moment) -> Option<(Ticket, &T)> {
        let ticket = self.next(now)?;

        self.entries.get(&ticket).map(|entry| (ticket, &entry.item))
    }

    /// Removes the request that gets the next slot, and records the grant.
    pub fn pop(&mut self, now: Moment) -> Option<(Waiter, T)> {
        let ticket = self.next(now)?;
        self.advance(now);
        let entry = self.take_entry(ticket, true)?;
        self.shares.record_served(entry.waiter.urgency, now);
        self.grant_rate.record_grant(entry.waiter.urgency);

        Some((entry.waiter, entry.item))
    }

    /// Removes a request that gets no slot.
    pub fn remove(&mut self, ticket: Ticket, now: Moment) -> Option<(Waiter, T)> {
        self.advance(now);

        self.take_entry(ticket, false).map(|entry| (entry.waiter, entry.item))
    }

    /// Returns the requests that have expired.
    pub fn expired_tickets(&self, now: Moment) -> Vec<Ticket> {
        let due = self.by_expiry.iter().take_while(|(expires_at, _)| *expires_at <= now);

        due.map(|(_, ticket)| *ticket).collect()
    }

    /// Removes the requests that have expired.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<(Ticket, Waiter, T)> {
        let due = self.expired_tickets(now);
        let take = |ticket: Ticket| self.remove(ticket, now).map(|(w, item)| (ticket, w, item));

        due.into_iter().filter_map(take).collect()
    }

    /// Returns the earliest expiry of a waiting request.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// Returns a waiting request with its scheduling attributes.
    pub fn get(&self, ticket: Ticket) -> Option<(&Waiter, &T)> {
        self.entries.get(&ticket).map(|entry| (&entry.waiter, &entry.item))
    }

    /// Returns all waiting requests, unordered.
    pub fn tickets(&self) -> Vec<Ticket> {
        self.entries.keys().copied().collect()
    }

    /// Changes the expiry of a waiting request.
    pub fn set_expiry(&mut self, ticket: Ticket, expires_at: Moment) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            self.by_expiry.remove(&(entry.waiter.expires_at, ticket));
            entry.waiter.expires_at = expires_at;
            self.by_expiry.insert((expires_at, ticket));
        }
    }

    /// Estimates the number of requests that would precede a request added now.
    pub fn ahead_of(&self, waiter: &Waiter) -> usize {
        let (class, organisation, _) = self.position(waiter);
        let before: usize = self.classes.range(..class).map(|(_, fair)| fair.len()).sum();
        let beside = self
            .classes
            .get(&class)
            .map_or(0, |fair| fair.ahead_of(organisation, fair.len_of(organisation)));

        before + beside
    }

    /// Estimates the wait of a request added now; `None` if the grant rate is unknown.
    ///
    /// Zero for the first request of an urgency: it is always admitted, so that the share of its
    /// urgency has a request to serve.
    pub fn expected_wait(&self, waiter: &Waiter) -> Option<Duration> {
        let (class, organisation, _) = self.position(waiter);
        let beside = self
            .classes
            .get(&class)
            .map_or(0, |fair| fair.ahead_of(organisation, fair.len_of(organisation)));

        self.wait_behind(class, waiter.urgency, beside)
    }

    /// Finds the newest request less urgent than `urgency` that is expected to start too late,
    /// given the requests ahead of it, and returns it with its expected wait.
    pub fn newest_too_late(&self, urgency: Urgency, now: Moment) -> Option<(Ticket, Duration)> {
        if self.options.order == Order::Arrival {
            return None;
        }

        let behind = (Bound::Excluded(Class::Regular(urgency)), Bound::Unbounded);
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

    /// Returns the newest request of the least urgent class if the queue is full and the class is
    /// less urgent than `urgency`.
    pub fn eviction_candidate(&self, urgency: Urgency) -> Option<Ticket> {
        let is_full = self.entries.len() >= self.options.max_waiting;
        let (class, fair) = self.classes.last_key_value().filter(|_| is_full)?;

        (*class > Class::Regular(urgency)).then(|| fair.newest())?
    }

    /// Returns the recent rate of slots granted to waiting requests; `None` if unknown.
    pub fn grants_per_s(&self) -> Option<f64> {
        self.grant_rate.grants_per_s()
    }

    /// Estimates the wait behind `beside` requests of the same class and all earlier classes.
    fn wait_behind(&self, class: Class, urgency: Urgency, beside: usize) -> Option<Duration> {
        if beside == 0 {
            return Some(Duration::ZERO);
        }

        let before: usize = self.classes.range(..class).map(|(_, fair)| fair.len()).sum();
        // Less urgent requests, if any wait, take their share of the slots in the meantime.
        let has_behind = self.classes.last_key_value().is_some_and(|(last, _)| *last > class);
        let fraction_behind = self.grant_rate.fraction_behind(urgency).min(MIN_SHARE);
        let fraction = if has_behind { 1.0 - fraction_behind } else { 1.0 };
        let in_order_s = (before + beside) as f64 / (self.grant_rate.grants_per_s()? * fraction);
        // The urgency's own share may exceed what the more urgent requests leave.
        let in_share_s = beside as f64 / self.grant_rate.grants_per_s_of(urgency)?;
        let wait_s = in_order_s.min(in_share_s).min(MAX_EXPECTED_WAIT.as_secs_f64());

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
        let mut max_shortfall = 0.0;

        for class in self.classes.keys() {
            let Class::Regular(urgency) = *class else { continue };
            let shortfall = self.shares.shortfall(urgency);

            if shortfall > max_shortfall {
                (next, max_shortfall) = (*class, shortfall);
            }
        }

        Some(next)
    }

    /// Returns the class, the organisation and the sort key within the organisation, according to
    /// the configured order.
    fn position<'a>(&self, waiter: &'a Waiter) -> (Class, &'a str, Moment) {
        let by_arrival = self.options.order == Order::Arrival;

        match (waiter.is_resumed, by_arrival) {
            (true, _) => (Class::Resumed, "", Moment::ZERO),
            (false, true) => (Class::Regular((0, 0)), "", Moment::ZERO),
            (false, false) => {
                (Class::Regular(waiter.urgency), &waiter.organisation, waiter.start_by)
            }
        }
    }

    fn enqueue(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.get(&ticket) else { return };
        let (class, organisation, start_by) = self.position(&entry.waiter);
        let (weight, tokens) = (entry.waiter.weight, entry.waiter.tokens);
        let fair = self.classes.entry(class).or_default();
        fair.add(ticket, organisation, weight, start_by, tokens);
    }

    fn take_entry(&mut self, ticket: Ticket, is_granted: bool) -> Option<Entry<T>> {
        let entry = self.entries.remove(&ticket)?;
        self.by_expiry.remove(&(entry.waiter.expires_at, ticket));
        let (class, organisation, start_by) = self.position(&entry.waiter);

        if let Some(fair) = self.classes.get_mut(&class) {
            fair.remove(ticket, organisation, start_by, is_granted);

            if fair.is_empty() {
                self.classes.remove(&class);
            }
        }

        Some(entry)
    }

    fn advance(&mut self, now: Moment) {
        self.grant_rate.advance(!self.entries.is_empty(), now);
    }
}
