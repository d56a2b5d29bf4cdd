//! Validates regions and links.

use super::Validator;
use crate::Result;
use foxtide_core::ids::RegionId;
use foxtide_core::organisation::Link;
use std::fmt::Display;

/// Maximum delay of a link, in milliseconds.
const DELAY_MAX_MS: f64 = 10_000.0;

impl Validator<'_> {
    /// Checks regions and links.
    pub(super) fn topology(&self) -> Result<()> {
        self.regions()?;
        self.links()
    }

    fn regions(&self) -> Result<()> {
        let regions = &self.document.regions;
        if regions.is_empty() {
            return self.fail("regions", "empty list", "one or more regions");
        }
        self.check_unique("regions", regions.iter().map(|region| &region.region))?;
        let zones = regions.iter().flat_map(|region| &region.availability_zones);
        self.check_unique("regions[].availability_zones", zones)?;
        for region in regions {
            let path = format!("regions[{}]", region.region);
            if region.availability_zones.is_empty() {
                let field = format!("{path}.availability_zones");
                return self.fail(field, "empty list", "one or more zones");
            }
            if region.sold_rate_rps.get() <= 0.0 {
                let field = format!("{path}.sold_rate_rps");
                return self.fail(field, region.sold_rate_rps, "a rate above 0rps");
            }
        }
        Ok(())
    }

    fn links(&self) -> Result<()> {
        let links = &self.document.links;
        self.check_unique("links", links.iter().map(Link::id))?;
        links.iter().try_for_each(|link| self.link(link))
    }

    fn link(&self, link: &Link) -> Result<()> {
        let path = format!("links[{}]", link.id());
        self.require_region(format!("{path}.from"), &link.from)?;
        self.require_region(format!("{path}.to"), &link.to)?;
        if link.from == link.to {
            return self.fail(
                path,
                "both ends are the same region",
                "two different regions",
            );
        }
        if !(0.0..=DELAY_MAX_MS).contains(&link.delay_ms) {
            let expected = format!("milliseconds from 0 to {DELAY_MAX_MS}");
            return self.fail(format!("{path}.delay_ms"), link.delay_ms, expected);
        }
        let most = self.document.region(&link.to).map(|to| to.sold_rate_rps);
        if most.is_some_and(|most| link.sold_rate_rps > most) {
            let field = format!("{path}.sold_rate_rps");
            let expected = format!("at most what is sold in {}", link.to);
            return self.fail(field, link.sold_rate_rps, expected);
        }
        Ok(())
    }

    /// Fails if the document has no such region.
    pub(super) fn require_region(&self, field: impl Display, region: &RegionId) -> Result<()> {
        if self.document.region(region).is_none() {
            let problem = format!("there is no region `{region}`");
            return self.fail(field, problem, self.known_regions());
        }
        Ok(())
    }

    /// Fails if there is no link from one region to another.
    pub(super) fn require_link(
        &self,
        field: impl Display,
        from: &RegionId,
        to: &RegionId,
    ) -> Result<()> {
        if self.document.link(from, to).is_none() {
            let problem = format!("no link {from}->{to}");
            return self.fail(field, problem, "a link in `links` for each direction");
        }
        Ok(())
    }
}
