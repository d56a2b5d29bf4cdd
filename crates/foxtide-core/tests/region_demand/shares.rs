//! Shares that follow from known demand.

use super::{
    REGIONS,
    demand,
    hash,
    kind,
    region,
    slots, //
};
use foxtide_core::ids::RegionId;
use foxtide_core::placement::RegionShares;
use foxtide_core::placement::demand::{
    BusySlots,
    DemandByOrigin,
    KindHash,
    KindShares,
    ServiceLoad,
    ShareShift,
    demand_shares, //
};
use std::collections::BTreeMap;
use std::time::Duration;

fn shares(
    origin: &str,
    slots: &BTreeMap<RegionId, u32>,
    demand: &DemandByOrigin,
) -> Option<KindShares> {
    let objective = |name, ms| (kind(name), Duration::from_millis(ms));
    let objectives = BTreeMap::from([objective("receipt", 250), objective("stock", 2_000)]);
    demand_shares(
        &region(origin),
        &ServiceLoad {
            slots,
            demand,
            objectives: &objectives,
        },
    )
}

fn sum(shares: &RegionShares) -> f64 {
    shares.values().sum()
}

/// Guards against urgent requests that cross regions while long work stays near.
#[test]
fn verify_the_tight_kind_stays_near_while_the_long_one_leaves() {
    let by_origin = DemandByOrigin::from([
        (
            hash("khomas"),
            demand(&[("receipt", 20.0), ("stock", 60.0)]),
        ),
        (
            hash("erongo"),
            demand(&[("receipt", 20.0), ("stock", 60.0)]),
        ),
        (
            hash("oshana"),
            demand(&[("receipt", 20.0), ("stock", 60.0)]),
        ),
    ]);
    let shares = shares("erongo", &slots([240, 50, 210]), &by_origin).unwrap();
    let near = |name| shares.of(kind(name))[&region("erongo")];
    assert!((near("receipt") - 1.0).abs() < 1e-9);
    // 10 of the 30 slots that may be busy are left.
    assert!((near("stock") - 10.0 / 60.0).abs() < 1e-9);
    // In proportion to 144 - 80 and 126 - 80 unused slots.
    let far = shares.of(kind("stock"));
    let ratio = far[&region("khomas")] / far[&region("oshana")];
    assert!((ratio - 64.0 / 46.0).abs() < 1e-9);
    let unknown = shares.of(kind("unknown"))[&region("erongo")];
    assert!((unknown - 30.0 / 80.0).abs() < 1e-9);
}

/// Guards against requests that are sent to a region that is full of requests bound to it.
#[test]
fn verify_homed_demand_counts_in_its_home() {
    let mut of_khomas = demand(&[("stock", 10.0)]);
    of_khomas
        .homed
        .insert(hash("erongo"), BusySlots::clamped(40.0));
    let by_origin = DemandByOrigin::from([
        (hash("khomas"), of_khomas),
        (hash("erongo"), demand(&[("stock", 30.0)])),
        (hash("oshana"), demand(&[("stock", 60.0)])),
    ]);
    let slots = slots([100, 50, 50]);
    // 140 of 200 slots are busy, so each region may use 0.7 of its own; 40 of 35 are bound.
    let of_erongo = shares("erongo", &slots, &by_origin).unwrap();
    assert!(of_erongo.together()[&region("erongo")].abs() < 1e-9);
    let of_oshana = shares("oshana", &slots, &by_origin).unwrap();
    assert!(of_oshana.together()[&region("erongo")].abs() < 1e-9);
}

/// Guards against any change to services that stand in one region.
#[test]
fn verify_a_service_in_one_region_is_not_affected() {
    let by_origin = DemandByOrigin::from([(hash("khomas"), demand(&[("stock", 500.0)]))]);
    assert_eq!(shares("khomas", &slots([50, 0, 0]), &by_origin), None);
    assert_eq!(shares("khomas", &slots([0, 0, 0]), &by_origin), None);
    assert_eq!(shares("khomas", &BTreeMap::new(), &by_origin), None);
}

/// Guards against shares that are not a distribution, whatever the demand and the slots, and
/// against a region above the bound while another has slots unused.
#[test]
fn verify_random_inputs_give_distributions_that_overload_no_region() {
    let mut draws = fastrand::Rng::with_seed(11);
    let value = |draws: &mut fastrand::Rng| match draws.u32(..8) {
        0 => 0.0,
        1 => f64::NAN,
        2 => f64::INFINITY,
        3 => -1.0,
        4 => 1e-12,
        _ => draws.f64() * 10_f64.powi(draws.i32(-2..4)),
    };
    for _ in 0..5_000 {
        let slots = slots([0; 3].map(|_| draws.u32(..3) * draws.u32(..200)));
        let mut by_origin = DemandByOrigin::new();
        for name in REGIONS {
            let kinds = ["receipt", "stock", "other"].map(|kind| (kind, value(&mut draws)));
            if draws.u32(..5) > 0 {
                by_origin.insert(hash(name), demand(&kinds));
            }
        }
        let mut load: BTreeMap<RegionId, f64> = BTreeMap::new();
        for name in REGIONS {
            let Some(shares) = shares(name, &slots, &by_origin) else {
                assert!(slots.values().filter(|slots| **slots > 0).count() < 2);
                continue;
            };
            let kinds = by_origin
                .get(&hash(name))
                .map(|demand| demand.kinds.clone());
            let kinds = kinds.unwrap_or_default();
            for kind in kinds.keys().chain([&KindHash::default()]) {
                let of_kind = shares.of(*kind);
                let shift = ShareShift::between(&RegionShares::new(), of_kind);
                for applied in [of_kind, &shift.apply(of_kind)] {
                    assert!((sum(applied) - 1.0).abs() < 1e-9, "{applied:?}");
                    assert!(
                        applied
                            .values()
                            .all(|share| (0.0..=1.0 + 1e-9).contains(share))
                    );
                }
                for (to, share) in of_kind {
                    let slots = kinds.get(kind).copied().unwrap_or_default().get();
                    *load.entry(to.clone()).or_default() += share * slots;
                }
            }
        }
        let total_slots: f64 = slots.values().copied().map(f64::from).sum();
        let demanded: f64 = load.values().sum();
        for (region, used) in load {
            let bound = f64::from(slots[&region]) * (demanded / total_slots).max(0.6);
            assert!(
                used <= bound * (1.0 + 1e-6) + 1e-6,
                "{region}: {used} of {bound}"
            );
        }
    }
}
