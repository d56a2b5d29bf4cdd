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

/// Returns the shortest latency objective, in steps of 20 ms, at which a request waits that is
/// expected to begin after `wait_ms` at an upstream with this factor. Half of the objective has to
/// cover the wait and the request's own service.
fn objective_after(wait_ms: u64, factor: f64) -> u64 {
    let served_in_ms = wait_ms + (USUAL_MS as f64 * factor) as u64;
    (2 * served_in_ms).next_multiple_of(20)
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

/// A coordinator and the start time of its upstream.
#[derive(Default)]
struct Upstream {
    coordinator: Coordinator,
    born_ms: u64,
}

impl Upstream {
    /// An upstream that has served at its usual speed until 60 s.
    fn usual() -> Self {
        let mut upstream = Self::default();
        upstream.serve(0, USUAL_MS, 100);
        upstream
    }

    fn request(&self, number: u64) -> SlotRequest {
        SlotRequest {
            ticket: Ticket {
                requester: "127.0.0.1:7620".parse().unwrap(),
                number,
            },
            upstream: "i-1".parse().unwrap(),
            born_at: Some(WallTime::from_ms(self.born_ms)),
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

    fn ask(&mut self, number: u64, now_ms: u64) {
        let request = self.request(number);
        self.coordinator.ask(&request, SLOTS, at(now_ms));
    }

    fn end(&mut self, number: u64, ending: Ending, percent: u32, now_ms: u64) {
        let slowness = Slowness::from_percent(percent.into()).ok();
        let end = EndReport { ending, slowness };
        let ticket = self.request(number).ticket;
        self.coordinator.end(ticket, end, at(now_ms));
    }

    /// Serves requests for the object one after the other, all with one figure.
    fn serve(&mut self, from_ms: u64, took_ms: u64, percent: u32) {
        for began_ms in (from_ms..from_ms + 60_000).step_by(1_000) {
            self.ask(1, began_ms);
            self.end(1, Ending::Served, percent, began_ms + took_ms);
        }
    }

    /// Takes all slots after the end of a request that reports a figure.
    fn fill(&mut self, now_ms: u64, percent: u32) {
        self.ask(0, now_ms);
        self.end(0, Ending::NotServed, percent, now_ms);
        (0..=u64::from(SLOTS)).for_each(|number| self.ask(number, now_ms));
    }

    /// Returns the shortest latency objective at which a request waits rather than tries its second
    /// choice.
    fn objective_ms(&mut self, now_ms: u64) -> u64 {
        let waits = |objective_ms: &u64| {
            let request = SlotRequest {
                objective_left: Duration::from_millis(*objective_ms),
                patience: Patience::WithinObjective,
                ..self.request(500)
            };
            let answers = self.coordinator.ask(&request, SLOTS, at(now_ms));
            self.coordinator
                .end(request.ticket, Ending::NotServed, at(now_ms));
            answers == [(request.ticket, Answer::Waiting)]
        };
        (0..10_000).step_by(20).find(waits).unwrap()
    }
}

/// Requests must not wait for an upstream that is slow for 600 ms as if it were usual, nor leave it
/// after that. The latest figure counts.
#[test]
fn verify_requests_prefer_their_second_choice_while_the_first_is_slow() {
    let mut upstream = Upstream::usual();
    upstream.fill(70_000, 200);
    // 480 ms of the running requests less the 10 ms for which they have run.
    assert_eq!(upstream.objective_ms(70_010), objective_after(470, 2.0));
    upstream.end(1, Ending::NotServed, 250, 70_100);
    upstream.ask(1, 70_100);
    for (now_ms, wait_ms) in [(70_100, 500), (70_400, 200), (70_699, 0)] {
        let objective_ms = upstream.objective_ms(now_ms);
        assert_eq!(objective_ms, objective_after(wait_ms, 2.5));
    }
    assert_eq!(upstream.objective_ms(70_700), objective_after(0, 1.0));
}

/// An upstream that reports false figures must neither attract nor lose requests without bound.
#[test]
fn verify_false_figures_scale_by_a_half_to_four() {
    let usual_ms = objective_after(USUAL_MS - 10, 1.0);
    for (percent, scaled_ms) in [
        (1, objective_after(USUAL_MS / 2 - 10, 0.5)),
        (100_000, objective_after(USUAL_MS * 4 - 10, 4.0)),
    ] {
        let mut upstream = Upstream::usual();
        upstream.fill(70_000, percent);
        assert_eq!(upstream.objective_ms(70_010), scaled_ms);
        // A figure that is always false loses its effect.
        upstream.serve(80_000, USUAL_MS, percent);
        upstream.fill(150_000, percent);
        let objective_ms = upstream.objective_ms(150_010);
        assert!(objective_ms.abs_diff(usual_ms) <= 20, "{objective_ms}");
    }
}

/// Requests that a slow machine served, for a part of their time, must not raise the mean service
/// time of its usual speed.
#[test]
fn verify_slow_requests_leave_the_mean_of_the_usual_speed() {
    let mut upstream = Upstream::usual();
    for began_ms in (70_000..250_000).step_by(3_000) {
        // Request 4 holds a slot from the beginning; the last one has the place beyond the slots.
        for number in [4, 1, 2, 3] {
            upstream.ask(number, began_ms);
        }
        // Slow from 100 to 400 ms, which makes 240 ms of work last 420 ms.
        for (number, heard_ms, percent) in [(1, 50, 100), (2, 150, 250), (3, 350, 250)] {
            upstream.end(number, Ending::NotServed, percent, began_ms + heard_ms);
        }
        upstream.end(4, Ending::Served, 100, began_ms + 420);
    }
    upstream.fill(260_000, 100);
    let objective_ms = upstream.objective_ms(260_010);
    let usual_ms = objective_after(USUAL_MS - 10, 1.0);
    assert!(objective_ms.abs_diff(usual_ms) <= 60, "{objective_ms}");
}

/// The end of a request at an earlier incarnation may arrive after the restart; it says nothing
/// about the machine of the next, nor does a figure that was heard before.
#[test]
fn verify_the_figure_of_an_earlier_incarnation_does_not_count() {
    let mut upstream = Upstream::usual();
    upstream.fill(70_000, 400);
    upstream.ask(77, 70_000);
    upstream.born_ms = 1;
    upstream.serve(70_001, USUAL_MS, 100);
    upstream.fill(150_000, 100);
    upstream.end(77, Ending::Served, 400, 150_010);
    let usual_ms = objective_after(USUAL_MS - 20, 1.0);
    assert_eq!(upstream.objective_ms(150_020), usual_ms);
}
