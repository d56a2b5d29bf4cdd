//! Holds the state of a scenario and runs its events on a virtual clock.

use super::attempt::{
    Attempt,
    SentAttempt, //
};
use super::callers::Load;
use super::event::{
    CopyNumber,
    Delivery,
    Event, //
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

/// Interval at which processes run their periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which processes send reports to their peers.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Service time of a request where the script sets none.
const SERVICE_TIME_DEFAULT: Duration = Duration::from_millis(10);

/// The instances, upstreams and callers of a scenario.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) options: ScenarioOptions,
    pub(super) now: MonotonicTime,
    pub(super) schedule: Schedule<Event>,
    pub(super) rng: StdRng,
    pub(super) network: Network,
    pub(super) store: ModelStore,
    /// The last accepted document.
    pub(super) organisation: Organisation,
    pub(super) instances: Vec<ModelInstance>,
    pub(super) upstreams: BTreeMap<UpstreamId, ModelUpstream>,
    pub(super) service_of: BTreeMap<UpstreamId, ServiceId>,
    pub(super) loads: Vec<Load>,
    pub(super) recorded_requests: Vec<RecordedRequest>,
    pub(super) operations: BTreeMap<OperationNumber, Operation>,
    pub(super) copies: BTreeMap<CopyNumber, RequestCopy>,
    pub(super) attempts: BTreeMap<AttemptNumber, Attempt>,
    pub(super) sent_attempts: BTreeMap<AttemptNumber, SentAttempt>,
    pub(super) record: Record,
    /// The number of draws taken so far.
    pub(super) draws: u64,
    last_number: u64,
}

impl Fleet {
    /// Creates the instances and upstreams of a setting.
    ///
    /// # Errors
    ///
    /// Fails if the name of an instance is invalid.
    pub(super) fn new(
        setting: &Setting,
        options: ScenarioOptions,
    ) -> Result<Self, foxtide_core::Error> {
        let mut fleet = Self {
            options,
            now: MonotonicTime::ZERO,
            schedule: Schedule::new(),
            rng: StdRng::seed_from_u64(options.seed),
            network: Network::default(),
            store: ModelStore::default(),
            organisation: setting.organisation().clone(),
            instances: Vec::new(),
            upstreams: BTreeMap::new(),
            service_of: BTreeMap::new(),
            loads: Vec::new(),
            recorded_requests: Vec::new(),
            operations: BTreeMap::new(),
            copies: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sent_attempts: BTreeMap::new(),
            record: Record::default(),
            draws: 0,
            last_number: 0,
        };
        fleet.add_links();
        fleet.add_upstreams(setting);
        fleet.add_instances(setting)?;
        let first_tick = MonotonicTime::ZERO + TICK_INTERVAL;
        fleet.schedule.add(first_tick, Event::Tick);
        fleet.schedule.add(first_tick, Event::Report);
        Ok(fleet)
    }

    fn add_links(&mut self) {
        for link in &self.organisation.links {
            let delay = Duration::from_secs_f64(link.delay_ms / 1e3);
            self.network.set_delay(&link.from, &link.to, delay);
        }
    }

