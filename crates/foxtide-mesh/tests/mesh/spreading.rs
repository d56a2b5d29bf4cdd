//! Distribution of documents to every instance; revisions never decrease.

use crate::fleet::{
    addresses,
    all_hold,
    document,
    start,
    start_fleet,
    wait_until, //
};
use foxtide_core::dissemination::Document;
use foxtide_mesh::{
    Faults,
    Synchronisation, //
};

#[test]
fn verify_a_document_reaches_all_once_and_in_order() {
    let fleet = start_fleet(7, &Faults::default());
    let changes = fleet[5].configuration_changes();
    for revision in 1..=20 {
        assert!(fleet[0].publish_configuration(&document(revision)));
    }
    wait_until("all hold the last revision", || all_hold(&fleet, 20));
    let mut revisions = Vec::new();
    while let Ok(change) = changes.try_recv() {
        revisions.push(change.revision);
    }
    assert!(revisions.is_sorted_by(|earlier, later| earlier < later));
    assert_eq!(revisions.last().map(|last| last.get()), Some(20));
}

#[test]
fn verify_an_older_document_is_never_applied() {
    let fleet = start_fleet(3, &Faults::default());
    assert!(fleet[0].publish_configuration(&document(9)));
    wait_until("all hold the document", || all_hold(&fleet, 9));
    for revision in [8, 9] {
        assert!(!fleet[1].publish_configuration(&document(revision)));
    }
    assert!(all_hold(&fleet, 9));
}

#[test]
fn verify_a_starting_instance_fetches_the_newest_document() {
    let faults = Faults::default();
    let mut fleet = start_fleet(4, &faults);
    assert!(fleet[0].publish_configuration(&document(3)));
    wait_until("all hold the document", || all_hold(&fleet, 3));
    let started = start(4, &addresses(&fleet), &faults);
    wait_until("the new instance is synchronised", || {
        started.synchronised()
    });
    assert!(matches!(
        started.synchronisation(),
        Synchronisation::WithPeers(_)
    ));
    fleet.push(started);
    assert!(all_hold(&fleet, 3));
}

#[test]
fn verify_revisions_never_decrease_across_a_partition() {
    let faults = Faults::default();
    let fleet = start_fleet(9, &faults);
    let streams: Vec<_> = fleet
        .iter()
        .map(foxtide_mesh::MeshHandle::configuration_changes)
        .collect();
    assert!(fleet[0].publish_configuration(&document(1)));
    wait_until("all hold the first revision", || all_hold(&fleet, 1));
    let (isolated, rest) = fleet.split_at(3);
    faults.partition(&[addresses(isolated), addresses(rest)]);
    assert!(isolated[0].publish_configuration(&document(2)));
    assert!(rest[0].publish_configuration(&document(5)));
    wait_until("each side holds its own revision", || {
        all_hold(isolated, 2) && all_hold(rest, 5)
    });
    faults.heal();
    wait_until("all hold the newest revision", || all_hold(&fleet, 5));
    for stream in streams {
        let mut revisions = Vec::new();
        while let Ok(change) = stream.try_recv() {
            revisions.push(change.revision);
        }
        assert!(revisions.is_sorted_by(|earlier, later| earlier < later));
    }
}

#[test]
fn verify_a_document_of_the_largest_size_spreads() {
    let fleet = start_fleet(5, &Faults::default());
    let large = Document {
        bytes: vec![7; 1_000_000].into(),
        ..document(1)
    };
    assert!(fleet[0].publish_configuration(&large));
    wait_until("all hold the document", || {
        let mut configurations = fleet.iter().map(|handle| handle.configurations());
        configurations.all(|documents| documents == [large.clone()])
    });
}

#[test]
fn verify_a_document_spreads_despite_packet_loss() {
    let faults = Faults::default();
    let fleet = start_fleet(8, &faults);
    faults.set_loss(0.3);
    assert!(fleet[7].publish_configuration(&document(1)));
    wait_until("all hold the document", || all_hold(&fleet, 1));
}

#[test]
fn verify_each_zone_has_two_watchers() {
    let fleet = start_fleet(18, &Faults::default());
    let watchers = fleet.iter().filter(|handle| handle.is_watcher());
    assert_eq!(watchers.count(), 12);
}
