//! Simulates callers: request arrivals, choice of an instance, timeouts and retries.

use super::event::{
    Delivery,
    Event, //
};
use super::fleet::Fleet;
use super::instance::true_wall;
use super::operation::{
    CallerOutcome,
    Operation,
    OperationNumber,
    RequestKind, //
};
use foxtide_core::idempotency::IdempotencyKey;
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::RequestRate;
use rand::RngExt;
use std::time::Duration;

/// Time before the first request, in which instances start.
pub(super) const WARM_UP: Duration = Duration::from_secs(5);

/// One-way delay between a caller and an instance.
const CALLER_DELAY: Duration = Duration::from_millis(1);

/// Offset between the first arrivals of successive loads. It keeps requests from
/// coinciding with each other or with a tick, as a trace does not record the order of
/// simultaneous events.
const LOAD_OFFSET: Duration = Duration::from_micros(37);

/// Delay before a caller resends a request whose outcome it does not know.
const RETRY_DELAY: Duration = Duration::from_millis(500);

const COPIES_MAX: u32 = 3;

/// Time that a caller waits beyond the request's deadline.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(50);

/// Requests at a constant rate from the callers of one region to one service.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) service: ServiceId,
    pub(super) region: RegionId,
    pub(super) rate: RequestRate,
    pub(super) kind: RequestKind,
    arrivals: usize,
    /// Whether the next arrival is in the schedule.
    is_scheduled: bool,
}

impl Fleet {
    /// Sets the rate of a load, and adds the load if there is none.
    pub(super) fn set_load(
        &mut self,
        service: &ServiceId,
        region: &RegionId,
        kind: RequestKind,
        rate: RequestRate,
    ) {
        let is_same =
            |load: &Load| load.service == *service && load.region == *region && load.kind == kind;
        let index = match self.loads.iter().position(is_same) {
            Some(index) => index,
            None => {
                self.loads.push(Load {
                    service: service.clone(),
                    region: region.clone(),
                    rate,
                    kind,
                    arrivals: 0,
                    is_scheduled: false,
                });
                self.loads.len() - 1
            }
        };
        self.loads[index].rate = rate;
        self.schedule_arrival(index);
    }

    /// Schedules the next arrival of a load unless it is already scheduled.
    fn schedule_arrival(&mut self, index: usize) {
        let load = &mut self.loads[index];
        let rate_rps = load.rate.get();
        if load.is_scheduled || rate_rps <= 0.0 {
            return;
        }
        load.is_scheduled = true;
        let is_first = load.arrivals == 0;
        let mut at = self.now + Duration::from_secs_f64(1.0 / rate_rps);
        if is_first {
            at = at.max(MonotonicTime::ZERO + WARM_UP) + LOAD_OFFSET * (index as u32 + 1);
        }
        self.schedule.add(at, Event::Arrival { load: index });
    }

    /// Starts the operation of an arrival and schedules the next arrival.
    pub(super) fn handle_arrival(&mut self, index: usize) {
        let load = &mut self.loads[index];
        load.is_scheduled = false;
        if load.rate.get() <= 0.0 {
            return;
        }
        load.arrivals += 1;
        let (service, region) = (load.service.clone(), load.region.clone());
        let (kind, turn) = (load.kind, load.arrivals);
        self.schedule_arrival(index);
        self.begin_operation(service, region, kind, turn);
    }

    /// Creates an operation and sends its first copy.
    pub(super) fn begin_operation(
        &mut self,
        service: ServiceId,
        region: RegionId,
        kind: RequestKind,
        turn: usize,
    ) -> OperationNumber {
        let number = self.next_number();
        let operation = Operation {
            service,
            region,
            kind,
            key: None,
            first_instance: None,
            arrived_at: self.now,
            sent: 0,
            turn,
            runs: 0,
            outcome: None,
            ended_at: self.now,
            received_at: self.now,
            reported_not_run: false,
        };
        self.operations.insert(number, operation);
        self.send_copy(number);
        number
    }

