//! Service times of the kinds of requests that share an upstream.

use crate::support::{
    at,
    is_rejected,
    ms,
    request,
    serve,
    ticket, //
};
use foxtide_core::admission::{
    Answer,
    Coordinator,
    Ending,
    ObjectAccess,
    ServiceTimes,
    SlotRequest, //
};
use foxtide_core::routing::RequestKind;

fn within(time_left_ms: u64, request: SlotRequest) -> SlotRequest {
    SlotRequest {
        time_left: ms(time_left_ms),
        ..request
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
    times.record(stock, ObjectAccess::First, ms(1_440));
    times.record(stock, ObjectAccess::Repeated, ms(430));
    let expected_ms = |times: &ServiceTimes, kind, access| {
        let expected = times.expected(kind, access).unwrap();
        expected.as_millis()
    };
    assert_eq!(expected_ms(&times, receipt, ObjectAccess::First), 1_440);
    times.record(receipt, ObjectAccess::First, ms(288));
    assert_eq!(expected_ms(&times, receipt, ObjectAccess::First), 288);
    assert_eq!(expected_ms(&times, receipt, ObjectAccess::Repeated), 430);
    assert_eq!(expected_ms(&times, stock, ObjectAccess::First), 1_440);
}

/// Guards against rejections of short requests that wait behind short ones at an upstream that
/// serves long ones as well.
#[test]
fn verify_the_forecast_uses_the_service_time_of_each_kind() {
    let mut coordinator = Coordinator::default();
    for (number, route, service_ms) in [(1, "stock", 1_440), (2, "receipt", 100)] {
        serve(&mut coordinator, &request(number, route), 0, service_ms);
    }
    // One is served and one waits at the upstream, until 5.2 s.
    for number in [3, 4] {
        coordinator.ask(&request(number, "receipt"), 1, at(5_000));
    }
    let answers = coordinator.ask(&within(310, request(5, "receipt")), 1, at(5_000));
    assert_eq!(answers, [(ticket(5), Answer::Waiting)]);
    let answers = coordinator.ask(&within(1_500, request(6, "stock")), 1, at(5_000));
    assert!(answers.len() == 1 && is_rejected(&answers[0]));
}

/// Guards against service times that include the wait at the upstream of the request beyond the
/// slots.
#[test]
fn verify_the_wait_at_the_upstream_is_no_service_time() {
    let mut coordinator = Coordinator::default();
    for number in [1, 2] {
        coordinator.ask(&request(number, "receipt"), 1, at(0));
    }
    coordinator.end(ticket(1), Ending::Served, at(100));
    coordinator.end(ticket(2), Ending::Served, at(200));
    for number in [3, 4] {
        coordinator.ask(&request(number, "receipt"), 1, at(1_000));
    }
    let answers = coordinator.ask(&within(300, request(5, "receipt")), 1, at(1_000));
    assert_eq!(answers, [(ticket(5), Answer::Waiting)]);
    let answers = coordinator.ask(&within(399, request(6, "receipt")), 1, at(1_000));
    assert!(answers.len() == 1 && is_rejected(&answers[0]));
}
