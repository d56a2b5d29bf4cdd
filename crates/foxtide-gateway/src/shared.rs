//! The state that all tasks of an instance share.

use crate::admission::Admission;
use crate::alarm::StoreAlarm;
use crate::directory::Guide;
use crate::hedging::Hedging;
use crate::journal::Journal;
use crate::lifecycle::Lifecycle;
use crate::link::Link;
use crate::memory::BodyMemory;
use crate::neighbours::Neighbours;
use crate::options::{
    Addresses,
    GatewayOptions, //
};
use crate::poison::Poison;
use crate::pool::Pool;
use crate::quotas::Quotas;
use crate::reach::Reach;
use crate::relay::Copies;
use crate::stall::StallDetector;
use crate::state::State;
use crate::store_calls::StoreCalls;
use crate::traffic::Traffic;
use event_listener::Event;
use foxtide_clock::SteadyClock;
use foxtide_core::records::Record;
use foxtide_core::registry::Member;
use foxtide_events::{
    EventCode,
    log_event, //
};
use parking_lot::Mutex;
use smol::Executor;
use std::sync::Arc;

/// The parts of a running instance.
#[derive(Debug)]
pub(crate) struct Shared<D> {
    pub(crate) dialect: D,
    pub(crate) options: Arc<GatewayOptions>,
    pub(crate) addresses: Addresses,
    pub(crate) clock: SteadyClock,
    pub(crate) state: Mutex<State>,
    pub(crate) pool: Pool,
    pub(crate) admission: Admission,
    pub(crate) guide: Guide,
    pub(crate) quotas: Quotas,
    pub(crate) poison: Poison,
    pub(crate) hedging: Hedging,
    pub(crate) stall: StallDetector,
    pub(crate) reach: Reach,
    pub(crate) neighbours: Neighbours,
    pub(crate) body_memory: BodyMemory,
    pub(crate) response_memory: BodyMemory,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) link: Link,
    pub(crate) journal: Journal,
    pub(crate) store_calls: StoreCalls,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) copies: Copies,
    pub(crate) store_alarm: StoreAlarm,
    /// A configuration from another instance that is newer than the one in force.
    pub(crate) offered_configuration: Mutex<Option<Record>>,
    /// Notified when the record log has changed or the store is no longer followed.
    pub(crate) log_changed: Event,
    pub(crate) executor: Arc<Executor<'static>>,
}

impl<D> Shared<D> {
    /// Returns the record of this instance, without a registrar.
    pub(crate) fn member(&self) -> Member {
        let place = &self.options.place;
        Member {
            instance: place.instance.clone(),
            caller_address: self.addresses.callers,
            peer_address: self.addresses.peers,
            datagram_address: self.addresses.datagrams,
            availability_zone: place.availability_zone.clone(),
            region: place.region.clone(),
            registrar: None,
            link_mbps: self.options.link_mbps,
            is_cut_off: self.reach.is_cut_off(),
        }
    }

    /// Records a heartbeat; interrupts waits for the store after a stall.
    pub(crate) fn heartbeat(&self) {
        if let Some(time) = self.stall.heartbeat(self.clock.now()) {
            log_event!(EventCode::StoodStill, time_ms = time.as_millis() as u64);
            self.store_alarm.raise();
        }
    }

    /// Waits after a stall until the state is in sync with the store.
    pub(crate) async fn wait_until_synced(&self) {
        self.heartbeat();
        if !self.stall.is_synced() {
            self.stall.wait().await;
        }
    }

    /// Tells whether the instance accepts requests: it has a configuration and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        !self.lifecycle.is_stopping() && self.state.lock().routes().is_some()
    }
}
