//! The upstream's handle.

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

/// A running stand-in for one target of a service.
///
/// `/load` tells its load and `/health` its health; every other path is
/// served as a request of its service.
pub struct UpstreamServer {
    server: Server<UpstreamEndpoint>,
    endpoint: Arc<UpstreamEndpoint>,
}

impl UpstreamServer {
    /// Starts an idle upstream.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn start(options: UpstreamOptions) -> io::Result<Self> {
        let address = options.address;
        let endpoint = Arc::new(UpstreamEndpoint::new(options));
        let server = Server::start(address, endpoint.clone()).await?;
        Ok(Self { server, endpoint })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes whether it takes connections and answers.
    pub async fn set_availability(&self, availability: Availability) {
        self.server.set_availability(availability).await;
    }

    /// Dies as a process does: no more connections, the open ones are closed.
    pub async fn kill(&self) {
        self.set_availability(Availability::Refusing).await;
        self.server.close_connections();
    }

    /// Comes back after [`kill`](Self::kill), on the same address.
    pub async fn revive(&self) {
        self.set_availability(Availability::Serving).await;
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// Sets what is wrong with its answers, and for how long.
    pub fn set_fault(&self, fault: AnswerFault, span: FaultSpan) {
        self.endpoint.behaviour.lock().set_fault(fault, span);
    }

    /// Makes it send an answer on each new connection before any request.
    pub fn set_answers_early(&self, early: bool) {
        self.endpoint.behaviour.lock().answers_early = early;
    }

    /// Changes how long a request holds its slot.
    pub fn set_service_time(&self, service_time: ServiceTime) {
        self.endpoint.behaviour.lock().service_time = service_time;
    }

    /// Makes it refuse every request as not run.
    pub fn set_shedding(&self, sheds: bool) {
        self.endpoint.behaviour.lock().sheds = sheds;
    }

    /// Makes its answers announce that it leaves.
    pub fn set_draining(&self, drains: bool) {
        self.endpoint.behaviour.lock().drains = drains;
    }

    /// Sets the delay of the link to all callers, one way.
    pub fn set_link_delay(&self, delay: Duration) {
        self.endpoint.behaviour.lock().link_delay = delay;
    }

    /// Sets the delay of the link to one caller's address, one way.
    pub fn set_link_delay_to(&self, caller: IpAddr, delay: Duration) {
        let mut behaviour = self.endpoint.behaviour.lock();
        behaviour.link_delays.insert(caller, delay);
    }

    /// Sets what it reports as its load.
    pub fn set_load_report(&self, report: LoadReport) {
        self.endpoint.behaviour.lock().load_report = report;
    }

    /// Sets what its health page says.
    pub fn set_health_report(&self, report: HealthReport) {
        self.endpoint.behaviour.lock().health_report = report;
    }

    /// Returns every request that began to run, in that order.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.endpoint.records.lock().runs.clone()
    }

    /// Returns how often requests with this `idempotency-key` began to run.
    pub fn runs_of(&self, key: &str) -> usize {
        let records = self.endpoint.records.lock();
        let runs = records.runs.iter();
        let same = runs.filter(|run| run.idempotency_key.as_deref() == Some(key));
        same.count()
    }

    /// Returns the number of requests that came after a time.
    pub fn received_after(&self, after: Instant) -> usize {
        self.endpoint.records.lock().received_after(after)
    }

    /// Returns the counts so far.
    pub fn stats(&self) -> UpstreamStats {
        self.endpoint.records.lock().stats
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.server.open_connections()
    }
}
