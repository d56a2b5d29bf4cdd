//! Instances of two regions tell each other the demand of their callers.

use crate::support::{
    FakeUpstream,
    Fleet,
    Instance,
    eventually, //
};
use foxtide_core::ids::RegionId;
use foxtide_core::placement::demand::ShareShift;
use foxtide_core::placement::{
    Candidate,
    Demand,
    ObjectKey,
    RegionShares,
    UpstreamWeights,
    rank, //
};
use foxtide_core::registry::Registration;
use foxtide_core::routing::RequestKind;
use std::collections::BTreeMap;

/// The number of regions in which requests arise.
const REGIONS: usize = 2;

fn region(name: &str) -> RegionId {
    name.parse().unwrap()
}

/// Returns the upstream that comes first for an object of the route `safe` in the small region.
fn first(upstreams: &[Registration], shift: &ShareShift, object: &str) -> usize {
    let mut slots: BTreeMap<RegionId, u32> = BTreeMap::new();
    for one in upstreams {
        *slots.entry(one.region.clone()).or_default() += one.slots;
    }
    let demand = Demand::unrestricted(REGIONS);
    let weights = UpstreamWeights::new(&region("erongo"), slots, &demand).shifted(shift);
    let candidate =
        |one: &Registration| Candidate::new(&one.upstream, weights.of(&one.region, one.slots));
    let candidates: Vec<Candidate> = upstreams.iter().map(candidate).collect();
    let kind = RequestKind::of_route("safe");
    rank(ObjectKey::of_kind(kind, object.as_bytes()), &candidates)[0]
}

/// Guards against sums that do not reach the instances of other regions: without them, the small
/// region would send two thirds of its few requests away for ever.
#[test]
fn verify_a_region_with_little_demand_serves_it_itself() {
    let fleet = Fleet::new();
    let near = fleet.upstream("i-1", "erongo-a");
    let far: Vec<FakeUpstream> = (2..7)
        .map(|number| fleet.upstream(&format!("i-{number}"), "khomas-a"))
        .collect();
    let instances = ["edge-1", "edge-2", "edge-3", "edge-4"];
    let zones = ["erongo-a", "erongo-a", "khomas-a", "khomas-a"];
    let instances: Vec<_> = instances
        .iter()
        .zip(zones)
        .map(|(name, zone)| fleet.instance(name, zone))
        .collect();
    for instance in &instances {
        instance.wait_for_members_of("erongo", 2);
        instance.wait_for_members_of("khomas", 2);
    }
    let upstreams: Vec<Registration> = [&near]
        .into_iter()
        .chain(&far)
        .map(FakeUpstream::registration)
        .collect();
    // An object that comes near as soon as a few hundredths of the requests have moved.
    let before = RegionShares::from([(region("erongo"), 0.0), (region("khomas"), 1.0)]);
    let after = RegionShares::from([(region("erongo"), 0.05), (region("khomas"), 0.95)]);
    let moved = ShareShift::between(&before, &after);
    let object = (0..100_000)
        .map(|number| format!("o-{number}"))
        .find(|object| {
            first(&upstreams, &ShareShift::default(), object) != 0
                && first(&upstreams, &moved, object) == 0
        })
        .unwrap();
    let numbers = std::cell::Cell::new(0);
    let request = |instance: &Instance| {
        let number = numbers.replace(numbers.get() + 1);
        let lines = format!("request: r-{number}\r\nobject: {object}\r\n");
        assert_eq!(instance.get("/safe/", &lines).head.status, 200);
    };
    request(&instances[0]);
    assert!(near.seen().is_empty());
    eventually("the object is served in its own region", || {
        instances[..2].iter().for_each(&request);
        !near.seen().is_empty()
    });
}
