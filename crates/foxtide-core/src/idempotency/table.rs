//! Table of the idempotency keys that a process owns.

use super::key::minted_at;
use super::{
    Fingerprint,
    IdempotencyKey,
    OwnerId,
    Rejection,
    RejectionReason,
    TableOptions, //
};
use crate::outcome::Outcome;
use crate::time::WallTime;
use crate::units::ByteSize;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;
use uuid::Uuid;

/// Limits of the keys evicted by one call, which bound its duration.
const EVICTIONS_PER_BEGIN_MAX: usize = 16;
const EVICTIONS_PER_TICK_MAX: usize = 4_096;

/// A response that can be replayed. Clones should be cheap.
pub trait ReplayableAnswer: Clone {
    /// Returns the memory that the response occupies.
    fn size(&self) -> ByteSize;
}

/// What to do with a request that carries a key.
#[derive(Debug)]
#[must_use]
pub enum Begin<A> {
    /// Run the request. Its claim must be returned by [`Table::finish`],
    /// [`Table::finish_without_answer`] or [`Table::abandon`].
    Run(Claim),
    /// The same request is running.
    InProgress {
        /// The retry delay for the caller.
        retry_after: Duration,
    },
    /// The request was run before with this response.
    Replay(A),
    /// Another instance owns the key. Redirect the caller to it, or reject the request with
    /// [`RejectionReason::OwnerGone`] if that instance is no longer a member.
    NotOwner,
    /// Reject the request.
    Reject(Rejection),
}

/// The exclusive right to run one key.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped claim leaves its key marked as running"]
pub struct Claim {
    uuid: Uuid,
}

/// The contents of a table, as counts and sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableUsage {
    /// The number of running keys.
    pub running: usize,
    /// The number of keys whose run has ended.
    pub ended: usize,
    /// The number of stored responses.
    pub answers: usize,
    /// The total size of the stored responses.
    pub answers_size: ByteSize,
}

/// The keys of one process.
#[derive(Clone, Debug)]
pub struct Table<A> {
    owner: OwnerId,
    options: TableOptions,
    running: BTreeMap<Uuid, Running>,
    ended: BTreeMap<Uuid, Ended<A>>,
    /// The newest evicted key. Unknown keys up to it are rejected.
    evicted_through: Uuid,
    /// The keys with stored responses, oldest first.
    answered: BTreeSet<Uuid>,
    answers_bytes: u64,
}

#[derive(Clone, Debug)]
struct Running {
    fingerprint: Fingerprint,
    /// Whether any byte may have been sent to an upstream.
    written: bool,
}

#[derive(Clone, Debug)]
struct Ended<A> {
    fingerprint: Fingerprint,
    result: RunResult<A>,
}

#[derive(Clone, Debug)]
enum RunResult<A> {
    Answered(A),
    AnswerDropped,
    AnswerLost,
}

impl<A: ReplayableAnswer> Table<A> {
    /// Returns the empty table of a process that has just started.
    pub fn new(owner: OwnerId, options: TableOptions) -> Self {
        Self {
            owner,
            options,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            evicted_through: Uuid::nil(),
            answered: BTreeSet::new(),
            answers_bytes: 0,
        }
    }

    /// Returns the owner name that callers put into keys for this process.
    pub fn owner(&self) -> &OwnerId {
        &self.owner
    }

