//! Gateways that divide the limits of targets among them, played in virtual time: what targets get, what callers get, and what
//! it costs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::random::SeededSource;
use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::coordinator::{PARTITIONS, SETTLE_TIME, partition_of};
use grebedeck_gateway::limit::{AnnouncedLimit, LimitChange};
use grebedeck_gateway::quota::{DemandCounter, PERMIT_LIFETIME, QuotaDemand, QuotaGrant};
use grebedeck_gateway::{Coordinators, Limits, QuotaLedger, TargetEntry, TargetState};

/// Time between two asks of a gateway.
const PERIOD: Duration = Duration::from_millis(400);
/// Time that a message takes.
const LATENCY: Duration = Duration::from_millis(4);
/// Time that a target takes for an answer.
const ANSWER: Duration = Duration::from_millis(20);
/// How long a request waits for a target.
const PATIENCE: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(4);
/// The operators' rule: what a target gets in this time, as a multiple of its limit, and on top.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const BURST: f64 = 5.0;
/// What a target is made with that names no limit.
const NO_LIMIT: f64 = 0.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, (number / 200) as u8, (number % 200) as u8 + 1))
}

fn target(number: usize) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        id: format!("t{number}"),
        service: "plain".to_string(),
        address: format!("10.9.{}.{}:80", number / 200, number % 200 + 1)
            .parse()
            .expect("an address"),
        hall: "north".to_string(),
        slots: 4,
        state: TargetState::Serving,
        born_ms: Some(1),
        cold: Duration::ZERO,
    })
}

struct Gateway {
    limits: Limits,
    ledger: QuotaLedger,
    coordinators: Coordinators,
    /// Requests of callers a second.
    rate: f64,
    demand: DemandCounter,
    is_up: bool,
    is_idle: bool,
    asks_at: Moment,
    /// Asks without an answer: to whom, and when.
    open: BTreeMap<u64, (IpAddr, Moment)>,
    /// Until when each request that found no target waits.
    waiting: VecDeque<Moment>,
    served: usize,
    turned_away: usize,
}

enum Message {
    Ask { from: usize, to: usize, round: u64, demands: Vec<QuotaDemand> },
    Answer { from: usize, to: usize, round: u64, grants: Vec<QuotaGrant> },
    Notify { to: usize, changes: Vec<QuotaGrant> },
    Head { gateway: usize, target: usize, named: AnnouncedLimit, sent_at: Moment },
}

struct Fleet {
    now: Moment,
    random: SeededSource,
    targets: Vec<Arc<TargetEntry>>,
    /// What each target names.
    named: Vec<AnnouncedLimit>,
    gateways: Vec<Gateway>,
    /// Groups of gateways that hear each other.
    sides: Vec<usize>,
    on_the_way: BTreeMap<(Moment, u64), Message>,
    /// When requests reached each target, from whom, and whether that one had been told of a limit.
    arrivals: Vec<Vec<(Moment, usize, bool)>>,
    messages: usize,
    next: u64,
}

impl Fleet {
    fn new(gateways: usize, rates: impl Fn(usize) -> f64, named: &[f64]) -> Self {
        let gateway = |number: usize| Gateway {
            limits: Limits::default(),
            ledger: QuotaLedger::default(),
            coordinators: Coordinators::new(address(number)),
            rate: rates(number),
            demand: DemandCounter::default(),
            is_up: true,
            is_idle: false,
            asks_at: ms(number as u64 * 7 % 400),
            open: BTreeMap::new(),
            waiting: VecDeque::new(),
            served: 0,
            turned_away: 0,
        };
        let mut fleet = Fleet {
            now: Moment::ZERO,
            random: SeededSource::new(47),
            targets: (0..named.len()).map(target).collect(),
            named: named.iter().map(|per_s| AnnouncedLimit::PerS(*per_s)).collect(),
            gateways: (0..gateways).map(gateway).collect(),
            sides: vec![0; gateways],
            on_the_way: BTreeMap::new(),
            arrivals: vec![Vec::new(); named.len()],
            messages: 0,
            next: 0,
        };
        (0..gateways).for_each(|number| fleet.list(number, gateways));

        fleet
    }

