//! Rechecks a request before each attempt.

use super::attempt_loop::AttemptLoop;
use super::route_match::RouteMatch;
use crate::dialect::{
    CallerIdentity,
    Dialect, //
};
use crate::outcome::{
    Refusal,
    Reply, //
};
use crate::poison::{
    self,
    SendPermit, //
};
use foxtide_core::poison::RETRY_DELAY;
use foxtide_core::routing::RouteTable;
use futures_lite::future::or;
use smol::Timer;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// Log reason of a request that is quarantined for ending its upstreams.
pub(super) const QUARANTINED_REASON: &str = "ends_its_upstreams";

/// Log reason of a request whose route and organisation have no home region in common.
pub(super) const NO_COMMON_HOME_REASON: &str = "no_common_home";

/// Tells whether two identities name the same organisation.
fn is_same_organisation(one: &CallerIdentity, other: &CallerIdentity) -> bool {
    let name = |caller: &CallerIdentity| {
        let terms = caller.organisation()?;
        Some(terms.organisation.clone())
    };
    name(one) == name(other)
}

impl<D: Dialect> AttemptLoop<'_, D> {
    /// Returns the reply if the request may not be sent any more: its caller has disconnected,
    /// it was quarantined, the key of the caller was revoked, or no region may serve it. Brings
    /// its homes up to date.
    pub(super) fn recheck(&mut self) -> Option<Reply> {
        if self.caller.is_disconnected() {
            // Nobody reads the reply.
            return Some(self.not_run());
        }
        if let Some(retry_after) = self.quarantine_retry_after() {
            if self.failure.is_none() {
                self.trace.reason = QUARANTINED_REASON;
            }
            let refused = Refusal::NotRun { retry_after };
            return Some(self.failure.clone().unwrap_or_else(|| refused.into()));
        }
        let routes = self.shared.state.lock().routes()?;
        if routes.version() == self.homes.version {
            return None;
        }
        let caller = self.request.identify(&routes, self.route);
        let reason = match caller {
            Ok(caller) if is_same_organisation(&caller, &self.route_match.caller) => {
                return self.update_homes(&routes, caller);
            }
            Ok(_) => "key_changed_hands",
            Err(reason) => reason,
        };
        if self.failure.is_none() {
            self.trace.reason = reason;
        }
        let refused = Refusal::Unauthorised.into();
        Some(self.failure.clone().unwrap_or(refused))
    }

    /// Looks up the homes in a newer configuration; returns the reply if none is left. A route
    /// that was removed keeps its homes for the requests that have already come.
    fn update_homes(&mut self, routes: &RouteTable, caller: CallerIdentity) -> Option<Reply> {
        let head = &self.request.head;
        let route = routes.find(&head.host, head.path());
        let route_match = RouteMatch {
            route: Arc::clone(route.unwrap_or(&self.route_match.route)),
            caller,
            version: routes.version(),
        };
        let Some(homes) = route_match.homes() else {
            if self.failure.is_none() {
                self.trace.reason = NO_COMMON_HOME_REASON;
            }
            return Some(self.not_run());
        };
        self.homes = homes;
        None
    }

    /// Tells whether the request is held and the attempt is not its trial.
    pub(super) fn is_held(&self) -> bool {
        let now = self.shared.clock.now();
        !self.is_trial() && self.shared.poison.is_held(self.fingerprint, now)
    }

    /// Waits while the request is held, unless the caller disconnects or the deadline passes.
    pub(super) async fn wait_while_held(&self) {
        let began_at = Instant::now();
        let lifted = poison::wait_while_held(self.shared, self.fingerprint);
        let late = async {
            Timer::at(self.deadline).await;
        };
        or(self.caller.disconnected(), or(lifted, late)).await;
        let journal = &self.shared.journal;
        journal.request_held(&self.trace, began_at.elapsed());
    }

    /// Tells whether the next attempt is the trial of a quarantined request.
    pub(super) fn is_trial(&self) -> bool {
        self.permit == SendPermit::Trial && self.sent_attempts == self.attempts_at_permit
    }

    /// Returns the retry delay if the request is quarantined and the attempt is not its trial.
    fn quarantine_retry_after(&self) -> Option<Duration> {
        if self.is_trial() {
            return None;
        }
        let now = self.shared.clock.now();
        self.shared.poison.retry_delay(self.fingerprint, now)
    }

    /// Waits until a quarantine of the request can have become known, unless the caller
    /// disconnects or the instance stops before; permits the retry if the store grants it to an isolated instance.
    pub(super) async fn wait_for_verdict(&mut self) {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let verdict = async {
            Timer::after(RETRY_DELAY.min(time_left)).await;
            poison::await_verdict(self.shared, self.fingerprint).await
        };
        let late = async {
            Timer::after(time_left).await;
            false
        };
        let in_vain = async {
            let closed = self.shared.lifecycle.send_window_closed(self.deadline);
            or(self.caller.disconnected(), closed).await;
            false
        };
        if or(in_vain, or(verdict, late)).await {
            self.permit = SendPermit::Trial;
            self.attempts_at_permit = self.sent_attempts;
        }
    }
}
