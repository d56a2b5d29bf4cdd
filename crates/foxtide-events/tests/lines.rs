//! The bound on log lines about requests.

use foxtide_core::time::MonotonicTime;
use foxtide_events::{
    LeftOut,
    LineBudget,
    LineKind, //
};

#[test]
fn verify_lines_about_failures_are_not_displaced_by_others() {
    let now = MonotonicTime::from_ms(5);
    let mut budget = LineBudget::new(now);
    assert!(budget.try_take(LineKind::Failed, now));
    let taken = (0..10_000)
        .filter(|_| budget.try_take(LineKind::Answered, now))
        .count();
    assert!(taken < 100, "{taken} lines at one moment");
    assert!(budget.try_take(LineKind::Failed, now));
}

#[test]
fn verify_what_is_left_out_is_counted_once() {
    let mut budget = LineBudget::new(MonotonicTime::ZERO);
    let mut written = 0;
    for ms in 0..10_000 {
        let now = MonotonicTime::from_ms(ms);
        written += u64::from(budget.try_take(LineKind::Answered, now));
    }
    assert!((400..=650).contains(&written), "{written} lines in 10 s");
    let left_out = budget.take_left_out();
    assert_eq!(left_out.answered, 10_000 - written);
    assert_eq!(budget.take_left_out(), LeftOut::default());
}

/// Forty callers whose requests fail at the same moment have each its lines.
#[test]
fn verify_a_burst_of_failures_keeps_its_lines() {
    let now = MonotonicTime::from_ms(5);
    let mut budget = LineBudget::new(now);
    for _ in 0..40 {
        assert!(budget.try_take(LineKind::Step, now));
        assert!(budget.try_take(LineKind::Step, now));
        assert!(budget.try_take(LineKind::Failed, now));
    }
}

#[test]
fn verify_steps_leave_room_for_the_ends_of_requests() {
    let now = MonotonicTime::from_ms(5);
    let mut budget = LineBudget::new(now);
    let steps = (0..10_000).filter(|_| budget.try_take(LineKind::Step, now));
    assert!(steps.count() < 400);
    let ends = (0..10_000).filter(|_| budget.try_take(LineKind::Failed, now));
    assert!(ends.count() >= 250);
}
