//! Runs a request: admission, a place at an upstream, attempts.

use super::attempt::AttemptEnd;
use super::place::Place;
use super::prepare::{Prepared, Target, facts};
use crate::answer::{Answer, Refusal};
use crate::clock::Clock;
use crate::events::RequestEvent;
use crate::options::EntryOptions;
use crate::outcome::Outcome;
use crate::parts::{Admission, Parts, Pick, Recorder, RequestFacts, Steer};
use crate::serve::Received;
use crate::upstream::{Failure, Freshness, Pools, UpstreamRequest, exchange};
use foxtide_core::ids::RegionId;
use foxtide_core::organisation::Upstream;
use foxtide_core::time::MonotonicTime;
use http_types::StatusCode;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// The most attempts for one request.
const ATTEMPTS_MAX: u32 = 3;

/// Sends requests to upstreams.
#[derive(Debug)]
pub(crate) struct Proxy<P> {
    /// What the request path works with.
    pub(crate) parts: Arc<P>,
    /// The settings.
    pub(crate) options: Arc<EntryOptions>,
    /// The connections to upstreams.
    pub(crate) pools: Arc<Pools>,
}

impl<P: Parts> Proxy<P> {
    /// Answers a request with an upstream's answer.
    ///
    /// # Errors
    ///
    /// Fails where no upstream gave one.
    pub(crate) async fn answer(
        &self,
        received: Received,
        target: Target,
        id: &str,
    ) -> Result<Answer, Refusal> {
        let facts = facts(&*self.parts, &self.options, &received, &target, id)?;
        let prepared = Prepared::new(received, &target, id);
        let answered = self.run(&facts, &prepared).await;
        if let Err(refusal) = &answered {
            self.parts.recorder().record(RequestEvent::Refused {
                request: &facts,
                outcome: refusal.outcome,
                reason: refusal.reason,
            });
        }
        answered
    }

    async fn run(&self, facts: &RequestFacts, prepared: &Prepared) -> Result<Answer, Refusal> {
        let mut known = Outcome::NotRun;
        for number in 1..=ATTEMPTS_MAX {
            let end = match self.attempt(facts, prepared).await {
                Ok(end) => end,
                // What earlier attempts did is not undone by this refusal.
                Err(refusal) => return Err(refusal.with_outcome(known)),
            };
            known = known.max(end.outcome());
            match end {
                AttemptEnd::Answered(answer) => return Ok(answer),
                _ if number < ATTEMPTS_MAX && self.may_repeat(facts, known) => {}
                end => return Err(self.give_up(facts, &end).with_outcome(known)),
            }
        }
        Err(Refusal::not_run(StatusCode::ServiceUnavailable, "no-answer").with_outcome(known))
    }

    /// Tells whether another attempt can neither run the request twice nor
    /// come too late.
    fn may_repeat(&self, facts: &RequestFacts, known: Outcome) -> bool {
        let harmless = known == Outcome::NotRun || facts.idempotent;
        harmless && self.parts.clock().now() < facts.deadline
    }

    fn give_up(&self, facts: &RequestFacts, end: &AttemptEnd) -> Refusal {
        let in_time = self.parts.clock().now() < facts.deadline;
        let (status, reason) = match end {
            AttemptEnd::Refused(_) => (StatusCode::ServiceUnavailable, "refused-by-upstream"),
            _ if !in_time => (StatusCode::GatewayTimeout, "deadline"),
            AttemptEnd::Failed(failure) if failure.sent_bytes == 0 => {
                (StatusCode::ServiceUnavailable, "upstream-unreachable")
            }
            _ => (StatusCode::BadGateway, "upstream-broke"),
        };
        Refusal::not_run(status, reason)
    }

    async fn attempt(
        &self,
        facts: &RequestFacts,
        prepared: &Prepared,
    ) -> Result<AttemptEnd, Refusal> {
        let region = self.admit(facts).await?;
        let (place, upstream) = self.pick(facts, &region).await?;
        let result = self.exchange(facts, prepared, &upstream).await;
        let end = AttemptEnd::of(result);
        place.finish(end.completion_kind(), end.load(), end.says_leaving());
        self.record(facts, &upstream, &end);
        Ok(end)
    }

