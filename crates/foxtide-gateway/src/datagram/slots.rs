//! Questions for slots of upstreams and their answers.

use super::{
    Body,
    Datagram,
    milliseconds, //
};
use foxtide_core::admission::{
    Answer,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::placement::ObjectKey;
use foxtide_core::time::WallTime;
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
}

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
    pub(crate) fn end(number: u64, ending: Ending) -> Self {
        Self {
            number,
            body: Some(Body::End(ending == Ending::Served)),
        }
    }

    /// Returns an answer.
    pub(crate) fn answer(number: u64, answer: Answer) -> Self {
        let retry_after_ms = match answer {
            Answer::Rejected { retry_after } => Some(milliseconds(retry_after)),
            Answer::Granted | Answer::Waiting | Answer::Busy => None,
        };
        let is_granted = answer == Answer::Granted;
        Self {
            number,
            body: Some(Body::Answer(AnswerMessage {
                is_granted,
                is_busy: answer == Answer::Busy,
                retry_after_ms,
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
        }
    }

    /// Returns the request as its coordinator sees it.
    ///
    /// # Errors
    ///
    /// Fails if the name of the upstream is invalid.
    pub(crate) fn request(
        &self,
        requester: SocketAddr,
        number: u64,
    ) -> foxtide_core::Result<SlotRequest> {
        Ok(SlotRequest {
            ticket: Ticket { requester, number },
            upstream: self.upstream.parse()?,
            object: self.object.map(ObjectKey::from_hash),
            priority: self.priority,
            objective_left: Duration::from_millis(self.objective_left_ms.into()),
            time_left: Duration::from_millis(self.time_left_ms.into()),
            patience: self.patience().into(),
            born_at: self.born_ms.map(WallTime::from_ms),
        })
    }
}

impl AnswerMessage {
    /// Returns the answer.
    pub(crate) fn answer(&self) -> Answer {
        match self.retry_after_ms {
            Some(retry_after_ms) => Answer::Rejected {
                retry_after: Duration::from_millis(retry_after_ms.into()),
            },
            None if self.is_granted => Answer::Granted,
            None if self.is_busy => Answer::Busy,
            None => Answer::Waiting,
        }
    }
}

impl From<Patience> for PatienceMessage {
    fn from(patience: Patience) -> Self {
        match patience {
            Patience::NoWait => Self::None,
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
