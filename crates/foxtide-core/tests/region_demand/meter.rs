//! The demand of one instance's callers.

use super::{
    hash,
    kind,
    region,
    slots, //
};
use foxtide_core::ids::ServiceId;
use foxtide_core::placement::demand::DemandMeter;
use foxtide_core::routing::RequestKind;
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

fn service() -> ServiceId {
    "viewer".parse().unwrap()
}

/// Records `per_second` requests in each of the first `seconds`.
fn record(meter: &mut DemandMeter, seconds: u64, per_second: u64, homes: &[&str]) {
    let homes: Vec<_> = homes.iter().map(|home| region(home)).collect();
    for request in 0..seconds * per_second {
        let now = MonotonicTime::from_ms(1_000 + request * 1_000 / per_second);
        meter.record_request(&service(), RequestKind::of_route("stock"), &homes, now);
    }
}

fn busy_slots(meter: &mut DemandMeter, at_ms: u64) -> f64 {
    let demand = meter.demand(
        &service(),
        &slots([30, 10, 0]),
        MonotonicTime::from_ms(at_ms),
    );
    demand
        .kinds
        .get(&kind("stock"))
        .map_or(0.0, |slots| slots.get())
}

/// Guards against a demand that includes the way to other regions once it is known without.
#[test]
fn verify_demand_is_rate_times_service_time_of_the_own_region() {
    let mut meter = DemandMeter::default();
    assert!(!meter.is_measured(MonotonicTime::from_ms(1_000)));
    record(&mut meter, 20, 5, &[]);
    // The first requests, which take longest, are not reported.
    assert!(!meter.is_measured(MonotonicTime::from_ms(6_900)));
    assert!(meter.is_measured(MonotonicTime::from_ms(7_000)));
    assert!(busy_slots(&mut meter, 21_000).abs() < 1e-9);
    let time = |meter: &mut DemandMeter, ms, is_own| {
        let kind = RequestKind::of_route("stock");
        meter.record_service_time(&service(), kind, Duration::from_millis(ms), is_own);
    };
    time(&mut meter, 300, false);
    assert!((busy_slots(&mut meter, 21_000) - 1.5).abs() < 1e-9);
    time(&mut meter, 200, true);
    time(&mut meter, 900, false);
    assert!((busy_slots(&mut meter, 21_000) - 1.0).abs() < 1e-9);
    // Half of the window has passed without requests, then all of it.
    assert!((busy_slots(&mut meter, 26_000) - 0.5).abs() < 1e-9);
    assert!(busy_slots(&mut meter, 60_000).abs() < 1e-9);
    meter.prune(MonotonicTime::from_ms(200_000));
    let now = MonotonicTime::from_ms(200_000);
    assert!(
        meter
            .demand(&service(), &slots([1, 1, 1]), now)
            .kinds
            .is_empty()
    );
}

/// Guards against requests with homes that count as movable.
#[test]
fn verify_homed_requests_count_in_their_homes() {
    let mut meter = DemandMeter::default();
    record(&mut meter, 20, 4, &["khomas", "erongo"]);
    let kind = RequestKind::of_route("stock");
    meter.record_service_time(&service(), kind, Duration::from_secs(1), true);
    assert!(busy_slots(&mut meter, 21_000).abs() < 1e-9);
    let now = MonotonicTime::from_ms(21_000);
    let demand = meter.demand(&service(), &slots([30, 10, 0]), now);
    assert!((demand.homed[&hash("khomas")].get() - 3.0).abs() < 1e-9);
    assert!((demand.homed[&hash("erongo")].get() - 1.0).abs() < 1e-9);
}
