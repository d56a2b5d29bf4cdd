//! What an instance does with a request: admission, choice, attempts.

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
    RefusalReason, //
};
use foxtide_core::time::MonotonicTime;
use rand::RngExt;
use std::time::Duration;

/// The step between two draws; multiples of it are spread evenly over [0, 1).
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The longest pause between two tries to find an upstream.
const PICK_PAUSE_MAX: Duration = Duration::from_millis(20);

/// One copy of a request at one instance.
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
    pub(super) refused_for: Option<RefusalReason>,
    pub(super) received_at: MonotonicTime,
    /// When it began to wait for its next attempt.
    pub(super) queued_at: MonotonicTime,
    pub(super) deadline: MonotonicTime,
}

impl Fleet {
    /// Takes a caller's request at an instance.
    pub(super) fn receive(&mut self, number: OperationNumber, place: usize) {
        let now = self.now;
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        operation.received_at = now;
        let (service, key) = (operation.service.clone(), operation.key.clone());
        self.count_request(service, place);
        let Some(key) = key else {
            self.start_copy(number, place, None);
            return;
        };
        let fingerprint = Fingerprint::of([number.to_le_bytes().as_slice()]);
        let wall = self.instances[place].wall(now);
        self.forget_keys(place);
        let Some(process) = self.process(place) else {
            return;
        };
        match process.table.begin(&key, fingerprint, wall) {
            Begin::Run(claim) => self.start_copy(number, place, Some(claim)),
            Begin::InProgress { retry_after } => self.tell_to_wait(number, retry_after),
            Begin::Replay(run) => self.tell_answer(number, run.operation),
            Begin::Elsewhere => self.redirect(number, place),
            Begin::Refuse(refusal) => self.tell(number, refusal.outcome().into()),
        }
    }

    fn count_request(&mut self, service: ServiceId, place: usize) {
        let instance = &self.instances[place];
        let asked = self
            .record
            .requests
            .entry((service.clone(), instance.region.clone()));
        asked.or_default().count(self.now);
        let arrivals = self.record.arrivals.entry((instance.id.clone(), service));
        *arrivals.or_default() += 1;
    }

    /// Empties the table of keys, where that rule is broken on purpose.
    fn forget_keys(&mut self, place: usize) {
        if self.options.broken_rule != Some(BrokenRule::ForgottenKey) {
            return;
        }
        if let Some(process) = self.process(place) {
            let owner = process.table.owner().clone();
            process.table = Table::new(owner, TableOptions::default());
        }
    }

    /// Tells a caller an answer, which has to be the one to its own request.
    pub(super) fn tell_answer(&mut self, number: OperationNumber, answered: OperationNumber) {
        if number != answered {
            let breach = format!("request {number} got the answer to {answered}");
            self.record.violations.wrong_answers.push(breach);
        }
        self.tell(number, CallerOutcome::Done);
    }

    /// Sends a caller to the instance that owns its key.
    fn redirect(&mut self, number: OperationNumber, place: usize) {
        let key = self.operations.get(&number).and_then(|o| o.key.clone());
        let Some(key) = key else {
            return;
        };
        let owner = &key.owner().instance;
        let process = self.instances[place].process.as_ref();
        let member = process.and_then(|process| process.membership.member(owner));
        let is_member = member.is_some_and(|member| member.state.is_running());
        let place = self.instance(owner).filter(|_| is_member);
        match place.filter(|place| self.instances[*place].process.is_some()) {
            Some(place) => {
                let delay = self.network.delay(
                    &self.operations[&number].region,
                    &self.instances[place].region,
                );
                if let Some(delay) = delay {
                    self.send(place, delay * 2, Delivery::Request(number));
                }
            }
            None => self.tell(number, CallerOutcome::Unknown),
        }
    }

    fn start_copy(&mut self, number: OperationNumber, place: usize, claim: Option<Claim>) {
        let deadline = self.now + self.deadline_of(number);
        let Some(operation) = self.operations.get(&number) else {
            return;
        };
        let service = operation.service.clone();
        let terms = self.terms(place, &service, operation.kind, deadline);
        let copy = self.next_number();
        let draw = self.next_draw();
        self.copies.insert(
            copy,
            RequestCopy {
                operation: number,
                instance: place,
                service,
                attempts: Attempts::new(terms, RetryOptions::default()),
                running: Vec::new(),
                draw,
                region: None,
                tried: Vec::new(),
                claim,
                refused_for: None,
                received_at: self.now,
                queued_at: self.now,
                deadline,
            },
        );
        self.send(place, deadline - self.now, Delivery::Deadline(copy));
        self.proceed(copy);
    }

