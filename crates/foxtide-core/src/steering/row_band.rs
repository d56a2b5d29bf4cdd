//! Bounds the divergence between the rows of an origin's instances.
//!
//! When demand moves from one instance to another, a region's share jumps by
//! the difference between their rows, regardless of the shift cap. Each row
//! therefore stays within a band around its peers' mean.

use super::shift::Row;

/// Clamps the shares of `target` to within `band_share` of the peers' mean row,
/// and redistributes the difference within the bands.
///
/// Unusable regions get no share. Shares that do not fit into the bands are dropped,
/// and their requests are rejected.
pub(crate) fn clamp_to_band(
    target: &[f64],
    peers: &[f64],
    band_share: f64,
    usable: &[bool],
) -> Row {
    let upper = |index: usize| {
        let upper = (peers[index] + band_share).min(1.0);
        if usable[index] { upper } else { 0.0 }
    };
    let lower = |index: usize| (peers[index] - band_share).clamp(0.0, upper(index));
    let indices = 0..target.len();
    let clamped = indices.map(|index| target[index].clamp(lower(index), upper(index)));
    let mut row: Row = clamped.collect();
    let missing = target.iter().sum::<f64>() - row.iter().sum::<f64>();
    let slack = |index: usize, share: f64| {
        if missing > 0.0 {
            upper(index) - share
        } else {
            lower(index) - share
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
