//! Writes the quarantine to the platform's store, where it survives a restart of all instances.

use crate::dialect::Dialect;
use crate::shared::Shared;
use crate::store::FleetStore;
use crate::store_calls::CallPurpose;
use foxtide_core::poison::{
    Fingerprint,
    StoredEntry, //
};
use foxtide_core::store::{
    StoreIndex,
    StoreResult, //
};
use foxtide_events::{
    EventCode,
    log_event, //
};
use futures_lite::future::or;
use smol::Timer;
use smol::channel::{
    Receiver,
    Sender,
    bounded,
    unbounded, //
};
use std::sync::Arc;
use std::time::Duration;

/// How often the quarantine is checked for entries that the store lacks.
const WRITE_CHECK_PERIOD: Duration = Duration::from_millis(500);

const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// The maximum number of attempts to remove an entry; if all fail, the next trial of the
/// request removes it.
const REMOVAL_ATTEMPTS_MAX: u32 = 5;

/// A change of the quarantine in the store.
#[derive(Debug)]
enum Command {
    /// Claims the trial of a quarantined request.
    Claim(StoredEntry, Sender<bool>),
    /// Removes a request that was served.
    Remove(Fingerprint),
    /// Writes the entries that are due.
    Write,
}

/// Queues commands for the task that writes to the store.
#[derive(Debug)]
pub(super) struct StoreWriter {
    commands: Sender<Command>,
    receiver: Receiver<Command>,
}

impl Default for StoreWriter {
    fn default() -> Self {
        let (commands, receiver) = unbounded();
        Self { commands, receiver }
    }
}

impl StoreWriter {
    /// Claims a trial; returns whether this instance got it.
    pub(super) async fn claim(&self, trial: StoredEntry) -> bool {
        let (answer, answered) = bounded(1);
        let command = Command::Claim(trial, answer);
        self.commands.try_send(command).is_ok() && answered.recv().await.unwrap_or(false)
    }

    /// Requests that due entries are written now rather than at the next check: a starting
    /// instance knows only what the store holds.
    pub(super) fn write(&self) {
        // Fails only after the instance has ended.
        let _ = self.commands.try_send(Command::Write);
    }

    /// Requests the removal of an entry.
    pub(super) fn remove(&self, fingerprint: Fingerprint) {
        // Fails only after the instance has ended.
        let _ = self.commands.try_send(Command::Remove(fingerprint));
    }
}

/// Writes the quarantine to the store for as long as the instance runs.
pub(crate) async fn sync_quarantine<D: Dialect, S: FleetStore>(shared: Arc<Shared<D>>, store: S) {
    let commands = shared.poison.store_writer.receiver.clone();
    loop {
        let tick = async {
            Timer::after(WRITE_CHECK_PERIOD).await;
            None
        };
        match or(async { commands.recv().await.ok() }, tick).await {
            Some(Command::Claim(trial, answer)) => {
                let is_claimed = write(&shared, &store, &trial).await;
                // Fails if the caller has disconnected; the trial is unused then.
                let _ = answer.send(matches!(is_claimed, Ok(true))).await;
            }
            Some(Command::Remove(fingerprint)) => remove(&shared, &store, fingerprint).await,
            Some(Command::Write) | None => write_due(&shared, &store).await,
        }
    }
}

async fn write_due<D: Dialect, S: FleetStore>(shared: &Shared<D>, store: &S) {
    let now = shared.clock.now();
    let due = shared.poison.quarantine.lock().next_write(now);
    let Some((fingerprint, entry)) = due else {
        return;
    };
    let new = StoredEntry {
        fingerprint,
        entry,
        index: StoreIndex::ABSENT,
    };
    if write(shared, store, &new).await.is_err() {
        Timer::after(RETRY_PAUSE).await;
        return;
    }
    // If another instance has written the entry, the follower will receive it.
    let now = shared.clock.now();
    shared
        .poison
        .quarantine
        .lock()
        .record_write(fingerprint, now);
}

async fn write<D: Dialect, S: FleetStore>(
    shared: &Shared<D>,
    store: &S,
    entry: &StoredEntry,
) -> StoreResult<bool> {
    shared.store_calls.count(CallPurpose::Quarantine, 1);
    let written = store.write_quarantine(entry).await;
    written.inspect_err(|error| log_event!(EventCode::QuarantineCallFailed, cause:% = error))
}

async fn remove<D: Dialect, S: FleetStore>(
    shared: &Shared<D>,
    store: &S,
    fingerprint: Fingerprint,
) {
    for _ in 0..REMOVAL_ATTEMPTS_MAX {
        shared.store_calls.count(CallPurpose::Quarantine, 1);
        match store.remove_quarantine(fingerprint).await {
            Ok(()) => return,
            Err(error) => log_event!(EventCode::QuarantineCallFailed, cause:% = error),
        }
        Timer::after(RETRY_PAUSE).await;
    }
}
