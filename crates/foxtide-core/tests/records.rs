//! Tests of the log of store records.

use foxtide_core::records::{
    Record,
    RecordLog,
    fit_relay_limit, //
};
use foxtide_core::store::StoreIndex;

fn at(index: u64) -> StoreIndex {
    StoreIndex::new(index)
}

fn record(key: &str, value: Option<&str>, index: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
        index: at(index),
    }
}

fn keys(records: Option<Vec<Record>>) -> Option<Vec<String>> {
    let records = records?.into_iter();
    let name = |record: Record| match record.value {
        Some(_) => record.key,
        None => format!("-{}", record.key),
    };
    Some(records.map(name).collect())
}

#[test]
fn verify_an_empty_log_has_no_changes() {
    assert_eq!(RecordLog::default().changes_after(at(0)), None);
}

#[test]
fn verify_changes_are_ordered_and_include_removals() {
    let mut log = RecordLog::default();
    log.replace(
        &[record("a", Some("1"), 3), record("b", Some("1"), 4)],
        at(5),
    );
    log.append(&[record("b", None, 6), record("a", Some("2"), 7)], at(7));
    assert_eq!(keys(log.changes_after(at(5))).unwrap(), ["-b", "a"]);
    assert_eq!(keys(log.changes_after(at(6))).unwrap(), ["a"]);
    assert_eq!(log.changes_after(at(9)).unwrap(), []);
    assert_eq!(log.changes_after(at(4)), None);
    assert_eq!(log.all(), [record("a", Some("2"), 7)]);
}

/// Guards against followers that receive all records again after a full read.
#[test]
fn verify_a_second_read_yields_the_difference() {
    let mut log = RecordLog::default();
    let first: Vec<Record> = (0..100)
        .map(|number| record(&format!("k{number:03}"), Some("1"), number + 1))
        .collect();
    log.replace(&first, at(100));
    let mut second = first.clone();
    second.remove(7);
    second[0] = record("k000", Some("2"), 120);
    log.replace(&second, at(130));
    assert_eq!(keys(log.changes_after(at(100))).unwrap(), ["k000", "-k007"]);
    assert_eq!(log.index(), at(130));
    assert_eq!(log.all().len(), 99);
}

#[test]
fn verify_old_removals_are_dropped() {
    let mut log = RecordLog::default();
    log.replace(&[], at(1));
    for number in 0..5_000 {
        log.append(
            &[record(&format!("k{number}"), None, number + 2)],
            at(number + 2),
        );
    }
    assert_eq!(log.changes_after(at(1)), None);
    assert_eq!(log.changes_after(at(5_001)).unwrap(), []);
}

/// Guards against relays of a large configuration over a watcher's slow link.
#[test]
fn verify_large_changes_exceed_the_relay_limit() {
    let routes = "r".repeat(700_000);
    assert!(!fit_relay_limit(&[record(
        "configuration",
        Some(&routes),
        2
    )]));
    let registrations: Vec<Record> = (0..200)
        .map(|number| {
            record(
                &format!("upstream-{number}"),
                Some(&"u".repeat(300)),
                number,
            )
        })
        .collect();
    assert!(fit_relay_limit(&registrations));
    assert!(fit_relay_limit(&[]));
}
