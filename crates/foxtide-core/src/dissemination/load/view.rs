//! What an instance knows of the load of all regions.

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

/// One moment on both clocks of a process.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// On the steady clock.
    pub monotonic: MonotonicTime,
    /// On the wall clock.
    pub wall: WallTime,
}

impl LoadAggregator {
    /// Returns what is known of one organisation in all regions.
    ///
    /// Times on the reader's clock are early by up to the clocks' skew, so that
    /// nothing seems younger than it is.
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
        let live_since = self.to_own_clock(record.live_since, now);
        if now.monotonic - live_since > self.options.view.view_age_max {
            record.exclude_from_live();
        }
        RegionView {
            oldest_at: self.to_own_clock(record.oldest_at, now),
            known_instances: 0,
            ..record.sum
        }
    }

    /// Returns a peer's time on the reader's steady clock, early by the skew.
    fn to_own_clock(&self, at: WallTime, now: ClockReading) -> MonotonicTime {
        let age = now.wall - at + self.options.skew;
        now.monotonic.saturating_sub(age)
    }

    fn expiry(&self, now: ClockReading) -> MonotonicTime {
        now.monotonic.saturating_sub(self.options.view.claim_hold)
    }
}
