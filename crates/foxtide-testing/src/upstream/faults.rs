//! What is wrong with an upstream.

use super::load::{
    HealthReport,
    LoadReport, //
};
use super::options::ServiceTime;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// The request runs, half of its answer is sent, the connection closes.
    Truncated,
    /// The request runs, its answer comes this much later.
    Late(Duration),
    /// The request runs once, its answer is sent twice.
    Doubled,
    /// The answer tells more bytes than it has; the connection stays open.
    LengthTooLong,
    /// The answer tells fewer bytes than it has.
    LengthTooShort,
    /// The request runs, the connection closes without an answer.
    LostAfterRun,
    /// The request does not run, the connection closes without an answer.
    LostBeforeRun,
    /// The request runs, its answer never comes.
    Never,
}

/// For how many requests a fault lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSpan {
    /// The next requests, this many.
    Next(u32),
    /// Until another fault is set.
    Always,
}

/// The state that the handle changes while the upstream runs.
#[derive(Debug)]
pub(super) struct Behaviour {
    pub(super) service_time: ServiceTime,
    pub(super) sheds: bool,
    pub(super) drains: bool,
    /// Sends an answer on each new connection before any request.
    pub(super) answers_early: bool,
    pub(super) load_report: LoadReport,
    pub(super) health_report: HealthReport,
    pub(super) link_delay: Duration,
    pub(super) link_delays: BTreeMap<IpAddr, Duration>,
    fault: AnswerFault,
    span: FaultSpan,
}

impl Behaviour {
    /// Returns the behaviour of an upstream with nothing wrong.
    pub(super) fn new(service_time: ServiceTime) -> Self {
        Self {
            service_time,
            sheds: false,
            drains: false,
            answers_early: false,
            load_report: LoadReport::default(),
            health_report: HealthReport::default(),
            link_delay: Duration::ZERO,
            link_delays: BTreeMap::new(),
            fault: AnswerFault::None,
            span: FaultSpan::Always,
        }
    }

    /// Sets what is wrong with the answers.
    pub(super) fn set_fault(&mut self, fault: AnswerFault, span: FaultSpan) {
        self.fault = fault;
        self.span = span;
    }

    /// Returns what is wrong with the answer to the request that came now.
    pub(super) fn take_fault(&mut self) -> AnswerFault {
        match &mut self.span {
            FaultSpan::Always => self.fault,
            FaultSpan::Next(0) => AnswerFault::None,
            FaultSpan::Next(left) => {
                *left -= 1;
                self.fault
            }
        }
    }

    /// Returns the delay of the link to a caller, one way.
    pub(super) fn delay_to(&self, caller: IpAddr) -> Duration {
        let delay = self.link_delays.get(&caller);
        delay.copied().unwrap_or(self.link_delay)
    }

    /// Tells what the health page says.
    pub(super) fn reports_healthy(&self) -> bool {
        match self.health_report {
            HealthReport::Accurate => !self.sheds && !self.drains,
            HealthReport::AlwaysHealthy => true,
            HealthReport::NeverHealthy => false,
        }
    }
}
