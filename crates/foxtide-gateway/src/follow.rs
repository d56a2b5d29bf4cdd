//! Follows the store: configuration, upstreams and instances.

use crate::dialect::Dialect;
use crate::relay::{
    Question,
    RelayClient,
    RelayError,
    Relayed, //
};
use crate::shared::Shared;
use crate::store::{
    Changes,
    Fact,
    FleetStore, //
};
use foxtide_core::records::Record;
use foxtide_core::registry::{
    Member,
    Members,
    StoreAsking, //
};
use foxtide_core::store::{
    StoreError,
    StoreIndex, //
};
use foxtide_events::{
    EventCode,
    log_event, //
};
use futures_lite::future::or;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// The least time between two calls that follow changes: what happens between
/// them comes with the next one, so that a busy store costs one call a period.
const FOLLOW_PERIOD: Duration = Duration::from_millis(800);

/// How long the store waits for a change. A wait that begins while the store
/// forgets its history may hear nothing of what was forgotten; it has to end
/// within the time in which a change must be in force.
const FOLLOW_WAIT: Duration = Duration::from_millis(2_000);

/// How long it waits for a change while its last call failed: its answer tells
/// that it is back.
const PROBE_WAIT: Duration = Duration::from_millis(20);

/// How long a peer waits for a change. One that is cut off is noticed soon
/// after this.
const RELAY_WAIT: Duration = Duration::from_millis(1_000);

/// How many watchers are asked before the store itself. One that lost power takes
/// 1.6 s to be noticed, and a change must be in force in 2.5 s.
const WATCHERS_ASKED_MAX: usize = 2;

/// How long the store is asked itself after watchers have failed: their successors
/// are known by then.
const DIRECT_TIME: Duration = Duration::from_secs(5);

/// The first pause after a failed call, and the longest; each is jittered by a
/// half. What has changed must be known 4 s after the store's return, 2.1 s of
/// which are for registrations to return, and a call takes up to 1 s.
const RETRY_PAUSE_FIRST: Duration = Duration::from_millis(150);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// How often the first reading fails before a peer is asked for everything, which
/// may be a megabyte. When a whole fleet starts, the store refuses what is above its
/// rate for a moment.
const START_FAILURES: u32 = 4;

/// How long a starting instance goes on from peer to peer before it asks the store
/// again. A peer that lost power takes 0.6 s, one that runs a round trip.
const ASK_AROUND_TIME: Duration = Duration::from_millis(800);

