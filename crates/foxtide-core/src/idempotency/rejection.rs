//! Rejections of requests with an idempotency key.

use crate::outcome::Outcome;
use std::fmt;
use std::time::Duration;

/// Why a request with a key is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// The process that owns the key has ended, and its table is lost.
    OwnerGone,
    /// The key was used for another request.
    KeyReused,
    /// The key was run, but no complete response was received.
    AnswerLost,
    /// The key was run and answered, but the response is no longer stored.
    AnswerDropped,
    /// The key has expired.
    KeyExpired,
    /// The key's time is too far in the future.
    KeyFromFuture,
    /// The table has no room for another key.
    TableFull,
}

impl RejectionReason {
    /// Returns the name of the reason in responses, events and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OwnerGone => "owner-gone",
            Self::KeyReused => "key-reused",
            Self::AnswerLost => "answer-lost",
            Self::AnswerDropped => "answer-dropped",
            Self::KeyExpired => "key-expired",
            Self::KeyFromFuture => "key-from-future",
            Self::TableFull => "table-full",
        }
    }

    /// Returns what is known about whether the key was run.
    ///
    /// A reused key is reported as unknown, since the first request with it may have run.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::OwnerGone | Self::KeyReused | Self::AnswerLost | Self::KeyExpired => {
                Outcome::Unknown
            }
            Self::AnswerDropped => Outcome::Done,
            Self::KeyFromFuture | Self::TableFull => Outcome::NotRun,
        }
    }

    /// Returns the HTTP status code (RFC 9110, section 15; 422 as in section 2.7 of the
    /// Idempotency-Key draft).
    pub const fn status(self) -> u16 {
        match self {
            Self::OwnerGone | Self::AnswerLost | Self::AnswerDropped => 409,
            Self::KeyReused => 422,
            Self::KeyExpired => 410,
            Self::KeyFromFuture => 400,
            Self::TableFull => 503,
        }
    }
}

impl fmt::Display for RejectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The response to a request whose key is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the key is not run.
    pub reason: RejectionReason,
    /// When the same key may be retried; `None` if never.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Returns the rejection of a key that may not be retried.
    pub(crate) const fn permanent(reason: RejectionReason) -> Self {
        let retry_after = None;
        Self {
            reason,
            retry_after,
        }
    }

    /// Returns the rejection of a key that may be retried after a delay.
    pub(crate) const fn temporary(reason: RejectionReason, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self {
            reason,
            retry_after,
        }
    }

    /// Returns what is known about whether the key was run.
    pub const fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }
}
