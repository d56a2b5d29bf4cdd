//! One log line for each decision that touches a request or changes what the
//! instance believes, and the metrics that go with it.
//!
//! `docs/OPERATIONS.md` shows how to get from a request's identity to its
//! cause. Lines about requests are bounded; those left out are counted.

use crate::clock::Clock;
use crate::forward::{
    AttemptEnd,
    Inputs,
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
use foxtide_events::{
    EventCode,
    LeftOut,
    LineBudget,
    LineKind,
    log_event, //
};
use parking_lot::Mutex;
use std::collections::HashSet;
use std::time::Duration;

/// Writes the lines about requests.
#[derive(Debug)]
pub(crate) struct Journal {
    clock: Clock,
    budget: Mutex<LineBudget>,
}

impl Journal {
    /// Returns a journal whose budget fills from now on.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            budget: Mutex::new(LineBudget::new(clock.now())),
        }
    }

    /// Tells how many lines were left out since the last call, if any were.
    pub(crate) fn summarise(&self) {
        let left_out = self.budget.lock().take_left_out();
        if left_out != LeftOut::default() {
            log_event!(
                EventCode::LinesLeftOut,
                answered = left_out.answered,
                failed = left_out.failed
            );
        }
    }

    /// A request has its reply.
    pub(crate) fn request_ended(&self, inputs: &Inputs, reply: &Reply, latency: Duration) {
        let status = reply.status();
        let source = match reply {
            Reply::Response(_) => "upstream",
            Reply::Refused(_) => "instance",
        };
        count_request(inputs, status, source, latency);
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let is_answered = status < 400;
        let kind = if is_answered {
            LineKind::Answered
        } else {
            LineKind::Failed
        };
        if !self.has_room(kind) {
            return;
        }
        if is_answered {
            log_event!(
                EventCode::RequestAnswered,
                request = inputs.request.as_str(),
                status = status,
                route = inputs.route.as_str(),
                service = inputs.service.as_str(),
                upstream = inputs.upstream.as_str(),
                attempts = inputs.attempts,
                rank = inputs.rank,
                occupancy = inputs.occupancy,
                version = inputs.version,
                knowledge_age_ms = inputs.knowledge_age_ms,
                latency_ms = latency_ms
            );
        } else {
            log_event!(
                EventCode::RequestFailed,
                request = inputs.request.as_str(),
                status = status,
                source = source,
                reason = inputs.reason,
                route = inputs.route.as_str(),
                service = inputs.service.as_str(),
                upstream = inputs.upstream.as_str(),
                attempts = inputs.attempts,
                version = inputs.version,
                knowledge_age_ms = inputs.knowledge_age_ms,
                latency_ms = latency_ms
            );
        }
    }

    /// An attempt at an upstream has ended without a response to deliver.
    pub(crate) fn attempt_failed(&self, request: &str, pick: &Pick, end: &AttemptEnd) {
        let (outcome, cause) = match end {
            AttemptEnd::Responded(_) => return,
            AttemptEnd::NotRun { .. } => ("not_run", "the upstream said so"),
            AttemptEnd::NotSent { cause } => ("not_sent", cause.as_str()),
            AttemptEnd::Unknown { cause } => ("unknown", cause.as_str()),
            AttemptEnd::TimedOut => ("timed_out", "no response in time"),
        };
        metrics::counter!("foxtide_attempts_failed_total", "outcome" => outcome).increment(1);
        if self.has_room(LineKind::Failed) {
            log_event!(
                EventCode::AttemptFailed,
                request = request,
                outcome = outcome,
                cause = cause,
                upstream = pick.registration.upstream.as_str(),
                zone = pick.registration.availability_zone.as_str(),
                rank = pick.rank,
                occupancy = pick.occupancy,
                is_cold = pick.is_cold
            );
        }
    }

    /// No upstream may get a request.
    pub(crate) fn no_upstream(&self, request: &str, service: &ServiceId, reason: NoUpstream) {
        if self.has_room(LineKind::Failed) {
            log_event!(
                EventCode::RequestUnplaced,
                request = request,
                service = service.as_str(),
                reason = reason.as_str()
            );
        }
    }

    /// A response to another request came on a connection.
    pub(crate) fn stray_response(&self, request: &str, upstream: &UpstreamId) {
        if self.has_room(LineKind::Failed) {
            log_event!(
                EventCode::ResponseStray,
                request = request,
                upstream = upstream.as_str()
            );
        }
    }

    /// A caller went away before its reply.
    pub(crate) fn caller_gone(&self, request: &str) {
        metrics::counter!("foxtide_callers_gone_total").increment(1);
        if self.has_room(LineKind::Failed) {
            log_event!(EventCode::RequestCancelled, request = request);
        }
    }

    fn has_room(&self, kind: LineKind) -> bool {
        let now = self.clock.now();
        self.budget.lock().try_take(kind, now)
    }
}

fn count_request(inputs: &Inputs, status: u16, source: &'static str, latency: Duration) {
    let service = inputs.service.clone();
    metrics::counter!(
        "foxtide_requests_total",
        "service" => service.clone(), "source" => source, "status" => status.to_string()
    )
    .increment(1);
    metrics::histogram!("foxtide_request_seconds", "service" => service, "source" => source)
        .record(latency.as_secs_f64());
}

/// A new configuration is in force.
pub(crate) fn configuration_in_force(version: u64, before: Option<u64>, routes: usize) {
    metrics::gauge!("foxtide_configuration_version").set(version as f64);
    let before = before.unwrap_or_default();
    log_event!(
        EventCode::ConfigurationApplied,
        version = version,
        before = before,
        routes = routes
    );
}

/// The availability zones that get nothing have changed.
pub(crate) fn zones_evacuated(zones: &HashSet<AvailabilityZoneId>) {
    let mut names: Vec<&str> = zones.iter().map(AvailabilityZoneId::as_str).collect();
    names.sort_unstable();
    let zones = names.join(" ");
    log_event!(EventCode::ZonesEvacuated, zones = zones.as_str());
}

/// The registered upstreams have changed.
pub(crate) fn registry_changed(change: &RegistryChange) {
    match change {
        RegistryChange::None => {}
        RegistryChange::Joined(upstream) => {
            log_event!(EventCode::UpstreamAdded, upstream = upstream.as_str());
        }
        RegistryChange::Left(upstream) => {
            log_event!(EventCode::UpstreamRemoved, upstream = upstream.as_str());
        }
        RegistryChange::Doubted(upstream) => {
            log_event!(EventCode::UpstreamDoubted, upstream = upstream.as_str());
        }
    }
}

/// An upstream is passed over for a while.
pub(crate) fn upstream_ejected(upstream: &UpstreamId, failure_share: f64, result: AttemptResult) {
    metrics::counter!("foxtide_upstream_ejections_total").increment(1);
    log_event!(
        EventCode::UpstreamEjected,
        upstream = upstream.as_str(),
        failure_share = failure_share,
        result:? = result
    );
}

/// An instance has joined.
pub(crate) fn member_joined(member: &Member) {
    log_event!(
        EventCode::MemberJoined,
        instance = member.instance.as_str(),
        address:% = member.caller_address
    );
}

/// An instance's lease has ended.
pub(crate) fn member_left(instance: &InstanceId, is_gone: bool) {
    if is_gone {
        log_event!(EventCode::MemberLeft, instance = instance.as_str());
    } else {
        log_event!(EventCode::MemberDoubted, instance = instance.as_str());
    }
}
