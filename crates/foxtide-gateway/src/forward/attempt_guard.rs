//! Counts the attempts in flight.

use super::attempt::AttemptReport;
use crate::dialect::Dialect;
use crate::shared::Shared;
use foxtide_core::placement::AttemptResult;
use foxtide_core::registry::Registration;

/// An attempt that counts as in flight until it ends or is dropped.
pub(super) struct AttemptGuard<'a, D: Dialect> {
    shared: &'a Shared<D>,
    registration: &'a Registration,
    is_ended: bool,
}

impl<'a, D: Dialect> AttemptGuard<'a, D> {
    /// Begins an attempt at an incarnation of an upstream.
    pub(super) fn new(shared: &'a Shared<D>, registration: &'a Registration) -> Self {
        shared.state.lock().begin_attempt(registration);
        Self {
            shared,
            registration,
            is_ended: false,
        }
    }

    /// Records the attempt's result.
    pub(super) fn end(mut self, report: &AttemptReport) {
        self.is_ended = true;
        let mut state = self.shared.state.lock();
        state.end_attempt(self.registration, report.result, report.load);
    }
}

impl<D: Dialect> Drop for AttemptGuard<'_, D> {
    fn drop(&mut self) {
        if !self.is_ended {
            let mut state = self.shared.state.lock();
            state.end_attempt(self.registration, AttemptResult::Abandoned, None);
        }
    }
}
