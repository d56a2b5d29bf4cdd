//! Policies that depend on the store.

use super::policy::{
    Answer,
    Decision,
    KeyRandom,
    PlainKey,
    Policy,
    Reply,
    Tables,
    View,
    delegate_to_tables, //
};
use foxtide_core::idempotency::Claim;
use foxtide_core::outcome::Outcome;
use foxtide_core::time::{
    CLOCK_SKEW_MAX,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// When the store is unavailable, from the start of the simulation.
const OUTAGE: std::ops::Range<Duration> = Duration::from_secs(40)..Duration::from_secs(70);

const LEASE_DURATION: Duration = Duration::from_secs(10);
const RENEWAL_PERIOD: Duration = Duration::from_secs(3);
const RANGE_COUNT: usize = 64;

fn is_store_up(start: WallTime, now: WallTime) -> bool {
    !OUTAGE.contains(&now.since(start))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Record {
    Begun,
    Done,
}

/// Writes a record to the store before and after each request.
#[derive(Debug)]
pub(super) struct RecordEach {
    start: WallTime,
    records: HashMap<KeyRandom, Record>,
    writes: u64,
}

/// The right to run a request whose first record has been written.
#[derive(Debug)]
pub(super) struct RecordClaim {
    key: KeyRandom,
    written: std::cell::Cell<bool>,
}

impl RecordEach {
    pub(super) fn new(start: WallTime) -> Self {
        Self {
            start,
            records: HashMap::new(),
            writes: 0,
        }
    }
}

impl Policy for RecordEach {
    type Key = PlainKey;
    type Claim = RecordClaim;

    /// Latency of a write to the store.
    const BEGIN_DELAY_US: u64 = 3_000;

    fn mint(&mut self, _instance: usize, minted_at: WallTime, random: KeyRandom) -> PlainKey {
        PlainKey { minted_at, random }
    }

    fn begin(&mut self, view: &View<'_>, key: &PlainKey) -> Decision<RecordClaim> {
        if !is_store_up(self.start, view.now) {
            return Decision::Reply(Reply::Retry);
        }
        self.writes += 1;
        match self.records.get(&key.random) {
            Some(Record::Done) => Decision::Reply(Reply::Final(Outcome::Done)),
            Some(Record::Begun) => Decision::Reply(Reply::Retry),
            None => {
                self.records.insert(key.random, Record::Begun);
                let key = key.random;
                let written = std::cell::Cell::new(false);
                Decision::Run(RecordClaim { key, written })
            }
        }
    }

    fn mark_written(&mut self, _instance: usize, claim: &RecordClaim) {
        claim.written.set(true);
    }

    fn mark_not_run(&mut self, _instance: usize, claim: &RecordClaim) {
        claim.written.set(false);
    }

    fn finish(&mut self, _instance: usize, claim: RecordClaim) {
        self.writes += 1;
        self.records.insert(claim.key, Record::Done);
    }

    fn abandon(&mut self, _instance: usize, claim: RecordClaim) -> Outcome {
        if claim.written.get() {
            return Outcome::Unknown;
        }
        self.writes += 1;
        self.records.remove(&claim.key);
        Outcome::NotRun
    }

    fn restart(&mut self, _instance: usize) {}

    fn store_writes(&self) -> u64 {
        self.writes
    }
}

/// A range of keys; its owner may run those minted at or after `minted_from`.
#[derive(Clone, Copy, Debug)]
struct Range {
    owner: usize,
    minted_from: WallTime,
}

/// Leases ranges of keys in the store, with one lease per instance.
#[derive(Debug)]
pub(super) struct LeasedRanges {
    tables: Tables,
    start: WallTime,
    ranges: Vec<Range>,
    /// When the lease of each instance expires.
    lease_ends: Vec<WallTime>,
    renewed_at: Vec<WallTime>,
    writes: u64,
}

impl LeasedRanges {
    pub(super) fn new(instances: usize, start: WallTime) -> Self {
        let range = |number| Range {
            owner: number % instances,
            minted_from: WallTime::ZERO,
        };
        Self {
            tables: Tables::new(instances),
            start,
            ranges: (0..RANGE_COUNT).map(range).collect(),
            lease_ends: vec![start + LEASE_DURATION; instances],
            renewed_at: vec![start; instances],
            writes: 0,
        }
    }

    fn renew(&mut self, now: WallTime, instance: usize) {
        if now.since(self.renewed_at[instance]) >= RENEWAL_PERIOD {
            self.writes += 1;
            self.renewed_at[instance] = now;
            self.lease_ends[instance] = now + LEASE_DURATION;
        }
    }

    /// Reassigns the ranges of an expired lease to instances with a valid one.
    fn take_over(&mut self, now: WallTime, instance: usize) {
        let is_valid = |other: &usize| self.lease_ends[*other] > now;
        let successors: Vec<usize> = (0..self.lease_ends.len()).filter(is_valid).collect();
        let expired = now.since(self.lease_ends[instance]) > CLOCK_SKEW_MAX;
        let is_owned = |range: &Range| range.owner == instance;
        if !expired || successors.is_empty() || !self.ranges.iter().any(is_owned) {
            return;
        }
        self.writes += 1;
        for (number, range) in self.ranges.iter_mut().enumerate() {
            if range.owner == instance {
                range.owner = successors[number % successors.len()];
                range.minted_from = now + CLOCK_SKEW_MAX;
            }
        }
    }
}

impl Policy for LeasedRanges {
    type Key = PlainKey;
    type Claim = Claim;

    fn mint(&mut self, _instance: usize, minted_at: WallTime, random: KeyRandom) -> PlainKey {
        PlainKey { minted_at, random }
    }

    fn begin(&mut self, view: &View<'_>, key: &PlainKey) -> Decision<Claim> {
        let number = usize::try_from(key.hash() % RANGE_COUNT as u64).unwrap_or(0);
        let range = self.ranges[number];
        if range.owner != view.instance {
            return Decision::Redirect(range.owner);
        }
        if key.minted_at < range.minted_from {
            return Decision::Reply(Reply::Final(Outcome::Unknown));
        }
        let owned_key = key.with_owner(self.tables.table(view.instance).owner());
        match self.tables.begin(view, &owned_key) {
            Decision::Run(claim) if self.lease_ends[view.instance] <= view.now => {
                let outcome = self.tables.table(view.instance).abandon(claim);
                Decision::Reply(Reply::Final(outcome))
            }
            decision => decision,
        }
    }

    fn restart(&mut self, instance: usize) {
        self.tables.restart(instance);
        self.lease_ends[instance] = WallTime::ZERO;
    }

    fn tick(&mut self, now: WallTime, running: &[bool]) {
        if !is_store_up(self.start, now) {
            return;
        }
        for (instance, running) in running.iter().enumerate() {
            if *running {
                self.renew(now, instance);
            }
        }
        for instance in 0..running.len() {
            self.take_over(now, instance);
        }
    }

    fn store_writes(&self) -> u64 {
        self.writes
    }

    delegate_to_tables!();
}
