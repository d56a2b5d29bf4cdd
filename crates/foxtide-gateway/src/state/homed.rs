//! The traffic that organisations' homes bind to regions.

use crate::options::Place;
use foxtide_core::ids::RegionId;
use foxtide_core::placement::{
    Demand,
    HomedLoad, //
};
use foxtide_core::routing::RouteTable;
use foxtide_core::time::MonotonicTime;

/// How far a part of the traffic moves in a second when a new version of the configuration
/// binds another one. A region's own share moves by up to three times as much; organisations
/// are promised that no more than 0.15 of it moves in 2 s, half of which this takes.
const LOAD_STEP_PER_S: f64 = 0.0125;

/// The part of the traffic that is taken for homed now.
#[derive(Debug, Default)]
pub(super) struct HomedTraffic {
    load: HomedLoad,
    /// Counts the changes of `load`.
    generation: u64,
    /// When `load` was last looked at; nothing before the first configuration.
    advanced_at: Option<MonotonicTime>,
}

impl HomedTraffic {
    /// Takes in a configuration; the first one holds at once.
    pub(super) fn initialise(&mut self, routes: &RouteTable, now: MonotonicTime) {
        if self.advanced_at.is_none() {
            self.advanced_at = Some(now);
            self.load = routes.homed_load().clone();
            self.generation += 1;
        }
    }

    /// Moves towards what the configuration in force says.
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
            .approach(routes.homed_load(), passed_s * LOAD_STEP_PER_S);
        self.generation += 1;
    }

    /// Returns a number that is another one after each change.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the demand beside which requests are placed that `regions` may serve; empty
    /// for all.
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