    /// A gateway reads a list of the first so many.
    fn list(&mut self, reader: usize, count: usize) {
        let others: BTreeSet<IpAddr> = (0..count).filter(|n| *n != reader).map(address).collect();
        self.gateways[reader].coordinators.set_gateways(others, reader < count, self.now);
    }

    fn coordinator_of(&self, target: usize) -> usize {
        let partition = partition_of(&self.targets[target].id);
        let own = self.gateways[0].coordinators.coordinator(partition, self.now);

        (0..self.gateways.len()).find(|n| address(*n) == own).expect("one of them")
    }

    fn post(&mut self, delay: Duration, message: Message) {
        self.next += 1;
        self.on_the_way.insert((self.now + delay, self.next), message);
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;

        while self.now < until {
            self.now += TICK;
            self.deliver();

            for number in 0..self.gateways.len() {
                if self.gateways[number].is_up {
                    self.serve_callers(number);
                    self.exchange(number);
                    self.notify(number);
                }
            }
        }
    }

    /// Callers' requests of one tick: each goes to some target that may get it, waits for one, or is turned away.
    fn serve_callers(&mut self, number: usize) {
        let now = self.now;
        let mean = self.gateways[number].rate * TICK.as_secs_f64();
        let requests = (mean + self.random.unit()).floor() as usize;
        let gateway = &mut self.gateways[number];
        (0..requests).for_each(|_| gateway.demand.record(now));
        gateway.waiting.extend((0..requests).map(|_| now + PATIENCE));

        while let Some(until) = self.gateways[number].waiting.pop_front() {
            let gateway = &mut self.gateways[number];
            let may_send: Vec<usize> = (0..self.targets.len())
                .filter(|t| gateway.limits.may_send(&self.targets[*t], self.now))
                .collect();

            if may_send.is_empty() && now < until {
                gateway.waiting.push_front(until);
                break;
            }

            if may_send.is_empty() {
                gateway.turned_away += 1;
                continue;
            }

            let chosen = may_send[self.random.below(may_send.len())];
            let target = self.targets[chosen].clone();
            let permit = gateway.limits.acquire(&target, self.now).expect("one was there");
            assert!(gateway.limits.confirm_send(&target, permit, self.now), "taken just now");
            gateway.served += 1;
            let is_told = gateway.limits.is_limited(&target);
            self.arrivals[chosen].push((self.now, number, is_told));
            let named = self.named[chosen];
            let head = Message::Head { gateway: number, target: chosen, named, sent_at: self.now };
            self.post(ANSWER, head);
        }
    }

