//! Reads the platform's list of instances.
//!
//! The list may be stale and only provides addresses for joining the mesh.

use crate::store::{
    Call,
    exchange, //
};
use foxtide_core::store::StoreError;
use http_types::Method;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

const LIST_PATH: &str = "/v1/instances";

const OK: u16 = 200;

/// Used fields of an instance in the list.
#[derive(Debug, Deserialize)]
struct ListedInstance {
    peer_address: SocketAddr,
}

/// An error of reading the list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("list of instances {peer}: {cause}")]
pub struct InstanceListError {
    peer: SocketAddr,
    cause: String,
}

/// Reads the peer addresses of the listed instances.
///
/// # Errors
///
/// Fails if no valid list is received within `timeout`.
pub async fn read_instance_list(
    list: SocketAddr,
    timeout: Duration,
) -> Result<Vec<SocketAddr>, InstanceListError> {
    let call = Call {
        step: "read list",
        method: Method::Get,
        target: LIST_PATH.to_owned(),
        body: Vec::new(),
        timeout,
    };
    let (_, result) = exchange(list, call).await;
    let failed = |cause| InstanceListError { peer: list, cause };
    let answer = result.map_err(|error| failed(cause_of(error)))?;
    if answer.status != OK {
        return Err(failed(format!("status {}", answer.status)));
    }
    let listed: Result<Vec<ListedInstance>, _> = serde_json::from_slice(&answer.body);
    let listed = listed.map_err(|error| failed(error.to_string()))?;
    Ok(listed.into_iter().map(|one| one.peer_address).collect())
}

fn cause_of(error: StoreError) -> String {
    match error {
        StoreError::NotSent { cause, .. }
        | StoreError::Unknown { cause, .. }
        | StoreError::Rejected { cause, .. } => cause,
        StoreError::OverBudget { .. } => "call budget exceeded".to_owned(),
    }
}
