//! Measures event recording, and compares two ways to replicate events to peers,
//! copies and parity, by their cost and by the share lost when instances fail.

mod parity;

use crate::report::{
    Limit,
    Report, //
};
use foxtide_core::events::backup::{
    BATCH_OVERHEAD_BYTES,
    BackupHolder,
    BackupPeer,
    BackupSender,
    SenderOptions,
    choose_peers, //
};
use foxtide_core::events::{
    Event,
    EventCode,
    EventFields,
    EventMessage,
    EventRing,
    HybridClock, //
};
use foxtide_core::ids::InstanceId;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_events::{
    Recorder,
    RecorderOptions,
    WallClock, //
};
use parity::{
    BLOCK_BYTES,
    MASK_OVERHEAD_BYTES,
    ParityGroup, //
};
use prost::Message;
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

const INSTANCES: usize = 600;
const ZONES: usize = 15;
const REGIONS: usize = 7;
const GROUP_SIZE: usize = 8;
const DURATION_S: u64 = 3_600;

/// Events per second above debug level: 0.03 for 2,800 configuration changes per day,
/// the rest for events of limits and upstreams.
const EVENTS_PER_S: f64 = 0.25;

/// An availability zone of 40 members fails: each is suspected, then declared dead.
const BURST_EVENTS: usize = 80;

const RECORDED_EVENTS: u32 = 200_000;
const TRIALS: usize = 20_000;
const SEED: u64 = 89;

pub(crate) fn run(report: &mut Report) {
    measure_recording(report);
    measure_copies(report);
    measure_parity(report);
    measure_losses(report);
}

fn sample_event(clock: &mut HybridClock, number: usize) -> Event {
    let codes = [
        EventCode::ConfigurationApplied,
        EventCode::UpstreamEjected,
        EventCode::WeightsShifted,
        EventCode::MemberFailed,
    ];
    let fields = EventFields {
        organisation: Some("hamutenya".parse().expect("valid name")),
        service: Some("viewer".parse().expect("valid name")),
        detail: format!("share=0.{number:04} was=0.0417 age_ms={number}"),
        ..EventFields::default()
    };
    let wall = WallTime::from_ms(1_750_000_000_000 + number as u64);
    let instance = "khomas-17".parse().expect("valid name");
    Event::new(
        clock.tick(wall),
        instance,
        codes[number % codes.len()],
        fields,
    )
}

fn measure_recording(report: &mut Report) {
    let mean_us = mean_record_us(Duration::from_secs(2));
    let held_back_us = mean_record_us(Duration::ZERO);
    let started = Instant::now();
    for number in 0..RECORDED_EVENTS {
        std::hint::black_box(format!("share=0.{number:04}"));
    }
    let text_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(RECORDED_EVENTS);
    report.figure("events.record", mean_us, "us", Limit::AtMost(5.0));
    report.figure("events.record_held_back", held_back_us, "us", Limit::None);
    report.figure("events.record.baseline_text", text_us, "us", Limit::None);
}

