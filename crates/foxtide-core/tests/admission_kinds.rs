//! Service times of the kinds of requests that share an upstream.

use foxtide_core::admission::{
    Answer,
    Coordinator,
    Ending,
    ObjectAccess,
    Patience,
    ServiceTimes,
    SlotRequest,
    Ticket, //
};
use foxtide_core::routing::RequestKind;
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn ticket(number: u64) -> Ticket {
    Ticket {
        requester: "127.0.0.1:7620".parse().unwrap(),
        number,
    }
}

/// A request without an object.
fn request(number: u64, route: &str, time_left_ms: u64) -> SlotRequest {
    SlotRequest {
        ticket: ticket(number),
        upstream: "i-1".parse().unwrap(),
        born_at: None,
        kind: RequestKind::of_route(route),
        organisation: None,
        organisation_rate: None,
        object: None,
        priority: 1,
        objective_left: Duration::from_millis(time_left_ms),
        time_left: Duration::from_millis(time_left_ms),
        patience: Patience::UntilDeadline,
        limit: None,
    }
}

/// Guards against a forecast for short requests from the mean of short and long ones.
#[test]
fn verify_service_times_are_those_of_the_kind_and_of_all_kinds_before_its_first_sample() {
    let (stock, receipt) = (
        RequestKind::of_route("stock"),
        RequestKind::of_route("receipt"),
    );
    let mut times = ServiceTimes::default();
    assert_eq!(times.expected(stock, ObjectAccess::First), None);
    times.record(stock, ObjectAccess::First, Duration::from_millis(1_440));
    times.record(stock, ObjectAccess::Repeated, Duration::from_millis(430));
    let expected_ms = |times: &ServiceTimes, kind, access| {
        let expected = times.expected(kind, access).unwrap();
        expected.as_millis()
    };
    assert_eq!(expected_ms(&times, receipt, ObjectAccess::First), 1_440);
    times.record(receipt, ObjectAccess::First, Duration::from_millis(288));
    assert_eq!(expected_ms(&times, receipt, ObjectAccess::First), 288);
    assert_eq!(expected_ms(&times, receipt, ObjectAccess::Repeated), 430);
    assert_eq!(expected_ms(&times, stock, ObjectAccess::First), 1_440);
}

/// Guards against rejections of short requests that wait behind short ones at an upstream that
/// serves long ones as well.
#[test]
fn verify_the_forecast_uses_the_service_time_of_each_kind() {
    let mut coordinator = Coordinator::default();
    for (number, route, ms) in [(1, "stock", 1_440), (2, "receipt", 100)] {
        coordinator.ask(&request(number, route, 5_000), 1, at(0));
        coordinator.end(ticket(number), Ending::Served, at(ms));
    }
    // One is served and one waits at the upstream, until 5.2 s.
    for number in [3, 4] {
        coordinator.ask(&request(number, "receipt", 5_000), 1, at(5_000));
    }
    let answers = coordinator.ask(&request(5, "receipt", 310), 1, at(5_000));
    assert_eq!(answers, [(ticket(5), Answer::Waiting)]);
    let answers = coordinator.ask(&request(6, "stock", 1_500), 1, at(5_000));
    assert!(matches!(answers[..], [(_, Answer::Rejected { .. })]));
}

/// Guards against service times that include the wait at the upstream of the request beyond the
/// slots.
#[test]
fn verify_the_wait_at_the_upstream_is_no_service_time() {
    let mut coordinator = Coordinator::default();
    for number in [1, 2] {
        coordinator.ask(&request(number, "receipt", 5_000), 1, at(0));
    }
    coordinator.end(ticket(1), Ending::Served, at(100));
    coordinator.end(ticket(2), Ending::Served, at(200));
    for number in [3, 4] {
        coordinator.ask(&request(number, "receipt", 5_000), 1, at(1_000));
    }
    let answers = coordinator.ask(&request(5, "receipt", 300), 1, at(1_000));
    assert_eq!(answers, [(ticket(5), Answer::Waiting)]);
    let answers = coordinator.ask(&request(6, "receipt", 399), 1, at(1_000));
    assert!(matches!(answers[..], [(_, Answer::Rejected { .. })]));
}
