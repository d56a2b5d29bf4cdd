//! Queues, runs and answers an upstream's requests.
//!
//! Lock order: `behaviour`, `records`, `rng`; no two are held at the same
//! time, and none across an await.

use super::answer::{
    RequestIdentity,
    add_status_headers,
    apply_fault,
    ask_for_rest,
    early_answer,
    refusal, //
};
use super::faults::{
    AnswerFault,
    Behaviour, //
};
use super::load::{
    LoadMetrics,
    LoadReport, //
};
use super::options::UpstreamOptions;
use super::records::{
    Records,
    RunRecord, //
};
use crate::http::{
    Call,
    Endpoint,
    Reply,
    json,
    text, //
};
use http_types::{
    Response,
    StatusCode, //
};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol::Timer;
use smol::future::FutureExt;
use smol::lock::{
    Semaphore,
    SemaphoreGuard, //
};
use std::net::IpAddr;
use std::time::{
    Duration,
    Instant, //
};

const LOAD_PATH: &str = "/load";

const HEALTH_PATH: &str = "/health";

/// The header with a request's remaining time, in milliseconds.
const DEADLINE_HEADER: &str = "foxtide-deadline-ms";

/// The state shared by the server, its connections and its handle.
pub(super) struct UpstreamEndpoint {
    pub(super) options: UpstreamOptions,
    pub(super) behaviour: Mutex<Behaviour>,
    pub(super) records: Mutex<Records>,
    rng: Mutex<StdRng>,
    slots: Semaphore,
}

/// The outcome of waiting for a slot.
enum SlotWait<'a> {
    Taken(SemaphoreGuard<'a>),
    DeadlinePassed,
    Disconnected,
}

/// The outcome of running a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Completed,
    Disconnected,
}

impl UpstreamEndpoint {
    pub(super) fn new(options: UpstreamOptions) -> Self {
        Self {
            behaviour: Mutex::new(Behaviour::new(options.service_time)),
            records: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            slots: Semaphore::new(options.slots as usize),
            options,
        }
    }

    async fn serve(&self, call: &Call) -> Reply {
        let received_at = Instant::now();
        self.records.lock().record_received(received_at);
        let sheds = self.behaviour.lock().sheds;
        if sheds || !self.has_capacity() {
            return self.shed(call, "no room");
        }
        let slot = match self.wait_for_slot(call).await {
            SlotWait::Taken(slot) => slot,
            SlotWait::DeadlinePassed => return self.shed(call, "deadline passed while waiting"),
            SlotWait::Disconnected => return Reply::Close,
        };
        let fault = self.behaviour.lock().take_fault();
        if fault == AnswerFault::LostBeforeRun {
            return Reply::Close;
        }
        let identity = RequestIdentity::of(call);
        let end = self.run(call, &identity, received_at).await;
        drop(slot);
        if end == RunEnd::Disconnected {
            return Reply::Close;
        }
        let padding_bytes = self.options.answer_bytes;
        let mut response = identity.answer(&self.options.name, call, padding_bytes);
        self.add_status_headers(&mut response);
        apply_fault(response, call.request.method(), fault).await
    }

    fn has_capacity(&self) -> bool {
        let stats = self.records.lock().stats;
        let taken = stats.running + stats.waiting;
        taken < self.options.slots + self.options.queue
    }

    fn shed(&self, call: &Call, reason: &str) -> Reply {
        self.records.lock().stats.shed += 1;
        let mut response = refusal(call, reason);
        // One that is merely full takes the next request once a slot is free.
        if self.behaviour.lock().sheds {
            ask_for_rest(&mut response);
        }
        self.add_status_headers(&mut response);
        Reply::whole(response)
    }

