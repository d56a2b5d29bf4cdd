//! Processing of requests at upstreams and their replies.

use super::callers::RETRY_AFTER_MS;
use super::outcome::Cause;
use super::request::{
    RequestId,
    Stage, //
};
use super::settings::milliseconds;
use super::shift::SentRequest;
use super::simulation::{
    Event,
    LOAD_SAMPLE_PERIOD_MS,
    Simulation,
    WINDOW_S, //
};
use super::upstream::{
    Limits,
    ReceiveOutcome,
    Upstream, //
};
use foxtide_core::admission::Ending;
use rand::RngExt;

/// Maximum number of upstreams to which one attempt is sent.
const ATTEMPTS_MAX: u32 = 2;

impl Simulation<'_> {
    pub(super) fn send(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Sent;
        let (region, upstream) = (request.region, request.upstream);
        self.outcome.served.push(SentRequest {
            at_s: self.elapsed_s(),
            origin: region,
            region: self.fleet.region_of(upstream),
        });
        self.after(self.delay(region, upstream), Event::ReachUpstream(id));
    }

    pub(super) fn reach_upstream(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.stage != Stage::Sent {
            return;
        }
        self.outcome.arrivals += 1;
        let (upstream, object, region) = (request.upstream, request.object, request.region);
        let limits = self.limits();
        let draw = self.random.random();
        match self.upstreams[upstream].receive(id, object, limits, draw) {
            ReceiveOutcome::Started { is_known } => self.begin(id, upstream, is_known),
            ReceiveOutcome::Queued => {}
            ReceiveOutcome::Refused => self.after(self.delay(region, upstream), Event::Refused(id)),
        }
    }

    fn limits(&self) -> Limits {
        let settings = self.settings;
        Limits {
            slots: settings.slots as usize,
            queue_max: settings.queue,
            known_max: settings.known_objects_max,
        }
    }

    pub(super) fn begin(&mut self, id: RequestId, upstream: usize, is_known: bool) {
        self.known.insert(id, is_known);
        let part = if is_known {
            self.settings.known_part
        } else {
            1.0
        };
        // The sum of four uniform draws approximates a normal distribution.
        let draws: f64 = (0..4).map(|_| self.random.random::<f64>() - 0.5).sum();
        let spread = 1.0 + draws * 3.0_f64.sqrt() * self.settings.work_spread;
        let work_ms = self.settings.work_ms * part * spread.max(0.1);
        let time = milliseconds(work_ms * self.upstreams[upstream].work_factor);
        self.after(time, Event::ServiceComplete(id));
    }

    /// Sends a refused request to the object's next upstream, up to `ATTEMPTS_MAX`.
    pub(super) fn refused(&mut self, id: RequestId) {
        self.report_end(id, Ending::NotServed);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.stage != Stage::Sent {
            return;
        }
        request.refusals += 1;
        let refusals = request.refusals;
        let next = request
            .order
            .iter()
            .copied()
            .find(|&next| next != request.upstream);
        match next {
            Some(next) if refusals < ATTEMPTS_MAX => {
                request.stage = Stage::UntilDeadline;
                request.upstream = next;
                self.request_slot(id);
            }
            _ => self.end(id, Cause::RefusedByUpstream, milliseconds(RETRY_AFTER_MS)),
        }
    }

    pub(super) fn service_complete(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.stage != Stage::Sent || !self.known.contains_key(&id) {
            return;
        }
        let (region, upstream) = (request.region, request.upstream);
        self.free(id, upstream);
        self.after(self.delay(region, upstream), Event::Replied(id));
    }

    pub(super) fn free(&mut self, id: RequestId, upstream: usize) {
        let limits = self.limits();
        if let Some((next, is_known)) = self.upstreams[upstream].end(id, limits) {
            self.begin(next, upstream, is_known);
        }
    }

    pub(super) fn replied(&mut self, id: RequestId) {
        self.report_end(id, Ending::Served);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let is_known = self.known.remove(&id).unwrap_or(false);
        let took = self.now - request.first_attempt_at;
        let is_in_time = took <= self.settings.objective();
        let late_worth = self.settings.late_worth;
        let window = self.window_of(&request);
        if is_in_time {
            window.in_time += 1;
            window.worth += 1.0;
            return;
        }
        window.late += 1;
        window.worth += late_worth;
        let cause = match (request.retries > 0, is_known) {
            (true, _) => Cause::LateRetry,
            (false, false) => Cause::LateFirstTouch,
            (false, true) => Cause::LateWait,
        };
        *self.outcome.causes.entry(cause).or_default() += 1;
    }

    pub(super) fn sample_load(&mut self) {
        let load: usize = self.upstreams.iter().map(Upstream::load).sum();
        let number = (self.elapsed_s() / WINDOW_S) as usize;
        if let Some(window) = self.outcome.windows.get_mut(number) {
            window.in_flight_max = window.in_flight_max.max(load);
            self.after(milliseconds(LOAD_SAMPLE_PERIOD_MS), Event::SampleLoad);
        }
    }
}
