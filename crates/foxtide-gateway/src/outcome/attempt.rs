//! The outcomes of an attempt at an upstream.

use foxtide_core::execution::SendEnd;
use foxtide_http::WholeResponse;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The upstream's whole response to this request.
    Responded(Box<WholeResponse>),
    /// The upstream said that it did not run the request and will not.
    NotRun {
        /// The status of the response that said so.
        status: u16,
        /// Whether another incarnation uses the address now.
        is_other_incarnation: bool,
    },
    /// The upstream told this instance to send nothing before any byte was sent.
    Withdrawn,
    /// No byte of the request left this instance.
    NotSent { cause: String },
    /// The request may have run, but no whole response arrived.
    Unknown { cause: String },
    /// The deadline passed before the response; the request may have run.
    TimedOut,
}

impl AttemptEnd {
    /// Returns what the end tells about the execution of the request.
    pub(crate) fn send_end(&self) -> SendEnd {
        match self {
            Self::Responded(response) => SendEnd::Responded {
                status: response.head.status,
            },
            Self::NotRun { .. } => SendEnd::Rejected,
            Self::Withdrawn | Self::NotSent { .. } => SendEnd::NotSent,
            Self::Unknown { .. } | Self::TimedOut => SendEnd::Lost,
        }
    }
}
