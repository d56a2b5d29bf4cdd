//! Tests of upstreams that have told this instance to send them nothing.

use foxtide_core::ids::UpstreamId;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::withdrawal::{
    Withdrawal,
    Withdrawals, //
};
use std::time::Duration;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn upstream() -> UpstreamId {
    "i-1".parse().unwrap()
}

fn rests(withdrawals: &Withdrawals, ms: u64) -> bool {
    withdrawals.get(&upstream(), None, at(ms)).is_some()
}

/// Guards against a rest that is cut short by a later rejection with a shorter one.
#[test]
fn verify_a_shorter_rest_does_not_end_a_longer_one() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.rest(&upstream(), None, Duration::from_secs(3), at(0));
    withdrawals.rest(&upstream(), None, Duration::ZERO, at(100));
    withdrawals.rest(&upstream(), None, Duration::from_secs(1), at(200));
    withdrawals.prune(at(2_999), |_| false);
    assert_eq!(
        withdrawals.get(&upstream(), None, at(2_000)),
        Some(Withdrawal::Resting {
            time_left: Duration::from_secs(1)
        })
    );
    assert!(rests(&withdrawals, 2_999));
    assert!(!rests(&withdrawals, 3_000));
}

/// Guards against an upstream that a wrong value takes out of service for good.
#[test]
fn verify_a_rest_of_a_year_ends() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.rest(&upstream(), None, Duration::from_secs(31_536_000), at(0));
    assert!(rests(&withdrawals, 599_000));
    assert!(!rests(&withdrawals, 601_000));
}

/// Guards against an upstream that has started anew and inherits the rest of its predecessor.
#[test]
fn verify_a_new_incarnation_does_not_rest() {
    let (first, second) = (Some(WallTime::from_ms(1)), Some(WallTime::from_ms(2)));
    let mut withdrawals = Withdrawals::default();
    let rest = Duration::from_secs(3);
    withdrawals.rest(&upstream(), first, rest, at(0));
    assert_eq!(withdrawals.get(&upstream(), second, at(1)), None);
    withdrawals.rest(&upstream(), second, Duration::ZERO, at(1));
    withdrawals.rest(&upstream(), first, rest, at(2));
    assert_eq!(withdrawals.get(&upstream(), first, at(3)), None);
    assert_eq!(withdrawals.get(&upstream(), second, at(3)), None);
}

/// Guards against a drain that is forgotten while the upstream is registered, or soon after.
#[test]
fn verify_a_drain_outlasts_registrations() {
    let mut withdrawals = Withdrawals::default();
    assert!(withdrawals.drain(&upstream(), None, at(0)));
    assert!(!withdrawals.drain(&upstream(), None, at(10)));
    withdrawals.rest(&upstream(), None, Duration::from_secs(1), at(20));
    withdrawals.prune(at(3_600_000), |_| true);
    assert_eq!(
        withdrawals.get(&upstream(), None, at(3_600_000)),
        Some(Withdrawal::Draining)
    );
    withdrawals.prune(at(59_000), |_| false);
    assert!(rests(&withdrawals, 59_000));
    withdrawals.prune(at(61_000), |_| false);
    assert!(withdrawals.is_empty());
}

/// Guards against a restarted upstream that counts as leaving.
#[test]
fn verify_a_new_incarnation_is_not_leaving() {
    let (first, second) = (Some(WallTime::from_ms(1)), Some(WallTime::from_ms(2)));
    let mut withdrawals = Withdrawals::default();
    withdrawals.drain(&upstream(), first, at(0));
    assert_eq!(withdrawals.get(&upstream(), second, at(1)), None);
    withdrawals.rest(&upstream(), second, Duration::ZERO, at(1));
    assert!(!withdrawals.drain(&upstream(), first, at(2)));
    assert_eq!(withdrawals.get(&upstream(), second, at(3)), None);
}
