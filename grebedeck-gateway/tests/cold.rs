//! Load of cold targets from all gateways together, whatever the gateways know of each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::RandomSource;
use grebedeck_core::random::SeededSource;
use grebedeck_gateway::cold::{COLD_BURST, COLD_OVERAGE};
use grebedeck_gateway::{ColdLimiter, ColdShare};
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const TARGETS: usize = 12;
/// How long targets are cold in a simulation.
const COLD_MS: u64 = 6000;
/// Start of the requests of a simulation. Gateways that were new at time 0 are owners by then.
const FROM_MS: u64 = 20_000;

fn address(number: usize) -> SocketAddr {
    ([10, (number / 200) as u8, 0, (number % 200) as u8], 7000).into()
}

fn target(number: usize) -> String {
    format!("i-{number:08x}")
}

fn addresses(numbers: impl IntoIterator<Item = usize>) -> BTreeSet<SocketAddr> {
    numbers.into_iter().map(address).collect()
}

/// A gateway that has read a list.
fn gate(number: usize, list: &BTreeSet<SocketAddr>) -> ColdLimiter {
    let mut gate = ColdLimiter::default();
    gate.set_gateways(address(number), list, MS(0));
    gate
}

/// Lets all gateways send as much as they may, at random times; returns the arrival times of
/// requests at each target.
fn simulate(gates: &mut [ColdLimiter], cold_per_s: f64, seed: u64) -> Vec<Vec<u64>> {
    let mut random = SeededSource::new(seed);
    let mut arrivals = vec![Vec::new(); TARGETS];

    for gate in gates.iter_mut() {
        for number in 0..TARGETS {
            gate.record_report(&target(number), MS(COLD_MS), MS(FROM_MS));
        }
    }

    for at_ms in FROM_MS..FROM_MS + COLD_MS {
        for gate in gates.iter_mut() {
            let number = random.below(TARGETS);

            // Part of the requests go elsewhere, so that tokens accumulate.
            if random.below(100) < 60 && gate.try_acquire(&target(number), cold_per_s, MS(at_ms)) {
                arrivals[number].push(at_ms);
            }
        }
    }

    arrivals
}

/// Most requests in any one second.
fn busiest_second(arrivals: &[u64]) -> usize {
    let in_second =
        |from: &u64| arrivals.iter().filter(|at| (*from..from + 1000).contains(at)).count();

    arrivals.iter().map(in_second).max().unwrap_or(0)
}

fn assert_within(arrivals: &[Vec<u64>], cold_per_s: f64, what: &str) {
    let bound = cold_per_s * COLD_OVERAGE + COLD_BURST;
    let most = arrivals.iter().map(|a| busiest_second(a)).max().unwrap_or(0);

    assert!(most as f64 <= bound, "{what}: {most} requests in a second, limit {bound}");
}

const SIZES: [usize; 3] = [2, 15, 53];
const RATES: [f64; 5] = [0.5, 2.0, 9.0, 26.0, 200.0];

#[test]
fn all_gateways_together_stay_below_the_bound_and_every_target_gets_some() {
    for count in SIZES {
        for cold_per_s in RATES {
            let list = addresses(0..count);
            let mut gates: Vec<_> = (0..count).map(|number| gate(number, &list)).collect();
            let arrivals = simulate(&mut gates, cold_per_s, 7);

            assert_within(&arrivals, cold_per_s, &format!("{count} gateways, {cold_per_s}"));
            let least = arrivals.iter().map(Vec::len).min().unwrap_or(0);
            assert!(least > 0, "a target of {count} gateways at {cold_per_s} got nothing in 6 s");
        }
    }
}

/// Each gateway used to send its own full share: one request per second from each of 53 gateways is
/// twice what a target can serve.
#[test]
fn a_cold_target_gets_at_most_half_of_its_bound_and_at_least_a_third_of_its_rate() {
    let list = addresses(0..53);
    let mut gates: Vec<_> = (0..53).map(|number| gate(number, &list)).collect();
    let arrivals = simulate(&mut gates, 26.0, 3);

    for all in &arrivals {
        let per_s = all.len() as f64 / (COLD_MS as f64 / 1000.0);
        assert!((26.0 / 3.0..=22.0).contains(&per_s), "{per_s} a second");
    }
}

#[test]
fn gateways_on_two_sides_of_a_partition_stay_below_the_bound() {
    for count in SIZES {
        for cold_per_s in RATES {
            let halves = [addresses(0..count / 2), addresses(count / 2..count)];
            let own = |number: usize| &halves[usize::from(number >= count / 2)];
            let mut gates: Vec<_> = (0..count).map(|number| gate(number, own(number))).collect();
            let arrivals = simulate(&mut gates, cold_per_s, 11);

            assert_within(&arrivals, cold_per_s, &format!("halves of {count}, {cold_per_s}"));
        }
    }
}

