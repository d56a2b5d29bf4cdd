//! Fault injection for upstreams and coordinators.

use super::callers::IMPATIENT_RETRY_MS;
use super::outcome::Cause;
use super::settings::{
    CoordinatorFaultKind,
    UpstreamFaultKind,
    milliseconds, //
};
use super::simulation::{
    Event,
    Simulation, //
};
use std::time::Duration;

/// Lease duration: other instances see a killed instance as alive until it expires.
const LEASE_MS: f64 = 2_200.0;

impl Simulation<'_> {
    pub(super) fn upstream_fault(&mut self, number: usize, begins: bool) {
        let fault = self.settings.upstream_faults[number];
        let count = self.upstreams.len();
        let part = |share: f64| (count as f64 * share).round() as usize;
        let first = part(fault.from).min(count);
        for upstream in first..(first + part(fault.share)).min(count) {
            let target = &mut self.upstreams[upstream];
            match fault.kind {
                UpstreamFaultKind::Slow(times) => {
                    target.work_factor = if begins { times } else { 1.0 }
                }
                UpstreamFaultKind::Refusing(share) => {
                    target.refusing_share = if begins { share } else { 0.0 };
                }
                UpstreamFaultKind::Away => {
                    target.is_away = begins;
                    for lost in target.clear() {
                        self.end(lost, Cause::Lost, milliseconds(IMPATIENT_RETRY_MS));
                    }
                }
            }
        }
        let away: Vec<bool> = self.upstreams.iter().map(|one| one.is_away).collect();
        self.fleet.update_weights(self.settings, &away);
    }

    pub(super) fn coordinator_fault(&mut self, number: usize, begins: bool) {
        let fault = self.settings.coordinator_faults[number];
        let instance = fault.instance;
        self.fleet.instances[instance].fault = begins.then_some(fault.kind);
        match fault.kind {
            CoordinatorFaultKind::Killed => {
                self.fleet.instances[instance].coordinator = Default::default();
                let time = if begins {
                    milliseconds(LEASE_MS)
                } else {
                    Duration::ZERO
                };
                let is_alive = !begins;
                self.after(time, Event::MembershipChange { instance, is_alive });
            }
            CoordinatorFaultKind::DoublyBelieved => {
                // Every other instance takes this one for dead, so two coordinators are in use.
                for requester in (0..self.fleet.instances.len()).step_by(2) {
                    self.fleet.set_alive(requester, instance, !begins);
                }
            }
            CoordinatorFaultKind::Paused => {
                let (held, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.undelivered)
                    .into_iter()
                    .partition(|(coordinator, _)| *coordinator == instance);
                self.undelivered = remaining;
                for (_, event) in held {
                    self.after(Duration::ZERO, event);
                }
            }
            CoordinatorFaultKind::Mute => {}
        }
    }

    pub(super) fn delay(&self, region: usize, upstream: usize) -> Duration {
        if self.fleet.is_local(region, upstream) {
            self.settings.near_delay()
        } else {
            self.settings.far_delay()
        }
    }
}
