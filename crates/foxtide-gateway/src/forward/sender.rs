//! Sends a request to an upstream and records the result.

use super::attempt::{
    AttemptReport,
    attempt, //
};
use super::attempt_guard::AttemptGuard;
use super::attempt_loop::AttemptLoop;
use super::request::CallerRequest;
use crate::admission::Slot;
use crate::dialect::{
    CallerIdentity,
    Dialect, //
};
use crate::poison;
use crate::shared::Shared;
use foxtide_core::placement::AttemptResult;
use foxtide_core::poison::Fingerprint;
use foxtide_core::registry::Registration;
use std::sync::Arc;
use std::time::Instant;

/// What an attempt needs of its request. It borrows nothing of the loop, which can prepare another
/// attempt meanwhile.
pub(super) struct Sender<'a, D> {
    shared: &'a Arc<Shared<D>>,
    request: &'a CallerRequest,
    caller: &'a CallerIdentity,
    is_idempotent: bool,
    deadline: Instant,
    fingerprint: Fingerprint,
}

impl<'a, D: Dialect> AttemptLoop<'a, D> {
    /// Returns the sender of an attempt.
    pub(super) fn sender(&self) -> Sender<'a, D> {
        Sender {
            shared: self.shared,
            request: self.request,
            caller: &self.route_match.caller,
            is_idempotent: self.route.is_idempotent,
            deadline: self.deadline,
            fingerprint: self.fingerprint,
        }
    }
}

impl<'a, D: Dialect> Sender<'a, D> {
    /// Sends the request and reads the response; the slot ends with the attempt.
    ///
    /// Dropping the future closes the connection.
    pub(super) async fn send(
        self,
        registration: Arc<Registration>,
        mut slot: Option<Slot<'a>>,
    ) -> AttemptReport {
        let guard = AttemptGuard::new(self.shared, &registration);
        let report = attempt(
            self.shared,
            self.request,
            self.caller,
            &registration,
            self.is_idempotent,
            self.deadline,
        )
        .await;
        if report.has_ended {
            let upstream = &registration.upstream;
            let in_flight = self.shared.state.lock().in_flight(upstream);
            poison::report_upstream_end(self.shared, self.fingerprint, &registration, in_flight);
        }
        guard.end(&report);
        if let Some(slowness) = report.slowness() {
            metrics::histogram!("foxtide_upstream_slowness").record(slowness.ratio());
        }
        if let Some(slot) = &mut slot {
            slot.record_slowness(report.slowness());
        }
        if let (Some(slot), AttemptResult::Answered { .. }) = (&mut slot, report.result) {
            slot.served();
        }
        if matches!(report.result, AttemptResult::Answered { .. }) {
            poison::record_served(self.shared, self.fingerprint);
        }
        report
    }
}
