//! Derives events about regions whose load reports are stale.

use foxtide_core::events::{
    EventCode,
    EventDraft,
    EventFields, //
};
use foxtide_core::ids::{
    OrganisationId,
    RegionId, //
};
use foxtide_core::steering::{
    FleetView,
    RegionView, //
};
use std::collections::BTreeSet;

/// Tracks the regions with stale load reports.
#[derive(Debug, Default)]
pub(crate) struct LoadEvents {
    stale: BTreeSet<(OrganisationId, RegionId)>,
}

impl LoadEvents {
    /// Returns events for the changes since the last update.
    pub(crate) fn update(&mut self, views: &[(OrganisationId, FleetView)]) -> Vec<EventDraft> {
        let regions = views.iter().flat_map(|(organisation, view)| {
            let stale = view.regions.iter().filter(|(_, region)| is_stale(region));
            stale.map(|(region, _)| (organisation.clone(), region.clone()))
        });
        let stale: BTreeSet<_> = regions.collect();
        let became_stale = stale.difference(&self.stale);
        let mut events: Vec<_> = became_stale
            .map(|it| event(EventCode::MeasurementsStale, it))
            .collect();
        let became_fresh = self.stale.difference(&stale);
        events.extend(became_fresh.map(|it| event(EventCode::MeasurementsFresh, it)));
        self.stale = stale;
        events
    }
}

/// Returns whether a region has known instances but no live ones.
fn is_stale(region: &RegionView) -> bool {
    region.known_instances > 0 && region.live_instances == 0
}

fn event(code: EventCode, (organisation, region): &(OrganisationId, RegionId)) -> EventDraft {
    EventDraft {
        code,
        fields: EventFields {
            organisation: Some(organisation.clone()),
            region: Some(region.clone()),
            ..EventFields::default()
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(live: u32) -> Vec<(OrganisationId, FleetView)> {
        let mut view = FleetView::default();
        let region = RegionView {
            live_instances: live,
            known_instances: 3,
            ..RegionView::default()
        };
        view.regions.insert("oshana".parse().unwrap(), region);
        vec![("hamutenya".parse().unwrap(), view)]
    }

    #[test]
    fn verify_stale_and_fresh_reports_are_recorded_once() {
        let mut events = LoadEvents::default();
        let mut codes = |live| {
            let recorded = events.update(&view(live));
            recorded
                .into_iter()
                .map(|event| event.code)
                .collect::<Vec<_>>()
        };
        assert_eq!(codes(3), []);
        assert_eq!(codes(0), [EventCode::MeasurementsStale]);
        assert_eq!(codes(0), []);
        assert_eq!(codes(1), [EventCode::MeasurementsFresh]);
    }
}
