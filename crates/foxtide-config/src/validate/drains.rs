//! Validates drains.

use super::Validator;
use crate::Result;
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Service,
    Upstream, //
};

impl Validator<'_> {
    /// Checks the drains, and that they leave each service an upstream.
    pub(super) fn drains(&self) -> Result<()> {
        let drains = &self.document.drains;
        self.check_unique("drains", drains.iter().map(|one| &one.id))?;
        for drain in drains {
            self.check_target(drain)?;
        }
        let services = &self.document.services;
        services
            .iter()
            .try_for_each(|one| self.require_remaining_upstream(one))
    }

    fn check_target(&self, drain: &Drain) -> Result<()> {
        let field = format!("drains[{}].target", drain.id);
        match &drain.target {
            DrainTarget::Region(region) => self.require_region(field, region),
            DrainTarget::AvailabilityZone(zone) => {
                let mut regions = self.document.regions.iter();
                if regions.any(|region| region.availability_zones.contains(zone)) {
                    return Ok(());
                }
                let problem = format!("there is no availability zone `{zone}`");
                self.fail(field, problem, "an availability zone in `regions`")
            }
            DrainTarget::Upstream { service, upstream } => {
                let found = self.document.service(service);
                let mut upstreams = found.into_iter().flat_map(|one| &one.upstreams);
                if upstreams.any(|one| one.upstream == *upstream) {
                    return Ok(());
                }
                let problem = format!("there is no upstream `{service}/{upstream}`");
                self.fail(field, problem, "an upstream in `services`")
            }
            // The document does not list instances.
            DrainTarget::Instance(_) => Ok(()),
        }
    }

    fn require_remaining_upstream(&self, service: &Service) -> Result<()> {
        let drains = &self.document.drains;
        let drained = |upstream: &Upstream| drains.iter().any(|one| covers(one, service, upstream));
        if service.upstreams.iter().all(drained) {
            let problem = format!("no upstream of `{}` is left", service.service);
            let expected = "drains that leave each service an upstream";
            return self.fail("drains", problem, expected);
        }
        Ok(())
    }
}

/// Returns whether a drain covers an upstream.
fn covers(drain: &Drain, service: &Service, candidate: &Upstream) -> bool {
    match &drain.target {
        DrainTarget::Upstream {
            service: of,
            upstream,
        } => *of == service.service && *upstream == candidate.upstream,
        DrainTarget::AvailabilityZone(zone) => *zone == candidate.availability_zone,
        DrainTarget::Region(region) => *region == candidate.region,
        DrainTarget::Instance(_) => false,
    }
}
