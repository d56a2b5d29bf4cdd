//! Urgent requests that arrive at an upstream whose slots and queue are taken by less urgent
//! ones.

use crate::support::{
    ADMITTED_MAX,
    SLOTS,
    at,
    is_granted,
    is_rejected,
    ms,
    object,
    request,
    serve,
    ticket, //
};
use foxtide_core::admission::{
    Answer,
    Coordinator,
    Ending,
    Patience,
    SlotRequest, //
};
use foxtide_core::throttle::LimitReport;
use foxtide_core::units::RequestRate;
use std::time::Duration;

const SERVICE_MS: u64 = 400;

/// A less urgent request with ample time.
fn patient(number: u64) -> SlotRequest {
    SlotRequest {
        object: object(1),
        time_left: ms(3_000),
        ..request(number, "stock")
    }
}

fn urgent(number: u64) -> SlotRequest {
    SlotRequest {
        priority: 0,
        objective_left: ms(700),
        time_left: ms(3 * SERVICE_MS),
        ..patient(number)
    }
}

/// A coordinator at 5 s that knows the service time and whose upstream has just begun as many
/// requests as it admits, numbered from 100.
fn loaded_coordinator() -> Coordinator {
    let mut coordinator = Coordinator::default();
    for (number, from_ms) in [(98, 0), (99, 1_000)] {
        serve(&mut coordinator, &patient(number), from_ms, SERVICE_MS);
    }
    for number in 100..100 + ADMITTED_MAX {
        let answers = coordinator.ask(&patient(number), SLOTS, at(5_000));
        assert!(is_granted(&answers, number));
    }
    coordinator
}

/// Asks for less urgent requests until one is rejected; returns the number of those that wait.
fn fill_queue(coordinator: &mut Coordinator) -> u64 {
    for number in 200.. {
        match coordinator.ask(&patient(number), SLOTS, at(5_000))[..] {
            [(_, Answer::Waiting)] => {}
            [(_, Answer::Rejected { .. })] => return number - 200,
            ref other => panic!("{other:?}"),
        }
    }
    unreachable!("the queue is bounded")
}

/// Guards against urgent requests that are rejected because of the work of less urgent ones that
/// are served after them.
#[test]
fn verify_an_urgent_request_behind_a_queue_of_less_urgent_ones_waits_and_is_next() {
    let mut coordinator = loaded_coordinator();
    assert!(fill_queue(&mut coordinator) > 9);
    let within_objective = SlotRequest {
        patience: Patience::WithinObjective,
        objective_left: ms(4 * SERVICE_MS),
        time_left: ms(4 * SERVICE_MS),
        ..urgent(1)
    };
    let answers = coordinator.ask(&within_objective, SLOTS, at(5_000));
    assert!(
        answers.contains(&(ticket(1), Answer::Waiting)),
        "{answers:?}"
    );
    let answers = coordinator.end(ticket(100), Ending::Served, at(5_400));
    assert_eq!(answers[0], (ticket(1), Answer::Granted));
}

/// Guards against less urgent requests that keep waiting in vain, and are rejected at their
/// deadline only, after an urgent one has taken their place.
#[test]
fn verify_a_less_urgent_request_gives_way_at_once() {
    let mut coordinator = loaded_coordinator();
    let waiting = fill_queue(&mut coordinator);
    let mut dismissed = Vec::new();
    for number in 1..=u64::from(SLOTS) {
        let answers = coordinator.ask(&urgent(number), SLOTS, at(5_000));
        assert!(answers.contains(&(ticket(number), Answer::Waiting)));
        let rejected = answers.iter().filter(|one| is_rejected(one));
        dismissed.extend(rejected.map(|(ticket, _)| ticket.number));
    }
    // The urgent requests keep each slot busy once, so that the last request of each is rejected.
    let last_round: Vec<u64> = (200 + waiting - u64::from(SLOTS)..200 + waiting).collect();
    dismissed.sort_unstable();
    assert_eq!(dismissed, last_round);
}

/// Guards against requests that wait although they cannot be served before their deadline.
#[test]
fn verify_an_urgent_request_that_cannot_be_in_time_is_rejected_at_once() {
    let mut coordinator = loaded_coordinator();
    let too_short = SlotRequest {
        time_left: ms(2 * SERVICE_MS - 1),
        ..urgent(1)
    };
    let answers = coordinator.ask(&too_short, SLOTS, at(5_000));
    assert!(matches!(answers[..], [(of, Answer::Rejected { .. })] if of == ticket(1)));
}

/// Guards against a rate limit whose tokens less urgent requests hold while an urgent one is
/// throttled.
#[test]
fn verify_the_next_token_of_a_rate_limit_goes_to_the_urgent_request() {
    let mut coordinator = loaded_coordinator();
    let limit = LimitReport {
        limit: Some(RequestRate::clamped(10.0)),
        age: Duration::ZERO,
    };
    let limited = |request: SlotRequest| SlotRequest {
        limit: Some(limit),
        ..request
    };
    let mut now_ms = 5_000;
    let first = limited(patient(200));
    coordinator.set_coordinating(&first, Some(at(0)), at(now_ms));
    while coordinator.ask(&first, SLOTS, at(now_ms)) != [(ticket(200), Answer::Waiting)] {
        now_ms += 10;
    }
    // A token is left, which the waiting request holds.
    let answers = coordinator.ask(&limited(patient(201)), SLOTS, at(now_ms));
    assert!(matches!(answers[..], [(_, Answer::Throttled { .. })]));
    let answers = coordinator.ask(&limited(urgent(1)), SLOTS, at(now_ms));
    assert_eq!(answers, [(ticket(1), Answer::Waiting)]);
    let answers = coordinator.end(ticket(100), Ending::Served, at(now_ms));
    assert_eq!(answers[0], (ticket(1), Answer::Granted));
}

/// Asks for a request that cannot be served in time; returns the delay until a retry.
fn retry_after(coordinator: &mut Coordinator, request: SlotRequest) -> Duration {
    let too_short = SlotRequest {
        time_left: ms(SERVICE_MS),
        ..request
    };
    match coordinator.ask(&too_short, SLOTS, at(5_000))[..] {
        [(_, Answer::Rejected { retry_after })] => retry_after,
        ref other => panic!("{other:?}"),
    }
}

/// Guards against urgent requests that are told to stay away for as long as less urgent ones, and
/// against requests that are rejected together and come back together.
#[test]
fn verify_retry_delays_follow_the_priority_and_are_spread() {
    let mut coordinator = loaded_coordinator();
    fill_queue(&mut coordinator);
    let as_ms = |delay: Duration| delay.as_millis() as u64;
    let urgent_ms: Vec<u64> = (1_000..1_050)
        .map(|number| as_ms(retry_after(&mut coordinator, urgent(number))))
        .collect();
    // Running requests end after 400 ms. The queue of the less urgent ones is longer than the
    // maximum of a second.
    let (least, most) = (urgent_ms.iter().min(), urgent_ms.iter().max());
    assert!((SERVICE_MS..SERVICE_MS + 20).contains(least.unwrap()));
    assert!((SERVICE_MS + 80..=SERVICE_MS + 100).contains(most.unwrap()));
    let patient_ms = as_ms(retry_after(&mut coordinator, patient(1_050)));
    assert!((1_000..=1_250).contains(&patient_ms), "{patient_ms}");
    // It depends on the ticket only.
    let again_ms = as_ms(retry_after(&mut coordinator, urgent(1_000)));
    assert_eq!(again_ms, urgent_ms[0]);
}
