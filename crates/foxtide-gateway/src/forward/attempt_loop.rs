//! Makes attempts at a request until it has a reply.

use super::attempt::{
    AttemptReport,
    is_server_error, //
};
use super::caller::CallerWatch;
use super::hedge::EndedAttempt;
use super::homes::Homes;
use super::pass_on::PassOn;
use super::request::CallerRequest;
use super::route_match::RouteMatch;
use super::target::Target;
use crate::admission::{
    Slot,
    SlotAnswer, //
};
use crate::dialect::Dialect;
use crate::lifecycle::{
    STOP_RETRY_AFTER,
    STOPPING_REASON, //
};
use crate::outcome::{
    AttemptEnd,
    Refusal,
    Reply,
    RequestTrace,
    Step, //
};
use crate::poison::SendPermit;
use crate::shared::Shared;
use crate::state::{
    NoUpstream,
    Pick,
    PickRequest, //
};
use foxtide_core::ids::{
    ServiceId,
    UpstreamId, //
};
use foxtide_core::placement::ObjectKey;
use foxtide_core::poison::Fingerprint;
use foxtide_core::routing::Route;
use foxtide_http::WholeResponse;
use futures_lite::future::or;
use smol::Timer;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// The most failed attempts of which no byte was sent.
const UNSENT_ATTEMPTS_MAX: u32 = 4;

/// The failed attempts after which a request waits for the conclusion whether this instance
/// reaches any upstream.
const DOUBTFUL_ATTEMPTS: u32 = 2;

/// Retry-After of a request that did not run, if the latency of the upstream is unknown.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The bounds of Retry-After for a full upstream, whose next slot is free after about the
/// latency of one request.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_000);

/// The share by which Retry-After may exceed the time until an upstream gets requests again, so
/// that callers do not return all at once.
const RETURN_SPREAD: f64 = 0.25;

/// The state of a request between its attempts.
pub(super) struct AttemptLoop<'a, D> {
    pub(super) shared: &'a Arc<Shared<D>>,
    pub(super) request: &'a CallerRequest,
    pub(super) route_match: &'a RouteMatch,
    pub(super) route: &'a Route,
    /// The regions that may serve it under the configuration in force.
    pub(super) homes: Homes,
    pub(super) fingerprint: Fingerprint,
    /// How often it may be sent.
    pub(super) permit: SendPermit,
    /// The sent attempts when the permit was given.
    pub(super) attempts_at_permit: u32,
    pub(super) caller: &'a CallerWatch,
    pub(super) service: &'a ServiceId,
    /// The object that determines the order of upstreams; `None` if it has none.
    pub(super) object: Option<ObjectKey>,
    /// When the latency objective passes.
    pub(super) objective_at: Instant,
    /// The earlier of the caller's and the route's time limit.
    pub(super) deadline: Instant,
    pub(super) tried: Vec<UpstreamId>,
    /// Upstreams whose rate limits left it no token.
    pub(super) throttled: Vec<UpstreamId>,
    /// Attempts of which some byte was sent.
    pub(super) sent_attempts: u32,
    /// Attempts of which no byte was sent.
    pub(super) unsent_attempts: u32,
    /// The failure to report if no later attempt succeeds.
    pub(super) failure: Option<Reply>,
    pub(super) trace: RequestTrace,
}

/// What follows an attempt.
enum Next {
    Reply(Reply),
    Retry,
}

impl<'a, D: Dialect> AttemptLoop<'a, D> {
    /// Makes attempts until there is a reply.
    pub(super) async fn run(&mut self) -> Reply {
        loop {
            if let Some(reply) = self.pass_on().await {
                return reply;
            }
            let target = match self.prepare_before_end().await {
                Ok(Some(target)) => target,
                Ok(None) => continue,
                Err(reply) => return reply,
            };
            self.trace.step = Step::Upstream;
            let EndedAttempt { pick, report, took } = self.send(target).await;
            self.trace.slowness = report.slowness();
            let has_ended = report.has_ended;
            if let Next::Reply(reply) = self.conclude(&pick, report, took) {
                return reply;
            }
            if has_ended {
                self.trace.step = Step::Verdict;
                self.wait_for_verdict().await;
            }
        }
    }

