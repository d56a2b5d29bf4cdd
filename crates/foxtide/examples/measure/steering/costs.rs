//! Measures the processor time and memory of steering decisions.

use super::fixture::{
    OrganisationOptions,
    REGIONS,
    SERVICES,
    organisation,
    region, //
};
use crate::report::{
    Limit,
    Report, //
};
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::steering::{
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
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

const ADMITS: u32 = 2_000_000;
const TICKS: u32 = 2_000;
const COPIES: usize = 400;

/// Measures admissions, ticks, applied views and the size of the state.
pub(super) fn run(report: &mut Report) {
    measure_admit(report);
    let few_ns = measure_tick_and_observe(report, REGIONS.len());
    let many_ns = measure_tick_and_observe(report, 7);
    let slope = (many_ns - few_ns) / (7 * 7 - REGIONS.len() * REGIONS.len()) as f64;
    report.figure("cost.tick_per_pair_of_regions", slope, "ns", Limit::None);
    measure_state(report);
}

/// Returns the fixture's organisation, enlarged by copies of its last region.
fn organisation_with(regions: usize) -> Organisation {
    let mut organisation = organisation(&OrganisationOptions::default());
    let Some(last) = organisation.regions.last().cloned() else {
        return organisation;
    };
    let links = organisation.links.clone();
    for number in REGIONS.len()..regions {
        let id: RegionId = format!("region-{number}").parse().expect("a region's name");
        organisation
            .regions
            .push(foxtide_core::organisation::Region {
                region: id.clone(),
                ..last.clone()
            });
        for link in links.iter().filter(|link| link.to == last.region) {
            organisation.links.push(foxtide_core::organisation::Link {
                to: id.clone(),
                ..link.clone()
            });
        }
        for service in &mut organisation.services {
            let home = service.contract.homes[0].clone();
            service
                .contract
                .homes
                .push(foxtide_core::organisation::HomeRegion {
                    region: id.clone(),
                    ..home
                });
            let mut upstream = service.upstreams[0].clone();
            upstream.region = id.clone();
            service.upstreams.push(upstream);
        }
    }
    organisation
}

fn steady_steering(organisation: &Arc<Organisation>) -> Steering {
    let options = SteeringOptions::default();
    let mut steering = Steering::new(Arc::clone(organisation), region("khomas"), options);
    for step in 0..100 {
        let now = MonotonicTime::from_ms(step * 100);
        let view = view_of(organisation, &mut steering, now);
        steering.observe(&view, now);
        steering.tick(now, WallTime::from_ms(1_000_000 + step * 100));
    }
    steering
}

/// Returns a view in which every region sent the report of this instance.
fn view_of(organisation: &Organisation, steering: &mut Steering, now: MonotonicTime) -> FleetView {
    let report = steering.report(now);
    let reports = organisation.regions.iter().map(|origin| ReceivedReport {
        origin: &origin.region,
        made_at: now,
        report: &report,
    });
    FleetView::from_reports(reports, ViewOptions::default(), now)
}

fn measure_admit(report: &mut Report) {
    let mut steering = steady_steering(&Arc::new(organisation_with(7)));
    let service: ServiceId = SERVICES[0].parse().expect("a service's name");
    let started = Instant::now();
    let mut sent = 0_u32;
    for number in 0..ADMITS {
        let now = MonotonicTime::from_us(10_000_000 + u64::from(number));
        let draw = f64::from(number % 1_000) / 1_000.0;
        let admission = steering.admit(&service, draw, Duration::ZERO, now);
        sent += u32::from(matches!(
            admission,
            foxtide_core::steering::Admission::Send { .. }
        ));
    }
    let admit_ns = started.elapsed().as_secs_f64() * 1e9 / f64::from(ADMITS);
    report.figure("cost.admit", admit_ns, "ns", Limit::AtMost(2_000.0));
    report.figure("cost.admit_sent", f64::from(sent), "requests", Limit::None);
}

/// Returns the time of one tick, in nanoseconds.
fn measure_tick_and_observe(report: &mut Report, regions: usize) -> f64 {
    let organisation = Arc::new(organisation_with(regions));
    let mut steering = steady_steering(&organisation);
    let now = MonotonicTime::from_ms(10_000);
    let view = view_of(&organisation, &mut steering, now);
    let started = Instant::now();
    for _ in 0..TICKS {
        steering.observe(&view, now);
    }
    let observe_ns = started.elapsed().as_secs_f64() * 1e9 / f64::from(TICKS);
    let started = Instant::now();
    for step in 0..TICKS {
        let elapsed = Duration::from_millis(u64::from(step) * 100);
        steering.tick(now + elapsed, WallTime::from_ms(2_000_000) + elapsed);
    }
    let tick_ns = started.elapsed().as_secs_f64() * 1e9 / f64::from(TICKS);
    let name = format!("cost.regions_{regions}");
    report.figure(&format!("{name}.observe"), observe_ns, "ns", Limit::None);
    report.figure(&format!("{name}.tick"), tick_ns, "ns", Limit::None);
    // An instance runs ten ticks and applies one view per second.
    let core_share = (10.0 * tick_ns + observe_ns) / 1e9;
    report.figure(
        &format!("{name}.core_share"),
        core_share,
        "cores",
        Limit::AtMost(0.001),
    );
    tick_ns
}

/// Measures the memory of one organisation's steering with seven regions.
fn measure_state(report: &mut Report) {
    let organisation = Arc::new(organisation_with(7));
    let steering = steady_steering(&organisation);
    let before = resident_bytes();
    let copies = vec![steering; COPIES];
    let copy_bytes = (resident_bytes() - before) / copies.len() as f64;
    report.figure(
        "cost.regions_7.state",
        copy_bytes,
        "bytes",
        Limit::AtMost(100_000.0),
    );
}

/// Returns the resident memory of the process (proc(5), `/proc/self/statm`).
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
