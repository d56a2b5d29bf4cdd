//! Runs attempts and hedges slow ones with a second attempt.

use super::admission::Admitted;
use super::attempt::AttemptEnd;
use super::run::{
    Destination,
    EndedAttempt,
    Proxy,
    Run, //
};
use crate::answer::Answer;
use crate::clock::Clock;
use crate::dependencies::Dependencies;
use crate::timeout::timeout;
use crate::traffic::{
    Slot,
    SlotChoice, //
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

/// Attempt in progress, with its slot.
struct Attempt {
    id: AttemptId,
    admitted: Admitted,
    slot: Slot,
}

impl<P: Dependencies> Proxy<P> {
    /// Runs an attempt, hedged if allowed, and decides on the next step.
    pub(super) async fn attempt(
        &self,
        run: &mut Run<'_>,
        admitted: &Admitted,
        slot: Slot,
    ) -> (EndedAttempt, Step) {
        let first = self.begin(run, admitted.clone(), slot);
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
        let destination = Destination::of(&attempt.slot);
        self.exchange(run.context, run.prepared, destination)
    }

    /// Runs an attempt and, if it is slow, a second one in parallel. The first
    /// complete answer wins and the other attempt is cancelled.
    async fn attempt_hedged(
        &self,
        run: &mut Run<'_>,
        first: Attempt,
        at: MonotonicTime,
    ) -> (EndedAttempt, Step) {
        let mut first_result = pin!(self.send(run, &first));
        let delay = at - self.deps.clock().now();
        if let Ok(result) = timeout(delay, first_result.as_mut()).await {
            return self.end(run, first, result);
        }
        let Some(second) = self.begin_hedge(run, &first.admitted.region) else {
            let result = first_result.await;
            return self.end(run, first, result);
        };
        let second_result = pin!(self.send(run, &second));
        match select(first_result, second_result).await {
            Either::Left((result, rest)) => {
                self.finish_hedged(run, first, result, second, rest).await
            }
            Either::Right((result, rest)) => {
                self.finish_hedged(run, second, result, first, rest).await
            }
        }
    }

    /// Begins a second attempt if the first region has spare capacity and the
    /// retry budget and admission allow it.
    fn begin_hedge(&self, run: &mut Run<'_>, first_region: &RegionId) -> Option<Attempt> {
        let context = run.context;
        if !context.service.region(first_region)?.has_spare_capacity() {
            return None;
        }
        let now = self.deps.clock().now();
        if context.service.hedge(&mut run.attempts, now) != Step::Hedge {
            return None;
        }
        let admission = self.try_admit(context, fastrand::f64(), Duration::ZERO, now);
        let Admission::Send { region, .. } = admission else {
            return None;
        };
        let region_traffic = context.service.region(&region)?;
        let SlotChoice::Taken(slot) = region_traffic.take(&run.tried, now) else {
            return None;
        };
        let rule = Rule::Weighted;
        Some(self.begin(run, Admitted { region, rule }, slot))
    }

    /// Records the end of one of two attempts, then awaits the other or cancels
    /// it.
    async fn finish_hedged(
        &self,
        run: &mut Run<'_>,
        ended: Attempt,
        result: Result<Answer, Failure>,
        other: Attempt,
        other_result: impl Future<Output = Result<Answer, Failure>>,
    ) -> (EndedAttempt, Step) {
        let (ended, step) = self.end(run, ended, result);
        if step == Step::Await {
            let result = other_result.await;
            return self.end(run, other, result);
        }
        let upstream = other.slot.upstream().upstream.clone();
        run.decision.add_attempt(upstream, AttemptResult::Cancelled);
        (ended, step)
    }

    fn begin(&self, run: &mut Run<'_>, admitted: Admitted, slot: Slot) -> Attempt {
        run.tried.push(slot.upstream().upstream.clone());
        if let Some(claim) = run.claim {
            claim.mark_written();
        }
        Attempt {
            id: run.attempts.begin(self.deps.clock().now()),
            admitted,
            slot,
        }
    }

    fn end(
        &self,
        run: &mut Run<'_>,
        attempt: Attempt,
        result: Result<Answer, Failure>,
    ) -> (EndedAttempt, Step) {
        let mut ended = EndedAttempt {
            id: attempt.id,
            end: AttemptEnd::of(result),
        };
        let step = self.finish_attempt(run, &attempt.admitted, attempt.slot, &mut ended);
        (ended, step)
    }
}
