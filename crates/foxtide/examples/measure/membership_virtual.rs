//! Measures membership on a virtual clock: probing within zones, which delegates
//! connect, compared with one group of all instances, and false detections.

use crate::report::{
    Limit,
    Report, //
};
use foxtide_core::membership::MembershipOptions;
use foxtide_testing::{
    VirtualFleet,
    VirtualFleetOptions, //
};
use std::time::Duration;

const INSTANCES: usize = 150;

const TARGET_INSTANCES: usize = 600;

/// Every third instance is partitioned off; with zones these form whole regions.
const PARTITION_STEP: usize = 3;

const KILLS: u64 = 10;

const PHASE: Duration = Duration::from_secs(60);

pub(crate) fn run(report: &mut Report) {
    for (name, zones) in [("one_group", 1), ("zones", 15)] {
        let mut fleet = fleet(INSTANCES, zones, 0);
        fleet.run_for(PHASE);
        let name = format!("membership.scope.{name}");
        let across_before = fleet.sent_across_regions();
        let steady = sent_per_s(&mut fleet);
        report_rate(report, &format!("{name}.steady"), steady);
        let across = (fleet.sent_across_regions() - across_before) as f64
            / INSTANCES as f64
            / PHASE.as_secs_f64();
        report_rate(report, &format!("{name}.steady_to_other_regions"), across);
        fleet.partition((0..INSTANCES).step_by(PARTITION_STEP));
        let partitioned = sent_per_s(&mut fleet);
        report_rate(report, &format!("{name}.region_cut_off"), partitioned);
        fleet.heal();
        let took = fleet.run_until(PHASE, VirtualFleet::all_agree);
        let took_s = took.unwrap_or(PHASE).as_secs_f64();
        let figure = format!("{name}.all_agree_after_healing");
        report.figure(&figure, took_s, "s", Limit::None);
        measure_detection(report, &name, INSTANCES, zones);
    }
    measure_target_fleet(report);
    measure_suspicions(report);
}

fn measure_target_fleet(report: &mut Report) {
    let name = "membership.scope.600in15";
    let mut fleet = fleet(TARGET_INSTANCES, 15, 0);
    fleet.run_for(PHASE / 2);
    let before = fleet.sent();
    fleet.run_for(PHASE / 2);
    let sent = (fleet.sent() - before) as f64 / TARGET_INSTANCES as f64;
    report_rate(
        report,
        &format!("{name}.steady"),
        sent / (PHASE / 2).as_secs_f64(),
    );
    let count = fleet.false_detections().suspected as f64;
    report.figure(&format!("{name}.suspected"), count, "", Limit::AtMost(0.0));
    measure_detection(report, name, TARGET_INSTANCES, 15);
}

/// Returns a fleet. In a single group, every probe has the timeout for other regions.
fn fleet(instances: usize, zones: usize, seed: u64) -> VirtualFleet {
    let mut membership = MembershipOptions::default();
    if zones == 1 {
        membership.near_timeout = membership.far_timeout;
    }
    VirtualFleet::new(VirtualFleetOptions {
        membership,
        instances,
        zones,
        seed,
        ..VirtualFleetOptions::default()
    })
}

/// Measures the time until no instance lists a killed instance as a member.
fn measure_detection(report: &mut Report, name: &str, instances: usize, zones: usize) {
    let durations_s = (0..KILLS).map(|seed| {
        let mut fleet = fleet(instances, zones, seed);
        fleet.run_for(Duration::from_secs(2));
        fleet.kill(seed as usize);
        let took = fleet.run_until(PHASE, VirtualFleet::all_agree);
        took.unwrap_or(PHASE).as_secs_f64()
    });
    let durations_s: Vec<_> = durations_s.collect();
    let mean_s = durations_s.iter().sum::<f64>() / KILLS as f64;
    let longest_s = durations_s.iter().copied().fold(0.0, f64::max);
    report.figure(&format!("{name}.gone_mean"), mean_s, "s", Limit::None);
    report.figure(&format!("{name}.gone_longest"), longest_s, "s", Limit::None);
}

/// Returns the datagrams sent per second and instance.
fn sent_per_s(fleet: &mut VirtualFleet) -> f64 {
    let before = fleet.sent();
    fleet.run_for(PHASE);
    (fleet.sent() - before) as f64 / INSTANCES as f64 / PHASE.as_secs_f64()
}

fn report_rate(report: &mut Report, name: &str, sent: f64) {
    report.figure(name, sent, "1/s/inst", Limit::None);
}

/// Counts false detections at 20 % packet loss, compared with direct probes only
/// and with a single ping per probe.
fn measure_suspicions(report: &mut Report) {
    let default = MembershipOptions::default();
    let without_helpers = MembershipOptions {
        indirect_probes: 0,
        ..default
    };
    let single_ping = MembershipOptions {
        probe_attempts: 1,
        ..without_helpers
    };
    let variants = [
        ("whole", default),
        ("without_helpers", without_helpers),
        ("single_ping", single_ping),
    ];
    for (name, membership) in variants {
        const INSTANCES: usize = 40;
        const MINUTES: u32 = 25;
        let mut fleet = VirtualFleet::new(VirtualFleetOptions {
            membership,
            instances: INSTANCES,
            ..VirtualFleetOptions::default()
        });
        fleet.set_loss_rate(0.2);
        fleet.run_for(Duration::from_secs(60) * MINUTES);
        let counts = fleet.false_detections();
        let unit = "/1000min";
        let dead_limit = match name {
            "whole" => Limit::AtMost(0.0),
            _ => Limit::None,
        };
        let name = format!("membership.loss20.{name}");
        let suspected = counts.suspected as f64;
        report.figure(&format!("{name}.suspected"), suspected, unit, Limit::None);
        report.figure(
            &format!("{name}.dead"),
            counts.dead as f64,
            unit,
            dead_limit,
        );
    }
}
