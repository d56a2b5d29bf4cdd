//! Follows the store: configuration, upstreams and instances.

use crate::dialect::Dialect;
use crate::gateway::Shared;
use crate::store::{
    Changes,
    FleetStore, //
};
use foxtide_core::store::{
    StoreError,
    StoreIndex, //
};
use smol::Timer;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// The least time between two calls that follow changes: what happens between
/// them comes with the next one, so that a busy store costs one call a period.
const FOLLOW_PERIOD: Duration = Duration::from_millis(800);

/// How long the store waits for a change. A call that a cut has swallowed is
/// noticed soon after this.
const FOLLOW_WAIT: Duration = Duration::from_millis(2_000);

/// The first pause after a failed call, and the longest; each is jittered.
const RETRY_PAUSE_FIRST: Duration = Duration::from_millis(150);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);

/// Follows the store for as long as the instance runs.
pub(crate) async fn follow<D: Dialect, S: FleetStore>(shared: Arc<Shared<D>>, store: S) {
    let mut follower = Follower {
        shared,
        store,
        index: None,
        failures: 0,
    };
    loop {
        let started = Instant::now();
        match follower.step().await {
            Ok(()) => {
                follower.answered();
                Timer::at(started + FOLLOW_PERIOD).await;
            }
            Err(error) => {
                follower.failed(&error);
                Timer::after(follower.pause()).await;
            }
        }
    }
}

struct Follower<D, S> {
    shared: Arc<Shared<D>>,
    store: S,
    /// Where to go on from; nothing where all has to be read.
    index: Option<StoreIndex>,
    failures: u32,
}

impl<D: Dialect, S: FleetStore> Follower<D, S> {
    async fn step(&mut self) -> Result<(), StoreError> {
        match self.index {
            None => self.read_all().await,
            Some(index) => self.read_changes(index).await,
        }
    }

    async fn read_all(&mut self) -> Result<(), StoreError> {
        let snapshot = self.store.read_all().await?;
        let mut state = self.shared.state.lock();
        state.store_answered();
        log::info!(event = "store.read", index:% = snapshot.index, facts = snapshot.facts.len(); "all was read from the store");
        state.replace(snapshot.facts);
        self.index = Some(snapshot.index);
        Ok(())
    }

    async fn read_changes(&mut self, index: StoreIndex) -> Result<(), StoreError> {
        match self.store.changes(index, FOLLOW_WAIT).await? {
            Changes::Followed { facts, index } => {
                let mut state = self.shared.state.lock();
                state.store_answered();
                state.apply(facts);
                self.index = Some(index);
            }
            Changes::Forgotten => {
                log::warn!(event = "store.history_lost", index:% = index; "the store has forgotten its changes, all is read again");
                self.index = None;
            }
        }
        Ok(())
    }

    fn answered(&mut self) {
        if self.failures > 0 {
            log::info!(event = "store.regained", failures = self.failures; "the store answers again");
        }
        self.failures = 0;
    }

    fn failed(&mut self, error: &StoreError) {
        if self.failures == 0 {
            log::warn!(event = "store.lost", cause:% = error; "the store does not answer");
        }
        self.failures += 1;
        self.shared.state.lock().store_failed();
    }

    fn pause(&self) -> Duration {
        let doubled = RETRY_PAUSE_FIRST * 2_u32.saturating_pow(self.failures.min(6) - 1);
        doubled.min(RETRY_PAUSE_MAX).mul_f64(0.5 + fastrand::f64())
    }
}
