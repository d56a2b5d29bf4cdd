//! HTTP client for the admin listeners of instances.

use crate::failure::Failure;
use futures_lite::FutureExt;
use futures_lite::stream::{
    self,
    StreamExt, //
};
use http_types::headers::CONTENT_LENGTH;
use http_types::{
    Method,
    Request,
    Url, //
};
use serde_json::Value;
use smol::Timer;
use smol::net::TcpStream;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Path that lists the instances known to an instance.
const INSTANCES_PATH: &str = "/v1/instances";

const ADMIN_ADDRESS_FIELD: &str = "admin_address";

/// The responses of several instances to one request.
#[derive(Debug)]
pub(crate) struct Responses {
    /// JSON bodies with the address of the instance that sent them.
    pub(crate) pages: Vec<(SocketAddr, Value)>,
    /// Errors of the instances that sent no valid response.
    pub(crate) errors: Vec<String>,
}

/// Fetches a page from the first instance that responds, trying them in order.
///
/// # Errors
///
/// Returns an error if no address is given or no instance responds.
pub(crate) async fn fetch_any(addresses: &[SocketAddr], path: &str) -> Result<Value, Failure> {
    let mut errors = Vec::new();
    for address in addresses {
        match get(*address, path).await {
            Ok(value) => return Ok(value),
            Err(error) => errors.push(error),
        }
    }
    Err(no_response(&errors))
}

/// Fetches a page from all instances concurrently.
///
/// # Errors
///
/// Returns an error if no instance responds.
pub(crate) async fn fetch_all(addresses: &[SocketAddr], path: &str) -> Result<Responses, Failure> {
    let mut responses = Responses {
        pages: Vec::new(),
        errors: Vec::new(),
    };
    let tasks: Vec<_> = addresses
        .iter()
        .map(|address| {
            let (address, path) = (*address, path.to_owned());
            smol::spawn(async move { (address, get(address, &path).await) })
        })
        .collect();
    let mut results = stream::iter(tasks).then(|task| task).boxed();
    while let Some((address, result)) = results.next().await {
        match result {
            Ok(value) => responses.pages.push((address, value)),
            Err(error) => responses.errors.push(error),
        }
    }
    if responses.pages.is_empty() {
        return Err(no_response(&responses.errors));
    }
    Ok(responses)
}

/// Returns the given admin addresses and those known to the first instance that
/// responds.
///
/// # Errors
///
/// Returns an error if no instance responds.
pub(crate) async fn all_addresses(given: &[SocketAddr]) -> Result<Vec<SocketAddr>, Failure> {
    let instances = fetch_any(given, INSTANCES_PATH).await?;
    let listed = instances.as_array().into_iter().flatten();
    let known = listed.filter_map(|one| one.get(ADMIN_ADDRESS_FIELD)?.as_str()?.parse().ok());
    let mut addresses: BTreeSet<SocketAddr> = known.collect();
    addresses.extend(given);
    Ok(addresses.into_iter().collect())
}

fn no_response(errors: &[String]) -> Failure {
    if errors.is_empty() {
        return Failure::no_instance(
            "no admin address was given",
            "give the address of an instance with --admin ADDRESS before the command",
        );
    }
    Failure::no_instance(
        errors.join("\n"),
        "check --admin, that an instance is running there, and that it has the same version",
    )
}

/// Fetches a page of one instance as JSON.
async fn get(address: SocketAddr, path: &str) -> Result<Value, String> {
    let expired = async {
        Timer::after(RESPONSE_TIMEOUT).await;
        Err(format!(
            "no response within {} s",
            RESPONSE_TIMEOUT.as_secs()
        ))
    };
    let result = exchange(address, path).or(expired).await;
    result.map_err(|cause| format!("instance {address}, {path}: {cause}"))
}

async fn exchange(address: SocketAddr, path: &str) -> Result<Value, String> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(error_text)?;
    let mut request = Request::new(Method::Get, url);
    request.insert_header("connection", "close");
    let stream = TcpStream::connect(address).await.map_err(error_text)?;
    let mut response = async_h1::connect(stream, request)
        .await
        .map_err(error_text)?;
    let content_length = response
        .header(CONTENT_LENGTH)
        .and_then(|values| values.as_str().parse::<usize>().ok());
    let body = response.body_bytes().await.map_err(error_text)?;
    if content_length.is_some_and(|length| length != body.len()) {
        return Err(format!("response truncated after {} bytes", body.len()));
    }
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    serde_json::from_slice(&body).map_err(error_text)
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
