//! Converts settings into the options of each component.

use anyhow::{
    Context,
    Result, //
};
use foxtide_config::Settings;
use foxtide_core::choice::BalancerOptions;
use foxtide_core::events::EventRingOptions;
use foxtide_core::events::backup::BackupPeer;
use foxtide_core::idempotency::{
    ProcessNumber,
    TableOptions, //
};
use foxtide_core::steering::SteeringOptions;
use foxtide_core::units::ByteSize;
use foxtide_entry::{
    Clock,
    DrainOptions,
    EntryOptions,
    Limits,
    PoolOptions,
    SystemClock,
    TrafficOptions, //
};
use foxtide_events::{
    Recorder,
    RecorderOptions,
    TimeLine,
    TimeLineOptions, //
};
use foxtide_mesh::{
    Identity,
    Mesh,
    MeshHandle,
    MeshOptions, //
};
use rand::TryRng;
use rand::rngs::SysRng;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Options of an instance that are not in its settings file.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    /// Steering options; must be equal on all instances.
    pub steering: SteeringOptions,
}

/// Returns a random number that identifies this process of the instance.
pub(super) fn random_process_number() -> Result<ProcessNumber> {
    let number = SysRng.try_next_u64();
    let number = number.context("generate a random process number")?;
    Ok(ProcessNumber::new(number))
}

pub(super) fn start_mesh(
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
        starts_joining: true,
        // The fleet view must use the same clock as the request path.
        clock: clock.steady(),
        ..MeshOptions::default()
    };
    Mesh::start(identity, &settings.seed_peers, options).context("start the mesh")
}

pub(super) fn time_line(settings: &Settings, recorder: &Recorder, clock: &SystemClock) -> TimeLine {
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

pub(super) fn traffic_options(settings: &Settings, options: NodeOptions) -> TrafficOptions {
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

pub(super) fn recorder_options(settings: &Settings) -> RecorderOptions {
    let notable = usize::try_from(settings.limits.events.kept_max).unwrap_or(usize::MAX);
    RecorderOptions {
        ring: EventRingOptions {
            notable,
            ..EventRingOptions::default()
        },
        ..RecorderOptions::default()
    }
}

pub(super) fn saturating_usize(setting: u32) -> usize {
    usize::try_from(setting).unwrap_or(usize::MAX)
}

pub(super) fn entry_options(settings: &Settings) -> EntryOptions {
    let limits = &settings.limits;
    let (requests, keys) = (&limits.requests, &limits.keys);
    EntryOptions {
        caller_address: settings.caller.listen,
        admin_address: settings.admin.listen,
        organisations: settings.organisations.clone(),
        lookup_ttl: Duration::from_secs(limits.lookups.ttl_s.into()),
        lookup_instances: saturating_usize(limits.lookups.instances_max),
        deadline_max: Duration::from_millis(requests.deadline_max_ms.into()),
        limits: Limits {
            head: ByteSize::from_bytes(requests.head_max_bytes),
            request_body: ByteSize::from_bytes(requests.body_max_bytes),
            connections: saturating_usize(requests.connections_max),
            in_flight: saturating_usize(requests.in_flight_max),
            waiting: saturating_usize(requests.waiting_max),
            head_time: Duration::from_millis(requests.head_timeout_ms.into()),
            body_time: Duration::from_millis(requests.body_timeout_ms.into()),
            idle_time: Duration::from_millis(requests.idle_timeout_ms.into()),
            ..Limits::default()
        },
        keys: TableOptions {
            validity: Duration::from_secs(keys.validity_s.into()),
            keys_max: saturating_usize(keys.kept_max),
            answers_max: ByteSize::from_bytes(keys.answers_max_bytes),
            answer_max: ByteSize::from_bytes(keys.answer_max_bytes),
            ..TableOptions::default()
        },
        pool: PoolOptions {
            connect_time: Duration::from_millis(limits.upstreams.connect_timeout_ms.into()),
            idle_time: Duration::from_millis(limits.upstreams.idle_timeout_ms.into()),
            source: settings.upstream_source,
            ..PoolOptions::default()
        },
        drain: DrainOptions {
            in_flight_time: Duration::from_millis(limits.shutdown.drain_max_ms.into()),
            ..DrainOptions::default()
        },
        ..EntryOptions::default()
    }
}
