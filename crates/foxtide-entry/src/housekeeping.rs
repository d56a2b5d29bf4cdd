//! Periodic background work: ticks, load polls, expiry of keys and idle
//! connections.

use crate::clock::Clock;
use crate::dependencies::Dependencies;
use crate::options::EntryOptions;
use crate::proxy::KeyTable;
use crate::serve::ListenerState;
use crate::traffic::{
    Poller,
    UpstreamChange, //
};
use crate::upstream::Pools;
use foxtide_core::choice::UpstreamStatus;
use foxtide_core::events::{
    EventCode,
    EventFields, //
};
use metrics::gauge;
use smol::{
    Executor,
    Timer, //
};
use std::sync::Arc;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(100);

const TICKS_PER_PRUNE: u32 = 10;

const CONNECTIONS: &str = "foxtide_connections";
const REQUESTS: &str = "foxtide_requests_under_way";
const KEYS: &str = "foxtide_idempotency_keys";
const STORED_ANSWERS_BYTES: &str = "foxtide_idempotency_answers_bytes";

/// State used by the background work.
#[derive(Debug)]
pub(crate) struct Housekeeping<P> {
    deps: Arc<P>,
    pools: Arc<Pools>,
    poller: Arc<Poller<P>>,
    keys: KeyTable,
    callers: Arc<ListenerState>,
}

impl<P: Dependencies> Housekeeping<P> {
    pub(crate) fn new(
        deps: Arc<P>,
        options: Arc<EntryOptions>,
        pools: Arc<Pools>,
        keys: KeyTable,
        callers: Arc<ListenerState>,
    ) -> Self {
        let poller = Poller {
            deps: Arc::clone(&deps),
            pools: Arc::clone(&pools),
            options,
        };
        Self {
            deps,
            pools,
            poller: Arc::new(poller),
            keys,
            callers,
        }
    }

    fn tick(&self, executor: &Executor<'static>) {
        let (now, wall) = (self.deps.clock().now(), self.deps.clock().wall());
        let traffic = self.deps.traffic();
        traffic.tick(now, wall);
        traffic.publish_views(self.deps.explainer(), now, wall);
        for change in traffic.status_changes(now) {
            self.record(change);
        }
        self.poller.start_due(executor);
    }

    fn prune(&self) {
        let traffic = self.deps.traffic();
        self.pools.prune(self.deps.clock().now());
        self.pools.retain(&traffic.addresses());
        self.expire_keys();
        gauge!(CONNECTIONS).set(self.callers.connections() as f64);
        gauge!(REQUESTS).set(self.callers.requests() as f64);
    }

    fn expire_keys(&self) {
        let wall = self.deps.clock().wall();
        let usage = {
            let mut keys = self.keys.lock();
            keys.tick(wall);
            keys.usage()
        };
        gauge!(KEYS, "state" => "running").set(usage.running as f64);
        gauge!(KEYS, "state" => "ended").set(usage.ended as f64);
        gauge!(STORED_ANSWERS_BYTES).set(usage.answers_size.get() as f64);
    }

    fn record(&self, change: UpstreamChange) {
        let Some(code) = event_code(change.change.from, change.change.to) else {
            return;
        };
        let fields = EventFields {
            organisation: Some(change.organisation),
            service: Some(change.service),
            region: Some(change.region),
            upstream: Some(change.change.upstream),
            detail: format!("from={} to={}", change.change.from, change.change.to),
            ..EventFields::default()
        };
        self.deps.recorder().record(code, fields);
    }
}

/// Runs the background work until the future is dropped.
pub(crate) async fn run_housekeeping<P: Dependencies>(
    housekeeping: Housekeeping<P>,
    executor: Arc<Executor<'static>>,
) {
    let mut ticks: u32 = 0;
    loop {
        housekeeping.tick(&executor);
        if ticks.is_multiple_of(TICKS_PER_PRUNE) {
            housekeeping.prune();
        }
        ticks = ticks.wrapping_add(1);
        Timer::after(TICK_INTERVAL).await;
    }
}

fn event_code(from: UpstreamStatus, to: UpstreamStatus) -> Option<EventCode> {
    match (from, to) {
        (_, UpstreamStatus::Leaving) => Some(EventCode::UpstreamDraining),
        (_, UpstreamStatus::Dead) => Some(EventCode::UpstreamUnreachable),
        (_, UpstreamStatus::Ejected) => Some(EventCode::UpstreamEjected),
        (UpstreamStatus::Dead | UpstreamStatus::Ejected, _) => Some(EventCode::UpstreamReinstated),
        (_, UpstreamStatus::Ramping) => Some(EventCode::RampStarted),
        (UpstreamStatus::Ramping, UpstreamStatus::Serving) => Some(EventCode::RampCompleted),
        _ => None,
    }
}
