//! Sends a second attempt beside a slow first one.

use super::attempt::AttemptReport;
use super::attempt_loop::AttemptLoop;
use super::target::Target;
use crate::admission::{
    Admitted,
    Slot,
    SlotAnswer, //
};
use crate::dialect::Dialect;
use crate::outcome::{
    AttemptEnd,
    HedgeEnd,
    Refusal,
    Reply,
    RequestTrace,
    SentHedge, //
};
use crate::state::Pick;
use foxtide_core::admission::Patience;
use foxtide_core::execution::SendId;
use foxtide_core::placement::AttemptResult;
use foxtide_core::retry::{
    HedgeClass,
    may_hedge, //
};
use futures_lite::future::or;
use smol::Timer;
use std::future::Future;
use std::pin::{
    Pin,
    pin, //
};
use std::time::{
    Duration,
    Instant, //
};

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) pick: Pick,
    pub(super) report: AttemptReport,
    pub(super) took: Duration,
}

/// An attempt in progress.
struct RunningAttempt {
    pick: Pick,
    send: SendId,
    /// The class of its latency; `None` if hedging is disabled.
    class: Option<HedgeClass>,
    began_at: Instant,
}

impl RunningAttempt {
    fn end(self, report: AttemptReport) -> EndedAttempt {
        EndedAttempt {
            took: self.began_at.elapsed(),
            pick: self.pick,
            report,
        }
    }
}

/// What happened first while an attempt was in progress.
enum Event<T> {
    /// The first attempt ended.
    First(AttemptReport),
    Other(T),
}

impl<'a, D: Dialect> AttemptLoop<'a, D> {
    /// Sends the request to a target. If it is idempotent and the response takes longer than usual,
    /// a second attempt runs beside the first one.
    pub(super) async fn send(&mut self, target: Target<'a>) -> EndedAttempt {
        let first = self.begin(target.pick);
        let registration = first.pick.registration.clone();
        let mut sent = pin!(self.sender().send(registration, target.slot));
        let Some(hedge_at) = self.hedge_at(&first) else {
            let report = sent.await;
            return self.end(first, report);
        };
        let slow = async { Event::Other(Timer::at(hedge_at).await) };
        if let Event::First(report) = or(ended(sent.as_mut()), slow).await {
            return self.end(first, report);
        }
        let own_trace = self.trace.clone();
        let prepared = async { Event::Other(self.prepare_hedge(&first.pick).await) };
        let event = or(ended(sent.as_mut()), prepared).await;
        let hedge_trace = std::mem::replace(&mut self.trace, own_trace);
        match event {
            Event::First(report) => self.end(first, report),
            Event::Other(None) => {
                let report = sent.await;
                self.end(first, report)
            }
            Event::Other(Some(hedge)) => self.send_beside(first, sent, hedge, &hedge_trace).await,
        }
    }

    /// Runs a hedge beside the first attempt and returns the one that ended with a response to
    /// deliver, or last. The other one is cancelled.
    async fn send_beside(
        &mut self,
        first: RunningAttempt,
        mut sent: Pin<&mut impl Future<Output = AttemptReport>>,
        hedge: Target<'a>,
        hedge_trace: &RequestTrace,
    ) -> EndedAttempt {
        let mut count = SentHedge::default();
        let second = self.begin(hedge.pick);
        let registration = second.pick.registration.clone();
        let mut hedge_sent = pin!(self.sender().send(registration, hedge.slot));
        let other = async { Event::Other(hedge_sent.as_mut().await) };
        match or(ended(sent.as_mut()), other).await {
            Event::First(report) if report.is_failure() => {
                let has_ended = report.has_ended;
                self.record_failure_beside(first, report);
                self.trace.adopt_slot(hedge_trace);
                let mut report = hedge_sent.await;
                count.end = if report.is_failure() {
                    HedgeEnd::Failed
                } else {
                    HedgeEnd::Won
                };
                report.has_ended |= has_ended;
                self.end(second, report)
            }
            Event::First(report) => {
                self.trace.record_attempt(&second.pick);
                self.end(first, report)
            }
            Event::Other(report) if report.is_failure() => {
                count.end = HedgeEnd::Failed;
                let has_ended = report.has_ended;
                self.record_failure_beside(second, report);
                let mut report = sent.await;
                report.has_ended |= has_ended;
                self.end(first, report)
            }
            Event::Other(report) => {
                count.end = HedgeEnd::Won;
                self.trace.record_attempt(&first.pick);
                self.trace.adopt_slot(hedge_trace);
                if let Some(class) = first.class {
                    let hedging = &self.shared.hedging;
                    hedging.record(class, first.began_at.elapsed());
                }
                self.end(second, report)
            }
        }
    }

