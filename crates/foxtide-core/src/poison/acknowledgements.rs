//! Tracks whether every region counts the ends that an instance reports.

use super::Fingerprint;
use crate::ids::RegionId;
use crate::time::MonotonicTime;
use std::collections::{
    BTreeSet,
    HashMap, //
};
use std::net::SocketAddr;
use std::time::Duration;

/// The time in which a report is acknowledged by regions in contact. It covers the last copy of the
/// report and the round trip between distant regions.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(400);

/// The acknowledgements of the end reports of one instance.
///
/// A region that does not acknowledge a report may be cut off and count ends of its own, which add
/// up with those that this instance knows.
#[derive(Clone, Debug, Default)]
pub struct Acknowledgements {
    awaited: HashMap<Fingerprint, Awaited>,
    /// The regions that let the last report to them time out, by the aggregators that got it.
    silent: HashMap<SocketAddr, RegionId>,
}

#[derive(Clone, Debug)]
struct Awaited {
    aggregators: Vec<(SocketAddr, RegionId)>,
    /// The regions without an acknowledgement.
    regions: BTreeSet<RegionId>,
    due_at: MonotonicTime,
}

impl Acknowledgements {
    /// Records a report to the aggregators of all regions; returns whether a region among them is
    /// known not to answer.
    pub fn expect(
        &mut self,
        fingerprint: Fingerprint,
        aggregators: Vec<(SocketAddr, RegionId)>,
        now: MonotonicTime,
    ) -> bool {
        let regions: BTreeSet<RegionId> = aggregators.iter().map(|(_, of)| of.clone()).collect();
        let is_isolated = self.silent.values().any(|region| regions.contains(region));
        if regions.is_empty() {
            return false;
        }
        let awaited = Awaited {
            aggregators,
            regions,
            due_at: now + ACKNOWLEDGEMENT_TIMEOUT,
        };
        self.awaited.insert(fingerprint, awaited);
        is_isolated
    }

    /// Handles the acknowledgement of an aggregator; returns whether it completes those of the
    /// report.
    pub fn acknowledge(&mut self, fingerprint: Fingerprint, from: SocketAddr) -> bool {
        if let Some(region) = self.silent.get(&from).cloned() {
            self.silent.retain(|_, silent| *silent != region);
        }
        let Some(awaited) = self.awaited.get_mut(&fingerprint) else {
            return false;
        };
        let mut aggregators = awaited.aggregators.iter();
        let Some((_, region)) = aggregators.find(|(address, _)| *address == from) else {
            return false;
        };
        self.silent.retain(|_, silent| silent != region);
        awaited.regions.remove(region);
        let is_complete = awaited.regions.is_empty();
        if is_complete {
            self.awaited.remove(&fingerprint);
        }
        is_complete
    }

    /// Tells whether a region has not yet acknowledged the last report on a request.
    pub fn is_awaited(&self, fingerprint: Fingerprint) -> bool {
        self.awaited.contains_key(&fingerprint)
    }

    /// Ends the wait for a report that is overdue; returns the regions that did not acknowledge it.
    pub fn expire(&mut self, fingerprint: Fingerprint, now: MonotonicTime) -> BTreeSet<RegionId> {
        let awaited = self.awaited.get(&fingerprint);
        if awaited.is_none_or(|awaited| now < awaited.due_at) {
            return BTreeSet::new();
        }
        let Some(expired) = self.awaited.remove(&fingerprint) else {
            return BTreeSet::new();
        };
        let is_missing = |(_, region): &(SocketAddr, RegionId)| expired.regions.contains(region);
        let silent = expired.aggregators.into_iter().filter(is_missing);
        self.silent.extend(silent);
        expired.regions
    }

    /// Ends the wait for a request that was served.
    pub fn forget(&mut self, fingerprint: Fingerprint) {
        self.awaited.remove(&fingerprint);
    }
}
