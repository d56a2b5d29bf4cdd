//! Tests of the next step after each result of an attempt.

use foxtide_core::outcome::Outcome;
use foxtide_core::retry::{
    AttemptResult,
    Attempts,
    GiveUpReason,
    RequestTerms,
    RetryBudget,
    RetryBudgetOptions,
    RetryOptions,
    Step, //
};
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_ms(1_000);

const REJECTED: AttemptResult = AttemptResult::Rejected { retry_after: None };

fn attempts(idempotent: bool) -> Attempts {
    let terms = RequestTerms {
        idempotent,
        deadline: START + Duration::from_secs(2),
        hedge_delay: Some(Duration::from_millis(50)),
    };
    Attempts::new(terms, RetryOptions::default())
}

fn budget() -> RetryBudget {
    RetryBudget::new(RetryBudgetOptions::default(), START)
}

fn give_up(step: Step) -> (Outcome, GiveUpReason) {
    match step {
        Step::GiveUp(end) => (end.outcome, end.reason),
        other => panic!("the request was not given up: {other:?}"),
    }
}

#[test]
fn verify_non_idempotent_is_never_resent_after_a_byte_was_sent() {
    for result in [AttemptResult::Lost, AttemptResult::TimedOut] {
        let mut attempts = attempts(false);
        let id = attempts.begin(START);
        let end = give_up(attempts.end(id, result, &mut budget(), START));
        assert_eq!(end, (Outcome::Unknown, GiveUpReason::NotIdempotent));
    }
}

#[test]
fn verify_non_idempotent_is_retried_when_it_has_not_run() {
    for result in [AttemptResult::NotSent, REJECTED] {
        let mut attempts = attempts(false);
        let id = attempts.begin(START);
        let step = attempts.end(id, result, &mut budget(), START);
        assert!(matches!(step, Step::Retry { .. }));
    }
}

#[test]
fn verify_not_run_is_reported_after_rejections_only() {
    let mut attempts = attempts(false);
    let mut budget = budget();
    let mut step = Step::Await;
    let options = RetryOptions::default();
    for _ in 0..options.rejections_max + options.attempts_max {
        let id = attempts.begin(START);
        step = attempts.end(id, REJECTED, &mut budget, START);
    }
    assert_eq!(
        give_up(step),
        (Outcome::NotRun, GiveUpReason::AttemptsSpent)
    );
}

#[test]
fn verify_server_error_is_forwarded_when_it_cannot_be_retried() {
    let mut attempts = attempts(false);
    let id = attempts.begin(START);
    let step = attempts.end(id, AttemptResult::ServerError, &mut budget(), START);
    assert_eq!(step, Step::Answer(id));
}

#[test]
fn verify_hedge_is_sent_once_and_the_first_answer_counts() {
    let mut attempts = attempts(true);
    let mut budget = budget();
    let first = attempts.begin(START);
    let at = attempts
        .hedge_at()
        .expect("an idempotent request is hedged");
    assert_eq!(attempts.hedge(&mut budget, START), Step::Await);
    assert_eq!(attempts.hedge(&mut budget, at), Step::Hedge);
    let second = attempts.begin(at);
    assert_eq!(attempts.hedge_at(), None);
    let lost = attempts.end(first, AttemptResult::Lost, &mut budget, at);
    assert_eq!(lost, Step::Await);
    let step = attempts.end(second, AttemptResult::Answered, &mut budget, at);
    assert_eq!(step, Step::Answer(second));
}

#[test]
fn verify_non_idempotent_is_never_hedged() {
    let mut attempts = attempts(false);
    attempts.begin(START);
    assert_eq!(attempts.hedge_at(), None);
}

#[test]
fn verify_nothing_is_retried_close_to_the_deadline() {
    let mut attempts = attempts(true);
    let id = attempts.begin(START);
    let late = START + Duration::from_millis(1_999);
    let end = give_up(attempts.end(id, REJECTED, &mut budget(), late));
    assert_eq!(end, (Outcome::NotRun, GiveUpReason::Deadline));
}

#[test]
fn verify_spent_budget_gives_up_at_once() {
    let mut budget = budget();
    while budget.try_spend(START) {}
    let mut attempts = attempts(true);
    let id = attempts.begin(START);
    let end = give_up(attempts.end(id, AttemptResult::NotSent, &mut budget, START));
    assert_eq!(end, (Outcome::NotRun, GiveUpReason::BudgetSpent));
}

#[test]
fn verify_rejections_do_not_use_the_budget() {
    let mut budget = budget();
    while budget.try_spend(START) {}
    let mut attempts = attempts(false);
    for _ in 0..RetryOptions::default().rejections_max {
        let id = attempts.begin(START);
        let step = attempts.end(id, REJECTED, &mut budget, START);
        assert!(matches!(step, Step::Retry { .. }));
    }
}
