//! Demand that moves through three regions as a wave of 36 s.

use super::{
    REGIONS,
    demand,
    hash,
    kind,
    region,
    slots, //
};
use foxtide_core::ids::RegionId;
use foxtide_core::placement::demand::{
    DemandByService,
    KnownDemand,
    PacedShift,
    RegionSums,
    ServiceHash,
    ServiceLoad,
    ShareShift,
    SmoothedDemand,
    demand_shares, //
};
use foxtide_core::placement::{
    Demand,
    RegionShares,
    region_shares, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::f64::consts::TAU;

const SERVICE: ServiceHash = ServiceHash::from_hash(1);

const PERIOD_S: f64 = 36.0;
const AMPLITUDE: f64 = 0.55;

/// The window of the meter.
const MEAN_S: u32 = 10;

/// The slots of the small deployment: 0.48, 0.10 and 0.42 of 500.
const SLOTS: [u32; 3] = [240, 50, 210];

/// Returns the demand of a region at a time, in busy slots.
fn demand_at(origin: usize, time_s: f64, mean: f64) -> f64 {
    let phase = time_s / PERIOD_S - origin as f64 / 3.0;
    mean * (1.0 + AMPLITUDE * (TAU * phase).sin())
}

/// One instance of a region.
struct Instance {
    region: RegionId,
    /// How much later than others it receives the sums.
    lag_s: f64,
    sums: RegionSums,
    /// The means of the regions' aggregators.
    smoothed: [SmoothedDemand; 3],
    paced: PacedShift,
}

impl Instance {
    fn new(name: &str, lag_s: f64) -> Self {
        Self {
            region: region(name),
            lag_s,
            sums: RegionSums::default(),
            smoothed: Default::default(),
            paced: PacedShift::default(),
        }
    }

    fn base(&self) -> RegionShares {
        region_shares(&self.region, &slots(SLOTS), &Demand::unrestricted(3))
    }

    fn shares(&self) -> RegionShares {
        self.paced.shift().apply(&self.base())
    }

    /// Receives the sums of a time, if there are any, and advances.
    fn advance(&mut self, time_s: f64, sums: Option<&dyn Fn(usize, f64) -> f64>) {
        let now = MonotonicTime::from_ms((time_s * 1_000.0) as u64);
        for (number, name) in REGIONS.iter().enumerate() {
            if let Some(sums) = sums {
                let measured = demand(&[("page", sums(number, time_s - self.lag_s))]);
                let services = DemandByService::from([(SERVICE, measured)]);
                let mean = self.smoothed[number].advance(&services, None, now);
                self.sums.merge(hash(name), now, mean.clone());
            }
        }
        let regions = REGIONS.iter().map(|name| hash(name)).collect();
        let known = self.sums.known(&regions, now);
        let target = known.map_or_else(ShareShift::default, |known| self.target(&known));
        self.paced.advance(&target, now);
    }

    fn target(&self, known: &KnownDemand) -> ShareShift {
        let load = ServiceLoad {
            slots: &slots(SLOTS),
            demand: known.of(SERVICE).unwrap(),
            objectives: &BTreeMap::new(),
        };
        let shares = demand_shares(&self.region, &load).unwrap();
        ShareShift::between(&self.base(), shares.of(kind("page")))
    }
}

/// Returns the mean over the window of the meter.
fn measured(demand: impl Fn(f64) -> f64, time_s: f64) -> f64 {
    let past = (0..MEAN_S).map(|ago_s| demand(time_s - f64::from(ago_s)));
    past.sum::<f64>() / f64::from(MEAN_S)
}

/// Returns the part of the requests that differs.
fn difference(one: &RegionShares, other: &RegionShares) -> f64 {
    ShareShift::between(one, other).distance(&ShareShift::default())
}

/// The largest change of a region's own share within a period, once the mean has settled. A wave
/// that is followed without a mean changes it by 0.18.
const SWING_MAX: f64 = 0.06;

/// The most that moves within a period, which is 0.72 if a wave is followed without a mean.
const MOVED_MAX: f64 = 0.3;

/// The pace for one second, with room for rounding.
const STEP_MAX: f64 = 0.02 + 1e-9;

/// Guards against objects that move to and fro between regions with a wave of demand.
#[test]
fn verify_a_wave_moves_few_objects_back_and_forth() {
    for utilisation in [0.3, 0.5, 0.7, 0.8, 1.0, 1.3] {
        let mean = 500.0 * utilisation / 3.0;
        let wave = |number: usize, at_s: f64| measured(|s| demand_at(number, s, mean), at_s);
        for name in REGIONS {
            let mut instance = Instance::new(name, 0.0);
            let (mut least, mut most, mut moved) = (1.0_f64, 0.0_f64, 0.0);
            for second in 0..216 {
                let before = instance.shares();
                instance.advance(f64::from(second), Some(&wave));
                let shares = instance.shares();
                let step = difference(&before, &shares);
                assert!(step <= STEP_MAX, "{name} at {second} s: {step}");
                if second >= 180 {
                    moved += step;
                    least = least.min(shares[&instance.region]);
                    most = most.max(shares[&instance.region]);
                }
            }
            assert!(most - least <= SWING_MAX, "{name}: {least} to {most}");
            assert!(moved <= MOVED_MAX, "{name}: {moved} moved");
        }
    }
}

/// Guards against a region that is loaded above the bound while another has much unused.
#[test]
fn verify_regions_stay_near_the_bound_in_the_mean_of_a_wave() {
    for utilisation in [0.3, 0.5, 0.7, 1.0] {
        let mean = 500.0 * utilisation / 3.0;
        let wave = |number: usize, at_s: f64| measured(|s| demand_at(number, s, mean), at_s);
        let mut instances = REGIONS.map(|name| Instance::new(name, 0.0));
        let mut load: BTreeMap<RegionId, f64> = BTreeMap::new();
        for second in 0..216 {
            for (number, instance) in instances.iter_mut().enumerate() {
                instance.advance(f64::from(second), Some(&wave));
                for (to, share) in instance.shares().iter().filter(|_| second >= 180) {
                    let slots = share * demand_at(number, f64::from(second), mean);
                    *load.entry(to.clone()).or_default() += slots / PERIOD_S;
                }
            }
        }
        let bound = f64::max(0.6, utilisation);
        for (region, of_region) in slots(SLOTS) {
            let used = load[&region] / f64::from(of_region);
            // Shares that are off by less than 0.05 do not move.
            assert!(used <= bound + 0.05, "{region}: {used} of {bound}");
        }
    }
}

/// Guards against instances of a region that send the same object to different upstreams.
#[test]
fn verify_instances_of_a_region_compute_nearly_the_same_shares() {
    let mean = 120.0;
    let wave = |number: usize, at_s: f64| measured(|s| demand_at(number, s, mean), at_s);
    let mut instances = [0.0, 0.4, 0.9].map(|lag_s| Instance::new("erongo", lag_s));
    let mut total = 0.0;
    for second_s in 0..216 {
        for instance in &mut instances {
            instance.advance(f64::from(second_s), Some(&wave));
        }
        let [first, second, third] = instances.each_ref().map(Instance::shares);
        for other in [second, third] {
            let apart = difference(&first, &other);
            assert!(apart <= 0.06, "{apart} at {second_s} s");
            total += apart / (2.0 * 216.0);
        }
    }
    assert!(total <= 0.02, "{total} on average");
}

/// Guards against shares that rest on sums that no longer arrive, or jump when these end.
#[test]
fn verify_shares_return_at_the_pace_when_sums_stop() {
    let uneven = |number: usize, _: f64| [60.0, 90.0, 20.0][number];
    let mut instance = Instance::new("erongo", 0.0);
    let base = instance.shares();
    for second in 0..60 {
        instance.advance(f64::from(second), Some(&uneven));
    }
    let followed = instance.shares();
    // Of 90 busy slots, 0.6 of 50 stay near.
    assert!((followed[&instance.region] - 1.0 / 3.0).abs() < 0.05);
    assert!(difference(&followed, &base) > 0.05, "{followed:?}");
    for second in 60..65 {
        instance.advance(f64::from(second), None);
        assert_eq!(instance.shares(), followed);
    }
    for second in 65..120 {
        let before = instance.shares();
        instance.advance(f64::from(second), None);
        let step = difference(&before, &instance.shares());
        assert!(step <= STEP_MAX, "{step}");
    }
    assert_eq!(instance.shares(), base);
}

/// Guards against a pace that follows the number of calls, and a jump after a stall.
#[test]
fn verify_the_pace_follows_time() {
    let base = RegionShares::from([(region("khomas"), 1.0), (region("erongo"), 0.0)]);
    let other = RegionShares::from([(region("khomas"), 0.0), (region("erongo"), 1.0)]);
    let target = ShareShift::between(&base, &other);
    let at = MonotonicTime::from_ms;
    let mut often = PacedShift::default();
    let mut seldom = PacedShift::default();
    for step in 0..=100 {
        often.advance(&target, at(step * 100));
    }
    for step in 0..=10 {
        seldom.advance(&target, at(step * 1_000));
    }
    assert!(often.shift().distance(seldom.shift()) < 0.01);
    let before = seldom.shift().clone();
    seldom.advance(&target, at(100_000));
    assert!(seldom.shift().distance(&before) <= 0.04 + 1e-9);
    // Targets that are only a little off move nothing.
    let near = RegionShares::from([(region("khomas"), 0.96), (region("erongo"), 0.04)]);
    let mut idle = PacedShift::default();
    for step in 0..=10 {
        idle.advance(&ShareShift::between(&base, &near), at(step * 1_000));
    }
    assert!(idle.shift().is_none());
    assert_eq!(idle.shift().apply(&base), base);
}
