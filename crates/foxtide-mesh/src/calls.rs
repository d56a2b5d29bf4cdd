//! Calls from instance to instance on behalf of the program.

use crate::errors::{
    CallError,
    Error, //
};
use crate::shared::Shared;
use crate::streams;
use crate::wire::{
    CallRequest,
    CallResponse,
    request,
    response, //
};
use foxtide_core::ids::InstanceId;
use smol::channel::Sender;
use std::time::Duration;

/// A peer's call, to be answered once.
#[derive(Debug)]
pub struct IncomingCall {
    /// Who calls.
    pub from: InstanceId,
    /// What it sent.
    pub bytes: Vec<u8>,
    response: Sender<Vec<u8>>,
}

impl IncomingCall {
    /// Answers the call. A call that is dropped instead is `unknown` to its
    /// caller.
    pub fn respond(self, bytes: Vec<u8>) {
        // Where the caller is gone nobody waits for the answer.
        let _ = self.response.try_send(bytes);
    }
}

/// Calls a peer.
pub(crate) async fn call(
    shared: &Shared,
    target: &InstanceId,
    bytes: Vec<u8>,
    deadline: Duration,
) -> Result<Vec<u8>, CallError> {
    let member = shared.state.lock().membership.member(target).cloned();
    let member = member.ok_or_else(|| CallError::not_sent(target, "no such member"))?;
    let request = request::Body::Call(CallRequest {
        target: target.to_string(),
        bytes,
    });
    match streams::send_request(shared, member.peer_address, request, deadline).await {
        Ok(response::Body::Call(response)) => read_response(target, response),
        Ok(_) => Err(CallError::unknown(target, "not the answer to a call")),
        Err(error @ Error::Connect { .. }) => Err(CallError::not_sent(target, error)),
        Err(error) => Err(CallError::unknown(target, error)),
    }
}

fn read_response(target: &InstanceId, response: CallResponse) -> Result<Vec<u8>, CallError> {
    match response {
        CallResponse {
            accepted: false, ..
        } => Err(CallError::not_sent(target, "not taken")),
        CallResponse {
            completed: false, ..
        } => Err(CallError::unknown(target, "not finished")),
        CallResponse { bytes, .. } => Ok(bytes),
    }
}

/// Hands a peer's call to the program and waits for its answer.
pub(crate) async fn handle_call(
    shared: &Shared,
    sender: &str,
    call: CallRequest,
) -> Option<response::Body> {
    let mut response = CallResponse::default();
    let from = sender.parse().ok();
    let meant = call.target == shared.instance.as_str();
    if let Some(from) = from.filter(|_| meant) {
        let (response_sender, response_receiver) = smol::channel::bounded(1);
        let call = IncomingCall {
            from,
            bytes: call.bytes,
            response: response_sender,
        };
        response.accepted = shared.calls.0.try_send(call).is_ok();
        if response.accepted
            && let Ok(bytes) = response_receiver.recv().await
        {
            response.completed = true;
            response.bytes = bytes;
        }
    }
    Some(response::Body::Call(response))
}
