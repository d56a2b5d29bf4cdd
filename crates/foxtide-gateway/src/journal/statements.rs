//! Log lines and metrics about what upstreams state in their responses.

use super::Journal;
use foxtide_core::ids::UpstreamId;
use foxtide_core::units::RequestRate;
use foxtide_events::{
    EventCode,
    LineKind,
    log_event, //
};
use std::time::Duration;

impl Journal {
    /// Logs and counts an upstream that states another rate limit, or none any more.
    pub(crate) fn limit_stated(
        &self,
        request: &str,
        upstream: &UpstreamId,
        limit: Option<RequestRate>,
    ) {
        metrics::counter!("foxtide_upstream_limits_stated_total").increment(1);
        let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        if self.may_log(LineKind::Step) {
            log_event!(
                EventCode::UpstreamLimitStated,
                request = request,
                upstream = upstream.as_str(),
                limit = limit.as_str()
            );
        }
    }

    /// Logs and counts an upstream that asks this instance to send nothing for a time.
    pub(crate) fn rest_requested(&self, request: &str, upstream: &UpstreamId, time: Duration) {
        metrics::counter!("foxtide_upstream_rests_requested_total").increment(1);
        if self.may_log(LineKind::Step) {
            log_event!(
                EventCode::UpstreamRestRequested,
                request = request,
                upstream = upstream.as_str(),
                time_ms = time.as_millis() as u64
            );
        }
    }

    /// Logs and counts an upstream that states that it is leaving.
    pub(crate) fn drain_stated(&self, request: &str, upstream: &UpstreamId) {
        metrics::counter!("foxtide_upstream_drains_stated_total").increment(1);
        if self.may_log(LineKind::Step) {
            log_event!(
                EventCode::UpstreamDrainStated,
                request = request,
                upstream = upstream.as_str()
            );
        }
    }

    /// Logs and counts an upstream's statement that cannot be decoded.
    pub(crate) fn statement_unreadable(
        &self,
        request: &str,
        upstream: &UpstreamId,
        statement: &'static str,
    ) {
        metrics::counter!("foxtide_statements_unreadable_total", "statement" => statement)
            .increment(1);
        if self.may_log(LineKind::Step) {
            log_event!(
                EventCode::StatementUnreadable,
                request = request,
                upstream = upstream.as_str(),
                statement = statement
            );
        }
    }
}
