//! One entry instance: all its parts, from start to stop.

use crate::client_blocks::{BlocksFollower, BlocksInForce};
use crate::configuration::Configurations;
use crate::copies::Copies;
use crate::observer::Observer;
use crate::pages::Pages;
use crate::promises::{PromiseSampler, Promises};
use crate::readiness::Readiness;
use crate::tables::Tables;
use crate::telemetry;
use crate::traffic::TrafficFollower;
use crate::{instance_list, store};
use anyhow::{Context, Result};
use foxtide_config::Settings;
use foxtide_core::choice::BalancerOptions;
use foxtide_core::events::backup::BackupPeer;
use foxtide_core::events::{EventCode, EventFields, EventRingOptions};
use foxtide_core::idempotency::{OwnerId, ProcessNumber, TableOptions};
use foxtide_core::ids::{InstanceId, OrganisationId, RegionId};
use foxtide_core::steering::SteeringOptions;
use foxtide_core::units::ByteSize;
use foxtide_entry::{
    Clock, Directory, DrainOptions, Entry, EntryOptions, Limits, Parts, PoolOptions,
    ServingInstance, SystemClock, TrafficOptions, TrafficTables, Workers,
};
use foxtide_events::{Explainer, Recorder, RecorderOptions, TimeLine, TimeLineOptions};
use foxtide_mesh::{Identity, Mesh, MeshHandle, MeshOptions};
use rand::TryRng;
use rand::rngs::SysRng;
use smol::{Task, Timer};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The time between two looks at the members and the announced drains.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(100);

/// What the request path works with.
#[derive(Debug)]
struct NodeParts {
    directory: NodeDirectory,
    traffic: Arc<TrafficTables>,
    clock: SystemClock,
    recorder: Recorder,
    explainer: Explainer,
    owner: OwnerId,
    pages: Pages,
}

impl Parts for NodeParts {
    type Directory = NodeDirectory;
    type Clock = SystemClock;
    type Admin = Pages;

    fn directory(&self) -> &NodeDirectory {
        &self.directory
    }

    fn traffic(&self) -> &TrafficTables {
        &self.traffic
    }

    fn clock(&self) -> &SystemClock {
        &self.clock
    }

    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn explainer(&self) -> &Explainer {
        &self.explainer
    }

    fn owner(&self) -> &OwnerId {
        &self.owner
    }

    fn admin(&self) -> &Pages {
        &self.pages
    }
}

/// The tables as the request path reads them, and the way to leave.
#[derive(Debug)]
struct NodeDirectory {
    tables: Arc<Tables>,
    blocks: BlocksInForce,
    mesh: MeshHandle,
    clock: SystemClock,
}

impl Directory for NodeDirectory {
    fn instances(&self) -> Arc<[ServingInstance]> {
        self.tables.instances()
    }

    fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.tables.address_of(instance)
    }

    fn client_region(&self, _organisation: &OrganisationId, client: IpAddr) -> Option<RegionId> {
        let instances = self.tables.instances();
        let is_live = |region: &RegionId| instances.iter().any(|one| one.region == *region);
        self.blocks.region_of(client, is_live)
    }

    fn leave(&self) {
        self.tables.set_leaving();
        self.tables.renew_instances(self.clock.wall());
        self.mesh.leave();
    }
}

/// What is set for an instance besides its settings file.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    /// Where requests go. Equal on all instances.
    pub steering: SteeringOptions,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Node {
    entry: Entry<NodeParts>,
    mesh: MeshHandle,
    recorder: Recorder,
    tables: Arc<Tables>,
    workers: Workers,
    _tasks: Vec<Task<()>>,
}

impl Node {
    /// Starts an instance; it serves once it has its configuration.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound or threads cannot be started.
    pub fn start(settings: &Settings) -> Result<Self> {
        Self::start_with(settings, NodeOptions::default())
    }

