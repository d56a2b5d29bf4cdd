//! Upstreams for the tests of the load balancer.

use foxtide_core::ids::UpstreamId;
use foxtide_core::organisation::Upstream;

pub(crate) fn id(number: usize) -> UpstreamId {
    let name = format!("viewer-{number}");
    name.parse().expect("the name is valid")
}

/// Returns `count` upstreams of 4 slots in one availability zone.
pub(crate) fn list(count: usize) -> Vec<Upstream> {
    let upstream = |number| Upstream {
        upstream: id(number),
        address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        region: "khomas".parse().expect("the name is valid"),
        availability_zone: "khomas-a".parse().expect("the name is valid"),
        slots: 4,
        connections: 360,
    };
    (0..count).map(upstream).collect()
}
