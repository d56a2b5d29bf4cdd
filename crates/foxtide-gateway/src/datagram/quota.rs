//! Questions for tokens of quotas and their answers.

use super::{
    Body,
    Datagram,
    milliseconds, //
};
use foxtide_core::quota::{
    QuotaAnswer,
    QuotaRequest, //
};
use std::time::Duration;

/// A request for tokens of a quota.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct QuotaQuestionMessage {
    #[prost(string, tag = "1")]
    organisation: String,
    #[prost(uint32, tag = "2")]
    priority: u32,
    #[prost(uint32, tag = "3")]
    wanted: u32,
}

/// An answer to a quota request; empty if the sender does not coordinate the quota.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct QuotaAnswerMessage {
    /// How many tokens are granted.
    #[prost(uint32, optional, tag = "1")]
    tokens: Option<u32>,
    /// When a token is available, if none is granted.
    #[prost(uint32, optional, tag = "2")]
    retry_after_ms: Option<u32>,
}

impl Datagram {
    /// Returns the request for tokens of a quota.
    pub(crate) fn quota_request(number: u64, request: &QuotaRequest) -> Self {
        let message = QuotaQuestionMessage {
            organisation: request.organisation.to_string(),
            priority: request.priority,
            wanted: request.wanted,
        };
        Self {
            number,
            body: Some(Body::QuotaQuestion(message)),
        }
    }

    /// Returns the answer to a request for tokens of a quota.
    pub(crate) fn quota_answer(number: u64, answer: QuotaAnswer) -> Self {
        let message = match answer {
            QuotaAnswer::Granted { tokens } => QuotaAnswerMessage {
                tokens: Some(tokens),
                retry_after_ms: None,
            },
            QuotaAnswer::Rejected { retry_after } => QuotaAnswerMessage {
                tokens: None,
                retry_after_ms: Some(milliseconds(retry_after)),
            },
            QuotaAnswer::NotCoordinator => QuotaAnswerMessage::default(),
        };
        Self {
            number,
            body: Some(Body::QuotaAnswer(message)),
        }
    }
}

impl QuotaQuestionMessage {
    /// Returns the request.
    ///
    /// # Errors
    ///
    /// Fails if the name of the organisation is invalid.
    pub(crate) fn request(&self) -> foxtide_core::Result<QuotaRequest> {
        Ok(QuotaRequest {
            organisation: self.organisation.parse()?,
            priority: self.priority,
            wanted: self.wanted.max(1),
        })
    }
}

impl QuotaAnswerMessage {
    /// Returns the answer.
    pub(crate) fn answer(&self) -> QuotaAnswer {
        match (self.tokens, self.retry_after_ms) {
            (Some(tokens @ 1..), _) => QuotaAnswer::Granted { tokens },
            (_, Some(retry_after_ms)) => QuotaAnswer::Rejected {
                retry_after: Duration::from_millis(retry_after_ms.into()),
            },
            _ => QuotaAnswer::NotCoordinator,
        }
    }
}
