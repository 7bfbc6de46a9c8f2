//! What all gateways together send to targets that are cold, whatever they know of each other.

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
/// How long targets are cold in a play.
const COLD_MS: u64 = 6000;
/// From here on a play's gateways send, and those that were new at the start have become owners.
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

/// Makes a gateway that has read a list.
fn gate(number: usize, list: &BTreeSet<SocketAddr>) -> ColdLimiter {
    let mut gate = ColdLimiter::default();
    gate.set_gateways(address(number), list, MS(0));
    gate
}

/// Has gateways send as much as they may, at times of their own, and gives when each target got a request.
fn play(gates: &mut [ColdLimiter], cold_per_s: f64, seed: u64) -> Vec<Vec<u64>> {
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

            // Half of what comes in is refused elsewhere, so that parts are saved up.
            if random.below(100) < 60 && gate.try_acquire(&target(number), cold_per_s, MS(at_ms)) {
                arrivals[number].push(at_ms);
            }
        }
    }

    arrivals
}

/// Gets the most requests in any one second.
fn busiest_second(arrivals: &[u64]) -> usize {
    let in_second =
        |from: &u64| arrivals.iter().filter(|at| (*from..from + 1000).contains(at)).count();

    arrivals.iter().map(in_second).max().unwrap_or(0)
}

fn assert_within(arrivals: &[Vec<u64>], cold_per_s: f64, what: &str) {
    let bound = cold_per_s * COLD_OVERAGE + COLD_BURST;
    let most = arrivals.iter().map(|a| busiest_second(a)).max().unwrap_or(0);

    assert!(most as f64 <= bound, "{what}: {most} in a second, {bound} at the most");
}

const SIZES: [usize; 3] = [2, 15, 53];
const RATES: [f64; 5] = [0.5, 2.0, 9.0, 26.0, 200.0];

#[test]
fn all_gateways_together_stay_below_the_bound_and_every_target_gets_some() {
    for count in SIZES {
        for cold_per_s in RATES {
            let list = addresses(0..count);
            let mut gates: Vec<_> = (0..count).map(|number| gate(number, &list)).collect();
            let arrivals = play(&mut gates, cold_per_s, 7);

            assert_within(&arrivals, cold_per_s, &format!("{count} gateways, {cold_per_s}"));
            let least = arrivals.iter().map(Vec::len).min().unwrap_or(0);
            assert!(least > 0, "a target of {count} gateways at {cold_per_s} got nothing in 6 s");
        }
    }
}

/// Each gateway sent its own full part: 53 of them that send one a second are twice what a target bears.
#[test]
fn a_cold_target_gets_half_of_what_it_may_and_no_less_than_a_third() {
    let list = addresses(0..53);
    let mut gates: Vec<_> = (0..53).map(|number| gate(number, &list)).collect();
    let arrivals = play(&mut gates, 26.0, 3);

    for all in &arrivals {
        let per_s = all.len() as f64 / (COLD_MS as f64 / 1000.0);
        assert!((26.0 / 3.0..=22.0).contains(&per_s), "{per_s} a second");
    }
}

#[test]
fn gateways_that_are_cut_into_two_halves_stay_below_the_bound() {
    for count in SIZES {
        for cold_per_s in RATES {
            let halves = [addresses(0..count / 2), addresses(count / 2..count)];
            let own = |number: usize| &halves[usize::from(number >= count / 2)];
            let mut gates: Vec<_> = (0..count).map(|number| gate(number, own(number))).collect();
            let arrivals = play(&mut gates, cold_per_s, 11);

            assert_within(&arrivals, cold_per_s, &format!("halves of {count}, {cold_per_s}"));
        }
    }
}

