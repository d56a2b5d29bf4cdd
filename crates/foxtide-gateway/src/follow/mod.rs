//! Follows the store: configuration, upstreams and instances.

mod apply;
mod peers;
mod start;

use crate::dialect::Dialect;
use crate::relay::{
    RelayClient,
    RelayError, //
};
use crate::shared::Shared;
use crate::store::{
    Changes,
    FleetStore, //
};
use crate::store_calls::CallPurpose;
use foxtide_core::records::Record;
use foxtide_core::registry::FollowerBackoff;
use foxtide_core::store::{
    StoreError,
    StoreIndex,
    StoreResult, //
};
use foxtide_events::{
    EventCode,
    log_event, //
};
use futures_lite::future::or;
use smol::Timer;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// The least time between two calls that follow changes: what happens between
/// them comes with the next one, so that a busy store costs one call a period.
const FOLLOW_PERIOD: Duration = Duration::from_millis(800);

/// The same for one that follows the store for others in a large fleet: its calls are most
/// of what the fleet makes at rest. Against 0.8 s this saves a quarter of them, 270 in 45 s
/// of 295 instances, and a change is in force everywhere within 1.5 s of the 3 s that
/// deployments of that size allow.
const WATCHER_PERIOD: Duration = Duration::from_millis(1_200);

/// How long the store waits for a change. A wait that begins while the store
/// forgets its history may hear nothing of what was forgotten; it has to end
/// within the time in which a change must be in force.
const FOLLOW_WAIT: Duration = Duration::from_millis(2_000);

/// How long it waits for a change while its last call failed: its answer tells
/// that it is back.
const RECOVERY_WAIT: Duration = Duration::from_millis(20);

/// By how much a wait may end late and still count as cut, not as unanswered: a call
/// gives up a second after its wait.
const WAIT_END_MARGIN: Duration = Duration::from_millis(500);

/// The first pause after a failed call, and the longest; each is jittered by a
/// half. What has changed must be known 4 s after the store's return, 2.1 s of
/// which are for registrations to return, and a call takes up to 1 s.
const RETRY_PAUSE_FIRST: Duration = Duration::from_millis(150);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// How often the first parsed fails before a peer is asked for everything, which
/// may be a megabyte. When a whole fleet starts, the store refuses what is above its
/// rate for a moment.
const START_FAILURES_BEFORE_PEERS: u32 = 4;

/// Follows the store for as long as the instance runs.
pub(crate) async fn follow<D: Dialect, S: FleetStore>(shared: Arc<Shared<D>>, store: S) {
    let mut follower = Follower {
        shared,
        store,
        relay: RelayClient::default(),
        index: None,
        last_index: None,
        peer_version: 0,
        newer_configuration: None,
        failures: 0,
        backoff: FollowerBackoff::default(),
    };
    follower.delay_first_start().await;
    loop {
        let started = Instant::now();
        let began_at = follower.shared.clock.now();
        let is_first = follower.index.is_none();
        match follower.step().await {
            Ok(()) => {
                follower.handle_success();
                follower.shared.stall.synced(began_at);
                // One that has begun asks at once that its record be kept.
                if follower.index.is_some() && !(is_first && follower.is_follower()) {
                    Timer::at(started + follower.period()).await;
                }
            }
            Err(error) => {
                follower.handle_failure(&error).await;
                follower.shared.stall.synced(began_at);
                Timer::after(follower.pause()).await;
            }
        }
    }
}

struct Follower<D, S> {
    shared: Arc<Shared<D>>,
    store: S,
    relay: RelayClient,
    /// Where to go on from; nothing where all has to be read.
    index: Option<StoreIndex>,
    /// Where it was last known; also while all has to be read.
    last_index: Option<StoreIndex>,
    /// The version that the peer had in force that result last.
    peer_version: u64,
    /// A configuration that a peer has told at the start, where the store has lost it.
    newer_configuration: Option<Record>,
    failures: u32,
    backoff: FollowerBackoff,
}

