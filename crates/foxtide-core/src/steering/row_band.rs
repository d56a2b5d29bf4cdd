//! Keeps the rows of an origin's instances close to one another.
//!
//! Demand moves between the instances of an origin at any moment: callers
//! come and go, instances start and stop. The share of a region then changes
//! by the distance between the instances' rows, which no pace limits. So each
//! row stays within a band around its peers' mean.

use super::shift::Row;

/// Returns the row nearest to `target` whose shares lie within `band_share` of
/// the peers' mean row. Regions that are not usable get nothing; what cannot be
/// placed within the bands is left out, that is, refused.
pub(crate) fn clamp_to_band(
    target: &[f64],
    peers: &[f64],
    band_share: f64,
    usable: &[bool],
) -> Row {
    let most = |index: usize| {
        let most = (peers[index] + band_share).min(1.0);
        if usable[index] { most } else { 0.0 }
    };
    let least = |index: usize| (peers[index] - band_share).clamp(0.0, most(index));
    let indices = 0..target.len();
    let inside = indices.map(|index| target[index].clamp(least(index), most(index)));
    let mut row: Row = inside.collect();
    let missing = target.iter().sum::<f64>() - row.iter().sum::<f64>();
    let slack = |index: usize, share: f64| {
        if missing > 0.0 {
            most(index) - share
        } else {
            least(index) - share
        }
    };
    let shares = row.iter().enumerate();
    let total: f64 = shares.map(|(index, share)| slack(index, *share)).sum();
    if total.abs() <= f64::EPSILON {
        return row;
    }
    let part = (missing / total).clamp(0.0, 1.0);
    for (index, share) in row.iter_mut().enumerate() {
        *share += slack(index, *share) * part;
    }
    row
}