    /// Prepares the next send, unless the request may outlast the process: no wait goes on past the
    /// last moment at which a stopping instance sends it.
    async fn prepare_before_end(&mut self) -> Result<Option<Target<'a>>, Reply> {
        let (lifecycle, deadline) = (&self.shared.lifecycle, self.deadline);
        let closed = async {
            lifecycle.send_window_closed(deadline).await;
            None
        };
        let prepared = or(async { Some(self.prepare().await) }, closed).await;
        match prepared {
            Some(Ok(Some(_))) if !lifecycle.may_send(deadline) => Err(self.stopping()),
            Some(prepared) => prepared,
            None => Err(self.stopping()),
        }
    }

    /// Waits until the request may be sent and returns its target; `None` if the choice has to be
    /// made again.
    ///
    /// # Errors
    ///
    /// Fails with the reply if it may not be sent any more.
    async fn prepare(&mut self) -> Result<Option<Target<'a>>, Reply> {
        if self.is_held() {
            self.trace.step = Step::Hold;
            self.wait_while_held().await;
            if let Some(reply) = self.recheck() {
                return Err(reply);
            }
        }
        let picked_version = self.homes.version;
        self.trace.step = Step::Slot;
        let Target { pick, slot } = self.acquire_target().await?;
        self.shared.wait_until_synced().await;
        if let Some(reply) = self.recheck() {
            return Err(reply);
        }
        let is_valid = self.shared.state.lock().is_pick_valid(&pick);
        if !is_valid
            || self.is_held()
            || self.lacks_grant(&pick, slot.as_ref())
            || !self.keeps_to_homes(&pick, picked_version)
        {
            return Ok(None);
        }
        Ok(Some(Target { pick, slot }))
    }

    /// Passes the request on if this instance reaches no upstream; returns the reply, if another
    /// instance is reachable. A request is passed on once at most.
    async fn pass_on(&mut self) -> Option<Reply> {
        if self.request.passed_on.is_some() {
            return None;
        }
        if self.unsent_attempts >= DOUBTFUL_ATTEMPTS {
            let late = async {
                Timer::at(self.deadline).await;
            };
            or(self.shared.reach.verdict(), late).await;
        }
        if !self.shared.reach.is_cut_off() {
            return None;
        }
        if let Some(reply) = self.recheck() {
            return Some(reply);
        }
        let pass_on = PassOn {
            shared: self.shared,
            request: self.request,
            route: self.route,
            homes: &self.homes,
            caller: self.caller,
            deadline: self.deadline,
            sent_attempts: self.sent_attempts,
            failure: self.failure.clone(),
            is_counted: true,
        };
        self.trace.step = Step::PassedOn;
        pass_on.run(&mut self.trace).await
    }

    /// Tells whether the upstream has begun to limit its rate after the request was placed there
    /// without a grant.
    pub(super) fn lacks_grant(&self, pick: &Pick, slot: Option<&Slot<'_>>) -> bool {
        let is_granted = slot.is_some_and(|slot| slot.answer() == SlotAnswer::Granted);
        !is_granted && !pick.is_limited && self.shared.state.lock().is_limited(&pick.registration)
    }

    /// Tells whether a picked upstream stands where the request may be served.
    ///
    /// However an upstream was chosen, this decides on the send. A pick that was made before the
    /// homes changed is made again; any other pick outside them is a fault of its chooser.
    pub(super) fn keeps_to_homes(&mut self, pick: &Pick, picked_version: u64) -> bool {
        let region = &pick.registration.region;
        if self.homes.permit(region) {
            return true;
        }
        if picked_version == self.homes.version {
            let upstream = &pick.registration.upstream;
            let journal = &self.shared.journal;
            self.homes
                .report(journal, self.request.id(), upstream.as_str(), region);
            self.tried.push(upstream.clone());
        }
        false
    }

    /// Picks an upstream that was not tried.
    pub(super) fn pick(&self) -> Result<Pick, NoUpstream> {
        self.shared.state.lock().pick(&PickRequest {
            service: self.service,
            object: self.object,
            regions: &self.homes.regions,
            tried: &self.tried,
            throttled: &self.throttled,
            requires_warm: false,
        })
    }

    /// Picks the object's next warm upstream in the region of `own`.
    pub(super) fn pick_neighbour(&self, own: &Pick) -> Result<Pick, NoUpstream> {
        let own = &own.registration;
        let tried: Vec<UpstreamId> = self.tried.iter().chain([&own.upstream]).cloned().collect();
        self.shared.state.lock().pick(&PickRequest {
            service: self.service,
            object: self.object,
            regions: std::slice::from_ref(&own.region),
            tried: &tried,
            throttled: &self.throttled,
            requires_warm: true,
        })
    }

    pub(super) fn is_first_attempt(&self) -> bool {
        self.tried.is_empty()
    }

    /// Returns the reply to a request that cannot be served before the process ends. Another
    /// instance takes it at once.
    fn stopping(&mut self) -> Reply {
        if self.failure.is_none() {
            self.trace.reason = STOPPING_REASON;
        }
        let refused = Refusal::NotRun {
            retry_after: STOP_RETRY_AFTER,
        };
        self.failure.clone().unwrap_or_else(|| refused.into())
    }

    /// Returns the reply if no slot becomes free before the deadline, or before the process ends.
    pub(super) fn no_slot(&mut self, pick: &Pick, retry_after: Duration) -> Reply {
        self.trace.record_attempt(pick);
        if self.shared.lifecycle.may_outlast_process(self.deadline) {
            return self.stopping();
        }
        if self.failure.is_none() {
            self.trace.reason = "no_slot_in_time";
        }
        let refused = Refusal::NotRun { retry_after };
        self.failure.clone().unwrap_or_else(|| refused.into())
    }

    fn conclude(&mut self, pick: &Pick, report: AttemptReport, took: Duration) -> Next {
        let upstream = pick.registration.upstream.clone();
        self.trace.connection = report.connection;
        let journal = &self.shared.journal;
        journal.attempt_failed(&self.trace, pick, &report.end, took);
        let is_begun = !matches!(report.end, AttemptEnd::Withdrawn);
        if is_begun {
            self.trace.record_attempt(pick);
        }
        if is_begun && !self.may_retry_same_upstream(&report.end) {
            self.tried.push(upstream);
        }
        match report.end {
            AttemptEnd::Withdrawn => Next::Retry,
            AttemptEnd::Responded(response) => self.responded(response),
            AttemptEnd::NotRun {
                is_other_incarnation,
                ..
            } => {
                self.sent_attempts += 1;
                if is_other_incarnation {
                    let mut state = self.shared.state.lock();
                    state.discard_reused_address(&pick.registration);
                }
                if self.failure.is_none() {
                    self.trace.reason = "upstream_refused";
                }
                self.retry_or(self.not_run())
            }
            AttemptEnd::NotSent { .. } => {
                self.unsent_attempts += 1;
                self.trace.reason = "upstreams_unreachable";
                if self.unsent_attempts >= UNSENT_ATTEMPTS_MAX {
                    return Next::Reply(self.not_run());
                }
                Next::Retry
            }
            AttemptEnd::Unknown { .. } => self.unknown(Refusal::Failed),
            AttemptEnd::TimedOut => {
                self.sent_attempts += 1;
                self.trace.reason = "time_up_at_upstream";
                Next::Reply(Refusal::TimedOut.into())
            }
        }
    }

    /// Tells whether a retry may go to the same upstream: it refused although a slot was
    /// granted, so it is not full, and it knows the object.
    fn may_retry_same_upstream(&self, end: &AttemptEnd) -> bool {
        let is_refused = matches!(
            end,
            AttemptEnd::NotRun {
                is_other_incarnation: false,
                ..
            }
        );
        is_refused && self.trace.slot == SlotAnswer::Granted
    }

    /// Replies with the response, unless it is a server error and another attempt follows.
    fn responded(&mut self, response: Box<WholeResponse>) -> Next {
        self.sent_attempts += 1;
        let is_error = is_server_error(&response);
        if is_error {
            self.trace.reason = "upstream_error";
        }
        let reply = Reply::Response(response);
        if !is_error || !self.route.is_idempotent {
            return Next::Reply(reply);
        }
        self.failure = Some(reply.clone());
        self.retry_or(reply)
    }

    /// Handles a lost response: only an idempotent request is retried.
    fn unknown(&mut self, refusal: Refusal) -> Next {
        self.sent_attempts += 1;
        self.trace.reason = if self.shared.lifecycle.is_ending() {
            STOPPING_REASON
        } else {
            "response_lost"
        };
        let reply = Reply::from(refusal);
        if !self.route.is_idempotent {
            return Next::Reply(reply);
        }
        self.failure = Some(reply.clone());
        self.retry_or(reply)
    }

    /// Retries if the route and the retry budget allow it.
    fn retry_or(&mut self, reply: Reply) -> Next {
        let may_retry = self.sent_attempts < self.route.attempts_max
            && self.shared.state.lock().take_retry(self.service);
        if may_retry {
            Next::Retry
        } else {
            Next::Reply(reply)
        }
    }

    /// Returns the reply if no attempt ran the request.
    pub(super) fn not_run(&self) -> Reply {
        let not_run = Refusal::NotRun {
            retry_after: self.retry_after(),
        };
        self.failure.clone().unwrap_or_else(|| not_run.into())
    }

    /// Estimates when the first upstream that was tried has a free slot.
    fn retry_after(&self) -> Duration {
        let own = self.tried.first();
        let state = self.shared.state.lock();
        let latency = own.and_then(|upstream| state.latency(upstream));
        latency.map_or(RETRY_AFTER, |latency| {
            latency.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
        })
    }

    pub(super) fn no_upstream(&mut self, reason: NoUpstream) -> Reply {
        // If all upstreams were tried, the reason of the last failure stays.
        if reason != NoUpstream::AllTried || self.trace.reason.is_empty() {
            let journal = &self.shared.journal;
            journal.no_upstream(self.request.id(), self.service, reason);
            self.trace.reason = reason.as_str();
        }
        let available_in = match reason {
            NoUpstream::AllUnavailable { retry_after, .. } => Some(retry_after),
            NoUpstream::AllTried => self.shared.state.lock().rest_left(&self.tried),
            NoUpstream::NoneRegistered | NoUpstream::AllCold => None,
        };
        let Some(available_in) = available_in else {
            return self.not_run();
        };
        let spread = 1.0 + RETURN_SPREAD * fastrand::f64();
        let refused = Refusal::NotRun {
            retry_after: available_in.max(RETRY_AFTER_MIN).mul_f64(spread),
        };
        self.failure.clone().unwrap_or_else(|| refused.into())
    }

    /// Returns the reply if the deadline passes between attempts.
    pub(super) fn out_of_time(&mut self) -> Reply {
        // An earlier failure is the reply, and its reason stays.
        if self.failure.is_none() {
            self.trace.reason = "time_up_before_sending";
        }
        self.not_run()
    }
}
