//! Callers: request arrivals, failures and retries.

use super::outcome::{
    Cause,
    LoadWindow, //
};
use super::request::{
    Request,
    RequestId,
    Stage, //
};
use super::settings::milliseconds;
use super::simulation::{
    Event,
    Simulation,
    WINDOW_S, //
};
use foxtide_core::admission::Ending;
use foxtide_core::admission::Patience;
use foxtide_core::placement::ObjectKey;
use foxtide_core::time::MonotonicTime;
use rand::RngExt;
use std::time::Duration;

/// Maximum retries of a caller that honours the retry delay, and of one that does not.
const RETRIES_MAX: u32 = 1;
const IMPATIENT_RETRIES_MAX: u32 = 3;

/// Retry delay of a caller that was cut off or ignores the delay it was given.
pub(super) const IMPATIENT_RETRY_MS: f64 = 5.0;
/// Retry delay given to callers that were refused or timed out.
pub(super) const RETRY_AFTER_MS: f64 = 300.0;

impl Simulation<'_> {
    pub(super) fn schedule_arrival(&mut self, region: usize) {
        let load = &self.settings.regions[region];
        let phase = region as f64 / self.settings.regions.len() as f64;
        let turns = self.elapsed_s() / self.settings.swing_period_s + phase;
        let swing = 1.0 + self.settings.swing * (turns * std::f64::consts::TAU).sin();
        let rate_rps = (load.rate_rps * swing).max(0.01);
        let draw: f64 = self.arrivals.random();
        let pause_s = -(1.0 - draw).ln() / rate_rps;
        if self.elapsed_s() + pause_s < self.settings.length_s {
            self.after(milliseconds(pause_s * 1_000.0), Event::Arrival(region));
        }
    }

    pub(super) fn arrive(&mut self, region: usize) {
        self.schedule_arrival(region);
        let object = self
            .random
            .random_range(0..self.settings.regions[region].objects);
        let object = object + 1_000_000 * region as u64;
        let draw: f64 = self.arrivals.random();
        let request = Request {
            region,
            instance: 0,
            object,
            first_attempt_at: self.now,
            arrived_at: self.now,
            retries: 0,
            is_impatient: draw < self.settings.impatient_share,
            order: Vec::new(),
            second_choice: None,
            second_patience: Patience::NoWait,
            upstream: 0,
            refusals: 0,
            stage: Stage::FirstChoice,
            is_answered: false,
        };
        self.window_of(&request).asked += 1;
        self.assign_instance(request);
    }

    pub(super) fn retry(&mut self, previous: RequestId) {
        let Some(previous) = self.requests.remove(&previous) else {
            return;
        };
        self.assign_instance(Request {
            arrived_at: self.now,
            retries: previous.retries + 1,
            refusals: 0,
            stage: Stage::FirstChoice,
            is_answered: false,
            ..previous
        });
    }

    /// Assigns an attempt to a random instance of the caller's region.
    pub(super) fn assign_instance(&mut self, mut request: Request) {
        let local_instances: Vec<usize> = (0..self.fleet.instances.len())
            .filter(|&number| self.fleet.instances[number].region == request.region)
            .collect();
        request.instance = local_instances[self.random.random_range(0..local_instances.len())];
        let instance = &mut self.fleet.instances[request.instance];
        instance.overflow.record_success();
        let key = ObjectKey::new(&request.object.to_le_bytes());
        request.order = self.fleet.order(request.region, key);
        request.upstream = request.order[0];
        let local_choices = self.fleet.local_choices(request.region, key);
        request.second_choice = local_choices
            .into_iter()
            .find(|&one| one != request.upstream);
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(id, request);
        self.after(self.settings.limit(), Event::RouteTimeout(id));
        self.request_slot(id);
    }

    pub(super) fn route_timeout(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (stage, upstream) = (request.stage, request.upstream);
        match stage {
            Stage::Sent => {
                self.free(id, upstream);
                self.end(id, Cause::Cut, milliseconds(IMPATIENT_RETRY_MS));
            }
            Stage::FirstChoice | Stage::SecondChoice | Stage::UntilDeadline => {
                self.end(id, Cause::RefusedNoSlot, milliseconds(RETRY_AFTER_MS));
            }
            Stage::Ended => {}
        }
    }

    /// Ends an attempt that got no answer, and schedules a retry if the caller has any left.
    pub(super) fn end(&mut self, id: RequestId, cause: Cause, retry_after: Duration) {
        self.report_end(id, Ending::NotServed);
        self.known.remove(&id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Ended;
        let retries_max = if request.is_impatient {
            IMPATIENT_RETRIES_MAX
        } else {
            RETRIES_MAX
        };
        if request.retries < retries_max {
            let wait = if request.is_impatient {
                milliseconds(IMPATIENT_RETRY_MS)
            } else {
                retry_after
            };
            self.after(wait, Event::Retry(id));
            return;
        }
        if request.retries > 0 && matches!(cause, Cause::RefusedNoSlot | Cause::RefusedByUpstream) {
            self.outcome.refused_again += 1;
        }
        self.requests.remove(&id);
        *self.outcome.causes.entry(cause).or_default() += 1;
    }

    pub(super) fn window_of(&mut self, request: &Request) -> &mut LoadWindow {
        let since = request.first_attempt_at - MonotonicTime::from_ms(1_000);
        let number = (since.as_secs_f64() / WINDOW_S) as usize;
        let last = self.outcome.windows.len() - 1;
        &mut self.outcome.windows[number.min(last)]
    }
}
