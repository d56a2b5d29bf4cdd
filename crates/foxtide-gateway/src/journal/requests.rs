//! Rate-limited log lines and metrics about requests.

use super::labels::RouteLabels;
use crate::outcome::{
    AttemptEnd,
    Reply,
    RequestTrace, //
};
use crate::state::{
    NoUpstream,
    Pick, //
};
use foxtide_clock::SteadyClock;
use foxtide_core::ids::{
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::placement::Slowness;
use foxtide_core::throttle::LimitReport;
use foxtide_events::{
    EventCode,
    LineKind,
    LogRateLimiter,
    SuppressedLines,
    log_event, //
};
use parking_lot::Mutex;
use std::time::Duration;

/// Logs requests, limited in rate.
#[derive(Debug)]
pub(crate) struct Journal {
    clock: SteadyClock,
    /// The region of this instance.
    origin: RegionId,
    rate_limiter: Mutex<LogRateLimiter>,
    routes: RouteLabels,
}

impl Journal {
    /// Returns a journal without suppressed lines of an instance in the region `origin`.
    pub(crate) fn new(clock: SteadyClock, origin: RegionId) -> Self {
        Self {
            clock,
            origin,
            rate_limiter: Mutex::new(LogRateLimiter::new(clock.now())),
            routes: RouteLabels::default(),
        }
    }

    /// Logs the number of lines suppressed since the last call, if any.
    pub(crate) fn summarise(&self) {
        let suppressed = self.rate_limiter.lock().take_suppressed();
        if suppressed != SuppressedLines::default() {
            log_event!(
                EventCode::LinesLeftOut,
                answered = suppressed.answered,
                failed = suppressed.failed
            );
        }
    }

    /// Logs and counts a send that was prevented as its destination stands outside the
    /// request's homes.
    pub(crate) fn send_outside_homes(
        &self,
        request: &str,
        to: &str,
        region: &RegionId,
        homes: &[RegionId],
    ) {
        metrics::counter!("foxtide_sends_outside_homes_total").increment(1);
        if !self.may_log(LineKind::Failed) {
            return;
        }
        let homes: Vec<&str> = homes.iter().map(RegionId::as_str).collect();
        log_event!(
            EventCode::SendOutsideHomes,
            request = request,
            to = to,
            region:% = region,
            homes = homes.join(" ").as_str()
        );
    }

    /// Logs and counts a request that has its reply.
    pub(crate) fn request_ended(&self, trace: &RequestTrace, reply: &Reply, latency: Duration) {
        let status = reply.status();
        let source = reply.source();
        self.count_request(trace, status, source, latency);
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let slot_wait_ms = trace.slot_wait.as_millis() as u64;
        let is_answered = status < 400;
        // Late answers count against the limit for failures.
        let kind = if is_answered && latency <= trace.latency_objective {
            LineKind::Answered
        } else {
            LineKind::Failed
        };
        // 0 if it is unknown.
        let slowness_percent = trace.slowness.map_or(0, Slowness::percent);
        let objective_ms = trace.latency_objective.as_millis() as u64;
        if !self.may_log(kind) {
            return;
        }
        if is_answered {
            log_event!(
                EventCode::RequestAnswered,
                request = trace.request.as_str(),
                status = status,
                route = trace.route.as_str(),
                organisation = trace.organisation.as_str(),
                service = trace.service.as_str(),
                object = trace.object.as_str(),
                upstream = trace.upstream.as_str(),
                region = trace.region.as_str(),
                origin = self.origin.as_str(),
                attempts = trace.attempts,
                passed_to = trace.passed_to.as_str(),
                is_taken_over = trace.is_taken_over,
                rank = trace.rank,
                occupancy = trace.occupancy,
                slowness = slowness_percent,
                second_choice = trace.second_choice.as_str(),
                slot = trace.slot.as_str(),
                slot_wait_ms = slot_wait_ms,
                coordinator = trace.coordinator.as_str(),
                version = trace.version,
                knowledge_age_ms = trace.knowledge_age_ms,
                objective_ms = objective_ms,
                latency_ms = latency_ms
            );
        } else {
            let sends = trace.sends.to_string();
            log_event!(
                EventCode::RequestFailed,
                request = trace.request.as_str(),
                status = status,
                source = source,
                reason = trace.reason,
                step = trace.step.as_str(),
                sends = sends.as_str(),
                route = trace.route.as_str(),
                organisation = trace.organisation.as_str(),
                is_idempotent = trace.is_idempotent,
                service = trace.service.as_str(),
                object = trace.object.as_str(),
                fingerprint = trace.fingerprint.as_str(),
                upstream = trace.upstream.as_str(),
                region = trace.region.as_str(),
                origin = self.origin.as_str(),
                attempts = trace.attempts,
                passed_to = trace.passed_to.as_str(),
                is_taken_over = trace.is_taken_over,
                second_choice = trace.second_choice.as_str(),
                slot = trace.slot.as_str(),
                slot_wait_ms = slot_wait_ms,
                coordinator = trace.coordinator.as_str(),
                version = trace.version,
                knowledge_age_ms = trace.knowledge_age_ms,
                latency_ms = latency_ms
            );
        }
    }

    /// Logs and counts a reply that is not delivered, as it promises that its request has not run
    /// and a send may have run it.
    pub(crate) fn promise_withheld(&self, trace: &RequestTrace, reply: &Reply) {
        let (status, source) = (reply.status(), reply.source());
        metrics::counter!("foxtide_promises_withheld_total", "source" => source).increment(1);
        if self.may_log(LineKind::Step) {
            let sends = trace.sends.to_string();
            log_event!(
                EventCode::PromiseWithheld,
                request = trace.request.as_str(),
                status = status,
                source = source,
                sends = sends.as_str()
            );
        }
    }

    /// Logs and counts a request that is open when the grace time of a stop ends.
    pub(crate) fn request_open_at_end(&self, trace: &RequestTrace, age: Duration) {
        let step = trace.step.as_str();
        metrics::counter!("foxtide_requests_open_at_end_total", "step" => step).increment(1);
        if !self.may_log(LineKind::Failed) {
            return;
        }
        log_event!(
            EventCode::RequestOpenAtEnd,
            request = trace.request.as_str(),
            route = trace.route.as_str(),
            is_idempotent = trace.is_idempotent,
            step = step,
            attempts = trace.attempts,
            upstream = trace.upstream.as_str(),
            coordinator = trace.coordinator.as_str(),
            second_choice = trace.second_choice.as_str(),
            slot_wait_ms = trace.slot_wait.as_millis() as u64,
            age_ms = age.as_millis() as u64
        );
    }

    /// Logs and counts an attempt without a usable response.
    pub(crate) fn attempt_failed(
        &self,
        trace: &RequestTrace,
        pick: &Pick,
        end: &AttemptEnd,
        took: Duration,
    ) {
        // The status of the response; 0 for none.
        let mut response_status = 0;
        let (outcome, cause) = match end {
            AttemptEnd::Responded(_) => return,
            AttemptEnd::NotRun { status, .. } => {
                response_status = *status;
                ("not_run", "the upstream said so")
            }
            AttemptEnd::Withdrawn => ("not_sent", "the upstream wants no requests"),
            AttemptEnd::NotSent { cause } => ("not_sent", cause.as_str()),
            AttemptEnd::Unknown { cause } => ("unknown", cause.as_str()),
            AttemptEnd::TimedOut => ("timed_out", "no response in time"),
        };
        metrics::counter!("foxtide_attempts_failed_total", "outcome" => outcome).increment(1);
        if self.may_log(LineKind::Step) {
            log_event!(
                EventCode::AttemptFailed,
                request = trace.request.as_str(),
                route = trace.route.as_str(),
                fingerprint = trace.fingerprint.as_str(),
                service = trace.service.as_str(),
                outcome = outcome,
                status = response_status,
                cause = cause,
                upstream = pick.registration.upstream.as_str(),
                zone = pick.registration.availability_zone.as_str(),
                rank = pick.rank,
                occupancy = pick.occupancy,
                is_cold = pick.is_cold,
                connection = trace.connection.number,
                connection_requests = trace.connection.requests,
                took_ms = took.as_secs_f64() * 1_000.0
            );
        }
    }

    /// Logs that no upstream is eligible for a request.
    pub(crate) fn no_upstream(&self, request: &str, service: &ServiceId, reason: NoUpstream) {
        if self.may_log(LineKind::Step) {
            log_event!(
                EventCode::RequestUnplaced,
                request = request,
                service = service.as_str(),
                reason = reason.as_str()
            );
        }
    }

    /// Logs a response that belongs to another request.
    pub(crate) fn stray_response(&self, request: &str, upstream: &UpstreamId) {
        if self.may_log(LineKind::Step) {
            log_event!(
                EventCode::ResponseStray,
                request = request,
                upstream = upstream.as_str()
            );
        }
    }

    /// Logs and counts a request that waited for the acknowledgement of an end.
    pub(crate) fn request_held(&self, trace: &RequestTrace, time: Duration) {
        metrics::counter!("foxtide_requests_held_total").increment(1);
        if self.may_log(LineKind::Step) {
            log_event!(
                EventCode::RequestHeld,
                request = trace.request.as_str(),
                fingerprint = trace.fingerprint.as_str(),
                held_ms = time.as_millis() as u64
            );
        }
    }

    /// Logs and counts a request that an upstream's rate limit excludes there.
    pub(crate) fn request_throttled(
        &self,
        trace: &RequestTrace,
        upstream: &UpstreamId,
        report: Option<LimitReport>,
        retry_after: Duration,
    ) {
        metrics::counter!("foxtide_requests_throttled_total").increment(1);
        let limit = report.and_then(|report| report.limit);
        if self.may_log(LineKind::Step) {
            log_event!(
                EventCode::RequestThrottled,
                request = trace.request.as_str(),
                service = trace.service.as_str(),
                upstream = upstream.as_str(),
                coordinator = trace.coordinator.as_str(),
                limit = limit
                    .map_or_else(String::new, |limit| limit.to_string())
                    .as_str(),
                limit_age_ms = report.map_or(0, |report| report.age.as_millis() as u64),
                retry_after_ms = retry_after.as_millis() as u64
            );
        }
    }

    /// Logs and counts a caller that disconnected before its reply.
    pub(crate) fn caller_gone(&self, request: &str) {
        metrics::counter!("foxtide_callers_gone_total").increment(1);
        if self.may_log(LineKind::Failed) {
            log_event!(EventCode::RequestCancelled, request = request);
        }
    }

    pub(super) fn may_log(&self, kind: LineKind) -> bool {
        let now = self.clock.now();
        self.rate_limiter.lock().try_take(kind, now)
    }

    fn count_request(
        &self,
        trace: &RequestTrace,
        status: u16,
        source: &'static str,
        latency: Duration,
    ) {
        let route = self.routes.label(&trace.route);
        let service = trace.service.clone();
        metrics::counter!(
            "foxtide_requests_total",
            "route" => route.clone(), "service" => service.clone(),
            "source" => source, "status" => status.to_string()
        )
        .increment(1);
        if !trace.region.is_empty() {
            metrics::counter!(
                "foxtide_region_requests_total",
                "service" => service.clone(), "region" => trace.region.clone(),
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
