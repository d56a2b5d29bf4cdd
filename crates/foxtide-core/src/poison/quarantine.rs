//! The requests that are quarantined: no upstream is to run them.

use super::Fingerprint;
use crate::store::StoreIndex;
use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// From how many known ends and trials together on a request is not tried again. Three ends
/// are evidence, and operators accept three more sends: two of these are left for sends that
/// were under way and for ends that instances have seen which were cut off.
const ENDS_AND_TRIALS_MAX: u32 = 4;

/// The pauses before the trials of a quarantined request. A request that was quarantined for
/// the failures of others is served again after the first; one that ends its upstreams costs
/// one each time.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(600),
];

/// By how much longer an instance waits before a trial, at most, as a share of the pause: the
/// first takes the trial, and the others need not ask the store for it.
const TRIAL_JITTER: f64 = 0.2;

/// When the caller of a request is to come back that is not tried again.
const RETRY_AFTER_NO_TRIAL: Duration = Duration::from_secs(60);

/// After what time an instance writes an entry that the store lacks and that another one was
/// to write, and over what time instances spread these writes.
const PEER_WRITE_DELAY: Duration = Duration::from_secs(3);
const PEER_WRITE_JITTER: Duration = Duration::from_secs(3);

/// How long after a write the store's word on it is waited for before it is written again.
const WRITE_CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);

/// The most requests that are quarantined; the oldest entry makes room for a new one.
const ENTRIES_MAX: usize = 4_096;

/// What the fleet knows of a quarantined request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The upstreams that have ended under it.
    pub ends: u32,
    /// How often an instance was allowed to send it after that.
    pub trials: u32,
}

impl QuarantineEntry {
    /// Returns the entry with another trial, unless there have been enough.
    pub fn with_trial(self) -> Option<Self> {
        let is_left = self.ends.saturating_add(self.trials) < ENDS_AND_TRIALS_MAX;
        is_left.then(|| Self {
            trials: self.trials + 1,
            ..self
        })
    }

    fn fieldwise_max(self, other: Self) -> Self {
        Self {
            ends: self.ends.max(other.ends),
            trials: self.trials.max(other.trials),
        }
    }

    fn trial_delay(self) -> Duration {
        let last = TRIAL_DELAYS.len() - 1;
        TRIAL_DELAYS[last.min(self.trials as usize)]
    }
}

/// An entry that the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What the store holds of it.
    pub entry: QuarantineEntry,
    /// The index of its last change.
    pub index: StoreIndex,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It is not quarantined.
    NotQuarantined,
    /// It is; its caller may come back after this time.
    Quarantined(Duration),
    /// It is, and the instance that claims its next trial may send it once.
    TrialDue,
}

/// Who has quarantined a request, as far as this instance knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This instance, which writes the entry to the store at once.
    Own,
    /// Another one, which is expected to write it.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct QuarantinedRequest {
    entry: QuarantineEntry,
    /// The index of the entry in the store; nothing where it is not known to be there.
    index: Option<StoreIndex>,
    quarantined_at: MonotonicTime,
    trial_at: MonotonicTime,
    /// When this instance writes the entry to the store, where it is not there.
    write_at: MonotonicTime,
}

/// All quarantined requests.
///
/// An entry stands until the request is served in a trial or an operator removes its key
/// from the store: a quarantine that ended by time would let the request through at each
/// instance anew.
#[derive(Clone, Debug, Default)]
pub struct Quarantine(HashMap<Fingerprint, QuarantinedRequest>);

impl Quarantine {
    /// Tells whether a request may be sent now.
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

    /// Tells whether a request is quarantined.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.0.contains_key(&fingerprint)
    }

    /// Takes in an entry from another source than the store; tells whether the request was
    /// not quarantined before. `draw` is from 0 to 1 and another one on each instance.
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
            },
        );
        true
    }

    /// Takes in an entry as the store holds it; tells whether the request was not
    /// quarantined before.
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
        };
        self.insert(stored.fingerprint, request);
        known.is_none()
    }

    /// Takes in all entries that the store holds; returns the requests that are new.
    ///
    /// One that is missing was removed, unless the store has come back from an older copy
    /// (`is_restored`): it is written again then.
    pub fn sync_stored(
        &mut self,
        stored: &[StoredEntry],
        is_restored: bool,
        draw: f64,
        now: MonotonicTime,
    ) -> Vec<Fingerprint> {
        let is_stored =
            |fingerprint: Fingerprint| stored.iter().any(|one| one.fingerprint == fingerprint);
        self.0.retain(|&fingerprint, request| {
            if request.index.is_none() || is_stored(fingerprint) {
                return true;
            }
            request.index = None;
            request.write_at = now + PEER_WRITE_JITTER.mul_f64(draw);
            is_restored
        });
        let is_new = |one: &&StoredEntry| self.merge_stored(one, draw, now);
        let new = stored.iter().filter(is_new);
        new.map(|one| one.fingerprint).collect()
    }

    /// Lets a request through; tells whether it was quarantined.
    pub fn release(&mut self, fingerprint: Fingerprint) -> bool {
        self.0.remove(&fingerprint).is_some()
    }

    /// Returns the entry that is to replace the one in the store when this instance claims
    /// the next trial of a request; nothing where none is due.
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

    /// Notes that this instance asks the store for a trial: whatever the answer, it does not
    /// ask again before the next pause is over.
    pub fn claim(&mut self, trial: &StoredEntry, draw: f64, now: MonotonicTime) {
        if let Some(request) = self.0.get_mut(&trial.fingerprint) {
            request.trial_at = now + jittered_trial_delay(trial.entry, draw);
        }
    }

    /// Returns an entry that this instance is to write to the store now.
    pub fn next_write(&self, now: MonotonicTime) -> Option<(Fingerprint, QuarantineEntry)> {
        let is_due =
            |request: &QuarantinedRequest| request.index.is_none() && request.write_at <= now;
        let mut entries = self.0.iter();
        let (&fingerprint, request) = entries.find(|(_, request)| is_due(request))?;
        Some((fingerprint, request.entry))
    }

    /// Notes that an entry was written, or could not be, and when to try again.
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
                .min_by_key(|(_, request)| request.quarantined_at);
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
