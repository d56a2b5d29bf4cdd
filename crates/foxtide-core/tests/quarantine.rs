//! Tests of the quarantine table: trials, merging with the store, and release.

use foxtide_core::poison::{
    Fingerprint,
    Origin,
    Quarantine,
    QuarantineEntry,
    QuarantineStatus,
    StoredEntry, //
};
use foxtide_core::store::StoreIndex;
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

const REQUEST: u64 = 7;
const DAY_MS: u64 = 24 * 3_600 * 1_000;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn request() -> Fingerprint {
    Fingerprint::from_hash(REQUEST)
}

fn entry(ends: u32, trials: u32) -> QuarantineEntry {
    QuarantineEntry { ends, trials }
}

fn stored(entry: QuarantineEntry, index: u64) -> StoredEntry {
    StoredEntry {
        fingerprint: request(),
        entry,
        index: StoreIndex::new(index),
    }
}

fn is_open(quarantine: &Quarantine, ms: u64) -> bool {
    quarantine.status(request(), at(ms)) == QuarantineStatus::NotQuarantined
}

/// Guards against quarantines that expire.
#[test]
fn verify_a_quarantine_does_not_expire() {
    let mut quarantine = Quarantine::default();
    quarantine.merge(request(), entry(3, 0), Origin::Own, 0.5, at(0));
    for ms in [0, 30_000, 60_000, DAY_MS, 365 * DAY_MS] {
        // There is no trial until the store holds the entry.
        let status = quarantine.status(request(), at(ms));
        assert!(matches!(status, QuarantineStatus::Quarantined(_)), "{ms}");
    }
    quarantine.merge_stored(&stored(entry(3, 0), 1), 0.5, at(DAY_MS));
    assert!(!is_open(&quarantine, 365 * DAY_MS));
}

/// Guards against trials that end one upstream after another.
#[test]
fn verify_a_request_with_three_ends_gets_one_trial() {
    let mut quarantine = Quarantine::default();
    let mut entry_in_store = entry(3, 0);
    let mut trials = 0;
    let mut now_ms = 0;
    for index in 1..20 {
        quarantine.merge_stored(&stored(entry_in_store, index), 0.5, at(now_ms));
        now_ms += DAY_MS;
        let Some(trial) = quarantine.next_trial(request(), at(now_ms)) else {
            break;
        };
        trials += 1;
        // The claimed trial ends another upstream.
        entry_in_store = entry(trial.entry.ends + 1, trial.entry.trials);
        quarantine.merge(request(), entry_in_store, Origin::Peer, 0.5, at(now_ms));
    }
    assert_eq!(trials, 1);
    assert!(matches!(
        quarantine.status(request(), at(now_ms + DAY_MS)),
        QuarantineStatus::Quarantined(_)
    ));
}

/// Guards against overflow, as entries from the store and from datagrams are not trusted.
#[test]
fn verify_out_of_range_entries_keep_a_request_quarantined() {
    let mut quarantine = Quarantine::default();
    quarantine.merge_stored(&stored(entry(u32::MAX, u32::MAX), 1), 0.5, at(0));
    let status = quarantine.status(request(), at(DAY_MS));
    assert!(matches!(status, QuarantineStatus::Quarantined(_)));
}

/// Guards against trials that ignore ends reported after the quarantine.
#[test]
fn verify_late_ends_use_up_trials() {
    let mut quarantine = Quarantine::default();
    quarantine.merge_stored(&stored(entry(3, 0), 1), 0.5, at(0));
    for ends in [4, 5] {
        quarantine.merge(request(), entry(ends, 0), Origin::Peer, 0.5, at(10));
    }
    assert_eq!(quarantine.next_trial(request(), at(DAY_MS)), None);
}

#[test]
fn verify_a_trial_is_claimed_once_per_delay() {
    let mut quarantine = Quarantine::default();
    quarantine.merge_stored(&stored(entry(2, 0), 4), 0.0, at(0));
    assert_eq!(
        quarantine.status(request(), at(4_000)),
        QuarantineStatus::Quarantined(Duration::from_secs(6))
    );
    let trial = quarantine.next_trial(request(), at(10_000)).unwrap();
    assert_eq!(trial, stored(entry(2, 1), 4));
    quarantine.claim(&trial, 0.0, at(10_000));
    assert_eq!(quarantine.next_trial(request(), at(10_001)), None);
    // After a lost claim, the next one follows after the longer delay.
    assert!(quarantine.next_trial(request(), at(70_000)).is_some());
}

/// Guards against losing an entry when the store is restored from an older copy.
#[test]
fn verify_entries_lost_by_a_restored_store_are_written_again() {
    let mut quarantine = Quarantine::default();
    quarantine.merge_stored(&stored(entry(3, 1), 9), 0.5, at(0));
    assert_eq!(quarantine.next_write(at(DAY_MS)), None);
    quarantine.sync_stored(&[], true, 0.5, at(DAY_MS));
    assert!(!is_open(&quarantine, 2 * DAY_MS));
    assert_eq!(
        quarantine.next_write(at(DAY_MS + 3_000)),
        Some((request(), entry(3, 1)))
    );
    quarantine.record_write(request(), at(DAY_MS + 3_000));
    assert_eq!(quarantine.next_write(at(DAY_MS + 3_001)), None);
}

#[test]
fn verify_removing_the_key_releases_a_request() {
    let mut quarantine = Quarantine::default();
    quarantine.merge_stored(&stored(entry(3, 0), 9), 0.5, at(0));
    quarantine.sync_stored(&[], false, 0.5, at(10));
    assert!(is_open(&quarantine, 10));
    // An entry that the store never held does not count as removed.
    quarantine.merge(request(), entry(3, 0), Origin::Own, 0.5, at(20));
    quarantine.sync_stored(&[], false, 0.5, at(30));
    assert!(!is_open(&quarantine, 30));
}

#[test]
fn verify_fingerprints_round_trip_as_text() {
    let text = request().to_string();
    assert_eq!(text.parse::<Fingerprint>().unwrap(), request());
    for wrong in ["", "7", "00000000000000zz", "00000000000000007"] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}

/// Guards against a write that depends on the order of a hash table: an entry could wait for
/// others that are due after it, and no run of the model repeated exactly.
#[test]
fn verify_the_entry_that_is_due_for_longest_is_written_first() {
    for _ in 0..20 {
        let mut quarantine = Quarantine::default();
        for (hash, ms) in [(3, 20), (9, 10), (5, 30), (4, 10)] {
            let other = Fingerprint::from_hash(hash);
            quarantine.merge(other, entry(3, 0), Origin::Own, 0.5, at(ms));
        }
        let mut written = Vec::new();
        while let Some((fingerprint, _)) = quarantine.next_write(at(50)) {
            written.push(fingerprint.hash());
            quarantine.record_write(fingerprint, at(50));
        }
        assert_eq!(written, [4, 9, 3, 5]);
    }
}
