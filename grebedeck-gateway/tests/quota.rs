//! Division of targets' limits among gateways, simulated in virtual time: the load on targets, the
//! service to callers, and the number of messages.

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

/// Period of a gateway's requests for permits.
const PERIOD: Duration = Duration::from_millis(400);
/// Delay of a message between gateways.
const LATENCY: Duration = Duration::from_millis(4);
/// Time from sending a request to a target until its answer.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// How long a request waits for a permit.
const MAX_WAIT: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(4);
/// The operators' rule: within a window, a target gets at most its limit times the factor, plus the
/// burst.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE_FACTOR: f64 = 1.5;
const BURST: f64 = 5.0;
/// Placeholder for a target that announces no limit.
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
    /// Callers' requests per second.
    rate: f64,
    demand: DemandCounter,
    is_up: bool,
    is_idle: bool,
    next_request_at: Moment,
    /// Requests for permits without a response: the coordinator, and when it was asked.
    pending: BTreeMap<u64, (IpAddr, Moment)>,
    /// Deadlines of the requests that wait for a permit.
    waiting: VecDeque<Moment>,
    served: usize,
    rejected: usize,
}

enum Message {
    Request { from: usize, to: usize, sequence: u64, demands: Vec<QuotaDemand> },
    Response { from: usize, to: usize, sequence: u64, grants: Vec<QuotaGrant> },
    Notify { to: usize, changes: Vec<QuotaGrant> },
    TargetAnswer { gateway: usize, target: usize, announced: AnnouncedLimit, sent_at: Moment },
}

struct Fleet {
    now: Moment,
    random: SeededSource,
    targets: Vec<Arc<TargetEntry>>,
    /// Limit that each target announces.
    announced: Vec<AnnouncedLimit>,
    gateways: Vec<Gateway>,
    /// Network partition of each gateway.
    network_sides: Vec<usize>,
    in_transit: BTreeMap<(Moment, u64), Message>,
    /// Requests to each target: when, from which gateway, and whether that gateway knew of the
    /// limit.
    arrivals: Vec<Vec<(Moment, usize, bool)>>,
    messages: usize,
    next_sequence: u64,
}

impl Fleet {
    fn new(gateways: usize, rates: impl Fn(usize) -> f64, announced: &[f64]) -> Self {
        let gateway = |number: usize| Gateway {
            limits: Limits::default(),
            ledger: QuotaLedger::default(),
            coordinators: Coordinators::new(address(number)),
            rate: rates(number),
            demand: DemandCounter::default(),
            is_up: true,
            is_idle: false,
            next_request_at: ms(number as u64 * 7 % 400),
            pending: BTreeMap::new(),
            waiting: VecDeque::new(),
            served: 0,
            rejected: 0,
        };
        let mut fleet = Fleet {
            now: Moment::ZERO,
            random: SeededSource::new(47),
            targets: (0..announced.len()).map(target).collect(),
            announced: announced.iter().map(|per_s| AnnouncedLimit::PerS(*per_s)).collect(),
            gateways: (0..gateways).map(gateway).collect(),
            network_sides: vec![0; gateways],
            in_transit: BTreeMap::new(),
            arrivals: vec![Vec::new(); announced.len()],
            messages: 0,
            next_sequence: 0,
        };
        (0..gateways).for_each(|number| fleet.set_list(number, gateways));

        fleet
    }

    /// Gives a gateway the list of the first `count` gateways.
    fn set_list(&mut self, reader: usize, count: usize) {
        let others: BTreeSet<IpAddr> = (0..count).filter(|n| *n != reader).map(address).collect();
        self.gateways[reader].coordinators.set_gateways(others, reader < count, self.now);
    }

    fn coordinator_of(&self, target: usize) -> usize {
        let partition = partition_of(&self.targets[target].id);
        let own = self.gateways[0].coordinators.coordinator(partition, self.now);

        (0..self.gateways.len()).find(|n| address(*n) == own).expect("one of them")
    }

