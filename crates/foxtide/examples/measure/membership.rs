//! What membership and load cost an instance, and how fast a killed instance is
//! gone.

use crate::fit::Line;
use crate::mesh_fleet::{
    Fleet,
    Shape,
    TARGET,
    TODAY,
    organisation,
    wait, //
};
use crate::report::{
    Limit,
    Report, //
};
use crate::usage::{
    memory_bytes,
    processor_time, //
};
use foxtide_mesh::MeshHandle;
use std::time::{
    Duration,
    Instant, //
};

const SIZES: [usize; 5] = [10, 20, 40, 80, 160];

/// A world in which the zones of 160 instances are as large as at target size.
const LARGE_ZONES: Shape = Shape {
    regions: 2,
    zones: 4,
};

/// The target: instances, and what each may spend on control.
const TARGET_INSTANCES: f64 = 600.0;
const SENT_MAX_BYTES_PER_S: f64 = 3_000.0;
const PROCESSOR_MAX_PERCENT: f64 = 4.9;
const MEMORY_MAX_KB: f64 = 32_000.0;

/// How long each fleet is watched.
const WATCH_SECONDS: u32 = 15;

/// The longest time in which a killed instance is gone everywhere, in seconds.
const GONE_MAX_S: f64 = 3.0;

const KILLS: usize = 20;

/// What one instance spends.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    sent_bytes_per_s: f64,
    received_bytes_per_s: f64,
    busiest_bytes_per_s: f64,
    processor_percent: f64,
    memory_kb: f64,
}

/// Measures membership.
pub(crate) fn run(report: &mut Report) {
    let mut costs = Vec::new();
    // Before any fleet, so that freed memory does not count as unused.
    let memory_before = memory_bytes();
    for instances in SIZES {
        let cost = cost(report, instances, TARGET, memory_before);
        costs.push((instances as f64, cost));
    }
    extrapolate(report, &costs);
    // The fleet of today, and one whose zones are as large as at target size.
    for (instances, shape) in [(10, TODAY), (160, LARGE_ZONES)] {
        cost(report, instances, shape, memory_before);
    }
    detection(report);
}

fn cost(report: &mut Report, instances: usize, shape: Shape, memory_before: f64) -> Cost {
    let fleet = Fleet::start(instances, shape);
    watch(&fleet, 5);
    fleet.settle();
    let before = traffic(&fleet);
    let silent_before = silent(&fleet);
    let processor_before = processor_time();
    let started = Instant::now();
    watch(&fleet, WATCH_SECONDS);
    let passed_s = started.elapsed().as_secs_f64();
    let used_s = (processor_time() - processor_before).as_secs_f64();
    let after = traffic(&fleet);
    let count = instances as f64;
    let rates = before.iter().zip(&after).map(|(before, after)| Traffic {
        sent: (after.sent - before.sent) / passed_s,
        received: (after.received - before.received) / passed_s,
    });
    let rates: Vec<_> = rates.collect();
    let cost = Cost {
        sent_bytes_per_s: rates.iter().map(|rate| rate.sent).sum::<f64>() / count,
        received_bytes_per_s: rates.iter().map(|rate| rate.received).sum::<f64>() / count,
        busiest_bytes_per_s: rates.iter().map(|rate| rate.sent).fold(0.0, f64::max),
        processor_percent: 100.0 * used_s / passed_s / count,
        memory_kb: (memory_bytes() - memory_before) / 1e3 / count,
    };
    let name = format!("membership.{instances}in{}", shape.zones);
    show(report, &name, cost);
    let silent = silent(&fleet) - silent_before;
    let per_minute = silent * 60.0 / passed_s / count;
    let unit = "/min/inst";
    report.figure(&format!("{name}.suspected"), per_minute, unit, Limit::None);
    let interval_s = fleet.handles[0].load_interval().as_secs_f64();
    report.figure(
        &format!("{name}.load_interval"),
        interval_s,
        "s",
        Limit::None,
    );
    report.figure(
        &format!("{name}.load_age"),
        oldest_s(&fleet),
        "s",
        Limit::None,
    );
    fleet.stop();
    cost
}

