//! Changes the contract that the decisions see, to break a rule on purpose.

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

/// Factor by which sold rates are overstated.
const SOLD_RATE_FACTOR: f64 = 10.0;

/// Returns a copy of the document without the rule.
pub(super) fn with_broken_rule(document: &Organisation, rule: Option<BrokenRule>) -> Organisation {
    let mut organisation = document.clone();
    match rule {
        Some(BrokenRule::ShiftCap) => lift_shift_caps(&mut organisation),
        Some(BrokenRule::SpillLimit) => lift_spill_limits(&mut organisation),
        Some(BrokenRule::SoldRate) => raise_sold_rates(&mut organisation),
        Some(BrokenRule::Drain) => remove_upstream_drains(&mut organisation),
        _ => {}
    }
    organisation
}

fn lift_shift_caps(organisation: &mut Organisation) {
    let any_pace = ShareRate::new(1.0);
    for service in &mut organisation.services {
        let cap = &mut service.contract.shift_cap_share_per_s;
        *cap = any_pace.clone().unwrap_or(*cap);
    }
}

fn lift_spill_limits(organisation: &mut Organisation) {
    for service in &mut organisation.services {
        service.contract.spill_limit_share = Share::ONE;
    }
}

fn raise_sold_rates(organisation: &mut Organisation) {
    let raised = |rate: RequestRate| RequestRate::clamped(rate.get() * SOLD_RATE_FACTOR);
    for region in &mut organisation.regions {
        region.sold_rate_rps = raised(region.sold_rate_rps);
    }
    for link in &mut organisation.links {
        link.sold_rate_rps = raised(link.sold_rate_rps);
    }
}

fn remove_upstream_drains(organisation: &mut Organisation) {
    let of_upstream = |target: &DrainTarget| matches!(target, DrainTarget::Upstream { .. });
    organisation
        .drains
        .retain(|drain| !of_upstream(&drain.target));
}
