//! Starts, runs and stops an instance.

use crate::admission::{
    Admission,
    serve_admission, //
};
use crate::alarm::StoreAlarm;
use crate::dialect::Dialect;
use crate::directory::{
    Guide,
    UtilisationMeter, //
};
use crate::errors::Result;
use crate::follow::follow;
use crate::hedging::Hedging;
use crate::journal::Journal;
use crate::lifecycle::Lifecycle;
use crate::link::Link;
use crate::listener::{
    Listener,
    accept,
    bind_peers, //
};
use crate::membership::maintain_membership;
use crate::memory::BodyMemory;
use crate::neighbours::Neighbours;
use crate::options::{
    Addresses,
    Bounds,
    GatewayOptions, //
};
use crate::poison::{
    Poison,
    sync_quarantine, //
};
use crate::pool::Pool;
use crate::quotas::Quotas;
use crate::reach::{
    Reach,
    watch_reach, //
};
use crate::relay::Copies;
use crate::relay::serve_peers;
use crate::shared::Shared;
use crate::stall::StallDetector;
use crate::state::State;
use crate::store::FleetStore;
use crate::store_calls::StoreCalls;
use crate::traffic::Traffic;
use event_listener::Event;
use foxtide_clock::SteadyClock;
use foxtide_core::ids::{
    InstanceId,
    UpstreamId, //
};
use foxtide_core::time::WallTime;
use foxtide_core::units::ByteSize;
use futures_lite::future::zip;
use parking_lot::Mutex;
use smol::net::TcpListener;
use smol::{
    Executor,
    Task,
    Timer, //
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// The divisor of the process memory for request bodies, which are held twice while they are
/// forwarded, and for response bodies that arrive.
const BODY_MEMORY_DIVISOR: u64 = 6;

/// How often expired state is dropped.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(500);

/// The rounds of housekeeping between two log lines about calls to the store.
const STORE_CALLS_LOG_ROUNDS: u32 = 6;

/// A running instance.
#[derive(Debug)]
pub struct Gateway<D> {
    shared: Arc<Shared<D>>,
    membership: Mutex<Option<Task<()>>>,
    /// The other tasks, which end with the instance.
    _tasks: Vec<Task<()>>,
}

impl<D: Dialect> Gateway<D> {
    /// Starts an instance, which is ready once it has read the store.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn start<S: FleetStore>(
        options: GatewayOptions,
        dialect: D,
        store: S,
        executor: Arc<Executor<'static>>,
    ) -> Result<Self> {
        let listeners = bind(&options.addresses)?;
        let clock = SteadyClock::default();
        let traffic = Arc::new(Traffic::default());
        let admission = Admission::bind(
            options.addresses.datagrams,
            options.admission,
            clock,
            Arc::clone(&traffic),
        )?;
        let addresses = Addresses {
            callers: listeners.address_of(options.addresses.callers),
            readiness: listeners.address_of(options.addresses.readiness),
            directory: listeners.address_of(options.addresses.directory),
            peers: listeners.peers_address,
            datagrams: admission.address(),
        };
        let body_memory = ByteSize::from_bytes(options.memory.get() / BODY_MEMORY_DIVISOR);
        let meter = UtilisationMeter::new(options.link_mbps);
        let guide = Guide::new(admission.address(), meter);
        let options = Arc::new(options);
        let shared = Arc::new(Shared {
            dialect,
            addresses,
            clock,
            state: Mutex::new(State::new(Arc::clone(&options), clock)),
            pool: Pool::default(),
            admission,
            guide,
            quotas: Quotas::default(),
            poison: Poison::default(),
            hedging: Hedging::new(options.hedging),
            stall: StallDetector::default(),
            reach: Reach::default(),
            neighbours: Neighbours::default(),
            body_memory: BodyMemory::new(body_memory),
            response_memory: BodyMemory::new(body_memory),
            lifecycle: Lifecycle::default(),
            link: Link::new(options.link_mbps, clock),
            journal: Journal::new(clock, options.place.region.clone()),
            store_calls: StoreCalls::default(),
            traffic,
            copies: Copies::new(options.link_mbps),
            store_alarm: StoreAlarm::default(),
            offered_configuration: Mutex::default(),
            log_changed: Event::new(),
            executor: Arc::clone(&executor),
            options,
        });
        let mut tasks = Vec::new();
        tasks.push(executor.spawn(serve_peers(Arc::clone(&shared), listeners.peers)));
        tasks.push(executor.spawn(serve_admission(Arc::clone(&shared))));
        for listener in listeners.callers.into_values() {
            tasks.push(executor.spawn(accept(Arc::clone(&shared), listener)));
        }
        tasks.push(executor.spawn(follow(Arc::clone(&shared), store.clone())));
        let quarantine = sync_quarantine(Arc::clone(&shared), store.clone());
        tasks.push(executor.spawn(quarantine));
        tasks.push(executor.spawn(run_housekeeping(Arc::clone(&shared))));
        tasks.push(executor.spawn(watch_reach(Arc::clone(&shared))));
        let membership = executor.spawn(maintain_membership(Arc::clone(&shared), store));
        Ok(Self {
            shared,
            membership: Mutex::new(Some(membership)),
            _tasks: tasks,
        })
    }

    /// Returns the instance's name.
    pub fn name(&self) -> &InstanceId {
        &self.shared.options.place.instance
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.shared.addresses.callers
    }

    /// Returns the address for readiness checks.
    pub fn readiness_address(&self) -> SocketAddr {
        self.shared.addresses.readiness
    }

    /// Returns the address for look-ups.
    pub fn directory_address(&self) -> SocketAddr {
        self.shared.addresses.directory
    }

    /// Returns the address for queries of other instances.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.addresses.peers
    }

    /// Tells whether requests can be forwarded.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Sets the bounds that all instances share.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.shared.state.lock().set_bounds(bounds);
    }

    /// Stops gracefully within the grace time: removes the instance from the directory and
    /// drains its connections.
    pub async fn stop(&self) {
        let grace = self.shared.state.lock().bounds().grace;
        self.shared.lifecycle.stop(grace);
        self.shared.log_changed.notify(usize::MAX);
        let membership = self.membership.lock().take();
        let withdrawn = async {
            if let Some(membership) = membership {
                membership.await;
            }
        };
        // Neighbours registered by this instance find another registrar meanwhile.
        zip(withdrawn, self.shared.lifecycle.drained()).await;
        // Drains requests that arrived meanwhile from callers with older look-ups.
        self.shared.lifecycle.drained().await;
        self.shared.store_calls.log_summary();
    }
}

