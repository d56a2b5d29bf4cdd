//! Records what upstreams state about themselves in their responses.

use super::request::CallerRequest;
use crate::dialect::{
    Dialect,
    Statement,
    UpstreamHeaders, //
};
use crate::shared::Shared;
use foxtide_core::registry::Registration;
use foxtide_core::throttle::LimitStatement;
use foxtide_core::time::MonotonicTime;
use foxtide_http::ForwardedResponse;

/// An exchange whose responses are examined.
pub(super) struct Exchange<'a, D> {
    pub(super) shared: &'a Shared<D>,
    pub(super) request: &'a CallerRequest,
    pub(super) registration: &'a Registration,
    /// When the request was sent.
    pub(super) sent_at: MonotonicTime,
}

impl<D: Dialect> Exchange<'_, D> {
    /// Records the statements in the head of a response, before its body is read.
    pub(super) fn record(&self, head: &ForwardedResponse) {
        let headers = self.shared.dialect.read_upstream_headers(head);
        // Another incarnation speaks for itself only.
        if headers.is_other_incarnation {
            return;
        }
        self.record_rate_limit(&headers, head.is_interim());
    }

    fn record_rate_limit(&self, headers: &UpstreamHeaders, is_interim: bool) {
        let shared = self.shared;
        let upstream = &self.registration.upstream;
        let statement = match headers.rate_limit {
            Statement::Valid(limit) => LimitStatement {
                limit: Some(limit),
                held_at: shared.clock.now(),
            },
            // A response to an earlier request may have been made before this one was sent.
            Statement::Absent if is_interim || !self.is_response(headers) => return,
            Statement::Absent => LimitStatement {
                limit: None,
                held_at: self.sent_at,
            },
            Statement::Unreadable => {
                let journal = &shared.journal;
                journal.statement_unreadable(self.request.id(), upstream, "rate_limit");
                return;
            }
        };
        let has_changed = shared
            .state
            .lock()
            .record_limit(self.registration, statement);
        if has_changed {
            let journal = &shared.journal;
            journal.limit_stated(self.request.id(), upstream, statement.limit);
        }
    }

    fn is_response(&self, headers: &UpstreamHeaders) -> bool {
        headers.request_id == self.request.headers.request_id
    }
}