    fn add_upstreams(&mut self, setting: &Setting) {
        for service in &self.organisation.services {
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

    fn add_instances(&mut self, setting: &Setting) -> Result<(), foxtide_core::Error> {
        for region in &self.organisation.regions {
            for number in 0..setting.instances_per_region {
                let id: InstanceId = format!("{}-{}", region.region, number + 1).parse()?;
                let zones = &region.availability_zones;
                let zone = zones[number as usize % zones.len()].clone();
                let index = self.instances.len();
                let address = instance_address(index);
                let region = region.region.clone();
                let instance = ModelInstance::new(index, id, region, zone, address);
                self.instances.push(instance);
            }
        }
        Ok(())
    }

    /// Returns a number that is unique within the scenario.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the index of an instance.
    pub(super) fn instance_index(&self, id: &InstanceId) -> Option<usize> {
        self.instances.iter().position(|known| known.id == *id)
    }

    /// Returns an instance's process, if it has one.
    pub(super) fn process(&mut self, index: usize) -> Option<&mut Process> {
        self.instances[index].process.as_mut()
    }

    pub(super) fn start_process(&mut self, index: usize) {
        let (now, broken_rule) = (self.now, self.options.broken_rule);
        let instance = &mut self.instances[index];
        instance.starts += 1;
        instance.started_at = now;
        instance.condition = Condition::Running;
        let process = Process::new(instance.member(), instance.seed(), broken_rule, now);
        instance.process = Some(process);
        self.join(index);
    }

    /// Advances the virtual clock and handles the events that fall due.
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
            Event::Arrival { load } => self.handle_arrival(load),
            Event::RecordedArrival { index } => self.arrive_recorded(index),
            Event::Retry(operation) => self.send_copy(operation),
            Event::CallerTimeout { operation, sent } => self.time_out_caller(operation, sent),
            Event::Deliver {
                instance,
                process,
                delivery,
            } => self.deliver(instance, process, delivery),
            Event::AttemptArrives(attempt) => self.receive_attempt(attempt),
            Event::CancelArrives(attempt) => self.receive_cancel(attempt),
            Event::ServiceEnds { upstream, attempt } => self.finish_service(&upstream, attempt),
            Event::Resume { instance } => self.wake(instance),
            Event::EndWhenIdle { instance } => self.end_if_idle(instance),
            Event::DrainWindowEnds { upstream } => self.end_drained_upstream(&upstream),
        }
    }

    /// Sends a message to an instance's current process; a later process does not receive
    /// it.
    pub(super) fn send(&mut self, instance: usize, after: Duration, delivery: Delivery) {
        let event = Event::Deliver {
            instance,
            process: self.instances[instance].starts,
            delivery: Box::new(delivery),
        };
        self.schedule.add(self.now + after, event);
    }

    fn deliver(&mut self, instance: usize, process: u64, delivery: Box<Delivery>) {
        let target = &self.instances[instance];
        if let Some(until) = target.wakes_at() {
            let event = Event::Deliver {
                instance,
                process,
                delivery,
            };
            self.schedule.add(until, event);
            return;
        }
        if target.starts != process || !target.is_awake() {
            return;
        }
        self.dispatch(instance, *delivery);
    }

    fn dispatch(&mut self, instance: usize, delivery: Delivery) {
        match delivery {
            Delivery::Packet {
                sender,
                from,
                packet,
            } => self.receive_packet(instance, &sender, from, packet),
            Delivery::Report { from, heard } => {
                if let Some(process) = self.process(instance) {
                    process.receive_report(from, heard);
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
            Delivery::Proceed(copy) => self.send_next_attempt(copy),
            Delivery::Hedge(copy) => self.send_hedge(copy),
            Delivery::Deadline(copy) => self.expire_copy(copy),
            Delivery::AttemptEnds { attempt, end } => self.finish_attempt(attempt, end),
            Delivery::Request(operation) => self.receive_request(operation, instance),
        }
    }

    fn tick_all(&mut self) {
        let now = self.now;
        for index in 0..self.instances.len() {
            let instance = &mut self.instances[index];
            if !instance.is_awake() {
                continue;
            }
            let wall = instance.wall(now);
            if let Some(process) = &mut instance.process {
                process.tick(now, wall);
            }
            self.tick_membership(index);
            self.poll_upstreams(index);
        }
        self.check_revisions();
        self.schedule.add(now + TICK_INTERVAL, Event::Tick);
    }

    fn report_all(&mut self) {
        for index in 0..self.instances.len() {
            if self.instances[index].is_awake() {
                self.sample_rows(index);
                self.broadcast_report(index);
                self.watch_store(index);
            }
        }
        self.record.arrivals.clear();
        self.schedule.add(self.now + REPORT_INTERVAL, Event::Report);
    }

    fn sample_rows(&mut self, index: usize) {
        let instance = &self.instances[index];
        let Some(steering) = instance.process.as_ref().and_then(|p| p.steering.as_ref()) else {
            return;
        };
        for service in &self.organisation.services {
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

    /// Returns the one-way delay from an instance to a region, or `None` if the link is
    /// cut.
    pub(super) fn delay_to(&self, index: usize, region: &RegionId) -> Option<Duration> {
        self.network.delay(&self.instances[index].region, region)
    }
}
