//! Prompts of many gateways to one group.

use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{InFlightCounts, PromptRate};

const GATEWAYS: usize = 16;
const GROUP_TOKENS_PER_S: f64 = 600_000.0;
const PROMPT_TOKENS: u64 = 800;
const BURST: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(5);

/// Gives prompts of a gateway for some time, as fast as it may; `all` are the requests in flight that it knows of
/// beside its own. Gives their tokens.
fn begin_prompts(rate: &mut PromptRate, lasting: Duration, others: f64) -> u64 {
    let mut now = Duration::from_secs(10);
    let end = now + lasting;
    let mut own = 0;

    while now < end {
        if rate.wait(Duration::ZERO, now).is_zero() {
            let counts = InFlightCounts { own: own as f64, all: own as f64 + others };
            rate.observe(GROUP_TOKENS_PER_S, counts, GATEWAYS, now);
            rate.take(PROMPT_TOKENS, now);
            own += 1;
        } else {
            now += STEP;
        }
    }

    own * PROMPT_TOKENS
}

/// A group opens before callers that wait at all gateways, and no gateway has heard of the others' requests.
#[test]
fn gateways_that_know_only_their_own_requests_do_not_fill_the_group() {
    let lasting = Duration::from_millis(100);
    let mut rates = [PromptRate::new(BURST); GATEWAYS];
    let begun: u64 = rates.iter_mut().map(|rate| begin_prompts(rate, lasting, 0.0)).sum();
    let usual = GROUP_TOKENS_PER_S * (lasting + BURST).as_secs_f64();

    // 7.7 times the usual tokens with a share that followed what is in flight at once.
    assert!((begun as f64) < 1.5 * usual, "{begun} tokens where {usual} are usual");
}

/// Callers come to gateways unevenly, so one that has most of the requests gets most of the rate.
#[test]
fn a_gateway_with_half_of_the_requests_gets_half_of_the_rate() {
    let mut rate = PromptRate::new(BURST);
    let mut now: Moment = Duration::from_secs(1);

    for _ in 0..100 {
        now += Duration::from_millis(50);
        rate.observe(GROUP_TOKENS_PER_S, InFlightCounts { own: 50.0, all: 100.0 }, GATEWAYS, now);
    }

    rate.take(PROMPT_TOKENS * 100, now);
    let wanted_s = (PROMPT_TOKENS * 100) as f64 / (GROUP_TOKENS_PER_S / 2.0) - BURST.as_secs_f64();
    let wait_s = rate.wait(Duration::ZERO, now).as_secs_f64();
    assert!((wait_s / wanted_s - 1.0).abs() < 0.05, "{wait_s} s, {wanted_s} s wanted");
}

/// With nothing known a gateway still gives prompts, at an equal part of the rate.
#[test]
fn a_gateway_without_requests_keeps_an_equal_part() {
    let mut rate = PromptRate::new(BURST);
    let lasting = Duration::from_secs(1);
    let begun = begin_prompts(&mut rate, lasting, 10_000.0) as f64;
    let equal = GROUP_TOKENS_PER_S / GATEWAYS as f64 * (lasting + BURST).as_secs_f64();

    assert!((begun / equal - 1.0).abs() < 0.1, "{begun} tokens where {equal} are its part");
}
