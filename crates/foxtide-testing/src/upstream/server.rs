//! Starts an upstream server and controls its behaviour.

use super::endpoint::UpstreamEndpoint;
use super::faults::{
    AnswerFault,
    FaultSpan, //
};
use super::load::{
    HealthReport,
    LoadReport, //
};
use super::options::{
    ServiceTime,
    UpstreamOptions, //
};
use super::records::{
    RunRecord,
    UpstreamStats, //
};
use crate::http::{
    Availability,
    Server, //
};
use std::io;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// A running test upstream.
///
/// `/load` and `/health` report its load and health; every other path is
/// handled as a service request.
pub struct UpstreamServer {
    server: Server<UpstreamEndpoint>,
    endpoint: Arc<UpstreamEndpoint>,
}

impl UpstreamServer {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(options: UpstreamOptions) -> io::Result<Self> {
        let address = options.address;
        let endpoint = Arc::new(UpstreamEndpoint::new(options));
        let server = Server::start(address, endpoint.clone()).await?;
        Ok(Self { server, endpoint })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets whether the server accepts connections and answers.
    pub async fn set_availability(&self, availability: Availability) {
        self.server.set_availability(availability).await;
    }

    /// Simulates a process exit: stops listening and closes all connections.
    pub async fn kill(&self) {
        self.set_availability(Availability::Refusing).await;
        self.server.close_connections();
    }

    /// Listens on the same address again after [`kill`](Self::kill).
    pub async fn revive(&self) {
        self.set_availability(Availability::Serving).await;
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// Sets the fault in its answers and the number of requests it affects.
    pub fn set_fault(&self, fault: AnswerFault, span: FaultSpan) {
        self.endpoint.behaviour.lock().set_fault(fault, span);
    }

    /// Sets whether each new connection gets an answer before any request.
    pub fn set_answers_early(&self, early: bool) {
        self.endpoint.behaviour.lock().answers_early = early;
    }

    /// Sets how long a request occupies its slot.
    pub fn set_service_time(&self, service_time: ServiceTime) {
        self.endpoint.behaviour.lock().service_time = service_time;
    }

    /// Sets whether every request is refused without running.
    pub fn set_shedding(&self, sheds: bool) {
        self.endpoint.behaviour.lock().sheds = sheds;
    }

    /// Sets whether its answers report that it is draining.
    pub fn set_draining(&self, drains: bool) {
        self.endpoint.behaviour.lock().drains = drains;
    }

    /// Sets the one-way delay of the link to callers without their own delay.
    pub fn set_link_delay(&self, delay: Duration) {
        self.endpoint.behaviour.lock().link_delay = delay;
    }

    /// Sets the one-way delay of the link to one caller's address.
    pub fn set_link_delay_to(&self, caller: IpAddr, delay: Duration) {
        let mut behaviour = self.endpoint.behaviour.lock();
        behaviour.link_delays.insert(caller, delay);
    }

    /// Sets how it reports its load.
    pub fn set_load_report(&self, report: LoadReport) {
        self.endpoint.behaviour.lock().load_report = report;
    }

    /// Sets how it reports its health.
    pub fn set_health_report(&self, report: HealthReport) {
        self.endpoint.behaviour.lock().health_report = report;
    }

    /// Returns every request that started to run, in order.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.endpoint.records.lock().runs.clone()
    }

    /// Returns how many requests with this `idempotency-key` started to run.
    pub fn runs_of(&self, key: &str) -> usize {
        let records = self.endpoint.records.lock();
        let runs = records.runs.iter();
        let same = runs.filter(|run| run.idempotency_key.as_deref() == Some(key));
        same.count()
    }

    /// Returns the number of requests received after a time.
    pub fn received_after(&self, after: Instant) -> usize {
        self.endpoint.records.lock().received_after(after)
    }

    /// Returns the current counts.
    pub fn stats(&self) -> UpstreamStats {
        self.endpoint.records.lock().stats
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.server.open_connections()
    }
}