    fn send(&mut self, delay: Duration, message: Message) {
        self.next_sequence += 1;
        self.in_transit.insert((self.now + delay, self.next_sequence), message);
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

    /// Serves the callers' requests of one tick: each is sent to a target that has a permit, waits,
    /// or is rejected.
    fn serve_callers(&mut self, number: usize) {
        let now = self.now;
        let mean = self.gateways[number].rate * TICK.as_secs_f64();
        let requests = (mean + self.random.unit()).floor() as usize;
        let gateway = &mut self.gateways[number];
        (0..requests).for_each(|_| gateway.demand.record(now));
        gateway.waiting.extend((0..requests).map(|_| now + MAX_WAIT));

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
                gateway.rejected += 1;
                continue;
            }

            let chosen = may_send[self.random.below(may_send.len())];
            let target = self.targets[chosen].clone();
            let permit =
                gateway.limits.acquire(&target, self.now).expect("may_send found a permit");
            assert!(gateway.limits.confirm_send(&target, permit, self.now), "the permit is new");
            gateway.served += 1;
            let knew_limit = gateway.limits.is_limited(&target);
            self.arrivals[chosen].push((self.now, number, knew_limit));
            let announced = self.announced[chosen];
            let answer = Message::TargetAnswer {
                gateway: number,
                target: chosen,
                announced,
                sent_at: self.now,
            };
            self.send(ANSWER_TIME, answer);
        }
    }

    fn exchange(&mut self, number: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[number];

        // A gateway that had nothing to request does so as soon as a request waits.
        if now < gateway.next_request_at || (gateway.is_idle && gateway.waiting.is_empty()) {
            return;
        }

        gateway.next_request_at = now + PERIOD;
        let timed_out: Vec<u64> = gateway
            .pending
            .iter()
            .filter(|(_, (_, at))| now >= *at + PERMIT_LIFETIME)
            .map(|(sequence, _)| *sequence)
            .collect();

        for sequence in timed_out {
            let (asked, _) = gateway.pending.remove(&sequence).expect("one of them");
            gateway.coordinators.record_timeout(asked, now);
        }

        let wanted = gateway.demand.wanted(now);
        let mut requests: BTreeMap<IpAddr, Vec<QuotaDemand>> = BTreeMap::new();

        for demand in gateway.limits.demands(|_| wanted, now) {
            let to = gateway.coordinators.coordinator(partition_of(&demand.target), now);
            requests.entry(to).or_default().push(demand);
        }

        self.gateways[number].is_idle = requests.is_empty();

        for (to, demands) in requests {
            let to = (0..self.gateways.len()).find(|n| address(*n) == to).expect("one of them");
            self.next_sequence += 1;
            let sequence = self.next_sequence;
            self.gateways[number].pending.insert(sequence, (address(to), now));
            self.messages += usize::from(to != number);
            self.send(LATENCY, Message::Request { from: number, to, sequence, demands });
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now {
                return;
            }

            match entry.remove() {
                Message::TargetAnswer { gateway, target, announced, sent_at } => {
                    let target = self.targets[target].clone();
                    let gateway = &mut self.gateways[gateway];
                    let change =
                        gateway.limits.observe(&target, announced, true, sent_at, self.now);
                    gateway.is_idle &= change == LimitChange::None;
                }
                Message::Request { from, to, sequence, demands } => {
                    self.respond(from, to, sequence, &demands)
                }
                Message::Response { from, to, sequence, grants } => {
                    self.apply(from, to, sequence, &grants);
                }
                Message::Notify { to, changes } => self.apply_grants(to, &changes, self.now),
            }
        }
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        self.gateways[one].is_up
            && self.gateways[other].is_up
            && self.network_sides[one] == self.network_sides[other]
    }

    fn respond(&mut self, from: usize, to: usize, sequence: u64, demands: &[QuotaDemand]) {
        if !self.reaches(from, to) {
            return;
        }

        let (now, random) = (self.now, &mut self.random);
        let gateway = &mut self.gateways[to];
        let part = |target: &str| gateway.coordinators.limit_fraction(partition_of(target), now);
        let grants = gateway.ledger.grant(address(from), demands, part, now, random);
        self.messages += usize::from(from != to);
        self.send(LATENCY, Message::Response { from: to, to: from, sequence, grants });
    }

    fn apply(&mut self, from: usize, to: usize, sequence: u64, grants: &[QuotaGrant]) {
        if !self.reaches(from, to) {
            return;
        }

        let now = self.now;
        let gateway = &mut self.gateways[to];
        gateway.coordinators.record_answer(address(from), now);

        let Some((_, asked_at)) = gateway.pending.remove(&sequence) else {
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

    /// Sends a coordinator's changes to all gateways that it reaches.
    fn notify(&mut self, from: usize) {
        let changes = self.gateways[from].ledger.drain_changes(self.now);

        if changes.is_empty() {
            return;
        }

        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            if self.reaches(from, to) {
                self.messages += 1;
                let changes = changes.clone();
                self.send(LATENCY, Message::Notify { to, changes });
            }
        }
    }

    /// Highest number of requests that a target got within a window, from the counted gateways that
    /// knew of its limit.
    fn max_in_window(
        &self,
        target: usize,
        from: Moment,
        is_counted: impl Fn(usize) -> bool,
    ) -> usize {
        let arrivals = &self.arrivals[target];
        let counted: Vec<Moment> = arrivals
            .iter()
            .filter(|(at, gateway, knew_limit)| *at >= from && *knew_limit && is_counted(*gateway))
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

    /// Fraction of a target's limit that was used since `from`.
    fn used_fraction(&self, target: usize, from: Moment, per_s: f64) -> f64 {
        let got = self.arrivals_since(target, from);

        got as f64 / (self.now - from).as_secs_f64() / per_s
    }
}

fn allowed(per_s: f64) -> usize {
    (per_s * WINDOW.as_secs_f64() * OVERAGE_FACTOR + BURST) as usize
}

#[test]
fn one_gateway_with_all_requests_uses_the_whole_limit_and_no_more() {
    for per_s in [0.5, 1.0, 4.0, 30.0] {
        let rate = |gateway: usize| if gateway == 2 { per_s * 8.0 } else { 0.0 };
        let mut fleet = Fleet::new(4, rate, &[per_s; 4]);
        fleet.run_for(Duration::from_secs(43));

        for target in 0..4 {
            let max_in_window = fleet.max_in_window(target, ms(3000), |_| true);
            assert!(max_in_window <= allowed(per_s), "{max_in_window} at {per_s}");
            let used = fleet.used_fraction(target, ms(3000), per_s);
            assert!((0.85..=1.1).contains(&used), "{used} of {per_s} was used");
        }
    }
}

/// Load: 4, 8 and 16 gateways with 0.5 or 20 requests a second each, and three times as many at
/// every second one.
#[test]
fn the_limit_is_divided_in_proportion_to_the_demand_of_each_gateway() {
    for (gateways, rate, per_s) in [(4, 20.0, 2.0), (8, 0.5, 0.25), (16, 20.0, 8.0), (16, 0.5, 0.5)]
    {
        let rates = |gateway: usize| if gateway.is_multiple_of(2) { rate } else { rate * 3.0 };
        let mut fleet = Fleet::new(gateways, rates, &[per_s; 6]);
        fleet.run_for(Duration::from_secs(403));

        for target in 0..6 {
            let max_in_window = fleet.max_in_window(target, ms(3000), |_| true);
            assert!(
                max_in_window <= allowed(per_s),
                "{max_in_window} of {} at {gateways}",
                allowed(per_s)
            );
        }

        let served = |is_busy: bool| -> usize {
            let of = fleet.gateways.iter().enumerate().filter(|(n, _)| (n % 2 == 1) == is_busy);
            of.map(|(_, gateway)| gateway.served).sum()
        };
        let ratio = served(true) as f64 / served(false) as f64;
        let max_ratio = if rate < 1.0 { 5.0 } else { 4.0 };
        assert!(
            (2.0..=max_ratio).contains(&ratio),
            "{ratio} times as many served with three times the requests"
        );
        let used: f64 = (0..6).map(|t| fleet.used_fraction(t, ms(3000), per_s)).sum::<f64>() / 6.0;
        assert!((0.85..=1.1).contains(&used), "{used} of {per_s} at {gateways} gateways");
    }
}

#[test]
fn no_request_is_rejected_while_a_target_has_no_limit() {
    let mut fleet = Fleet::new(4, |_| 20.0, &[1.0, 1.0, 1.0]);
    fleet.announced[2] = AnnouncedLimit::Absent;
    fleet.run_for(Duration::from_secs(20));

    assert!(fleet.max_in_window(0, ms(3000), |_| true) <= allowed(1.0));
    assert_eq!(fleet.gateways.iter().map(|g| g.rejected).sum::<usize>(), 0);
}

#[test]
fn the_end_of_a_limit_reaches_gateways_that_send_no_requests() {
    let mut fleet = Fleet::new(8, |_| 4.0, &[0.25]);
    fleet.run_for(Duration::from_secs(10));
    fleet.announced[0] = AnnouncedLimit::Absent;
    fleet.run_for(Duration::from_secs(10));

    let is_free = |gateway: &Gateway| !gateway.limits.is_limited(&fleet.targets[0]);
    assert!(fleet.gateways.iter().all(is_free));
    fleet.run_for(Duration::from_secs(40));
    assert!(fleet.used_fraction(0, ms(20_000), 32.0) > 0.9);
}

#[test]
fn a_limit_outlasts_a_pause_in_requests_and_ends_with_an_answer_without_it() {
    let mut fleet = Fleet::new(4, |_| 4.0, &[1.0]);
    fleet.run_for(Duration::from_secs(6));
    fleet.gateways.iter_mut().for_each(|gateway| gateway.rate = 0.0);
    fleet.run_for(Duration::from_secs(900));
    let from = fleet.now;
    fleet.gateways.iter_mut().for_each(|gateway| gateway.rate = 4.0);
    fleet.run_for(Duration::from_secs(6));
    assert!(fleet.max_in_window(0, from, |_| true) <= allowed(1.0));

    fleet.announced[0] = AnnouncedLimit::Absent;
    fleet.run_for(Duration::from_secs(4));
    assert!(fleet.gateways.iter().all(|g| !g.limits.is_limited(&fleet.targets[0])));
}

#[test]
fn all_gateways_follow_a_lowered_and_a_raised_limit() {
    let mut fleet = Fleet::new(4, |_| 10.0, &[8.0]);
    fleet.run_for(Duration::from_secs(10));
    fleet.announced[0] = AnnouncedLimit::PerS(1.0);
    let lowered_at = fleet.now;
    fleet.run_for(Duration::from_secs(13));
    assert!(fleet.max_in_window(0, lowered_at + ms(3000), |_| true) <= allowed(1.0));

    fleet.announced[0] = AnnouncedLimit::PerS(8.0);
    fleet.run_for(Duration::from_secs(20));
    let used = fleet.used_fraction(0, lowered_at + ms(20_000), 8.0);
    assert!(used > 0.8, "{used}");
}

#[test]
fn the_next_gateway_issues_permits_while_the_coordinator_is_down_and_after_its_restart() {
    for per_s in [0.5, 2.0, 10.0] {
        let mut fleet = Fleet::new(4, |_| per_s * 2.0, &[per_s]);
        fleet.run_for(Duration::from_secs(20));
        let coordinator = fleet.coordinator_of(0);
        fleet.gateways[coordinator].is_up = false;
        let died_at = fleet.now;
        fleet.run_for(Duration::from_secs(10));
        let sent = fleet.arrivals[0].iter().filter(|(at, ..)| *at > died_at).count();
        assert!(sent > 0, "some requests are sent");
        fleet.run_for(Duration::from_secs(110));
        let used = fleet.used_fraction(0, died_at + ms(20_000), per_s);
        assert!(used > 0.8, "{used} of {per_s}");

        let own = address(coordinator);
        fleet.gateways[coordinator].ledger = QuotaLedger::default();
        fleet.gateways[coordinator].limits = Limits::default();
        fleet.gateways[coordinator].coordinators = Coordinators::new(own);
        fleet.set_list(coordinator, 4);
        fleet.gateways[coordinator].is_up = true;
        fleet.run_for(Duration::from_secs(30));

        let is_counted = |gateway| gateway != coordinator;
        let max_in_window = fleet.max_in_window(0, ms(3000), is_counted);
        assert!(max_in_window <= allowed(per_s), "{max_in_window} of {}", allowed(per_s));
    }
}

#[test]
fn a_new_gateway_that_others_do_not_know_yet_issues_a_small_fraction() {
    for per_s in [0.5, 2.0, 10.0] {
        let mut fleet = Fleet::new(9, |gateway| if gateway < 8 { per_s } else { 0.0 }, &[per_s; 8]);
        // At first there are 8 gateways.
        (0..8).for_each(|number| fleet.set_list(number, 8));
        fleet.gateways[8].is_up = false;
        fleet.run_for(Duration::from_secs(20));
        fleet.gateways[8].coordinators = Coordinators::new(address(8));
        fleet.gateways[8].is_up = true;
        fleet.gateways[8].rate = per_s;
        fleet.set_list(8, 8);
        fleet.set_list(8, 9);

        for number in 0..8 {
            fleet.run_for(ms(1250));
            fleet.set_list(number, 9);
        }

        fleet.run_for(Duration::from_secs(30));

        for target in 0..8 {
            let max_in_window = fleet.max_in_window(target, ms(3000), |_| true);
            assert!(max_in_window <= allowed(per_s), "{max_in_window} of {}", allowed(per_s));
        }
    }
}

/// Failure: a network partition. The operators' rule exempts gateways that are cut off, but each
/// side keeps serving.
#[test]
fn each_side_of_a_network_partition_keeps_the_limit_and_serves() {
    let per_s = 2.0;
    let mut fleet = Fleet::new(6, |_| 6.0, &[per_s]);
    fleet.run_for(Duration::from_secs(20));
    let coordinator = fleet.coordinator_of(0);
    let is_with_it = |gateway: usize| gateway % 2 == coordinator % 2;
    fleet.network_sides = (0..6).map(|gateway| gateway % 2).collect();
    let cut_at = fleet.now;
    fleet.run_for(Duration::from_secs(40));

    for side in [true, false] {
        let is_counted = |gateway| is_with_it(gateway) == side;
        assert!(fleet.max_in_window(0, ms(3000), is_counted) <= allowed(per_s));
        let got = fleet.arrivals[0]
            .iter()
            .filter(|(at, g, _)| *at > cut_at + ms(20_000) && is_counted(*g));
        assert!(got.count() > 20, "both sides serve");
    }

    fleet.network_sides = vec![0; 6];
    let healed_at = fleet.now;
    fleet.run_for(Duration::from_secs(30));
    assert!(fleet.max_in_window(0, healed_at + SETTLE_TIME, |_| true) <= allowed(per_s));
}

/// The number of messages that a gateway sends depends on the number of coordinators, not on that
/// of gateways or limited targets.
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

/// Without notifications, each of 64 gateways with 1.5 requests a second would send a request to
/// learn of a limit.
#[test]
fn a_target_with_a_new_limit_does_not_get_a_request_from_every_gateway() {
    let mut fleet = Fleet::new(64, |_| 1.5, &vec![NO_LIMIT; 32]);
    fleet.announced = vec![AnnouncedLimit::Absent; 32];
    fleet.run_for(Duration::from_secs(20));
    fleet.announced = vec![AnnouncedLimit::PerS(0.5); 32];
    fleet.run_for(Duration::from_secs(3));
    let notified_at = fleet.now;
    fleet.run_for(Duration::from_secs(20));

    let most = (0..32).map(|target| fleet.arrivals_since(target, notified_at)).max();
    assert!(most <= Some(15), "{most:?} requests in 20 s at a limit of 0.5 a second");
}

#[test]
fn no_message_is_sent_while_no_target_has_a_limit() {
    let mut fleet = Fleet::new(4, |_| 10.0, &[1.0]);
    fleet.announced[0] = AnnouncedLimit::Absent;
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(fleet.messages, 0);
}

#[test]
fn permits_are_used_once_and_expire() {
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
    // Connecting took longer than the lifetime of the permit.
    assert!(!limits.confirm_send(&target, permit, ms(100) + PERMIT_LIFETIME));
    limits.apply(&target, &grant(1), PERMIT_LIFETIME, ms(800), ms(810));
    assert!(limits.confirm_send(&target, permit, ms(820)), "another permit is available");
    assert!(!limits.may_send(&target, ms(820)));
}

/// A request whose target was chosen before the limit was known needs a permit when it is sent.
#[test]
fn a_request_from_before_the_limit_is_not_sent_without_a_permit() {
    let target = target(0);
    let mut limits = Limits::default();
    let permit = limits.acquire(&target, ms(0)).expect("no limit yet");
    limits.observe(&target, AnnouncedLimit::PerS(2.0), true, ms(0), ms(10));

    assert!(!limits.confirm_send(&target, permit, ms(20)));
}

/// Rows of gateways that are gone stay in the list, and each request that such a gateway leaves
/// unanswered costs permits.
#[test]
fn an_unresponsive_coordinator_is_asked_with_backoff_and_normally_after_an_answer() {
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

/// Each process counts time from its start, and a limit may have been learned before that.
#[test]
fn a_coordinator_that_has_just_started_does_not_end_limits_learned_before() {
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

    // A gateway that has just started applies limits that others learned before.
    let mut started = Limits::default();
    started.apply(&target, &grants[0], PERMIT_LIFETIME, ms(500), ms(508));
    assert!(started.is_limited(&target));
}
