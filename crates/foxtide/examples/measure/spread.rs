//! Measures the propagation time of configuration changes, also under faults, and
//! the network traffic that they cause.

use crate::mesh_fleet::{
    Fleet,
    Topology,
    document,
    wait_until, //
};
use crate::report::{
    Limit,
    Report, //
};
use foxtide_core::dissemination::Document;
use foxtide_core::units::Revision;
use foxtide_mesh::MeshHandle;
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use smol::channel::Receiver;
use std::time::{
    Duration,
    Instant, //
};

const INSTANCES: usize = 160;
const CHANGES: usize = 100;

/// Maximum of the 99th percentile of the time to all instances.
const P99_MAX_S: f64 = 2.0;

/// Maximum time to all instances after a fault.
const FAULT_MAX_S: f64 = 18.0;

/// Changes per day of the target fleet.
const CHANGES_PER_DAY: f64 = 2_800.0;
const DAY_S: f64 = 86_400.0;
const BYTES_MAX_PER_S: f64 = 3_000.0;

/// Shorter than the partition of a minute that it represents, to save time.
const PARTITION_DURATION: Duration = Duration::from_secs(10);

/// Delay with which a watch of the store reports a change.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

const ROUNDS_WITH_KILLED_WATCHERS: u64 = 3;
const SEED: u64 = 17;

pub(crate) fn run(report: &mut Report) {
    measure_healthy(report);
    measure_killed_watchers(report);
    measure_partition(report);
    measure_reverts(report);
}

fn measure_healthy(report: &mut Report) {
    let fleet = Fleet::start(INSTANCES, Topology::TARGET);
    let mut rng = StdRng::seed_from_u64(SEED);
    fleet.settle();
    let idle_bytes_per_s = sent_bytes_per_s(&fleet);
    let before = sent_bytes(&fleet);
    let started = Instant::now();
    let mut durations_s = Vec::new();
    for revision in 1..=CHANGES as u64 {
        let index = rng.random_range(0..fleet.handles.len());
        fleet.handles[index].publish_configuration(&document(revision));
        durations_s.push(wait_until(|| fleet.all_have_revision(revision)).as_secs_f64());
    }
    let sent = sent_bytes(&fleet) - before - idle_bytes_per_s * started.elapsed().as_secs_f64();
    durations_s.sort_by(f64::total_cmp);
    let name = format!("spread.{INSTANCES}in15");
    report.figure(
        &format!("{name}.median"),
        durations_s[CHANGES / 2],
        "s",
        Limit::None,
    );
    let p99 = durations_s[CHANGES * 99 / 100 - 1];
    report.figure(&format!("{name}.p99"), p99, "s", Limit::AtMost(P99_MAX_S));
    let per_change = sent / CHANGES as f64 / INSTANCES as f64;
    report.figure(
        &format!("{name}.sent_per_change"),
        per_change,
        "B",
        Limit::None,
    );
    let document_bytes = document(1).bytes.len() as f64;
    let ratio = per_change / document_bytes;
    report.figure(
        &format!("{name}.sent_per_document_byte"),
        ratio,
        "B/B",
        Limit::None,
    );
    let per_s = per_change * CHANGES_PER_DAY / DAY_S;
    let limit = Limit::AtMost(BYTES_MAX_PER_S);
    report.figure(&format!("{name}.sent_at_2800_a_day"), per_s, "B/s", limit);
    fleet.stop();
}

fn sent_bytes(fleet: &Fleet) -> f64 {
    let counts = fleet.handles.iter().map(MeshHandle::traffic);
    counts.map(|counts| counts.sent_bytes as f64).sum()
}

fn sent_bytes_per_s(fleet: &Fleet) -> f64 {
    let before = sent_bytes(fleet);
    let started = Instant::now();
    std::thread::sleep(Duration::from_secs(10));
    (sent_bytes(fleet) - before) / started.elapsed().as_secs_f64()
}

/// Publishes the newest document at all current watchers, as their watches of the
/// store would, until all instances have it; returns the time taken.
fn publish_until_all_have(fleet: &Fleet, newest: &Document) -> Duration {
    let started = Instant::now();
    while !fleet.all_have_revision(newest.revision.get())
        && started.elapsed().as_secs_f64() < FAULT_MAX_S * 3.0
    {
        std::thread::sleep(WATCH_INTERVAL);
        for index in fleet.watchers() {
            fleet.handles[index].publish_configuration(newest);
        }
    }
    started.elapsed()
}

