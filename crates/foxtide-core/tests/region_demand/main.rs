//! Tests regional shares that follow the demand of all regions.

mod knowledge;
mod meter;
mod shares;
mod wave;

use foxtide_core::ids::RegionId;
use foxtide_core::placement::demand::{
    BusySlots,
    KindHash,
    RegionHash,
    ServiceDemand, //
};
use foxtide_core::routing::RequestKind;
use std::collections::BTreeMap;

/// The regions of the tests.
const REGIONS: [&str; 3] = ["khomas", "erongo", "oshana"];

fn region(name: &str) -> RegionId {
    name.parse().unwrap()
}

fn hash(name: &str) -> RegionHash {
    RegionHash::of(&region(name))
}

fn kind(name: &str) -> KindHash {
    KindHash::of(RequestKind::of_route(name))
}

fn slots(numbers: [u32; 3]) -> BTreeMap<RegionId, u32> {
    REGIONS.map(region).into_iter().zip(numbers).collect()
}

/// Returns unrestricted demand by kind.
fn demand(kinds: &[(&str, f64)]) -> ServiceDemand {
    let kinds = kinds.iter();
    ServiceDemand {
        kinds: kinds
            .map(|(name, slots)| (kind(name), BusySlots::clamped(*slots)))
            .collect(),
        homed: BTreeMap::new(),
    }
}
