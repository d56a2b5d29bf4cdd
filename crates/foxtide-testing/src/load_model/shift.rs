//! Where requests were served, and how fast that changed.

/// The window over which a shift of traffic is judged, in seconds, and the steps in which
/// it slides.
const WINDOW_S: f64 = 2.0;
const STEP_S: f64 = 0.25;

/// A request that was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentRequest {
    /// When it was, in seconds after requests began to arise: then its region is chosen. What
    /// is under way to another region for a while afterwards has not changed it.
    pub at_s: f64,
    /// The region in which it arose.
    pub origin: usize,
    /// The region in which the upstream stands.
    pub region: usize,
}

/// The part of one region's requests that changed the region that serves them from one
/// window to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shift {
    /// When the later window begins, in seconds.
    pub at_s: f64,
    /// The region in which the requests arose.
    pub origin: usize,
    /// The part.
    pub share: f64,
}

/// Returns the largest shift between windows that begin at `from_s` or later and have
/// `requests_min` requests each.
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

/// Returns how many requests of a region each region served in the window from `at_s` on.
fn counts(served: &[SentRequest], origin: usize, regions: usize, at_s: f64) -> Vec<usize> {
    let mut counts = vec![0; regions];
    let in_window =
        |one: &&SentRequest| one.origin == origin && (at_s..at_s + WINDOW_S).contains(&one.at_s);
    for one in served.iter().filter(in_window) {
        counts[one.region] += 1;
    }
    counts
}

/// Returns the part that moved; nothing where a window has too few requests to tell.
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
