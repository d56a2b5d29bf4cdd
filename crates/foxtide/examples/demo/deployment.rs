//! One tenant of the demo: its fake store and upstreams, its instances, and
//! configuration changes as an operator makes them.

use anyhow::{
    Context,
    Result,
    anyhow, //
};
use foxtide::node::{
    Node,
    NodeOptions, //
};
use foxtide_config::change::{
    self,
    ChangeRequest, //
};
use foxtide_config::settings::{
    Limits,
    Listener,
    LookupLimits, //
};
use foxtide_config::template::Parameters;
use foxtide_config::{
    HttpStore,
    HttpStoreOptions,
    Settings,
    Template, //
};
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    OrganisationId,
    RegionId,
    UpstreamId, //
};
use foxtide_core::organisation::{
    Organisation,
    Region,
    Upstream, //
};
use foxtide_core::units::Revision;
use foxtide_testing::{
    ServiceTime,
    StoreOptions,
    StoreServer,
    UpstreamOptions,
    UpstreamServer,
    http_call, //
};
use http_types::Method;
use parking_lot::Mutex;
use serde::Deserialize;
use smol::Timer;
use std::collections::BTreeMap;
use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};
use std::time::{
    Duration,
    Instant, //
};

/// The number of instances of each tenant.
pub(crate) const INSTANCES: usize = 10;

/// The time to live of an answer to a look-up, in seconds.
pub(crate) const LOOKUP_TTL_S: u32 = 1;

/// The longest wait for any condition.
const SETUP_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The properties in which the tenants differ.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tenant {
    /// The name of its organisation.
    pub(crate) name: &'static str,
    /// The text of its organisation's template.
    pub(crate) template: &'static str,
    /// The service to which callers send reads.
    pub(crate) read_service: &'static str,
    /// The service to which callers send writes that run at most once.
    pub(crate) write_service: &'static str,
    /// The delay between an instance and an upstream of the same region.
    pub(crate) zone_delay: Duration,
}

pub(crate) const TENANTS: [Tenant; 2] = [
    Tenant {
        name: "hamutenya",
        template: include_str!("../../../../examples/hamutenya/template.jsonc"),
        read_service: "viewer",
        write_service: "notices",
        zone_delay: Duration::from_millis(1),
    },
    Tenant {
        name: "kluisdepot",
        template: include_str!("../../../../examples/kluisdepot/template.jsonc"),
        read_service: "slotfinder",
        write_service: "doorctl",
        zone_delay: Duration::from_micros(500),
    },
];

/// A promise as an instance reports it at `/v1/promises`.
#[derive(Debug, Deserialize)]
#[expect(dead_code, reason = "printed with `Debug` if the promise is broken")]
pub(crate) struct PromiseRow {
    pub(crate) promise: String,
    service: Option<String>,
    region: Option<String>,
    limit: f64,
    worst_of_limit: f64,
    pub(crate) held: bool,
}

/// The running store, upstreams and instances of a tenant.
pub(crate) struct Deployment {
    pub(crate) tenant: Tenant,
    pub(crate) organisation: OrganisationId,
    pub(crate) regions: Vec<RegionId>,
    pub(crate) store: StoreServer,
    pub(crate) upstreams: BTreeMap<UpstreamId, UpstreamServer>,
    pub(crate) nodes: Mutex<BTreeMap<InstanceId, Node>>,
    client: HttpStore,
}

