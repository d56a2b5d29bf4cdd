//! Implements [`Store`] over Consul's HTTP API of its key-value store and sessions
//! (developer.hashicorp.com/consul/api-docs/kv and /session).

use super::exchange::{
    self,
    Answer,
    Call,
    Progress, //
};
use super::wire::{
    KeyForm,
    SessionForm,
    SessionRequest,
    format_duration,
    key_path, //
};
use foxtide_core::store::{
    SessionId,
    Store,
    StoreEntry,
    StoreError,
    StoreIndex,
    StoreListing,
    StoreNames,
    StoreResult,
    VALUE_MAX_BYTES, //
};
use http_types::Method;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;

/// The store adds up to a sixteenth of the wait to a blocking query, as jitter.
const WAIT_JITTER_DIVISOR: u32 = 16;

/// Options of the client.
#[derive(Clone, Copy, Debug)]
pub struct HttpStoreOptions {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of a call; added to the wait of a blocking query.
    pub call_timeout: Duration,
}

impl Default for HttpStoreOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 8_500)),
            call_timeout: Duration::from_secs(3),
        }
    }
}

/// Client of the store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    options: HttpStoreOptions,
}

impl HttpStore {
    /// Returns a client, which connects for each call.
    pub fn new(options: HttpStoreOptions) -> Self {
        Self { options }
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.options.address
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        target: String,
        body: Vec<u8>,
    ) -> (Progress, StoreResult<Answer>) {
        let timeout = self.options.call_timeout;
        let call = Call {
            step,
            method,
            target,
            body,
            timeout,
        };
        self.run(call).await
    }

    async fn run(&self, call: Call) -> (Progress, StoreResult<Answer>) {
        let step = call.step;
        let started = Instant::now();
        let (progress, result) = exchange::run(self.options.address, call).await;
        record_metrics(step, started.elapsed(), &result);
        (progress, result)
    }

    /// Makes a blocking query.
    async fn blocking_query(&self, call: BlockingQuery) -> (Progress, StoreResult<Answer>) {
        let wait = call.wait;
        let selection = call.selection;
        let query = format!(
            "{selection}index={}&wait={}",
            call.after,
            format_duration(wait)
        );
        let call = Call {
            step: call.step,
            method: Method::Get,
            target: format!("{}?{query}", call.path),
            body: Vec::new(),
            timeout: wait + wait / WAIT_JITTER_DIVISOR + self.options.call_timeout,
        };
        self.run(call).await
    }

    /// Makes a call with a boolean answer.
    async fn call_bool(
        &self,
        step: &'static str,
        method: Method,
        target: String,
        body: Vec<u8>,
    ) -> StoreResult<bool> {
        if body.len() > VALUE_MAX_BYTES {
            return Err(self.too_large(step, body.len()));
        }
        let (progress, result) = self.call(step, method, target, body).await;
        decode(&progress, result?)
    }

    fn too_large(&self, step: &'static str, size_bytes: usize) -> StoreError {
        StoreError::NotSent {
            step,
            peer: self.options.address.to_string(),
            cause: format!("{size_bytes} bytes, more than {VALUE_MAX_BYTES}"),
        }
    }
}

/// A call that blocks until a change or a timeout.
struct BlockingQuery {
    step: &'static str,
    /// Path of the key or prefix.
    path: String,
    /// Query parameters that select the result.
    selection: &'static str,
    /// Index to wait on.
    after: StoreIndex,
    /// Maximum wait of the store.
    wait: Duration,
}

/// Records the outcome, duration and answer size of a call.
fn record_metrics(step: &'static str, elapsed: Duration, result: &StoreResult<Answer>) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(StoreError::NotSent { .. }) => "not_sent",
        Err(StoreError::Unknown { .. }) => "unknown",
        Err(StoreError::Rejected { .. }) => "refused",
        Err(StoreError::OverBudget { .. }) => "over_budget",
    };
    let answer_bytes = result.as_ref().map_or(0, |answer| answer.body.len());
    metrics::counter!("foxtide_store_answer_bytes_total", "kind" => step)
        .increment(answer_bytes as u64);
    metrics::counter!("foxtide_store_calls_total", "kind" => step, "outcome" => outcome)
        .increment(1);
    metrics::histogram!("foxtide_store_call_seconds", "kind" => step).record(elapsed.as_secs_f64());
}

/// Decodes the body of a successful answer.
fn decode<T: DeserializeOwned>(progress: &Progress, answer: Answer) -> StoreResult<T> {
    if answer.status != OK {
        return Err(progress.rejected(&answer));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|error| progress.unknown(format!("answer: {error}")))
}

