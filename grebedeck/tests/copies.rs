//! How many experts a rank may copy for one placement.

use std::time::Duration;

use grebedeck::rank::balance::max_copies;
use grebedeck_gateway::EngineSpec;

const LIMIT: Duration = Duration::from_millis(40);

fn spec(copy: Duration) -> EngineSpec {
    EngineSpec {
        sets: 10,
        experts: 384,
        places: 3,
        spare: 2,
        step_ms: 5.0,
        read_tokens_per_s: 60_000.0,
        steps_per_pass: 8,
        usual_prompt: 800,
        usual_answer: 130,
        form: Duration::from_millis(600),
        copy,
    }
}

/// One copy a rank was right where it takes 0.4 s; where it takes 2.6 ms it left a skew of 1.77 where 1.40 can be had.
#[test]
fn as_many_as_fit_into_the_time_for_copies() {
    assert_eq!(max_copies(LIMIT, &spec(Duration::from_millis(400))), 1);
    assert_eq!(max_copies(LIMIT, &spec(Duration::from_micros(5_800))), 6);
    assert_eq!(max_copies(LIMIT, &spec(Duration::from_micros(2_600))), 15);
}

#[test]
fn never_more_than_engines_take_and_one_where_the_time_is_not_known() {
    assert_eq!(max_copies(LIMIT, &spec(Duration::from_micros(10))), 20);
    assert_eq!(max_copies(LIMIT, &spec(Duration::ZERO)), 1);
}
