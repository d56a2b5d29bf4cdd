//! Validates the upstreams of services.

use super::Validator;
use crate::Result;
use foxtide_core::organisation::{
    Service,
    Upstream, //
};

/// Maximum slots of an upstream.
const SLOTS_MAX: u32 = 100_000;

/// Maximum connections to an upstream.
const CONNECTIONS_MAX: u32 = 1_000_000;

impl Validator<'_> {
    /// Checks the upstreams of all services.
    pub(super) fn upstreams(&self) -> Result<()> {
        let services = &self.document.services;
        let all = services.iter().flat_map(|one| &one.upstreams);
        self.check_unique("services[].upstreams[].address", all.map(|one| one.address))?;
        services.iter().try_for_each(|one| self.upstreams_of(one))
    }

    fn upstreams_of(&self, service: &Service) -> Result<()> {
        let path = format!("services[{}].upstreams", service.service);
        self.check_unique(&path, service.upstreams.iter().map(|one| &one.upstream))?;
        let mut upstreams = service.upstreams.iter();
        upstreams.try_for_each(|one| self.upstream(&format!("{path}[{}]", one.upstream), one))
    }

    fn upstream(&self, path: &str, upstream: &Upstream) -> Result<()> {
        self.require_region(format!("{path}.region"), &upstream.region)?;
        self.zone(path, upstream)?;
        if upstream.address.port() == 0 || upstream.address.ip().is_unspecified() {
            let expected = "an address that can be connected to, with its port";
            return self.fail(format!("{path}.address"), upstream.address, expected);
        }
        self.check_range(format!("{path}.slots"), upstream.slots, 1, SLOTS_MAX)?;
        let field = format!("{path}.connections");
        self.check_range(field, upstream.connections, upstream.slots, CONNECTIONS_MAX)
    }

    fn zone(&self, path: &str, upstream: &Upstream) -> Result<()> {
        let Some(region) = self.document.region(&upstream.region) else {
            return Ok(());
        };
        let zone = &upstream.availability_zone;
        if region.availability_zones.contains(zone) {
            return Ok(());
        }
        let known = region.availability_zones.iter().map(|zone| zone.as_str());
        let known: Vec<&str> = known.collect();
        let field = format!("{path}.availability_zone");
        let problem = format!("`{zone}` is not in `{}`", upstream.region);
        self.fail(field, problem, known.join(", "))
    }
}