    async fn wait_for_slot(&self, call: &Call) -> SlotWait<'_> {
        self.records.lock().start_waiting();
        let waiting = WaitingGuard(&self.records);
        let taken = async { SlotWait::Taken(self.slots.acquire().await) };
        let late = async {
            Timer::after(deadline(call)).await;
            SlotWait::DeadlinePassed
        };
        let disconnected = async {
            call.disconnected().await;
            SlotWait::Disconnected
        };
        let end = taken.or(late).or(disconnected).await;
        drop(waiting);
        end
    }

    async fn run(&self, call: &Call, identity: &RequestIdentity, received_at: Instant) -> RunEnd {
        let record = RunRecord {
            idempotency_key: identity.idempotency_key.clone(),
            request_id: identity.request_id.clone(),
            method: call.request.method().to_string(),
            path: identity.path.clone(),
            caller: call.caller.ip(),
            received_at,
        };
        let ran = self.records.lock().stats.ran;
        self.records.lock().start_run(record, Instant::now());
        let running = RunningGuard(&self.records);
        let service_time = self.behaviour.lock().service_time;
        let time = service_time.draw(&mut self.rng.lock());
        let time = time.mul_f64(self.options.cold_start.factor(ran));
        let completed = async {
            Timer::after(time).await;
            RunEnd::Completed
        };
        let disconnected = async {
            call.disconnected().await;
            RunEnd::Disconnected
        };
        let end = completed.or(disconnected).await;
        drop(running);
        if end == RunEnd::Disconnected {
            self.records.lock().stats.cancelled += 1;
        }
        end
    }

    fn add_status_headers(&self, response: &mut Response) {
        let behaviour = self.behaviour.lock();
        let (report, drains) = (behaviour.load_report, behaviour.drains);
        drop(behaviour);
        let load = self.load(report);
        let load = load.map(|load| load.header(self.options.load_format));
        add_status_headers(response, load, drains);
    }

    fn load(&self, report: LoadReport) -> Option<LoadMetrics> {
        let mut records = self.records.lock();
        let stats = records.stats;
        let used = f64::from(stats.running + stats.waiting) / f64::from(self.options.slots.max(1));
        let application_utilization = match report {
            LoadReport::Accurate => used,
            LoadReport::Fixed(utilization) => utilization,
            LoadReport::Missing => return None,
        };
        Some(LoadMetrics {
            application_utilization,
            rps_fractional: records.rate_rps(Instant::now()),
        })
    }

    fn load_page(&self) -> Response {
        let report = self.behaviour.lock().load_report;
        match self.load(report) {
            Some(load) => json(&load),
            None => text(StatusCode::NotFound, "no load report"),
        }
    }

    fn health_page(&self) -> Response {
        let behaviour = self.behaviour.lock();
        let healthy = behaviour.reports_healthy();
        let drains = behaviour.drains;
        drop(behaviour);
        let mut response = if healthy {
            text(StatusCode::Ok, "healthy")
        } else {
            text(StatusCode::ServiceUnavailable, "unhealthy")
        };
        add_status_headers(&mut response, None, drains);
        response
    }
}

impl Endpoint for UpstreamEndpoint {
    fn accepts(&self, _caller: IpAddr, open_connections: usize) -> bool {
        let accepts = open_connections < self.options.connections as usize;
        if !accepts {
            self.records.lock().stats.connections_refused += 1;
        }
        accepts
    }

    fn greeting(&self) -> Option<Vec<u8>> {
        let early = self.behaviour.lock().answers_early;
        early.then(early_answer)
    }

    async fn answer(&self, call: Call) -> Reply {
        let delay = self.behaviour.lock().delay_to(call.caller.ip());
        pause(delay).await;
        let reply = match call.request.url().path() {
            LOAD_PATH => Reply::whole(self.load_page()),
            HEALTH_PATH => Reply::whole(self.health_page()),
            _ => self.serve(&call).await,
        };
        pause(delay).await;
        reply
    }
}

/// Decrements the count of waiting requests on drop.
struct WaitingGuard<'a>(&'a Mutex<Records>);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().stop_waiting();
    }
}

/// Decrements the count of running requests on drop.
struct RunningGuard<'a>(&'a Mutex<Records>);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().end_run();
    }
}

/// Returns a request's remaining time; unlimited without the header.
fn deadline(call: &Call) -> Duration {
    let left_ms = call.header(DEADLINE_HEADER);
    let left_ms = left_ms.and_then(|text| text.parse().ok());
    left_ms.map_or(Duration::MAX, Duration::from_millis)
}

async fn pause(delay: Duration) {
    if !delay.is_zero() {
        Timer::after(delay).await;
    }
}
