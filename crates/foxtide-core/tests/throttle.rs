//! Tests of upstreams' statements on their rate limits.

use foxtide_core::ids::UpstreamId;
use foxtide_core::throttle::{
    LimitStatement,
    StatedLimits, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::RequestRate;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn upstream() -> UpstreamId {
    "i-1".parse().unwrap()
}

fn statement(limit_rps: Option<f64>, ms: u64) -> LimitStatement {
    LimitStatement {
        limit: limit_rps.map(RequestRate::clamped),
        held_at: at(ms),
    }
}

/// Guards against a limit that is lifted by a response which the upstream made before it stated
/// the limit.
#[test]
fn verify_an_earlier_response_does_not_lift_a_limit() {
    let mut limits = StatedLimits::default();
    assert!(limits.record(&upstream(), None, statement(Some(2.0), 100)));
    assert!(!limits.record(&upstream(), None, statement(None, 60)));
    let known = limits.get(&upstream(), None).unwrap();
    assert_eq!(known.limit, Some(RequestRate::clamped(2.0)));
    assert!(limits.record(&upstream(), None, statement(None, 101)));
    assert_eq!(limits.get(&upstream(), None).unwrap().limit, None);
}

#[test]
fn verify_an_incarnation_starts_without_the_limit_of_another() {
    let (first, second) = (Some(WallTime::from_ms(1)), Some(WallTime::from_ms(2)));
    let mut limits = StatedLimits::default();
    limits.record(&upstream(), first, statement(Some(2.0), 100));
    assert!(limits.record(&upstream(), second, statement(None, 50)));
    assert!(!limits.record(&upstream(), first, statement(Some(2.0), 200)));
    assert_eq!(limits.get(&upstream(), first), None);
    assert_eq!(limits.limited_count(), 0);
}

#[test]
fn verify_limits_of_registered_upstreams_do_not_expire() {
    let mut limits = StatedLimits::default();
    limits.record(&upstream(), None, statement(Some(2.0), 0));
    limits.prune(at(3_600_000), |_| true);
    assert_eq!(limits.limited_count(), 1);
    limits.prune(at(3_600_000), |_| false);
    assert_eq!(limits.limited_count(), 0);
}
