//! Tests the time-outs for coordinators while bulk transfers delay their answers.

use foxtide_core::admission::{
    RoundTripOptions,
    RoundTrips, //
};
use foxtide_core::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

const INITIAL: Duration = Duration::from_millis(40);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn coordinator() -> SocketAddr {
    "127.0.0.1:11".parse().unwrap()
}

/// Asks each 10 ms from `from_ms` on and records answers after these times.
fn exchange(trips: &mut RoundTrips, from_ms: u64, round_trips_ms: &[u64]) {
    for (number, round_trip_ms) in (from_ms..).step_by(10).zip(round_trips_ms) {
        trips.record_ask(number, coordinator(), at(number));
        trips.record_answer(number, coordinator(), at(number + round_trip_ms));
        trips.end_ask(number);
    }
}

fn timeout_ms(trips: &RoundTrips) -> u128 {
    trips.timeout(coordinator(), INITIAL).as_millis()
}

/// Guards against requests that go on without a slot while the coordinator's link is occupied.
#[test]
fn verify_the_timeout_follows_the_round_trips_within_its_bounds() {
    let mut trips = RoundTrips::new(RoundTripOptions::default());
    assert_eq!(timeout_ms(&trips), 40);
    exchange(&mut trips, 0, &[2; 20]);
    assert_eq!(timeout_ms(&trips), 40);
    // RFC 6298: a sample of 82 ms on 2 ms adds an eighth to the mean and a quarter to the deviation.
    exchange(&mut trips, 1_000, &[82]);
    assert_eq!(timeout_ms(&trips), 92);
    exchange(&mut trips, 2_000, &[900; 5]);
    assert_eq!(timeout_ms(&trips), 250);
    exchange(&mut trips, 3_000, &[2; 60]);
    assert_eq!(timeout_ms(&trips), 40);
    // A measured time-out replaces the initial one of another region.
    exchange(&mut trips, 4_000, &[75; 60]);
    let far = trips.timeout(coordinator(), Duration::from_millis(250));
    assert!((84..95).contains(&far.as_millis()), "{far:?}");
}

/// Guards against a time-out that never learns: the answers that matter arrive after the requests
/// have gone on.
#[test]
fn verify_late_answers_are_measured() {
    let mut trips = RoundTrips::new(RoundTripOptions::default());
    exchange(&mut trips, 0, &[2; 20]);
    trips.record_ask(1_000, coordinator(), at(1_000));
    trips.record_timeout(1_000, at(1_040));
    trips.end_ask(1_000);
    trips.record_answer(1_000, coordinator(), at(1_082));
    assert_eq!(timeout_ms(&trips), 92);
}

/// Guards against the ambiguity that Karn's algorithm avoids: an answer to the first ask would
/// count as a fast one to the second.
#[test]
fn verify_repeated_asks_are_not_measured() {
    let mut trips = RoundTrips::new(RoundTripOptions::default());
    exchange(&mut trips, 0, &[200; 20]);
    let before = timeout_ms(&trips);
    for number in 1_000..1_020 {
        trips.record_ask(number, coordinator(), at(number));
        trips.record_ask(number, coordinator(), at(number + 150));
        trips.record_answer(number, coordinator(), at(number + 151));
    }
    assert_eq!(timeout_ms(&trips), before);
    // A grant after the answer `Waiting` tells how long a slot took.
    for number in 2_000..2_020 {
        trips.record_ask(number, coordinator(), at(number));
        trips.record_answer(number, coordinator(), at(number + 200));
        trips.record_answer(number, coordinator(), at(number + 900));
    }
    assert!(timeout_ms(&trips) <= before);
}

/// Guards against half a second without slots after a single late answer.
#[test]
fn verify_three_unanswered_asks_in_a_row_skip_a_coordinator_until_it_answers() {
    let mut trips = RoundTrips::new(RoundTripOptions::default());
    let time_out = |trips: &mut RoundTrips, number: u64| {
        trips.record_ask(number, coordinator(), at(number));
        trips.record_timeout(number, at(number + 40));
        trips.end_ask(number);
    };
    time_out(&mut trips, 0);
    time_out(&mut trips, 100);
    exchange(&mut trips, 200, &[2]);
    time_out(&mut trips, 300);
    time_out(&mut trips, 400);
    assert!(!trips.is_skipped(coordinator(), at(440)));
    time_out(&mut trips, 500);
    assert!(trips.is_skipped(coordinator(), at(1_039)));
    assert!(!trips.is_skipped(coordinator(), at(1_040)));
    // One that still does not answer is skipped again at once.
    time_out(&mut trips, 1_100);
    assert!(trips.is_skipped(coordinator(), at(1_141)));
    // A late answer ends this, also one that is older than all that is kept.
    trips.prune(at(5_000));
    time_out(&mut trips, 5_000);
    assert!(trips.is_skipped(coordinator(), at(5_050)));
    trips.record_answer(0, coordinator(), at(5_060));
    assert!(!trips.is_skipped(coordinator(), at(5_061)));
}
