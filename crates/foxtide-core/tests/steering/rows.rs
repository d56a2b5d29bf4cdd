//! Tests rows: plans, failures, reconfiguration and restarts.

use super::fixture::{
    OrganisationOptions,
    REGIONS,
    organisation,
    region, //
};
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Organisation,
    PlannedMove, //
};
use foxtide_core::steering::{
    Admission,
    FleetView,
    InstanceReport,
    PlannedRows,
    ReceivedReport,
    RejectionReason,
    Steering,
    SteeringOptions,
    ViewOptions, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::{
    Share,
    ShareRate, //
};
use std::sync::Arc;
use std::time::Duration;

const WALL_START: WallTime = WallTime::from_ms(1_000_000);

fn viewer() -> ServiceId {
    "viewer".parse().unwrap()
}

fn with_move(share: f64, pace: f64) -> Organisation {
    let mut organisation = organisation(&OrganisationOptions::default());
    organisation.moves.push(PlannedMove {
        id: "m1".parse().unwrap(),
        service: viewer(),
        from: region("khomas"),
        to: region("erongo"),
        share: Share::new(share).unwrap(),
        pace_share_per_s: ShareRate::new(pace).unwrap(),
        start_us: WALL_START,
        paused_us: None,
    });
    organisation
}

fn planned(organisation: &Organisation, origin: &str, after_s: u64) -> Vec<f64> {
    let rows = PlannedRows::new(organisation, &region(origin), 1.0);
    let wall = WALL_START + Duration::from_secs(after_s);
    rows.row(&viewer(), wall).unwrap()
}

fn assert_close(row: &[f64], expected: &[f64]) {
    let close = |(a, b): (&f64, &f64)| (a - b).abs() < 1e-6;
    assert!(
        row.iter().zip(expected).all(close),
        "{row:?} is not {expected:?}"
    );
}

/// Returns the view of an instance that has just received these reports.
fn view(reports: &[(RegionId, InstanceReport)], now: MonotonicTime) -> FleetView {
    let received = reports.iter().map(|(origin, report)| ReceivedReport {
        origin,
        made_at: now,
        report,
    });
    FleetView::from_reports(received, ViewOptions::default(), now)
}

/// An instance in khomas with its clocks.
struct Instance {
    steering: Steering,
    now: MonotonicTime,
    wall: WallTime,
}

impl Instance {
    fn new(organisation: Organisation) -> Self {
        let options = SteeringOptions::default();
        Self {
            steering: Steering::new(Arc::new(organisation), region("khomas"), options),
            now: MonotonicTime::ZERO,
            wall: WALL_START,
        }
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + Duration::from_millis(100);
            self.wall = self.wall + Duration::from_millis(100);
            let report = self.steering.report(self.now);
            let alone = view(&[(region("khomas"), report)], self.now);
            self.steering.observe(&alone, self.now);
            self.steering.tick(self.now, self.wall);
        }
    }

    fn share(&self, to: &str) -> f64 {
        self.steering.row(&viewer()).unwrap()[&region(to)].get()
    }
}

#[test]
fn verify_a_home_serves_itself_and_others_split() {
    let plain = organisation(&OrganisationOptions::default());
    assert_close(&planned(&plain, "khomas", 0), &[1.0, 0.0, 0.0]);
    assert_close(&planned(&plain, "elsewhere", 0), &[1.0 / 3.0; 3]);
}

#[test]
fn verify_a_move_is_a_function_of_time() {
    let moving = with_move(0.5, 0.01);
    assert_close(&planned(&moving, "khomas", 0), &[1.0, 0.0, 0.0]);
    assert_close(&planned(&moving, "khomas", 20), &[0.8, 0.2, 0.0]);
    assert_close(&planned(&moving, "khomas", 500), &[0.5, 0.5, 0.0]);
    assert_close(&planned(&moving, "oshana", 500), &[0.0, 0.0, 1.0]);
}