    /// Sends another copy of a request to the first instance that accepts connections.
    pub(super) fn send_copy(&mut self, number: OperationNumber) {
        let chosen = self.choose_instance(number);
        let deadline = self.deadline_of(number);
        let instance_id = chosen.map(|index| self.instances[index].id.clone());
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.sent == 0 {
            operation.first_instance = instance_id;
        }
        operation.sent += 1;
        operation.turn += 1;
        operation.outcome = None;
        let sent = operation.sent;
        let Some(instance) = chosen else {
            self.notify_caller(number, CallerOutcome::NoResponse);
            return;
        };
        self.mint_key(number, instance);
        self.send(instance, CALLER_DELAY, Delivery::Request(number));
        let event = Event::CallerTimeout {
            operation: number,
            sent,
        };
        let times_out_at = self.now + deadline + TIMEOUT_MARGIN;
        self.schedule.add(times_out_at, event);
    }

    /// Returns the deadline of an operation's service.
    pub(super) fn deadline_of(&self, number: OperationNumber) -> Duration {
        let operation = self.operations.get(&number);
        let service = operation.and_then(|o| self.organisation.service(&o.service));
        service.map_or(Duration::ZERO, |service| service.contract.deadline())
    }

    /// Returns the first instance that accepts connections. Instances are tried in
    /// rotation, those in the caller's region before all others.
    fn choose_instance(&self, number: OperationNumber) -> Option<usize> {
        let operation = self.operations.get(&number)?;
        let indices = 0..self.instances.len();
        let is_local = |index: &usize| self.instances[*index].region == operation.region;
        let (local, remote): (Vec<usize>, Vec<usize>) = indices.partition(is_local);
        [local, remote].iter().find_map(|indices| {
            let mut turns = (0..indices.len()).map(|step| operation.turn + step);
            turns.find_map(|turn| {
                let index = indices[turn % indices.len()];
                self.instances[index].takes_connections().then_some(index)
            })
        })
    }

    /// Assigns a write its idempotency key, which names the instance that the first copy
    /// goes to.
    fn mint_key(&mut self, number: OperationNumber, instance: usize) {
        let random: [u8; 10] = self.rng.random();
        let Some(process) = &self.instances[instance].process else {
            return;
        };
        let owner = process.key_table.owner().clone();
        let now = true_wall(self.now);
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.kind == RequestKind::Write && operation.key.is_none() {
            operation.key = Some(IdempotencyKey::mint(owner, now, random));
        }
    }

    /// Reports an outcome to a caller, which resends its request if the outcome is
    /// unknown.
    pub(super) fn notify_caller(&mut self, number: OperationNumber, result: CallerOutcome) {
        let now = self.now;
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.outcome.is_some() {
            return;
        }
        operation.outcome = Some(result);
        operation.ended_at = now;
        operation.reported_not_run |= result == CallerOutcome::NotRun;
        let uncertain = matches!(result, CallerOutcome::Unknown | CallerOutcome::NoResponse);
        if uncertain && operation.sent < COPIES_MAX {
            self.schedule.add(now + RETRY_DELAY, Event::Retry(number));
        }
    }

    /// Makes a caller resend its request after the given delay; after the last copy the
    /// outcome is unknown.
    pub(super) fn defer_caller(&mut self, number: OperationNumber, wait: Duration) {
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.sent < COPIES_MAX {
            let event = Event::Retry(number);
            self.schedule.add(self.now + wait, event);
        } else {
            self.notify_caller(number, CallerOutcome::Unknown);
        }
    }

    /// Times out a caller that has no answer to its latest copy.
    pub(super) fn time_out_caller(&mut self, number: OperationNumber, sent: u32) {
        let is_waiting =
            |operation: &Operation| operation.sent == sent && operation.outcome.is_none();
        if self.operations.get(&number).is_some_and(is_waiting) {
            self.notify_caller(number, CallerOutcome::NoResponse);
        }
    }
}
