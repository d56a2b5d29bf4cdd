//! Records events and explained decisions of requests.

use super::admission::Admitted;
use super::attempt::AttemptEnd;
use super::keys::ImmediateAnswer;
use super::run::Proxy;
use crate::answer::{
    Answer,
    Refusal, //
};
use crate::clock::Clock;
use crate::dependencies::Dependencies;
use crate::errors::Step;
use crate::request_context::RequestContext;
use crate::traffic::Slot;
use crate::upstream::{
    Failure,
    FailureKind, //
};
use foxtide_core::choice::StatedRate;
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

impl<P: Dependencies> Proxy<P> {
    /// Returns the initial decision record of a request.
    pub(super) fn new_decision(&self, context: &RequestContext) -> Decision {
        let view = context.service.view();
        let wall = self.deps.clock().wall();
        let decision = Decision::new(DecisionKind::Request, Rule::NoUpstream, view, None, wall);
        decision.with_request(&context.request)
    }

    /// Records what an answer states on the rate of its upstream.
    pub(super) fn record_stated_rate(
        &self,
        context: &RequestContext,
        slot: &Slot,
        end: &AttemptEnd,
    ) {
        let Some(stated) = end.stated_rate() else {
            return;
        };
        if !slot.record_stated_rate(stated) {
            return;
        }
        metrics::counter!("foxtide_upstream_limits_stated_total").increment(1);
        let detail = match stated {
            StatedRate::Limit(limit) => format!("limit={limit}"),
            StatedRate::NoLimit | StatedRate::Unreadable => "limit=none".to_owned(),
        };
        let fields = EventFields {
            upstream: Some(slot.upstream().upstream.clone()),
            detail,
            ..context.event_fields()
        };
        let recorder = self.deps.recorder();
        recorder.record(EventCode::UpstreamLimitStated, fields);
    }

    /// Records that the upstream of an attempt wants rest.
    pub(super) fn record_requested_rest(
        &self,
        context: &RequestContext,
        slot: &Slot,
        end: &AttemptEnd,
    ) {
        let Some(time) = end.requested_rest() else {
            return;
        };
        slot.rest(time);
        metrics::counter!("foxtide_upstream_rests_requested_total").increment(1);
        let fields = EventFields {
            upstream: Some(slot.upstream().upstream.clone()),
            detail: format!("time_s={}", time.as_secs()),
            ..context.event_fields()
        };
        let recorder = self.deps.recorder();
        recorder.record(EventCode::UpstreamRestRequested, fields);
    }

    /// Counts an attempt and records an event if it failed.
    pub(super) fn record_attempt(
        &self,
        context: &RequestContext,
        admitted: &Admitted,
        upstream: &Upstream,
        end: &AttemptEnd,
    ) {
        let metrics = context.service.metrics();
        metrics.attempts.increment(1);
        let AttemptEnd::Failed(failure) = end else {
            return;
        };
        metrics.failed_attempts.increment(1);
        let fields = EventFields {
            region: Some(admitted.region.clone()),
            upstream: Some(upstream.upstream.clone()),
            detail: failure.to_string(),
            ..context.event_fields()
        };
        self.deps.recorder().record(failure_code(failure), fields);
    }

    /// Records and returns the answer to a keyed request that is not executed.
    ///
    /// # Errors
    ///
    /// Returns the refusal if that is the answer.
    pub(super) fn answer_without_run(
        &self,
        context: &RequestContext,
        immediate: ImmediateAnswer,
    ) -> Result<Answer, Refusal> {
        let mut decision = self.new_decision(context);
        decision.redirect(immediate.rule, None);
        self.deps.explainer().record(decision);
        if let Err(refusal) = &immediate.answer {
            context.service.metrics().refused(refusal.outcome);
        }
        let recorder = self.deps.recorder();
        recorder.record(immediate.code, context.event_fields());
        immediate.answer
    }

    /// Records that a request was given up.
    pub(super) fn record_refusal(&self, context: &RequestContext, refusal: &Refusal) {
        context.service.metrics().refused(refusal.outcome);
        let code = match refusal.outcome {
            Outcome::NotRun => EventCode::RequestNotRun,
            Outcome::Unknown | Outcome::Done => EventCode::RequestUnknown,
        };
        let fields = EventFields {
            detail: format!("reason={}", refusal.reason),
            ..context.event_fields()
        };
        self.deps.recorder().record(code, fields);
    }
}

fn failure_code(failure: &Failure) -> EventCode {
    match (&failure.kind, failure.step) {
        (FailureKind::TimedOut, _) => EventCode::RequestTimedOut,
        (_, Step::Connect) => EventCode::UpstreamUnreachable,
        _ => EventCode::ResponseTruncated,
    }
}
