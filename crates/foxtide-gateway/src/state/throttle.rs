//! The rate limits that upstreams state.

use super::State;
use foxtide_core::registry::Registration;
use foxtide_core::throttle::LimitStatement;

impl State {
    /// Records an upstream's statement on its rate limit; returns whether the limit has changed.
    pub(crate) fn record_limit(
        &mut self,
        registration: &Registration,
        statement: LimitStatement,
    ) -> bool {
        let upstream = &registration.upstream;
        self.limits
            .record(upstream, registration.born_at, statement)
    }

    pub(super) fn prune_limits(&mut self) {
        let now = self.clock.now();
        let registry = &self.registry;
        self.limits
            .prune(now, |upstream| registry.is_eligible(upstream));
        metrics::gauge!("foxtide_limited_upstreams").set(self.limits.limited_count() as f64);
    }
}
