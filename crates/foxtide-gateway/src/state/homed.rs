//! The traffic that organisations' homes bind to regions.

use crate::options::Place;
use foxtide_core::ids::RegionId;
use foxtide_core::placement::{
    Demand,
    HomedLoad, //
};
use foxtide_core::routing::RouteTable;
use foxtide_core::time::MonotonicTime;

/// How far a share of the traffic moves per second when a new configuration binds another one. The
/// own share of a region moves up to three times as far; organisations are promised at most 0.15 in
/// 2 s. This takes half of that.
const LOAD_STEP_PER_S: f64 = 0.0125;

/// The homed traffic that placement assumes now.
#[derive(Debug, Default)]
pub(super) struct HomedTraffic {
    load: HomedLoad,
    /// Counts the changes of `load`.
    generation: u64,
    /// When `load` last advanced; `None` before the first configuration.
    advanced_at: Option<MonotonicTime>,
}

impl HomedTraffic {
    /// Applies the first configuration at once; later ones take effect gradually.
    pub(super) fn initialise(&mut self, routes: &RouteTable, now: MonotonicTime) {
        if self.advanced_at.is_none() {
            self.advanced_at = Some(now);
            self.load = routes.homed_load().clone();
            self.generation += 1;
        }
    }

    /// Moves the load towards that of the configuration in force.
    pub(super) fn advance(&mut self, routes: Option<&RouteTable>, now: MonotonicTime) {
        let (Some(routes), Some(advanced_at)) = (routes, self.advanced_at) else {
            return;
        };
        self.advanced_at = Some(now);
        if self.load == *routes.homed_load() {
            return;
        }
        let passed_s = (now - advanced_at).as_secs_f64();
        self.load
            .step_towards(routes.homed_load(), passed_s * LOAD_STEP_PER_S);
        self.generation += 1;
    }

    /// Returns a number that changes with the load.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the demand to assume for requests that only `regions` may serve; empty for all.
    pub(super) fn demand(&self, regions: &[RegionId], place: &Place) -> Demand {
        let homed = if regions.is_empty() {
            self.load.clone()
        } else {
            HomedLoad::default()
        };
        Demand {
            origins: place.regions_count(),
            homed,
        }
    }
}
