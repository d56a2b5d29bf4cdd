//! Replication of events to peers: selection of peers, sending and storage.

use foxtide_core::events::backup::{
    BackupBatch,
    BackupHolder,
    BackupPeer,
    BackupSender,
    HolderOptions,
    SenderOptions,
    choose_peers, //
};
use foxtide_core::events::{
    Event,
    EventCode,
    EventFields,
    EventFilter,
    EventRing,
    EventRingOptions,
    HybridClock, //
};
use foxtide_core::ids::InstanceId;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use prost::Message;
use std::collections::HashMap;

fn member(number: usize) -> BackupPeer {
    let region = number % 3;
    BackupPeer {
        instance: format!("i-{number}").parse().unwrap(),
        availability_zone: format!("z-{}", number % 6).parse().unwrap(),
        region: format!("r-{region}").parse().unwrap(),
    }
}

fn members(count: usize) -> Vec<BackupPeer> {
    (0..count).map(member).collect()
}

/// An instance with its ring and sender.
struct Origin {
    clock: HybridClock,
    ring: EventRing,
    sender: BackupSender,
}

fn name() -> InstanceId {
    "i-0".parse().unwrap()
}

impl Origin {
    fn new(options: SenderOptions, notable: usize) -> Self {
        let ring = EventRingOptions { notable, debug: 1 };
        let mut sender = BackupSender::new(name(), options, MonotonicTime::ZERO);
        sender.set_peers(vec!["i-1".parse().unwrap()]);
        Self {
            clock: HybridClock::default(),
            ring: EventRing::new(ring),
            sender,
        }
    }

    fn record(&mut self, count: usize) {
        for _ in 0..count {
            let clock = self.clock.tick(WallTime::from_ms(1));
            let fields = EventFields::detail("8 of 8 attempts failed");
            let event = Event::new(clock, name(), EventCode::UpstreamEjected, fields);
            self.ring.push(event);
        }
    }

    fn poll(&mut self, now_ms: u64) -> Vec<BackupBatch> {
        let ring = &self.ring;
        let after = |sequence, limit| ring.notable_after(sequence, limit);
        self.sender.poll(MonotonicTime::from_ms(now_ms), after)
    }
}

#[test]
fn verify_peers_are_in_other_zones_and_regions() {
    let members = members(30);
    for own in &members {
        let chosen = choose_peers(own, &members, 2);
        let place = |id| members.iter().find(|m| m.instance == id).unwrap();
        let first = place(chosen[0].clone());
        let second = place(chosen[1].clone());
        assert_ne!(first.availability_zone, own.availability_zone);
        assert_eq!(first.region, own.region);
        assert_ne!(second.region, own.region);
    }
}

#[test]
fn verify_peers_change_little_when_a_member_leaves() {
    let all = members(60);
    let without: Vec<_> = all.iter().filter(|m| **m != member(7)).cloned().collect();
    let mut unchanged = 0;
    for own in &without {
        let before = choose_peers(own, &all, 2);
        let after = choose_peers(own, &without, 2);
        let lost = before.contains(&member(7).instance);
        unchanged += usize::from(before == after);
        assert!(lost || before == after);
    }
    assert!(unchanged >= 50, "{unchanged}");
}

#[test]
fn verify_small_fleets_use_the_peers_they_have() {
    let alone = members(1);
    assert!(choose_peers(&alone[0], &alone, 2).is_empty());
    let mut pair = members(2);
    pair[1].availability_zone = pair[0].availability_zone.clone();
    assert_eq!(choose_peers(&pair[0], &pair, 2).len(), 1);
}

#[test]
fn verify_events_survive_their_instance() {
    let mut origin = Origin::new(SenderOptions::default(), 100);
    let mut holder = BackupHolder::default();
    origin.record(5);
    for batch in origin.poll(1_000) {
        let ack = holder.accept(batch.copies).unwrap();
        origin.sender.acknowledge(&batch.to, ack.through);
    }
    assert!(origin.poll(60_000).is_empty());
    let everything = EventFilter::default();
    let recorded = origin.ring.select(&everything);
    drop(origin);
    assert_eq!(holder.select(&everything), recorded);
}

#[test]
fn verify_unacknowledged_events_are_resent_and_stored_once() {
    let mut origin = Origin::new(SenderOptions::default(), 100);
    let mut holder = BackupHolder::default();
    origin.record(2);
    let first = origin.poll(1_000);
    // The acknowledgement is lost.
    holder.accept(first[0].copies.clone()).unwrap();
    assert!(origin.poll(2_000).is_empty());
    let again = origin.poll(6_000);
    holder.accept(again[0].copies.clone()).unwrap();
    assert_eq!(holder.select(&EventFilter::default()).len(), 2);
}

#[test]
fn verify_the_bandwidth_limit_holds_under_many_events() {
    let options = SenderOptions::default();
    let mut origin = Origin::new(options, 4_096);
    let mut sent_bytes = 0;
    let seconds = 600;
    for second in 1..=seconds {
        origin.record(100);
        for batch in origin.poll(second * 1_000) {
            sent_bytes += batch.copies.encoded_len() as u64;
            origin.sender.acknowledge(&batch.to, batch.copies.through);
        }
    }
    let limit = options.burst_bytes + seconds * options.budget_bytes_per_s;
    assert!(sent_bytes <= limit, "{sent_bytes} above {limit}");
    assert!(origin.sender.lost() > 0);
}

#[test]
fn verify_a_new_peer_gets_all_events_in_the_ring() {
    let mut origin = Origin::new(SenderOptions::default(), 100);
    origin.record(3);
    for batch in origin.poll(1_000) {
        origin.sender.acknowledge(&batch.to, batch.copies.through);
    }
    let peers = ["i-1", "i-9"].map(|name| name.parse().unwrap());
    origin.sender.set_peers(peers.to_vec());
    let batches = origin.poll(2_000);
    assert_eq!(batches.len(), 1);
    assert_eq!(batches[0].to.as_str(), "i-9");
    assert_eq!(batches[0].copies.events.len(), 3);
}

#[test]
fn verify_holder_is_bounded_and_fair() {
    let mut holder = BackupHolder::new(HolderOptions {
        origin_bytes: 20_000,
        total_bytes: 30_000,
    });
    let mut origin = Origin::new(SenderOptions::default(), 4_096);
    origin.record(64);
    let batch = origin.poll(1_000).remove(0).copies;
    for (name, count) in [("i-3", 5), ("i-1", 64), ("i-2", 64)] {
        let mut copies = batch.clone();
        copies.origin = name.to_owned();
        copies.events.truncate(count);
        holder.accept(copies).unwrap();
    }
    assert!(holder.size_bytes() <= 30_000);
    let mut stored: HashMap<InstanceId, usize> = HashMap::new();
    for event in holder.select(&EventFilter::default()) {
        *stored.entry(event.instance).or_default() += 1;
    }
    assert_eq!(stored[&"i-3".parse::<InstanceId>().unwrap()], 5);
    assert_eq!(stored.len(), 3);
}

#[test]
fn verify_unknown_codes_are_ignored_and_invalid_origins_rejected() {
    let mut holder = BackupHolder::default();
    let mut origin = Origin::new(SenderOptions::default(), 100);
    origin.record(2);
    let mut copies = origin.poll(1_000).remove(0).copies;
    copies.events[0].code = 9_999;
    assert!(holder.accept(copies.clone()).is_ok());
    assert_eq!(holder.select(&EventFilter::default()).len(), 1);
    copies.origin = "Not A Name".to_owned();
    assert!(holder.accept(copies).is_err());
}
