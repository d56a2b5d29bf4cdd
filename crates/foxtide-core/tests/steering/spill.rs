//! Tests the spill-over of one instance at a region with too little capacity.

use super::fixture::{
    OrganisationOptions,
    organisation,
    region, //
};
use super::poisson::poisson;
use foxtide_core::organisation::Organisation;
use foxtide_core::promises::{
    PromiseKind,
    PromiseMonitor,
    Sample,
    ServiceSample, //
};
use foxtide_core::steering::{
    Admission,
    FleetView,
    ReceivedReport,
    Steering,
    SteeringOptions,
    ViewOptions, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::RequestRate;
use rand::SeedableRng;
use std::sync::Arc;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_S: u64 = 10;
const DURATION_S: u64 = 90;
const SPILL_LIMIT_SHARE: f64 = 0.1;

/// The seeds of each demand, unless `FOXTIDE_SPILL_SEEDS` sets another number.
const SEEDS: u64 = 20;

fn seeds() -> u64 {
    let text = std::env::var("FOXTIDE_SPILL_SEEDS").ok();
    text.map_or(SEEDS, |text| {
        text.parse().expect("FOXTIDE_SPILL_SEEDS is a number")
    })
}

/// Returns an organisation of which the first region sells a share of the demand for it.
fn short_of_capacity(demand_rps: f64, sold_share: f64) -> Organisation {
    let mut organisation = organisation(&OrganisationOptions {
        spill_limit_share: SPILL_LIMIT_SHARE,
        region_rps: 10.0 * demand_rps,
        link_rps: 10.0 * demand_rps,
        ..OrganisationOptions::default()
    });
    organisation.regions[0].sold_rate_rps = RequestRate::clamped(demand_rps * sold_share);
    organisation
}

/// A demand that falls from time to time, as callers leave an instance for another one.
#[derive(Clone, Copy, Debug)]
struct Falls {
    /// How long the demand is whole, and how long a part.
    length_s: u64,
    part: f64,
}

impl Falls {
    fn part_at(self, tick: u64) -> f64 {
        let is_whole = (tick / (self.length_s * TICKS_PER_S)).is_multiple_of(2);
        if is_whole { 1.0 } else { self.part }
    }
}

/// The windows of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Windows {
    count: u64,
    over: u64,
    requests: u64,
    sent: u64,
    spilled: u64,
}

/// Runs one instance under Poisson-distributed demand and lets the monitor check each second. While
/// it falls, the demand is a part of `demand_rps`.
fn run(demand_rps: f64, sold_share: f64, falls: Option<Falls>, seed: u64) -> Windows {
    let organisation = Arc::new(short_of_capacity(demand_rps, sold_share));
    let service = organisation.services[0].service.clone();
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut draws = fastrand::Rng::with_seed(seed);
    let options = SteeringOptions::default();
    let mut steering = Steering::new(Arc::clone(&organisation), region("khomas"), options);
    let mut now = MonotonicTime::ZERO;
    let mut wall = WallTime::from_ms(1_000_000);
    let mut sent = ServiceSample::default();
    let mut windows = Windows::default();
    let mut monitor = PromiseMonitor::default();
    let mut waiting = Vec::new();
    for tick in 1..=DURATION_S * TICKS_PER_S {
        now = now + TICK;
        wall = wall + TICK;
        let report = steering.report(now);
        let received = ReceivedReport {
            origin: &region("khomas"),
            made_at: now,
            report: &report,
        };
        let view = FleetView::from_reports([received], ViewOptions::default(), now);
        steering.observe(&view, now);
        steering.tick(now, wall);
        let part = falls.map_or(1.0, |falls| falls.part_at(tick));
        let arrived = poisson(&mut rng, part * demand_rps / TICKS_PER_S as f64);
        waiting.extend((0..arrived).map(|_| (draws.f64(), now)));
        waiting.retain(|&(draw, arrived_at)| {
            match steering.admit(&service, draw, now.since(arrived_at), now) {
                Admission::Send { spilled: true, .. } => sent.sent_spilled += 1,
                Admission::Send { spilled: false, .. } => sent.sent_planned += 1,
                Admission::Reject { .. } => sent.rejected += 1,
                Admission::Wait { .. } => return true,
            }
            false
        });
        if tick % TICKS_PER_S == 0 {
            let services = [(service.clone(), sent.clone())];
            let sample = Sample {
                taken_at: now,
                services: services.into(),
                ..Sample::default()
            };
            monitor.add(&organisation, sample);
            let promises = monitor.promises();
            let mut kept = promises.iter().filter(|promise| {
                promise.promise == PromiseKind::SpillLimit
                    && promise.service.as_ref() == Some(&service)
            });
            if let Some(promise) = kept.next() {
                windows.count += 1;
                windows.over += u64::from(promise.now > promise.limit);
            }
        }
    }
    windows.requests = sent.sent_planned + sent.sent_spilled + sent.rejected;
    windows.sent = sent.sent_planned + sent.sent_spilled;
    windows.spilled = sent.sent_spilled;
    windows
}

/// Guards against a spill-over limit that is kept in the mean only: each request drew its region by
/// itself, and a window had more that spilled than the limit allows.
#[test]
fn verify_no_window_exceeds_the_spill_limit() {
    let over = windows_over_the_limit(None);
    assert!(over.is_empty(), "{over:?}");
}

/// Guards against windows over the limit as an instance's demand falls: what had spilled before was
/// held against fewer requests.
#[test]
fn verify_no_window_exceeds_the_spill_limit_while_demand_falls() {
    let falls = [(3, 0.2), (8, 0.3), (15, 0.1)];
    let falls = falls.map(|(length_s, part)| Falls { length_s, part });
    let over = falls.map(|falls| windows_over_the_limit(Some(falls)));
    assert!(over.iter().all(Vec::is_empty), "{over:?}");
}

/// Returns the demands of which some windows are over the limit.
fn windows_over_the_limit(falls: Option<Falls>) -> Vec<(f64, f64, Windows)> {
    let mut over = Vec::new();
    let demands_rps = [2.0, 7.0, 30.0, 200.0];
    let cases = demands_rps
        .iter()
        .flat_map(|demand| [(*demand, 0.9), (*demand, 0.33)]);
    for (demand_rps, sold_share) in cases {
        let mut total = Windows::default();
        for seed in 0..seeds() {
            let windows = run(demand_rps, sold_share, falls, seed);
            total.count += windows.count;
            total.over += windows.over;
            total.requests += windows.requests;
            total.sent += windows.sent;
            total.spilled += windows.spilled;
        }
        println!("{demand_rps} requests/s, {sold_share} of them sold, {falls:?}: {total:?}");
        if total.over > 0 {
            over.push((demand_rps, sold_share, total));
        }
    }
    over
}
