//! Why a key is not run, and what its caller is told.

use crate::outcome::Outcome;
use std::fmt;
use std::time::Duration;

/// Why a request with a key is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The process that owns the key has ended; its table went with it.
    OwnerGone,
    /// The key came before with another request.
    KeyReused,
    /// The key was run, and no whole answer came back.
    AnswerLost,
    /// The key was run and answered; the answer is no longer kept.
    AnswerDropped,
    /// The key is older than keys may be.
    KeyExpired,
    /// The key's time lies too far in the future.
    KeyFromFuture,
    /// No more keys can be kept.
    TableFull,
}

impl RefusalReason {
    /// Returns the reason's name, for answers, events and metrics.
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

    /// Returns what is known about the run of the key.
    ///
    /// A reused key is told as unknown, for the request that came first with
    /// it may have run.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::OwnerGone | Self::KeyReused | Self::AnswerLost | Self::KeyExpired => {
                Outcome::Unknown
            }
            Self::AnswerDropped => Outcome::Done,
            Self::KeyFromFuture | Self::TableFull => Outcome::NotRun,
        }
    }

    /// Returns the status of the HTTP answer (RFC 9110, section 15; 422 as the
    /// Idempotency-Key draft has it, section 2.7).
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

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final answer to a request whose key is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the same key is worth another try; `None` where it never is.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of a key that is never worth another try.
    pub(crate) const fn permanent(reason: RefusalReason) -> Self {
        let retry_after = None;
        Self {
            reason,
            retry_after,
        }
    }

    /// Returns the refusal of a key that may be tried again after a time.
    pub(crate) const fn temporary(reason: RefusalReason, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self {
            reason,
            retry_after,
        }
    }

    /// Returns what is known about the run of the key.
    pub const fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }
}
