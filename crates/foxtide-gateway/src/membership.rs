//! Maintains the record of the instance in the store while it accepts requests.
//!
//! If watchers follow the store for the other instances, they also write the records of
//! these, as their registrars. Any other instance writes its own record under a lease.

use crate::dialect::Dialect;
use crate::relay::{
    ChangesQuery,
    RelayClient,
    RelayError, //
};
use crate::shared::Shared;
use crate::store::{
    FleetStore,
    LeaseId,
    WRITTEN_KEYS_MAX, //
};
use crate::store_calls::CallPurpose;
use foxtide_core::registry::RecordChanges;
use foxtide_core::store::StoreError;
use foxtide_core::time::MonotonicTime;
use foxtide_events::{
    EventCode,
    log_event, //
};
use futures_lite::future::or;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// The time to live of the lease, which bounds how long callers are directed to a dead instance.
/// Long enough for its neighbours to find another registrar. They notice its death after 2.6 s.
const LEASE_TTL: Duration = Duration::from_millis(3_000);

/// How often the lease is renewed; three renewals may be lost. A watcher also learns from
/// a renewal whether the store is reachable.
const RENEW_PERIOD: Duration = Duration::from_millis(700);

const CHECK_PERIOD: Duration = Duration::from_millis(150);

/// The minimum time between two writes of records; batches changes while a fleet starts. Callers
/// are directed to a new instance that much later.
const WRITE_PERIOD: Duration = Duration::from_millis(500);

/// The most records of neighbours in one write, beside the two keys of the own record.
const NEIGHBOURS_WRITTEN_MAX: usize = WRITTEN_KEYS_MAX - 2;

/// How long a written record may be missing from the followed changes before it is written again.
/// Changes come within two periods of following.
const CONFIRMATION_TIME: Duration = Duration::from_millis(2_000);

/// How long an instance goes without a registrar before it writes its own record.
const UNREGISTERED_MAX: Duration = Duration::from_millis(3_000);

/// The first and the longest pause after a failed call; rejected calls are priced too.
const RETRY_PAUSE_FIRST: Duration = Duration::from_millis(700);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(3_000);

/// How long the removal of the own record may take during a stop.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the lease of neighbours' records is renewed during a stop; each finds another
/// registrar within a second.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Maintains the record of the instance until it is stopped, then removes it.
pub(crate) async fn maintain_membership<D: Dialect, S: FleetStore>(
    shared: Arc<Shared<D>>,
    store: S,
) {
    let now = shared.clock.now();
    let mut membership = Membership {
        shared: Arc::clone(&shared),
        store,
        lease: None,
        open: CallSchedule::new(now),
        write: CallSchedule::new(now),
        unregistered_since: None,
    };
    let stopping = shared.lifecycle.stopping();
    or(membership.run(), stopping).await;
    membership.withdraw().await;
}

/// When the next call is due, with exponential backoff after failures.
#[derive(Clone, Copy, Debug)]
struct CallSchedule {
    due_at: MonotonicTime,
    /// Consecutive failures.
    failures: u32,
}

impl CallSchedule {
    fn new(due_at: MonotonicTime) -> Self {
        Self {
            due_at,
            failures: 0,
        }
    }

    fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.due_at
    }

    /// Records how a call ended.
    fn record_result(&mut self, is_answered: bool, now: MonotonicTime) {
        let pause = if is_answered {
            self.failures = 0;
            WRITE_PERIOD
        } else {
            let doublings = self.failures.min(6);
            self.failures += 1;
            let pause = RETRY_PAUSE_FIRST * 2_u32.pow(doublings);
            pause.min(RETRY_PAUSE_MAX).mul_f64(0.5 + fastrand::f64())
        };
        self.due_at = now + pause;
    }
}

/// A lease that this instance has opened.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    renew_at: MonotonicTime,
    /// When the own record was written under the lease.
    announced_at: Option<MonotonicTime>,
    /// Whether it lists this instance as a source of copies.
    is_source: bool,
    /// Whether the written record says that this instance reaches no upstream.
    is_cut_off: bool,
    /// The restorations of the store when the lease was opened; after another one the lease
    /// may be missing or its id reused.
    restorations: u64,
}