    fn exchange(&mut self, number: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[number];

        // Who had nothing to ask asks as soon as there is something.
        if now < gateway.asks_at || (gateway.is_idle && gateway.waiting.is_empty()) {
            return;
        }

        gateway.asks_at = now + PERIOD;
        let over: Vec<u64> = gateway
            .open
            .iter()
            .filter(|(_, (_, at))| now >= *at + PERMIT_LIFETIME)
            .map(|(round, _)| *round)
            .collect();

        for round in over {
            let (asked, _) = gateway.open.remove(&round).expect("one of them");
            gateway.coordinators.record_timeout(asked, now);
        }

        let wanted = gateway.demand.wanted(now);
        let mut asks: BTreeMap<IpAddr, Vec<QuotaDemand>> = BTreeMap::new();

        for demand in gateway.limits.demands(|_| wanted, now) {
            let to = gateway.coordinators.coordinator(partition_of(&demand.target), now);
            asks.entry(to).or_default().push(demand);
        }

        self.gateways[number].is_idle = asks.is_empty();

        for (to, demands) in asks {
            let to = (0..self.gateways.len()).find(|n| address(*n) == to).expect("one of them");
            self.next += 1;
            let round = self.next;
            self.gateways[number].open.insert(round, (address(to), now));
            self.messages += usize::from(to != number);
            self.post(LATENCY, Message::Ask { from: number, to, round, demands });
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.on_the_way.first_entry() {
            if entry.key().0 > self.now {
                return;
            }

            match entry.remove() {
                Message::Head { gateway, target, named, sent_at } => {
                    let target = self.targets[target].clone();
                    let gateway = &mut self.gateways[gateway];
                    let change = gateway.limits.observe(&target, named, true, sent_at, self.now);
                    gateway.is_idle &= change == LimitChange::None;
                }
                Message::Ask { from, to, round, demands } => self.answer(from, to, round, &demands),
                Message::Answer { from, to, round, grants } => {
                    self.apply(from, to, round, &grants);
                }
                Message::Notify { to, changes } => self.apply_grants(to, &changes, self.now),
            }
        }
    }

    fn hears(&self, one: usize, other: usize) -> bool {
        self.gateways[one].is_up
            && self.gateways[other].is_up
            && self.sides[one] == self.sides[other]
    }

    fn answer(&mut self, from: usize, to: usize, round: u64, demands: &[QuotaDemand]) {
        if !self.hears(from, to) {
            return;
        }

        let (now, random) = (self.now, &mut self.random);
        let gateway = &mut self.gateways[to];
        let part = |target: &str| gateway.coordinators.limit_fraction(partition_of(target), now);
        let grants = gateway.ledger.grant(address(from), demands, part, now, random);
        self.messages += usize::from(from != to);
        self.post(LATENCY, Message::Answer { from: to, to: from, round, grants });
    }

    fn apply(&mut self, from: usize, to: usize, round: u64, grants: &[QuotaGrant]) {
        if !self.hears(from, to) {
            return;
        }

        let now = self.now;
        let gateway = &mut self.gateways[to];
        gateway.coordinators.record_answer(address(from), now);

        let Some((_, asked_at)) = gateway.open.remove(&round) else {
            return;
        };

        self.apply_grants(to, grants, asked_at);
    }

    fn apply_grants(&mut self, to: usize, grants: &[QuotaGrant], asked_at: Moment) {
        for grant in grants {
            let target = self.targets.iter().find(|t| t.id == grant.target).expect("one of them");
            let limits = &mut self.gateways[to].limits;
            limits.apply(target, grant, PERMIT_LIFETIME, asked_at, self.now);
        }
    }

    /// A coordinator tells all others that it reaches what has changed.
    fn notify(&mut self, from: usize) {
        let changes = self.gateways[from].ledger.drain_changes(self.now);

        if changes.is_empty() {
            return;
        }

        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            if self.hears(from, to) {
                self.messages += 1;
                let changes = changes.clone();
                self.post(LATENCY, Message::Notify { to, changes });
            }
        }
    }

    /// Gets the most that a target got within a window from some time on, from some gateways that it had told of its limit.
    fn busiest(&self, target: usize, from: Moment, is_counted: impl Fn(usize) -> bool) -> usize {
        let arrivals = &self.arrivals[target];
        let counted: Vec<Moment> = arrivals
            .iter()
            .filter(|(at, gateway, is_told)| *at >= from && *is_told && is_counted(*gateway))
            .map(|(at, ..)| *at)
            .collect();
        let after = |first: &Moment| {
            let in_window = |at: &&Moment| **at >= *first && **at < *first + WINDOW;

            counted.iter().filter(in_window).count()
        };

        counted.iter().map(after).max().unwrap_or(0)
    }

    fn arrivals_since(&self, target: usize, from: Moment) -> usize {
        self.arrivals[target].iter().filter(|(at, ..)| *at >= from).count()
    }

