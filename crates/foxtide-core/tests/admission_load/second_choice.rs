//! Requests that a busy first choice sends to their second choice, where most objects are new.

use crate::support::{
    BUSY,
    SLOTS,
    at,
    ms,
    object,
    request,
    serve,
    ticket, //
};
use foxtide_core::admission::{
    Answer,
    Coordinator,
    Patience,
    SlotRequest, //
};
use std::time::Duration;

const FIRST_MS: u64 = 360;
const REPEATED_MS: u64 = 108;
const OBJECTIVE: Duration = Duration::from_millis(300);

fn catalogue(number: u64, key: u64, patience: Patience) -> SlotRequest {
    SlotRequest {
        object: object(key),
        objective_left: OBJECTIVE,
        patience,
        ..request(number, "catalogue")
    }
}

/// The coordinator of a second choice that served object 1 and is idle at 5 s.
fn second_choice() -> Coordinator {
    let mut coordinator = Coordinator::default();
    for (number, from_ms, service_ms) in [(1, 0, FIRST_MS), (2, 1_000, REPEATED_MS)] {
        let request = catalogue(number, 1, Patience::UntilDeadline);
        serve(&mut coordinator, &request, from_ms, service_ms);
    }
    coordinator
}

/// Guards against requests that are late at their second choice while waiting at the first would
/// have been in time.
#[test]
fn verify_a_request_in_time_at_its_first_choice_is_not_served_late_at_the_second() {
    let patience = Patience::at_second_choice(Some(OBJECTIVE), OBJECTIVE);
    let mut coordinator = second_choice();
    let answers = coordinator.ask(&catalogue(10, 9, patience), SLOTS, at(5_000));
    assert_eq!(answers, [(ticket(10), BUSY)]);
    // An object that is cached there is served in time.
    let answers = coordinator.ask(&catalogue(11, 1, patience), SLOTS, at(5_000));
    assert_eq!(answers, [(ticket(11), Answer::Granted)]);
}

/// Guards against objects that stay at an upstream overloaded for long while the second choice is
/// idle.
#[test]
fn verify_a_request_late_at_its_first_choice_takes_an_idle_slot_of_the_second() {
    let served_in = OBJECTIVE + ms(1);
    for served_in in [Some(served_in), None] {
        let patience = Patience::at_second_choice(served_in, OBJECTIVE);
        let mut coordinator = second_choice();
        let answers = coordinator.ask(&catalogue(10, 9, patience), SLOTS, at(5_000));
        assert_eq!(answers, [(ticket(10), Answer::Granted)]);
        // Its object counts as cached for the next request, which is in time at the first choice.
        let patience = Patience::at_second_choice(Some(OBJECTIVE), OBJECTIVE);
        let answers = coordinator.ask(&catalogue(11, 9, patience), SLOTS, at(5_010));
        assert_eq!(answers, [(ticket(11), Answer::Granted)]);
    }
}

/// Guards against a place beyond the slots that makes a request late.
#[test]
fn verify_a_second_choice_counts_the_wait_at_the_upstream() {
    let mut coordinator = second_choice();
    for number in 20..20 + u64::from(SLOTS) {
        let request = catalogue(number, 1, Patience::UntilDeadline);
        coordinator.ask(&request, SLOTS, at(5_000));
    }
    let in_time = |number, objective_ms| SlotRequest {
        objective_left: ms(objective_ms),
        ..catalogue(number, 1, Patience::NoWaitInTime)
    };
    let answers = coordinator.ask(&in_time(10, 2 * REPEATED_MS - 1), SLOTS, at(5_000));
    assert_eq!(answers, [(ticket(10), BUSY)]);
    let answers = coordinator.ask(&in_time(11, 2 * REPEATED_MS), SLOTS, at(5_000));
    assert_eq!(answers, [(ticket(11), Answer::Granted)]);
}

/// Guards against a coordinator without service times that denies its idle slots.
#[test]
fn verify_a_new_coordinator_grants_idle_slots_to_second_choices() {
    let mut coordinator = Coordinator::default();
    let answers = coordinator.ask(&catalogue(1, 1, Patience::NoWaitInTime), SLOTS, at(0));
    assert_eq!(answers, [(ticket(1), Answer::Granted)]);
}
