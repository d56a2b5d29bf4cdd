//! Remote calls between instances, made for the application above the mesh.

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

/// A call received from a peer.
#[derive(Debug)]
pub struct IncomingCall {
    /// The calling instance.
    pub from: InstanceId,
    /// The payload of the call.
    pub bytes: Vec<u8>,
    response: Sender<Vec<u8>>,
}

impl IncomingCall {
    /// Sends the response. Dropping the call instead makes it fail at the
    /// caller with [`CallError::Unknown`].
    pub fn respond(self, bytes: Vec<u8>) {
        // Fails only if the caller has disconnected.
        let _ = self.response.try_send(bytes);
    }
}

/// Sends a call to a peer and waits for its response.
pub(crate) async fn call(
    shared: &Shared,
    target: &InstanceId,
    bytes: Vec<u8>,
    deadline: Duration,
) -> Result<Vec<u8>, CallError> {
    let member = shared.state.lock().membership.member(target).cloned();
    let member = member.ok_or_else(|| CallError::not_sent(target, "not a known member"))?;
    let request = request::Body::Call(CallRequest {
        target: target.to_string(),
        bytes,
    });
    match streams::send_request(shared, member.peer_address, request, deadline).await {
        Ok(response::Body::Call(response)) => read_response(target, response),
        Ok(_) => Err(CallError::unknown(target, "not a call response")),
        Err(error @ Error::Connect { .. }) => Err(CallError::not_sent(target, error)),
        Err(error) => Err(CallError::unknown(target, error)),
    }
}

fn read_response(target: &InstanceId, response: CallResponse) -> Result<Vec<u8>, CallError> {
    match response {
        CallResponse {
            accepted: false, ..
        } => Err(CallError::not_sent(target, "not accepted by the peer")),
        CallResponse {
            completed: false, ..
        } => Err(CallError::unknown(target, "not completed by the peer")),
        CallResponse { bytes, .. } => Ok(bytes),
    }
}

/// Queues a peer's call for the application and waits for its response.
pub(crate) async fn handle_call(
    shared: &Shared,
    sender: &str,
    call: CallRequest,
) -> Option<response::Body> {
    let mut response = CallResponse::default();
    let from = sender.parse().ok();
    let is_target = call.target == shared.instance.as_str();
    if let Some(from) = from.filter(|_| is_target) {
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
