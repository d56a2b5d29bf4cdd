//! The way that needs no messages: an equal part of the quota for each instance that lives.
//! It is kept here to be compared with.

use super::fleet::quota;
use foxtide_core::quota::QuotaBounds;

/// Returns the share of what a quota allows that is served over `seconds`, with the callers
/// at `callers` of `instances` instances. Each instance has a bucket of its own, which holds
/// one request at least.
fn served_share(rate_rps: f64, instances: usize, callers: usize, seconds: u64) -> f64 {
    let quota = quota(rate_rps);
    let part_rps = rate_rps / instances as f64;
    let capacity = (quota.burst / instances as f64).max(1.0);
    let mut tokens = vec![capacity; callers];
    let mut served = 0;
    for tick in 0..seconds * 100 {
        for (at, tokens) in tokens.iter_mut().enumerate() {
            *tokens = (*tokens + part_rps / 100.0).min(capacity);
            // Each asks for five times the whole quota between them, in turn.
            let is_asked = (tick as usize + at).is_multiple_of(callers.div_ceil(8));
            if is_asked && *tokens >= 1.0 {
                *tokens -= 1.0;
                served += 1;
            }
        }
    }
    f64::from(served) / (rate_rps * seconds as f64)
}

/// With all callers at one of 77 instances, equal parts serve a few hundredths of what the
/// quota allows; with callers everywhere, small quotas exceed their bound by the requests
/// that each instance must be able to hold.
#[test]
fn verify_equal_parts_fail_where_callers_lie_unevenly() {
    assert!(served_share(60.0, 77, 1, 20) < 0.05);
    assert!(served_share(60.0, 77, 77, 20) > 0.97);
    let at_once = 77.0;
    assert!(at_once > QuotaBounds::default().requests_max(&quota(4.0)));
}