#[test]
fn verify_a_paused_move_stays_where_it_was() {
    let mut moving = with_move(0.5, 0.01);
    moving.moves[0].paused_us = Some(WALL_START + Duration::from_secs(10));
    assert_close(&planned(&moving, "khomas", 300), &[0.9, 0.1, 0.0]);
}

#[test]
fn verify_moves_at_the_same_time_share_the_cap() {
    let mut moving = with_move(1.0, 0.02);
    let mut second = moving.moves[0].clone();
    second.from = region("oshana");
    moving.moves.push(second);
    let late = PlannedRows::new(&moving, &region("elsewhere"), 1.0);
    let mut before = late.row(&viewer(), WALL_START).unwrap();
    for s in 1..200 {
        let row = late
            .row(&viewer(), WALL_START + Duration::from_secs(s))
            .unwrap();
        let fastest = row.iter().zip(&before).map(|(a, b)| (a - b).abs());
        assert!(fastest.fold(0.0, f64::max) <= 0.02 + 1e-9);
        before = row;
    }
    assert_close(&before, &[0.0, 1.0, 0.0]);
}

#[test]
fn verify_a_zone_drain_that_empties_a_region_moves_traffic_before_it() {
    let mut draining = organisation(&OrganisationOptions::default());
    for zone in ["khomas-a", "khomas-b"] {
        draining.drains.push(Drain {
            id: zone.parse().unwrap(),
            target: DrainTarget::AvailabilityZone(zone.parse().unwrap()),
            start_us: WALL_START + Duration::from_secs(100),
        });
    }
    assert_close(&planned(&draining, "khomas", 49), &[1.0, 0.0, 0.0]);
    assert_close(&planned(&draining, "khomas", 75), &[0.5, 0.25, 0.25]);
    assert_close(&planned(&draining, "khomas", 100), &[0.0, 0.5, 0.5]);
}

#[test]
fn verify_a_failed_region_is_left_at_once_and_taken_over_under_the_cap() {
    let mut instance = Instance::new(organisation(&OrganisationOptions::default()));
    instance.run(30);
    assert_close(&[instance.share("khomas")], &[1.0]);
    let steering = &mut instance.steering;
    steering.set_health(&viewer(), &region("khomas"), Some(Share::ZERO));
    instance.run(1);
    assert_close(&[instance.share("khomas")], &[0.0]);
    assert!(instance.share("erongo") <= 0.002 + 1e-9);
    let rejected = instance
        .steering
        .admit(&viewer(), 0.9, Duration::ZERO, instance.now);
    let by_cap = |rejected| {
        matches!(
            rejected,
            Admission::Reject {
                reason: RejectionReason::ShiftCap,
                ..
            }
        )
    };
    assert!(by_cap(rejected));
    instance.run(400);
    assert_close(
        &[instance.share("erongo"), instance.share("oshana")],
        &[0.5, 0.5],
    );
    let steering = &mut instance.steering;
    steering.set_health(&viewer(), &region("khomas"), Some(Share::ONE));
    instance.run(10);
    let back = instance.share("khomas");
    assert!(back > 0.0 && back <= 0.02, "{back}");
}

#[test]
fn verify_a_new_configuration_does_not_make_the_row_jump() {
    let mut instance = Instance::new(organisation(&OrganisationOptions::default()));
    instance.run(30);
    let mut other = organisation(&OrganisationOptions::default());
    other.services[0].contract.homes.remove(0);
    instance.steering.configure(Arc::new(other), instance.now);
    instance.run(10);
    assert!(instance.share("khomas") >= 0.98);
    instance.run(1_000);
    assert_close(
        &[instance.share("erongo"), instance.share("oshana")],
        &[0.5, 0.5],
    );
}

