//! Lines about requests, bounded, and the metrics that go with them.

use super::labels::RouteLabels;
use crate::outcome::{
    AttemptEnd,
    Inputs,
    Reply, //
};
use crate::state::{
    NoUpstream,
    Pick, //
};
use foxtide_clock::SteadyClock;
use foxtide_core::ids::{
    ServiceId,
    UpstreamId, //
};
use foxtide_events::{
    EventCode,
    LineKind,
    LogRateLimiter,
    SuppressedLines,
    log_event, //
};
use parking_lot::Mutex;
use std::time::Duration;

/// Writes the lines about requests.
#[derive(Debug)]
pub(crate) struct Journal {
    clock: SteadyClock,
    budget: Mutex<LogRateLimiter>,
    routes: RouteLabels,
}

impl Journal {
    /// Returns a journal whose budget fills from now on.
    pub(crate) fn new(clock: SteadyClock) -> Self {
        Self {
            clock,
            budget: Mutex::new(LogRateLimiter::new(clock.now())),
            routes: RouteLabels::default(),
        }
    }

    /// Tells how many lines were left out since the last call, if any were.
    pub(crate) fn summarise(&self) {
        let left_out = self.budget.lock().take_suppressed();
        if left_out != SuppressedLines::default() {
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
        self.count_request(inputs, status, source, latency);
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let slot_wait_ms = inputs.slot_wait.as_millis() as u64;
        let is_answered = status < 400;
        // A late answer is a failure to those who ask after it.
        let kind = if is_answered && latency <= inputs.latency_objective {
            LineKind::Answered
        } else {
            LineKind::Failed
        };
        let objective_ms = inputs.latency_objective.as_millis() as u64;
        if !self.has_room(kind) {
            return;
        }
        if is_answered {
            log_event!(
                EventCode::RequestAnswered,
                request = inputs.request.as_str(),
                status = status,
                route = inputs.route.as_str(),
                organisation = inputs.organisation.as_str(),
                service = inputs.service.as_str(),
                object = inputs.object.as_str(),
                upstream = inputs.upstream.as_str(),
                region = inputs.region.as_str(),
                attempts = inputs.attempts,
                rank = inputs.rank,
                occupancy = inputs.occupancy,
                second_choice = inputs.second_choice.as_str(),
                slot = inputs.slot.as_str(),
                slot_wait_ms = slot_wait_ms,
                coordinator = inputs.coordinator.as_str(),
                version = inputs.version,
                knowledge_age_ms = inputs.knowledge_age_ms,
                objective_ms = objective_ms,
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
                organisation = inputs.organisation.as_str(),
                is_idempotent = inputs.is_idempotent,
                service = inputs.service.as_str(),
                object = inputs.object.as_str(),
                fingerprint = inputs.fingerprint.as_str(),
                upstream = inputs.upstream.as_str(),
                region = inputs.region.as_str(),
                attempts = inputs.attempts,
                second_choice = inputs.second_choice.as_str(),
                slot = inputs.slot.as_str(),
                slot_wait_ms = slot_wait_ms,
                coordinator = inputs.coordinator.as_str(),
                version = inputs.version,
                knowledge_age_ms = inputs.knowledge_age_ms,
                latency_ms = latency_ms
            );
        }
    }

    /// An attempt at an upstream has ended without a response to deliver.
    pub(crate) fn attempt_failed(
        &self,
        inputs: &Inputs,
        pick: &Pick,
        end: &AttemptEnd,
        took: Duration,
    ) {
        let (outcome, cause) = match end {
            AttemptEnd::Responded(_) => return,
            AttemptEnd::NotRun { .. } => ("not_run", "the upstream said so"),
            AttemptEnd::NotSent { cause } => ("not_sent", cause.as_str()),
            AttemptEnd::Unknown { cause } => ("unknown", cause.as_str()),
            AttemptEnd::TimedOut => ("timed_out", "no response in time"),
        };
        metrics::counter!("foxtide_attempts_failed_total", "outcome" => outcome).increment(1);
        if self.has_room(LineKind::Step) {
            log_event!(
                EventCode::AttemptFailed,
                request = inputs.request.as_str(),
                route = inputs.route.as_str(),
                fingerprint = inputs.fingerprint.as_str(),
                service = inputs.service.as_str(),
                outcome = outcome,
                cause = cause,
                upstream = pick.registration.upstream.as_str(),
                zone = pick.registration.availability_zone.as_str(),
                rank = pick.rank,
                occupancy = pick.occupancy,
                is_cold = pick.is_cold,
                took_ms = took.as_secs_f64() * 1_000.0
            );
        }
    }

    /// No upstream may get a request.
    pub(crate) fn no_upstream(&self, request: &str, service: &ServiceId, reason: NoUpstream) {
        if self.has_room(LineKind::Step) {
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
        if self.has_room(LineKind::Step) {
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

    fn count_request(&self, inputs: &Inputs, status: u16, source: &'static str, latency: Duration) {
        let route = self.routes.label(&inputs.route);
        let service = inputs.service.clone();
        metrics::counter!(
            "foxtide_requests_total",
            "route" => route.clone(), "service" => service.clone(),
            "source" => source, "status" => status.to_string()
        )
        .increment(1);
        if !inputs.region.is_empty() {
            metrics::counter!(
                "foxtide_region_requests_total",
                "service" => service.clone(), "region" => inputs.region.clone(),
                "source" => source
            )
            .increment(1);
        }
        metrics::histogram!(
            "foxtide_request_seconds",
            "route" => route, "service" => service, "source" => source
        )
        .record(latency.as_secs_f64());
    }
}
