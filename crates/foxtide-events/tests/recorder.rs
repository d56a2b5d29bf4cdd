//! Timestamps, repeat filtering and sharing of the recorder.

use foxtide_core::events::{
    EventCode,
    EventFields,
    EventFilter, //
};
use foxtide_events::{
    Recorder,
    RecorderOptions,
    WallClock, //
};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

fn recorder(instance: &str, wall_us: u64) -> Recorder {
    let options = RecorderOptions {
        clock: WallClock::Manual(Arc::new(AtomicU64::new(wall_us))),
        ..RecorderOptions::default()
    };
    Recorder::new(instance.parse().unwrap(), options)
}

#[test]
fn verify_clones_record_into_one_ring() {
    let recorder = recorder("k-1", 5);
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let clone = recorder.clone();
            let work = move || clone.record(EventCode::MoveStarted, EventFields::default());
            std::thread::spawn(work)
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let events = recorder.select(&EventFilter::default());
    assert_eq!(events.len(), 4);
    assert!(events.is_sorted_by(|a, b| a.clock < b.clock));
}

#[test]
fn verify_events_after_a_message_sort_after_its_sending() {
    let ahead = recorder("k-1", 900);
    let behind = recorder("k-2", 5);
    let cause = ahead.record(EventCode::MemberLeaving, EventFields::default());
    behind.observe(ahead.stamp());
    let effect = behind.record(EventCode::MemberLeft, EventFields::default());
    assert!(effect > cause);
}

#[test]
fn verify_broken_clock_of_a_peer_is_reported_once() {
    let healthy = recorder("k-1", 1_000);
    let broken = recorder("k-2", 10_000_000);
    for _ in 0..3 {
        healthy.observe_from("k-2", broken.stamp());
    }
    let events = healthy.select(&EventFilter::default());
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].code, EventCode::WallClockSkewed);
    assert_eq!(events[0].clock.wall_us.as_us(), 1_000);
}

#[test]
fn verify_repeated_events_do_not_displace_others() {
    let wall = Arc::new(AtomicU64::new(1_000_000));
    let options = RecorderOptions {
        clock: WallClock::Manual(Arc::clone(&wall)),
        ..RecorderOptions::default()
    };
    let recorder = Recorder::new("k-1".parse().unwrap(), options);
    let about = |upstream: &str| EventFields {
        upstream: Some(upstream.parse().unwrap()),
        ..EventFields::detail("refused")
    };
    for _ in 0..10_000 {
        recorder.record(EventCode::UpstreamUnreachable, about("v-1"));
    }
    recorder.record(EventCode::UpstreamUnreachable, about("v-2"));
    recorder.record(EventCode::UpstreamEjected, about("v-1"));
    assert_eq!(recorder.select(&EventFilter::default()).len(), 12);
    wall.fetch_add(10_000_000, std::sync::atomic::Ordering::Relaxed);
    recorder.record(EventCode::UpstreamUnreachable, about("v-1"));
    let events = recorder.select(&EventFilter::default());
    let last = events.last().unwrap();
    assert_eq!(last.fields.detail, "held_back=9990 refused");
}

#[test]
fn verify_distinct_events_beyond_the_filter_capacity_are_all_recorded() {
    let recorder = recorder("k-1", 5);
    for number in 0..3_000 {
        let fields = EventFields {
            upstream: Some(format!("v-{number}").parse().unwrap()),
            ..EventFields::default()
        };
        recorder.record(EventCode::UpstreamEjected, fields);
    }
    assert_eq!(recorder.select(&EventFilter::default()).len(), 3_000);
}
