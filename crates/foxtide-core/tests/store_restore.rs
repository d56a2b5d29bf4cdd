//! Restores of the store from an older backup.
//!
//! Replicas must converge and never replace newer state by older.

use foxtide_core::ids::UpstreamId;
use foxtide_core::records::{
    Record,
    RecordLog, //
};
use foxtide_core::registry::{
    REGISTRATION_GRACE,
    Registration,
    Registry,
    RegistryChange,
    UpstreamState, //
};
use foxtide_core::store::StoreIndex;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::BTreeMap;
use std::time::Duration;

fn at(era: u64, number: u64) -> StoreIndex {
    StoreIndex::new(number).in_era(era)
}

fn record(key: &str, value: Option<&str>, index: StoreIndex) -> Record {
    Record {
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
        index,
    }
}

fn keys(records: Option<Vec<Record>>) -> Option<Vec<String>> {
    let name = |record: Record| match record.value {
        Some(_) => record.key,
        None => format!("-{}", record.key),
    };
    Some(records?.into_iter().map(name).collect())
}

#[test]
fn verify_indices_order_by_era_first() {
    assert!(at(1, 900) < at(2, 3));
    assert_eq!(at(2, 3).to_string(), "2:3");
    assert_eq!(StoreIndex::new(3).to_string(), "3");
}

#[test]
fn verify_a_restore_yields_only_the_changes_of_the_backup() {
    let mut log = RecordLog::default();
    let first = [
        record("a", Some("1"), at(1, 3)),
        record("b", Some("1"), at(1, 4)),
    ];
    log.replace(&first, at(1, 5));
    log.append(
        &[
            record("b", Some("2"), at(1, 6)),
            record("c", Some("1"), at(1, 7)),
        ],
        at(1, 7),
    );
    // The backup was taken at number 5.
    let backup = [
        record("a", Some("1"), at(2, 3)),
        record("b", Some("1"), at(2, 4)),
    ];
    log.replace(&backup, at(2, 5));
    assert_eq!(keys(log.changes_after(at(1, 7))).unwrap(), ["b", "-c"]);
    // An index in a gap requires a full read.
    assert_eq!(log.changes_after(at(1, 8)), None);
    // An index ahead of the log has no changes.
    assert_eq!(log.changes_after(at(3, 1)).unwrap(), []);
}

/// A model of the store as its watchers see it.
#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    number: u64,
    present: BTreeMap<String, Record>,
    changes: Vec<Record>,
}

impl Store {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.number += 1;
        let record = record(key, value.as_deref(), at(self.era, self.number));
        self.changes.push(record.clone());
        if record.value.is_some() {
            self.present.insert(key.to_owned(), record);
        } else {
            self.present.remove(key);
        }
    }

    fn index(&self) -> StoreIndex {
        at(self.era, self.number)
    }

    fn all(&self) -> Vec<Record> {
        let in_current_era = |record: &Record| Record {
            index: record.index.in_era(self.era),
            ..record.clone()
        };
        self.present.values().map(in_current_era).collect()
    }

    /// Returns the changes after `index`, or `None` if the index is unknown.
    fn changes_after(&self, index: StoreIndex) -> Option<Vec<Record>> {
        let is_known = index.era() == self.era && index.get() <= self.number;
        let newer = self.changes.iter().filter(|change| change.index > index);
        is_known.then(|| newer.cloned().collect())
    }

    fn restore(&mut self, backup: &Self) {
        let era = self.era + 1;
        *self = Self {
            era,
            changes: Vec::new(),
            ..backup.clone()
        };
    }
}

/// A replica of the store that follows the store or another replica.
#[derive(Clone, Debug, Default)]
struct Replica {
    log: RecordLog,
    index: Option<StoreIndex>,
    known: BTreeMap<String, Vec<u8>>,
    positions: Vec<StoreIndex>,
}

impl Replica {
    fn read_store(&mut self, store: &Store) {
        let changes = self.index.and_then(|index| store.changes_after(index));
        self.apply(changes, &store.all(), store.index());
    }

    fn read_peer(&mut self, peer: &Self) {
        if peer.index.is_none() {
            return;
        }
        let changes = self.index.and_then(|index| peer.log.changes_after(index));
        let index = peer.log.index().max(self.index.unwrap_or_default());
        self.apply(changes, &peer.log.all(), index);
    }

    fn apply(&mut self, changes: Option<Vec<Record>>, all: &[Record], index: StoreIndex) {
        match changes {
            Some(changes) => {
                self.log.append(&changes, index);
                for change in changes {
                    match change.value {
                        Some(value) => self.known.insert(change.key, value),
                        None => self.known.remove(&change.key),
                    };
                }
            }
            None => {
                self.log.replace(all, index);
                let values = all.iter().cloned();
                self.known = values
                    .filter_map(|record| Some((record.key, record.value?)))
                    .collect();
            }
        }
        self.index = Some(index);
        self.positions.push(index);
    }
}

