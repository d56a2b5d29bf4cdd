//! What the time line costs, and what of it survives losses: copies at peers
//! against parity over a group of peers.

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
const GROUP: usize = 8;
const SECONDS: u64 = 3_600;
/// Events a second above debug level on an ordinary day: 2,800 changes of
/// configuration are 0.03; the rest is room for limits and upstreams.
const EVENTS_PER_S: f64 = 0.25;
/// An availability zone of 40 members goes: each is suspected and taken for dead.
const BURST_EVENTS: usize = 80;
/// Events recorded to time one.
const RECORDED: u32 = 200_000;
const TRIALS: usize = 20_000;
const SEED: u64 = 89;

/// Measures the time line.
pub(crate) fn run(report: &mut Report) {
    record_cost(report);
    copies_cost(report);
    parity_cost(report);
    survival(report);
}

fn sample_event(clock: &mut HybridClock, number: usize) -> Event {
    let codes = [
        EventCode::ConfigurationApplied,
        EventCode::UpstreamEjected,
        EventCode::WeightsShifted,
        EventCode::MemberFailed,
    ];
    let fields = EventFields {
        organisation: Some("hamutenya".parse().expect("a name")),
        service: Some("viewer".parse().expect("a name")),
        detail: format!("share=0.{number:04} was=0.0417 age_ms={number}"),
        ..EventFields::default()
    };
    let wall = WallTime::from_ms(1_750_000_000_000 + number as u64);
    let instance = "khomas-17".parse().expect("a name");
    Event::new(
        clock.tick(wall),
        instance,
        codes[number % codes.len()],
        fields,
    )
}

fn record_cost(report: &mut Report) {
    let each_us = record_each(Duration::from_secs(2));
    let held_back_us = record_each(Duration::ZERO);
    let started = Instant::now();
    for number in 0..RECORDED {
        std::hint::black_box(format!("share=0.{number:04}"));
    }
    let text_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(RECORDED);
    report.figure("events.record", each_us, "us", Limit::AtMost(5.0));
    report.figure("events.record_held_back", held_back_us, "us", Limit::None);
    report.figure("events.record.baseline_text", text_us, "us", Limit::None);
}

