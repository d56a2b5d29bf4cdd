//! Prepares a request for its first attempt: homes, quota, quarantine and service.

use super::attempt_loop::{
    AttemptLoop,
    RETRY_AFTER, //
};
use super::caller::CallerWatch;
use super::pass_on::PassOn;
use super::promise::withhold_untrue_promise;
use super::recheck::{
    NO_COMMON_HOME_REASON,
    QUARANTINED_REASON, //
};
use super::request::CallerRequest;
use super::route_match::RouteMatch;
use crate::dialect::Dialect;
use crate::lifecycle::{
    STOP_RETRY_AFTER,
    STOPPING_REASON, //
};
use crate::outcome::{
    Refusal,
    Reply,
    RequestTrace,
    Step, //
};
use crate::poison::{
    self,
    SendPermit, //
};
use crate::quotas::{
    self,
    QuotaRefusal, //
};
use crate::shared::Shared;
use foxtide_core::ids::ServiceId;
use foxtide_core::poison::Fingerprint;
use foxtide_core::routing::Route;
use futures_lite::future::or;
use std::sync::Arc;
use std::time::Instant;

/// Forwards a request and returns the reply with its trace.
pub(crate) async fn forward<D: Dialect>(
    shared: &Arc<Shared<D>>,
    request: &CallerRequest,
    route_match: &RouteMatch,
    caller: &CallerWatch,
) -> (Reply, RequestTrace) {
    let (reply, trace) = forward_to_any(shared, request, route_match, caller).await;
    (withhold_untrue_promise(shared, reply, &trace), trace)
}

/// Forwards a request to an upstream, or to another instance.
async fn forward_to_any<D: Dialect>(
    shared: &Arc<Shared<D>>,
    request: &CallerRequest,
    route_match: &RouteMatch,
    caller: &CallerWatch,
) -> (Reply, RequestTrace) {
    let route = &*route_match.route;
    let mut trace = RequestTrace::new(request.id(), "");
    trace.route.clone_from(&route.name);
    trace.is_idempotent = route.is_idempotent;
    trace.latency_objective = route.latency_objective;
    if let Some(terms) = route_match.caller.organisation() {
        trace.organisation = terms.organisation.to_string();
    }
    let fingerprint = request.fingerprint(&route_match.caller);
    trace.fingerprint = fingerprint.to_string();
    let passed_on = request.passed_on.unwrap_or_default();
    trace.is_taken_over = request.passed_on.is_some();
    let Some(homes) = route_match.homes() else {
        trace.reason = NO_COMMON_HOME_REASON;
        let retry_after = RETRY_AFTER;
        return (Refusal::NotRun { retry_after }.into(), trace);
    };
    let deadline = deadline(shared, request, route);
    if request.passed_on.is_none() && is_cut_off(shared, route_match).await {
        // The instance that takes the request counts it.
        let pass_on = PassOn {
            shared: &**shared,
            request,
            route,
            homes: &homes,
            caller,
            deadline,
            sent_attempts: 0,
            failure: None,
            is_counted: false,
        };
        trace.step = Step::PassedOn;
        if let Some(reply) = pass_on.run(&mut trace).await {
            return (reply, trace);
        }
    }
    let entering = enter(shared, route_match, fingerprint, passed_on.is_counted);
    let closed = async {
        shared.lifecycle.send_window_closed(deadline).await;
        let retry_after = STOP_RETRY_AFTER;
        Err((Refusal::NotRun { retry_after }, STOPPING_REASON))
    };
    let permit = match or(entering, closed).await {
        Ok(permit) => permit,
        Err((refused, reason)) => {
            trace.reason = reason;
            return (refused.into(), trace);
        }
    };
    let Some(service) = begin(shared, route, passed_on.is_counted, &mut trace) else {
        trace.reason = "no_service_has_weight";
        let retry_after = RETRY_AFTER;
        return (Refusal::NotRun { retry_after }.into(), trace);
    };
    let object = request.object(route);
    trace.object = object.map_or_else(String::new, |object| object.to_string());
    let mut attempt_loop = AttemptLoop {
        shared,
        request,
        route_match,
        route,
        homes,
        fingerprint,
        permit,
        attempts_at_permit: passed_on.sent_attempts,
        caller,
        service: &service,
        object,
        objective_at: shared.clock.instant(
            request.received_at + route.latency_objective.saturating_sub(passed_on.waited),
        ),
        deadline,
        tried: Vec::new(),
        throttled: Vec::new(),
        sent_attempts: passed_on.sent_attempts,
        unsent_attempts: 0,
        failure: None,
        trace,
    };
    let reply = attempt_loop.run().await;
    if shared.lifecycle.is_ending() {
        let age = shared.clock.now() - request.received_at;
        let journal = &shared.journal;
        journal.request_open_at_end(&attempt_loop.trace, age);
    }
    (reply, attempt_loop.trace)
}

