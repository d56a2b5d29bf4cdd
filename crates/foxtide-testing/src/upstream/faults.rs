//! Holds an upstream's adjustable behaviour and injected faults.

use super::load::{
    HealthReport,
    LoadReport, //
};
use super::options::ServiceTime;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// A fault in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// No fault.
    #[default]
    None,
    /// The request runs, half of the answer is sent, then the connection closes.
    Truncated,
    /// The request runs, and the answer is delayed by this time.
    Late(Duration),
    /// The request runs once, and the answer is sent twice.
    Doubled,
    /// `content-length` exceeds the body's length; the connection stays open.
    LengthTooLong,
    /// `content-length` is less than the body's length.
    LengthTooShort,
    /// The request runs, then the connection closes without an answer.
    LostAfterRun,
    /// The connection closes without an answer and the request does not run.
    LostBeforeRun,
    /// The request runs, but no answer is sent.
    Never,
}

/// The number of requests that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSpan {
    /// This many of the next requests.
    Next(u32),
    /// Every request until another fault is set.
    Always,
}

/// The behaviour that the handle can change at run time.
#[derive(Debug)]
pub(super) struct Behaviour {
    pub(super) service_time: ServiceTime,
    pub(super) sheds: bool,
    pub(super) drains: bool,
    /// Whether an answer is sent on each new connection before any request.
    pub(super) answers_early: bool,
    pub(super) load_report: LoadReport,
    pub(super) health_report: HealthReport,
    pub(super) link_delay: Duration,
    pub(super) link_delays: BTreeMap<IpAddr, Duration>,
    fault: AnswerFault,
    span: FaultSpan,
}

impl Behaviour {
    /// Returns the behaviour of a healthy upstream.
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

    pub(super) fn set_fault(&mut self, fault: AnswerFault, span: FaultSpan) {
        self.fault = fault;
        self.span = span;
    }

    /// Returns the fault for the current request and counts it.
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

    /// Returns the one-way delay of the link to a caller.
    pub(super) fn delay_to(&self, caller: IpAddr) -> Duration {
        let delay = self.link_delays.get(&caller);
        delay.copied().unwrap_or(self.link_delay)
    }

    /// Returns whether the health endpoint reports the upstream as healthy.
    pub(super) fn reports_healthy(&self) -> bool {
        match self.health_report {
            HealthReport::Accurate => !self.sheds && !self.drains,
            HealthReport::AlwaysHealthy => true,
            HealthReport::NeverHealthy => false,
        }
    }
}