/// The list only grows: those that are gone stay in it, and a gateway that is new waits until all others have
/// had the time to read its row.
#[test]
fn lists_of_different_ages_stay_below_the_bound() {
    for (old, new, gone) in [(2, 13, 1), (15, 38, 5), (53, 20, 30)] {
        for cold_per_s in RATES {
            let before = addresses(0..old);
            let mut random = SeededSource::new(5);
            let mut gates = Vec::new();

            // Of the old ones some are gone, and a third of the others has not read the list since.
            for number in gone..old {
                let is_cut = random.below(3) == 0;
                let known = if is_cut { before.clone() } else { addresses(0..old + new) };
                gates.push(gate(number, &known));
            }

            // Each new one has seen the list without itself first, and the whole one since.
            for number in old..old + new {
                let mut joined = gate(number, &before);
                joined.set_gateways(address(number), &addresses(0..=number), MS(0));
                joined.set_gateways(address(number), &addresses(0..old + new), MS(10_000));
                gates.push(joined);
            }

            let arrivals = play(&mut gates, cold_per_s, 13);
            assert_within(&arrivals, cold_per_s, &format!("{old} and {new}, {cold_per_s}"));
        }
    }
}

/// All start at once, each before most others have written their rows: before any of them is an owner, each of them
/// has read all rows.
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
        assert!(!gates.iter_mut().any(is_owner), "an owner before the others know of it");
    }
}

#[test]
fn a_gateway_that_has_not_read_the_list_sends_nothing_to_a_cold_target() {
    let mut gate = ColdLimiter::default();
    gate.record_report("a", MS(1000), MS(0));

    assert!(!gate.may_send("a", 100.0, MS(900)));
    assert!(gate.may_send("b", 100.0, MS(900)), "another target is not cold");
    assert!(gate.may_send("a", 100.0, MS(1000)), "it is cold no more");
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
fn a_gateway_that_is_taken_out_of_the_list_is_no_owner() {
    let mut gate = gate(0, &addresses(0..2));
    gate.set_gateways(address(0), &addresses(1..2), MS(10));
    gate.record_report("a", MS(9000), MS(20));

    assert!(!gate.may_send("a", 100.0, MS(3000)));
}

#[test]
fn without_a_bound_a_cold_target_is_sent_to_by_all() {
    let mut gate = ColdLimiter::default();
    gate.record_report("a", MS(1000), MS(0));

    assert_eq!(ColdShare::from_rate(0.0), None);
    assert!((0..50).all(|_| gate.try_acquire("a", 0.0, MS(10))));
}

#[test]
fn a_targets_own_word_outweighs_what_was_taken_for_so() {
    let mut gate = ColdLimiter::default();
    gate.set_cold_until("a", MS(5000), MS(0));
    gate.record_report("a", MS(0), MS(100));
    assert!(!gate.is_cold("a", MS(100)));

    gate.record_report("a", MS(300), MS(200));
    gate.set_cold_until("a", MS(400), MS(210));
    assert_eq!(gate.remaining("a", MS(200)), MS(300), "it is cold until its own word says");
}

/// A target that says again and again that it is cold, and not, would else get a new part each time.
#[test]
fn a_part_is_not_given_twice_in_one_second() {
    let mut gate = gate(0, &addresses(0..1));
    let part = ColdShare::from_rate(26.0).expect("a bound");
    let mut sent = 0;

    for at_ms in 0..1000 {
        gate.record_report("a", if at_ms % 2 == 0 { MS(500) } else { MS(0) }, MS(at_ms));

        if gate.is_cold("a", MS(at_ms)) && gate.try_acquire("a", 26.0, MS(at_ms)) {
            sent += 1;
        }

        gate.remove_expired(MS(at_ms));
    }

    assert!(f64::from(sent) <= part.per_s + 1.0, "{sent}");
}

proptest! {
    #[test]
    fn the_parts_of_all_owners_are_half_of_what_a_target_may_get(cold_per_s in 0.01..5000.0f64) {
        let part = ColdShare::from_rate(cold_per_s).expect("a bound");
        let all = f64::from(part.owners) * (1.0 + part.per_s);

        prop_assert!(part.per_s > 0.0);
        prop_assert!(all <= (cold_per_s * COLD_OVERAGE + COLD_BURST) / 2.0 + 1e-9);
        prop_assert!(f64::from(part.owners) * part.per_s <= cold_per_s + 1e-9);
    }
}
