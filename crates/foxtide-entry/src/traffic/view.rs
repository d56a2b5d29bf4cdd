//! Views of a service's traffic state for explanations.

use super::organisation::OrganisationTraffic;
use super::service::ServiceTraffic;
use super::tables::TrafficTables;
use foxtide_core::choice::{
    Balancer,
    UpstreamStatus, //
};
use foxtide_core::explain::{
    Candidate,
    CandidateName,
    Exclusion,
    Figure,
    FigureKind,
    View, //
};
use foxtide_core::ids::RegionId;
use foxtide_core::organisation::Organisation;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_events::Explainer;

impl TrafficTables {
    /// Publishes a view of each service whose last one is outdated.
    pub(crate) fn publish_views(&self, explainer: &Explainer, now: MonotonicTime, wall: WallTime) {
        for traffic in self.all() {
            let organisation = traffic.organisation();
            for service in traffic.services().values() {
                let id = service.id();
                if explainer.is_view_due(&organisation.organisation, id, wall) {
                    let view = traffic.view_of(service, &organisation, now, wall);
                    service.set_view(explainer.publish(view));
                }
            }
        }
    }
}

impl OrganisationTraffic {
    fn view_of(
        &self,
        service: &ServiceTraffic,
        organisation: &Organisation,
        now: MonotonicTime,
        wall: WallTime,
    ) -> View {
        let mut candidates = self.region_candidates(service);
        for (id, region) in service.regions().iter() {
            region.with_balancer(|balancer| candidates.extend(upstreams(balancer, id, now)));
        }
        View {
            organisation: organisation.organisation.clone(),
            service: service.id().clone(),
            revision: organisation.revision.get(),
            taken_us: wall,
            candidates,
        }
    }

    fn region_candidates(&self, service: &ServiceTraffic) -> Vec<Candidate> {
        self.with_steering(|steering| {
            let row = steering.row(service.id()).unwrap_or_default();
            let wanted = steering.wanted_row(service.id()).unwrap_or_default();
            let candidate = |(region, share): (&RegionId, f64)| Candidate {
                name: CandidateName::Region(region.clone()),
                region: None,
                excluded: (share <= 0.0).then_some(Exclusion::NoWeight),
                figures: vec![
                    figure(FigureKind::WeightShare, share),
                    figure(
                        FigureKind::PlannedShare,
                        wanted.get(region).map_or(0.0, |share| share.get()),
                    ),
                    figure(
                        FigureKind::AllowedRps,
                        steering.usable_rate(region).map_or(0.0, |rate| rate.get()),
                    ),
                ],
            };
            row.iter()
                .map(|(region, share)| (region, share.get()))
                .map(candidate)
                .collect()
        })
    }
}

fn upstreams(balancer: &Balancer, region: &RegionId, now: MonotonicTime) -> Vec<Candidate> {
    let candidate = |(upstream, status): (&foxtide_core::organisation::Upstream, _)| Candidate {
        name: CandidateName::Upstream(upstream.upstream.clone()),
        region: Some(region.clone()),
        excluded: exclusion(status),
        figures: vec![figure(FigureKind::Slots, f64::from(upstream.slots))],
    };
    balancer.statuses(now).map(candidate).collect()
}

fn exclusion(status: UpstreamStatus) -> Option<Exclusion> {
    match status {
        UpstreamStatus::Serving | UpstreamStatus::Ramping => None,
        UpstreamStatus::Leaving => Some(Exclusion::Draining),
        UpstreamStatus::Dead => Some(Exclusion::Unreachable),
        UpstreamStatus::Ejected => Some(Exclusion::Ejected),
        UpstreamStatus::Unused => Some(Exclusion::OtherSubset),
    }
}

/// Returns a figure of the same age as its view.
fn figure(kind: FigureKind, value: f64) -> Figure {
    Figure {
        kind,
        value: value as f32,
        age_ms: 0,
    }
}