/// Decodes a listing; the store answers 404 if there are no keys.
fn decode_listing(progress: &Progress, answer: Answer) -> StoreResult<StoreListing> {
    let index = StoreIndex::new(answer.index.unwrap_or_default());
    if answer.status == NOT_FOUND {
        return Ok(StoreListing {
            entries: Vec::new(),
            index,
        });
    }
    let forms: Vec<KeyForm> = decode(progress, answer)?;
    let entries: Result<Vec<StoreEntry>, String> =
        forms.into_iter().map(KeyForm::into_entry).collect();
    let mut entries = entries.map_err(|cause| progress.unknown(cause))?;
    entries.sort_by(|one, other| one.key.cmp(&other.key));
    Ok(StoreListing { entries, index })
}

impl Store for HttpStore {
    async fn read(&self, key: &str) -> StoreResult<Option<StoreEntry>> {
        // Reads resolve writes with an unknown outcome and must not be stale.
        let target = format!("{}?consistent", key_path(key));
        let (progress, result) = self.call("read", Method::Get, target, Vec::new()).await;
        let listing = decode_listing(&progress, result?)?;
        Ok(listing.entries.into_iter().next())
    }

    async fn list(&self, prefix: &str) -> StoreResult<StoreListing> {
        let target = format!("{}?recurse", key_path(prefix));
        let (progress, result) = self.call("list", Method::Get, target, Vec::new()).await;
        decode_listing(&progress, result?)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> StoreResult<StoreListing> {
        let call = BlockingQuery {
            step: "watch",
            path: key_path(prefix),
            selection: "recurse&",
            after,
            wait,
        };
        let (progress, result) = self.blocking_query(call).await;
        decode_listing(&progress, result?)
    }

    async fn watch_key(
        &self,
        key: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> StoreResult<StoreListing> {
        let call = BlockingQuery {
            step: "watch_key",
            path: key_path(key),
            selection: "",
            after,
            wait,
        };
        let (progress, result) = self.blocking_query(call).await;
        decode_listing(&progress, result?)
    }

    async fn watch_names(
        &self,
        prefix: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> StoreResult<StoreNames> {
        let call = BlockingQuery {
            step: "watch_names",
            path: key_path(prefix),
            selection: "keys&",
            after,
            wait,
        };
        let (progress, result) = self.blocking_query(call).await;
        let answer = result?;
        let index = StoreIndex::new(answer.index.unwrap_or_default());
        let keys = match answer.status {
            NOT_FOUND => Vec::new(),
            _ => decode(&progress, answer)?,
        };
        Ok(StoreNames { keys, index })
    }

    async fn write(&self, key: &str, value: Vec<u8>, expected: StoreIndex) -> StoreResult<bool> {
        let target = format!("{}?cas={expected}", key_path(key));
        self.call_bool("write", Method::Put, target, value).await
    }

    async fn delete(&self, key: &str, expected: StoreIndex) -> StoreResult<bool> {
        let target = format!("{}?cas={expected}", key_path(key));
        self.call_bool("delete", Method::Delete, target, Vec::new())
            .await
    }

    async fn open_session(&self, name: &str, ttl: Duration) -> StoreResult<SessionId> {
        let request = SessionRequest {
            name: name.to_owned(),
            ttl: format_duration(ttl),
            behavior: "release",
            lock_delay: "0s",
        };
        let target = "/v1/session/create".to_owned();
        let body = serde_json::to_vec(&request).unwrap_or_default();
        let (progress, result) = self.call("open_session", Method::Put, target, body).await;
        let form: SessionForm = decode(&progress, result?)?;
        Ok(SessionId::new(form.id))
    }

    async fn renew_session(&self, session: &SessionId) -> StoreResult<bool> {
        let target = format!("/v1/session/renew/{session}");
        let (progress, result) = self
            .call("renew_session", Method::Put, target, Vec::new())
            .await;
        let answer = result?;
        match answer.status {
            OK => Ok(true),
            NOT_FOUND => Ok(false),
            _ => Err(progress.rejected(&answer)),
        }
    }

    async fn close_session(&self, session: &SessionId) -> StoreResult<()> {
        let target = format!("/v1/session/destroy/{session}");
        self.call_bool("close_session", Method::Put, target, Vec::new())
            .await
            .map(drop)
    }

    async fn acquire(&self, key: &str, value: Vec<u8>, session: &SessionId) -> StoreResult<bool> {
        let target = format!("{}?acquire={session}", key_path(key));
        self.call_bool("acquire", Method::Put, target, value).await
    }

    async fn release(&self, key: &str, value: Vec<u8>, session: &SessionId) -> StoreResult<bool> {
        let target = format!("{}?release={session}", key_path(key));
        self.call_bool("release", Method::Put, target, value).await
    }
}
