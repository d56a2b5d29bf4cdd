//! Calls between instances and their errors.

use crate::fleet::{
    start_fleet,
    state_of,
    wait_until, //
};
use foxtide_core::membership::MemberState;
use foxtide_mesh::{
    CallError,
    Faults, //
};
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(20);

#[test]
fn verify_a_call_is_answered() {
    let fleet = start_fleet(2, &Faults::default());
    let calls = fleet[1].incoming_calls();
    let target = fleet[1].own().instance;
    let responder = smol::spawn(async move {
        let call = calls.recv().await.unwrap();
        assert_eq!(call.from.as_str(), "i0");
        let mut bytes = call.bytes.clone();
        bytes.reverse();
        call.respond(bytes);
    });
    let response = smol::block_on(fleet[0].call(&target, vec![1, 2, 3], DEADLINE));
    assert_eq!(response.unwrap(), [3, 2, 1]);
    smol::block_on(responder);
}

#[test]
fn verify_a_call_that_was_dropped_is_unknown() {
    let fleet = start_fleet(2, &Faults::default());
    let calls = fleet[1].incoming_calls();
    let responder = smol::spawn(async move { drop(calls.recv().await) });
    let target = fleet[1].own().instance;
    let response = smol::block_on(fleet[0].call(&target, vec![1], DEADLINE));
    assert!(matches!(response, Err(CallError::Unknown { .. })));
    smol::block_on(responder);
}

#[test]
fn verify_a_call_past_its_deadline_is_unknown() {
    let fleet = start_fleet(2, &Faults::default());
    let target = fleet[1].own().instance;
    let deadline = Duration::from_millis(50);
    let response = smol::block_on(fleet[0].call(&target, vec![1], deadline));
    assert!(matches!(response, Err(CallError::Unknown { .. })));
}

#[test]
fn verify_a_call_to_a_stopped_instance_is_not_sent() {
    let fleet = start_fleet(2, &Faults::default());
    fleet[1].stop();
    wait_until("the stopped instance is dead", || {
        state_of(&fleet[0], &fleet[1]) == Some(MemberState::Dead)
    });
    let target = fleet[1].own().instance;
    let response = smol::block_on(fleet[0].call(&target, vec![1], DEADLINE));
    assert!(matches!(response, Err(CallError::NotSent { .. })));
    let unknown = "unknown".parse().unwrap();
    let response = smol::block_on(fleet[0].call(&unknown, vec![1], DEADLINE));
    assert!(matches!(response, Err(CallError::NotSent { .. })));
}
