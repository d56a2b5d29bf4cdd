//! Simulates the network: delays between regions, cut links, and late or missing reports.

use foxtide_core::ids::RegionId;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

/// Name of the store as an end of a cut link.
const STORE: &str = "store";

/// One-way delay within a region, and between regions without a known delay.
const LOCAL_DELAY: Duration = Duration::from_micros(500);

/// How instances receive the measurements in the reports of others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Measurements {
    /// Reports arrive after the delay of the network.
    #[default]
    Flowing,
    /// Reports are delayed further by this time.
    Late(Duration),
    /// Reports are lost.
    Stopped,
}

#[derive(Debug, Default)]
pub(super) struct Network {
    delays: BTreeMap<(RegionId, RegionId), Duration>,
    cuts: BTreeSet<(RegionId, RegionId)>,
    pub(super) measurements: Measurements,
}

impl Network {
    /// Sets the one-way delay from one region to another.
    pub(super) fn set_delay(&mut self, from: &RegionId, to: &RegionId, delay: Duration) {
        self.delays.insert((from.clone(), to.clone()), delay);
    }

    /// Drops all messages between two regions.
    pub(super) fn cut(&mut self, first: &RegionId, second: &RegionId) {
        self.cuts.insert((first.clone(), second.clone()));
        self.cuts.insert((second.clone(), first.clone()));
    }

    /// Restores the link between two regions.
    pub(super) fn heal(&mut self, first: &RegionId, second: &RegionId) {
        self.cuts.remove(&(first.clone(), second.clone()));
        self.cuts.remove(&(second.clone(), first.clone()));
    }

    /// Returns whether a region's link to the store is cut.
    pub(super) fn is_cut_from_store(&self, region: &RegionId) -> bool {
        let mut cuts = self.cuts.iter();
        cuts.any(|(from, to)| from == region && to.as_str() == STORE)
    }

    /// Returns whether any link of a region is cut.
    pub(super) fn is_cut_off(&self, region: &RegionId) -> bool {
        self.cuts.iter().any(|(from, _)| from == region)
    }

    /// Returns the one-way delay of a message, or `None` if it is lost.
    pub(super) fn delay(&self, from: &RegionId, to: &RegionId) -> Option<Duration> {
        if from == to {
            return Some(LOCAL_DELAY);
        }
        let link = (from.clone(), to.clone());
        let is_cut = self.cuts.contains(&link);
        (!is_cut).then(|| self.delays.get(&link).copied().unwrap_or(LOCAL_DELAY))
    }

    /// Returns the one-way delay of a report, or `None` if it is lost.
    pub(super) fn report_delay(&self, from: &RegionId, to: &RegionId) -> Option<Duration> {
        let delay = self.delay(from, to)?;
        match self.measurements {
            Measurements::Flowing => Some(delay),
            Measurements::Late(by) => Some(delay + by),
            Measurements::Stopped => None,
        }
    }
}