    /// Gets the part of a target's limit that was used from some time on.
    fn used(&self, target: usize, from: Moment, per_s: f64) -> f64 {
        let got = self.arrivals_since(target, from);

        got as f64 / (self.now - from).as_secs_f64() / per_s
    }
}

fn allowed(per_s: f64) -> usize {
    (per_s * WINDOW.as_secs_f64() * OVERAGE + BURST) as usize
}

#[test]
fn the_whole_limit_is_used_and_not_more_where_the_requests_come_to_one_gateway() {
    for per_s in [0.5, 1.0, 4.0, 30.0] {
        let rate = |gateway: usize| if gateway == 2 { per_s * 8.0 } else { 0.0 };
        let mut fleet = Fleet::new(4, rate, &[per_s; 4]);
        fleet.run_for(Duration::from_secs(43));

        for target in 0..4 {
            let busiest = fleet.busiest(target, ms(3000), |_| true);
            assert!(busiest <= allowed(per_s), "{busiest} at {per_s}");
            let used = fleet.used(target, ms(3000), per_s);
            assert!((0.85..=1.1).contains(&used), "{used} of {per_s} was used");
        }
    }
}

/// With half a request a second for each gateway and with twenty, at four, eight and sixteen of them.
#[test]
fn the_limit_is_divided_by_what_each_gateway_is_asked_for() {
    for (gateways, rate, per_s) in [(4, 20.0, 2.0), (8, 0.5, 0.25), (16, 20.0, 8.0), (16, 0.5, 0.5)]
    {
        let rates = |gateway: usize| if gateway.is_multiple_of(2) { rate } else { rate * 3.0 };
        let mut fleet = Fleet::new(gateways, rates, &[per_s; 6]);
        fleet.run_for(Duration::from_secs(403));

        for target in 0..6 {
            let busiest = fleet.busiest(target, ms(3000), |_| true);
            assert!(busiest <= allowed(per_s), "{busiest} of {} at {gateways}", allowed(per_s));
        }

        let served = |is_busy: bool| -> usize {
            let of = fleet.gateways.iter().enumerate().filter(|(n, _)| (n % 2 == 1) == is_busy);
            of.map(|(_, gateway)| gateway.served).sum()
        };
        let part = served(true) as f64 / served(false) as f64;
        let most = if rate < 1.0 { 5.0 } else { 4.0 };
        assert!((2.0..=most).contains(&part), "{part} times as much with three times the requests");
        let used: f64 = (0..6).map(|t| fleet.used(t, ms(3000), per_s)).sum::<f64>() / 6.0;
        assert!((0.85..=1.1).contains(&used), "{used} of {per_s} at {gateways} gateways");
    }
}

#[test]
fn nobody_is_turned_away_beside_a_target_without_a_limit() {
    let mut fleet = Fleet::new(4, |_| 20.0, &[1.0, 1.0, 1.0]);
    fleet.named[2] = AnnouncedLimit::Absent;
    fleet.run_for(Duration::from_secs(20));

    assert!(fleet.busiest(0, ms(3000), |_| true) <= allowed(1.0));
    assert_eq!(fleet.gateways.iter().map(|g| g.turned_away).sum::<usize>(), 0);
}

#[test]
fn an_end_of_a_limit_that_one_gateway_hears_reaches_those_that_send_nothing() {
    let mut fleet = Fleet::new(8, |_| 4.0, &[0.25]);
    fleet.run_for(Duration::from_secs(10));
    fleet.named[0] = AnnouncedLimit::Absent;
    fleet.run_for(Duration::from_secs(10));

    let is_free = |gateway: &Gateway| !gateway.limits.is_limited(&fleet.targets[0]);
    assert!(fleet.gateways.iter().all(is_free));
    fleet.run_for(Duration::from_secs(40));
    assert!(fleet.used(0, ms(20_000), 32.0) > 0.9);
}

