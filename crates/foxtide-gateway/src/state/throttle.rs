//! The rate limits that upstreams state.

use super::{
    Pick,
    State, //
};
use foxtide_core::ids::UpstreamId;
use foxtide_core::registry::Registration;
use foxtide_core::throttle::{
    LimitReport,
    LimitStatement, //
};
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

/// The age of the data from the store up to which an instance hands out the rate of an upstream:
/// other instances take over the upstreams of one that the store has not heard for longer.
const KNOWLEDGE_AGE_MAX: Duration = Duration::from_millis(3_500);

impl State {
    /// Records an upstream's statement on its rate limit; returns whether the limit has changed.
    pub(crate) fn record_limit(
        &mut self,
        registration: &Registration,
        statement: LimitStatement,
    ) -> bool {
        let upstream = &registration.upstream;
        self.throttle
            .record(upstream, registration.born_at, statement)
    }

    /// Returns what this instance has heard of an upstream's rate limit.
    pub(crate) fn limit_report(&self, registration: &Registration) -> Option<LimitReport> {
        let now = self.clock.now();
        let upstream = &registration.upstream;
        self.throttle.report(upstream, registration.born_at, now)
    }

    /// Tells whether an upstream states a rate limit.
    pub(crate) fn is_limited(&self, registration: &Registration) -> bool {
        let report = self.limit_report(registration);
        report.is_some_and(|report| report.limit.is_some())
    }

    /// Records that an upstream's rate is exhausted for `time`.
    pub(crate) fn set_exhausted(&mut self, upstream: &UpstreamId, time: Duration) {
        let now = self.clock.now();
        self.throttle.set_exhausted(upstream, time, now);
    }

    /// Takes a token for a request to a picked upstream whose coordinator does not answer;
    /// returns whether there was one, which is always so without a limit.
    pub(crate) fn try_take_uncoordinated(&mut self, pick: &Pick) -> bool {
        let registration = &pick.registration;
        if !self.is_limited(registration) {
            return true;
        }
        let now = self.clock.now();
        let instances = self.members.names();
        self.throttle.try_take_uncoordinated(
            &registration.upstream,
            registration.born_at,
            &self.options.place.instance,
            &instances,
            now,
        )
    }

    /// Returns since when at the earliest this instance coordinates an upstream of its region;
    /// `None` if it does not, or others may have taken over unnoticed.
    pub(crate) fn coordinates_since(&self, upstream: &UpstreamId) -> Option<MonotonicTime> {
        let place = &self.options.place;
        let coordinator = self.members.coordinator(upstream, &place.region)?;
        let is_own = coordinator.instance == place.instance;
        let is_current = self.knowledge_age() <= KNOWLEDGE_AGE_MAX;
        let since = self.members.changed_at(&place.region).max(self.started_at);
        (is_own && is_current).then_some(since)
    }

    pub(super) fn prune_throttle(&mut self) {
        let now = self.clock.now();
        let registry = &self.registry;
        self.throttle
            .prune(now, |upstream| registry.is_eligible(upstream));
        metrics::gauge!("foxtide_limited_upstreams").set(self.throttle.limited_count() as f64);
    }
}
