//! Keeps the state of the instance in sync with the store: configuration, upstreams and
//! instances.

mod apply;
mod copy;
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
use foxtide_core::registry::{
    FollowPace,
    FollowerBackoff,
    Startup,
    StartupOptions, //
};
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

/// The minimum time between two calls for changes; a busy store costs one call a period.
const FOLLOW_PERIOD: Duration = Duration::from_millis(800);

/// The same for a watcher, whose calls are most of those of an idle fleet. Against that of the
/// others it saves a quarter of these calls.
const WATCHER_PERIOD: Duration = Duration::from_millis(1_200);

/// How long the store waits for a change. A wait that begins during a compaction may miss
/// changes, so it ends within the time in which a change must be in force.
const FOLLOW_WAIT: Duration = Duration::from_millis(2_000);

/// How long the store waits for a change after a failed call: an early answer shows that
/// the store is available again.
const RECOVERY_WAIT: Duration = Duration::from_millis(20);

/// How late a wait may end and still count as closed by the store rather than timed out.
const WAIT_END_MARGIN: Duration = Duration::from_millis(500);

/// The first and the longest pause after a failed call; each is jittered by half. Changes must be
/// known 4 s after the store's return, of which registrations may take 2.1 s to come back and a
/// call up to 1 s.
const RETRY_PAUSE_FIRST: Duration = Duration::from_millis(150);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// How often the initial read fails before a peer is asked for a full copy: while a whole
/// fleet starts, the store briefly rejects calls above its rate limit.
const START_FAILURES_BEFORE_PEERS: u32 = 4;

/// Follows the store for as long as the instance runs.
pub(crate) async fn follow<D: Dialect, S: FleetStore>(shared: Arc<Shared<D>>, store: S) {
    let startup = Startup::new(
        shared.clock.now(),
        startup_options(&shared),
        fastrand::f64(),
    );
    let mut follower = Follower {
        shared,
        store,
        startup,
        relay: RelayClient::default(),
        index: None,
        last_index: None,
        peer_version: 0,
        newer_configuration: None,
        failures: 0,
        pace: FollowPace::default(),
        changes: 0,
        backoff: FollowerBackoff::default(),
    };
    loop {
        let started = Instant::now();
        let began_at = follower.shared.clock.now();
        let is_first = follower.index.is_none();
        match follower.step().await {
            Ok(()) => {
                follower.handle_success();
                follower.shared.stall.synced(began_at);
                // A follower asks a watcher to register it right after the initial read, and an
                // instance that started from a copy asks for the changes since.
                let is_complete = follower.shared.state.lock().is_store_followed();
                let goes_on = is_first && (!is_complete || follower.is_follower());
                if follower.index.is_some() && !goes_on {
                    Timer::after(follower.pace(started.elapsed())).await;
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

fn startup_options<D>(shared: &Shared<D>) -> StartupOptions {
    let own = shared.addresses.peers;
    let seeds = &shared.options.seed_peers;
    StartupOptions {
        link_mbps: shared.options.link_mbps,
        is_seed: seeds.contains(&own),
        is_alone: seeds.iter().all(|&seed| seed == own),
    }
}

struct Follower<D, S> {
    shared: Arc<Shared<D>>,
    store: S,
    /// Decides when this instance reads the store itself at its start.
    startup: Startup,
    relay: RelayClient,
    /// The index to continue from; `None` if everything has to be read.
    index: Option<StoreIndex>,
    /// The last known index, also while everything has to be read.
    last_index: Option<StoreIndex>,
    /// The configuration version of the peer that answered last.
    peer_version: u64,
    /// A configuration that a peer sent at startup and that the store has lost.
    newer_configuration: Option<Record>,
    failures: u32,
    pace: FollowPace,
    /// The number of changes in the store's answer, if it was asked in this step.
    changes: usize,
    backoff: FollowerBackoff,
}

impl<D: Dialect, S: FleetStore> Follower<D, S> {
    async fn step(&mut self) -> Result<(), StoreError> {
        self.changes = 0;
        self.apply_offered_configuration();
        if self.index.is_none() && !self.has_configuration() && self.start_from_copy().await? {
            self.set_followed(false);
            return Ok(());
        }
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

    /// Calls the store unless the backoff forbids it.
    async fn ask_store(&mut self) -> Result<(), StoreError> {
        let now = self.shared.clock.now();
        let asks_others = self.index.is_some() && self.is_follower();
        if asks_others && !self.backoff.is_due(now) {
            return Err(StoreError::NotSent {
                step: "watch",
                peer: "store".to_owned(),
                cause: "waiting after a failed call".to_owned(),
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
            Changes::Followed { records, index } => {
                self.changes = records.len();
                self.apply(&records, index);
            }
            Changes::Compacted => {
                log_event!(EventCode::StoreForgot, index:% = index);
                self.index = None;
                self.shared.state.lock().store_answered();
            }
        }
        Ok(())
    }

    /// Waits for changes; retries at once if the store closes the wait.
    ///
    /// A store closes all waits when it compacts its history. If a watcher reported that as a
    /// failure, all its followers would call the store themselves.
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

    fn has_configuration(&self) -> bool {
        self.shared.state.lock().routes().is_some()
    }

    fn handle_success(&mut self) {
        if self.failures > 0 {
            log_event!(EventCode::StoreReachable, failures = self.failures);
        }
        self.failures = 0;
    }

    /// Records a failed call and asks a peer instead.
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
            log::debug!("no peer returned the changes of the store: {error}");
            self.shared.state.lock().store_failed();
        }
    }

    /// Returns the pause after a successful step.
    fn pace(&mut self, elapsed: Duration) -> Duration {
        let is_watcher = self.shared.state.lock().follows_for_others();
        let period = if is_watcher {
            WATCHER_PERIOD
        } else {
            FOLLOW_PERIOD
        };
        self.pace.pause(self.changes, elapsed, period)
    }

    fn pause(&self) -> Duration {
        if self.index.is_some() && self.is_follower() {
            // Watchers detect that the store is back; polling them faster is costly for
            // small instances.
            return FOLLOW_PERIOD.mul_f64(0.75 + 0.5 * fastrand::f64());
        }
        let doublings = self.failures.clamp(1, 6) - 1;
        let doubled = RETRY_PAUSE_FIRST * 2_u32.saturating_pow(doublings);
        doubled.min(RETRY_PAUSE_MAX).mul_f64(0.5 + fastrand::f64())
    }
}