#[test]
fn a_limit_holds_however_long_nobody_asks_and_ends_with_the_first_answer_without_it() {
    let mut fleet = Fleet::new(4, |_| 4.0, &[1.0]);
    fleet.run_for(Duration::from_secs(6));
    fleet.gateways.iter_mut().for_each(|gateway| gateway.rate = 0.0);
    fleet.run_for(Duration::from_secs(900));
    let from = fleet.now;
    fleet.gateways.iter_mut().for_each(|gateway| gateway.rate = 4.0);
    fleet.run_for(Duration::from_secs(6));
    assert!(fleet.busiest(0, from, |_| true) <= allowed(1.0));

    fleet.named[0] = AnnouncedLimit::Absent;
    fleet.run_for(Duration::from_secs(4));
    assert!(fleet.gateways.iter().all(|g| !g.limits.is_limited(&fleet.targets[0])));
}

#[test]
fn a_lowered_limit_and_a_raised_one_are_kept_to_by_all() {
    let mut fleet = Fleet::new(4, |_| 10.0, &[8.0]);
    fleet.run_for(Duration::from_secs(10));
    fleet.named[0] = AnnouncedLimit::PerS(1.0);
    let lowered = fleet.now;
    fleet.run_for(Duration::from_secs(13));
    assert!(fleet.busiest(0, lowered + ms(3000), |_| true) <= allowed(1.0));

    fleet.named[0] = AnnouncedLimit::PerS(8.0);
    fleet.run_for(Duration::from_secs(20));
    let used = fleet.used(0, lowered + ms(20_000), 8.0);
    assert!(used > 0.8, "{used}");
}

#[test]
fn the_next_gateway_gives_permits_where_the_coordinator_has_died_and_comes_back() {
    for per_s in [0.5, 2.0, 10.0] {
        let mut fleet = Fleet::new(4, |_| per_s * 2.0, &[per_s]);
        fleet.run_for(Duration::from_secs(20));
        let coordinator = fleet.coordinator_of(0);
        fleet.gateways[coordinator].is_up = false;
        let died = fleet.now;
        fleet.run_for(Duration::from_secs(10));
        let sent = fleet.arrivals[0].iter().filter(|(at, ..)| *at > died).count();
        assert!(sent > 0, "some are sent");
        fleet.run_for(Duration::from_secs(110));
        let used = fleet.used(0, died + ms(20_000), per_s);
        assert!(used > 0.8, "{used} of {per_s}");

        let own = address(coordinator);
        fleet.gateways[coordinator].ledger = QuotaLedger::default();
        fleet.gateways[coordinator].limits = Limits::default();
        fleet.gateways[coordinator].coordinators = Coordinators::new(own);
        fleet.list(coordinator, 4);
        fleet.gateways[coordinator].is_up = true;
        fleet.run_for(Duration::from_secs(30));

        let is_counted = |gateway| gateway != coordinator;
        let busiest = fleet.busiest(0, ms(3000), is_counted);
        assert!(busiest <= allowed(per_s), "{busiest} of {}", allowed(per_s));
    }
}

#[test]
fn a_new_gateway_that_others_do_not_know_yet_gives_out_a_small_part() {
    for per_s in [0.5, 2.0, 10.0] {
        let mut fleet = Fleet::new(9, |gateway| if gateway < 8 { per_s } else { 0.0 }, &[per_s; 8]);
        // Until now there were eight.
        (0..8).for_each(|number| fleet.list(number, 8));
        fleet.gateways[8].is_up = false;
        fleet.run_for(Duration::from_secs(20));
        fleet.gateways[8].coordinators = Coordinators::new(address(8));
        fleet.gateways[8].is_up = true;
        fleet.gateways[8].rate = per_s;
        fleet.list(8, 8);
        fleet.list(8, 9);

        for number in 0..8 {
            fleet.run_for(ms(1250));
            fleet.list(number, 9);
        }

        fleet.run_for(Duration::from_secs(30));

        for target in 0..8 {
            let busiest = fleet.busiest(target, ms(3000), |_| true);
            assert!(busiest <= allowed(per_s), "{busiest} of {}", allowed(per_s));
        }
    }
}

