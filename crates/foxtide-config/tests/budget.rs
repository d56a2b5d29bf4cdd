//! Tests of the budget of calls to the store.

use foxtide_config::store::CallClass;
use foxtide_config::{
    BudgetOptions,
    Fleet,
    StoreBudget, //
};
use foxtide_core::time::MonotonicTime;
use proptest::prelude::*;
use std::time::Duration;

const OPTIONS: BudgetOptions = BudgetOptions {
    fleet_reads_per_s: 400.0,
    fleet_writes_per_s: 60.0,
};

const STEP: Duration = Duration::from_millis(10);

fn fleet(live_instances: u32) -> Fleet {
    Fleet {
        live_instances,
        watchers: live_instances,
        is_watcher: true,
    }
}

/// Returns the calls of an instance that makes as many as permitted.
fn max_calls(budget: &mut StoreBudget, class: CallClass, from: MonotonicTime, span_s: u64) -> u64 {
    let mut now = from;
    let mut made = 0;
    while now.since(from) < Duration::from_secs(span_s) {
        now = now + STEP;
        while budget.take(class, now) {
            made += 1;
        }
    }
    made
}

proptest! {
    /// A fleet of any size must keep the fleet's rate, plus one call per instance.
    #[test]
    fn verify_the_fleets_sum_keeps_its_rate(instances in 1_u32..700, zones in 1_u32..16) {
        let span_s = 60;
        let start = MonotonicTime::ZERO;
        let watchers = instances.min(2 * zones);
        let made = |is_watcher| {
            let fleet = Fleet { live_instances: instances, watchers, is_watcher };
            let mut budget = StoreBudget::new(OPTIONS, fleet, start);
            max_calls(&mut budget, CallClass::Read, start, span_s) as f64
        };
        let others = f64::from(instances - watchers);
        let sum = made(true) * f64::from(watchers) + made(false) * others;
        let allowed = OPTIONS.fleet_reads_per_s * span_s as f64 + f64::from(instances);
        prop_assert!(sum <= allowed, "{sum} calls, allowed {allowed}");
    }
}

#[test]
fn verify_the_fleets_size_grows_at_once_and_shrinks_slowly() {
    let start = MonotonicTime::ZERO;
    let mut budget = StoreBudget::new(OPTIONS, fleet(10), start);
    budget.set_fleet(fleet(100), start);
    let few = max_calls(&mut budget, CallClass::Read, start, 60);
    assert!(few <= 60 * 4 + 20, "{few}");
    let later = start + Duration::from_secs(120);
    budget.set_fleet(fleet(10), later);
    let still_few = max_calls(&mut budget, CallClass::Read, later, 60);
    assert!(still_few <= 60 * 5 + 20, "{still_few}");
    let hour_later = later + Duration::from_secs(3_600);
    budget.set_fleet(fleet(10), hour_later);
    let doubled = max_calls(&mut budget, CallClass::Read, hour_later, 60);
    assert!(doubled <= 60 * 9 + 60, "{doubled}");
}

#[test]
fn verify_urgent_writes_have_reserved_tokens() {
    let start = MonotonicTime::ZERO;
    let mut budget = StoreBudget::new(OPTIONS, fleet(600), start);
    let filled = start + Duration::from_secs(600);
    while budget.take(CallClass::Write, filled) {}
    assert!(budget.take(CallClass::Urgent, filled));
    assert!(!budget.take(CallClass::Write, filled));
}

#[test]
fn verify_the_first_answer_after_failures_discards_tokens() {
    let start = MonotonicTime::ZERO;
    let mut budget = StoreBudget::new(OPTIONS, fleet(10), start);
    budget.record_call(false, start);
    let back = start + Duration::from_secs(600);
    budget.record_call(true, back);
    assert!(budget.take(CallClass::Read, back));
    assert!(!budget.take(CallClass::Read, back));
}
