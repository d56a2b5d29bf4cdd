//! Runs a request over its attempts.

use super::admission::{
    Admitted,
    Unplaced, //
};
use super::attempt::AttemptEnd;
use super::given_up::given_up;
use super::keys::{
    HeldClaim,
    KeyTable,
    KeyedRequest,
    Settled,
    begin, //
};
use super::prepare::Prepared;
use crate::answer::{
    Answer,
    AnswerBody,
    Refusal, //
};
use crate::bounded::Bounded;
use crate::clock::Clock;
use crate::facts::{
    Facts,
    Target, //
};
use crate::options::EntryOptions;
use crate::parts::Parts;
use crate::serve::{
    Received,
    ServeState, //
};
use crate::traffic::Place;
use crate::upstream::{
    Failure,
    Freshness,
    Naming,
    Pools,
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

/// Sends requests to upstreams.
#[derive(Debug)]
pub(crate) struct Proxy<P> {
    /// What the request path works with.
    pub(crate) parts: Arc<P>,
    /// The settings.
    pub(crate) options: Arc<EntryOptions>,
    /// The connections to upstreams.
    pub(crate) pools: Arc<Pools>,
    /// The idempotency keys of this process.
    pub(crate) keys: KeyTable,
    /// What runs tasks. Weak, for tasks hold the proxy.
    pub(crate) executor: Weak<Executor<'static>>,
    /// What a planned stop waits for.
    pub(crate) callers: Arc<ServeState>,
    /// The requests under way.
    pub(crate) in_flight: Bounded,
    /// Those of them that wait for room.
    pub(crate) waiting: Bounded,
}

/// A request on its way.
pub(super) struct Run<'a> {
    /// What is known of it.
    pub(super) facts: &'a Facts,
    /// What is sent.
    pub(super) prepared: &'a Prepared,
    /// The right to run its key, where it has one.
    pub(super) claim: Option<&'a HeldClaim>,
    /// Its attempts.
    pub(super) attempts: Attempts,
    /// The upstreams that it was sent to.
    pub(super) tried: Vec<UpstreamId>,
    /// Why it went where it did.
    pub(super) decision: Decision,
}

/// Where an attempt is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Destination {
    /// The upstream's address.
    pub(super) address: SocketAddr,
    /// How many connections may be open to it.
    pub(super) connection_limit: usize,
}

impl Destination {
    /// Returns the destination of a place.
    pub(super) fn of(place: &Place) -> Self {
        Self {
            address: place.upstream().address,
            connection_limit: place.connection_limit(),
        }
    }
}

/// An attempt that has ended.
pub(super) struct Ended {
    /// Which.
    pub(super) id: AttemptId,
    /// How.
    pub(super) end: AttemptEnd,
}

impl<P: Parts> Proxy<P> {
    /// Answers a request with an upstream's answer.
    ///
    /// # Errors
    ///
    /// Fails where no upstream gave one.
    pub(crate) async fn answer(
        self: &Arc<Self>,
        received: Received,
        target: Target,
        id: RequestId,
    ) -> Result<Answer, Refusal> {
        let facts = Facts::of(&*self.parts, &self.options, &received, &target, id);
        let facts = facts.map_err(|refusal| refusal.with_outcome(earlier_outcome(&received)))?;
        let claim = match self.claim(&facts, &received, &target) {
            Ok(claim) => claim,
            Err(settled) => return self.answer_without_run(&facts, settled),
        };
        let prepared = Prepared::new(received, &target, &facts.request).await;
        let prepared = prepared.map_err(|_| unencodable())?;
        if let Some(claim) = claim {
            return self.run_keyed(facts, prepared, claim).await;
        }
        let answered = self.run(&facts, &prepared, None).await;
        if let Err(refusal) = &answered {
            self.record_refusal(&facts, refusal);
        }
        answered
    }

    /// Decides about the key of a request that must not run twice.
    ///
    /// # Errors
    ///
    /// Fails with what the request gets where it is not run.
    fn claim(
        &self,
        facts: &Facts,
        received: &Received,
        target: &Target,
    ) -> Result<Option<HeldClaim>, Settled> {
        let key = received.head.head.headers.get(name::IDEMPOTENCY_KEY);
        let Some(key) = key.filter(|_| !facts.terms.idempotent) else {
            return Ok(None);
        };
        let request = KeyedRequest {
            received,
            target,
            id: &facts.request,
            key: key.as_str(),
        };
        begin(&*self.parts, &self.keys, request).map(Some)
    }

