//! Safety properties of retries under arbitrary attempt results.

use foxtide_core::outcome::Outcome;
use foxtide_core::retry::{
    AttemptId,
    AttemptResult,
    Attempts,
    RequestTerms,
    RetryBudget,
    RetryBudgetOptions,
    RetryOptions,
    Step, //
};
use foxtide_core::time::MonotonicTime;
use proptest::prelude::*;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_ms(1_000);

fn result() -> impl Strategy<Value = AttemptResult> {
    prop_oneof![
        Just(AttemptResult::NotSent),
        Just(AttemptResult::Rejected { retry_after: None }),
        Just(AttemptResult::Answered),
        Just(AttemptResult::ServerError),
        Just(AttemptResult::Lost),
        Just(AttemptResult::TimedOut),
    ]
}

/// One request and the actual state of its attempts.
struct RequestModel {
    attempts: Attempts,
    budget: RetryBudget,
    now: MonotonicTime,
    running: Vec<AttemptId>,
    may_have_run: bool,
    idempotent: bool,
}

impl RequestModel {
    fn new(idempotent: bool) -> Self {
        let terms = RequestTerms {
            idempotent,
            deadline: START + Duration::from_secs(2),
            hedge_delay: Some(Duration::from_millis(5)),
        };
        let mut model = Self {
            attempts: Attempts::new(terms, RetryOptions::default()),
            budget: RetryBudget::new(RetryBudgetOptions::default(), START),
            now: START,
            running: Vec::new(),
            may_have_run: false,
            idempotent,
        };
        model.begin();
        model
    }

    fn begin(&mut self) {
        let may_run_twice = self.may_have_run || !self.running.is_empty();
        assert!(self.idempotent || !may_run_twice, "request could run twice");
        self.running.push(self.attempts.begin(self.now));
    }

    /// Ends an attempt; returns whether the request continues.
    fn end(&mut self, result: AttemptResult) -> bool {
        let id = self.running.remove(0);
        self.may_have_run |= !result.is_not_run();
        let step = self.attempts.end(id, result, &mut self.budget, self.now);
        match step {
            Step::Retry { after } => {
                self.now = self.now + after;
                self.begin();
                true
            }
            Step::Await => true,
            Step::Answer(answered) => {
                assert_eq!(answered, id);
                false
            }
            Step::GiveUp(end) => {
                assert!(self.running.is_empty(), "an attempt is still running");
                let truth = if self.may_have_run {
                    Outcome::Unknown
                } else {
                    Outcome::NotRun
                };
                assert_eq!(end.outcome, truth);
                false
            }
            Step::Hedge => panic!("an ended attempt must not cause a hedge"),
        }
    }

    fn hedge(&mut self) {
        if let Some(at) = self.attempts.hedge_at() {
            self.now = self.now.max(at);
        }
        if self.attempts.hedge(&mut self.budget, self.now) == Step::Hedge {
            self.begin();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_outcomes_are_correct_and_nothing_runs_twice(
        idempotent in any::<bool>(),
        steps in proptest::collection::vec((result(), any::<bool>(), 0..300u64), 1..40),
    ) {
        let mut model = RequestModel::new(idempotent);
        for (result, hedge, ms) in steps {
            if hedge {
                model.hedge();
            }
            model.now = model.now + Duration::from_millis(ms);
            if !model.end(result) {
                break;
            }
        }
    }

    #[test]
    fn verify_budget_is_never_exceeded(
        steps in proptest::collection::vec((any::<bool>(), 0..50u64), 1..500),
    ) {
        let options = RetryBudgetOptions::default();
        let mut budget = RetryBudget::new(options.clone(), START);
        let (mut now, mut successes, mut spent) = (START, 0.0, 0.0);
        for (success, ms) in steps {
            now = now + Duration::from_millis(ms);
            if success {
                budget.record_success();
                successes += 1.0;
            } else {
                spent += f64::from(u8::from(budget.try_spend(now)));
            }
            let floor = (now - START).as_secs_f64() * options.floor_rps.get();
            let allowed = options.burst + successes * options.success_share.get() + floor;
            prop_assert!(spent <= allowed + 1e-6, "{spent} of {allowed}");
        }
    }
}