    /// Returns the draw of the next attempt.
    pub(super) fn next_draw(&mut self) -> f64 {
        self.draws += 1;
        (self.draws as f64 * GOLDEN_RATIO).fract()
    }

    fn terms(
        &self,
        place: usize,
        service: &ServiceId,
        kind: RequestKind,
        deadline: MonotonicTime,
    ) -> RequestTerms {
        let careless = self.options.broken_rule == Some(BrokenRule::NonIdempotentRetry);
        let contract = self.contract.service(service).map(|s| &s.contract);
        let hedged = contract.is_some_and(|contract| contract.priority == Priority::Latency);
        let process = self.instances[place].process.as_ref();
        let tools = process.and_then(|process| process.services.get(service));
        let delay = tools.map(|tools| tools.hedge_delay.get());
        RequestTerms {
            idempotent: kind == RequestKind::Read || careless,
            deadline,
            hedge_delay: delay.filter(|_| hedged && kind == RequestKind::Read),
        }
    }

    /// Brings a copy's next attempt on its way.
    pub(super) fn proceed(&mut self, number: CopyNumber) {
        let Some(copy) = self.copies.get(&number) else {
            return;
        };
        let (place, service, draw) = (copy.instance, copy.service.clone(), copy.draw);
        let (region, tried) = (copy.region.clone(), copy.tried.clone());
        let Some(region) = region.or_else(|| self.admit(number, place, &service, draw)) else {
            return;
        };
        let now = self.now;
        let draw: u64 = self.chance.random();
        let process = self.process(place);
        let Some(balancer) = process.and_then(|p| p.balancer(&service, &region)) else {
            return self.cannot_send(number);
        };
        match balancer.pick_avoiding(now, draw, &tried) {
            Pick::Take(ticket) => self.send_attempt(number, region, ticket),
            Pick::Wait { retry_in } => {
                let retry_in = retry_in.min(PICK_PAUSE_MAX);
                self.send(place, retry_in, Delivery::Proceed(number));
            }
            Pick::Empty => self.cannot_send(number),
        }
    }

    /// Asks for admission; where none is given now, sees to what follows.
    fn admit(
        &mut self,
        number: CopyNumber,
        place: usize,
        service: &ServiceId,
        draw: f64,
    ) -> Option<RegionId> {
        let now = self.now;
        let copy = self.copies.get(&number)?;
        let waited = now - copy.queued_at;
        let steering = self.process(place).and_then(|p| p.steering.as_mut());
        let Some(steering) = steering else {
            self.cannot_send(number);
            return None;
        };
        match steering.admit(service, draw, waited, now) {
            Admission::Send { region, .. } => {
                self.copies.get_mut(&number)?.region = Some(region.clone());
                Some(region)
            }
            Admission::Wait { retry_in } => {
                self.send(place, retry_in, Delivery::Proceed(number));
                None
            }
            Admission::Refuse { reason, .. } => {
                self.copies.get_mut(&number)?.refused_for = Some(reason);
                self.cannot_send(number);
                None
            }
        }
    }

    pub(super) fn cannot_send(&mut self, number: CopyNumber) {
        if let Some(copy) = self.copies.get(&number) {
            let step = copy.attempts.cannot_send(GiveUpReason::NoUpstream);
            self.follow(number, step);
        }
    }

    fn send_attempt(&mut self, number: CopyNumber, region: RegionId, ticket: Ticket) {
        let now = self.now;
        let Some(copy) = self.copies.get_mut(&number) else {
            return;
        };
        let id = copy.attempts.begin(now);
        copy.tried.push(ticket.upstream().upstream.clone());
        let (place, service) = (copy.instance, copy.service.clone());
        let hedge_at = copy.attempts.hedge_at();
        if let (Some(claim), Some(process)) = (&copy.claim, &mut self.instances[place].process) {
            process.table.mark_written(claim);
        }
        let attempt = self.launch(number, id, service, region, ticket);
        if let Some(copy) = self.copies.get_mut(&number) {
            copy.running.push(attempt);
        }
        if let Some(at) = hedge_at {
            self.send(place, at - now, Delivery::Hedge(number));
        }
    }

    /// Sends a second attempt beside the first, where that is worth it.
    pub(super) fn hedge(&mut self, number: CopyNumber) {
        let now = self.now;
        let draw = self.next_draw();
        let Some(copy) = self.copies.get_mut(&number) else {
            return;
        };
        let process = &mut self.instances[copy.instance].process;
        let tools = process
            .as_mut()
            .and_then(|p| p.services.get_mut(&copy.service));
        let Some(tools) = tools else {
            return;
        };
        if copy.attempts.hedge(&mut tools.budget, now) == Step::Hedge {
            copy.region = None;
            copy.queued_at = now;
            copy.draw = draw;
            self.proceed(number);
        }
    }
}
