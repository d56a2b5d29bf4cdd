//! Initial configuration of the fleet: regions, links, contracts and upstreams.

use foxtide_core::ids::{
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::organisation::{
    Contract,
    HomeRegion,
    Link,
    Organisation,
    Priority,
    Region,
    SCHEMA_VERSION,
    Service,
    Upstream, //
};
use foxtide_core::units::{
    RequestRate,
    Revision,
    Share,
    ShareRate, //
};
use std::collections::BTreeMap;
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
use std::time::Duration;

/// Connection limit of each upstream.
const UPSTREAM_CONNECTIONS: u32 = 330;

/// An initial configuration that is not valid.
pub(super) type SettingError = foxtide_core::Error;

/// Initial configuration of the fleet.
#[derive(Debug)]
pub(super) struct Setting {
    organisation: Organisation,
    /// One-way delay between any two regions.
    pub(super) link_delay: Duration,
    /// Time that the upstreams of each service need for a request.
    pub(super) service_times: BTreeMap<ServiceId, Duration>,
    pub(super) instances_per_region: u32,
}

/// Contract terms of a service.
#[derive(Clone, Debug)]
pub(super) struct ServiceSpec {
    pub(super) spill_limit: Share,
    pub(super) shift_cap: ShareRate,
    pub(super) deadline: Duration,
    pub(super) drain_window: Duration,
    pub(super) priority: Priority,
}

/// Number and capacity of the upstreams of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamSpec {
    pub(super) per_region: u32,
    /// Number of requests that each runs concurrently.
    pub(super) slots: u32,
    /// Time that each needs for a request.
    pub(super) service_time: Duration,
}

impl Setting {
    /// Returns a configuration without regions and services.
    ///
    /// # Errors
    ///
    /// Fails if a built-in name is not valid.
    pub(super) fn new() -> Result<Self, SettingError> {
        Ok(Self {
            organisation: Organisation {
                schema_version: SCHEMA_VERSION,
                organisation: "scenario".parse()?,
                revision: Revision::ZERO,
                change_id: "none".parse()?,
                template: None,
                regions: Vec::new(),
                links: Vec::new(),
                services: Vec::new(),
                moves: Vec::new(),
                drains: Vec::new(),
                history: Vec::new(),
            },
            link_delay: Duration::ZERO,
            service_times: BTreeMap::new(),
            instances_per_region: 1,
        })
    }

    /// Returns the configuration with the document of a recorded trace.
    pub(super) fn with_organisation(organisation: Organisation) -> Self {
        Self {
            organisation,
            link_delay: Duration::ZERO,
            service_times: BTreeMap::new(),
            instances_per_region: 1,
        }
    }

    pub(super) fn organisation(&self) -> &Organisation {
        &self.organisation
    }

    /// Adds a region with `zones` availability zones.
    pub(super) fn add_region(
        &mut self,
        region: RegionId,
        sold_rate_rps: RequestRate,
        zones: u32,
    ) -> Result<(), SettingError> {
        let zone = |number: u32| zone_name(&region, number);
        self.organisation.regions.push(Region {
            availability_zones: (0..zones).map(zone).collect::<Result<_, _>>()?,
            region,
            sold_rate_rps,
        });
        Ok(())
    }

    /// Links all pairs of regions in both directions.
    pub(super) fn link_all(&mut self, sold_rate_rps: RequestRate, delay: Duration) {
        self.link_delay = delay;
        let regions = self.organisation.regions.iter();
        let regions: Vec<RegionId> = regions.map(|region| region.region.clone()).collect();
        for from in &regions {
            for to in regions.iter().filter(|to| *to != from) {
                self.organisation.links.push(Link {
                    from: from.clone(),
                    to: to.clone(),
                    sold_rate_rps,
                    delay_ms: delay.as_secs_f64() * 1e3,
                });
            }
        }
    }

    /// Adds a service with equal shares for all regions.
    pub(super) fn add_service(&mut self, service: ServiceId, spec: &ServiceSpec) {
        let regions = &self.organisation.regions;
        let share = Share::clamped(1.0 / regions.len().max(1) as f64);
        let homes = regions.iter().map(|region| HomeRegion {
            region: region.region.clone(),
            share,
        });
        let contract = Contract {
            homes: homes.collect(),
            spill_limit_share: spec.spill_limit,
            shift_cap_share_per_s: spec.shift_cap,
            drain_window_s: whole_seconds(spec.drain_window),
            deadline_ms: u32::try_from(spec.deadline.as_millis()).unwrap_or(u32::MAX),
            priority: spec.priority,
            idempotent_methods: vec!["GET".to_owned()],
            idempotent_path_prefixes: Vec::new(),
        };
        self.organisation.services.push(Service {
            service,
            contract,
            upstreams: Vec::new(),
        });
    }

    /// Adds upstreams of a service to every region, distributed over its zones.
    ///
    /// # Errors
    ///
    /// Fails if the service does not exist.
    pub(super) fn add_upstreams(
        &mut self,
        service: &ServiceId,
        spec: UpstreamSpec,
    ) -> Result<(), SettingError> {
        let regions = self.organisation.regions.clone();
        let services = &mut self.organisation.services;
        let index = services.iter().position(|known| known.service == *service);
        let no_service = || SettingError::parse(service.as_str(), "a service of the scenario");
        let index = index.ok_or_else(no_service)?;
        for (region_index, region) in regions.iter().enumerate() {
            for number in 0..spec.per_region {
                let upstream = upstream(service, region, number, spec.slots)?;
                let address = upstream_address(index, region_index, number);
                let upstream = Upstream {
                    address,
                    ..upstream
                };
                services[index].upstreams.push(upstream);
            }
        }
        self.service_times
            .insert(service.clone(), spec.service_time);
        Ok(())
    }
}

fn zone_name(region: &RegionId, number: u32) -> Result<AvailabilityZoneId, SettingError> {
    format!("{region}-z{}", number + 1).parse()
}

fn upstream(
    service: &ServiceId,
    region: &Region,
    number: u32,
    slots: u32,
) -> Result<Upstream, SettingError> {
    let zones = &region.availability_zones;
    let id: UpstreamId = format!("{}-{service}-{}", region.region, number + 1).parse()?;
    Ok(Upstream {
        upstream: id,
        address: (Ipv4Addr::UNSPECIFIED, 0).into(),
        region: region.region.clone(),
        availability_zone: zones[number as usize % zones.len()].clone(),
        slots,
        connections: UPSTREAM_CONNECTIONS,
    })
}

fn upstream_address(service: usize, region: usize, number: u32) -> SocketAddr {
    let port = 8_000 + u16::try_from(number).unwrap_or(u16::MAX - 8_000);
    (
        Ipv4Addr::new(10, 1, low_byte(service), low_byte(region)),
        port,
    )
        .into()
}

/// Returns the address of an instance.
pub(super) fn instance_address(number: usize) -> SocketAddr {
    (
        Ipv4Addr::new(10, 2, low_byte(number / 250), low_byte(number % 250)),
        7_000,
    )
        .into()
}

fn low_byte(number: usize) -> u8 {
    u8::try_from(number % 256).unwrap_or(u8::MAX)
}

fn whole_seconds(span: Duration) -> u32 {
    u32::try_from(span.as_secs()).unwrap_or(u32::MAX)
}
