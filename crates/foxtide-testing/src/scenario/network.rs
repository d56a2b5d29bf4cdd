//! Delays and cuts between the regions, and the flow of measurements.

use foxtide_core::ids::RegionId;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

/// The name that stands for the store where a link is cut.
const STORE: &str = "store";

/// The delay inside a region, one way.
const LOCAL_DELAY: Duration = Duration::from_micros(500);

/// Whether instances hear what others measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Measurements {
    /// They hear it after the delay of the network.
    #[default]
    Flowing,
    /// They hear it this much later.
    Late(Duration),
    /// They hear nothing.
    Stopped,
}

/// The network between the regions.
#[derive(Debug, Default)]
pub(super) struct Network {
    delays: BTreeMap<(RegionId, RegionId), Duration>,
    cuts: BTreeSet<(RegionId, RegionId)>,
    /// Whether measurements arrive.
    pub(super) measurements: Measurements,
}

impl Network {
    /// Sets the delay from one region to another, one way.
    pub(super) fn set_delay(&mut self, from: &RegionId, to: &RegionId, delay: Duration) {
        self.delays.insert((from.clone(), to.clone()), delay);
    }

    /// Loses everything that is sent between two regions.
    pub(super) fn cut(&mut self, first: &RegionId, second: &RegionId) {
        self.cuts.insert((first.clone(), second.clone()));
        self.cuts.insert((second.clone(), first.clone()));
    }

    /// Ends a cut.
    pub(super) fn heal(&mut self, first: &RegionId, second: &RegionId) {
        self.cuts.remove(&(first.clone(), second.clone()));
        self.cuts.remove(&(second.clone(), first.clone()));
    }

    /// Tells whether a region does not reach the store.
    pub(super) fn is_cut_from_store(&self, region: &RegionId) -> bool {
        let mut cuts = self.cuts.iter();
        cuts.any(|(from, to)| from == region && to.as_str() == STORE)
    }

    /// Tells whether any link of a region is cut.
    pub(super) fn is_cut_off(&self, region: &RegionId) -> bool {
        self.cuts.iter().any(|(from, _)| from == region)
    }

    /// Returns how long a message takes; `None` where it is lost.
    pub(super) fn delay(&self, from: &RegionId, to: &RegionId) -> Option<Duration> {
        if from == to {
            return Some(LOCAL_DELAY);
        }
        let link = (from.clone(), to.clone());
        let is_cut = self.cuts.contains(&link);
        (!is_cut).then(|| self.delays.get(&link).copied().unwrap_or(LOCAL_DELAY))
    }

    /// Returns how long a report takes; `None` where it is lost.
    pub(super) fn report_delay(&self, from: &RegionId, to: &RegionId) -> Option<Duration> {
        let delay = self.delay(from, to)?;
        match self.measurements {
            Measurements::Flowing => Some(delay),
            Measurements::Late(by) => Some(delay + by),
            Measurements::Stopped => None,
        }
    }
}
