//! Admits or rejects attempts to send a request.

use super::admission::{
    Admission,
    RejectionReason, //
};
use super::destinations::{
    LimitExhausted,
    LimitKind, //
};
use super::engine::Steering;
use super::service::{
    Drawn,
    ServiceState, //
};
use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::time::MonotonicTime;
use std::time::Duration;

/// The minimum retry-after of a rejected request.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// The maximum retry-after of a rejected request.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// The minimum time between two attempts of a waiting request.
const RETRY_IN_MIN: Duration = Duration::from_millis(1);

impl Steering {
    /// Decides on one attempt for a caller of this instance's region.
    ///
    /// Every attempt needs admission, including retries and hedges, as the
    /// region receives each of them. `draw` is uniform in `[0, 1)` and constant
    /// while the request waits; `waited` is the time waited so far, zero for a
    /// new request.
    pub fn admit(
        &mut self,
        service: &ServiceId,
        draw: f64,
        waited: Duration,
        now: MonotonicTime,
    ) -> Admission {
        self.admit_at(0, service, draw, waited, now)
    }

    /// Decides on one attempt for a caller of any region.
    ///
    /// Callers use instances of another region when their own region has none.
    /// They keep the row of their own region, which changes under the shift
    /// cap; [`Self::admit`] would move their requests at once.
    pub fn admit_from(
        &mut self,
        service: &ServiceId,
        origin: &RegionId,
        draw: f64,
        waited: Duration,
        now: MonotonicTime,
    ) -> Admission {
        let origin = self.origin_index(origin);
        self.admit_at(origin, service, draw, waited, now)
    }

    fn admit_at(
        &mut self,
        origin: usize,
        service: &ServiceId,
        draw: f64,
        waited: Duration,
        now: MonotonicTime,
    ) -> Admission {
        let Some(index) = self.names.service(service) else {
            return reject(RejectionReason::UnknownService, RETRY_AFTER_MAX);
        };
        let admission = self.admit_service(origin, index, draw, waited, now);
        self.origins[origin].services[index].record(&admission, now);
        admission
    }

    fn admit_service(
        &mut self,
        origin: usize,
        index: usize,
        draw: f64,
        waited: Duration,
        now: MonotonicTime,
    ) -> Admission {
        let ready = self.rows_are_current(now);
        let state = &mut self.origins[origin].services[index];
        if waited.is_zero() {
            state.count_arrival();
        }
        if !ready || state.row.is_none() {
            return reject(RejectionReason::NotReady, self.options.startup_wait);
        }
        let Some(drawn) = state.draw(draw, now) else {
            return reject_unserved(state);
        };
        match self.destinations.try_acquire(drawn.index, now) {
            Ok(()) => self.send(drawn),
            Err(exhausted) => {
                let without_capacity = self.retry_without_capacity();
                let state = &self.origins[origin].services[index];
                wait_or_reject(state, exhausted, waited, without_capacity)
            }
        }
    }

    /// Reduces this instance's rate to a region that rejected a request.
    pub fn record_rejection(&mut self, region: &RegionId, now: MonotonicTime) {
        self.destinations.record_rejection(region, now);
    }

    /// Returns the retry-after while the allocation is zero. A new instance gets its
    /// allocation after the growth window.
    fn retry_without_capacity(&self) -> Duration {
        match self.destinations.has_settled() {
            true => RETRY_AFTER_MAX,
            false => self.options.growth_window,
        }
    }

    fn send(&self, drawn: Drawn) -> Admission {
        Admission::Send {
            region: self.names.regions[drawn.index].clone(),
            spilled: drawn.spilled,
        }
    }
}

fn reject_unserved(state: &ServiceState) -> Admission {
    let served_later = state.wanted.iter().any(|share| *share > 0.0);
    let reason = if served_later {
        RejectionReason::ShiftCap
    } else {
        RejectionReason::NoRegion
    };
    reject(reason, state.time_to_full_service())
}

fn wait_or_reject(
    state: &ServiceState,
    exhausted: LimitExhausted,
    waited: Duration,
    without_capacity: Duration,
) -> Admission {
    let retry_in = exhausted.next_in.map(|next| next.max(RETRY_IN_MIN));
    match retry_in.filter(|next| waited + *next <= state.priority.queue_max) {
        Some(retry_in) => Admission::Wait { retry_in },
        None => reject(
            exhausted.limit.into(),
            exhausted.next_in.unwrap_or(without_capacity),
        ),
    }
}

impl From<LimitKind> for RejectionReason {
    fn from(limit: LimitKind) -> Self {
        match limit {
            LimitKind::Region => Self::RegionLimit,
            LimitKind::Link => Self::LinkLimit,
        }
    }
}

fn reject(reason: RejectionReason, retry_after: Duration) -> Admission {
    Admission::Reject {
        reason,
        retry_after: retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
    }
}
