//! How an attempt at an upstream ended.

use foxtide_http::WholeResponse;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The upstream's whole response to this request.
    Responded(Box<WholeResponse>),
    /// The upstream said that it did not run the request and will not.
    NotRun {
        /// Whether another incarnation has the address.
        is_other_incarnation: bool,
    },
    /// No byte of the request left this instance.
    NotSent {
        /// Why.
        cause: String,
    },
    /// The request may have run, but no whole response to it came.
    Unknown {
        /// Why.
        cause: String,
    },
    /// The time was up before the response; the request may have run.
    TimedOut,
}
