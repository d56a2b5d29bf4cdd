//! Breaks a rule on purpose, by what the decisions get to see.

use super::options::BrokenRule;
use foxtide_core::organisation::{
    DrainTarget,
    Organisation, //
};
use foxtide_core::units::{
    RequestRate,
    Share,
    ShareRate, //
};

/// By how much sold rates are overstated.
const SOLD_RATE_FACTOR: f64 = 10.0;

/// Returns the document as the decisions see it under a broken rule.
pub(super) fn distorted(document: &Organisation, rule: Option<BrokenRule>) -> Organisation {
    let mut seen = document.clone();
    match rule {
        Some(BrokenRule::ShiftCap) => free_shifts(&mut seen),
        Some(BrokenRule::SpillLimit) => free_spill(&mut seen),
        Some(BrokenRule::SoldRate) => raise_rates(&mut seen),
        Some(BrokenRule::Drain) => forget_drains(&mut seen),
        _ => {}
    }
    seen
}

fn free_shifts(seen: &mut Organisation) {
    let any_pace = ShareRate::new(1.0);
    for service in &mut seen.services {
        let cap = &mut service.contract.shift_cap_share_per_s;
        *cap = any_pace.clone().unwrap_or(*cap);
    }
}

fn free_spill(seen: &mut Organisation) {
    for service in &mut seen.services {
        service.contract.spill_limit_share = Share::ONE;
    }
}

fn raise_rates(seen: &mut Organisation) {
    let raised = |rate: RequestRate| RequestRate::clamped(rate.get() * SOLD_RATE_FACTOR);
    for region in &mut seen.regions {
        region.sold_rate_rps = raised(region.sold_rate_rps);
    }
    for link in &mut seen.links {
        link.sold_rate_rps = raised(link.sold_rate_rps);
    }
}

fn forget_drains(seen: &mut Organisation) {
    let of_upstream = |target: &DrainTarget| matches!(target, DrainTarget::Upstream { .. });
    seen.drains.retain(|drain| !of_upstream(&drain.target));
}
