//! Rules on announced drains.

use super::Check;
use crate::Result;
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Service,
    Upstream, //
};

impl Check<'_> {
    /// Checks the drains, and that together they leave something to serve.
    pub(super) fn drains(&self) -> Result<()> {
        let drains = &self.document.drains;
        self.unique("drains", drains.iter().map(|one| &one.id))?;
        for drain in drains {
            self.target(drain)?;
        }
        let services = &self.document.services;
        services.iter().try_for_each(|one| self.remaining(one))
    }

    fn target(&self, drain: &Drain) -> Result<()> {
        let field = format!("drains[{}].target", drain.id);
        match &drain.target {
            DrainTarget::Region(region) => self.known_region(field, region),
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
            // The document does not hold the instances.
            DrainTarget::Instance(_) => Ok(()),
        }
    }

    fn remaining(&self, service: &Service) -> Result<()> {
        let drains = &self.document.drains;
        let leaving = |upstream: &Upstream| drains.iter().any(|one| leaves(one, service, upstream));
        if service.upstreams.iter().all(leaving) {
            let problem = format!("no upstream of `{}` is left", service.service);
            let expected = "drains that leave each service an upstream";
            return self.fail("drains", problem, expected);
        }
        Ok(())
    }
}

/// Tells whether a drain takes an upstream out of service.
fn leaves(drain: &Drain, service: &Service, candidate: &Upstream) -> bool {
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
