//! Rate limits on log lines about requests.

use foxtide_core::time::MonotonicTime;
use foxtide_events::{
    LineKind,
    LogRateLimiter,
    SuppressedLines, //
};

#[test]
fn verify_successes_do_not_use_up_the_limit_of_failures() {
    let now = MonotonicTime::from_ms(5);
    let mut limiter = LogRateLimiter::new(now);
    assert!(limiter.try_take(LineKind::Failed, now));
    let taken = (0..10_000)
        .filter(|_| limiter.try_take(LineKind::Answered, now))
        .count();
    assert!(taken < 100, "{taken} lines in one burst");
    assert!(limiter.try_take(LineKind::Failed, now));
}

#[test]
fn verify_suppressed_lines_are_counted_once() {
    let mut limiter = LogRateLimiter::new(MonotonicTime::ZERO);
    let mut written = 0;
    for ms in 0..10_000 {
        let now = MonotonicTime::from_ms(ms);
        written += u64::from(limiter.try_take(LineKind::Answered, now));
    }
    assert!((400..=650).contains(&written), "{written} lines in 10 s");
    let suppressed = limiter.take_suppressed();
    assert_eq!(suppressed.answered, 10_000 - written);
    assert_eq!(limiter.take_suppressed(), SuppressedLines::default());
}

/// Guards against suppressed lines when 40 requests fail at the same time.
#[test]
fn verify_a_burst_of_failures_keeps_its_lines() {
    let now = MonotonicTime::from_ms(5);
    let mut limiter = LogRateLimiter::new(now);
    for _ in 0..40 {
        assert!(limiter.try_take(LineKind::Step, now));
        assert!(limiter.try_take(LineKind::Step, now));
        assert!(limiter.try_take(LineKind::Failed, now));
    }
}

#[test]
fn verify_steps_leave_room_for_final_results() {
    let now = MonotonicTime::from_ms(5);
    let mut limiter = LogRateLimiter::new(now);
    let steps = (0..10_000).filter(|_| limiter.try_take(LineKind::Step, now));
    assert!(steps.count() < 400);
    let results = (0..10_000).filter(|_| limiter.try_take(LineKind::Failed, now));
    assert!(results.count() >= 250);
}