/// Returns the time that it takes to record an event, in microseconds, where
/// so much time lies between two that say the same.
fn record_each(pause: Duration) -> f64 {
    let wall = Arc::new(AtomicU64::new(0));
    let options = RecorderOptions {
        clock: WallClock::Manual(Arc::clone(&wall)),
        ..RecorderOptions::default()
    };
    let recorder = Recorder::new("k-1".parse().expect("a name"), options);
    let pause_us = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
    let started = Instant::now();
    for number in 0..RECORDED {
        wall.fetch_add(pause_us, Ordering::Relaxed);
        let detail = format!("share=0.{number:04}");
        recorder.record(EventCode::WeightsShifted, EventFields::detail(detail));
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(RECORDED)
}

/// Plays an hour of events through the sender to a number of peers.
fn play_hour(copies: usize) -> Played {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut clock = HybridClock::default();
    let mut ring = EventRing::default();
    let own: InstanceId = "khomas-17".parse().expect("a name");
    let mut sender = BackupSender::new(own, SenderOptions::default(), MonotonicTime::ZERO);
    let peers = (0..copies).map(|number| format!("peer-{number}").parse().expect("a name"));
    sender.set_peers(peers.collect());
    let mut holders = vec![BackupHolder::default(); copies];
    let mut played = Played::default();
    for second in 1..=SECONDS {
        let burst = if second == SECONDS / 2 {
            BURST_EVENTS
        } else {
            0
        };
        let count = usize::from(random.random_bool(EVENTS_PER_S)) + burst;
        for _ in 0..count {
            played.events += 1;
            ring.push(sample_event(&mut clock, played.events));
        }
        let started = Instant::now();
        let after = |sequence, limit| ring.notable_after(sequence, limit);
        let batches = sender.poll(MonotonicTime::from_ms(second * 1_000), after);
        for batch in batches {
            played.sent_bytes += batch.copies.encoded_len() as u64 + BATCH_OVERHEAD_BYTES;
            let number: usize = batch.to.as_str()[5..].parse().expect("a peer's number");
            let ack = holders[number].accept(batch.copies).expect("a good origin");
            sender.acknowledge(&batch.to, ack.through);
        }
        played.busy_s += started.elapsed().as_secs_f64();
    }
    played.held_bytes = holders.iter().map(BackupHolder::size_bytes).sum();
    played
}

#[derive(Default)]
struct Played {
    events: usize,
    sent_bytes: u64,
    held_bytes: usize,
    busy_s: f64,
}

fn copies_cost(report: &mut Report) {
    for copies in [1, 2] {
        let played = play_hour(copies);
        let per_s = played.sent_bytes as f64 / SECONDS as f64;
        let each_us = played.busy_s * 1e6 / played.events as f64;
        let name = |figure| format!("events.copies_{copies}.{figure}");
        report.figure(&name("sent"), per_s, "B/s", Limit::AtMost(256.0));
        report.figure(&name("event"), each_us, "us", Limit::None);
        let held = played.held_bytes as f64;
        report.figure(&name("held_at_peers"), held, "bytes", Limit::None);
    }
}

fn parity_cost(report: &mut Report) {
    let mut clock = HybridClock::default();
    let mut group = ParityGroup::new(GROUP);
    let per_member = (EVENTS_PER_S * SECONDS as f64) as usize + BURST_EVENTS;
    let mut mask_bytes = 0;
    let started = Instant::now();
    for number in 0..per_member * GROUP {
        let message = EventMessage::from(&sample_event(&mut clock, number));
        mask_bytes += group.append(number % GROUP, &message.encode_to_vec());
    }
    let each_us = started.elapsed().as_secs_f64() * 1e6 / (per_member * GROUP) as f64;
    // A packet for each second with events, as the copies are sent.
    let packets = per_member as u64 * (MASK_OVERHEAD_BYTES + BATCH_OVERHEAD_BYTES);
    let per_s = (mask_bytes / GROUP as u64 + packets) as f64 / SECONDS as f64;
    report.figure("events.parity.sent", per_s, "B/s", Limit::None);
    report.figure("events.parity_2d.sent", 2.0 * per_s, "B/s", Limit::None);
    report.figure("events.parity.event", each_us, "us", Limit::None);
    let held = (BLOCK_BYTES / GROUP) as f64;
    report.figure("events.parity.held_at_peers", held, "bytes", Limit::None);
    let whole = group.reconstruct(3) == group.block(3);
    report.figure(
        "events.parity.read_whole",
        f64::from(whole),
        "bool",
        Limit::AtLeast(1.0),
    );
    let read = (BLOCK_BYTES * GROUP) as f64;
    report.figure("events.parity.read_a_lost_line", read, "bytes", Limit::None);
    report.figure(
        "events.parity.rejoin_after_restart",
        read,
        "bytes",
        Limit::None,
    );
}

/// The members of the target fleet, its zones spread over its regions.
fn fleet() -> Vec<BackupPeer> {
    let member = |number: usize| {
        let zone = number % ZONES;
        BackupPeer {
            instance: format!("i-{number}").parse().expect("a name"),
            availability_zone: format!("z-{zone}").parse().expect("a name"),
            region: format!("r-{}", zone % REGIONS).parse().expect("a name"),
        }
    };
    (0..INSTANCES).map(member).collect()
}

/// The other members on which each member's line depends: any one of them left
/// suffices (copies), or all of them are needed (parity).
enum Dependence {
    AnyOf(Vec<Vec<usize>>),
    AllOf(Vec<Vec<usize>>),
}

impl Dependence {
    fn loses(&self, member: usize, gone: &HashSet<usize>) -> bool {
        match self {
            Self::AnyOf(holders) => holders[member].iter().all(|peer| gone.contains(peer)),
            Self::AllOf(group) => group[member].iter().any(|peer| gone.contains(peer)),
        }
    }
}

fn copies_of(fleet: &[BackupPeer], copies: usize) -> Dependence {
    let number = |id: &InstanceId| id.as_str()[2..].parse().expect("a member's number");
    let holders = fleet.iter().map(|own| {
        let chosen = choose_peers(own, fleet, copies);
        chosen.iter().map(number).collect()
    });
    Dependence::AnyOf(holders.collect())
}

/// Groups of data members and one parity member, all in different zones.
fn parity_of() -> Dependence {
    let size = GROUP + 1;
    let group = |own: usize| {
        let start = own / size * size;
        let others = (start..start + size).map(|member| member % INSTANCES);
        others.filter(|member| *member != own).collect()
    };
    Dependence::AllOf((0..INSTANCES).map(group).collect())
}

/// The share of the lost members' lines that are gone after a loss.
fn lost_share(dependence: &Dependence, losses: &[HashSet<usize>]) -> f64 {
    let mut lost = 0;
    let mut asked = 0;
    for gone in losses {
        asked += gone.len();
        lost += gone.iter().filter(|m| dependence.loses(**m, gone)).count();
    }
    lost as f64 / asked as f64
}

fn survival(report: &mut Report) {
    let fleet = fleet();
    let mut random = StdRng::seed_from_u64(SEED);
    let mut random_losses = |count: usize| -> Vec<HashSet<usize>> {
        let one = |_| {
            (0..count)
                .map(|_| random.random_range(0..INSTANCES))
                .collect()
        };
        (0..TRIALS).map(one).collect()
    };
    let zones = (0..ZONES).map(|zone| (0..INSTANCES).filter(|m| m % ZONES == zone).collect());
    let cases = [
        ("one", random_losses(1)),
        ("two", random_losses(2)),
        // Restarts of a day, none of them copied again in between.
        ("day_of_37", random_losses(37)),
        ("zone", zones.collect()),
    ];
    let ways = [
        ("copies_1", copies_of(&fleet, 1)),
        ("copies_2", copies_of(&fleet, 2)),
        ("parity", parity_of()),
    ];
    for (way, dependence) in &ways {
        for (case, losses) in &cases {
            let share = lost_share(dependence, losses);
            let chosen = *way == "copies_2" && *case != "day_of_37";
            let limit = if chosen {
                Limit::AtMost(0.0)
            } else {
                Limit::None
            };
            report.figure(
                &format!("events.{way}.lost_after_{case}"),
                share,
                "share",
                limit,
            );
        }
    }
}