impl Deployment {
    /// Starts everything and waits until every instance has a configuration.
    pub(crate) async fn start(tenant: Tenant, options: &NodeOptions) -> Result<Self> {
        let organisation: OrganisationId = tenant.name.parse()?;
        let template = Template::parse(tenant.name, tenant.template)?;
        let mut document = template.instantiate(&organisation, &Parameters::new())?;
        let store = StoreServer::start(StoreOptions::default()).await?;
        let client = HttpStore::new(HttpStoreOptions {
            address: store.address(),
            ..HttpStoreOptions::default()
        });
        let upstreams = start_upstreams(&mut document, tenant.zone_delay).await?;
        let regions = document.regions.iter().map(|it| it.region.clone());
        let deployment = Self {
            tenant,
            organisation,
            regions: regions.collect(),
            store,
            upstreams,
            nodes: Mutex::default(),
            client,
        };
        let placements = placements(&document);
        let change = ChangeRequest {
            base: None,
            document,
            author: "demo".to_owned(),
            summary: "create".to_owned(),
        };
        change::accept(&deployment.client, change).await?;
        for number in 0..INSTANCES {
            let placement = &placements[number % placements.len()];
            deployment.start_node(number, placement, options.clone())?;
        }
        deployment.wait_until_listed(INSTANCES).await?;
        Ok(deployment)
    }

    fn start_node(&self, number: usize, placement: &Placement, options: NodeOptions) -> Result<()> {
        let seeds = self
            .nodes
            .lock()
            .values()
            .take(2)
            .map(Node::peer_address)
            .collect();
        let settings = Settings {
            instance: format!("{}-{number}", placement.availability_zone).parse()?,
            region: placement.region.clone(),
            availability_zone: placement.availability_zone.clone(),
            cluster: self.tenant.name.to_owned(),
            upstream_source: Some(placement.source),
            caller: any_port(),
            admin: any_port(),
            peer: any_port(),
            store_address: self.store.address(),
            instance_list_address: None,
            seed_peers: seeds,
            organisations: vec![self.organisation.clone()],
            workers: 1,
            limits: Limits {
                lookups: LookupLimits {
                    ttl_s: LOOKUP_TTL_S,
                    ..LookupLimits::default()
                },
                ..Limits::default()
            },
        };
        let node = Node::start_with(&settings, options)?;
        self.nodes.lock().insert(settings.instance, node);
        Ok(())
    }

    /// Waits until every instance lists `count` instances in its look-ups and
    /// has a configuration.
    pub(crate) async fn wait_until_listed(&self, count: usize) -> Result<()> {
        let all_listed = || {
            let nodes = self.nodes.lock();
            nodes
                .values()
                .all(|node| node.tables().instances().len() == count)
        };
        wait_until(all_listed)
            .await
            .context("wait until every instance lists all others")?;
        let serving = || self.lowest_revision() > Revision::ZERO;
        wait_until(serving)
            .await
            .context("wait until a configuration is in force")
    }

    /// Returns the lowest revision that is in force at any instance.
    pub(crate) fn lowest_revision(&self) -> Revision {
        let nodes = self.nodes.lock();
        let revisions = nodes.values().map(|node| {
            let document = node.tables().organisation(&self.organisation);
            document.map_or(Revision::ZERO, |document| document.revision)
        });
        revisions.min().unwrap_or(Revision::ZERO)
    }

    /// Changes the configuration as an operator does; returns the new revision
    /// and the time until it was in force at every instance.
    pub(crate) async fn change(
        &self,
        summary: &str,
        edit: impl FnOnce(&mut Organisation),
    ) -> Result<(Revision, Duration)> {
        let base = change::load(&self.client, &self.organisation).await?;
        let base = base.ok_or_else(|| anyhow!("{} is not in the store", self.organisation))?;
        let mut document = base.document.clone();
        edit(&mut document);
        let change = ChangeRequest {
            base: Some(base),
            document,
            author: "demo".to_owned(),
            summary: summary.to_owned(),
        };
        let accepted = change::accept(&self.client, change).await?;
        let revision = accepted.document.revision;
        let accepted_at = Instant::now();
        wait_until(|| self.lowest_revision() >= revision)
            .await
            .with_context(|| {
                format!("{summary}: wait until {revision} is in force at every instance")
            })?;
        Ok((revision, accepted_at.elapsed()))
    }

