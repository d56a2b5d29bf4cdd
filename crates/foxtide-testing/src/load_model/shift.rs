//! Measures how fast a region's requests move to other regions.

/// Length and step of the sliding windows that are compared.
const WINDOW_S: f64 = 2.0;
const STEP_S: f64 = 0.25;

/// A request that was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentRequest {
    /// Time at which it was sent, in seconds after the start of the load.
    pub at_s: f64,
    /// Region of the caller.
    pub origin: usize,
    /// Region of the upstream.
    pub region: usize,
}

/// Change in the regions that serve one region's requests, between consecutive windows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shift {
    /// Start of the later window, in seconds.
    pub at_s: f64,
    /// Region of the callers.
    pub origin: usize,
    /// Fraction of the requests that moved.
    pub share: f64,
}

/// Returns the largest shift between windows that begin at `from_s` or later and have
/// at least `requests_min` requests each.
pub(super) fn largest(
    served: &[SentRequest],
    regions: usize,
    from_s: f64,
    requests_min: usize,
) -> Shift {
    let last_s = served.iter().map(|one| one.at_s).fold(0.0, f64::max);
    let steps = ((last_s - from_s - WINDOW_S) / STEP_S).max(0.0) as usize;
    let mut largest = Shift::default();
    for step in 0..=steps {
        let at_s = from_s + WINDOW_S + step as f64 * STEP_S;
        for origin in 0..regions {
            let before = counts(served, origin, regions, at_s - WINDOW_S);
            let after = counts(served, origin, regions, at_s);
            let Some(share) = shifted_share(&before, &after, requests_min) else {
                continue;
            };
            if share > largest.share {
                largest = Shift {
                    at_s,
                    origin,
                    share,
                };
            }
        }
    }
    largest
}

/// Counts a region's requests by serving region, in the window from `at_s` on.
fn counts(served: &[SentRequest], origin: usize, regions: usize, at_s: f64) -> Vec<usize> {
    let mut counts = vec![0; regions];
    let in_window =
        |one: &&SentRequest| one.origin == origin && (at_s..at_s + WINDOW_S).contains(&one.at_s);
    for one in served.iter().filter(in_window) {
        counts[one.region] += 1;
    }
    counts
}

/// Returns the fraction that moved, or `None` if a window has too few requests.
fn shifted_share(before: &[usize], after: &[usize], requests_min: usize) -> Option<f64> {
    let (all_before, all_after) = (before.iter().sum::<usize>(), after.iter().sum::<usize>());
    if all_before.min(all_after) < requests_min.max(1) {
        return None;
    }
    let share = |count: usize, all: usize| count as f64 / all as f64;
    let pairs = before.iter().zip(after);
    let gained = pairs
        .map(|(&before, &after)| (share(after, all_after) - share(before, all_before)).max(0.0));
    Some(gained.sum())
}
