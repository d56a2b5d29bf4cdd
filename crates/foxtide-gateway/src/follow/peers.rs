//! Reads changes of the store from other instances.

use super::Follower;
use crate::dialect::Dialect;
use crate::relay::{
    ChangesQuery,
    RelayError, //
};
use crate::store::FleetStore;
use foxtide_core::registry::{
    Member,
    Members, //
};
use foxtide_events::{
    EventCode,
    log_event, //
};
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// How long a peer waits for a change; bounds how late a lost peer is noticed.
const RELAY_WAIT: Duration = Duration::from_millis(1_000);

/// How many watchers are asked before the store itself. One that lost power takes 1.6 s to be
/// noticed, and a change must be in force in 2.5 s.
const WATCHERS_ASKED_MAX: usize = 2;

/// How long a starting instance asks further peers before it calls the store again. A peer that
/// lost power takes 0.6 s, one that runs a round trip.
const ASK_PEERS_TIMEOUT: Duration = Duration::from_millis(800);

impl<D: Dialect, S: FleetStore> Follower<D, S> {
    /// Returns the addresses of the watchers without those that failed recently, nearest
    /// first.
    pub(super) fn watchers(&self) -> Vec<SocketAddr> {
        let place = &self.shared.options.place;
        let state = self.shared.state.lock();
        let mut watchers = state.members().watchers(&place.region);
        Members::sort_by_proximity(&mut watchers, &place.requester());
        let addresses = watchers.into_iter().map(|watcher| watcher.peer_address);
        addresses
            .filter(|&address| !self.relay.is_avoided(address))
            .collect()
    }

    /// Tells whether watchers follow the store for this instance.
    pub(super) fn is_follower(&self) -> bool {
        !self.shared.state.lock().should_keep_own_record()
    }

    /// Returns the record of this instance if a peer should register it.
    fn announcement(&self) -> Option<Member> {
        let has_failed = self.failures > 0;
        let needs_registrar = self.shared.state.lock().wants_registrar(has_failed);
        (needs_registrar && self.shared.is_ready()).then(|| self.shared.member())
    }

    /// Asks the nearest watcher that has not failed recently, and another one if it fails.
    pub(super) async fn ask_watchers(&mut self, watchers: &[SocketAddr]) -> Result<(), RelayError> {
        let query = ChangesQuery {
            after: self.index,
            wait: RELAY_WAIT,
            fetches_large: true,
            announcement: self.announcement(),
            ..ChangesQuery::default()
        };
        let mut asked = 0;
        loop {
            asked += 1;
            let error = match self.ask_peer(watchers, &query).await {
                Err(error) if !matches!(error, RelayError::TooLarge { .. }) => error,
                result => return result,
            };
            log_event!(EventCode::RelayLost, cause:% = error);
            if asked >= WATCHERS_ASKED_MAX.min(watchers.len()) {
                return Err(error);
            }
        }
    }

    /// Asks a peer for changes; asks all in turn if everything has to be read.
    ///
    /// Without a configuration, a second round accepts stale state, so that instances can
    /// start while the store is unavailable. Otherwise it could be older than the own state.
    pub(super) async fn ask_peers(&mut self, peers: &[SocketAddr]) -> Result<(), RelayError> {
        let query = ChangesQuery {
            after: self.index,
            announcement: self.announcement(),
            ..ChangesQuery::default()
        };
        if self.index.is_some() {
            return self.ask_peer(peers, &query).await;
        }
        let ends_at = Instant::now() + ASK_PEERS_TIMEOUT;
        let has_no_configuration = self.shared.state.lock().routes().is_none();
        let rounds: &[bool] = if has_no_configuration {
            &[false, true]
        } else {
            &[false]
        };
        let mut result = Err(RelayError::NoPeer);
        for &accepts_stale in rounds {
            for _ in peers {
                let query = ChangesQuery {
                    accepts_stale,
                    ..query.clone()
                };
                result = self.ask_peer(peers, &query).await;
                if result.is_ok() || Instant::now() > ends_at {
                    return result;
                }
            }
        }
        result
    }

    /// Returns the addresses of peers that may follow the store, nearest first; the seed
    /// peers if none is known.
    pub(super) fn peers(&self) -> Vec<SocketAddr> {
        let options = &self.shared.options;
        let place = &options.place;
        let state = self.shared.state.lock();
        let mut watchers = state.members().watchers_nearest_first(&place.region);
        Members::sort_by_proximity(&mut watchers, &place.requester());
        let mut peers: Vec<SocketAddr> = watchers
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

    pub(super) async fn ask_peer(
        &mut self,
        peers: &[SocketAddr],
        query: &ChangesQuery,
    ) -> Result<(), RelayError> {
        let query = &self.with_configuration(query.clone());
        let mut changes = self.relay.ask(peers, query).await?;
        self.merge_peer_quarantine(&changes);
        self.peer_version = changes.version;
        let newer_configuration = changes.configuration.take();
        if query.announcement.is_some() {
            let mut state = self.shared.state.lock();
            state.set_registrar_address(changes.peer);
        }
        metrics::counter!("foxtide_relay_reads_total").increment(1);
        if !changes.is_current {
            self.adopt_peer_state(changes);
        } else if changes.is_full {
            self.replace(changes.records, changes.index);
        } else {
            self.apply(&changes.records, changes.index);
        }
        if let Some(newer_configuration) = newer_configuration {
            self.apply_newer_configuration(newer_configuration);
        }
        Ok(())
    }

    /// Adds the version of the configuration in force, and the configuration itself if the
    /// peer that answered last has an older one and the store has lost it.
    fn with_configuration(&self, query: ChangesQuery) -> ChangesQuery {
        let state = self.shared.state.lock();
        let version = state.version();
        let is_behind = 0 < self.peer_version && self.peer_version < version;
        let unstored = state.unstored_configuration().filter(|_| is_behind);
        ChangesQuery {
            version,
            configuration: unstored.cloned(),
            ..query
        }
    }
}
