//! Completes attempts and requests at an instance.

use super::event::{
    AttemptEnd,
    CopyNumber,
    Delivery, //
};
use super::fleet::Fleet;
use super::operation::CallerOutcome;
use super::process::StoredAnswer;
use super::requests::RequestCopy;
use super::upstream::AttemptNumber;
use foxtide_core::choice::{
    Completion,
    CompletionKind,
    LoadReport, //
};
use foxtide_core::ids::UpstreamId;
use foxtide_core::retry::{
    AttemptResult,
    GiveUp,
    Step, //
};

/// A rejection later than this share of the deadline breaks the promise to reject at
/// once.
const LATE_REJECTION_SHARE: f64 = 0.6;

impl Fleet {
    /// Reports the end of an attempt to the balancer and the retry policy, and applies
    /// the policy's decision.
    pub(super) fn finish_attempt(&mut self, number: AttemptNumber, end: AttemptEnd) {
        let Some(attempt) = self.attempts.remove(&number) else {
            // The request has already ended.
            return;
        };
        let now = self.now;
        let kind = completion_kind(end);
        let draining = self.reports_draining(&attempt.upstream) && end != AttemptEnd::NotSent;
        let load = self.reported_load(&attempt.upstream);
        let completion = Completion {
            load: load.filter(|_| kind == CompletionKind::Answered),
            draining: draining && kind == CompletionKind::Answered,
            ..Completion::new(kind, now - attempt.sent_at)
        };
        let Some(copy) = self.copies.get_mut(&attempt.copy) else {
            return;
        };
        copy.running.retain(|running| *running != number);
        let Some(process) = &mut self.instances[copy.instance].process else {
            return;
        };
        if let Some(balancer) = process.balancer(&attempt.service, &attempt.region) {
            balancer.finish(attempt.ticket, completion, now);
        }
        let result = attempt_result(end);
        if let Some(claim) = copy.claim.as_ref().filter(|_| result.is_not_run()) {
            process.key_table.mark_not_run(claim);
        }
        let Some(state) = process.services.get_mut(&attempt.service) else {
            return;
        };
        if end == AttemptEnd::Answered {
            state.hedge_delay.record(now - attempt.sent_at);
        }
        let step = copy
            .attempts
            .end(attempt.id, result, &mut state.retry_budget, now);
        let gave_up = matches!(step, Step::GiveUp(_));
        if let (AttemptEnd::Refused, true, Some(steering)) = (end, gave_up, &mut process.steering) {
            steering.record_rejection(&attempt.region, now);
        }
        self.apply_step(attempt.copy, step);
    }

    /// Applies the retry policy's decision on a request.
    pub(super) fn apply_step(&mut self, number: CopyNumber, step: Step) {
        match step {
            Step::Answer(_) => self.finish_copy(number),
            Step::Retry { after } => {
                let queued_at = self.now + after;
                let draw = self.next_draw();
                if let Some(copy) = self.copies.get_mut(&number) {
                    copy.region = None;
                    copy.draw = draw;
                    copy.queued_at = queued_at;
                    let index = copy.instance;
                    self.send(index, after, Delivery::Proceed(number));
                }
            }
            Step::Hedge | Step::Await => {}
            Step::GiveUp(give_up) => self.fail_copy(number, give_up),
        }
    }

    fn finish_copy(&mut self, number: CopyNumber) {
        let Some(copy) = self.close_copy(number, CompletionKind::Cancelled) else {
            return;
        };
        let operation = copy.operation;
        if let (Some(claim), Some(process)) = (copy.claim, self.process(copy.instance)) {
            process.key_table.finish(claim, StoredAnswer { operation });
        }
        self.answer_caller(operation, operation);
    }

    fn fail_copy(&mut self, number: CopyNumber, give_up: GiveUp) {
        let Some(copy) = self.close_copy(number, CompletionKind::Cancelled) else {
            return;
        };
        let mut result: CallerOutcome = give_up.outcome.into();
        if let (Some(claim), Some(process)) = (copy.claim, self.process(copy.instance)) {
            let outcome = process.key_table.abandon(claim);
            result = outcome.into();
        }
        if result == CallerOutcome::NotRun {
            let reason = match copy.rejection {
                Some(reason) => reason.to_string(),
                None => give_up.reason.to_string(),
            };
            *self.record.rejections.entry(reason).or_default() += 1;
        }
        let waited = self.now - copy.received_at;
        let time_limit = copy.deadline - copy.received_at;
        if result == CallerOutcome::NotRun && waited > time_limit.mul_f64(LATE_REJECTION_SHARE) {
            let operation = copy.operation;
            let breach = format!("request {operation} waited {waited:?} for its refusal");
            self.record.violations.late_rejections.push(breach);
        }
        self.notify_caller(copy.operation, result);
    }

    /// Cancels a copy's running attempts and removes the copy.
    pub(super) fn close_copy(
        &mut self,
        number: CopyNumber,
        kind: CompletionKind,
    ) -> Option<RequestCopy> {
        let copy = self.copies.remove(&number)?;
        let now = self.now;
        for attempt in &copy.running {
            let Some(attempt) = self.abandon_attempt(*attempt) else {
                continue;
            };
            let completion = Completion::new(kind, now - attempt.sent_at);
            let process = self.instances[copy.instance].process.as_mut();
            let balancer = process.and_then(|p| p.balancer(&attempt.service, &attempt.region));
            if let Some(balancer) = balancer {
                balancer.finish(attempt.ticket, completion, now);
            }
        }
        Some(copy)
    }

    /// Ends a copy whose deadline has passed.
    pub(super) fn expire_copy(&mut self, number: CopyNumber) {
        let Some(copy) = self.copies.get(&number) else {
            return;
        };
        let outcome = copy.attempts.outcome();
        let Some(copy) = self.close_copy(number, CompletionKind::TimedOut) else {
            return;
        };
        let mut result: CallerOutcome = outcome.into();
        if let (Some(claim), Some(process)) = (copy.claim, self.process(copy.instance)) {
            result = process.key_table.abandon(claim).into();
        }
        self.notify_caller(copy.operation, result);
    }

    fn reported_load(&self, upstream: &UpstreamId) -> Option<LoadReport> {
        let utilization = self.upstreams.get(upstream)?.reported_utilization();
        Some(LoadReport { utilization })
    }

    fn reports_draining(&self, upstream: &UpstreamId) -> bool {
        let upstream = self.upstreams.get(upstream);
        upstream.is_some_and(|upstream| upstream.draining_since.is_some())
    }
}

fn completion_kind(end: AttemptEnd) -> CompletionKind {
    match end {
        AttemptEnd::NotSent => CompletionKind::NotSent,
        AttemptEnd::Refused => CompletionKind::Rejected,
        AttemptEnd::Answered => CompletionKind::Answered,
        AttemptEnd::Lost => CompletionKind::Lost,
    }
}

fn attempt_result(end: AttemptEnd) -> AttemptResult {
    match end {
        AttemptEnd::NotSent => AttemptResult::NotSent,
        AttemptEnd::Refused => AttemptResult::Rejected { retry_after: None },
        AttemptEnd::Answered => AttemptResult::Answered,
        AttemptEnd::Lost => AttemptResult::Lost,
    }
}
