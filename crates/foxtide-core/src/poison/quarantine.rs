//! The requests that are quarantined: no upstream is to run them.

use super::Fingerprint;
use crate::store::StoreIndex;
use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// From how many known ends and trials together on a request is not tried again. Three ends
/// are evidence, and operators accept three more sends: two of these are left for sends that
/// were under way and for ends that instances have seen which were cut off.
const SENDS_MAX: u32 = 4;

/// The pauses before the trials of a quarantined request. A request that was quarantined for
/// the failures of others is served again after the first; one that ends its upstreams costs
/// one each time.
const TRIAL_PAUSES: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(600),
];

/// By how much longer an instance waits before a trial, at most, as a share of the pause: the
/// first takes the trial, and the others need not ask the store for it.
const TRIAL_SPREAD: f64 = 0.2;

/// When the caller of a request is to come back that is not tried again.
const RETRY_AFTER_FINAL: Duration = Duration::from_secs(60);

/// After what time an instance writes an entry that the store lacks and that another one was
/// to write, and over what time instances spread these writes.
const OTHER_WRITE_AFTER: Duration = Duration::from_secs(3);
const OTHER_WRITE_SPREAD: Duration = Duration::from_secs(3);

/// How long after a write the store's word on it is waited for before it is written again.
const SEEN_TIME: Duration = Duration::from_secs(3);

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
        let is_left = self.ends.saturating_add(self.trials) < SENDS_MAX;
        is_left.then(|| Self {
            trials: self.trials + 1,
            ..self
        })
    }

    fn merged(self, other: Self) -> Self {
        Self {
            ends: self.ends.max(other.ends),
            trials: self.trials.max(other.trials),
        }
    }

    fn trial_pause(self) -> Duration {
        let last = TRIAL_PAUSES.len() - 1;
        TRIAL_PAUSES[last.min(self.trials as usize)]
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
pub enum Clearance {
    /// It is not quarantined.
    Open,
    /// It is; its caller may come back after this time.
    Held(Duration),
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
struct Held {
    entry: QuarantineEntry,
    /// The index of the entry in the store; nothing where it is not known to be there.
    index: Option<StoreIndex>,
    held_at: MonotonicTime,
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
pub struct Quarantine(HashMap<Fingerprint, Held>);

impl Quarantine {
    /// Tells whether a request may be sent now.
    pub fn clearance(&self, fingerprint: Fingerprint, now: MonotonicTime) -> Clearance {
        let Some(held) = self.0.get(&fingerprint) else {
            return Clearance::Open;
        };
        if held.index.is_none() || held.entry.with_trial().is_none() {
            return Clearance::Held(RETRY_AFTER_FINAL);
        }
        if now < held.trial_at {
            return Clearance::Held(held.trial_at - now);
        }
        Clearance::TrialDue
    }

    /// Tells whether a request is quarantined.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.0.contains_key(&fingerprint)
    }

    /// Takes in an entry from another source than the store; tells whether the request was
    /// not quarantined before. `draw` is from 0 to 1 and another one on each instance.
    pub fn learn(
        &mut self,
        fingerprint: Fingerprint,
        entry: QuarantineEntry,
        origin: Origin,
        draw: f64,
        now: MonotonicTime,
    ) -> bool {
        if let Some(held) = self.0.get_mut(&fingerprint) {
            held.entry = held.entry.merged(entry);
            return false;
        }
        let write_after = match origin {
            Origin::Own => Duration::ZERO,
            Origin::Peer => OTHER_WRITE_AFTER + OTHER_WRITE_SPREAD.mul_f64(draw),
        };
        self.insert(
            fingerprint,
            Held {
                entry,
                index: None,
                held_at: now,
                trial_at: now + trial_after(entry, draw),
                write_at: now + write_after,
            },
        );
        true
    }

    /// Takes in an entry as the store holds it; tells whether the request was not
    /// quarantined before.
    pub fn take_in(&mut self, stored: &StoredEntry, draw: f64, now: MonotonicTime) -> bool {
        let known = self.0.get(&stored.fingerprint).copied();
        let entry = known.map_or(stored.entry, |known| known.entry.merged(stored.entry));
        let is_same_pause = known.is_some_and(|known| known.entry.trials == entry.trials);
        let trial_at = match known {
            Some(known) if is_same_pause => known.trial_at,
            _ => now + trial_after(entry, draw),
        };
        let held = Held {
            entry,
            index: Some(stored.index),
            held_at: known.map_or(now, |known| known.held_at),
            trial_at,
            write_at: now,
        };
        self.insert(stored.fingerprint, held);
        known.is_none()
    }

    /// Takes in all entries that the store holds; returns the requests that are new.
    ///
    /// One that is missing was removed, unless the store has come back from an older copy
    /// (`is_restored`): it is written again then.
    pub fn replace(
        &mut self,
        stored: &[StoredEntry],
        is_restored: bool,
        draw: f64,
        now: MonotonicTime,
    ) -> Vec<Fingerprint> {
        let is_stored =
            |fingerprint: Fingerprint| stored.iter().any(|one| one.fingerprint == fingerprint);
        self.0.retain(|&fingerprint, held| {
            if held.index.is_none() || is_stored(fingerprint) {
                return true;
            }
            held.index = None;
            held.write_at = now + OTHER_WRITE_SPREAD.mul_f64(draw);
            is_restored
        });
        let is_new = |one: &&StoredEntry| self.take_in(one, draw, now);
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
        if self.clearance(fingerprint, now) != Clearance::TrialDue {
            return None;
        }
        let held = self.0.get(&fingerprint)?;
        Some(StoredEntry {
            fingerprint,
            entry: held.entry.with_trial()?,
            index: held.index?,
        })
    }

    /// Notes that this instance asks the store for a trial: whatever the answer, it does not
    /// ask again before the next pause is over.
    pub fn claim(&mut self, trial: &StoredEntry, draw: f64, now: MonotonicTime) {
        if let Some(held) = self.0.get_mut(&trial.fingerprint) {
            held.trial_at = now + trial_after(trial.entry, draw);
        }
    }

    /// Returns an entry that this instance is to write to the store now.
    pub fn due(&self, now: MonotonicTime) -> Option<(Fingerprint, QuarantineEntry)> {
        let is_due = |held: &Held| held.index.is_none() && held.write_at <= now;
        let mut entries = self.0.iter();
        let (&fingerprint, held) = entries.find(|(_, held)| is_due(held))?;
        Some((fingerprint, held.entry))
    }

    /// Notes that an entry was written, or could not be, and when to try again.
    pub fn note_write(&mut self, fingerprint: Fingerprint, now: MonotonicTime) {
        if let Some(held) = self.0.get_mut(&fingerprint) {
            held.write_at = now + SEEN_TIME;
        }
    }

    /// Returns the entries that the store is not known to hold.
    pub fn unstored(&self) -> Vec<(Fingerprint, QuarantineEntry)> {
        let unstored = self.0.iter().filter(|(_, held)| held.index.is_none());
        unstored
            .map(|(&fingerprint, held)| (fingerprint, held.entry))
            .collect()
    }

    fn insert(&mut self, fingerprint: Fingerprint, held: Held) {
        if self.0.len() >= ENTRIES_MAX && !self.0.contains_key(&fingerprint) {
            let oldest = self.0.iter().min_by_key(|(_, held)| held.held_at);
            if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
                self.0.remove(&oldest);
            }
        }
        self.0.insert(fingerprint, held);
    }
}

fn trial_after(entry: QuarantineEntry, draw: f64) -> Duration {
    entry.trial_pause().mul_f64(1.0 + TRIAL_SPREAD * draw)
}
