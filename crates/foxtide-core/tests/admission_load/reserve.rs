//! Urgent requests of 86 ms with an objective of 250 ms that share three slots with less urgent
//! ones of 430 ms.

use crate::support::{
    ADMITTED_MAX,
    SLOTS,
    at,
    is_granted,
    ms,
    request,
    serve,
    ticket, //
};
use foxtide_core::admission::{
    AddressedAnswer,
    Answer,
    Coordinator,
    Ending,
    SlotRequest, //
};
use foxtide_core::routing::RequestKind;
use std::collections::{
    BTreeMap,
    VecDeque, //
};

const URGENT_MS: u64 = 86;
const OBJECTIVE_MS: u64 = 250;
const LONG_MS: u64 = 430;

fn long(number: u64) -> SlotRequest {
    request(number, "stock")
}

fn urgent(number: u64) -> SlotRequest {
    SlotRequest {
        priority: 0,
        objective_left: ms(OBJECTIVE_MS),
        time_left: ms(1_000),
        ..request(number, "receipt")
    }
}

/// A coordinator that knows both service times and whose upstream is idle at 20 s, long after the
/// last urgent request.
fn trained_coordinator() -> Coordinator {
    let mut coordinator = Coordinator::default();
    serve(&mut coordinator, &urgent(1), 1_000, URGENT_MS);
    serve(&mut coordinator, &long(2), 2_000, LONG_MS);
    coordinator
}

/// Serves an urgent request at 20 s, so that a slot is reserved.
fn serve_urgent(coordinator: &mut Coordinator) {
    serve(coordinator, &urgent(9), 20_000, URGENT_MS);
}

/// Asks for long requests; returns how many are granted.
fn long_grants(coordinator: &mut Coordinator, now_ms: u64) -> u64 {
    let asked = (100..110).map(|number| {
        let answers = coordinator.ask(&long(number), SLOTS, at(now_ms));
        u64::from(is_granted(&answers, number))
    });
    asked.sum()
}

/// An upstream that serves requests in the order of their grants, beside its coordinator.
#[derive(Default)]
struct Load {
    coordinator: Coordinator,
    arrived_ms: BTreeMap<u64, u64>,
    running: Vec<(u64, u64)>,
    queue: VecDeque<u64>,
    urgent_ms: Vec<u64>,
    long_served: usize,
}

/// Urgent requests have odd numbers, long ones even numbers.
fn service_ms(number: u64) -> u64 {
    if number % 2 == 1 { URGENT_MS } else { LONG_MS }
}

impl Load {
    fn arrive(&mut self, request: &SlotRequest, now_ms: u64) {
        self.arrived_ms.insert(request.ticket.number, now_ms);
        let answers = self.coordinator.ask(request, SLOTS, at(now_ms));
        self.begin(&answers, now_ms);
    }

    fn begin(&mut self, answers: &[AddressedAnswer], now_ms: u64) {
        for (ticket, answer) in answers {
            if *answer == Answer::Granted {
                self.queue.push_back(ticket.number);
            }
        }
        while self.running.len() < SLOTS as usize {
            let Some(number) = self.queue.pop_front() else {
                break;
            };
            self.running.push((number, now_ms + service_ms(number)));
        }
    }

    fn complete(&mut self, now_ms: u64) {
        let done = self
            .running
            .extract_if(.., |(_, ends_ms)| *ends_ms == now_ms);
        for (number, _) in done.collect::<Vec<_>>() {
            if number % 2 == 1 {
                self.urgent_ms.push(now_ms - self.arrived_ms[&number]);
            } else {
                self.long_served += 1;
            }
            let answers = self
                .coordinator
                .end(ticket(number), Ending::Served, at(now_ms));
            self.begin(&answers, now_ms);
        }
    }

    fn share_in_time(&self) -> f64 {
        let in_time = self
            .urgent_ms
            .iter()
            .filter(|time_ms| **time_ms <= OBJECTIVE_MS);
        in_time.count() as f64 / self.urgent_ms.len() as f64
    }
}

/// Runs a minute of long requests for 1.2 times the slots and three urgent requests per second,
/// whose objective the coordinator takes to be `objective_ms`.
fn run(objective_ms: u64) -> Load {
    let mut load = Load::default();
    for now_ms in 1..60_000 {
        load.complete(now_ms);
        if now_ms % 119 == 0 {
            load.arrive(&long(2 * now_ms), now_ms);
        }
        // Not in step with the long requests.
        if now_ms % 331 == 0 {
            let request = SlotRequest {
                objective_left: ms(objective_ms),
                ..urgent(2 * now_ms + 1)
            };
            load.arrive(&request, now_ms);
        }
    }
    load
}