struct Membership<D, S> {
    shared: Arc<Shared<D>>,
    store: S,
    lease: Option<Lease>,
    open: CallSchedule,
    write: CallSchedule,
    /// Since when the own record has no registrar.
    unregistered_since: Option<MonotonicTime>,
}

impl<D: Dialect, S: FleetStore> Membership<D, S> {
    async fn run(&mut self) {
        loop {
            if let Err(error) = self.step().await {
                self.shared.store_alarm.raise();
                log_event!(EventCode::LeaseCallFailed, cause:% = error);
            }
            Timer::after(CHECK_PERIOD).await;
        }
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        let writes_own = self.shared.is_ready() && self.should_write_own_record();
        if writes_own && self.lease.is_none() {
            self.open_lease().await?;
        }
        self.renew().await?;
        if !writes_own {
            self.drop_unused_lease();
        }
        self.write_records(writes_own).await
    }

    /// Tells whether this instance writes its own record: no watcher is responsible for it,
    /// or none has written it for a while.
    fn should_write_own_record(&mut self) -> bool {
        let state = self.shared.state.lock();
        let should_keep = state.should_keep_own_record();
        let has_registrar = state
            .own_record()
            .is_some_and(|own| own.registrar.is_some());
        drop(state);
        if should_keep || has_registrar {
            self.unregistered_since = None;
            return should_keep;
        }
        let now = self.shared.clock.now();
        let since = *self.unregistered_since.get_or_insert(now);
        self.lease.is_some() || now - since > UNREGISTERED_MAX
    }

    async fn open_lease(&mut self) -> Result<(), StoreError> {
        if !self.open.is_due(self.shared.clock.now()) {
            return Ok(());
        }
        self.shared.store_calls.count(CallPurpose::Record, 1);
        let opened = self.store.open_lease(LEASE_TTL).await;
        self.open
            .record_result(opened.is_ok(), self.shared.clock.now());
        let id = opened?;
        let restorations = self.shared.state.lock().restorations();
        self.lease = Some(Lease {
            id,
            renew_at: self.shared.clock.now() + renew_pause(),
            announced_at: None,
            is_source: false,
            is_cut_off: false,
            restorations,
        });
        Ok(())
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let restorations = self.shared.state.lock().restorations();
        let Some(lease) = &mut self.lease else {
            return Ok(());
        };
        if lease.restorations != restorations {
            let id = lease.id;
            self.handle_lease_loss(id);
            return Ok(());
        }
        if self.shared.clock.now() < lease.renew_at {
            return Ok(());
        }
        lease.renew_at = self.shared.clock.now() + renew_pause();
        let id = lease.id;
        self.shared.store_calls.count(CallPurpose::Renewal, 1);
        if !self.store.renew(id).await? {
            self.handle_lease_loss(id);
        }
        Ok(())
    }

    fn handle_lease_loss(&mut self, lease: LeaseId) {
        log_event!(EventCode::LeaseLost, lease:% = lease);
        self.lease = None;
        self.shared.state.lock().registrar_mut().handle_lease_loss();
    }

    /// Lets a lease without records lapse; ending it would cost a call.
    fn drop_unused_lease(&mut self) {
        if self.shared.state.lock().registrar_mut().is_empty() {
            self.lease = None;
        }
    }

    /// Writes changed records of neighbours and, if `writes_own`, the own record.
    async fn write_records(&mut self, writes_own: bool) -> Result<(), StoreError> {
        let now = self.shared.clock.now();
        let (mut changes, is_source) = {
            let mut state = self.shared.state.lock();
            let is_source = state.should_keep_own_record();
            let registrar = state.registrar_mut();
            (
                registrar.pending_changes(NEIGHBOURS_WRITTEN_MAX, now),
                is_source,
            )
        };
        let Some(lease) = self.lease else {
            return Ok(());
        };
        let announces = writes_own && self.is_own_record_due(&lease, is_source);
        let own = self.shared.member();
        let is_cut_off = own.is_cut_off;
        if announces {
            changes.source = is_source.then(|| own.clone());
            changes.written.push(own);
        }
        if changes.is_empty() || !self.write.is_due(now) {
            return Ok(());
        }
        self.shared.store_calls.count(CallPurpose::Record, 1);
        let written = self.store.write_records(&changes, lease.id).await;
        self.write
            .record_result(written.is_ok(), self.shared.clock.now());
        if !written? {
            self.handle_lease_loss(lease.id);
            return Ok(());
        }
        self.shared.state.lock().registrar_mut().confirm(&changes);
        if announces {
            log_event!(EventCode::LeaseTaken, lease:% = lease.id);
            let announced_at = Some(self.shared.clock.now());
            self.lease = Some(Lease {
                announced_at,
                is_source,
                is_cut_off,
                ..lease
            });
        }
        Ok(())
    }