    /// Decides what to do with a request that carries a key.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        now: WallTime,
    ) -> Begin<A> {
        self.evict(now, self.options.validity, EVICTIONS_PER_BEGIN_MAX);
        if *key.owner() != self.owner {
            return self.begin_foreign(key);
        }
        if let Some(known) = self.begin_known(key.uuid(), fingerprint) {
            return known;
        }
        if let Some(rejection) = self.reject_new(key, now) {
            return Begin::Reject(rejection);
        }
        let uuid = key.uuid();
        let written = false;
        let running = Running {
            fingerprint,
            written,
        };
        self.running.insert(uuid, running);
        Begin::Run(Claim { uuid })
    }

    /// Records that the request may reach an upstream. Must be called before its first byte
    /// is sent.
    pub fn mark_written(&mut self, claim: &Claim) {
        self.set_written(claim, true);
    }

    /// Records that the upstream did not run the request: it said so, or no byte was sent.
    /// The claim may be used for another attempt.
    pub fn mark_not_run(&mut self, claim: &Claim) {
        self.set_written(claim, false);
    }

    /// Stores the complete response of a request.
    pub fn finish(&mut self, claim: Claim, answer: A) {
        if !self.can_store(answer.size()) {
            self.finish_without_answer(claim);
            return;
        }
        let size_bytes = answer.size().get();
        if self.end(&claim, RunResult::Answered(answer)) {
            self.answered.insert(claim.uuid);
            self.answers_bytes += size_bytes;
            self.drop_oldest_answers();
        }
    }

    /// Records that a request was run whose response is too large to store.
    pub fn finish_without_answer(&mut self, claim: Claim) {
        self.end(&claim, RunResult::AnswerDropped);
    }

    /// Returns whether a response of this size is stored.
    pub fn can_store(&self, size: ByteSize) -> bool {
        size <= self.options.answer_max
    }

    /// Ends a request without a complete response and returns its outcome.
    ///
    /// If nothing was written, the key may begin again.
    pub fn abandon(&mut self, claim: Claim) -> Outcome {
        let running = self.running.get(&claim.uuid);
        if running.is_some_and(|running| !running.written) {
            self.running.remove(&claim.uuid);
            return Outcome::NotRun;
        }
        self.end(&claim, RunResult::AnswerLost);
        Outcome::Unknown
    }

    /// Evicts expired keys. Should be called about once a second, so that memory is freed
    /// when no requests arrive.
    pub fn tick(&mut self, now: WallTime) {
        self.evict(now, self.options.validity, EVICTIONS_PER_TICK_MAX);
    }

    /// Returns the current usage.
    pub fn usage(&self) -> TableUsage {
        TableUsage {
            running: self.running.len(),
            ended: self.ended.len(),
            answers: self.answered.len(),
            answers_size: ByteSize::from_bytes(self.answers_bytes),
        }
    }

    fn begin_foreign(&self, key: &IdempotencyKey) -> Begin<A> {
        if key.owner().instance == self.owner.instance {
            return Begin::Reject(Rejection::permanent(RejectionReason::OwnerGone));
        }
        Begin::NotOwner
    }

    fn begin_known(&self, uuid: Uuid, fingerprint: Fingerprint) -> Option<Begin<A>> {
        let reused = Begin::Reject(Rejection::permanent(RejectionReason::KeyReused));
        if let Some(running) = self.running.get(&uuid) {
            let same = running.fingerprint == fingerprint;
            let retry_after = self.options.in_progress_retry;
            return Some(if same {
                Begin::InProgress { retry_after }
            } else {
                reused
            });
        }
        let ended = self.ended.get(&uuid)?;
        let same = ended.fingerprint == fingerprint;
        Some(if same { ended.begin() } else { reused })
    }

    fn reject_new(&mut self, key: &IdempotencyKey, now: WallTime) -> Option<Rejection> {
        let minted_at = key.minted_at();
        let expired = minted_at + self.options.validity < now;
        if expired || key.uuid() <= self.evicted_through {
            return Some(Rejection::permanent(RejectionReason::KeyExpired));
        }
        let ahead = minted_at.since(now + self.options.clock_skew_max);
        if ahead > Duration::ZERO {
            return Some(Rejection::temporary(RejectionReason::KeyFromFuture, ahead));
        }
        if !self.evict_if_full(now) {
            let retry_after = self.retry_after_full(now);
            return Some(Rejection::temporary(
                RejectionReason::TableFull,
                retry_after,
            ));
        }
        None
    }

    /// Evicts keys older than the minimum validity if the table is full. Returns whether
    /// there is room for a key.
    fn evict_if_full(&mut self, now: WallTime) -> bool {
        if self.is_full() {
            self.evict(now, self.options.validity_min, EVICTIONS_PER_BEGIN_MAX);
        }
        !self.is_full()
    }

    fn is_full(&self) -> bool {
        self.running.len() + self.ended.len() >= self.options.keys_max
    }

    /// Returns the time until the oldest key can be evicted.
    fn retry_after_full(&self, now: WallTime) -> Duration {
        let oldest = self.ended.first_key_value();
        let free_at = oldest.map(|(uuid, _)| minted_at(*uuid) + self.options.validity_min);
        let free_in = free_at.map_or(Duration::ZERO, |free_at| free_at.since(now));
        free_in.max(self.options.in_progress_retry)
    }

    fn set_written(&mut self, claim: &Claim, written: bool) {
        if let Some(running) = self.running.get_mut(&claim.uuid) {
            running.written = written;
        }
    }

    /// Ends a run. Returns whether the key was running.
    fn end(&mut self, claim: &Claim, result: RunResult<A>) -> bool {
        let Some(running) = self.running.remove(&claim.uuid) else {
            return false;
        };
        let fingerprint = running.fingerprint;
        let ended = Ended {
            fingerprint,
            result,
        };
        self.ended.insert(claim.uuid, ended);
        true
    }

    /// Evicts up to `max_count` of the oldest keys that were minted more than `age` ago.
    fn evict(&mut self, now: WallTime, age: Duration, max_count: usize) {
        for _ in 0..max_count {
            let Some(oldest) = self.ended.first_entry() else {
                return;
            };
            if minted_at(*oldest.key()) + age >= now {
                return;
            }
            let (uuid, ended) = oldest.remove_entry();
            self.evicted_through = self.evicted_through.max(uuid);
            if let RunResult::Answered(answer) = ended.result {
                self.answers_bytes -= answer.size().get();
                self.answered.remove(&uuid);
            }
        }
    }

    fn drop_oldest_answers(&mut self) {
        while self.answers_bytes > self.options.answers_max.get() {
            let Some(uuid) = self.answered.pop_first() else {
                return;
            };
            let Some(ended) = self.ended.get_mut(&uuid) else {
                continue;
            };
            let dropped = std::mem::replace(&mut ended.result, RunResult::AnswerDropped);
            if let RunResult::Answered(answer) = dropped {
                self.answers_bytes -= answer.size().get();
            }
        }
    }
}

impl<A: ReplayableAnswer> Ended<A> {
    fn begin(&self) -> Begin<A> {
        match &self.result {
            RunResult::Answered(answer) => Begin::Replay(answer.clone()),
            RunResult::AnswerDropped => {
                Begin::Reject(Rejection::permanent(RejectionReason::AnswerDropped))
            }
            RunResult::AnswerLost => {
                Begin::Reject(Rejection::permanent(RejectionReason::AnswerLost))
            }
        }
    }
}
