//! Limits of an instance and their defaults.

use serde::{
    Deserialize,
    Serialize, //
};
use std::time::Duration;

/// Limits of an instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Limits of callers' requests.
    pub requests: RequestLimits,
    /// Limits of answers to look-ups.
    pub lookups: LookupLimits,
    /// Limits of connections to upstreams.
    pub upstreams: UpstreamLimits,
    /// Limits of calls to the store.
    pub store: StoreLimits,
    /// Limits of kept events.
    pub events: EventLimits,
    /// Limits of a planned shutdown.
    pub shutdown: ShutdownLimits,
    /// Limits of kept idempotency keys and answers.
    pub keys: KeyLimits,
}

/// Limits of callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLimits {
    /// Maximum concurrent connections of callers.
    pub connections_max: u32,
    /// Maximum concurrent requests, including queued ones.
    pub in_flight_max: u32,
    /// Maximum queued requests.
    pub waiting_max: u32,
    /// Maximum size of a request's head, in bytes.
    pub head_max_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_max_bytes: u64,
    /// Maximum deadline of a request, in milliseconds.
    pub deadline_max_ms: u32,
    /// Timeout of receiving a request's head, in milliseconds.
    pub head_timeout_ms: u32,
    /// Timeout of receiving a request's body, in milliseconds.
    pub body_timeout_ms: u32,
    /// Timeout of idle connections, in milliseconds.
    pub idle_timeout_ms: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            connections_max: 4_000,
            in_flight_max: 2_000,
            waiting_max: 1_000,
            head_max_bytes: 16 * 1_024,
            body_max_bytes: 8 * 1_024 * 1_024,
            deadline_max_ms: 60_000,
            head_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// Limits of answers to look-ups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LookupLimits {
    /// Time for which a caller may cache an answer, in seconds.
    pub ttl_s: u32,
    /// Maximum number of instances in an answer.
    pub instances_max: u32,
}

impl Default for LookupLimits {
    fn default() -> Self {
        Self {
            ttl_s: 5,
            instances_max: 3,
        }
    }
}

/// Limits of connections to upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamLimits {
    /// Timeout of connecting, in milliseconds.
    pub connect_timeout_ms: u32,
    /// Timeout of idle connections, in milliseconds.
    pub idle_timeout_ms: u32,
    /// Minimum connections of an instance to an upstream, however many instances share it.
    pub connections_min: u32,
}

impl Default for UpstreamLimits {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            idle_timeout_ms: 30_000,
            connections_min: 2,
        }
    }
}

/// Limits of calls to the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreLimits {
    /// Timeout of a call, in milliseconds.
    pub call_timeout_ms: u32,
    /// Maximum wait of a watch, in seconds.
    pub watch_wait_s: u32,
    /// Maximum rate of reads of all instances, in calls a second.
    pub fleet_reads_per_s: f64,
    /// Maximum rate of writes of all instances, in calls a second.
    pub fleet_writes_per_s: f64,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            call_timeout_ms: 3_000,
            watch_wait_s: 55,
            fleet_reads_per_s: 400.0,
            fleet_writes_per_s: 60.0,
        }
    }
}

impl StoreLimits {
    /// Returns the timeout of a call.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms.into())
    }

    /// Returns the maximum wait of a watch.
    pub fn watch_wait(&self) -> Duration {
        Duration::from_secs(self.watch_wait_s.into())
    }
}

/// Limits of kept events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EventLimits {
    /// Maximum number of events kept for the time line.
    pub kept_max: u32,
}

impl Default for EventLimits {
    fn default() -> Self {
        Self { kept_max: 4_096 }
    }
}

/// Limits of a planned shutdown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownLimits {
    /// Maximum time to wait for requests in flight, in milliseconds; should exceed the
    /// maximum deadline.
    pub drain_max_ms: u32,
}

impl Default for ShutdownLimits {
    fn default() -> Self {
        Self {
            drain_max_ms: 75_000,
        }
    }
}

/// Limits of kept idempotency keys and answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyLimits {
    /// Time after a key's creation in which it may be retried, in seconds; may shrink to
    /// a minute if more keys arrive than are kept.
    pub validity_s: u32,
    /// Maximum number of kept keys, of about 80 bytes each.
    pub kept_max: u32,
    /// Maximum total size of kept answers, in bytes.
    pub answers_max_bytes: u64,
    /// Maximum size of a kept answer, in bytes.
    pub answer_max_bytes: u64,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self {
            validity_s: 300,
            kept_max: 65_536,
            answers_max_bytes: 4 * 1_024 * 1_024,
            answer_max_bytes: 64 * 1_024,
        }
    }
}