    /// Starts an instance whose decisions are set otherwise than by default.
    ///
    /// # Errors
    ///
    /// Fails as [`Node::start`] does.
    pub fn start_with(settings: &Settings, options: NodeOptions) -> Result<Self> {
        let clock = SystemClock::default();
        let workers = Workers::start(settings.workers).context("start the workers")?;
        let recorder = Recorder::new(settings.instance.clone(), recorder_options(settings));
        let tables = Arc::new(Tables::new(settings.instance.clone()));
        let readiness = Readiness::default();
        // The caller listener is bound first: peers are told its address.
        let caller_address = reserve(settings.caller.listen)?;
        let process = draw_process_number()?;
        let mesh = start_mesh(settings, caller_address, process, &recorder, &clock)?;
        let time_line = time_line(settings, &recorder, &clock);
        let explainer = Explainer::default();
        let promises = Promises::default();
        let blocks = BlocksInForce::default();
        let store = store::open(settings);
        let traffic = Arc::new(TrafficTables::new(traffic_options(settings, options)));
        let parts = NodeParts {
            directory: NodeDirectory {
                tables: Arc::clone(&tables),
                blocks: blocks.clone(),
                mesh: mesh.clone(),
                clock,
            },
            traffic: Arc::clone(&traffic),
            clock,
            recorder: recorder.clone(),
            explainer: explainer.clone(),
            owner: OwnerId {
                instance: settings.instance.clone(),
                process,
            },
            pages: Pages {
                tables: Arc::clone(&tables),
                time_line: time_line.clone(),
                explainer: explainer.clone(),
                promises: promises.clone(),
                metrics: telemetry::start_metrics(),
                readiness: readiness.clone(),
            },
        };
        let options = entry_options(settings, caller_address);
        let entry = Entry::start(options, Arc::new(parts), &workers.executor())
            .context("start the request path")?;
        let configurations = Configurations {
            tables: Arc::clone(&tables),
            traffic: Arc::clone(&traffic),
            clock,
            mesh: mesh.clone(),
            recorder: recorder.clone(),
            store: Arc::clone(&store),
            readiness: readiness.clone(),
            watch_wait: settings.limits.store.watch_wait(),
            seed: fastrand::u64(..),
        };
        let budget = store::follow_fleet(Arc::clone(&store), mesh.clone());
        let blocks_follower = BlocksFollower {
            in_force: blocks,
            mesh: mesh.clone(),
            store,
            recorder: recorder.clone(),
        };
        let following = follow_members(Arc::clone(&tables), mesh.clone(), clock);
        let sampler = PromiseSampler {
            promises,
            tables: Arc::clone(&tables),
            traffic: Arc::clone(&traffic),
            recorder: recorder.clone(),
            clock,
        };
        let follower = TrafficFollower {
            tables: Arc::clone(&tables),
            traffic,
            mesh: mesh.clone(),
            recorder: recorder.clone(),
            readiness,
            clock,
        };
        let copies = Copies {
            time_line,
            mesh: mesh.clone(),
            clock,
        };
        let observer = Observer {
            recorder: recorder.clone(),
            explainer: explainer.clone(),
            tables: Arc::clone(&tables),
            mesh: mesh.clone(),
            clock,
        };
        let tasks = vec![
            workers.spawn(copies.clone().send()),
            workers.spawn(copies.receive()),
            workers.spawn(observer.run()),
            workers.spawn(blocks_follower.run()),
            workers.spawn(sampler.run()),
            workers.spawn(follower.run()),
            workers.spawn(budget),
            workers.spawn(instance_list::follow(
                settings.instance_list_address,
                mesh.clone(),
            )),
            workers.spawn(configurations.run()),
            workers.spawn(following),
        ];
        record_start(&recorder, &entry, &mesh);
        Ok(Self {
            entry,
            mesh,
            recorder,
            tables,
            workers,
            _tasks: tasks,
        })
    }

    /// Returns where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.entry.caller_address()
    }

    /// Returns where operators connect.
    pub fn admin_address(&self) -> SocketAddr {
        self.entry.admin_address()
    }

    /// Returns where peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.mesh.peer_address()
    }

    /// Returns the configurations and instances that are known.
    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    /// Returns the recorder of the instance's events.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Stops gracefully: leaves the look-ups, serves until callers' answers
    /// have expired, ends what is in flight, then ends.
    pub async fn stop(self) {
        self.entry.drain().await;
        self.recorder
            .record(EventCode::ProcessStopped, EventFields::default());
        self.kill();
    }

    /// Ends at once, as a process that is killed does; for tests.
    pub fn kill(self) {
        self.mesh.stop();
        drop(self._tasks);
        drop(self.entry);
        drop(self.workers);
    }
}

/// Finds the port that the system gives for port 0, so that peers can be told
/// before the listener is there.
fn reserve(address: SocketAddr) -> Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    let listener = std::net::TcpListener::bind(address);
    let listener = listener.with_context(|| format!("bind the caller address {address}"))?;
    Ok(listener.local_addr()?)
}

/// Draws what tells this process from others of the same instance.
fn draw_process_number() -> Result<ProcessNumber> {
    let number = SysRng.try_next_u64();
    let number = number.context("draw the number of this process")?;
    Ok(ProcessNumber::new(number))
}