    /// Tells whether the own record has not been written, the store holds another one, or this
    /// instance has become a source, was cut off from the upstreams or reaches them again.
    fn is_own_record_due(&self, lease: &Lease, is_source: bool) -> bool {
        let Some(announced_at) = lease.announced_at else {
            return true;
        };
        if (is_source && !lease.is_source) || lease.is_cut_off != self.shared.reach.is_cut_off() {
            return true;
        }
        let state = self.shared.state.lock();
        self.shared.clock.now() - announced_at > CONFIRMATION_TIME
            && state.own_record().is_none_or(|own| own.registrar.is_some())
    }

    async fn withdraw(&mut self) {
        let timeout = async {
            Timer::after(LEAVE_TIMEOUT).await;
            log_event!(
                EventCode::LeaseCallFailed,
                cause = "timeout while removing the record; it lapses"
            );
        };
        let lease = self.lease.take();
        or(self.leave(lease), timeout).await;
        if let Some(lease) = lease {
            let timeout = async {
                Timer::after(HAND_OVER_TIMEOUT).await;
            };
            or(self.hand_over(lease), timeout).await;
        }
    }

    /// Removes the own record, also via the registrar, which may have taken it over.
    async fn leave(&self, lease: Option<Lease>) {
        self.notify_registrar().await;
        let Some(lease) = lease else {
            return;
        };
        let has_other_records = !self.shared.state.lock().registrar_mut().is_empty();
        self.shared.store_calls.count(CallPurpose::Record, 1);
        let left = if has_other_records {
            let own = RecordChanges {
                removed: vec![self.shared.options.place.instance.clone()],
                ..RecordChanges::default()
            };
            self.store.write_records(&own, lease.id).await.map(drop)
        } else {
            self.store.end_lease(lease.id).await
        };
        match left {
            Ok(()) => log_event!(EventCode::LeaseEnded, lease:% = lease.id),
            Err(error) => log_event!(EventCode::LeaseCallFailed, cause:% = error),
        }
    }

    /// Asks the registrar to remove the own record.
    async fn notify_registrar(&self) {
        let (registrar, after) = {
            let state = self.shared.state.lock();
            (state.registrar_address(), state.log().index())
        };
        let Some(registrar) = registrar else {
            return;
        };
        let query = ChangesQuery {
            after: Some(after),
            fetches_large: true,
            announcement: Some(self.shared.member()),
            is_leaving: true,
            ..ChangesQuery::default()
        };
        let answer = RelayClient::default().ask(&[registrar], &query).await;
        match answer {
            Ok(_) | Err(RelayError::TooLarge { .. }) => {
                log_event!(
                    EventCode::RecordWithdrawn,
                    registrar:% = registrar
                );
            }
            Err(error) => log_event!(EventCode::LeaseCallFailed, cause:% = error),
        }
    }

    /// Renews the lease until the neighbours with records under it have found another
    /// registrar.
    async fn hand_over(&mut self, lease: Lease) {
        self.lease = Some(lease);
        while self.lease.is_some() && !self.shared.state.lock().registrar_mut().is_empty() {
            if let Err(error) = self.renew().await {
                log_event!(EventCode::LeaseCallFailed, cause:% = error);
            }
            Timer::after(CHECK_PERIOD).await;
        }
    }
}

/// Returns the jittered time to the next renewal.
fn renew_pause() -> Duration {
    RENEW_PERIOD.mul_f64(0.9 + 0.2 * fastrand::f64())
}
