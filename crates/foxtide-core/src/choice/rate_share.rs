//! This instance's part of the rate that an upstream accepts.

use super::StatedRate;
use super::sharing::Rank;
use crate::ids::UpstreamId;
use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The time for which a used token is unavailable.
const TOKEN_PERIOD: Duration = Duration::from_secs(4);

/// The share of a limit that is handed out. Instances whose ranks temporarily disagree may own
/// the same token.
const USED_SHARE: f64 = 0.85;

/// The tokens that an instance owns of an upstream's rate; each permits one request per period.
///
/// The tokens of an upstream are dealt out to the instances by rank, beginning with another
/// instance for each upstream. At least one token exists, so that the end of any limit becomes
/// known.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateShare {
    limit: Option<RequestRate>,
    stated_at: MonotonicTime,
    /// When each token of this instance becomes available.
    available_at: Vec<MonotonicTime>,
}

impl RateShare {
    /// Records what a response to a request that was sent at `sent_at` states.
    pub(crate) fn record(
        &mut self,
        stated: StatedRate,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        match stated {
            StatedRate::Limit(limit) => {
                self.limit = Some(limit);
                self.stated_at = now;
            }
            // A response to an earlier request may have been made before the limit was stated.
            StatedRate::NoLimit if sent_at >= self.stated_at => self.limit = None,
            StatedRate::NoLimit | StatedRate::Unreadable => {}
        }
    }

    /// Deals the tokens out among `instances`, of which this is the one with `rank`; without a
    /// rank each gets an equal part.
    pub(crate) fn assign(&mut self, upstream: &UpstreamId, rank: Option<Rank>, instances: u32) {
        let Some(limit) = self.limit else {
            self.available_at.clear();
            return;
        };
        let tokens = limit.get() * USED_SHARE * TOKEN_PERIOD.as_secs_f64();
        let tokens = (tokens as u64).max(1);
        let owned = match rank {
            Some(Rank { index, total }) => {
                let total = u64::from(total.max(1));
                let first = (u64::from(index) + xxh3_64(upstream.as_str().as_bytes())) % total;
                tokens / total + u64::from(first < tokens % total)
            }
            None => tokens.div_ceil(u64::from(instances.max(1))),
        };
        let owned = usize::try_from(owned).unwrap_or(usize::MAX);
        self.available_at.resize(owned, MonotonicTime::ZERO);
    }

    /// Tells whether the upstream limits its rate.
    pub(crate) fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns the time until a request may be sent: zero without a limit, and a whole period
    /// if this instance owns no token.
    pub(crate) fn next_token_in(&self, now: MonotonicTime) -> Duration {
        if self.limit.is_none() {
            return Duration::ZERO;
        }
        let earliest = self.available_at.iter().min();
        earliest.map_or(TOKEN_PERIOD, |&at| at - now)
    }

    /// Uses a token for a request.
    pub(crate) fn take(&mut self, now: MonotonicTime) {
        if let Some(earliest) = self.available_at.iter_mut().min() {
            *earliest = now + TOKEN_PERIOD;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against parts that add up to more than the upstream's limit.
    #[test]
    fn verify_the_parts_of_all_instances_are_the_limit() {
        let upstream: UpstreamId = "u-1".parse().unwrap();
        for (limit_rps, allowed) in [(0.0, 1), (0.3, 1), (1.0, 3), (2.6, 8), (300.0, 1_020)] {
            for total in [1, 3, 10, 1_000] {
                let owned = (0..total).map(|index| {
                    let mut share = RateShare::default();
                    let limit = StatedRate::Limit(RequestRate::clamped(limit_rps));
                    share.record(limit, MonotonicTime::ZERO, MonotonicTime::ZERO);
                    share.assign(&upstream, Some(Rank { index, total }), total);
                    share.available_at.len()
                });
                assert_eq!(owned.sum::<usize>(), allowed, "{limit_rps} of {total}");
            }
        }
    }

    /// Guards against a limit that is lifted by an earlier response.
    #[test]
    fn verify_only_a_later_request_lifts_the_limit() {
        let (before, now) = (MonotonicTime::from_ms(5), MonotonicTime::from_ms(10));
        let mut share = RateShare::default();
        share.record(StatedRate::Limit(RequestRate::ZERO), before, now);
        share.record(StatedRate::NoLimit, before, now);
        share.record(StatedRate::Unreadable, now, now);
        assert!(share.is_limited());
        share.record(StatedRate::NoLimit, now, now);
        assert!(!share.is_limited());
    }
}
