//! Runs a request through its attempts.

use super::admission::{
    AdmissionError,
    Admitted, //
};
use super::attempt::AttemptEnd;
use super::give_up::give_up_refusal;
use super::keys::{
    ClaimGuard,
    ImmediateAnswer,
    KeyTable,
    KeyedRequest,
    begin, //
};
use super::prepare::PreparedRequest;
use crate::answer::{
    Answer,
    AnswerBody,
    Refusal, //
};
use crate::clock::Clock;
use crate::dependencies::Dependencies;
use crate::limiter::Limiter;
use crate::options::EntryOptions;
use crate::request_context::{
    RequestContext,
    Target, //
};
use crate::serve::{
    ListenerState,
    ReceivedRequest, //
};
use crate::traffic::Slot;
use crate::upstream::{
    Failure,
    Freshness,
    Pools,
    RequestIdEcho,
    UpstreamRequest,
    exchange, //
};
use foxtide_core::events::RequestId;
use foxtide_core::explain::Decision;
use foxtide_core::ids::UpstreamId;
use foxtide_core::outcome::Outcome;
use foxtide_core::retry::{
    AttemptId,
    AttemptResult,
    Attempts,
    Step, //
};
use foxtide_http::name;
use http_types::StatusCode;
use smol::{
    Executor,
    Timer, //
};
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Weak, //
};
use std::time::Duration;

/// Forwards requests to upstreams.
#[derive(Debug)]
pub(crate) struct Proxy<P> {
    pub(crate) deps: Arc<P>,
    pub(crate) options: Arc<EntryOptions>,
    /// Idle connections to upstreams.
    pub(crate) pools: Arc<Pools>,
    /// Idempotency keys that this process owns.
    pub(crate) keys: KeyTable,
    /// Executor of keyed runs; weak, because its tasks hold the proxy.
    pub(crate) executor: Weak<Executor<'static>>,
    /// State of the caller listener, for which draining waits.
    pub(crate) callers: Arc<ListenerState>,
    /// Limits the requests in progress.
    pub(crate) in_flight: Limiter,
    /// Limits the requests that wait for admission or a slot.
    pub(crate) waiting: Limiter,
}

/// Request in progress.
pub(super) struct Run<'a> {
    pub(super) context: &'a RequestContext,
    pub(super) prepared: &'a PreparedRequest,
    /// Claim of its key, if it has one.
    pub(super) claim: Option<&'a ClaimGuard>,
    pub(super) attempts: Attempts,
    /// Upstreams that were tried.
    pub(super) tried: Vec<UpstreamId>,
    /// Decision record for explanations.
    pub(super) decision: Decision,
}

/// Upstream address of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Destination {
    pub(super) address: SocketAddr,
    /// Maximum number of open connections to the upstream.
    pub(super) connection_limit: usize,
}

impl Destination {
    pub(super) fn of(slot: &Slot) -> Self {
        Self {
            address: slot.upstream().address,
            connection_limit: slot.connection_limit(),
        }
    }
}

/// Attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) id: AttemptId,
    pub(super) end: AttemptEnd,
}

impl<P: Dependencies> Proxy<P> {
    /// Answers a request with an upstream's answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream answered.
    pub(crate) async fn answer(
        self: &Arc<Self>,
        received: ReceivedRequest,
        target: Target,
        id: RequestId,
    ) -> Result<Answer, Refusal> {
        let context = RequestContext::resolve(&*self.deps, &self.options, &received, &target, id);
        let context =
            context.map_err(|refusal| refusal.with_outcome(outcome_before_key_check(&received)))?;
        let claim = match self.claim(&context, &received, &target) {
            Ok(claim) => claim,
            Err(immediate) => return self.answer_without_run(&context, immediate),
        };
        let prepared = PreparedRequest::new(received, &target, &context.request).await;
        let prepared = prepared.map_err(|_| not_encodable())?;
        if let Some(claim) = claim {
            return self.run_keyed(context, prepared, claim).await;
        }
        let answered = self.run(&context, &prepared, None).await;
        if let Err(refusal) = &answered {
            self.record_refusal(&context, refusal);
        }
        answered
    }

    /// Claims the key of a non-idempotent request, if it has one.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that must not be executed.
    fn claim(
        &self,
        context: &RequestContext,
        received: &ReceivedRequest,
        target: &Target,
    ) -> Result<Option<ClaimGuard>, ImmediateAnswer> {
        let key = received.head.head.headers.get(name::IDEMPOTENCY_KEY);
        let Some(key) = key.filter(|_| !context.terms.idempotent) else {
            return Ok(None);
        };
        let request = KeyedRequest {
            received,
            target,
            id: &context.request,
            key: key.as_str(),
        };
        begin(&*self.deps, &self.keys, request).map(Some)
    }

    pub(super) async fn run(
        &self,
        context: &RequestContext,
        prepared: &PreparedRequest,
        claim: Option<&ClaimGuard>,
    ) -> Result<Answer, Refusal> {
        let Some(_in_flight) = self.in_flight.try_acquire(1) else {
            let status = StatusCode::ServiceUnavailable;
            return Err(Refusal::not_run(status, "too-many-requests"));
        };
        let retry = self.deps.traffic().options().retry.clone();
        let mut run = Run {
            context,
            prepared,
            claim,
            attempts: Attempts::new(context.terms, retry),
            tried: Vec::new(),
            decision: self.new_decision(context),
        };
        let received_at = self.deps.clock().now();
        let answered = self.run_attempts(&mut run).await;
        let elapsed = self.deps.clock().now() - received_at;
        context
            .service
            .metrics()
            .seconds
            .record(elapsed.as_secs_f64());
        self.deps.explainer().record(run.decision);
        answered
    }

