//! The platform's list of instances, a hint for joining the fleet.
//!
//! The list lags, so that it adds addresses to ask and takes none away; who is
//! live is the membership's matter.

use crate::store::{
    Call,
    exchange, //
};
use foxtide_core::store::StoreError;
use http_types::Method;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Where the list is read.
const LIST_PATH: &str = "/v1/instances";

const OK: u16 = 200;

/// What is needed of an instance of the list; the rest is the platform's.
#[derive(Debug, Deserialize)]
struct ListedInstance {
    peer_address: SocketAddr,
}

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("list of instances {peer}: {cause}")]
pub struct InstanceListError {
    peer: SocketAddr,
    cause: String,
}

/// Reads the addresses at which the listed instances talk to one another.
///
/// # Errors
///
/// Fails where no whole answer comes within `timeout` or it is no such list.
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
        | StoreError::Refused { cause, .. } => cause,
        StoreError::OverBudget { .. } => "held back".to_owned(),
    }
}