/// Gateways that are cut off are excused by the operators' rule; each side goes on serving all the same.
#[test]
fn each_side_of_a_cut_keeps_to_the_limit_and_serves() {
    let per_s = 2.0;
    let mut fleet = Fleet::new(6, |_| 6.0, &[per_s]);
    fleet.run_for(Duration::from_secs(20));
    let coordinator = fleet.coordinator_of(0);
    let is_with_it = |gateway: usize| gateway % 2 == coordinator % 2;
    fleet.sides = (0..6).map(|gateway| gateway % 2).collect();
    let cut = fleet.now;
    fleet.run_for(Duration::from_secs(40));

    for side in [true, false] {
        let is_counted = |gateway| is_with_it(gateway) == side;
        assert!(fleet.busiest(0, ms(3000), is_counted) <= allowed(per_s));
        let got =
            fleet.arrivals[0].iter().filter(|(at, g, _)| *at > cut + ms(20_000) && is_counted(*g));
        assert!(got.count() > 20, "both sides serve");
    }

    fleet.sides = vec![0; 6];
    let healed = fleet.now;
    fleet.run_for(Duration::from_secs(30));
    assert!(fleet.busiest(0, healed + SETTLE_TIME, |_| true) <= allowed(per_s));
}

/// What a gateway sends follows from the number of coordinators, and not from that of gateways or of limited targets.
#[test]
fn messages_of_a_gateway_do_not_grow_with_the_fleet() {
    let messages_per_s = |gateways: usize, targets: usize| {
        let mut fleet = Fleet::new(gateways, |_| 1.5, &vec![0.4; targets]);
        fleet.run_for(Duration::from_secs(30));
        let before = fleet.messages;
        fleet.run_for(Duration::from_secs(4));

        (fleet.messages - before) as f64 / 4.0 / gateways as f64
    };
    let per_gateway: Vec<f64> =
        [(8, 16), (16, 32), (32, 64)].map(|(g, t)| messages_per_s(g, t)).to_vec();
    let most = 2.0 * PARTITIONS as f64 / PERIOD.as_secs_f64();

    assert!(per_gateway.iter().all(|messages| *messages <= most), "{per_gateway:?}");
}

/// Sixty-four gateways with a request a second and a half each would each send one to find a limit out.
#[test]
fn a_target_in_need_does_not_get_a_request_of_each_gateway_that_was_not_told() {
    let mut fleet = Fleet::new(64, |_| 1.5, &vec![NO_LIMIT; 32]);
    fleet.named = vec![AnnouncedLimit::Absent; 32];
    fleet.run_for(Duration::from_secs(20));
    fleet.named = vec![AnnouncedLimit::PerS(0.5); 32];
    fleet.run_for(Duration::from_secs(3));
    let told = fleet.now;
    fleet.run_for(Duration::from_secs(20));

    let most = (0..32).map(|target| fleet.arrivals_since(target, told)).max();
    assert!(most <= Some(15), "{most:?} requests in 20 s at a limit of 0.5 a second");
}

#[test]
fn no_message_is_sent_where_no_target_has_a_limit_or_nobody_asks() {
    let mut fleet = Fleet::new(4, |_| 10.0, &[1.0]);
    fleet.named[0] = AnnouncedLimit::Absent;
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(fleet.messages, 0);
}

