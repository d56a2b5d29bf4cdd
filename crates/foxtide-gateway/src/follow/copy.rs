//! Starts an instance from a copy of another one.

use super::Follower;
use crate::dialect::Dialect;
use crate::relay::{
    ChangesQuery,
    RelayError, //
};
use crate::store::FleetStore;
use crate::store_calls::CallPurpose;
use foxtide_core::ids::AvailabilityZoneId;
use foxtide_core::registry::{
    Member,
    Members,
    SourceListing,
    StartupStep, //
};
use foxtide_core::store::StoreError;
use smol::Timer;
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// How many sources are asked before they are listed again.
const SOURCES_ASKED_MAX: usize = 2;

/// How long a source that starts itself may wait until it has a copy.
const COPY_WAIT: Duration = Duration::from_millis(400);

/// The expected time to receive a copy.
const COPY_TIME: Duration = Duration::from_millis(300);

impl<D: Dialect, S: FleetStore> Follower<D, S> {
    /// Starts from the copy of a source; returns `false` if this instance is to read the store
    /// itself.
    ///
    /// # Errors
    ///
    /// Fails if the store does not list the sources.
    pub(super) async fn start_from_copy(&mut self) -> Result<bool, StoreError> {
        let own_zone = self.shared.options.place.availability_zone.clone();
        loop {
            let Some(near) = self.copy_from_sources(Some(&own_zone)).await? else {
                return Ok(true);
            };
            if self.startup.reads_at_once(near) {
                return Ok(false);
            }
            let Some(all) = self.copy_from_sources(None).await? else {
                return Ok(true);
            };
            let listing = SourceListing {
                is_busy: near.is_busy || all.is_busy,
                ..all
            };
            let now = self.shared.clock.now();
            match self.startup.next(listing, now, fastrand::f64()) {
                StartupStep::ReadStore => return Ok(false),
                StartupStep::Wait(pause) => {
                    self.expect_ready_after(pause + COPY_TIME);
                    Timer::after(pause).await;
                }
            }
        }
    }

    fn expect_ready_after(&self, time: Duration) {
        self.shared.state.lock().expect_ready_after(time);
    }

    /// Asks the sources of a zone, or of all zones, for a copy; returns the listing if none
    /// has one.
    async fn copy_from_sources(
        &mut self,
        zone: Option<&AvailabilityZoneId>,
    ) -> Result<Option<SourceListing>, StoreError> {
        let calls = &self.shared.store_calls;
        calls.count(CallPurpose::StartStale, 1);
        let began_at = Instant::now();
        let listed = self.store.sources(zone).await?;
        let latency = began_at.elapsed();
        let mut addresses = self.others_nearest_first(&listed);
        let is_own_listed = listed.len() > addresses.len();
        if zone.is_none() && addresses.is_empty() {
            addresses = self.peers();
        }
        let mut is_busy = false;
        for _ in 0..addresses.len().min(SOURCES_ASKED_MAX) {
            let query = ChangesQuery {
                // Instances that are to read the store must not wait for each other.
                waits_for_copy: !is_own_listed,
                wait: if is_own_listed {
                    Duration::ZERO
                } else {
                    COPY_WAIT
                },
                ..ChangesQuery::default()
            };
            let Err(error) = self.ask_peer(&addresses, &query).await else {
                return Ok(None);
            };
            is_busy |= matches!(error, RelayError::Busy { .. });
            log::debug!("no copy: {error}");
        }
        Ok(Some(SourceListing {
            count: listed.len(),
            is_own_listed,
            is_busy,
            latency,
        }))
    }

    /// Returns the addresses of the sources other than this instance, nearest first.
    fn others_nearest_first(&self, listed: &[Member]) -> Vec<SocketAddr> {
        let place = &self.shared.options.place;
        let is_other = |member: &&Member| member.instance != place.instance;
        let mut others: Vec<&Member> = listed.iter().filter(is_other).collect();
        Members::sort_by_proximity(&mut others, &place.requester());
        let addresses = others.into_iter().map(|member| member.peer_address);
        addresses.collect()
    }
}
