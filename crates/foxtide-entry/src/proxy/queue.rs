//! Waits for admission to a region and for a free slot at an upstream.

use super::admission::{
    AdmissionError,
    Admitted, //
};
use super::run::Proxy;
use crate::answer::Refusal;
use crate::clock::Clock;
use crate::dependencies::Dependencies;
use crate::limiter::Permit;
use crate::request_context::RequestContext;
use crate::traffic::{
    RegionTraffic,
    Slot,
    SlotChoice, //
};
use foxtide_core::explain::Rule;
use foxtide_core::ids::{
    RegionId,
    UpstreamId, //
};
use foxtide_core::steering::Admission;
use foxtide_core::time::MonotonicTime;
use http_types::StatusCode;
use smol::Timer;
use smol::future::or;
use std::sync::Arc;
use std::time::Duration;

impl<P: Dependencies> Proxy<P> {
    /// Waits until the request is admitted to a region.
    pub(super) async fn admit(&self, context: &RequestContext) -> Result<Admitted, AdmissionError> {
        let draw = fastrand::f64();
        let started_at = self.deps.clock().now();
        let mut now = started_at;
        let mut waiting = None;
        loop {
            match self.try_admit(context, draw, now - started_at, now) {
                Admission::Send { region, spilled } => {
                    let rule = if spilled {
                        Rule::Spilled
                    } else {
                        Rule::Weighted
                    };
                    return Ok(Admitted { region, rule });
                }
                Admission::Wait { retry_in } => {
                    check_deadline(context, now + retry_in, "no-room")?;
                    self.enter_queue(&mut waiting)?;
                    Timer::after(retry_in).await;
                    now = self.deps.clock().now();
                }
                Admission::Reject {
                    reason,
                    retry_after,
                } => return Err(AdmissionError::not_admitted(reason, retry_after)),
            }
        }
    }

    /// Asks the steering once whether the request may be sent.
    pub(super) fn try_admit(
        &self,
        context: &RequestContext,
        draw: f64,
        waited: Duration,
        now: MonotonicTime,
    ) -> Admission {
        let origin = context.origin.as_ref();
        let service = context.service.id();
        let admission = context.traffic.admit(service, origin, draw, waited, now);
        if let Admission::Send { region, spilled } = &admission
            && let Some(traffic) = context.service.region(region)
        {
            traffic.count_sent(*spilled);
        }
        admission
    }

    /// Waits for a free slot at an upstream of the region.
    pub(super) async fn take_slot(
        &self,
        context: &RequestContext,
        region: &RegionId,
        tried: &[UpstreamId],
    ) -> Result<Slot, AdmissionError> {
        let Some(region) = context.service.region(region) else {
            return Err(AdmissionError::no_upstream());
        };
        // Fast path without a listener.
        if let SlotChoice::Taken(slot) = region.take(tried, self.deps.clock().now()) {
            return Ok(slot);
        }
        self.wait_for_slot(context, &region, tried).await
    }

    async fn wait_for_slot(
        &self,
        context: &RequestContext,
        region: &Arc<RegionTraffic>,
        tried: &[UpstreamId],
    ) -> Result<Slot, AdmissionError> {
        let mut waiting = None;
        loop {
            // Listens before the check, so that no released slot is missed.
            let freed = region.slot_freed();
            let now = self.deps.clock().now();
            match region.take(tried, now) {
                SlotChoice::Taken(slot) => return Ok(slot),
                SlotChoice::Throttled(retry_in) => {
                    return Err(AdmissionError::rate_limited(retry_in));
                }
                SlotChoice::Resting(retry_in) => {
                    return Err(AdmissionError::upstreams_resting(retry_in));
                }
                SlotChoice::NoUpstream => return Err(AdmissionError::no_upstream()),
                SlotChoice::Wait(retry_in) => {
                    check_deadline(context, now, "no-slot")?;
                    self.enter_queue(&mut waiting)?;
                    let wait = retry_in.min(context.terms.deadline - now);
                    let timer = async {
                        Timer::after(wait).await;
                    };
                    or(freed, timer).await;
                }
            }
        }
    }
}

impl<P: Dependencies> Proxy<P> {
    /// Counts the request as waiting, unless the queue is full.
    fn enter_queue(&self, waiting: &mut Option<Permit>) -> Result<(), AdmissionError> {
        if waiting.is_none() {
            *waiting = Some(
                self.waiting
                    .try_acquire(1)
                    .ok_or_else(AdmissionError::queue_full)?,
            );
        }
        Ok(())
    }
}

/// Refuses a request whose next step would come after its deadline.
fn check_deadline(
    context: &RequestContext,
    next: MonotonicTime,
    reason: &'static str,
) -> Result<(), AdmissionError> {
    if next < context.terms.deadline {
        return Ok(());
    }
    Err(AdmissionError {
        refusal: Refusal::not_run(StatusCode::ServiceUnavailable, reason),
        rule: Rule::Deadline,
    })
}
