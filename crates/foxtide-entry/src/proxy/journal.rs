//! Tells what became of requests: events and explanations.

use super::admission::Admitted;
use super::attempt::AttemptEnd;
use super::keys::Settled;
use super::run::Proxy;
use crate::answer::{
    Answer,
    Refusal, //
};
use crate::clock::Clock;
use crate::errors::Step;
use crate::facts::Facts;
use crate::parts::Parts;
use crate::upstream::{
    Failure,
    FailureKind, //
};
use foxtide_core::events::{
    EventCode,
    EventFields, //
};
use foxtide_core::explain::{
    Decision,
    DecisionKind,
    Rule, //
};
use foxtide_core::organisation::Upstream;
use foxtide_core::outcome::Outcome;

impl<P: Parts> Proxy<P> {
    /// Returns the decision on a request, before it is taken.
    pub(super) fn undecided(&self, facts: &Facts) -> Decision {
        let view = facts.service.view();
        let wall = self.parts.clock().wall();
        let decision = Decision::new(DecisionKind::Request, Rule::NoUpstream, view, None, wall);
        decision.with_request(&facts.request)
    }

    /// Records what failed in an attempt.
    pub(super) fn record_attempt(
        &self,
        facts: &Facts,
        admitted: &Admitted,
        upstream: &Upstream,
        end: &AttemptEnd,
    ) {
        let metrics = facts.service.metrics();
        metrics.attempts.increment(1);
        let AttemptEnd::Failed(failure) = end else {
            return;
        };
        metrics.failed_attempts.increment(1);
        let fields = EventFields {
            region: Some(admitted.region.clone()),
            upstream: Some(upstream.upstream.clone()),
            detail: failure.to_string(),
            ..facts.event_fields()
        };
        self.parts.recorder().record(failure_code(failure), fields);
    }

    /// Tells what a request with a key gets without a run.
    ///
    /// # Errors
    ///
    /// Fails where that is a refusal.
    pub(super) fn answer_without_run(
        &self,
        facts: &Facts,
        settled: Settled,
    ) -> Result<Answer, Refusal> {
        let mut decision = self.undecided(facts);
        decision.redirect(settled.rule, None);
        self.parts.explainer().record(decision);
        if let Err(refusal) = &settled.answer {
            facts.service.metrics().refused(refusal.outcome);
        }
        let recorder = self.parts.recorder();
        recorder.record(settled.code, facts.event_fields());
        settled.answer
    }

    /// Records that a request was given up.
    pub(super) fn record_refusal(&self, facts: &Facts, refusal: &Refusal) {
        facts.service.metrics().refused(refusal.outcome);
        let code = match refusal.outcome {
            Outcome::NotRun => EventCode::RequestNotRun,
            Outcome::Unknown | Outcome::Done => EventCode::RequestUnknown,
        };
        let fields = EventFields {
            detail: format!("reason={}", refusal.reason),
            ..facts.event_fields()
        };
        self.parts.recorder().record(code, fields);
    }
}

fn failure_code(failure: &Failure) -> EventCode {
    match (&failure.kind, failure.step) {
        (FailureKind::TimedOut, _) => EventCode::RequestTimedOut,
        (_, Step::Connect) => EventCode::UpstreamUnreachable,
        _ => EventCode::ResponseTruncated,
    }
}
