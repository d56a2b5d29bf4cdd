//! What goes wrong in a scenario, and what is planned.

use super::event::AttemptEnd;
use super::event::{
    CopyNumber,
    Event, //
};
use super::fleet::Fleet;
use super::instance::{
    Condition,
    true_wall, //
};
use super::operation::CallerOutcome;
use super::upstream::{
    AttemptNumber,
    UpstreamFault, //
};
use foxtide_core::choice::CompletionKind;
use foxtide_core::ids::{
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::steering::leaves_at_us;
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

/// How long callers may go on with what a look-up told them.
const LOOKUP_TTL: Duration = Duration::from_secs(5);

/// How often an instance that leaves looks whether it is idle.
const IDLE_CHECK: Duration = Duration::from_millis(100);

impl Fleet {
    /// Ends an instance's process at once.
    pub(super) fn kill(&mut self, place: usize) {
        let since = self.now;
        self.instances[place].condition = Condition::Ended { since };
        let on_it = self.copies_on(place);
        for copy in on_it {
            if let Some(copy) = self.close(copy, CompletionKind::Cancelled) {
                self.tell(copy.operation, CallerOutcome::NoResponse);
            }
        }
        self.instances[place].process = None;
    }

    fn copies_on(&self, place: usize) -> Vec<CopyNumber> {
        let copies = self.copies.iter();
        let on_it = copies.filter(|(_, copy)| copy.instance == place);
        on_it.map(|(number, _)| *number).collect()
    }

    /// Starts a new process on an instance that has none.
    pub(super) fn restart(&mut self, place: usize) {
        if self.instances[place].process.is_none() {
            self.start_process(place);
        }
    }

    /// Makes an instance's process stand still for a time.
    pub(super) fn pause(&mut self, place: usize, span: Duration) {
        let until = self.now + span;
        self.instances[place].condition = Condition::Paused { until };
        self.schedule.add(until, Event::Resume { instance: place });
    }

    /// Wakes a paused process.
    pub(super) fn wake(&mut self, place: usize) {
        let now = self.now;
        let instance = &mut self.instances[place];
        if instance.wakes_at().is_some_and(|at| at <= now) {
            instance.condition = Condition::Running;
            instance.disturbed_at = now;
        }
    }

    /// Stops an instance as planned: it leaves, ends what it has, and exits.
    pub(super) fn stop(&mut self, place: usize) {
        let now = self.now;
        self.record.planned_stops += 1;
        self.instances[place].condition = Condition::Leaving;
        if let Some(process) = self.process(place) {
            let outputs = process.membership.leave(now);
            self.handle_outputs(place, outputs);
        }
        let event = Event::EndWhenIdle { instance: place };
        self.schedule.add(now + LOOKUP_TTL, event);
    }

    /// Ends a leaving instance that has nothing in flight.
    pub(super) fn end_if_idle(&mut self, place: usize) {
        if self.instances[place].condition != Condition::Leaving {
            return;
        }
        if self.copies_on(place).is_empty() {
            self.kill(place);
            return;
        }
        let event = Event::EndWhenIdle { instance: place };
        self.schedule.add(self.now + IDLE_CHECK, event);
    }

    /// Sets what is wrong with an upstream.
    pub(super) fn set_upstream_fault(&mut self, id: &UpstreamId, fault: UpstreamFault) {
        let now = self.now;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let region = upstream.settings.region.clone();
        let broken = upstream.set_fault(fault);
        self.break_attempts(broken);
        if fault == UpstreamFault::None {
            self.record.end_region_fault(&region, now);
        } else {
            self.record.begin_region_fault(&region, now);
        }
    }

    fn break_attempts(&mut self, broken: Vec<AttemptNumber>) {
        for attempt in broken {
            self.passages.remove(&attempt);
            self.answer_attempt(attempt, AttemptEnd::Lost);
        }
    }

    /// Ends everything that stands in a region.
    pub(super) fn region_down(&mut self, region: &RegionId) {
        self.record.begin_region_fault(region, self.now);
        for place in self.instances_in(region) {
            self.kill(place);
        }
        for upstream in self.upstreams_in(region) {
            self.set_upstream_fault(&upstream, UpstreamFault::Dead);
        }
    }

    /// Starts everything that stands in a region again.
    pub(super) fn region_up(&mut self, region: &RegionId) {
        for upstream in self.upstreams_in(region) {
            self.set_upstream_fault(&upstream, UpstreamFault::None);
        }
        for place in self.instances_in(region) {
            self.restart(place);
        }
        self.record.end_region_fault(region, self.now);
    }

    fn instances_in(&self, region: &RegionId) -> Vec<usize> {
        let places = 0..self.instances.len();
        let here = places.filter(|place| self.instances[*place].region == *region);
        here.collect()
    }

    fn upstreams_in(&self, region: &RegionId) -> Vec<UpstreamId> {
        let upstreams = self.upstreams.values();
        let here = upstreams.filter(|upstream| upstream.settings.region == *region);
        here.map(|upstream| upstream.settings.upstream.clone())
            .collect()
    }

    /// Loses everything that is sent between two regions.
    pub(super) fn cut(&mut self, one: &RegionId, other: &RegionId) {
        self.network.cut(one, other);
        self.record.begin_region_fault(one, self.now);
        self.record.begin_region_fault(other, self.now);
    }

    /// Ends a cut between two regions.
    pub(super) fn heal(&mut self, one: &RegionId, other: &RegionId) {
        let now = self.now;
        self.network.heal(one, other);
        for region in [one, other] {
            self.record.end_region_fault(region, now);
            for place in self.instances_in(region) {
                self.instances[place].disturbed_at = now;
            }
        }
    }

    /// Makes an upstream announce that it leaves; its process ends when the
    /// contract's drain window is over.
    pub(super) fn drain_upstream(&mut self, id: &UpstreamId) {
        let now = self.now;
        let service = self.service_of.get(id).cloned();
        let service = service.and_then(|service| self.contract.service(&service));
        let window_s = service.map_or(0, |service| service.contract.drain_window_s);
        self.record.planned_stops += 1;
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.drains_since = Some(now);
            let upstream = id.clone();
            let at = now + Duration::from_secs(window_s.into());
            self.schedule.add(at, Event::DrainWindowEnds { upstream });
        }
    }

    /// Ends a drained upstream's process.
    pub(super) fn vacate(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let cut = upstream.set_fault(UpstreamFault::Dead);
        if !cut.is_empty() {
            let breach = format!("{id} ended with {} requests in flight", cut.len());
            self.record.violations.aborted_by_stop.push(breach);
        }
        self.break_attempts(cut);
    }

    /// Returns since when an upstream has been announced as leaving, by itself
    /// or by an accepted drain.
    pub(super) fn leaving_since(
        &self,
        service: &ServiceId,
        id: &UpstreamId,
    ) -> Option<MonotonicTime> {
        let upstream = self.upstreams.get(id)?;
        let wall = true_wall(self.now);
        let leaves_at = leaves_at_us(&self.contract, service, &upstream.settings);
        let accepted_at = self.record.drains.get(id).copied();
        let announced = leaves_at.filter(|at| *at <= wall).map(|at| {
            let started = MonotonicTime::ZERO + (at - true_wall(MonotonicTime::ZERO));
            started.max(accepted_at.unwrap_or(started))
        });
        [announced, upstream.drains_since]
            .into_iter()
            .flatten()
            .min()
    }
}
