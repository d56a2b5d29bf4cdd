//! The instances, upstreams and callers of a scenario on one virtual clock.

use super::callers::Load;
use super::event::{
    CopyNumber,
    Delivery,
    Event, //
};
use super::exchange::{
    Attempt,
    Passage, //
};
use super::instance::{
    Condition,
    ModelInstance, //
};
use super::network::Network;
use super::operation::{
    Operation,
    OperationNumber, //
};
use super::options::ScenarioOptions;
use super::process::Process;
use super::record::{
    Record,
    RowSample, //
};
use super::requests::RequestCopy;
use super::schedule::Schedule;
use super::setting::{
    Setting,
    instance_address, //
};
use super::store::ModelStore;
use super::trace::RecordedRequest;
use super::upstream::{
    AttemptNumber,
    ModelUpstream, //
};
use foxtide_core::ids::{
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::time::MonotonicTime;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Duration;

/// How often processes do what is due.
const TICK: Duration = Duration::from_millis(100);

/// How often processes report.
const REPORT: Duration = Duration::from_secs(1);

/// The time of a request at an upstream that the script says nothing of.
const SERVICE_TIME_DEFAULT: Duration = Duration::from_millis(10);

/// The state of a scenario.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) options: ScenarioOptions,
    pub(super) now: MonotonicTime,
    pub(super) schedule: Schedule<Event>,
    pub(super) chance: StdRng,
    pub(super) network: Network,
    pub(super) store: ModelStore,
    /// The document that was accepted last.
    pub(super) contract: Organisation,
    pub(super) instances: Vec<ModelInstance>,
    pub(super) upstreams: BTreeMap<UpstreamId, ModelUpstream>,
    pub(super) service_of: BTreeMap<UpstreamId, ServiceId>,
    pub(super) loads: Vec<Load>,
    pub(super) recorded: Vec<RecordedRequest>,
    pub(super) operations: BTreeMap<OperationNumber, Operation>,
    pub(super) copies: BTreeMap<CopyNumber, RequestCopy>,
    pub(super) attempts: BTreeMap<AttemptNumber, Attempt>,
    pub(super) passages: BTreeMap<AttemptNumber, Passage>,
    pub(super) record: Record,
    /// How many draws the attempts have used.
    pub(super) draws: u64,
    numbers: u64,
}

impl Fleet {
    /// Starts all instances and upstreams of a setting.
    ///
    /// # Errors
    ///
    /// Fails where names do not fit.
    pub(super) fn new(
        setting: &Setting,
        options: ScenarioOptions,
    ) -> Result<Self, foxtide_core::Error> {
        let mut fleet = Self {
            options,
            now: MonotonicTime::ZERO,
            schedule: Schedule::new(),
            chance: StdRng::seed_from_u64(options.seed),
            network: Network::default(),
            store: ModelStore::default(),
            contract: setting.organisation().clone(),
            instances: Vec::new(),
            upstreams: BTreeMap::new(),
            service_of: BTreeMap::new(),
            loads: Vec::new(),
            recorded: Vec::new(),
            operations: BTreeMap::new(),
            copies: BTreeMap::new(),
            attempts: BTreeMap::new(),
            passages: BTreeMap::new(),
            record: Record::default(),
            draws: 0,
            numbers: 0,
        };
        fleet.place_links();
        fleet.place_upstreams(setting);
        fleet.place_instances(setting)?;
        fleet.schedule.add(MonotonicTime::ZERO + TICK, Event::Tick);
        fleet
            .schedule
            .add(MonotonicTime::ZERO + TICK, Event::Report);
        Ok(fleet)
    }

    fn place_links(&mut self) {
        for link in &self.contract.links {
            let delay = Duration::from_secs_f64(link.delay_ms / 1e3);
            self.network.set_delay(&link.from, &link.to, delay);
        }
    }

    fn place_upstreams(&mut self, setting: &Setting) {
        for service in &self.contract.services {
            let time = setting.service_times.get(&service.service);
            let time = time.copied().unwrap_or(SERVICE_TIME_DEFAULT);
            for upstream in &service.upstreams {
                let id = upstream.upstream.clone();
                self.service_of.insert(id.clone(), service.service.clone());
                let model = ModelUpstream::new(upstream.clone(), time);
                self.upstreams.insert(id, model);
            }
        }
    }

    fn place_instances(&mut self, setting: &Setting) -> Result<(), foxtide_core::Error> {
        for region in &self.contract.regions {
            for number in 0..setting.instances_per_region {
                let id: InstanceId = format!("{}-{}", region.region, number + 1).parse()?;
                let zones = &region.availability_zones;
                let zone = zones[number as usize % zones.len()].clone();
                let place = self.instances.len();
                let address = instance_address(place);
                let region = region.region.clone();
                let instance = ModelInstance::new(place, id, region, zone, address);
                self.instances.push(instance);
            }
        }
        Ok(())
    }

    /// Returns a number that nothing else has.
    pub(super) fn next_number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// Finds an instance by its name.
    pub(super) fn instance(&self, id: &InstanceId) -> Option<usize> {
        self.instances.iter().position(|known| known.id == *id)
    }