    /// Returns the addresses at which instances serve callers.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .lock()
            .values()
            .map(Node::caller_address)
            .collect()
    }

    /// Removes an instance from the deployment, for the caller to stop or kill.
    pub(crate) fn take_node(&self, number: usize) -> Option<(InstanceId, Node)> {
        let mut nodes = self.nodes.lock();
        let id = nodes.keys().nth(number)?.clone();
        nodes.remove_entry(&id)
    }

    /// Returns the promises as all instances report them.
    pub(crate) async fn promises(&self) -> Result<Vec<PromiseRow>> {
        let addresses: Vec<SocketAddr> = self
            .nodes
            .lock()
            .values()
            .map(Node::admin_address)
            .collect();
        let mut rows = Vec::new();
        for address in addresses {
            let answer = http_call(address, Method::Get, "/v1/promises", &[], &[]).await;
            let answer = answer.map_err(|error| anyhow!("ask {address}: {error}"))?;
            let page: Vec<PromiseRow> = serde_json::from_slice(&answer.body)?;
            rows.extend(page);
        }
        Ok(rows)
    }

    /// Returns how often all upstreams together ran the request with this key.
    pub(crate) fn runs_of(&self, key: &str) -> usize {
        self.upstreams.values().map(|it| it.runs_of(key)).sum()
    }
}

/// Where an instance runs, and the address from which it connects to
/// upstreams.
struct Placement {
    region: RegionId,
    source: IpAddr,
    availability_zone: AvailabilityZoneId,
}

fn placements(document: &Organisation) -> Vec<Placement> {
    let mut placements = Vec::new();
    let source_addresses = source_addresses(document);
    for region in &document.regions {
        for zone in &region.availability_zones {
            placements.push(Placement {
                region: region.region.clone(),
                source: source_addresses[&region.region],
                availability_zone: zone.clone(),
            });
        }
    }
    placements
}

fn any_port() -> Listener {
    Listener {
        listen: (Ipv4Addr::LOCALHOST, 0).into(),
        advertise: None,
    }
}

/// Starts a fake server for every upstream and sets its address in the
/// document.
async fn start_upstreams(
    document: &mut Organisation,
    zone_delay: Duration,
) -> Result<BTreeMap<UpstreamId, UpstreamServer>> {
    let mut servers = BTreeMap::new();
    let source_addresses = source_addresses(document);
    let links = document.links.clone();
    let upstreams = document
        .services
        .iter_mut()
        .flat_map(|it| &mut it.upstreams);
    for (number, upstream) in upstreams.enumerate() {
        let server = UpstreamServer::start(upstream_options(upstream, number)).await?;
        for (region, source) in &source_addresses {
            let link = links
                .iter()
                .find(|it| it.from == *region && it.to == upstream.region);
            let delay = link.map_or(zone_delay, |it| Duration::from_secs_f64(it.delay_ms / 1e3));
            server.set_link_delay_to(*source, delay);
        }
        upstream.address = server.address();
        servers.insert(upstream.upstream.clone(), server);
    }
    Ok(servers)
}

/// Returns the address from which the instances of each region connect. The
/// fake upstreams choose the link's delay by this address.
fn source_addresses(document: &Organisation) -> BTreeMap<RegionId, IpAddr> {
    let regions = document.regions.iter().zip(1..);
    let source = |(region, number): (&Region, u8)| {
        (
            region.region.clone(),
            Ipv4Addr::new(127, 0, 1, number).into(),
        )
    };
    regions.map(source).collect()
}

fn upstream_options(upstream: &Upstream, number: usize) -> UpstreamOptions {
    UpstreamOptions {
        name: upstream.upstream.to_string(),
        slots: upstream.slots,
        connections: upstream.connections,
        service_time: ServiceTime::Exponential {
            mean: Duration::from_millis(5),
        },
        seed: number as u64,
        ..UpstreamOptions::default()
    }
}

pub(crate) async fn wait_until(condition: impl Fn() -> bool) -> Result<()> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > SETUP_TIMEOUT {
            return Err(anyhow!(
                "the condition did not hold within {} s",
                SETUP_TIMEOUT.as_secs()
            ));
        }
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(())
}
