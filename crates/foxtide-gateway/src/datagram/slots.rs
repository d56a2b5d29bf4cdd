//! Questions for slots of upstreams and their answers.

use super::{
    Body,
    Datagram,
    milliseconds, //
};
use foxtide_core::admission::{
    Answer,
    EndReport,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::ids::OrganisationId;
use foxtide_core::placement::{
    ObjectKey,
    Slowness, //
};
use foxtide_core::routing::RequestKind;
use foxtide_core::throttle::LimitReport;
use foxtide_core::time::WallTime;
use foxtide_core::units::RequestRate;
use std::net::SocketAddr;
use std::time::Duration;

/// A request for a slot of an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RequestMessage {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint32, tag = "2")]
    pub(crate) slots: u32,
    #[prost(fixed64, optional, tag = "3")]
    object: Option<u64>,
    #[prost(uint32, tag = "4")]
    priority: u32,
    #[prost(uint32, tag = "5")]
    objective_left_ms: u32,
    #[prost(uint32, tag = "6")]
    time_left_ms: u32,
    #[prost(enumeration = "PatienceMessage", tag = "7")]
    patience: i32,
    /// When the upstream started, in milliseconds since 1970.
    #[prost(uint64, optional, tag = "8")]
    born_ms: Option<u64>,
    #[prost(message, optional, tag = "9")]
    limit: Option<LimitMessage>,
    /// The hash of the request's kind; 0 of an instance without kinds.
    #[prost(fixed64, tag = "10")]
    kind: u64,
    /// The organisation of the caller; empty if it is not known.
    #[prost(string, tag = "11")]
    organisation: String,
    /// The rate that was sold to the organisation, in requests a second.
    #[prost(double, optional, tag = "13")]
    organisation_rate_rps: Option<f64>,
    /// Whether a request that does not wait takes a slot only within its latency objective. An
    /// instance that does not know the field grants any idle slot.
    #[prost(bool, tag = "12")]
    is_in_time_only: bool,
}

/// What the requester has heard of the upstream's rate limit.
#[derive(Clone, PartialEq, prost::Message)]
struct LimitMessage {
    /// The limit; absent if a response stated none.
    #[prost(double, optional, tag = "1")]
    limit_rps: Option<f64>,
    #[prost(uint32, tag = "2")]
    age_ms: u32,
}

/// How long a request may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum PatienceMessage {
    ToTheEnd = 0,
    WhileEarly = 1,
    None = 2,
}

/// An answer to a request for a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AnswerMessage {
    /// Whether the request may be sent.
    #[prost(bool, tag = "1")]
    is_granted: bool,
    /// When a slot is expected to be free, if the request is refused.
    #[prost(uint32, optional, tag = "2")]
    retry_after_ms: Option<u32>,
    /// Whether the wait would be longer than the request may wait.
    #[prost(bool, tag = "3")]
    is_busy: bool,
    /// Whether the upstream's rate limit is why the request is refused. An instance without
    /// support for rate limits treats the request as refused for lack of a slot.
    #[prost(bool, tag = "4")]
    is_throttled: bool,
    /// Whether the instance does not coordinate an upstream that limits its rate.
    #[prost(bool, tag = "5")]
    is_not_coordinator: bool,
    /// The time after which a request would have been served whose wait would be too long.
    #[prost(uint32, optional, tag = "6")]
    expected_ms: Option<u32>,
}

/// The end of a request, with more than [`Body::End`] tells.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct EndedMessage {
    /// Whether the upstream served it.
    #[prost(bool, tag = "1")]
    pub(super) is_served: bool,
    /// The slowness that the upstream reported, in percent.
    #[prost(uint32, optional, tag = "2")]
    pub(super) slowness_percent: Option<u32>,
}

/// Retry delay for an instance without support for rate limits, if the answering one is not the
/// coordinator.
const RETRY_AFTER_NOT_COORDINATOR: Duration = Duration::from_millis(200);

impl Datagram {
    /// Returns the question for a slot.
    pub(crate) fn ask(request: &SlotRequest, slots: u32) -> Self {
        Self {
            number: request.ticket.number,
            body: Some(Body::Ask(RequestMessage::new(request, slots))),
        }
    }

    /// Returns the notice of a request that is sent without asking.
    pub(crate) fn notify(request: &SlotRequest, slots: u32) -> Self {
        Self {
            number: request.ticket.number,
            body: Some(Body::Notify(RequestMessage::new(request, slots))),
        }
    }

    /// Returns the notice of a request's end.
    pub(crate) fn end(number: u64, end: EndReport) -> Self {
        let is_served = end.ending == Ending::Served;
        let body = match end.slowness {
            // Instances that know no slowness understand this one, too.
            None => Body::End(is_served),
            Some(slowness) => Body::Ended(EndedMessage {
                is_served,
                slowness_percent: Some(slowness.percent()),
            }),
        };
        Self {
            number,
            body: Some(body),
        }
    }

