//! Built-in settings of two organisations, Hamutenya and Kluisdepot.

use super::setting::{
    ServiceSpec,
    Setting,
    SettingError,
    UpstreamSpec, //
};
use foxtide_core::ids::ServiceId;
use foxtide_core::organisation::Priority;
use foxtide_core::units::{
    RequestRate,
    Share,
    ShareRate, //
};
use std::str::FromStr;
use std::time::Duration;

const REGION_SOLD_RATE_RPS: f64 = 120.0;

const LINK_SOLD_RATE_RPS: f64 = 40.0;

const SPILL_LIMIT_SHARE: f64 = 0.2;

const SHIFT_CAP_SHARE_PER_S: f64 = 0.02;

/// The upstreams of each service.
const UPSTREAMS: UpstreamSpec = UpstreamSpec {
    per_region: 4,
    slots: 3,
    service_time: Duration::from_millis(50),
};

const ZONES_PER_REGION: u32 = 2;
const INSTANCES_PER_REGION: u32 = 3;
const DRAIN_WINDOW: Duration = Duration::from_secs(10);

/// An organisation with a built-in setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tenant {
    /// A survey of heritage sites, whose services prioritise headroom.
    Hamutenya,
    /// A network of lockers, whose services prioritise latency.
    Kluisdepot,
}

impl FromStr for Tenant {
    type Err = foxtide_core::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "hamutenya" => Ok(Self::Hamutenya),
            "kluisdepot" => Ok(Self::Kluisdepot),
            _ => {
                let expected = "`hamutenya` or `kluisdepot`";
                Err(foxtide_core::Error::parse(text, expected))
            }
        }
    }
}

impl Tenant {
    fn regions(self) -> [&'static str; 3] {
        match self {
            Self::Hamutenya => ["khomas", "erongo", "oshana"],
            Self::Kluisdepot => ["bru", "antw", "gent"],
        }
    }

    fn services(self) -> [&'static str; 4] {
        match self {
            Self::Hamutenya => ["viewer", "notices", "archive", "hazards"],
            Self::Kluisdepot => ["slotfinder", "doorctl", "hotellink", "ledger"],
        }
    }

    /// Returns the requested services, or all if none is requested.
    fn select_services(self, requested: &[ServiceId]) -> Result<Vec<ServiceId>, SettingError> {
        let all = self.services().into_iter().map(str::parse);
        let all: Vec<ServiceId> = all.collect::<Result<_, _>>()?;
        if requested.is_empty() {
            return Ok(all);
        }
        match requested.iter().find(|service| !all.contains(service)) {
            Some(unknown) => Err(SettingError::parse(unknown.as_str(), "a tenant's service")),
            None => Ok(requested.to_vec()),
        }
    }

    /// Returns the one-way delay between regions.
    fn link_delay(self) -> Duration {
        match self {
            Self::Hamutenya => Duration::from_millis(35),
            Self::Kluisdepot => Duration::from_millis(55),
        }
    }

    fn terms(self) -> Result<ServiceSpec, SettingError> {
        let (priority, deadline_ms) = match self {
            Self::Hamutenya => (Priority::Headroom, 1_500),
            Self::Kluisdepot => (Priority::Latency, 800),
        };
        Ok(ServiceSpec {
            spill_limit: Share::clamped(SPILL_LIMIT_SHARE),
            shift_cap: ShareRate::new(SHIFT_CAP_SHARE_PER_S)?,
            deadline: Duration::from_millis(deadline_ms),
            drain_window: DRAIN_WINDOW,
            priority,
        })
    }
}

impl Setting {
    /// Adds a tenant's regions, links, instances, and the given services, or all services
    /// if none is given.
    ///
    /// # Errors
    ///
    /// Fails if the tenant does not have one of the services.
    pub(super) fn add_tenant(
        &mut self,
        tenant: Tenant,
        services: &[ServiceId],
    ) -> Result<(), SettingError> {
        for region in tenant.regions() {
            let sold_rate = RequestRate::clamped(REGION_SOLD_RATE_RPS);
            self.add_region(region.parse()?, sold_rate, ZONES_PER_REGION)?;
        }
        let sold_rate = RequestRate::clamped(LINK_SOLD_RATE_RPS);
        self.link_all(sold_rate, tenant.link_delay());
        self.instances_per_region = INSTANCES_PER_REGION;
        let terms = tenant.terms()?;
        for service in tenant.select_services(services)? {
            self.add_service(service.clone(), &terms);
            self.add_upstreams(&service, UPSTREAMS)?;
        }
        Ok(())
    }
}
