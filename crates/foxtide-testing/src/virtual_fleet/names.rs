//! Names, addresses and regions of the instances of a virtual fleet.

use foxtide_core::idempotency::ProcessNumber;
use foxtide_core::ids::InstanceId;
use foxtide_core::membership::{
    Incarnation,
    Member,
    MemberState, //
};
use std::net::SocketAddr;

const FIRST_PORT: u16 = 10_000;

/// Regions of the fleet, each with two availability zones.
const REGIONS: [&str; 3] = ["khomas", "erongo", "oshana"];

pub(super) fn name(instance: usize) -> InstanceId {
    let name = format!("i{instance}").parse();
    name.expect("instance name is valid")
}

/// Returns the region of an instance, regardless of the number of zones.
pub(super) fn region(instance: usize) -> &'static str {
    REGIONS[instance % REGIONS.len()]
}

pub(super) fn address(instance: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(instance).unwrap_or(u16::MAX);
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(super) fn number(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

pub(super) fn member(instance: usize, zones: usize) -> Member {
    let zone = instance % zones;
    let region = REGIONS[zone % REGIONS.len()];
    let zone = format!("{region}-{}", zone / REGIONS.len());
    Member {
        instance: name(instance),
        region: region.parse().expect("region name is valid"),
        availability_zone: zone.parse().expect("zone name is valid"),
        peer_address: address(instance),
        caller_address: address(instance),
        process: ProcessNumber::new(1),
        incarnation: Incarnation::new(1),
        state: MemberState::Alive,
    }
}
