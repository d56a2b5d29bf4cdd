//! Counts the instances of each region that may still be alive.
//!
//! Membership drops silent instances and cannot tell dead ones from those
//! behind a partition. If both sides of a partition dropped each other, each
//! would use the whole sold rate. The count of a region therefore falls only
//! while some of its instances are live and this side has the majority of all.

use super::view::FleetView;
use crate::ids::RegionId;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// The instances of each region that may be alive.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownInstances {
    regions: BTreeMap<RegionId, KnownCount>,
}

#[derive(Clone, Copy, Debug)]
struct KnownCount {
    instances: u32,
    confirmed_at: MonotonicTime,
}

impl KnownInstances {
    /// Records a view and sets its known instances to those that may be alive.
    pub(crate) fn apply_to(&mut self, view: &mut FleetView, hold: Duration, now: MonotonicTime) {
        let regions = &mut self.regions;
        regions.retain(|_, known| now.since(known.confirmed_at) < hold);
        for (id, region) in &view.regions {
            let known = KnownCount {
                instances: region.known_instances,
                confirmed_at: now,
            };
            let stored = regions.entry(id.clone()).or_insert(known);
            if known.instances >= stored.instances {
                *stored = known;
            }
        }
        let all: u64 = regions
            .values()
            .map(|known| u64::from(known.instances))
            .sum();
        let live = view
            .regions
            .values()
            .map(|region| u64::from(region.live_instances));
        let has_majority = live.sum::<u64>() * 2 > all;
        for (id, stored) in regions {
            let region = view.regions.entry(id.clone()).or_default();
            if region.live_instances > 0 && has_majority {
                stored.instances = region.known_instances;
                stored.confirmed_at = now;
            }
            region.known_instances = stored.instances;
        }
    }
}
