//! Events about figures that stop to arrive from a region.

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

/// Tells which regions' figures are old, by what changed between two looks.
#[derive(Debug, Default)]
pub(crate) struct LoadEvents {
    stale: BTreeSet<(OrganisationId, RegionId)>,
}

impl LoadEvents {
    /// Returns what changed since the last look at these organisations' views.
    pub(crate) fn update(&mut self, views: &[(OrganisationId, FleetView)]) -> Vec<EventDraft> {
        let regions = views.iter().flat_map(|(organisation, view)| {
            let stale = view.regions.iter().filter(|(_, region)| is_stale(region));
            stale.map(|(region, _)| (organisation.clone(), region.clone()))
        });
        let stale: BTreeSet<_> = regions.collect();
        let lost = stale.difference(&self.stale);
        let mut events: Vec<_> = lost
            .map(|it| event(EventCode::MeasurementsStale, it))
            .collect();
        let found = self.stale.difference(&stale);
        events.extend(found.map(|it| event(EventCode::MeasurementsFresh, it)));
        self.stale = stale;
        events
    }
}

/// Tells whether none of a region's instances was heard of late.
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
    fn verify_old_figures_are_told_once_and_so_is_their_return() {
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
