//! Tests of the acknowledgements of end reports and of the retry that an isolated end leaves.

use foxtide_core::ids::RegionId;
use foxtide_core::poison::{
    ACKNOWLEDGEMENT_TIMEOUT,
    Acknowledgements,
    EndReport,
    Fingerprint,
    HOLD_TIMEOUT,
    Holds,
    Origin,
    Quarantine,
    QuarantineEntry,
    QuarantineStatus,
    Served,
    StoredEntry,
    Suspects, //
};
use foxtide_core::store::StoreIndex;
use foxtide_core::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

fn request() -> Fingerprint {
    Fingerprint::from_hash(7)
}

fn region(name: &str) -> RegionId {
    name.parse().unwrap()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Two aggregators of one region and one of another.
fn aggregators() -> Vec<(SocketAddr, RegionId)> {
    let regions = [(1, "antw"), (2, "antw"), (3, "bru")];
    let with_address = regions.map(|(port, name)| (address(port), region(name)));
    with_address.into()
}

fn end(upstream: &str, is_isolated: bool) -> EndReport {
    EndReport {
        fingerprint: request(),
        upstream: upstream.parse().unwrap(),
        born_at: None,
        is_isolated,
    }
}

const START: MonotonicTime = MonotonicTime::from_ms(0);

#[test]
fn verify_one_acknowledgement_of_each_region_completes_a_report() {
    let mut acknowledgements = Acknowledgements::default();
    assert!(!acknowledgements.expect(request(), aggregators(), START));
    assert!(!acknowledgements.acknowledge(request(), address(2)));
    assert!(!acknowledgements.acknowledge(request(), address(9)));
    assert!(acknowledgements.is_awaited(request()));
    assert!(acknowledgements.acknowledge(request(), address(3)));
    assert!(!acknowledgements.is_awaited(request()));
    let late = START + ACKNOWLEDGEMENT_TIMEOUT;
    assert!(acknowledgements.expire(request(), late).is_empty());
}

/// Guards against a wait for a region that is known to be cut off, and against taking one for cut
/// off that answers again.
#[test]
fn verify_a_region_is_silent_from_a_timeout_to_its_next_acknowledgement() {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.expect(request(), aggregators(), START);
    acknowledgements.acknowledge(request(), address(1));
    let almost = START + (ACKNOWLEDGEMENT_TIMEOUT - Duration::from_millis(1));
    assert!(acknowledgements.expire(request(), almost).is_empty());
    let late = START + ACKNOWLEDGEMENT_TIMEOUT;
    let silent = acknowledgements.expire(request(), late);
    assert_eq!(Vec::from_iter(silent), [region("bru")]);
    let other = Fingerprint::from_hash(8);
    assert!(acknowledgements.expect(other, aggregators(), late));
    // An acknowledgement of the report that has timed out also tells that the region answers.
    acknowledgements.acknowledge(request(), address(3));
    assert!(!acknowledgements.expect(other, aggregators(), late));
}

/// Guards against regions that each count three ends while they are cut off from each other.
#[test]
fn verify_one_end_that_a_region_does_not_acknowledge_quarantines_a_request() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.report(&end("a", false), START), None);
    assert_eq!(suspects.report(&end("a", true), START), Some(1));
    // A copy of the report is no news; a further end is.
    assert_eq!(suspects.report(&end("a", true), START), None);
    assert_eq!(suspects.report(&end("b", false), START), Some(2));
}

/// Guards against more than one retry, and against one while the store holds an entry.
#[test]
fn verify_only_the_reporter_of_an_isolated_end_may_claim_one_retry() {
    let entry = QuarantineEntry { ends: 1, trials: 0 };
    for (origin, ends, has_retry) in [
        (Origin::Own, 1, true),
        (Origin::Peer, 1, false),
        (Origin::Own, 3, false),
    ] {
        let mut quarantine = Quarantine::default();
        let entry = QuarantineEntry { ends, ..entry };
        quarantine.merge(request(), entry, origin, 0.0, START);
        assert_eq!(quarantine.take_retry(request()).is_some(), has_retry);
        assert_eq!(quarantine.take_retry(request()), None);
    }
    let mut quarantine = Quarantine::default();
    quarantine.merge(request(), entry, Origin::Own, 0.0, START);
    let retry = quarantine.take_retry(request()).unwrap();
    assert_eq!(retry.index, StoreIndex::ABSENT);
    quarantine.record_retry(&retry, 0.0, START);
    assert_eq!(quarantine.entry(request()).unwrap().trials, 1);
    let mut followed = Quarantine::default();
    followed.merge(request(), entry, Origin::Own, 0.0, START);
    let index = StoreIndex::new(4);
    let stored = StoredEntry { index, ..retry };
    followed.merge_stored(&stored, 0.0, START);
    assert_eq!(followed.take_retry(request()), None);
}

/// Guards against keeping a request that was at a failed upstream by chance out for long.
#[test]
fn verify_a_request_with_one_end_gets_its_first_trial_within_seconds() {
    let mut quarantine = Quarantine::default();
    let stored = StoredEntry {
        fingerprint: request(),
        entry: QuarantineEntry { ends: 1, trials: 0 },
        index: StoreIndex::new(4),
    };
    quarantine.merge_stored(&stored, 1.0, START);
    let after = START + Duration::from_secs(2);
    assert_eq!(
        quarantine.status(request(), after),
        QuarantineStatus::TrialDue
    );
    assert!(quarantine.release_isolated(request()));
    // What is evidence is released by the store alone.
    let entry = QuarantineEntry { ends: 3, trials: 0 };
    quarantine.merge(request(), entry, Origin::Peer, 0.0, START);
    assert!(!quarantine.release_isolated(request()));
}

#[test]
fn verify_requests_that_were_served_are_known() {
    let served = Served::default();
    assert!(!served.contains(request()));
    served.record(request());
    assert!(served.contains(request()));
    assert!(!served.contains(Fingerprint::from_hash(8)));
}

/// Guards against holds that outlive the reports that they wait for.
#[test]
fn verify_a_hold_ends_when_it_is_lifted_or_lapses() {
    let mut holds = Holds::default();
    let now = MonotonicTime::from_ms(1_000);
    assert!(!holds.is_held(request(), now));
    holds.hold(request(), now);
    assert!(holds.is_held(request(), now));
    assert!(!holds.is_held(Fingerprint::from_hash(8), now));
    assert!(!holds.is_held(request(), now + HOLD_TIMEOUT));
    assert!(holds.lift(request()));
    assert!(!holds.is_held(request(), now));
    assert!(!holds.lift(request()));
}
