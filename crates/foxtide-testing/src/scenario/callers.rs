//! Callers: when they come, which instance they ask, and when they ask again.

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

/// Callers come only after instances have had time to start.
pub(super) const WARM_UP: Duration = Duration::from_secs(5);

/// The delay between a caller and the instances of its region, one way.
const CALLER_DELAY: Duration = Duration::from_millis(1);

/// Sets the loads apart, so that no two requests come at the same moment and
/// none at a tick: their order would not be stated by a trace.
const PHASE: Duration = Duration::from_micros(37);

/// How long a caller waits before it sends a keyed request again.
const AGAIN_AFTER: Duration = Duration::from_millis(500);

/// How many copies of a request a caller sends at most.
const COPIES_MAX: u32 = 3;

/// How much longer than its deadline a caller waits.
const PATIENCE: Duration = Duration::from_millis(50);

/// A steady stream of requests.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) service: ServiceId,
    pub(super) region: RegionId,
    pub(super) rate: RequestRate,
    pub(super) kind: RequestKind,
    /// How many requests have come.
    came: usize,
    /// Changes with the rate, so that arrivals of the old one end.
    armed: bool,
}

impl Fleet {
    /// Starts a stream of requests or changes its rate.
    pub(super) fn set_load(
        &mut self,
        service: &ServiceId,
        region: &RegionId,
        kind: RequestKind,
        rate: RequestRate,
    ) {
        let same =
            |load: &Load| load.service == *service && load.region == *region && load.kind == kind;
        let index = match self.loads.iter().position(same) {
            Some(index) => index,
            None => {
                self.loads.push(Load {
                    service: service.clone(),
                    region: region.clone(),
                    rate,
                    kind,
                    came: 0,
                    armed: false,
                });
                self.loads.len() - 1
            }
        };
        self.loads[index].rate = rate;
        self.arm(index);
    }

    /// Plans the next arrival of a load, unless it is planned already.
    fn arm(&mut self, index: usize) {
        let load = &mut self.loads[index];
        let rate_rps = load.rate.get();
        if load.armed || rate_rps <= 0.0 {
            return;
        }
        load.armed = true;
        let is_first = load.came == 0;
        let mut at = self.now + Duration::from_secs_f64(1.0 / rate_rps);
        if is_first {
            at = at.max(MonotonicTime::ZERO + WARM_UP) + PHASE * (index as u32 + 1);
        }
        self.schedule.add(at, Event::Arrival { load: index });
    }

    /// Lets the next request of a load come.
    pub(super) fn arrive(&mut self, index: usize) {
        let load = &mut self.loads[index];
        load.armed = false;
        if load.rate.get() <= 0.0 {
            return;
        }
        load.came += 1;
        let (service, region) = (load.service.clone(), load.region.clone());
        let (kind, turn) = (load.kind, load.came);
        self.arm(index);
        self.begin_operation(service, region, kind, turn);
    }

    /// Lets a caller want something now.
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

    /// Sends one more copy of a caller's request to the first instance that
    /// takes its connection.
    pub(super) fn send_copy(&mut self, number: OperationNumber) {
        let chosen = self.choose_instance(number);
        let deadline = self.deadline_of(number);
        let asked = chosen.map(|place| self.instances[place].id.clone());
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.sent == 0 {
            operation.first_instance = asked;
        }
        operation.sent += 1;
        operation.turn += 1;
        operation.outcome = None;
        let sent = operation.sent;
        let Some(instance) = chosen else {
            self.tell(number, CallerOutcome::NoResponse);
            return;
        };
        self.mint_key(number, instance);
        self.send(instance, CALLER_DELAY, Delivery::Request(number));
        let event = Event::CallerTimeout {
            operation: number,
            sent,
        };
        self.schedule.add(self.now + deadline + PATIENCE, event);
    }

    /// Returns how long a caller gives its request.
    pub(super) fn deadline_of(&self, number: OperationNumber) -> Duration {
        let operation = self.operations.get(&number);
        let service = operation.and_then(|o| self.contract.service(&o.service));
        service.map_or(Duration::ZERO, |service| service.contract.deadline())
    }

    /// Returns the instance that takes the connection: those of the caller's
    /// own region come first, in turn.
    fn choose_instance(&self, number: OperationNumber) -> Option<usize> {
        let operation = self.operations.get(&number)?;
        let places = 0..self.instances.len();
        let is_near = |place: &usize| self.instances[*place].region == operation.region;
        let (near, far): (Vec<usize>, Vec<usize>) = places.partition(is_near);
        [near, far].iter().find_map(|places| {
            let mut turns = (0..places.len()).map(|step| operation.turn + step);
            turns.find_map(|turn| {
                let place = places[turn % places.len()];
                self.instances[place].takes_connections().then_some(place)
            })
        })
    }

    /// Gives a request that must not run twice the key that names the
    /// instance which the caller asks first.
    fn mint_key(&mut self, number: OperationNumber, instance: usize) {
        let random: [u8; 10] = self.chance.random();
        let Some(process) = &self.instances[instance].process else {
            return;
        };
        let owner = process.table.owner().clone();
        let now = true_wall(self.now);
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.kind == RequestKind::Write && operation.key.is_none() {
            operation.key = Some(IdempotencyKey::mint(owner, now, random));
        }
    }

    /// Tells a caller how its request ended.
    pub(super) fn tell(&mut self, number: OperationNumber, told: CallerOutcome) {
        let now = self.now;
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.outcome.is_some() {
            return;
        }
        operation.outcome = Some(told);
        operation.ended_at = now;
        operation.reported_not_run |= told == CallerOutcome::NotRun;
        let unsure = matches!(told, CallerOutcome::Unknown | CallerOutcome::NoResponse);
        if unsure && operation.sent < COPIES_MAX {
            self.schedule.add(now + AGAIN_AFTER, Event::Retry(number));
        }
    }

    /// Makes a caller ask again after a time, as it was told to.
    pub(super) fn tell_to_wait(&mut self, number: OperationNumber, wait: Duration) {
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        if operation.sent < COPIES_MAX {
            let event = Event::Retry(number);
            self.schedule.add(self.now + wait, event);
        } else {
            self.tell(number, CallerOutcome::Unknown);
        }
    }

    /// Ends the wait of a caller that got no answer to its latest copy.
    pub(super) fn lose_patience(&mut self, number: OperationNumber, sent: u32) {
        let waits = |operation: &Operation| operation.sent == sent && operation.outcome.is_none();
        if self.operations.get(&number).is_some_and(waits) {
            self.tell(number, CallerOutcome::NoResponse);
        }
    }
}