/// Follows the store for as long as the instance runs.
pub(crate) async fn follow<D: Dialect, S: FleetStore>(shared: Arc<Shared<D>>, store: S) {
    let mut follower = Follower {
        shared,
        store,
        relay: RelayClient::default(),
        index: None,
        failures: 0,
        direct_until: None,
        asking: StoreAsking::default(),
    };
    loop {
        let started = Instant::now();
        match follower.step().await {
            Ok(()) => {
                follower.answered();
                if follower.index.is_some() {
                    Timer::at(started + FOLLOW_PERIOD).await;
                }
            }
            Err(error) => {
                follower.failed(&error).await;
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
    failures: u32,
    /// Until when the store is asked itself, after a peer has failed.
    direct_until: Option<Instant>,
    asking: StoreAsking,
}

impl<D: Dialect, S: FleetStore> Follower<D, S> {
    async fn step(&mut self) -> Result<(), StoreError> {
        let watchers = self.watchers();
        if self.index.is_some() && !watchers.is_empty() {
            match self.ask_watchers(&watchers).await {
                Ok(()) => {
                    self.set_followed(false);
                    return Ok(());
                }
                Err(RelayError::Large { .. }) => {}
                Err(_) => self.direct_until = Some(Instant::now() + DIRECT_TIME),
            }
        }
        self.ask_store().await
    }

    /// Asks the watcher that answered last, and another one where it fails.
    async fn ask_watchers(&mut self, watchers: &[SocketAddr]) -> Result<(), RelayError> {
        let question = Question {
            after: self.index,
            wait: RELAY_WAIT,
            reads_large: true,
            takes_old: false,
        };
        let mut asked = 0;
        loop {
            asked += 1;
            let error = match self.ask_peer(watchers, question).await {
                Err(error) if !matches!(error, RelayError::Large { .. }) => error,
                answered => return answered,
            };
            log_event!(EventCode::RelayLost, cause:% = error);
            if asked >= WATCHERS_ASKED_MAX.min(watchers.len()) {
                return Err(error);
            }
        }
    }

    /// Asks the store itself, where that is due.
    async fn ask_store(&mut self) -> Result<(), StoreError> {
        let now = self.shared.clock.now();
        let asks_others = self.index.is_some() && self.is_follower();
        if asks_others && !self.asking.is_due(now) {
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
                self.asking.answered();
                self.set_followed(true);
            }
            Err(_) => self.asking.failed(self.shared.clock.now(), fastrand::f64()),
        }
        read
    }

    /// Tells whether others follow the store for this instance.
    fn is_follower(&self) -> bool {
        let place = &self.shared.options.place;
        let state = self.shared.state.lock();
        let watchers = state.members().watchers(&place.region);
        let is_own = |watcher: &&Member| watcher.instance == place.instance;
        !watchers.is_empty() && !watchers.iter().any(is_own)
    }

    /// Returns the peers to be asked in place of the store; none where this
    /// instance is to ask the store itself.
    fn watchers(&mut self) -> Vec<SocketAddr> {
        if self
            .direct_until
            .is_some_and(|until| Instant::now() < until)
            || self.failures > 0
        {
            return Vec::new();
        }
        self.direct_until = None;
        if !self.is_follower() {
            return Vec::new();
        }
        let place = &self.shared.options.place;
        let state = self.shared.state.lock();
        let mut watchers = state.members().watchers(&place.region);
        Members::sort_for_asker(&mut watchers, &place.asker());
        let addresses = watchers.into_iter().map(|watcher| watcher.peer_address);
        addresses.collect()
    }

    fn set_followed(&self, is_followed: bool) {
        self.shared.state.lock().set_store_followed(is_followed);
        self.shared.log_changed.notify(usize::MAX);
    }

    async fn read_all(&mut self) -> Result<(), StoreError> {
        let snapshot = self.store.read_all().await?;
        self.replace(snapshot.records, snapshot.index);
        Ok(())
    }

    async fn read_changes(&mut self, index: StoreIndex) -> Result<(), StoreError> {
        let wait = if self.failures > 0 {
            PROBE_WAIT
        } else {
            FOLLOW_WAIT
        };
        let shared = Arc::clone(&self.shared);
        let alarm = async { Err(shared.store_alarm.raised().await) };
        match or(self.store.changes(index, wait), alarm).await? {
            Changes::Followed { records, index } => self.apply(&records, index),
            Changes::Forgotten => {
                log_event!(EventCode::StoreForgot, index:% = index);
                self.index = None;
                self.shared.state.lock().store_answered();
            }
        }
        Ok(())
    }

    /// Takes in all that the store holds.
    fn replace(&mut self, records: Vec<Record>, index: StoreIndex) {
        log_event!(EventCode::StoreRead, index:% = index, records = records.len());
        let facts = self.facts(&records);
        let mut state = self.shared.state.lock();
        state.store_answered();
        state.log_mut().replace(&records, index);
        state.replace(facts);
        self.index = Some(index);
    }

    /// Starts from what a peer last knew of a store that is away: it serves callers
    /// as the peer does, and follows the store from there once it is back.
    fn adopt(&mut self, relayed: Relayed) {
        log_event!(EventCode::StoreAdopted, index:% = relayed.index, records = relayed.records.len());
        let facts = self.facts(&relayed.records);
        let mut state = self.shared.state.lock();
        state.log_mut().replace(&relayed.records, relayed.index);
        state.replace(facts);
        state.store_failed();
        self.index = Some(relayed.index);
        drop(state);
        self.shared.log_changed.notify(usize::MAX);
    }

    /// Takes in what has changed.
    fn apply(&mut self, records: &[Record], index: StoreIndex) {
        let facts = self.facts(records);
        let mut state = self.shared.state.lock();
        state.store_answered();
        state.log_mut().append(records, index);
        state.apply(facts);
        self.index = Some(index);
    }

    fn facts(&self, records: &[Record]) -> Vec<Fact> {
        records
            .iter()
            .filter_map(|record| self.store.fact(record))
            .collect()
    }

    fn answered(&mut self) {
        if self.failures > 0 {
            log_event!(EventCode::StoreReachable, failures = self.failures);
        }
        self.failures = 0;
    }

    /// Notes a failed call and asks a peer instead.
    async fn failed(&mut self, error: &StoreError) {
        if self.failures == 0 {
            log_event!(EventCode::StoreUnreachable, cause:% = error);
        }
        self.failures += 1;
        self.set_followed(false);
        if self.index.is_none() && self.failures < START_FAILURES {
            return;
        }
        let peers = self.peers();
        if let Err(error) = self.ask_around(&peers).await {
            log::debug!("no peer tells what the store says: {error}");
            self.shared.state.lock().store_failed();
        }
    }

    /// Asks a peer what the store says. While nothing is known, each is asked in
    /// turn, and then each for what it last knew: instances are replaced also while
    /// the store is away.
    async fn ask_around(&mut self, peers: &[SocketAddr]) -> Result<(), RelayError> {
        let question = Question {
            after: self.index,
            wait: Duration::ZERO,
            reads_large: false,
            takes_old: false,
        };
        if self.index.is_some() {
            return self.ask_peer(peers, question).await;
        }
        let ends_at = Instant::now() + ASK_AROUND_TIME;
        let mut answered = Err(RelayError::NoPeer);
        for takes_old in [false, true] {
            for _ in peers {
                let question = Question {
                    takes_old,
                    ..question
                };
                answered = self.ask_peer(peers, question).await;
                if answered.is_ok() || Instant::now() > ends_at {
                    return answered;
                }
            }
        }
        answered
    }

    async fn ask_peer(
        &mut self,
        peers: &[SocketAddr],
        question: Question,
    ) -> Result<(), RelayError> {
        let relayed = self.relay.ask(peers, question).await?;
        metrics::counter!("foxtide_relay_reads_total").increment(1);
        if !relayed.is_current {
            self.adopt(relayed);
        } else if relayed.is_everything {
            self.replace(relayed.records, relayed.index);
        } else {
            self.apply(&relayed.records, relayed.index);
        }
        Ok(())
    }

    /// Returns the addresses of other instances that may know what the store
    /// says, those of the region first.
    fn peers(&self) -> Vec<SocketAddr> {
        let options = &self.shared.options;
        let place = &options.place;
        let state = self.shared.state.lock();
        let mut informed = state.members().informed(&place.region);
        Members::sort_for_asker(&mut informed, &place.asker());
        let mut peers: Vec<SocketAddr> = informed
            .into_iter()
            .filter(|member| member.instance != place.instance)
            .map(|member| member.peer_address)
            .collect();
        if peers.is_empty() {
            let own = self.shared.addresses.peers;
            peers.extend(options.seed_peers.iter().filter(|&&seed| seed != own));
        }
        peers
    }

    fn pause(&self) -> Duration {
        let doublings = self.failures.clamp(1, 6) - 1;
        let doubled = RETRY_PAUSE_FIRST * 2_u32.saturating_pow(doublings);
        doubled.min(RETRY_PAUSE_MAX).mul_f64(0.5 + fastrand::f64())
    }
}
