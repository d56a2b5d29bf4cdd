//! Decides whether a reply may promise that its request has not run.

use crate::dialect::Dialect;
use crate::outcome::{
    Refusal,
    Reply,
    RequestTrace, //
};
use crate::shared::Shared;
use foxtide_core::outcome::Outcome;

/// Returns the reply to deliver: one that promises that the request has not run only if all its
/// sends show this. Every reply to a request that was matched to a route passes here.
///
/// The caller of an idempotent request may repeat it after any failure, so that the response of its
/// upstream is kept.
pub(super) fn withhold_untrue_promise<D: Dialect>(
    shared: &Shared<D>,
    reply: Reply,
    trace: &RequestTrace,
) -> Reply {
    if !reply.is_promise() || trace.sends.outcome() == Outcome::NotRun {
        return reply;
    }
    match &reply {
        Reply::Response(_) if trace.is_idempotent => return reply,
        Reply::Response(_) => {}
        Reply::Refused(refusal) => {
            let sends = &trace.sends;
            debug_assert!(false, "{refusal:?} after {sends}");
        }
    }
    shared.journal.promise_withheld(trace, &reply);
    Refusal::Failed.into()
}
