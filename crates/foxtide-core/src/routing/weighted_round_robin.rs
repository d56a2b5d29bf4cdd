//! Distributes requests over the services of a route by weight.

use super::WeightedService;
use crate::ids::ServiceId;
use std::collections::HashMap;

/// Picks services in proportion to their weights.
///
/// Each pick goes to the service that is furthest below its share (smooth weighted
/// round robin), which stays closer to the shares than random selection.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: HashMap<ServiceId, f64>,
}

impl WeightedRoundRobin {
    /// Picks the service of the next request; `None` if no weight is positive.
    pub fn pick<'a>(&mut self, services: &'a [WeightedService]) -> Option<&'a ServiceId> {
        if let [only] = services {
            return Some(&only.service);
        }
        let total: f64 = services.iter().map(|weighted| weighted.weight).sum();
        let mut chosen: Option<(&ServiceId, f64)> = None;
        for weighted in services.iter().filter(|weighted| weighted.weight > 0.0) {
            let credit = self.credits.entry(weighted.service.clone()).or_default();
            *credit += weighted.weight;
            if chosen.is_none_or(|(_, highest)| *credit > highest) {
                chosen = Some((&weighted.service, *credit));
            }
        }
        let (service, _) = chosen?;
        if let Some(credit) = self.credits.get_mut(service) {
            *credit -= total;
        }
        Some(service)
    }
}
