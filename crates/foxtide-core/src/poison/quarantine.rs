//! Table of quarantined requests, which are not sent to upstreams.

use super::Fingerprint;
use super::suspects::END_THRESHOLD;
use crate::store::StoreIndex;
use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// The sum of known ends and trials at which trials stop. It leaves room for sends already in
/// flight and for ends seen by partitioned instances. Three ends are evidence, and operators accept
/// three more sends, of which this leaves two.
const ENDS_AND_TRIALS_MAX: u32 = 4;

/// The same for a request with fewer ends than are evidence, which an isolated instance quarantined.
/// It leaves room for one more end, in the part of the fleet that is cut off.
const ISOLATED_ENDS_AND_TRIALS_MAX: u32 = 3;

/// The delay before the first trial of a request with one end, which most likely was at a failed
/// upstream by chance. It exceeds the time in which the other instances learn of the entry.
const ONE_END_TRIAL_DELAY: Duration = Duration::from_secs(1);

/// The delays before the trials of a quarantined request, by the number of past trials. A request
/// that was quarantined for the failures of others is served after the first; one that ends its
/// upstreams costs one for each trial.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(600),
];

/// The largest random addition to a trial's delay, as a share of it; spreads the claims of the
/// instances. The first one takes the trial, and the others need not ask the store for it.
const TRIAL_JITTER: f64 = 0.2;

/// The retry delay for callers of a request that has no trial due.
const RETRY_AFTER_NO_TRIAL: Duration = Duration::from_secs(60);

/// The time for which an instance waits for a peer to write an entry before it does so itself.
const PEER_WRITE_DELAY: Duration = Duration::from_secs(3);

/// The time over which instances spread such writes.
const PEER_WRITE_JITTER: Duration = Duration::from_secs(3);

/// The time after which a write is repeated unless the store has confirmed it.
const WRITE_CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);

/// The capacity of the table; the oldest entry is evicted for a new one.
const ENTRIES_MAX: usize = 4_096;

/// The evidence and the trials of a quarantined request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The number of upstreams that ended under it.
    pub ends: u32,
    /// The number of trials claimed since.
    pub trials: u32,
}

impl QuarantineEntry {
    /// Returns the entry with one more trial, unless none is left.
    pub fn with_trial(self) -> Option<Self> {
        let max = match self.is_evidence() {
            true => ENDS_AND_TRIALS_MAX,
            false => ISOLATED_ENDS_AND_TRIALS_MAX,
        };
        let has_trial = self.ends.saturating_add(self.trials) < max;
        has_trial.then(|| Self {
            trials: self.trials + 1,
            ..self
        })
    }

    /// Tells whether the ends are evidence against the request also for instances that are in contact
    /// with all regions.
    pub fn is_evidence(self) -> bool {
        self.ends as usize >= END_THRESHOLD
    }

    fn fieldwise_max(self, other: Self) -> Self {
        Self {
            ends: self.ends.max(other.ends),
            trials: self.trials.max(other.trials),
        }
    }

    fn trial_delay(self) -> Duration {
        if self.ends <= 1 && self.trials == 0 {
            return ONE_END_TRIAL_DELAY;
        }
        let last = TRIAL_DELAYS.len() - 1;
        TRIAL_DELAYS[last.min(self.trials as usize)]
    }
}

/// An entry as the store holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The entry.
    pub entry: QuarantineEntry,
    /// The index of the entry's last change.
    pub index: StoreIndex,
}

/// The quarantine status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It may be sent.
    NotQuarantined,
    /// It is quarantined; its caller may retry after this time.
    Quarantined(Duration),
    /// It is quarantined; the instance that claims the next trial may send it once.
    TrialDue,
}

/// The source of an entry that is not from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This instance, which writes the entry to the store immediately.
    Own,
    /// Another instance, which is expected to write it.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct QuarantinedRequest {
    entry: QuarantineEntry,
    /// The index of the entry in the store; `None` if it is not known to be stored.
    index: Option<StoreIndex>,
    quarantined_at: MonotonicTime,
    trial_at: MonotonicTime,
    /// When this instance writes the entry to the store if it is missing there.
    write_at: MonotonicTime,
    /// Whether the request that was at the upstream may still claim its retry.
    has_retry: bool,
}