    /// Returns the process of an instance, if one runs and is awake.
    pub(super) fn process(&mut self, instance: usize) -> Option<&mut Process> {
        self.instances[instance].process.as_mut()
    }

    /// Starts a new process on an instance.
    pub(super) fn start_process(&mut self, place: usize) {
        let (now, rule) = (self.now, self.options.broken_rule);
        let instance = &mut self.instances[place];
        instance.starts += 1;
        instance.started_at = now;
        instance.condition = Condition::Running;
        let process = Process::new(instance.member(), instance.seed(), rule, now);
        instance.process = Some(process);
        self.join(place);
    }

    /// Lets the time pass.
    pub(super) fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, event)) = self.schedule.pop_due(until) {
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick_all(),
            Event::Report => self.report_all(),
            Event::Arrival { load } => self.arrive(load),
            Event::RecordedArrival { index } => self.arrive_recorded(index),
            Event::Retry(operation) => self.send_copy(operation),
            Event::CallerTimeout { operation, sent } => self.lose_patience(operation, sent),
            Event::Deliver {
                instance,
                process,
                delivery,
            } => self.deliver(instance, process, delivery),
            Event::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            Event::CancelArrives(attempt) => self.cancel_arrives(attempt),
            Event::ServiceEnds { upstream, attempt } => self.service_ends(&upstream, attempt),
            Event::Resume { instance } => self.wake(instance),
            Event::EndWhenIdle { instance } => self.end_if_idle(instance),
            Event::DrainWindowEnds { upstream } => self.vacate(&upstream),
        }
    }

    /// Adds a message to the process that now runs on an instance.
    pub(super) fn send(&mut self, instance: usize, after: Duration, delivery: Delivery) {
        let event = Event::Deliver {
            instance,
            process: self.instances[instance].starts,
            delivery: Box::new(delivery),
        };
        self.schedule.add(self.now + after, event);
    }

    fn deliver(&mut self, instance: usize, process: u64, delivery: Box<Delivery>) {
        let place = &self.instances[instance];
        if let Some(until) = place.wakes_at() {
            let event = Event::Deliver {
                instance,
                process,
                delivery,
            };
            self.schedule.add(until, event);
            return;
        }
        if place.starts != process || !place.is_awake() {
            return;
        }
        self.take(instance, *delivery);
    }

    fn take(&mut self, instance: usize, delivery: Delivery) {
        match delivery {
            Delivery::Packet {
                sender,
                from,
                packet,
            } => self.receive_packet(instance, &sender, from, packet),
            Delivery::Report { from, heard } => {
                if let Some(process) = self.process(instance) {
                    process.hear(from, heard);
                }
            }
            Delivery::Snapshot(snapshot) => self.receive_snapshot(instance, snapshot),
            Delivery::Document(document) => self.receive_document(instance, &document),
            Delivery::Poll {
                service,
                region,
                poll,
                result,
            } => {
                let now = self.now;
                let process = self.process(instance);
                if let Some(balancer) = process.and_then(|p| p.balancer(&service, &region)) {
                    balancer.finish_poll(poll, result, now);
                }
            }
            Delivery::Proceed(copy) => self.proceed(copy),
            Delivery::Hedge(copy) => self.hedge(copy),
            Delivery::Deadline(copy) => self.deadline(copy),
            Delivery::AttemptEnds { attempt, end } => self.attempt_ends(attempt, end),
            Delivery::Request(operation) => self.receive(operation, instance),
        }
    }

    fn tick_all(&mut self) {
        let now = self.now;
        for place in 0..self.instances.len() {
            let instance = &mut self.instances[place];
            if !instance.is_awake() {
                continue;
            }
            let wall = instance.wall(now);
            if let Some(process) = &mut instance.process {
                process.tick(now, wall);
            }
            self.tick_membership(place);
            self.poll_upstreams(place);
        }
        self.check_revisions();
        self.schedule.add(now + TICK, Event::Tick);
    }

    fn report_all(&mut self) {
        for place in 0..self.instances.len() {
            if self.instances[place].is_awake() {
                self.sample_rows(place);
                self.broadcast_report(place);
                self.watch_store(place);
            }
        }
        self.record.arrivals.clear();
        self.schedule.add(self.now + REPORT, Event::Report);
    }

    fn sample_rows(&mut self, place: usize) {
        let instance = &self.instances[place];
        let Some(steering) = instance.process.as_ref().and_then(|p| p.steering.as_ref()) else {
            return;
        };
        for service in &self.contract.services {
            let Some(row) = steering.row(&service.service) else {
                continue;
            };
            let key = (instance.id.clone(), service.service.clone());
            let arrivals = self.record.arrivals.get(&key);
            self.record.rows.push(RowSample {
                at: self.now,
                instance: key.0,
                origin: instance.region.clone(),
                service: key.1.clone(),
                arrivals: arrivals.copied().unwrap_or(0),
                row: row
                    .into_iter()
                    .map(|(id, share)| (id, share.get()))
                    .collect(),
            });
        }
    }

    /// Returns the one-way delay between an instance and a region.
    pub(super) fn delay_to(&self, instance: usize, region: &RegionId) -> Option<Duration> {
        self.network.delay(&self.instances[instance].region, region)
    }
}
