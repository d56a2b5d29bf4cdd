//! A reference without coordination: an equal share of the quota for each live instance.

use super::fleet::quota;
use foxtide_core::quota::QuotaBounds;

/// Returns the share of the quota that is served over `seconds`, with callers at `callers`
/// of `instances` instances. Each instance has its own bucket that holds at least one
/// request.
fn served_share(rate_rps: f64, instances: usize, callers: usize, seconds: u64) -> f64 {
    let quota = quota(rate_rps);
    let part_rps = rate_rps / instances as f64;
    let capacity = (quota.burst / instances as f64).max(1.0);
    let mut tokens = vec![capacity; callers];
    let mut served = 0;
    for tick in 0..seconds * 100 {
        for (caller, tokens) in tokens.iter_mut().enumerate() {
            *tokens = (*tokens + part_rps / 100.0).min(capacity);
            // Together the callers request a multiple of the quota, in turn.
            let has_request = (tick as usize + caller).is_multiple_of(callers.div_ceil(8));
            if has_request && *tokens >= 1.0 {
                *tokens -= 1.0;
                served += 1;
            }
        }
    }
    f64::from(served) / (rate_rps * seconds as f64)
}

/// Equal shares serve little of the quota if all callers are at one instance, and exceed
/// the bound of small quotas if callers are everywhere.
#[test]
fn verify_equal_shares_fail_with_unevenly_distributed_callers() {
    assert!(served_share(60.0, 77, 1, 20) < 0.05);
    assert!(served_share(60.0, 77, 77, 20) > 0.97);
    let burst = 77.0;
    assert!(burst > QuotaBounds::default().requests_max(&quota(4.0)));
}
