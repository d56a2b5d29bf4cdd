//! Replicated events survive the loss of their instance.

use foxtide_core::events::backup::BackupPeer;
use foxtide_core::events::{
    EventCode,
    EventFields,
    EventFilter, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_events::{
    Recorder,
    RecorderOptions,
    TimeLine,
    TimeLineOptions, //
};

fn location(name: &str, zone: &str, region: &str) -> BackupPeer {
    BackupPeer {
        instance: name.parse().unwrap(),
        availability_zone: zone.parse().unwrap(),
        region: region.parse().unwrap(),
    }
}

fn start(own: &BackupPeer) -> (Recorder, TimeLine) {
    let recorder = Recorder::new(own.instance.clone(), RecorderOptions::default());
    let options = TimeLineOptions::default();
    let line = TimeLine::new(recorder.clone(), own.clone(), options, MonotonicTime::ZERO);
    (recorder, line)
}

#[test]
fn verify_events_outlive_their_instance_at_both_peers() {
    let locations = [
        location("k-1", "khomas-a", "khomas"),
        location("k-2", "khomas-b", "khomas"),
        location("e-1", "erongo-a", "erongo"),
    ];
    let (recorder, line) = start(&locations[0]);
    let peers = [start(&locations[1]).1, start(&locations[2]).1];
    line.set_members(&locations);
    let stopping = EventFields::detail("signal=terminate");
    recorder.record(EventCode::ProcessStopping, stopping);
    let parcels = line.poll(MonotonicTime::from_ms(1_000));
    assert_eq!(parcels.len(), 2);
    for parcel in parcels {
        let holder = if parcel.to == locations[1].instance {
            0
        } else {
            1
        };
        let ack = peers[holder].accept(parcel.copies).unwrap();
        line.acknowledge(&parcel.to, ack);
    }
    assert!(line.poll(MonotonicTime::from_ms(60_000)).is_empty());
    drop((recorder, line));
    for peer in &peers {
        let events = peer.select(&EventFilter::default());
        assert_eq!(events.len(), 1);
        assert_eq!(events[0].code, EventCode::ProcessStopping);
        assert_eq!(events[0].instance, locations[0].instance);
    }
}
