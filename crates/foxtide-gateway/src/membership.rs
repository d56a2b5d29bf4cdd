//! Announces the instance in the store for as long as it takes requests.

use crate::dialect::Dialect;
use crate::ledger::CallPurpose;
use crate::shared::Shared;
use crate::store::{
    FleetStore,
    LeaseId, //
};
use foxtide_core::registry::Member;
use foxtide_core::store::StoreError;
use foxtide_events::{
    EventCode,
    log_event, //
};
use futures_lite::future::or;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// How long the lease lives without a renewal: callers are directed to an
/// instance that lost power for no longer. With 3.5 s in its place a day on
/// which half of the fleet loses power twice was worth 0.613, not 0.619.
const LEASE_TTL: Duration = Duration::from_millis(2_200);

/// How often the lease is renewed: two renewals may be lost. A renewal also
/// tells whether the store can be reached.
const RENEW_PERIOD: Duration = Duration::from_millis(700);

/// How often one that follows the store for others renews it: they learn of its
/// being cut off with the first renewal that fails.
const WATCHER_RENEW_PERIOD: Duration = Duration::from_millis(500);

/// How often it is looked whether the instance is ready to be announced.
const READY_PERIOD: Duration = Duration::from_millis(50);

/// How long the end of the lease may take at a stop.
const LEAVE_TIME: Duration = Duration::from_millis(800);

/// Announces the instance until it is stopped, then withdraws it.
pub(crate) async fn keep_membership<D: Dialect, S: FleetStore>(shared: Arc<Shared<D>>, store: S) {
    let mut membership = Membership {
        shared: Arc::clone(&shared),
        store,
        lease: None,
    };
    let stopping = shared.lifecycle.stopping();
    or(membership.keep(), stopping).await;
    membership.withdraw().await;
}

struct Membership<D, S> {
    shared: Arc<Shared<D>>,
    store: S,
    lease: Option<LeaseId>,
}

impl<D: Dialect, S: FleetStore> Membership<D, S> {
    async fn keep(&mut self) {
        while !self.shared.is_ready() {
            Timer::after(READY_PERIOD).await;
        }
        loop {
            if let Err(error) = self.step().await {
                self.shared.store_alarm.raise();
                log_event!(EventCode::LeaseCallFailed, cause:% = error);
            }
            Timer::after(self.renew_period().mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        }
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        if let Some(lease) = self.lease {
            self.shared.ledger.count(CallPurpose::Renewal, 1);
            if self.store.renew(lease).await? {
                return Ok(());
            }
            log_event!(EventCode::LeaseLost, lease:% = lease);
            self.lease = None;
        }
        // The lease, and the record under it.
        self.shared.ledger.count(CallPurpose::Record, 2);
        let lease = self.store.open_lease(LEASE_TTL).await?;
        if self.store.announce(&self.member(), lease).await? {
            log_event!(EventCode::LeaseTaken, lease:% = lease);
            self.lease = Some(lease);
        }
        Ok(())
    }

    fn renew_period(&self) -> Duration {
        let place = &self.shared.options.place;
        let state = self.shared.state.lock();
        let watchers = state.members().watchers(&place.region);
        let is_watcher = watchers
            .iter()
            .any(|watcher| watcher.instance == place.instance);
        if is_watcher {
            WATCHER_RENEW_PERIOD
        } else {
            RENEW_PERIOD
        }
    }

    fn member(&self) -> Member {
        let place = &self.shared.options.place;
        Member {
            instance: place.instance.clone(),
            caller_address: self.shared.addresses.callers,
            peer_address: self.shared.addresses.peers,
            datagram_address: self.shared.addresses.datagrams,
            availability_zone: place.availability_zone.clone(),
            region: place.region.clone(),
        }
    }

    async fn withdraw(&mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        self.shared.ledger.count(CallPurpose::Record, 1);
        let ended = async { Some(self.store.end_lease(lease).await) };
        let late = async {
            Timer::after(LEAVE_TIME).await;
            None
        };
        match or(ended, late).await {
            Some(Ok(())) => log_event!(EventCode::LeaseEnded, lease:% = lease),
            Some(Err(error)) => log_event!(EventCode::LeaseCallFailed, cause:% = error),
            None => log_event!(
                EventCode::LeaseCallFailed,
                cause = "no answer in time, the lease lapses"
            ),
        }
    }
}
