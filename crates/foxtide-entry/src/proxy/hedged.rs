//! One attempt, and a second beside it where the first is slow.

use super::admission::Admitted;
use super::attempt::AttemptEnd;
use super::run::{
    Destination,
    Ended,
    Proxy,
    Run, //
};
use crate::answer::Answer;
use crate::clock::Clock;
use crate::parts::Parts;
use crate::time_limit::within;
use crate::traffic::{
    Choice,
    Place, //
};
use crate::upstream::Failure;
use foxtide_core::explain::{
    AttemptResult,
    Rule, //
};
use foxtide_core::ids::RegionId;
use foxtide_core::retry::{
    AttemptId,
    Step, //
};
use foxtide_core::steering::Admission;
use foxtide_core::time::MonotonicTime;
use futures_util::future::{
    Either,
    select, //
};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// An attempt that holds its place.
struct Attempt {
    id: AttemptId,
    admitted: Admitted,
    place: Place,
}

impl<P: Parts> Proxy<P> {
    /// Runs an attempt to its end and decides what follows.
    pub(super) async fn attempt(
        &self,
        run: &mut Run<'_>,
        admitted: &Admitted,
        place: Place,
    ) -> (Ended, Step) {
        let first = self.begin(run, admitted.clone(), place);
        match run.attempts.hedge_at() {
            None => {
                let result = self.send(run, &first).await;
                self.end(run, first, result)
            }
            Some(at) => self.attempt_hedged(run, first, at).await,
        }
    }

    fn send<'a>(
        &'a self,
        run: &Run<'a>,
        attempt: &Attempt,
    ) -> impl Future<Output = Result<Answer, Failure>> + use<'a, P> {
        let destination = Destination::of(&attempt.place);
        self.exchange(run.facts, run.prepared, destination)
    }

    /// Runs an attempt and, where it is slow, a second beside it; the first
    /// whole answer wins and the other attempt is cancelled.
    async fn attempt_hedged(
        &self,
        run: &mut Run<'_>,
        first: Attempt,
        at: MonotonicTime,
    ) -> (Ended, Step) {
        let mut first_result = pin!(self.send(run, &first));
        let delay = at - self.parts.clock().now();
        if let Ok(result) = within(delay, first_result.as_mut()).await {
            return self.end(run, first, result);
        }
        let Some(second) = self.begin_hedge(run, &first.admitted.region) else {
            let result = first_result.await;
            return self.end(run, first, result);
        };
        let second_result = pin!(self.send(run, &second));
        match select(first_result, second_result).await {
            Either::Left((result, rest)) => self.settle(run, first, result, second, rest).await,
            Either::Right((result, rest)) => self.settle(run, second, result, first, rest).await,
        }
    }

    /// Begins a second attempt, where the upstreams of the first one's region
    /// are idle enough, and the budget and the limits allow it now.
    fn begin_hedge(&self, run: &mut Run<'_>, first_region: &RegionId) -> Option<Attempt> {
        let facts = run.facts;
        if !facts.service.region(first_region)?.has_spare_capacity() {
            return None;
        }
        let now = self.parts.clock().now();
        if facts.service.hedge(&mut run.attempts, now) != Step::Hedge {
            return None;
        }
        let admission = self.try_admit(facts, fastrand::f64(), Duration::ZERO, now);
        let Admission::Send { region, .. } = admission else {
            return None;
        };
        let of_region = facts.service.region(&region)?;
        let Choice::Taken(place) = of_region.take(&run.tried, now) else {
            return None;
        };
        let rule = Rule::Weighted;
        Some(self.begin(run, Admitted { region, rule }, place))
    }

    /// Notes the end of one of two attempts; waits for the other where its
    /// answer is still wanted, else drops it.
    async fn settle(
        &self,
        run: &mut Run<'_>,
        ended: Attempt,
        result: Result<Answer, Failure>,
        other: Attempt,
        other_result: impl Future<Output = Result<Answer, Failure>>,
    ) -> (Ended, Step) {
        let (ended, step) = self.end(run, ended, result);
        if step == Step::Await {
            let result = other_result.await;
            return self.end(run, other, result);
        }
        let upstream = other.place.upstream().upstream.clone();
        run.decision.add_attempt(upstream, AttemptResult::Cancelled);
        (ended, step)
    }

    fn begin(&self, run: &mut Run<'_>, admitted: Admitted, place: Place) -> Attempt {
        run.tried.push(place.upstream().upstream.clone());
        if let Some(claim) = run.claim {
            claim.written();
        }
        Attempt {
            id: run.attempts.begin(self.parts.clock().now()),
            admitted,
            place,
        }
    }

    fn end(
        &self,
        run: &mut Run<'_>,
        attempt: Attempt,
        result: Result<Answer, Failure>,
    ) -> (Ended, Step) {
        let mut ended = Ended {
            id: attempt.id,
            end: AttemptEnd::of(result),
        };
        let step = self.note_end(run, &attempt.admitted, attempt.place, &mut ended);
        (ended, step)
    }
}
