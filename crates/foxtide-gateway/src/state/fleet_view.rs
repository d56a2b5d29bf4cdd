//! What the exchange of demand needs to know of the fleet.

use super::State;
use crate::demand::FleetView;
use foxtide_core::ids::RegionId;
use foxtide_core::placement::demand::RegionHash;
use foxtide_core::registry::Member;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl State {
    /// Returns the fleet and the demand of this instance's callers; `None` if there is one region
    /// or no service stands in several.
    pub(crate) fn fleet_view(&mut self, own_address: SocketAddr) -> Option<FleetView> {
        self.regional.update_slots(&self.registry);
        let regions: BTreeSet<&RegionId> =
            self.members.all().map(|member| &member.region).collect();
        if !self.regional.has_services() || regions.len() < 2 {
            return None;
        }
        let demand = self.regional.demand(self.clock.now());
        let own = &self.options.place.region;
        let aggregators = |region: &RegionId| {
            let members = self.members.demand_aggregators(region).into_iter();
            let addresses: Vec<SocketAddr> =
                members.map(|member| member.datagram_address).collect();
            addresses
        };
        let own_aggregators = aggregators(own);
        let is_aggregator = own_aggregators.contains(&own_address);
        let is_near = |member: &&Member| member.region == *own;
        Some(FleetView {
            own_address,
            region: RegionHash::of(own),
            members: self.members.all().filter(is_near).count(),
            aggregators: own_aggregators,
            other_aggregators: regions
                .iter()
                .filter(|region| is_aggregator && **region != own)
                .flat_map(|region| aggregators(region))
                .collect(),
            regions: regions.into_iter().map(RegionHash::of).collect(),
            demand,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::options::{
        Addresses,
        AdmissionOptions,
        Bounds,
        GatewayOptions,
        Place, //
    };
    use crate::store::Fact;
    use foxtide_clock::SteadyClock;
    use foxtide_core::ids::AvailabilityZoneId;
    use foxtide_core::registry::{
        Registration,
        UpstreamState, //
    };
    use foxtide_core::units::ByteSize;
    use std::sync::Arc;
    use std::time::Duration;

    const ADDRESS: SocketAddr =
        SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

    fn member(region: &str) -> Fact {
        Fact::Joined(Member {
            instance: format!("edge-{region}").parse().unwrap(),
            caller_address: ADDRESS,
            peer_address: ADDRESS,
            datagram_address: ADDRESS,
            availability_zone: format!("{region}-a").parse().unwrap(),
            region: region.parse().unwrap(),
            registrar: None,
            link_mbps: 0,
            is_cut_off: false,
        })
    }

    fn upstream(region: &str, service: &str) -> Fact {
        Fact::Registered(Registration {
            upstream: format!("{service}-{region}").parse().unwrap(),
            born_at: None,
            service: service.parse().unwrap(),
            address: ADDRESS,
            availability_zone: format!("{region}-a").parse().unwrap(),
            region: region.parse().unwrap(),
            slots: 3,
            state: UpstreamState::Ready,
            cold_remaining: Duration::ZERO,
        })
    }

    /// Tells whether an instance that knows these facts exchanges demand.
    fn exchanges(facts: Vec<Fact>) -> bool {
        let zone: AvailabilityZoneId = "khomas-a".parse().unwrap();
        let region: RegionId = "khomas".parse().unwrap();
        let options = GatewayOptions {
            place: Place {
                instance: "edge-khomas".parse().unwrap(),
                availability_zone: zone.clone(),
                region: region.clone(),
                regions: [(zone, region)].into(),
            },
            addresses: Addresses::default(),
            seed_peers: Vec::new(),
            memory: ByteSize::from_kib(64),
            link_mbps: 0,
            bounds: Bounds::default(),
            admission: AdmissionOptions::default(),
        };
        let mut state = State::new(Arc::new(options), SteadyClock::default());
        state.apply(facts);
        state.fleet_view(ADDRESS).is_some()
    }

    /// Guards against messages of fleets whose shares cannot follow any demand.
    #[test]
    fn verify_only_services_in_several_regions_cause_an_exchange() {
        let members = || vec![member("khomas"), member("erongo")];
        let with = |upstreams: Vec<Fact>| [members(), upstreams].concat();
        assert!(!exchanges(members()));
        assert!(!exchanges(with(vec![
            upstream("khomas", "a"),
            upstream("erongo", "b")
        ])));
        assert!(exchanges(with(vec![
            upstream("khomas", "a"),
            upstream("erongo", "a")
        ])));
        let single = vec![
            member("khomas"),
            upstream("khomas", "a"),
            upstream("erongo", "a"),
        ];
        assert!(!exchanges(single));
    }
}