    /// Returns when the request gets a hedge, if it may get one and the delay is known.
    fn hedge_at(&self, first: &RunningAttempt) -> Option<Instant> {
        let route = self.route;
        let attempts = self.sent_attempts + 1;
        let is_allowed = may_hedge(route.is_idempotent, attempts, route.attempts_max)
            && self.is_first_attempt()
            && !self.is_trial();
        let delay = self.shared.hedging.delay(first.class?)?;
        let hedge_at = first.began_at + delay;
        (is_allowed && hedge_at < self.deadline).then_some(hedge_at)
    }

    /// Acquires an idle slot at the next upstream of the region and a retry of the budget; counts
    /// a hedge that is not sent.
    async fn prepare_hedge(&mut self, first: &Pick) -> Option<Target<'a>> {
        let acquired = self.acquire_hedge(first).await;
        acquired.map_err(HedgeEnd::count).ok()
    }

    async fn acquire_hedge(&mut self, first: &Pick) -> Result<Target<'a>, HedgeEnd> {
        let picked_version = self.homes.version;
        let pick = self.pick_neighbour(first).map_err(|_| HedgeEnd::NoSlot)?;
        // A coordinator of another region grants nothing.
        if !self.is_near(&pick) {
            return Err(HedgeEnd::NoSlot);
        }
        let Admitted::Granted(Some(slot)) = self.admit(&pick, Patience::NoWait).await else {
            return Err(HedgeEnd::NoSlot);
        };
        if slot.answer() != SlotAnswer::Granted {
            return Err(HedgeEnd::NoSlot);
        }
        self.shared.wait_until_synced().await;
        if !self.may_send_hedge(&pick, &slot, picked_version) {
            return Err(HedgeEnd::NoSlot);
        }
        if !self.shared.state.lock().take_retry(self.service) {
            return Err(HedgeEnd::NoBudget);
        }
        let slot = Some(slot);
        Ok(Target { pick, slot })
    }

    /// Tells whether what holds for every send still holds for a hedge.
    fn may_send_hedge(&mut self, pick: &Pick, slot: &Slot<'_>, picked_version: u64) -> bool {
        self.recheck().is_none()
            && self.shared.state.lock().is_pick_valid(pick)
            && !self.is_held()
            && !self.lacks_grant(pick, Some(slot))
            && self.keeps_to_homes(pick, picked_version)
    }

    fn begin(&mut self, pick: Pick) -> RunningAttempt {
        let upstream = &pick.registration.upstream;
        let hedging = &self.shared.hedging;
        RunningAttempt {
            class: hedging.class(self.route.kind(), upstream, self.object),
            send: self.trace.sends.begin(upstream.as_str()),
            pick,
            began_at: Instant::now(),
        }
    }

    fn end(&mut self, attempt: RunningAttempt, report: AttemptReport) -> EndedAttempt {
        self.trace.sends.end(attempt.send, report.end.send_end());
        let hedging = &self.shared.hedging;
        if let (Some(class), AttemptResult::Answered { latency }) = (attempt.class, report.result) {
            hedging.record(class, latency);
            if let Some(object) = self.object {
                hedging.record_served(&attempt.pick.registration.upstream, object);
            }
        }
        attempt.end(report)
    }

    /// Records an attempt that failed while the other one runs, which decides on the reply.
    fn record_failure_beside(&mut self, attempt: RunningAttempt, report: AttemptReport) {
        let RunningAttempt {
            pick,
            send,
            began_at,
            ..
        } = attempt;
        let AttemptReport {
            end, connection, ..
        } = report;
        self.trace.sends.end(send, end.send_end());
        self.trace.connection = connection;
        let journal = &self.shared.journal;
        journal.attempt_failed(&self.trace, &pick, &end, began_at.elapsed());
        if matches!(end, AttemptEnd::Withdrawn) {
            return;
        }
        self.trace.record_attempt(&pick);
        self.tried.push(pick.registration.upstream.clone());
        match end {
            AttemptEnd::NotSent { .. } => {
                self.unsent_attempts += 1;
                return;
            }
            AttemptEnd::Responded(response) => {
                self.trace.reason = "upstream_error";
                self.failure = Some(Reply::Response(response));
            }
            AttemptEnd::Unknown { .. } => {
                self.trace.reason = "response_lost";
                self.failure = Some(Refusal::Failed.into());
            }
            AttemptEnd::TimedOut => {
                self.trace.reason = "time_up_at_upstream";
                self.failure = Some(Refusal::TimedOut.into());
            }
            AttemptEnd::NotRun {
                is_other_incarnation: true,
                ..
            } => {
                let mut state = self.shared.state.lock();
                state.discard_reused_address(&pick.registration);
            }
            AttemptEnd::NotRun { .. } | AttemptEnd::Withdrawn => {}
        }
        self.sent_attempts += 1;
    }
}

async fn ended<T>(sent: impl Future<Output = AttemptReport>) -> Event<T> {
    Event::First(sent.await)
}