/// The list only grows: gateways that are gone stay in it, and a new gateway waits until all others
/// have had time to read its row.
#[test]
fn lists_of_different_ages_stay_below_the_bound() {
    for (old, new, gone) in [(2, 13, 1), (15, 38, 5), (53, 20, 30)] {
        for cold_per_s in RATES {
            let before = addresses(0..old);
            let mut random = SeededSource::new(5);
            let mut gates = Vec::new();

            // Some of the old ones are gone, and a third of the others have not read the list
            // since.
            for number in gone..old {
                let is_outdated = random.below(3) == 0;
                let known = if is_outdated { before.clone() } else { addresses(0..old + new) };
                gates.push(gate(number, &known));
            }

            // Each new one has first read the list without itself, and later the complete one.
            for number in old..old + new {
                let mut joined = gate(number, &before);
                joined.set_gateways(address(number), &addresses(0..=number), MS(0));
                joined.set_gateways(address(number), &addresses(0..old + new), MS(10_000));
                gates.push(joined);
            }

            let arrivals = simulate(&mut gates, cold_per_s, 13);
            assert_within(&arrivals, cold_per_s, &format!("{old} and {new}, {cold_per_s}"));
        }
    }
}

/// All start at once, each before most others have written their rows. No gateway becomes an owner
/// before each of them has read all rows.
#[test]
fn gateways_that_start_at_once_stay_below_the_bound() {
    for cold_per_s in RATES {
        let mut gates: Vec<ColdLimiter> =
            (0..53).map(|number| gate(number, &addresses(0..0))).collect();

        for (number, gate) in gates.iter_mut().enumerate() {
            gate.set_gateways(address(number), &addresses(0..=number), MS(FROM_MS));
            gate.record_report(&target(0), MS(60_000), MS(FROM_MS));
        }

        let is_owner =
            |g: &mut ColdLimiter| g.may_send(&target(0), cold_per_s, MS(FROM_MS + 14_900));
        assert!(
            !gates.iter_mut().any(is_owner),
            "a gateway is an owner before the others have read its row"
        );
    }
}

#[test]
fn a_gateway_that_has_not_read_the_list_sends_nothing_to_a_cold_target() {
    let mut gate = ColdLimiter::default();
    gate.record_report("a", MS(1000), MS(0));

    assert!(!gate.may_send("a", 100.0, MS(900)));
    assert!(gate.may_send("b", 100.0, MS(900)), "another target is not cold");
    assert!(gate.may_send("a", 100.0, MS(1000)), "it is no longer cold");
}

#[test]
fn a_new_gateway_waits_until_the_others_know_it() {
    let list = addresses(0..2);
    let mut gate = ColdLimiter::default();
    gate.set_gateways(address(0), &addresses(1..2), MS(0));
    gate.set_gateways(address(0), &list, MS(1000));
    gate.set_cold_until("a", MS(60_000), MS(0));

    assert!(!gate.may_send("a", 100.0, MS(15_900)));
    assert!(!gate.may_send("a", 100.0, MS(16_000)) || gate.may_send("a", 100.0, MS(16_100)));
    assert!(gate.may_send("a", 100.0, MS(17_000)));
}

#[test]
fn a_gateway_that_is_removed_from_the_list_is_no_owner() {
    let mut gate = gate(0, &addresses(0..2));
    gate.set_gateways(address(0), &addresses(1..2), MS(10));
    gate.record_report("a", MS(9000), MS(20));

    assert!(!gate.may_send("a", 100.0, MS(3000)));
}

#[test]
fn without_a_bound_every_gateway_sends_to_a_cold_target() {
    let mut gate = ColdLimiter::default();
    gate.record_report("a", MS(1000), MS(0));

    assert_eq!(ColdShare::from_rate(0.0), None);
    assert!((0..50).all(|_| gate.try_acquire("a", 0.0, MS(10))));
}

#[test]
fn a_targets_own_report_overrides_the_assumption() {
    let mut gate = ColdLimiter::default();
    gate.set_cold_until("a", MS(5000), MS(0));
    gate.record_report("a", MS(0), MS(100));
    assert!(!gate.is_cold("a", MS(100)));

    gate.record_report("a", MS(300), MS(200));
    gate.set_cold_until("a", MS(400), MS(210));
    assert_eq!(gate.remaining("a", MS(200)), MS(300), "its own report gives the end");
}

/// A target that alternates between reporting itself cold and warm would otherwise get a new share
/// each time.
#[test]
fn a_share_is_not_granted_twice_in_one_second() {
    let mut gate = gate(0, &addresses(0..1));
    let share = ColdShare::from_rate(26.0).expect("a bound");
    let mut sent = 0;

    for at_ms in 0..1000 {
        gate.record_report("a", if at_ms % 2 == 0 { MS(500) } else { MS(0) }, MS(at_ms));

        if gate.is_cold("a", MS(at_ms)) && gate.try_acquire("a", 26.0, MS(at_ms)) {
            sent += 1;
        }

        gate.remove_expired(MS(at_ms));
    }

    assert!(f64::from(sent) <= share.per_s + 1.0, "{sent}");
}

proptest! {
    #[test]
    fn the_shares_of_all_owners_are_at_most_half_of_the_bound(cold_per_s in 0.01..5000.0f64) {
        let share = ColdShare::from_rate(cold_per_s).expect("a bound");
        let all = f64::from(share.owners) * (1.0 + share.per_s);

        prop_assert!(share.per_s > 0.0);
        prop_assert!(all <= (cold_per_s * COLD_OVERAGE + COLD_BURST) / 2.0 + 1e-9);
        prop_assert!(f64::from(share.owners) * share.per_s <= cold_per_s + 1e-9);
    }
}
