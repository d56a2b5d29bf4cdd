//! Models an instance that follows a store with limited answers, on a virtual clock.

use foxtide_core::registry::FollowPace;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(1_200);
const CALL_TIME: Duration = Duration::from_millis(75);

struct Followed {
    /// The largest number of changes that the instance did not know before a call.
    behind_max: f64,
    calls: usize,
}

/// Follows changes at a rate for a minute; each answer holds at most `answer_max` of them.
fn follow(
    rate_per_s: f64,
    answer_max: f64,
    mut pause: impl FnMut(usize, Duration) -> Duration,
) -> Followed {
    let mut followed = Followed {
        behind_max: 0.0,
        calls: 0,
    };
    let (mut now, mut known) = (Duration::ZERO, 0.0);
    while now < Duration::from_secs(60) {
        now += CALL_TIME;
        let behind = rate_per_s * now.as_secs_f64() - known;
        followed.behind_max = behind.max(followed.behind_max);
        followed.calls += 1;
        let changes = behind.min(answer_max).floor();
        known += changes;
        now += pause(changes as usize, CALL_TIME);
    }
    followed
}

/// Pattern: a fleet starts and its upstreams register faster than one answer a period holds.
#[test]
fn verify_a_watcher_does_not_fall_behind() {
    for answer_max in [50.0, 200.0, 500.0] {
        for rate_per_s in [100.0, 340.0, 600.0] {
            let mut pace = FollowPace::default();
            let paced = |changes, elapsed| pace.pause(changes, elapsed, PERIOD);
            let followed = follow(rate_per_s, answer_max, paced);
            // What arrives in a period and a call.
            let bound = rate_per_s * (PERIOD + 2 * CALL_TIME).as_secs_f64();
            assert!(
                followed.behind_max <= bound.max(2.0 * answer_max),
                "{rate_per_s} a second, {answer_max} an answer: {} behind",
                followed.behind_max
            );
        }
    }
    let one_a_period = follow(340.0, 200.0, |_, elapsed| PERIOD - elapsed);
    assert!(one_a_period.behind_max > 10_000.0);
}

#[test]
fn verify_few_changes_cost_no_more_calls() {
    let calls = |rate_per_s: f64| {
        let mut pace = FollowPace::default();
        follow(rate_per_s, 500.0, |changes, elapsed| {
            pace.pause(changes, elapsed, PERIOD)
        })
        .calls
    };
    assert_eq!(calls(0.0), calls(10.0));
    assert!(calls(340.0) <= 3 * calls(0.0));
}
