//! Groups that have just opened: how many prompts they get, and until when.

use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{GroupWord, Openings, PROMPT_PART};

const MS: fn(u64) -> Moment = Duration::from_millis;

fn word(formation: u64, is_open: bool, has_placement: bool) -> GroupWord {
    GroupWord { group: 7, formation, is_open, has_placement }
}

/// Streams that begin before the first placement is in use pause for too long, and hold the placement up.
#[test]
fn few_prompts_begin_until_the_first_placement_is_in_use() {
    let mut openings = Openings::default();
    openings.note(word(1, false, false), MS(0));
    openings.note(word(2, true, false), MS(600));
    assert!(openings.prompt_part(MS(610)) < PROMPT_PART / 4.0);

    openings.note(word(2, true, true), MS(1000));
    assert_eq!(openings.prompt_part(MS(1001)), PROMPT_PART);
    openings.note(word(2, true, false), MS(1010));
    assert_eq!(openings.prompt_part(MS(1011)), PROMPT_PART, "a rank that is late with its word");
}

#[test]
fn a_group_without_a_placement_gets_prompts_after_a_while() {
    let mut openings = Openings::default();
    openings.note(word(1, false, false), MS(0));
    openings.note(word(1, true, false), MS(600));

    assert!(openings.prompt_part(MS(1300)) < PROMPT_PART);
    assert_eq!(openings.prompt_part(MS(1500)), PROMPT_PART);
}

#[test]
fn a_gateway_that_finds_a_group_open_does_not_hold_prompts_back() {
    let mut openings = Openings::default();
    assert_eq!(openings.prompt_part(MS(0)), PROMPT_PART, "no rank has told anything");

    openings.note(word(3, true, false), MS(10));
    assert_eq!(openings.prompt_part(MS(11)), PROMPT_PART);
    openings.note(word(4, true, false), MS(100));
    assert!(openings.prompt_part(MS(101)) < PROMPT_PART, "it formed anew in between");
}

#[test]
fn one_group_with_a_placement_is_reason_enough_to_go_on() {
    let mut openings = Openings::default();
    openings.note(GroupWord { group: 8, ..word(1, true, true) }, MS(0));
    openings.note(word(1, false, false), MS(0));
    openings.note(word(2, true, false), MS(100));

    assert_eq!(openings.prompt_part(MS(101)), PROMPT_PART);
}
