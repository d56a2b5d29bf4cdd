//! Computes target rows from the planned row, health and free capacity.

use super::shift::Row;

/// Returns the planned row with the shares of unusable regions redistributed to
/// the usable homes by weight.
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

/// The free or missing capacity of one region.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FreeCapacity {
    /// The part of the region's planned requests that exceeds its capacity.
    pub(crate) excess_share: f64,
    /// The free capacity, in requests per second.
    pub(crate) free_rps: f64,
}

/// Moves shares that exceed their region's capacity to other homes, within the
/// service's spill-over limit.
///
/// `row` moves only what fits into the free capacity; `claimed` receives what
/// would move if the other homes had enough.
pub(crate) fn spill(
    row: &mut Row,
    claimed: &mut Row,
    can_take: &[bool],
    capacities: &[FreeCapacity],
    limit: SpillLimit,
) {
    let excess = |index: usize| row[index] * capacities[index].excess_share;
    let total_excess: f64 = (0..row.len()).map(excess).sum();
    let spilled = total_excess.min(limit.limit_share);
    let targets = |index: &usize| can_take[*index] && capacities[*index].excess_share <= 0.0;
    let targets: Vec<usize> = (0..row.len()).filter(targets).collect();
    if spilled <= 0.0 || targets.is_empty() || limit.demand_rps <= 0.0 {
        return;
    }
    let free = |index: &usize| capacities[*index].free_rps / limit.demand_rps;
    let free_share: f64 = targets.iter().map(free).sum();
    let moved = spilled.min(free_share);
    let planned = row.clone();
    for (index, share) in row.iter_mut().enumerate() {
        *share -= planned[index] * capacities[index].excess_share * moved / total_excess;
    }
    for index in &targets {
        claimed[*index] += spilled / targets.len() as f64;
        if free_share > 0.0 {
            row[*index] += moved * free(index) / free_share;
        }
    }
}

/// The bound on a service's spill-over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpillLimit {
    /// The contract's limit, as a share of requests.
    pub(crate) limit_share: f64,
    /// The measured demand for the service, in requests per second.
    pub(crate) demand_rps: f64,
}