/// Replicas converge after random writes, restarts and restores, and their indices never
/// go back.
#[test]
fn verify_replicas_converge_after_store_restores() {
    for seed in 0..200 {
        let mut draws = fastrand::Rng::with_seed(seed);
        let mut store = Store {
            era: 1,
            ..Store::default()
        };
        let mut backups = vec![store.clone()];
        // The first two follow the store, the others follow these two.
        let mut replicas = vec![Replica::default(); 8];
        for step in 0..400 {
            let key = format!("k{}", draws.u8(..12));
            match draws.u8(..20) {
                0..9 => store.write(&key, Some(step.to_string())),
                9..11 => store.write(&key, None),
                11 => backups.push(store.clone()),
                12 if draws.u8(..4) == 0 => {
                    let chosen = backups.len().saturating_sub(1 + draws.usize(..2));
                    store.restore(&backups[chosen].clone());
                    backups = vec![store.clone()];
                }
                13 if draws.u8(..4) == 0 => {
                    let restarted = draws.usize(..replicas.len());
                    replicas[restarted] = Replica::default();
                }
                _ => {
                    let index = draws.usize(..replicas.len());
                    update(&mut replicas, index, &store, draws.usize(..2));
                }
            }
        }
        for _ in 0..2 {
            for index in 0..replicas.len() {
                update(&mut replicas, index, &store, index % 2);
            }
        }
        let expected: BTreeMap<String, Vec<u8>> = store
            .all()
            .into_iter()
            .filter_map(|record| Some((record.key, record.value?)))
            .collect();
        for (number, replica) in replicas.iter().enumerate() {
            assert_eq!(replica.known, expected, "seed {seed}, replica {number}");
            assert!(
                replica.positions.is_sorted(),
                "seed {seed}, replica {number}: {:?}",
                replica.positions
            );
        }
    }
}

fn update(replicas: &mut [Replica], index: usize, store: &Store, watcher: usize) {
    if index < 2 {
        replicas[index].read_store(store);
    } else {
        let watcher = replicas[watcher].clone();
        replicas[index].read_peer(&watcher);
    }
}

fn upstream(name: &str, state: UpstreamState, born_ms: u64) -> Registration {
    Registration {
        upstream: name.parse().unwrap(),
        born_at: Some(WallTime::from_ms(born_ms)),
        service: "viewer".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        availability_zone: "khomas-a".parse().unwrap(),
        region: "khomas".parse().unwrap(),
        slots: 4,
        state,
        cold_remaining: Duration::ZERO,
    }
}

fn ready(name: &str) -> Registration {
    upstream(name, UpstreamState::Ready, 1)
}

/// Returns a registry with one upstream ready, one draining and one that has left.
fn registry() -> (Registry, MonotonicTime) {
    let now = MonotonicTime::from_ms(10_000);
    let mut registry = Registry::default();
    registry.replace(vec![ready("one"), ready("two"), ready("three")], now);
    registry.register(upstream("two", UpstreamState::Draining, 1), now);
    let three: UpstreamId = "three".parse().unwrap();
    assert_eq!(
        registry.unregister(&three, now),
        RegistryChange::Left(three.clone())
    );
    (registry, now)
}

fn eligible(registry: &Registry) -> Vec<String> {
    let eligible = registry.eligible(&"viewer".parse().unwrap()).iter();
    eligible
        .map(|registered| registered.upstream().to_string())
        .collect()
}

#[test]
fn verify_left_upstreams_stay_ineligible_when_a_backup_lists_them() {
    let (mut registry, now) = registry();
    registry.store_restored(now);
    registry.store_answered(now);
    registry.replace(vec![ready("one"), ready("two"), ready("three")], now);
    assert_eq!(eligible(&registry), ["one"]);
    // Both upstreams restart.
    registry.register(upstream("two", UpstreamState::Ready, 2), now);
    registry.register(upstream("three", UpstreamState::Ready, 2), now);
    assert_eq!(eligible(&registry), ["one", "three", "two"]);
}

#[test]
fn verify_an_upstream_that_registers_again_is_eligible() {
    let (mut registry, now) = registry();
    registry.register(ready("three"), now);
    assert_eq!(eligible(&registry), ["one", "three"]);
    registry.store_restored(now);
    registry.store_answered(now);
    registry.register(ready("three"), now);
    assert_eq!(eligible(&registry), ["one", "three"]);
}

#[test]
fn verify_registrations_missing_from_a_backup_expire_after_the_grace() {
    let (mut registry, now) = registry();
    registry.register(ready("four"), now);
    registry.store_restored(now);
    registry.store_answered(now);
    let changes = registry.replace(vec![ready("one")], now);
    assert_eq!(
        changes,
        [
            RegistryChange::Missing("four".parse().unwrap()),
            RegistryChange::Left("two".parse().unwrap())
        ]
    );
    assert_eq!(eligible(&registry), ["four", "one"]);
    let later = now + REGISTRATION_GRACE + Duration::from_millis(1);
    registry.store_answered(later);
    registry.expire(later);
    assert_eq!(eligible(&registry), ["one"]);
}
