//! Admission to upstreams on temporarily slow machines.

use foxtide_core::admission::{
    Answer,
    Coordinator,
    EndReport,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::placement::{
    ObjectKey,
    Slowness, //
};
use foxtide_core::routing::RequestKind;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use std::time::Duration;

const SLOTS: u32 = 3;

/// The service time of a repeated access on a machine at its usual speed.
const USUAL_MS: u64 = 240;

/// The shortest latency objective at which a request waits for an upstream whose slots are taken, if
/// all are as fast as usual: half of it is the service time and a third for the request itself.
const OBJECTIVE_MS: u64 = 640;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn ticket(number: u64) -> Ticket {
    Ticket {
        requester: "127.0.0.1:7620".parse().unwrap(),
        number,
    }
}

fn request(number: u64, born_at: Option<WallTime>) -> SlotRequest {
    SlotRequest {
        ticket: ticket(number),
        upstream: "i-1".parse().unwrap(),
        born_at,
        kind: RequestKind::default(),
        organisation: None,
        organisation_rate: None,
        object: Some(ObjectKey::from_hash(1)),
        priority: 1,
        objective_left: Duration::from_secs(10),
        time_left: Duration::from_secs(60),
        patience: Patience::UntilDeadline,
        limit: None,
    }
}

fn end(ending: Ending, percent: u32) -> EndReport {
    let slowness = Slowness::from_percent(percent.into()).unwrap();
    EndReport {
        ending,
        slowness: Some(slowness),
    }
}

/// Serves requests for the object one after the other, all with one figure.
fn serve(coordinator: &mut Coordinator, born_ms: u64, from_ms: u64, took_ms: u64, percent: u32) {
    for number in 0..60 {
        let began_ms = from_ms + number * 1_000;
        let request = request(1_000 + number, Some(WallTime::from_ms(born_ms)));
        coordinator.ask(&request, SLOTS, at(began_ms));
        let end = end(Ending::Served, percent);
        coordinator.end(request.ticket, end, at(began_ms + took_ms));
    }
}

/// Takes all slots, and reports a figure with the end of one more request.
fn fill(coordinator: &mut Coordinator, born_ms: u64, now_ms: u64, percent: u32) {
    for number in 0..=u64::from(SLOTS) {
        let request = request(number, Some(WallTime::from_ms(born_ms)));
        coordinator.ask(&request, SLOTS, at(now_ms));
    }
    coordinator.end(ticket(0), end(Ending::NotServed, percent), at(now_ms));
    let last = request(9, Some(WallTime::from_ms(born_ms)));
    coordinator.ask(&last, SLOTS, at(now_ms));
}

/// Returns the shortest latency objective at which a request waits rather than tries its second
/// choice.
fn objective_ms(coordinator: &mut Coordinator, born_ms: u64, now_ms: u64) -> u64 {
    let waits = |objective_ms: &u64| {
        let request = SlotRequest {
            objective_left: Duration::from_millis(*objective_ms),
            patience: Patience::WithinObjective,
            ..request(500, Some(WallTime::from_ms(born_ms)))
        };
        let answers = coordinator.ask(&request, SLOTS, at(now_ms));
        coordinator.end(request.ticket, Ending::NotServed, at(now_ms));
        answers == [(request.ticket, Answer::Waiting)]
    };
    (0..10_000).step_by(20).find(waits).unwrap()
}

/// A coordinator of an upstream that has served at its usual speed until 60 s.
fn usual_coordinator() -> Coordinator {
    let mut coordinator = Coordinator::default();
    serve(&mut coordinator, 1, 0, USUAL_MS, 100);
    coordinator
}

/// Requests must not wait for an upstream that is slow for 600 ms as if it were usual, nor leave it
/// after that.
#[test]
fn verify_requests_prefer_their_second_choice_while_the_first_is_slow() {
    let mut coordinator = usual_coordinator();
    fill(&mut coordinator, 1, 70_000, 100);
    assert_eq!(objective_ms(&mut coordinator, 1, 70_010), OBJECTIVE_MS);
    coordinator.end(ticket(1), end(Ending::NotServed, 250), at(70_100));
    coordinator.ask(&request(1, Some(WallTime::from_ms(1))), SLOTS, at(70_100));
    for now_ms in [70_100, 70_400, 70_699] {
        let objective_ms = objective_ms(&mut coordinator, 1, now_ms);
        assert_eq!(objective_ms, OBJECTIVE_MS * 5 / 2, "at {now_ms} ms");
    }
    assert_eq!(objective_ms(&mut coordinator, 1, 70_700), OBJECTIVE_MS);
}

/// A newer figure must replace an older one at once.
#[test]
fn verify_the_latest_figure_counts() {
    let mut coordinator = usual_coordinator();
    fill(&mut coordinator, 1, 70_000, 250);
    for percent in [100, 200, 50] {
        coordinator.end(ticket(1), end(Ending::NotServed, percent), at(70_050));
        coordinator.ask(&request(1, Some(WallTime::from_ms(1))), SLOTS, at(70_050));
        let objective_ms = objective_ms(&mut coordinator, 1, 70_060);
        assert_eq!(objective_ms, OBJECTIVE_MS * u64::from(percent) / 100);
    }
}

/// An upstream that reports false figures must neither attract nor lose requests without bound.
#[test]
fn verify_false_figures_scale_by_a_half_to_four() {
    for (percent, scaled_ms) in [(1, OBJECTIVE_MS / 2), (100_000, OBJECTIVE_MS * 4)] {
        let mut coordinator = usual_coordinator();
        fill(&mut coordinator, 1, 70_000, percent);
        assert_eq!(objective_ms(&mut coordinator, 1, 70_010), scaled_ms);
        // A figure that is always false loses its effect.
        serve(&mut coordinator, 1, 80_000, USUAL_MS, percent);
        fill(&mut coordinator, 1, 150_000, percent);
        let objective_ms = objective_ms(&mut coordinator, 1, 150_010);
        assert!(objective_ms.abs_diff(OBJECTIVE_MS) <= 20, "{objective_ms}");
    }
}

/// Requests served slowly must not raise the mean service time of the machine's usual speed.
#[test]
fn verify_slow_requests_leave_the_mean_of_the_usual_speed() {
    let mut coordinator = usual_coordinator();
    serve(&mut coordinator, 1, 70_000, USUAL_MS * 5 / 2, 250);
    fill(&mut coordinator, 1, 140_000, 100);
    assert_eq!(objective_ms(&mut coordinator, 1, 140_010), OBJECTIVE_MS);
}

/// The mean must hold, too, if the machine is slow for a part of a request only.
#[test]
fn verify_partly_slow_requests_leave_the_mean_of_the_usual_speed() {
    let mut coordinator = usual_coordinator();
    for number in 0..60 {
        let began_ms = 70_000 + number * 3_000;
        // Slow from 100 to 400 ms, which makes 240 ms of work last 420 ms.
        for (probe, heard_ms, percent) in [(1, 50, 100), (2, 150, 250), (3, 350, 250)] {
            coordinator.ask(&request(probe, None), SLOTS, at(began_ms));
            let end = end(Ending::NotServed, percent);
            coordinator.end(ticket(probe), end, at(began_ms + heard_ms));
        }
        coordinator.ask(&request(9, None), SLOTS, at(began_ms));
        let end = end(Ending::Served, 100);
        coordinator.end(ticket(9), end, at(began_ms + 420));
    }
    fill(&mut coordinator, 1, 260_000, 100);
    let objective_ms = objective_ms(&mut coordinator, 1, 260_010);
    assert!(objective_ms.abs_diff(OBJECTIVE_MS) <= 60, "{objective_ms}");
}

/// The end of a request at an earlier incarnation may arrive after the restart; it says nothing
/// about the machine of the next.
#[test]
fn verify_the_figure_of_an_earlier_incarnation_does_not_count() {
    let mut coordinator = usual_coordinator();
    let earlier = request(77, Some(WallTime::from_ms(1)));
    coordinator.ask(&earlier, SLOTS, at(70_000));
    serve(&mut coordinator, 2, 80_000, USUAL_MS, 100);
    fill(&mut coordinator, 2, 150_000, 100);
    coordinator.end(earlier.ticket, end(Ending::Served, 400), at(150_010));
    assert_eq!(objective_ms(&mut coordinator, 2, 150_020), OBJECTIVE_MS);
    // Nor does the figure that the earlier incarnation left.
    fill(&mut coordinator, 2, 160_000, 400);
    serve(&mut coordinator, 3, 160_100, USUAL_MS, 100);
    fill(&mut coordinator, 3, 230_000, 100);
    assert_eq!(objective_ms(&mut coordinator, 3, 230_020), OBJECTIVE_MS);
}
