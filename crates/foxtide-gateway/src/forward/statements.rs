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
use std::time::Duration;

/// The status with which an upstream rejects a request for lack of capacity (RFC 9110,
/// section 15.6.4).
const REJECTED_STATUS: u16 = 503;

/// Examines the responses of one exchange with an upstream.
pub(super) struct ResponseObserver<'a, D> {
    pub(super) shared: &'a Shared<D>,
    pub(super) request: &'a CallerRequest,
    pub(super) registration: &'a Registration,
    /// When the request was sent.
    pub(super) sent_at: MonotonicTime,
}

impl<D: Dialect> ResponseObserver<'_, D> {
    /// Records the statements in the head of a response, before its body is read.
    pub(super) fn record(&self, head: &ForwardedResponse) {
        let headers = self.shared.dialect.read_upstream_headers(head);
        // Another incarnation speaks for itself only.
        if headers.is_other_incarnation {
            return;
        }
        self.record_rate_limit(&headers, head.is_interim());
        if head.status == REJECTED_STATUS {
            self.record_rest(headers.retry_after);
        }
        self.record_drain(headers.is_draining);
    }

    fn record_rest(&self, retry_after: Statement<Duration>) {
        let (request, upstream) = (self.request.id(), &self.registration.upstream);
        let journal = &self.shared.journal;
        match retry_after {
            Statement::Valid(time) => {
                journal.rest_requested(request, upstream, time);
                let mut state = self.shared.state.lock();
                state.record_rest(self.registration, time);
            }
            Statement::Unreadable => journal.statement_unreadable(request, upstream, "retry_after"),
            Statement::Absent => {}
        }
    }

    fn record_drain(&self, is_draining: Statement<bool>) {
        let (request, upstream) = (self.request.id(), &self.registration.upstream);
        let journal = &self.shared.journal;
        match is_draining {
            Statement::Valid(true) => {
                if self.shared.state.lock().record_drain(self.registration) {
                    journal.drain_stated(request, upstream);
                }
            }
            Statement::Unreadable => journal.statement_unreadable(request, upstream, "drain"),
            Statement::Valid(false) | Statement::Absent => {}
        }
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

    /// Tells whether the headers are those of the response to this request.
    fn is_response(&self, headers: &UpstreamHeaders) -> bool {
        headers.request_id == self.request.headers.request_id
    }
}