#[test]
fn permits_are_used_once_and_lapse() {
    let target = target(0);
    let mut limits = Limits::default();
    limits.observe(&target, AnnouncedLimit::PerS(2.0), true, ms(0), ms(10));
    assert!(!limits.may_send(&target, ms(10)));
    let grant = |permits| QuotaGrant {
        target: target.id.clone(),
        birth: target.born_ms,
        limit: Some(2.0),
        limit_age: ms(5),
        permits,
        rate: 1.0,
    };

    limits.apply(&target, &grant(2), PERMIT_LIFETIME, ms(20), ms(30));
    let permit = limits.acquire(&target, ms(40)).expect("the first");
    assert!(limits.confirm_send(&target, permit, ms(50)));
    assert!(limits.acquire(&target, ms(50)).is_some());
    assert_eq!(limits.acquire(&target, ms(60)), None);

    limits.apply(&target, &grant(1), PERMIT_LIFETIME, ms(100), ms(110));
    let permit = limits.acquire(&target, ms(120)).expect("another");
    // Its connection took longer than the permit is good for.
    assert!(!limits.confirm_send(&target, permit, ms(100) + PERMIT_LIFETIME));
    limits.apply(&target, &grant(1), PERMIT_LIFETIME, ms(800), ms(810));
    assert!(limits.confirm_send(&target, permit, ms(820)), "there is another one by now");
    assert!(!limits.may_send(&target, ms(820)));
}

/// A request whose target was chosen before the limit was heard of needs a permit when it is sent.
#[test]
fn what_was_chosen_before_the_limit_was_heard_of_is_not_sent_without_a_permit() {
    let target = target(0);
    let mut limits = Limits::default();
    let permit = limits.acquire(&target, ms(0)).expect("no limit yet");
    limits.observe(&target, AnnouncedLimit::PerS(2.0), true, ms(0), ms(10));

    assert!(!limits.confirm_send(&target, permit, ms(20)));
}

/// Rows of gateways that are gone stay in the list; each ask that they leave unanswered costs their targets' permits.
#[test]
fn a_coordinator_that_is_gone_is_asked_less_and_less_often_and_at_once_after_it_has_answered() {
    let mut coordinators = Coordinators::new(address(0));
    coordinators.set_gateways((1..4).map(address), true, ms(0));
    let first = coordinators.coordinator(0, ms(0));
    let partition = (0..PARTITIONS)
        .find(|p| coordinators.coordinator(*p, ms(0)) != address(0))
        .expect("others coordinate some");
    let gone = coordinators.coordinator(partition, ms(0));
    let mut now = ms(0);
    let mut asked = 0;

    while now < Duration::from_secs(300) {
        if coordinators.coordinator(partition, now) == gone {
            asked += 1;
            coordinators.record_timeout(gone, now);
        }

        now += PERIOD;
    }

    assert!((6..=10).contains(&asked), "asked {asked} times in five minutes");
    assert!(coordinators.record_answer(gone, now));
    assert_eq!(coordinators.coordinator(partition, now), gone);
    assert_eq!(coordinators.coordinator(0, now), first);
}

/// Processes count time from their start, and a limit may have been heard of before that.
#[test]
fn a_coordinator_that_has_just_started_does_not_end_limits_that_were_heard_of_before() {
    let target = target(0);
    let mut limits = Limits::default();
    limits.observe(&target, AnnouncedLimit::PerS(2.0), true, ms(50_000), ms(50_010));
    let mut ledger = QuotaLedger::default();
    let mut random = SeededSource::new(47);

    let now = ms(60_000);
    let demands = limits.demands(|_| 1, now);
    let grants = ledger.grant(address(1), &demands, |_| 1.0, ms(1000), &mut random);
    assert_eq!(grants[0].limit, Some(2.0));
    assert_eq!(grants[0].permits, 1);

    for grant in &grants {
        limits.apply(&target, grant, PERMIT_LIFETIME, now, now + ms(8));
    }

    assert!(limits.is_limited(&target));

    // And a gateway that has just started takes what others heard before.
    let mut started = Limits::default();
    started.apply(&target, &grants[0], PERMIT_LIFETIME, ms(500), ms(508));
    assert!(started.is_limited(&target));
}
