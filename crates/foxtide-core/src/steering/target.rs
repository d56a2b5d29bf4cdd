//! Where a service's traffic should go now, given what can serve it.

use super::shift::Row;

/// Returns the planned row with what is planned for regions that cannot serve
/// moved to the homes that can, by their weights.
pub(crate) fn redistribute_unusable(planned: &[f64], homes: &[f64], usable: &[bool]) -> Row {
    let weight = |index: usize| if usable[index] { homes[index] } else { 0.0 };
    let total: f64 = (0..planned.len()).map(weight).sum();
    let lost = (0..planned.len()).filter(|index| !usable[*index]);
    let lost_share: f64 = lost.map(|index| planned[index]).sum();
    let retained = |index: usize| if usable[index] { planned[index] } else { 0.0 };
    let taken = |index: usize| {
        if total > 0.0 {
            lost_share * weight(index) / total
        } else {
            0.0
        }
    };
    let shares = 0..planned.len();
    shares.map(|index| retained(index) + taken(index)).collect()
}

/// What is known of one region when spill is worked out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FreeCapacity {
    /// The part of what is planned to go there that finds no room.
    pub(crate) excess_share: f64,
    /// What it could still take, in requests a second.
    pub(crate) free_rps: f64,
}

/// Moves what finds no room in its region to other homes, inside the service's
/// spill-over limit. Returns the share that was moved.
///
/// `claimed` gets what would be moved if the other homes had room; it is what
/// the instance asks for, while `row` only takes what there is.
pub(crate) fn spill(
    row: &mut Row,
    claimed: &mut Row,
    takes: &[bool],
    capacities: &[FreeCapacity],
    limit: SpillLimit,
) {
    let excess = |index: usize| row[index] * capacities[index].excess_share;
    let wanted: f64 = (0..row.len()).map(excess).sum();
    let spilled = wanted.min(limit.limit_share);
    let takers = |index: &usize| takes[*index] && capacities[*index].excess_share <= 0.0;
    let takers: Vec<usize> = (0..row.len()).filter(takers).collect();
    if spilled <= 0.0 || takers.is_empty() || limit.demand_rps <= 0.0 {
        return;
    }
    let free = |index: &usize| capacities[*index].free_rps / limit.demand_rps;
    let free_share: f64 = takers.iter().map(free).sum();
    let found = spilled.min(free_share);
    let planned = row.clone();
    for (index, share) in row.iter_mut().enumerate() {
        *share -= planned[index] * capacities[index].excess_share * found / wanted;
    }
    for index in &takers {
        claimed[*index] += spilled / takers.len() as f64;
        if free_share > 0.0 {
            row[*index] += found * free(index) / free_share;
        }
    }
}

/// How much of a service may spill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpillLimit {
    /// The contract's limit, less what already goes elsewhere than planned.
    pub(crate) limit_share: f64,
    /// What the instance's callers ask of the service.
    pub(crate) demand_rps: f64,
}
