//! Handles requests at an instance: idempotency keys, admission, choice of an upstream
//! and hedging.

use super::event::{
    CopyNumber,
    Delivery, //
};
use super::fleet::Fleet;
use super::operation::{
    CallerOutcome,
    OperationNumber,
    RequestKind, //
};
use super::options::BrokenRule;
use super::upstream::AttemptNumber;
use foxtide_core::choice::{
    Pick,
    Ticket, //
};
use foxtide_core::idempotency::{
    Begin,
    Claim,
    Fingerprint,
    Table,
    TableOptions, //
};
use foxtide_core::ids::{
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::organisation::Priority;
use foxtide_core::retry::{
    Attempts,
    GiveUpReason,
    RequestTerms,
    RetryOptions,
    Step, //
};
use foxtide_core::steering::{
    Admission,
    RejectionReason, //
};
use foxtide_core::time::MonotonicTime;
use rand::RngExt;
use std::time::Duration;

/// Step between successive draws; the fractional parts of its multiples are spread evenly
/// over [0, 1).
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Longest delay before an instance tries again to pick an upstream.
const PICK_DELAY_MAX: Duration = Duration::from_millis(20);

/// A copy of a request that an instance is handling.
#[derive(Debug)]
pub(super) struct RequestCopy {
    pub(super) operation: OperationNumber,
    pub(super) instance: usize,
    pub(super) service: ServiceId,
    pub(super) attempts: Attempts,
    pub(super) running: Vec<AttemptNumber>,
    pub(super) draw: f64,
    pub(super) region: Option<RegionId>,
    tried: Vec<UpstreamId>,
    pub(super) claim: Option<Claim>,
    pub(super) rejection: Option<RejectionReason>,
    pub(super) received_at: MonotonicTime,
    /// When it started to wait for its next attempt.
    pub(super) queued_at: MonotonicTime,
    pub(super) deadline: MonotonicTime,
}

impl Fleet {
    /// Starts a request at an instance, or answers it from the table of idempotency keys.
    pub(super) fn receive_request(&mut self, number: OperationNumber, index: usize) {
        let now = self.now;
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        operation.received_at = now;
        let (service, key) = (operation.service.clone(), operation.key.clone());
        self.count_request(service, index);
        let Some(key) = key else {
            self.start_copy(number, index, None);
            return;
        };
        let fingerprint = Fingerprint::of([number.to_le_bytes().as_slice()]);
        let wall = self.instances[index].wall(now);
        self.clear_keys(index);
        let Some(process) = self.process(index) else {
            return;
        };
        match process.key_table.begin(&key, fingerprint, wall) {
            Begin::Run(claim) => self.start_copy(number, index, Some(claim)),
            Begin::InProgress { retry_after } => self.defer_caller(number, retry_after),
            Begin::Replay(run) => self.answer_caller(number, run.operation),
            Begin::NotOwner => self.redirect(number, index),
            Begin::Reject(rejection) => self.notify_caller(number, rejection.outcome().into()),
        }
    }

    fn count_request(&mut self, service: ServiceId, index: usize) {
        let instance = &self.instances[index];
        let requests = self
            .record
            .requests
            .entry((service.clone(), instance.region.clone()));
        requests.or_default().count(self.now);
        let arrivals = self.record.arrivals.entry((instance.id.clone(), service));
        *arrivals.or_default() += 1;
    }

    /// Clears the table of idempotency keys if the scenario breaks that rule on purpose.
    fn clear_keys(&mut self, index: usize) {
        if self.options.broken_rule != Some(BrokenRule::ForgottenKey) {
            return;
        }
        if let Some(process) = self.process(index) {
            let owner = process.key_table.owner().clone();
            process.key_table = Table::new(owner, TableOptions::default());
        }
    }

    /// Sends a caller an answer; the answer to another request is recorded as a breach.
    pub(super) fn answer_caller(&mut self, number: OperationNumber, answered: OperationNumber) {
        if number != answered {
            let breach = format!("request {number} got the answer to {answered}");
            self.record.violations.wrong_answers.push(breach);
        }
        self.notify_caller(number, CallerOutcome::Done);
    }

    /// Redirects a caller to the instance that owns its idempotency key.
    fn redirect(&mut self, number: OperationNumber, index: usize) {
        let key = self.operations.get(&number).and_then(|o| o.key.clone());
        let Some(key) = key else {
            return;
        };
        let owner = &key.owner().instance;
        let process = self.instances[index].process.as_ref();
        let member = process.and_then(|process| process.membership.member(owner));
        let is_member = member.is_some_and(|member| member.state.is_running());
        let index = self.instance_index(owner).filter(|_| is_member);
        match index.filter(|index| self.instances[*index].process.is_some()) {
            Some(index) => {
                let delay = self.network.delay(
                    &self.operations[&number].region,
                    &self.instances[index].region,
                );
                if let Some(delay) = delay {
                    self.send(index, delay * 2, Delivery::Request(number));
                }
            }
            None => self.notify_caller(number, CallerOutcome::Unknown),
        }
    }

    fn start_copy(&mut self, number: OperationNumber, index: usize, claim: Option<Claim>) {
        let deadline = self.now + self.deadline_of(number);
        let Some(operation) = self.operations.get(&number) else {
            return;
        };
        let service = operation.service.clone();
        let terms = self.request_terms(index, &service, operation.kind, deadline);
        let copy = self.next_number();
        let draw = self.next_draw();
        self.copies.insert(
            copy,
            RequestCopy {
                operation: number,
                instance: index,
                service,
                attempts: Attempts::new(terms, RetryOptions::default()),
                running: Vec::new(),
                draw,
                region: None,
                tried: Vec::new(),
                claim,
                rejection: None,
                received_at: self.now,
                queued_at: self.now,
                deadline,
            },
        );
        self.send(index, deadline - self.now, Delivery::Deadline(copy));
        self.send_next_attempt(copy);
    }

    /// Returns the draw in [0, 1) that selects the region of the next attempt.
    pub(super) fn next_draw(&mut self) -> f64 {
        self.draws += 1;
        (self.draws as f64 * GOLDEN_RATIO).fract()
    }

    fn request_terms(
        &self,
        index: usize,
        service: &ServiceId,
        kind: RequestKind,
        deadline: MonotonicTime,
    ) -> RequestTerms {
        let retries_writes = self.options.broken_rule == Some(BrokenRule::NonIdempotentRetry);
        let contract = self.organisation.service(service).map(|s| &s.contract);
        let is_hedged = contract.is_some_and(|contract| contract.priority == Priority::Latency);
        let process = self.instances[index].process.as_ref();
        let state = process.and_then(|process| process.services.get(service));
        let delay = state.map(|state| state.hedge_delay.get());
        RequestTerms {
            idempotent: kind == RequestKind::Read || retries_writes,
            deadline,
            hedge_delay: delay.filter(|_| is_hedged && kind == RequestKind::Read),
        }
    }

    /// Sends a copy's next attempt, or schedules another try if none can be sent now.
    pub(super) fn send_next_attempt(&mut self, number: CopyNumber) {
        let Some(copy) = self.copies.get(&number) else {
            return;
        };
        let (index, service, draw) = (copy.instance, copy.service.clone(), copy.draw);
        let (region, tried) = (copy.region.clone(), copy.tried.clone());
        let Some(region) = region.or_else(|| self.admit(number, index, &service, draw)) else {
            return;
        };
        let now = self.now;
        let draw: u64 = self.rng.random();
        let process = self.process(index);
        let Some(balancer) = process.and_then(|p| p.balancer(&service, &region)) else {
            return self.fail_without_upstream(number);
        };
        match balancer.pick_avoiding(now, draw, &tried) {
            Pick::Take(ticket) => self.send_attempt(number, region, ticket),
            Pick::Wait { retry_in } | Pick::Throttled { retry_in } | Pick::Resting { retry_in } => {
                let retry_in = retry_in.min(PICK_DELAY_MAX);
                self.send(index, retry_in, Delivery::Proceed(number));
            }
            Pick::Empty => self.fail_without_upstream(number),
        }
    }

    /// Returns the region that steering admits the request to. Otherwise schedules
    /// another try or fails the copy.
    fn admit(
        &mut self,
        number: CopyNumber,
        index: usize,
        service: &ServiceId,
        draw: f64,
    ) -> Option<RegionId> {
        let now = self.now;
        let copy = self.copies.get(&number)?;
        let waited = now - copy.queued_at;
        let steering = self.process(index).and_then(|p| p.steering.as_mut());
        let Some(steering) = steering else {
            self.fail_without_upstream(number);
            return None;
        };
        match steering.admit(service, draw, waited, now) {
            Admission::Send { region, .. } => {
                self.copies.get_mut(&number)?.region = Some(region.clone());
                Some(region)
            }
            Admission::Wait { retry_in } => {
                self.send(index, retry_in, Delivery::Proceed(number));
                None
            }
            Admission::Reject { reason, .. } => {
                self.copies.get_mut(&number)?.rejection = Some(reason);
                self.fail_without_upstream(number);
                None
            }
        }
    }

    pub(super) fn fail_without_upstream(&mut self, number: CopyNumber) {
        if let Some(copy) = self.copies.get(&number) {
            let step = copy.attempts.cannot_send(GiveUpReason::NoUpstream);
            self.apply_step(number, step);
        }
    }

    fn send_attempt(&mut self, number: CopyNumber, region: RegionId, ticket: Ticket) {
        let now = self.now;
        let Some(copy) = self.copies.get_mut(&number) else {
            return;
        };
        let id = copy.attempts.begin(now);
        copy.tried.push(ticket.upstream().upstream.clone());
        let (index, service) = (copy.instance, copy.service.clone());
        let hedge_at = copy.attempts.hedge_at();
        if let (Some(claim), Some(process)) = (&copy.claim, &mut self.instances[index].process) {
            process.key_table.mark_written(claim);
        }
        let attempt = self.start_attempt(number, id, service, region, ticket);
        if let Some(copy) = self.copies.get_mut(&number) {
            copy.running.push(attempt);
        }
        if let Some(at) = hedge_at {
            self.send(index, at - now, Delivery::Hedge(number));
        }
    }

    /// Sends a hedged attempt if the retry budget allows it.
    pub(super) fn send_hedge(&mut self, number: CopyNumber) {
        let now = self.now;
        let draw = self.next_draw();
        let Some(copy) = self.copies.get_mut(&number) else {
            return;
        };
        let process = &mut self.instances[copy.instance].process;
        let state = process
            .as_mut()
            .and_then(|p| p.services.get_mut(&copy.service));
        let Some(state) = state else {
            return;
        };
        if copy.attempts.hedge(&mut state.retry_budget, now) == Step::Hedge {
            copy.region = None;
            copy.queued_at = now;
            copy.draw = draw;
            self.send_next_attempt(number);
        }
    }
}
