//! Callers that look up instances, cache the answer for its time to live, and
//! send reads and non-idempotent writes.

use crate::deployment::Deployment;
use crate::stats::{
    CallerStats,
    Outcome, //
};
use foxtide_core::idempotency::{
    IdempotencyKey,
    OwnerId, //
};
use foxtide_core::time::WallTime;
use foxtide_testing::{
    HttpAnswer,
    http_call, //
};
use http_types::Method;
use serde::Deserialize;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// One in this many requests of a caller is a write.
const WRITE_EVERY: u64 = 5;

/// The response header that names the process to which new idempotency keys
/// belong.
const OWNER_HEADER: &str = "foxtide-owner";

/// The response header that says whether a failed request may have run.
const OUTCOME_HEADER: &str = "foxtide-outcome";

/// The number of instances at which a caller tries a read.
const READ_ATTEMPTS: usize = 3;

#[derive(Clone, Debug, Deserialize)]
struct ListedInstance {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct LookupAnswer {
    instances: Vec<ListedInstance>,
    ttl_s: u64,
}

#[derive(Debug, Deserialize)]
struct RejectionAnswer {
    reason: String,
}

#[derive(Debug, Deserialize)]
struct UpstreamAnswer {
    path: String,
}

pub(crate) struct Caller {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) stats: Arc<CallerStats>,
    pub(crate) number: usize,
    pub(crate) stop: Arc<AtomicBool>,
    cached: Vec<ListedInstance>,
    cached_until: Instant,
    owner: Option<(SocketAddr, OwnerId)>,
}

impl Caller {
    pub(crate) fn new(
        deployment: Arc<Deployment>,
        stats: Arc<CallerStats>,
        number: usize,
        stop: Arc<AtomicBool>,
    ) -> Self {
        Self {
            deployment,
            stats,
            number,
            stop,
            cached: Vec::new(),
            cached_until: Instant::now(),
            owner: None,
        }
    }

    /// Sends requests until `stop` is set.
    pub(crate) async fn run(mut self) {
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            if Instant::now() >= self.cached_until || self.cached.is_empty() {
                self.look_up(count).await;
            }
            if count % WRITE_EVERY == 0 {
                self.write(count).await;
            } else {
                self.read(count).await;
            }
            Timer::after(REQUEST_INTERVAL).await;
        }
    }

    async fn look_up(&mut self, count: u64) {
        let addresses = self.deployment.caller_addresses();
        let start = self.number + usize::try_from(count).unwrap_or_default();
        let tenant = &self.deployment.tenant;
        let path = format!(
            "/v1/lookup?organisation={}&service={}",
            tenant.name, tenant.read_service
        );
        for step in 0..addresses.len() {
            let address = addresses[(start + step) % addresses.len()];
            let call = http_call(address, Method::Get, &path, &[], &[]);
            let Ok(answer) = with_timeout(CALL_TIMEOUT, call).await else {
                continue;
            };
            if let Ok(lookup) = serde_json::from_slice::<LookupAnswer>(&answer.body) {
                self.cached = lookup.instances;
                self.cached_until = Instant::now() + Duration::from_secs(lookup.ttl_s);
                return;
            }
        }
    }

    async fn read(&mut self, count: u64) {
        let path = format!("/item/{}-{count}", self.number);
        let started = Instant::now();
        let mut outcome = Outcome::Unreachable;
        for attempt in 0..READ_ATTEMPTS.min(self.cached.len()) {
            let address = self.cached[attempt].address;
            outcome = self.send(address, Method::Get, &path, None).await;
            if outcome == Outcome::Answered {
                self.stats
                    .record_read_latency(started.elapsed().as_micros() as u64);
            }
            if !matches!(outcome, Outcome::Unreachable | Outcome::Cut) {
                break;
            }
        }
        self.stats.record_outcome(outcome);
    }

    /// Sends a write with a new idempotency key to the instance that owns the
    /// key; the write is never retried.
    async fn write(&mut self, count: u64) {
        let Some((address, owner)) = self.owner.clone() else {
            return;
        };
        let key = IdempotencyKey::mint(
            owner,
            wall_time(),
            fastrand::u128(..).to_le_bytes()[..10]
                .try_into()
                .unwrap_or_default(),
        );
        let path = format!("/order/{}-{count}", self.number);
        let key = key.to_string();
        let outcome = self.send(address, Method::Post, &path, Some(&key)).await;
        if matches!(outcome, Outcome::Unreachable | Outcome::Cut) {
            self.owner = None;
        }
        self.stats.record_outcome(outcome);
        self.stats.record_write(key, outcome);
    }

    async fn send(
        &mut self,
        address: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
    ) -> Outcome {
        let tenant = self.deployment.tenant;
        let service = match key {
            Some(_) => tenant.write_service,
            None => tenant.read_service,
        };
        let target = format!("/{}/{service}{path}", tenant.name);
        let headers: Vec<(&str, &str)> = key
            .map(|key| ("idempotency-key", key))
            .into_iter()
            .collect();
        let call = http_call(address, method, &target, &headers, &[]);
        match with_timeout(CALL_TIMEOUT, call).await {
            Ok(answer) => {
                self.remember_owner(address, &answer);
                self.record_rejection_reason(&answer);
                classify(&answer, path)
            }
            Err(error) if is_connection_refused(&error) => Outcome::Unreachable,
            Err(_) => Outcome::Cut,
        }
    }

    fn record_rejection_reason(&self, answer: &HttpAnswer) {
        if let Ok(rejection) = serde_json::from_slice::<RejectionAnswer>(&answer.body) {
            self.stats.record_rejection_reason(rejection.reason);
        }
    }

    fn remember_owner(&mut self, address: SocketAddr, answer: &HttpAnswer) {
        let owner = answer
            .header(OWNER_HEADER)
            .and_then(|text| text.parse().ok());
        if let Some(owner) = owner {
            self.owner = Some((address, owner));
        }
    }
}

/// Fails a call that takes longer than `timeout`.
async fn with_timeout(
    timeout: Duration,
    call: impl Future<Output = http_types::Result<HttpAnswer>>,
) -> http_types::Result<HttpAnswer> {
    let expired = async {
        Timer::after(timeout).await;
        Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into())
    };
    smol::future::or(call, expired).await
}

fn classify(answer: &HttpAnswer, path: &str) -> Outcome {
    if answer.status == 200 {
        let body = serde_json::from_slice::<UpstreamAnswer>(&answer.body);
        let matches_request = body.is_ok_and(|body| body.path.ends_with(path));
        return if matches_request {
            Outcome::Answered
        } else {
            Outcome::Wrong
        };
    }
    match answer.header(OUTCOME_HEADER) {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Wrong,
    }
}

fn is_connection_refused(error: &http_types::Error) -> bool {
    let io = error.downcast_ref::<std::io::Error>();
    io.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn wall_time() -> WallTime {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime::ZERO + now
}