/// Guards against urgent requests that are late because all slots are taken by long work.
#[test]
fn verify_urgent_requests_are_in_time_beside_long_work() {
    let with = run(OBJECTIVE_MS);
    // Against an objective of 5 s, the wait for a slot is short, and none is reserved.
    let without = run(5_000);
    assert!(
        with.share_in_time() > 0.98,
        "in time {:.3} of {}, without reserve {:.3}; long {} and {}",
        with.share_in_time(),
        with.urgent_ms.len(),
        without.share_in_time(),
        with.long_served,
        without.long_served
    );
    assert!(
        without.share_in_time() < 0.8,
        "{:.3}",
        without.share_in_time()
    );
    // Two of three slots stay for long work.
    assert!(with.long_served * 10 >= without.long_served * 6);
}

/// Guards against slots that idle without urgent demand.
#[test]
fn verify_long_work_uses_all_slots_when_nobody_is_urgent() {
    let mut coordinator = trained_coordinator();
    assert_eq!(coordinator.reserved_slots(at(20_000)), 0);
    assert_eq!(long_grants(&mut coordinator, 20_000), ADMITTED_MAX);
    // Five seconds after the last urgent request, nothing is reserved any longer.
    let mut coordinator = trained_coordinator();
    serve_urgent(&mut coordinator);
    assert_eq!(long_grants(&mut coordinator, 25_100), ADMITTED_MAX);
}

/// Guards against long work in the last slot or in the place beyond the slots, where it delays
/// the next urgent request.
#[test]
fn verify_a_slot_is_reserved_after_an_urgent_request() {
    let mut coordinator = trained_coordinator();
    serve_urgent(&mut coordinator);
    assert_eq!(long_grants(&mut coordinator, 21_000), 2);
    assert_eq!(coordinator.reserved_slots(at(21_000)), 1);
    for number in [11, 12] {
        let answers = coordinator.ask(&urgent(number), SLOTS, at(21_000));
        assert!(is_granted(&answers, number));
    }
}

/// Guards against urgent requests of other regions that no slot is reserved for, since they are
/// notified and do not ask.
#[test]
fn verify_notified_requests_count_as_demand() {
    let mut coordinator = trained_coordinator();
    coordinator.record_ungranted(&urgent(9), SLOTS, at(20_000));
    coordinator.end(ticket(9), Ending::Served, at(20_100));
    assert_eq!(long_grants(&mut coordinator, 21_000), 2);
}

/// Guards against long work that never runs beside much urgent demand.
#[test]
fn verify_one_slot_is_never_reserved() {
    for slots in [1, SLOTS] {
        let mut coordinator = trained_coordinator();
        for number in 1_000..1_400 {
            coordinator.record_ungranted(&urgent(number), slots, at(20_000));
            coordinator.end(ticket(number), Ending::Served, at(20_000));
        }
        let granted = (100..110).filter(|&number| {
            let answers = coordinator.ask(&long(number), slots, at(20_010));
            is_granted(&answers, number)
        });
        assert_eq!(granted.count(), 1, "{slots} slots");
    }
}

/// Guards against slots that are reserved where urgent requests wait only briefly.
#[test]
fn verify_short_work_of_lower_urgency_uses_all_slots() {
    let mut coordinator = trained_coordinator();
    let short = |number| SlotRequest {
        kind: RequestKind::of_route("price"),
        ..long(number)
    };
    serve(&mut coordinator, &short(3), 10_000, 100);
    serve_urgent(&mut coordinator);
    for number in 100..104 {
        let answers = coordinator.ask(&short(number), SLOTS, at(21_000));
        assert!(is_granted(&answers, number));
    }
}

/// Guards against a new coordinator that reserves slots before it knows the work.
#[test]
fn verify_a_new_coordinator_grants_as_before() {
    let mut coordinator = Coordinator::default();
    let answers = coordinator.ask(&urgent(1), SLOTS, at(20_000));
    assert!(is_granted(&answers, 1));
    assert_eq!(coordinator.reserved_slots(at(20_000)), 0);
    assert_eq!(long_grants(&mut coordinator, 20_000), 3);
}

/// Guards against long work that is locked out for ever, or takes the reserved slot, when its
/// releases are lost.
#[test]
fn verify_lost_releases_of_long_work_expire_beside_a_reserved_slot() {
    let mut coordinator = trained_coordinator();
    serve_urgent(&mut coordinator);
    assert_eq!(long_grants(&mut coordinator, 21_000), 2);
    let expired_ms = 21_000 + 4 * LONG_MS;
    let answers = coordinator.ask(&urgent(11), SLOTS, at(expired_ms - 1));
    assert_eq!(answers, [(ticket(11), Answer::Granted)]);
    // Two of those that wait take the slots of the lost ones.
    let answers = coordinator.end(ticket(11), Ending::Served, at(expired_ms));
    let granted = answers.iter().filter(|(_, one)| *one == Answer::Granted);
    assert_eq!(granted.count(), 2);
}