/// Returns the mean time to record an event, in microseconds, if similar events are
/// `interval` apart.
fn mean_record_us(interval: Duration) -> f64 {
    let wall = Arc::new(AtomicU64::new(0));
    let options = RecorderOptions {
        clock: WallClock::Manual(Arc::clone(&wall)),
        ..RecorderOptions::default()
    };
    let recorder = Recorder::new("k-1".parse().expect("valid name"), options);
    let interval_us = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
    let started = Instant::now();
    for number in 0..RECORDED_EVENTS {
        wall.fetch_add(interval_us, Ordering::Relaxed);
        let detail = format!("share=0.{number:04}");
        recorder.record(EventCode::WeightsShifted, EventFields::detail(detail));
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(RECORDED_EVENTS)
}

/// Replicates the events of an hour to `copies` peers.
fn replicate_hour(copies: usize) -> ReplicationCost {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut clock = HybridClock::default();
    let mut ring = EventRing::default();
    let origin: InstanceId = "khomas-17".parse().expect("valid name");
    let mut sender = BackupSender::new(origin, SenderOptions::default(), MonotonicTime::ZERO);
    let peers = (0..copies).map(|number| format!("peer-{number}").parse().expect("valid name"));
    sender.set_peers(peers.collect());
    let mut holders = vec![BackupHolder::default(); copies];
    let mut cost = ReplicationCost::default();
    for second in 1..=DURATION_S {
        let burst = if second == DURATION_S / 2 {
            BURST_EVENTS
        } else {
            0
        };
        let count = usize::from(random.random_bool(EVENTS_PER_S)) + burst;
        for _ in 0..count {
            cost.events += 1;
            ring.push(sample_event(&mut clock, cost.events));
        }
        let started = Instant::now();
        let after = |sequence, limit| ring.notable_after(sequence, limit);
        let batches = sender.poll(MonotonicTime::from_ms(second * 1_000), after);
        for batch in batches {
            cost.sent_bytes += batch.copies.encoded_len() as u64 + BATCH_OVERHEAD_BYTES;
            let number: usize = batch.to.as_str()[5..].parse().expect("peer number");
            let ack = holders[number].accept(batch.copies).expect("valid origin");
            sender.acknowledge(&batch.to, ack.through);
        }
        cost.busy_s += started.elapsed().as_secs_f64();
    }
    cost.held_bytes = holders.iter().map(BackupHolder::size_bytes).sum();
    cost
}

#[derive(Default)]
struct ReplicationCost {
    events: usize,
    sent_bytes: u64,
    held_bytes: usize,
    busy_s: f64,
}

fn measure_copies(report: &mut Report) {
    for copies in [1, 2] {
        let cost = replicate_hour(copies);
        let per_s = cost.sent_bytes as f64 / DURATION_S as f64;
        let mean_us = cost.busy_s * 1e6 / cost.events as f64;
        let name = |figure| format!("events.copies_{copies}.{figure}");
        report.figure(&name("sent"), per_s, "B/s", Limit::AtMost(256.0));
        report.figure(&name("event"), mean_us, "us", Limit::None);
        let held_bytes = cost.held_bytes as f64;
        report.figure(&name("held_at_peers"), held_bytes, "bytes", Limit::None);
    }
}

fn measure_parity(report: &mut Report) {
    let mut clock = HybridClock::default();
    let mut group = ParityGroup::new(GROUP_SIZE);
    let per_member = (EVENTS_PER_S * DURATION_S as f64) as usize + BURST_EVENTS;
    let mut mask_bytes = 0;
    let started = Instant::now();
    for number in 0..per_member * GROUP_SIZE {
        let message = EventMessage::from(&sample_event(&mut clock, number));
        mask_bytes += group.append(number % GROUP_SIZE, &message.encode_to_vec());
    }
    let mean_us = started.elapsed().as_secs_f64() * 1e6 / (per_member * GROUP_SIZE) as f64;
    // One packet per second with events, as for copies.
    let packets = per_member as u64 * (MASK_OVERHEAD_BYTES + BATCH_OVERHEAD_BYTES);
    let per_s = (mask_bytes / GROUP_SIZE as u64 + packets) as f64 / DURATION_S as f64;
    report.figure("events.parity.sent", per_s, "B/s", Limit::None);
    report.figure("events.parity_2d.sent", 2.0 * per_s, "B/s", Limit::None);
    report.figure("events.parity.event", mean_us, "us", Limit::None);
    let size = (BLOCK_BYTES / GROUP_SIZE) as f64;
    report.figure("events.parity.held_at_peers", size, "bytes", Limit::None);
    let is_equal = group.reconstruct(3) == group.block(3);
    report.figure(
        "events.parity.read_whole",
        f64::from(is_equal),
        "bool",
        Limit::AtLeast(1.0),
    );
    let read = (BLOCK_BYTES * GROUP_SIZE) as f64;
    report.figure("events.parity.read_a_lost_line", read, "bytes", Limit::None);
    report.figure(
        "events.parity.rejoin_after_restart",
        read,
        "bytes",
        Limit::None,
    );
}

/// Returns the members of the target fleet.
fn fleet() -> Vec<BackupPeer> {
    let member = |number: usize| {
        let zone = number % ZONES;
        BackupPeer {
            instance: format!("i-{number}").parse().expect("valid name"),
            availability_zone: format!("z-{zone}").parse().expect("valid name"),
            region: format!("r-{}", zone % REGIONS).parse().expect("valid name"),
        }
    };
    (0..INSTANCES).map(member).collect()
}

/// For each member, the peers from which its events can be recovered: from any one of
/// them (copies), or only from all of them (parity).
enum RecoverySources {
    AnyOf(Vec<Vec<usize>>),
    AllOf(Vec<Vec<usize>>),
}

impl RecoverySources {
    fn loses(&self, member: usize, failed: &HashSet<usize>) -> bool {
        match self {
            Self::AnyOf(holders) => holders[member].iter().all(|peer| failed.contains(peer)),
            Self::AllOf(group) => group[member].iter().any(|peer| failed.contains(peer)),
        }
    }
}

fn copy_sources(fleet: &[BackupPeer], copies: usize) -> RecoverySources {
    let number = |id: &InstanceId| id.as_str()[2..].parse().expect("member number");
    let holders = fleet.iter().map(|member| {
        let peers = choose_peers(member, fleet, copies);
        peers.iter().map(number).collect()
    });
    RecoverySources::AnyOf(holders.collect())
}

/// Returns the other members of each member's parity group: [`GROUP_SIZE`] data members
/// and a parity member, all in different zones.
fn parity_sources() -> RecoverySources {
    let size = GROUP_SIZE + 1;
    let group = |number: usize| {
        let start = number / size * size;
        let others = (start..start + size).map(|member| member % INSTANCES);
        others.filter(|member| *member != number).collect()
    };
    RecoverySources::AllOf((0..INSTANCES).map(group).collect())
}

/// Returns the share of failed members whose events cannot be recovered.
fn lost_share(sources: &RecoverySources, failures: &[HashSet<usize>]) -> f64 {
    let mut lost = 0;
    let mut total = 0;
    for failed in failures {
        total += failed.len();
        lost += failed.iter().filter(|m| sources.loses(**m, failed)).count();
    }
    lost as f64 / total as f64
}

fn measure_losses(report: &mut Report) {
    let fleet = fleet();
    let mut random = StdRng::seed_from_u64(SEED);
    let mut random_failures = |count: usize| -> Vec<HashSet<usize>> {
        let failure = |_| {
            (0..count)
                .map(|_| random.random_range(0..INSTANCES))
                .collect()
        };
        (0..TRIALS).map(failure).collect()
    };
    let zones = (0..ZONES).map(|zone| (0..INSTANCES).filter(|m| m % ZONES == zone).collect());
    let cases = [
        ("one", random_failures(1)),
        ("two", random_failures(2)),
        // The restarts of a day, without new copies in between.
        ("day_of_37", random_failures(37)),
        ("zone", zones.collect()),
    ];
    let schemes = [
        ("copies_1", copy_sources(&fleet, 1)),
        ("copies_2", copy_sources(&fleet, 2)),
        ("parity", parity_sources()),
    ];
    for (scheme, sources) in &schemes {
        for (case, failures) in &cases {
            let share = lost_share(sources, failures);
            let must_survive = *scheme == "copies_2" && *case != "day_of_37";
            let limit = if must_survive {
                Limit::AtMost(0.0)
            } else {
                Limit::None
            };
            report.figure(
                &format!("events.{scheme}.lost_after_{case}"),
                share,
                "share",
                limit,
            );
        }
    }
}