async fn run_housekeeping<D: Dialect>(shared: Arc<Shared<D>>) {
    for round in 1_u32.. {
        let due_at = Instant::now() + HOUSEKEEPING_PERIOD;
        Timer::at(due_at).await;
        shared.guide.meter.record_delay(due_at.elapsed());
        shared.heartbeat();
        if round.is_multiple_of(STORE_CALLS_LOG_ROUNDS) {
            shared.store_calls.log_summary();
            shared.traffic.report();
        }
        let now = shared.clock.now();
        shared.state.lock().expire();
        shared.journal.summarise();
        let is_known = |upstream: &UpstreamId, born_at: Option<WallTime>| {
            shared.state.lock().is_registered(upstream, born_at)
        };
        shared.pool.prune(now, is_known);
        shared.admission.prune(now, is_known);
        let peers: Vec<SocketAddr> = {
            let state = shared.state.lock();
            let members = state.members().all();
            members.map(|member| member.datagram_address).collect()
        };
        shared.guide.prune(&peers);
        shared.admission.report_reserved_slots(now);
        let debt = shared.admission.fair_share_debt(now);
        metrics::gauge!("foxtide_fair_share_debt_seconds").set(debt.as_secs_f64());
        shared.quotas.prune(now);
        shared.poison.prune(now);
        shared.copies.prune(now);
        let body_memory = shared.body_memory.used();
        metrics::gauge!("foxtide_body_memory_bytes").set(body_memory.get() as f64);
        let response_memory = shared.response_memory.used();
        metrics::gauge!("foxtide_response_memory_bytes").set(response_memory.get() as f64);
    }
}

/// The listeners for callers, by requested address, and the listener for peers.
struct Listeners {
    callers: BTreeMap<SocketAddr, Listener>,
    peers: TcpListener,
    peers_address: SocketAddr,
}

impl Listeners {
    fn address_of(&self, requested: SocketAddr) -> SocketAddr {
        self.callers
            .get(&requested)
            .map_or(requested, Listener::address)
    }
}

fn bind(addresses: &Addresses) -> Result<Listeners> {
    let mut callers = BTreeMap::new();
    for address in [addresses.callers, addresses.readiness, addresses.directory] {
        if let std::collections::btree_map::Entry::Vacant(entry) = callers.entry(address) {
            entry.insert(Listener::bind(address)?);
        }
    }
    let (peers, peers_address) = bind_peers(addresses.peers)?;
    Ok(Listeners {
        callers,
        peers,
        peers_address,
    })
}
