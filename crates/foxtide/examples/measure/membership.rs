//! Measures the network, CPU and memory usage of membership and load reports, and
//! the detection time of killed instances.

use crate::linear_fit::LinearFit;
use crate::mesh_fleet::{
    Fleet,
    Topology,
    organisation,
    wait_until, //
};
use crate::report::{
    Limit,
    Report, //
};
use crate::resource_usage::{
    cpu_time,
    memory_bytes, //
};
use foxtide_mesh::MeshHandle;
use std::time::{
    Duration,
    Instant, //
};

const FLEET_SIZES: [usize; 5] = [10, 20, 40, 80, 160];

/// With 160 instances, zones as large as those of the target fleet: 40 instances.
const LARGE_ZONES: Topology = Topology {
    regions: 2,
    zones: 4,
};

const TARGET_INSTANCES: f64 = 600.0;
const SENT_MAX_BYTES_PER_S: f64 = 3_000.0;
const CPU_MAX_PERCENT: f64 = 4.9;
const MEMORY_MAX_KB: f64 = 32_000.0;

const MEASUREMENT_S: u32 = 15;

/// Maximum time until no instance lists a killed instance as a member.
const DETECTION_MAX_S: f64 = 3.0;

const KILLS: usize = 20;

/// Resource usage per instance.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    sent_bytes_per_s: f64,
    received_bytes_per_s: f64,
    /// Maximum over all instances of the rate sent.
    busiest_bytes_per_s: f64,
    cpu_percent: f64,
    memory_kb: f64,
}

pub(crate) fn run(report: &mut Report) {
    let mut costs = Vec::new();
    // Measured before any fleet starts: memory freed by one fleet remains resident.
    let memory_before = memory_bytes();
    for instances in FLEET_SIZES {
        let cost = measure_cost(report, instances, Topology::TARGET, memory_before);
        costs.push((instances as f64, cost));
    }
    extrapolate(report, &costs);
    for (instances, topology) in [(10, Topology::CURRENT), (160, LARGE_ZONES)] {
        measure_cost(report, instances, topology, memory_before);
    }
    measure_detection(report);
}

fn measure_cost(
    report: &mut Report,
    instances: usize,
    topology: Topology,
    memory_before: f64,
) -> Cost {
    let fleet = Fleet::start(instances, topology);
    publish_load_for(&fleet, 5);
    fleet.settle();
    let before = traffic(&fleet);
    let failed_before = failed_probes(&fleet);
    let cpu_before = cpu_time();
    let started = Instant::now();
    publish_load_for(&fleet, MEASUREMENT_S);
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_s = (cpu_time() - cpu_before).as_secs_f64();
    let after = traffic(&fleet);
    let count = instances as f64;
    let rates = before.iter().zip(&after).map(|(before, after)| Traffic {
        sent: (after.sent - before.sent) / elapsed_s,
        received: (after.received - before.received) / elapsed_s,
    });
    let rates: Vec<_> = rates.collect();
    let cost = Cost {
        sent_bytes_per_s: rates.iter().map(|rate| rate.sent).sum::<f64>() / count,
        received_bytes_per_s: rates.iter().map(|rate| rate.received).sum::<f64>() / count,
        busiest_bytes_per_s: rates.iter().map(|rate| rate.sent).fold(0.0, f64::max),
        cpu_percent: 100.0 * cpu_s / elapsed_s / count,
        memory_kb: (memory_bytes() - memory_before) / 1e3 / count,
    };
    let name = format!("membership.{instances}in{}", topology.zones);
    report_cost(report, &name, cost);
    let failed = failed_probes(&fleet) - failed_before;
    let per_minute = failed * 60.0 / elapsed_s / count;
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
        oldest_load_s(&fleet),
        "s",
        Limit::None,
    );
    fleet.stop();
    cost
}

/// Returns the age of the oldest load report in use at any instance, in seconds.
fn oldest_load_s(fleet: &Fleet) -> f64 {
    let views = fleet.handles.iter();
    let views = views.map(|handle| handle.fleet_view(&organisation()));
    let ages = views.flat_map(|view| {
        let at = view.measured_at;
        let regions = view.regions.into_values();
        regions.map(move |region| (at - region.oldest_at).as_secs_f64())
    });
    ages.fold(0.0, f64::max)
}

/// Returns the number of failed probes; all are false, as every instance runs.
fn failed_probes(fleet: &Fleet) -> f64 {
    let counts = fleet.handles.iter().map(MeshHandle::counts);
    counts.map(|counts| counts.failed_probes as f64).sum()
}

/// Bytes sent and received by one instance.
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

fn publish_load_for(fleet: &Fleet, seconds: u32) {
    for _ in 0..seconds {
        fleet.publish_load();
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn report_cost(report: &mut Report, name: &str, cost: Cost) {
    let limit = Limit::AtMost(SENT_MAX_BYTES_PER_S);
    let figures = [
        ("sent", cost.sent_bytes_per_s, "B/s", limit),
        ("received", cost.received_bytes_per_s, "B/s", limit),
        ("sent_busiest", cost.busiest_bytes_per_s, "B/s", limit),
        (
            "processor",
            cost.cpu_percent,
            "% core",
            Limit::AtMost(CPU_MAX_PERCENT),
        ),
        ("memory", cost.memory_kb, "kB", Limit::AtMost(MEMORY_MAX_KB)),
    ];
    for (figure, value, unit, limit) in figures {
        report.figure(&format!("{name}.{figure}"), value, unit, limit);
    }
}

/// Extrapolates the bytes sent to the target fleet. CPU time and memory are not
/// extrapolated: with many instances in one process, noise and shared memory dominate.
fn extrapolate(report: &mut Report, costs: &[(f64, Cost)]) {
    let sent = fit(costs, |cost| cost.sent_bytes_per_s);
    report.figure("membership.sent.slope", sent.slope, "B/s/inst", Limit::None);
    let at_target = sent.at(TARGET_INSTANCES);
    let limit = Limit::AtMost(SENT_MAX_BYTES_PER_S);
    report.figure("membership.sent.at_600", at_target, "B/s", limit);
}

fn fit(costs: &[(f64, Cost)], value: fn(&Cost) -> f64) -> LinearFit {
    let points = costs.iter().map(|(size, cost)| (*size, value(cost)));
    let points: Vec<_> = points.collect();
    LinearFit::least_squares(&points)
}

fn measure_detection(report: &mut Report) {
    for (instances, topology) in [
        (10, Topology::CURRENT),
        (160, Topology::TARGET),
        (160, LARGE_ZONES),
    ] {
        let mut fleet = Fleet::start(instances, topology);
        let mut longest_s: f64 = 0.0;
        let kills = KILLS.min(instances / 2);
        for kill in 0..kills {
            fleet.kill(kill % fleet.handles.len());
            let took = wait_until(|| fleet.is_converged());
            longest_s = longest_s.max(took.as_secs_f64());
        }
        let zones = topology.zones;
        let name = format!("membership.{instances}in{zones}.gone_longest_of_{kills}");
        report.figure(&name, longest_s, "s", Limit::AtMost(DETECTION_MAX_S));
        fleet.stop();
    }
}
