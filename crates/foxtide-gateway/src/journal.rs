//! One log line for each decision that touches a request or changes what the
//! instance believes.
//!
//! Lines carry their fields as keys and values; `docs/OPERATIONS.md` shows how
//! to get from a request's identity to its cause.

use crate::forward::{
    AttemptEnd,
    Reply, //
};
use crate::state::{
    NoUpstream,
    Pick, //
};
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::placement::AttemptResult;
use foxtide_core::registry::{
    Member,
    RegistryChange, //
};
use std::collections::HashSet;
use std::fmt::Write;
use std::time::Duration;

/// A new configuration is in force.
pub(crate) fn configuration_in_force(version: u64, before: Option<u64>, routes: usize) {
    let before = before.unwrap_or_default();
    metrics::gauge!("foxtide_configuration_version").set(version as f64);
    log::info!(event = "configuration.in_force", version, before, routes; "a configuration is in force");
}

/// The availability zones that get nothing have changed.
pub(crate) fn zones_evacuated(zones: &HashSet<AvailabilityZoneId>) {
    let mut names = String::new();
    for zone in zones {
        let _ = write!(names, "{zone} ");
    }
    log::info!(event = "zones.evacuated", zones = names.trim_end(); "the evacuated availability zones changed");
}

/// The registered upstreams have changed.
pub(crate) fn registry_changed(change: &RegistryChange) {
    let (event, upstream) = match change {
        RegistryChange::None => return,
        RegistryChange::Joined(upstream) => ("upstream.joined", upstream),
        RegistryChange::Left(upstream) => ("upstream.left", upstream),
        RegistryChange::Doubted(upstream) => ("upstream.doubted", upstream),
    };
    log::info!(event, upstream = upstream.as_str(); "the registered upstreams changed");
}

/// An upstream is passed over for a while.
pub(crate) fn upstream_ejected(upstream: &UpstreamId, failure_share: f64, result: AttemptResult) {
    metrics::counter!("foxtide_upstream_ejections_total").increment(1);
    log::warn!(event = "upstream.ejected", upstream = upstream.as_str(), failure_share, result:? = result; "an upstream is passed over");
}

/// An instance has joined.
pub(crate) fn member_joined(member: &Member) {
    log::info!(event = "instance.joined", instance = member.instance.as_str(), address:% = member.caller_address; "an instance is alive");
}

/// An instance's lease has ended.
pub(crate) fn member_left(instance: &InstanceId, is_gone: bool) {
    log::info!(event = "instance.left", instance = instance.as_str(), believed = is_gone; "an instance's lease ended");
}

/// An attempt at an upstream has ended.
pub(crate) fn attempt_ended(request: &str, pick: &Pick, end: &AttemptEnd) {
    let (outcome, cause) = match end {
        AttemptEnd::Responded(response) => {
            let status = response.head.status;
            return log::debug!(event = "attempt.responded", request, status, upstream = pick.registration.upstream.as_str(), rank = pick.rank, occupancy = pick.occupancy, cold = pick.is_cold; "an upstream responded");
        }
        AttemptEnd::NotRun { .. } => ("not_run", "the upstream said so"),
        AttemptEnd::NotSent { cause } => ("not_sent", cause.as_str()),
        AttemptEnd::Unknown { cause } => ("unknown", cause.as_str()),
        AttemptEnd::TimedOut => ("timed_out", "no response in time"),
    };
    metrics::counter!("foxtide_attempts_failed_total", "outcome" => outcome).increment(1);
    log::info!(event = "attempt.failed", request, outcome, cause, upstream = pick.registration.upstream.as_str(), rank = pick.rank, occupancy = pick.occupancy, cold = pick.is_cold; "an attempt brought no response");
}

/// No upstream may get a request.
pub(crate) fn no_upstream(request: &str, service: &ServiceId, reason: NoUpstream) {
    log::info!(event = "request.no_upstream", request, service = service.as_str(), reason = reason.as_str(); "no upstream may get the request");
}

/// A request has its reply.
pub(crate) fn request_ended(request: &str, reply: &Reply, latency: Duration) {
    let status = reply.status();
    let latency_ms = latency.as_millis() as u64;
    let source = match reply {
        Reply::Response(_) => "upstream",
        Reply::Refused(_) => "instance",
    };
    metrics::counter!("foxtide_requests_total", "source" => source, "status" => status.to_string())
        .increment(1);
    metrics::histogram!("foxtide_request_seconds", "source" => source)
        .record(latency.as_secs_f64());
    if status < 400 {
        log::debug!(event = "request.answered", request, status, latency_ms; "a request was answered");
    } else {
        log::info!(event = "request.failed", request, status, source, latency_ms; "a request failed");
    }
}

/// A caller went away before its reply.
pub(crate) fn caller_gone(request: &str) {
    metrics::counter!("foxtide_callers_gone_total").increment(1);
    log::info!(event = "request.caller_gone", request; "the caller went away before its reply");
}