/// Returns the age of the oldest load that any instance knows, in seconds.
fn oldest_s(fleet: &Fleet) -> f64 {
    let views = fleet.handles.iter();
    let views = views.map(|handle| handle.fleet_view(&organisation()));
    let ages = views.flat_map(|view| {
        let at = view.measured_at;
        let regions = view.regions.into_values();
        regions.map(move |region| (at - region.oldest_at).as_secs_f64())
    });
    ages.fold(0.0, f64::max)
}

/// Returns how many probes stayed without answer; all were wrong.
fn silent(fleet: &Fleet) -> f64 {
    let counts = fleet.handles.iter().map(MeshHandle::counts);
    counts.map(|counts| counts.failed_probes as f64).sum()
}

/// Bytes of one instance.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    sent: f64,
    received: f64,
}

fn traffic(fleet: &Fleet) -> Vec<Traffic> {
    let counts = fleet.handles.iter().map(MeshHandle::traffic);
    let traffic = counts.map(|counts| Traffic {
        sent: counts.sent_bytes as f64,
        received: counts.received_bytes as f64,
    });
    traffic.collect()
}

fn watch(fleet: &Fleet, seconds: u32) {
    for _ in 0..seconds {
        fleet.publish_load();
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn show(report: &mut Report, name: &str, cost: Cost) {
    let bytes = Limit::AtMost(SENT_MAX_BYTES_PER_S);
    let figures = [
        ("sent", cost.sent_bytes_per_s, "B/s", bytes),
        ("received", cost.received_bytes_per_s, "B/s", bytes),
        ("sent_busiest", cost.busiest_bytes_per_s, "B/s", bytes),
        (
            "processor",
            cost.processor_percent,
            "% core",
            Limit::AtMost(PROCESSOR_MAX_PERCENT),
        ),
        ("memory", cost.memory_kb, "kB", Limit::AtMost(MEMORY_MAX_KB)),
    ];
    for (figure, value, unit, limit) in figures {
        report.figure(&format!("{name}.{figure}"), value, unit, limit);
    }
}

/// Shows what the bytes sent come to at target size. Processor time and memory
/// of so many instances in one process are mostly noise and what they share, so
/// that the largest fleet is shown for them instead of a line.
fn extrapolate(report: &mut Report, costs: &[(f64, Cost)]) {
    let sent = line(costs, |cost| cost.sent_bytes_per_s);
    report.figure("membership.sent.slope", sent.slope, "B/s/inst", Limit::None);
    let at_target = sent.at(TARGET_INSTANCES);
    let limit = Limit::AtMost(SENT_MAX_BYTES_PER_S);
    report.figure("membership.sent.at_600", at_target, "B/s", limit);
}

fn line(costs: &[(f64, Cost)], part: fn(&Cost) -> f64) -> Line {
    let points = costs.iter().map(|(size, cost)| (*size, part(cost)));
    let points: Vec<_> = points.collect();
    Line::through(&points)
}

fn detection(report: &mut Report) {
    for (instances, shape) in [(10, TODAY), (160, TARGET), (160, LARGE_ZONES)] {
        let mut fleet = Fleet::start(instances, shape);
        let mut longest_s: f64 = 0.0;
        let kills = KILLS.min(instances / 2);
        for kill in 0..kills {
            fleet.kill(kill % fleet.handles.len());
            let took = wait(|| fleet.knows_itself());
            longest_s = longest_s.max(took.as_secs_f64());
        }
        let zones = shape.zones;
        let name = format!("membership.{instances}in{zones}.gone_longest_of_{kills}");
        report.figure(&name, longest_s, "s", Limit::AtMost(GONE_MAX_S));
        fleet.stop();
    }
}
