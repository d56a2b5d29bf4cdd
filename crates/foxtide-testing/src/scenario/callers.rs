//! Callers: when they come, which instance they ask, and when they ask again.

use super::event::{
    Delivery,
    Event, //
};
use super::fleet::Fleet;
use super::instance::true_wall;
use super::operation::{
    Kind,
    Operation,
    OperationNumber,
    Told, //
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

/// Callers come only after instances have had time to start.
pub(super) const WARM_UP: Duration = Duration::from_secs(5);

/// The delay between a caller and the instances of its region, one way.
const CALLER_DELAY: Duration = Duration::from_millis(1);

/// Sets the loads apart, so that no two requests come at the same moment and
/// none at a tick: their order would not be stated by a trace.
const LOAD_OFFSET: Duration = Duration::from_micros(37);

/// How long a caller waits before it sends a keyed request again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How many copies of a request a caller sends at most.
const COPIES_MAX: u32 = 3;

/// How much longer than its deadline a caller waits.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(50);

/// A steady stream of requests.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) service: ServiceId,
    pub(super) region: RegionId,
    pub(super) rate: RequestRate,
    pub(super) kind: Kind,
    /// How many requests have come.
    arrivals: usize,
    /// Changes with the rate, so that arrivals of the old one end.
    is_scheduled: bool,
}

impl Fleet {
    /// Starts a stream of requests or changes its rate.
    pub(super) fn set_load(
        &mut self,
        service: &ServiceId,
        region: &RegionId,
        kind: Kind,
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

    /// Plans the next arrival of a load, unless it is planned already.
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

    /// Lets the next request of a load come.
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

    /// Lets a caller want something now.
    pub(super) fn begin_operation(
        &mut self,
        service: ServiceId,
        region: RegionId,
        kind: Kind,
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
            told: None,
            told_at: self.now,
            received_at: self.now,
            told_not_run: false,
        };
        self.operations.insert(number, operation);
        self.send_copy(number);
        number
    }

    /// Sends one more copy of a caller's request to the first instance that
    /// takes its connection.
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
        operation.told = None;
        let sent = operation.sent;
        let Some(instance) = chosen else {
            self.notify_caller(number, Told::Nothing);
            return;
        };
        self.mint_key(number, instance);
        self.send(instance, CALLER_DELAY, Delivery::Request(number));
        let event = Event::Patience {
            operation: number,
            sent,
        };
        self.schedule
            .add(self.now + deadline + TIMEOUT_MARGIN, event);
    }

    /// Returns how long a caller gives its request.
    pub(super) fn deadline_of(&self, number: OperationNumber) -> Duration {
        let operation = self.operations.get(&number);
        let service = operation.and_then(|o| self.organisation.service(&o.service));
        service.map_or(Duration::ZERO, |service| service.contract.deadline())
    }

    /// Returns the instance that takes the connection: those of the caller's
    /// own region come first, in turn.
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

    /// Gives a request that must not run twice the key that names the
    /// instance which the caller asks first.
    fn mint_key(&mut self, number: OperationNumber, instance: usize) {
        let random: [u8; 10] = self.rng.random();
        let Some(process) = &self.instances[instance].process else {
            return;
        };
        let owner = process.table.owner().clone();
        let now = true_wall(self.now);
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.kind == Kind::Write && operation.key.is_none() {
            operation.key = Some(IdempotencyKey::mint(owner, now, random));
        }
    }

    /// Tells a caller how its request ended.
    pub(super) fn notify_caller(&mut self, number: OperationNumber, told: Told) {
        let now = self.now;
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.told.is_some() {
            return;
        }
        operation.told = Some(told);
        operation.told_at = now;
        operation.told_not_run |= told == Told::NotRun;
        let uncertain = matches!(told, Told::Unknown | Told::Nothing);
        if uncertain && operation.sent < COPIES_MAX {
            self.schedule.add(now + RETRY_DELAY, Event::Again(number));
        }
    }

    /// Makes a caller ask again after a time, as it was told to.
    pub(super) fn defer_caller(&mut self, number: OperationNumber, wait: Duration) {
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.sent < COPIES_MAX {
            let event = Event::Again(number);
            self.schedule.add(self.now + wait, event);
        } else {
            self.notify_caller(number, Told::Unknown);
        }
    }

    /// Ends the wait of a caller that got no answer to its latest copy.
    pub(super) fn time_out_caller(&mut self, number: OperationNumber, sent: u32) {
        let is_waiting = |operation: &Operation| operation.sent == sent && operation.told.is_none();
        if self.operations.get(&number).is_some_and(is_waiting) {
            self.notify_caller(number, Told::Nothing);
        }
    }
}
