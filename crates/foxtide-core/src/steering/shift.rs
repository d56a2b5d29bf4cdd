//! Moves a row towards its target under the shift cap.

/// The share of requests that goes to each region, in the order of the
/// configuration. The remainder to 1 is rejected.
pub(crate) type Row = Vec<f64>;

/// The sum of shares below which nothing is left to move.
const SHARE_EPSILON: f64 = 1e-9;

/// The maximum change of a region's share in one tick.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepLimit {
    /// The change that the shift cap allows.
    pub(crate) cap_share: f64,
    /// The planned change. It may exceed the cap after a pause of the process,
    /// as all peers have already made it.
    pub(crate) planned_share: f64,
}

impl StepLimit {
    fn up(self) -> f64 {
        self.cap_share.max(self.planned_share)
    }

    fn down(self) -> f64 {
        self.cap_share.max(-self.planned_share)
    }
}

/// Removes a region from a row at once; its requests are rejected until other
/// regions may take them under the shift cap.
pub(crate) fn drop_region(row: &mut Row, region: usize) {
    row[region] = 0.0;
}

/// Moves `row` towards `target`, each region by no more than `limit` allows.
///
/// Shares fall no faster than others rise, so that no request is rejected that
/// its current region could still serve.
pub(crate) fn step_towards(row: &mut Row, target: &[f64], limit: impl Fn(usize) -> StepLimit) {
    let free = (1.0 - row.iter().sum::<f64>()).max(0.0);
    let rise = |index: usize, share: f64| (target[index] - share).clamp(0.0, limit(index).up());
    let fall = |index: usize, share: f64| (share - target[index]).clamp(0.0, limit(index).down());
    let sum_of = |step: &dyn Fn(usize, f64) -> f64| -> f64 {
        row.iter()
            .enumerate()
            .map(|(index, share)| step(index, *share))
            .sum()
    };
    let (rising, falling) = (sum_of(&rise), sum_of(&fall));
    let fallen = falling.min((rising - free).max(0.0));
    let risen = rising.min(free + fallen);
    let fall_scale = ratio(fallen, falling);
    let rise_scale = ratio(risen, rising);
    for (index, share) in row.iter_mut().enumerate() {
        let change = rise(index, *share) * rise_scale - fall(index, *share) * fall_scale;
        *share = (*share + change).clamp(0.0, 1.0);
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole <= SHARE_EPSILON {
        1.0
    } else {
        part / whole
    }
}
