//! What is looked at again between the attempts of a request.

use super::run::Run;
use crate::dialect::{
    CallerIdentity,
    Dialect, //
};
use crate::outcome::{
    Refusal,
    Reply, //
};
use crate::poison::Sending;
use foxtide_core::poison::RETRY_DELAY;
use futures_lite::future::or;
use smol::Timer;
use std::time::{
    Duration,
    Instant, //
};

/// The reason in logs where a request ends its upstreams.
pub(super) const QUARANTINED: &str = "ends_its_upstreams";

/// Tells whether two versions of the configuration take a caller for the same.
fn is_same(one: &CallerIdentity, other: &CallerIdentity) -> bool {
    let name = |caller: &CallerIdentity| {
        let terms = caller.organisation()?;
        Some(terms.organisation.clone())
    };
    name(one) == name(other)
}

impl<D: Dialect> Run<'_, D> {
    /// The reply where the request may not be sent any more: it has turned out to end its
    /// upstreams, or the caller's key was taken away. It may have waited for a slot, or have
    /// been sent in vain before.
    pub(super) fn refused_meanwhile(&mut self) -> Option<Reply> {
        if let Some(retry_after) = self.quarantined_for() {
            if self.failure.is_none() {
                self.inputs.reason = QUARANTINED;
            }
            let refused = Refusal::NotRun { retry_after };
            return Some(self.failure.clone().unwrap_or_else(|| refused.into()));
        }
        let routes = self.shared.state.lock().routes()?;
        if routes.version() == self.order.version {
            return None;
        }
        let caller = self.request.identify(&routes, self.route);
        let reason = match caller {
            Ok(caller) if is_same(&caller, &self.order.caller) => return None,
            Ok(_) => "key_changed_hands",
            Err(reason) => reason,
        };
        if self.failure.is_none() {
            self.inputs.reason = reason;
        }
        let refused = Refusal::Unauthorised.into();
        Some(self.failure.clone().unwrap_or(refused))
    }

    /// Returns when the caller may come back where the request is quarantined and may not be
    /// sent once more as its trial.
    fn quarantined_for(&self) -> Option<Duration> {
        if self.sending == Sending::Once && self.sent == 0 {
            return None;
        }
        let now = self.shared.clock.now();
        self.shared.poison.held_for(self.fingerprint, now)
    }

    /// Waits until it can be known whether the request ends its upstreams, unless its
    /// caller leaves.
    pub(super) async fn wait_for_verdict(&self) {
        let time_left = self.ends_at.saturating_duration_since(Instant::now());
        let waited = async {
            Timer::after(RETRY_DELAY.min(time_left)).await;
        };
        or(self.caller.left(), waited).await;
    }
}