/// The quarantined requests known to an instance.
///
/// Entries do not expire: an entry is removed when the request is served in a trial or an
/// operator removes its key from the store.
#[derive(Clone, Debug, Default)]
pub struct Quarantine(HashMap<Fingerprint, QuarantinedRequest>);

impl Quarantine {
    /// Returns whether a request may be sent now.
    pub fn status(&self, fingerprint: Fingerprint, now: MonotonicTime) -> QuarantineStatus {
        let Some(request) = self.0.get(&fingerprint) else {
            return QuarantineStatus::NotQuarantined;
        };
        if request.index.is_none() || request.entry.with_trial().is_none() {
            return QuarantineStatus::Quarantined(RETRY_AFTER_NO_TRIAL);
        }
        if now < request.trial_at {
            return QuarantineStatus::Quarantined(request.trial_at - now);
        }
        QuarantineStatus::TrialDue
    }

    /// Returns whether a request is quarantined.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.0.contains_key(&fingerprint)
    }

    /// Returns the entry of a quarantined request.
    pub fn entry(&self, fingerprint: Fingerprint) -> Option<QuarantineEntry> {
        self.0.get(&fingerprint).map(|request| request.entry)
    }

    /// Merges an entry that is not from the store; returns whether the request was not
    /// quarantined before. `draw` is a random number from 0 to 1.
    pub fn merge(
        &mut self,
        fingerprint: Fingerprint,
        entry: QuarantineEntry,
        origin: Origin,
        draw: f64,
        now: MonotonicTime,
    ) -> bool {
        if let Some(request) = self.0.get_mut(&fingerprint) {
            request.entry = request.entry.fieldwise_max(entry);
            return false;
        }
        let write_after = match origin {
            Origin::Own => Duration::ZERO,
            Origin::Peer => PEER_WRITE_DELAY + PEER_WRITE_JITTER.mul_f64(draw),
        };
        self.insert(
            fingerprint,
            QuarantinedRequest {
                entry,
                index: None,
                quarantined_at: now,
                trial_at: now + jittered_trial_delay(entry, draw),
                write_at: now + write_after,
                has_retry: origin == Origin::Own && !entry.is_evidence(),
            },
        );
        true
    }

    /// Merges an entry from the store; returns whether the request was not quarantined
    /// before.
    pub fn merge_stored(&mut self, stored: &StoredEntry, draw: f64, now: MonotonicTime) -> bool {
        let known = self.0.get(&stored.fingerprint).copied();
        let entry = known.map_or(stored.entry, |known| {
            known.entry.fieldwise_max(stored.entry)
        });
        let is_same_delay = known.is_some_and(|known| known.entry.trials == entry.trials);
        let trial_at = match known {
            Some(known) if is_same_delay => known.trial_at,
            _ => now + jittered_trial_delay(entry, draw),
        };
        let request = QuarantinedRequest {
            entry,
            index: Some(stored.index),
            quarantined_at: known.map_or(now, |known| known.quarantined_at),
            trial_at,
            write_at: now,
            has_retry: false,
        };
        self.insert(stored.fingerprint, request);
        known.is_none()
    }

    /// Merges all entries of the store; returns the newly quarantined requests.
    ///
    /// Missing entries are released, unless the store was restored from an older copy
    /// (`is_restored`), in which case they are written again.
    pub fn sync_stored(
        &mut self,
        stored: &[StoredEntry],
        is_restored: bool,
        draw: f64,
        now: MonotonicTime,
    ) -> Vec<Fingerprint> {
        let is_stored =
            |fingerprint: Fingerprint| stored.iter().any(|entry| entry.fingerprint == fingerprint);
        self.0.retain(|&fingerprint, request| {
            if request.index.is_none() || is_stored(fingerprint) {
                return true;
            }
            request.index = None;
            request.write_at = now + PEER_WRITE_JITTER.mul_f64(draw);
            is_restored
        });
        let is_new = |entry: &&StoredEntry| self.merge_stored(entry, draw, now);
        let new = stored.iter().filter(is_new);
        new.map(|entry| entry.fingerprint).collect()
    }

    /// Releases a request; returns whether it was quarantined.
    pub fn release(&mut self, fingerprint: Fingerprint) -> bool {
        self.0.remove(&fingerprint).is_some()
    }

    /// Releases a request that was served and that an isolated instance quarantined; returns whether
    /// it was.
    pub fn release_isolated(&mut self, fingerprint: Fingerprint) -> bool {
        let request = self.0.get(&fingerprint);
        let is_isolated = request.is_some_and(|request| !request.entry.is_evidence());
        is_isolated && self.release(fingerprint)
    }

    /// Returns the entry with which the request whose end this instance was first to report may
    /// claim its retry, once: the store must not yet hold any. Returns `None` for all others.
    pub fn take_retry(&mut self, fingerprint: Fingerprint) -> Option<StoredEntry> {
        let request = self.0.get_mut(&fingerprint)?;
        if !std::mem::take(&mut request.has_retry) {
            return None;
        }
        Some(StoredEntry {
            fingerprint,
            entry: request.entry.with_trial()?,
            index: StoreIndex::ABSENT,
        })
    }

    /// Records that the store accepted the claim of a retry.
    pub fn record_retry(&mut self, retry: &StoredEntry, draw: f64, now: MonotonicTime) {
        if let Some(request) = self.0.get_mut(&retry.fingerprint) {
            request.entry = request.entry.fieldwise_max(retry.entry);
            request.trial_at = now + jittered_trial_delay(retry.entry, draw);
        }
    }

    /// Returns the entry with which this instance may claim the next trial in the store;
    /// `None` if none is due.
    pub fn next_trial(&self, fingerprint: Fingerprint, now: MonotonicTime) -> Option<StoredEntry> {
        if self.status(fingerprint, now) != QuarantineStatus::TrialDue {
            return None;
        }
        let request = self.0.get(&fingerprint)?;
        Some(StoredEntry {
            fingerprint,
            entry: request.entry.with_trial()?,
            index: request.index?,
        })
    }

    /// Records that this instance claims a trial: whatever the store answers, the next claim
    /// follows after the next delay.
    pub fn claim(&mut self, trial: &StoredEntry, draw: f64, now: MonotonicTime) {
        if let Some(request) = self.0.get_mut(&trial.fingerprint) {
            request.trial_at = now + jittered_trial_delay(trial.entry, draw);
        }
    }

    /// Returns the entry that has been due to be written to the store for longest.
    pub fn next_write(&self, now: MonotonicTime) -> Option<(Fingerprint, QuarantineEntry)> {
        let is_due =
            |request: &QuarantinedRequest| request.index.is_none() && request.write_at <= now;
        let due = self.0.iter().filter(|(_, request)| is_due(request));
        let (&fingerprint, request) =
            due.min_by_key(|&(&fingerprint, request)| (request.write_at, fingerprint))?;
        Some((fingerprint, request.entry))
    }

    /// Records an attempt to write an entry, successful or not, and schedules the next.
    pub fn record_write(&mut self, fingerprint: Fingerprint, now: MonotonicTime) {
        if let Some(request) = self.0.get_mut(&fingerprint) {
            request.write_at = now + WRITE_CONFIRM_TIMEOUT;
        }
    }

    /// Returns the entries that the store is not known to hold.
    pub fn unstored(&self) -> Vec<(Fingerprint, QuarantineEntry)> {
        let unstored = self.0.iter().filter(|(_, request)| request.index.is_none());
        unstored
            .map(|(&fingerprint, request)| (fingerprint, request.entry))
            .collect()
    }

    fn insert(&mut self, fingerprint: Fingerprint, request: QuarantinedRequest) {
        if self.0.len() >= ENTRIES_MAX && !self.0.contains_key(&fingerprint) {
            let oldest = self
                .0
                .iter()
                .min_by_key(|&(&fingerprint, request)| (request.quarantined_at, fingerprint));
            if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
                self.0.remove(&oldest);
            }
        }
        self.0.insert(fingerprint, request);
    }
}

fn jittered_trial_delay(entry: QuarantineEntry, draw: f64) -> Duration {
    entry.trial_delay().mul_f64(1.0 + TRIAL_JITTER * draw)
}
