//! Upstreams that get no requests from this instance although they are registered.

use super::State;
use foxtide_core::ids::UpstreamId;
use foxtide_core::registry::Registration;
use foxtide_core::withdrawal::Withdrawal;
use std::time::Duration;

/// When callers may return to a service whose upstreams are all leaving: a replacement takes a
/// moment to register.
const REPLACEMENT_TIME: Duration = Duration::from_secs(1);

/// Why an upstream gets no requests for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unavailability {
    /// Its rate limit is exhausted.
    Throttled,
    /// It has asked this instance for rest.
    Resting,
    /// It has stated that it is leaving.
    Draining,
}

impl Unavailability {
    /// Returns the reason for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Throttled => "upstreams_limited",
            Self::Resting => "upstreams_resting",
            Self::Draining => "upstreams_draining",
        }
    }
}

impl State {
    /// Records that an upstream wants rest from this instance.
    pub(crate) fn record_rest(&mut self, registration: &Registration, time: Duration) {
        let now = self.clock.now();
        let upstream = &registration.upstream;
        self.withdrawals
            .rest(upstream, registration.born_at, time, now);
    }

    /// Records that an upstream is leaving; returns whether this is new.
    pub(crate) fn record_drain(&mut self, registration: &Registration) -> bool {
        let now = self.clock.now();
        let upstream = &registration.upstream;
        self.withdrawals.drain(upstream, registration.born_at, now)
    }

    /// Tells whether an upstream has told this instance to send it nothing.
    pub(crate) fn has_withdrawn(&self, registration: &Registration) -> bool {
        self.withdrawal(registration).is_some()
    }

    /// Returns the shortest rest of some upstreams, if any rests.
    pub(crate) fn rest_left(&self, upstreams: &[UpstreamId]) -> Option<Duration> {
        let registrations = upstreams.iter().filter_map(|name| self.registration(name));
        let withdrawals = registrations.filter_map(|one| self.withdrawal(&one));
        let rests = withdrawals.filter_map(|withdrawal| match withdrawal {
            Withdrawal::Resting { time_left } => Some(time_left),
            Withdrawal::Draining => None,
        });
        rests.min()
    }

    /// Tells whether any upstream may be unavailable.
    pub(super) fn has_unavailable(&self) -> bool {
        self.throttle.has_exhausted() || !self.withdrawals.is_empty()
    }

    /// Returns why an upstream gets no requests now, and for how long, if it gets none.
    pub(super) fn unavailability(
        &self,
        registration: &Registration,
    ) -> Option<(Unavailability, Duration)> {
        match self.withdrawal(registration) {
            Some(Withdrawal::Resting { time_left }) => {
                return Some((Unavailability::Resting, time_left));
            }
            Some(Withdrawal::Draining) => {
                return Some((Unavailability::Draining, REPLACEMENT_TIME));
            }
            None => {}
        }
        let now = self.clock.now();
        let exhausted_for = self.throttle.exhausted_for(&registration.upstream, now);
        exhausted_for.map(|time| (Unavailability::Throttled, time))
    }

    fn withdrawal(&self, registration: &Registration) -> Option<Withdrawal> {
        let now = self.clock.now();
        self.withdrawals
            .get(&registration.upstream, registration.born_at, now)
    }
}