#[test]
fn verify_a_restarted_instance_adopts_its_peers_rows() {
    let plain = organisation(&OrganisationOptions::default());
    let mut peer = Instance::new(plain.clone());
    peer.run(30);
    let steering = &mut peer.steering;
    steering.set_health(&viewer(), &region("khomas"), Some(Share::ZERO));
    peer.run(100);
    let report = peer.steering.report(peer.now);
    let other = InstanceReport::default();
    let mut restarted = Instance::new(plain);
    restarted.steering.tick(restarted.now, restarted.wall);
    let early = restarted
        .steering
        .admit(&viewer(), 0.0, Duration::ZERO, restarted.now);
    let not_ready = |early| {
        matches!(
            early,
            Admission::Reject {
                reason: RejectionReason::NotReady,
                ..
            }
        )
    };
    assert!(not_ready(early));
    for _ in 0..50 {
        let reports = [
            (region("khomas"), report.clone()),
            (region("oshana"), other.clone()),
        ];
        let peer_view = view(&reports, restarted.now);
        restarted.steering.observe(&peer_view, restarted.now);
        restarted.now = restarted.now + Duration::from_millis(100);
        restarted.steering.tick(restarted.now, restarted.wall);
        if restarted.steering.row(&viewer()).is_some() {
            break;
        }
    }
    let moved = restarted.share("erongo") - peer.share("erongo");
    assert!((0.0..=0.002).contains(&moved), "{moved}");
    assert!(restarted.share("khomas") <= 0.02);
}

#[test]
fn verify_a_paused_process_catches_up_with_the_plan_only() {
    let mut instance = Instance::new(with_move(0.5, 0.01));
    instance.run(30);
    instance.now = instance.now + Duration::from_secs(20);
    instance.wall = instance.wall + Duration::from_secs(20);
    instance.run(1);
    let planned = 0.01 * 23.1;
    assert_close(&[instance.share("erongo")], &[planned]);
}

#[test]
fn verify_an_isolated_instance_starts_with_an_empty_row() {
    let mut instance = Instance::new(organisation(&OrganisationOptions::default()));
    for _ in 0..152 {
        instance.now = instance.now + Duration::from_millis(100);
        let mut alone = view(&[], instance.now);
        alone.add_listed(&region("khomas"), 4);
        instance.steering.observe(&alone, instance.now);
        instance.steering.tick(instance.now, instance.wall);
    }
    let share = instance.share("khomas");
    assert!(share > 0.0 && share <= 0.02, "{share}");
}

#[test]
fn verify_a_row_stays_near_its_peers_mean() {
    let plain = organisation(&OrganisationOptions::default());
    let mut peer = Instance::new(plain.clone());
    peer.run(80);
    let report = peer.steering.report(peer.now);
    let mut instance = Instance::new(plain);
    instance.run(80);
    let steering = &mut instance.steering;
    steering.set_health(&viewer(), &region("khomas"), Some(Share::ZERO));
    for _ in 0..300 {
        let peer_view = view(&[(region("khomas"), report.clone())], instance.now);
        instance.steering.observe(&peer_view, instance.now);
        instance.now = instance.now + Duration::from_millis(100);
        instance.steering.tick(instance.now, instance.wall);
    }
    let band_share = 0.02 * SteeringOptions::default().peers_band.as_secs_f64();
    let share = instance.share("erongo");
    assert!(share > 0.0 && share <= band_share, "{share}");
}

#[test]
fn verify_a_new_instance_without_an_allocation_returns_a_short_retry_after() {
    let mut started = Instance::new(organisation(&OrganisationOptions::default()));
    let reports = REGIONS.map(|name| (region(name), InstanceReport::default()));
    for _ in 0..300 {
        started
            .steering
            .observe(&view(&reports, started.now), started.now);
        started.now = started.now + Duration::from_millis(100);
        started.steering.tick(started.now, started.wall);
        if started.steering.row(&viewer()).is_some() {
            break;
        }
    }
    assert!(!started.steering.is_ready(started.now));
    let admission = started
        .steering
        .admit(&viewer(), 0.0, Duration::ZERO, started.now);
    let Admission::Reject {
        reason: RejectionReason::RegionLimit,
        retry_after,
    } = admission
    else {
        panic!("{admission:?}");
    };
    assert_eq!(retry_after, SteeringOptions::default().growth_window);
}
