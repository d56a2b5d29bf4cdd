//! An instance's view of the load of all regions.

use super::aggregator::LoadAggregator;
use super::record::LoadRecord;
use crate::ids::OrganisationId;
use crate::membership::MemberView;
use crate::steering::{
    FleetView,
    RegionView, //
};
use crate::time::{
    MonotonicTime,
    WallTime, //
};

/// A simultaneous reading of both clocks of a process.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The monotonic clock.
    pub monotonic: MonotonicTime,
    /// The wall clock.
    pub wall: WallTime,
}

impl LoadAggregator {
    /// Returns the known load of one organisation in all regions.
    ///
    /// Reports are dated back by the maximum clock skew, so that none appears
    /// younger than it is.
    pub fn fleet_view<'a>(
        &self,
        organisation: &OrganisationId,
        members: impl Iterator<Item = MemberView<'a>>,
        now: ClockReading,
    ) -> FleetView {
        let mut view = FleetView {
            measured_at: now.monotonic,
            ..FleetView::default()
        };
        for ((of, region), record) in &self.table {
            let expired = self.to_own_clock(record.summed_at, now) < self.expiry(now);
            if of == organisation && !expired {
                view.regions
                    .insert(region.clone(), self.region_view(record, now));
            }
        }
        for member in members {
            let gone_for = now.monotonic - member.changed_at;
            let counts =
                member.member.state.is_running() || gone_for < self.options.view.claim_hold;
            if counts {
                let region = member.member.region.clone();
                view.regions.entry(region).or_default().known_instances += 1;
            }
        }
        view
    }

    fn region_view(&self, record: &LoadRecord, now: ClockReading) -> RegionView {
        let mut record = record.clone();
        let oldest_live_at = self.to_own_clock(record.oldest_live_at, now);
        if now.monotonic - oldest_live_at > self.options.view.view_age_max {
            record.exclude_from_live();
        }
        RegionView {
            oldest_at: self.to_own_clock(record.oldest_at, now),
            known_instances: 0,
            ..record.sum
        }
    }

    /// Converts a peer's wall time to the local monotonic clock, less the skew.
    fn to_own_clock(&self, at: WallTime, now: ClockReading) -> MonotonicTime {
        let age = now.wall - at + self.options.skew;
        now.monotonic.saturating_sub(age)
    }

    fn expiry(&self, now: ClockReading) -> MonotonicTime {
        now.monotonic.saturating_sub(self.options.view.claim_hold)
    }
}