    pub(super) async fn run(
        &self,
        facts: &Facts,
        prepared: &Prepared,
        claim: Option<&HeldClaim>,
    ) -> Result<Answer, Refusal> {
        let Some(_in_flight) = self.in_flight.enter(1) else {
            let status = StatusCode::ServiceUnavailable;
            return Err(Refusal::not_run(status, "too-many-requests"));
        };
        let retry = self.parts.traffic().options().retry.clone();
        let mut run = Run {
            facts,
            prepared,
            claim,
            attempts: Attempts::new(facts.terms, retry),
            tried: Vec::new(),
            decision: self.undecided(facts),
        };
        let received_at = self.parts.clock().now();
        let answered = self.run_attempts(&mut run).await;
        let took = self.parts.clock().now() - received_at;
        facts.service.metrics().seconds.record(took.as_secs_f64());
        self.parts.explainer().record(run.decision);
        answered
    }

    async fn run_attempts(&self, run: &mut Run<'_>) -> Result<Answer, Refusal> {
        loop {
            let (admitted, place) = match self.admit_and_place(run).await {
                Ok(placed) => placed,
                Err(unplaced) => {
                    run.decision.redirect(unplaced.rule, None);
                    return Err(unplaced.refusal.with_outcome(run.attempts.outcome()));
                }
            };
            let (ended, step) = self.attempt(run, &admitted, place).await;
            match step {
                Step::Retry { after } => {
                    Timer::after(after).await;
                }
                Step::GiveUp(give_up) => {
                    return Err(given_up(give_up, ended.end.result()));
                }
                Step::Answer(_) | Step::Await | Step::Hedge => {
                    return ended.end.into_answer(run.attempts.outcome());
                }
            }
        }
    }

    async fn admit_and_place(&self, run: &mut Run<'_>) -> Result<(Admitted, Place), Unplaced> {
        let admitted = self.admit(run.facts).await?;
        let region = Some(admitted.region.clone());
        run.decision.redirect(admitted.rule, region);
        let place = self.place(run.facts, &admitted.region, &run.tried).await?;
        Ok((admitted, place))
    }

    /// Sends one attempt and reads its answer.
    pub(super) async fn exchange(
        &self,
        facts: &Facts,
        prepared: &Prepared,
        destination: Destination,
    ) -> Result<Answer, Failure> {
        let address = destination.address;
        let now = self.parts.clock().now();
        let time_left = facts.terms.deadline - now;
        let bytes = prepared.with_deadline(time_left);
        let request = UpstreamRequest {
            address,
            method: facts.method,
            request: facts.request.as_str(),
            naming: Naming::AsBefore,
            bytes: &bytes,
            freshness: freshness(facts),
            time_left,
        };
        let got = exchange(&self.pools, &self.options.limits, &request, now).await?;
        if let Some(connection) = got.connection {
            let now = self.parts.clock().now();
            let limit = destination.connection_limit;
            self.pools.put(address, connection, limit, now);
        }
        Ok(got.answer)
    }

    /// Notes how an attempt ended and decides what follows.
    pub(super) fn note_end(
        &self,
        run: &mut Run<'_>,
        admitted: &Admitted,
        place: Place,
        ended: &mut Ended,
    ) -> Step {
        let end = &mut ended.end;
        let upstream = place.upstream().clone();
        self.record_attempt(run.facts, admitted, &upstream, end);
        let held = place.held();
        end.give_back(place, held);
        let now = self.parts.clock().now();
        if let AttemptEnd::Answered(_) = end {
            run.facts.service.answered(held);
        }
        let result = end.result();
        if let Some(claim) = run.claim.filter(|_| result.is_not_run()) {
            claim.proved_not_run();
        }
        run.decision.add_attempt(upstream.upstream, end.explained());
        let service = &run.facts.service;
        let step = service.ended(&mut run.attempts, ended.id, result, now);
        let refused = matches!(result, AttemptResult::Refused { .. });
        // One upstream that refuses says nothing of its region; a request for
        // which nothing else could be found there does.
        if refused && matches!(step, Step::GiveUp(_)) {
            run.facts.traffic.refused_by(&admitted.region, now);
        }
        step
    }
}

impl AttemptEnd {
    /// Gives the place back, at the end of the body where that is still to come.
    fn give_back(&mut self, place: Place, held: Duration) {
        let completion = self.completion(held);
        match self {
            Self::Answered(Answer {
                body: AnswerBody::Long(body),
                ..
            }) => body.hold(place, completion),
            _ => place.finish(completion),
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

/// Returns what is known of earlier copies of a request that is refused before
/// its key is looked at: one of them may have run.
fn earlier_outcome(received: &Received) -> Outcome {
    let key = received.head.head.headers.get(name::IDEMPOTENCY_KEY);
    key.map_or(Outcome::NotRun, |_| Outcome::Unknown)
}

fn unencodable() -> Refusal {
    Refusal::not_run(StatusCode::BadRequest, "request-not-encodable")
}

/// A request that must not run twice is not sent over a connection that the
/// upstream may be closing.
fn freshness(facts: &Facts) -> Freshness {
    if facts.terms.idempotent {
        Freshness::Any
    } else {
        Freshness::Recent
    }
}