/// Takes a token of the quota, unless another instance has counted the request, and a permit to
/// send it.
///
/// # Errors
///
/// Fails with the refusal and its reason for logs.
async fn enter<D: Dialect>(
    shared: &Shared<D>,
    route_match: &RouteMatch,
    fingerprint: Fingerprint,
    is_counted: bool,
) -> Result<SendPermit, (Refusal, &'static str)> {
    if !is_counted && let Err(refusal) = take_token(shared, route_match).await {
        let retry_after = refusal.retry_after;
        let refused = Refusal::OverQuota { retry_after };
        return Err((refused, refused.reason()));
    }
    shared.wait_until_synced().await;
    let permit = poison::admit(shared, fingerprint).await;
    permit.map_err(|retry_after| (Refusal::NotRun { retry_after }, QUARANTINED_REASON))
}

/// Tells whether this instance reaches no upstream, and still has the configuration under which the
/// request was matched.
async fn is_cut_off<D: Dialect>(shared: &Shared<D>, route_match: &RouteMatch) -> bool {
    if !shared.reach.is_cut_off() {
        return false;
    }
    shared.wait_until_synced().await;
    let routes = shared.state.lock().routes();
    routes.is_some_and(|routes| routes.version() == route_match.version)
}

/// Takes a token of the organisation's quota, if it has one, before a slot is asked for.
async fn take_token<D: Dialect>(
    shared: &Shared<D>,
    route_match: &RouteMatch,
) -> Result<(), QuotaRefusal> {
    let Some(terms) = route_match.caller.organisation() else {
        return Ok(());
    };
    let Some(quota) = terms.quota else {
        return Ok(());
    };
    // Requests of one organisation are ranked by their routes' priorities.
    let priority = route_match.route.priority;
    let taken = quotas::take_token(shared, &terms.organisation, quota, priority).await;
    taken.inspect_err(|refusal| {
        let now = shared.clock.now();
        shared.quotas.record_refusal(terms, refusal, now);
    })
}

/// Picks the service and counts the request, unless another instance has.
fn begin<D>(
    shared: &Shared<D>,
    route: &Route,
    is_counted: bool,
    trace: &mut RequestTrace,
) -> Option<ServiceId> {
    let mut state = shared.state.lock();
    trace.version = state.routes().map_or(0, |routes| routes.version());
    trace.knowledge_age_ms = state.knowledge_age().as_millis() as u64;
    let service = state.pick_service(route)?;
    if !is_counted {
        state.count_request(&service);
    }
    trace.service = service.to_string();
    Some(service)
}

/// Returns the earlier of the caller's and the route's time limit.
fn deadline<D: Dialect>(shared: &Shared<D>, request: &CallerRequest, route: &Route) -> Instant {
    let limit = match request.headers.time_left {
        Some(time_left) => time_left.min(route.timeout),
        None => route.timeout,
    };
    shared.clock.instant(request.received_at + limit)
}
