//! Keeps the quarantine in the platform's store, which outlives all instances.

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

/// How often it is looked whether an entry is to be written that another instance has not
/// written, or that the store has lost.
const WRITE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// How often the removal of an entry is tried. Where all fail, the request is tried and
/// served again after the next pause.
const REMOVAL_ATTEMPTS_MAX: u32 = 5;

/// A change of the quarantine that the store has to agree to.
#[derive(Debug)]
enum Command {
    /// An instance wants to send a quarantined request once.
    Claim(StoredEntry, Sender<bool>),
    /// A quarantined request was served.
    Remove(Fingerprint),
    /// This instance has quarantined a request.
    Write,
}

/// Takes commands from the requests that need the store.
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
    /// Claims a trial; tells whether this instance has it.
    pub(super) async fn claim(&self, trial: StoredEntry) -> bool {
        let (answer, answered) = bounded(1);
        let command = Command::Claim(trial, answer);
        self.commands.try_send(command).is_ok() && answered.recv().await.unwrap_or(false)
    }

    /// Has entries written that are due, without waiting for the next look: an instance that
    /// starts now learns of them from the store alone.
    pub(super) fn write(&self) {
        // Fails only where the instance has ended.
        let _ = self.commands.try_send(Command::Write);
    }

    /// Has an entry removed.
    pub(super) fn remove(&self, fingerprint: Fingerprint) {
        // Fails only where the instance has ended.
        let _ = self.commands.try_send(Command::Remove(fingerprint));
    }
}

/// Writes to the store what it lacks of the quarantine, for as long as the instance runs.
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
                // Fails where the caller has left: the trial is not used then.
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
    // Where another has written it, the store's word on that is on its way.
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