    /// Waits until the request may be sent to a region.
    async fn admit(&self, facts: &RequestFacts) -> Result<RegionId, Refusal> {
        loop {
            let now = self.parts.clock().now();
            let waited = now - facts.received_at;
            match self.parts.steer().admit(facts, waited, now) {
                Admission::Send { region, .. } => return Ok(region),
                Admission::Wait { retry_in } => wait(facts, retry_in, now, "no-room").await?,
                Admission::Refuse {
                    reason,
                    retry_after,
                } => {
                    let status = StatusCode::ServiceUnavailable;
                    let refusal = Refusal::not_run(status, reason);
                    return Err(Refusal {
                        retry_after,
                        ..refusal
                    });
                }
            }
        }
    }

    /// Waits until an upstream of the region has a place.
    async fn pick(
        &self,
        facts: &RequestFacts,
        region: &RegionId,
    ) -> Result<(Place<'_, P>, Upstream), Refusal> {
        loop {
            let now = self.parts.clock().now();
            match self.parts.steer().pick(facts, region, now) {
                Pick::Take { ticket, upstream } => {
                    return Ok((Place::new(&*self.parts, ticket, now), upstream));
                }
                Pick::Wait { retry_in } => wait(facts, retry_in, now, "no-slot").await?,
                Pick::Empty => {
                    let status = StatusCode::ServiceUnavailable;
                    return Err(Refusal::not_run(status, "no-upstream"));
                }
            }
        }
    }

    async fn exchange(
        &self,
        facts: &RequestFacts,
        prepared: &Prepared,
        upstream: &Upstream,
    ) -> Result<Answer, Failure> {
        let now = self.parts.clock().now();
        let time_left = facts.deadline - now;
        let bytes = prepared.encode(time_left).await;
        let bytes = bytes.map_err(|error| Failure::unsent(upstream.address, error))?;
        let request = UpstreamRequest {
            address: upstream.address,
            method: facts.method,
            request: &facts.request,
            bytes: &bytes,
            freshness: freshness(facts),
            time_left,
        };
        let got = exchange(&self.pools, &self.options.limits, &request, now).await?;
        if let Some(connection) = got.connection {
            let now = self.parts.clock().now();
            self.pools.put(upstream.address, connection, now);
        }
        Ok(got.answer)
    }

    fn record(&self, facts: &RequestFacts, upstream: &Upstream, end: &AttemptEnd) {
        let recorder = self.parts.recorder();
        match end {
            AttemptEnd::Answered(answer) => recorder.record(RequestEvent::Answered {
                request: facts,
                upstream: &upstream.upstream,
                region: &upstream.region,
                status: answer.status.into(),
                latency: self.parts.clock().now() - facts.received_at,
            }),
            AttemptEnd::Refused(_) => self.record_failure(facts, upstream, end, "refused"),
            AttemptEnd::Failed(failure) => {
                self.record_failure(facts, upstream, end, &failure.to_string());
            }
        }
    }

    fn record_failure(
        &self,
        facts: &RequestFacts,
        upstream: &Upstream,
        end: &AttemptEnd,
        cause: &str,
    ) {
        self.parts.recorder().record(RequestEvent::AttemptFailed {
            request: facts,
            upstream: &upstream.upstream,
            region: &upstream.region,
            outcome: end.outcome(),
            cause,
        });
    }
}

/// A request that must not run twice is not sent over a connection that the
/// upstream may be closing.
fn freshness(facts: &RequestFacts) -> Freshness {
    if facts.idempotent {
        Freshness::Any
    } else {
        Freshness::Recent
    }
}

/// Waits, unless the deadline would pass first; then the caller is told at once.
async fn wait(
    facts: &RequestFacts,
    retry_in: Duration,
    now: MonotonicTime,
    reason: &'static str,
) -> Result<(), Refusal> {
    if now + retry_in >= facts.deadline {
        return Err(Refusal::not_run(StatusCode::ServiceUnavailable, reason));
    }
    Timer::after(retry_in).await;
    Ok(())
}
