//! Injects faults into instances, upstreams and regions, and carries out planned stops.

use super::event::{
    AttemptEnd,
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
use foxtide_core::steering::upstream_leaves_at;
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

/// Time for which callers may reuse the result of a look-up.
const LOOKUP_TTL: Duration = Duration::from_secs(5);

/// Interval at which a leaving instance checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Fleet {
    /// Kills an instance's process; its callers lose their connections.
    pub(super) fn kill(&mut self, index: usize) {
        let since = self.now;
        self.instances[index].condition = Condition::Ended { since };
        let copies = self.copies_at(index);
        for copy in copies {
            if let Some(copy) = self.close_copy(copy, CompletionKind::Cancelled) {
                self.notify_caller(copy.operation, CallerOutcome::NoResponse);
            }
        }
        self.instances[index].process = None;
    }

    fn copies_at(&self, index: usize) -> Vec<CopyNumber> {
        let copies = self.copies.iter();
        let copies = copies.filter(|(_, copy)| copy.instance == index);
        copies.map(|(number, _)| *number).collect()
    }

    /// Starts a process on an instance that has none.
    pub(super) fn restart(&mut self, index: usize) {
        if self.instances[index].process.is_none() {
            self.start_process(index);
        }
    }

    /// Pauses an instance's process.
    pub(super) fn pause(&mut self, index: usize, span: Duration) {
        let until = self.now + span;
        self.instances[index].condition = Condition::Paused { until };
        self.schedule.add(until, Event::Resume { instance: index });
    }

    /// Resumes a paused process whose pause is over.
    pub(super) fn wake(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.wakes_at().is_some_and(|at| at <= now) {
            instance.condition = Condition::Running;
            instance.disturbed_at = now;
        }
    }

    /// Stops an instance gracefully: it leaves the membership, completes its requests and
    /// exits.
    pub(super) fn stop(&mut self, index: usize) {
        let now = self.now;
        self.record.planned_stops += 1;
        self.instances[index].condition = Condition::Leaving;
        if let Some(process) = self.process(index) {
            let outputs = process.membership.leave(now);
            self.handle_outputs(index, outputs);
        }
        let event = Event::EndWhenIdle { instance: index };
        self.schedule.add(now + LOOKUP_TTL, event);
    }

    /// Ends a leaving instance once no request is in flight, and checks again later
    /// otherwise.
    pub(super) fn end_if_idle(&mut self, index: usize) {
        if self.instances[index].condition != Condition::Leaving {
            return;
        }
        if self.copies_at(index).is_empty() {
            self.kill(index);
            return;
        }
        let event = Event::EndWhenIdle { instance: index };
        self.schedule.add(self.now + IDLE_CHECK_INTERVAL, event);
    }

    /// Sets an upstream's fault and records when its region is disturbed.
    pub(super) fn set_upstream_fault(&mut self, id: &UpstreamId, fault: UpstreamFault) {
        let now = self.now;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let region = upstream.settings.region.clone();
        let aborted = upstream.set_fault(fault);
        self.fail_attempts(aborted);
        if fault == UpstreamFault::None {
            self.record.end_region_fault(&region, now);
        } else {
            self.record.begin_region_fault(&region, now);
        }
    }

    fn fail_attempts(&mut self, aborted: Vec<AttemptNumber>) {
        for attempt in aborted {
            self.sent_attempts.remove(&attempt);
            self.send_attempt_end(attempt, AttemptEnd::Lost);
        }
    }

    /// Kills all instances and upstreams of a region.
    pub(super) fn region_down(&mut self, region: &RegionId) {
        self.record.begin_region_fault(region, self.now);
        for index in self.instances_in(region) {
            self.kill(index);
        }
        for upstream in self.upstreams_in(region) {
            self.set_upstream_fault(&upstream, UpstreamFault::Dead);
        }
    }

    /// Restarts all instances and upstreams of a region.
    pub(super) fn region_up(&mut self, region: &RegionId) {
        for upstream in self.upstreams_in(region) {
            self.set_upstream_fault(&upstream, UpstreamFault::None);
        }
        for index in self.instances_in(region) {
            self.restart(index);
        }
        self.record.end_region_fault(region, self.now);
    }

    fn instances_in(&self, region: &RegionId) -> Vec<usize> {
        let indices = 0..self.instances.len();
        let matching = indices.filter(|index| self.instances[*index].region == *region);
        matching.collect()
    }

    fn upstreams_in(&self, region: &RegionId) -> Vec<UpstreamId> {
        let upstreams = self.upstreams.values();
        let matching = upstreams.filter(|upstream| upstream.settings.region == *region);
        matching
            .map(|upstream| upstream.settings.upstream.clone())
            .collect()
    }

    /// Drops all messages between two regions.
    pub(super) fn cut(&mut self, first: &RegionId, second: &RegionId) {
        self.network.cut(first, second);
        self.record.begin_region_fault(first, self.now);
        self.record.begin_region_fault(second, self.now);
    }

    /// Restores the link between two regions.
    pub(super) fn heal(&mut self, first: &RegionId, second: &RegionId) {
        let now = self.now;
        self.network.heal(first, second);
        for region in [first, second] {
            self.record.end_region_fault(region, now);
            for index in self.instances_in(region) {
                self.instances[index].disturbed_at = now;
            }
        }
    }

    /// Makes an upstream announce that it is draining. Its process ends after the
    /// contract's drain window.
    pub(super) fn drain_upstream(&mut self, id: &UpstreamId) {
        let now = self.now;
        let service = self.service_of.get(id).cloned();
        let service = service.and_then(|service| self.organisation.service(&service));
        let window_s = service.map_or(0, |service| service.contract.drain_window_s);
        self.record.planned_stops += 1;
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.draining_since = Some(now);
            let upstream = id.clone();
            let at = now + Duration::from_secs(window_s.into());
            self.schedule.add(at, Event::DrainWindowEnds { upstream });
        }
    }

    /// Ends a drained upstream's process; requests still in flight are recorded as a
    /// breach.
    pub(super) fn end_drained_upstream(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let aborted = upstream.set_fault(UpstreamFault::Dead);
        if !aborted.is_empty() {
            let breach = format!("{id} ended with {} requests in flight", aborted.len());
            self.record.violations.aborted_by_stop.push(breach);
        }
        self.fail_attempts(aborted);
    }

    /// Returns when an upstream was first announced as leaving, by itself or by an
    /// accepted drain.
    pub(super) fn leaving_since(
        &self,
        service: &ServiceId,
        id: &UpstreamId,
    ) -> Option<MonotonicTime> {
        let upstream = self.upstreams.get(id)?;
        let wall = true_wall(self.now);
        let leaves_at = upstream_leaves_at(&self.organisation, service, &upstream.settings);
        let accepted_at = self.record.drains.get(id).copied();
        let announced = leaves_at.filter(|at| *at <= wall).map(|at| {
            let leaving_at = MonotonicTime::ZERO + (at - true_wall(MonotonicTime::ZERO));
            leaving_at.max(accepted_at.unwrap_or(leaving_at))
        });
        [announced, upstream.draining_since]
            .into_iter()
            .flatten()
            .min()
    }
}