fn start_mesh(
    settings: &Settings,
    caller_address: SocketAddr,
    process: ProcessNumber,
    recorder: &Recorder,
    clock: &SystemClock,
) -> Result<MeshHandle> {
    let identity = Identity {
        instance: settings.instance.clone(),
        region: settings.region.clone(),
        availability_zone: settings.availability_zone.clone(),
        peer_address: settings.peer.listen,
        caller_address: settings.caller.advertise.unwrap_or(caller_address),
        process,
    };
    let options = MeshOptions {
        cluster: settings.cluster.clone(),
        recorder: Some(recorder.clone()),
        joins_first: true,
        // Times in the view of the fleet then read as the request path's do.
        clock_origin: clock.origin(),
        ..MeshOptions::default()
    };
    Mesh::start(identity, &settings.seed_peers, options).context("start the mesh")
}

fn time_line(settings: &Settings, recorder: &Recorder, clock: &SystemClock) -> TimeLine {
    let own = BackupPeer {
        instance: settings.instance.clone(),
        availability_zone: settings.availability_zone.clone(),
        region: settings.region.clone(),
    };
    TimeLine::new(
        recorder.clone(),
        own,
        TimeLineOptions::default(),
        clock.now(),
    )
}

fn traffic_options(settings: &Settings, options: NodeOptions) -> TrafficOptions {
    let defaults = TrafficOptions::new(settings.region.clone());
    TrafficOptions {
        seed: xxh3_64(settings.instance.as_str().as_bytes()),
        steering: options.steering,
        balancer: BalancerOptions {
            availability_zone: Some(settings.availability_zone.clone()),
            connections_min: settings.limits.upstreams.connections_min,
            ..defaults.balancer
        },
        ..defaults
    }
}

fn recorder_options(settings: &Settings) -> RecorderOptions {
    let notable = usize::try_from(settings.limits.events.kept_max).unwrap_or(usize::MAX);
    RecorderOptions {
        ring: EventRingOptions {
            notable,
            ..EventRingOptions::default()
        },
        ..RecorderOptions::default()
    }
}

fn count(setting: u32) -> usize {
    usize::try_from(setting).unwrap_or(usize::MAX)
}

fn entry_options(settings: &Settings, caller_address: SocketAddr) -> EntryOptions {
    let limits = &settings.limits;
    let (requests, keys) = (&limits.requests, &limits.keys);
    EntryOptions {
        caller_address,
        admin_address: settings.admin.listen,
        organisations: settings.organisations.clone(),
        lookup_ttl: Duration::from_secs(limits.lookups.ttl_s.into()),
        lookup_instances: count(limits.lookups.instances_max),
        deadline_max: Duration::from_millis(requests.deadline_max_ms.into()),
        limits: Limits {
            request_body: ByteSize::from_bytes(requests.body_max_bytes),
            connections: count(requests.connections_max),
            in_flight: count(requests.in_flight_max),
            waiting: count(requests.waiting_max),
            head_time: Duration::from_millis(requests.head_timeout_ms.into()),
            idle_time: Duration::from_millis(requests.idle_timeout_ms.into()),
            ..Limits::default()
        },
        keys: TableOptions {
            validity: Duration::from_secs(keys.validity_s.into()),
            keys_max: count(keys.kept_max),
            answers_max: ByteSize::from_bytes(keys.answers_max_bytes),
            answer_max: ByteSize::from_bytes(keys.answer_max_bytes),
            ..TableOptions::default()
        },
        pool: PoolOptions {
            connect_time: Duration::from_millis(limits.upstreams.connect_timeout_ms.into()),
            idle_time: Duration::from_millis(limits.upstreams.idle_timeout_ms.into()),
            ..PoolOptions::default()
        },
        drain: DrainOptions {
            in_flight_time: Duration::from_millis(limits.shutdown.drain_max_ms.into()),
            ..DrainOptions::default()
        },
        ..EntryOptions::default()
    }
}

fn record_start(recorder: &Recorder, entry: &Entry<NodeParts>, mesh: &MeshHandle) {
    let detail = format!(
        "version={} caller={} admin={} peer={}",
        env!("CARGO_PKG_VERSION"),
        entry.caller_address(),
        entry.admin_address(),
        mesh.peer_address()
    );
    recorder.record(EventCode::ProcessStarted, EventFields::detail(detail));
}

/// Keeps the tables' members and the instances for look-ups up to date.
async fn follow_members(tables: Arc<Tables>, mesh: MeshHandle, clock: SystemClock) {
    loop {
        tables.set_members(mesh.members());
        tables.renew_instances(clock.wall());
        Timer::after(MEMBERS_INTERVAL).await;
    }
}
