//! The rate at which a cold upstream gets requests, shared out over instances.

use crate::ids::{
    InstanceId,
    UpstreamId, //
};
use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The time for which one token's use bars its next use. One second is the
/// window in which the platform counts; the rest covers that requests take
/// unlike times on their way.
const TOKEN_PERIOD: Duration = Duration::from_millis(1_150);

/// The part of the permitted rate that is given out. Two instances that
/// believe in different members for a moment may both hold a token, so that
/// half of the rate is safe whatever they believe.
const GIVEN_OUT_SHARE: f64 = 0.5;

/// The bound on requests to one cold upstream from all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// The requests a second that the upstream takes.
    pub rate_rps: f64,
    /// By how much the rate may be exceeded, as a factor.
    pub overshoot: f64,
    /// The requests a second allowed on top of that.
    pub slack_rps: f64,
}

impl ColdTerms {
    /// Returns how many tokens of one request a period there are, at least 1.
    fn tokens(&self) -> u64 {
        let bound = self.rate_rps * self.overshoot + self.slack_rps;
        ((bound * GIVEN_OUT_SHARE) as u64).max(1)
    }
}

/// What this instance has sent to cold upstreams.
///
/// Each upstream's permitted rate is cut into tokens, and each token belongs to
/// the live instance with the highest hash for it: all instances agree on the
/// owners without asking.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    used: HashMap<(UpstreamId, u64), MonotonicTime>,
}

impl ColdShare {
    /// Takes a token of `upstream` for one request; tells whether there was
    /// one. `instances` are those thought alive, `own` among them.
    pub fn try_take(
        &mut self,
        upstream: &UpstreamId,
        terms: &ColdTerms,
        own: &InstanceId,
        instances: &[InstanceId],
        now: MonotonicTime,
    ) -> bool {
        for token in 0..terms.tokens() {
            if owner(upstream, token, instances) != Some(own) {
                continue;
            }
            let used = self.used.get(&(upstream.clone(), token));
            if used.is_none_or(|&used| now - used >= TOKEN_PERIOD) {
                self.used.insert((upstream.clone(), token), now);
                return true;
            }
        }
        false
    }

    /// Forgets tokens that are free again.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.used.retain(|_, &mut used| now - used < TOKEN_PERIOD);
    }
}

fn owner<'a>(
    upstream: &UpstreamId,
    token: u64,
    instances: &'a [InstanceId],
) -> Option<&'a InstanceId> {
    let seed = xxh3_64_with_seed(upstream.as_str().as_bytes(), token);
    instances
        .iter()
        .max_by_key(|instance| xxh3_64_with_seed(instance.as_str().as_bytes(), seed))
}