fn measure_killed_watchers(report: &mut Report) {
    let mut fleet = Fleet::start(INSTANCES, Topology::TARGET);
    let mut longest_s: f64 = 0.0;
    for revision in 1..=ROUNDS_WITH_KILLED_WATCHERS {
        // Half of the zones lose both of their watchers.
        let mut to_kill = fleet.watchers();
        to_kill.sort_by_key(|index| fleet.handles[*index].own().availability_zone);
        to_kill.truncate(to_kill.len() / 2);
        to_kill.sort_unstable();
        for index in to_kill.into_iter().rev() {
            fleet.kill(index);
        }
        let took = publish_until_all_have(&fleet, &document(revision));
        longest_s = longest_s.max(took.as_secs_f64());
        wait_until(|| fleet.is_converged());
    }
    let name = "spread.160in15.half_of_watchers_killed";
    report.figure(name, longest_s, "s", Limit::AtMost(FAULT_MAX_S));
    fleet.stop();
}

fn measure_partition(report: &mut Report) {
    let fleet = Fleet::start(INSTANCES, Topology::CURRENT);
    fleet.partition_first_region();
    std::thread::sleep(PARTITION_DURATION);
    // The store is on the larger side of the partition.
    let newest = document(1);
    fleet.handles[1].publish_configuration(&newest);
    wait_until(|| fleet.handles[2].configurations().len() == 1);
    fleet.faults.heal();
    let took = wait_until(|| fleet.all_have_revision(1));
    let name = "spread.160in6.after_cut_healed";
    let limit = Limit::AtMost(FAULT_MAX_S);
    report.figure(name, took.as_secs_f64(), "s", limit);
    let converged = wait_until(|| fleet.is_converged());
    let name = "spread.160in6.members_after_cut_healed";
    report.figure(name, (took + converged).as_secs_f64(), "s", limit);
    fleet.stop();
}

/// Publishes changes while instances are replaced and a region is partitioned at
/// random; counts the applied revisions that are not newer than the one before.
fn measure_reverts(report: &mut Report) {
    const CHANGES: u64 = 200;
    const FLEET_SIZE: usize = 20;
    let mut fleet = Fleet::start(FLEET_SIZE, Topology::CURRENT);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut streams: Vec<_> = fleet.handles.iter().map(changes_of).collect();
    for revision in 1..=CHANGES {
        match rng.random_range(0..20) {
            0 | 1 => {
                fleet.kill(rng.random_range(0..FLEET_SIZE));
                fleet.start_instance();
                streams.extend(fleet.handles.last().map(changes_of));
            }
            2 => fleet.partition_first_region(),
            3..=6 => fleet.faults.heal(),
            _ => {}
        }
        // A second, possibly lagging watcher reports the same or an older revision.
        let lag = rng.random_range(0..3).min(revision - 1);
        let indices = [(); 2].map(|()| rng.random_range(0..FLEET_SIZE));
        fleet.handles[indices[0]].publish_configuration(&document(revision));
        fleet.handles[indices[1]].publish_configuration(&document(revision - lag));
        std::thread::sleep(Duration::from_millis(50));
    }
    fleet.faults.heal();
    let took = wait_until(|| fleet.all_have_revision(CHANGES));
    let reverts: usize = streams.iter().map(count_reverts).sum();
    let name = format!("spread.20in6.reverts_in_{CHANGES}_changes");
    report.figure(&name, reverts as f64, "reverts", Limit::AtMost(0.0));
    let name = "spread.20in6.last_change_after_healing";
    report.figure(name, took.as_secs_f64(), "s", Limit::AtMost(FAULT_MAX_S));
    fleet.stop();
}

fn changes_of(handle: &MeshHandle) -> Receiver<Document> {
    handle.configuration_changes()
}

fn count_reverts(stream: &Receiver<Document>) -> usize {
    let mut newest = Revision::ZERO;
    let mut reverts = 0;
    while let Ok(change) = stream.try_recv() {
        reverts += usize::from(change.revision <= newest);
        newest = newest.max(change.revision);
    }
    reverts
}