    /// Returns an answer.
    pub(crate) fn answer(number: u64, answer: Answer) -> Self {
        let retry_after_ms = match answer {
            Answer::Rejected { retry_after } => Some(milliseconds(retry_after)),
            // Rounded up: a token is available at the end of the delay.
            Answer::Throttled { retry_after } => Some(milliseconds(retry_after).saturating_add(1)),
            Answer::NotCoordinator => Some(milliseconds(RETRY_AFTER_NOT_COORDINATOR)),
            Answer::Granted | Answer::Waiting | Answer::Busy { .. } => None,
        };
        let expected_ms = match answer {
            Answer::Busy { served_in } => served_in.map(milliseconds),
            _ => None,
        };
        let is_granted = answer == Answer::Granted;
        Self {
            number,
            body: Some(Body::Answer(AnswerMessage {
                is_granted,
                is_busy: matches!(answer, Answer::Busy { .. }),
                is_throttled: matches!(answer, Answer::Throttled { .. }),
                is_not_coordinator: answer == Answer::NotCoordinator,
                retry_after_ms,
                expected_ms,
            })),
        }
    }
}

impl RequestMessage {
    fn new(request: &SlotRequest, slots: u32) -> Self {
        Self {
            upstream: request.upstream.to_string(),
            slots,
            object: request.object.map(ObjectKey::hash),
            priority: request.priority,
            objective_left_ms: milliseconds(request.objective_left),
            time_left_ms: milliseconds(request.time_left),
            patience: PatienceMessage::from(request.patience).into(),
            born_ms: request.born_at.map(WallTime::as_ms),
            limit: request.limit.map(LimitMessage::from),
            kind: request.kind.hash(),
            organisation_rate_rps: request.organisation_rate.map(RequestRate::get),
            organisation: request
                .organisation
                .as_ref()
                .map_or_else(String::new, OrganisationId::to_string),
            is_in_time_only: request.patience == Patience::NoWaitInTime,
        }
    }

    /// Returns the request as its coordinator sees it.
    ///
    /// # Errors
    ///
    /// Fails if the name of the upstream or the organisation is invalid.
    pub(crate) fn request(
        &self,
        requester: SocketAddr,
        number: u64,
    ) -> foxtide_core::Result<SlotRequest> {
        let organisation = match self.organisation.as_str() {
            "" => None,
            organisation => Some(organisation.parse()?),
        };
        Ok(SlotRequest {
            ticket: Ticket { requester, number },
            upstream: self.upstream.parse()?,
            kind: RequestKind::from_hash(self.kind),
            organisation,
            organisation_rate: self.organisation_rate_rps.map(RequestRate::clamped),
            object: self.object.map(ObjectKey::from_hash),
            priority: self.priority,
            objective_left: Duration::from_millis(self.objective_left_ms.into()),
            time_left: Duration::from_millis(self.time_left_ms.into()),
            patience: match self.patience().into() {
                Patience::NoWait if self.is_in_time_only => Patience::NoWaitInTime,
                patience => patience,
            },
            born_at: self.born_ms.map(WallTime::from_ms),
            limit: self.limit.as_ref().map(LimitReport::from),
        })
    }
}

impl AnswerMessage {
    /// Returns the answer.
    pub(crate) fn answer(&self) -> Answer {
        let retry_after = self
            .retry_after_ms
            .map(u64::from)
            .map(Duration::from_millis);
        match retry_after {
            Some(_) if self.is_not_coordinator => Answer::NotCoordinator,
            Some(retry_after) if self.is_throttled => Answer::Throttled { retry_after },
            Some(retry_after) => Answer::Rejected { retry_after },
            None if self.is_granted => Answer::Granted,
            None if self.is_busy => Answer::Busy {
                served_in: self.expected_ms.map(u64::from).map(Duration::from_millis),
            },
            None => Answer::Waiting,
        }
    }
}

impl EndedMessage {
    /// Returns the end of the request; an invalid slowness is unknown.
    pub(crate) fn report(&self) -> EndReport {
        let percent = self.slowness_percent.map(f64::from);
        EndReport {
            ending: ending(self.is_served),
            slowness: percent.and_then(|percent| Slowness::from_percent(percent).ok()),
        }
    }
}

/// Returns how a request ended that an upstream served or did not serve.
pub(crate) fn ending(is_served: bool) -> Ending {
    if is_served {
        Ending::Served
    } else {
        Ending::NotServed
    }
}

impl From<LimitReport> for LimitMessage {
    fn from(report: LimitReport) -> Self {
        Self {
            limit_rps: report.limit.map(RequestRate::get),
            age_ms: milliseconds(report.age),
        }
    }
}

impl From<&LimitMessage> for LimitReport {
    fn from(message: &LimitMessage) -> Self {
        Self {
            limit: message.limit_rps.map(RequestRate::clamped),
            age: Duration::from_millis(message.age_ms.into()),
        }
    }
}

impl From<Patience> for PatienceMessage {
    fn from(patience: Patience) -> Self {
        match patience {
            Patience::NoWait | Patience::NoWaitInTime => Self::None,
            Patience::WithinObjective => Self::WhileEarly,
            Patience::UntilDeadline => Self::ToTheEnd,
        }
    }
}

impl From<PatienceMessage> for Patience {
    fn from(message: PatienceMessage) -> Self {
        match message {
            PatienceMessage::None => Self::NoWait,
            PatienceMessage::WhileEarly => Self::WithinObjective,
            PatienceMessage::ToTheEnd => Self::UntilDeadline,
        }
    }
}
