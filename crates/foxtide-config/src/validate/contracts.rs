//! Validates services and their contracts.

use super::Validator;
use crate::Result;
use foxtide_core::organisation::{
    HomeRegion,
    Service, //
};

/// Tolerance of the sum of the homes' shares.
const SUM_TOLERANCE: f64 = 1e-6;

const DRAIN_WINDOW_MAX_S: u32 = 3_600;

const DEADLINE_MAX_MS: u32 = 600_000;

/// Idempotent methods (RFC 9110, section 9.2.2).
const IDEMPOTENT_METHODS: &[&str] = &["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

impl Validator<'_> {
    /// Checks the services and their contracts.
    pub(super) fn services(&self) -> Result<()> {
        let services = &self.document.services;
        self.check_unique("services", services.iter().map(|one| &one.service))?;
        services.iter().try_for_each(|one| self.contract(one))
    }

    fn contract(&self, service: &Service) -> Result<()> {
        let path = format!("services[{}].contract", service.service);
        let contract = &service.contract;
        self.homes(&path, service)?;
        let field = format!("{path}.drain_window_s");
        self.check_range(field, contract.drain_window_s, 1, DRAIN_WINDOW_MAX_S)?;
        let field = format!("{path}.deadline_ms");
        self.check_range(field, contract.deadline_ms, 1, DEADLINE_MAX_MS)?;
        self.idempotent_methods(&path, service)?;
        self.idempotent_paths(&path, service)
    }

    fn homes(&self, path: &str, service: &Service) -> Result<()> {
        let homes = &service.contract.homes;
        let field = format!("{path}.homes");
        self.check_unique(&field, homes.iter().map(|home| &home.region))?;
        for home in homes {
            self.require_region(&field, &home.region)?;
            self.require_upstream_in(&field, service, home)?;
        }
        let sum: f64 = homes.iter().map(|home| home.share.get()).sum();
        if (sum - 1.0).abs() > SUM_TOLERANCE {
            let problem = format!("the shares sum to {sum:.6}");
            return self.fail(field, problem, "shares that sum to 1");
        }
        self.require_links_between(&field, homes)
    }

    fn require_upstream_in(&self, field: &str, service: &Service, home: &HomeRegion) -> Result<()> {
        let mut upstreams = service.upstreams.iter();
        if upstreams.any(|upstream| upstream.region == home.region) {
            return Ok(());
        }
        let problem = format!("no upstream in home `{}`", home.region);
        self.fail(field, problem, "homes with an upstream each")
    }

    /// Requires links between all homes, for spill-over and drains.
    fn require_links_between(&self, field: &str, homes: &[HomeRegion]) -> Result<()> {
        for from in homes {
            let others = homes.iter().filter(|to| to.region != from.region);
            for to in others {
                self.require_link(field, &from.region, &to.region)?;
            }
        }
        Ok(())
    }

    fn idempotent_methods(&self, path: &str, service: &Service) -> Result<()> {
        for method in &service.contract.idempotent_methods {
            if !IDEMPOTENT_METHODS.contains(&method.as_str()) {
                let field = format!("{path}.idempotent_methods");
                let expected = format!(
                    "of {}; name single paths in idempotent_path_prefixes",
                    IDEMPOTENT_METHODS.join(", ")
                );
                return self.fail(field, format!("`{method}`"), expected);
            }
        }
        Ok(())
    }

    fn idempotent_paths(&self, path: &str, service: &Service) -> Result<()> {
        for prefix in &service.contract.idempotent_path_prefixes {
            if !prefix.starts_with('/') || prefix.trim_matches('/').is_empty() {
                let field = format!("{path}.idempotent_path_prefixes");
                let expected = "a path below the service's own, such as `/status`";
                return self.fail(field, format!("`{prefix}`"), expected);
            }
        }
        Ok(())
    }
}