impl<D: Dialect, S: FleetStore> Follower<D, S> {
    async fn step(&mut self) -> Result<(), StoreError> {
        self.apply_offered_configuration();
        if self.index.is_some() && self.is_follower() {
            let watchers = self.watchers();
            match self.ask_watchers(&watchers).await {
                Ok(()) => {
                    self.backoff.watcher_answered();
                    self.set_followed(false);
                    return Ok(());
                }
                Err(RelayError::NotCurrent { .. }) => {
                    let now = self.shared.clock.now();
                    self.backoff.watchers_failed(now, fastrand::f64());
                }
                Err(_) => {}
            }
        }
        self.ask_store().await
    }

    /// Asks the store itself, where that is due.
    async fn ask_store(&mut self) -> Result<(), StoreError> {
        let now = self.shared.clock.now();
        let asks_others = self.index.is_some() && self.is_follower();
        if asks_others && !self.backoff.is_due(now) {
            return Err(StoreError::NotSent {
                step: "watch",
                peer: "store".to_owned(),
                cause: "it did not answer a moment ago".to_owned(),
            });
        }
        let read = match self.index {
            None => self.read_all().await,
            Some(index) => self.read_changes(index).await,
        };
        match &read {
            Ok(()) => {
                self.backoff.store_answered();
                self.set_followed(true);
            }
            Err(_) => self
                .backoff
                .store_failed(self.shared.clock.now(), fastrand::f64()),
        }
        read
    }

    async fn read_changes(&mut self, index: StoreIndex) -> Result<(), StoreError> {
        let wait = if self.failures > 0 {
            RECOVERY_WAIT
        } else {
            FOLLOW_WAIT
        };
        let purpose = if self.failures > 0 {
            CallPurpose::Recovery
        } else {
            CallPurpose::Following
        };
        self.shared.store_calls.count(purpose, 1);
        let shared = Arc::clone(&self.shared);
        let alarm = async { Err(shared.store_alarm.raised().await) };
        match or(self.wait_for_changes(index, wait), alarm).await? {
            Changes::Followed { records, index } => self.apply(&records, index),
            Changes::Compacted => {
                log_event!(EventCode::StoreForgot, index:% = index);
                self.index = None;
                self.shared.state.lock().store_answered();
            }
        }
        Ok(())
    }

    /// Waits for changes; where the store cuts the wait, asks again at once.
    ///
    /// A store that drops its history cuts all waits at the same moment. Were that told
    /// as its failure, a watcher's followers would all ask the store themselves.
    async fn wait_for_changes(&self, index: StoreIndex, wait: Duration) -> StoreResult<Changes> {
        let began_at = Instant::now();
        let waited = self.store.changes(index, wait).await;
        let is_closed_early = matches!(waited, Err(StoreError::Unknown { .. }));
        if !is_closed_early || began_at.elapsed() > wait + WAIT_END_MARGIN {
            return waited;
        }
        self.shared.store_calls.count(CallPurpose::Recovery, 1);
        self.store.changes(index, RECOVERY_WAIT).await
    }

    fn handle_success(&mut self) {
        if self.failures > 0 {
            log_event!(EventCode::StoreReachable, failures = self.failures);
        }
        self.failures = 0;
    }

    /// Notes a failed call and asks a peer instead.
    async fn handle_failure(&mut self, error: &StoreError) {
        if self.failures == 0 {
            log_event!(EventCode::StoreUnreachable, cause:% = error);
        }
        self.failures += 1;
        self.set_followed(false);
        if self.index.is_none() && self.failures < START_FAILURES_BEFORE_PEERS {
            return;
        }
        let peers = self.peers();
        if let Err(error) = self.ask_peers(&peers).await {
            log::debug!("no peer tells what the store says: {error}");
            self.shared.state.lock().store_failed();
        }
    }

    fn period(&self) -> Duration {
        if self.shared.state.lock().follows_for_others() {
            WATCHER_PERIOD
        } else {
            FOLLOW_PERIOD
        }
    }

    fn pause(&self) -> Duration {
        if self.index.is_some() && self.is_follower() {
            // Watchers notice the store's return; to ask them more often would take a
            // fifth of the smallest instances' processor.
            return FOLLOW_PERIOD.mul_f64(0.75 + 0.5 * fastrand::f64());
        }
        let doublings = self.failures.clamp(1, 6) - 1;
        let doubled = RETRY_PAUSE_FIRST * 2_u32.saturating_pow(doublings);
        doubled.min(RETRY_PAUSE_MAX).mul_f64(0.5 + fastrand::f64())
    }
}
