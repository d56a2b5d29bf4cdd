//! The settings of the two organisations that use foxtide today.

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

/// What each region of a tenant is sold, in requests a second.
const REGION_SOLD_RPS: f64 = 120.0;

/// What each link of a tenant is sold, in requests a second.
const LINK_SOLD_RPS: f64 = 40.0;

/// The spill-over limit of each service.
const SPILL_SHARE: f64 = 0.2;

/// The shift cap of each service, in shares a second.
const CAP_SHARE_PER_S: f64 = 0.02;

/// Twelve targets with three slots each, over three regions.
const UPSTREAMS: UpstreamSpec = UpstreamSpec {
    per_region: 4,
    slots: 3,
    service_time: Duration::from_millis(50),
};

const ZONES_PER_REGION: u32 = 2;
const INSTANCES_PER_REGION: u32 = 3;
const DRAIN_WINDOW: Duration = Duration::from_secs(10);

/// One of the organisations of today.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tenant {
    /// A survey of heritage sites, which weighs headroom most.
    Hamutenya,
    /// A network of lockers, which weighs latency most.
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

    /// Returns the services named, or all where none is.
    fn chosen_services(self, named: &[ServiceId]) -> Result<Vec<ServiceId>, SettingError> {
        let all = self.services().into_iter().map(str::parse);
        let all: Vec<ServiceId> = all.collect::<Result<_, _>>()?;
        if named.is_empty() {
            return Ok(all);
        }
        match named.iter().find(|service| !all.contains(service)) {
            Some(unknown) => Err(SettingError::parse(unknown.as_str(), "a tenant's service")),
            None => Ok(named.to_vec()),
        }
    }

    /// Returns the delay between two regions, one way.
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
            spill_limit: Share::clamped(SPILL_SHARE),
            shift_cap: ShareRate::new(CAP_SHARE_PER_S)?,
            deadline: Duration::from_millis(deadline_ms),
            drain_window: DRAIN_WINDOW,
            priority,
        })
    }
}

impl Setting {
    /// Adds what a tenant has: the services named, or all where none is.
    ///
    /// # Errors
    ///
    /// Fails where the tenant has no service of a name.
    pub(super) fn add_tenant(
        &mut self,
        tenant: Tenant,
        services: &[ServiceId],
    ) -> Result<(), SettingError> {
        for region in tenant.regions() {
            let sold = RequestRate::clamped(REGION_SOLD_RPS);
            self.add_region(region.parse()?, sold, ZONES_PER_REGION)?;
        }
        self.link_all(RequestRate::clamped(LINK_SOLD_RPS), tenant.link_delay());
        self.instances_per_region = INSTANCES_PER_REGION;
        let terms = tenant.terms()?;
        for service in tenant.chosen_services(services)? {
            self.add_service(service.clone(), &terms);
            self.add_upstreams(&service, UPSTREAMS)?;
        }
        Ok(())
    }
}
