//! Coordinators that answer late or not at all.

use crate::support::{
    Behaviour,
    Caller,
    FakeCoordinator,
    FakeUpstream,
    Fleet,
    Instance,
    eventually, //
};
use foxtide_gateway::AdmissionOptions;
use std::time::Duration;

/// Long enough that answers are in time on a busy machine.
const ADMISSION: AdmissionOptions = AdmissionOptions {
    answer_time: Duration::from_millis(400),
    silent_time: Duration::from_secs(60),
};

fn fleet() -> (Fleet, FakeUpstream, FakeCoordinator, Instance) {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let coordinator = FakeCoordinator::join(&fleet, "i-1", "edge-1");
    let instance = fleet.instance_with("edge-1", "khomas-a", |options| {
        options.admission = ADMISSION;
    });
    instance.wait_for_members(2);
    (fleet, upstream, coordinator, instance)
}

fn send(instance: &Instance, request: &str) -> Caller {
    let mut caller = Caller::connect(instance.address());
    let lines = format!("host: a.example\r\nrequest: {request}\r\nobject: o\r\n\r\n");
    caller.send(&format!("GET /safe/ HTTP/1.1\r\n{lines}"));
    caller
}

/// Guards against slots that stay taken until they expire: the grant arrives after its request
/// went on, and the end of the request was lost or overtook it.
#[test]
fn verify_a_grant_that_nobody_waits_for_is_returned() {
    let (_fleet, _upstream, coordinator, instance) = fleet();
    let mut caller = send(&instance, "r-1");
    let late = coordinator.ask_after(0);
    assert_eq!(caller.read().head.status, 200);
    eventually("the place is given up", || {
        coordinator.ends_of(late) == [false]
    });
    for (is_granted, ends) in [(true, 2), (false, 3)] {
        coordinator.answer(late, is_granted);
        eventually("the slot is returned", || {
            coordinator.ends_of(late) == vec![false; ends]
        });
    }
}

/// Guards against a slot that is returned while its request uses it, since its grant arrived twice.
#[test]
fn verify_a_repeated_grant_does_not_end_its_request() {
    let (_fleet, upstream, coordinator, instance) = fleet();
    upstream.next(Behaviour::Respond(200, "fine", Duration::from_millis(100)));
    let mut caller = send(&instance, "r-1");
    let number = coordinator.ask_after(0);
    for _ in 0..8 {
        coordinator.answer(number, true);
    }
    assert_eq!(caller.read().head.status, 200);
    eventually("the request ends", || {
        !coordinator.ends_of(number).is_empty()
    });
    assert!(coordinator.ends_of(number)[0]);
}

/// Guards against half a second without slots after one late answer, and against a coordinator
/// that stays skipped although it answers.
#[test]
fn verify_a_coordinator_is_skipped_after_three_unanswered_asks_until_it_answers() {
    let (_fleet, _upstream, coordinator, instance) = fleet();
    for count in 0..3 {
        let mut caller = send(&instance, &format!("r-{count}"));
        coordinator.ask_after(count);
        assert_eq!(caller.read().head.status, 200);
    }
    assert_eq!(send(&instance, "skipped").read().head.status, 200);
    let first = coordinator.ask_after(0);
    coordinator.answer(first, true);
    eventually("the late grant is returned", || {
        coordinator.ends_of(first).len() == 2
    });
    assert_eq!(coordinator.asks().len(), 3);
    let mut caller = send(&instance, "asked");
    coordinator.answer(coordinator.ask_after(3), true);
    assert_eq!(caller.read().head.status, 200);
}
