//! How attempts and requests end.

use super::event::{
    AttemptEnd,
    CopyNumber,
    Delivery, //
};
use super::fleet::Fleet;
use super::operation::CallerOutcome;
use super::process::KeptRun;
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

/// A refusal that comes later than this part of the deadline was held back.
const HELD_BACK_SHARE: f64 = 0.6;

impl Fleet {
    /// Takes the end of an attempt in.
    pub(super) fn attempt_ends(&mut self, number: AttemptNumber, end: AttemptEnd) {
        let Some(attempt) = self.attempts.remove(&number) else {
            // The request has ended: the answer comes too late.
            return;
        };
        let now = self.now;
        let kind = completion_kind(end);
        let draining = self.says_draining(&attempt.upstream) && end != AttemptEnd::NotSent;
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
            process.table.mark_not_run(claim);
        }
        let Some(tools) = process.services.get_mut(&attempt.service) else {
            return;
        };
        if end == AttemptEnd::Answered {
            tools.hedge_delay.record(now - attempt.sent_at);
        }
        let step = copy
            .attempts
            .ended(attempt.id, result, &mut tools.budget, now);
        let gave_up = matches!(step, Step::GiveUp(_));
        if let (AttemptEnd::Refused, true, Some(steering)) = (end, gave_up, &mut process.steering) {
            steering.refused_by(&attempt.region, now);
        }
        self.follow(attempt.copy, step);
    }

    /// Does what the decision on a request's attempts says.
    pub(super) fn follow(&mut self, number: CopyNumber, step: Step) {
        match step {
            Step::Answer(_) => self.finish(number),
            Step::Retry { after } => {
                let queued_at = self.now + after;
                let draw = self.next_draw();
                if let Some(copy) = self.copies.get_mut(&number) {
                    copy.region = None;
                    copy.draw = draw;
                    copy.queued_at = queued_at;
                    let place = copy.instance;
                    self.send(place, after, Delivery::Proceed(number));
                }
            }
            Step::Hedge | Step::Await => {}
            Step::GiveUp(give_up) => self.give_up(number, give_up),
        }
    }

    fn finish(&mut self, number: CopyNumber) {
        let Some(copy) = self.close(number, CompletionKind::Cancelled) else {
            return;
        };
        let operation = copy.operation;
        if let (Some(claim), Some(process)) = (copy.claim, self.process(copy.instance)) {
            process.table.finish(claim, KeptRun { operation });
        }
        self.tell_answer(operation, operation);
    }

    fn give_up(&mut self, number: CopyNumber, give_up: GiveUp) {
        let Some(copy) = self.close(number, CompletionKind::Cancelled) else {
            return;
        };
        let mut told: CallerOutcome = give_up.outcome.into();
        if let (Some(claim), Some(process)) = (copy.claim, self.process(copy.instance)) {
            let outcome = process.table.abandon(claim);
            told = outcome.into();
        }
        if told == CallerOutcome::NotRun {
            let reason = match copy.refused_for {
                Some(reason) => reason.to_string(),
                None => give_up.reason.to_string(),
            };
            *self.record.rejections.entry(reason).or_default() += 1;
        }
        let waited = self.now - copy.received_at;
        let time = copy.deadline - copy.received_at;
        if told == CallerOutcome::NotRun && waited > time.mul_f64(HELD_BACK_SHARE) {
            let operation = copy.operation;
            let breach = format!("request {operation} waited {waited:?} for its refusal");
            self.record.violations.late_rejections.push(breach);
        }
        self.tell(copy.operation, told);
    }

    /// Ends a copy's running attempts and forgets it.
    pub(super) fn close(
        &mut self,
        number: CopyNumber,
        kind: CompletionKind,
    ) -> Option<RequestCopy> {
        let copy = self.copies.remove(&number)?;
        let now = self.now;
        for attempt in &copy.running {
            let Some(attempt) = self.call_off(*attempt) else {
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

    /// Ends a copy whose time has run out.
    pub(super) fn deadline(&mut self, number: CopyNumber) {
        let Some(copy) = self.copies.get(&number) else {
            return;
        };
        let outcome = copy.attempts.outcome();
        let Some(copy) = self.close(number, CompletionKind::TimedOut) else {
            return;
        };
        let mut told: CallerOutcome = outcome.into();
        if let (Some(claim), Some(process)) = (copy.claim, self.process(copy.instance)) {
            told = process.table.abandon(claim).into();
        }
        self.tell(copy.operation, told);
    }

    fn reported_load(&self, upstream: &UpstreamId) -> Option<LoadReport> {
        let utilization = self.upstreams.get(upstream)?.reported_utilization();
        Some(LoadReport { utilization })
    }

    fn says_draining(&self, upstream: &UpstreamId) -> bool {
        let upstream = self.upstreams.get(upstream);
        upstream.is_some_and(|upstream| upstream.drains_since.is_some())
    }
}

fn completion_kind(end: AttemptEnd) -> CompletionKind {
    match end {
        AttemptEnd::NotSent => CompletionKind::NotSent,
        AttemptEnd::Refused => CompletionKind::Refused,
        AttemptEnd::Answered => CompletionKind::Answered,
        AttemptEnd::Lost => CompletionKind::Lost,
    }
}

fn attempt_result(end: AttemptEnd) -> AttemptResult {
    match end {
        AttemptEnd::NotSent => AttemptResult::NotSent,
        AttemptEnd::Refused => AttemptResult::Refused { retry_after: None },
        AttemptEnd::Answered => AttemptResult::Answered,
        AttemptEnd::Lost => AttemptResult::Lost,
    }
}