    async fn run_attempts(&self, run: &mut Run<'_>) -> Result<Answer, Refusal> {
        loop {
            let (admitted, slot) = match self.admit_and_take_slot(run).await {
                Ok(admitted) => admitted,
                Err(error) => {
                    run.decision.redirect(error.rule, None);
                    return Err(error.refusal.with_outcome(run.attempts.outcome()));
                }
            };
            let (ended, step) = self.attempt(run, &admitted, slot).await;
            match step {
                Step::Retry { after } => {
                    Timer::after(after).await;
                }
                Step::GiveUp(give_up) => {
                    return Err(give_up_refusal(give_up, ended.end.result()));
                }
                Step::Answer(_) | Step::Await | Step::Hedge => {
                    return ended.end.into_answer(run.attempts.outcome());
                }
            }
        }
    }

    async fn admit_and_take_slot(
        &self,
        run: &mut Run<'_>,
    ) -> Result<(Admitted, Slot), AdmissionError> {
        let admitted = self.admit(run.context).await?;
        let region = Some(admitted.region.clone());
        run.decision.redirect(admitted.rule, region);
        let slot = self
            .take_slot(run.context, &admitted.region, &run.tried)
            .await?;
        Ok((admitted, slot))
    }

    /// Sends one attempt and reads its answer.
    pub(super) async fn exchange(
        &self,
        context: &RequestContext,
        prepared: &PreparedRequest,
        destination: Destination,
    ) -> Result<Answer, Failure> {
        let address = destination.address;
        let now = self.deps.clock().now();
        let time_left = context.terms.deadline - now;
        let bytes = prepared.with_deadline(time_left);
        let request = UpstreamRequest {
            address,
            method: context.method,
            request: context.request.as_str(),
            request_id_echo: RequestIdEcho::RequiredIfSeen,
            bytes: &bytes,
            freshness: freshness(context),
            time_left,
        };
        let received = exchange(&self.pools, &self.options.limits, &request, now).await?;
        if let Some(connection) = received.connection {
            let now = self.deps.clock().now();
            let limit = destination.connection_limit;
            self.pools.put(address, connection, limit, now);
        }
        Ok(received.answer)
    }

    /// Records how an attempt ended and decides on the next step.
    pub(super) fn finish_attempt(
        &self,
        run: &mut Run<'_>,
        admitted: &Admitted,
        slot: Slot,
        ended: &mut EndedAttempt,
    ) -> Step {
        let end = &mut ended.end;
        let upstream = slot.upstream().clone();
        self.record_stated_rate(run.context, &slot, end);
        self.record_requested_rest(run.context, &slot, end);
        // The body of a long answer may end much later.
        if end.announces_drain() {
            slot.record_draining();
        }
        self.record_attempt(run.context, admitted, &upstream, end);
        let held = slot.held();
        end.release_slot(slot, held);
        let now = self.deps.clock().now();
        if let AttemptEnd::Answered(_) = end {
            run.context.service.record_latency(held);
        }
        let result = end.result();
        if let Some(claim) = run.claim.filter(|_| result.is_not_run()) {
            claim.mark_not_run();
        }
        run.decision.add_attempt(upstream.upstream, end.explained());
        let service = &run.context.service;
        let step = service.ended(&mut run.attempts, ended.id, result, now);
        let refused = matches!(result, AttemptResult::Rejected { .. });
        // A refusal counts against the region only if no other upstream could
        // take the request.
        if refused && matches!(step, Step::GiveUp(_)) {
            run.context.traffic.refused_by(&admitted.region, now);
        }
        step
    }
}

impl AttemptEnd {
    /// Releases the slot, after the body if that is streamed.
    fn release_slot(&mut self, slot: Slot, held: Duration) {
        let completion = self.completion(held);
        match self {
            Self::Answered(Answer {
                body: AnswerBody::Long(body),
                ..
            }) => body.hold(slot, completion),
            _ => slot.finish(completion),
        }
    }

    fn into_answer(self, outcome: Outcome) -> Result<Answer, Refusal> {
        match self {
            Self::Answered(answer) => Ok(answer),
            Self::Refused(_) | Self::Failed(_) => {
                let status = StatusCode::BadGateway;
                Err(Refusal::not_run(status, "no-answer").with_outcome(outcome))
            }
        }
    }
}

/// Returns the outcome of a request refused before its key is checked: an
/// earlier copy of it may have been executed.
fn outcome_before_key_check(received: &ReceivedRequest) -> Outcome {
    let key = received.head.head.headers.get(name::IDEMPOTENCY_KEY);
    key.map_or(Outcome::NotRun, |_| Outcome::Unknown)
}

fn not_encodable() -> Refusal {
    Refusal::not_run(StatusCode::BadRequest, "request-not-encodable")
}

/// Restricts non-idempotent requests to connections that the upstream is
/// unlikely to be closing.
fn freshness(context: &RequestContext) -> Freshness {
    if context.terms.idempotent {
        Freshness::Any
    } else {
        Freshness::Recent
    }
}
